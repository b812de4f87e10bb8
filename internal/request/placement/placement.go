// Package placement chooses the upstream of an attempt from the loads that the
// executing daemons report.
//
// A service may run near its capacity on a few upstreams whose speeds differ by a
// factor of two or more, while every daemon of the fleet sends to all of them. The
// in-flight count of one sender then says little about an upstream's load, and
// balancing by it overloads the slow upstreams first. The executing daemon sees the
// whole load of its backend server; from its report and the attempts that this
// daemon has sent since, the completion time of a new attempt is estimated. Of two
// random candidates the one with the shorter time is chosen (power of two choices),
// which keeps senders with the same reports from all choosing the same upstream.
//
// Where a service has servers in several availability zones, package zonespill decides how
// much of its traffic goes to which zone (SetShares), and the two candidates are of one
// zone. Balancing over all upstreams would send more than a third of all attempts to other
// zones, where bytes are charged for.
//
// Package agent uses this package; package daemon uses routing instead.
//
// A Table is a pure state machine and not safe for concurrent use.
package placement

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// assumedServiceTime is the service time assumed while no upstream has reported one.
	assumedServiceTime = 50 * time.Millisecond
	// warmUpFactor multiplies the service time of an upstream that is warming up.
	warmUpFactor = 1.3
	// explorationShare is the fraction of choices that ignore cost and take a random
	// candidate with free slots. Without it, an upstream that was measured as slow, as
	// all are after their start, would get no request that shows its recovery.
	explorationShare = 0.05
	// crossZoneFactor multiplies the cost of an upstream in another availability zone:
	// traffic between zones is charged for, and links between them fail.
	crossZoneFactor = 1.25
	// failureWeight is the weight of the newest outcome in the failure ratio.
	failureWeight = 0.1
	// lossWeight is the cost of a lost request, as a multiple of the time that the
	// request takes. Higher values avoid failing upstreams more, lower ones keep the
	// queues at the other upstreams shorter.
	lossWeight = 1.0
	// maxFailureCost bounds the factor by which failures raise an upstream's cost.
	maxFailureCost = 20.0
	// failureHalvingTime is the time without outcomes after which the failure ratio has
	// decayed to half.
	failureHalvingTime = time.Second
	// compareAllAbove is the failure ratio of the chosen candidate above which all
	// candidates are compared: with few upstreams, both random ones are often failing.
	compareAllAbove = 0.2
	// ejectAfterFailures consecutive failures eject an upstream for ejectionTime, unless
	// that would eject more than maxEjectedShare of the candidates: several partially
	// failing upstreams still serve more than the others could take over.
	ejectAfterFailures = 5
	ejectionTime       = time.Second
	maxEjectedShare    = 0.5
)

// Load is what an executing daemon reports about its backend server.
type Load struct {
	Running int // requests at the backend server
	Waiting int // requests in the daemon's queue
	Limit   int // maximum concurrent requests
	// ServiceTime is the smoothed service time of the backend server; 0: not measured.
	ServiceTime time.Duration
}

// Upstream is a candidate as described by membership.
type Upstream struct {
	ID        string
	Zone      string
	SameZone  bool // in this daemon's availability zone
	WarmingUp bool
	Load      Load
	// ReportNumber increases with every report of one upstream.
	ReportNumber uint64
}

// Result is how an attempt ended.
type Result uint8

// The results.
const (
	Succeeded Result = iota + 1 // the backend server did the work
	Failed                      // error, corrupted or missing answer, or refusal by the backend server
	Refused                     // refused by the executing daemon; not a failure of the backend server
	Cancelled                   // cancelled by this daemon
)

// upstreamState is the state of one candidate as seen by this daemon.
type upstreamState struct {
	Upstream
	// sentSinceReport counts the attempts that this daemon sent since the newest report.
	sentSinceReport     int
	inFlight            int
	lastFailureRatio    float64   // smoothed failure ratio after the outcome at lastOutcomeAt
	lastOutcomeAt       time.Time // time of the last outcome, success or failure
	consecutiveFailures int
	ejectedUntil        time.Time
}

// Table holds the upstreams of one service.
type Table struct {
	upstreams []*upstreamState
	shares    []ZoneShare // see SetShares
}

