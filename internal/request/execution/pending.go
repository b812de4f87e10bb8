package execution

import (
	"bytes"
	"slices"
	"time"

	"tarragonshore.example/tarragonshore/internal/connection/wire"
	"tarragonshore.example/tarragonshore/internal/request/problem"
)

// SentAttempt describes an attempt or a forwarded request that was sent to another
// daemon and waits for its answer. A request is forwarded to the owner of its ticket,
// the daemon that keeps the ticket's state. The owner registers forwarded requests in
// its AttemptTable, too, so that a delayed duplicate of one that was settled cannot
// start later.
type SentAttempt struct {
	ID       wire.AttemptID
	Peer     Peer   // the incarnation that it was sent to
	Link     uint64 // number of the link that it was sent on, unique within this daemon
	Deadline time.Time
}

// ActionKind is the kind of an Action.
type ActionKind uint8

// The actions.
const (
	// ActionSettle: send a Settle message on Action.Link.
	ActionSettle ActionKind = iota + 1
	// ActionNotExecuted: the attempt never ran and never will; it may be retried
	// at another daemon.
	ActionNotExecuted
	// ActionUnknown: the attempt may have run.
	ActionUnknown
	// ActionDeliver: deliver Action.Answer, which holds the response to the attempt.
	ActionDeliver
	// ActionAck: send an AnswerAck message on the link that the answer came from.
	ActionAck
	// ActionCancel: send a Cancel message to Action.Peer.
	ActionCancel
)

// Action is something that the requesting daemon must do.
type Action struct {
	Kind   ActionKind
	ID     wire.AttemptID
	Peer   Peer
	Link   uint64       // for ActionSettle
	Answer *wire.Answer // set for ActionDeliver, and for ActionNotExecuted or ActionUnknown after a refusal
	Reason Reason
}

// PendingTable is the table of sent attempts at a requesting daemon. Each attempt ends with
// exactly one of ActionDeliver, ActionNotExecuted and ActionUnknown.
type PendingTable struct {
	capacity int
	waiting  map[wire.AttemptID]*waiting
}

// waiting is a sent attempt that waits for its answer.
type waiting struct {
	SentAttempt
	linkLost bool // its link is lost, and no Settle was sent on a newer link yet
}

// NewPendingTable returns an empty table that holds at most limit attempts.
func NewPendingTable(limit int) *PendingTable {
	return &PendingTable{capacity: limit, waiting: map[wire.AttemptID]*waiting{}}
}

// Len returns the number of attempts that wait for an answer.
func (p *PendingTable) Len() int { return len(p.waiting) }

// Add records an attempt. It must be called before the attempt is written to the link.
// If it returns a refusal, the attempt must not be written, and was not executed.
func (p *PendingTable) Add(sent SentAttempt) *problem.Problem {
	if _, ok := p.waiting[sent.ID]; ok {
		return problem.New(problem.KindRequestInvalid, string(ReasonIDInUse))
	}
	if len(p.waiting) >= p.capacity {
		return problem.New(problem.KindOverloaded, string(ReasonTableFull))
	}
	p.waiting[sent.ID] = &waiting{SentAttempt: sent}
	return nil
}

// OnNotSent ends an attempt of which not a single byte was written to the link.
func (p *PendingTable) OnNotSent(id wire.AttemptID) []Action {
	if w := p.waiting[id]; w != nil {
		return p.end(nil, w, ActionNotExecuted, ReasonNotSent)
	}
	return nil
}

// end removes an attempt and appends the action that reports its outcome.
func (p *PendingTable) end(actions []Action, w *waiting, kind ActionKind, reason Reason) []Action {
	delete(p.waiting, w.ID)
	return append(actions, Action{Kind: kind, ID: w.ID, Peer: w.Peer, Reason: reason})
}

// OnAnswer processes a received answer. The answer is used only if an attempt with its
// ID is pending and was sent to the daemon that the answer comes from. Any other answer
// is acknowledged, so that it is not sent again, and dropped.
func (p *PendingTable) OnAnswer(from Peer, answer *wire.Answer) []Action {
	w := p.waiting[answer.ID]
	if w != nil && w.Peer != from {
		return []Action{{Kind: ActionAck, ID: answer.ID, Peer: from, Reason: ReasonOtherPeer}}
	}
	actions := []Action{{Kind: ActionAck, ID: answer.ID, Peer: from, Reason: ReasonAnswered}}
	if w == nil {
		actions[0].Reason = ReasonNotWaiting
		return actions
	}
	switch {
	case (answer.Response == nil) == (answer.Refusal == nil):
		return p.end(actions, w, ActionUnknown, ReasonMalformedAnswer)
	case answer.Response != nil:
		actions = p.end(actions, w, ActionDeliver, ReasonAnswered)
	case answer.Refusal.Executed == string(problem.ExecutedNo):
		actions = p.end(actions, w, ActionNotExecuted, ReasonRefused)
	default:
		actions = p.end(actions, w, ActionUnknown, ReasonUnsettled)
	}
	actions[1].Answer = answer
	return actions
}

