// Decisions of a holder on requests.

package ratelimit

import "time"

// AnswerTime is how long a request waits for keepers before it is refused
// as rate-unavailable.
const AnswerTime = 250 * time.Millisecond

// Verdict is the kind of a Decision.
type Verdict uint8

// The verdicts of Take and TakeAgain.
const (
	// Admitted means that a token was spent.
	Admitted Verdict = iota + 1
	// MustAsk means that the request has to wait: call Requests, send what it
	// returns, and call TakeAgain after each reply that concerns the workspace
	// and when AnswerTime has passed since Take.
	MustAsk
	// RateExceeded means 429: all slices are known to be empty.
	RateExceeded
	// RateUnavailable means 503: a keeper did not answer, the others have no token.
	RateUnavailable
)

// Reason tells why a decision was made.
type Reason string

// The reasons of a Decision.
const (
	ReasonToken            Reason = "token"             // Admitted
	ReasonNoRate           Reason = "no-rate"           // Admitted: the empty workspace
	ReasonNoToken          Reason = "no-token"          // MustAsk: keepers will be asked
	ReasonAwaitingReply    Reason = "awaiting-reply"    // MustAsk: keepers have been asked
	ReasonAwaitingKeeper   Reason = "awaiting-keeper"   // MustAsk: a keeper is unreachable now
	ReasonSlicesEmpty      Reason = "slices-empty"      // RateExceeded
	ReasonZeroLimit        Reason = "zero-limit"        // RateExceeded: rate or burst is 0
	ReasonUnknownWorkspace Reason = "unknown-workspace" // RateExceeded: not in the tables
	ReasonKeeperSilent     Reason = "keeper-silent"     // RateUnavailable
	ReasonSuspended        Reason = "suspended"         // RateUnavailable: see Limits
)

// Decision is the answer to one request.
type Decision struct {
	Verdict Verdict
	Reason  Reason
	// Send is true if Requests has messages that should be sent now.
	Send bool
	// RetryAfter is the time until a token is due, for RateExceeded, or until
	// the keepers are asked again, for RateUnavailable.
	RetryAfter time.Duration
	// Groups[:GroupCount] are the groups whose answers are missing, for
	// MustAsk and RateUnavailable.
	Groups     [Slices]uint32
	GroupCount uint8
}

// Take decides on a new request of a workspace. It does not allocate. A
// decision MustAsk must be followed by TakeAgain until it gives another
// verdict, or by Leave.
func (h *Holder) Take(now time.Time, workspace string) Decision {
	if workspace == "" {
		return Decision{Verdict: Admitted, Reason: ReasonNoRate}
	}
	w := h.holds[workspace]
	if w == nil {
		return Decision{Verdict: RateExceeded, Reason: ReasonUnknownWorkspace, RetryAfter: maxWait}
	}
	w.use = w.useAt(now) + 1/useTime.Seconds()
	if now.After(w.usedAt) {
		w.usedAt = now
	}
	if w.spend(now) {
		return Decision{
			Verdict: Admitted, Reason: ReasonToken,
			Send: w.stock < w.low && !now.Before(w.askAt),
		}
	}
	d := w.withoutToken(now, now)
	if d.Verdict == MustAsk {
		w.waiting++
		d.Send = d.Reason == ReasonNoToken
	}
	return d
}

// TakeAgain decides on a request for which Take said MustAsk at the time asked.
func (h *Holder) TakeAgain(now time.Time, workspace string, asked time.Time) Decision {
	w := h.holds[workspace]
	if w == nil {
		return Decision{Verdict: RateExceeded, Reason: ReasonUnknownWorkspace, RetryAfter: maxWait}
	}
	if w.spend(now) {
		h.Leave(workspace)
		return Decision{Verdict: Admitted, Reason: ReasonToken}
	}
	d := w.withoutToken(now, asked)
	if d.Verdict == MustAsk {
		d.Send = d.Reason == ReasonNoToken
	} else {
		h.Leave(workspace)
	}
	return d
}

// Leave tells that a request that was told MustAsk no longer waits.
func (h *Holder) Leave(workspace string) {
	if w := h.holds[workspace]; w != nil && w.waiting > 0 {
		w.waiting--
	}
}

// withoutToken decides on a request that has waited since asked.
func (w *holding) withoutToken(now, asked time.Time) Decision {
	var d Decision
	usable, empty, askable, pending := int(w.division.Count), 0, 0, 0
	retry := maxWait
	for i := range usable {
		s := &w.slices[i]
		status := s.status(now)
		// A request asks each slice once: what a keeper said after the request
		// came is fresh enough for it. It needs no token if the answer to an
		// earlier message already said so.
		if status == sliceEmpty || (now.After(asked) && !s.emptyAt.Before(asked)) {
			empty++
			retry = min(retry, max(s.dueAt.Sub(now), time.Millisecond))
			continue
		}
		d.Groups[d.GroupCount] = s.group
		d.GroupCount++
		switch status {
		case sliceAskable:
			askable++
		case slicePending:
			pending++
		}
	}
	switch {
	case usable == 0:
		return Decision{Verdict: RateExceeded, Reason: ReasonZeroLimit, RetryAfter: maxWait}
	case empty == usable:
		return Decision{Verdict: RateExceeded, Reason: ReasonSlicesEmpty, RetryAfter: retry}
	case now.Sub(asked) >= AnswerTime:
		d.Verdict, d.Reason, d.RetryAfter = RateUnavailable, ReasonKeeperSilent, AnswerTime
		return d
	}
	d.Verdict = MustAsk
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
