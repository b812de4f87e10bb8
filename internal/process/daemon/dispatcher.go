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

// call is one call of a request tree: a caller's request or a call of the own
// backend server. It lives until its last attempt has ended.
type call struct {
	id       string // for logs
	route    *tables.Route
	context  wire.Context
	request  wire.Request
	deadline time.Time
	account  *retry.Account
	// guard, if set, allows each attempt before it is sent and learns of each
	// attempt that was proven not to run. Non-idempotent calls need it.
	guard attemptGuard
	// shed is set at the end if the call, or a call below it, was shed.
	shed bool
}

// attemptGuard is the table that allows one attempt of a non-idempotent call at a time.
type attemptGuard interface {
	dispatched(id wire.AttemptID, upstream string) error
	notExecuted(id wire.AttemptID, proof ticket.Proof) error
}

// answered is the end of one attempt or forwarded request.
type answered struct {
	response *wire.Response
	refusal  *problem.Problem
	credits  uint8
	proof    ticket.Proof // for refusals with executed "no"
	answer   *wire.Answer // nil if there was none
	reason   execution.Reason
}

// waiter is what waits for an attempt or a forwarded request.
type waiter struct {
	done chan answered // buffered
}

// poolState is what the dispatcher keeps for a pool.
type poolState struct {
	table  *routing.Table
	budget *retry.Budget
	// records are the upstreams that the table was last updated with.
	records []routing.Record
	// member names the member beside each upstream.
	member map[string]string
}

// localExecutor runs attempts at the own backend server.
type localExecutor interface {
	handle(asker execution.Peer, attempt *wire.Attempt)
	ack(asker execution.Peer, id wire.AttemptID)
	cancel(asker execution.Peer, id wire.AttemptID)
}

// dispatcher sends attempts to upstreams and waits for their answers. Its lock
// guards pending, waiters, pools, version, hints and rng.
type dispatcher struct {
	self    execution.Peer
	zone    string
	members *members
	hub     *peer.Hub
	metrics *metrics.Metrics
	local   localExecutor

	mu      sync.Mutex
	pending *execution.Pending
	waiters map[wire.AttemptID]*waiter
	pools   map[string]*poolState
	version tables.Version // of the pools
	hints   *admission.Hints
	rng     *rand.Rand
}

// maxPending bounds the attempts that wait at once.
const maxPending = 20_000

// zoneDistance is the assumed one-way time to another availability zone.
const zoneDistance = time.Millisecond

func newDispatcher(self execution.Peer, zone string, members *members, m *metrics.Metrics, rng *rand.Rand) *dispatcher {
	return &dispatcher{
		self:    self,
		zone:    zone,
		members: members,
		metrics: m,
		pending: execution.NewPending(maxPending),
		waiters: make(map[wire.AttemptID]*waiter),
		pools:   make(map[string]*poolState),
		hints:   admission.NewHints(),
		rng:     rng,
	}
}

// newPool returns the state of a pool without upstreams. The caller holds the lock.
func (d *dispatcher) newPool(warmUp time.Duration, ratio float64) *poolState {
	table := routing.NewTable(routing.Config{
		Self:       d.self.Member,
		Zone:       d.zone,
		WarmUp:     warmUp,
		Distance:   d.distance,
		Thresholds: d.hints,
	})
	return &poolState{table: table, budget: retry.NewBudget(ratio)}
}

// distance returns the assumed one-way time to a zone.
func (d *dispatcher) distance(zone string) time.Duration {
	if zone == d.zone {
		return 0
	}
	return zoneDistance
}

func newAttemptID() wire.AttemptID {
	var id wire.AttemptID
	_, _ = crand.Read(id[:]) // crypto/rand.Read never fails
	return id
}

// run carries out a call: it sends attempts until one is to be delivered or
// the call is to be refused.
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
				refusal = last // the attempt's refusal says more than that no other upstream is left
			}
			refusal.Executed = state.Executed()
			c.shed = refusal.Kind == problem.KindOverloaded
			return nil, refusal
		}
		begun := time.Now()
		end := d.attempt(ctx, c, pool, upstream, uint8(credits))
		decision := d.decide(c, pool, &state, upstream, end, begun)
		d.logEnd(c, number, upstream, end, decision)
		d.metrics.Attempt(c.route.Pool, decision.Action.String())
		switch decision.Action {
		case retry.Deliver:
			c.shed = end.answer.ShedBelow
			return end.response, nil
		case retry.Refuse:
			c.shed = decision.Kind == problem.KindOverloaded
			return nil, refusalOf(end, decision)
		}
		last = end.refusal
		credits = decision.Credits
		excluded = append(excluded, upstream)
	}
}