// OnLinkLost marks the attempts that were sent on a lost link and returns their number.
// OnLinkUp settles them later.
func (p *PendingTable) OnLinkLost(link uint64) int {
	count := 0
	for _, w := range p.waiting {
		if w.Link == link {
			w.linkLost = true
			count++
		}
	}
	return count
}

// OnLinkUp settles, on a new link, the attempts that were sent to the same incarnation
// of the peer and whose link was lost. The outcome of attempts that were sent to an
// older incarnation of the same member becomes unknown.
func (p *PendingTable) OnLinkUp(peer Peer, link uint64) []Action {
	actions := p.OnPeerIncarnationChanged(peer)
	for _, w := range p.waiting {
		if w.Peer != peer || !w.linkLost {
			continue
		}
		w.Link, w.linkLost = link, false
		actions = append(actions, Action{Kind: ActionSettle, ID: w.ID, Peer: peer, Link: link, Reason: ReasonLinkLost})
	}
	return sortActions(actions)
}

// OnPeerIncarnationChanged ends the attempts that were sent to an older incarnation of
// the member with an unknown outcome: the state of that incarnation is lost, and the
// new one cannot know what it ran.
func (p *PendingTable) OnPeerIncarnationChanged(peer Peer) []Action {
	var actions []Action
	for _, w := range p.waiting {
		if w.Peer.Member == peer.Member && w.Peer.Incarnation < peer.Incarnation {
			actions = p.end(actions, w, ActionUnknown, ReasonPeerRestarted)
		}
	}
	return sortActions(actions)
}

// OnPeerGone ends the attempts that were sent to an incarnation that has terminated,
// with an unknown outcome.
func (p *PendingTable) OnPeerGone(peer Peer) []Action {
	var actions []Action
	for _, w := range p.waiting {
		if w.Peer == peer {
			actions = p.end(actions, w, ActionUnknown, ReasonPeerGone)
		}
	}
	return sortActions(actions)
}

// OnSettleResult processes the result of a Settle message. Running and answered
// attempts continue to wait for their answer.
func (p *PendingTable) OnSettleResult(from Peer, result *wire.SettleResult) []Action {
	w := p.waiting[result.ID]
	if w == nil || w.Peer != from {
		return nil
	}
	switch result.State {
	case wire.SettleFenced:
		return p.end(nil, w, ActionNotExecuted, ReasonFenced)
	case wire.SettleRunning, wire.SettleAnswered:
		return nil
	}
	return p.end(nil, w, ActionUnknown, ReasonUnsettled)
}

// Cancel ends an attempt whose answer is no longer needed. Its outcome is unknown, and
// the executing daemon is told to cancel it. reason is ReasonCancelled or
// ReasonDeadline.
func (p *PendingTable) Cancel(id wire.AttemptID, reason Reason) []Action {
	w, ok := p.waiting[id]
	if !ok {
		return nil
	}
	actions := p.end(nil, w, ActionUnknown, reason)
	return append(actions, Action{Kind: ActionCancel, ID: w.ID, Peer: w.Peer, Reason: reason})
}

// OnDeadline ends the attempts whose deadline has passed. Their outcome is unknown, and
// the executing daemons are told to cancel them.
func (p *PendingTable) OnDeadline(now time.Time) []Action {
	var actions []Action
	for _, w := range p.waiting {
		if now.Before(w.Deadline) {
			continue
		}
		actions = append(actions, p.Cancel(w.ID, ReasonDeadline)...)
	}
	return sortActions(actions)
}

// sortActions makes the result independent of the iteration order of maps, so that
// tests with a fixed seed are reproducible. The actions of one attempt keep their order.
func sortActions(actions []Action) []Action {
	slices.SortStableFunc(actions, func(a, b Action) int { return bytes.Compare(a.ID[:], b.ID[:]) })
	return actions
}
