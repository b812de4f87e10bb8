package agent

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"net/http"
	"slices"
	"sync"
	"time"

	"tarragonshore.example/tarragonshore/internal/connection/backend"
	"tarragonshore.example/tarragonshore/internal/connection/peer"
	"tarragonshore.example/tarragonshore/internal/connection/wire"
	"tarragonshore.example/tarragonshore/internal/process/metrics"
	"tarragonshore.example/tarragonshore/internal/request/placement"
	"tarragonshore.example/tarragonshore/internal/request/problem"
	"tarragonshore.example/tarragonshore/internal/request/retry"
)

const (
	// maxNotReached is the number of attempts of one call that may fail to reach a
	// backend server; after the last of them the call is refused. Refusals because of an
	// evacuation do not count.
	maxNotReached = 4
	// answerGrace is how long the executing daemon's answer is awaited after the
	// deadline, since it may still carry the backend server's response.
	answerGrace = 120 * time.Millisecond
	// minRetryTime is the least time before the deadline at which a call is retried.
	minRetryTime = 50 * time.Millisecond
)

// call is a request to be run by one of a service's upstreams.
type call struct {
	requestID string
	route     string
	service   string
	origin    string
	workspace string
	// callerWorkspace is the workspace that the call tree belongs to, if workspace is empty.
	callerWorkspace string
	importance      uint8
	depth           uint8     // number of known calls above it in the call tree
	objective       time.Time // of the latency of the call tree; zero: none
	idempotent      bool
	attempts        int           // greatest number of attempts that may reach a backend server
	latencyTarget   time.Duration // latency objective of the route; 0: none
	deadline        time.Time
	request         wire.Request
	tried           []string // upstreams chosen for the attempts so far
}

// attemptResult is the result of one attempt.
type attemptResult struct {
	response *wire.Response
	refusal  *problem.Problem
	answer   *wire.Answer // nil if none arrived
	// abandoned is true if the dispatcher stopped waiting: the caller disconnected or
	// the deadline passed.
	abandoned bool
}

// pendingAttempt is an attempt whose answer has not arrived.
type pendingAttempt struct {
	done     chan attemptResult // buffered
	link     peer.Link          // that it was sent on; nil for the local executor
	deadline time.Time
}

// dispatcher sends attempts to executing daemons and waits for their answers.
// mu guards pending, budgets and idCounter.
type dispatcher struct {
	fleet   *fleet
	hub     *peer.Hub
	local   *executor
	log     *requestLog
	metrics *metrics.Metrics
	// retryLimit bounds the retries that arrive at a service, summed over all levels
	// of the call chain, as a fraction of its requests.
	retryLimit float64
	// stop tells what may still begin during a graceful stop.
	stop stopState

	mu        sync.Mutex
	pending   map[wire.AttemptID]*pendingAttempt
	budgets   map[budgetKey]*retry.Budget
	idPrefix  [8]byte
	idCounter uint64
}

func newDispatcher(f *fleet, local *executor, retryLimit float64, m *metrics.Metrics, log *requestLog) *dispatcher {
	d := &dispatcher{
		fleet: f, local: local, retryLimit: retryLimit, metrics: m, log: log,
		pending: make(map[wire.AttemptID]*pendingAttempt), budgets: make(map[budgetKey]*retry.Budget),
	}
	_, _ = crand.Read(d.idPrefix[:]) // crypto/rand.Read never fails
	return d
}

// dispatch sends attempts until one has a response for the caller or the call has to
// be refused. refusedBy lists the services that refused it, or a call made for it, for lack
// of room.
func (d *dispatcher) dispatch(ctx context.Context, c *call) (response *wire.Response, refusal *problem.Problem, refusedBy []string) {
	d.countFirstAttempt(c)
	var outcome callOutcome
	response, refusal = d.sendAttempts(ctx, c, &outcome)
	return response, refusal, outcome.refusedBy()
}

