package tables

import (
	"cmp"
	"reflect"
	"slices"
)

// RowKind names the kind of a row, the first word of its section.
type RowKind string

// The kinds of rows.
const (
	KindRoute     RowKind = "route"
	KindKey       RowKind = "key"
	KindPool      RowKind = "pool"
	KindWorkspace RowKind = "workspace"
	KindServer    RowKind = "server"
)

// Table returns the table that holds rows of the kind.
func (k RowKind) Table() Table {
	if k == KindRoute || k == KindKey {
		return TableRoutes
	}
	return TablePools
}

// RowRef identifies a row. The row of a key is named by the key's digest in
// hexadecimal.
type RowRef struct {
	Kind RowKind `cbor:"1,keyasint"`
	Name string  `cbor:"2,keyasint"`
}

func (r RowRef) section() string {
	if r.Name == "" {
		return string(r.Kind)
	}
	return string(r.Kind) + " " + r.Name
}

// String returns the row's section name.
func (r RowRef) String() string { return r.section() }

func compareRefs(a, b RowRef) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
}

// Change upserts or removes one row. Exactly one field is set: Remove, or the row
// that is added or that replaces the row of the same kind and name.
type Change struct {
	Remove    *RowRef    `cbor:"1,keyasint,omitempty"`
	Route     *Route     `cbor:"2,keyasint,omitempty"`
	Key       *Key       `cbor:"3,keyasint,omitempty"`
	Pool      *Pool      `cbor:"4,keyasint,omitempty"`
	Workspace *Workspace `cbor:"5,keyasint,omitempty"`
	Server    *Server    `cbor:"6,keyasint,omitempty"`
}

// Ref returns the reference of the row that the change upserts or removes; ok is
// false unless exactly one field is set.
func (c Change) Ref() (ref RowRef, ok bool) {
	set := 0
	if c.Remove != nil {
		ref, set = *c.Remove, set+1
	}
	if c.Route != nil {
		ref, set = c.Route.ref(), set+1
	}
	if c.Key != nil {
		ref, set = c.Key.ref(), set+1
	}
	if c.Pool != nil {
		ref, set = c.Pool.ref(), set+1
	}
	if c.Workspace != nil {
		ref, set = c.Workspace.ref(), set+1
	}
	if c.Server != nil {
		ref, set = c.Server.ref(), set+1
	}
	return ref, set == 1
}

func (r *Route) ref() RowRef     { return RowRef{KindRoute, r.Name} }
func (k *Key) ref() RowRef       { return RowRef{KindKey, k.Digest.String()} }
func (p *Pool) ref() RowRef      { return RowRef{KindPool, p.Name} }
func (w *Workspace) ref() RowRef { return RowRef{KindWorkspace, w.Name} }
func (s *Server) ref() RowRef    { return RowRef{KindServer, s.Name} }

// Row returns a change that upserts the row with its current content; ok is false
// if t has no such row.
func (t *Tables) Row(ref RowRef) (put Change, ok bool) {
	switch ref.Kind {
	case KindRoute:
		put.Route = findRow(t.rows.routes, ref)
		return put, put.Route != nil
	case KindKey:
		put.Key = findRow(t.rows.keys, ref)
		return put, put.Key != nil
	case KindPool:
		put.Pool = findRow(t.rows.pools, ref)
		return put, put.Pool != nil
	case KindWorkspace:
		put.Workspace = findRow(t.rows.workspaces, ref)
		return put, put.Workspace != nil
	case KindServer:
		put.Server = findRow(t.rows.servers, ref)
		return put, put.Server != nil
	}
	return Change{}, false
}

// rowPointer is a pointer to one of the row types.
type rowPointer[T any] interface {
	*T
	ref() RowRef
}

// findRow returns a pointer to the row in a sorted list, or nil if it is not there.
func findRow[T any, P rowPointer[T]](list []T, ref RowRef) *T {
	i, found := slices.BinarySearchFunc(list, ref.Name, func(row T, name string) int {
		return cmp.Compare(P(&row).ref().Name, name)
	})
	if !found {
		return nil
	}
	return &list[i]
}

// Diff returns the changes that turn a into b, sorted by kind and name.
func Diff(a, b *Tables) []Change {
	var changes []Change
	changes = diffRows(changes, a.rows.routes, b.rows.routes, func(r *Route) Change { return Change{Route: r} })
	changes = diffRows(changes, a.rows.keys, b.rows.keys, func(r *Key) Change { return Change{Key: r} })
	changes = diffRows(changes, a.rows.pools, b.rows.pools, func(r *Pool) Change { return Change{Pool: r} })
	changes = diffRows(changes, a.rows.workspaces, b.rows.workspaces, func(r *Workspace) Change { return Change{Workspace: r} })
	changes = diffRows(changes, a.rows.servers, b.rows.servers, func(r *Server) Change { return Change{Server: r} })
	slices.SortStableFunc(changes, func(x, y Change) int {
		xr, _ := x.Ref()
		yr, _ := y.Ref()
		return compareRefs(xr, yr)
	})
	return changes
}

