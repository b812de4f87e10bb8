package load

import (
	"sync"
	"time"
)

// entitlement counts the rate and burst of each workspace exactly, as one token
// bucket at the callers would. A refusal for rate of a try that the bucket
// admits is a wrongful one.
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

// take charges a try and tells whether the workspace's rate admits it.
func (e *entitlement) take(workspace int, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	b := &e.buckets[workspace]
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.level = min(b.burst, b.level+elapsed.Seconds()*b.rate)
		b.at = now
	}
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}
