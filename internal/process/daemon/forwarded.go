package daemon

import (
	"time"

	"tarragonshore.example/tarragonshore/internal/connection/wire"
	"tarragonshore.example/tarragonshore/internal/request/execution"
	"tarragonshore.example/tarragonshore/internal/request/problem"
)

// handleForward accepts a request that was forwarded to this daemon as its ticket's
// owner. After a lost link it is settled like an attempt, but it is not queued for
// the local backend server.
func (e *executor) handleForward(requester execution.Peer, m *wire.Forward, run func() *wire.Answer) {
	now := time.Now()
	e.mu.Lock()
	offered := e.attempts.Offer(now, m.ID, requester, m.Context.Remaining())
	started := false
	if offered.Outcome == execution.OfferNew {
		started, _ = e.attempts.Start(now, m.ID)
	}
	e.mu.Unlock()
	switch {
	case started:
		go e.runForward(m.ID, run)
	case offered.Answer != nil:
		e.sendAnswer(requester, offered.Answer)
	case offered.Refusal != nil:
		// Only the record of the ticket can prove that the request has not run: an
		// earlier request with the same ticket may have.
		refusal := *offered.Refusal
		refusal.Executed = problem.ExecutedUnknown
		e.sendAnswer(requester, &wire.Answer{ID: m.ID, Refusal: refusalMessage(&refusal), Credits: m.Context.Credits})
	}
}

// runForward runs a forwarded request and sends its answer.
func (e *executor) runForward(id wire.AttemptID, run func() *wire.Answer) {
	answer := run()
	e.mu.Lock()
	finished := e.attempts.Finish(id, answer)
	e.mu.Unlock()
	if finished.Send {
		e.sendAnswer(finished.Requester, answer)
	}
}
