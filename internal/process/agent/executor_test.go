package agent

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"tarragonshore.example/tarragonshore/internal/connection/backend"
	"tarragonshore.example/tarragonshore/internal/connection/wire"
	"tarragonshore.example/tarragonshore/internal/request/problem"
	"tarragonshore.example/tarragonshore/internal/request/runqueue"
)

// dottedIDs is a protocol in which a call's id is the id of the request that made it,
// a dot and a suffix.
type dottedIDs struct{ Protocol }

func (dottedIDs) ParentID(requestID string) string {
	return requestID[:max(0, strings.LastIndexByte(requestID, '.'))]
}

// A call gets the importance, the workspace and the objective of the request that made it,
// so that a service deep in the call graph serves the calls of important and urgent
// requests first. An id that names no run in progress gives none.
func TestCallsInheritFromTheirRun(t *testing.T) {
	g := NewWithT(t)
	e := newExecutor(dottedIDs{}, newServerState(heartbeatInterval, ownAddress), nil, nil, nil)
	important := &run{attempt: &wire.Attempt{RequestID: "root", Route: "order", Context: wire.Context{Importance: 8, CallerWorkspace: "w"}}, objective: time.Now()}
	e.startedByRequest["root"] = important
	for _, id := range []string{"other", "other.1", "root", ".", ""} {
		_, known := e.countCall(id, "ledger", time.Time{})
		g.Expect(known).To(BeFalse(), id)
	}
	for range 2 {
		parent, known := e.countCall("root.1", "ledger", time.Time{})
		g.Expect(known).To(BeTrue())
		g.Expect(parent).To(Equal(inherited{importance: 8, depth: 1, workspace: "w", objective: important.objective}))
	}
	g.Expect(important.calls).To(Equal(map[string]int{"ledger": 2}))
}

// Guards against requests of callers on open routes that are counted as calls of the local
// backend server: while it was slow, each route seemed to call each other one (review/6).
func TestRequestsThatExpireAfterAllRunsAreNoCalls(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	e := newExecutor(dottedIDs{}, newServerState(heartbeatInterval, ownAddress), nil, nil, nil)
	counted := func(deadline time.Time) bool {
		e.callsUnattributed = false
		e.countCall("r", "open", deadline)
		return e.callsUnattributed
	}
	g.Expect(counted(now.Add(time.Second))).To(BeFalse(), "nothing has run")
	e.latestDeadline = now.Add(time.Second)
	g.Expect(counted(now.Add(2500 * time.Millisecond))).To(BeFalse())
	g.Expect(counted(now.Add(time.Second))).To(BeTrue())
	g.Expect(counted(now.Add(1100*time.Millisecond))).To(BeTrue(), "a call that was made late")
	g.Expect(counted(time.Time{})).To(BeTrue(), "the deadline is not known")
	e.startedByRequest["root"] = &run{attempt: &wire.Attempt{RequestID: "root"}}
	_, known := e.countCall("root.1", "open", now.Add(time.Minute))
	g.Expect(known).To(BeTrue(), "its id names the run")
}

// A call gets the earlier of two objectives. Guards against one that has passed being taken
// for none, so that late work would be ordered before work in time.
func TestCallsInheritTheEarlierObjective(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	for _, c := range []struct{ own, parent, want time.Time }{
		{time.Time{}, time.Time{}, time.Time{}},
		{time.Time{}, now, now},
		{now, time.Time{}, now},
		{now, now.Add(time.Second), now},
		{now, now.Add(-time.Second), now.Add(-time.Second)},
	} {
		req := &inboundRequest{objective: c.own}
		req.inherit(inherited{importance: 3, workspace: "w", objective: c.parent})
		g.Expect(req.objective).To(Equal(c.want))
	}
	for _, left := range []time.Duration{-time.Hour, -time.Millisecond, 0, time.Microsecond, time.Second} {
		var context wire.Context
		context.SetObjective(left)
		g.Expect(context.Objective(now)).To(BeTemporally("~", now.Add(left), time.Millisecond), left.String())
		g.Expect(context.Objective(now).After(now)).To(Equal(left > 0), left.String())
	}
}

// Guards against a call that is ordered by an objective after its own deadline, and against
// charging the calls of a tree to no workspace.
func TestQueueGetsWhatTheAttemptCarries(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	r := &run{deadline: now.Add(time.Second), objective: now.Add(3 * time.Second), attempt: &wire.Attempt{
		Route: "r", Movable: true, OtherWaitMS: 7, Context: wire.Context{Importance: 9, CallerWorkspace: "w", Depth: 1}}}
	want := runqueue.Attempt{Importance: 9, Deadline: r.deadline, Objective: r.deadline, Workspace: "w", Route: "r",
		MoreToCome: true, Movable: true, OtherWait: 7 * time.Millisecond}
	g.Expect(r.queueAttempt()).To(Equal(want))
	r.objective, r.attempt.Context = time.Time{}, wire.Context{Importance: 9, Workspace: "own", CallerWorkspace: "w"}
	want.Objective, want.Workspace, want.MoreToCome = time.Time{}, "own", false
	g.Expect(r.queueAttempt()).To(Equal(want))
}

