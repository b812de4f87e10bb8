package daemon

import (
	"context"
	crand "crypto/rand"
	"net/http"
	"sync"
	"time"

	"tarragonshore.example/tarragonshore/internal/connection/caller"
	"tarragonshore.example/tarragonshore/internal/connection/wire"
	"tarragonshore.example/tarragonshore/internal/process/logging"
	"tarragonshore.example/tarragonshore/internal/request/problem"
	"tarragonshore.example/tarragonshore/internal/request/ticket"
	"tarragonshore.example/tarragonshore/internal/version/tables"
)

// ownerPollInterval is the interval at which a request checks whether the hand-over of
// its ticket is complete, or whether the daemon that stores its ticket is known.
const ownerPollInterval = 20 * time.Millisecond

// ownerLookupTimeout is how long a request waits until the daemon that stores its
// ticket is known. Membership changes reach a member that has just joined within
// about 1 s.
const ownerLookupTimeout = 2 * time.Second

// tickets issues tickets and runs requests with tickets at most once. A ticket's
// owner is the daemon that issued it, or later the successor that took over its
// record. mu guards the fields below it.
type tickets struct {
	self       ticket.DaemonID
	members    *members
	rates      *rates
	dispatcher *dispatcher

	mu    sync.Mutex
	table *ticket.Table // the records of the tickets whose owner is this daemon
	// ends holds a channel per request in progress, which is closed when the request
	// ends.
	ends map[ticket.Key]chan struct{}
}

func newTickets(self ticket.DaemonID, members *members, rates *rates, dispatcher *dispatcher) (*tickets, error) {
	table, err := ticket.NewTable(self, ticket.DefaultOptions(), crand.Reader)
	if err != nil {
		return nil, err
	}
	return &tickets{
		self:       self,
		members:    members,
		rates:      rates,
		dispatcher: dispatcher,
		table:      table,
		ends:       make(map[ticket.Key]chan struct{}),
	}, nil
}

// issue returns a new ticket for a workspace.
func (t *tickets) issue(workspace string) (string, *problem.Problem) {
	t.mu.Lock()
	defer t.mu.Unlock()
	issued, err := t.table.Issue(time.Now(), workspace)
	if err != nil {
		return "", problem.New(problem.KindOverloaded, err.Error()).WithRetryAfter(time.Second)
	}
	return issued.String(), nil
}

// addNextTicket adds a ticket for the caller's next request to the header of an answer,
// which saves the caller a round trip. None is added if no ticket can be issued.
func (t *tickets) addNextTicket(header http.Header, workspace string) {
	if next, refusal := t.issue(workspace); refusal == nil {
		header.Set(caller.HeaderNextTicket, next)
	}
}

// serve answers a caller's request on a non-idempotent route.
func (t *tickets) serve(ctx context.Context, r *http.Request, q *callerRequest) (*wire.Response, *problem.Problem) {
	text, refusal := caller.IdempotencyKey(r.Header)
	if refusal != nil {
		return nil, refusal
	}
	if text == "" {
		return nil, problem.New(problem.KindTicketRequired, "route "+q.route.Name+" is not idempotent")
	}
	parsed, err := ticket.Parse(text)
	if err != nil {
		return nil, problem.New(problem.KindTicketInvalid, err.Error())
	}
	q.request, refusal = caller.ReadRequest(r, q.route.MaxBodyBytes)
	if refusal != nil {
		return nil, markUnknownIfRetry(r, q, refusal)
	}
	result := t.run(ctx, q.call(), parsed, true)
	return result.response, result.refusal
}

// run carries out a call with a ticket, either here or by forwarding it to the
// ticket's owner. mayForward is false if the request was forwarded to this daemon.
func (t *tickets) run(ctx context.Context, c *call, parsed ticket.Ticket, mayForward bool) attemptResult {
	ticketed := ticket.TicketedRequest{
		Ticket:      parsed,
		Workspace:   c.context.Workspace,
		Fingerprint: ticket.FingerprintOf(&c.request),
		Deadline:    c.deadline,
	}
	for {
		decision, end := t.begin(ticketed)
		logging.InfoEvent("tickets", "ticket", "request", c.id, "home", parsed.Issuer.Member, "reason", string(decision.Reason))
		switch decision.Outcome {
		case ticket.Dispatch:
			return t.dispatch(ctx, c, decision.Key)
		case ticket.Replay:
			return attemptResult{response: decision.Response}
		case ticket.InProgress, ticket.HandingOver:
			if refusal := waitForEnd(ctx, end); refusal != nil {
				return attemptResult{refusal: refusal}
			}
		case ticket.NotOwner:
			// An owner that has handed its tickets over forwards the requests that it
			// still receives, until all members know the successor.
			if !mayForward && decision.Reason != ticket.ReasonHandedOver {
				return attemptResult{refusal: problem.Unknown(problem.KindOutcomeUnknown, string(decision.Reason))}
			}
			return t.forward(ctx, c, parsed, decision.Owner)
		default:
			return attemptResult{refusal: decision.Problem()}
		}
	}
}

