package tables

import (
	"bytes"
	"crypto/sha256"
	"strconv"
	"strings"
)

// kindOrder is the order of the kinds in the canonical form.
var kindOrder = []RowKind{KindKey, KindRoute, KindPool, KindServer, KindWorkspace}

// Format returns both tables in canonical INI: rows in order of kind and name,
// every setting written out, in a fixed order. Parse reads it back to equal
// tables.
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

// section describes the canonical form of the rows of one kind.
type section struct {
	digest [sha256.Size]byte
	bytes  int
}

func (r *rows) section(kind RowKind) section {
	var b bytes.Buffer
	r.write(&b, kind)
	return section{digest: sha256.Sum256(b.Bytes()), bytes: b.Len()}
}

// size returns the bytes of both tables in canonical form.
func (t *Tables) size() int {
	size := map[Table]int{}
	for _, kind := range kindOrder {
		n := t.sections[kind].bytes
		if n > 0 && size[kind.Table()] > 0 {
			n++ // the empty line between two kinds
		}
		size[kind.Table()] += n
	}
	return size[TableRoutes] + size[TablePools]
}

func (t *Tables) digestOfSections() Digest {
	h := sha256.New()
	for _, kind := range kindOrder {
		digest := t.sections[kind].digest
		h.Write(digest[:])
	}
	return Digest(h.Sum(nil))
}

// Pair is a setting of a row in canonical form. The value is empty if the
// setting is left out.
type Pair struct{ Key, Value string }

// Settings returns the settings of the row that is put, in canonical order;
// none for a removal.
func (c Change) Settings() []Pair {
	switch {
	case c.Key != nil:
		return []Pair{{"workspace", c.Key.Workspace}}
	case c.Route != nil:
		r := c.Route
		return []Pair{
			{"path", r.PathPrefix},
			{"methods", strings.Join(r.Methods, ", ")},
			{"pool", r.Pool},
			{"idempotent", strconv.FormatBool(r.Idempotent)},
			{"importance", strconv.Itoa(int(r.Importance))},
			{"timeout", r.Timeout.String()},
			{"credits", strconv.Itoa(r.Credits)},
			{"open", strconv.FormatBool(r.Open)},
			{"workspaces", strings.Join(r.Workspaces, ", ")},
			{"max_body", strconv.FormatInt(r.MaxBodyBytes, 10)},
		}
	case c.Pool != nil:
		return []Pair{{"warm_up", c.Pool.WarmUp.String()}, {"retry_ratio", formatFloat(c.Pool.RetryRatio)}}
	case c.Server != nil:
		return []Pair{{"drain", strconv.FormatBool(c.Server.Drain)}}
	case c.Workspace != nil:
		return []Pair{{"rate", formatFloat(c.Workspace.Rate)}, {"burst", strconv.Itoa(c.Workspace.Burst)}}
	}
	return nil
}

func formatFloat(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }

// writeSection writes a row; settings with an empty value are left out.
func writeSection(b *bytes.Buffer, row Change) {
	if b.Len() > 0 {
		b.WriteByte('\n')
	}
	ref, _ := row.Ref()
	b.WriteByte('[')
	b.WriteString(ref.section())
	b.WriteString("]\n")
	for _, pair := range row.Settings() {
		if pair.Value == "" {
			continue
		}
		b.WriteString(pair.Key)
		b.WriteString(" = ")
		b.WriteString(pair.Value)
		b.WriteByte('\n')
	}
}
