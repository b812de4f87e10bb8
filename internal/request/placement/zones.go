package placement

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// tolerableWait is the wait at the chosen zone's best upstream, as a multiple of its
	// service time, above which an attempt goes to another zone beyond the shares.
	tolerableWait = 0.25
	// waitDifference is by how much longer, as a multiple of the service time, the wait in
	// the chosen zone is than in another one if an attempt goes there although that one
	// has no room either.
	waitDifference = 1.0
	// slowFactor is the multiple of the shortest service time in any zone above which an
	// upstream does not keep attempts in its zone: the speeds of healthy servers differ by
	// a factor of three, those of disturbed ones by 4 to 12.
	slowFactor = 4.0
	// roomShare is the fraction of its limit up to which an upstream of another zone takes
	// attempts beyond the shares. The other daemons see the same room at the same time, so
	// that the last slots are left to the zone itself.
	roomShare = 0.9
	// fasterShare is the share of what is left of the latency objective that an attempt must
	// be expected to save in another zone to go there beyond the shares. Bytes between zones
	// are charged for, so that a small gain does not pay.
	fasterShare = 0.2
	// assumedObjective is the latency objective assumed for routes without one.
	assumedObjective = 250 * time.Millisecond
)

// ZoneShare is the fraction of a service's attempts that goes to an availability zone.
type ZoneShare struct {
	Zone     string
	SameZone bool // this daemon's zone
	Share    float64
}

// Request describes the attempt that an upstream is chosen for.
type Request struct {
	Exclude []string // upstreams that are not chosen, since they had an attempt of the same call
	// Objective is what is left of the latency objective; 0: there is none.
	Objective time.Duration
	// ServiceTime is the mean service time of the request's route at an upstream of mean
	// speed; 0: not known.
	ServiceTime time.Duration
	// SlowZones are the zones whose network path is too slow for the request.
	SlowZones []string
	// Leaving replaces the share of attempts that leaves the zone, if HasLeaving is set.
	Leaving    float64
	HasLeaving bool
}

// SetShares sets the shares by zone. Without any, Pick compares upstreams of all zones.
func (t *Table) SetShares(shares []ZoneShare) { t.shares = shares }

// Zone returns the zone of an upstream, and whether it is this daemon's.
func (t *Table) Zone(id string) (zone string, same bool) {
	if s := t.find(id); s != nil {
		return s.Zone, s.SameZone
	}
	return "", false
}

// pickByShares chooses a zone by the shares and an upstream in it. It returns nil if no
// zone with a share has a healthy candidate.
func (t *Table) pickByShares(now time.Time, rng *rand.Rand, r *Request) *upstreamState {
	zone, ok := t.chooseZone(now, rng, r)
	if !ok {
		return nil
	}
	in := func(s *upstreamState) bool { return s.Zone == zone && s.eligible(now, nil, false) }
	if rng.Float64() < explorationShare {
		if s := t.draw(rng, func(s *upstreamState) bool { return in(s) && !s.full() }); s != nil {
			return s
		}
	}
	best := t.cheaperOfTwo(now, rng, in)
	if best.failureRatio(now) <= compareAllAbove && !t.waits(best) && !t.slow(best) {
		return t.orFaster(now, rng, r, best)
	}
	healthy := func(s *upstreamState) bool { return in(s) && s.failureRatio(now) <= compareAllAbove }
	if free := t.cheapestOf(now, func(s *upstreamState) bool { return healthy(s) && !t.waits(s) && !t.slow(s) }); free != nil {
		return t.orFaster(now, rng, r, free)
	}
	if full := t.cheapestOf(now, healthy); full != nil {
		return t.pickBeyondShares(now, rng, r, full)
	}
	return t.cheapestOf(now, func(s *upstreamState) bool { return s.eligible(now, nil, false) })
}

// pickBeyondShares chooses an upstream if every healthy candidate of the chosen zone would
// make the attempt wait; full is the cheapest of them. Another zone gets it if an upstream
// there has room or a much shorter wait. If its path is too slow, it gets the attempt only if
// the wait in the chosen zone exceeds the objective.
func (t *Table) pickBeyondShares(now time.Time, rng *rand.Rand, r *Request, full *upstreamState) *upstreamState {
	elsewhere := t.elsewhere(now, r, full.Zone)
	other := t.cheaperOfTwo(now, rng, func(s *upstreamState) bool { return elsewhere(s) && t.hasRoom(s) })
	if other != nil {
		return other
	}
	wait := t.waitOf(full)
	other = t.cheaperOfTwo(now, rng, elsewhere)
	if other != nil && wait-t.waitOf(other) > waitDifference*t.serviceSeconds(full) {
		return other
	}
	objective := r.Objective
	if objective <= 0 {
		objective = assumedObjective
	}
	if wait <= objective.Seconds() {
		return full
	}
	return t.cheapestOf(now, func(s *upstreamState) bool { return s.eligible(now, nil, false) })
}

// elsewhere returns the condition for healthy candidates in other zones whose path is not
// too slow.
func (t *Table) elsewhere(now time.Time, r *Request, zone string) func(*upstreamState) bool {
	return func(s *upstreamState) bool {
		return s.Zone != zone && !slices.Contains(r.SlowZones, s.Zone) && s.eligible(now, nil, false) && s.failureRatio(now) <= compareAllAbove
	}
}