// begin decides what to do with a request by the record of its ticket. If a request
// with the ticket is in progress here, the channel is closed when it ends.
func (t *tickets) begin(request ticket.TicketedRequest) (ticket.Decision, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	decision := t.table.Begin(time.Now(), request)
	if decision.Outcome == ticket.Dispatch {
		t.ends[decision.Key] = make(chan struct{})
	}
	return decision, t.ends[request.Ticket.Key()]
}

// waitForEnd waits until end is closed, or for ownerPollInterval if it is nil. It returns
// a refusal if ctx ends first.
func waitForEnd(ctx context.Context, end <-chan struct{}) *problem.Problem {
	var poll <-chan time.Time
	if end == nil {
		poll = time.After(ownerPollInterval)
	}
	select {
	case <-end:
	case <-poll:
	case <-ctx.Done():
		return problem.Unknown(problem.KindOutcomeUnknown, "the request with this ticket is still running")
	}
	return nil
}

// dispatch runs the first request with a ticket. The run goes on if the caller's
// connection breaks, since the caller may retry and then needs the result.
func (t *tickets) dispatch(ctx context.Context, c *call, key ticket.Key) attemptResult {
	done := make(chan attemptResult, 1)
	go func() {
		runCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), c.deadline)
		defer cancel()
		done <- t.runOnce(runCtx, c, key)
	}()
	select {
	case result := <-done:
		return result
	case <-ctx.Done():
	}
	// The run has the same deadline, so it ends soon.
	if ctx.Err() == context.DeadlineExceeded {
		return <-done
	}
	return attemptResult{refusal: problem.Unknown(problem.KindOutcomeUnknown, "the caller's connection closed before the answer")}
}

// runOnce spends a rate token, runs the request and stores the result in the
// ticket's record.
func (t *tickets) runOnce(ctx context.Context, c *call, key ticket.Key) attemptResult {
	guard := &ticketGuard{tickets: t, key: key}
	c.guard = guard
	var response *wire.Response
	refusal := t.rates.take(ctx, c.id, c.context.Workspace)
	if refusal == nil {
		response, refusal = t.dispatcher.run(ctx, c)
	}
	err := t.end(key, func() error {
		switch {
		case response != nil:
			return t.table.Complete(key, guard.attempt, response)
		case refusal.Executed == problem.ExecutedNo:
			var err error
			refusal.Executed, err = t.table.Refuse(key)
			return err
		default:
			return t.table.MarkUnknown(key, guard.attempt, ticket.ReasonNoAnswer)
		}
	})
	if err != nil {
		return attemptResult{refusal: problem.Unknown(problem.KindOutcomeUnknown, err.Error())}
	}
	return attemptResult{response: response, refusal: refusal, credits: uint8(c.account.Left())}
}

// end stores the result of a request and wakes the requests that wait for it.
func (t *tickets) end(key ticket.Key, store func() error) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	err := store()
	if err != nil {
		logging.InfoEvent("tickets", "ticket-end-refused", "home", key.Issuer.Member, "number", key.Number, "error", err.Error())
	}
	if end, ok := t.ends[key]; ok {
		close(end)
		delete(t.ends, key)
	}
	return err
}

// ticketGuard implements attemptGuard by means of a ticket's record.
type ticketGuard struct {
	tickets *tickets
	key     ticket.Key
	attempt wire.AttemptID // the last one dispatched
}

func (g *ticketGuard) recordDispatch(id wire.AttemptID, upstream string) error {
	g.tickets.mu.Lock()
	defer g.tickets.mu.Unlock()
	g.attempt = id
	return g.tickets.table.RecordAttempt(g.key, id, upstream)
}

func (g *ticketGuard) recordNotExecuted(id wire.AttemptID, proof ticket.Proof) error {
	g.tickets.mu.Lock()
	defer g.tickets.mu.Unlock()
	return g.tickets.table.AttemptNotRun(g.key, id, proof)
}

// entries returns the number of used tickets whose records this daemon stores.
func (t *tickets) entries() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.EntryCount()
}