// sendAttempts sends the attempts of a call and adds their results to outcome.
func (d *dispatcher) sendAttempts(ctx context.Context, c *call, outcome *callOutcome) (*wire.Response, *problem.Problem) {
	reached, notReached := 0, 0
	for {
		if !d.stop.starts(time.Now(), c.deadline) {
			return outcome.finalAnswer("the daemon is stopping")
		}
		id, member, ok := d.fleet.pickUpstream(time.Now(), c)
		if !ok {
			return outcome.finalAnswer("no untried upstream of service " + c.service + " is available")
		}
		sent := time.Now()
		result := d.sendAttempt(ctx, c, id, member, notReached+1 < maxNotReached)
		d.fleet.attemptFinished(time.Now(), c.service, id, result.placementResult())
		if result.answer != nil {
			d.fleet.loadReported(c.service, id, result.answer.Load)
			upstreamTime := time.Duration(result.answer.QueueMS+result.answer.ServiceMS) * time.Millisecond
			pathTime := max(0, time.Since(sent)-upstreamTime)
			d.metrics.RecordDaemonTime(c.service, pathTime)
			if result.answer.Load != nil { // the attempt was sent
				bytes := messageBytes(c, result.answer)
				d.metrics.RecordZoneAttempt(c.service, member.zone == d.fleet.zone, bytes)
				d.fleet.attemptMeasured(time.Now(), c, id, member.zone, pathTime, bytes, result.answer)
			}
		}
		c.tried = append(c.tried, id)
		outcome.add(&result)
		switch {
		case result.answer == nil || result.answer.Reached:
			reached++
		case !result.evacuated():
			notReached++
		}
		again, reason := d.shouldRetry(c, &result, reached, notReached)
		d.log.logAttempt(c, id, member, &result, reason)
		d.metrics.RecordAttempt(c.service, reason)
		if !again {
			return outcome.finalAnswer(reason)
		}
	}
}

// shouldRetry decides whether the call is sent to another upstream. reached counts
// the attempts that reached a backend server or may have, notReached the others.
// reason is the value for the log and for the metric of attempts.
func (d *dispatcher) shouldRetry(c *call, result *attemptResult, reached, notReached int) (again bool, reason string) {
	remaining := time.Until(c.deadline)
	switch {
	case result.abandoned:
		return false, "caller-gone-or-timeout"
	case result.response != nil && result.response.Status < http.StatusInternalServerError:
		return false, "answered"
	case result.response != nil && result.response.Status == http.StatusGatewayTimeout:
		return false, "answered"
	case !d.stop.starts(time.Now(), c.deadline):
		return false, "stopping"
	case remaining < minRetryTime:
		return false, "no-time-left"
	}
	notExecuted := result.refusal != nil && result.refusal.Executed == problem.ExecutedNo
	switch {
	case result.refusal != nil && result.refusal.Kind == problem.KindDeadline:
		return false, "no-time-left"
	case !notExecuted && !c.idempotent:
		return false, "must-not-run-twice"
	case result.evacuated():
		return true, "evacuated" // ends with the untried upstreams
	case notExecuted && !result.reachedServer():
		return notReached < maxNotReached, "not-reached"
	case reached >= max(1, c.attempts):
		return false, "attempts-spent"
	case !d.takeRetry(c):
		return false, "repeat-budget-spent"
	}
	return true, "repeat"
}

// evacuated reports whether the attempt was refused since the zone of the upstream is
// evacuated. All servers of a zone refuse at once, so that this does not count as a failure
// to reach a server.
func (r *attemptResult) evacuated() bool {
	return r.refusal != nil && r.refusal.Kind == problem.KindEvacuated && r.refusal.Executed == problem.ExecutedNo && !r.reachedServer()
}

func (r *attemptResult) reachedServer() bool { return r.answer != nil && r.answer.Reached }

// callOutcome accumulates the results of a call's attempts.
type callOutcome struct {
	response *wire.Response   // the latest response of a backend server
	refusal  *problem.Problem // of the latest attempt, nil if that got a response
	// failure is the refusal of the latest attempt that may have run.
	failure *problem.Problem
	// deeper lists the services that refused calls made during the attempts that ran, own the
	// service of the call if its queue refused the latest attempt.
	deeper, own []string
}

// add records the result of an attempt.
func (o *callOutcome) add(result *attemptResult) {
	if result.response != nil {
		o.response = result.response
	}
	o.refusal = result.refusal
	if result.refusal != nil && result.refusal.Executed != problem.ExecutedNo {
		o.failure = result.refusal
	}
	o.own = nil
	switch {
	case result.answer == nil:
	case result.answer.Reached:
		o.deeper = mergeServices(o.deeper, result.answer.RefusedBy)
	default:
		o.own = result.answer.RefusedBy
	}
}

// refusedBy returns the services that refused a call of the tree below this call, itself
// included, for lack of room. A refusal after which the call was run elsewhere does not count.
func (o *callOutcome) refusedBy() []string {
	if o.response != nil || o.failure != nil {
		return o.deeper
	}
	return mergeServices(o.deeper, o.own)
}

// maxRefusedBy bounds the services in an answer.
const maxRefusedBy = 8

