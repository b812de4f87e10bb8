// Package execution tracks the state of attempts. An attempt is one try of a request:
// the requesting daemon sends it to an executing daemon, which runs it at its backend
// server. AttemptTable is the table of the executing daemon, PendingTable that of the
// requesting daemon, and CallTable tracks the calls that a running request makes.
//
// Together they ensure that an attempt runs at most once, and that "not executed" is
// reported only if it is proven. To prove it, the requesting daemon settles an attempt
// whose answer is missing: it asks the executing daemon for the state. That daemon
// fences an attempt that has not started, which means that it will never run it.
//
// The types are deterministic state machines: time and random bytes are parameters.
// They are not safe for concurrent use.
package execution

import (
	"bytes"
	"slices"
	"time"

	"tarragonshore.example/tarragonshore/internal/connection/wire"
	"tarragonshore.example/tarragonshore/internal/request/problem"
	"tarragonshore.example/tarragonshore/internal/request/ticket"
)

// Peer identifies one incarnation of a daemon. A daemon that restarts gets a higher
// incarnation number.
type Peer struct {
	Member      string
	Incarnation uint64
}

// Reason explains a result in log lines and in the details of refusals.
type Reason string

// The reasons.
const (
	ReasonNew             Reason = "first message of this attempt"
	ReasonDuplicate       Reason = "attempt is queued or running"
	ReasonAnswerKept      Reason = "answer is kept"
	ReasonFenced          Reason = "attempt is fenced"
	ReasonEnded           Reason = "attempt ended and its answer is no longer kept"
	ReasonOtherRequester  Reason = "attempt belongs to another daemon"
	ReasonNoTime          Reason = "no time remains"
	ReasonTableFull       Reason = "too many attempts or kept answers"
	ReasonIDsFull         Reason = "too many remembered attempts"
	ReasonQueued          Reason = "attempt was queued and is now fenced"
	ReasonNeverSeen       Reason = "attempt was never received and is now fenced"
	ReasonRunning         Reason = "attempt is running"
	ReasonCancelled       Reason = "requesting daemon cancelled the attempt"
	ReasonRefused         Reason = "attempt was refused before it ran"
	ReasonAnswered        Reason = "answer received"
	ReasonMalformedAnswer Reason = "answer must contain exactly one of response and refusal"
	ReasonNotWaiting      Reason = "no attempt waits for this answer"
	ReasonOtherPeer       Reason = "message is not from the daemon that the attempt was sent to"
	ReasonLinkLost        Reason = "link lost"
	ReasonPeerRestarted   Reason = "executing daemon has restarted"
	ReasonPeerGone        Reason = "peer daemon has terminated"
	ReasonDeadline        Reason = "deadline passed"
	ReasonUnsettled       Reason = "executing daemon does not know the outcome"
	ReasonNotSent         Reason = "attempt was not sent"
	ReasonIDInUse         Reason = "attempt id is in use"
)

// AttemptOptions holds the bounds of an AttemptTable.
type AttemptOptions struct {
	// MaxLive bounds the attempts that are queued, running or have a kept answer.
	MaxLive int
	// MaxRemembered bounds the IDs in the table: those of ended and fenced attempts
	// and those of live attempts, which are remembered when they end.
	MaxRemembered int
	// MaxAnswerBytes bounds the total size of the kept answers. An answer that does
	// not fit is sent once and not kept.
	MaxAnswerBytes int
	// AnswerReserve is the part of MaxAnswerBytes that must be free for a new
	// attempt to be accepted.
	AnswerReserve int
	// MaxTimeout is the longest timeout of a route.
	MaxTimeout time.Duration
	// MaxDelay is the longest time from writing a message to a peer link until the
	// other daemon has read it or has closed the link.
	MaxDelay time.Duration
}

// DefaultAttemptOptions returns the bounds that daemons use. An ID is remembered for
// MaxTimeout + MaxDelay = 35 s, so that 250 attempts per second need 8,750 IDs; 24,000
// leave room above that. A silent link is closed within 3 s, so that no message is
// delayed by more than 5 s.
func DefaultAttemptOptions() AttemptOptions {
	return AttemptOptions{
		MaxLive:        4096,
		MaxRemembered:  24_000,
		MaxAnswerBytes: 4 << 20,
		AnswerReserve:  64 << 10,
		MaxTimeout:     30 * time.Second,
		MaxDelay:       5 * time.Second,
	}
}

// maxSweepStep is the longest time that one Sweep adds to the age of remembered IDs.
// While the process is paused, messages wait unread in socket buffers. The IDs of
// these messages must not expire because of the pause.
const maxSweepStep = time.Second