// A 500 counts as a failure of the backend server only if no call of the run can have
// caused it. Otherwise one failing service would count at every service that calls it.
func TestFailuresOfCallsAreNotServerFailures(t *testing.T) {
	g := NewWithT(t)
	e := newExecutor(dottedIDs{}, newServerState(heartbeatInterval, ownAddress), nil, nil, nil)
	broken := &wire.Answer{Response: &wire.Response{Status: 500}}
	leafRun, callingRun := &run{}, &run{calls: map[string]int{"ledger": 1}}
	g.Expect(e.isServerFailure(leafRun, broken)).To(BeTrue(), "the server makes no calls")
	e.countCall("unknown", "ledger", time.Time{})
	g.Expect(e.isServerFailure(leafRun, broken)).To(BeFalse(), "the runs of its calls are not known")
	e.callsAttributed = true
	g.Expect(e.isServerFailure(leafRun, broken)).To(BeTrue())
	g.Expect(e.isServerFailure(callingRun, broken)).To(BeFalse())
	lost := &wire.Answer{Refusal: wireRefusal(problem.Unknown(problem.KindUpstreamFailed, "reset"))}
	g.Expect(e.isServerFailure(callingRun, lost)).To(BeTrue())
	late := &wire.Answer{Refusal: wireRefusal(problem.Unknown(problem.KindDeadline, "no answer in time"))}
	g.Expect(e.isServerFailure(callingRun, late)).To(BeFalse())
}

// answersOf records the answers that an executor delivers.
type answersOf chan *wire.Answer

func (a answersOf) deliver(answer *wire.Answer) { a <- answer }

// Guards against a process that was paused after it had acknowledged that its backend
// server is draining: when it resumes, it must not start attempts that were queued
// before, and refuses them as not executed.
func TestPausedProcessStartsNothingAtADrainingServer(t *testing.T) {
	for paused, refused := range map[time.Duration]bool{0: false, drainingQueueTime / 2: false, 5 * time.Second: true} {
		g := NewWithT(t)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		g.Expect(err).NotTo(HaveOccurred())
		defer func() { _ = listener.Close() }()
		connected := make(chan struct{}, 1)
		go func() {
			if conn, err := listener.Accept(); err == nil {
				connected <- struct{}{}
				_ = conn.Close()
			}
		}()
		boot := time.Minute
		server := newServerState(heartbeatInterval, listener.Addr().String())
		server.clock = bootClock{boot: func() time.Duration { return boot }, instant: func() instant { return instant{monotonic: boot} }}
		heartbeat := testHeartbeat("a", 1, 1, StateDraining)
		heartbeat.Address = listener.Addr().String()
		g.Expect(server.applyHeartbeat(time.Now(), heartbeat)).To(Succeed())
		e := newExecutor(dottedIDs{noHeaders{}}, server, backend.NewExchanger(maxBodyBytes), nil, newRequestLog(noHeaders{}.Stamp))
		boot += paused
		answers := make(answersOf, 1)
		now := time.Now()
		e.wg.Add(1)
		e.execute(&run{attempt: &wire.Attempt{Server: "a", Pool: "stock", Request: wire.Request{Method: "GET", Target: "/", Host: "h"}},
			receiver: answers, arrived: now, started: now, deadline: now.Add(time.Second)})
		answer := <-answers
		g.Expect(answer.Refusal.Executed == string(problem.ExecutedNo)).To(Equal(refused))
		g.Expect(len(connected) == 0).To(Equal(refused), "paused for %v", paused)
	}
}

// noHeaders is a protocol without header fields.
type noHeaders struct{ Protocol }

func (noHeaders) ServerHeader(ServerFields) []wire.HeaderField { return nil }
func (noHeaders) Matches(string, int, http.Header) bool        { return true }
func (noHeaders) Stamp([]wire.HeaderField) string              { return "" }

// Guards against a stopping daemon that takes a caller's request without a key for a call
// of a run in progress. A call's id names its run, or, where ids tell nothing, the call
// expires no later than a run that has started.
func TestRequestsThatNoRunCanHaveMade(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	e := newExecutor(dottedIDs{}, newServerState(heartbeatInterval, ownAddress), nil, nil, nil)
	g.Expect(e.mayHaveMadeCall(now)).To(BeFalse(), "nothing runs")
	e.runs[wire.AttemptID{1}] = &run{attempt: &wire.Attempt{}, started: now, deadline: now.Add(time.Second)}
	e.runs[wire.AttemptID{2}] = &run{attempt: &wire.Attempt{}, deadline: now.Add(time.Minute)}
	g.Expect(e.mayHaveMadeCall(now.Add(time.Second + callDeadlineSlack))).To(BeTrue())
	g.Expect(e.mayHaveMadeCall(now.Add(2*time.Second))).To(BeFalse(), "it expires after every run that has started")
	e.callsAttributed = true
	g.Expect(e.mayHaveMadeCall(now)).To(BeFalse(), "the ids of calls name their runs")
}

