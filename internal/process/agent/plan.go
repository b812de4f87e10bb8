package agent

import (
	"fmt"
	"slices"
	"time"

	"tarragonshore.example/tarragonshore/internal/connection/wire"
	"tarragonshore.example/tarragonshore/internal/process/logging"
	"tarragonshore.example/tarragonshore/internal/process/rateshare"
	"tarragonshore.example/tarragonshore/internal/request/retry"
	"tarragonshore.example/tarragonshore/internal/request/shedding"
	"tarragonshore.example/tarragonshore/internal/request/zonespill"
	"tarragonshore.example/tarragonshore/internal/version/catalog"
)

const (
	// planLogInterval is the least time between log lines about the shedding plan.
	planLogInterval = time.Second
	// minArrivalRate is the rate, in requests per second, below which arrivals are not
	// reported.
	minArrivalRate = 0.02
	// reconcileBatch is the number of members' reports on workspaces that are reconciled at
	// a time. Requests wait meanwhile.
	reconcileBatch = 4096
	// planRest is the least pause after a computation of the plan, as a multiple of its
	// duration, so that a large configuration or call graph delays the plan and leaves the
	// processor to requests.
	planRest = 4
)

// admit counts a caller's request and decides whether the services that it needs,
// directly or through the calls it causes, have capacity for it, by the shedding plan and,
// where it is enabled, by the throttle. If not, detail says why.
func (f *fleet) admit(now time.Time, route string, importance uint8) (admitted bool, detail string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	a := arrivalKey{route, importance}
	r := f.arrivals[a]
	if r == nil {
		r = &shedding.Rate{}
		f.arrivals[a] = r
	}
	r.Add()
	f.feedback.arrive(now, route, importance)
	admitted, service := f.plan.Admit(route, importance)
	switch {
	case admitted:
		return f.feedback.admit(now, route, importance, f.plan.Share(route, importance))
	case f.plan.Infeasible(route):
		return false, "service " + service + " fails too many of the calls that the request needs"
	}
	return false, "service " + service + " has no capacity for the calls that the request needs"
}

// chainPosition describes the position of a service in the call graph.
func (f *fleet) chainPosition(service string) retry.ChainPosition {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := retry.ChainPosition{CallsOthers: f.plan.CallsOthers(service), Depth: f.plan.Depth()}
	c.Direct, c.Internal = f.plan.RequestRates(service)
	return c
}

// leastShare returns the smallest share that the plan admits of the requests of a
// route and importance.
func (f *fleet) leastShare() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.plan.LeastShare()
}

// endInterval closes the current interval and returns the arrival rates and the
// workspaces' usage at this daemon for the next status.
func (f *fleet) endInterval(interval time.Duration) (arrivals []shedding.Arrivals, usage []wire.WorkspaceUsage) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for a, r := range f.arrivals {
		if rate := r.Tick(interval); rate >= minArrivalRate {
			arrivals = append(arrivals, shedding.Arrivals{Route: a.route, Importance: a.importance, Rate: rate})
		}
	}
	return arrivals, f.limiter.Report(interval)
}

// planInput is what the members have reported.
type planInput struct {
	reports []shedding.Report
	byZone  []zonespill.Report
	members []rateshare.Member
}

// replan computes the shedding plan, the shares of the zones and the rate shares from the
// latest statuses. It is called by one goroutine at a time. What takes time in proportion to
// the configuration or the call graph is computed without the lock, which requests wait for.
func (f *fleet) replan(now time.Time, c *catalog.Catalog) {
	begun := time.Now()
	input := f.planInput(now)
	result := f.plan.Compute(input.reports, c.TrafficSplit)
	zones := f.zones.plan.Compute(input.byZone, result.Share, c.TrafficSplit)
	f.applyPlan(now, result, zones)
	f.reconcileRates(func() time.Time { return now.Add(time.Since(begun)) }, input.members, c)
}

