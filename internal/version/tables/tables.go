package tables

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"strings"
)

// Tables holds the rows of both tables of one version, with the indexes for the
// look-ups of requests. Rows returned by pointer must not be modified.
type Tables struct {
	rows           rows
	summaries      map[RowKind]canonicalSummary
	digest         Digest
	routesByPrefix map[string][]*Route
	longestPrefix  int // in bytes
	keys           map[KeyDigest]string
	pools          map[string]*Pool
	workspaces     map[string]*Workspace
	servers        map[string]*Server
}

// Digest identifies the content of both tables. It is the SHA-256 of the SHA-256s
// of the canonical forms of all kinds of rows, in the order of kindOrder, so that
// an edit only has to format the rows of the kinds that it changes.
type Digest [sha256.Size]byte

// String returns the digest in lower-case hexadecimal.
func (d Digest) String() string { return KeyDigest(d).String() }

// MarshalBinary returns the 32 bytes of the digest.
func (d Digest) MarshalBinary() ([]byte, error) { return d[:], nil }

// UnmarshalBinary reads exactly 32 bytes.
func (d *Digest) UnmarshalBinary(data []byte) error { return (*KeyDigest)(d).UnmarshalBinary(data) }

// Empty returns the tables of version 0.
func Empty() *Tables {
	t, err := buildIndex(rows{}, &Tables{}, allKinds)
	if err != nil {
		panic(err) // empty tables are within all bounds
	}
	return t
}

// buildIndex builds the indexes and canonical summaries of checked, sorted rows.
// Those of unchanged kinds are shared with base.
func buildIndex(r rows, base *Tables, changed kindSet) (*Tables, error) {
	t := &Tables{
		rows: r, summaries: make(map[RowKind]canonicalSummary, len(kindOrder)),
		routesByPrefix: base.routesByPrefix, longestPrefix: base.longestPrefix, keys: base.keys,
		pools: base.pools, workspaces: base.workspaces, servers: base.servers,
	}
	if changed[KindRoute] {
		t.indexRoutes()
	}
	if changed[KindKey] {
		t.keys = make(map[KeyDigest]string, len(r.keys))
		for i := range r.keys {
			t.keys[r.keys[i].Digest] = r.keys[i].Workspace
		}
	}
	if changed[KindPool] {
		t.pools = indexByName(r.pools)
	}
	if changed[KindWorkspace] {
		t.workspaces = indexByName(r.workspaces)
	}
	if changed[KindServer] {
		t.servers = indexByName(r.servers)
	}
	for _, kind := range kindOrder {
		t.summaries[kind] = base.summaries[kind]
		if changed[kind] {
			t.summaries[kind] = r.canonicalSummary(kind)
		}
	}
	if n := t.size(); n > MaxCanonicalBytes {
		return nil, Errors{{Reason: ReasonTooLarge, Table: TableRoutes, Value: fmt.Sprintf("%d bytes in canonical form", n),
			Remedy: fmt.Sprintf("keep both tables together under %d bytes: use fewer rows or shorter names", MaxCanonicalBytes)}}
	}
	t.digest = t.combinedDigest()
	return t, nil
}

func (t *Tables) indexRoutes() {
	t.routesByPrefix, t.longestPrefix = make(map[string][]*Route, len(t.rows.routes)), 0
	for i := range t.rows.routes {
		route := &t.rows.routes[i]
		prefix := strings.TrimSuffix(route.PathPrefix, "/")
		t.routesByPrefix[prefix] = append(t.routesByPrefix[prefix], route)
		t.longestPrefix = max(t.longestPrefix, len(prefix))
	}
	for _, list := range t.routesByPrefix {
		// A route for certain methods takes precedence over one for all methods.
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.Methods) - len(a.Methods) })
	}
}

func indexByName[T any, P rowPointer[T]](list []T) map[string]*T {
	m := make(map[string]*T, len(list))
	for i := range list {
		m[P(&list[i]).ref().Name] = &list[i]
	}
	return m
}

