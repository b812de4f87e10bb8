package agent

import (
	"cmp"
	"context"
	"errors"
	"math"
	"net/http"
	"slices"
	"sync"
	"time"

	"tarragonshore.example/tarragonshore/internal/connection/backend"
	"tarragonshore.example/tarragonshore/internal/connection/wire"
	"tarragonshore.example/tarragonshore/internal/process/logging"
	"tarragonshore.example/tarragonshore/internal/process/metrics"
	"tarragonshore.example/tarragonshore/internal/request/problem"
	"tarragonshore.example/tarragonshore/internal/request/runqueue"
	"tarragonshore.example/tarragonshore/internal/request/serverspeed"
	"tarragonshore.example/tarragonshore/internal/request/shedding"
)

const (
	// expiryInterval is the time between checks of the deadlines of queued attempts.
	expiryInterval = 20 * time.Millisecond
	// drainingQueueTime is how long attempts that are queued when the backend server
	// announces that it is draining may still be started. It is well below the time
	// after which the platform forbids new work for such a server.
	drainingQueueTime = time.Second
	// cancelGrace is how long after the deadline the connection to the backend server
	// stays open, so that the server can still send its own time-out response.
	cancelGrace = 60 * time.Millisecond
	// callDeadlineSlack is by how much the deadline of a call may lie after that of its
	// run, since both are rounded and measured from the arrival at the daemon.
	callDeadlineSlack = 100 * time.Millisecond
	// lateCallSlack is the slack for a request to be counted as a call. It is greater, since
	// a server that is busy makes its calls late, and a call that is not counted is missing in
	// the shedding plan.
	lateCallSlack = 500 * time.Millisecond
	// briefRetryAfter is the Retry-After of a refusal whose cause is short-lived.
	briefRetryAfter = 300 * time.Millisecond
	// queueRetryAfter is the Retry-After of a refusal by the queue.
	queueRetryAfter = 700 * time.Millisecond
)

// answerReceiver takes the answers to the attempts that it submitted: a link or the
// local dispatcher.
type answerReceiver interface {
	deliver(*wire.Answer)
}

// run is an attempt that waits or runs at this host's backend server.
type run struct {
	attempt   *wire.Attempt
	receiver  answerReceiver
	arrived   time.Time
	started   time.Time
	deadline  time.Time
	objective time.Time          // of the latency of the call tree; zero: none
	cancel    context.CancelFunc // set once it has started
	calls     map[string]int     // number of calls that it made, by route
	abandoned bool               // nothing waits for the answer any more
	// serverLoad is what the backend server reported with its response; nil: nothing.
	serverLoad *ServerLoad
	// otherServer is true if the server responded that the request is for another one.
	otherServer bool
	refusedBy   []string // services that refused a call of the run for lack of room
}

// outgoingAnswer is an answer to be sent once the lock is released.
type outgoingAnswer struct {
	receiver answerReceiver
	answer   *wire.Answer
}

// executor runs attempts at the local backend server. mu guards the fields below it
// except queued and wg.
type executor struct {
	protocol Protocol
	server   *serverState
	backend  *backend.Exchanger
	metrics  *metrics.Metrics
	log      *requestLog
	// feedback is true if answers carry the services that refused calls for lack of room.
	feedback bool

	mu    sync.Mutex
	queue *runqueue.Queue
	runs  map[wire.AttemptID]*run
	// startedByRequest holds the started runs by the caller's id of the request.
	startedByRequest map[string]*run
	// callsAttributed is true once the id of a call has named the run that made it,
	// callsUnattributed once the local backend server has made a call whose run is unknown.
	callsAttributed, callsUnattributed bool
	// latestDeadline is the latest deadline of the runs that have started.
	latestDeadline time.Time
	callEstimator  *shedding.CallEstimator
	loadNumber     uint64
	draining       bool
	speed          serverspeed.Speed
	returnLines    *logging.Limiter
	lastResponse   time.Time // when a run last ended with a response
	evacuated      bool      // the own zone is evacuated
	// zoneRefusal returns the refusal by the newest state of the own zone, which
	// setEvacuated puts into effect a little later, or nil.
	zoneRefusal func() *problem.Problem
	// onEvacuationEnd is called without the lock when the evacuation of the own zone has
	// ended, before attempts are accepted: the backend server may have restarted unnoticed.
	onEvacuationEnd func()
	// queued has an element if expireQueued has to be woken.
	queued chan struct{}
	wg     sync.WaitGroup
}

