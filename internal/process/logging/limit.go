package logging

import (
	"sync"
	"time"
)

// Limiter limits the rate at which lines of one event are written. It is safe for
// concurrent use.
type Limiter struct {
	perSecond int

	mu      sync.Mutex
	second  int64
	written int
	dropped int
}

// NewLimiter returns a limiter that allows perSecond lines in each second.
func NewLimiter(perSecond int) *Limiter { return &Limiter{perSecond: perSecond} }

// Allow reports whether a line may be written at now. If so, dropped is the number of
// lines that were not allowed since the last allowed one.
func (l *Limiter) Allow(now time.Time) (ok bool, dropped int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := now.Unix(); second != l.second {
		l.second, l.written = second, 0
	}
	if l.written >= l.perSecond {
		l.dropped++
		return false, 0
	}
	l.written++
	dropped, l.dropped = l.dropped, 0
	return true, dropped
}