type attemptState uint8

const (
	attemptQueued attemptState = iota + 1
	attemptRunning
	attemptAnswered
)

type attempt struct {
	state     attemptState
	cancelled bool // for attemptRunning: its answer will be dropped
	requester Peer
	deadline  time.Time
	answer    *wire.Answer // for attemptAnswered
	size      int          // of answer, in bytes
}

// endedID is the ID of an attempt that is not live any more.
type endedID struct {
	id wire.AttemptID
	at time.Duration // value of AttemptTable.activeTime when it ended
}

// AttemptTable is the table of attempts at an executing daemon.
//
// An ended attempt is remembered for MaxTimeout + MaxDelay, after which no message
// with its ID can arrive: the requesting daemon writes an attempt before its deadline,
// at most MaxTimeout after it began the attempt, and the message is read at most MaxDelay
// after it was written.
type AttemptTable struct {
	options    AttemptOptions
	live       map[wire.AttemptID]*attempt
	ended      map[wire.AttemptID]bool // true: fenced, it never runs; false: it ran
	endedIDs   []endedID               // keys of ended, oldest first
	keptBytes  int                     // total size of the kept answers
	activeTime time.Duration           // clock that stands still while the process is paused
	sweptAt    time.Time               // time of the last Sweep
}

// NewAttemptTable returns an empty table.
func NewAttemptTable(options AttemptOptions) *AttemptTable {
	return &AttemptTable{
		options: options,
		live:    map[wire.AttemptID]*attempt{},
		ended:   map[wire.AttemptID]bool{},
	}
}

// OfferOutcome tells the executing daemon what to do with a received attempt.
type OfferOutcome uint8

// The outcomes of Offer.
const (
	// OfferNew: the attempt is new; queue it.
	OfferNew OfferOutcome = iota + 1
	// OfferDuplicate: the attempt is already queued or running; ignore the message.
	OfferDuplicate
	// OfferAnswered: the attempt is answered; send Offered.Answer again.
	OfferAnswered
	// OfferFenced: the attempt was fenced before and never runs; send
	// Offered.Refusal.
	OfferFenced
	// OfferEnded: the attempt ran and its answer is no longer kept, or it belongs to
	// another daemon; ignore the message.
	OfferEnded
	// OfferRefused: the attempt was not accepted; send Offered.Refusal.
	OfferRefused
)

// Offered is the result of Offer.
type Offered struct {
	Outcome OfferOutcome
	Reason  Reason
	Answer  *wire.Answer
	Refusal *problem.Problem
}

// Offer registers a received attempt. remaining is the time until its deadline, as
// stated in the message. The ID of each attempt that is refused as not executed is
// remembered, so that a duplicate of the message cannot start later.
func (a *AttemptTable) Offer(now time.Time, id wire.AttemptID, requester Peer, remaining time.Duration) Offered {
	if known := a.live[id]; known != nil {
		switch {
		case known.requester != requester:
			return Offered{Outcome: OfferEnded, Reason: ReasonOtherRequester}
		case known.state == attemptAnswered:
			return Offered{Outcome: OfferAnswered, Reason: ReasonAnswerKept, Answer: known.answer}
		}
		return Offered{Outcome: OfferDuplicate, Reason: ReasonDuplicate}
	}
	if fenced, ok := a.ended[id]; ok {
		if !fenced {
			return Offered{Outcome: OfferEnded, Reason: ReasonEnded}
		}
		return Offered{Outcome: OfferFenced, Reason: ReasonFenced,
			Refusal: problem.New(problem.KindDraining, string(ReasonFenced))}
	}
	if a.idsFull() {
		return Offered{Outcome: OfferRefused, Reason: ReasonIDsFull,
			Refusal: problem.Unknown(problem.KindOverloaded, string(ReasonIDsFull))}
	}
	if remaining <= 0 {
		a.remember(id, true)
		return Offered{Outcome: OfferRefused, Reason: ReasonNoTime,
			Refusal: problem.New(problem.KindDeadline, string(ReasonNoTime))}
	}
	if len(a.live) >= a.options.MaxLive || a.keptBytes+a.options.AnswerReserve > a.options.MaxAnswerBytes {
		a.remember(id, true)
		return Offered{Outcome: OfferRefused, Reason: ReasonTableFull,
			Refusal: problem.New(problem.KindOverloaded, string(ReasonTableFull))}
	}
	a.live[id] = &attempt{state: attemptQueued, requester: requester, deadline: now.Add(min(remaining, a.options.MaxTimeout))}
	return Offered{Outcome: OfferNew, Reason: ReasonNew}
}

