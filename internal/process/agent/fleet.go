package agent

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"tarragonshore.example/tarragonshore/internal/connection/wire"
	"tarragonshore.example/tarragonshore/internal/process/logging"
	"tarragonshore.example/tarragonshore/internal/process/rateshare"
	"tarragonshore.example/tarragonshore/internal/request/placement"
	"tarragonshore.example/tarragonshore/internal/request/shedding"
	"tarragonshore.example/tarragonshore/internal/version/catalog"
	"tarragonshore.example/tarragonshore/internal/version/confirmation"
)

const (
	// statusTimeout is the time without a status after which a member gets no new
	// attempts.
	statusTimeout = 1800 * time.Millisecond
	// shareHoldTime is the time without a status for which a member's share of the
	// rates stays reserved. A member that is silent for longer has most likely ended, or has
	// lost the store and its peers, and then it refuses requests with keys.
	shareHoldTime = 5 * time.Second
	// unreachableTime is how long a member gets no new attempts after a connection to
	// it failed.
	unreachableTime = 500 * time.Millisecond
	// startupTime is the time after the start for which members that have not sent a
	// status yet are assumed to be serving. Requests with keys are refused for at most
	// this time while the directory has not been read yet.
	startupTime = 2 * time.Second
)

// member is what this daemon knows of a daemon of the fleet, itself included.
type member struct {
	name             string
	address          string
	self             bool
	status           wire.Status
	usage            map[string]rateshare.Usage // from the status, by workspace
	lastStatusAt     time.Time                  // when the last status arrived; zero: never
	unreachableUntil time.Time                  // no new attempts until then
	usable           bool                       // result of acceptsAttempts at the last refresh
	evacuated        bool                       // its zone is evacuated
	// digestDiffersSince is when the digest in the status began to show members that this
	// daemon lacks; zero: it shows none.
	digestDiffersSince time.Time
}

// memberAddress is the daemon beside an upstream, as attempts are addressed to it.
type memberAddress struct {
	name    string
	address string
	self    bool
	zone    string
}

// fleet is this daemon's view of all daemons: their addresses, what they report, and
// the placement tables, the shedding plan and the rate shares that follow from it.
// mu guards all fields below it; no other lock is taken while it is held.
type fleet struct {
	self string
	zone string

	mu      sync.Mutex
	started time.Time
	// directoryReadAt is when the directory was first read; zero: never.
	directoryReadAt time.Time
	// memberStartedAt is when a new start of a member was last seen; zero: never.
	memberStartedAt time.Time
	evacuated       []string  // evacuated zones
	membersAskedAt  time.Time // when another daemon's list of members was last asked for
	members         map[string]*member
	placements      map[string]*placement.Table // by service
	memberByServer  map[string]string           // member name by backend server id
	plan            *shedding.Plan
	// planLoggedAt is when the shedding plan was last logged.
	planLoggedAt time.Time
	zones        zoneTraffic
	feedback     admissionFeedback
	limiter      *rateshare.Limiter
	rng          *rand.Rand
	// arrivals holds the rate of the callers' requests that entered at this daemon.
	arrivals map[arrivalKey]*shedding.Rate
}

// arrivalKey groups the requests that the shedding plan treats alike.
type arrivalKey struct {
	route      string
	importance uint8
}

func newFleet(self, zone string, incarnation uint64, tolerance rateshare.Tolerance) *fleet {
	return &fleet{
		self: self, zone: zone, started: time.Now(),
		members: make(map[string]*member), placements: make(map[string]*placement.Table), memberByServer: make(map[string]string),
		plan: shedding.NewPlan(shedding.DefaultOptions), zones: newZoneTraffic(zone), limiter: rateshare.New(incarnation, tolerance),
		rng:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		arrivals: make(map[arrivalKey]*shedding.Rate),
	}
}

// addListed adds a member from the directory or from another daemon's list. It returns
// true if the member or its address was not known. The address in a status takes
// precedence while the member sends statuses.
func (f *fleet) addListed(now time.Time, entry DirectoryEntry) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[entry.Member]
	if m == nil {
		f.members[entry.Member] = &member{name: entry.Member, address: entry.Peer, self: entry.Member == f.self}
		return entry.Member != f.self
	}
	if m.self || m.address == entry.Peer || now.Sub(m.lastStatusAt) <= statusTimeout {
		return false
	}
	m.address = entry.Peer
	return true
}

// markDirectoryRead records that the directory has been read.
func (f *fleet) markDirectoryRead() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.directoryReadAt.IsZero() {
		f.directoryReadAt = time.Now()
	}
}

