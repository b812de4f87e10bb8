package history

import (
	"errors"
	"math/rand/v2"
	"time"

	"tarragonshore.example/tarragonshore/internal/process/platform"
	"tarragonshore.example/tarragonshore/internal/version/tables"
)

// Outcome is what became of a published edit.
type Outcome string

// The outcomes. Pending means that the publisher has more steps.
const (
	OutcomePending  Outcome = ""
	OutcomeAccepted Outcome = "accepted"
	// OutcomeRejected: the edit has no effect and never will.
	OutcomeRejected Outcome = "rejected"
	// OutcomeUnavailable: the platform did not take the record and never will.
	OutcomeUnavailable Outcome = "unavailable"
	// OutcomeUnknown: the edit may have been accepted or may still be.
	OutcomeUnknown Outcome = "unknown"
)

// Step is what the caller of a Publisher does next.
type Step uint8

// The steps.
const (
	// StepAppend: append Publisher.Record and report the result to Appended.
	StepAppend Step = iota
	// StepRead: read the stream from the reader's ReadFrom, apply the batch and
	// report to Observe.
	StepRead
	// StepWait: wait until Publisher.WaitUntil.
	StepWait
	// StepDone: Publisher.Outcome holds the result.
	StepDone
)

// Delays between two appends: doubled from the first up to the last, and
// multiplied by a random factor from 0.5 to 1.5, so that editors that race
// do not stay in step.
const (
	firstRetryDelay = 100 * time.Millisecond
	lastRetryDelay  = 2 * time.Second
)

// Publisher takes one edit from the append to a settled outcome.
//
// An append whose answer was lost may still take effect after a read-back did
// not find it. The publisher therefore reports a rejection only if the stream
// shows the edit as rejected, or if the current version has moved past its
// base by another edit, since it can then never be accepted. Otherwise it
// appends the same record again; readers refuse the second of two.
type Publisher struct {
	edit     Edit
	record   []byte
	deadline time.Time
	rng      *rand.Rand

	step      Step
	afterWait Step
	waitUntil time.Time
	appends   int
	inDoubt   bool // an append may have taken effect
	outcome   Outcome
	offset    platform.Offset
	version   tables.Version
	reason    RejectReason
	err       error
}

// NewPublisher prepares the edit's record. No step is taken after the deadline.
func NewPublisher(edit Edit, deadline time.Time, rng *rand.Rand) (*Publisher, error) {
	record, err := edit.Encode()
	if err != nil {
		return nil, err
	}
	return &Publisher{edit: edit, record: record, deadline: deadline, rng: rng}, nil
}

// Record returns the bytes to append.
func (p *Publisher) Record() []byte { return p.record }

// ID returns the edit's id.
func (p *Publisher) ID() EditID { return p.edit.ID }

// Outcome returns the result, or OutcomePending.
func (p *Publisher) Outcome() Outcome { return p.outcome }

// Version returns the version that the edit made, if it was accepted.
func (p *Publisher) Version() tables.Version { return p.version }

// Offset returns the offset of the deciding record, if it was read back.
func (p *Publisher) Offset() platform.Offset { return p.offset }

// Reason returns why the edit was rejected, if it was.
func (p *Publisher) Reason() RejectReason { return p.reason }

// Err returns the last error of the platform, or the faults of the result.
func (p *Publisher) Err() error { return p.err }

// WaitUntil returns the end of the wait.
func (p *Publisher) WaitUntil() time.Time { return p.waitUntil }

// Next returns the step to take now.
func (p *Publisher) Next(now time.Time) Step {
	if p.step != StepDone && !now.Before(p.deadline) {
		p.expire()
	}
	if p.step == StepWait && !now.Before(p.waitUntil) {
		p.step = p.afterWait
	}
	return p.step
}

// GiveUp ends the publishing before the deadline.
func (p *Publisher) GiveUp() {
	if p.step != StepDone {
		p.expire()
	}
}

func (p *Publisher) expire() {
	if p.inDoubt {
		p.finish(OutcomeUnknown)
	} else {
		p.finish(OutcomeUnavailable)
	}
}

func (p *Publisher) finish(outcome Outcome) { p.step, p.outcome = StepDone, outcome }

// Appended takes the result of an append.
func (p *Publisher) Appended(err error, now time.Time) {
	p.appends++
	p.err = err
	switch {
	case errors.Is(err, platform.ErrTooLarge):
		p.expire()
	case errors.Is(err, platform.ErrRejected):
		p.wait(StepAppend, now)
	default: // done, or not certain; both are settled by reading
		p.inDoubt = true
		p.step = StepRead
	}
}

// wait plans a step after a delay that grows with the number of appends.
func (p *Publisher) wait(then Step, now time.Time) {
	delay := lastRetryDelay
	if p.appends < 5 {
		delay = min(delay, firstRetryDelay<<p.appends)
	}
	p.step, p.afterWait, p.waitUntil = StepWait, then, now.Add(delay/2+time.Duration(p.rng.Int64N(int64(delay))))
}

// ReadFailed takes the error of a read.
func (p *Publisher) ReadFailed(err error, now time.Time) {
	p.err = err
	p.wait(StepRead, now)
}

// Observe looks for the edit in the events of a read that started after the
// last result of an append. The caller reads until AtEnd.
func (p *Publisher) Observe(r *Reader, events []Event, now time.Time) {
	if p.step == StepDone {
		return
	}
	p.find(r, events)
	switch {
	case p.step == StepDone, !r.AtEnd():
	case r.Version() <= p.edit.Base:
		p.wait(StepAppend, now)
	default:
		p.overtaken(r)
	}
}

// overtaken settles the outcome when the version is past the edit's base and
// the edit was not seen: the edit that made the next version is another one,
// or no longer known if the reader took a snapshot.
func (p *Publisher) overtaken(r *Reader) {
	switch id, known := r.editOf(p.edit.Base + 1); {
	case !known:
		p.finish(OutcomeUnknown)
	case id == p.edit.ID:
		p.version = p.edit.Base + 1
		p.finish(OutcomeAccepted)
	default:
		p.reason = ReasonBaseNotCurrent
		p.finish(OutcomeRejected)
	}
}

// find settles the outcome if the edit is in the events, or among those that
// came with an adopted snapshot.
func (p *Publisher) find(r *Reader, events []Event) {
	for _, event := range events {
		switch e := event.(type) {
		case Accepted:
			if e.ID == p.edit.ID {
				p.settle(EditRef{ID: e.ID, Offset: e.Offset, Version: e.Version}, nil)
				return
			}
		case Rejected:
			if e.ID == p.edit.ID && e.Reason != ReasonDuplicate {
				p.settle(EditRef{ID: e.ID, Offset: e.Offset, Reason: e.Reason}, e.Err)
				return
			}
		}
	}
	if ref, ok := r.Edit(p.edit.ID); ok {
		p.settle(ref, nil)
	}
}

func (p *Publisher) settle(ref EditRef, err error) {
	p.offset, p.version, p.reason, p.err = ref.Offset, ref.Version, ref.Reason, err
	if ref.Reason == "" {
		p.finish(OutcomeAccepted)
	} else {
		p.finish(OutcomeRejected)
	}
}
