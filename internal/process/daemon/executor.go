package daemon

import (
	"context"
	crand "crypto/rand"
	"net/http"
	"sync"
	"time"

	"tarragonshore.example/tarragonshore/internal/connection/backend"
	"tarragonshore.example/tarragonshore/internal/connection/peer"
	"tarragonshore.example/tarragonshore/internal/connection/wire"
	"tarragonshore.example/tarragonshore/internal/process/logging"
	"tarragonshore.example/tarragonshore/internal/process/metrics"
	"tarragonshore.example/tarragonshore/internal/request/admission"
	"tarragonshore.example/tarragonshore/internal/request/execution"
	"tarragonshore.example/tarragonshore/internal/request/problem"
)

// Intervals for discarding the state of ended runs and attempts. runGrace is how
// long the request token of a run is kept after the run's deadline.
const (
	sweepInterval = 500 * time.Millisecond
	runGrace      = 5 * time.Second
)

// execRun is one attempt at its executing daemon, from the admission queue to the
// answer.
type execRun struct {
	attempt   *wire.Attempt
	requester execution.Peer
	arrived   time.Time
	begun     time.Time
	deadline  time.Time
	token     string
	cancel    context.CancelFunc // nil while it is queued
	// shedDownstream is set when a child call of the run was shed.
	shedDownstream bool
}

// outgoingAnswer is an answer to send after the lock is released.
type outgoingAnswer struct {
	requester execution.Peer
	answer    *wire.Answer
}

// effects collects what an event handler decides under the lock, to be carried out
// after the lock is released.
type effects struct {
	answers []outgoingAnswer
	start   []*execRun
	cancel  []context.CancelFunc
}

// executor admits attempts and runs them at the local backend server. mu guards
// the fields below it, except wg.
type executor struct {
	self          execution.Peer
	configuration *configuration
	server        *serverState
	client        backend.Server
	metrics       *metrics.Metrics
	hub           *peer.Hub
	dispatcher    *dispatcher

	mu        sync.Mutex
	attempts  *execution.AttemptTable
	admission *admission.Controller
	calls     *execution.CallTable
	runs      map[wire.AttemptID]*execRun // queued or at the backend server
	tokens    map[string]*execRun         // by request token, the runs at the backend server
	leaving   bool                        // the daemon is stopping
	timer     *time.Timer                 // calls onTimer when the queue next has to be advanced
	wg        sync.WaitGroup              // counts the runs at the backend server
}

func newExecutor(self execution.Peer, configuration *configuration, server *serverState, client backend.Server, m *metrics.Metrics) *executor {
	e := &executor{
		self:          self,
		configuration: configuration,
		server:        server,
		client:        client,
		metrics:       m,
		attempts:      execution.NewAttemptTable(execution.DefaultAttemptOptions()),
		admission:     admission.NewController(admission.Config{}),
		calls:         execution.NewCallTable(execution.DefaultCallOptions()),
		runs:          make(map[wire.AttemptID]*execRun),
		tokens:        make(map[string]*execRun),
	}
	e.timer = time.AfterFunc(time.Hour, e.onTimer)
	return e
}

// handle accepts an attempt from a peer or from this daemon's dispatcher.
func (e *executor) handle(requester execution.Peer, attempt *wire.Attempt) {
	now := time.Now()
	var fx effects
	e.mu.Lock()
	offered := e.attempts.Offer(now, attempt.ID, requester, attempt.Context.Remaining())
	switch offered.Outcome {
	case execution.OfferNew:
		e.admit(now, requester, attempt, &fx)
	case execution.OfferAnswered:
		fx.answers = append(fx.answers, outgoingAnswer{requester, offered.Answer})
	case execution.OfferFenced, execution.OfferRefused:
		fx.answers = append(fx.answers, outgoingAnswer{requester, e.refusal(now, attempt, offered.Refusal)})
	}
	e.resetTimer()
	e.mu.Unlock()
	e.carryOut(&fx)
}

