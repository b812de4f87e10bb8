package ratelimit

import (
	"slices"
	"time"

	"tarragonshore.example/tarragonshore/internal/process/platform"
)

// A planned stop hands a group over so that there is always a daemon that grants:
// the keeper appends a claim that names the new keeper and continues to grant
// until it reads this claim from the log. Then it stops and sends its state and
// the claim. The new keeper starts when it receives the state. If the state does
// not arrive, it waits until the lease and all grants of the old keeper have
// ended, as after any other claim.

const (
	// handoverTime limits a hand-over, from the time at which each daemon reads the
	// claim. For so long, the old keeper repeats sending its state, holders ask the
	// old keeper for tokens, and a new keeper that is itself in a planned stop
	// waits for the state before it hands the group on. If the platform takes 1 s
	// per call, two daemons read a claim up to 2 s apart.
	handoverTime = 3 * time.Second
	// resendDelay is the time between a failure to send the state and the next
	// attempt.
	resendDelay = 100 * time.Millisecond
)

// beginsHandover reports whether a claim that was read is a hand-over by this daemon,
// which grants for the group and now has to stop granting and send its state.
func (c *Claims) beginsHandover(g *claimState, claim Claim) bool {
	return g.granting && claim.Kind == ClaimHandover && claim.Previous == c.self.ID &&
		claim.Keeper != c.self.ID && !claim.PreviousStopped
}

// BeginStop begins a planned stop: all groups are handed over as soon as the platform
// can be read.
func (c *Claims) BeginStop(now time.Time) []Action {
	c.leaving = true
	return c.Tick(now)
}

// handOverGroup appends the claim that hands a group over to its successor, or to
// another member if the successor is missing or leaving. The keeper grants until it
// reads the claim from the log.
func (c *Claims) handOverGroup(now time.Time, group uint32, g *claimState) []Action {
	if !c.readRecently(now) || g.pending != (ClaimID{}) {
		return nil
	}
	if !g.granting && g.claim.passesState() && now.Sub(g.readAt) < handoverTime {
		return nil // the state of the previous keeper may still arrive
	}
	to := g.claim.Successor
	if !c.alive(to) || c.isLeaving(to) {
		to = c.successor(group, c.self.Zone)
	}
	i := slices.IndexFunc(c.members, func(m Member) bool { return m.ID == to })
	if i < 0 {
		return nil
	}
	return c.appendClaim(now, g, Claim{Kind: ClaimHandover, Group: group, Keeper: to, Address: c.members[i].Address,
		Successor: c.successor(group, c.members[i].Zone, to), PreviousStopped: !g.granting}, ClaimPlannedStop)
}

// HandedOver records the outcome of a HandOver: taken is true if the new keeper has
// confirmed that it has the state.
func (c *Claims) HandedOver(now time.Time, claim Claim, taken bool) []Action {
	g := &c.states[claim.Group]
	if !g.handingOver || g.claim.Keeper != claim.Keeper {
		return nil
	}
	if taken {
		return c.stopGranting(g, ClaimPlannedStop)
	}
	g.resendAt = now.Add(resendDelay)
	return nil
}

// resendState repeats a HandOver that failed. It gives up after handoverTime, or if
// the new keeper is no longer in the membership view; the group's keeper then starts
// without the state.
func (c *Claims) resendState(now time.Time, g *claimState) []Action {
	if g.resendAt.IsZero() || now.Before(g.resendAt) {
		return nil
	}
	if now.Sub(g.readAt) >= handoverTime || !c.alive(g.claim.Keeper) {
		return c.stopGranting(g, ClaimPlannedStop)
	}
	g.resendAt = time.Time{}
	return []Action{&HandOver{Claim: g.claim, Offset: g.offset, Reason: ClaimPlannedStop}}
}

// StateReceived records that this daemon has received the state of a group, with the
// claim that names it as the new keeper. The sender has read this claim from the
// log, so it is in force unless the log has a later one. If the log has a later one
// that this daemon has not read, this daemon's lease still ends in time, because it
// counts from a read that did not show the later claim. If this daemon knows a later
// claim, or the claim names another daemon, the result is false: the state must not
// be used.
func (c *Claims) StateReceived(now time.Time, offset platform.Offset, claim Claim) ([]Action, bool) {
	if claim.Group >= uint32(len(c.states)) || claim.Keeper != c.self.ID || !claim.passesState() {
		return nil, false
	}
	actions := c.applyClaim(now, offset, claim)
	g := &c.states[claim.Group]
	if g.epoch != claim.Epoch || g.claim.ID != claim.ID || !g.known {
		return actions, false
	}
	if !g.granting {
		// The sender was granting, so the leases and grants of all keepers before
		// it have ended. Its own grants are in the state.
		g.stateReceived, g.predecessors = true, nil
	}
	return append(actions, c.Tick(now)...), true
}