// logEnd writes the line of the decision that follows an attempt.
func (d *dispatcher) logEnd(c *call, number int, upstream string, end answered, decision retry.Decision) {
	var queueMS, serviceMS uint32
	if end.answer != nil {
		queueMS, serviceMS = end.answer.QueueMS, end.answer.ServiceMS
	}
	logging.Event("dispatcher", "attempt-ended", "request", c.id, "number", number, "upstream", upstream,
		"status", end.status(), "refusal", end.kind(), "end", string(end.reason), "queue_ms", queueMS,
		"service_ms", serviceMS, "action", decision.Action.String(), "reason", string(decision.Reason))
}

// refusalOf returns the refusal of a call whose last attempt was not delivered.
func refusalOf(end answered, decision retry.Decision) *problem.Problem {
	detail, wait := "", time.Duration(0)
	if end.refusal != nil {
		detail, wait = end.refusal.Detail, end.refusal.RetryAfter
	}
	return &problem.Problem{Kind: decision.Kind, Executed: decision.Executed, Detail: detail, RetryAfter: wait}
}

// status returns the HTTP status of a response, or 0.
func (a answered) status() int {
	if a.response == nil {
		return 0
	}
	return a.response.Status
}

// kind returns the kind of a refusal, or "".
func (a answered) kind() string {
	if a.refusal == nil {
		return ""
	}
	return string(a.refusal.Kind)
}

// pool returns the state of a pool, or nil if the tables in force lack it.
func (d *dispatcher) pool(name string) *poolState {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pools[name]
}

// threshold returns the threshold that the usable upstreams of a call's pool
// apply together to its workspace.
func (d *dispatcher) threshold(c *call) wire.Threshold {
	pool := d.pool(c.route.Pool)
	if pool == nil {
		return admission.AdmitsAll()
	}
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.hints.Greatest(now, pool.table.Usable(now), c.context.Workspace)
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
	logging.Event("dispatcher", "route", "request", c.id, "route", c.route.Name, "pool", c.route.Pool,
		"workspace", c.context.Workspace, "importance", c.context.Importance, "depth", c.context.Depth,
		"upstream", choice.ID, "reason", string(choice.Reason))
	if !ok {
		return "", problem.New(choice.Reason.Kind(), "pool "+c.route.Pool+": "+string(choice.Reason)).WithRetryAfter(time.Second)
	}
	return choice.ID, nil
}

