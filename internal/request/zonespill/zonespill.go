// Package zonespill decides which share of a service's attempts leaves an availability
// zone, and where it goes.
//
// Traffic between zones is slower than within one and is charged by the byte, but a
// zone's own servers may be too few: a service with 2, 2 and 1 servers in three zones and
// equal demand in each has 93% of its slots in use, so that nearly half of the demand of
// the third zone has to leave. If each attempt were balanced over all servers, more than a
// third of all attempts would leave although about 15% have to.
//
// Every daemon computes the same plan from the reports of all daemons. The demand of a zone
// is what enters there: callers' requests, and the calls of runs on the servers of the
// zone. It does not depend on where attempts are sent, so that daemons that decide at the
// same time from old reports do not answer each other's decisions. The capacity follows
// what the servers do: the limit, divided by the measured service time relative to that of
// the other servers, less the share of runs that fail.
//
// The types are pure state machines and not safe for concurrent use.
package zonespill

import (
	"maps"
	"math"
	"slices"

	"tarragonshore.example/tarragonshore/internal/request/shedding"
)

const (
	// keepUtilization is the utilization up to which the servers of a zone get all of its
	// demand. A higher value sends less to other zones, a lower one leaves more room for a
	// burst, which the reports show after about a second.
	keepUtilization = 0.85
	// gain is the fraction of the difference to the computed share that one Update corrects,
	// and maxStep the greatest change. Reports are up to 1 s, or four updates, old: larger
	// steps overshoot when the measured service time depends on the load.
	gain    = 0.5
	maxStep = 0.1
	// minShare is the share of a zone below which it gets nothing, so that noise in the
	// reports opens no path.
	minShare = 0.005
)

// Report is what a daemon reported, and its availability zone.
type Report struct {
	Zone string
	shedding.Report
}

// Share is the fraction of a service's attempts that goes to a zone.
type Share struct {
	Zone  string
	Share float64
}

// Load is the demand and the capacity of a zone for a service, both in slots of a server of
// the mean speed.
type Load struct{ Demand, Capacity float64 }

// Plan holds, for the services of one daemon's zone, the share of attempts that goes to each
// zone.
type Plan struct {
	zone string
	Result
}

// Result is what Compute has computed from the reports. It does not change.
type Result struct {
	shares map[string]map[string]float64 // by service, then by zone
	loads  map[string]map[string]Load    // by service, then by zone
}

// NewPlan returns a plan for a daemon in the given zone, without shares.
func NewPlan(zone string) *Plan { return &Plan{zone: zone} }

// Shares returns the shares of a service, which add up to 1, in the order of the zones'
// names. It is empty if the plan has none: while fewer than two zones are known, no server
// of the service is, or the demand is unknown.
func (p *Plan) Shares(service string) []Share {
	byZone := p.shares[service]
	list := make([]Share, 0, len(byZone))
	for _, zone := range slices.Sorted(maps.Keys(byZone)) {
		list = append(list, Share{zone, byZone[zone]})
	}
	return list
}

// Has reports whether the plan has shares of a service.
func (p *Plan) Has(service string) bool { return len(p.shares[service]) > 0 }

// Leaving returns the share of a service's attempts that leaves the zone.
func (p *Plan) Leaving(service string) float64 {
	if byZone := p.shares[service]; byZone != nil {
		return 1 - byZone[p.zone]
	}
	return 0
}

// Load returns the demand and the capacity of this daemon's zone for a service.
func (p *Plan) Load(service string) Load { return p.loads[service][p.zone] }

// Services returns the services with shares.
func (p *Plan) Services() []string { return slices.Sorted(maps.Keys(p.shares)) }

// Update computes the shares from the newest reports of all daemons and puts them in force.
func (p *Plan) Update(reports []Report, admitted func(route string, importance uint8) float64, split shedding.TrafficSplit) {
	p.Apply(p.Compute(reports, admitted, split))
}

// Apply puts a result in force.
func (p *Plan) Apply(result *Result) { p.Result = *result }

// Compute computes the shares from the newest reports of all daemons, without putting them in
// force. admitted returns the share of callers' requests of a route and importance that the
// shedding plan admits. It may run while other methods are called, apart from Apply.
func (p *Plan) Compute(reports []Report, admitted func(route string, importance uint8) float64, split shedding.TrafficSplit) *Result {
	zones := map[string]bool{p.zone: true}
	for _, r := range reports {
		zones[r.Zone] = true
	}
	if len(zones) < 2 {
		return &Result{}
	}
	r := &Result{loads: loadsOf(reports, admitted, split)}
	r.shares = make(map[string]map[string]float64, len(r.loads))
	for service, byZone := range r.loads {
		if target := sharesOf(byZone, p.zone); target != nil {
			r.shares[service] = step(p.shares[service], target)
		}
	}
	return r
}

// times holds the mean service time of each route at a service, in seconds.
type times map[string]float64