// mergeServices returns the union of two lists, in order of name, so that no message depends
// on the order of concurrent calls.
func mergeServices(a, b []string) []string {
	if len(b) == 0 {
		return a
	}
	merged := slices.Compact(slices.Sorted(slices.Values(slices.Concat(a, b))))
	return merged[:min(len(merged), maxRefusedBy)]
}

// finalAnswer returns what the caller gets: the response of a backend server if
// there is one, and otherwise a refusal, which says "not executed" only if no attempt
// can have run. If one may have, its failure is what the caller gets: a later refusal by a
// queue, such as "not enough time", says nothing about it. detail is used if no attempt was
// sent.
func (o *callOutcome) finalAnswer(detail string) (*wire.Response, *problem.Problem) {
	switch {
	case o.response != nil:
		return o.response, nil
	case o.refusal == nil:
		return nil, problem.New(problem.KindNoUpstream, detail).WithRetryAfter(briefRetryAfter)
	case o.failure != nil:
		return nil, o.failure
	}
	return nil, o.refusal
}

// budgetKey identifies a retry budget. Each service has one for requests from
// callers (direct) and one for calls made by backend servers. As in
// entryHandler.admit, a request without a workspace is taken for such a call.
type budgetKey struct {
	service string
	direct  bool
}

func budgetKeyOf(c *call) budgetKey { return budgetKey{service: c.service, direct: c.workspace != ""} }

// countFirstAttempt credits a call to the retry budget of its service.
func (d *dispatcher) countFirstAttempt(c *call) {
	direct, internal := retry.Ratios(d.retryLimit, d.fleet.chainPosition(c.service))
	key := budgetKeyOf(c)
	ratio := internal
	if key.direct {
		ratio = direct
	}
	if ratio <= 0 {
		return // retries are disabled
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	b := d.budgets[key]
	if b == nil {
		b = retry.NewBudget(ratio)
		d.budgets[key] = b
	}
	b.SetRatio(ratio)
	b.RecordFirstAttempt()
}

// takeRetry takes one retry from the budget of the call's service.
func (d *dispatcher) takeRetry(c *call) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	b := d.budgets[budgetKeyOf(c)]
	return b != nil && b.Take()
}

// newAttemptID returns an id that is unique in the fleet.
func (d *dispatcher) newAttemptID() wire.AttemptID {
	var id wire.AttemptID
	d.mu.Lock()
	d.idCounter++
	copy(id[:8], d.idPrefix[:])
	binary.BigEndian.PutUint64(id[8:], d.idCounter)
	d.mu.Unlock()
	return id
}

// sendAttempt sends one attempt and waits for its result. anotherFollows is true if a
// refusal as not executed may be followed by another attempt.
func (d *dispatcher) sendAttempt(ctx context.Context, c *call, server string, member memberAddress, anotherFollows bool) attemptResult {
	message := &wire.Attempt{
		ID: d.newAttemptID(), Route: c.route, Pool: c.service, Server: server,
		Context: wire.Context{
			Workspace: c.workspace, Importance: c.importance, Idempotent: c.idempotent,
			RemainingMS: uint32(max(0, time.Until(c.deadline).Milliseconds())), CallerWorkspace: c.callerWorkspace, Depth: c.depth,
		},
		Request: c.request, RequestID: c.requestID, Origin: c.origin,
	}
	if !c.objective.IsZero() {
		message.Context.SetObjective(time.Until(c.objective))
	}
	// shouldRetry ends a call with less than minRetryTime left.
	if anotherFollows && time.Until(c.deadline) > 2*minRetryTime {
		wait, ok := d.fleet.otherUpstreamWait(time.Now(), c.service, server, c.tried)
		message.Movable, message.OtherWaitMS = ok, uint32(wait.Milliseconds())
	}
	p := &pendingAttempt{done: make(chan attemptResult, 1), deadline: c.deadline}
	if member.self {
		d.addPending(message.ID, p)
		d.local.submit(d, message)
		return d.awaitResult(ctx, message.ID, p, nil)
	}
	link, err := d.hub.Link(ctx, member.name, member.address)
	if err != nil {
		d.fleet.markUnreachable(time.Now(), member.name)
		return notSent("no link to " + member.name + ": " + err.Error())
	}
	if !d.stop.starts(time.Now(), c.deadline) { // opening the link may have taken long
		return notSent("the daemon is stopping")
	}
	p.link = link
	d.addPending(message.ID, p)
	if err := link.Send(message); err != nil {
		d.removePending(message.ID)
		return notSent("send an attempt to member " + member.name + ": " + err.Error())
	}
	return d.awaitResult(ctx, message.ID, p, link)
}

