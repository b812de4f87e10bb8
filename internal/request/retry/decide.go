package retry

import (
	"net/http"
	"time"

	"tarragonshore.example/tarragonshore/internal/request/problem"
)

// MaxMoves bounds the moves of one call.
const MaxMoves = 2

// Outcome is how an attempt ended.
type Outcome struct {
	// Status is the HTTP status of a complete response, or 0 if there is none.
	Status int
	// Refusal and Executed describe the refusal if Status is 0. The loss of an
	// attempt (no answer and no proof) is KindOutcomeUnknown with ExecutedUnknown.
	Refusal  problem.Kind
	Executed problem.Executed
	// Unspent are the credits that came back with the answer; 0 without an answer.
	Unspent Credits
	// ShedBelow is true for a response of a run that made a call which was shed.
	// A retry would be shed again, and would add to the overload below.
	ShedBelow bool
}

// Responded is the outcome of a complete response.
func Responded(status int, unspent Credits) Outcome {
	return Outcome{Status: status, Unspent: unspent}
}

// Refused is the outcome of a refusal.
func Refused(kind problem.Kind, executed problem.Executed, unspent Credits) Outcome {
	return Outcome{Refusal: kind, Executed: executed, Unspent: unspent}
}

// Lost is the outcome of an attempt that ended without an answer and without
// the proof that it never ran.
func Lost() Outcome {
	return Outcome{Refusal: problem.KindOutcomeUnknown, Executed: problem.ExecutedUnknown}
}

// Call is the state of one call at the daemon that sends its attempts.
type Call struct {
	// Idempotent is the property of the call's route.
	Idempotent bool

	lent       Credits // with the current attempt
	moves      int
	retries    int
	mayHaveRun bool
}

// Moves returns the number of moves so far.
func (c *Call) Moves() int { return c.moves }

// Retries returns the number of retries so far.
func (c *Call) Retries() int { return c.retries }

// Executed returns what a refusal of the call has to state: "no" only while
// every attempt was proven not executed.
func (c *Call) Executed() problem.Executed {
	if c.mayHaveRun {
		return problem.ExecutedUnknown
	}
	return problem.ExecutedNo
}

// Begin starts a call: it counts the first attempt and returns the credits
// that travel with it.
func Begin(c *Call, a *Account, b *Budget) Credits {
	b.FirstAttempt()
	c.lent = a.Lend()
	return c.lent
}

// Action is what to do after an attempt.
type Action uint8

// The actions.
const (
	Deliver Action = iota + 1 // pass the response on
	Retry                     // send another attempt; the last one may have run
	Move                      // send the attempt to another upstream; it did not run
	Refuse                    // end the call with a refusal
)

var actionNames = [...]string{"invalid", "deliver", "retry", "move", "refuse"}

// String returns the name used in logs.
func (a Action) String() string { return actionNames[a] }

// Reason is why an action was chosen.
type Reason string

// The reasons.
const (
	ReasonResponse        Reason = "response"                 // deliver: a response that is final
	ReasonShedBelow       Reason = "shed-below"               // deliver: a call of the run was shed
	ReasonNotIdempotent   Reason = "not-idempotent"           // deliver or refuse: it may have run
	ReasonNoCredits       Reason = "no-credits"               // deliver or refuse
	ReasonNoBudget        Reason = "retry-budget-exhausted"   // deliver or refuse
	ReasonNoTime          Reason = "no-time-left"             // deliver or refuse
	ReasonServerError     Reason = "server-error"             // retry
	ReasonUnknownOutcome  Reason = "unknown-outcome"          // retry
	ReasonNotExecuted     Reason = "not-executed"             // move
	ReasonMovesExhausted  Reason = "moves-exhausted"          // refuse
	ReasonFinalRefusal    Reason = "refusal-is-final"         // refuse: no other upstream would differ
	ReasonInvalidOutcome  Reason = "outcome-without-response" // refuse: a refusal without a kind
	reasonRetryIsPossible Reason = ""
)

// Decision is the result of Decide.
type Decision struct {
	Action Action
	Reason Reason
	// Credits travel with the next attempt of Retry and Move.
	Credits Credits
	// Kind and Executed are the parts of the refusal of Refuse.
	Kind     problem.Kind
	Executed problem.Executed
}

