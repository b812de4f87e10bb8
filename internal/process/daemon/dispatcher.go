package daemon

import (
	"context"
	crand "crypto/rand"
	"math/rand/v2"
	"sync"
	"time"

	"tarragonshore.example/tarragonshore/internal/connection/peer"
	"tarragonshore.example/tarragonshore/internal/connection/wire"
	"tarragonshore.example/tarragonshore/internal/process/logging"
	"tarragonshore.example/tarragonshore/internal/process/metrics"
	"tarragonshore.example/tarragonshore/internal/request/admission"
	"tarragonshore.example/tarragonshore/internal/request/execution"
	"tarragonshore.example/tarragonshore/internal/request/problem"
	"tarragonshore.example/tarragonshore/internal/request/retry"
	"tarragonshore.example/tarragonshore/internal/request/routing"
	"tarragonshore.example/tarragonshore/internal/request/ticket"
	"tarragonshore.example/tarragonshore/internal/version/tables"
)

// call is one call of a request tree: a caller's request, or a child call of the
// local backend server. It is carried out by one or more attempts.
type call struct {
	id       string // request id in log lines
	route    *tables.Route
	context  wire.Context
	request  wire.Request
	deadline time.Time
	account  *retry.Account
	// guard is set for calls with a ticket. It has to allow each attempt before the
	// attempt is sent, and is told of each attempt that provably did not run.
	guard attemptGuard
	// shed is set when the call ends, if it or a call further down the tree was
	// shed.
	shed bool
}

// attemptGuard allows one attempt of a non-idempotent call at a time.
type attemptGuard interface {
	recordDispatch(id wire.AttemptID, upstream string) error
	recordNotExecuted(id wire.AttemptID, proof ticket.Proof) error
}

// attemptResult is the result of one attempt or forwarded request. Either response
// or refusal is set.
type attemptResult struct {
	response *wire.Response
	refusal  *problem.Problem
	credits  uint8            // retry credits that were not spent
	proof    ticket.Proof     // why the attempt is known not to have run, or 0
	answer   *wire.Answer     // nil if none arrived
	reason   execution.Reason // why the attempt ended, or ""
}

// waiter receives the result of an attempt or a forwarded request.
type waiter struct {
	done chan attemptResult // capacity 1, so that finish does not block
}

// poolState is the dispatcher's state for a pool.
type poolState struct {
	table  *routing.Table
	budget *retry.Budget
	// records are the upstreams with which table was last updated.
	records []routing.Record
	// member maps each upstream to the member on its host.
	member map[string]string
}

// localExecutor runs attempts at the local backend server.
type localExecutor interface {
	handle(requester execution.Peer, attempt *wire.Attempt)
	ack(requester execution.Peer, id wire.AttemptID)
	cancel(requester execution.Peer, id wire.AttemptID)
}

// dispatcher chooses upstreams for calls, sends them attempts, waits for the
// answers and decides about retries. mu guards the fields below it.
type dispatcher struct {
	self    execution.Peer
	zone    string
	members *members
	hub     *peer.Hub
	metrics *metrics.Metrics
	local   localExecutor

	mu         sync.Mutex
	pending    *execution.PendingTable
	waiters    map[wire.AttemptID]*waiter // of the pending attempts and forwarded requests
	pools      map[string]*poolState
	version    tables.Version // of the tables from which pools was built
	thresholds *admission.ThresholdCache
	rng        *rand.Rand
}

// maxPending bounds the attempts and forwarded requests that wait for an answer.
const maxPending = 20_000

// crossZoneLatency is the assumed one-way latency to another availability zone.
const crossZoneLatency = time.Millisecond

func newDispatcher(self execution.Peer, zone string, members *members, m *metrics.Metrics, rng *rand.Rand) *dispatcher {
	return &dispatcher{
		self:       self,
		zone:       zone,
		members:    members,
		metrics:    m,
		pending:    execution.NewPendingTable(maxPending),
		waiters:    make(map[wire.AttemptID]*waiter),
		pools:      make(map[string]*poolState),
		thresholds: admission.NewThresholdCache(),
		rng:        rng,
	}
}