// attempt sends one attempt and waits for its end.
func (d *dispatcher) attempt(ctx context.Context, c *call, pool *poolState, upstream string, credits uint8) answered {
	id := newAttemptID()
	d.mu.Lock()
	member := pool.member[upstream]
	pool.table.Started(upstream)
	d.mu.Unlock()
	if c.guard != nil {
		if err := c.guard.dispatched(id, upstream); err != nil {
			return answered{refusal: problem.Unknown(problem.KindOutcomeUnknown, err.Error())}
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
	end := d.send(ctx, member, message, c.deadline)
	if end.proof != 0 && c.guard != nil {
		if err := c.guard.notExecuted(id, end.proof); err != nil {
			return answered{refusal: problem.Unknown(problem.KindOutcomeUnknown, err.Error())}
		}
	}
	return end
}

// remainingMS returns the whole milliseconds until a deadline, at least 0.
func remainingMS(deadline time.Time) uint32 {
	return uint32(max(0, time.Until(deadline).Milliseconds()))
}

// send delivers an attempt to its executing daemon and waits for the answer.
func (d *dispatcher) send(ctx context.Context, member string, message *wire.Attempt, deadline time.Time) answered {
	w := &waiter{done: make(chan answered, 1)}
	if member == d.self.Member {
		sent := execution.Sent{ID: message.ID, Peer: d.self, Deadline: deadline}
		if refusal := d.register(sent, w); refusal != nil {
			return answered{refusal: refusal, proof: ticket.ProofNotSent}
		}
		d.local.handle(d.self, message)
		return d.wait(ctx, message.ID, w)
	}
	link, err := d.members.link(ctx, member)
	if err != nil {
		return notSent("no link to " + member + ": " + err.Error())
	}
	sent := execution.Sent{ID: message.ID, Peer: peerOf(link), Link: link.Number(), Deadline: deadline}
	if refusal := d.register(sent, w); refusal != nil {
		return answered{refusal: refusal, proof: ticket.ProofNotSent}
	}
	if err := link.Send(message); err != nil {
		d.perform(link, d.locked(func() []execution.Action { return d.pending.NotSent(message.ID) }))
	}
	return d.wait(ctx, message.ID, w)
}

func peerOf(link peer.Link) execution.Peer {
	identity := link.Peer()
	return execution.Peer{Member: identity.Member, Incarnation: identity.Incarnation}
}

func notSent(detail string) answered {
	refusal := problem.New(problem.KindNoUpstream, detail).WithRetryAfter(time.Second)
	return answered{refusal: refusal, proof: ticket.ProofNotSent, reason: execution.ReasonNotSent}
}

// forward passes a request to the home of its ticket and waits for the answer.
func (d *dispatcher) forward(ctx context.Context, member string, message *wire.Forward, deadline time.Time) answered {
	link, err := d.members.persistentLink(ctx, member)
	if err != nil {
		return answered{refusal: problem.Unknown(problem.KindOutcomeUnknown, "the ticket's home "+member+" does not answer: "+err.Error())}
	}
	w := &waiter{done: make(chan answered, 1)}
	sent := execution.Sent{ID: message.ID, Peer: peerOf(link), Link: link.Number(), Deadline: deadline}
	if refusal := d.register(sent, w); refusal != nil {
		return answered{refusal: refusal}
	}
	if err := link.Send(message); err != nil {
		d.perform(link, d.locked(func() []execution.Action { return d.pending.NotSent(message.ID) }))
	}
	return d.wait(ctx, message.ID, w)
}

// register adds an attempt before it is written to a link.
func (d *dispatcher) register(sent execution.Sent, w *waiter) *problem.Problem {
	d.mu.Lock()
	defer d.mu.Unlock()
	if refusal := d.pending.Add(sent); refusal != nil {
		return refusal
	}
	d.waiters[sent.ID] = w
	return nil
}

// locked runs a step of the state machines under the lock.
func (d *dispatcher) locked(step func() []execution.Action) []execution.Action {
	d.mu.Lock()
	defer d.mu.Unlock()
	return step()
}

// wait returns the end of an attempt. If ctx ends first, the attempt is
// cancelled and its outcome is unknown.
func (d *dispatcher) wait(ctx context.Context, id wire.AttemptID, w *waiter) answered {
	select {
	case end := <-w.done:
		return end
	case <-ctx.Done():
	}
	reason := execution.ReasonCancelled
	if ctx.Err() == context.DeadlineExceeded {
		reason = execution.ReasonDeadline
	}
	d.perform(nil, d.locked(func() []execution.Action { return d.pending.Cancel(id, reason) }))
	return <-w.done
}

// decide reports an attempt to the pool's tables and chooses what follows.
func (d *dispatcher) decide(c *call, pool *poolState, state *retry.Call, upstream string, end answered, begun time.Time) retry.Decision {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	pool.table.Finished(now, upstream, now.Sub(begun), end.result())
	if end.answer != nil {
		d.hints.Learn(now, upstream, c.context.Workspace, end.answer.Threshold)
	}
	return retry.Decide(state, c.account, pool.budget, end.outcome(), time.Until(c.deadline), pool.table.MeanTime())
}

// result classifies the end of an attempt for the choice of upstreams.
func (a answered) result() routing.Result {
	switch {
	case a.response != nil:
		return routing.Succeeded
	case a.reason == execution.ReasonCancelled:
		return routing.Abandoned
	case a.refusal.Kind == problem.KindDraining:
		return routing.Drained
	case a.refusal.Kind == problem.KindOverloaded || a.refusal.Kind == problem.KindDeadline && a.proof != 0:
		return routing.Shed
	default:
		return routing.Failed
	}
}

// outcome describes the end of an attempt for the retry decision.
func (a answered) outcome() retry.Outcome {
	unspent := retry.Credits(a.credits)
	switch {
	case a.response != nil:
		outcome := retry.Responded(a.response.Status, unspent)
		outcome.ShedBelow = a.answer.ShedBelow
		return outcome
	case a.answer == nil && a.proof == 0:
		return retry.Lost()
	default:
		return retry.Refused(a.refusal.Kind, a.refusal.Executed, unspent)
	}
}