func newExecutor(protocol Protocol, s *serverState, x *backend.Exchanger, m *metrics.Metrics, log *requestLog) *executor {
	e := &executor{
		protocol: protocol, server: s, backend: x, metrics: m, log: log,
		queue: runqueue.New(), runs: make(map[wire.AttemptID]*run),
		startedByRequest: make(map[string]*run), callEstimator: shedding.NewCallEstimator(),
		queued: make(chan struct{}, 1), returnLines: logging.NewLimiter(maxReturnLines),
		zoneRefusal: func() *problem.Problem { return nil }, onEvacuationEnd: func() {},
	}
	e.queue.SetStartLimiter(startLimiter{s})
	return e
}

// submit queues an attempt that arrived on a link or from the local dispatcher.
func (e *executor) submit(from answerReceiver, attempt *wire.Attempt) {
	now := time.Now()
	r := &run{attempt: attempt, receiver: from, arrived: now, deadline: now.Add(attempt.Context.Remaining()), objective: attempt.Context.Objective(now)}
	e.updateQueue(func(out *[]outgoingAnswer) runqueue.Actions {
		if refused := e.checkServer(now, attempt); refused != nil {
			*out = append(*out, outgoingAnswer{from, e.refusalAnswer(attempt, refused)})
			return runqueue.Actions{}
		}
		e.runs[attempt.ID] = r
		return e.queue.Offer(now, r.queueAttempt())
	})
}

// queueAttempt returns what the queue needs to know of an attempt. An objective after the
// deadline is of no use.
func (r *run) queueAttempt() runqueue.Attempt {
	objective := r.objective
	if objective.After(r.deadline) {
		objective = r.deadline
	}
	return runqueue.Attempt{
		ID: r.attempt.ID, Importance: r.attempt.Context.Importance, Deadline: r.deadline, Objective: objective,
		Workspace: r.attempt.Context.RootWorkspace(), Route: r.attempt.Route, MoreToCome: r.attempt.Context.Depth > 0,
		Movable: r.attempt.Movable, OtherWait: time.Duration(r.attempt.OtherWaitMS) * time.Millisecond,
	}
}

// checkServer returns the refusal of an attempt that the local backend server cannot
// run in its present state, or nil.
func (e *executor) checkServer(now time.Time, attempt *wire.Attempt) *problem.Problem {
	if refused := e.refusalInZone(); refused != nil {
		return refused
	}
	view := e.server.view(now)
	switch {
	case e.draining || view.State == wire.ServerDraining:
		return problem.New(problem.KindDraining, "backend server "+view.Server+" is draining").WithRetryAfter(briefRetryAfter)
	case view.Server != attempt.Server || view.Service != attempt.Pool:
		return problem.New(problem.KindNoUpstream, "backend server "+attempt.Server+" is not on this host").WithRetryAfter(briefRetryAfter)
	case !view.State.Usable():
		return problem.New(problem.KindNoUpstream, "backend server "+attempt.Server+" is not ready").WithRetryAfter(briefRetryAfter)
	}
	return nil
}

// updateQueue calls event under the lock and then, without it, starts the runs and
// sends the refusals that follow from the event.
func (e *executor) updateQueue(event func(out *[]outgoingAnswer) runqueue.Actions) {
	var out []outgoingAnswer
	var start []*run
	e.mu.Lock()
	actions := event(&out)
	for _, id := range actions.Start {
		if r, ok := e.runs[id]; ok {
			r.started = time.Now()
			if r.deadline.After(e.latestDeadline) {
				e.latestDeadline = r.deadline
			}
			e.startedByRequest[r.attempt.RequestID] = r
			start = append(start, r)
		}
	}
	for _, refusal := range actions.Refuse {
		r, ok := e.runs[refusal.ID]
		if !ok {
			continue
		}
		delete(e.runs, refusal.ID)
		e.metrics.RecordQueueRefusal(string(refusal.Reason))
		answer := e.refusalAnswer(r.attempt, queueRefusal(refusal.Reason))
		if e.feedback && refusal.Reason != runqueue.ReasonNoSlots {
			answer.RefusedBy = []string{r.attempt.Pool}
		}
		out = append(out, outgoingAnswer{r.receiver, answer})
	}
	e.refuseExcess(&out)
	if e.queue.Waiting() > 0 {
		select {
		case e.queued <- struct{}{}:
		default: // expireQueued is awake or will be
		}
	}
	e.mu.Unlock()
	for _, o := range out {
		o.receiver.deliver(o.answer)
	}
	for _, r := range start {
		e.wg.Add(1)
		go e.execute(r)
	}
}

