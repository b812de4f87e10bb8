// Package catalog holds one published version of the operators' tables in the
// form that a fleet on a shared platform uses: routes by host and path prefix,
// services in the place of pools, workspaces with their keys. The platform has
// checked a version before it is published; New only rejects what no request
// could use. A Catalog is immutable and safe for concurrent use.
package catalog

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"tarragonshore.example/tarragonshore/internal/request/shedding"
	"tarragonshore.example/tarragonshore/internal/version/tables"
)

// Version numbers the published versions. 0 means that none is known.
type Version uint64

// Share is the part of a route's requests that goes to one service.
type Share struct {
	Service string
	Weight  int
}

// Route says where requests go and how they may be treated.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	// Shares lists the services of the route; most routes have one.
	Shares     []Share
	Idempotent bool
	// Importance orders requests under overload; 0 is shed last.
	Importance tables.Importance
	// Timeout bounds the time in which a caller gets an answer; 0: no bound but
	// the caller's deadline.
	Timeout time.Duration
	// Target is the latency objective of the route.
	Target time.Duration
	// Attempts is the greatest number of upstreams that one request may be sent to.
	Attempts int
	// Open routes need no key.
	Open bool
}

// Workspace is a customer with its keys and its rate over the whole fleet.
type Workspace struct {
	Name string
	Keys []string
	// Rate is in requests per second, 0: unlimited.
	Rate float64
	// Burst is in requests.
	Burst float64
	// Importance, if HasImportance, replaces that of the route.
	Importance    tables.Importance
	HasImportance bool
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Content is a version before it is indexed.
type Content struct {
	Version    Version
	Routes     []Route
	Services   []string
	Workspaces []Workspace
	Limits     Limits
}

// Catalog is an indexed version.
type Catalog struct {
	version  Version
	byHost   map[string][]*Route
	services map[string]bool
	keys     map[tables.KeyDigest]*Workspace
	names    map[string]*Workspace
	limits   Limits
	parts    map[string][]shedding.Share // by route
}

// New indexes a version. The error names the first row that cannot be used.
func New(content Content) (*Catalog, error) {
	c := &Catalog{
		version:  content.Version,
		byHost:   make(map[string][]*Route),
		services: make(map[string]bool, len(content.Services)),
		keys:     make(map[tables.KeyDigest]*Workspace),
		names:    make(map[string]*Workspace, len(content.Workspaces)),
		limits:   content.Limits,
		parts:    make(map[string][]shedding.Share, len(content.Routes)),
	}
	for _, name := range content.Services {
		c.services[name] = true
	}
	for i := range content.Routes {
		route := &content.Routes[i]
		if err := usable(route); err != nil {
			return nil, err
		}
		host := strings.ToLower(route.Host)
		c.byHost[host] = append(c.byHost[host], route)
		c.parts[route.Name] = parts(route)
	}
	for _, routes := range c.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
	for i := range content.Workspaces {
		workspace := &content.Workspaces[i]
		c.names[workspace.Name] = workspace
		for _, key := range workspace.Keys {
			c.keys[tables.DigestKey(key)] = workspace
		}
		workspace.Keys = nil // only digests stay in memory
	}
	return c, nil
}

// usable returns what is wrong with a route.
func usable(route *Route) error {
	switch {
	case route.Host == "" || !strings.HasPrefix(route.PathPrefix, "/"):
		return eris.Errorf("route %q has no host or no path prefix; publish both", route.Name)
	case len(route.Shares) == 0:
		return eris.Errorf("route %q names no service; publish a service or a split", route.Name)
	}
	for _, share := range route.Shares {
		if share.Service == "" || share.Weight < 0 {
			return eris.Errorf("route %q has a share without a service or with a negative weight; correct the split", route.Name)
		}
	}
	return nil
}

// Version returns the number of the version.
func (c *Catalog) Version() Version { return c.version }

// Limits returns what a caller may send.
func (c *Catalog) Limits() Limits { return c.limits }

// Service reports whether the version has a service of the name.
func (c *Catalog) Service(name string) bool { return c.services[name] }

// Match returns the route of a host whose path prefix is the longest one that
// begins the path.
func (c *Catalog) Match(host, path string) (*Route, bool) {
	host = strings.ToLower(host)
	routes, ok := c.byHost[host]
	if !ok {
		if name, _, found := strings.Cut(host, ":"); found {
			routes = c.byHost[name]
		}
	}
	for _, route := range routes {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route, true
		}
	}
	return nil, false
}

// Keyed reports whether the version has workspaces, so that requests on routes
// that are not open need a key.
func (c *Catalog) Keyed() bool { return len(c.names) > 0 }

// WorkspaceOfKey returns the workspace that a key belongs to.
func (c *Catalog) WorkspaceOfKey(key string) (*Workspace, bool) {
	workspace, ok := c.keys[tables.DigestKey(key)]
	return workspace, ok
}

// Workspace returns the workspace of a name.
func (c *Catalog) Workspace(name string) (*Workspace, bool) {
	workspace, ok := c.names[name]
	return workspace, ok
}

// Routes calls visit for each route.
func (c *Catalog) Routes(visit func(*Route)) {
	for _, routes := range c.byHost {
		for _, route := range routes {
			visit(route)
		}
	}
}

// SharesOf returns the parts of a route's requests by service, nil if there is
// no route of the name.
func (c *Catalog) SharesOf(route string) []shedding.Share { return c.parts[route] }

// parts returns the shares of a route as parts of one.
func parts(route *Route) []shedding.Share {
	total := 0
	for _, share := range route.Shares {
		total += share.Weight
	}
	list := make([]shedding.Share, 0, len(route.Shares))
	for _, share := range route.Shares {
		part := 1 / float64(len(route.Shares))
		if total > 0 {
			part = float64(share.Weight) / float64(total)
		}
		list = append(list, shedding.Share{Service: share.Service, Part: part})
	}
	return list
}
