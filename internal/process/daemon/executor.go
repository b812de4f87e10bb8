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

// Times of forgetting ended runs and ids.
const (
	sweepInterval = 500 * time.Millisecond
	runGrace      = 5 * time.Second
)

// execRun is one attempt from its admission queue to its answer.
type execRun struct {
	attempt  *wire.Attempt
	asker    execution.Peer
	arrived  time.Time
	begun    time.Time
	deadline time.Time
	token    string
	cancel   context.CancelFunc // set when it runs
	// shedBelow is set when a call that the run made was refused as overloaded.
	shedBelow bool
}

// outgoing is an answer to send after the lock was released.
type outgoing struct {
	asker  execution.Peer
	answer *wire.Answer
}

// effects collects what an event causes, to be carried out without the lock.
type effects struct {
	answers []outgoing
	start   []*execRun
	cancel  []context.CancelFunc
}

// executor runs attempts at the own backend server. Its lock guards attempts,
// admission, children, runs, tokens and wake.
type executor struct {
	self          execution.Peer
	configuration *configuration
	server        *serverState
	client        backend.Server
	metrics       *metrics.Metrics
	hub           *peer.Hub
	dispatcher    *dispatcher

	mu        sync.Mutex
	attempts  *execution.Attempts
	admission *admission.Controller
	children  *execution.Children
	runs      map[wire.AttemptID]*execRun
	tokens    map[string]*execRun
	leaving   bool
	wake      *time.Timer
	wg        sync.WaitGroup
}

func newExecutor(self execution.Peer, configuration *configuration, server *serverState, client backend.Server, m *metrics.Metrics) *executor {
	e := &executor{
		self:          self,
		configuration: configuration,
		server:        server,
		client:        client,
		metrics:       m,
		attempts:      execution.NewAttempts(execution.DefaultAttemptOptions()),
		admission:     admission.NewController(admission.Config{}),
		children:      execution.NewChildren(execution.DefaultChildOptions()),
		runs:          make(map[wire.AttemptID]*execRun),
		tokens:        make(map[string]*execRun),
	}
	e.wake = time.AfterFunc(time.Hour, e.onWake)
	return e
}

// handle takes an attempt from a peer, or from the own dispatcher.
func (e *executor) handle(asker execution.Peer, attempt *wire.Attempt) {
	now := time.Now()
	var fx effects
	e.mu.Lock()
	offered := e.attempts.Offer(now, attempt.ID, asker, attempt.Context.Remaining())
	switch offered.Outcome {
	case execution.OfferNew:
		e.admit(now, asker, attempt, &fx)
	case execution.OfferAnswered:
		fx.answers = append(fx.answers, outgoing{asker, offered.Answer})
	case execution.OfferFenced, execution.OfferRefused:
		fx.answers = append(fx.answers, outgoing{asker, e.refusal(now, attempt, offered.Refusal)})
	}
	e.rearm()
	e.mu.Unlock()
	e.carryOut(&fx)
}

