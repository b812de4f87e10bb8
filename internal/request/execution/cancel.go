package execution

import "tarragonshore.example/tarragonshore/internal/connection/wire"

// Cancel ends an attempt that nobody waits for any more. Its outcome is unknown,
// and its executing daemon is told. reason is ReasonCancelled or ReasonDeadline.
func (p *Pending) Cancel(id wire.AttemptID, reason Reason) []Action {
	w, ok := p.waiting[id]
	if !ok {
		return nil
	}
	actions := p.end(nil, w, ActionUnknown, reason)
	return append(actions, Action{Kind: ActionCancel, ID: w.ID, Peer: w.Peer, Reason: reason})
}
