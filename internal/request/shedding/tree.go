package shedding

import "math"

// treeEstimate describes the call tree of one request of a route.
type treeEstimate struct {
	// depth is the number of services on the longest path, counted from the root of the
	// caller's request.
	depth int
	// successProbability is the probability that all runs of the tree succeed.
	successProbability float64
	// worstService is the service of the tree with the highest failure rate.
	worstService     string
	worstFailureRate float64
}

// expand walks the call tree of a route that is visited the given number of times
// per request, adds to costs the slot-seconds that the tree takes at each service and to
// runs the number of its runs there, and marks in callsOthers the services that call others.
func (p *Plan) expand(services map[string]*serviceState, trafficSplit TrafficSplit, route string, visits float64, depth int, costs, runs map[string]float64) treeEstimate {
	t := treeEstimate{depth: depth, successProbability: 1}
	if depth > maxDepth || visits < minVisits {
		return t
	}
	// knownShare is the fraction of the route's requests that go to services with
	// reported runs of it.
	successProbability, knownShare := 0.0, 0.0
	for _, share := range trafficSplit(route) {
		service := services[share.Service]
		if service == nil {
			continue
		}
		run := service.runs[route]
		if run == nil {
			continue
		}
		visitsHere := visits * share.Fraction
		costs[share.Service] += visitsHere * run.serviceTime
		runs[share.Service] += visitsHere
		t.depth = max(t.depth, depth+1)
		t.updateWorst(share.Service, service.failureRate())
		branchSuccess := 1 - failureRateAfterRetries(service.failureRate())
		for called, perRun := range run.calls {
			p.callsOthers[share.Service] = true
			subtree := p.expand(services, trafficSplit, called, visitsHere*perRun, depth+1, costs, runs)
			t.depth = max(t.depth, subtree.depth)
			t.updateWorst(subtree.worstService, subtree.worstFailureRate)
			branchSuccess *= math.Pow(subtree.successProbability, perRun)
		}
		successProbability += share.Fraction * branchSuccess
		knownShare += share.Fraction
	}
	if knownShare > 0 {
		t.successProbability = successProbability / knownShare
	}
	return t
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