// membersKnown reports whether this daemon knows how many others share the rates. A
// daemon that knew of no others would use the whole rate of a workspace. After
// startupTime it goes on without the directory.
func (f *fleet) membersKnown(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.directoryReadAt.IsZero() || now.Sub(f.started) > startupTime
}

// startTimes returns the times since the start and since the first read of the
// directory, 0 if there was none.
func (f *fleet) startTimes(now time.Time) (started, listed time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.directoryReadAt.IsZero() {
		listed = max(1, now.Sub(f.directoryReadAt))
	}
	return now.Sub(f.started), listed
}

// tablesMembers returns the live members other than this daemon, for the choice of whom
// to ask for a confirmation of the tables.
func (f *fleet) tablesMembers(now time.Time) []confirmation.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	members := make([]confirmation.Member, 0, len(f.members))
	for _, m := range f.members {
		if m.self || m.status.Leaving || m.lastStatusAt.IsZero() || now.Sub(m.lastStatusAt) > statusTimeout {
			continue
		}
		source := m.status.TablesSource
		members = append(members, confirmation.Member{
			Name: m.name, Zone: m.status.Zone, Version: m.status.TablesVersion, Answers: source != wire.SourceUnknown,
			Reads: source == wire.SourceStore, StoreLost: source == wire.SourceStoreLost,
		})
	}
	return members
}

// addressOf returns the address of a member's peer port.
func (f *fleet) addressOf(member string) (address string, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[member]
	if m == nil || m.address == "" {
		return "", false
	}
	return m.address, true
}

// applyStatus applies a member's status. It ignores statuses that are older than the
// last one. It returns true if the sender is new, has restarted or had been silent
// for longer than statusTimeout, so that it may lack this daemon's status.
func (f *fleet) applyStatus(now time.Time, s *wire.Status) (replyNeeded bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[s.Member]
	if m == nil {
		m = &member{name: s.Member, self: s.Member == f.self}
		f.members[s.Member] = m
	}
	silent := now.Sub(m.lastStatusAt) > statusTimeout
	switch {
	case s.Incarnation == m.status.Incarnation && s.Number <= m.status.Number,
		s.Incarnation < m.status.Incarnation && !silent:
		return false
	}
	replyNeeded = silent || s.Incarnation != m.status.Incarnation
	if s.Incarnation != m.status.Incarnation {
		f.memberStartedAt = now
	}
	former := m.status
	m.status, m.address, m.lastStatusAt, m.unreachableUntil = *s, s.Address, now, time.Time{}
	m.evacuated = slices.Contains(f.evacuated, s.Zone)
	if !m.self {
		m.usage = rateshare.UsageByWorkspace(s.Usage)
	}
	f.refreshMember(now, m)
	switch {
	case former.Service != s.Service || former.Server != s.Server || former.State != s.State || former.Zone != s.Zone:
		f.rebuildPlacement(now, former.Service)
		f.rebuildPlacement(now, s.Service)
	case m.usable && s.Service != "":
		// The usual status changes only the load. Rebuilding the table for each status
		// would cost the square of the hosts.
		f.placements[s.Service].Report(s.Server, s.Load.Number, loadOf(&s.Load))
	}
	return replyNeeded
}

// refreshMember updates whether a member is usable and, if that has changed, the
// placement table of its service. The caller holds mu.
func (f *fleet) refreshMember(now time.Time, m *member) {
	usable := m.acceptsAttempts(now)
	if usable == m.usable {
		return
	}
	m.usable = usable
	logging.InfoEvent("fleet", "member", "member", m.name, "server", m.status.Server, "service", m.status.Service,
		"usable", usable, "phase", int(m.status.State), "leaving", m.status.Leaving, "evacuated", m.evacuated, "silent_ms", now.Sub(m.lastStatusAt).Milliseconds())
	f.rebuildPlacement(now, m.status.Service)
}

// refreshUsable updates which members are usable and rebuilds the placement tables of
// the services for which that has changed. The caller holds mu.
func (f *fleet) refreshUsable(now time.Time) {
	for _, m := range f.members {
		f.refreshMember(now, m)
	}
}

// acceptsAttempts reports whether new attempts may be sent to the member.
func (m *member) acceptsAttempts(now time.Time) bool {
	return !m.lastStatusAt.IsZero() && now.Sub(m.lastStatusAt) <= statusTimeout && !now.Before(m.unreachableUntil) &&
		!m.status.Leaving && m.status.State.Usable() && !m.evacuated
}

