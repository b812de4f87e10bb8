// Package admission controls when the executing daemon passes an attempt to its
// backend server. It combines an adaptive concurrency limit, a queue ordered by
// importance and fair share, and a load-shedding threshold per workspace. At the
// requesting daemon, ThresholdCache caches the thresholds that upstreams reported.
//
// Package daemon uses this package; package agent uses runqueue instead.
//
// The types are deterministic state machines and are not safe for concurrent use.
package admission

import (
	"time"

	"tarragonshore.example/tarragonshore/internal/connection/wire"
	"tarragonshore.example/tarragonshore/internal/request/problem"
)

// ID identifies an attempt.
type ID = wire.AttemptID

// Request describes an attempt for which admission is requested.
type Request struct {
	ID         ID
	Workspace  string
	Importance uint8 // 0 (most important) to 7
	RootHash   uint8 // hash of the root of its request tree
	Depth      uint8 // number of calls above it in the request tree
	Deadline   time.Time
	// ServiceTime is the expected service time; 0 uses the measured mean.
	ServiceTime time.Duration
}

// shedKey returns the value that is compared with the shedding threshold. Higher
// keys are shed first: less important requests before more important ones, and
// within an importance by the hash of the request tree's root, so that a tree is
// kept or shed as a whole.
func (r *Request) shedKey() int {
	return int(min(r.Importance, importanceCount-1))*hashesPerImportance + int(r.RootHash)
}

// Action is what Offer did with a request.
type Action uint8

// The actions.
const (
	Queued  Action = iota + 1 // a later Next starts or refuses the request
	Started                   // pass the request to the backend server now
	Refused                   // the request has not been executed and never will be
)

// Reason is why a request was started, queued or refused.
type Reason string

// The reasons.
const (
	ReasonSlotFree       Reason = "slot-free"        // started
	ReasonNoSlot         Reason = "no-slot"          // queued
	ReasonQueueTurn      Reason = "queue-turn"       // started from the queue
	ReasonThreshold      Reason = "threshold"        // refused by the shedding threshold
	ReasonQueueFull      Reason = "queue-full"       // refused: the queue is full and holds nothing to displace
	ReasonQueueDelay     Reason = "queue-delay"      // refused: the expected or actual wait exceeds the bound
	ReasonDisplaced      Reason = "displaced"        // refused: removed from a full queue in favour of another request
	ReasonNoTime         Reason = "not-enough-time"  // refused: cannot finish before its deadline
	ReasonDraining       Reason = "draining"         // refused: the daemon or the backend server is draining
	ReasonDuplicate      Reason = "duplicate"        // refused: the same ID is queued or running
	ReasonNoReadyBackend Reason = "no-ready-backend" // refused: the backend server announces no slots
)

// Kind returns the problem kind that is reported for a refusal with this reason.
// A duplicate reports an unknown outcome, because the first attempt with the same
// ID determines the answer.
func (r Reason) Kind() problem.Kind {
	switch r {
	case ReasonNoTime:
		return problem.KindDeadline
	case ReasonDraining:
		return problem.KindDraining
	case ReasonNoReadyBackend:
		return problem.KindNoUpstream
	case ReasonDuplicate:
		return problem.KindOutcomeUnknown
	}
	return problem.KindOverloaded
}

// Refusal rejects a request that was not started.
type Refusal struct {
	ID         ID
	Reason     Reason
	RetryAfter time.Duration // 0 if waiting does not help
}

// Decision is the result of an Offer.
type Decision struct {
	Action     Action
	Reason     Reason
	RetryAfter time.Duration // for Refused
	// Displaced is the refusal of another request, which was removed from the
	// queue to make room. It is valid only if HasDisplaced is set.
	Displaced    Refusal
	HasDisplaced bool
}

// Outcome is the result of a started request.
type Outcome uint8

// The outcomes.
const (
	Succeeded      Outcome = iota + 1 // a complete response
	Failed                            // an error, a broken connection, or cancelled while running
	ShedByServer                      // the backend server refused the request with 503
	ShedDownstream                    // a downstream call of the backend server was refused because of overload
)

// CancelResult is the state in which Cancel found a request.
type CancelResult uint8

// The results of Cancel.
const (
	CancelUnknown CancelResult = iota // neither queued nor running
	CancelQueued                      // removed from the queue; it never ran
	CancelRunning                     // still running; Finish must be called when it ends
)

// Config configures a Controller. A field of zero selects its default.
type Config struct {
	// MaxQueued is the maximum number of queued requests.
	MaxQueued int
	// MaxWait bounds the expected and the actual queueing time of requests that
	// enter the call graph here. Child calls may wait longer.
	MaxWait time.Duration
	// TargetDelay is the queueing time of a workspace above which its shedding
	// threshold is lowered. It is capped at half of the time that the requests of
	// the workspace can wait. Targets of 20 to 60 ms let the queues of workspaces
	// with low request rates run empty at times, and the worst-served workspace
	// fell below 0.95 of its fair share.
	TargetDelay time.Duration
}

const (
	defaultMaxQueued   = 1024
	defaultMaxWait     = 250 * time.Millisecond
	defaultTargetDelay = 120 * time.Millisecond
)

func (c Config) withDefaults() Config {
	if c.MaxQueued <= 0 {
		c.MaxQueued = defaultMaxQueued
	}
	if c.MaxWait <= 0 {
		c.MaxWait = defaultMaxWait
	}
	if c.TargetDelay <= 0 {
		c.TargetDelay = defaultTargetDelay
	}
	return c
}
