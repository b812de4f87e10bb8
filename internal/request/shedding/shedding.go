// Package shedding decides, where a request enters the fleet, whether there is
// capacity for its whole call tree.
//
// Overload of a deep service: a service deep in the call graph can be the
// bottleneck, while each caller's request makes many calls to it through services
// with spare capacity. If that service refused the calls itself, the work already
// done for the rest of the tree would be wasted, and goodput would collapse although
// most servers are idle. A request is therefore refused at the entry, before any work
// is done, if the bottleneck behind its route has no capacity for its tree.
//
// Every daemon reports the requests that enter at it, and the service times and
// the calls of the runs at its own backend server. From these reports each daemon
// computes the same plan: the load of every service, summed over all call trees,
// and, where the load exceeds the capacity, the share of each importance that is
// admitted. Important requests come first; each importance keeps a floor, so that
// no class of requests starves. The floor is relative to the share of all requests
// that is served: callers that retry at once multiply the demand, and a fixed
// share of that demand would fill the bottleneck with the least important trees.
//
// Failure of a deep service: if the upstreams of a deep service refuse half of the
// calls, a tree that makes ten such calls almost never succeeds, and an order that
// makes five ends with an unknown outcome after using capacity at every service.
// All but a small probe share of such infeasible trees is refused at the entry,
// and they do not count as load; requests that make a single call to that service
// are still admitted.
//
// The cost of a plan grows with the routes and with the calls between them that the reports
// show, also if they are wrong: a slow server can make each route seem to call each other.
// It is bounded, and Compute needs no lock.
//
// The types are pure state machines and, apart from Compute, not safe for concurrent use.
package shedding

import (
	"slices"
	"time"
)

// Calls is the mean number of calls that a run of a route makes to another route.
type Calls struct {
	Route  string  `cbor:"1,keyasint"`
	PerRun float64 `cbor:"2,keyasint"`
}

// RunReport describes the runs of one route at one backend server.
type RunReport struct {
	Route string `cbor:"1,keyasint"`
	// Rate is in runs per second.
	Rate float64 `cbor:"2,keyasint"`
	// ServiceTime is the mean service time at the backend server.
	ServiceTime time.Duration `cbor:"3,keyasint"`
	Calls       []Calls       `cbor:"4,keyasint,omitempty"`
}

// Arrivals is the rate of callers' requests of one route and importance.
type Arrivals struct {
	Route string `cbor:"1,keyasint"`
	// Importance is lower for more important requests.
	Importance uint8 `cbor:"2,keyasint"`
	// Rate is in requests per second, whether the plan admits them or not.
	Rate float64 `cbor:"3,keyasint"`
}

// Report is what one daemon contributes to the plan.
type Report struct {
	Arrivals  []Arrivals
	Service   string        // of the daemon's backend server; "" if none is in service
	Limit     int           // maximum concurrent requests at the backend server
	Running   int           // requests running at the backend server
	StartRate float64       // requests per second that a cold server is limited to; 0: not limited
	QueueTime time.Duration // mean queueing time at the daemon
	// Ended is the rate, per second, of runs that ended. Failed is the part of it that
	// the backend server refused, or whose answers were lost or corrupted.
	Ended, Failed float64
	Runs          []RunReport
}

// Slots returns the concurrent requests that the server handles: its limit, or what it runs at
// once at the rate to which its starts are limited.
func (r *Report) Slots() float64 {
	slots := float64(r.Limit)
	rate, seconds := 0.0, 0.0
	for _, run := range r.Runs {
		rate += run.Rate
		seconds += run.Rate * run.ServiceTime.Seconds()
	}
	if r.StartRate <= 0 || rate <= 0 {
		return slots
	}
	return min(slots, r.StartRate*seconds/rate)
}

// TrafficShare is the fraction of a route's requests that goes to one service.
type TrafficShare struct {
	Service  string
	Fraction float64
}

// TrafficSplit looks up where a route's requests go; nil if the route is unknown.
type TrafficSplit func(route string) []TrafficShare

