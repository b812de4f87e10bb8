package agent

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"tarragonshore.example/tarragonshore/internal/connection/caller"
	"tarragonshore.example/tarragonshore/internal/connection/pipeline"
	"tarragonshore.example/tarragonshore/internal/connection/wire"
	"tarragonshore.example/tarragonshore/internal/process/metrics"
	"tarragonshore.example/tarragonshore/internal/request/problem"
	"tarragonshore.example/tarragonshore/internal/request/shedding"
	"tarragonshore.example/tarragonshore/internal/version/catalog"
	"tarragonshore.example/tarragonshore/internal/version/tables"
)

const (
	// defaultTimeout applies to requests whose caller states no deadline; a route's
	// timeout may shorten it.
	defaultTimeout = 10 * time.Second
	// maxBodyBytes is the largest body of a request or response, in bytes: it has to fit
	// into one frame between daemons.
	maxBodyBytes = 7 << 20
	// The Retry-After of shed requests is spread over this range, so that they are
	// not all retried at the same time.
	minShedRetryAfter = 400 * time.Millisecond
	maxShedRetryAfter = 1400 * time.Millisecond
	// staleRetryAfter is the Retry-After while this daemon's view of the tables or of
	// the fleet is missing or stale, and while the daemon stops.
	staleRetryAfter = 500 * time.Millisecond
)

// inboundRequest is a request from a caller or a call made by the local backend
// server, with what is known of it so far.
type inboundRequest struct {
	fields    CallerFields
	arrived   time.Time
	deadline  time.Time
	route     *catalog.Route
	workspace string
	// callerWorkspace is the workspace of the caller's request that made a call, "" if it
	// is not known.
	callerWorkspace string
	depth           uint8 // number of known calls above it in the call tree
	importance      uint8
	objective       time.Time       // of the latency of the call tree; zero: none
	tablesVersion   catalog.Version // of the tables it was checked against
	tablesAge       time.Duration   // since the store confirmed the tables
	// ofRun is true if the id names the run in progress that made the request.
	ofRun bool
	// ranAhead is true if the request was handled before its turn on its connection.
	ranAhead bool
}

func (req *inboundRequest) routeName() string {
	if req.route == nil {
		return ""
	}
	return req.route.Name
}

// entryHandler serves the port for callers, where requests of callers and calls made
// by the local backend server enter the system.
type entryHandler struct {
	protocol   Protocol
	tables     *tablesFollower
	fleet      *fleet
	executor   *executor
	dispatcher *dispatcher
	server     *serverState
	service    string // of this host, from the settings
	metrics    *metrics.Metrics
	log        *requestLog
	inFlight   atomic.Int64
	// accepted is the number of requests in flight that were not refused on arrival.
	accepted atomic.Int64

	mu     sync.Mutex
	splits map[string]*weightedSplit // by route name
	sizes  pipeline.Sizes
}

// weightedSplit distributes the requests of a route over its services in proportion
// to their weights (smooth weighted round robin).
type weightedSplit struct {
	version catalog.Version
	credit  []float64
}

// ServeHTTP implements http.Handler.
func (e *entryHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	req := &inboundRequest{arrived: time.Now(), tablesAge: e.tables.age(), ranAhead: caller.RunsAhead(w)}
	response, refusal := e.handle(r, req)
	if e.dispatcher.stop.begun() {
		caller.CloseAfter(w, r)
	}
	if r.Context().Err() != nil {
		refusal, response = problem.Unknown(problem.KindDeadline, "the caller has disconnected"), nil
	}
	caller.BeginResponse(w, r)
	status := 0
	outcome := "answered"
	if refusal != nil {
		outcome = string(refusal.Kind)
		e.metrics.RecordRefusal(outcome, string(refusal.Executed))
		e.protocol.WriteRefusal(w, req.fields.RequestID, refusal)
	} else {
		status = response.Status
		e.recordSize(req.routeName(), len(response.Body))
		caller.WriteResponse(w, r.Method, response)
	}
	elapsed := time.Since(req.arrived)
	e.metrics.RecordRequest(req.routeName(), req.workspace, outcome, elapsed)
	e.log.logRequest(req, status, refusal, elapsed)
}