// refuseExcess refuses the waiting attempts that a cold server cannot start soon and that
// their senders can send to other upstreams: the least important first, of these the
// newest. The caller holds mu.
func (e *executor) refuseExcess(out *[]outgoingAnswer) {
	now := time.Now()
	excess := e.queue.Excess(now)
	if excess == 0 {
		return
	}
	var movable []*run
	for _, r := range e.runs {
		if r.started.IsZero() && r.movable(now) {
			movable = append(movable, r)
		}
	}
	slices.SortFunc(movable, func(a, b *run) int {
		return cmp.Or(cmp.Compare(b.attempt.Context.Importance, a.attempt.Context.Importance), b.arrived.Compare(a.arrived))
	})
	for _, r := range movable[:min(excess, len(movable))] {
		e.withdrawLocked(r.attempt.ID, queueRefusal(runqueue.ReasonStartsLimited), out)
	}
}

// queueRefusal returns the refusal for the queue's reason.
func queueRefusal(reason runqueue.Reason) *problem.Problem {
	switch reason {
	case runqueue.ReasonDeadlineTooClose:
		return problem.New(problem.KindDeadline, string(reason)).WithRetryAfter(queueRetryAfter)
	case runqueue.ReasonNoSlots:
		return problem.New(problem.KindNoUpstream, string(reason)).WithRetryAfter(briefRetryAfter)
	}
	return problem.New(problem.KindOverloaded, string(reason)).WithRetryAfter(queueRetryAfter)
}

// refusalAnswer returns the answer to an attempt that did not run. The caller holds mu.
func (e *executor) refusalAnswer(attempt *wire.Attempt, refused *problem.Problem) *wire.Answer {
	return &wire.Answer{ID: attempt.ID, Refusal: wireRefusal(refused), Load: e.load()}
}

func wireRefusal(p *problem.Problem) *wire.Refusal {
	return &wire.Refusal{Kind: string(p.Kind), Executed: string(p.Executed), Detail: p.Detail, RetryAfterMS: uint32(p.RetryAfter.Milliseconds())}
}

// load returns the current load with a new report number, by which receivers ignore
// reports that arrive out of order. Numbers keep increasing across restarts of the
// daemon, since they start from the clock. The caller holds mu.
func (e *executor) load() *wire.Load {
	now := time.Now()
	e.loadNumber = max(e.loadNumber+1, uint64(now.UnixNano()))
	e.applySpeed(now)
	return &wire.Load{
		Number: e.loadNumber, Running: e.queue.Running(), Waiting: e.queue.Waiting(),
		Limit: e.queue.Limit(), ServiceTime: e.queue.ServiceTime(), Slowdown: e.speed.Percent(now),
		StartRate: e.queue.StartRate(),
	}
}

// execute runs an attempt at the backend server and sends its answer.
func (e *executor) execute(r *run) {
	defer e.wg.Done()
	ctx, cancel := context.WithDeadline(context.Background(), r.deadline.Add(cancelGrace))
	defer cancel()
	e.mu.Lock()
	r.cancel = cancel
	abandoned, refused := r.abandoned, e.refusalInZone()
	e.mu.Unlock()
	if abandoned {
		cancel()
	}
	if refused != nil { // since it was queued
		e.finish(r, nil, refused)
		return
	}
	if e.server.startsForbidden() {
		e.finish(r, nil, errStartForbidden)
		return
	}
	view := e.server.view(time.Now())
	header := append([]wire.HeaderField(nil), r.attempt.Request.Header...)
	header = append(header, e.protocol.ServerHeader(ServerFields{
		RequestID: r.attempt.RequestID,
		Remaining: time.Until(r.deadline),
		Server:    r.attempt.Server,
		Workspace: r.attempt.Context.Workspace,
		Origin:    r.attempt.Origin,
	})...)
	response, err := e.backend.Do(ctx, view.Address, backend.Exchange{
		ID: r.attempt.RequestID, ResponseID: e.protocol.ResponseID,
		Method: r.attempt.Request.Method, Target: r.attempt.Request.Target, Host: r.attempt.Request.Host,
		Header: header, Body: r.attempt.Request.Body, Idempotent: r.attempt.Context.Idempotent,
		Matches: func(status int, header http.Header) bool {
			return e.protocol.Matches(r.attempt.RequestID, status, header)
		},
	})
	e.finish(r, response, err)
}

