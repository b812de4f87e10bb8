package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"tarragonshore.example/tarragonshore/internal/connection/backend"
	"tarragonshore.example/tarragonshore/internal/connection/caller"
	"tarragonshore.example/tarragonshore/internal/connection/wire"
	"tarragonshore.example/tarragonshore/internal/process/logging"
	"tarragonshore.example/tarragonshore/internal/request/execution"
	"tarragonshore.example/tarragonshore/internal/request/problem"
	"tarragonshore.example/tarragonshore/internal/request/retry"
	"tarragonshore.example/tarragonshore/internal/request/ticket"
	"tarragonshore.example/tarragonshore/internal/version/tables"
)

// childPollInterval is how often the retry of a child call checks whether the first
// call has ended.
const childPollInterval = 5 * time.Millisecond

// serverPort serves the port for the local backend server, which sends its
// announcements and its calls to other services (child calls) to it.
type serverPort struct {
	configuration *configuration
	server        *serverState
	executor      *executor
	dispatcher    *dispatcher
}

// handler returns the routes of the server port.
func (p *serverPort) handler() http.Handler {
	router := mux.NewRouter().SkipClean(true).UseEncodedPath()
	router.HandleFunc(backend.AnnouncePath, p.serveAnnouncement).Methods(http.MethodPost)
	router.PathPrefix("/").HandlerFunc(p.serveCall)
	return router
}

// serveAnnouncement stores an announcement of the local backend server.
func (p *serverPort) serveAnnouncement(w http.ResponseWriter, r *http.Request) {
	announcement, err := backend.DecodeAnnouncement(r.Body)
	if err == nil {
		err = p.server.applyAnnouncement(time.Now(), announcement)
	}
	if err != nil {
		problem.New(problem.KindRequestInvalid, err.Error()).Write(w)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// serveCall carries out a child call of the local backend server.
func (p *serverPort) serveCall(w http.ResponseWriter, r *http.Request) {
	token := r.Header.Get(backend.HeaderRequestToken)
	response, refusal := p.call(r, token)
	if refusal != nil {
		refusal.Write(w)
		return
	}
	caller.WriteResponse(w, r.Method, response)
}

// call checks a child call and runs it with the context of its parent: the request
// that the backend server is running under the token.
func (p *serverPort) call(r *http.Request, token string) (*wire.Response, *problem.Problem) {
	now := time.Now()
	current := p.configuration.current()
	route, ok := current.Tables.Match(r.Method, r.URL.Path)
	if !ok {
		return nil, problem.New(problem.KindRouteNotFound, r.Method+" "+r.URL.Path+" matches no route")
	}
	var inherited wire.Context
	var refusal *problem.Problem
	p.executor.withCalls(func(c *execution.CallTable) { inherited, refusal = c.Lookup(now, token) })
	if refusal == nil {
		refusal = p.configuration.checkKey(now, current, inherited)
	}
	if refusal == nil && !route.Open && !current.Tables.Allowed(route, inherited.Workspace) {
		refusal = problem.New(problem.KindRouteForbidden, "route "+route.Name+" does not admit workspace "+inherited.Workspace)
	}
	if refusal != nil {
		return nil, refusal
	}
	c, refusal := childCall(r, route, inherited, now)
	if refusal != nil {
		return nil, refusal
	}
	key, refusal := caller.IdempotencyKey(r.Header)
	if refusal != nil {
		return nil, refusal
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	return p.runChild(ctx, c, token, key)
}

// childCall builds a child call. It inherits the parent's context, deadline and
// importance.
func childCall(r *http.Request, route *tables.Route, inherited wire.Context, now time.Time) (*call, *problem.Problem) {
	timeout, refusal := caller.Timeout(r.Header, min(route.Timeout, inherited.Remaining()))
	if refusal != nil {
		return nil, refusal
	}
	request, refusal := caller.ReadRequest(r, route.MaxBodyBytes)
	if refusal != nil {
		return nil, refusal
	}
	inherited.Idempotent = route.Idempotent
	// A child call is never more important than its parent; 0 is the most important.
	inherited.Importance = uint8(caller.Importance(r.Header, max(route.Importance, tables.Importance(inherited.Importance))))
	return &call{
		id:       requestID(r),
		route:    route,
		context:  inherited,
		request:  request,
		deadline: now.Add(timeout),
	}, nil
}

// runChild runs a child call. If it is not idempotent, it runs at most once per run
// of the parent and idempotency key; later calls with the key get its answer.
func (p *serverPort) runChild(ctx context.Context, c *call, token, key string) (*wire.Response, *problem.Problem) {
	fingerprint := ticket.FingerprintOf(&c.request)
	for {
		decision := p.executor.beginChild(token, key, fingerprint, c.route.Idempotent)
		switch decision.Outcome {
		case execution.CallDispatch:
			return p.dispatchChild(ctx, c, token, key)
		case execution.CallReplay:
			return decision.Response, nil
		case execution.CallInProgress:
			if !pause(ctx, childPollInterval) {
				return nil, problem.Unknown(problem.KindOutcomeUnknown, "the call with this key is still running")
			}
		default:
			return nil, decision.Problem
		}
	}
}

// pause sleeps for d. It returns false if ctx ends first.
func pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		// With the race detector, a timer that fires at once crashes the runtime of
		// go1.26 in a synctest bubble.
		return ctx.Err() == nil
	}
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// dispatchChild dispatches a child call. If it is not idempotent, it goes on when the
// backend server's connection breaks, since the server may retry it with the same
// key and then needs its result.
func (p *serverPort) dispatchChild(ctx context.Context, c *call, token, key string) (*wire.Response, *problem.Problem) {
	if c.route.Idempotent {
		return p.finishChild(ctx, c, token, key)
	}
	type result struct {
		response *wire.Response
		refusal  *problem.Problem
	}
	done := make(chan result, 1)
	go func() {
		runCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), c.deadline)
		defer cancel()
		response, refusal := p.finishChild(runCtx, c, token, key)
		done <- result{response, refusal}
	}()
	select {
	case r := <-done:
		return r.response, r.refusal
	case <-ctx.Done():
		return nil, problem.Unknown(problem.KindOutcomeUnknown, "the call was cancelled or its deadline has passed")
	}
}

// finishChild runs a child call with a part of its parent's credits and stores the
// result for retries with the same key.
func (p *serverPort) finishChild(ctx context.Context, c *call, token, key string) (*wire.Response, *problem.Problem) {
	account := p.takeCredits(token, c.context.Credits)
	c.account = &account
	response, refusal := p.dispatcher.run(ctx, c)
	p.executor.recordChildCall(token, p.dispatcher.threshold(c), c.shed)
	p.executor.withCalls(func(calls *execution.CallTable) {
		calls.ReturnCredits(token, uint8(account.Left()))
		switch {
		case response != nil:
			calls.Complete(token, key, response)
		case refusal.Executed == problem.ExecutedNo:
			calls.MarkNotExecuted(token, key)
		default:
			calls.MarkUnknown(token, key, execution.ReasonUnsettled)
		}
	})
	logging.DebugEvent("server-port", "child-call", "request", c.id, "route", c.route.Name, "depth", c.context.Depth,
		"workspace", c.context.Workspace, "answered", response != nil)
	return response, refusal
}

// takeCredits moves a part of the retry credits of a run to the account of a child
// call.
func (p *serverPort) takeCredits(token string, left uint8) retry.Account {
	part, _ := retry.Credits(left).Split()
	var taken uint8
	p.executor.withCalls(func(c *execution.CallTable) { taken = c.TakeCredits(token, uint8(part)) })
	return retry.NewAccount(retry.Credits(taken))
}
