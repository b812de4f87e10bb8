package shedding

import "math"

const (
	// maxDepth bounds the depth to which a call tree is expanded.
	maxDepth = 10
	// minVisits is the number of visits per request below which a route of a call tree is
	// not expanded.
	minVisits = 0.01
	// maxSteps bounds the calls that are followed in one computation of the plan, over all
	// trees. A tree that takes more than its part of it lacks its deepest levels.
	maxSteps = 2_000_000
)

// callGraph is what the reports tell of the calls between routes. Routes and services are
// numbered, so that a tree is expanded without looking up names.
type callGraph struct {
	routeNumbers map[string]int
	routes       []routeNode
	services     []string
	states       []*serviceState // by service
	// success holds, by route, the probability that all runs of a tree succeed.
	success []float64
}

// routeNode is a route with the runs of it that were reported.
type routeNode struct {
	shares []runNode
	// calls holds the calls of one request of the route, over all shares.
	calls []callEdge
}

// runNode is the part of a route's requests that one service runs.
type runNode struct {
	service     int
	fraction    float64 // of the route's requests
	serviceTime float64
	calls       []callEdge // of one run
}

// callEdge is the mean number of calls to a route.
type callEdge struct {
	route int
	n     float64
}

// newCallGraph returns the graph of the reported runs. It asks for the traffic split of each
// route once.
func newCallGraph(services map[string]*serviceState, trafficSplit TrafficSplit) *callGraph {
	g := &callGraph{routeNumbers: map[string]int{}}
	serviceNumbers := make(map[string]int, len(services))
	for name, state := range services {
		serviceNumbers[name] = len(g.services)
		g.services, g.states = append(g.services, name), append(g.states, state)
		for route, run := range state.runs {
			g.number(route)
			for called := range run.calls {
				g.number(called)
			}
		}
	}
	for route, n := range g.routeNumbers {
		node := &g.routes[n]
		merged := map[int]float64{}
		for _, share := range trafficSplit(route) {
			service, known := serviceNumbers[share.Service]
			if !known {
				continue
			}
			run := g.states[service].runs[route]
			if run == nil {
				continue
			}
			part := runNode{service: service, fraction: share.Fraction, serviceTime: run.serviceTime}
			for called, perRun := range run.calls {
				part.calls = append(part.calls, callEdge{g.routeNumbers[called], perRun})
				merged[g.routeNumbers[called]] += share.Fraction * perRun
			}
			node.shares = append(node.shares, part)
		}
		for called, perRequest := range merged {
			node.calls = append(node.calls, callEdge{called, perRequest})
		}
	}
	g.computeSuccess()
	return g
}

// number returns the number of a route, a new one if it has none.
func (g *callGraph) number(route string) int {
	n, known := g.routeNumbers[route]
	if !known {
		n = len(g.routes)
		g.routeNumbers[route] = n
		g.routes = append(g.routes, routeNode{})
	}
	return n
}

// computeSuccess computes the success probabilities of the trees level by level, from trees
// without calls to those of the greatest depth. The trees of one level share those below.
func (g *callGraph) computeSuccess() {
	runSucceeds := make([]float64, len(g.states))
	allSucceed := true
	for i, state := range g.states {
		runSucceeds[i] = 1 - failureRateAfterRetries(state.failureRate())
		allSucceed = allSucceed && runSucceeds[i] == 1
	}
	below := make([]float64, len(g.routes))
	for i := range below {
		below[i] = 1
	}
	g.success = below
	if allSucceed {
		return
	}
	for range maxDepth + 1 {
		level := make([]float64, len(g.routes))
		changed := false
		for n := range g.routes {
			level[n] = g.routes[n].success(runSucceeds, below)
			changed = changed || level[n] != below[n]
		}
		g.success, below = level, level
		if !changed {
			return
		}
	}
}

// success returns the probability that the tree of a route succeeds, from those of single
// runs, by service, and of the trees that they call, by route.
func (r *routeNode) success(runSucceeds, called []float64) float64 {
	// knownShare is the fraction of the route's requests that go to services with
	// reported runs of it.
	success, knownShare := 0.0, 0.0
	for i := range r.shares {
		share := &r.shares[i]
		branch := runSucceeds[share.service]
		for _, call := range share.calls {
			if p := called[call.route]; p < 1 {
				branch *= math.Pow(p, call.n)
			}
		}
		success += share.fraction * branch
		knownShare += share.fraction
	}
	if knownShare == 0 {
		return 1
	}
	return success / knownShare
}