// handle checks a request, admits it and dispatches it.
func (e *entryHandler) handle(r *http.Request, req *inboundRequest) (*wire.Response, *problem.Problem) {
	fields, refusal := e.protocol.ReadCaller(r)
	req.fields = fields
	if refusal != nil {
		return nil, refusal
	}
	c := e.tables.catalog()
	if c == nil {
		return nil, problem.New(problem.KindTablesStale, "no tables have been read from the store yet").WithRetryAfter(staleRetryAfter)
	}
	req.tablesVersion = c.Version()
	if refusal := e.authorise(r, req, c); refusal != nil {
		return nil, refusal
	}
	req.deadline = req.arrived.Add(req.timeout())
	if target := req.route.LatencyTarget; target > 0 {
		req.objective = req.arrived.Add(target)
	}
	// Counted before the check whether the daemon stops: a stop that finds no accepted
	// request can rely on that.
	e.accepted.Add(1)
	defer e.accepted.Add(-1)
	if refusal := e.admit(req, c); refusal != nil {
		return nil, refusal
	}
	response, refusal := e.forward(r, req, c)
	if req.workspace != "" && refusal != nil && refusal.Executed == problem.ExecutedNo {
		e.fleet.returnToken(req.workspace)
	}
	return response, refusal
}

// forward reads the body of an admitted request and dispatches the request.
func (e *entryHandler) forward(r *http.Request, req *inboundRequest, c *catalog.Catalog) (*wire.Response, *problem.Problem) {
	request, refusal := caller.ReadRequest(r, bodyLimit(c))
	if refusal != nil {
		return nil, refusal
	}
	if refusal := e.checkStop(req); refusal != nil { // the body may have taken long
		return nil, refusal
	}
	ctx, cancel := context.WithDeadline(r.Context(), req.deadline.Add(answerGrace))
	defer cancel()
	response, refusal, refusedBy := e.dispatcher.dispatch(ctx, &call{
		requestID: req.fields.RequestID, route: req.route.Name, service: e.chooseService(req.route, c.Version()), origin: e.originService(),
		workspace: req.workspace, callerWorkspace: req.callerWorkspace, importance: req.importance, depth: req.depth, objective: req.objective,
		idempotent: req.route.Idempotent, attempts: req.route.MaxAttempts, latencyTarget: req.route.LatencyTarget,
		deadline: req.deadline, request: request,
	})
	if req.workspace == "" {
		e.executor.recordRefused(req.fields.RequestID, refusedBy)
	} else {
		e.fleet.treeEnded(time.Now(), req.route.Name, refusedBy)
	}
	return response, refusal
}

func bodyLimit(c *catalog.Catalog) int64 {
	if limit := c.Limits().BodyBytes; limit > 0 && limit < maxBodyBytes {
		return limit
	}
	return maxBodyBytes
}

// timeout returns the time limit of the request: the caller's, capped by the route's.
func (req *inboundRequest) timeout() time.Duration {
	timeout := req.fields.Deadline
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if req.route.Timeout > 0 {
		timeout = min(timeout, req.route.Timeout)
	}
	return timeout
}

// statedDeadline returns the deadline that the caller stated, or the request's if it
// stated none.
func (req *inboundRequest) statedDeadline() time.Time {
	if req.fields.Deadline <= 0 {
		return req.deadline
	}
	return req.arrived.Add(req.fields.Deadline)
}

// originService returns the service on this host: the one that the backend server
// announced, or the one in the settings.
func (e *entryHandler) originService() string {
	if view := e.server.view(time.Now()); view.Service != "" {
		return view.Service
	}
	return e.service
}

// authorise finds the route of a request and the workspace that its key belongs to.
func (e *entryHandler) authorise(r *http.Request, req *inboundRequest, c *catalog.Catalog) *problem.Problem {
	route, ok := c.Match(r.Host, r.URL.Path)
	if !ok {
		return e.finalIfCurrent(req, problem.New(problem.KindRouteNotFound, "no route for "+r.Host+r.URL.Path))
	}
	req.route = route
	req.importance = callImportance(route)
	if route.Open || !c.RequiresKeys() {
		return nil
	}
	if req.tablesAge > e.tables.maxKeyAge {
		return problem.New(problem.KindTablesStale, "the store has not confirmed the tables for "+req.tablesAge.String()).WithRetryAfter(staleRetryAfter)
	}
	workspace, ok := c.WorkspaceOfKey(req.fields.Key)
	if !ok {
		return e.finalIfCurrent(req, problem.New(problem.KindKeyUnknown, "the key is not in the tables"))
	}
	req.workspace = workspace.Name
	req.importance = requestImportance(workspace, route)
	return nil
}

// requestImportance returns the importance of a request with a key. Requests are
// ordered by the importance of their workspace and then by that of their route. For a
// workspace without an importance, that of the route takes its place.
func requestImportance(workspace *catalog.Workspace, route *catalog.Route) uint8 {
	first := route.Importance
	if workspace.HasImportance {
		first = workspace.Importance
	}
	return uint8(first)*uint8(tables.LeastImportance+1) + uint8(route.Importance)
}

