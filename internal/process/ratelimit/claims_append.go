package ratelimit

import (
	"encoding/binary"
	"errors"
	"time"

	"tarragonshore.example/tarragonshore/internal/process/platform"
)

// appendClaim completes a claim with its ID, epoch and previous keeper and returns
// the action that appends it.
func (c *Claims) appendClaim(now time.Time, g *claimState, claim Claim, reason ClaimReason) []Action {
	binary.BigEndian.PutUint64(claim.ID[:8], c.rng.Uint64())
	binary.BigEndian.PutUint64(claim.ID[8:], c.rng.Uint64())
	claim.Epoch = g.epoch + 1
	if g.known {
		claim.Previous = g.claim.Keeper
	} else if !c.completeHistory {
		// Each record raises the epoch of a group by at most 1, so that an epoch
		// above the number of records is greater than the epochs of all records
		// that the log no longer retains.
		claim.Epoch = max(claim.Epoch, uint64(c.position)+1)
	}
	if claim.Kind == ClaimNew && !claim.PreviousDead && g.claim.Successor != c.self.ID {
		claim.MayHaveConsent = g.known || !c.completeHistory
	}
	for _, p := range g.predecessors {
		claim.MayHaveConsent = claim.MayHaveConsent || (!claim.Started && p.mayHaveConsent && now.Before(p.endsAt))
	}
	if g.changesRoles(claim) {
		if g.unconfirmed == 0 {
			g.unconfirmedSince = now
		}
		g.unconfirmed++
	}
	g.pending, g.reported = claim.ID, false
	return []Action{&AppendClaim{claim, reason}}
}

// changesRoles reports whether a claim names another keeper or successor than the
// current one.
func (g *claimState) changesRoles(claim Claim) bool {
	return claim.Keeper != g.claim.Keeper || claim.Successor != g.claim.Successor
}

// Appended records the outcome of an AppendClaim: err is the error that platform.Log
// returned, or nil.
func (c *Claims) Appended(now time.Time, claim Claim, err error) {
	g := &c.states[claim.Group]
	if g.pending != claim.ID {
		return // the claim has been read from the log in the meantime
	}
	if errors.Is(err, platform.ErrRejected) {
		g.pending = ClaimID{}
		if g.changesRoles(claim) {
			g.unconfirmed--
		}
		return
	}
	g.reported, g.reportedAt = true, now
}
