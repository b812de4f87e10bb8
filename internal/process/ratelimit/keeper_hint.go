package ratelimit

import "time"

// keeperHint is the keeper of a group according to another daemon.
type keeperHint struct {
	keeper DaemonID
	epoch  uint64 // of the keeper's claim
}

// HintKeeper records which daemon is the keeper of a group according to another daemon,
// with the epoch of the keeper's claim. A wrong hint does no harm, since a daemon grants
// only with a lease.
func (c *Claims) HintKeeper(group uint32, keeper DaemonID, epoch uint64) {
	if group < uint32(len(c.hints)) && epoch >= c.hints[group].epoch {
		c.hints[group] = keeperHint{keeper, epoch}
	}
}

// GrantTarget returns the daemon from which this daemon's holder requests tokens of a
// group. During a hand-over, that is the old keeper until a hint from the old or the new
// keeper says that the new one has the state: this daemon may read the claim before or
// after the old keeper does. If this daemon is the old keeper itself, its holder asks the
// new one as soon as it has read the claim.
func (c *Claims) GrantTarget(now time.Time, group uint32) (DaemonID, bool) {
	g, h := &c.states[group], c.hints[group]
	previous := g.claim.Previous
	switch {
	case g.granting:
		return c.self.ID, true
	case !g.known || h.epoch > g.epoch:
		return h.keeper, h.keeper != DaemonID{}
	case g.claim.passesState() && h.epoch < g.epoch && now.Sub(g.readAt) < handoverTime &&
		previous != c.self.ID && c.alive(previous):
		return previous, true
	}
	return g.claim.Keeper, true
}
