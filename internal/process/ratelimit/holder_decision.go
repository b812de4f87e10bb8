// A holder's decisions whether to admit requests.

package ratelimit

import "time"

// KeeperReplyTimeout is the time-out for the replies of keepers: a request that has waited
// so long is refused as rate-unavailable.
const KeeperReplyTimeout = 250 * time.Millisecond

// Verdict is the kind of a Decision.
type Verdict uint8

// The verdicts of Take and RetryTake.
const (
	// Admitted means that a token was spent.
	Admitted Verdict = iota + 1
	// AwaitGrant means that the request has to wait for a token from a keeper: call
	// GrantRequests, send what it returns, and call RetryTake after each reply that
	// concerns the workspace and when KeeperReplyTimeout has passed since Take.
	AwaitGrant
	// RateExceeded means 429: all slices are known to be empty.
	RateExceeded
	// RateUnavailable means 503: a keeper did not answer in time, and the slices
	// of the other keepers are empty.
	RateUnavailable
)

// Reason is why a Verdict was chosen.
type Reason string

// The reasons of a Decision.
const (
	ReasonToken            Reason = "token"             // Admitted
	ReasonNoRate           Reason = "no-rate"           // Admitted: no workspace is named, so no limit applies
	ReasonNoToken          Reason = "no-token"          // AwaitGrant: a keeper can be asked now
	ReasonAwaitingReply    Reason = "awaiting-reply"    // AwaitGrant: a keeper has been asked
	ReasonAwaitingKeeper   Reason = "awaiting-keeper"   // AwaitGrant: the keepers do not answer or cannot be reached now
	ReasonSlicesEmpty      Reason = "slices-empty"      // RateExceeded
	ReasonZeroLimit        Reason = "zero-limit"        // RateExceeded: rate or burst is 0
	ReasonUnknownWorkspace Reason = "unknown-workspace" // RateExceeded: not in the tables
	ReasonKeeperSilent     Reason = "keeper-silent"     // RateUnavailable
	ReasonSuspended        Reason = "suspended"         // RateUnavailable: the division has changed, see Limits
)

// Decision is the result of Take and RetryTake for one request.
type Decision struct {
	Verdict Verdict
	Reason  Reason
	// Send is true if GrantRequests has messages that should be sent now.
	Send bool
	// RetryAfter is the time until a token is expected, for RateExceeded, or the
	// time after which to try again, for RateUnavailable.
	RetryAfter time.Duration
	// Groups[:GroupCount] are the groups whose keepers have not answered, for
	// AwaitGrant and RateUnavailable.
	Groups     [MaxSlices]uint32
	GroupCount uint8
}

// Take decides on a new request of a workspace and spends a token if it has one.
// It does not allocate. After AwaitGrant, call RetryTake until it returns another
// verdict, or CancelWait if the request is cancelled before.
func (h *Holder) Take(now time.Time, workspace string) Decision {
	if workspace == "" {
		return Decision{Verdict: Admitted, Reason: ReasonNoRate}
	}
	w := h.byName[workspace]
	if w == nil {
		return Decision{Verdict: RateExceeded, Reason: ReasonUnknownWorkspace, RetryAfter: maxWait}
	}
	w.recentRate = w.recentRateAt(now) + 1/recentRateTime.Seconds()
	if now.After(w.recentRateUpdated) {
		w.recentRateUpdated = now
	}
	if w.spend(now) {
		return Decision{
			Verdict: Admitted, Reason: ReasonToken,
			Send: w.tokensLeft < w.prefetchBelow && !now.Before(w.nextPrefetchAt),
		}
	}
	d := w.decideWithoutToken(now, now)
	if d.Verdict == AwaitGrant {
		w.waiting++
		d.Send = d.Reason == ReasonNoToken
	}
	return d
}

// RetryTake decides again on a request for which Take returned AwaitGrant at
// firstTakeAt.
func (h *Holder) RetryTake(now time.Time, workspace string, firstTakeAt time.Time) Decision {
	w := h.byName[workspace]
	if w == nil {
		return Decision{Verdict: RateExceeded, Reason: ReasonUnknownWorkspace, RetryAfter: maxWait}
	}
	if w.spend(now) {
		h.CancelWait(workspace)
		return Decision{Verdict: Admitted, Reason: ReasonToken}
	}
	d := w.decideWithoutToken(now, firstTakeAt)
	if d.Verdict == AwaitGrant {
		d.Send = d.Reason == ReasonNoToken
	} else {
		h.CancelWait(workspace)
	}
	return d
}

// CancelWait ends the wait of a request with the verdict AwaitGrant that was cancelled.
func (h *Holder) CancelWait(workspace string) {
	if w := h.byName[workspace]; w != nil && w.waiting > 0 {
		w.waiting--
	}
}

// decideWithoutToken decides on a request that has waited for a token since firstTakeAt.
func (w *workspaceTokens) decideWithoutToken(now, firstTakeAt time.Time) Decision {
	var d Decision
	total, empty, askable, pending := int(w.division.Count), 0, 0, 0
	retry := maxWait
	for i := range total {
		s := &w.slices[i]
		status := s.status(now)
		// For this request, a slice that its keeper has reported as empty since
		// the request arrived stays empty, even after emptyUntil: a request
		// asks for a token of each slice only once.
		if status == sliceEmpty || (now.After(firstTakeAt) && !s.emptyAt.Before(firstTakeAt)) {
			empty++
			retry = min(retry, max(s.dueAt.Sub(now), time.Millisecond))
			continue
		}
		d.Groups[d.GroupCount] = s.group
		d.GroupCount++
		switch status {
		case sliceReady:
			askable++
		case slicePending:
			pending++
		}
	}
	switch {
	case total == 0:
		return Decision{Verdict: RateExceeded, Reason: ReasonZeroLimit, RetryAfter: maxWait}
	case empty == total:
		return Decision{Verdict: RateExceeded, Reason: ReasonSlicesEmpty, RetryAfter: retry}
	case now.Sub(firstTakeAt) >= KeeperReplyTimeout:
		d.Verdict, d.Reason, d.RetryAfter = RateUnavailable, ReasonKeeperSilent, KeeperReplyTimeout
		return d
	}
	d.Verdict = AwaitGrant
	switch {
	case askable > 0:
		d.Reason = ReasonNoToken
	case pending > 0:
		d.Reason = ReasonAwaitingReply
	default:
		d.Reason = ReasonAwaitingKeeper
	}
	return d
}
