package agent

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a stopping daemon that accepts requests which it cannot finish. In
// the users' bench (site mvldt-mesh, day "mix --seed 132989654755"), callers did not
// move to other daemons, since most daemons of their availability zone were down. The
// daemon accepted requests up to its end, and 17 of them were aborted.
func TestStoppingDaemonAcceptsOnlyWhatItCanFinish(t *testing.T) {
	g := NewWithT(t)
	begun := time.Now()
	stop := stopSchedule{begun: begun, grace: 6 * time.Second}
	const longest = 2500 * time.Millisecond // the longest timeout of a route
	for after := time.Duration(0); after < stop.grace; after += 50 * time.Millisecond {
		now := begun.Add(after)
		if stop.accepts(now, true) {
			g.Expect(now.Add(longest)).To(BeTemporally("<", stop.deadline()), "accepted %s after the signal", after)
		}
		g.Expect(stop.accepts(now, false)).To(BeTrue(), "calls of runs in progress are served")
	}
	g.Expect(stop.accepts(begun.Add(lameDuckTime), true)).To(BeTrue(), "callers are served while they move to other daemons")
	g.Expect(stop.deadline()).To(BeTemporally("<", begun.Add(stop.grace)))
}

// Guards against calls that are accepted so late in a stop that the end of the process cuts
// them, and so fails the run that made them.
func TestStoppingDaemonAcceptsNoCallThatItWouldCut(t *testing.T) {
	g := NewWithT(t)
	begun := time.Now()
	stop := stopSchedule{begun: begun, grace: 6 * time.Second}
	late := stop.withdrawal().Add(-callFinishTime)
	g.Expect(stop.acceptsCall(late.Add(-time.Millisecond), begun.Add(stop.grace))).To(BeTrue())
	g.Expect(stop.acceptsCall(late, begun.Add(stop.grace))).To(BeFalse())
	g.Expect(stop.acceptsCall(late.Add(callFinishTime/2), stop.withdrawal().Add(-time.Millisecond))).To(BeTrue(), "it expires in time")
	g.Expect(stop.withdrawal()).To(BeTemporally("<", stop.deadline()))
}

// Guards against a stop that has no time left to answer what it has accepted: with a grace
// time of 3 s, the least that the settings allow, it waited for callers to move until its end.
func TestStopLeavesTimeToAnswer(t *testing.T) {
	g := NewWithT(t)
	for grace := 3 * time.Second; grace <= 20*time.Second; grace += 100 * time.Millisecond {
		stop := stopSchedule{begun: time.Now(), grace: grace}
		g.Expect(stop.lameDuckUntil()).To(BeTemporally("<=", stop.acceptsUntil()))
		g.Expect(stop.acceptsUntil()).To(BeTemporally("<", stop.withdrawal().Add(-idleTime)), grace.String())
		g.Expect(stop.acceptsCall(stop.acceptsUntil().Add(-1), stop.begun.Add(grace))).To(BeTrue(), "calls of runs that were just accepted")
	}
}
