// Package warmup limits the rate at which requests are started at a backend server that
// has just started.
//
// A cold server handles a few requests per second and crashes well above that rate, while
// the senders of a whole fleet, which know it as fast, return to it in the same moment:
// after a restart that nobody announced, the attempts that waited for the old process
// start within milliseconds at the new one. The daemon beside the server is the only
// sender that sees their sum. Its Limiter follows the server's own reports of how long it
// stays cold, treats the server as cold from each sign of a restart until a report made
// after it says otherwise, paces the starts meanwhile, and bounds the requests that can
// reach the server in any second.
//
// A Limiter is a pure state machine and not safe for concurrent use.
package warmup

import (
	"math"
	"slices"
	"time"
)

const (
	// window is the time over which starts are counted: the second for which the bound
	// holds, and a margin for the time that a request takes to reach the server, which
	// varies with the load of the host.
	window = time.Second + 50*time.Millisecond
	// minRate bounds the time between two starts that the pace is adapted to.
	minRate = 1e-6
	// catchUpTime is for how long a start that was allowed and not made can be made up
	// for. The queue is checked every 20 ms, so that starts are often late.
	catchUpTime = 100 * time.Millisecond
	// confirmationTime is how long a sign of a restart may take to be refuted by the
	// server before Rate shows the limit. A server that loses single connections responds
	// on its health path within milliseconds, and senders should not turn away from it.
	confirmationTime = 50 * time.Millisecond
)

// Sign is why the server may have restarted.
type Sign string

// The signs.
const (
	SignDaemonStarted        Sign = "daemon-started" // nothing is known of the server yet
	SignOtherStart           Sign = "heartbeat-of-another-start"
	SignConnectionRefused    Sign = "connection-refused"
	SignConnectionLost       Sign = "connection-lost" // closed or reset before the response
	SignIdleConnectionClosed Sign = "idle-connection-closed"
	SignNoResponse           Sign = "no-response"  // to any run, for as long as one lasted
	SignOtherServer          Sign = "other-server" // another server responds at the address
	SignHeartbeatsMissed     Sign = "heartbeats-missed"
	SignEvacuationFinished   Sign = "evacuation-finished"
)

// Tolerance states how many requests may reach a cold server in any second: its rate
// times Overage, plus Slack.
type Tolerance struct{ Overage, Slack float64 }

// Limiter decides when requests may start at one backend server. All methods that take
// the time may change the state that Rate and Suspected return.
type Limiter struct {
	tolerance Tolerance
	silence   time.Duration // without a report, after which heartbeats count as missed
	known     bool          // SetRate was called
	rate      float64       // requests per second of the cold server; 0: not limited

	coldUntil   time.Time // by the last report
	reportMade  time.Time // when the last accepted report was made
	reportedAt  time.Time // when it arrived; zero: there was none
	suspected   bool
	suspectedAt time.Time // the newest sign
	unrefutedAt time.Time // the first sign since the last report that refuted one
	sign        Sign      // the reason of the newest sign

	inFlight  int         // started, and not ended
	reached   []time.Time // when those that ended reached the server, in the last window
	nextStart time.Time   // by the pace
	fullUntil time.Time   // the starts before are not known, and count as many as allowed
	limited   bool        // a limit is in force
	shown     bool        // Rate shows it
}

// New returns a limiter that knows nothing of the requests that another process may have
// started before now.
func New(now time.Time, tolerance Tolerance, silence time.Duration) *Limiter {
	l := &Limiter{tolerance: tolerance, silence: silence, fullUntil: now.Add(window)}
	l.Suspect(now, SignDaemonStarted)
	return l
}

// SetRate sets the requests per second that the cold server can handle, 0 for a server
// that is not limited.
func (l *Limiter) SetRate(now time.Time, rate float64) {
	if l.rate <= 0 && rate > 0 {
		l.fullUntil = now.Add(window) // requests were not recorded
	}
	l.known, l.rate = true, rate
	switch latest := now.Add(time.Duration(float64(time.Second) / max(rate, minRate))); {
	case rate <= 0:
		l.reached = nil
	case l.nextStart.After(latest):
		l.nextStart = latest // it was paced by a lower rate
	}
	l.Advance(now)
}

