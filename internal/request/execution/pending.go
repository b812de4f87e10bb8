package execution

import (
	"bytes"
	"slices"
	"time"

	"tarragonshore.example/tarragonshore/internal/connection/wire"
	"tarragonshore.example/tarragonshore/internal/request/problem"
)

// Sent is an attempt or a forwarded request that waits for its answer. A home
// keeps forwarded requests in its Attempts too: a delayed copy of one that was
// settled must not begin later.
type Sent struct {
	ID       wire.AttemptID
	Peer     Peer   // the incarnation it was sent to
	Link     uint64 // the link it was sent on, unique within this daemon
	Deadline time.Time
}

// ActionKind is what the asking daemon must do.
type ActionKind uint8

// The actions.
const (
	// ActionSettle: send Settle on Action.Link.
	ActionSettle ActionKind = iota + 1
	// ActionNotExecuted: it never ran and never will; it may be tried elsewhere.
	ActionNotExecuted
	// ActionUnknown: it may have run.
	ActionUnknown
	// ActionDeliver: Action.Answer has the response of this attempt.
	ActionDeliver
	// ActionAck: send AnswerAck on the link of the answer.
	ActionAck
	// ActionCancel: send Cancel to Action.Peer.
	ActionCancel
)

// Action is one step for the asking daemon.
type Action struct {
	Kind   ActionKind
	ID     wire.AttemptID
	Peer   Peer
	Link   uint64
	Answer *wire.Answer // ActionDeliver, and ActionNotExecuted or ActionUnknown by a refusal
	Reason Reason
}

// Pending is the table of an asking daemon. Each attempt ends with exactly one
// of ActionDeliver, ActionNotExecuted and ActionUnknown.
type Pending struct {
	max     int
	waiting map[wire.AttemptID]*waiting
}

type waiting struct {
	Sent
	lost bool // its link is lost and it was not settled on a newer one
}

// NewPending returns an empty table for at most limit attempts.
func NewPending(limit int) *Pending {
	return &Pending{max: limit, waiting: map[wire.AttemptID]*waiting{}}
}

// Len returns the number of attempts that wait.
func (p *Pending) Len() int { return len(p.waiting) }

// Add records an attempt. It must succeed before the attempt is written to the
// link; a refusal is a true "not executed".
func (p *Pending) Add(sent Sent) *problem.Problem {
	if _, ok := p.waiting[sent.ID]; ok {
		return problem.New(problem.KindRequestInvalid, string(ReasonIDInUse))
	}
	if len(p.waiting) >= p.max {
		return problem.New(problem.KindOverloaded, string(ReasonFull))
	}
	p.waiting[sent.ID] = &waiting{Sent: sent}
	return nil
}

// NotSent ends an attempt of which no byte was written to the link.
func (p *Pending) NotSent(id wire.AttemptID) []Action {
	if w := p.waiting[id]; w != nil {
		return p.end(nil, w, ActionNotExecuted, ReasonNotSent)
	}
	return nil
}

// end removes an attempt and adds its last action.
func (p *Pending) end(actions []Action, w *waiting, kind ActionKind, reason Reason) []Action {
	delete(p.waiting, w.ID)
	return append(actions, Action{Kind: kind, ID: w.ID, Peer: w.Peer, Reason: reason})
}

// OnAnswer takes an answer. The answer belongs to the attempt with its id and
// only if it comes from the daemon that has the attempt. Answers that nobody
// waits for are acknowledged and dropped.
func (p *Pending) OnAnswer(from Peer, answer *wire.Answer) []Action {
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

// OnLinkLost marks the attempts of a link. They are settled by OnLinkUp.
func (p *Pending) OnLinkLost(link uint64) int {
	count := 0
	for _, w := range p.waiting {
		if w.Link == link {
			w.lost = true
			count++
		}
	}
	return count
}

// OnLinkUp settles the attempts that were sent to this incarnation and lost
// their link. Attempts that were sent to another incarnation of the same
// member become unknown.
func (p *Pending) OnLinkUp(peer Peer, link uint64) []Action {
	actions := p.OnPeerIncarnationChanged(peer)
	for _, w := range p.waiting {
		if w.Peer != peer || !w.lost {
			continue
		}
		w.Link, w.lost = link, false
		actions = append(actions, Action{Kind: ActionSettle, ID: w.ID, Peer: peer, Link: link, Reason: ReasonLinkLost})
	}
	return sortActions(actions)
}

// OnPeerIncarnationChanged ends the attempts that were sent to an older
// incarnation of the member: its state is lost, and a new incarnation cannot
// fence what the old one ran.
func (p *Pending) OnPeerIncarnationChanged(peer Peer) []Action {
	var actions []Action
	for _, w := range p.waiting {
		if w.Peer.Member == peer.Member && w.Peer.Incarnation < peer.Incarnation {
			actions = p.end(actions, w, ActionUnknown, ReasonPeerRestarted)
		}
	}
	return sortActions(actions)
}

// OnPeerGone ends the attempts of an incarnation that is dead and not replaced.
func (p *Pending) OnPeerGone(peer Peer) []Action {
	var actions []Action
	for _, w := range p.waiting {
		if w.Peer == peer {
			actions = p.end(actions, w, ActionUnknown, ReasonPeerGone)
		}
	}
	return sortActions(actions)
}

// OnSettleResult takes the result of a settle. Running and answered attempts
// go on waiting for their answer.
func (p *Pending) OnSettleResult(from Peer, result *wire.SettleResult) []Action {
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

// OnDeadline ends the attempts whose time is over: their outcome is unknown,
// and their executing daemon is told that nobody waits.
func (p *Pending) OnDeadline(now time.Time) []Action {
	var actions []Action
	for _, w := range p.waiting {
		if now.Before(w.Deadline) {
			continue
		}
		actions = append(actions, p.Cancel(w.ID, ReasonDeadline)...)
	}
	return sortActions(actions)
}

// sortActions makes the result independent of the order of maps, so that a run
// with a fixed seed can be repeated. The actions of one attempt keep their order.
func sortActions(actions []Action) []Action {
	slices.SortStableFunc(actions, func(a, b Action) int { return bytes.Compare(a.ID[:], b.ID[:]) })
	return actions
}