// planInput refreshes the members and returns their reports, which do not change.
func (f *fleet) planInput(now time.Time) planInput {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refreshUsable(now)
	var input planInput
	for _, m := range f.members {
		if !m.lastStatusAt.IsZero() && now.Sub(m.lastStatusAt) <= statusTimeout {
			report := reportOf(m, now)
			input.reports = append(input.reports, report)
			input.byZone = append(input.byZone, zonespill.Report{Zone: m.status.Zone, Report: report})
		}
		if !m.self && f.mayServe(now, m) {
			input.members = append(input.members, usageOf(m, now))
		}
	}
	return input
}

// applyPlan puts the results of a computation in force.
func (f *fleet) applyPlan(now time.Time, result *shedding.Result, zones *zonespill.Result) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.plan.Apply(result)
	f.logPlan(now)
	f.feedback.log(now)
	f.zones.apply(now, zones)
	for service, table := range f.placements {
		table.SetShares(f.zones.sharesOf(service))
	}
}

// reconcileRates updates the rates of the workspaces, a few at a time.
func (f *fleet) reconcileRates(now func() time.Time, members []rateshare.Member, c *catalog.Catalog) {
	reported := rateshare.Reported(members)
	f.mu.Lock()
	workspaces := f.limiter.Workspaces(reported)
	f.mu.Unlock()
	limit := func(workspace string) rateshare.Limit { return limitOf(c, workspace) }
	for batch := range slices.Chunk(workspaces, max(1, reconcileBatch/(len(members)+1))) {
		f.mu.Lock()
		f.limiter.ReconcileSome(now(), members, batch, limit)
		f.mu.Unlock()
	}
}

// logPlan logs the services that the plan sheds requests for, at most once per
// planLogInterval. The caller holds mu.
func (f *fleet) logPlan(now time.Time) {
	bottlenecks, cut := f.plan.Bottlenecks(), f.plan.CutTrees()
	if len(bottlenecks) == 0 && cut == 0 || now.Sub(f.planLoggedAt) < planLogInterval {
		return
	}
	f.planLoggedAt = now
	if cut > 0 {
		logging.WarningEvent("plan", "trees-cut", "routes", cut)
	}
	for _, b := range bottlenecks {
		logging.InfoEvent("plan", "shedding", "service", b.Service, "capacity", int(b.Capacity), "running", int(b.Running),
			"demand", int(b.Demand), "planned", int(b.Planned), "wait_ms", b.QueueTime.Milliseconds(),
			"correction", fmt.Sprintf("%.2f", b.Correction), "least_share", fmt.Sprintf("%.2f", b.LeastShare))
	}
}

// reportOf returns what a member reported for the shedding plan. If the member accepts
// no attempts, the report has its arrivals but neither its load nor its runs.
func reportOf(m *member, now time.Time) shedding.Report {
	r := shedding.Report{Arrivals: m.status.Arrivals}
	if m.acceptsAttempts(now) {
		r.Service, r.Limit, r.Running, r.StartRate = m.status.Service, m.status.Load.Limit, m.status.Load.Running, m.status.Load.StartRate
		r.QueueTime, r.Runs = m.status.QueueTime, m.status.Runs
		r.Ended, r.Failed = m.status.Ended, m.status.Failed
	}
	return r
}

// usageOf returns what a member reported about the workspaces' usage of their rates.
func usageOf(m *member, now time.Time) rateshare.Member {
	r := rateshare.Member{Name: m.name, Incarnation: m.status.Incarnation, ReportNumber: m.status.Interval}
	if !m.lastStatusAt.IsZero() {
		r.Usage, r.ReportAge = m.usage, now.Sub(m.lastStatusAt)
	}
	return r
}

// limitOf returns the rate of a workspace, unlimited if it is unknown.
func limitOf(c *catalog.Catalog, workspace string) rateshare.Limit {
	w, ok := c.Workspace(workspace)
	if !ok {
		return rateshare.Limit{}
	}
	return rateshare.Limit{Rate: w.Rate, Burst: w.Burst}
}
