package agent

import (
	"fmt"
	"math"
	"strings"
	"time"

	"tarragonshore.example/tarragonshore/internal/connection/wire"
	"tarragonshore.example/tarragonshore/internal/process/logging"
	"tarragonshore.example/tarragonshore/internal/request/placement"
	"tarragonshore.example/tarragonshore/internal/request/zonespill"
)

const (
	// zoneLogInterval is the least time between log lines about the shares of zones.
	zoneLogInterval = time.Second
	// zoneLogChange is the change of a share that is logged.
	zoneLogChange = 0.05
	// minServiceMS is taken for the service time of attempts below one millisecond.
	minServiceMS = 0.5
)

// zoneTraffic decides how much of each service's traffic leaves this daemon's availability
// zone. fleet.mu guards it.
type zoneTraffic struct {
	zone     string
	plan     *zonespill.Plan
	paths    *zonespill.Paths
	mixes    map[string]*zonespill.Mix    // by service
	logged   map[string][]zonespill.Share // shares in the last log line of each service
	loggedAt time.Time
}

func newZoneTraffic(zone string) zoneTraffic {
	return zoneTraffic{
		zone: zone, plan: zonespill.NewPlan(zone), paths: zonespill.NewPaths(zone),
		mixes: make(map[string]*zonespill.Mix), logged: make(map[string][]zonespill.Share),
	}
}

// apply puts shares in force that plan.Compute has computed.
func (z *zoneTraffic) apply(now time.Time, result *zonespill.Result) {
	z.plan.Apply(result)
	for service, mix := range z.mixes {
		if !z.plan.Has(service) {
			delete(z.mixes, service)
			continue
		}
		mix.Apportion(z.plan.Leaving(service))
	}
	z.log(now)
}

// log logs the service whose shares have changed most since its last line, if one of them
// has changed by more than zoneLogChange.
func (z *zoneTraffic) log(now time.Time) {
	if now.Sub(z.loggedAt) < zoneLogInterval {
		return
	}
	service, greatest := "", zoneLogChange
	for _, s := range z.plan.Services() {
		if change := shareChange(z.logged[s], z.plan.Shares(s), z.zone); change > greatest {
			service, greatest = s, change
		}
	}
	if service == "" {
		return
	}
	shares := z.plan.Shares(service)
	z.logged[service], z.loggedAt = shares, now
	list := make([]string, 0, len(shares))
	for _, share := range shares {
		list = append(list, fmt.Sprintf("%s:%.2f", share.Zone, share.Share))
	}
	load := z.plan.Load(service)
	logging.InfoEvent("plan", "zone-shares", "service", service, "shares", strings.Join(list, ","), "leaving",
		fmt.Sprintf("%.2f", z.plan.Leaving(service)), "demand", int(load.Demand), "capacity", int(load.Capacity))
}

// shareChange returns the greatest change of a zone's share. Before the first line, all
// traffic counts as staying in the daemon's own zone.
func shareChange(former, next []zonespill.Share, own string) float64 {
	if former == nil {
		former = []zonespill.Share{{Zone: own, Share: 1}}
	}
	change := map[string]float64{}
	for _, s := range former {
		change[s.Zone] -= s.Share
	}
	for _, s := range next {
		change[s.Zone] += s.Share
	}
	greatest := 0.0
	for _, c := range change {
		greatest = max(greatest, math.Abs(c))
	}
	return greatest
}

// sharesOf returns the shares of a service for placement.
func (z *zoneTraffic) sharesOf(service string) []placement.ZoneShare {
	shares := z.plan.Shares(service)
	list := make([]placement.ZoneShare, 0, len(shares))
	for _, s := range shares {
		list = append(list, placement.ZoneShare{Zone: s.Zone, SameZone: s.Zone == z.zone, Share: s.Share})
	}
	return list
}

// request describes the next attempt of a call for placement.
func (z *zoneTraffic) request(now time.Time, c *call) placement.Request {
	r := placement.Request{Exclude: c.tried, SlowZones: z.paths.TooSlow(now, c.latencyTarget)}
	if !c.objective.IsZero() {
		r.Objective = max(1, c.objective.Sub(now))
	}
	if mix := z.mixes[c.service]; mix != nil {
		r.Leaving, r.HasLeaving = mix.Leaving(c.route)
		r.ServiceTime = mix.ServiceTime(c.route)
	}
	return r
}

// attemptMeasured records the path time, the service time and the bytes of an attempt that
// an executing daemon has answered.
func (f *fleet) attemptMeasured(now time.Time, c *call, server, zone string, path time.Duration, bytes int, answer *wire.Answer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.zones.plan.Has(c.service) {
		return
	}
	if answer.Response == nil {
		return // it may have waited for a time that the answer does not tell
	}
	f.zones.paths.Record(now, zone, path)
	mix := f.zones.mixes[c.service]
	if mix == nil {
		mix = &zonespill.Mix{}
		f.zones.mixes[c.service] = mix
	}
	relative := 1.0
	if table := f.placements[c.service]; table != nil {
		relative = table.RelativeTime(server)
	}
	mix.Record(c.route, time.Duration(max(minServiceMS, float64(answer.ServiceMS))*float64(time.Millisecond)), relative, bytes)
}

// observeZoneShares passes the shares of all services to a gauge.
func (f *fleet) observeZoneShares(observe func(value float64, pairs ...string)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, service := range f.zones.plan.Services() {
		for _, s := range f.zones.plan.Shares(service) {
			observe(s.Share, "pool", service, "zone", s.Zone)
		}
	}
}

// messageBytes returns the size of the request of a call and of the response in an answer.
func messageBytes(c *call, answer *wire.Answer) int {
	n := len(c.request.Method) + len(c.request.Target) + len(c.request.Host) + headerBytes(c.request.Header) + len(c.request.Body)
	if answer.Response != nil {
		n += headerBytes(answer.Response.Header) + len(answer.Response.Body)
	}
	return n
}

// headerBytes returns the size of field lines in an HTTP message, each with a colon, a space
// and a line end.
func headerBytes(header []wire.HeaderField) int {
	n := 0
	for _, field := range header {
		n += len(field.Name) + len(field.Value) + 4
	}
	return n
}
