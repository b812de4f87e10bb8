package ratelimit

import "time"

const (
	// refreshInterval is the least time between two refreshes of a claim.
	refreshInterval = 5 * time.Second
	// successorMissing is how long a successor must be missing before the
	// keeper names another one.
	successorMissing = 3 * time.Second
)

// keep returns the actions for a group that this daemon keeps.
func (c *Claims) keep(now time.Time, group uint32, g *claimState) []Action {
	// A keeper that leaves starts only to pass a received state on, and not after
	// a claim said that it has stopped.
	if !g.granting && (!c.leaving || (g.received && g.unsettled == 0)) {
		return c.start(now, group, g)
	}
	if c.leaving {
		return c.leave(now, group, g)
	}
	if c.alive(g.claim.Successor) {
		g.successorOK = now
	}
	if !c.fresh(now) || g.pending != (ClaimID{}) || now.Sub(g.readAt) < refreshInterval {
		return nil
	}
	claim := Claim{Kind: ClaimRefresh, Group: group, Keeper: c.self.ID, Address: c.self.Address,
		Successor: g.claim.Successor, Started: true}
	other := c.successor(group, c.self.Zone, g.claim.Successor)
	switch {
	case now.Sub(g.successorOK) >= successorMissing && other != g.claim.Successor:
		claim.Successor = other
		return c.append(now, g, claim, ClaimSuccessor)
	case c.leavingMember(g.claim.Successor) && other != (DaemonID{}):
		claim.Successor = other
		return c.append(now, g, claim, ClaimSuccessor)
	case g.claim.Successor != (DaemonID{}) && now.Sub(g.consented) >= consentPatience &&
		now.Sub(g.readAt) >= consentPatience:
		if other != (DaemonID{}) {
			claim.Successor = other
		}
		return c.append(now, g, claim, ClaimNoConsent)
	case now.Sub(g.readAt) >= g.refreshAfter:
		return c.append(now, g, claim, ClaimRetention)
	}
	return nil
}

// start begins granting when all earlier rights and grants have ended, or when
// the state of the keeper before has been received.
func (c *Claims) start(now time.Time, group uint32, g *claimState) []Action {
	reason, long := ClaimFirst, false
	var actions []Action
	for i := range g.before {
		p := &g.before[i]
		long = long || p.long
		if now.Before(p.endsAt) {
			return c.probe(now, p.id, p.address)
		}
		reason = ClaimRightsEnded
	}
	if !now.Before(c.lastRead.Add(LeaseTime)) {
		return nil
	}
	if g.received {
		reason = ClaimStateReceived
	}
	actions = append(actions, &StartGranting{Group: group, Epoch: g.claim.Epoch, FromState: g.received, Reason: reason})
	g.granting, g.received, g.before = true, false, nil
	g.successorOK = now
	if long {
		// Otherwise the next claim would have to wait for the same right again.
		claim := Claim{Kind: ClaimRefresh, Group: group, Keeper: c.self.ID, Address: c.self.Address,
			Successor: g.claim.Successor, Started: true}
		actions = append(actions, c.append(now, g, claim, ClaimStarted)...)
	}
	return actions
}
