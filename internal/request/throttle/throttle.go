// Package throttle lowers, where a request enters the fleet, the admitted share of the
// call trees that need a service whose queues refuse calls for lack of room.
//
// The load for which it exists: a service deep in the call graph runs at 93% of its slots,
// and the requests of callers double within 100 ms. The shedding plan is computed from
// reports that are a second old. Until it has followed, trees are admitted whose last calls
// are refused, after the other calls have used the slots that complete trees need.
//
// The answers to requests carry the services that refused a call of their tree. From them
// each entry daemon learns within the time of one tree what share of the trees that it
// admits a service has room for. This is client-side throttling: each daemon admits slightly
// more trees than were lately completed for it. There are up to 95 daemons with 5 to 60
// requests a second each, over 8 to 64 importances, so that all counts are small: they are
// smoothed, and one refused tree is not acted upon.
//
// A Throttle is a pure state machine and not safe for concurrent use.
package throttle

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

const (
	// maxServices bounds the services whose trees are counted. Their names come from peers.
	maxServices = 256
	// forgetTime is how long a service without requests and refusals is kept, and a route
	// counts as needing a service that the plan does not know of.
	forgetTime = 10 * time.Second
)

// Throttle holds the admitted shares of one entry daemon.
type Throttle struct {
	floor    float64
	rng      *rand.Rand
	needs    func(route string) []string
	services map[string]*service
}

// New returns a throttle that admits everything. floor is the smallest admitted share of an
// importance, relative to the admitted share of all requests (shedding.Options.Floor).
// needs returns the services that a request of a route needs, as far as they are known, in
// order of name.
func New(floor float64, rng *rand.Rand, needs func(route string) []string) *Throttle {
	return &Throttle{floor: floor, rng: rng, needs: needs, services: make(map[string]*service)}
}

// Arrive counts a caller's request, whether the shedding plan admits it or not.
func (t *Throttle) Arrive(now time.Time, route string, importance uint8) {
	for _, name := range t.needs(route) {
		if s := t.service(now, name); s != nil {
			s.arrive(importance)
		}
	}
	for name, s := range t.services {
		if s.learned(now, route) && !contains(t.needs(route), name) {
			s.advance(now, t.floor)
			s.arrive(importance)
		}
	}
}

// Admit decides whether a request that the shedding plan has admitted starts. planned is the
// share of such requests that the plan admits. If the request is refused, service names the
// service that has refused calls of other requests.
func (t *Throttle) Admit(now time.Time, route string, importance uint8, planned float64) (admitted bool, service string) {
	share, limiting := planned, ""
	for name, s := range t.services {
		if s.share >= 1 || !contains(t.needs(route), name) && !s.learned(now, route) {
			continue
		}
		s.advance(now, t.floor)
		if own := s.shareOf(importance); own < share || own == share && limiting != "" && name < limiting {
			share, limiting = own, name
		}
	}
	if limiting == "" {
		return true, ""
	}
	// The share is one of all requests. The plan has already refused its part of them.
	if t.services[limiting].spend(importance, share/planned, t.rng) {
		return true, ""
	}
	return false, limiting
}

// Finish counts a request that was admitted and has ended. refusedBy lists the services that
// refused a call of its tree for lack of room.
func (t *Throttle) Finish(now time.Time, route string, refusedBy []string) {
	for _, name := range refusedBy {
		if s := t.service(now, name); s != nil {
			s.routes[route] = now
			s.refusedAt = now
			s.newest().refused++
		}
	}
	needs := t.needs(route)
	for name, s := range t.services {
		if contains(needs, name) || s.learned(now, route) {
			s.advance(now, t.floor)
			s.newest().needed++
		}
	}
}

// service returns the state of a service as of now, a new one if it is not known, or nil if
// there are too many.
func (t *Throttle) service(now time.Time, name string) *service {
	s := t.services[name]
	if s == nil {
		if len(t.services) >= maxServices {
			return nil
		}
		s = newService(now)
		t.services[name] = s
	}
	s.advance(now, t.floor)
	s.usedAt = now
	return s
}

// contains reports whether a sorted list has a name.
func contains(sorted []string, name string) bool {
	_, found := slices.BinarySearch(sorted, name)
	return found
}

// Limit describes a service whose trees are not all admitted.
type Limit struct {
	Service string
	// Share is the admitted share of the requests that need the service, Least the smallest
	// one of an importance.
	Share, Least float64
	// Needed and Refused are the trees that ended in the last second, and those of which
	// the service refused a call.
	Needed, Refused int
}

// Limits returns the services that requests are refused for, in order of name, and forgets
// those that are not in use.
func (t *Throttle) Limits(now time.Time) []Limit {
	var limits []Limit
	for name, s := range t.services {
		s.advance(now, t.floor)
		if now.Sub(s.usedAt) > forgetTime {
			delete(t.services, name)
			continue
		}
		if s.share >= 1 {
			continue
		}
		needed, refused := s.sums()
		limit := Limit{Service: name, Share: s.share, Least: 1, Needed: needed, Refused: refused}
		for _, share := range s.shares {
			limit.Least = min(limit.Least, share)
		}
		limits = append(limits, limit)
	}
	slices.SortFunc(limits, func(a, b Limit) int { return strings.Compare(a.Service, b.Service) })
	return limits
}
