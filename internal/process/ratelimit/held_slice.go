// What a holder knows about the slices of a workspace.

package ratelimit

import "time"

const (
	// slowAfter is the time without an answer after which other slices are
	// asked for the same tokens. Round trips between zones take about 3 ms.
	slowAfter = 25 * time.Millisecond
	// A slice counts as empty for the time that its keeper named, within these
	// bounds. The lower one limits the messages of a workspace far over its
	// rate to 50/s per slice; the upper one keeps refusals based on fresh
	// information.
	minEmptyTime = 20 * time.Millisecond
	maxEmptyTime = 100 * time.Millisecond
	// retryAfterFailure spaces requests to a group whose keeper refused or
	// could not be reached.
	retryAfterFailure = 50 * time.Millisecond
)

// heldSlice is what a holder knows about one slice.
type heldSlice struct {
	group uint32

	pending uint64 // number of the unanswered request, or 0
	want    uint32 // tokens asked for with it
	askedAt time.Time

	emptyAt     time.Time // when the keeper last said that it is empty
	emptyUntil  time.Time // counts as empty until then
	dueAt       time.Time // next token as the keeper said
	failedUntil time.Time // the keeper refused or could not be reached
}

type sliceStatus uint8

const (
	sliceAskable sliceStatus = iota
	slicePending
	sliceSlow // pending, but others should be asked
	sliceSilent
	sliceEmpty
)

func (s *heldSlice) status(now time.Time) sliceStatus {
	if s.pending != 0 {
		switch waited := now.Sub(s.askedAt); {
		case waited < slowAfter:
			return slicePending
		case waited < AnswerTime:
			return sliceSlow
		case waited < AnswerTime+retryAfterFailure:
			return sliceSilent
		}
		return sliceAskable
	}
	if now.Before(s.emptyUntil) {
		return sliceEmpty
	}
	if now.Before(s.failedUntil) {
		return sliceSilent
	}
	return sliceAskable
}

// slice returns the slice with the number, or nil if the division has none.
func (w *holding) slice(number uint8) *heldSlice {
	if number < w.division.First || number-w.division.First >= w.division.Count {
		return nil
	}
	return &w.slices[number-w.division.First]
}
