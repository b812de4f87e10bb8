// Package serverspeed tracks how fast a backend server works at this moment, from what the
// server reports with its responses.
//
// Some servers share their machines with others and slow down by a factor of 4 to 12 for
// tens of milliseconds to seconds, many times per second. A service time averaged over runs
// follows only after these runs have ended, when hundreds of attempts wait at a server that
// can no longer finish them in time. The server's own report divides the two: the work of
// a request, which is averaged, and the speed, of which the newest value counts.
//
// The types are pure state machines and not safe for concurrent use.
package serverspeed

import (
	"math"
	"slices"
	"time"
)

const (
	// smoothingRuns is the number of runs over which the service time at normal speed is
	// averaged, as in package runqueue.
	smoothingRuns = 64
	// minPercent and maxPercent bound the reported values: a faulty report must neither take
	// a server out of use nor draw all attempts to it.
	minPercent = 10
	maxPercent = 5000
	// riseFactor is by how much the value must rise until waiting attempts are looked at
	// again.
	riseFactor = 1.1
	// Without a report for freshTime the value decays to normal, its excess by half in each
	// halvingTime: a slow server gets no attempts, and only a response shows its recovery.
	freshTime   = 250 * time.Millisecond
	halvingTime = 500 * time.Millisecond
)

// Speed is what is known of the speed of one server.
type Speed struct {
	percent    float64 // newest reported value, 100: normal; 0: none was reported
	reportedAt time.Time
	normal     float64 // smoothed service time at normal speed, in seconds
	considered float64 // the value at the last rise, or a lower one since
}

// Report applies a reported value in percent, at most once for each response. It returns
// true if the value has risen, so that attempts in the queue may have to leave.
func (s *Speed) Report(now time.Time, percent int) (rose bool) {
	s.percent, s.reportedAt = float64(min(max(percent, minPercent), maxPercent)), now
	if s.considered == 0 {
		s.considered = 100
	}
	rose = s.percent > riseFactor*s.considered
	if rose || s.percent < s.considered {
		s.considered = s.percent
	}
	return rose
}

// Forget returns to the initial state, since the server does not report its speed.
func (s *Speed) Forget() { *s = Speed{} }

// Known reports whether the server reports its speed.
func (s *Speed) Known() bool { return s.percent > 0 }

// RecordRun adds the service time of a run that ended at the newest reported speed.
func (s *Speed) RecordRun(took time.Duration) {
	if !s.Known() || took <= 0 {
		return
	}
	normal := took.Seconds() * 100 / s.percent
	if s.normal == 0 {
		s.normal = normal
		return
	}
	s.normal += (normal - s.normal) / smoothingRuns
}

// Percent returns the value that counts now, 0 if none was reported.
func (s *Speed) Percent(now time.Time) int {
	age := now.Sub(s.reportedAt) - freshTime
	if !s.Known() || age <= 0 {
		return int(s.percent)
	}
	return int(math.Round(100 + (s.percent-100)*math.Exp2(-age.Seconds()/halvingTime.Seconds())))
}

// ServiceTime returns the service time of a request that starts now, 0 if it is not known.
func (s *Speed) ServiceTime(now time.Time) time.Duration {
	return time.Duration(s.normal * float64(s.Percent(now)) / 100 * float64(time.Second))
}

// NormalServiceTime returns the service time at normal speed, 0 if it is not known.
func (s *Speed) NormalServiceTime() time.Duration {
	return time.Duration(s.normal * float64(time.Second))
}

// Waiting is an attempt in the queue of the server.
type Waiting struct {
	Arrived   time.Time
	Objective time.Time // of its latency; zero: none
	Movable   bool      // its sender can send it to another upstream
}

// Late returns the indices of the attempts that leave the queue of a server that has become
// slower, newest first: those that can be moved and would miss their objective here, but not
// if they started elsewhere now. waiting is in the order in which the attempts start, and
// limit is how many run at once. Each attempt that leaves makes room for those behind it.
func (s *Speed) Late(now time.Time, waiting []Waiting, limit int) []int {
	if s.normal == 0 || limit <= 0 {
		return nil
	}
	newestFirst := make([]int, 0, len(waiting))
	for i, w := range waiting {
		if w.Movable && !w.Objective.IsZero() && now.Add(s.NormalServiceTime()).Before(w.Objective) {
			newestFirst = append(newestFirst, i)
		}
	}
	slices.SortFunc(newestFirst, func(a, b int) int { return waiting[b].Arrived.Compare(waiting[a].Arrived) })
	took := s.ServiceTime(now)
	var late []int
	for _, i := range newestFirst {
		position := i + 1
		for _, left := range late {
			if left < i {
				position--
			}
		}
		end := now.Add(took + time.Duration(float64(position)/float64(limit)*float64(took)))
		if end.After(waiting[i].Objective) {
			late = append(late, i)
		}
	}
	return late
}