// Match returns the route with the longest path prefix, in whole segments, among
// those that accept the method. Of two routes with the same prefix, the one that
// lists the method wins. The path is the decoded path of the request (url.URL.Path).
// A path for which MatchablePath is false matches no route.
func (t *Tables) Match(method, path string) (*Route, bool) {
	if !MatchablePath(path) {
		return nil, false
	}
	for end := len(path); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if end <= t.longestPrefix {
			for _, route := range t.routesByPrefix[path[:end]] {
				if len(route.Methods) == 0 || slices.Contains(route.Methods, method) {
					return route, true
				}
			}
		}
	}
	return nil, false
}

// MatchablePath reports whether all HTTP servers resolve a request path in the same
// way: it starts with '/', and has no empty segment except the last one, no '.' or
// '..' segment (also with a ';' parameter), no backslash and no control character.
// Another path could match an open route here, and the backend server could resolve
// it to the path of a protected one.
func MatchablePath(path string) bool {
	if path == "" || path[0] != '/' {
		return false
	}
	start := 1
	for i := 1; i <= len(path); i++ {
		if i < len(path) && path[i] != '/' {
			if path[i] == '\\' || path[i] < ' ' || path[i] == 0x7f {
				return false
			}
			continue
		}
		segment := path[start:i]
		if cut := strings.IndexByte(segment, ';'); cut >= 0 {
			segment = segment[:cut]
		}
		if segment == "." || segment == ".." || segment == "" && i < len(path) {
			return false
		}
		start = i + 1
	}
	return true
}

// WorkspaceOfKey returns the workspace that a key belongs to.
func (t *Tables) WorkspaceOfKey(digest KeyDigest) (workspace string, ok bool) {
	workspace, ok = t.keys[digest]
	return workspace, ok
}

// Allowed reports whether the workspace may use the route. Requests without a key
// have the empty workspace, which may use open routes only.
func (t *Tables) Allowed(route *Route, workspace string) bool {
	switch {
	case route.Open:
		return true
	case workspace == "":
		return false
	case len(route.Workspaces) == 0:
		return true
	}
	_, found := slices.BinarySearch(route.Workspaces, workspace)
	return found
}

// Route returns the route with the given name, or false if there is none.
func (t *Tables) Route(name string) (*Route, bool) {
	r := findRow(t.rows.routes, RowRef{KindRoute, name})
	return r, r != nil
}

// Pool returns the pool with the given name, or false if there is none.
func (t *Tables) Pool(name string) (*Pool, bool) {
	p, ok := t.pools[name]
	return p, ok
}

// Workspace returns the workspace with the given name, or false if there is none.
func (t *Tables) Workspace(name string) (*Workspace, bool) {
	w, ok := t.workspaces[name]
	return w, ok
}

// Server returns the backend server's row, or false if there is none.
func (t *Tables) Server(name string) (*Server, bool) {
	s, ok := t.servers[name]
	return s, ok
}

// Routes returns the routes, sorted by name.
func (t *Tables) Routes() []Route { return slices.Clone(t.rows.routes) }

// Keys returns the keys, sorted by digest.
func (t *Tables) Keys() []Key { return slices.Clone(t.rows.keys) }

// Pools returns the pools, sorted by name.
func (t *Tables) Pools() []Pool { return slices.Clone(t.rows.pools) }

// Workspaces returns the workspaces, sorted by name.
func (t *Tables) Workspaces() []Workspace { return slices.Clone(t.rows.workspaces) }

// Servers returns the backend servers, sorted by name.
func (t *Tables) Servers() []Server { return slices.Clone(t.rows.servers) }

// RowCount returns the number of rows in both tables.
func (t *Tables) RowCount() int { return t.rows.count() }

// Digest returns the digest of the canonical form.
func (t *Tables) Digest() Digest { return t.digest }
