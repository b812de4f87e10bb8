package zonespill

import (
	"cmp"
	"slices"
	"time"
)

// mixDecay is the factor by which Apportion reduces what was recorded before, so that at
// four updates a second a route's weight halves in about 1.7 s.
const mixDecay = 0.9

// use is what the attempts of a route took: slot time, and bytes on the peer link. normal is
// the slot time as it would have been at a server of mean speed.
type use struct{ attempts, seconds, normal, bytes float64 }

// Mix holds what the routes of one service use of its slots and of the peer links, as one
// daemon measures it. If a part of the attempts has to leave the zone, the routes with the
// fewest bytes per slot-second leave first: they relieve the zone's servers as much, and
// large uploads stay.
type Mix struct {
	routes  map[string]*use
	leaving map[string]float64 // by route
}

// Record adds one attempt. relative is the service time of its server as a multiple of the
// mean of all servers.
func (m *Mix) Record(route string, service time.Duration, relative float64, bytes int) {
	if m.routes == nil {
		m.routes = map[string]*use{}
	}
	u := m.routes[route]
	if u == nil {
		u = &use{}
		m.routes[route] = u
	}
	u.attempts++
	u.seconds += service.Seconds()
	u.normal += service.Seconds() / relative
	u.bytes += float64(bytes)
}

// ServiceTime returns the mean service time of a route's attempts at a server of mean speed,
// 0 if it is not known.
func (m *Mix) ServiceTime(route string) time.Duration {
	u := m.routes[route]
	if u == nil {
		return 0
	}
	return time.Duration(u.normal / u.attempts * float64(time.Second))
}

// Apportion computes the share of each route's attempts that leaves, so that the given
// share of the slot time leaves.
func (m *Mix) Apportion(leaving float64) {
	total := 0.0
	routes := make([]string, 0, len(m.routes))
	for route, u := range m.routes {
		u.attempts *= mixDecay
		u.seconds *= mixDecay
		u.normal *= mixDecay
		u.bytes *= mixDecay
		if u.seconds < 1e-6 {
			delete(m.routes, route)
			continue
		}
		routes = append(routes, route)
		total += u.seconds
	}
	slices.SortFunc(routes, func(a, b string) int {
		x, y := m.routes[a], m.routes[b]
		return cmp.Or(cmp.Compare(x.bytes*y.seconds, y.bytes*x.seconds), cmp.Compare(a, b))
	})
	m.leaving = make(map[string]float64, len(routes))
	left := leaving * total
	for _, route := range routes {
		part := min(left, m.routes[route].seconds)
		left -= part
		m.leaving[route] = part / m.routes[route].seconds
	}
}

// Leaving returns the share of a route's attempts that leaves the zone. ok is false if
// nothing is known of the route.
func (m *Mix) Leaving(route string) (share float64, ok bool) {
	share, ok = m.leaving[route]
	return share, ok
}