// rebuildPlacement updates the placement table of a service, "" for none. The caller
// holds mu.
func (f *fleet) rebuildPlacement(now time.Time, service string) {
	if service == "" {
		return
	}
	var upstreams []placement.Upstream
	for _, m := range f.members {
		if m.status.Service != service || !m.acceptsAttempts(now) {
			continue
		}
		f.memberByServer[m.status.Server] = m.name
		upstreams = append(upstreams, placement.Upstream{
			ID: m.status.Server, Zone: m.status.Zone, SameZone: m.status.Zone == f.zone, WarmingUp: m.status.State == wire.ServerWarmingUp,
			Load: loadOf(&m.status.Load), ReportNumber: m.status.Load.Number,
		})
	}
	table := f.placements[service]
	if table == nil {
		table = &placement.Table{}
		table.SetShares(f.zones.sharesOf(service))
		f.placements[service] = table
	}
	table.Update(upstreams)
}

// loadOf returns the load for placement. A cold server that is limited to a rate starts its
// next request later than its slots and service time say.
func loadOf(l *wire.Load) placement.Load {
	load := placement.Load{Running: l.Running, Waiting: l.Waiting, Limit: l.Limit, ServiceTime: l.ServiceTime}
	if l.StartRate > 0 {
		load.ServiceTime = max(load.ServiceTime, time.Duration(float64(max(1, l.Limit))/l.StartRate*float64(time.Second)))
	}
	return load
}

// pickUpstream chooses an upstream for a call that it has not tried, and counts an attempt
// as started there.
func (f *fleet) pickUpstream(now time.Time, c *call) (server string, m memberAddress, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	table := f.placements[c.service]
	if table == nil {
		return "", m, false
	}
	server, ok = table.Pick(now, f.rng, f.zones.request(now, c))
	if !ok {
		return "", m, false
	}
	owner := f.members[f.memberByServer[server]]
	if owner == nil {
		return "", m, false
	}
	table.RecordStart(server)
	f.zones.paths.RecordStart(now, owner.status.Zone)
	return server, memberAddress{name: owner.name, address: owner.address, self: owner.self, zone: owner.status.Zone}, true
}

// otherUpstreamWait returns how long an attempt is expected to wait at the best upstream of
// a service other than server that is not in tried. ok is false if there is none.
func (f *fleet) otherUpstreamWait(now time.Time, service, server string, tried []string) (wait time.Duration, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	table := f.placements[service]
	if table == nil {
		return 0, false
	}
	return table.OtherWait(now, server, tried)
}

// attemptFinished records the result of an attempt for placement.
func (f *fleet) attemptFinished(now time.Time, service, server string, result placement.Result) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if table := f.placements[service]; table != nil {
		table.RecordResult(now, server, result)
	}
}

// loadReported records the load that came with an answer.
func (f *fleet) loadReported(service, server string, load *wire.Load) {
	if load == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if table := f.placements[service]; table != nil {
		table.Report(server, load.Number, loadOf(load))
	}
}

// markUnreachable records that a connection to a member failed.
func (f *fleet) markUnreachable(now time.Time, name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.members[name]; m != nil {
		m.unreachableUntil = now.Add(unreachableTime)
		f.refreshUsable(now)
	}
}

// takeToken takes one token of a workspace's rate. If there is none, wait is the time
// after which to retry.
func (f *fleet) takeToken(now time.Time, workspace string, limit rateshare.Limit, importance uint8) (ok bool, wait time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.limiter.Take(now, f.rng, workspace, limit, importance, f.servingMembers(now))
}

// returnToken returns the token of a request that did not run.
func (f *fleet) returnToken(workspace string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.limiter.Return(workspace)
}

// servingMembers returns the number of members that may be admitting requests, this
// one included. The caller holds mu.
func (f *fleet) servingMembers(now time.Time) int {
	n := 1
	for _, m := range f.members {
		if !m.self && f.mayServe(now, m) {
			n++
		}
	}
	return n
}

// mayServe reports whether a member may be admitting requests, so that a share of the
// rates belongs to it.
func (f *fleet) mayServe(now time.Time, m *member) bool {
	if m.lastStatusAt.IsZero() {
		return now.Sub(f.started) < startupTime
	}
	return now.Sub(m.lastStatusAt) < shareHoldTime
}

// pruneArrivals drops the arrival rates of routes that are not in the new tables.
func (f *fleet) pruneArrivals(c *catalog.Catalog) {
	known := map[string]bool{}
	c.EachRoute(func(r *catalog.Route) { known[r.Name] = true })
	f.mu.Lock()
	defer f.mu.Unlock()
	for a := range f.arrivals {
		if !known[a.route] {
			delete(f.arrivals, a)
		}
	}
}

// usableMembers returns the number of members that accept attempts, as a gauge.
func (f *fleet) usableMembers() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0.0
	for _, m := range f.members {
		if m.usable {
			n++
		}
	}
	return n
}
