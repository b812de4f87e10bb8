package tables

import (
	"bytes"
	"crypto/sha256"
	"strconv"
	"strings"
)

// kindOrder is the order of the kinds in the canonical form.
var kindOrder = []RowKind{KindKey, KindRoute, KindPool, KindServer, KindWorkspace}

// Format returns both tables in canonical INI: rows sorted by kind and name, with
// all settings, also those that have their default, in a fixed order. Parse returns
// equal tables for it.
func (t *Tables) Format() (routes, pools []byte) {
	var r, p bytes.Buffer
	for _, kind := range kindOrder {
		b := &r
		if kind.Table() == TablePools {
			b = &p
		}
		t.rows.write(b, kind)
	}
	return r.Bytes(), p.Bytes()
}

// write appends the rows of a kind in canonical form.
func (r *rows) write(b *bytes.Buffer, kind RowKind) {
	switch kind {
	case KindKey:
		for i := range r.keys {
			writeSection(b, Change{Key: &r.keys[i]})
		}
	case KindRoute:
		for i := range r.routes {
			writeSection(b, Change{Route: &r.routes[i]})
		}
	case KindPool:
		for i := range r.pools {
			writeSection(b, Change{Pool: &r.pools[i]})
		}
	case KindServer:
		for i := range r.servers {
			writeSection(b, Change{Server: &r.servers[i]})
		}
	case KindWorkspace:
		for i := range r.workspaces {
			writeSection(b, Change{Workspace: &r.workspaces[i]})
		}
	}
}

// canonicalSummary describes the canonical form of the rows of one kind by its digest
// and its size. Tables keep one for each kind, so that an edit has to format only the
// rows of the kinds that it changes.
type canonicalSummary struct {
	digest [sha256.Size]byte
	bytes  int
}

func (r *rows) canonicalSummary(kind RowKind) canonicalSummary {
	var b bytes.Buffer
	r.write(&b, kind)
	return canonicalSummary{digest: sha256.Sum256(b.Bytes()), bytes: b.Len()}
}

// size returns the size of both tables in canonical form in bytes.
func (t *Tables) size() int {
	size := map[Table]int{}
	for _, kind := range kindOrder {
		n := t.summaries[kind].bytes
		if n > 0 && size[kind.Table()] > 0 {
			n++ // the empty line between two kinds
		}
		size[kind.Table()] += n
	}
	return size[TableRoutes] + size[TablePools]
}

func (t *Tables) combinedDigest() Digest {
	h := sha256.New()
	for _, kind := range kindOrder {
		digest := t.summaries[kind].digest
		h.Write(digest[:])
	}
	return Digest(h.Sum(nil))
}

// Setting is a setting of a row in canonical form. Settings with an empty value
// are not written.
type Setting struct{ Key, Value string }

// Settings returns the settings of the row that the change upserts, in canonical
// order. A removal has none.
func (c Change) Settings() []Setting {
	switch {
	case c.Key != nil:
		return []Setting{{"workspace", c.Key.Workspace}}
	case c.Route != nil:
		r := c.Route
		return []Setting{
			{"path", r.PathPrefix},
			{"methods", strings.Join(r.Methods, ", ")},
			{"pool", r.Pool},
			{"idempotent", strconv.FormatBool(r.Idempotent)},
			{"importance", strconv.Itoa(int(r.Importance))},
			{"timeout", r.Timeout.String()},
			{"credits", strconv.Itoa(r.AttemptCredits)},
			{"open", strconv.FormatBool(r.Open)},
			{"workspaces", strings.Join(r.Workspaces, ", ")},
			{"max_body", strconv.FormatInt(r.MaxBodyBytes, 10)},
		}
	case c.Pool != nil:
		return []Setting{{"warm_up", c.Pool.WarmUp.String()}, {"retry_ratio", formatFloat(c.Pool.RetryRatio)}}
	case c.Server != nil:
		return []Setting{{"drain", strconv.FormatBool(c.Server.Drain)}}
	case c.Workspace != nil:
		return []Setting{{"rate", formatFloat(c.Workspace.Rate)}, {"burst", strconv.Itoa(c.Workspace.Burst)}}
	}
	return nil
}

func formatFloat(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }

// writeSection writes the row that a change upserts as an INI section.
func writeSection(b *bytes.Buffer, row Change) {
	if b.Len() > 0 {
		b.WriteByte('\n')
	}
	ref, _ := row.Ref()
	b.WriteByte('[')
	b.WriteString(ref.section())
	b.WriteString("]\n")
	for _, setting := range row.Settings() {
		if setting.Value == "" {
			continue
		}
		b.WriteString(setting.Key)
		b.WriteString(" = ")
		b.WriteString(setting.Value)
		b.WriteByte('\n')
	}
}
