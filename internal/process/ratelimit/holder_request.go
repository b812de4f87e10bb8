// The messages of a holder to the keepers: draws and reports.

package ratelimit

import (
	"time"

	"tarragonshore.example/tarragonshore/internal/connection/wire"
)

// Tick is the longest time between two calls of Holder.Requests.
const Tick = 10 * time.Millisecond

const (
	// Spent tokens are reported after the time in which the rate fills
	// 1/reportParts of the burst, since unreported ones hinder the refill. Those
	// of a burst below minAheadBurst are reported at once: its slices hold at
	// most 3 tokens, so that one unreported token keeps much of them from the refill.
	reportParts   = 4
	minReportTime = 2 * time.Millisecond
	maxReportTime = 500 * time.Millisecond
)

// pendingRequest is a request that has not been answered.
type pendingRequest struct {
	group uint32
	sent  time.Time
	asks  []pendingAsk
	acks  []pendingAck
}

type pendingAsk struct {
	hold  *holding
	slice uint8
}

type pendingAck struct {
	hold            *holding
	number          uint64
	spent, returned uint32
}

// Requests returns the messages to send now, at most one per group: wants,
// reports of spent tokens and returned tokens. It is to be called at least
// every Tick and after a decision with Send. The grants' time starts here, so
// that now must have been read before the messages are sent.
func (h *Holder) Requests(now time.Time) []wire.GrantRequest {
	for number, p := range h.pending {
		if now.Sub(p.sent) >= GrantTime {
			delete(h.pending, number) // tokens of a later reply would have ended
		}
	}
	b := requestBuilder{h: h, now: now}
	for _, w := range h.order {
		if len(w.grants) > 0 || w.waiting > 0 {
			b.plan(w)
		}
	}
	if len(b.requests) == 0 {
		return nil
	}
	for _, w := range h.order {
		b.reportAlong(w)
	}
	return b.requests
}

// requestBuilder collects the messages of one call of Requests.
type requestBuilder struct {
	h        *Holder
	now      time.Time
	requests []wire.GrantRequest
}

// request returns the message to a group, which is added if necessary.
func (b *requestBuilder) request(group uint32) (*wire.GrantRequest, *pendingRequest) {
	for i := range b.requests {
		if r := &b.requests[i]; r.Group == group {
			return r, b.h.pending[r.Number]
		}
	}
	b.h.number++
	p := &pendingRequest{group: group, sent: b.now}
	b.h.pending[b.h.number] = p
	b.requests = append(b.requests, wire.GrantRequest{Number: b.h.number, Group: group})
	return &b.requests[len(b.requests)-1], p
}

// plan adds what a workspace needs to send now.
func (b *requestBuilder) plan(w *holding) {
	lasting := w.prune(b.now)
	ahead := w.ahead(b.now)
	target := ahead + w.spare(b.now, ahead)
	most := target + target/2
	if w.burst >= minSpareBurst {
		most = max(most, keptTokens)
	}
	if w.stock-w.waiting > most {
		w.reduce(b.now, target+w.waiting)
	}
	w.low = (ahead + 1) / 2
	switch {
	case w.waiting > 0,
		lasting < w.low && !b.now.Before(w.askAt),
		lasting < (target+1)/2 && !b.now.Before(w.spareAt):
		b.ask(w, w.waiting+ahead-lasting, w.waiting+target-lasting)
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

// ask adds a want for n tokens, and for spare ones up to most, less those that
// are being asked for. One slice
// is asked at a time, which takes fewer messages, and the next one the next
// time, which keeps the demand on all slices equal.
func (b *requestBuilder) ask(w *holding, n, most int) {
	chosen, found := uint8(0), false
	for i := range w.division.Count {
		index := (w.first + i) % w.division.Count
		s := &w.slices[index]
		switch s.status(b.now) {
		case slicePending:
			n -= int(s.want)
			most -= int(s.want)
		case sliceAskable:
			if !found {
				chosen, found = index, true
			}
		}
	}
	w.askAt = b.now.Add(minEmptyTime) // finish sets it earlier
	if !found || most <= 0 || (n <= 0 && b.now.Before(w.spareAt)) {
		return
	}
	w.spareAt = b.now.Add(spareInterval)
	slice, want := w.division.First+chosen, uint32(max(n, 0))
	s := &w.slices[chosen]
	r, p := b.request(s.group)
	r.Entries = append(r.Entries, wire.GrantEntry{
		Workspace: w.name, Slice: slice, Want: want, Spare: uint32(most) - want})
	p.asks = append(p.asks, pendingAsk{w, slice})
	s.pending, s.want, s.askedAt = r.Number, uint32(most), b.now
	w.first = (chosen + 1) % w.division.Count
}

// reportAlong adds the reports of a workspace to the messages that are sent anyway.
func (b *requestBuilder) reportAlong(w *holding) {
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
			p.acks = append(p.acks, pendingAck{w, g.number, g.spent, g.returned})
			sent = true
		}
		missing = missing || !sent
	}
	if !missing && !w.reportAt.IsZero() {
		w.reportAt = b.now.Add(AnswerTime) // repeats the report if it was lost
	}
}

func (w *holding) reportBy(at time.Time) {
	if w.reportAt.IsZero() || at.Before(w.reportAt) {
		w.reportAt = at
	}
}
