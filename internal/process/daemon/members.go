package daemon

import (
	"context"
	"errors"
	"time"

	"tarragonshore.example/tarragonshore/internal/connection/peer"
	"tarragonshore.example/tarragonshore/internal/process/membership"
	"tarragonshore.example/tarragonshore/internal/process/membership/transport"
	"tarragonshore.example/tarragonshore/internal/request/routing"
)

// errNoMember means that the member is not among the alive ones.
var errNoMember = errors.New("the member is not alive; wait for it to come back or use another one")

// members gives the other parts what they need to know of the other daemons.
type members struct {
	self    string
	service *transport.Service
	hub     *peer.Hub
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

// successorOf returns the member that took over the tickets of an incarnation
// that has left, or "".
func (m *members) successorOf(name string, incarnation uint64) string {
	member := m.service.Lookup(name)
	if member == nil || member.Incarnation != incarnation || !member.Leaving {
		return ""
	}
	return member.Successor
}

// setServer publishes the state of the own backend server.
func (m *members) setServer(s serverSnapshot) error {
	detail := m.service.Self().Detail
	detail.Servers = []membership.Server{{
		Name:       s.name,
		Pool:       s.pool,
		Slots:      uint32(s.slots),
		State:      s.state,
		ReadySince: s.readySince,
	}}
	return m.service.SetSelf(detail)
}

// setLeaving publishes that a planned stop has begun, with the successor of the
// tickets as soon as it is known.
func (m *members) setLeaving(successor string) error {
	detail := m.service.Self().Detail
	detail.Leaving = true
	detail.Successor = successor
	return m.service.SetSelf(detail)
}

// upstreamsOf returns the backend servers of a pool and the member beside each.
func upstreamsOf(view *membership.View, pool string, drained func(server string) bool) ([]routing.Record, map[string]string) {
	var records []routing.Record
	beside := make(map[string]string)
	for _, member := range view.Members {
		for _, server := range member.Servers {
			if server.Pool != pool {
				continue
			}
			records = append(records, routing.Record{
				ID:         server.Name,
				Zone:       member.Zone,
				Usable:     usable(member, server) && !drained(server.Name),
				ReadySince: server.ReadySince,
			})
			beside[server.Name] = member.Name
		}
	}
	return records, beside
}

// usable tells whether a backend server may get new work. A member that is
// only suspected may: if it is gone, attempts fail fast and are moved.
func usable(member *membership.Member, server membership.Server) bool {
	return server.State == membership.ServerReady && !member.Leaving && !member.Left
}

// updatePools rebuilds the upstreams of all pools after a change of members or tables.
func (d *dispatcher) updatePools(view *membership.View, current *tablesInForce) {
	d.mu.Lock()
	defer d.mu.Unlock()
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
		records, beside := upstreamsOf(view, pool.Name, current.drained)
		state.table.Update(records)
		state.member = beside
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
