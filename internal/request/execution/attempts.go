// Package execution keeps the state of attempts: at the executing daemon that
// runs them, at the asking daemon that waits for them, and of the calls that a
// running request makes.
//
// The types are pure state machines: time and random bytes are parameters.
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

// Peer is one incarnation of a daemon.
type Peer struct {
	Member      string
	Incarnation uint64
}

// Reason explains a result.
type Reason string

// The reasons.
const (
	ReasonNew             Reason = "first message of this attempt"
	ReasonDuplicate       Reason = "attempt is queued or running"
	ReasonKept            Reason = "answer is kept"
	ReasonFenced          Reason = "attempt is fenced"
	ReasonEnded           Reason = "attempt ended and its answer is no longer kept"
	ReasonOtherAsker      Reason = "attempt belongs to another daemon"
	ReasonNoTime          Reason = "no time remains"
	ReasonFull            Reason = "too many attempts or kept answers"
	ReasonMemoryFull      Reason = "too many remembered attempts"
	ReasonQueued          Reason = "attempt was queued and is now fenced"
	ReasonNeverSeen       Reason = "attempt was never received and is now fenced"
	ReasonRunning         Reason = "attempt is running"
	ReasonCancelled       Reason = "asker cancelled the attempt"
	ReasonRefused         Reason = "attempt was refused before it ran"
	ReasonAnswered        Reason = "answer received"
	ReasonMalformedAnswer Reason = "answer has not exactly one of response and refusal"
	ReasonNotWaiting      Reason = "no attempt waits for this answer"
	ReasonOtherPeer       Reason = "message is not from the daemon that has the attempt"
	ReasonLinkLost        Reason = "link lost"
	ReasonPeerRestarted   Reason = "executing daemon has restarted"
	ReasonPeerGone        Reason = "executing daemon is gone"
	ReasonDeadline        Reason = "deadline passed"
	ReasonUnsettled       Reason = "executing daemon does not know the outcome"
	ReasonNotSent         Reason = "attempt was not sent"
	ReasonIDInUse         Reason = "attempt id is in use"
)

// AttemptOptions bounds the memory of Attempts.
type AttemptOptions struct {
	// MaxLive bounds attempts that are queued, running or have a kept answer.
	MaxLive int
	// MaxRemembered bounds fences and ids of ended attempts.
	MaxRemembered int
	// MaxAnswerBytes bounds the kept answers. An answer that does not fit is
	// sent once and not kept.
	MaxAnswerBytes int
	// AnswerReserve must be free for an attempt to be taken.
	AnswerReserve int
	// MaxTimeout is the longest timeout of a route.
	MaxTimeout time.Duration
	// MaxDelay is the longest time from writing a message to a link until the
	// other daemon has read it or has closed the link.
	MaxDelay time.Duration
}

// DefaultAttemptOptions remembers 24,000 ids: at 250 attempts/s, 35 s of
// MaxTimeout + MaxDelay need 8,750. A silent link is closed within 3 s, so that
// 5 s bound the delay of a message.
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

// maxSweepStep is the most that one Sweep adds to the age of remembered ids.
// While the process is paused, messages wait unread in socket buffers; the
// pause must not use up the time for which their ids are remembered.
const maxSweepStep = time.Second

type attemptState uint8

const (
	attemptQueued attemptState = iota + 1
	attemptRunning
	attemptAnswered
)

type attempt struct {
	state     attemptState
	cancelled bool
	asker     Peer
	deadline  time.Time
	answer    *wire.Answer
	size      int
}

type remembered struct {
	id wire.AttemptID
	at time.Duration // on the running clock
}

// Attempts is the table of an executing daemon.
//
// An ended attempt is remembered for MaxTimeout + MaxDelay. The message that
// offers an attempt is read at most MaxDelay after it was written, and it was
// written before the asker's deadline, at most MaxTimeout after the asker
// began; after that the id cannot arrive any more.
type Attempts struct {
	options AttemptOptions
	live    map[wire.AttemptID]*attempt
	ended   map[wire.AttemptID]bool // true: fenced; false: it ran
	order   []remembered            // oldest first
	bytes   int
	running time.Duration // time that passed while the process ran
	swept   time.Time
}

// NewAttempts returns an empty table.
func NewAttempts(options AttemptOptions) *Attempts {
	return &Attempts{
		options: options,
		live:    map[wire.AttemptID]*attempt{},
		ended:   map[wire.AttemptID]bool{},
	}
}

// OfferOutcome is what to do with an attempt message.
type OfferOutcome uint8