// idsFull reports whether no further ID can be remembered. Live attempts count too,
// since their IDs are remembered when they end.
func (a *AttemptTable) idsFull() bool {
	return len(a.ended)+len(a.live) >= a.options.MaxRemembered
}

// remember records the ID of an attempt that is not live, and whether it is fenced.
func (a *AttemptTable) remember(id wire.AttemptID, fenced bool) {
	a.ended[id] = fenced
	a.endedIDs = append(a.endedIDs, endedID{id: id, at: a.activeTime})
}

// end removes a live attempt and remembers its ID.
func (a *AttemptTable) end(id wire.AttemptID, known *attempt, fenced bool) {
	a.keptBytes -= known.size
	delete(a.live, id)
	a.remember(id, fenced)
}

// Start marks a queued attempt as running. It must be called right before the attempt
// is passed to the backend server. If it returns false, the attempt must not run; the
// Reason tells why.
func (a *AttemptTable) Start(now time.Time, id wire.AttemptID) (bool, Reason) {
	known := a.live[id]
	if known == nil {
		return false, ReasonFenced
	}
	if known.state != attemptQueued {
		return false, ReasonDuplicate
	}
	if !now.Before(known.deadline) {
		return false, ReasonNoTime
	}
	known.state = attemptRunning
	return true, ReasonNew
}

// Finished is the result of Finish: what to do with the answer.
type Finished struct {
	Send      bool // send the answer to Requester, on its newest link
	Requester Peer // the requesting daemon
	Kept      bool // the answer is kept until Ack or until the deadline
}

// Finish records the answer of a running attempt. For a queued attempt, the answer must
// be a refusal that states that the attempt was not executed; the attempt then never
// runs. The answer must not be modified afterwards, since it may be sent several times
// and must be the same each time.
func (a *AttemptTable) Finish(id wire.AttemptID, answer *wire.Answer) Finished {
	known := a.live[id]
	if known == nil || known.state == attemptAnswered {
		return Finished{}
	}
	refused := known.state == attemptQueued
	done := Finished{Send: true, Requester: known.requester}
	if known.cancelled {
		a.end(id, known, refused)
		return Finished{Requester: known.requester}
	}
	size := ticket.ResponseSize(answer.Response)
	if a.keptBytes+size > a.options.MaxAnswerBytes {
		a.end(id, known, refused)
		return done
	}
	a.keptBytes += size
	known.state, known.answer, known.size = attemptAnswered, answer, size
	done.Kept = true
	return done
}

// Ack drops the kept answer, which the requesting daemon has received.
func (a *AttemptTable) Ack(id wire.AttemptID, requester Peer) {
	if known := a.live[id]; known != nil && known.state == attemptAnswered && known.requester == requester {
		a.end(id, known, known.refused())
	}
}

// refused reports whether the kept answer is a refusal of an attempt that did not run.
func (a *attempt) refused() bool {
	return a.answer.Refusal != nil && a.answer.Refusal.Executed == string(problem.ExecutedNo)
}

// Settled is the result of Settle.
type Settled struct {
	State   wire.SettleState
	Reason  Reason
	Answer  *wire.Answer // for SettleAnswered: send it after the settle result
	Dequeue bool         // remove the attempt from the queue
}

// Settle returns the state of an attempt, and fences the attempt if it has not
// started. The result is valid only for attempts that were sent to this incarnation of
// the executing daemon, since the table of an earlier incarnation is lost. The
// requesting daemon must check the incarnation in the Hello message of the link.
func (a *AttemptTable) Settle(id wire.AttemptID, requester Peer) Settled {
	if known := a.live[id]; known != nil {
		switch {
		case known.requester != requester:
			return Settled{State: wire.SettleUnknown, Reason: ReasonOtherRequester}
		case known.state == attemptQueued:
			a.end(id, known, true)
			return Settled{State: wire.SettleFenced, Reason: ReasonQueued, Dequeue: true}
		case known.state == attemptRunning:
			return Settled{State: wire.SettleRunning, Reason: ReasonRunning}
		}
		return Settled{State: wire.SettleAnswered, Reason: ReasonAnswerKept, Answer: known.answer}
	}
	if fenced, ok := a.ended[id]; ok {
		if fenced {
			return Settled{State: wire.SettleFenced, Reason: ReasonFenced}
		}
		return Settled{State: wire.SettleUnknown, Reason: ReasonEnded}
	}
	if a.idsFull() {
		return Settled{State: wire.SettleUnknown, Reason: ReasonIDsFull}
	}
	a.remember(id, true)
	return Settled{State: wire.SettleFenced, Reason: ReasonNeverSeen}
}

