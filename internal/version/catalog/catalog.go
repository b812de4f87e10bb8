// Package catalog indexes one published version of the operators' tables for a
// fleet on a shared platform, where routes are selected by the host and path prefix
// of the request and lead to services instead of pools. The platform validates a
// version before it publishes it, so New rejects only rows that cannot serve any
// request. A Catalog is immutable and safe for concurrent use.
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

// Version is the number of a published version; 0 means that none is known.
type Version uint64

// Share is the weight of one service in a route's traffic split.
type Share struct {
	Service string `cbor:"1,keyasint"`
	Weight  int    `cbor:"2,keyasint"`
}

// Route says which requests it matches, which services they go to and how they are handled.
type Route struct {
	Name string `cbor:"1,keyasint"`
	// Host is the host that requests name in their Host field, not a machine.
	Host string `cbor:"2,keyasint"`
	// PathPrefix begins and ends with a slash.
	PathPrefix string `cbor:"3,keyasint"`
	// Shares is the traffic split of the route; most routes have one service.
	Shares     []Share `cbor:"4,keyasint"`
	Idempotent bool    `cbor:"5,keyasint,omitempty"`
	// Importance orders requests under overload; 0 is shed last.
	Importance tables.Importance `cbor:"6,keyasint,omitempty"`
	// Timeout bounds the time until the caller gets a response; with 0 only the
	// caller's deadline does.
	Timeout time.Duration `cbor:"7,keyasint,omitempty"`
	// LatencyTarget is the latency objective of the route, 0 if it has none. It orders requests
	// of the same importance in the queues of the backend servers, and the choice of an
	// availability zone depends on it.
	LatencyTarget time.Duration `cbor:"8,keyasint,omitempty"`
	// MaxAttempts is the maximum number of upstreams that one request is sent to.
	MaxAttempts int `cbor:"9,keyasint,omitempty"`
	// Open routes need no key.
	Open bool `cbor:"10,keyasint,omitempty"`
}

// Workspace is a customer with its keys and its rate limit for the whole fleet.
type Workspace struct {
	Name string `cbor:"1,keyasint"`
	// Keys is empty in a decoded snapshot, which has KeyDigests only.
	Keys       []string           `cbor:"-"`
	KeyDigests []tables.KeyDigest `cbor:"2,keyasint,omitempty"`
	// Rate is in requests per second, 0: unlimited.
	Rate float64 `cbor:"3,keyasint,omitempty"`
	// Burst is in requests.
	Burst float64 `cbor:"4,keyasint,omitempty"`
	// Importance replaces that of the route if HasImportance is set.
	Importance    tables.Importance `cbor:"5,keyasint,omitempty"`
	HasImportance bool              `cbor:"6,keyasint,omitempty"`
}

// Limits bound the size and the timing of callers' requests.
type Limits struct {
	HeaderBytes   int           `cbor:"1,keyasint,omitempty"`
	BodyBytes     int64         `cbor:"2,keyasint,omitempty"`
	HeaderTimeout time.Duration `cbor:"3,keyasint,omitempty"`
	IdleTimeout   time.Duration `cbor:"4,keyasint,omitempty"`
}

// WarmUp says how many requests a backend server of a service handles after its start.
type WarmUp struct {
	Service string `cbor:"1,keyasint"`
	// Time is how long a server stays cold after its start.
	Time time.Duration `cbor:"2,keyasint,omitempty"`
	// Rate is the number of requests per second that a cold server can handle, 0: not
	// limited.
	Rate float64 `cbor:"3,keyasint,omitempty"`
	// HealthPath is the path at which a server reports how long it stays cold.
	HealthPath string `cbor:"4,keyasint,omitempty"`
}

// Content is a published version as read, before New indexes it.
type Content struct {
	Version    Version     `cbor:"1,keyasint"`
	Routes     []Route     `cbor:"2,keyasint,omitempty"`
	Services   []string    `cbor:"3,keyasint,omitempty"`
	Workspaces []Workspace `cbor:"4,keyasint,omitempty"`
	Limits     Limits      `cbor:"5,keyasint"`
	// WarmUps holds the services whose cold servers are limited.
	WarmUps []WarmUp `cbor:"6,keyasint,omitempty"`
}

// Catalog is an indexed version.
type Catalog struct {
	version          Version
	routesByHost     map[string][]*Route
	services         map[string]bool
	workspacesByKey  map[tables.KeyDigest]*Workspace
	workspacesByName map[string]*Workspace
	limits           Limits
	warmUps          map[string]WarmUp
	fractions        map[string][]shedding.TrafficShare // traffic split by route name; each adds up to 1
}

