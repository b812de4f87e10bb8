package check

import (
	"fmt"
	"strconv"
	"strings"

	"tarragonshore.example/tarragonshore/internal/version/catalog"
)

// Change says what happened to an entry.
type Change string

// Changes of entries.
const (
	Added   Change = "added"
	Removed Change = "removed"
	Changed Change = "changed"
)

// Difference is an entry that differs between two versions.
type Difference struct {
	Table  Table         `json:"table"`
	Name   string        `json:"name,omitempty"`
	Change Change        `json:"change"`
	Fields []FieldChange `json:"fields,omitempty"`
}

// FieldChange is a field with another value. The values of keys are their numbers.
type FieldChange struct {
	Field Field `json:"-"`
	// Name is the field's name in the document. The adapter sets it.
	Name string `json:"field"`
	From string `json:"from"`
	To   string `json:"to"`
}

// Compare returns the differences from an earlier version to a later one, by the names of the
// entries, and a finding if the later version does not have a greater number. Of an added or
// removed entry, the fields that are set are listed.
func Compare(from, to *Configuration) ([]Difference, []Finding) {
	var differences []Difference
	differences = append(differences, compare(TableRoutes, from.routes(), to.routes())...)
	differences = append(differences, compare(TableServices, from.services(), to.services())...)
	differences = append(differences, compare(TableWorkspaces, from.workspaces(), to.workspaces())...)
	differences = append(differences, compare(TableLimits, from.limits(), to.limits())...)
	f := &finder{}
	if !to.NumberInvalid && to.Version <= from.Version {
		f.add(version, ClassError, fmt.Sprintf("version %x is not greater than %x, so that daemons ignore it", to.Version, from.Version),
			fmt.Sprintf("use a version from %x", from.Version+1))
	}
	return differences, f.findings
}

// value is a field's value as text.
type value struct {
	field Field
	text  string
	unset bool     // the value is the zero value of its type
	keys  []string // of FieldKeys
}

// row is an entry with its fields. All rows of a table have the same fields, in the same
// order.
type row struct {
	name   string
	values []value
}

// compare returns the differences between two lists of rows. The first row of a name
// counts.
func compare(table Table, from, to []row) []Difference {
	before, after := byName(from), byName(to)
	var list []Difference
	for _, r := range to {
		if after[r.name] == nil {
			continue // a row before it has the name
		}
		difference := Difference{Table: table, Name: r.name, Change: Added}
		old := before[r.name]
		if old != nil {
			difference.Change = Changed
		}
		difference.Fields = changedFields(old, r.values)
		if old == nil || len(difference.Fields) > 0 {
			list = append(list, difference)
		}
		delete(after, r.name)
		delete(before, r.name)
	}
	for _, r := range from {
		if values, ok := before[r.name]; ok {
			list = append(list, Difference{Table: table, Name: r.name, Change: Removed, Fields: changedFields(values, nil)})
			delete(before, r.name)
		}
	}
	return list
}

func byName(rows []row) map[string][]value {
	index := make(map[string][]value, len(rows))
	for _, r := range rows {
		if _, ok := index[r.name]; !ok {
			index[r.name] = r.values
		}
	}
	return index
}

// changedFields compares the fields of two rows. A nil list stands for a row without fields.
func changedFields(from, to []value) []FieldChange {
	var list []FieldChange
	for i := range max(len(from), len(to)) {
		a, b := value{unset: true}, value{unset: true}
		if from != nil {
			a = from[i]
		}
		if to != nil {
			b = to[i]
		}
		field := a.field
		if from == nil {
			field = b.field
		}
		if field == FieldKeys {
			if added, removed := missing(b.keys, a.keys), missing(a.keys, b.keys); added+removed > 0 {
				list = append(list, FieldChange{Field: field, From: strconv.Itoa(len(a.keys)),
					To: fmt.Sprintf("%d (%d added, %d removed)", len(b.keys), added, removed)})
			}
		} else if a.text != b.text && !(a.unset && b.unset) {
			list = append(list, FieldChange{Field: field, From: a.text, To: b.text})
		}
	}
	return list
}

// missing returns how many of the keys the other list lacks.
func missing(keys, other []string) int {
	known := make(map[string]bool, len(other))
	for _, key := range other {
		known[key] = true
	}
	n := 0
	for _, key := range keys {
		if !known[key] {
			n++
		}
	}
	return n
}

func (c *Configuration) routes() []row {
	rows := make([]row, 0, len(c.Routes))
	for i, r := range c.Routes {
		rows = append(rows, row{r.Name, []value{
			text(FieldHost, r.Host), text(FieldPathPrefix, r.PathPrefix), text(FieldKind, c.Kinds[i]),
			text(FieldShares, formatShares(r.Shares)), text(FieldImportance, r.Importance), text(FieldTimeout, r.Timeout),
			text(FieldLatency, r.LatencyTarget), text(FieldAttempts, r.MaxAttempts), text(FieldOpen, r.Open),
		}})
	}
	return rows
}

func formatShares(shares []catalog.Share) string {
	if len(shares) == 1 {
		return shares[0].Service
	}
	list := make([]string, 0, len(shares))
	for _, s := range shares {
		list = append(list, fmt.Sprintf("%s:%d", s.Service, s.Weight))
	}
	return strings.Join(list, " ")
}

func (c *Configuration) services() []row {
	rows := make([]row, 0, len(c.Services))
	for i, name := range c.Services {
		limit := c.ColdLimits[i]
		rows = append(rows, row{name, []value{text(FieldHealthPath, limit.HealthPath), text(FieldWarmUp, limit.Time), text(FieldWarmUpRate, limit.Rate)}})
	}
	return rows
}

func (c *Configuration) workspaces() []row {
	rows := make([]row, 0, len(c.Workspaces))
	for _, w := range c.Workspaces {
		importance := "" // that of the route
		if w.HasImportance {
			importance = fmt.Sprint(w.Importance)
		}
		rows = append(rows, row{w.Name, []value{
			{field: FieldKeys, keys: w.Keys}, text(FieldImportance, importance), text(FieldRate, w.Rate), text(FieldBurst, w.Burst),
		}})
	}
	return rows
}

func (c *Configuration) limits() []row {
	l := c.Limits
	return []row{{"", []value{
		text(FieldHeaderBytes, l.HeaderBytes), text(FieldBodyBytes, l.BodyBytes),
		text(FieldHeaderTimeout, l.HeaderTimeout), text(FieldIdleTimeout, l.IdleTimeout),
	}}}
}

func text[T comparable](field Field, v T) value {
	var zero T
	return value{field: field, text: fmt.Sprint(v), unset: v == zero}
}
