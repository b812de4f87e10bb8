// Package rateshare divides a workspace's rate between the daemons by demand.
//
// Load pattern: the requests of a workspace enter at any host, a few a second
// at each and in shifting parts, and now and then at several times its rate.
// Fixed parts would refuse requests at one host while tokens expire at others.
// Therefore all daemons tell each other what they admitted; each keeps its own
// copy of the workspace's one token bucket, and may take its part of what is in
// there until the next report, proportional to its demand. The parts add up to
// the whole without a keeper that could fail: after the loss of every process
// the next ones divide the rate again as soon as they have heard of each other.
//
// A daemon that has fallen silent keeps its part for as long as it may still
// serve; the caller of Divide decides that.
//
// The types are pure state machines and not safe for concurrent use.
package rateshare

import (
	"math"
	"time"

	"tarragonshore.example/tarragonshore/internal/connection/wire"
)

const (
	// baseDemand is added to every daemon's demand, in requests per second, so
	// that one with no demand yet can admit its first requests.
	baseDemand = 0.3
	// demandTime is the time constant of the smoothed demand.
	demandTime = 2 * time.Second
	// initialShare is the part of the burst that a new bucket holds. A restart of
	// the whole fleet must not bring a new burst.
	initialShare = 0.25
	// minReported is the demand below which none is reported, per second.
	minReported = 0.02
	// Bounds of Retry-After.
	minWait = 100 * time.Millisecond
	maxWait = time.Second
)

// Limit is the rate of one workspace over the whole fleet.
type Limit struct {
	Rate  float64 // requests per second; 0: unlimited
	Burst float64 // requests
}

// Member is what another daemon reported.
type Member struct {
	Name        string
	Incarnation uint64
	// Uses is nil if it has not reported yet.
	Uses []wire.WorkspaceUse
}

// seen is the last report of one member about one workspace.
type seen struct {
	incarnation uint64
	admitted    uint64
}

// bucket is this daemon's copy of a workspace's bucket.
type bucket struct {
	limit    Limit
	level    float64 // of the whole bucket, as of at
	at       time.Time
	part     float64 // of this daemon, 0 to 1
	taken    float64 // by this daemon since at
	admitted uint64  // by this daemon since its start
	asked    int
	demand   float64
	members  map[string]seen
}

// Shares holds this daemon's copies of the buckets.
type Shares struct {
	buckets map[string]*bucket
}

// New returns shares without any bucket.
func New() *Shares { return &Shares{buckets: make(map[string]*bucket)} }

// Take asks for one token of a workspace. members is the number of daemons that
// may be admitting requests. wait is the time until a token is due.
func (s *Shares) Take(now time.Time, workspace string, limit Limit, members int) (ok bool, wait time.Duration) {
	if limit.Rate <= 0 {
		return true, 0
	}
	b := s.buckets[workspace]
	if b == nil {
		b = &bucket{limit: limit, at: now, level: initialShare * limit.Burst, part: 1 / float64(max(1, members)), members: map[string]seen{}}
		b.level = max(b.level, 1/b.part) // the first request anywhere is admitted
		s.buckets[workspace] = b
	}
	b.asked++
	flow := b.part * b.limit.Rate
	available := b.part*b.level + flow*now.Sub(b.at).Seconds() - b.taken
	if available >= 1 {
		b.taken++
		b.admitted++
		return true, 0
	}
	wait = time.Duration((1 - available) / max(flow, 1/maxWait.Seconds()) * float64(time.Second))
	return false, min(max(wait, minWait), maxWait)
}

// Uses ends an interval and returns what to report to the other daemons.
func (s *Shares) Uses(interval time.Duration) []wire.WorkspaceUse {
	weight := min(1, float64(interval)/float64(demandTime))
	uses := make([]wire.WorkspaceUse, 0, len(s.buckets))
	for workspace, b := range s.buckets {
		b.demand += weight * (float64(b.asked)/interval.Seconds() - b.demand)
		b.asked = 0
		if b.demand >= minReported || b.admitted > 0 {
			uses = append(uses, wire.WorkspaceUse{Workspace: workspace, Demand: b.demand, Admitted: b.admitted})
		}
	}
	return uses
}

// Divide brings the buckets up to date with what the other daemons reported and
// sets this daemon's parts.
func (s *Shares) Divide(now time.Time, members []Member, limit func(workspace string) Limit) {
	for workspace, b := range s.buckets {
		b.limit = limit(workspace)
		b.level += b.limit.Rate*now.Sub(b.at).Seconds() - b.taken
		b.at, b.taken = now, 0
		own := b.demand + baseDemand
		total := own
		for i := range members {
			total += b.account(&members[i], workspace, own)
		}
		// A debt beyond one burst comes from reports that were late.
		b.level = min(max(b.level, -b.limit.Burst), b.limit.Burst)
		b.part = own / total
	}
}

// account takes what a member admitted since its last report off the bucket and
// returns its demand.
func (b *bucket) account(m *Member, workspace string, own float64) float64 {
	if m.Uses == nil {
		return own // not known yet: assume as much as here
	}
	for _, use := range m.Uses {
		if use.Workspace != workspace {
			continue
		}
		last, known := b.members[m.Name]
		switch {
		case known && last.incarnation == m.Incarnation && use.Admitted >= last.admitted:
			b.level -= float64(use.Admitted - last.admitted)
		case known:
			b.level -= float64(use.Admitted) // a new start counts from zero
		}
		b.members[m.Name] = seen{incarnation: m.Incarnation, admitted: use.Admitted}
		return math.Max(use.Demand, 0) + baseDemand
	}
	return baseDemand
}