// Guards against a server that is taken out of use since a caller left while the connection
// to it was opened. One that refuses the connection is.
func TestCancelledDialIsNoRefusal(t *testing.T) {
	for cancelled, want := range map[bool]wire.ServerState{true: wire.ServerReady, false: wire.ServerAbsent} {
		g := NewWithT(t)
		s := newServerState(heartbeatInterval, ownAddress)
		_ = s.applyHeartbeat(time.Now(), testHeartbeat("a", 1, 1, StateReady))
		e := newExecutor(noHeaders{}, s, backend.NewExchanger(1), nil, nil)
		ctx, cancel := context.WithCancel(context.Background())
		if cancelled {
			cancel()
		}
		_, err := e.backend.Do(ctx, "127.0.0.1:1", backend.Exchange{Method: http.MethodGet, Target: "/"})
		cancel()
		_, reached := e.exchangeRefusal(&run{deadline: time.Now().Add(time.Second)}, err)
		g.Expect(reached).To(BeFalse())
		g.Expect(s.view(time.Now()).State).To(Equal(want))
	}
}

// Guards against a cold server whose queue holds attempts that other upstreams would run
// at once. The least important of those that can be moved are refused as not executed;
// the others wait.
func TestQueueOfAColdServerIsShort(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	s := limitedServer(t, now.Add(-2*time.Second))
	cold := testHeartbeat("a", 5, 2, StateReady)
	cold.WarmUp = time.Minute
	_ = s.applyHeartbeat(now, cold)
	e := newExecutor(dottedIDs{noHeaders{}}, s, nil, nil, nil)
	e.queue.SetSlots(1)
	e.queue.Offer(now, runqueue.Attempt{ID: wire.AttemptID{255}, Deadline: now.Add(time.Minute)}) // takes the slot
	g.Expect(e.queue.Limit()).To(Equal(1))
	answers := make(answersOf, 100)
	refused := map[byte]bool{}
	submit := func(n byte, movable bool, importance uint8) {
		e.submit(answers, &wire.Attempt{ID: wire.AttemptID{n}, Pool: "stock", Server: "a", Movable: movable,
			Context: wire.Context{Importance: importance, RemainingMS: 30_000}})
		for len(answers) > 0 {
			a := <-answers
			g.Expect(a.Refusal.Executed).To(Equal(string(problem.ExecutedNo)))
			refused[a.ID[0]] = true
		}
	}
	for n := range byte(40) {
		submit(n, n < 30, 3-n/15) // the more important ones last
	}
	for n := range byte(40) {
		g.Expect(refused[n]).To(Equal(n < 30), "those that cannot be moved fill what starts in 500 ms: %d", n)
	}
	e.withdrawQueued(time.Time{}, drainingRefusal(""))
	for n := range byte(30) {
		submit(n+100, true, 3-n/15)
	}
	g.Expect(e.queue.Waiting()).To(BeNumerically("~", 9, 1), "16 per second for 500 ms")
	for n := range byte(15) {
		g.Expect(refused).To(HaveKey(n+100), "the less important ones")
	}
}

// Guards against attempts that pile up at a server that hangs without notice, and against
// a slow server or a single slow run that is taken for one that hangs.
func TestSilenceOfAServer(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct {
		running, response, service time.Duration // before now; 0: none
		want                       bool
	}{
		"idle":             {0, time.Minute, 0, false},
		"short run":        {200 * time.Millisecond, time.Minute, 0, false},
		"hangs":            {300 * time.Millisecond, 300 * time.Millisecond, 20 * time.Millisecond, true},
		"others respond":   {300 * time.Millisecond, 100 * time.Millisecond, 20 * time.Millisecond, false},
		"its work is long": {300 * time.Millisecond, 300 * time.Millisecond, 100 * time.Millisecond, false},
	} {
		e := newExecutor(dottedIDs{}, newServerState(heartbeatInterval, ownAddress), nil, nil, nil)
		e.queue.Finish(now, wire.AttemptID{9}, c.service)
		e.lastResponse = now.Add(-c.response)
		e.runs[wire.AttemptID{1}] = &run{} // waits
		if c.running > 0 {
			e.runs[wire.AttemptID{2}] = &run{started: now.Add(-c.running)}
		}
		NewWithT(t).Expect(e.waitsInVain(now)).To(Equal(c.want), name)
	}
}