// errStartForbidden means that an attempt was to be started when the backend server had
// been draining for too long, for example since this process was paused.
var errStartForbidden = errors.New("the backend server has been draining for longer than attempts may be started; send the request to another server")

// finish sends the answer to a run that has ended and starts queued attempts in the
// slot that it has freed.
func (e *executor) finish(r *run, response *backend.Response, err error) {
	now := time.Now()
	serviceTime := now.Sub(r.started)
	answer := e.newAnswer(r, response, err)
	sample := time.Duration(0)
	if answer.Response != nil {
		sample = serviceTime
	}
	answer.QueueMS = uint32(r.started.Sub(r.arrived).Milliseconds())
	answer.ServiceMS = uint32(serviceTime.Milliseconds())
	e.metrics.RecordQueueDelay(r.attempt.Pool, r.started.Sub(r.arrived))
	e.metrics.RecordImportanceDelay(r.attempt.Context.Importance, r.started.Sub(r.arrived))
	e.metrics.RecordBackendTime(r.attempt.Pool, serviceTime)
	e.updateQueue(func(out *[]outgoingAnswer) runqueue.Actions {
		delete(e.runs, r.attempt.ID)
		if e.startedByRequest[r.attempt.RequestID] == r {
			delete(e.startedByRequest, r.attempt.RequestID)
		}
		slower := e.reportSpeed(now, r, sample)
		e.endRun(now, r, answer, response, err) // before the next attempt starts
		actions := e.queue.Finish(now, r.attempt.ID, sample)
		e.applySpeed(now)
		e.recordOutcome(r, answer, sample)
		if slower {
			e.returnLate(now, actions.Start, out)
		}
		answer.Load, answer.RefusedBy = e.load(), r.refusedBy
		if !r.abandoned {
			*out = append(*out, outgoingAnswer{r.receiver, answer})
		}
		return actions
	})
	use := connectionUse(response, err)
	for _, cause := range use.Skipped {
		e.metrics.RecordSkippedResponse(string(cause))
	}
	if use.Repeated {
		e.metrics.RecordRepeatedID()
	}
	e.log.logRun(r, answer, serviceTime, response, use, err)
}

// recordOutcome records the result of a run for the statuses. A service time above 0 is one of
// a run with a response. The caller holds mu.
func (e *executor) recordOutcome(r *run, answer *wire.Answer, serviceTime time.Duration) {
	if serviceTime > 0 {
		e.callEstimator.RecordRun(r.attempt.Route, serviceTime)
	}
	if !r.abandoned {
		e.callEstimator.RecordOutcome(e.isServerFailure(r, answer))
	}
	if e.callsAttributed && answer.Response != nil && answer.Response.Status < http.StatusInternalServerError {
		e.callEstimator.RecordCalls(r.attempt.Route, r.calls)
	}
}

// connectionUse returns what the result of an exchange tells of its connection.
func connectionUse(response *backend.Response, err error) backend.ConnectionUse {
	var failure *backend.Error
	switch {
	case response != nil:
		return response.Use
	case errors.As(err, &failure):
		return failure.Use
	}
	return backend.ConnectionUse{}
}

// isServerFailure reports whether the backend server itself caused the failure of a
// run. The server responds with 500 also if a call that the run made has failed, so a
// 500 counts only if the run has made none, as far as that is known. The caller holds
// mu.
func (e *executor) isServerFailure(r *run, answer *wire.Answer) bool {
	if answer.Response == nil {
		kind := problem.Kind(answer.Refusal.Kind)
		return !slices.Contains([]problem.Kind{problem.KindDeadline, problem.KindDraining, problem.KindEvacuated, problem.KindTablesStale}, kind)
	}
	madeNoCalls := len(r.calls) == 0 && (e.callsAttributed || !e.callsUnattributed)
	return answer.Response.Status == http.StatusInternalServerError && madeNoCalls
}