// Options are the parameters of a plan.
type Options struct {
	// Target is the fraction of a service's capacity that the plan fills. Higher
	// values give more goodput and longer queues, lower ones headroom for bursts.
	Target float64
	// Floor is the minimum admitted share of each importance, relative to the
	// admitted share of all requests. Higher values protect the least important
	// requests, lower ones keep the important requests served in greater overload.
	Floor float64
	// WaitTarget is the mean queueing time at a service above which its planned
	// capacity is lowered.
	WaitTarget time.Duration
}

// DefaultOptions suit call chains of a few levels with timeouts of about a second.
var DefaultOptions = Options{Target: 0.95, Floor: 0.35, WaitTarget: 30 * time.Millisecond}

const (
	// minRuns is the number of runs per request at a service from which on the request
	// counts as needing the service.
	minRuns = 0.1
	// Bounds of the correction factor of a service's capacity, and its change per
	// plan. The step down is small: requests admitted before a reduction keep
	// arriving for about a second, so that a queue alone does not call for a deep
	// cut. The step up is large while slots are idle: requests are then refused
	// needlessly. maxWaitExcess caps the step down, as a multiple of the wait target.
	minCorrection        = 0.65
	maxCorrection        = 1.1
	correctionStepUp     = 0.02
	correctionStepUpIdle = 0.06
	correctionStepDown   = 0.01
	maxWaitExcess        = 4.0
	// maxFloorShare is the maximum fraction of a capacity budget spent on floors.
	maxFloorShare = 0.7
	// floorIterations is the number of fixed-point iterations that compute the floors.
	// The floors depend on the share of all requests that is served, which in turn
	// depends on the floors.
	floorIterations = 3
	// minSuccessProbability is the estimated success probability of a call tree
	// below which only probeShare of its route's requests is admitted.
	minSuccessProbability = 0.1
	probeShare            = 0.05
	// retryableShare is the fraction of a service's calls that the retry budget
	// allows to be retried.
	retryableShare = 0.08
	// idleUtilization is the slot utilization below which a service counts as having
	// idle slots.
	idleUtilization = 0.85
)

// class is a class of requests: those of one route and importance.
type class struct {
	route      string
	importance uint8
}

// Bottleneck describes a service whose demand exceeds its planned capacity.
type Bottleneck struct {
	Service string
	// All four are in concurrent requests: Capacity is the limit, Running the current
	// load, Demand the load if every caller's request were admitted, and Planned the
	// load that the plan admits.
	Capacity, Running, Demand, Planned float64
	QueueTime                          time.Duration // mean queueing time
	Correction                         float64       // factor applied to the capacity
	LeastShare                         float64       // smallest admitted share of any class of requests
}

// Plan holds the admitted share of every class of requests.
type Plan struct {
	options Options
	// correction holds the factor applied to the capacity of each service. Only Compute
	// uses it.
	correction map[string]float64
	// Result is the one that was applied last.
	Result
	// admissionCredit accumulates the admitted share at every request of a class
	// and is spent on each admission, which spaces admissions evenly.
	admissionCredit map[class]float64
}

// Result is what Compute has computed from the reports. It does not change.
type Result struct {
	bottlenecks []Bottleneck
	// shares holds the admitted share of each class that is not admitted in full, and
	// bottleneckOf the service that limits it.
	shares       map[class]float64
	bottleneckOf map[class]string
	// infeasible maps each route whose call tree is unlikely to succeed to the
	// service of the tree with the highest failure rate.
	infeasible map[string]string
	// callsOthers holds the services whose runs call other services. depth is the
	// number of services on the longest call path.
	callsOthers map[string]bool
	depth       int
	// services holds the services that a request of each route needs, in order of name.
	services map[string][]string
	// direct holds the rate of callers' requests for each service, runs the rate of all
	// its runs, both per second.
	direct, runs map[string]float64
	// cutTrees is the number of routes whose trees lack their deepest levels.
	cutTrees int
}

// NewPlan returns a plan that admits everything.
func NewPlan(options Options) *Plan {
	return &Plan{options: options, correction: map[string]float64{}, Result: Result{shares: map[class]float64{}}, admissionCredit: map[class]float64{}}
}

