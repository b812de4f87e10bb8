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

// errNoMember means that the member is not in the membership view.
var errNoMember = errors.New("the member is not alive; wait for it to come back or use another one")

// members gives the other components access to the membership service and to links
// to the other daemons.
type members struct {
	self    string
	started time.Time
	service *transport.Service
	hub     *peer.Hub
	// reportedAlive is the number of alive members, other than this daemon, that a peer
	// stated in its last TablesReply; 0 before the first one. See synchronized.
	reportedAlive atomic.Int64

	mu sync.Mutex // serializes changes of this daemon's record
}

// countAliveExcept returns the number of alive members other than the named one.
func (m *members) countAliveExcept(name string) int {
	count := 0
	for _, member := range m.service.View().Members {
		if member.Name != name && member.State == membership.StateAlive {
			count++
		}
	}
	return count
}

// link returns the current link to a member, or dials one.
func (m *members) link(ctx context.Context, name string) (peer.Link, error) {
	if link, ok := m.hub.Current(name); ok {
		return link, nil
	}
	member := m.service.View().Find(name)
	if member == nil {
		return nil, errNoMember
	}
	return m.hub.Link(ctx, name, member.Peer.String())
}

// refreshLink dials a new link to a member even if there is one, which may have
// gone silent.
func (m *members) refreshLink(ctx context.Context, name string) (peer.Link, error) {
	member := m.service.View().Find(name)
	if member == nil {
		return nil, errNoMember
	}
	return m.hub.Redial(ctx, name, member.Peer.String())
}

// linkWithRetry is link with retries until ctx ends. It does not retry if the member
// is not in the view or refuses the connection.
func (m *members) linkWithRetry(ctx context.Context, name string) (peer.Link, error) {
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

// successorOf returns the member that took over the tickets of an incarnation that
// stops or has stopped, or "" if none is known.
func (m *members) successorOf(name string, incarnation uint64) string {
	issuer := membership.TicketIssuer{Name: name, Incarnation: incarnation}
	for _, member := range m.service.View().Members {
		if slices.Contains(member.TicketIssuers, issuer) {
			return member.Name
		}
	}
	member := m.service.Lookup(name)
	if member == nil || member.Incarnation != incarnation || !member.Leaving {
		return ""
	}
	return member.Successor
}

// unverifiedWait is how long a starting daemon waits for members that only the log
// names. Most of those that no other member has confirmed by then are dead.
const unverifiedWait = time.Second

// synchronized reports whether this daemon has received the current records of the
// other members. The records on the log were written when the members started and
// their backend servers had not announced themselves yet, so that pools look empty
// until the records are verified. A daemon that could not read the log learns the
// members one by one, and has to know as many as a peer has counted.
func (m *members) synchronized() bool {
	if int64(m.countAliveExcept(m.self)) < m.reportedAlive.Load() {
		return false
	}
	anyVerified, anyUnverified := false, false
	for _, member := range m.service.View().Members {
		if member.Name == m.self {
			continue
		}
		anyVerified = anyVerified || !member.Unverified && len(member.Servers) > 0
		anyUnverified = anyUnverified || member.Unverified
	}
	return anyVerified && (!anyUnverified || time.Since(m.started) > unverifiedWait)
}

// updateSelf changes this daemon's own record, which other members receive.
func (m *members) updateSelf(apply func(*membership.MutableInfo)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	info := m.service.Self().MutableInfo
	apply(&info)
	if err := m.service.SetSelf(info); err != nil {
		logging.InfoEvent("members", "record-refused", "error", err.Error())
	}
}

// setServer publishes the state of the local backend server.
func (m *members) setServer(s serverSnapshot) {
	m.updateSelf(func(info *membership.MutableInfo) {
		info.Servers = []membership.Server{{
			Name:       s.name,
			Pool:       s.pool,
			Slots:      uint32(s.slots),
			State:      s.state,
			ReadySince: s.readySince,
		}}
	})
}

// setLeaving publishes that this daemon is stopping, and the successor that takes
// over its tickets.
func (m *members) setLeaving(successor string) {
	m.updateSelf(func(info *membership.MutableInfo) {
		info.Leaving = true
		info.Successor = successor
	})
}

// setTicketIssuers publishes the incarnations whose tickets this daemon has taken over,
// so that other members send requests with these tickets here.
// Only the newest membership.MaxTicketIssuers are published; other members cannot find the
// tickets of the rest and answer that their outcome is unknown.
func (m *members) setTicketIssuers(ids []ticket.DaemonID) {
	issuers := make([]membership.TicketIssuer, 0, len(ids))
	for _, id := range ids {
		issuers = append(issuers, membership.TicketIssuer{Name: id.Member, Incarnation: id.Incarnation})
	}
	slices.SortFunc(issuers, func(a, b membership.TicketIssuer) int { return cmp.Compare(b.Incarnation, a.Incarnation) })
	issuers = issuers[:min(len(issuers), membership.MaxTicketIssuers)]
	if slices.Equal(issuers, m.service.Self().TicketIssuers) {
		return
	}
	m.updateSelf(func(info *membership.MutableInfo) { info.TicketIssuers = issuers })
}

// poolUpstreams are the backend servers of a pool and the members on their hosts.
type poolUpstreams struct {
	records []routing.Record
	member  map[string]string // name of the member by the backend server's name
}

// upstreamsByPool returns the backend servers of all pools by the pool's name.
func upstreamsByPool(view *membership.View, drained func(server string) bool) map[string]*poolUpstreams {
	pools := make(map[string]*poolUpstreams)
	for _, member := range view.Members {
		for _, server := range member.Servers {
			pool, ok := pools[server.Pool]
			if !ok {
				pool = &poolUpstreams{member: make(map[string]string)}
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

// usable reports whether a backend server may get new work. That of a suspected
// member may: if the member is dead, attempts fail fast and are retried elsewhere.
func usable(member *membership.Member, server membership.Server) bool {
	return server.State == membership.ServerReady && !member.Leaving && !member.Left
}

// updatePools updates the upstreams of all pools after a change of members or
// tables. Only pools that have changed are rebuilt, since calls wait for the lock
// meanwhile.
func (d *dispatcher) updatePools(view *membership.View, current *tablesInForce) {
	byPool := upstreamsByPool(view, current.drained)
	d.mu.Lock()
	defer d.mu.Unlock()
	if current.Version < d.version {
		return // a concurrent update has applied a newer version
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
			next = &poolUpstreams{}
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