// newAnswer returns the answer for the result of an exchange with the backend server.
func (e *executor) newAnswer(r *run, response *backend.Response, err error) *wire.Answer {
	answer := &wire.Answer{ID: r.attempt.ID, Reached: true}
	if err != nil {
		answer.Refusal, answer.Reached = e.exchangeRefusal(r, err)
		return answer
	}
	fields := e.protocol.ReadResponse(response)
	r.otherServer = fields.OtherServer
	r.serverLoad = fields.Load
	switch {
	case fields.NotExecuted:
		answer.Refusal = wireRefusal(problem.New(problem.KindOverloaded, "the backend server did not run the request: status "+http.StatusText(response.Status)).WithRetryAfter(briefRetryAfter))
	case !fields.Stamped:
		answer.Refusal = wireRefusal(problem.Unknown(problem.KindUpstreamFailed, "the response lacks the backend server's response stamp"))
	default:
		answer.Response = &wire.Response{Status: response.Status, Header: backend.HeaderFields(response.Header), Body: response.Body}
	}
	return answer
}

// exchangeRefusal returns the refusal for an exchange without a complete response, and
// whether the request reached the backend server.
func (e *executor) exchangeRefusal(r *run, err error) (refusal *wire.Refusal, reached bool) {
	if errors.Is(err, errStartForbidden) {
		return wireRefusal(problem.New(problem.KindDraining, err.Error()).WithRetryAfter(briefRetryAfter)), false
	}
	var refused *problem.Problem
	if errors.As(err, &refused) {
		return wireRefusal(refused), false
	}
	var failure *backend.Error
	if errors.As(err, &failure) && failure.NotExecuted {
		if !errors.Is(err, context.Canceled) { // the caller has left while the connection was opened
			e.server.connectionRefused(time.Now())
		}
		return wireRefusal(problem.New(problem.KindNoUpstream, err.Error()).WithRetryAfter(briefRetryAfter)), false
	}
	if !time.Now().Before(r.deadline) {
		return wireRefusal(problem.Unknown(problem.KindDeadline, "the backend server did not respond before the deadline")), true
	}
	return wireRefusal(problem.Unknown(problem.KindUpstreamFailed, err.Error())), true
}

// abandon drops an attempt whose answer is no longer wanted. A started run is
// cancelled only if it is idempotent: cancelling another one would leave its effect
// unknown.
func (e *executor) abandon(id wire.AttemptID) {
	e.updateQueue(func(*[]outgoingAnswer) runqueue.Actions {
		r, ok := e.runs[id]
		if !ok {
			return runqueue.Actions{}
		}
		if e.queue.Cancel(id) {
			delete(e.runs, id)
			return runqueue.Actions{}
		}
		r.abandoned = true
		if r.attempt.Context.Idempotent && r.cancel != nil {
			r.cancel()
		}
		return runqueue.Actions{}
	})
}

// withdraw refuses an attempt as not executed if it has not started. A run in progress
// continues.
func (e *executor) withdraw(id wire.AttemptID) {
	e.updateQueue(func(out *[]outgoingAnswer) runqueue.Actions {
		e.withdrawLocked(id, drainingRefusal("withdrawn by a daemon that is stopping"), out)
		return runqueue.Actions{}
	})
}

// withdrawQueued refuses the attempts that have not started and expire at the time from or
// later as not executed, and returns their number.
func (e *executor) withdrawQueued(from time.Time, refused *problem.Problem) (withdrawn int) {
	e.updateQueue(func(out *[]outgoingAnswer) runqueue.Actions {
		for id, r := range e.runs {
			if !r.deadline.Before(from) && e.withdrawLocked(id, refused, out) {
				withdrawn++
			}
		}
		return runqueue.Actions{}
	})
	return withdrawn
}

// drainingRefusal returns the refusal of an attempt that a stop or a drain has withdrawn.
func drainingRefusal(detail string) *problem.Problem {
	return problem.New(problem.KindDraining, detail).WithRetryAfter(briefRetryAfter)
}

// withdrawLocked refuses an attempt that has not started, and reports whether there was one.
// The caller holds mu.
func (e *executor) withdrawLocked(id wire.AttemptID, refused *problem.Problem, out *[]outgoingAnswer) bool {
	r, ok := e.runs[id]
	if !ok || !e.queue.Cancel(id) {
		return false
	}
	delete(e.runs, id)
	*out = append(*out, outgoingAnswer{r.receiver, e.refusalAnswer(r.attempt, refused)})
	return true
}

// receiverLost abandons the attempts that arrived on a link that has closed.
func (e *executor) receiverLost(from answerReceiver) {
	var ids []wire.AttemptID
	e.mu.Lock()
	for id, r := range e.runs {
		if r.receiver == from {
			ids = append(ids, id)
		}
	}
	e.mu.Unlock()
	for _, id := range ids {
		e.abandon(id)
	}
}