// Admit decides whether one request is admitted. If it is refused, service names
// the bottleneck or failing service behind its route.
func (p *Plan) Admit(route string, importance uint8) (admitted bool, service string) {
	c := class{route, importance}
	share, limited := p.shares[c]
	if !limited {
		return true, ""
	}
	p.admissionCredit[c] += share
	if p.admissionCredit[c] >= 1 {
		p.admissionCredit[c]--
		return true, ""
	}
	return false, p.bottleneckOf[c]
}

// CallsOthers reports whether runs at a service call other services. It returns true
// for every service while no calls have been reported.
func (r *Result) CallsOthers(service string) bool {
	return r.callsOthers[service] || len(r.callsOthers) == 0
}

// Depth returns the number of services on the longest call path, 0 if none is
// known.
func (r *Result) Depth() int { return r.depth }

// Services returns the services that a request of a route needs, directly or through the
// calls it causes, as far as they are known. The caller must not change the result.
func (r *Result) Services(route string) []string { return r.services[route] }

// RequestRates returns, per second, the rate of callers' requests for a service, admitted
// or not, and the rate of its other runs, which serve calls of other services.
func (r *Result) RequestRates(service string) (direct, internal float64) {
	direct = r.direct[service]
	return direct, max(0, r.runs[service]-direct)
}

// Infeasible reports whether a route's requests are refused because a service behind
// it fails too many calls, rather than for lack of capacity.
func (r *Result) Infeasible(route string) bool {
	_, found := r.infeasible[route]
	return found
}

// Share returns the admitted share of a route's requests of one importance.
func (r *Result) Share(route string, importance uint8) float64 {
	if share, limited := r.shares[class{route, importance}]; limited {
		return share
	}
	return 1
}

// LeastShare returns the smallest admitted share of any class of requests.
func (r *Result) LeastShare() float64 { return least(r.shares) }

func least(shares map[class]float64) float64 {
	least := 1.0
	for _, share := range shares {
		least = min(least, share)
	}
	return least
}

// Bottlenecks returns the services whose demand exceeds their planned capacity.
func (r *Result) Bottlenecks() []Bottleneck { return r.bottlenecks }

// serviceState aggregates the reports about one service.
type serviceState struct {
	capacity  float64 // concurrent requests
	running   float64
	queueTime float64 // seconds; mean over the upstreams, weighted by capacity
	ended     float64 // runs per second
	failed    float64 // runs per second, included in ended
	runs      map[string]*runState
}

// runState aggregates the reports about the runs of one route at one service.
type runState struct {
	rate        float64
	serviceTime float64            // seconds per run, weighted by rate
	calls       map[string]float64 // calls per run, weighted by rate
}

// CutTrees returns the number of routes whose call trees lack their deepest levels, since
// the reported call graph has too many calls.
func (r *Result) CutTrees() int { return r.cutTrees }

// Update computes the plan from the newest reports of all daemons and puts it in force.
func (p *Plan) Update(reports []Report, trafficSplit TrafficSplit) {
	p.Apply(p.Compute(reports, trafficSplit))
}

// Apply puts a result in force.
func (p *Plan) Apply(result *Result) {
	p.Result = *result
	for c := range p.admissionCredit {
		if _, limited := p.shares[c]; !limited {
			delete(p.admissionCredit, c)
		}
	}
}

