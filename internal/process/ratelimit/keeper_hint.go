package ratelimit

import "time"

// hint is a keeper that another daemon named.
type hint struct {
	keeper DaemonID
	epoch  uint64 // of its claim
}

// Hint takes the keeper of a group that another daemon named, with the epoch of
// the claim. A wrong hint does no harm, since only a keeper with the right grants.
func (c *Claims) Hint(group uint32, keeper DaemonID, epoch uint64) {
	if group < uint32(len(c.hints)) && epoch >= c.hints[group].epoch {
		c.hints[group] = hint{keeper, epoch}
	}
}

// Asked returns the daemon that holders should ask for tokens of a group. During
// a hand-over that is the old keeper until it or the new one says that the new
// one has the state, since the claim may be read here before or after the old
// keeper reads it. The old keeper itself asks the new one at once.
func (c *Claims) Asked(now time.Time, group uint32) (DaemonID, bool) {
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
