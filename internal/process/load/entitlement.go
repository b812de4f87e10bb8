package load

import (
	"sync"
	"time"
)

// entitlement determines which tries conform to the rate and burst of their
// workspace, so that the report can count wrongful refusals. It charges all tries of
// a workspace, refused ones included, to one token bucket, whose level may be negative,
// down to -burst. After a workspace exceeded its rate, its tries therefore do not conform
// until it has sent below its rate for a while: if it sends nothing, for at most the time
// in which an empty bucket fills.
type entitlement struct {
	mu      sync.Mutex
	buckets []tokenBucket
}

// tokenBucket is the rate limit of one workspace. The daemons together should admit
// as much as this one bucket.
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

// charge charges a try and reports whether it conforms to the workspace's rate.
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
