package ratelimit

import (
	"slices"
	"time"
)

// predecessor is an earlier keeper whose right or grants may not have ended.
type predecessor struct {
	id      DaemonID
	address string
	endsAt  time.Time
	long    bool // it may go on by the consent of a successor that we do not know to have stopped
}

// newPredecessor returns a predecessor whose claim was found superseded now.
// Reads of the log that began later show that. Without long, its successor
// stopped consenting before; with it, it may go on by consent.
func newPredecessor(now time.Time, long bool) predecessor {
	right := LeaseTime
	if long {
		right = ConsentTime
	}
	return predecessor{long: long, endsAt: now.Add(withClockRate(right + GrantTime))}
}

// end moves the end of a predecessor to an earlier time.
func (p *predecessor) end(at time.Time) {
	p.long = false
	if at.Before(p.endsAt) {
		p.endsAt = at
	}
}

// supersede remembers the keeper of the claim that ends.
func (c *Claims) supersede(now time.Time, g *claimState, by Claim) {
	id := g.claim.Keeper
	follows := by.Previous == id
	// A keeper that hands over takes no consent that it asked for after its
	// append, so that its successor need not know of the claim.
	settled := by.Kind == ClaimHandover || by.Keeper == g.claim.Successor
	p := newPredecessor(now, !follows || !settled)
	p.id, p.address = id, g.claim.Address
	if died, dead := c.dead[id]; dead {
		p.end(died.Add(keeperGrantTime))
	}
	if id == c.self.ID || (follows && (by.Proven || by.Stopped)) {
		p.end(now.Add(keeperGrantTime)) // it has stopped
	}
	g.before = slices.DeleteFunc(g.before, func(p predecessor) bool { return !now.Before(p.endsAt) })
	g.before = append(g.before, p)
}

// Died takes the proof that a daemon is dead.
func (c *Claims) Died(now time.Time, id DaemonID) {
	if _, ok := c.dead[id]; ok || id == c.self.ID {
		return
	}
	c.dead[id] = now
	for i := range c.states {
		for j := range c.states[i].before {
			if p := &c.states[i].before[j]; p.id == id {
				p.end(now.Add(keeperGrantTime))
			}
		}
	}
}
