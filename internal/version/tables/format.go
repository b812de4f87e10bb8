package tables

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
)

// Format returns both tables in canonical INI: rows in order of kind and name,
// every setting written out, in a fixed order. Parse reads it back to equal
// tables.
func (t *Tables) Format() (routes, pools []byte) {
	var r, p bytes.Buffer
	for i := range t.rows.keys {
		k := &t.rows.keys[i]
		writeSection(&r, k.ref(), "workspace", k.Workspace)
	}
	for i := range t.rows.routes {
		route := &t.rows.routes[i]
		writeSection(&r, route.ref(),
			"path", route.PathPrefix,
			"methods", strings.Join(route.Methods, ", "),
			"pool", route.Pool,
			"idempotent", strconv.FormatBool(route.Idempotent),
			"importance", strconv.Itoa(int(route.Importance)),
			"timeout", route.Timeout.String(),
			"credits", strconv.Itoa(route.Credits),
			"open", strconv.FormatBool(route.Open),
			"workspaces", strings.Join(route.Workspaces, ", "),
			"max_body", strconv.FormatInt(route.MaxBodyBytes, 10))
	}
	for i := range t.rows.pools {
		pool := &t.rows.pools[i]
		writeSection(&p, pool.ref(), "warm_up", pool.WarmUp.String(), "retry_ratio", formatFloat(pool.RetryRatio))
	}
	for i := range t.rows.servers {
		s := &t.rows.servers[i]
		writeSection(&p, s.ref(), "drain", strconv.FormatBool(s.Drain))
	}
	for i := range t.rows.workspaces {
		w := &t.rows.workspaces[i]
		writeSection(&p, w.ref(), "rate", formatFloat(w.Rate), "burst", strconv.Itoa(w.Burst))
	}
	return r.Bytes(), p.Bytes()
}

func formatFloat(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }

// writeSection writes a row; settings with an empty value are left out.
func writeSection(b *bytes.Buffer, ref RowRef, pairs ...string) {
	if b.Len() > 0 {
		b.WriteByte('\n')
	}
	fmt.Fprintf(b, "[%s]\n", ref.section())
	for i := 0; i < len(pairs); i += 2 {
		if pairs[i+1] != "" {
			fmt.Fprintf(b, "%s = %s\n", pairs[i], pairs[i+1])
		}
	}
}
