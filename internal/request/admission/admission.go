// Package admission decides at the executing daemon when an attempt is handed
// to the backend server: a concurrency limit that adapts to what helps, a
// queue ordered by importance and fair share, and a shedding threshold per
// workspace. Hints keeps the thresholds of upstreams at the asker. The types
// are pure state machines and not safe for concurrent use.
package admission

import (
	"time"

	"tarragonshore.example/tarragonshore/internal/connection/wire"
	"tarragonshore.example/tarragonshore/internal/request/problem"
)

// ID identifies an attempt.
type ID = wire.AttemptID

// Request is an attempt that asks for admission.
type Request struct {
	ID         ID
	Workspace  string
	Importance uint8 // 0 (most important) to 7
	RootHash   uint8
	Depth      uint8
	Deadline   time.Time
	// Cost is the expected service time, 0 if only the measured mean is known.
	Cost time.Duration
}

// key is the request's place on the scale of thresholds.
func (r *Request) key() int {
	return int(min(r.Importance, importances-1))*hashes + int(r.RootHash)
}

// Action is the result of an Offer.
type Action uint8

// The actions.
const (
	Queued  Action = iota + 1 // Next will start or refuse it
	Started                   // to be handed to the backend server now
	Refused                   // not executed, and never will be
)

// Reason is why a request was started, queued or refused.
type Reason string

// The reasons.
const (
	ReasonSlotFree   Reason = "slot-free"        // started
	ReasonNoSlot     Reason = "no-slot"          // queued
	ReasonQueueTurn  Reason = "queue-turn"       // started from the queue
	ReasonThreshold  Reason = "threshold"        // refused by the shedding threshold
	ReasonQueueFull  Reason = "queue-full"       // refused: the count bound, nothing less important queued
	ReasonQueueDelay Reason = "queue-delay"      // refused: would wait or has waited too long
	ReasonDisplaced  Reason = "displaced"        // refused: removed for a more entitled request
	ReasonNoTime     Reason = "not-enough-time"  // refused: cannot finish within its remaining time
	ReasonDraining   Reason = "draining"         // refused: the daemon or backend server is leaving
	ReasonDuplicate  Reason = "duplicate"        // refused: the same ID is queued or running
	ReasonNoServer   Reason = "no-ready-backend" // refused: no slots are announced
)

// Kind returns the refusal that belongs to a reason. A duplicate has no
// refusal of its own: the first attempt with the ID decides what is answered.
func (r Reason) Kind() problem.Kind {
	switch r {
	case ReasonNoTime:
		return problem.KindDeadline
	case ReasonDraining:
		return problem.KindDraining
	case ReasonNoServer:
		return problem.KindNoUpstream
	case ReasonDuplicate:
		return problem.KindOutcomeUnknown
	}
	return problem.KindOverloaded
}

// Refusal ends a request that has not been started.
type Refusal struct {
	ID         ID
	Reason     Reason
	RetryAfter time.Duration // 0: waiting does not help
}

// Decision is the result of an Offer.
type Decision struct {
	Action     Action
	Reason     Reason
	RetryAfter time.Duration // for Refused
	// Displaced is another request that was removed from the queue and has to
	// be refused; it is valid if HasDisplaced.
	Displaced    Refusal
	HasDisplaced bool
}

// Outcome is how a started request ended.
type Outcome uint8

// The outcomes.
const (
	Succeeded  Outcome = iota + 1 // a complete response
	Failed                        // an error, a broken connection, or cancelled while running
	ServerShed                    // the backend server itself refused with 503
	ShedBelow                     // a call that the backend server made was refused as overloaded
)

// CancelResult tells what a Cancel found.
type CancelResult uint8

// The results of Cancel.
const (
	CancelUnknown CancelResult = iota // not here (any more)
	CancelQueued                      // removed; it never ran
	CancelRunning                     // Finish will follow when the backend server is done
)

// Config holds the settings. A zero field means its default.
type Config struct {
	// MaxQueued bounds the queue by count.
	MaxQueued int
	// MaxWait bounds the expected and the actual queueing time of new requests.
	MaxWait time.Duration
	// TargetDelay is the queueing time of a workspace above which its threshold
	// moves down, at most half of the time that its requests can wait. With 20
	// to 60 ms the queues of workspaces with few requests ran empty now and
	// then, and the worst-served workspace fell below 0.95 of its share.
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