// meanTimes returns the mean service times by service, weighted by the rates of runs.
func meanTimes(reports []Report) map[string]times {
	seconds, rates := map[string]times{}, map[string]times{}
	for _, r := range reports {
		if r.Service == "" {
			continue
		}
		if seconds[r.Service] == nil {
			seconds[r.Service], rates[r.Service] = times{}, times{}
		}
		for _, run := range r.Runs {
			if run.Rate > 0 && run.ServiceTime > 0 {
				seconds[r.Service][run.Route] += run.Rate * run.ServiceTime.Seconds()
				rates[r.Service][run.Route] += run.Rate
			}
		}
	}
	for service, byRoute := range seconds {
		for route := range byRoute {
			byRoute[route] /= rates[service][route]
		}
	}
	return seconds
}

// loadsOf returns the demand and the capacity by service and zone.
func loadsOf(reports []Report, admitted func(string, uint8) float64, split shedding.TrafficSplit) map[string]map[string]Load {
	means := meanTimes(reports)
	loads := map[string]map[string]Load{}
	add := func(service, zone string, l Load) {
		if loads[service] == nil {
			loads[service] = map[string]Load{}
		}
		old := loads[service][zone]
		loads[service][zone] = Load{old.Demand + l.Demand, old.Capacity + l.Capacity}
	}
	demand := func(zone, route string, rate float64) {
		for _, s := range split(route) {
			if seconds := means[s.Service][route]; seconds > 0 {
				add(s.Service, zone, Load{Demand: rate * s.Fraction * seconds})
			}
		}
	}
	for _, r := range reports {
		for _, a := range r.Arrivals {
			demand(r.Zone, a.Route, a.Rate*admitted(a.Route, a.Importance))
		}
		for _, run := range r.Runs {
			for _, call := range run.Calls {
				demand(r.Zone, call.Route, run.Rate*call.PerRun)
			}
		}
		if r.Service != "" && r.Limit > 0 {
			add(r.Service, r.Zone, Load{Capacity: capacity(r.Report, means[r.Service])})
		}
	}
	return loads
}

// capacity returns what a server handles, in slots of a server of the mean speed.
func capacity(r shedding.Report, means times) float64 {
	usual, own := 0.0, 0.0
	for _, run := range r.Runs {
		if run.Rate > 0 && run.ServiceTime > 0 {
			usual += run.Rate * means[run.Route]
			own += run.Rate * run.ServiceTime.Seconds()
		}
	}
	slots := r.Slots()
	if own > 0 {
		slots *= usual / own
	}
	if r.Ended > 0 {
		slots *= 1 - min(1, r.Failed/r.Ended)
	}
	return slots
}

// sharesOf returns the shares of a zone's attempts by zone, or nil if they are not known.
// Each zone keeps what its servers handle at keepUtilization, or, if the zones have less
// spare capacity than is needed, at the utilization to which all are filled then.
func sharesOf(byZone map[string]Load, zone string) map[string]float64 {
	demand, capacity := 0.0, 0.0
	for _, l := range byZone {
		demand += l.Demand
		capacity += l.Capacity
	}
	if capacity <= 0 || demand <= 0 {
		return nil
	}
	utilization := max(keepUtilization, demand/capacity)
	spare := 0.0
	for z, l := range byZone {
		if z != zone {
			spare += max(0, utilization*l.Capacity-l.Demand)
		}
	}
	own := byZone[zone]
	kept := 1.0
	switch {
	case own.Capacity <= 0:
		kept = 0
	case own.Demand > 0:
		kept = min(1, utilization*own.Capacity/own.Demand)
	}
	if spare <= 0 && kept > 0 {
		kept = 1
	}
	shares := map[string]float64{zone: kept}
	for z, l := range byZone {
		if z == zone {
			continue
		}
		weight := 0.0
		switch {
		case spare > 0:
			weight = max(0, utilization*l.Capacity-l.Demand) / spare
		case capacity > own.Capacity:
			weight = l.Capacity / (capacity - own.Capacity)
		}
		shares[z] = (1 - kept) * weight
	}
	return withoutTraces(shares)
}

// withoutTraces drops shares below minShare and divides the others by their sum.
func withoutTraces(shares map[string]float64) map[string]float64 {
	total := 0.0
	for zone, share := range shares {
		if share < minShare {
			delete(shares, zone)
			continue
		}
		total += share
	}
	for zone := range shares {
		shares[zone] /= total
	}
	return shares
}

// step moves the shares towards the target. All zones move by the same fraction of their
// differences, so that the sum remains 1.
func step(former, target map[string]float64) map[string]float64 {
	if former == nil {
		return target
	}
	greatest := 0.0
	for zone := range union(former, target) {
		greatest = max(greatest, math.Abs(target[zone]-former[zone]))
	}
	if greatest == 0 {
		return target
	}
	fraction := min(gain, maxStep/greatest)
	next := make(map[string]float64, len(target))
	for zone := range union(former, target) {
		share := former[zone] + fraction*(target[zone]-former[zone])
		if share >= minShare || target[zone] > 0 {
			next[zone] = share
		}
	}
	return next
}

// union returns the keys of both maps.
func union(a, b map[string]float64) map[string]bool {
	keys := make(map[string]bool, len(a)+len(b))
	for k := range a {
		keys[k] = true
	}
	for k := range b {
		keys[k] = true
	}
	return keys
}
