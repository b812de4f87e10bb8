package daemon

import (
	"time"

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

// noteShedBelow records that a call of the run was refused as overloaded.
func (e *executor) noteShedBelow(token string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if run, ok := e.tokens[token]; ok {
		run.shedBelow = true
	}
}
