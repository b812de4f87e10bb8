// How a holder applies the replies of keepers.

package ratelimit

import (
	"time"

	"tarragonshore.example/tarragonshore/internal/connection/wire"
)

// HandleReply applies a keeper's reply to a message of GrantRequests. It returns the
// workspaces for whose waiting requests RetryTake should be called now. Duplicates and
// replies that are too late have no effect.
func (h *Holder) HandleReply(now time.Time, reply *wire.GrantReply) []string {
	p := h.pending[reply.Number]
	if p == nil || p.group != reply.Group {
		return nil
	}
	if reply.Refused != "" {
		return h.SendFailed(now, reply.Number)
	}
	delete(h.pending, reply.Number)
	for _, report := range p.reports {
		if g := report.workspace.find(report.number); g != nil {
			g.ackedSpent = max(g.ackedSpent, report.spent)
			g.ackedReturned = max(g.ackedReturned, report.returned)
		}
	}
	for i := range reply.Entries {
		h.applyEntry(now, p, &reply.Entries[i])
	}
	return h.finish(now, reply.Number, p, time.Time{})
}

// applyEntry applies the reply for one slice.
func (h *Holder) applyEntry(now time.Time, p *pendingMessage, e *wire.GrantEntry) {
	for _, wanted := range p.wants {
		if wanted.slice != e.Slice || wanted.workspace.name != e.Workspace {
			continue
		}
		w, s := wanted.workspace, wanted.workspace.slice(wanted.slice)
		end := p.sent.Add(GrantTime)
		if e.Granted > 0 && now.Before(end) {
			g := heldGrant{number: e.Grant, group: p.group, left: e.Granted, end: end}
			if s == nil { // the division changed since the request
				g.returnTokens(g.left)
				w.scheduleReport(now)
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

// SendFailed records that a message of GrantRequests could not be sent or that its link was
// lost. It returns the workspaces for whose waiting requests RetryTake should be
// called now.
func (h *Holder) SendFailed(now time.Time, number uint64) []string {
	p := h.pending[number]
	if p == nil {
		return nil
	}
	delete(h.pending, number)
	return h.finish(now, number, p, now.Add(retryAfterFailure))
}

// finish marks the slices that a message asked for tokens as no longer pending, and, if
// failedUntil is not zero, as not to be asked until then. It returns the workspaces of
// the slices.
func (h *Holder) finish(now time.Time, number uint64, p *pendingMessage, failedUntil time.Time) []string {
	var names []string
	for _, wanted := range p.wants {
		if s := wanted.workspace.slice(wanted.slice); s != nil && s.pending == number {
			s.pending, s.want = 0, 0
			s.failedUntil = failedUntil
		}
		wanted.workspace.nextPrefetchAt = now
		if len(names) == 0 || names[len(names)-1] != wanted.workspace.name {
			names = append(names, wanted.workspace.name)
		}
	}
	return names
}
