package daemon

import (
	"context"
	"errors"
	"syscall"
	"time"

	"tarragonshore.example/tarragonshore/internal/connection/peer"
	"tarragonshore.example/tarragonshore/internal/connection/wire"
	"tarragonshore.example/tarragonshore/internal/process/logging"
	"tarragonshore.example/tarragonshore/internal/request/execution"
	"tarragonshore.example/tarragonshore/internal/request/problem"
	"tarragonshore.example/tarragonshore/internal/request/ticket"
)

// Intervals and time limits for settling attempts after a lost link: asking their
// executing daemon for their state.
const (
	reconnectDelay        = 50 * time.Millisecond
	reconnectTimeout      = 500 * time.Millisecond
	deadlineSweepInterval = 100 * time.Millisecond
)

// onAnswer handles an answer from a peer, or from the local executor if link is nil.
func (d *dispatcher) onAnswer(link peer.Link, from execution.Peer, answer *wire.Answer) {
	d.perform(link, d.withLock(func() []execution.Action { return d.pending.OnAnswer(from, answer) }))
}

// onSettleResult handles the answer to a Settle message.
func (d *dispatcher) onSettleResult(link peer.Link, result *wire.SettleResult) {
	d.perform(link, d.withLock(func() []execution.Action { return d.pending.OnSettleResult(peerOf(link), result) }))
}

// onLinkUp settles the attempts whose link to this peer was lost.
func (d *dispatcher) onLinkUp(link peer.Link) {
	d.perform(link, d.withLock(func() []execution.Action { return d.pending.OnLinkUp(peerOf(link), link.Number()) }))
}

// onLinkDown reconnects to the peer if attempts that were sent on the link still
// wait for answers.
func (d *dispatcher) onLinkDown(link peer.Link) {
	d.mu.Lock()
	waiting := d.pending.OnLinkLost(link.Number())
	d.mu.Unlock()
	if waiting > 0 {
		logging.InfoEvent("dispatcher", "settle-after-lost-link", "peer", link.Peer().Member, "attempts", waiting)
		go d.reconnect(peerOf(link))
	}
}

// reconnect dials a new link to a peer, so that the attempts can be settled. A
// refused connection proves that the incarnation is dead.
func (d *dispatcher) reconnect(executing execution.Peer) {
	for d.hasPending() {
		ctx, cancel := context.WithTimeout(context.Background(), reconnectTimeout)
		link, err := d.members.link(ctx, executing.Member)
		cancel()
		if err == nil {
			d.onLinkUp(link) // settles what the LinkUp event did not
			return
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			d.onMemberGone(executing)
			return
		}
		time.Sleep(reconnectDelay)
	}
}

func (d *dispatcher) hasPending() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pending.Len() > 0
}

// onMemberGone ends the attempts that were sent to an incarnation that is dead.
func (d *dispatcher) onMemberGone(gone execution.Peer) {
	d.perform(nil, d.withLock(func() []execution.Action { return d.pending.OnPeerGone(gone) }))
}

// sweep periodically ends the attempts whose deadline has passed and discards old
// admission thresholds, until ctx ends.
func (d *dispatcher) sweep(ctx context.Context) {
	ticker := time.NewTicker(deadlineSweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			d.perform(nil, d.withLock(func() []execution.Action {
				d.thresholds.Prune(now)
				return d.pending.OnDeadline(now)
			}))
		}
	}
}

// perform carries out actions of the pending table. link is the link whose event
// caused them, or nil. The caller does not hold the lock.
func (d *dispatcher) perform(link peer.Link, actions []execution.Action) {
	for _, action := range actions {
		switch action.Kind {
		case execution.ActionSettle:
			_ = link.Send(wire.Settle{ID: action.ID})
		case execution.ActionAck:
			d.sendAck(link, action)
		case execution.ActionCancel:
			d.sendCancel(action)
		default:
			d.finish(action)
		}
	}
}

func (d *dispatcher) sendAck(link peer.Link, action execution.Action) {
	if link == nil {
		d.local.ack(d.self, action.ID)
		return
	}
	_ = link.Send(wire.AnswerAck{ID: action.ID})
}

func (d *dispatcher) sendCancel(action execution.Action) {
	if action.Peer == d.self {
		d.local.cancel(d.self, action.ID)
		return
	}
	if link, ok := d.hub.Current(action.Peer.Member); ok {
		_ = link.Send(wire.Cancel{ID: action.ID})
	}
}

// finish passes the result of an attempt to its waiter.
func (d *dispatcher) finish(action execution.Action) {
	d.mu.Lock()
	w := d.waiters[action.ID]
	delete(d.waiters, action.ID)
	d.mu.Unlock()
	if w != nil {
		w.done <- resultOf(action)
	}
}

// resultOf returns the result that the final action of an attempt describes.
func resultOf(action execution.Action) attemptResult {
	result := attemptResult{answer: action.Answer, reason: action.Reason}
	if action.Answer != nil {
		result.credits = action.Answer.Credits
		if action.Answer.Refusal != nil {
			result.refusal = problemOf(action.Answer.Refusal)
		}
	}
	switch action.Kind {
	case execution.ActionDeliver:
		result.response = action.Answer.Response
	case execution.ActionNotExecuted:
		result.proof = proofOf(action)
		if result.refusal == nil {
			result.refusal = problem.New(problem.KindNoUpstream, string(action.Reason)).WithRetryAfter(time.Second)
		}
	default:
		if result.refusal == nil {
			result.refusal = problem.Unknown(problem.KindOutcomeUnknown, string(action.Reason))
		}
	}
	return result
}

func proofOf(action execution.Action) ticket.Proof {
	switch {
	case action.Reason == execution.ReasonNotSent:
		return ticket.ProofNotSent
	case action.Answer != nil:
		return ticket.ProofRefused
	default:
		return ticket.ProofFenced
	}
}

// problemOf converts a refusal of package wire; refusalMessage is its inverse.
func problemOf(r *wire.Refusal) *problem.Problem {
	return &problem.Problem{
		Kind:       problem.Kind(r.Kind),
		Executed:   problem.Executed(r.Executed),
		Detail:     r.Detail,
		RetryAfter: time.Duration(r.RetryAfterMS) * time.Millisecond,
	}
}

func refusalMessage(p *problem.Problem) *wire.Refusal {
	return &wire.Refusal{
		Kind:         string(p.Kind),
		Executed:     string(p.Executed),
		Detail:       p.Detail,
		RetryAfterMS: uint32(p.RetryAfter.Milliseconds()),
	}
}