// newPool returns the state of a pool without upstreams. The caller holds the lock.
func (d *dispatcher) newPool(warmUp time.Duration, ratio float64) *poolState {
	table := routing.NewTable(routing.Config{
		Self:       d.self.Member,
		Zone:       d.zone,
		WarmUp:     warmUp,
		Latency:    d.latencyTo,
		Thresholds: d.thresholds,
	})
	return &poolState{table: table, budget: retry.NewBudget(ratio)}
}

// latencyTo returns the assumed one-way latency to a zone.
func (d *dispatcher) latencyTo(zone string) time.Duration {
	if zone == d.zone {
		return 0
	}
	return crossZoneLatency
}

func newAttemptID() wire.AttemptID {
	var id wire.AttemptID
	_, _ = crand.Read(id[:]) // crypto/rand.Read never fails
	return id
}

// run carries out a call. It sends attempts until the response to one of them is
// to be delivered or the call is to be refused.
func (d *dispatcher) run(ctx context.Context, c *call) (*wire.Response, *problem.Problem) {
	pool := d.pool(c.route.Pool)
	if pool == nil {
		return nil, problem.New(problem.KindNoUpstream, "pool "+c.route.Pool+" is not in the tables in force").WithRetryAfter(time.Second)
	}
	state := retry.Call{Idempotent: c.context.Idempotent}
	d.mu.Lock()
	credits := retry.Begin(&state, c.account, pool.budget)
	d.mu.Unlock()
	var excluded []string
	var last *problem.Problem
	for number := 1; ; number++ {
		upstream, refusal := d.pick(c, pool, excluded)
		if refusal != nil {
			c.account.Return(credits, credits)
			if last != nil {
				refusal = last // more specific than that no upstream is left
			}
			refusal.Executed = state.Executed()
			c.shed = refusal.Kind == problem.KindOverloaded
			return nil, refusal
		}
		begun := time.Now()
		result := d.attempt(ctx, c, pool, upstream, uint8(credits))
		decision := d.decide(c, pool, &state, upstream, result, begun)
		d.logAttempt(c, number, upstream, result, decision)
		d.metrics.RecordAttempt(c.route.Pool, decision.Action.String())
		switch decision.Action {
		case retry.Deliver:
			c.shed = result.answer.ShedDownstream
			return result.response, nil
		case retry.Refuse:
			c.shed = decision.Kind == problem.KindOverloaded
			return nil, refusalOf(result, decision)
		}
		last = result.refusal
		credits = decision.Credits
		excluded = append(excluded, upstream)
	}
}

// logAttempt writes the log line of an attempt and of the decision that follows.
func (d *dispatcher) logAttempt(c *call, number int, upstream string, result attemptResult, decision retry.Decision) {
	var queueMS, serviceMS uint32
	if result.answer != nil {
		queueMS, serviceMS = result.answer.QueueMS, result.answer.ServiceMS
	}
	logging.InfoEvent("dispatcher", "attempt-ended", "request", c.id, "number", number, "upstream", upstream,
		"status", result.status(), "refusal", result.kind(), "end", string(result.reason), "queue_ms", queueMS,
		"service_ms", serviceMS, "action", decision.Action.String(), "reason", string(decision.Reason))
}

// refusalOf returns the refusal of a call after the given result of its last
// attempt.
func refusalOf(result attemptResult, decision retry.Decision) *problem.Problem {
	detail, wait := "", time.Duration(0)
	if result.refusal != nil {
		detail, wait = result.refusal.Detail, result.refusal.RetryAfter
	}
	return &problem.Problem{Kind: decision.Kind, Executed: decision.Executed, Detail: detail, RetryAfter: wait}
}

// status returns the HTTP status of a response, or 0.
func (a attemptResult) status() int {
	if a.response == nil {
		return 0
	}
	return a.response.Status
}

// kind returns the kind of a refusal, or "".
func (a attemptResult) kind() string {
	if a.refusal == nil {
		return ""
	}
	return string(a.refusal.Kind)
}

// pool returns the state of a pool, or nil if it is not in the tables in force.
func (d *dispatcher) pool(name string) *poolState {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pools[name]
}

