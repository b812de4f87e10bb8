// Package placement chooses the upstream of an attempt from the loads that the
// executing daemons report.
//
// Load pattern: a service runs near its capacity on a few upstreams whose
// speeds differ by a factor of two or more, and every daemon of the fleet
// sends to all of them. In-flight counts of one sender say little then, so
// that a choice by them fills the slow upstreams first. The executing daemon
// sees all work of its backend server; its report, corrected by what this
// daemon sent since, gives the time until a new attempt would be done. Of two
// random candidates the one with the shorter time wins, which keeps senders
// with equally old reports from choosing the same upstream.
//
// A Table is a pure state machine and not safe for concurrent use.
package placement

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// assumedService is the service time of an upstream that has not reported one.
	assumedService = 50 * time.Millisecond
	// warmUpFactor is how much slower an upstream counts that is still warming up.
	warmUpFactor = 2.0
	// failureWeight is the weight of the newest outcome in the failure ratio.
	failureWeight = 0.1
	// maxFailureCost bounds the factor by which failures raise an upstream's cost.
	maxFailureCost = 20.0
	// failureForget is the time in which the failure ratio halves without outcomes.
	failureForget = time.Second
	// asideAfter failures in a row set an upstream aside for asideTime.
	asideAfter = 5
	asideTime  = time.Second
)

// Load is what an executing daemon reports about its backend server.
type Load struct {
	Running int // requests at the backend server
	Waiting int // requests in the daemon's queue
	Limit   int // requests that may run at once
	// Service is the smoothed time at the backend server; 0: not measured.
	Service time.Duration
}

// Upstream is a candidate as membership knows it.
type Upstream struct {
	ID      string
	Local   bool // on this daemon's host
	Warming bool
	Load    Load
	// Number orders the reports of one upstream; a greater one is newer.
	Number uint64
}

// Result is how an attempt ended.
type Result uint8

// The results.
const (
	Succeeded Result = iota + 1 // the backend server did the work
	Failed                      // error, spoiled or missing answer, or refusal by the backend server
	Refused                     // by the executing daemon; says nothing about the backend server
	Abandoned                   // by this side
)

type state struct {
	Upstream
	// unreported counts the attempts sent since the newest report.
	unreported int
	inFlight   int
	failures   float64 // smoothed share of failures
	failedAt   time.Time
	inRow      int
	asideUntil time.Time
}

// Table holds the upstreams of one service.
type Table struct {
	upstreams []*state
}

// Update replaces the candidates. What was measured about those that stay is kept.
func (t *Table) Update(upstreams []Upstream) {
	next := make([]*state, 0, len(upstreams))
	for _, u := range upstreams {
		s := t.find(u.ID)
		if s == nil {
			s = &state{}
		}
		s.take(u)
		next = append(next, s)
	}
	t.upstreams = next
}

// take replaces the report of an upstream by a newer one.
func (s *state) take(u Upstream) {
	if u.Number > s.Number {
		s.unreported = 0
		s.Load, s.Number = u.Load, u.Number
	}
	s.ID, s.Local, s.Warming = u.ID, u.Local, u.Warming
}

// Report takes the load that came with an answer.
func (t *Table) Report(id string, number uint64, load Load) {
	if s := t.find(id); s != nil && number > s.Number {
		s.Load, s.Number, s.unreported = load, number, 0
	}
}

func (t *Table) find(id string) *state {
	i := slices.IndexFunc(t.upstreams, func(s *state) bool { return s.ID == id })
	if i < 0 {
		return nil
	}
	return t.upstreams[i]
}

// Len returns the number of candidates.
func (t *Table) Len() int { return len(t.upstreams) }

// Started counts an attempt that is sent.
func (t *Table) Started(id string) {
	if s := t.find(id); s != nil {
		s.unreported++
		s.inFlight++
	}
}

// Finished ends an attempt.
func (t *Table) Finished(now time.Time, id string, result Result) {
	s := t.find(id)
	if s == nil {
		return
	}
	s.inFlight = max(0, s.inFlight-1)
	if result != Succeeded && result != Failed {
		return
	}
	s.failures = s.failureShare(now) * (1 - failureWeight)
	s.failedAt = now
	if result == Succeeded {
		s.inRow = 0
		return
	}
	s.failures += failureWeight
	if s.inRow++; s.inRow >= asideAfter {
		s.asideUntil = now.Add(asideTime)
	}
}

// failureShare returns the smoothed share of failures, forgotten over time.
func (s *state) failureShare(now time.Time) float64 {
	age := now.Sub(s.failedAt)
	if age <= 0 {
		return s.failures
	}
	return s.failures / (1 + float64(age)/float64(failureForget))
}

// cost estimates the time until a new attempt would be done, in seconds.
func (s *state) cost(now time.Time) float64 {
	service := s.Load.Service
	if service <= 0 {
		service = assumedService
	}
	seconds := service.Seconds()
	if s.Warming {
		seconds *= warmUpFactor
	}
	limit := float64(max(1, s.Load.Limit))
	ahead := float64(max(s.Load.Running+s.Load.Waiting+s.unreported, s.inFlight))
	waits := max(0, ahead+1-limit) / limit
	// A small term for partly filled upstreams spreads load below saturation.
	cost := seconds * (1 + waits + spreadWeight*ahead/limit)
	if share := s.failureShare(now); share > 0 {
		cost *= min(maxFailureCost, 1/(1-min(share, 1-1/maxFailureCost))/(1-min(share, 1-1/maxFailureCost)))
	}
	return cost
}

// spreadWeight is the weight of the occupied share of an upstream's slots in its cost.
const spreadWeight = 0.5

// Pick returns the better of two random candidates. Those in exclude are left
// out, and those set aside if others remain. ok is false if there is none.
func (t *Table) Pick(now time.Time, rng *rand.Rand, exclude []string) (id string, ok bool) {
	var best *state
	for _, aside := range []bool{false, true} {
		first := t.draw(now, rng, exclude, nil, aside)
		if first == nil {
			continue
		}
		best = first
		if second := t.draw(now, rng, exclude, first, aside); second != nil && second.cost(now) < first.cost(now) {
			best = second
		}
		return best.ID, true
	}
	return "", false
}

// draw returns a random candidate other than one, weighted by its capacity.
func (t *Table) draw(now time.Time, rng *rand.Rand, exclude []string, other *state, aside bool) *state {
	total := 0.0
	for _, s := range t.upstreams {
		if s != other && s.eligible(now, exclude, aside) {
			total += s.weight()
		}
	}
	x := rng.Float64() * total
	var last *state
	for _, s := range t.upstreams {
		if s == other || !s.eligible(now, exclude, aside) {
			continue
		}
		last = s
		if x -= s.weight(); x < 0 {
			return s
		}
	}
	return last
}

func (s *state) eligible(now time.Time, exclude []string, aside bool) bool {
	return !slices.Contains(exclude, s.ID) && (aside || !now.Before(s.asideUntil))
}

// weight is the upstream's capacity in requests per second.
func (s *state) weight() float64 {
	service := s.Load.Service
	if service <= 0 {
		service = assumedService
	}
	return float64(max(1, s.Load.Limit)) / service.Seconds()
}
