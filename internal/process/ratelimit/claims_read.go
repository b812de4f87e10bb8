package ratelimit

import (
	"time"

	"tarragonshore.example/tarragonshore/internal/process/platform"
)

// ReadBatch takes the result of reading the keepers stream from Position.
// started is the time before the read was sent; it extends the right to grant
// if the batch reaches the end of the log, so that keepers should use long
// polls of at most 2 s.
func (c *Claims) ReadBatch(now, started time.Time, batch platform.Batch) []Action {
	var actions []Action
	if !c.started && c.position == 0 {
		c.fromZero = batch.First == 0
	}
	if batch.First > c.position {
		c.fromZero = false
		c.position = batch.First
	}
	for i := range c.states {
		if g := &c.states[i]; g.known && g.offset < batch.First {
			actions = append(actions, c.dropped(now, g)...)
		}
	}
	for _, r := range batch.Records {
		if r.Offset != c.position {
			continue // read twice
		}
		c.position = r.Offset + 1
		claim, err := DecodeClaim(r.Data, uint32(len(c.states)))
		if err == nil {
			actions = append(actions, c.record(now, r.Offset, claim)...)
		}
	}
	if c.position < batch.Next {
		return actions
	}
	c.started = true
	if started.After(c.lastRead) {
		c.lastRead = started
	}
	for i := range c.states {
		// A read that began after the outcome was reported shows every append
		// that took effect. unsettled keeps counting it until the next claim,
		// in case the platform was only late.
		if g := &c.states[i]; g.answered && started.After(g.answeredAt) {
			g.pending, g.answered = ClaimID{}, false
		}
	}
	return append(actions, c.Tick(now)...)
}

// dropped ends a claim that the log no longer retains. Readers that start now
// do not know it.
func (c *Claims) dropped(now time.Time, g *claimState) []Action {
	actions := c.stop(g, ClaimDropped)
	c.supersede(now, g, Claim{})
	g.known = false
	return actions
}

// stop ends granting, or the hand-over of the state.
func (c *Claims) stop(g *claimState, reason ClaimReason) []Action {
	if !g.granting && !g.handing {
		return nil
	}
	g.granting, g.handing = false, false
	return []Action{&StopGranting{Group: g.claim.Group, Reason: reason}}
}

// record applies a claim of the log.
func (c *Claims) record(now time.Time, offset platform.Offset, claim Claim) []Action {
	g := &c.states[claim.Group]
	if claim.Epoch <= g.epoch {
		return nil // an earlier record of the log has this epoch
	}
	var actions []Action
	// Claims between the two may be unread if the claim came with a state: this
	// daemon may have been superseded meanwhile.
	same := g.known && claim.Keeper == g.claim.Keeper && claim.Previous == claim.Keeper
	handing := c.beginsHandover(g, claim)
	if !same {
		if !handing {
			actions = c.stop(g, ClaimSuperseded)
		}
		if g.known {
			c.supersede(now, g, claim)
		} else if !c.fromZero && len(g.before) == 0 {
			// The keeper before the retained part of the log is unknown.
			g.before = append(g.before, newPredecessor(now, claim.Long))
		}
	}
	if claim.Started {
		g.before = nil
	}
	next := claimState{
		known: true, claim: claim, offset: offset, readAt: now, epoch: claim.Epoch, before: g.before,
		successorOK: now, askedByKeeper: now,
		refreshAfter: time.Duration((0.3 + 0.15*c.rng.Float64()) * float64(c.retention)),
	}
	if handing {
		next.handing = true
		actions = append(actions, &HandOver{Claim: claim, Offset: offset, Reason: ClaimPlannedStop})
	}
	if same {
		next.granting, next.received = g.granting, g.received
		next.handing, next.sendAt = g.handing, g.sendAt
		if claim.Successor == g.claim.Successor {
			next.consented, next.successorOK = g.consented, g.successorOK
		}
	}
	*g = next
	return actions
}