// admit checks a new attempt and offers it to the admission controller.
func (e *executor) admit(now time.Time, requester execution.Peer, attempt *wire.Attempt, fx *effects) {
	run := &execRun{attempt: attempt, requester: requester, arrived: now, deadline: now.Add(attempt.Context.Remaining())}
	if refused := e.check(now, attempt); refused != nil {
		e.refuse(now, run, refused, fx)
		return
	}
	decision := e.admission.Offer(now, admission.Request{
		ID:         attempt.ID,
		Workspace:  attempt.Context.Workspace,
		Importance: attempt.Context.Importance,
		RootHash:   attempt.Context.RootHash,
		Depth:      attempt.Context.Depth,
		Deadline:   run.deadline,
	})
	logging.InfoEvent("executor", "admission", "attempt", formatAttemptID(attempt.ID), "server", attempt.Server,
		"workspace", attempt.Context.Workspace, "importance", attempt.Context.Importance,
		"depth", attempt.Context.Depth, "reason", string(decision.Reason))
	if decision.HasDisplaced {
		e.refuseQueued(now, decision.Displaced, fx)
	}
	switch decision.Action {
	case admission.Started:
		e.runs[attempt.ID] = run
		e.start(now, run, fx)
	case admission.Queued:
		e.runs[attempt.ID] = run
	case admission.Refused:
		e.refuse(now, run, shedProblem(decision.Reason, decision.RetryAfter), fx)
	}
}

// check returns why an attempt may not run here, or nil.
func (e *executor) check(now time.Time, attempt *wire.Attempt) *problem.Problem {
	state := e.server.snapshot()
	current := e.configuration.current()
	if e.leaving {
		return problem.New(problem.KindDraining, "the daemon is stopping")
	}
	if state.name != attempt.Server || state.pool != attempt.Pool {
		return problem.New(problem.KindNoUpstream, "backend server "+attempt.Server+" is not on this host")
	}
	if state.draining() || current.drained(state.name) {
		return problem.New(problem.KindDraining, "backend server "+attempt.Server+" is draining")
	}
	if !state.ready() {
		return problem.New(problem.KindNoUpstream, "backend server "+attempt.Server+" is not ready")
	}
	return e.configuration.checkKey(now, current, attempt.Context)
}

// start prepares the run of an admitted attempt at the backend server. The caller
// holds the lock.
func (e *executor) start(now time.Time, run *execRun, fx *effects) {
	token, refused := e.calls.BeginRun(crand.Reader, run.attempt.Context, run.deadline)
	if refused == nil {
		if ok, reason := e.attempts.Start(now, run.attempt.ID); !ok {
			e.calls.EndRun(token)
			refused = problem.New(problem.KindDeadline, string(reason))
		}
	}
	if refused != nil {
		e.admission.Finish(now, run.attempt.ID, 0, admission.Failed)
		e.refuse(now, run, refused, fx)
		return
	}
	run.token = token
	run.begun = now
	e.tokens[token] = run
	e.metrics.RecordQueueDelay(run.attempt.Pool, now.Sub(run.arrived))
	e.wg.Add(1)
	fx.start = append(fx.start, run)
}

// refuse ends an attempt that was not sent to the backend server. The caller holds
// the lock.
func (e *executor) refuse(now time.Time, run *execRun, refused *problem.Problem, fx *effects) {
	delete(e.runs, run.attempt.ID)
	answer := e.refusal(now, run.attempt, refused)
	if finished := e.attempts.Finish(run.attempt.ID, answer); finished.Send {
		fx.answers = append(fx.answers, outgoingAnswer{finished.Requester, answer})
	}
}

// refuseQueued refuses an attempt that the admission controller removed from the
// queue.
func (e *executor) refuseQueued(now time.Time, refusal admission.Refusal, fx *effects) {
	if run, ok := e.runs[refusal.ID]; ok {
		e.refuse(now, run, shedProblem(refusal.Reason, refusal.RetryAfter), fx)
	}
}

func shedProblem(reason admission.Reason, retryAfter time.Duration) *problem.Problem {
	return problem.New(reason.Kind(), string(reason)).WithRetryAfter(retryAfter)
}

// refusal builds the answer to an attempt that does not run. It returns all retry
// credits of the attempt.
func (e *executor) refusal(now time.Time, attempt *wire.Attempt, refused *problem.Problem) *wire.Answer {
	return &wire.Answer{
		ID:        attempt.ID,
		Refusal:   refusalMessage(refused),
		Credits:   attempt.Context.Credits,
		Threshold: e.admission.Threshold(now, attempt.Context.Workspace),
	}
}