func diffRows[T any, P rowPointer[T]](changes []Change, a, b []T, put func(*T) Change) []Change {
	old := make(map[string]*T, len(a))
	for i := range a {
		old[P(&a[i]).ref().Name] = &a[i]
	}
	for i := range b {
		name := P(&b[i]).ref().Name
		if before, ok := old[name]; !ok || !reflect.DeepEqual(*before, b[i]) {
			changes = append(changes, put(&b[i]))
		}
		delete(old, name)
	}
	for _, row := range old {
		ref := P(row).ref()
		changes = append(changes, Change{Remove: &ref})
	}
	return changes
}

// Apply returns new tables with the changes made. It fails with Errors if a change
// is malformed or removes a row that does not exist, if two changes are for the
// same row, or if the result is not valid. It keeps no reference to the changes.
func (t *Tables) Apply(changes []Change) (*Tables, error) {
	var errs Errors
	seen := make(map[RowRef]bool, len(changes))
	for _, c := range changes {
		ref, ok := c.Ref()
		switch _, exists := t.Row(ref); {
		case !ok:
			errs.add(ReasonBadChange, ref, "", "", "set exactly one field of the change")
		case seen[ref]:
			errs.add(ReasonBadChange, ref, "", "", "change each row once")
		case c.Remove != nil && !exists:
			errs.add(ReasonRowNotFound, ref, "", "", "remove only rows that the tables have; read the current tables again")
		}
		seen[ref] = true
	}
	if len(errs) > 0 {
		return nil, errs
	}
	changed := kindsOf(seen)
	rows := t.rows.withChanges(changes, seen, changed)
	return rebuild(checker{rows: &rows, changed: changed}, t)
}

// kindSet is a set of kinds of rows.
type kindSet map[RowKind]bool

var allKinds = kindSet{KindRoute: true, KindKey: true, KindPool: true, KindWorkspace: true, KindServer: true}

func kindsOf(refs map[RowRef]bool) kindSet {
	kinds := kindSet{}
	for ref := range refs {
		kinds[ref.Kind] = true
	}
	return kinds
}

// Inverse returns the changes that undo the given ones. Apply on t must have
// accepted these.
func (t *Tables) Inverse(changes []Change) []Change {
	undo := make([]Change, 0, len(changes))
	for _, c := range changes {
		ref, _ := c.Ref()
		if old, ok := t.Row(ref); ok {
			undo = append(undo, old)
		} else {
			undo = append(undo, Change{Remove: &ref})
		}
	}
	return undo
}

// withChanges returns the rows with the changes made. changed holds the references
// of the changed rows and kinds their kinds; the lists of other kinds are shared.
func (r rows) withChanges(changes []Change, changed map[RowRef]bool, kinds kindSet) rows {
	out := rows{
		routes:     unchangedRows(r.routes, KindRoute, kinds, changed),
		keys:       unchangedRows(r.keys, KindKey, kinds, changed),
		pools:      unchangedRows(r.pools, KindPool, kinds, changed),
		workspaces: unchangedRows(r.workspaces, KindWorkspace, kinds, changed),
		servers:    unchangedRows(r.servers, KindServer, kinds, changed),
	}
	for _, c := range changes {
		switch {
		case c.Route != nil:
			out.routes = append(out.routes, c.Route.clone())
		case c.Key != nil:
			out.keys = append(out.keys, *c.Key)
		case c.Pool != nil:
			out.pools = append(out.pools, *c.Pool)
		case c.Workspace != nil:
			out.workspaces = append(out.workspaces, *c.Workspace)
		case c.Server != nil:
			out.servers = append(out.servers, *c.Server)
		}
	}
	return out
}

func unchangedRows[T any, P rowPointer[T]](list []T, kind RowKind, kinds kindSet, changed map[RowRef]bool) []T {
	if !kinds[kind] {
		return list
	}
	out := make([]T, 0, len(list)+1)
	for i := range list {
		if !changed[P(&list[i]).ref()] {
			out = append(out, list[i])
		}
	}
	return out
}

// clone returns a copy in canonical form: lists sorted, empty lists nil.
func (r *Route) clone() Route {
	c := *r
	c.Methods = sortedCopy(r.Methods)
	c.Workspaces = sortedCopy(r.Workspaces)
	return c
}

func sortedCopy(list []string) []string {
	if len(list) == 0 {
		return nil
	}
	c := slices.Clone(list)
	slices.Sort(c)
	return c
}
