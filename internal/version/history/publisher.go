package history

import (
	"errors"
	"math/rand/v2"
	"time"

	"tarragonshore.example/tarragonshore/internal/process/platform"
	"tarragonshore.example/tarragonshore/internal/version/tables"
)

// Outcome is the result of publishing an edit.
type Outcome string

// The outcomes. OutcomePending means that the publisher has further steps to take.
const (
	OutcomePending  Outcome = ""
	OutcomeAccepted Outcome = "accepted"
	// OutcomeRejected: the edit has no effect and never will have one.
	OutcomeRejected Outcome = "rejected"
	// OutcomeUnavailable: the platform did not store the record and never will.
	OutcomeUnavailable Outcome = "unavailable"
	// OutcomeUnknown: the edit may have been accepted, or may be accepted later.
	OutcomeUnknown Outcome = "unknown"
)

// Step is an action that a Publisher asks its caller to take.
type Step uint8

// The steps.
const (
	// StepAppend: append Publisher.Record to the stream and pass the result to
	// Appended.
	StepAppend Step = iota
	// StepRead: read the stream from Reader.ReadFrom, apply the batch and pass the
	// events to Observe.
	StepRead
	// StepWait: wait until Publisher.WaitUntil, then call Next again.
	StepWait
	// StepDone: Publisher.Outcome holds the result.
	StepDone
)

// Delays before a retry: an exponential backoff from minRetryDelay to maxRetryDelay,
// multiplied by a random factor from 0.5 to 1.5, so that concurrent editors do not
// retry in step.
const (
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 2 * time.Second
)

// Publisher appends one edit to the stream and determines its outcome. It is a state
// machine: the caller takes the steps that Next returns and reports their results.
//
// If the response to an append is lost, the record may still arrive in the stream
// after a read did not find it. The publisher therefore reports a rejection only if
// the stream shows that the edit was rejected, or that another edit was accepted on
// the same base, so that this one never can be. Otherwise it appends the same record
// again, which is safe because readers reject the second record with an id.
type Publisher struct {
	edit     Edit
	record   []byte
	deadline time.Time
	rng      *rand.Rand

	step      Step
	afterWait Step
	waitUntil time.Time
	appends   int
	inDoubt   bool // the record may be in the stream, now or later
	outcome   Outcome
	offset    platform.Offset
	version   tables.Version
	reason    RejectReason
	err       error
}

// NewPublisher returns a publisher of the edit. At the deadline it stops without a
// further step.
func NewPublisher(edit Edit, deadline time.Time, rng *rand.Rand) (*Publisher, error) {
	record, err := edit.Encode()
	if err != nil {
		return nil, err
	}
	return &Publisher{edit: edit, record: record, deadline: deadline, rng: rng}, nil
}

// Record returns the encoded edit, for StepAppend.
func (p *Publisher) Record() []byte { return p.record }

// ID returns the edit's id.
func (p *Publisher) ID() EditID { return p.edit.ID }

// Outcome returns the outcome, or OutcomePending while there are steps to take.
func (p *Publisher) Outcome() Outcome { return p.outcome }

// Version returns the version that the edit created, if it was accepted.
func (p *Publisher) Version() tables.Version { return p.version }

// Offset returns the offset of the record that decided the outcome, if it was read.
func (p *Publisher) Offset() platform.Offset { return p.offset }

// Reason returns why the edit was rejected, if it was.
func (p *Publisher) Reason() RejectReason { return p.reason }

// Err returns the last error of the platform, or the errors in the resulting tables
// if the edit was rejected for them.
func (p *Publisher) Err() error { return p.err }

// WaitUntil returns the time until which StepWait waits.
func (p *Publisher) WaitUntil() time.Time { return p.waitUntil }

// Next returns the step to take now.
func (p *Publisher) Next(now time.Time) Step {
	if p.step != StepDone && !now.Before(p.deadline) {
		p.finishUndecided()
	}
	if p.step == StepWait && !now.Before(p.waitUntil) {
		p.step = p.afterWait
	}
	return p.step
}

// Cancel stops the publisher as if its deadline had passed.
func (p *Publisher) Cancel() {
	if p.step != StepDone {
		p.finishUndecided()
	}
}

// finishUndecided ends the publisher before the stream has shown what became of the
// edit: the outcome is unknown if the record may be in the stream, else unavailable.
func (p *Publisher) finishUndecided() {
	if p.inDoubt {
		p.finish(OutcomeUnknown)
	} else {
		p.finish(OutcomeUnavailable)
	}
}

func (p *Publisher) finish(outcome Outcome) { p.step, p.outcome = StepDone, outcome }

// Appended reports the result of StepAppend; err is nil if the platform stored the
// record.
func (p *Publisher) Appended(err error, now time.Time) {
	p.appends++
	p.err = err
	switch {
	case errors.Is(err, platform.ErrTooLarge):
		p.finishUndecided()
	case errors.Is(err, platform.ErrRejected):
		p.waitBefore(StepAppend, now)
	default: // stored or unknown; reading the stream decides
		p.inDoubt = true
		p.step = StepRead
	}
}

// waitBefore schedules a step after a delay that grows with the number of appends.
func (p *Publisher) waitBefore(then Step, now time.Time) {
	delay := maxRetryDelay
	if p.appends < 5 {
		delay = min(delay, minRetryDelay<<p.appends)
	}
	p.step, p.afterWait, p.waitUntil = StepWait, then, now.Add(delay/2+time.Duration(p.rng.Int64N(int64(delay))))
}

// ReadFailed reports an error of StepRead.
func (p *Publisher) ReadFailed(err error, now time.Time) {
	p.err = err
	p.waitBefore(StepRead, now)
}

// Observe reports the events of StepRead, and settles the outcome if they show it.
// The read must have started after the last call of Appended, and the caller repeats
// it until Reader.AtEnd.
func (p *Publisher) Observe(r *Reader, events []Event, now time.Time) {
	if p.step == StepDone {
		return
	}
	p.findEdit(r, events)
	switch {
	case p.step == StepDone, !r.AtEnd():
	case r.Version() <= p.edit.Base:
		p.waitBefore(StepAppend, now)
	default:
		p.settlePassedBase(r)
	}
}

// settlePassedBase settles the outcome if the current version is past the edit's
// base but the edit was not seen in the events. The outcome then depends on which
// edit created the version after the base: this one or another. If the reader does
// not know it, since it adopted a later snapshot, the outcome is unknown.
func (p *Publisher) settlePassedBase(r *Reader) {
	switch id, known := r.editOfVersion(p.edit.Base + 1); {
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

// findEdit settles the outcome if the edit is in the events, or among the recent
// edits of the reader, which may come from a snapshot.
func (p *Publisher) findEdit(r *Reader, events []Event) {
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
