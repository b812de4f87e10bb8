package load

import (
	"sync"
	"time"
)

// entitlement tells which refusals for rate are wrongful: those of a workspace
// whose rate and burst, charged with what the system did admit, have room for the
// request. It keeps one exact token bucket per workspace at the callers.
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

// sent charges a try and tells whether the workspace's rate has room for it.
func (e *entitlement) sent(workspace int, now time.Time) bool {
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

// ended corrects the charge of a try when it is known whether the system
// refused it for rate.
func (e *entitlement) ended(workspace int, charged, refused bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch b := &e.buckets[workspace]; {
	case charged && refused:
		b.level++
	case !charged && !refused:
		b.level--
	}
}
