package runqueue

import (
	"time"
)

// maxLimitedWait is the time within which the queue should be able to start what it
// holds, while the starts are limited.
const maxLimitedWait = 500 * time.Millisecond

// ReasonStartsLimited refuses an attempt that another upstream would run earlier.
const ReasonStartsLimited Reason = "starts-limited"

// StartLimiter limits the starts at a backend server whose slots alone do not tell how
// much it can handle.
type StartLimiter interface {
	// Allow reports whether an attempt may start now, and otherwise the time until one may.
	Allow(now time.Time) (ok bool, wait time.Duration)
	// Started records a start.
	Started(now time.Time)
	// Rate returns the starts per second that are allowed, 0 if they are not limited.
	Rate() float64
}

// SetStartLimiter sets the limiter of the starts, nil for none.
func (q *Queue) SetStartLimiter(l StartLimiter) { q.limiter = l }

// rateLimit returns the smaller of limit and the number of attempts that run at once at
// the rate to which starts are limited.
func (q *Queue) rateLimit(limit int) int {
	rate := q.StartRate()
	if rate <= 0 {
		return limit
	}
	return min(limit, max(1, int(rate*q.serviceTime.Seconds())))
}

// StartRate returns the starts per second that are allowed, 0 if they are not limited.
func (q *Queue) StartRate() float64 {
	if q.limiter == nil {
		return 0
	}
	return q.limiter.Rate()
}

// limitedWait returns the queueing time of a new attempt of a class while starts are limited,
// 0 if they are not. The slots tell nothing about it then: most are free.
func (q *Queue) limitedWait(now time.Time, class int) time.Duration {
	rate := q.StartRate()
	if rate <= 0 {
		return 0
	}
	_, wait := q.limiter.Allow(now)
	ahead := 0
	for c := range class + 1 {
		ahead += q.classes[c].arrivals.Len()
	}
	return wait + time.Duration(trustedWaitShare*float64(ahead)/rate*float64(time.Second))
}

// mayStart reports whether the start limiter allows a start.
func (q *Queue) mayStart(now time.Time) bool {
	if q.limiter == nil {
		return true
	}
	ok, _ := q.limiter.Allow(now)
	return ok
}

// Excess returns how many waiting attempts the start limiter keeps from starting within
// maxLimitedWait, 0 if starts are not limited.
func (q *Queue) Excess(now time.Time) int {
	if q.limiter == nil || len(q.waiting) == 0 {
		return 0
	}
	_, wait := q.limiter.Allow(now)
	rate := q.limiter.Rate()
	if rate <= 0 {
		return 0
	}
	startable := 0
	if wait <= maxLimitedWait {
		startable = 1 + int((maxLimitedWait-wait).Seconds()*rate)
	}
	return max(0, len(q.waiting)-startable)
}
