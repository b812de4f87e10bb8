package tables

import (
	"bytes"
	"strconv"
	"strings"
)

// Format returns both tables in canonical INI: rows in order of kind and name,
// every setting written out, in a fixed order. Parse reads it back to equal
// tables.
func (t *Tables) Format() (routes, pools []byte) {
	var r, p bytes.Buffer
	for i := range t.rows.keys {
		writeSection(&r, Change{Key: &t.rows.keys[i]})
	}
	for i := range t.rows.routes {
		writeSection(&r, Change{Route: &t.rows.routes[i]})
	}
	for i := range t.rows.pools {
		writeSection(&p, Change{Pool: &t.rows.pools[i]})
	}
	for i := range t.rows.servers {
		writeSection(&p, Change{Server: &t.rows.servers[i]})
	}
	for i := range t.rows.workspaces {
		writeSection(&p, Change{Workspace: &t.rows.workspaces[i]})
	}
	return r.Bytes(), p.Bytes()
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
	b.WriteString("[" + ref.section() + "]\n")
	for _, pair := range row.Settings() {
		if pair.Value != "" {
			b.WriteString(pair.Key + " = " + pair.Value + "\n")
		}
	}
}