// locateOwner returns the member that now stores the tickets of an owner: the owner
// itself or the successor that took them over. A daemon that has just started may have
// to wait until it knows either of them. The result is false if the owner was an earlier
// incarnation of this member and no successor became known.
func (t *tickets) locateOwner(ctx context.Context, owner ticket.DaemonID) (string, bool) {
	ctx, cancel := context.WithTimeout(ctx, ownerLookupTimeout)
	defer cancel()
	for {
		if successor := t.members.successorOf(owner.Member, owner.Incarnation); successor != "" && successor != t.self.Member {
			return successor, true
		}
		known := t.members.service.Lookup(owner.Member)
		if owner.Member != t.self.Member && known != nil && known.Incarnation >= owner.Incarnation {
			return owner.Member, true
		}
		if !pause(ctx, ownerPollInterval) {
			return owner.Member, owner.Member != t.self.Member
		}
	}
}

// forward sends a request to the owner of its ticket, or to the member that took over
// the owner's tickets, and waits for the result.
func (t *tickets) forward(ctx context.Context, c *call, parsed ticket.Ticket, owner ticket.DaemonID) attemptResult {
	member, ok := t.locateOwner(ctx, owner)
	if !ok {
		return attemptResult{refusal: problem.Unknown(problem.KindOutcomeUnknown, "the ticket was issued before this daemon restarted")}
	}
	for {
		message := &wire.Forward{
			ID:      newAttemptID(),
			Route:   c.route.Name,
			Ticket:  parsed.String(),
			Context: c.context,
			Request: c.request,
		}
		message.Context.RemainingMS = remainingMS(c.deadline)
		logging.InfoEvent("tickets", "forward", "request", c.id, "home", owner.Member, "to", member)
		result := t.dispatcher.forward(ctx, member, message, c.deadline)
		if result.answer != nil || result.proof == 0 {
			return result
		}
		// The message was not sent. That proves nothing about earlier requests with
		// this ticket, so only the owner can say that the request has not run.
		if !pause(ctx, reconnectDelay) {
			return attemptResult{refusal: problem.Unknown(problem.KindOutcomeUnknown, "the ticket's home "+member+" was not reached in time")}
		}
	}
}

// answerForward carries out a request that another daemon forwarded.
func (t *tickets) answerForward(message *wire.Forward, current *tablesInForce) *wire.Answer {
	deadline := time.Now().Add(message.Context.Remaining())
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	result := t.runForwarded(ctx, message, current, deadline)
	answer := &wire.Answer{ID: message.ID, Response: result.response, Credits: result.credits}
	if result.response == nil {
		answer.Refusal = refusalMessage(result.refusal)
	}
	return answer
}

func (t *tickets) runForwarded(ctx context.Context, message *wire.Forward, current *tablesInForce, deadline time.Time) attemptResult {
	parsed, err := ticket.Parse(message.Ticket)
	if err != nil {
		return attemptResult{refusal: problem.Unknown(problem.KindTicketInvalid, err.Error())}
	}
	route, ok := current.Tables.Route(message.Route)
	if !ok {
		return attemptResult{refusal: problem.Unknown(problem.KindRouteNotFound, "route "+message.Route+" is not in the tables of the ticket's home")}
	}
	workspace, ok := current.Tables.WorkspaceOfKey(tables.KeyDigest(message.Context.KeyDigest))
	if !route.Open && (!ok || workspace != message.Context.Workspace) {
		return attemptResult{refusal: problem.Unknown(problem.KindKeyUnknown, "the key is not in the tables of the ticket's home")}
	}
	q := &callerRequest{
		id:       formatAttemptID(message.ID),
		route:    route,
		deadline: deadline,
		context:  message.Context,
		request:  message.Request,
	}
	return t.run(ctx, q.call(), parsed, false)
}

// onOwnerGone handles the end of a daemon that handed its tickets over to this one:
// an incomplete import is discarded, and the outcome of the requests that the old
// owner was still running becomes unknown.
func (t *tickets) onOwnerGone(owner ticket.DaemonID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.table.DropImport(owner)
	if unknown := t.table.MarkHeldUnknown(owner); unknown > 0 {
		logging.WarningEvent("tickets", "hand-over-incomplete", "home", owner.Member, "unknown", unknown)
	}
}

// sweep discards expired records and returns the stopped incarnations whose tickets
// this daemon has taken over. It is to be called about once a second.
func (t *tickets) sweep(now time.Time) []ticket.DaemonID {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, swept := range t.table.Sweep(now) {
		if end, ok := t.ends[swept.Key]; ok {
			close(end)
			delete(t.ends, swept.Key)
		}
	}
	return t.table.Issuers()
}
