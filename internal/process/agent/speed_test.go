package agent

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"tarragonshore.example/tarragonshore/internal/connection/wire"
	"tarragonshore.example/tarragonshore/internal/request/problem"
	"tarragonshore.example/tarragonshore/internal/request/runqueue"
)

// The failure test of this part: a server becomes 8 times slower while attempts wait. Guards
// against attempts that wait at it past their objective, and against returning those that
// have started, that it finishes in time, or that nothing else can run.
func TestSlowerServerReturnsLateAttempts(t *testing.T) {
	g := NewWithT(t)
	e := newExecutor(noHeaders{}, newServerState(heartbeatInterval, ownAddress), nil, nil, newRequestLog(noHeaders{}.Stamp))
	e.queue.SetSlots(11) // 10 run at once
	answers := make(answersOf, 100)
	now := time.Now()
	offer := func(n byte, movable bool) *run {
		r := &run{receiver: answers, arrived: now, deadline: now.Add(time.Second), objective: now.Add(250 * time.Millisecond), attempt: &wire.Attempt{
			ID: wire.AttemptID{n}, RequestID: fmt.Sprint(n), Movable: movable}}
		e.updateQueueForTest(r, now)
		now = now.Add(time.Microsecond)
		return r
	}
	var started []*run
	for n := range byte(10) {
		started = append(started, offer(n, true))
	}
	for n := range byte(20) {
		offer(10+n, n != 19)
	}
	for range 100 {
		e.speed.Report(now, 100)
		e.speed.RecordRun(20 * time.Millisecond)
	}
	ended := started[0]
	ended.serverLoad = &ServerLoad{Slowdown: 800}
	var out []outgoingAnswer
	g.Expect(e.reportSpeed(now, ended, 160*time.Millisecond)).To(BeTrue())
	e.returnLate(now, nil, &out)
	// At 160 ms, those at positions 1 to 5 of the queue end within 250 ms.
	g.Expect(out).To(HaveLen(14))
	g.Expect(out[0].answer.ID).To(Equal(wire.AttemptID{28}), "the newest that can be moved")
	for _, o := range out {
		g.Expect(o.answer.Refusal.Executed).To(Equal(string(problem.ExecutedNo)))
		g.Expect(o.answer.Reached).To(BeFalse())
		g.Expect(o.answer.ID[0]).To(BeNumerically(">=", 15))
		g.Expect(o.answer.Load.Slowdown).To(Equal(800))
		g.Expect(o.answer.Load.ServiceTime).To(BeNumerically("~", 160*time.Millisecond, time.Millisecond))
	}
	g.Expect(e.queue.Waiting()).To(Equal(6))
	g.Expect(e.reportSpeed(now, ended, 160*time.Millisecond)).To(BeFalse(), "it has not become slower again")
	ended.serverLoad = &ServerLoad{}
	e.reportSpeed(now, ended, 160*time.Millisecond)
	g.Expect(e.load().Slowdown).To(BeZero(), "the server no longer reports its speed")
}

// updateQueueForTest offers an attempt without the check of the server, and starts no run.
func (e *executor) updateQueueForTest(r *run, now time.Time) {
	e.runs[r.attempt.ID] = r
	actions := e.queue.Offer(now, runqueue.Attempt{ID: r.attempt.ID, Deadline: r.deadline})
	for _, id := range actions.Start {
		e.runs[id].started = now
	}
}
