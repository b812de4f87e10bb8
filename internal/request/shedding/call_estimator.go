package shedding

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// rateTimeConstant is the time constant of smoothed rates.
	rateTimeConstant = time.Second
	// fitStepSize is the fraction of the prediction error that one Tick corrects.
	fitStepSize = 0.2
	// minRate is the rate, per second, below which a route is not reported, and the
	// sum of squared run rates below which calls are not fitted.
	minRate = 0.02
	// minCallsPerRun is the number of calls per run below which a called route is
	// not reported.
	minCallsPerRun = 0.05
	// maxReportedRoutes bounds the routes in a report, maxReportedCalls the calls of each, so
	// that it fits in a datagram.
	maxReportedRoutes = 24
	maxReportedCalls  = 24
	// maxFittedRoutes bounds the routes of runs, and those of calls, between which calls are
	// fitted: each is fitted to each.
	maxFittedRoutes = 48
	// idleRate is the rate, per second, below which a route is forgotten.
	idleRate = 1e-4
)

// Rate is a smoothed rate of events.
type Rate struct {
	count    int
	smoothed float64
}

// Add counts one event.
func (r *Rate) Add() { r.count++ }

// Tick ends an interval and returns the smoothed rate per second.
func (r *Rate) Tick(interval time.Duration) float64 {
	weight := min(1, float64(interval)/float64(rateTimeConstant))
	r.smoothed += weight * (float64(r.count)/interval.Seconds() - r.smoothed)
	r.count = 0
	return r.smoothed
}

// PerSecond returns the smoothed rate as of the last Tick.
func (r *Rate) PerSecond() float64 { return r.smoothed }

// CallEstimator estimates, for one backend server, how many calls a run of each route
// makes to other routes. Calls that name the run that made them are averaged over
// runs (RecordCalls). For routes without such data, the calls per run are fitted to the
// rates of runs and of calls (normalized least mean squares).
type CallEstimator struct {
	runs  map[string]*Rate
	calls map[string]*Rate
	// measuredCalls holds the mean calls per complete run, by run route, then by
	// called route.
	measuredCalls map[string]map[string]float64
	// fittedCalls holds the estimated calls per run, by called route, then by run
	// route.
	fittedCalls map[string]map[string]float64
	serviceTime map[string]time.Duration
	// runsEnded and runsFailed are rates over all routes.
	runsEnded, runsFailed Rate
}

// NewCallEstimator returns an estimator without observations.
func NewCallEstimator() *CallEstimator {
	return &CallEstimator{
		runs:          make(map[string]*Rate),
		calls:         make(map[string]*Rate),
		measuredCalls: make(map[string]map[string]float64),
		fittedCalls:   make(map[string]map[string]float64),
		serviceTime:   make(map[string]time.Duration),
	}
}

// RecordRun records a finished run of a route and how long the backend server took.
func (e *CallEstimator) RecordRun(route string, duration time.Duration) {
	countEvent(e.runs, route)
	if old, ok := e.serviceTime[route]; ok {
		duration = old + (duration-old)/smoothingRuns
	}
	e.serviceTime[route] = duration
}

// RecordOutcome records the outcome of a run of any route. failed is true if the backend
// server refused it, or if its answer was lost or corrupted.
func (e *CallEstimator) RecordOutcome(failed bool) {
	e.runsEnded.Add()
	if failed {
		e.runsFailed.Add()
	}
}

// OutcomeRates returns the rates, per second, of runs that ended and of those that failed.
func (e *CallEstimator) OutcomeRates() (ended, failed float64) {
	return e.runsEnded.PerSecond(), e.runsFailed.PerSecond()
}

// RecordCalls records all calls that one run of a route made, by called route. Pass
// only successful runs: a failed run may end before it has made all its calls.
func (e *CallEstimator) RecordCalls(route string, calls map[string]int) {
	means := e.measuredCalls[route]
	if means == nil {
		means = make(map[string]float64, len(calls))
		for called, n := range calls {
			means[called] = float64(n)
		}
		e.measuredCalls[route] = means
		return
	}
	for called := range calls {
		if _, known := means[called]; !known {
			means[called] = 0
		}
	}
	for called, mean := range means {
		means[called] = mean + (float64(calls[called])-mean)/smoothingRuns
	}
}

// smoothingRuns is the number of runs over which the service time and the calls per
// run of a route are averaged.
const smoothingRuns = 64

// RecordUnattributedCall records a call of the backend server that names no run in
// progress.
func (e *CallEstimator) RecordUnattributedCall(route string) { countEvent(e.calls, route) }