// callImportance returns the importance of a call made by a backend server if the run
// that made it is not known. The importance of the route takes the place of that of the
// workspace, and within it the call is shed before requests of callers: at a service
// deep in the call graph, these are the smaller part of the work and have less time.
func callImportance(route *catalog.Route) uint8 {
	return uint8(route.Importance)*uint8(tables.LeastImportance+1) + uint8(tables.LeastImportance)
}

// finalIfCurrent returns the refusal unchanged if the tables are current. Otherwise it
// returns one that may be retried, since a newer version may accept the request.
func (e *entryHandler) finalIfCurrent(req *inboundRequest, refusal *problem.Problem) *problem.Problem {
	if req.tablesAge <= finalRefusalAge {
		return refusal
	}
	return problem.New(problem.KindTablesStale, refusal.Detail+", but the tables may be out of date").WithRetryAfter(staleRetryAfter)
}

// admit checks the rate of the workspace and whether the fleet has capacity for the
// request. A request without a workspace is taken for a call made by a backend server
// and always admitted, since such a call belongs to a request that was admitted. While the
// daemon stops, it is admitted only if that can be true: callers, too, send requests
// without a key, on open routes and where the tables have no workspaces.
func (e *entryHandler) admit(req *inboundRequest, c *catalog.Catalog) *problem.Problem {
	if req.workspace == "" {
		var deadline time.Time
		if req.fields.Deadline > 0 {
			deadline = req.statedDeadline()
		}
		if parent, known := e.executor.countCall(req.fields.RequestID, req.route.Name, deadline); known {
			req.inherit(parent)
		}
		return e.checkStop(req)
	}
	if refusal := e.checkStop(req); refusal != nil {
		return refusal
	}
	now := time.Now()
	if !e.fleet.membersKnown(now) {
		return problem.New(problem.KindTablesStale, "the directory of daemons has not been read yet").WithRetryAfter(staleRetryAfter)
	}
	if ok, wait := e.fleet.takeToken(now, req.workspace, limitOf(c, req.workspace), uint8(req.route.Importance)); !ok {
		return problem.New(problem.KindRateExceeded, "workspace "+req.workspace+" is over its rate").WithRetryAfter(wait)
	}
	if ok, detail := e.fleet.admit(now, req.route.Name, req.importance); !ok {
		e.fleet.returnToken(req.workspace)
		return problem.New(problem.KindOverloaded, detail).WithRetryAfter(e.shedRetryAfter(req))
	}
	return nil
}

// inherit applies what a call inherits from the run that made it: the importance, the
// workspace, and the objective of the run if it is the earlier one.
func (req *inboundRequest) inherit(parent inherited) {
	req.ofRun, req.importance, req.depth, req.callerWorkspace = true, parent.importance, parent.depth, parent.workspace
	if req.objective.IsZero() || !parent.objective.IsZero() && parent.objective.Before(req.objective) {
		req.objective = parent.objective
	}
}

// checkStop returns a refusal if the daemon is stopping and the request could be cut off.
func (e *entryHandler) checkStop(req *inboundRequest) *problem.Problem {
	if !e.dispatcher.stop.begun() {
		return nil
	}
	fromCaller := req.workspace != "" || !req.ofRun && !e.executor.mayHaveMadeCall(req.statedDeadline())
	if e.dispatcher.stop.accepts(time.Now(), fromCaller, req.deadline) {
		return nil
	}
	return problem.New(problem.KindDraining, "the daemon is stopping").WithRetryAfter(staleRetryAfter)
}

// shedRetryAfter returns the Retry-After of a shed request, spread by a hash of its id.
func (e *entryHandler) shedRetryAfter(req *inboundRequest) time.Duration {
	spread := shedding.HashFraction(req.fields.RequestID)
	return minShedRetryAfter + time.Duration(spread*float64(maxShedRetryAfter-minShedRetryAfter))
}

// chooseService returns the service for the next request of a route, so that each
// service gets its share of the requests.
func (e *entryHandler) chooseService(route *catalog.Route, version catalog.Version) string {
	if len(route.Shares) == 1 {
		return route.Shares[0].Service
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.splits[route.Name]
	if s == nil || s.version != version || len(s.credit) != len(route.Shares) {
		s = &weightedSplit{version: version, credit: make([]float64, len(route.Shares))}
		e.splits[route.Name] = s
	}
	total, best := 0.0, 0
	for i, share := range route.Shares {
		s.credit[i] += float64(share.Weight)
		total += float64(share.Weight)
		if s.credit[i] > s.credit[best] {
			best = i
		}
	}
	s.credit[best] -= total
	return route.Shares[best].Service
}
