// Package comeback chooses the Retry-After of requests that the shedding plan refuses.
//
// A burst of twice the planned demand for a second refuses as many requests as the plan
// admits in that second. If all are told to come back within the same second, whatever the
// load, they exceed the plan again, and some are refused several times; after a shorter
// burst they come back later than they had to. The requests of a class that an entry
// refuses are therefore spread over the time to come, so that no more come back at a time
// than the plan leaves room for.
//
// No package uses it yet; docs/design/retry-after.md says how the entry would.
//
// A Scheduler is a pure state machine and not safe for concurrent use.
package comeback

import "time"

const (
	// maxTimeShare is the largest Retry-After as a share of the caller's remaining time, so
	// that two more tries fit into it, and unscheduledMax the bound for callers with little
	// time: a third of it would make them try more often than now.
	maxTimeShare   = 1.0 / 3
	unscheduledMax = 1400 * time.Millisecond
	// minWait is the least Retry-After if there is room, since the plan changes every
	// 250 ms, and unscheduledMin the least one if there is none within the bound.
	minWait        = 250 * time.Millisecond
	unscheduledMin = 400 * time.Millisecond
	// minRoom is the least room for requests that come back, as a share of the admitted
	// rate: while fresh requests alone exceed the plan, some of those that come back are
	// admitted in their place.
	minRoom = 0.25
	// bucketTime is the resolution of the schedule, bucketCount its length.
	bucketTime  = 100 * time.Millisecond
	bucketCount = 64
	// returnedBuckets is the number of past buckets from which the rate of the requests that
	// come back is taken.
	returnedBuckets = 5
	// maxClasses bounds the number of classes; those without a request to come back are
	// forgotten first.
	maxClasses = 1024
)

// Class is a class of requests in the shedding plan.
type Class struct {
	Route      string
	Importance uint8
}

// Demand is the demand of a class at this entry.
type Demand struct {
	Rate  float64 // requests per second, those that come back included
	Share float64 // that the plan admits
}

// schedule counts the refused requests of a class by the time at which they come back.
type schedule struct {
	counts [bucketCount]uint32 // of bucket b at index b % bucketCount
	last   int64               // the bucket of the last call
}

// Scheduler schedules the return of refused requests.
type Scheduler struct{ classes map[Class]*schedule }

// RetryAfter returns when a request refused at now should come back: at the earliest time
// with room, otherwise when the fewest others do. remaining is the caller's time, and
// fraction a number in [0, 1) that spreads callers.
func (s *Scheduler) RetryAfter(now time.Time, c Class, d Demand, remaining time.Duration, fraction float64) time.Duration {
	current := bucketOf(now)
	schedule := s.of(current, c)
	schedule.advance(current)
	limit := max(time.Duration(maxTimeShare*float64(remaining)), unscheduledMax)
	last := min(bucketOf(now.Add(limit))-1, current+bucketCount-returnedBuckets-1)
	room, best := schedule.room(current, d), bucketOf(now.Add(unscheduledMin))
	for b := bucketOf(now.Add(minWait)) + 1; b <= last; b++ {
		if float64(schedule.count(b)) < room {
			best = b
			break
		}
		if b > best && schedule.count(b) < schedule.count(best) {
			best = b
		}
	}
	schedule.counts[best%bucketCount]++
	start := time.Duration(best)*bucketTime - time.Duration(now.UnixNano())
	return min(limit, start+time.Duration(fraction*float64(bucketTime)))
}

func bucketOf(at time.Time) int64 { return at.UnixNano() / int64(bucketTime) }

// room returns the number of requests that may come back in one bucket: what the plan
// admits beyond the fresh requests.
func (s *schedule) room(current int64, d Demand) float64 {
	returned := 0.0
	for b := current - returnedBuckets; b < current; b++ {
		returned += float64(s.count(b))
	}
	fresh := max(0, d.Rate-returned/(returnedBuckets*bucketTime.Seconds()))
	admitted := d.Rate * d.Share
	return max(minRoom*admitted, admitted-fresh) * bucketTime.Seconds()
}

func (s *schedule) count(bucket int64) uint32 { return s.counts[bucket%bucketCount] }

// advance forgets the buckets before those that count as returned.
func (s *schedule) advance(current int64) {
	for b := max(s.last-returnedBuckets, current-returnedBuckets-bucketCount); b < current-returnedBuckets; b++ {
		s.counts[b%bucketCount] = 0
	}
	s.last = max(s.last, current)
}

// of returns the schedule of a class. At the limit, it forgets the classes without a
// request to come back or, if there is none, all: their next requests are scheduled as
// the first ones.
func (s *Scheduler) of(current int64, c Class) *schedule {
	if found := s.classes[c]; found != nil {
		return found
	}
	if len(s.classes) >= maxClasses {
		for name, other := range s.classes {
			if other.last+bucketCount < current {
				delete(s.classes, name)
			}
		}
	}
	if s.classes == nil || len(s.classes) >= maxClasses {
		s.classes = make(map[Class]*schedule)
	}
	added := &schedule{last: current}
	s.classes[c] = added
	return added
}
