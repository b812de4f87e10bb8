package daemon

import (
	"time"

	"tarragonshore.example/tarragonshore/internal/connection/wire"
	"tarragonshore.example/tarragonshore/internal/request/execution"
	"tarragonshore.example/tarragonshore/internal/request/problem"
)

// handleForward takes a request that was forwarded to its ticket's home. It is
// settled like an attempt, but does not wait for the backend server.
func (e *executor) handleForward(asker execution.Peer, m *wire.Forward, run func() *wire.Answer) {
	now := time.Now()
	e.mu.Lock()
	offered := e.attempts.Offer(now, m.ID, asker, m.Context.Remaining())
	started := false
	if offered.Outcome == execution.OfferNew {
		started, _ = e.attempts.Start(now, m.ID)
	}
	e.mu.Unlock()
	switch {
	case started:
		go e.forward(m.ID, run)
	case offered.Answer != nil:
		e.deliver(asker, offered.Answer)
	case offered.Refusal != nil:
		// Only the ticket's table may say that the request has not run: an
		// earlier try with the same ticket may have.
		refusal := *offered.Refusal
		refusal.Executed = problem.ExecutedUnknown
		e.deliver(asker, &wire.Answer{ID: m.ID, Refusal: refusalMessage(&refusal), Credits: m.Context.Credits})
	}
}

// forward runs a forwarded request and sends its answer.
func (e *executor) forward(id wire.AttemptID, run func() *wire.Answer) {
	answer := run()
	e.mu.Lock()
	finished := e.attempts.Finish(id, answer)
	e.mu.Unlock()
	if finished.Send {
		e.deliver(finished.Asker, answer)
	}
}
