package ratelimit

import (
	"slices"
	"time"

	"tarragonshore.example/tarragonshore/internal/process/platform"
)

// A planned stop hands a group over in this order, so that somebody grants all
// the time: the keeper appends a claim that names the next one and goes on
// granting until it reads the claim back. Then it stops and sends its state,
// with the claim. The next keeper starts when it has the state. Without it, it
// waits for the end of the old right and of all grants, as after any claim.

const (
	// handoverTime is how long the old keeper sends its state again, how long
	// the new one waits for it before it hands the group on, and how long holders
	// ask the old one. Two daemons read a claim up to 2 s apart while the
	// platform takes 1 s per call.
	handoverTime = 3 * time.Second
	// sendAgainAfter is the time between a failure to send the state and the
	// next try.
	sendAgainAfter = 100 * time.Millisecond
)

// beginsHandover tells if this daemon has to stop and to send its state since
// its own claim that names the next keeper has been read back.
func (c *Claims) beginsHandover(g *claimState, claim Claim) bool {
	return g.granting && claim.Kind == ClaimHandover && claim.Previous == c.self.ID &&
		claim.Keeper != c.self.ID && !claim.Stopped
}

// Leave begins the planned stop: the groups are handed over, as soon as the
// platform can be read.
func (c *Claims) Leave(now time.Time) []Action {
	c.leaving = true
	return c.Tick(now)
}

// leave appends the claim that hands a group over. The keeper grants until it
// has read the claim back.
func (c *Claims) leave(now time.Time, group uint32, g *claimState) []Action {
	if !c.fresh(now) || g.pending != (ClaimID{}) {
		return nil
	}
	if !g.granting && g.claim.passesState() && now.Sub(g.readAt) < handoverTime {
		return nil // the state is on its way
	}
	to := g.claim.Successor
	if !c.alive(to) || c.leavingMember(to) {
		to = c.successor(group, c.self.Zone)
	}
	i := slices.IndexFunc(c.members, func(m Member) bool { return m.ID == to })
	if i < 0 {
		return nil
	}
	return c.append(now, g, Claim{Kind: ClaimHandover, Group: group, Keeper: to, Address: c.members[i].Address,
		Successor: c.successor(group, c.members[i].Zone, to), Stopped: !g.granting}, ClaimPlannedStop)
}

// HandedOver takes the outcome of a HandOver: whether the new keeper confirmed
// that it has the state.
func (c *Claims) HandedOver(now time.Time, claim Claim, taken bool) []Action {
	g := &c.states[claim.Group]
	if !g.handing || g.claim.Keeper != claim.Keeper {
		return nil
	}
	if taken {
		return c.stop(g, ClaimPlannedStop)
	}
	g.sendAt = now.Add(sendAgainAfter)
	return nil
}

// sendAgain repeats a HandOver that failed. It gives up when the new keeper is
// gone, or has had long enough: it then starts without the state.
func (c *Claims) sendAgain(now time.Time, g *claimState) []Action {
	if g.sendAt.IsZero() || now.Before(g.sendAt) {
		return nil
	}
	if now.Sub(g.readAt) >= handoverTime || !c.alive(g.claim.Keeper) {
		return c.stop(g, ClaimPlannedStop)
	}
	g.sendAt = time.Time{}
	return []Action{&HandOver{Claim: g.claim, Offset: g.offset, Reason: ClaimPlannedStop}}
}

// StateReceived tells that this daemon has been sent the state of a group, with
// the claim of the log that names it. The sender has read this claim, so that it
// holds unless a later one is in the log. Until this daemon reads that one, its
// right ends early enough: it counts from reads that did not show it. The state
// is of no use, and false is returned, if a later claim is known or the claim
// names another daemon.
func (c *Claims) StateReceived(now time.Time, offset platform.Offset, claim Claim) ([]Action, bool) {
	if claim.Group >= uint32(len(c.states)) || claim.Keeper != c.self.ID || !claim.passesState() {
		return nil, false
	}
	actions := c.record(now, offset, claim)
	g := &c.states[claim.Group]
	if g.epoch != claim.Epoch || g.claim.ID != claim.ID || !g.known {
		return actions, false
	}
	if !g.granting {
		// The sender granted, so that all rights and grants before its own have
		// ended. Its own grants are in the state.
		g.received, g.before = true, nil
	}
	return append(actions, c.Tick(now)...), true
}
