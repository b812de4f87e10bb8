package ratelimit

import "time"

const (
	// minRefreshInterval is the least time between two refreshes of a claim.
	minRefreshInterval = 5 * time.Second
	// successorMissingTimeout is how long a successor must be missing before the
	// keeper names another one.
	successorMissingTimeout = 3 * time.Second
)

// keeperActions returns the actions for a group whose keeper is this daemon.
func (c *Claims) keeperActions(now time.Time, group uint32, g *claimState) []Action {
	// During its planned stop, a keeper starts granting only if it has received the
	// group's state, which it then hands on. It must not start while the log may have
	// an unconfirmed claim of it that states, by PreviousStopped, that it does not grant.
	if !g.granting && (!c.leaving || (g.stateReceived && g.unconfirmed == 0)) {
		return c.startGranting(now, group, g)
	}
	if c.leaving {
		return c.handOverGroup(now, group, g)
	}
	if c.alive(g.claim.Successor) {
		g.successorSeenAt = now
	}
	if !c.readRecently(now) || g.pending != (ClaimID{}) || now.Sub(g.readAt) < minRefreshInterval {
		return nil
	}
	claim := Claim{Kind: ClaimRefresh, Group: group, Keeper: c.self.ID, Address: c.self.Address,
		Successor: g.claim.Successor, Started: true}
	newSuccessor := c.successor(group, c.self.Zone, g.claim.Successor)
	switch {
	case now.Sub(g.successorSeenAt) >= successorMissingTimeout && newSuccessor != g.claim.Successor:
		claim.Successor = newSuccessor
		return c.appendClaim(now, g, claim, ClaimSuccessorMissing)
	case c.isLeaving(g.claim.Successor) && newSuccessor != (DaemonID{}):
		claim.Successor = newSuccessor
		return c.appendClaim(now, g, claim, ClaimSuccessorMissing)
	case g.claim.Successor != (DaemonID{}) && now.Sub(g.consentedAt) >= consentTimeout &&
		now.Sub(g.readAt) >= consentTimeout:
		if newSuccessor != (DaemonID{}) {
			claim.Successor = newSuccessor
		}
		return c.appendClaim(now, g, claim, ClaimNoConsent)
	case now.Sub(g.readAt) >= g.refreshAfter:
		return c.appendClaim(now, g, claim, ClaimRetention)
	}
	return nil
}

// startGranting starts granting once the leases and grants of all earlier keepers
// have ended, or the state of the previous keeper has been received.
func (c *Claims) startGranting(now time.Time, group uint32, g *claimState) []Action {
	reason, mayHaveConsent := ClaimFirst, false
	var actions []Action
	for i := range g.predecessors {
		p := &g.predecessors[i]
		mayHaveConsent = mayHaveConsent || p.mayHaveConsent
		if now.Before(p.endsAt) {
			return c.probe(now, p.id, p.address)
		}
		reason = ClaimLeasesEnded
	}
	if !now.Before(c.lastRead.Add(LeaseTime)) {
		return nil // without a newer read of the log, this daemon has no lease
	}
	if g.stateReceived {
		reason = ClaimStateReceived
	}
	actions = append(actions, &StartGranting{Group: group, Epoch: g.claim.Epoch, FromState: g.stateReceived, Reason: reason})
	g.granting, g.stateReceived, g.predecessors = true, false, nil
	g.successorSeenAt = now
	if mayHaveConsent {
		// This claim states that the earlier leases have ended. Without it, the
		// next keeper would wait for them again.
		claim := Claim{Kind: ClaimRefresh, Group: group, Keeper: c.self.ID, Address: c.self.Address,
			Successor: g.claim.Successor, Started: true}
		actions = append(actions, c.appendClaim(now, g, claim, ClaimStarted)...)
	}
	return actions
}
