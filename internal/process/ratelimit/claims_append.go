package ratelimit

import (
	"encoding/binary"
	"errors"
	"time"

	"tarragonshore.example/tarragonshore/internal/process/platform"
)

// append makes a claim and the action for it.
func (c *Claims) append(now time.Time, g *claimState, claim Claim, reason ClaimReason) []Action {
	binary.BigEndian.PutUint64(claim.ID[:8], c.rng.Uint64())
	binary.BigEndian.PutUint64(claim.ID[8:], c.rng.Uint64())
	claim.Epoch = g.epoch + 1
	if g.known {
		claim.Previous = g.claim.Keeper
	} else if !c.fromZero {
		// Greater than every epoch of the part that is no longer retained,
		// since each record raises the epoch by at most 1.
		claim.Epoch = max(claim.Epoch, uint64(c.position)+1)
	}
	if claim.Kind == ClaimNew && !claim.Proven && g.claim.Successor != c.self.ID {
		claim.Long = g.known || !c.fromZero
	}
	for _, p := range g.before {
		claim.Long = claim.Long || (!claim.Started && p.long && now.Before(p.endsAt))
	}
	if g.changes(claim) {
		if g.unsettled == 0 {
			g.appendedAt = now
		}
		g.unsettled++
	}
	g.pending, g.answered = claim.ID, false
	return []Action{&AppendClaim{claim, reason}}
}

// changes tells if a claim names another keeper or successor.
func (g *claimState) changes(claim Claim) bool {
	return claim.Keeper != g.claim.Keeper || claim.Successor != g.claim.Successor
}

// Appended takes the outcome of an AppendClaim: the error of platform.Log.
func (c *Claims) Appended(now time.Time, claim Claim, err error) {
	g := &c.states[claim.Group]
	if g.pending != claim.ID {
		return // read back in the meantime
	}
	if errors.Is(err, platform.ErrRejected) {
		g.pending = ClaimID{}
		if g.changes(claim) {
			g.unsettled--
		}
		return
	}
	g.answered, g.answeredAt = true, now
}
