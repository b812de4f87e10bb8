package ticket

import (
	"time"

	"tarragonshore.example/tarragonshore/internal/connection/wire"
	"tarragonshore.example/tarragonshore/internal/request/problem"
)

// Outcome is what Table.Begin decides about a request that presents a ticket.
type Outcome uint8

// The outcomes of Table.Begin.
const (
	// Dispatch: the caller of Begin must run the request, which nobody else
	// runs, and end it with Complete, MarkUnknown or Refuse.
	Dispatch Outcome = iota + 1
	// Replay: the request has run; Decision.Response is its stored response.
	Replay
	// InProgress: the request runs for another call of Begin; wait for its end.
	InProgress
	// Conflict: the ticket was used with a request of another content.
	Conflict
	// Invalid: the ticket is forged or belongs to another workspace.
	Invalid
	// Expired: the ticket is too old; this call does not run the request.
	Expired
	// NotOwner: this daemon does not decide about the ticket; forward the request
	// to Decision.Owner. If that daemon has terminated and named no successor, the
	// outcome of the request is unknown.
	NotOwner
	// Unknown: the request may have run and is never run again.
	Unknown
	// Full: the table has no room for the request; this call does not run it.
	Full
	// Refused: the request was refused before and never runs with this ticket.
	Refused
	// HandingOver: the ticket is being handed over; call Begin again after the next
	// Confirm or Abort.
	HandingOver
)

// Reason explains an outcome or an error.
type Reason string

// The reasons.
const (
	ReasonUnused           Reason = "first use"
	ReasonResponseStored   Reason = "answer is stored"
	ReasonRunning          Reason = "request is in progress"
	ReasonOtherRequest     Reason = "ticket was used with another request"
	ReasonMalformed        Reason = "malformed ticket"
	ReasonBadMAC           Reason = "authentication code does not match"
	ReasonOtherWorkspace   Reason = "ticket belongs to another workspace"
	ReasonExpired          Reason = "ticket has expired"
	ReasonForgotten        Reason = "ticket has expired and its state is no longer kept"
	ReasonIssuedElsewhere  Reason = "ticket was issued by another daemon"
	ReasonHandedOver       Reason = "ticket was handed over to a successor"
	ReasonHeldByOldOwner   Reason = "old home still runs the request"
	ReasonNoAnswer         Reason = "no answer from the upstream"
	ReasonLinkLost         Reason = "link lost and outcome not settled"
	ReasonDeadline         Reason = "deadline passed"
	ReasonOwnerGone        Reason = "home of the ticket is gone"
	ReasonResponseTooLarge Reason = "request ran, but its answer was too large to keep"
	ReasonTableFull        Reason = "table of used tickets is full"
	ReasonResponsesFull    Reason = "memory for stored answers is full"
	ReasonRefused          Reason = "request with this ticket was refused before"
	ReasonHandingOver      Reason = "table is being handed over"
	ReasonNotInProgress    Reason = "request is not in progress"
	ReasonDispatched       Reason = "request is already dispatched"
	ReasonOtherAttempt     Reason = "attempt is not the current one"
	ReasonNoProof          Reason = "no proof that the attempt never ran"
	ReasonNameTooLong      Reason = "home or workspace name is longer than 255 bytes"
	ReasonRandom           Reason = "cannot read random bytes"
	ReasonHandoverState    Reason = "no such hand-over is in progress"
	ReasonExportInvalid    Reason = "invalid hand-over data"
	ReasonExportOrder      Reason = "hand-over data is out of order"
)

var remedies = map[Reason]string{
	ReasonMalformed:     "send a ticket exactly as it was issued",
	ReasonTableFull:     "wait until older tickets end, or raise the limit of used tickets",
	ReasonResponsesFull: "wait until older tickets end, or raise the limit of stored answers",
	ReasonNameTooLong:   "use a shorter name",
	ReasonHandingOver:   "ask the successor",
	ReasonExportInvalid: "run the same release on both hosts",
	ReasonExportOrder:   "send the exports in order",
	ReasonNoProof:       "mark the outcome as unknown",
}

// Error tells why an operation was refused.
type Error struct {
	Reason Reason
	Err    error
}

// Error names the reason and, where there is one, the remedy.
func (e *Error) Error() string {
	text := "ticket: " + string(e.Reason)
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	if remedy := remedies[e.Reason]; remedy != "" {
		text += "; remedy: " + remedy
	}
	return text
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.Err }

// Problem returns the problem to send to a caller whose ticket could not be parsed.
func (e *Error) Problem() *problem.Problem {
	return problem.New(problem.KindTicketInvalid, string(e.Reason))
}

// Decision is the result of Table.Begin.
type Decision struct {
	Outcome  Outcome
	Reason   Reason
	Key      Key
	Response *wire.Response   // for Replay; must not be changed
	Owner    DaemonID         // for NotOwner: the daemon that decides about the ticket
	Executed problem.Executed // for a refusal: whether the request has run
}

// fullRetryAfter is the time after which the next tickets of a full table expire:
// evict removes entries by the second in which their tickets expire.
const fullRetryAfter = time.Second

// Problem returns the problem to send to the caller, or nil if the outcome is not a
// refusal.
func (d Decision) Problem() *problem.Problem {
	p := &problem.Problem{Executed: d.Executed, Detail: string(d.Reason)}
	switch d.Outcome {
	case Conflict:
		p.Kind = problem.KindTicketConflict
	case Invalid, Expired, Refused:
		p.Kind = problem.KindTicketInvalid
	case Unknown:
		p.Kind = problem.KindOutcomeUnknown
	case Full:
		p.Kind = problem.KindOverloaded
		p.RetryAfter = fullRetryAfter
	default:
		return nil
	}
	return p
}