func notSent(detail string) attemptResult {
	refusal := problem.New(problem.KindNoUpstream, detail).WithRetryAfter(briefRetryAfter)
	return attemptResult{refusal: refusal, answer: &wire.Answer{}}
}

func (d *dispatcher) addPending(id wire.AttemptID, p *pendingAttempt) {
	d.mu.Lock()
	d.pending[id] = p
	d.mu.Unlock()
}

func (d *dispatcher) removePending(id wire.AttemptID) {
	d.mu.Lock()
	delete(d.pending, id)
	d.mu.Unlock()
}

// awaitResult returns the result of an attempt. When ctx ends (the caller has
// disconnected or the deadline has passed), the attempt is abandoned and its outcome
// is unknown. link is nil for the local executor.
func (d *dispatcher) awaitResult(ctx context.Context, id wire.AttemptID, p *pendingAttempt, link peer.Link) attemptResult {
	select {
	case result := <-p.done:
		return result
	case <-ctx.Done():
	}
	d.removePending(id)
	if link == nil {
		d.local.abandon(id)
	} else {
		_ = link.Send(&wire.Cancel{ID: id}) // if the link has closed, the other side abandons its attempts
	}
	return attemptResult{abandoned: true, refusal: problem.Unknown(problem.KindDeadline, "no answer before the deadline")}
}

// withdraw asks the other daemons, during a graceful stop, to refuse the attempts that expire
// at the time from or later as not executed, unless a backend server has started them. It
// returns the number of these attempts. Those at the local executor are withdrawn there.
func (d *dispatcher) withdraw(from time.Time) int {
	links := map[wire.AttemptID]peer.Link{}
	d.mu.Lock()
	for id, p := range d.pending {
		if p.link != nil && !p.deadline.Before(from) {
			links[id] = p.link
		}
	}
	d.mu.Unlock()
	for id, link := range links {
		_ = link.Send(&wire.Cancel{ID: id, KeepStarted: true}) // a closed link ends its attempts
	}
	return len(links)
}

// deliver processes an answer from a link or from the local executor.
func (d *dispatcher) deliver(answer *wire.Answer) {
	d.mu.Lock()
	p, ok := d.pending[answer.ID]
	delete(d.pending, answer.ID)
	d.mu.Unlock()
	if !ok {
		return // the attempt was abandoned
	}
	result := attemptResult{response: answer.Response, answer: answer}
	if r := answer.Response; r != nil && (r.Status < http.StatusOK || r.Status > backend.MaxStatus) {
		// Earlier releases deliver such responses of their backend servers.
		result.response = nil
		result.refusal = problem.Unknown(problem.KindUpstreamFailed, "the status of the response is outside 200 to 599")
	}
	if answer.Response == nil && answer.Refusal == nil {
		result.refusal = problem.Unknown(problem.KindUpstreamFailed, "the answer has neither a response nor a refusal; run the same release on both hosts")
	}
	if r := answer.Refusal; r != nil {
		result.refusal = &problem.Problem{Kind: problem.Kind(r.Kind), Executed: problem.Executed(r.Executed), Detail: r.Detail,
			RetryAfter: time.Duration(r.RetryAfterMS) * time.Millisecond}
	}
	p.done <- result
}

// linkLost completes the attempts that are pending on a closed link with an unknown
// outcome.
func (d *dispatcher) linkLost(number uint64, reason string) {
	var affected []*pendingAttempt
	d.mu.Lock()
	for id, p := range d.pending {
		if p.link != nil && p.link.Number() == number {
			affected = append(affected, p)
			delete(d.pending, id)
		}
	}
	d.mu.Unlock()
	for _, p := range affected {
		p.done <- attemptResult{refusal: problem.Unknown(problem.KindUpstreamFailed, "the peer link closed: "+reason)}
	}
}

// placementResult classifies the result for placement, which avoids upstreams that
// fail.
func (r *attemptResult) placementResult() placement.Result {
	switch {
	case r.abandoned:
		return placement.Cancelled
	case r.response != nil && r.response.Status < http.StatusInternalServerError:
		return placement.Succeeded
	case r.answer != nil && !r.answer.Reached:
		return placement.Refused
	case r.refusal != nil && r.refusal.Kind == problem.KindDeadline:
		return placement.Cancelled
	case r.response != nil && r.response.Status == http.StatusGatewayTimeout:
		return placement.Cancelled
	}
	return placement.Failed
}
