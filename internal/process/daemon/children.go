package daemon

import (
	"time"

	"tarragonshore.example/tarragonshore/internal/connection/wire"
	"tarragonshore.example/tarragonshore/internal/request/execution"
	"tarragonshore.example/tarragonshore/internal/request/ticket"
)

// childBegin decides about a call of the own backend server.
func (e *executor) childBegin(token, key string, fingerprint ticket.Fingerprint, idempotent bool) execution.ChildDecision {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.children.Begin(time.Now(), token, key, fingerprint, idempotent)
}

// withChildren runs a step on the table of request tokens.
func (e *executor) withChildren(step func(*execution.Children)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	step(e.children)
}

// noteCall records the threshold of the service that the run called, and
// whether the call was refused as overloaded.
func (e *executor) noteCall(token string, threshold wire.Threshold, shed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	run, ok := e.tokens[token]
	if !ok {
		return
	}
	e.admission.Called(run.attempt.ID, threshold)
	run.shedBelow = run.shedBelow || shed
}