// advance starts or refuses the queued attempts that are due. The caller holds the
// lock.
func (e *executor) advance(now time.Time, fx *effects) {
	batch := e.admission.Next(now)
	for _, id := range batch.Start {
		if run, ok := e.runs[id]; ok {
			e.start(now, run, fx)
		} else {
			e.admission.Finish(now, id, 0, admission.Failed)
		}
	}
	for _, refusal := range batch.Refuse {
		e.refuseQueued(now, refusal, fx)
	}
}

// resetTimer sets the timer to when the queue next has to be advanced. The caller
// holds the lock.
func (e *executor) resetTimer() {
	if at := e.admission.NextWake(); !at.IsZero() {
		e.timer.Reset(max(0, time.Until(at)))
	}
}

// onTimer advances the queue.
func (e *executor) onTimer() {
	e.step(func(now time.Time, fx *effects) {})
}

// step handles an event under the lock, advances the queue, and carries out the
// effects after releasing the lock.
func (e *executor) step(event func(now time.Time, fx *effects)) {
	now := time.Now()
	var fx effects
	e.mu.Lock()
	event(now, &fx)
	e.advance(now, &fx)
	e.resetTimer()
	e.mu.Unlock()
	e.carryOut(&fx)
}

// carryOut sends answers, cancels runs and starts runs. The caller does not hold
// the lock.
func (e *executor) carryOut(fx *effects) {
	for _, out := range fx.answers {
		e.sendAnswer(out.requester, out.answer)
	}
	for _, cancel := range fx.cancel {
		cancel()
	}
	for _, run := range fx.start {
		go e.execute(run)
	}
}

// sendAnswer sends an answer on the current link to the daemon that sent the
// attempt. If there is none, that daemon asks for the answer with a Settle message
// once it has a link again; the attempts table stores it until then.
func (e *executor) sendAnswer(requester execution.Peer, answer *wire.Answer) {
	if requester == e.self {
		e.dispatcher.onAnswer(nil, e.self, answer)
		return
	}
	link, ok := e.hub.Current(requester.Member)
	if ok && link.Peer().Incarnation == requester.Incarnation {
		_ = link.Send(answer)
	}
}

// execute runs an attempt at the backend server and answers it.
func (e *executor) execute(run *execRun) {
	defer e.wg.Done()
	ctx, cancel := context.WithDeadline(context.Background(), run.deadline)
	defer cancel()
	e.mu.Lock()
	run.cancel = cancel
	e.mu.Unlock()
	response, err := e.client.Do(ctx, e.server.snapshot().address, backend.Call{
		Request:   run.attempt.Request,
		Token:     run.token,
		Workspace: run.attempt.Context.Workspace,
		Remaining: time.Until(run.deadline),
	})
	e.step(func(now time.Time, fx *effects) { e.finishRun(now, run, response, err, fx) })
}

// finishRun answers a run and reports it to the admission controller. The caller
// holds the lock.
func (e *executor) finishRun(now time.Time, run *execRun, response *wire.Response, err error, fx *effects) {
	serviceTime := now.Sub(run.begun)
	answer := &wire.Answer{
		ID:        run.attempt.ID,
		Credits:   e.calls.EndRun(run.token),
		QueueMS:   uint32(run.begun.Sub(run.arrived).Milliseconds()),
		ServiceMS: uint32(serviceTime.Milliseconds()),
	}
	delete(e.tokens, run.token)
	delete(e.runs, run.attempt.ID)
	outcome := admission.Succeeded
	switch {
	case err != nil:
		outcome = admission.Failed
		answer.Refusal = refusalMessage(serverProblem(now, run, err))
		e.server.callFailed(err)
	case response.Status == http.StatusServiceUnavailable:
		outcome = admission.ShedByServer
	case run.shedDownstream && response.Status >= http.StatusInternalServerError:
		outcome = admission.ShedDownstream
		answer.ShedDownstream = true
	}
	answer.Response = response
	e.admission.Finish(now, run.attempt.ID, serviceTime, outcome)
	answer.Threshold = e.admission.Threshold(now, run.attempt.Context.Workspace)
	if finished := e.attempts.Finish(run.attempt.ID, answer); finished.Send {
		fx.answers = append(fx.answers, outgoingAnswer{finished.Requester, answer})
	}
}