// orFaster returns best, or an upstream of another zone that has room and is expected to
// finish the request earlier by a fifth of what is left of its objective. Otherwise the
// callers of a zone whose servers are slow would miss their objectives although others have room.
func (t *Table) orFaster(now time.Time, rng *rand.Rand, r *Request, best *upstreamState) *upstreamState {
	// Once the objective has passed, only a gain of half of the usual time pays.
	least := max(fasterShare*r.Objective.Seconds(), r.ServiceTime.Seconds()/2)
	if r.ServiceTime <= 0 || r.Objective <= 0 || r.ServiceTime.Seconds()*t.relativeTime(best)+t.waitOf(best) < least {
		return best
	}
	elsewhere := t.elsewhere(now, r, best.Zone)
	other := t.cheaperOfTwo(now, rng, func(s *upstreamState) bool { return elsewhere(s) && t.hasRoom(s) })
	if other == nil {
		return best
	}
	saved := r.ServiceTime.Seconds()*(t.relativeTime(best)-t.relativeTime(other)) + t.waitOf(best) - t.waitOf(other)
	if saved >= least {
		return other
	}
	return best
}

// relativeTime returns the service time of an upstream as a multiple of the mean of all.
func (t *Table) relativeTime(s *upstreamState) float64 {
	sum := 0.0
	for _, other := range t.upstreams {
		sum += t.serviceSeconds(other)
	}
	return t.serviceSeconds(s) / sum * float64(len(t.upstreams))
}

// RelativeTime is relativeTime for the upstream with an id, 1 if it is not known.
func (t *Table) RelativeTime(id string) float64 {
	if s := t.find(id); s != nil {
		return t.relativeTime(s)
	}
	return 1
}

// slow reports whether an upstream takes much longer for a request than another one.
func (t *Table) slow(s *upstreamState) bool {
	shortest := t.serviceSeconds(s)
	for _, other := range t.upstreams {
		shortest = min(shortest, t.serviceSeconds(other))
	}
	return t.serviceSeconds(s) > slowFactor*shortest
}

// hasRoom reports whether an upstream takes attempts beyond the shares.
func (t *Table) hasRoom(s *upstreamState) bool {
	if s.SameZone {
		return !s.full()
	}
	return float64(s.outstanding()+1) <= roomShare*float64(s.Load.Limit)
}

// waits reports whether a new attempt would wait for longer than is tolerable.
func (t *Table) waits(s *upstreamState) bool { return t.waitOf(s) > tolerableWait*t.serviceSeconds(s) }

// waitOf estimates how long a new attempt would wait at an upstream, in seconds.
func (t *Table) waitOf(s *upstreamState) float64 { return s.waitInServiceTimes() * t.serviceSeconds(s) }

// chooseZone draws a zone by the shares, of those with a candidate that is not ejected and
// whose network path is not too slow, or this daemon's zone if none of them has a share. ok
// is false if there is no candidate in either.
func (t *Table) chooseZone(now time.Time, rng *rand.Rand, r *Request) (zone string, ok bool) {
	kept := 0.0
	for _, z := range t.shares {
		if z.SameZone {
			kept = z.Share
		}
	}
	weight := func(z ZoneShare) float64 {
		if !z.SameZone && slices.Contains(r.SlowZones, z.Zone) || !t.hasCandidate(now, z.Zone) {
			return 0
		}
		switch {
		case !r.HasLeaving || kept >= 1:
			return z.Share
		case z.SameZone:
			return 1 - r.Leaving
		}
		return z.Share / (1 - kept) * r.Leaving
	}
	total := 0.0
	for _, z := range t.shares {
		total += weight(z)
	}
	if total <= 0 {
		i := slices.IndexFunc(t.upstreams, func(s *upstreamState) bool { return s.SameZone && s.eligible(now, nil, false) })
		if i < 0 {
			return "", false
		}
		return t.upstreams[i].Zone, true
	}
	x := rng.Float64() * total
	for _, z := range t.shares {
		w := weight(z)
		if w <= 0 {
			continue
		}
		zone = z.Zone
		if x -= w; x < 0 {
			break
		}
	}
	return zone, true
}

// excludeSlowZones returns the excluded upstreams of a request and those in zones whose network
// path is too slow for it, or only the former if no other candidate that is not ejected
// would remain.
func (t *Table) excludeSlowZones(now time.Time, r *Request) []string {
	exclude, remains := slices.Clone(r.Exclude), false
	for _, s := range t.upstreams {
		if slices.Contains(r.SlowZones, s.Zone) {
			exclude = append(exclude, s.ID)
		} else {
			remains = remains || s.eligible(now, r.Exclude, false)
		}
	}
	if !remains {
		return r.Exclude
	}
	return exclude
}

// hasCandidate reports whether a zone has a candidate that is not ejected.
func (t *Table) hasCandidate(now time.Time, zone string) bool {
	return slices.ContainsFunc(t.upstreams, func(s *upstreamState) bool { return s.Zone == zone && s.eligible(now, nil, false) })
}

// cheaperOfTwo returns the cheaper of two random candidates, or nil if there is none.
func (t *Table) cheaperOfTwo(now time.Time, rng *rand.Rand, accept func(*upstreamState) bool) *upstreamState {
	first := t.draw(rng, accept)
	if first == nil {
		return nil
	}
	return t.orCheaper(now, rng, first, accept)
}

// orCheaper returns the cheaper of a candidate and another random one.
func (t *Table) orCheaper(now time.Time, rng *rand.Rand, first *upstreamState, accept func(*upstreamState) bool) *upstreamState {
	second := t.draw(rng, func(s *upstreamState) bool { return s != first && accept(s) })
	if second != nil && t.cost(now, second) < t.cost(now, first) {
		return second
	}
	return first
}

// cheapestOf returns the candidate with the lowest cost, or nil if there is none.
func (t *Table) cheapestOf(now time.Time, accept func(*upstreamState) bool) *upstreamState {
	var best *upstreamState
	least := 0.0
	for _, s := range t.upstreams {
		if !accept(s) {
			continue
		}
		if cost := t.cost(now, s); best == nil || cost < least {
			best, least = s, cost
		}
	}
	return best
}
