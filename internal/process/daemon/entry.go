package daemon

import (
	"context"
	"encoding/hex"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"

	"tarragonshore.example/tarragonshore/internal/connection/caller"
	"tarragonshore.example/tarragonshore/internal/connection/wire"
	"tarragonshore.example/tarragonshore/internal/process/logging"
	"tarragonshore.example/tarragonshore/internal/process/metrics"
	"tarragonshore.example/tarragonshore/internal/request/problem"
	"tarragonshore.example/tarragonshore/internal/request/retry"
	"tarragonshore.example/tarragonshore/internal/version/tables"
)

// entry serves the caller port.
type entry struct {
	configuration *configuration
	rates         *rates
	tickets       *tickets
	dispatcher    *dispatcher
	metrics       *metrics.Metrics
	// leaving reports whether a planned stop has begun.
	leaving func() bool
	// slots bounds the requests that are here at a time.
	slots chan struct{}
}

// handler returns the routes of the caller port.
func (e *entry) handler() http.Handler {
	router := mux.NewRouter().SkipClean(true).UseEncodedPath()
	router.HandleFunc(caller.TicketPath, e.serveTicket).Methods(http.MethodPost)
	router.PathPrefix("/").HandlerFunc(e.serve)
	return router
}

// received is a caller's request after its route, key and limits were checked.
type received struct {
	id        string
	tables    *tablesInForce
	route     *tables.Route
	workspace string
	key       tables.KeyDigest
	begun     time.Time
	deadline  time.Time
	context   wire.Context
	request   wire.Request
}

// serve answers one request of a caller.
func (e *entry) serve(w http.ResponseWriter, r *http.Request) {
	if e.leaving() {
		w.Header().Set("Connection", "close")
	}
	q := &received{id: requestID(r), begun: time.Now(), tables: e.configuration.current()}
	var response *wire.Response
	var refusal *problem.Problem
	select {
	case e.slots <- struct{}{}:
		response, refusal = e.answer(w, r, q)
		<-e.slots
	default:
		refusal = problem.New(problem.KindOverloaded, "this daemon has max_inflight requests").WithRetryAfter(time.Second)
		refusal = unlessRepeated(r, q, refusal)
	}
	outcome := "answered"
	if refusal != nil {
		outcome = string(refusal.Kind)
		refusal.Write(w)
	} else {
		caller.WriteResponse(w, r.Method, response)
	}
	e.finished(q, outcome, refusal)
}

// finished writes the log line and the metrics of a request.
func (e *entry) finished(q *received, outcome string, refusal *problem.Problem) {
	took := time.Since(q.begun)
	route := ""
	if q.route != nil {
		route = q.route.Name
	}
	e.metrics.Request(route, q.workspace, outcome, took)
	detail := ""
	if refusal != nil {
		detail = refusal.Detail
	}
	logging.Event("entry", "request", "request", q.id, "route", route, "workspace", q.workspace,
		"version", q.tables.Version, "outcome", outcome, "detail", detail, "took_ms", took.Milliseconds())
}

// answer checks a request and carries it out.
func (e *entry) answer(w http.ResponseWriter, r *http.Request, q *received) (*wire.Response, *problem.Problem) {
	if refusal := e.check(r, q); refusal != nil {
		return nil, unlessRepeated(r, q, refusal)
	}
	// A body that does not arrive in time must not hold the request. Test
	// writers without a connection do not support deadlines.
	_ = http.NewResponseController(w).SetReadDeadline(q.deadline)
	ctx, cancel := context.WithDeadline(r.Context(), q.deadline)
	defer cancel()
	if q.route.Idempotent {
		return e.runIdempotent(ctx, r, q)
	}
	response, refusal := e.tickets.serve(ctx, r, q)
	if q.workspace != "" {
		e.tickets.addNext(w.Header(), q.workspace)
	}
	return response, refusal
}

