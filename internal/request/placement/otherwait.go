package placement

import (
	"slices"
	"time"
)

// ejectedWait is the wait assumed at an upstream that is ejected: its queue is empty, since
// it fails.
const ejectedWait = time.Minute

// OtherWait returns the least time for which a new attempt would wait at a candidate other
// than id that is not in exclude. ok is false if there is no such candidate.
func (t *Table) OtherWait(now time.Time, id string, exclude []string) (wait time.Duration, ok bool) {
	for _, s := range t.upstreams {
		if s.ID == id || s.Load.Limit <= 0 || slices.Contains(exclude, s.ID) {
			continue
		}
		w := time.Duration(t.waitOf(s) * float64(time.Second))
		if now.Before(s.ejectedUntil) {
			w = ejectedWait
		}
		if !ok || w < wait {
			wait, ok = w, true
		}
	}
	return wait, ok
}

// waitInServiceTimes estimates the queueing time of a new attempt, in service times.
func (s *upstreamState) waitInServiceTimes() float64 {
	limit := float64(max(1, s.Load.Limit))
	return max(0, float64(s.outstanding())+1-limit) / limit
}
