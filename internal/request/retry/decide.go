package retry

import (
	"net/http"
	"time"

	"tarragonshore.example/tarragonshore/internal/request/problem"
)

// MaxMoves bounds how often the attempts of one call move to another upstream
// because they did not run.
const MaxMoves = 2

// Outcome is how an attempt ended.
type Outcome struct {
	// Status is the HTTP status of a complete response, or 0 if there is none.
	Status int
	// Refusal and Executed describe the refusal if Status is 0. An attempt without an
	// answer and without proof that it never ran has KindOutcomeUnknown and
	// ExecutedUnknown.
	Refusal  problem.Kind
	Executed problem.Executed
	// Unspent is the number of credits returned with the answer; 0 without an answer.
	Unspent Credits
	// ShedDownstream is true if the run that responded made a call that was shed. A retry
	// would probably be shed again and add to the overload downstream.
	ShedDownstream bool
}

// Responded returns the outcome of an attempt that got a complete response.
func Responded(status int, unspent Credits) Outcome {
	return Outcome{Status: status, Unspent: unspent}
}

// Refused returns the outcome of an attempt that was refused.
func Refused(kind problem.Kind, executed problem.Executed, unspent Credits) Outcome {
	return Outcome{Refusal: kind, Executed: executed, Unspent: unspent}
}

// NoAnswer returns the outcome of an attempt that ended without an answer and without
// proof that it never ran.
func NoAnswer() Outcome {
	return Outcome{Refusal: problem.KindOutcomeUnknown, Executed: problem.ExecutedUnknown}
}

// Call is the state of one call at the daemon that sends its attempts.
type Call struct {
	// Idempotent is true if the tables declare the call's route idempotent.
	Idempotent bool

	lent       Credits // credits sent with the current attempt
	moves      int
	retries    int
	mayHaveRun bool
}

// Moves returns the number of moves so far.
func (c *Call) Moves() int { return c.moves }

// Retries returns the number of retries so far.
func (c *Call) Retries() int { return c.retries }

// Executed returns the execution status to state in a refusal of the call: "no"
// only if every attempt is proven not to have run.
func (c *Call) Executed() problem.Executed {
	if c.mayHaveRun {
		return problem.ExecutedUnknown
	}
	return problem.ExecutedNo
}

// Begin starts a call: it counts the first attempt and returns the credits to send
// with it.
func Begin(c *Call, a *Account, b *Budget) Credits {
	b.RecordFirstAttempt()
	c.lent = a.Lend()
	return c.lent
}

// Action is what to do after an attempt.
type Action uint8

// The actions.
const (
	Deliver Action = iota + 1 // pass the response to the caller
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
	ReasonResponse        Reason = "response"                 // deliver: the response is final
	ReasonShedDownstream  Reason = "shed-below"               // deliver: a call of the run was shed
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
	// Credits is the number of credits to send with the next attempt if Action is Retry
	// or Move.
	Credits Credits
	// Kind and Executed describe the refusal if Action is Refuse.
	Kind     problem.Kind
	Executed problem.Executed
}

// Decide chooses the action after an attempt and charges the account and the
// budget for a retry. remaining is the time until the call's deadline, needed the
// expected time of another attempt (0 if unknown).
//
// An attempt is moved only if it is proven not to have run, and at most MaxMoves
// times per call. It is retried only if the call is idempotent, at the cost of one
// credit and one token of the pool's budget. A non-idempotent call that may have
// run is never sent again.
func Decide(c *Call, a *Account, b *Budget, o Outcome, remaining, needed time.Duration) Decision {
	a.Return(c.lent, o.Unspent)
	c.lent = 0
	if o.Status == 0 && o.Executed == problem.ExecutedNo {
		return decideNotExecuted(c, a, o.Refusal, remaining, needed)
	}
	c.mayHaveRun = true
	if o.Status != 0 && o.ShedDownstream {
		return Decision{Action: Deliver, Reason: ReasonShedDownstream}
	}
	if o.Status != 0 && !retryableStatus(o.Status) {
		return Decision{Action: Deliver, Reason: ReasonResponse}
	}
	if reason := retryObstacle(c, a, b, o, remaining, needed); reason != reasonRetryIsPossible {
		return finalDecision(c, o, reason)
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

// retryObstacle returns why an attempt that may have run cannot be retried, or
// reasonRetryIsPossible.
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

// finalDecision ends a call whose last attempt may have run: it delivers the
// response if there is one and refuses the call otherwise.
func finalDecision(c *Call, o Outcome, reason Reason) Decision {
	if o.Status != 0 {
		return Decision{Action: Deliver, Reason: reason}
	}
	kind := o.Refusal
	if kind == "" {
		kind = problem.KindOutcomeUnknown
	}
	return Decision{Action: Refuse, Reason: reason, Kind: kind, Executed: c.Executed()}
}

// retryableStatus reports whether another upstream may give a better response. 500
// is excluded: it is mostly a fault that every upstream of the pool reproduces.
func retryableStatus(status int) bool {
	return status == http.StatusBadGateway || status == http.StatusServiceUnavailable ||
		status == http.StatusGatewayTimeout
}

// movable reports whether another upstream may accept what this one refused.
// Refusals of the request itself (key, route, size) are the same at every upstream;
// moving a request with a withdrawn key could even find a host that has not yet
// learned of the withdrawal and would accept it.
func movable(kind problem.Kind) bool {
	switch kind {
	case problem.KindOverloaded, problem.KindDraining, problem.KindNoUpstream,
		problem.KindTablesStale, problem.KindUpstreamFailed, problem.KindOutcomeUnknown:
		return true
	}
	return false
}

// retryableRefusal reports whether the refusal of an attempt that may have run is
// caused by the upstream rather than by the request.
func retryableRefusal(kind problem.Kind) bool {
	return movable(kind)
}