// The outcomes of Offer.
const (
	// OfferNew: queue the attempt.
	OfferNew OfferOutcome = iota + 1
	// OfferDuplicate: nothing to do; the answer will follow.
	OfferDuplicate
	// OfferAnswered: send Offered.Answer again.
	OfferAnswered
	// OfferFenced: never runs; tell the asker with Offered.Refusal.
	OfferFenced
	// OfferEnded: it ran and its answer is gone; drop the message.
	OfferEnded
	// OfferRefused: not started; send Offered.Refusal.
	OfferRefused
)

// Offered is the result of Offer.
type Offered struct {
	Outcome OfferOutcome
	Reason  Reason
	Answer  *wire.Answer
	Refusal *problem.Problem
}

// Offer takes an attempt message. remaining is the time that the message
// carries. Each refusal with executed "no" is remembered, so that a duplicate
// of the message cannot start later.
func (a *Attempts) Offer(now time.Time, id wire.AttemptID, asker Peer, remaining time.Duration) Offered {
	if known := a.live[id]; known != nil {
		switch {
		case known.asker != asker:
			return Offered{Outcome: OfferEnded, Reason: ReasonOtherAsker}
		case known.state == attemptAnswered:
			return Offered{Outcome: OfferAnswered, Reason: ReasonKept, Answer: known.answer}
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
	if a.memoryFull() {
		return Offered{Outcome: OfferRefused, Reason: ReasonMemoryFull,
			Refusal: problem.Unknown(problem.KindOverloaded, string(ReasonMemoryFull))}
	}
	if remaining <= 0 {
		a.remember(id, true)
		return Offered{Outcome: OfferRefused, Reason: ReasonNoTime,
			Refusal: problem.New(problem.KindDeadline, string(ReasonNoTime))}
	}
	if len(a.live) >= a.options.MaxLive || a.bytes+a.options.AnswerReserve > a.options.MaxAnswerBytes {
		a.remember(id, true)
		return Offered{Outcome: OfferRefused, Reason: ReasonFull,
			Refusal: problem.New(problem.KindOverloaded, string(ReasonFull))}
	}
	a.live[id] = &attempt{state: attemptQueued, asker: asker, deadline: now.Add(min(remaining, a.options.MaxTimeout))}
	return Offered{Outcome: OfferNew, Reason: ReasonNew}
}

// memoryFull counts live attempts too, since each will have to be remembered.
func (a *Attempts) memoryFull() bool {
	return len(a.ended)+len(a.live) >= a.options.MaxRemembered
}

// remember keeps the end of an attempt that is not live.
func (a *Attempts) remember(id wire.AttemptID, fenced bool) {
	a.ended[id] = fenced
	a.order = append(a.order, remembered{id: id, at: a.running})
}

// end moves a live attempt to the remembered ones.
func (a *Attempts) end(id wire.AttemptID, known *attempt, fenced bool) {
	a.bytes -= known.size
	delete(a.live, id)
	a.remember(id, fenced)
}

// Start must succeed right before the attempt is handed to the backend server.
// On false it must not run; the Reason says why.
func (a *Attempts) Start(now time.Time, id wire.AttemptID) (bool, Reason) {
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

// Finished says where an answer goes.
type Finished struct {
	Send  bool // to Asker, on its newest link
	Asker Peer
	Kept  bool // until Ack or until the asker's time is over
}

// Finish takes the answer of a running attempt, or the refusal (executed "no")
// of one that is still queued. The answer must not be changed afterwards, so
// that each time it is sent it is the same. A queued attempt that is finished
// never runs.
func (a *Attempts) Finish(id wire.AttemptID, answer *wire.Answer) Finished {
	known := a.live[id]
	if known == nil || known.state == attemptAnswered {
		return Finished{}
	}
	refused := known.state == attemptQueued
	done := Finished{Send: true, Asker: known.asker}
	if known.cancelled {
		a.end(id, known, refused)
		return Finished{Asker: known.asker}
	}
	size := ticket.ResponseSize(answer.Response)
	if a.bytes+size > a.options.MaxAnswerBytes {
		a.end(id, known, refused)
		return done
	}
	a.bytes += size
	known.state, known.answer, known.size = attemptAnswered, answer, size
	done.Kept = true
	return done
}

// Ack drops the kept answer.
func (a *Attempts) Ack(id wire.AttemptID, asker Peer) {
	if known := a.live[id]; known != nil && known.state == attemptAnswered && known.asker == asker {
		a.end(id, known, known.refused())
	}
}

// refused tells that the kept answer is a refusal before the run.
func (t *attempt) refused() bool {
	return t.answer.Refusal != nil && t.answer.Refusal.Executed == string(problem.ExecutedNo)
}

// Settled is the result of Settle.
type Settled struct {
	State   wire.SettleState
	Reason  Reason
	Answer  *wire.Answer // SettleAnswered: send it after the result
	Dequeue bool         // remove the attempt from the queue
}

// Settle answers what became of an attempt, and fences it if it has not begun.
// It can only be trusted for attempts that were sent to this incarnation; the
// asker checks that with the Hello of the link.
func (a *Attempts) Settle(id wire.AttemptID, asker Peer) Settled {
	if known := a.live[id]; known != nil {
		switch {
		case known.asker != asker:
			return Settled{State: wire.SettleUnknown, Reason: ReasonOtherAsker}
		case known.state == attemptQueued:
			a.end(id, known, true)
			return Settled{State: wire.SettleFenced, Reason: ReasonQueued, Dequeue: true}
		case known.state == attemptRunning:
			return Settled{State: wire.SettleRunning, Reason: ReasonRunning}
		}
		return Settled{State: wire.SettleAnswered, Reason: ReasonKept, Answer: known.answer}
	}
	if fenced, ok := a.ended[id]; ok {
		if fenced {
			return Settled{State: wire.SettleFenced, Reason: ReasonFenced}
		}
		return Settled{State: wire.SettleUnknown, Reason: ReasonEnded}
	}
	if a.memoryFull() {
		return Settled{State: wire.SettleUnknown, Reason: ReasonMemoryFull}
	}
	a.remember(id, true)
	return Settled{State: wire.SettleFenced, Reason: ReasonNeverSeen}
}

// Stop says how to end attempts whose asker does not wait any more.
type Stop struct {
	ID     wire.AttemptID
	Queued bool // remove it from the queue; otherwise cancel its run
	Reason Reason
}

// Cancel ends the interest in an attempt. A queued or unknown one is fenced; a
// running one may be cancelled at the backend server, and its answer is dropped.
func (a *Attempts) Cancel(id wire.AttemptID, asker Peer) []Stop {
	known := a.live[id]
	if known == nil {
		if _, ok := a.ended[id]; !ok && !a.memoryFull() {
			a.remember(id, true)
		}
		return nil
	}
	if known.asker != asker {
		return nil
	}
	return a.cancel(nil, id, known, ReasonCancelled)
}

func (a *Attempts) cancel(stops []Stop, id wire.AttemptID, known *attempt, reason Reason) []Stop {
	switch known.state {
	case attemptQueued:
		a.end(id, known, true)
		return append(stops, Stop{ID: id, Queued: true, Reason: reason})
	case attemptRunning:
		if known.cancelled {
			return stops
		}
		known.cancelled = true
		return append(stops, Stop{ID: id, Reason: reason})
	}
	a.end(id, known, known.refused())
	return stops
}

// LinkLost fences the queued attempts of an asker; it settles them when it is
// back. Running attempts go on and their answers are kept.
func (a *Attempts) LinkLost(asker Peer) []Stop {
	var stops []Stop
	for id, known := range a.live {
		if known.asker == asker && known.state == attemptQueued {
			stops = a.cancel(stops, id, known, ReasonLinkLost)
		}
	}
	return sortStops(stops)
}

// AskerGone cancels all attempts of an incarnation that has ended.
func (a *Attempts) AskerGone(asker Peer) []Stop {
	var stops []Stop
	for id, known := range a.live {
		if known.asker == asker {
			stops = a.cancel(stops, id, known, ReasonPeerGone)
		}
	}
	return sortStops(stops)
}

// sortStops makes the result independent of the order of maps, so that a run
// with a fixed seed can be repeated.
func sortStops(stops []Stop) []Stop {
	slices.SortFunc(stops, func(a, b Stop) int { return bytes.Compare(a.ID[:], b.ID[:]) })
	return stops
}

// Sweep fences queued attempts whose time is over and returns them, drops
// answers that were kept until then, and forgets old ids. Call it at least
// each maxSweepStep (1 s); less frequent calls only delay forgetting.
func (a *Attempts) Sweep(now time.Time) []Stop {
	if step := now.Sub(a.swept); !a.swept.IsZero() && step > 0 {
		a.running += min(step, maxSweepStep)
	}
	a.swept = now
	var stops []Stop
	for id, known := range a.live {
		if known.state != attemptRunning && !now.Before(known.deadline) {
			stops = a.cancel(stops, id, known, ReasonNoTime)
		}
	}
	keep := a.options.MaxTimeout + a.options.MaxDelay
	old := 0
	for old < len(a.order) && a.running-a.order[old].at > keep {
		delete(a.ended, a.order[old].id)
		old++
	}
	if old > 0 {
		a.order = append(a.order[:0], a.order[old:]...)
	}
	return sortStops(stops)
}

// Counts returns the numbers of live attempts and remembered ids, and the
// bytes of kept answers.
func (a *Attempts) Counts() (live, remembered, answerBytes int) {
	return len(a.live), len(a.ended), a.bytes
}

// Running returns the number of attempts that the backend server has.
func (a *Attempts) Running() int {
	count := 0
	for _, known := range a.live {
		if known.state == attemptRunning {
			count++
		}
	}
	return count
}