// New indexes a version. It returns an error that names the route if one cannot serve
// any request. New removes the plain keys from content.Workspaces.
func New(content Content) (*Catalog, error) {
	c := &Catalog{
		version:          content.Version,
		routesByHost:     make(map[string][]*Route),
		services:         make(map[string]bool, len(content.Services)),
		workspacesByKey:  make(map[tables.KeyDigest]*Workspace),
		workspacesByName: make(map[string]*Workspace, len(content.Workspaces)),
		limits:           content.Limits,
		warmUps:          make(map[string]WarmUp, len(content.WarmUps)),
		fractions:        make(map[string][]shedding.TrafficShare, len(content.Routes)),
	}
	for _, name := range content.Services {
		c.services[name] = true
	}
	for _, w := range content.WarmUps {
		c.warmUps[w.Service] = w
	}
	for i := range content.Routes {
		route := &content.Routes[i]
		if err := validate(route); err != nil {
			return nil, err
		}
		host := strings.ToLower(route.Host)
		c.routesByHost[host] = append(c.routesByHost[host], route)
		c.fractions[route.Name] = fractions(route)
	}
	for _, routes := range c.routesByHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
	for i := range content.Workspaces {
		workspace := &content.Workspaces[i]
		c.workspacesByName[workspace.Name] = workspace
		for _, digest := range workspace.digests() {
			c.workspacesByKey[digest] = workspace
		}
		workspace.Keys, workspace.KeyDigests = nil, nil // keep only the index in memory
	}
	return c, nil
}

// validate returns an error if the route cannot serve any request.
func validate(route *Route) error {
	switch {
	case route.Host == "" || !strings.HasPrefix(route.PathPrefix, "/"):
		return eris.Errorf("route %q has no host or no path prefix; publish both", route.Name)
	case len(route.Shares) == 0:
		return eris.Errorf("route %q names no service; publish a service or a traffic split", route.Name)
	}
	for _, share := range route.Shares {
		if share.Service == "" || share.Weight < 0 {
			return eris.Errorf("route %q has a share without a service or with a negative weight; correct the traffic split", route.Name)
		}
	}
	return nil
}

// Version returns the number of the version.
func (c *Catalog) Version() Version { return c.version }

// Limits returns the bounds on callers' requests.
func (c *Catalog) Limits() Limits { return c.limits }

// HasService reports whether the version has a service with the given name.
func (c *Catalog) HasService(name string) bool { return c.services[name] }

// WarmUp returns how many requests a cold server of a service handles. The Rate of a
// service without a limit is 0.
func (c *Catalog) WarmUp(service string) WarmUp { return c.warmUps[service] }

// Match returns, of the routes for the host, the one with the longest path prefix that
// matches the path. The port in host is ignored unless a route's Host has one.
func (c *Catalog) Match(host, path string) (*Route, bool) {
	host = strings.ToLower(host)
	routes, ok := c.routesByHost[host]
	if !ok {
		if name, _, found := strings.Cut(host, ":"); found {
			routes = c.routesByHost[name]
		}
	}
	for _, route := range routes {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route, true
		}
	}
	return nil, false
}

// RequiresKeys reports whether requests need a key on routes that are not open, which
// is so if the version has any workspace.
func (c *Catalog) RequiresKeys() bool { return len(c.workspacesByName) > 0 }

// WorkspaceOfKey returns the workspace that the key belongs to.
func (c *Catalog) WorkspaceOfKey(key string) (*Workspace, bool) {
	workspace, ok := c.workspacesByKey[tables.DigestKey(key)]
	return workspace, ok
}

// Workspace returns the workspace with the given name.
func (c *Catalog) Workspace(name string) (*Workspace, bool) {
	workspace, ok := c.workspacesByName[name]
	return workspace, ok
}

// EachRoute calls visit for each route.
func (c *Catalog) EachRoute(visit func(*Route)) {
	for _, routes := range c.routesByHost {
		for _, route := range routes {
			visit(route)
		}
	}
}

// TrafficSplit returns the fraction of a route's requests that each service gets, or
// nil if there is no route with that name.
func (c *Catalog) TrafficSplit(route string) []shedding.TrafficShare { return c.fractions[route] }

// fractions converts the weights of a route to fractions that add up to 1. If all
// weights are 0, the services get equal fractions.
func fractions(route *Route) []shedding.TrafficShare {
	total := 0
	for _, share := range route.Shares {
		total += share.Weight
	}
	list := make([]shedding.TrafficShare, 0, len(route.Shares))
	for _, share := range route.Shares {
		part := 1 / float64(len(route.Shares))
		if total > 0 {
			part = float64(share.Weight) / float64(total)
		}
		list = append(list, shedding.TrafficShare{Service: share.Service, Fraction: part})
	}
	return list
}