// Update replaces the candidates and keeps the state of those that remain.
func (t *Table) Update(upstreams []Upstream) {
	next := make([]*upstreamState, 0, len(upstreams))
	for _, u := range upstreams {
		s := t.find(u.ID)
		if s == nil {
			s = &upstreamState{}
		}
		s.applyReport(u)
		next = append(next, s)
	}
	t.upstreams = next
}

// applyReport stores what membership says about the upstream, and its load report if
// that is newer than the stored one.
func (s *upstreamState) applyReport(u Upstream) {
	if u.ReportNumber > s.ReportNumber || s.ID == "" {
		s.sentSinceReport = 0
		s.Load, s.ReportNumber = u.Load, u.ReportNumber
	}
	s.ID, s.Zone, s.SameZone, s.WarmingUp = u.ID, u.Zone, u.SameZone, u.WarmingUp
}

// Report applies the load report that arrived with an answer, if it is newer.
func (t *Table) Report(id string, number uint64, load Load) {
	if s := t.find(id); s != nil && number > s.ReportNumber {
		s.Load, s.ReportNumber, s.sentSinceReport = load, number, 0
	}
}

func (t *Table) find(id string) *upstreamState {
	i := slices.IndexFunc(t.upstreams, func(s *upstreamState) bool { return s.ID == id })
	if i < 0 {
		return nil
	}
	return t.upstreams[i]
}

// Len returns the number of candidates.
func (t *Table) Len() int { return len(t.upstreams) }

// RecordStart records an attempt sent to an upstream.
func (t *Table) RecordStart(id string) {
	if s := t.find(id); s != nil {
		s.sentSinceReport++
		s.inFlight++
	}
}

// RecordResult records the result of an attempt. Only Succeeded and Failed change the
// failure ratio of the upstream.
func (t *Table) RecordResult(now time.Time, id string, result Result) {
	s := t.find(id)
	if s == nil {
		return
	}
	s.inFlight = max(0, s.inFlight-1)
	if result != Succeeded && result != Failed {
		return
	}
	s.lastFailureRatio = s.failureRatio(now) * (1 - failureWeight)
	s.lastOutcomeAt = now
	if result == Succeeded {
		s.consecutiveFailures = 0
		return
	}
	s.lastFailureRatio += failureWeight
	if s.consecutiveFailures++; s.consecutiveFailures >= ejectAfterFailures && t.mayEject(now, s) {
		s.ejectedUntil = now.Add(ejectionTime)
	}
}

// mayEject reports whether the candidate may be ejected in addition to those that
// already are.
func (t *Table) mayEject(now time.Time, s *upstreamState) bool {
	ejected := 1
	for _, other := range t.upstreams {
		if other != s && now.Before(other.ejectedUntil) {
			ejected++
		}
	}
	return float64(ejected) <= maxEjectedShare*float64(len(t.upstreams))
}

// failureRatio returns the smoothed failure ratio, which decays without outcomes.
func (s *upstreamState) failureRatio(now time.Time) float64 {
	age := now.Sub(s.lastOutcomeAt)
	if age <= 0 {
		return s.lastFailureRatio
	}
	return s.lastFailureRatio / (1 + float64(age)/float64(failureHalvingTime))
}

// outstanding estimates the number of attempts at the upstream, queued or running.
func (s *upstreamState) outstanding() int {
	return max(s.Load.Running+s.Load.Waiting+s.sentSinceReport, s.inFlight)
}

// full reports whether a new attempt would have to wait.
func (s *upstreamState) full() bool { return s.outstanding() >= s.Load.Limit }

// serviceSeconds returns the service time of an upstream, in seconds. For one that has
// not reported any, the mean of the others is assumed.
func (t *Table) serviceSeconds(s *upstreamState) float64 {
	if s.Load.ServiceTime > 0 {
		return s.Load.ServiceTime.Seconds()
	}
	sum, n := 0.0, 0
	for _, other := range t.upstreams {
		if other.Load.ServiceTime > 0 {
			sum += other.Load.ServiceTime.Seconds()
			n++
		}
	}
	if n == 0 {
		return assumedServiceTime.Seconds()
	}
	return sum / float64(n)
}

