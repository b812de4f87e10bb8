package shedding

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// graph is a call graph of routes "0" to "n-1" at services of the same names.
func graph(n int, calls func(from int) []Calls) []Report {
	reports := make([]Report, n)
	for i := range n {
		name := fmt.Sprint(i)
		reports[i] = Report{Service: name, Limit: 100, Arrivals: []Arrivals{{name, 1, 10}},
			Runs: []RunReport{{Route: name, Rate: 10, ServiceTime: 10 * time.Millisecond, Calls: calls(i)}}}
	}
	return reports
}

func sameName(route string) []TrafficShare { return []TrafficShare{{route, 1}} }

// Guards against a plan whose cost grows with the number of paths through the call graph: a
// server that was slow had requests on ten open routes taken for calls of each other, which
// made 10 to the power of 10 paths, and all daemons of the fleet hung (review/6).
func TestCostOfThePlanGrowsWithTheCallsNotThePaths(t *testing.T) {
	for name, reports := range map[string][]Report{
		"each of 10 routes calls each": graph(10, func(int) []Calls {
			var calls []Calls
			for i := range 10 {
				calls = append(calls, Calls{fmt.Sprint(i), 1})
			}
			return calls
		}),
		"each of 120 routes calls each twice": graph(120, func(int) []Calls {
			var calls []Calls
			for i := range 120 {
				calls = append(calls, Calls{fmt.Sprint(i), 2})
			}
			return calls
		}),
		"ten levels of 30 routes, each calls all of the next": graph(300, func(from int) []Calls {
			var calls []Calls
			if from < 270 {
				for i := range 30 {
					calls = append(calls, Calls{fmt.Sprint(from/30*30 + 30 + i), 0.5})
				}
			}
			return calls
		}),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			done := make(chan struct{})
			go func() {
				defer close(done)
				plan := NewPlan(DefaultOptions)
				for range 5 {
					plan.Update(reports, sameName)
				}
			}()
			g.Eventually(done, "20s").Should(BeClosed())
		})
	}
}

// Guards against a graph for which even one step for each call and level takes too long: the
// deepest levels are left out, and the plan tells so.
func TestTreesOfAnImmenseGraphAreCut(t *testing.T) {
	g := NewWithT(t)
	const routes = 500
	reports := graph(routes, func(from int) []Calls {
		var calls []Calls
		for i := range 60 {
			calls = append(calls, Calls{fmt.Sprint((from + i) % routes), 1})
		}
		return calls
	})
	e := newExpander(newCallGraph(summarize(reports), sameName), routes)
	for i := range routes {
		tree := e.expand(fmt.Sprint(i))
		g.Expect(tree.cut).To(BeTrue())
		g.Expect(tree.costs).NotTo(BeEmpty(), "the first levels count")
		g.Expect(e.stepsTaken).To(BeNumerically("<=", maxSteps/routes+61))
	}
	plan := NewPlan(DefaultOptions)
	plan.Update(reports, sameName)
	g.Expect(plan.CutTrees()).To(Equal(routes))
}

// expandPaths is the definition of a tree's estimate: it follows each path on its own.
func expandPaths(p *treeEstimate, services map[string]*serviceState, split TrafficSplit, route string, visits float64, depth int) (success float64) {
	if depth > maxDepth {
		return 1
	}
	known := 0.0
	for _, share := range split(route) {
		state := services[share.Service]
		if state == nil || state.runs[route] == nil {
			continue
		}
		run, here := state.runs[route], visits*share.Fraction
		p.costs[share.Service] += here * run.serviceTime
		p.runs[share.Service] += here
		p.depth = max(p.depth, depth+1)
		p.updateWorst(share.Service, state.failureRate())
		branch := 1 - failureRateAfterRetries(state.failureRate())
		for called, n := range run.calls {
			branch *= math.Pow(expandPaths(p, services, split, called, here*n, depth+1), n)
		}
		success += share.Fraction * branch
		known += share.Fraction
	}
	if known == 0 {
		return 1
	}
	return success / known
}