// threshold returns the most permissive admission threshold among the usable
// upstreams of a call's pool. Each of them rejects what this threshold rejects.
func (d *dispatcher) threshold(c *call) wire.Threshold {
	pool := d.pool(c.route.Pool)
	if pool == nil {
		return admission.AdmitAll()
	}
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.thresholds.Highest(now, pool.table.Usable(now), c.context.Workspace)
}

// pick chooses an upstream for the next attempt.
func (d *dispatcher) pick(c *call, pool *poolState, excluded []string) (string, *problem.Problem) {
	d.mu.Lock()
	choice, ok := pool.table.Pick(time.Now(), d.rng, routing.Request{
		Workspace:  c.context.Workspace,
		Importance: c.context.Importance,
		RootHash:   c.context.RootHash,
		Exclude:    excluded,
	})
	d.mu.Unlock()
	logging.InfoEvent("dispatcher", "route", "request", c.id, "route", c.route.Name, "pool", c.route.Pool,
		"workspace", c.context.Workspace, "importance", c.context.Importance, "depth", c.context.Depth,
		"upstream", choice.ID, "reason", string(choice.Reason))
	if !ok {
		return "", problem.New(choice.Reason.Kind(), "pool "+c.route.Pool+": "+string(choice.Reason)).WithRetryAfter(time.Second)
	}
	return choice.ID, nil
}

// attempt sends one attempt and waits for its result.
func (d *dispatcher) attempt(ctx context.Context, c *call, pool *poolState, upstream string, credits uint8) attemptResult {
	id := newAttemptID()
	d.mu.Lock()
	member := pool.member[upstream]
	pool.table.RecordStart(upstream)
	d.mu.Unlock()
	if c.guard != nil {
		if err := c.guard.recordDispatch(id, upstream); err != nil {
			return attemptResult{refusal: problem.Unknown(problem.KindOutcomeUnknown, err.Error())}
		}
	}
	message := &wire.Attempt{
		ID:      id,
		Route:   c.route.Name,
		Pool:    c.route.Pool,
		Server:  upstream,
		Context: c.context,
		Request: c.request,
	}
	message.Context.Credits = credits
	message.Context.RemainingMS = remainingMS(c.deadline)
	result := d.send(ctx, member, message, c.deadline)
	if result.proof != 0 && c.guard != nil {
		if err := c.guard.recordNotExecuted(id, result.proof); err != nil {
			return attemptResult{refusal: problem.Unknown(problem.KindOutcomeUnknown, err.Error())}
		}
	}
	return result
}

// remainingMS returns the whole milliseconds until a deadline, at least 0.
func remainingMS(deadline time.Time) uint32 {
	return uint32(max(0, time.Until(deadline).Milliseconds()))
}

// send sends an attempt to its executing daemon and waits for the result.
func (d *dispatcher) send(ctx context.Context, member string, message *wire.Attempt, deadline time.Time) attemptResult {
	w := &waiter{done: make(chan attemptResult, 1)}
	if member == d.self.Member {
		sent := execution.SentAttempt{ID: message.ID, Peer: d.self, Deadline: deadline}
		if refusal := d.register(sent, w); refusal != nil {
			return attemptResult{refusal: refusal, proof: ticket.ProofNotSent}
		}
		d.local.handle(d.self, message)
		return d.wait(ctx, message.ID, w)
	}
	link, err := d.members.link(ctx, member)
	if err != nil {
		return notSent("no link to " + member + ": " + err.Error())
	}
	sent := execution.SentAttempt{ID: message.ID, Peer: peerOf(link), Link: link.Number(), Deadline: deadline}
	if refusal := d.register(sent, w); refusal != nil {
		return attemptResult{refusal: refusal, proof: ticket.ProofNotSent}
	}
	if err := link.Send(message); err != nil {
		d.perform(link, d.withLock(func() []execution.Action { return d.pending.OnNotSent(message.ID) }))
	}
	return d.wait(ctx, message.ID, w)
}

func peerOf(link peer.Link) execution.Peer {
	identity := link.Peer()
	return execution.Peer{Member: identity.Member, Incarnation: identity.Incarnation}
}