// unlessRepeated returns a refusal that was decided before the ticket's home was
// asked. A request with a ticket may be the repeat of one that ran, so that
// "not executed" would not be proven.
func unlessRepeated(r *http.Request, q *received, refusal *problem.Problem) *problem.Problem {
	if (q.route == nil || !q.route.Idempotent) && r.Header.Get(caller.HeaderIdempotencyKey) != "" {
		refusal.Executed = problem.ExecutedUnknown
	}
	return refusal
}

// check finds the route of a request and checks its key and header fields.
func (e *entry) check(r *http.Request, q *received) *problem.Problem {
	if refusal := caller.CheckHeader(r.Header); refusal != nil {
		return refusal
	}
	route, ok := q.tables.Tables.Match(r.Method, r.URL.Path)
	if !ok && !e.configuration.known() {
		return e.configuration.noTables()
	}
	if !ok {
		return problem.New(problem.KindRouteNotFound, r.Method+" "+r.URL.Path+" matches no route of version "+versionText(q.tables.Version))
	}
	q.route = route
	if refusal := e.checkKey(r, q); refusal != nil {
		return refusal
	}
	timeout, refusal := caller.Timeout(r.Header, route.Timeout)
	if refusal != nil {
		return refusal
	}
	q.deadline = q.begun.Add(timeout)
	q.context = wire.Context{
		Workspace:   q.workspace,
		KeyDigest:   q.key,
		Open:        route.Open,
		Importance:  uint8(caller.Importance(r.Header, route.Importance)),
		RootHash:    uint8(xxhash.Sum64String(q.id)),
		Credits:     uint8(route.Credits),
		RemainingMS: uint32(timeout.Milliseconds()),
		Idempotent:  route.Idempotent,
	}
	return nil
}

// checkKey finds the workspace of the request's key. Open routes need no key;
// requests on them belong to the workspace without a name.
func (e *entry) checkKey(r *http.Request, q *received) *problem.Problem {
	if q.route.Open {
		return nil
	}
	key, refusal := caller.BearerKey(r.Header)
	if refusal != nil {
		return refusal
	}
	q.key = tables.DigestKey(key)
	workspace, ok := q.tables.Tables.Key(q.key)
	if !ok {
		return problem.New(problem.KindKeyUnknown, "the key is not in the routes table of version "+versionText(q.tables.Version))
	}
	q.workspace = workspace
	if refusal := e.configuration.trustKeys(time.Now()); refusal != nil {
		return refusal
	}
	if !q.tables.Tables.Allowed(q.route, workspace) {
		return problem.New(problem.KindRouteForbidden, "route "+q.route.Name+" does not admit workspace "+workspace)
	}
	return nil
}

// runIdempotent carries out a request that may be sent more than once. Its rate
// is checked before its body is read, so that callers that retry hard cost little.
func (e *entry) runIdempotent(ctx context.Context, r *http.Request, q *received) (*wire.Response, *problem.Problem) {
	if refusal := e.rates.take(ctx, q.id, q.workspace); refusal != nil {
		return nil, refusal
	}
	request, refusal := caller.ReadRequest(r, q.route.MaxBodyBytes)
	if refusal != nil {
		return nil, refusal
	}
	q.request = request
	return e.dispatcher.run(ctx, q.call())
}

// call returns the call that starts the request's tree.
func (q *received) call() *call {
	account := retry.NewAccount(retry.Credits(q.context.Credits))
	return &call{
		id:       q.id,
		route:    q.route,
		context:  q.context,
		request:  q.request,
		deadline: q.deadline,
		account:  &account,
	}
}

// requestID returns the trace id of the traceparent field, so that repeats and
// log lines of one trace belong together, or a random id.
func requestID(r *http.Request) string {
	const traceIDLength = 32
	parts := strings.Split(r.Header.Get("Traceparent"), "-")
	if len(parts) >= 4 && len(parts[1]) == traceIDLength {
		if _, err := hex.DecodeString(parts[1]); err == nil {
			return parts[1]
		}
	}
	return attemptName(newAttemptID())
}

// attemptName returns an attempt's id for logs.
func attemptName(id wire.AttemptID) string { return hex.EncodeToString(id[:]) }
