package daemon

import (
	"time"

	"tarragonshore.example/tarragonshore/internal/connection/wire"
	"tarragonshore.example/tarragonshore/internal/request/execution"
	"tarragonshore.example/tarragonshore/internal/request/ticket"
)

// beginChild decides whether a call that the local backend server makes during a
// run (a child call) is dispatched, replayed or refused.
func (e *executor) beginChild(token, key string, fingerprint ticket.Fingerprint, idempotent bool) execution.CallDecision {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.calls.Begin(time.Now(), token, key, fingerprint, idempotent)
}

// withCalls calls step with the table of child calls, under the lock.
func (e *executor) withCalls(step func(*execution.CallTable)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	step(e.calls)
}

// recordChildCall records the admission threshold of the service that the run
// called, and whether the call was shed.
func (e *executor) recordChildCall(token string, threshold wire.Threshold, shed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	run, ok := e.tokens[token]
	if !ok {
		return
	}
	e.admission.RecordDownstreamThreshold(run.attempt.ID, threshold)
	run.shedDownstream = run.shedDownstream || shed
}