func notSent(detail string) attemptResult {
	refusal := problem.New(problem.KindNoUpstream, detail).WithRetryAfter(time.Second)
	return attemptResult{refusal: refusal, proof: ticket.ProofNotSent, reason: execution.ReasonNotSent}
}

// forward sends a request to its ticket's owner, the daemon that stores the ticket,
// and waits for the result.
func (d *dispatcher) forward(ctx context.Context, member string, message *wire.Forward, deadline time.Time) attemptResult {
	link, err := d.members.linkWithRetry(ctx, member)
	if err != nil {
		return attemptResult{refusal: problem.Unknown(problem.KindOutcomeUnknown, "the ticket's home "+member+" cannot be reached: "+err.Error())}
	}
	w := &waiter{done: make(chan attemptResult, 1)}
	sent := execution.SentAttempt{ID: message.ID, Peer: peerOf(link), Link: link.Number(), Deadline: deadline}
	if refusal := d.register(sent, w); refusal != nil {
		return attemptResult{refusal: refusal}
	}
	if err := link.Send(message); err != nil {
		d.perform(link, d.withLock(func() []execution.Action { return d.pending.OnNotSent(message.ID) }))
	}
	return d.wait(ctx, message.ID, w)
}

// register adds an attempt to the pending ones. It is called before the attempt is
// written to a link, since the answer may arrive at once.
func (d *dispatcher) register(sent execution.SentAttempt, w *waiter) *problem.Problem {
	d.mu.Lock()
	defer d.mu.Unlock()
	if refusal := d.pending.Add(sent); refusal != nil {
		return refusal
	}
	d.waiters[sent.ID] = w
	return nil
}

// withLock runs a step of the state machines under the lock.
func (d *dispatcher) withLock(step func() []execution.Action) []execution.Action {
	d.mu.Lock()
	defer d.mu.Unlock()
	return step()
}

// wait returns the result of an attempt. If ctx ends first, the attempt is
// cancelled and its outcome is unknown.
func (d *dispatcher) wait(ctx context.Context, id wire.AttemptID, w *waiter) attemptResult {
	select {
	case result := <-w.done:
		return result
	case <-ctx.Done():
	}
	reason := execution.ReasonCancelled
	if ctx.Err() == context.DeadlineExceeded {
		reason = execution.ReasonDeadline
	}
	d.perform(nil, d.withLock(func() []execution.Action { return d.pending.Cancel(id, reason) }))
	return <-w.done
}

// decide records the result of an attempt for later choices of upstreams, and
// decides whether to deliver it, retry or refuse the call.
func (d *dispatcher) decide(c *call, pool *poolState, state *retry.Call, upstream string, result attemptResult, begun time.Time) retry.Decision {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	pool.table.RecordResult(now, upstream, now.Sub(begun), result.routingResult())
	if result.answer != nil {
		d.thresholds.Store(now, upstream, c.context.Workspace, result.answer.Threshold)
	}
	return retry.Decide(state, c.account, pool.budget, result.retryOutcome(), time.Until(c.deadline), pool.table.MeanTime())
}

// routingResult classifies the result for the choice of upstreams.
func (a attemptResult) routingResult() routing.Result {
	switch {
	case a.response != nil:
		return routing.Succeeded
	case a.reason == execution.ReasonCancelled:
		return routing.Cancelled
	case a.refusal.Kind == problem.KindDraining:
		return routing.Draining
	case a.refusal.Kind == problem.KindOverloaded || a.refusal.Kind == problem.KindDeadline && a.proof != 0:
		return routing.Shed
	default:
		return routing.Failed
	}
}

// retryOutcome describes the result for the retry decision.
func (a attemptResult) retryOutcome() retry.Outcome {
	unspent := retry.Credits(a.credits)
	switch {
	case a.response != nil:
		retryOutcome := retry.Responded(a.response.Status, unspent)
		retryOutcome.ShedDownstream = a.answer.ShedDownstream
		return retryOutcome
	case a.answer == nil && a.proof == 0:
		return retry.NoAnswer()
	default:
		return retry.Refused(a.refusal.Kind, a.refusal.Executed, unspent)
	}
}