// Compute computes the plan from the newest reports of all daemons, without putting it in
// force. Its cost grows with the configuration and the call graph. It may run while other
// methods are called, but not twice at a time.
func (p *Plan) Compute(reports []Report, trafficSplit TrafficSplit) *Result {
	services := summarize(reports)
	arrivals := map[class]float64{}
	routes := map[string]bool{}
	for _, report := range reports {
		for _, a := range report.Arrivals {
			arrivals[class{a.Route, a.Importance}] += a.Rate
			routes[a.Route] = true
		}
	}
	r := &Result{
		shares: map[class]float64{}, bottleneckOf: map[class]string{}, infeasible: map[string]string{},
		services: make(map[string][]string, len(routes)), direct: map[string]float64{}, runs: map[string]float64{},
	}
	for name, service := range services {
		for _, run := range service.runs {
			r.runs[name] += run.rate
		}
	}
	costs := make(map[string]map[string]float64, len(routes)) // by route, then by service
	trees := newExpander(newCallGraph(services, trafficSplit), len(routes))
	for route := range routes {
		t := trees.expand(route)
		costs[route] = t.costs
		r.services[route] = needed(t.runs)
		r.depth = max(r.depth, t.depth)
		if t.successProbability < minSuccessProbability {
			r.infeasible[route] = t.worstService
		}
		if t.cut {
			r.cutTrees++
		}
	}
	r.callsOthers = trees.callsOthers
	loads := map[string][]classLoad{} // by service
	for c, rate := range arrivals {
		for _, share := range trafficSplit(c.route) {
			r.direct[share.Service] += share.Fraction * rate
		}
		if service, found := r.infeasible[c.route]; found {
			r.shares[c], r.bottleneckOf[c] = probeShare, service
			continue
		}
		for service, cost := range costs[c.route] {
			if cost > 0 {
				loads[service] = append(loads[service], classLoad{c, rate, cost})
			}
		}
	}
	p.adjustCorrections(services)
	for name, service := range services {
		budget := service.capacity * p.options.Target * p.correction[name]
		allotted, demand := p.allocate(budget, loads[name])
		if len(allotted) > 0 {
			r.bottlenecks = append(r.bottlenecks, Bottleneck{Service: name, Capacity: service.capacity, Running: service.running,
				Demand: demand, Planned: budget, QueueTime: time.Duration(service.queueTime * float64(time.Second)),
				Correction: p.correction[name], LeastShare: least(allotted)})
		}
		for c, share := range allotted {
			if old, limited := r.shares[c]; !limited || share < old {
				r.shares[c], r.bottleneckOf[c] = share, name
			}
		}
	}
	return r
}

// needed returns the services with at least minRuns runs per request, in order of name.
func needed(runs map[string]float64) []string {
	services := make([]string, 0, len(runs))
	for service, n := range runs {
		if n >= minRuns {
			services = append(services, service)
		}
	}
	slices.Sort(services)
	return services
}

// summarize aggregates the reports by service.
func summarize(reports []Report) map[string]*serviceState {
	services := map[string]*serviceState{}
	for _, report := range reports {
		if report.Service == "" || report.Limit == 0 {
			continue
		}
		s := services[report.Service]
		if s == nil {
			s = &serviceState{runs: map[string]*runState{}}
			services[report.Service] = s
		}
		slots := report.Slots()
		s.capacity += slots
		s.running += float64(report.Running)
		s.queueTime += slots * report.QueueTime.Seconds()
		s.ended += report.Ended
		s.failed += report.Failed
		for _, run := range report.Runs {
			s.add(run)
		}
	}
	for _, s := range services {
		if s.capacity > 0 {
			s.queueTime /= s.capacity
		}
		for _, run := range s.runs {
			run.serviceTime /= run.rate
			for called := range run.calls {
				run.calls[called] /= run.rate
			}
		}
	}
	return services
}

// failureRate returns the fraction of the service's runs that failed. Upstreams are
// weighted by their numbers of runs, since placement sends fewer runs to failing ones.
func (s *serviceState) failureRate() float64 {
	if s.ended <= 0 {
		return 0
	}
	return min(1, s.failed/s.ended)
}

// add adds a report to the sums over all upstreams of the service, weighted by its
// rate. summarize divides the sums by the total rate afterwards.
func (s *serviceState) add(report RunReport) {
	if report.Rate <= 0 {
		return
	}
	run := s.runs[report.Route]
	if run == nil {
		run = &runState{calls: map[string]float64{}}
		s.runs[report.Route] = run
	}
	run.rate += report.Rate
	run.serviceTime += report.Rate * report.ServiceTime.Seconds()
	for _, call := range report.Calls {
		run.calls[call.Route] += report.Rate * call.PerRun
	}
}