// applyServer applies the announced number of slots. If the server is draining,
// the queue is emptied after drainingQueueTime.
func (e *executor) applyServer(view ServerView) {
	e.updateQueue(func(*[]outgoingAnswer) runqueue.Actions {
		e.queue.SetSlots(view.Slots)
		return e.queue.Advance(time.Now())
	})
	if view.State == wire.ServerDraining {
		time.AfterFunc(drainingQueueTime, e.refuseQueued)
	}
}

// refuseQueued refuses the attempts that are still queued at a server that is draining.
func (e *executor) refuseQueued() {
	if e.server.view(time.Now()).State == wire.ServerDraining {
		e.withdrawQueued(time.Time{}, drainingRefusal("the backend server is draining"))
	}
}

// drain refuses new attempts from now on, since the daemon is stopping.
func (e *executor) drain() {
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
}

// inProgress returns the number of attempts that are running or queued.
func (e *executor) inProgress() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.runs)
}

// oldestRun returns the caller's id and the age of the attempt that is running or queued
// for the longest time, "" if there is none.
func (e *executor) oldestRun(now time.Time) (requestID string, age time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.runs {
		if since := now.Sub(r.arrived); requestID == "" || since > age {
			requestID, age = r.attempt.RequestID, since
		}
	}
	return requestID, age
}

// inherited is what a call inherits from the run that made it.
type inherited struct {
	importance uint8
	depth      uint8 // of the call
	workspace  string
	objective  time.Time // zero: none
}

// countCall counts a call made by the local backend server. If the call's id names the
// run in progress that made it, countCall returns what the call inherits from that run.
// Otherwise a request that states a deadline after those of all runs is one of a caller, since
// a call expires with its run; it is not counted. The deadline is zero if none is stated.
func (e *executor) countCall(requestID, route string, deadline time.Time) (parentRun inherited, known bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	parent := e.startedByRequest[e.protocol.ParentID(requestID)]
	if parent == nil && deadline.After(e.latestDeadline.Add(lateCallSlack)) {
		return inherited{}, false
	}
	if parent == nil {
		e.callsUnattributed = true
		e.callEstimator.RecordUnattributedCall(route)
		return inherited{}, false
	}
	e.callsAttributed = true
	if parent.calls == nil {
		parent.calls = make(map[string]int)
	}
	parent.calls[route]++
	context := &parent.attempt.Context
	depth := min(context.Depth, math.MaxUint8-1) + 1
	return inherited{importance: context.Importance, depth: depth, workspace: context.RootWorkspace(), objective: parent.objective}, true
}

// recordRefused adds services that refused a call for lack of room to the answer of the run
// that made the call, if the call's id names it.
func (e *executor) recordRefused(requestID string, services []string) {
	if len(services) == 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if parent := e.startedByRequest[e.protocol.ParentID(requestID)]; parent != nil && e.feedback {
		parent.refusedBy = mergeServices(parent.refusedBy, services)
	}
}

// mayHaveMadeCall reports whether a request without a key, whose id names no run in
// progress, can be a call that one of them has made: a call expires with its run.
func (e *executor) mayHaveMadeCall(deadline time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.callsAttributed {
		return false
	}
	for _, r := range e.runs {
		if !r.started.IsZero() && !deadline.After(r.deadline.Add(callDeadlineSlack)) {
			return true
		}
	}
	return false
}

// fillStatus sets the executor's part of a status. An interval above 0 closes the
// current interval of the measured rates.
func (e *executor) fillStatus(interval time.Duration, status *wire.Status) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if interval > 0 {
		e.callEstimator.Tick(interval)
	}
	status.Load, status.QueueTime, status.Runs = *e.load(), e.queue.QueueTime(), e.callEstimator.Report()
	status.Ended, status.Failed = e.callEstimator.OutcomeRates()
}

// expireQueued lets the queue refuse attempts whose deadlines can no longer be met,
// until ctx is cancelled. It sleeps while no attempt is queued.
func (e *executor) expireQueued(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.queued:
		}
		for e.waiting() > 0 && ctx.Err() == nil {
			pause(ctx, expiryInterval)
			e.updateQueue(func(*[]outgoingAnswer) runqueue.Actions { return e.queue.Advance(time.Now()) })
		}
	}
}

// waiting returns the number of queued attempts.
func (e *executor) waiting() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.queue.Waiting()
}