// Guards against trees whose visits are joined wrongly: the estimates are those of all paths
// followed one by one, also if routes are split over services, call themselves, or have no
// known runs.
func TestTreesEqualTheSumOfTheirPaths(t *testing.T) {
	for seed := range uint64(200) {
		g := NewWithT(t)
		rng := rand.New(rand.NewPCG(seed, 1))
		n := 2 + rng.IntN(5)
		var reports []Report
		for s := range n {
			r := Report{Service: fmt.Sprint("s", s), Limit: 10, Ended: 100, Failed: float64(rng.IntN(3)) * 20}
			for route := range n {
				if rng.IntN(3) == 0 {
					continue
				}
				run := RunReport{Route: fmt.Sprint(route), Rate: 1 + 9*rng.Float64(), ServiceTime: time.Duration(1+rng.IntN(100)) * time.Millisecond}
				for range rng.IntN(2) + rng.IntN(2) {
					// No path falls below minVisits.
					run.Calls = append(run.Calls, Calls{fmt.Sprint(rng.IntN(n)), 4 + rng.Float64()})
				}
				r.Runs = append(r.Runs, run)
			}
			reports = append(reports, r)
		}
		split := func(route string) []TrafficShare {
			return []TrafficShare{{"s" + route, 0.7}, {"s0", 0.3}}
		}
		services := summarize(reports)
		e := newExpander(newCallGraph(services, split), n)
		for route := range n {
			got := e.expand(fmt.Sprint(route))
			want := treeEstimate{costs: map[string]float64{}, runs: map[string]float64{}}
			want.successProbability = expandPaths(&want, services, split, fmt.Sprint(route), 1, 0)
			g.Expect(got.depth).To(Equal(want.depth), "seed %d", seed)
			g.Expect(got.worstFailureRate).To(Equal(want.worstFailureRate))
			g.Expect(got.successProbability).To(BeNumerically("~", want.successProbability, 1e-9))
			for service, cost := range want.costs {
				g.Expect(got.costs[service]).To(BeNumerically("~", cost, 1e-9*(1+cost)), "seed %d", seed)
				g.Expect(got.runs[service]).To(BeNumerically("~", want.runs[service], 1e-9*(1+want.runs[service])))
			}
			g.Expect(got.costs).To(HaveLen(len(want.costs)))
		}
	}
}

// Guards against an estimator that fits all calls to all runs at each tick, while requests wait
// for its lock: the work at a tick and the report are bounded, whatever the number of routes.
func TestCallEstimatorBoundsItsWork(t *testing.T) {
	g := NewWithT(t)
	estimator := NewCallEstimator()
	const routes = 3000
	for range 20 {
		for i := range routes {
			estimator.RecordRun(fmt.Sprint("run-", i), time.Millisecond)
			estimator.RecordUnattributedCall(fmt.Sprint("call-", i))
		}
		for range 100 {
			estimator.RecordRun("busy", time.Millisecond)
			estimator.RecordUnattributedCall("busy-call")
		}
		estimator.Tick(interval)
	}
	pairs := 0
	for _, fitted := range estimator.fittedCalls {
		pairs += len(fitted)
	}
	g.Expect(pairs).To(BeNumerically("<=", maxFittedRoutes*maxFittedRoutes))
	reports := estimator.Report()
	g.Expect(reports).To(HaveLen(maxReportedRoutes))
	g.Expect(reports[0].Route).To(Equal("busy"), "the busiest are reported")
	g.Expect(reports[0].Calls[0].Route).To(Equal("busy-call"))
	for _, r := range reports {
		g.Expect(len(r.Calls)).To(BeNumerically("<=", maxReportedCalls))
	}
	for range 60 {
		estimator.Tick(interval)
	}
	g.Expect(estimator.runs).To(BeEmpty(), "idle routes are forgotten")
	g.Expect(estimator.calls).To(BeEmpty())
	g.Expect(estimator.fittedCalls).To(BeEmpty())
}