// Decide chooses what follows an attempt and takes what it costs from the
// account and the budget. remaining is the call's time left and needed the
// time that another attempt is expected to take (0 if not known).
//
// An attempt is moved only if it was proven not executed, at most MaxMoves
// times per call. It is retried only if the call is idempotent, and pays one
// credit and one token of the pool's budget. A non-idempotent call that may
// have run is never sent again.
func Decide(c *Call, a *Account, b *Budget, o Outcome, remaining, needed time.Duration) Decision {
	a.Return(c.lent, o.Unspent)
	c.lent = 0
	if o.Status == 0 && o.Executed == problem.ExecutedNo {
		return decideNotExecuted(c, a, o.Refusal, remaining, needed)
	}
	c.mayHaveRun = true
	if o.Status != 0 && o.ShedBelow {
		return Decision{Action: Deliver, Reason: ReasonShedBelow}
	}
	if o.Status != 0 && !retryableStatus(o.Status) {
		return Decision{Action: Deliver, Reason: ReasonResponse}
	}
	if reason := retryObstacle(c, a, b, o, remaining, needed); reason != reasonRetryIsPossible {
		return conclude(c, o, reason)
	}
	a.Spend()
	b.spend()
	c.retries++
	c.lent = a.Lend()
	reason := ReasonUnknownOutcome
	if o.Status != 0 {
		reason = ReasonServerError
	}
	return Decision{Action: Retry, Reason: reason, Credits: c.lent}
}

// decideNotExecuted moves or refuses an attempt that never ran.
func decideNotExecuted(c *Call, a *Account, kind problem.Kind, remaining, needed time.Duration) Decision {
	d := Decision{Action: Refuse, Kind: kind, Executed: c.Executed()}
	switch {
	case !movable(kind):
		d.Reason = ReasonFinalRefusal
	case remaining <= needed || remaining <= 0:
		d.Reason = ReasonNoTime
	case c.moves >= MaxMoves:
		d.Reason = ReasonMovesExhausted
	default:
		c.moves++
		c.lent = a.Lend()
		return Decision{Action: Move, Reason: ReasonNotExecuted, Credits: c.lent}
	}
	return d
}

// retryObstacle returns why an attempt that may have run is not retried.
func retryObstacle(c *Call, a *Account, b *Budget, o Outcome, remaining, needed time.Duration) Reason {
	switch {
	case o.Status == 0 && o.Refusal == "":
		return ReasonInvalidOutcome
	case !c.Idempotent:
		return ReasonNotIdempotent
	case o.Status == 0 && !retryableRefusal(o.Refusal):
		return ReasonFinalRefusal
	case remaining <= needed || remaining <= 0:
		return ReasonNoTime
	case a.Left() == 0:
		return ReasonNoCredits
	case !b.allows():
		return ReasonNoBudget
	}
	return reasonRetryIsPossible
}

// conclude ends a call whose last attempt may have run.
func conclude(c *Call, o Outcome, reason Reason) Decision {
	if o.Status != 0 {
		return Decision{Action: Deliver, Reason: reason}
	}
	kind := o.Refusal
	if kind == "" {
		kind = problem.KindOutcomeUnknown
	}
	return Decision{Action: Refuse, Reason: reason, Kind: kind, Executed: c.Executed()}
}

// retryableStatus tells whether another upstream may answer better. 500 is
// not included: it is mostly a fault that every upstream of the pool repeats.
func retryableStatus(status int) bool {
	return status == http.StatusBadGateway || status == http.StatusServiceUnavailable ||
		status == http.StatusGatewayTimeout
}

// movable tells whether another upstream may accept what this one refused.
// Refusals of the request itself (key, route, size) are the same everywhere;
// moving a withdrawn key would search for a host that has not yet read the
// withdrawal.
func movable(kind problem.Kind) bool {
	switch kind {
	case problem.KindOverloaded, problem.KindDraining, problem.KindNoUpstream,
		problem.KindTablesStale, problem.KindUpstreamFailed, problem.KindOutcomeUnknown:
		return true
	}
	return false
}

// retryableRefusal tells whether a refusal of an attempt that may have run
// comes from the upstream's failure.
func retryableRefusal(kind problem.Kind) bool {
	return movable(kind)
}