// treeEstimate describes the call tree of one request of a route.
type treeEstimate struct {
	// costs holds the slot-seconds that the tree takes at each service, runs the number of
	// its runs there.
	costs, runs map[string]float64
	// depth is the number of services on the longest path.
	depth int
	// successProbability is the probability that all runs of the tree succeed.
	successProbability float64
	// worstService is the service of the tree with the highest failure rate.
	worstService     string
	worstFailureRate float64
	// cut is true if the deepest levels are left out, since the graph has too many calls.
	cut bool
}

// expander expands call trees. Its slices are reused for all trees of a graph.
type expander struct {
	graph       *callGraph
	callsOthers map[string]bool // services of the trees so far that call others
	// visits and next hold the visits of a level per request, by route; the routes with
	// visits are listed.
	visits, next             []float64
	visited, nextVisited     []int
	costs, runs              []float64 // by service
	servicesSeen             []int
	stepsPerTree, stepsTaken int
}

func newExpander(g *callGraph, trees int) *expander {
	return &expander{
		graph: g, callsOthers: map[string]bool{}, stepsPerTree: maxSteps / max(1, trees),
		visits: make([]float64, len(g.routes)), next: make([]float64, len(g.routes)),
		costs: make([]float64, len(g.services)), runs: make([]float64, len(g.services)),
	}
}

// expand returns the estimate for the call tree of a route. All visits of a route on one
// level are followed together, so that the cost grows with the number of calls in the graph
// and not with the number of paths through it.
func (e *expander) expand(route string) treeEstimate {
	t := treeEstimate{costs: map[string]float64{}, runs: map[string]float64{}, successProbability: 1}
	root, known := e.graph.routeNumbers[route]
	if !known {
		return t
	}
	t.successProbability = e.graph.success[root]
	e.stepsTaken = 0
	e.visits[root], e.visited = 1, append(e.visited[:0], root)
	for depth := 0; depth <= maxDepth && len(e.visited) > 0; depth++ {
		for _, n := range e.visited {
			if visits := e.visits[n]; visits >= minVisits && !t.cut {
				e.visit(&t, n, visits, depth)
			}
			e.visits[n] = 0
		}
		e.visits, e.next = e.next, e.visits
		e.visited, e.nextVisited = e.nextVisited, e.visited[:0]
	}
	for _, n := range e.visited { // below the greatest depth
		e.visits[n] = 0
	}
	e.visited = e.visited[:0]
	for _, service := range e.servicesSeen {
		name := e.graph.services[service]
		t.costs[name], t.runs[name] = e.costs[service], e.runs[service]
		e.costs[service], e.runs[service] = 0, 0
	}
	e.servicesSeen = e.servicesSeen[:0]
	return t
}

// visit adds the runs of a route on one level to an estimate, and its calls to the next level.
func (e *expander) visit(t *treeEstimate, n int, visits float64, depth int) {
	node := &e.graph.routes[n]
	if e.stepsTaken += len(node.shares) + len(node.calls); e.stepsTaken > e.stepsPerTree {
		t.cut = true
		return
	}
	for i := range node.shares {
		share := &node.shares[i]
		service := e.graph.services[share.service]
		if e.runs[share.service] == 0 {
			e.servicesSeen = append(e.servicesSeen, share.service)
		}
		e.costs[share.service] += visits * share.fraction * share.serviceTime
		e.runs[share.service] += visits * share.fraction
		t.depth = depth + 1
		t.updateWorst(service, e.graph.states[share.service].failureRate())
		if len(share.calls) > 0 {
			e.callsOthers[service] = true
		}
	}
	for _, call := range node.calls {
		if e.next[call.route] == 0 && call.n > 0 {
			e.nextVisited = append(e.nextVisited, call.route)
		}
		e.next[call.route] += visits * call.n
	}
}

// updateWorst makes a service the worst one of the tree if its failure rate is higher
// than that of the worst one so far.
func (t *treeEstimate) updateWorst(service string, failureRate float64) {
	if failureRate > t.worstFailureRate {
		t.worstService, t.worstFailureRate = service, failureRate
	}
}

// failureRateAfterRetries returns the fraction of calls that still fail after the
// retries that the retry limit allows.
func failureRateAfterRetries(failureRate float64) float64 {
	if failureRate <= 0 {
		return 0
	}
	retried := min(1, retryableShare/failureRate)
	return failureRate * (1 - retried*(1-failureRate))
}
