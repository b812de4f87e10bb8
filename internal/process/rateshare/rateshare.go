// Package rateshare divides a workspace's rate between the daemons by demand.
//
// Load pattern: the requests of a workspace enter at any host, in shifting
// parts, and now and then at several times its rate. Each daemon reports its
// own demand and admits its proportional part of rate and burst, so that the
// parts of all daemons add up to the whole without a keeper that could fail:
// after the loss of every process the next ones divide the rate again as soon
// as they have heard of each other.
//
// A daemon that has fallen silent keeps its part for holdTime, since it may
// still serve. Until then it has certainly stopped: a daemon that cannot read
// the platform's store refuses keyed requests before that.
//
// The types are pure state machines and not safe for concurrent use.
package rateshare

import (
	"time"

	"tarragonshore.example/tarragonshore/internal/request/shedding"
)

const (
	// baseDemand is added to every daemon's demand, in requests per second, so
	// that one with no demand yet can admit its first requests.
	baseDemand = 0.3
	// minTokens is the least capacity of a bucket.
	minTokens = 1.5
	// initialShare is the part of its capacity that a new bucket holds. A
	// restart of the whole fleet must not bring a new burst.
	initialShare = 0.25
	// maxWait bounds Retry-After.
	maxWait = time.Second
	// minWait is the least Retry-After.
	minWait = 100 * time.Millisecond
)

// Limit is the rate of one workspace over the whole fleet.
type Limit struct {
	Rate  float64 // requests per second; 0: unlimited
	Burst float64 // requests
}

type bucket struct {
	tokens   float64
	capacity float64
	rate     float64 // of this daemon, tokens per second
	at       time.Time
	demand   shedding.Rate
}

// Shares holds this daemon's parts.
type Shares struct {
	buckets map[string]*bucket
}

// New returns shares without any part.
func New() *Shares { return &Shares{buckets: make(map[string]*bucket)} }

// Take asks for one token of a workspace. wait is the time until one is due.
func (s *Shares) Take(now time.Time, workspace string, limit Limit, members int) (ok bool, wait time.Duration) {
	if limit.Rate <= 0 {
		return true, 0
	}
	b := s.buckets[workspace]
	if b == nil {
		b = &bucket{at: now}
		b.resize(limit, 1/float64(max(1, members)))
		b.tokens = max(1, initialShare*b.capacity)
		s.buckets[workspace] = b
	}
	b.demand.Add()
	b.fill(now)
	if b.tokens >= 1 {
		b.tokens--
		return true, 0
	}
	wait = maxWait
	if b.rate > 0 {
		wait = time.Duration((1 - b.tokens) / b.rate * float64(time.Second))
	}
	return false, min(max(wait, minWait), maxWait)
}

func (b *bucket) fill(now time.Time) {
	elapsed := now.Sub(b.at).Seconds()
	if elapsed > 0 {
		b.tokens = min(b.capacity, b.tokens+elapsed*b.rate)
		b.at = now
	}
}

// resize sets rate and capacity to a part of the limit.
func (b *bucket) resize(limit Limit, part float64) {
	b.rate = limit.Rate * part
	b.capacity = max(minTokens, limit.Burst*part)
	b.tokens = min(b.tokens, b.capacity)
}

// Demands ends an interval and returns this daemon's demand by workspace, in
// requests per second.
func (s *Shares) Demands(interval time.Duration) map[string]float64 {
	demands := make(map[string]float64, len(s.buckets))
	for workspace, b := range s.buckets {
		if rate := b.demand.Tick(interval); rate >= minReported {
			demands[workspace] = rate
		}
	}
	return demands
}

// minReported is the demand below which none is reported, in requests per second.
const minReported = 0.05

// Divide sets this daemon's parts. others holds the demands of the other
// members; a nil entry stands for a member whose demand is not known yet.
func (s *Shares) Divide(now time.Time, others []map[string]float64, limit func(workspace string) Limit) {
	for workspace, b := range s.buckets {
		b.fill(now)
		own := b.demand.PerSecond() + baseDemand
		total := own
		for _, demands := range others {
			if demands == nil {
				total += max(own, baseDemand) // assume as much as here
				continue
			}
			total += demands[workspace] + baseDemand
		}
		b.resize(limit(workspace), own/total)
	}
}