// Report applies a report that arrived now and was made no earlier than made: the server
// stays cold for left. A report that may have been made before the newest sign of a
// restart, or before another report, can only prolong the cold time.
func (l *Limiter) Report(now, made time.Time, left time.Duration) {
	until := now.Add(max(0, left))
	if made.Before(l.reportMade) || l.suspected && !made.After(l.suspectedAt) {
		if until.After(l.coldUntil) {
			l.coldUntil = until
		}
	} else {
		l.coldUntil, l.reportMade, l.suspected = until, made, false
	}
	l.reportedAt = now
	l.Advance(now)
}

// Suspect applies a sign of a restart.
func (l *Limiter) Suspect(now time.Time, sign Sign) {
	if !l.suspected {
		l.unrefutedAt = now
	}
	l.suspected, l.suspectedAt, l.sign = true, now, sign
	l.Advance(now)
}

// Advance applies the passing of time.
func (l *Limiter) Advance(now time.Time) {
	if !l.suspected && !l.reportedAt.IsZero() && now.Sub(l.reportedAt) > l.silence {
		l.suspected, l.suspectedAt, l.unrefutedAt, l.sign = true, now, now, SignHeartbeatsMissed
	}
	for len(l.reached) > 0 && now.Sub(l.reached[0]) >= window {
		l.reached = l.reached[1:]
	}
	cold := now.Before(l.coldUntil)
	l.limited = l.rate > 0 && (cold || l.suspected)
	l.shown = l.limited && (cold || now.Sub(l.unrefutedAt) >= confirmationTime)
}

// Allow reports whether a request may start now, and otherwise after which time to ask
// again: none may start earlier.
func (l *Limiter) Allow(now time.Time) (ok bool, wait time.Duration) {
	l.Advance(now)
	switch {
	case l.limited:
		wait = max(0, l.fullUntil.Sub(now), l.nextStart.Sub(now), l.windowWait(now))
	case !l.known:
		wait = max(0, l.coldUntil.Sub(now)) // the rate of a cold server is not known yet
	}
	return wait == 0, wait
}

// windowWait returns the time until the bound allows one more request. An attempt may
// reach the server at any time until it ends, for example when it waits in the queue of
// new connections of a server that hangs, and so counts as long as it is in flight.
func (l *Limiter) windowWait(now time.Time) time.Duration {
	excess := l.inFlight + len(l.reached) + 1 - l.bound()
	switch {
	case excess <= 0:
		return 0
	case excess > len(l.reached):
		return window // some in flight have to end first
	}
	return l.reached[excess-1].Add(window).Sub(now)
}

// bound returns how many requests may reach the server in any second. It is at least 1,
// since a server with a lower bound would get none at all.
func (l *Limiter) bound() int {
	return max(1, int(math.Floor(l.rate*l.tolerance.Overage+l.tolerance.Slack)))
}

// Started records that a request was started.
func (l *Limiter) Started(now time.Time) {
	l.inFlight++
	if !l.limited {
		return
	}
	if earliest := now.Add(-catchUpTime); l.nextStart.Before(earliest) {
		l.nextStart = earliest
	}
	l.nextStart = l.nextStart.Add(time.Duration(float64(time.Second) / l.rate))
}

// Ended records the end of a started request, which reached the server at the given time
// at the latest. The zero time means that it certainly did not reach it, or that the bound
// excludes it.
func (l *Limiter) Ended(now, reached time.Time) {
	l.inFlight--
	if reached.IsZero() || l.rate <= 0 || now.Sub(reached) >= window {
		return
	}
	i := len(l.reached)
	for i > 0 && l.reached[i-1].After(reached) {
		i--
	}
	l.reached = slices.Insert(l.reached, i, reached)
}

// Rate returns the rate to which the starts are limited, 0 if they are not limited, or if the
// sign of a restart is younger than confirmationTime.
func (l *Limiter) Rate() float64 {
	if !l.shown {
		return 0
	}
	return l.rate
}

// Reported returns when the last report arrived, the zero time if there was none.
func (l *Limiter) Reported() time.Time { return l.reportedAt }

// Suspected returns the newest sign of a restart of a server with a rate that no report
// has refuted yet, "" if there is none.
func (l *Limiter) Suspected() Sign {
	if !l.suspected || l.rate <= 0 {
		return ""
	}
	return l.sign
}
