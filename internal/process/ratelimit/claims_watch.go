package ratelimit

import "time"

const (
	// rankDelay is the delay between the claims of daemons of successive ranks, so
	// that they do not all claim a group without keeper at the same time.
	rankDelay = 2 * time.Second
	// successorClaimWindow is how long only the successor claims the group of a
	// dead keeper.
	successorClaimWindow = 30 * time.Second
	// unprovenClaimDelay is how long keeper and successor must be missing before
	// another daemon claims the group without proof that the keeper is dead. The
	// new keeper then grants nothing for ConsentTime, which is worse than waiting
	// for a short loss of contact to end: regions lose contact for minutes several
	// times a year.
	unprovenClaimDelay = 10 * time.Minute
	// probeInterval is the time between two probes for the death of a keeper.
	probeInterval = time.Second
	// proberCount is the number of daemons besides the successor that probe a keeper.
	proberCount = 3
)

// watchActions returns the actions for a group whose keeper is not this daemon.
func (c *Claims) watchActions(now time.Time, group uint32, g *claimState) []Action {
	keeper := g.claim.Keeper
	if g.known && keeper.Member == c.self.ID.Member && keeper.Incarnation < c.self.ID.Incarnation &&
		g.claim.Address == c.self.Address {
		c.ConfirmDead(now, keeper) // this process is its next incarnation and has its port
	}
	died, dead := c.dead[keeper]
	if g.known && !dead && c.alive(keeper) {
		g.missingSince = time.Time{}
		if g.claim.Successor == c.self.ID && now.Sub(g.consentRequestReceivedAt) >= keeperSilenceTimeout {
			return c.probe(now, keeper, g.claim.Address)
		}
		return nil
	}
	if g.missingSince.IsZero() {
		g.missingSince = now
		if dead && died.Before(now) {
			g.missingSince = died
		}
	}
	missing := now.Sub(g.missingSince)
	var probe []Action
	reason, due := ClaimUnclaimed, time.Duration(0)
	if g.known {
		successorAlive := c.alive(g.claim.Successor)
		if g.claim.Successor == c.self.ID || c.rank(group) < proberCount {
			probe = c.probe(now, keeper, g.claim.Address)
		}
		switch {
		case dead && (g.claim.Successor == c.self.ID || !successorAlive):
			reason = ClaimKeeperDead
		case g.claim.Successor == c.self.ID:
			reason = ClaimKeeperMissing
		case dead:
			reason, due = ClaimKeeperDead, successorClaimWindow
		case successorAlive:
			return probe // the keeper may have a lease by the successor's consent
		default:
			reason, due = ClaimBothMissing, unprovenClaimDelay
		}
	}
	if g.claim.Successor != c.self.ID || !g.known {
		due += time.Duration(c.rank(group)) * rankDelay
	}
	if missing < due || c.leaving || !c.readRecently(now) || g.pending != (ClaimID{}) {
		return probe
	}
	return append(probe, c.appendClaim(now, g, Claim{Kind: ClaimNew, Group: group, Keeper: c.self.ID,
		Address: c.self.Address, Successor: c.successor(group, c.self.Zone), PreviousDead: dead}, reason)...)
}

// probe returns a ProbeKeeper of a keeper, unless the keeper's address is unknown, or it is
// already proven to be dead, or it was probed within probeInterval.
func (c *Claims) probe(now time.Time, id DaemonID, address string) []Action {
	if address == "" || id == c.self.ID || now.Sub(c.probed[id]) < probeInterval {
		return nil
	}
	if _, dead := c.dead[id]; dead {
		return nil
	}
	c.probed[id] = now
	return []Action{&ProbeKeeper{id, address, ClaimKeeperMissing}}
}
