package agent

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"tarragonshore.example/tarragonshore/internal/connection/wire"
	"tarragonshore.example/tarragonshore/internal/process/rateshare"
	"tarragonshore.example/tarragonshore/internal/request/problem"
)

// Guards against a stopping daemon that accepts requests which it cannot finish. In
// the users' bench (site mvldt-mesh, day "mix --seed 132989654755"), callers did not
// move to other daemons, since most daemons of their availability zone were down. The
// daemon accepted requests up to its end, and 17 of them were aborted. In review/7 it took
// requests without a key for calls of its backend server and accepted them until 1.2 s before
// its end, whatever their deadline.
func TestStoppingDaemonAcceptsOnlyWhatItCanFinish(t *testing.T) {
	g := NewWithT(t)
	begun := time.Now()
	stop := stopSchedule{begun: begun, grace: 6 * time.Second}
	const longest = 2500 * time.Millisecond // the longest timeout of a route
	for after := time.Duration(0); after < stop.grace; after += 50 * time.Millisecond {
		now := begun.Add(after)
		if stop.accepts(now, true, now.Add(longest)) {
			g.Expect(now.Add(longest)).To(BeTemporally("<", stop.deadline()), "accepted %s after the signal", after)
		}
		for timeout := time.Millisecond; timeout <= 10*time.Second; timeout *= 2 {
			expires := now.Add(timeout)
			inTime := expires.Before(stop.withdrawal())
			if inTime {
				g.Expect(stop.accepts(now, false, expires)).To(BeTrue(), "calls of runs in progress are served")
			}
			if !now.Before(stop.acceptsUntil()) {
				g.Expect(stop.accepts(now, true, expires)).To(BeFalse())
				g.Expect(stop.accepts(now, false, expires)).To(Equal(inTime), "arrives %s after the signal and expires %s later", after, timeout)
			}
			if !now.Before(stop.startsUntil()) {
				g.Expect(stop.starts(now, expires)).To(Equal(inTime), "starts %s after the signal and expires %s later", after, timeout)
			}
		}
	}
	g.Expect(stop.accepts(begun.Add(lameDuckTime), true, begun.Add(stop.grace))).To(BeTrue(), "callers are served while they move to other daemons")
	g.Expect(stop.deadline()).To(BeTemporally("<", begun.Add(stop.grace)))
	g.Expect(stop.withdrawal()).To(BeTemporally("<", stop.deadline().Add(-answerGrace)), "what expires in time is answered")
}

// Guards against a stop that cuts work before the last sixth of the grace time, in which
// alone a request may be cut off that was accepted early.
func TestStopCutsNothingBeforeTheLastSixth(t *testing.T) {
	g := NewWithT(t)
	for grace := 3 * time.Second; grace <= 20*time.Second; grace += 100 * time.Millisecond {
		stop := stopSchedule{begun: time.Now(), grace: grace}
		g.Expect(stop.deadline()).To(BeTemporally(">", stop.begun.Add(grace*5/6)), grace.String())
		g.Expect(stop.deadline()).To(BeTemporally("<", stop.begun.Add(grace)), grace.String())
	}
}

// Guards against a stopping daemon that starts or sends an attempt late, although the end of
// the process could cut it off: a retry, one that a slow link has held up, or one that was
// queued. A retry that expires in time is still sent.
func TestStopStartsNoAttemptThatItCouldCut(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	schedule := stopSchedule{begun: now.Add(-4100 * time.Millisecond), grace: 6 * time.Second}
	refused := attemptResult{refusal: problem.New(problem.KindOverloaded, "queue-full"), answer: &wire.Answer{}}
	for deadline, sent := range map[time.Time]bool{schedule.withdrawal().Add(time.Millisecond): false, schedule.withdrawal().Add(-time.Millisecond): true} {
		d := newDispatcher(newFleet("m", "z", 1, rateshare.Tolerance{}), nil, 0, nil, nil)
		c := &call{deadline: deadline, attempts: 2, idempotent: true}
		again, _ := d.shouldRetry(c, &refused, 0, 1)
		g.Expect(again).To(BeTrue(), "no stop")
		d.stop.schedule.Store(&schedule)
		again, _ = d.shouldRetry(c, &refused, 0, 1)
		g.Expect(again).To(Equal(sent))
	}

	e := newExecutor(noHeaders{}, newServerState(heartbeatInterval, ownAddress), nil, nil, newRequestLog(noHeaders{}.Stamp))
	e.queue.SetSlots(1)
	answers := make(answersOf, 4)
	for i, deadline := range []time.Time{schedule.withdrawal().Add(time.Second), schedule.withdrawal().Add(-time.Millisecond), schedule.withdrawal().Add(time.Second)} {
		r := &run{attempt: &wire.Attempt{ID: wire.AttemptID{byte(i)}}, receiver: answers, arrived: now, deadline: deadline}
		e.runs[r.attempt.ID] = r
		for _, id := range e.queue.Offer(now, r.queueAttempt()).Start {
			e.runs[id].started = now
		}
	}
	g.Expect(e.withdrawQueued(schedule.withdrawal(), drainingRefusal(""))).To(Equal(1), "neither the one that runs nor the one that expires in time")
	g.Expect((<-answers).ID).To(Equal(wire.AttemptID{2}))
	g.Expect(e.inProgress()).To(Equal(2))
}

// Guards against a stop that has no time left to answer what it has accepted: with a grace
// time of 3 s, the least that the settings allow, it waited for callers to move until its end.
func TestStopLeavesTimeToAnswer(t *testing.T) {
	g := NewWithT(t)
	for grace := 3 * time.Second; grace <= 20*time.Second; grace += 100 * time.Millisecond {
		stop := stopSchedule{begun: time.Now(), grace: grace}
		g.Expect(stop.lameDuckUntil()).To(BeTemporally("<=", stop.acceptsUntil()))
		g.Expect(stop.acceptsUntil()).To(BeTemporally("<", stop.withdrawal().Add(-idleTime)), grace.String())
		g.Expect(stop.accepts(stop.acceptsUntil().Add(-1), false, stop.begun.Add(grace))).To(BeTrue(), "calls of runs that were just accepted")
	}
}
