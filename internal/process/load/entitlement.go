package load

import (
	"sync"
	"time"
)

// entitlement tells which tries are inside the rate of their workspace: all
// tries of the workspace together, also refused ones, fit its rate and burst. A
// workspace that sends more is outside its rate until it has sent less for as
// long as its bucket takes to fill from empty.
type entitlement struct {
	mu      sync.Mutex
	buckets []tokenBucket
}

// tokenBucket is the bucket that the whole system together is to behave like.
type tokenBucket struct {
	level, rate, burst float64
	at                 time.Time
}

func newEntitlement(workspaces []WorkspaceSpec, now time.Time) *entitlement {
	e := &entitlement{}
	for _, w := range workspaces {
		e.buckets = append(e.buckets, tokenBucket{level: float64(w.Burst), rate: w.Rate, burst: float64(w.Burst), at: now})
	}
	return e
}

// sent charges a try and tells whether it is inside the workspace's rate.
func (e *entitlement) charge(workspace int, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	b := &e.buckets[workspace]
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.level = min(b.burst, b.level+elapsed.Seconds()*b.rate)
		b.at = now
	}
	b.level = max(b.level-1, -b.burst)
	return b.level >= 0
}