// admit checks a new attempt and offers it to the admission controller.
func (e *executor) admit(now time.Time, asker execution.Peer, attempt *wire.Attempt, fx *effects) {
	run := &execRun{attempt: attempt, asker: asker, arrived: now, deadline: now.Add(attempt.Context.Remaining())}
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
	logging.Event("executor", "admission", "attempt", attemptName(attempt.ID), "server", attempt.Server,
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

// start hands an admitted run to the backend server.
func (e *executor) start(now time.Time, run *execRun, fx *effects) {
	token, refused := e.children.NewToken(crand.Reader, run.attempt.Context, run.deadline)
	if refused == nil {
		if ok, reason := e.attempts.Start(now, run.attempt.ID); !ok {
			e.children.End(token)
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
	e.metrics.QueueDelay(run.attempt.Pool, now.Sub(run.arrived))
	e.wg.Add(1)
	fx.start = append(fx.start, run)
}

// refuse ends an attempt that was not handed over.
func (e *executor) refuse(now time.Time, run *execRun, refused *problem.Problem, fx *effects) {
	delete(e.runs, run.attempt.ID)
	answer := e.refusal(now, run.attempt, refused)
	if finished := e.attempts.Finish(run.attempt.ID, answer); finished.Send {
		fx.answers = append(fx.answers, outgoing{finished.Asker, answer})
	}
}

// refuseQueued refuses a request that the admission controller removed.
func (e *executor) refuseQueued(now time.Time, refusal admission.Refusal, fx *effects) {
	if run, ok := e.runs[refusal.ID]; ok {
		e.refuse(now, run, shedProblem(refusal.Reason, refusal.RetryAfter), fx)
	}
}

func shedProblem(reason admission.Reason, retryAfter time.Duration) *problem.Problem {
	return problem.New(reason.Kind(), string(reason)).WithRetryAfter(retryAfter)
}

// refusal builds the answer for an attempt that does not run. All of its
// credits return.
func (e *executor) refusal(now time.Time, attempt *wire.Attempt, refused *problem.Problem) *wire.Answer {
	return &wire.Answer{
		ID:        attempt.ID,
		Refusal:   refusalMessage(refused),
		Credits:   attempt.Context.Credits,
		Threshold: e.admission.Threshold(now, attempt.Context.Workspace),
	}
}

// advance starts and refuses queued requests. The caller holds the lock.
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

// rearm sets the timer for the next time-driven step. The caller holds the lock.
func (e *executor) rearm() {
	if at := e.admission.NextWake(); !at.IsZero() {
		e.wake.Reset(max(0, time.Until(at)))
	}
}

// onWake is the timer's function.
func (e *executor) onWake() {
	e.step(func(now time.Time, fx *effects) {})
}

// step runs an event under the lock, lets the queue advance and carries out
// the effects.
func (e *executor) step(event func(now time.Time, fx *effects)) {
	now := time.Now()
	var fx effects
	e.mu.Lock()
	event(now, &fx)
	e.advance(now, &fx)
	e.rearm()
	e.mu.Unlock()
	e.carryOut(&fx)
}

// carryOut sends answers, cancels runs and starts others, without the lock.
func (e *executor) carryOut(fx *effects) {
	for _, out := range fx.answers {
		e.deliver(out.asker, out.answer)
	}
	for _, cancel := range fx.cancel {
		cancel()
	}
	for _, run := range fx.start {
		go e.execute(run)
	}
}

// deliver sends an answer on the newest link to its asker. Without a link the
// answer is kept until the asker settles.
func (e *executor) deliver(asker execution.Peer, answer *wire.Answer) {
	if asker == e.self {
		e.dispatcher.onAnswer(nil, e.self, answer)
		return
	}
	link, ok := e.hub.Existing(asker.Member)
	if ok && link.Peer().Incarnation == asker.Incarnation {
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
	e.step(func(now time.Time, fx *effects) { e.end(now, run, response, err, fx) })
}

// end answers a run and reports it to the admission controller.
func (e *executor) end(now time.Time, run *execRun, response *wire.Response, err error, fx *effects) {
	service := now.Sub(run.begun)
	answer := &wire.Answer{
		ID:        run.attempt.ID,
		Credits:   e.children.End(run.token),
		QueueMS:   uint32(run.begun.Sub(run.arrived).Milliseconds()),
		ServiceMS: uint32(service.Milliseconds()),
	}
	delete(e.tokens, run.token)
	delete(e.runs, run.attempt.ID)
	outcome := admission.Succeeded
	switch {
	case err != nil:
		outcome = admission.Failed
		answer.Refusal = refusalMessage(serverProblem(now, run, err))
		e.server.failed(err)
	case response.Status == http.StatusServiceUnavailable:
		outcome = admission.ServerShed
	case run.shedBelow && response.Status >= http.StatusInternalServerError:
		outcome = admission.ShedBelow
		answer.ShedBelow = true
	}
	answer.Response = response
	e.admission.Finish(now, run.attempt.ID, service, outcome)
	answer.Threshold = e.admission.Threshold(now, run.attempt.Context.Workspace)
	if finished := e.attempts.Finish(run.attempt.ID, answer); finished.Send {
		fx.answers = append(fx.answers, outgoing{finished.Asker, answer})
	}
}

// serverProblem describes a run that ended without a whole response.
func serverProblem(now time.Time, run *execRun, err error) *problem.Problem {
	var failure *backend.Error
	if asError(err, &failure) && failure.NotExecuted {
		return problem.New(problem.KindNoUpstream, err.Error()).WithRetryAfter(time.Second)
	}
	if !now.Before(run.deadline) {
		return problem.Unknown(problem.KindDeadline, "the backend server had no answer in time")
	}
	return problem.Unknown(problem.KindUpstreamFailed, err.Error())
}

// settle answers what became of an attempt.
func (e *executor) settle(link peer.Link, id wire.AttemptID) {
	asker := peerOf(link)
	e.mu.Lock()
	settled := e.attempts.Settle(id, asker)
	if settled.Dequeue {
		e.admission.Cancel(time.Now(), id)
		delete(e.runs, id)
	}
	e.mu.Unlock()
	logging.Event("executor", "settle", "attempt", attemptName(id), "asker", asker.Member, "reason", string(settled.Reason))
	_ = link.Send(wire.SettleResult{ID: id, State: settled.State})
	if settled.Answer != nil {
		_ = link.Send(settled.Answer)
	}
}

// ack drops a kept answer.
func (e *executor) ack(asker execution.Peer, id wire.AttemptID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.attempts.Ack(id, asker)
}

// cancel ends the interest in an attempt.
func (e *executor) cancel(asker execution.Peer, id wire.AttemptID) {
	e.step(func(now time.Time, fx *effects) { e.stop(now, e.attempts.Cancel(id, asker), fx) })
}

// linkDown fences the queued attempts of a peer that lost its link.
func (e *executor) linkDown(asker execution.Peer) {
	e.step(func(now time.Time, fx *effects) { e.stop(now, e.attempts.LinkLost(asker), fx) })
}

// askerGone ends the attempts of a daemon that is dead.
func (e *executor) askerGone(asker execution.Peer) {
	e.step(func(now time.Time, fx *effects) { e.stop(now, e.attempts.AskerGone(asker), fx) })
}

// stop removes attempts from the queue or cancels their runs.
func (e *executor) stop(now time.Time, stops []execution.Stop, fx *effects) {
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

// applyServer passes the announced state of the backend server to admission.
func (e *executor) applyServer(state serverSnapshot) {
	e.step(func(now time.Time, _ *effects) {
		slots := 0
		if state.ready() || state.draining() {
			slots = state.slots
		}
		e.admission.SetSlots(now, slots)
		e.admission.ReportedLoad(now, state.load)
		e.admission.SetDraining(state.draining() || e.leaving)
	})
}

// leave refuses new attempts from now on.
func (e *executor) leave() {
	e.step(func(time.Time, *effects) {
		e.leaving = true
		e.admission.SetDraining(true)
	})
}

// sweep forgets what is over until ctx ends.
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
				e.children.Sweep(now, runGrace)
			})
		}
	}
}

// drainRuns waits until no run is left or ctx ends.
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
