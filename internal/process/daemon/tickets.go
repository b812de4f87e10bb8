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

// movingPoll is how often a request asks again for a ticket that is being
// handed over.
const movingPoll = 20 * time.Millisecond

// successorWait is how long a request waits for the news of a successor. News
// reach a member that has just joined within about 1 s.
const successorWait = 2 * time.Second

// tickets is this daemon as a home of tickets. Its lock guards home and ends.
type tickets struct {
	self       ticket.Owner
	members    *members
	rates      *rates
	dispatcher *dispatcher

	mu   sync.Mutex
	home *ticket.Home
	// ends holds a channel per request in progress, closed at its end.
	ends map[ticket.Key]chan struct{}
}

func newTickets(self ticket.Owner, members *members, rates *rates, dispatcher *dispatcher) (*tickets, error) {
	home, err := ticket.NewHome(self, ticket.DefaultOptions(), crand.Reader)
	if err != nil {
		return nil, err
	}
	return &tickets{
		self:       self,
		members:    members,
		rates:      rates,
		dispatcher: dispatcher,
		home:       home,
		ends:       make(map[ticket.Key]chan struct{}),
	}, nil
}

// issue returns a new ticket for a workspace.
func (t *tickets) issue(workspace string) (string, *problem.Problem) {
	t.mu.Lock()
	defer t.mu.Unlock()
	issued, err := t.home.Issue(time.Now(), workspace)
	if err != nil {
		return "", problem.New(problem.KindOverloaded, err.Error()).WithRetryAfter(time.Second)
	}
	return issued.String(), nil
}

// addNext adds a ticket for the caller's next request to an answer, so that it
// needs no extra round trip. None is added if the home is full or leaving.
func (t *tickets) addNext(header http.Header, workspace string) {
	if next, refusal := t.issue(workspace); refusal == nil {
		header.Set(caller.HeaderNextTicket, next)
	}
}

// serve answers a caller's request on a non-idempotent route.
func (t *tickets) serve(ctx context.Context, r *http.Request, q *received) (*wire.Response, *problem.Problem) {
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
		return nil, unlessRepeated(r, q, refusal)
	}
	end := t.run(ctx, q.call(), parsed, true)
	return end.response, end.refusal
}

// run carries out a call with a ticket, here or at the ticket's home. mayForward
// is false for a request that was forwarded already.
func (t *tickets) run(ctx context.Context, c *call, parsed ticket.Ticket, mayForward bool) answered {
	use := ticket.Use{
		Ticket:      parsed,
		Workspace:   c.context.Workspace,
		Fingerprint: ticket.FingerprintOf(&c.request),
		Deadline:    c.deadline,
	}
	for {
		decision, end := t.begin(use)
		logging.Event("tickets", "ticket", "request", c.id, "home", parsed.Owner.Home, "reason", string(decision.Reason))
		switch decision.Outcome {
		case ticket.Dispatch:
			return t.dispatch(ctx, c, decision.Key)
		case ticket.Replay:
			return answered{response: decision.Response}
		case ticket.InProgress, ticket.Moving:
			if refusal := waitForEnd(ctx, end); refusal != nil {
				return answered{refusal: refusal}
			}
		case ticket.WrongHome:
			// A home that has handed its tickets over passes on what others still
			// send to it, since the news of its successor takes time to spread.
			if !mayForward && decision.Reason != ticket.ReasonHandedOver {
				return answered{refusal: problem.Unknown(problem.KindOutcomeUnknown, string(decision.Reason))}
			}
			return t.forward(ctx, c, parsed, decision.Home)
		default:
			return answered{refusal: decision.Problem()}
		}
	}
}

// begin asks the home about a request. The channel is closed when a request in
// progress ends.
func (t *tickets) begin(use ticket.Use) (ticket.Decision, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	decision := t.home.Begin(time.Now(), use)
	if decision.Outcome == ticket.Dispatch {
		t.ends[decision.Key] = make(chan struct{})
	}
	return decision, t.ends[use.Ticket.Key()]
}

// waitForEnd waits for the request that uses the ticket now, or a short time if
// there is no channel to wait for.
func waitForEnd(ctx context.Context, end <-chan struct{}) *problem.Problem {
	var poll <-chan time.Time
	if end == nil {
		poll = time.After(movingPoll)
	}
	select {
	case <-end:
	case <-poll:
	case <-ctx.Done():
		return problem.Unknown(problem.KindOutcomeUnknown, "the request with this ticket is still running")
	}
	return nil
}

// dispatch runs a request whose ticket is used for the first time. The run goes
// on if the caller's connection breaks, since the caller may ask again.
func (t *tickets) dispatch(ctx context.Context, c *call, key ticket.Key) answered {
	result := make(chan answered, 1)
	go func() {
		runCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), c.deadline)
		defer cancel()
		result <- t.runOnce(runCtx, c, key)
	}()
	select {
	case end := <-result:
		return end
	case <-ctx.Done():
	}
	// The run has the same deadline, so that its end is near.
	if ctx.Err() == context.DeadlineExceeded {
		return <-result
	}
	return answered{refusal: problem.Unknown(problem.KindOutcomeUnknown, "the caller's connection ended")}
}

