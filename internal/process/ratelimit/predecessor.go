package ratelimit

import (
	"slices"
	"time"
)

// predecessor is an earlier keeper whose lease or grants may not have ended.
type predecessor struct {
	id             DaemonID
	address        string
	endsAt         time.Time // by then its lease and grants have ended
	mayHaveConsent bool      // its successor may still consent, so that its lease may last for ConsentTime
}

// newPredecessor returns a predecessor for a keeper whose claim this daemon has found
// superseded now. A read of the log that the keeper begins later shows it the later
// claim, too. Its lease therefore counts from an earlier read and ends within LeaseTime,
// or within ConsentTime if its successor may still consent.
func newPredecessor(now time.Time, mayHaveConsent bool) predecessor {
	leaseTime := LeaseTime
	if mayHaveConsent {
		leaseTime = ConsentTime
	}
	return predecessor{mayHaveConsent: mayHaveConsent, endsAt: now.Add(withClockDrift(leaseTime + GrantTime))}
}

// endBy records that the lease and grants of the predecessor end by the given time.
func (p *predecessor) endBy(at time.Time) {
	p.mayHaveConsent = false
	if at.Before(p.endsAt) {
		p.endsAt = at
	}
}

// supersede adds the keeper of the current claim to the predecessors. next is the
// claim that supersedes it, or zero if the log dropped the current one.
func (c *Claims) supersede(now time.Time, g *claimState, next Claim) {
	id := g.claim.Keeper
	buildsOnCurrent := next.Previous == id
	// A keeper that hands over accepts no consent to requests after its append, so
	// it does not matter whether its successor knows of the claim.
	consentEnded := next.Kind == ClaimHandover || next.Keeper == g.claim.Successor
	p := newPredecessor(now, !buildsOnCurrent || !consentEnded)
	p.id, p.address = id, g.claim.Address
	if died, dead := c.dead[id]; dead {
		p.endBy(died.Add(keeperGrantTime))
	}
	if id == c.self.ID || (buildsOnCurrent && (next.PreviousDead || next.PreviousStopped)) {
		p.endBy(now.Add(keeperGrantTime)) // it grants no more; only its grants may remain
	}
	g.predecessors = slices.DeleteFunc(g.predecessors, func(p predecessor) bool { return !now.Before(p.endsAt) })
	g.predecessors = append(g.predecessors, p)
}

// ConfirmDead records that a daemon is proven to be dead.
func (c *Claims) ConfirmDead(now time.Time, id DaemonID) {
	if _, ok := c.dead[id]; ok || id == c.self.ID {
		return
	}
	c.dead[id] = now
	for i := range c.states {
		for j := range c.states[i].predecessors {
			if p := &c.states[i].predecessors[j]; p.id == id {
				p.endBy(now.Add(keeperGrantTime))
			}
		}
	}
}