// cost estimates the completion time of a new attempt, in seconds, weighted by zone
// and failures.
func (t *Table) cost(now time.Time, s *upstreamState) float64 {
	seconds := t.serviceSeconds(s)
	if s.WarmingUp {
		seconds *= warmUpFactor
	}
	limit := float64(max(1, s.Load.Limit))
	outstanding := float64(s.outstanding())
	// The utilization term spreads load while no upstream is saturated.
	cost := seconds * (1 + s.waitInServiceTimes() + utilizationWeight*outstanding/limit)
	if !s.SameZone {
		cost *= crossZoneFactor
	}
	return cost * s.failureCost(now)
}

// failureCost returns the factor by which failures raise the cost: a failed attempt
// is retried, which takes more time, or the request is lost (see lossWeight).
func (s *upstreamState) failureCost(now time.Time) float64 {
	failureProbability := s.failureRatio(now)
	successProbability := 1 - failureProbability
	return min(maxFailureCost, (1+lossWeight*failureProbability)/max(successProbability*successProbability, 1/maxFailureCost))
}

// utilizationWeight is the weight of an upstream's slot utilization in its cost.
const utilizationWeight = 0.5

// Pick chooses the upstream of an attempt. Upstreams in r.Exclude are never chosen, ejected
// ones only if no other remains. ok is false if there is no candidate.
func (t *Table) Pick(now time.Time, rng *rand.Rand, r Request) (id string, ok bool) {
	if len(t.shares) == 0 {
		return t.pickAnyZone(now, rng, r.Exclude)
	}
	// A retry may go to any zone: the first upstream has failed or refused the request.
	if len(r.Exclude) == 0 {
		if best := t.pickByShares(now, rng, &r); best != nil {
			return best.ID, true
		}
	}
	return t.pickAnyZone(now, rng, t.excludeSlowZones(now, &r))
}

// pickAnyZone chooses the cheaper of two random candidates, the first of them in this
// daemon's zone if possible.
func (t *Table) pickAnyZone(now time.Time, rng *rand.Rand, exclude []string) (id string, ok bool) {
	if rng.Float64() < explorationShare {
		explored := t.draw(rng, func(s *upstreamState) bool { return s.eligible(now, exclude, false) && !s.full() })
		if explored != nil {
			return explored.ID, true
		}
	}
	for _, includeEjected := range []bool{false, true} {
		eligible := func(s *upstreamState) bool { return s.eligible(now, exclude, includeEjected) }
		first := t.draw(rng, func(s *upstreamState) bool { return s.SameZone && eligible(s) })
		if first == nil {
			first = t.draw(rng, eligible)
		}
		if first == nil {
			continue
		}
		best := t.orCheaper(now, rng, first, eligible)
		if best.failureRatio(now) > compareAllAbove {
			best = t.cheapest(now, best, exclude, includeEjected)
		}
		return best.ID, true
	}
	return "", false
}

// cheapest returns the candidate with the lowest cost: best, unless another one is
// cheaper.
func (t *Table) cheapest(now time.Time, best *upstreamState, exclude []string, includeEjected bool) *upstreamState {
	least := t.cost(now, best)
	for _, s := range t.upstreams {
		if !s.eligible(now, exclude, includeEjected) {
			continue
		}
		if cost := t.cost(now, s); cost < least {
			best, least = s, cost
		}
	}
	return best
}

// draw returns a random upstream that accept allows, weighted by capacity, or nil if
// there is none.
func (t *Table) draw(rng *rand.Rand, accept func(*upstreamState) bool) *upstreamState {
	total := 0.0
	for _, s := range t.upstreams {
		if accept(s) {
			total += t.weight(s)
		}
	}
	x := rng.Float64() * total
	var last *upstreamState
	for _, s := range t.upstreams {
		if !accept(s) {
			continue
		}
		last = s
		if x -= t.weight(s); x < 0 {
			break
		}
	}
	return last
}

// eligible reports whether the upstream may be chosen.
func (s *upstreamState) eligible(now time.Time, exclude []string, includeEjected bool) bool {
	return !slices.Contains(exclude, s.ID) && (includeEjected || !now.Before(s.ejectedUntil))
}

// weight returns the upstream's capacity in requests per second.
func (t *Table) weight(s *upstreamState) float64 {
	return float64(max(1, s.Load.Limit)) / t.serviceSeconds(s)
}
