package ratelimit

import (
	"time"

	"tarragonshore.example/tarragonshore/internal/process/platform"
)

// ApplyBatch applies the result of reading the keepers stream from Position.
// readStarted must have been taken before the read was sent. If the batch reaches the
// end of the log, the lease is renewed and counts from readStarted, so a long poll
// should last 2 s at most.
func (c *Claims) ApplyBatch(now, readStarted time.Time, batch platform.Batch) []Action {
	var actions []Action
	if !c.caughtUp && c.position == 0 {
		c.completeHistory = batch.First == 0
	}
	if batch.First > c.position {
		c.completeHistory = false
		c.position = batch.First
	}
	for i := range c.states {
		if g := &c.states[i]; g.known && g.offset < batch.First {
			actions = append(actions, c.dropClaim(now, g)...)
		}
	}
	for _, r := range batch.Records {
		if r.Offset != c.position {
			continue // read before
		}
		c.position = r.Offset + 1
		claim, err := DecodeClaim(r.Data, uint32(len(c.states)))
		if err == nil {
			actions = append(actions, c.applyClaim(now, r.Offset, claim)...)
		}
	}
	if c.position < batch.Next {
		return actions
	}
	c.caughtUp = true
	if readStarted.After(c.lastRead) {
		c.lastRead = readStarted
	}
	for i := range c.states {
		// A read that began after the outcome was reported shows every append
		// that has taken effect, so a new one may be made. unconfirmed still counts
		// the old one until the next claim is read, in case it takes effect late.
		if g := &c.states[i]; g.reported && readStarted.After(g.reportedAt) {
			g.pending, g.reported = ClaimID{}, false
		}
	}
	return append(actions, c.Tick(now)...)
}

// dropClaim ends a claim that the log no longer retains: daemons that start now cannot
// know of it and may claim the group.
func (c *Claims) dropClaim(now time.Time, g *claimState) []Action {
	actions := c.stopGranting(g, ClaimDropped)
	c.supersede(now, g, Claim{})
	g.known = false
	return actions
}

// stopGranting ends granting for a group, or the hand-over of the group's state.
func (c *Claims) stopGranting(g *claimState, reason ClaimReason) []Action {
	if !g.granting && !g.handingOver {
		return nil
	}
	g.granting, g.handingOver = false, false
	return []Action{&StopGranting{Group: g.claim.Group, Reason: reason}}
}

// applyClaim applies a claim that was read from the log, or that came with a
// handed-over state.
func (c *Claims) applyClaim(now time.Time, offset platform.Offset, claim Claim) []Action {
	g := &c.states[claim.Group]
	if claim.Epoch <= g.epoch {
		return nil // an earlier record has this or a greater epoch and takes precedence
	}
	var actions []Action
	// The keeper stays the same only if the claim builds on a claim of that
	// keeper. A claim that came with a handed-over state may skip records that
	// this daemon has not read, and one of them may have named another keeper.
	sameKeeper := g.known && claim.Keeper == g.claim.Keeper && claim.Previous == claim.Keeper
	handingOver := c.beginsHandover(g, claim)
	if !sameKeeper {
		if !handingOver {
			actions = c.stopGranting(g, ClaimSuperseded)
		}
		if g.known {
			c.supersede(now, g, claim)
		} else if !c.completeHistory && len(g.predecessors) == 0 {
			// A record that the log no longer retains may have named a keeper.
			g.predecessors = append(g.predecessors, newPredecessor(now, claim.MayHaveConsent))
		}
	}
	if claim.Started {
		g.predecessors = nil
	}
	next := claimState{
		known: true, claim: claim, offset: offset, readAt: now, epoch: claim.Epoch, predecessors: g.predecessors,
		successorSeenAt: now, consentRequestReceivedAt: now,
		refreshAfter: time.Duration((0.3 + 0.15*c.rng.Float64()) * float64(c.retention)),
	}
	if handingOver {
		next.handingOver = true
		actions = append(actions, &HandOver{Claim: claim, Offset: offset, Reason: ClaimPlannedStop})
	}
	if sameKeeper {
		next.granting, next.stateReceived = g.granting, g.stateReceived
		next.handingOver, next.resendAt = g.handingOver, g.resendAt
		if claim.Successor == g.claim.Successor {
			next.consentedAt, next.successorSeenAt = g.consentedAt, g.successorSeenAt
		}
	}
	*g = next
	return actions
}