// serverProblem describes a run that ended without a complete response.
func serverProblem(now time.Time, run *execRun, err error) *problem.Problem {
	var failure *backend.Error
	if asError(err, &failure) && failure.NotExecuted {
		return problem.New(problem.KindNoUpstream, err.Error()).WithRetryAfter(time.Second)
	}
	if !now.Before(run.deadline) {
		return problem.Unknown(problem.KindDeadline, "the backend server did not respond before the deadline")
	}
	return problem.Unknown(problem.KindUpstreamFailed, err.Error())
}

// settle answers a Settle message: it reports the state of an attempt whose link
// was lost, and repeats the answer if there is one. A queued attempt is removed.
func (e *executor) settle(link peer.Link, id wire.AttemptID) {
	requester := peerOf(link)
	e.mu.Lock()
	settled := e.attempts.Settle(id, requester)
	if settled.Dequeue {
		e.admission.Cancel(time.Now(), id)
		delete(e.runs, id)
	}
	e.mu.Unlock()
	logging.InfoEvent("executor", "settle", "attempt", formatAttemptID(id), "asker", requester.Member, "reason", string(settled.Reason))
	_ = link.Send(wire.SettleResult{ID: id, State: settled.State})
	if settled.Answer != nil {
		_ = link.Send(settled.Answer)
	}
}

// ack discards a stored answer that has arrived at its requester.
func (e *executor) ack(requester execution.Peer, id wire.AttemptID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.attempts.Ack(id, requester)
}

// cancel cancels an attempt whose requester no longer waits for it.
func (e *executor) cancel(requester execution.Peer, id wire.AttemptID) {
	e.step(func(now time.Time, fx *effects) { e.stop(now, e.attempts.Cancel(id, requester), fx) })
}

// linkDown removes the queued attempts of a peer to which the last link was lost,
// and fences them: they are refused if they are sent again.
func (e *executor) linkDown(requester execution.Peer) {
	e.step(func(now time.Time, fx *effects) { e.stop(now, e.attempts.LinkLost(requester), fx) })
}

// requesterGone ends the attempts of a daemon that is dead.
func (e *executor) requesterGone(requester execution.Peer) {
	e.step(func(now time.Time, fx *effects) { e.stop(now, e.attempts.RequesterGone(requester), fx) })
}

// stop removes attempts from the queue or cancels their runs. The caller holds the
// lock.
func (e *executor) stop(now time.Time, stops []execution.StopAction, fx *effects) {
	for _, stop := range stops {
		run, ok := e.runs[stop.ID]
		if !ok {
			continue
		}
		if stop.Queued {
			e.admission.Cancel(now, stop.ID)
			delete(e.runs, stop.ID)
		} else if run.cancel != nil {
			fx.cancel = append(fx.cancel, run.cancel)
		}
	}
}

// applyServer passes the announced state of the backend server to the admission
// controller.
func (e *executor) applyServer(state serverSnapshot) {
	e.step(func(now time.Time, _ *effects) {
		slots := 0
		if state.ready() || state.draining() {
			slots = state.slots
		}
		e.admission.SetSlots(now, slots)
		e.admission.SetReportedLoad(now, state.load)
		e.admission.SetDraining(state.draining() || e.leaving)
	})
}

// startDraining refuses new attempts from now on, for a planned stop.
func (e *executor) startDraining() {
	e.step(func(time.Time, *effects) {
		e.leaving = true
		e.admission.SetDraining(true)
	})
}

// sweep periodically discards the state of ended attempts and runs, until ctx ends.
func (e *executor) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			e.step(func(now time.Time, fx *effects) {
				e.stop(now, e.attempts.Sweep(now), fx)
				e.calls.Sweep(now, runGrace)
			})
		}
	}
}

// drainRuns waits until all runs have ended or ctx ends.
func (e *executor) drainRuns(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		e.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