// runOnce charges the rate, runs the request and stores its end at the home.
func (t *tickets) runOnce(ctx context.Context, c *call, key ticket.Key) answered {
	guard := &homeGuard{tickets: t, key: key}
	c.guard = guard
	var response *wire.Response
	refusal := t.rates.take(ctx, c.id, c.context.Workspace)
	if refusal == nil {
		response, refusal = t.dispatcher.run(ctx, c)
	}
	err := t.end(key, func() error {
		switch {
		case response != nil:
			return t.home.Complete(key, guard.attempt, response)
		case refusal.Executed == problem.ExecutedNo:
			var err error
			refusal.Executed, err = t.home.Refuse(key)
			return err
		default:
			return t.home.MarkUnknown(key, guard.attempt, ticket.ReasonNoAnswer)
		}
	})
	if err != nil {
		return answered{refusal: problem.Unknown(problem.KindOutcomeUnknown, err.Error())}
	}
	return answered{response: response, refusal: refusal, credits: uint8(c.account.Left())}
}

// end stores the end of a request and wakes those who wait for it.
func (t *tickets) end(key ticket.Key, store func() error) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	err := store()
	if err != nil {
		logging.Event("tickets", "ticket-end-refused", "home", key.Owner.Home, "number", key.Number, "error", err.Error())
	}
	if end, ok := t.ends[key]; ok {
		close(end)
		delete(t.ends, key)
	}
	return err
}

// homeGuard implements attemptGuard by the home's table.
type homeGuard struct {
	tickets *tickets
	key     ticket.Key
	attempt wire.AttemptID // the last one
}

func (g *homeGuard) dispatched(id wire.AttemptID, upstream string) error {
	g.tickets.mu.Lock()
	defer g.tickets.mu.Unlock()
	g.attempt = id
	return g.tickets.home.Dispatched(g.key, id, upstream)
}

func (g *homeGuard) notExecuted(id wire.AttemptID, proof ticket.Proof) error {
	g.tickets.mu.Lock()
	defer g.tickets.mu.Unlock()
	return g.tickets.home.NotExecuted(g.key, id, proof)
}

// entries returns the number of tickets that this home keeps the state of.
func (t *tickets) entries() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.home.Entries()
}

// holderOf returns the member that serves the tickets of a home. A daemon that
// has just started waits for news of the home, or of who took over its tickets.
func (t *tickets) holderOf(ctx context.Context, home ticket.Owner) (string, bool) {
	ctx, cancel := context.WithTimeout(ctx, successorWait)
	defer cancel()
	for {
		if successor := t.members.successorOf(home.Home, home.Incarnation); successor != "" && successor != t.self.Home {
			return successor, true
		}
		known := t.members.service.Lookup(home.Home)
		if home.Home != t.self.Home && known != nil && known.Incarnation >= home.Incarnation {
			return home.Home, true
		}
		if !pause(ctx, movingPoll) {
			return home.Home, home.Home != t.self.Home
		}
	}
}

// forward passes a request to the home of its ticket, or to the member that
// took over the home's table.
func (t *tickets) forward(ctx context.Context, c *call, parsed ticket.Ticket, home ticket.Owner) answered {
	member, ok := t.holderOf(ctx, home)
	if !ok {
		return answered{refusal: problem.Unknown(problem.KindOutcomeUnknown, "the ticket was issued before this daemon restarted")}
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
		logging.Event("tickets", "forward", "request", c.id, "home", home.Home, "to", member)
		end := t.dispatcher.forward(ctx, member, message, c.deadline)
		if end.answer != nil || end.proof == 0 {
			return end
		}
		// The message did not reach the home. That proves nothing about earlier
		// tries with this ticket, so that only the home may say "no".
		if !pause(ctx, reconnectDelay) {
			return answered{refusal: problem.Unknown(problem.KindOutcomeUnknown, "the ticket's home "+member+" was not reached in time")}
		}
	}
}

// answerForward carries out a request that another daemon passed on.
func (t *tickets) answerForward(message *wire.Forward, current *tablesInForce) *wire.Answer {
	deadline := time.Now().Add(message.Context.Remaining())
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	end := t.runForwarded(ctx, message, current, deadline)
	answer := &wire.Answer{ID: message.ID, Response: end.response, Credits: end.credits}
	if end.response == nil {
		answer.Refusal = refusalMessage(end.refusal)
	}
	return answer
}

func (t *tickets) runForwarded(ctx context.Context, message *wire.Forward, current *tablesInForce, deadline time.Time) answered {
	parsed, err := ticket.Parse(message.Ticket)
	if err != nil {
		return answered{refusal: problem.Unknown(problem.KindTicketInvalid, err.Error())}
	}
	route, ok := current.Tables.Route(message.Route)
	if !ok {
		return answered{refusal: problem.Unknown(problem.KindRouteNotFound, "route "+message.Route+" is not in the tables of the ticket's home")}
	}
	workspace, ok := current.Tables.Key(tables.KeyDigest(message.Context.KeyDigest))
	if !route.Open && (!ok || workspace != message.Context.Workspace) {
		return answered{refusal: problem.Unknown(problem.KindKeyUnknown, "the key is not in the tables of the ticket's home")}
	}
	q := &received{
		id:       attemptName(message.ID),
		route:    route,
		deadline: deadline,
		context:  message.Context,
		request:  message.Request,
	}
	return t.run(ctx, q.call(), parsed, false)
}

// holderGone ends the requests that a home which has ended did not finish
// before its hand-over was complete.
func (t *tickets) holderGone(home ticket.Owner) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.home.DropImport(home)
	if unknown := t.home.HolderGone(home); unknown > 0 {
		logging.WarningEvent("tickets", "hand-over-incomplete", "home", home.Home, "unknown", unknown)
	}
}

// sweep forgets what is over and returns the ended incarnations whose tickets
// are served here. Call it about once a second.
func (t *tickets) sweep(now time.Time) []ticket.Owner {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, swept := range t.home.Sweep(now) {
		if end, ok := t.ends[swept.Key]; ok {
			close(end)
			delete(t.ends, swept.Key)
		}
	}
	return t.home.Origins()
}