// countEvent adds an event to the rate with the given name and creates the rate if
// necessary.
func countEvent(rates map[string]*Rate, name string) {
	r := rates[name]
	if r == nil {
		r = &Rate{}
		rates[name] = r
	}
	r.Add()
}

// Tick ends an interval: it updates all rates, and corrects the fitted calls per run by
// the difference between the measured and the predicted rate of calls to each route.
func (e *CallEstimator) Tick(interval time.Duration) {
	e.runsEnded.Tick(interval)
	e.runsFailed.Tick(interval)
	e.tickRates(interval)
	norm := 0.0
	for _, r := range e.runs {
		norm += r.PerSecond() * r.PerSecond()
	}
	if norm < minRate {
		return
	}
	runs, calls := busiest(e.runs), busiest(e.calls)
	maps.DeleteFunc(e.fittedCalls, func(called string, _ map[string]float64) bool { return !slices.Contains(calls, called) })
	for _, called := range calls {
		fittedCalls := e.fittedCalls[called]
		if fittedCalls == nil {
			fittedCalls = make(map[string]float64)
			e.fittedCalls[called] = fittedCalls
		}
		if len(fittedCalls) > maxFittedRoutes {
			maps.DeleteFunc(fittedCalls, func(route string, _ float64) bool { return !slices.Contains(runs, route) })
		}
		predicted := 0.0
		for _, route := range runs {
			predicted += fittedCalls[route] * e.runs[route].PerSecond()
		}
		for _, route := range runs {
			n := fittedCalls[route] + fitStepSize*(e.calls[called].PerSecond()-predicted)*e.runs[route].PerSecond()/norm
			fittedCalls[route] = max(0, n)
		}
	}
}

// tickRates ends an interval of the rates of runs and calls, and forgets idle routes.
func (e *CallEstimator) tickRates(interval time.Duration) {
	for route, r := range e.runs {
		if r.Tick(interval) < idleRate {
			delete(e.runs, route)
			delete(e.serviceTime, route)
			for _, fittedCalls := range e.fittedCalls {
				delete(fittedCalls, route)
			}
		}
	}
	for called, r := range e.calls {
		if r.Tick(interval) < idleRate {
			delete(e.calls, called)
			delete(e.fittedCalls, called)
		}
	}
}

// busiest returns the routes with the highest rates, at most maxFittedRoutes.
func busiest(rates map[string]*Rate) []string {
	routes := slices.Collect(maps.Keys(rates))
	if len(routes) <= maxFittedRoutes {
		return routes
	}
	slices.SortFunc(routes, func(a, b string) int {
		return cmp.Or(descending(rates[a].PerSecond(), rates[b].PerSecond()), cmp.Compare(a, b))
	})
	return routes[:maxFittedRoutes]
}

// Report describes the routes with the most runs, at most maxReportedRoutes, in
// descending order of rate.
func (e *CallEstimator) Report() []RunReport {
	reports := make([]RunReport, 0, len(e.runs))
	for route, r := range e.runs {
		if r.PerSecond() < minRate {
			continue
		}
		reports = append(reports, RunReport{Route: route, Rate: r.PerSecond(), ServiceTime: e.serviceTime[route]})
	}
	slices.SortFunc(reports, func(a, b RunReport) int { return descending(a.Rate, b.Rate) })
	reports = reports[:min(len(reports), maxReportedRoutes)]
	for i := range reports {
		calls := e.callsPerRun(reports[i].Route)
		slices.SortFunc(calls, func(a, b Calls) int { return cmp.Or(descending(a.PerRun, b.PerRun), cmp.Compare(a.Route, b.Route)) })
		reports[i].Calls = calls[:min(len(calls), maxReportedCalls)]
	}
	return reports
}

// callsPerRun returns the calls per run of a route: the measured ones if there are
// any, else the fitted ones.
func (e *CallEstimator) callsPerRun(route string) []Calls {
	var calls []Calls
	if measuredCalls, known := e.measuredCalls[route]; known {
		for called, n := range measuredCalls {
			if n >= minCallsPerRun {
				calls = append(calls, Calls{Route: called, PerRun: n})
			}
		}
		return calls
	}
	for called, fittedCalls := range e.fittedCalls {
		if n := fittedCalls[route]; n >= minCallsPerRun {
			calls = append(calls, Calls{Route: called, PerRun: n})
		}
	}
	return calls
}

// descending compares two numbers so that the greater one is sorted first.
func descending(a, b float64) int {
	switch {
	case a > b:
		return -1
	case a < b:
		return 1
	}
	return 0
}
