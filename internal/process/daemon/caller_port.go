package daemon

import (
	"context"
	"encoding/hex"
	"net/http"
	"strconv"
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

// callerPort serves the port at which callers' requests enter.
type callerPort struct {
	configuration *configuration
	rates         *rates
	tickets       *tickets
	dispatcher    *dispatcher
	metrics       *metrics.Metrics
	// leaving reports whether the daemon is stopping.
	leaving func() bool
	// inProgress holds an element for each request in progress. Its capacity is the limit.
	inProgress chan struct{}
}

// handler returns the routes of the caller port.
func (p *callerPort) handler() http.Handler {
	router := mux.NewRouter().SkipClean(true).UseEncodedPath()
	router.HandleFunc(caller.TicketPath, p.serveTicket).Methods(http.MethodPost)
	router.PathPrefix("/").HandlerFunc(p.serve)
	return router
}

// callerRequest is a caller's request. check sets route, workspace, key, deadline and
// context; request is set when the body has been read.
type callerRequest struct {
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
func (p *callerPort) serve(w http.ResponseWriter, r *http.Request) {
	if p.leaving() {
		w.Header().Set("Connection", "close")
	}
	q := &callerRequest{id: requestID(r), begun: time.Now(), tables: p.configuration.current()}
	var response *wire.Response
	var refusal *problem.Problem
	select {
	case p.inProgress <- struct{}{}:
		response, refusal = p.answer(w, r, q)
		<-p.inProgress
	default:
		refusal = problem.New(problem.KindOverloaded, "this daemon has "+strconv.Itoa(cap(p.inProgress))+" requests in progress, the limit max_inflight").WithRetryAfter(time.Second)
		refusal = markUnknownIfRetry(r, q, refusal)
	}
	outcome := "answered"
	if refusal != nil {
		outcome = string(refusal.Kind)
		refusal.Write(w)
	} else {
		caller.WriteResponse(w, r.Method, response)
	}
	p.recordRequest(q, outcome, refusal)
}

// recordRequest writes the log line and the metrics of a request.
func (p *callerPort) recordRequest(q *callerRequest, outcome string, refusal *problem.Problem) {
	took := time.Since(q.begun)
	route := ""
	if q.route != nil {
		route = q.route.Name
	}
	p.metrics.RecordRequest(route, q.workspace, outcome, took)
	detail := ""
	if refusal != nil {
		detail = refusal.Detail
	}
	logging.InfoEvent("entry", "request", "request", q.id, "route", route, "workspace", q.workspace,
		"version", q.tables.Version, "outcome", outcome, "detail", detail, "took_ms", took.Milliseconds())
}

// answer checks a request and carries it out. Exactly one of its results is set.
func (p *callerPort) answer(w http.ResponseWriter, r *http.Request, q *callerRequest) (*wire.Response, *problem.Problem) {
	if refusal := p.check(r, q); refusal != nil {
		return nil, markUnknownIfRetry(r, q, refusal)
	}
	// A client that sends its body slowly must not keep the request beyond its
	// deadline. The error is ignored because response writers in tests, which have
	// no connection, do not support read deadlines.
	_ = http.NewResponseController(w).SetReadDeadline(q.deadline)
	ctx, cancel := context.WithDeadline(r.Context(), q.deadline)
	defer cancel()
	if q.route.Idempotent {
		return p.runIdempotent(ctx, r, q)
	}
	response, refusal := p.tickets.serve(ctx, r, q)
	if q.workspace != "" {
		p.tickets.addNextTicket(w.Header(), q.workspace)
	}
	return response, refusal
}

// markUnknownIfRetry returns a refusal that was decided without asking the
// ticket's owner. If the request has a ticket, it may be the retry of a request that
// ran, so the refusal must not claim that nothing was executed.
func markUnknownIfRetry(r *http.Request, q *callerRequest, refusal *problem.Problem) *problem.Problem {
	if (q.route == nil || !q.route.Idempotent) && r.Header.Get(caller.HeaderIdempotencyKey) != "" {
		refusal.Executed = problem.ExecutedUnknown
	}
	return refusal
}

// check finds the route of a request and checks its key and header fields.
func (p *callerPort) check(r *http.Request, q *callerRequest) *problem.Problem {
	if refusal := caller.CheckHeader(r.Header); refusal != nil {
		return refusal
	}
	route, ok := q.tables.Tables.Match(r.Method, r.URL.Path)
	if !ok && !p.configuration.tablesKnown() {
		return p.configuration.noTablesProblem()
	}
	if !ok {
		return problem.New(problem.KindRouteNotFound, r.Method+" "+r.URL.Path+" matches no route of version "+versionText(q.tables.Version))
	}
	q.route = route
	if refusal := p.checkKey(r, q); refusal != nil {
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
		Credits:     uint8(route.AttemptCredits),
		RemainingMS: uint32(timeout.Milliseconds()),
		Idempotent:  route.Idempotent,
	}
	return nil
}

// checkKey finds the workspace of the request's key. Open routes need no key;
// requests on them belong to the workspace with the empty name.
func (p *callerPort) checkKey(r *http.Request, q *callerRequest) *problem.Problem {
	if q.route.Open {
		return nil
	}
	key, refusal := caller.BearerKey(r.Header)
	if refusal != nil {
		return refusal
	}
	q.key = tables.DigestKey(key)
	workspace, ok := q.tables.Tables.WorkspaceOfKey(q.key)
	if !ok {
		return problem.New(problem.KindKeyUnknown, "the key is not in the routes table of version "+versionText(q.tables.Version))
	}
	q.workspace = workspace
	if refusal := p.configuration.checkFreshness(time.Now()); refusal != nil {
		return refusal
	}
	if !q.tables.Tables.Allowed(q.route, workspace) {
		return problem.New(problem.KindRouteForbidden, "route "+q.route.Name+" does not admit workspace "+workspace)
	}
	return nil
}

// runIdempotent carries out a request on an idempotent route. The rate is checked
// before the body is read, so that callers that retry aggressively cost little.
func (p *callerPort) runIdempotent(ctx context.Context, r *http.Request, q *callerRequest) (*wire.Response, *problem.Problem) {
	if refusal := p.rates.take(ctx, q.id, q.workspace); refusal != nil {
		return nil, refusal
	}
	request, refusal := caller.ReadRequest(r, q.route.MaxBodyBytes)
	if refusal != nil {
		return nil, refusal
	}
	q.request = request
	return p.dispatcher.run(ctx, q.call())
}

// call returns the root call of the request's tree.
func (q *callerRequest) call() *call {
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

// requestID returns the trace id of the Traceparent header field, so that the log
// lines of one trace can be found together, or a random id.
func requestID(r *http.Request) string {
	const traceIDLength = 32
	parts := strings.Split(r.Header.Get("Traceparent"), "-")
	if len(parts) >= 4 && len(parts[1]) == traceIDLength {
		if _, err := hex.DecodeString(parts[1]); err == nil {
			return parts[1]
		}
	}
	return formatAttemptID(newAttemptID())
}

// formatAttemptID returns an attempt's id as text, for log lines.
func formatAttemptID(id wire.AttemptID) string { return hex.EncodeToString(id[:]) }
