package runqueue

import "time"

// SetServiceTime replaces the smoothed service time by one that takes the current speed of the
// backend server into account. Runs that end are still added to it until the next call.
func (q *Queue) SetServiceTime(serviceTime time.Duration) {
	if serviceTime > 0 {
		q.serviceTime = serviceTime
	}
}
