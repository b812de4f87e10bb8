package daemon

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"tarragonshore.example/tarragonshore/internal/connection/peer"
	"tarragonshore.example/tarragonshore/internal/process/logging"
	"tarragonshore.example/tarragonshore/internal/process/membership"
	"tarragonshore.example/tarragonshore/internal/process/membership/transport"
	"tarragonshore.example/tarragonshore/internal/request/routing"
	"tarragonshore.example/tarragonshore/internal/request/ticket"
)

// errNoMember means that the member is not among the alive ones.
var errNoMember = errors.New("the member is not alive; wait for it to come back or use another one")

// members gives the other parts what they need to know of the other daemons.
type members struct {
	self    string
	started time.Time
	service *transport.Service
	hub     *peer.Hub
	// expected is the number of other members that a peer named as alive.
	expected atomic.Int64

	mu sync.Mutex // serializes changes of the own record
}

// aliveBut returns the number of alive members other than the named one.
func (m *members) aliveBut(name string) int {
	count := 0
	for _, member := range m.service.View().Members {
		if member.Name != name && member.State == membership.StateAlive {
			count++
		}
	}
	return count
}

// link returns a link to a member.
func (m *members) link(ctx context.Context, name string) (peer.Link, error) {
	if link, ok := m.hub.Existing(name); ok {
		return link, nil
	}
	member := m.service.View().Find(name)
	if member == nil {
		return nil, errNoMember
	}
	return m.hub.Link(ctx, name, member.Peer.String())
}

// refresh opens a new link to a member besides the current one.
func (m *members) refresh(ctx context.Context, name string) (peer.Link, error) {
	member := m.service.View().Find(name)
	if member == nil {
		return nil, errNoMember
	}
	return m.hub.Refresh(ctx, name, member.Peer.String())
}

// persistentLink returns a link to a member. It tries until ctx ends, unless the
// member is gone.
func (m *members) persistentLink(ctx context.Context, name string) (peer.Link, error) {
	for {
		link, err := m.link(ctx, name)
		if err == nil || errors.Is(err, errNoMember) || errors.Is(err, syscall.ECONNREFUSED) {
			return link, err
		}
		if !pause(ctx, reconnectDelay) {
			return nil, err
		}
	}
}

// successorOf returns the member that took over the tickets of an incarnation
// that has left, or "".
func (m *members) successorOf(name string, incarnation uint64) string {
	origin := membership.Origin{Name: name, Incarnation: incarnation}
	for _, member := range m.service.View().Members {
		if slices.Contains(member.Origins, origin) {
			return member.Name
		}
	}
	member := m.service.Lookup(name)
	if member == nil || member.Incarnation != incarnation || !member.Leaving {
		return ""
	}
	return member.Successor
}

// synchronizeTime is how long members that only the log names are waited for:
// most of them are dead if nobody has told of them by then.
const synchronizeTime = time.Second

// synchronized tells whether the other members have told what they know. The
// records of the log are from the starts of the members, when their backend
// servers had not announced themselves yet, so that a pool whose members are not
// verified yet looks empty. A daemon that could not read the log learns the
// members one after the other, so that the count of a peer has to be reached.
func (m *members) synchronized() bool {
	if int64(m.aliveBut(m.self)) < m.expected.Load() {
		return false
	}
	told, missing := false, false
	for _, member := range m.service.View().Members {
		if member.Name == m.self {
			continue
		}
		told = told || !member.Unverified && len(member.Servers) > 0
		missing = missing || member.Unverified
	}
	return told && (!missing || time.Since(m.started) > synchronizeTime)
}

// change changes the own record.
func (m *members) change(apply func(*membership.Detail)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	detail := m.service.Self().Detail
	apply(&detail)
	if err := m.service.SetSelf(detail); err != nil {
		logging.Event("members", "record-refused", "error", err.Error())
	}
}

// setServer publishes the state of the own backend server.
func (m *members) setServer(s serverSnapshot) {
	m.change(func(d *membership.Detail) {
		d.Servers = []membership.Server{{
			Name:       s.name,
			Pool:       s.pool,
			Slots:      uint32(s.slots),
			State:      s.state,
			ReadySince: s.readySince,
		}}
	})
}

// setLeaving publishes that a planned stop has begun, and the successor of the
// tickets.
func (m *members) setLeaving(successor string) {
	m.change(func(d *membership.Detail) {
		d.Leaving = true
		d.Successor = successor
	})
}

// setOrigins publishes whose tickets this daemon serves besides its own. Those
// beyond the limit cannot be found by others, so that their outcome is unknown.
func (m *members) setOrigins(owners []ticket.Owner) {
	origins := make([]membership.Origin, 0, len(owners))
	for _, owner := range owners {
		origins = append(origins, membership.Origin{Name: owner.Home, Incarnation: owner.Incarnation})
	}
	slices.SortFunc(origins, func(a, b membership.Origin) int { return cmp.Compare(b.Incarnation, a.Incarnation) })
	origins = origins[:min(len(origins), membership.MaxOrigins)]
	if slices.Equal(origins, m.service.Self().Origins) {
		return
	}
	m.change(func(d *membership.Detail) { d.Origins = origins })
}

// upstreams are the backend servers of a pool and the member beside each.
type upstreams struct {
	records []routing.Record
	member  map[string]string
}

// upstreamsByPool returns the backend servers of all pools.
func upstreamsByPool(view *membership.View, drained func(server string) bool) map[string]*upstreams {
	pools := make(map[string]*upstreams)
	for _, member := range view.Members {
		for _, server := range member.Servers {
			pool, ok := pools[server.Pool]
			if !ok {
				pool = &upstreams{member: make(map[string]string)}
				pools[server.Pool] = pool
			}
			pool.records = append(pool.records, routing.Record{
				ID:         server.Name,
				Zone:       member.Zone,
				Usable:     usable(member, server) && !drained(server.Name),
				ReadySince: server.ReadySince,
			})
			pool.member[server.Name] = member.Name
		}
	}
	return pools
}

// usable tells whether a backend server may get new work. A member that is
// only suspected may: if it is gone, attempts fail fast and are moved.
func usable(member *membership.Member, server membership.Server) bool {
	return server.State == membership.ServerReady && !member.Leaving && !member.Left
}

// updatePools rebuilds the upstreams of all pools after a change of members or
// tables. Calls wait for the lock, so that only changed pools are rebuilt.
func (d *dispatcher) updatePools(view *membership.View, current *tablesInForce) {
	byPool := upstreamsByPool(view, current.drained)
	d.mu.Lock()
	defer d.mu.Unlock()
	if current.Version < d.version {
		return // a rebuild that began before a newer version was applied
	}
	d.version = current.Version
	known := make(map[string]bool)
	for _, pool := range current.Tables.Pools() {
		known[pool.Name] = true
		state, ok := d.pools[pool.Name]
		if !ok {
			state = d.newPool(pool.WarmUp, pool.RetryRatio)
			d.pools[pool.Name] = state
		}
		state.table.SetWarmUp(pool.WarmUp)
		state.budget.SetRatio(pool.RetryRatio)
		next, ok := byPool[pool.Name]
		if !ok {
			next = &upstreams{}
		}
		if !slices.Equal(next.records, state.records) {
			state.table.Update(next.records)
			state.records = next.records
		}
		state.member = next.member
	}
	for name := range d.pools {
		if !known[name] {
			delete(d.pools, name)
		}
	}
}

// waitFor polls a condition until it holds or ctx ends.
func waitFor(ctx context.Context, interval time.Duration, condition func() bool) error {
	for !condition() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(interval):
		}
	}
	return nil
}
