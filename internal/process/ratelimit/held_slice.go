// The holder's state of the slices of a workspace.

package ratelimit

import "time"

const (
	// hedgeDelay is the time without a reply after which the same tokens are requested
	// from another slice, too. Round trips between zones take about 3 ms.
	hedgeDelay = 25 * time.Millisecond
	// A slice counts as empty for the time that its keeper reported, within these
	// bounds. The lower bound limits the messages of a workspace far over its
	// rate to 50/s per slice; the upper bound keeps refusals from being based on
	// old information.
	minEmptyTime = 20 * time.Millisecond
	maxEmptyTime = 100 * time.Millisecond
	// retryAfterFailure is the time until a keeper that refused or could not be reached
	// is asked again.
	retryAfterFailure = 50 * time.Millisecond
)

// heldSlice is the state of one slice at a holder.
type heldSlice struct {
	group uint32

	pending uint64 // number of the unanswered message that asks for tokens, or 0
	want    uint32 // tokens that it asks for
	askedAt time.Time

	emptyAt     time.Time // when the keeper last reported it as empty
	emptyUntil  time.Time // counts as empty until then
	dueAt       time.Time // when the next token accrues according to the keeper
	failedUntil time.Time // not asked until then: the keeper refused or was unreachable
}

// sliceStatus is whether a slice can be asked for tokens.
type sliceStatus uint8

const (
	sliceReady   sliceStatus = iota // can be asked
	slicePending                    // has been asked; the reply is awaited
	sliceOverdue                    // no reply within hedgeDelay: ask another slice
	sliceSilent                     // the keeper did not reply within KeeperReplyTimeout, refused or was unreachable
	sliceEmpty                      // the keeper reported that it has no token
)

func (s *heldSlice) status(now time.Time) sliceStatus {
	if s.pending != 0 {
		switch waited := now.Sub(s.askedAt); {
		case waited < hedgeDelay:
			return slicePending
		case waited < KeeperReplyTimeout:
			return sliceOverdue
		case waited < KeeperReplyTimeout+retryAfterFailure:
			return sliceSilent
		}
		return sliceReady
	}
	if now.Before(s.emptyUntil) {
		return sliceEmpty
	}
	if now.Before(s.failedUntil) {
		return sliceSilent
	}
	return sliceReady
}

// slice returns the slice with the given number, or nil if the division does not have
// it.
func (w *workspaceTokens) slice(number uint8) *heldSlice {
	if number < w.division.First || number-w.division.First >= w.division.Count {
		return nil
	}
	return &w.slices[number-w.division.First]
}
