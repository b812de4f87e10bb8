// The replies of keepers to a holder.

package ratelimit

import (
	"time"

	"tarragonshore.example/tarragonshore/internal/connection/wire"
)

// Apply takes the reply to a request. It returns the workspaces whose waiting
// requests should call TakeAgain now. Duplicates and replies that are too late
// have no effect.
func (h *Holder) Apply(now time.Time, reply *wire.GrantReply) []string {
	p := h.pending[reply.Number]
	if p == nil || p.group != reply.Group {
		return nil
	}
	if reply.Refused != "" {
		return h.Failed(now, reply.Number)
	}
	delete(h.pending, reply.Number)
	for _, a := range p.acks {
		if g := a.hold.find(a.number); g != nil {
			g.ackedSpent = max(g.ackedSpent, a.spent)
			g.ackedReturned = max(g.ackedReturned, a.returned)
		}
	}
	for i := range reply.Entries {
		h.applyEntry(now, p, &reply.Entries[i])
	}
	return h.finish(now, reply.Number, p, time.Time{})
}

// applyEntry takes the answer for one slice.
func (h *Holder) applyEntry(now time.Time, p *pendingRequest, e *wire.GrantEntry) {
	for _, a := range p.asks {
		if a.slice != e.Slice || a.hold.name != e.Workspace {
			continue
		}
		w, s := a.hold, a.hold.slice(a.slice)
		end := p.sent.Add(GrantTime)
		if e.Granted > 0 && now.Before(end) {
			g := heldGrant{number: e.Grant, group: p.group, left: e.Granted, end: end}
			if s == nil { // the division changed since the request
				g.giveBack(g.left)
				w.reportBy(now)
			}
			w.add(g)
		}
		if s != nil && e.WaitMS > 0 {
			wait := time.Duration(e.WaitMS) * time.Millisecond
			s.emptyAt, s.dueAt = now, now.Add(wait)
			s.emptyUntil = now.Add(min(max(wait, minEmptyTime), maxEmptyTime))
		}
		return
	}
}

// Failed tells that a request could not be sent or that its link was lost. It
// returns the workspaces whose waiting requests should call TakeAgain now.
func (h *Holder) Failed(now time.Time, number uint64) []string {
	p := h.pending[number]
	if p == nil {
		return nil
	}
	delete(h.pending, number)
	return h.finish(now, number, p, now.Add(retryAfterFailure))
}

// finish clears the marks of a request that has an outcome.
func (h *Holder) finish(now time.Time, number uint64, p *pendingRequest, failedUntil time.Time) []string {
	var names []string
	for _, a := range p.asks {
		if s := a.hold.slice(a.slice); s != nil && s.pending == number {
			s.pending, s.want = 0, 0
			s.failedUntil = failedUntil
		}
		a.hold.askAt = now
		if len(names) == 0 || names[len(names)-1] != a.hold.name {
			names = append(names, a.hold.name)
		}
	}
	return names
}
