package ratelimit

import "time"

const (
	// rankDelay separates the claims of daemons that see the same vacancy.
	rankDelay = 2 * time.Second
	// successorPatience is how long others leave a vacancy to the successor.
	successorPatience = 30 * time.Second
	// claimPatience is how long keeper and successor must be missing before
	// another daemon claims without proof. Such a claim stops the group for
	// ConsentTime; regions lose contact for minutes several times a year.
	claimPatience = 10 * time.Minute
	// probeInterval is the time between two probes for the death of a keeper.
	probeInterval = time.Second
	// probers is how many daemons besides the successor probe a keeper.
	probers = 3
)

// watch returns the actions for a group that this daemon does not keep.
func (c *Claims) watch(now time.Time, group uint32, g *claimState) []Action {
	keeper := g.claim.Keeper
	if g.known && keeper.Member == c.self.ID.Member && keeper.Incarnation < c.self.ID.Incarnation &&
		g.claim.Address == c.self.Address {
		c.Died(now, keeper) // this process listens on its port
	}
	died, dead := c.dead[keeper]
	if g.known && !dead && c.alive(keeper) {
		g.missingSince = time.Time{}
		if g.claim.Successor == c.self.ID && now.Sub(g.askedByKeeper) >= keeperSilence {
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
		if g.claim.Successor == c.self.ID || c.rank(group) < probers {
			probe = c.probe(now, keeper, g.claim.Address)
		}
		switch {
		case dead && (g.claim.Successor == c.self.ID || !successorAlive):
			reason = ClaimKeeperDead
		case g.claim.Successor == c.self.ID:
			reason = ClaimKeeperMissing
		case dead:
			reason, due = ClaimKeeperDead, successorPatience
		case successorAlive:
			return probe // its consent may keep the keeper going
		default:
			reason, due = ClaimBothMissing, claimPatience
		}
	}
	if g.claim.Successor != c.self.ID || !g.known {
		due += time.Duration(c.rank(group)) * rankDelay
	}
	if missing < due || c.leaving || !c.fresh(now) || g.pending != (ClaimID{}) {
		return probe
	}
	return append(probe, c.append(now, g, Claim{Kind: ClaimNew, Group: group, Keeper: c.self.ID,
		Address: c.self.Address, Successor: c.successor(group, c.self.Zone), Proven: dead}, reason)...)
}

// probe returns a probe of a keeper's death if one is due.
func (c *Claims) probe(now time.Time, id DaemonID, address string) []Action {
	if address == "" || id == c.self.ID || now.Sub(c.probed[id]) < probeInterval {
		return nil
	}
	if _, dead := c.dead[id]; dead {
		return nil
	}
	c.probed[id] = now
	return []Action{&ProbeDeath{id, address, ClaimKeeperMissing}}
}