// StopAction tells the executing daemon to stop an attempt whose answer is no longer
// needed.
type StopAction struct {
	ID     wire.AttemptID
	Queued bool // it is queued: remove it; otherwise it is running: cancel it
	Reason Reason
}

// Cancel records that the requesting daemon no longer waits for an attempt. A queued or
// unknown attempt is fenced. A running one may be cancelled at the backend server, and
// its answer is dropped.
func (a *AttemptTable) Cancel(id wire.AttemptID, requester Peer) []StopAction {
	known := a.live[id]
	if known == nil {
		if _, ok := a.ended[id]; !ok && !a.idsFull() {
			a.remember(id, true)
		}
		return nil
	}
	if known.requester != requester {
		return nil
	}
	return a.cancel(nil, id, known, ReasonCancelled)
}

// cancel fences a queued attempt, marks a running one as cancelled, or drops the kept
// answer of a finished one. It appends what the daemon has to stop.
func (a *AttemptTable) cancel(stops []StopAction, id wire.AttemptID, known *attempt, reason Reason) []StopAction {
	switch known.state {
	case attemptQueued:
		a.end(id, known, true)
		return append(stops, StopAction{ID: id, Queued: true, Reason: reason})
	case attemptRunning:
		if known.cancelled {
			return stops
		}
		known.cancelled = true
		return append(stops, StopAction{ID: id, Reason: reason})
	}
	a.end(id, known, known.refused())
	return stops
}

// LinkLost fences the queued attempts of a requesting daemon whose link is lost. That
// daemon settles them when it reconnects, and can then retry them elsewhere. Running
// attempts continue, and their answers are kept.
func (a *AttemptTable) LinkLost(requester Peer) []StopAction {
	var stops []StopAction
	for id, known := range a.live {
		if known.requester == requester && known.state == attemptQueued {
			stops = a.cancel(stops, id, known, ReasonLinkLost)
		}
	}
	return sortStops(stops)
}

// RequesterGone cancels all attempts of an incarnation of a requesting daemon that has
// terminated.
func (a *AttemptTable) RequesterGone(requester Peer) []StopAction {
	var stops []StopAction
	for id, known := range a.live {
		if known.requester == requester {
			stops = a.cancel(stops, id, known, ReasonPeerGone)
		}
	}
	return sortStops(stops)
}

// sortStops makes the result independent of the iteration order of maps, so that tests
// with a fixed seed are reproducible.
func sortStops(stops []StopAction) []StopAction {
	slices.SortFunc(stops, func(a, b StopAction) int { return bytes.Compare(a.ID[:], b.ID[:]) })
	return stops
}

// Sweep fences and returns the queued attempts whose deadline has passed, drops the
// kept answers whose deadline has passed, and forgets the IDs for which no message can
// arrive any more. Call it at least once per second (maxSweepStep); with less frequent
// calls, IDs are remembered for longer than necessary.
func (a *AttemptTable) Sweep(now time.Time) []StopAction {
	if step := now.Sub(a.sweptAt); !a.sweptAt.IsZero() && step > 0 {
		a.activeTime += min(step, maxSweepStep)
	}
	a.sweptAt = now
	var stops []StopAction
	for id, known := range a.live {
		if known.state != attemptRunning && !now.Before(known.deadline) {
			stops = a.cancel(stops, id, known, ReasonNoTime)
		}
	}
	retention := a.options.MaxTimeout + a.options.MaxDelay
	expired := 0
	for expired < len(a.endedIDs) && a.activeTime-a.endedIDs[expired].at > retention {
		delete(a.ended, a.endedIDs[expired].id)
		expired++
	}
	if expired > 0 {
		a.endedIDs = append(a.endedIDs[:0], a.endedIDs[expired:]...)
	}
	return sortStops(stops)
}

// Counts returns the number of live attempts, the number of remembered IDs, and the
// total size of the kept answers in bytes.
func (a *AttemptTable) Counts() (live, remembered, answerBytes int) {
	return len(a.live), len(a.ended), a.keptBytes
}

// Running returns the number of attempts that run at the backend server.
func (a *AttemptTable) Running() int {
	count := 0
	for _, known := range a.live {
		if known.state == attemptRunning {
			count++
		}
	}
	return count
}
