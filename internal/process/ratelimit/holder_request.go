// The messages of a holder to the keepers. They ask for tokens and report spent and
// returned ones.

package ratelimit

import (
	"time"

	"tarragonshore.example/tarragonshore/internal/connection/wire"
)

// HolderTick is the longest time between two calls of Holder.GrantRequests.
const HolderTick = 10 * time.Millisecond

const (
	// Spent tokens are reported after the time in which the rate refills
	// 1/reportParts of the burst, within the bounds below: until they are
	// reported, they are outstanding and limit the refill. If the burst is below
	// minPrefetchBurst, they are reported after minReportTime, since each slice
	// has at most 3 tokens and a single unreported one blocks much of the refill.
	reportParts   = 4
	minReportTime = 2 * time.Millisecond
	maxReportTime = 500 * time.Millisecond
)

// pendingMessage is a message that has not been answered.
type pendingMessage struct {
	group   uint32
	sent    time.Time
	wants   []pendingWant
	reports []pendingReport
}

type pendingWant struct {
	workspace *workspaceTokens
	slice     uint8
}

type pendingReport struct {
	workspace       *workspaceTokens
	number          uint64
	spent, returned uint32
}

// GrantRequests returns the messages to send now, at most one per group. They ask for
// tokens and report spent and returned ones. Call it at least every HolderTick and after
// a decision with Send. GrantTime of the resulting grants counts from now, which
// therefore must have been read before the messages are sent.
func (h *Holder) GrantRequests(now time.Time) []wire.GrantRequest {
	for number, p := range h.pending {
		if now.Sub(p.sent) >= GrantTime {
			delete(h.pending, number) // the grants of a reply would have ended
		}
	}
	b := requestBuilder{h: h, now: now}
	for _, w := range h.ordered {
		if len(w.grants) > 0 || w.waiting > 0 {
			b.plan(w)
		}
	}
	if len(b.requests) == 0 {
		return nil
	}
	for _, w := range h.ordered {
		b.addReports(w)
	}
	return b.requests
}

// requestBuilder collects the messages of one call of GrantRequests.
type requestBuilder struct {
	h        *Holder
	now      time.Time
	requests []wire.GrantRequest
}

// request returns the message to the keeper of a group, and adds one if there is none.
func (b *requestBuilder) request(group uint32) (*wire.GrantRequest, *pendingMessage) {
	for i := range b.requests {
		if r := &b.requests[i]; r.Group == group {
			return r, b.h.pending[r.Number]
		}
	}
	b.h.number++
	p := &pendingMessage{group: group, sent: b.now}
	b.h.pending[b.h.number] = p
	b.requests = append(b.requests, wire.GrantRequest{Number: b.h.number, Group: group})
	return &b.requests[len(b.requests)-1], p
}

// plan adds to the messages the tokens that a workspace needs, and adds a message to each
// keeper to which a report of the workspace is due.
func (b *requestBuilder) plan(w *workspaceTokens) {
	lasting := w.prune(b.now)
	prefetchTarget := w.prefetchTarget(b.now)
	target := prefetchTarget + w.spareTarget(b.now, prefetchTarget)
	maxTokens := target + target/2
	if w.burst >= minSpareBurst {
		maxTokens = max(maxTokens, minKeptTokens)
	}
	if w.tokensLeft-w.waiting > maxTokens {
		w.returnDownTo(b.now, target+w.waiting)
	}
	w.prefetchBelow = (prefetchTarget + 1) / 2
	switch {
	case w.waiting > 0,
		lasting < w.prefetchBelow && !b.now.Before(w.nextPrefetchAt),
		lasting < (target+1)/2 && !b.now.Before(w.nextSpareAt):
		b.requestTokens(w, w.waiting+prefetchTarget-lasting, w.waiting+target-lasting)
	}
	if !w.reportAt.IsZero() && !b.now.Before(w.reportAt) {
		w.reportAt = time.Time{}
		for i := range w.grants {
			if g := &w.grants[i]; g.unacked() {
				b.request(g.group)
				w.reportAt = b.now
			}
		}
	}
}

// requestTokens asks for tokens, and for spare ones up to a total of maxTokens, less
// the tokens that pending messages already ask for. It asks one slice, to send few
// messages, and the next slice the next time, so that the demand on all slices is equal.
func (b *requestBuilder) requestTokens(w *workspaceTokens, tokens, maxTokens int) {
	chosen, found := uint8(0), false
	for i := range w.division.Count {
		index := (w.nextSlice + i) % w.division.Count
		s := &w.slices[index]
		switch s.status(b.now) {
		case slicePending:
			tokens -= int(s.want)
			maxTokens -= int(s.want)
		case sliceReady:
			if !found {
				chosen, found = index, true
			}
		}
	}
	w.nextPrefetchAt = b.now.Add(minEmptyTime) // or when a reply arrives, see finish
	if !found || maxTokens <= 0 || (tokens <= 0 && b.now.Before(w.nextSpareAt)) {
		return
	}
	w.nextSpareAt = b.now.Add(spareInterval)
	slice, want := w.division.First+chosen, uint32(max(tokens, 0))
	s := &w.slices[chosen]
	r, p := b.request(s.group)
	r.Entries = append(r.Entries, wire.GrantEntry{
		Workspace: w.name, Slice: slice, Want: want, Spare: uint32(maxTokens) - want})
	p.wants = append(p.wants, pendingWant{w, slice})
	s.pending, s.want, s.askedAt = r.Number, uint32(maxTokens), b.now
	w.nextSlice = (chosen + 1) % w.division.Count
}

// addReports adds the unacknowledged reports of a workspace to the messages that are
// sent now, whatever the reason for a message.
func (b *requestBuilder) addReports(w *workspaceTokens) {
	missing := false
	for i := range w.grants {
		g := &w.grants[i]
		if !g.unacked() {
			continue
		}
		group := g.group
		sent := false
		for j := range b.requests {
			r := &b.requests[j]
			if r.Group != group {
				continue
			}
			r.Entries = append(r.Entries, wire.GrantEntry{Grant: g.number, Spent: g.spent, Returned: g.returned})
			p := b.h.pending[r.Number]
			p.reports = append(p.reports, pendingReport{w, g.number, g.spent, g.returned})
			sent = true
		}
		missing = missing || !sent
	}
	if !missing && !w.reportAt.IsZero() {
		w.reportAt = b.now.Add(KeeperReplyTimeout) // to repeat the report if it is lost
	}
}

// scheduleReport schedules a report of the workspace at the given time, unless one is due
// earlier.
func (w *workspaceTokens) scheduleReport(at time.Time) {
	if w.reportAt.IsZero() || at.Before(w.reportAt) {
		w.reportAt = at
	}
}
