package ratelimit

import (
	"time"

	"tarragonshore.example/tarragonshore/internal/connection/wire"
)

const (
	// LeaseTime is how long a read of the log's end or a consent of the
	// successor lets the keeper grant, from the start of the read or the
	// sending of the request.
	LeaseTime = 6 * time.Second
	// ConsentTime is how long a keeper may go on by consent alone after its
	// last read of the log.
	ConsentTime = 60 * time.Minute

	// consentInterval is the time between two requests for consent.
	consentInterval = time.Second
	// consentPatience is how long a keeper waits for consent before it names
	// another successor.
	consentPatience = 10 * time.Second
	// keeperSilence without a request for consent makes the successor probe
	// whether the keeper has died, before the failure detector decides.
	keeperSilence = 2500 * time.Millisecond
)

// withClockRate lengthens a time that another host counts on its own clock.
func withClockRate(d time.Duration) time.Duration {
	return d + d*clockRatePercent/100
}

// lease is a keeper's right to grant for one group.
type lease struct {
	read      time.Time // start of the last read of the log's end
	consented time.Time // sending of the last request with consent
}

// end returns when the right ends.
func (l lease) end() time.Time {
	if l.read.IsZero() {
		return time.Time{}
	}
	byRead, byConsent := l.read.Add(LeaseTime), l.consented.Add(LeaseTime)
	if limit := l.read.Add(ConsentTime); byConsent.After(limit) {
		byConsent = limit
	}
	if byConsent.After(byRead) {
		return byConsent
	}
	return byRead
}

// consentAsk is an unanswered request for consent.
type consentAsk struct {
	to   DaemonID
	sent time.Time
}

// Right returns the end of this daemon's right to grant for a group, for
// Keeper.Grant. It is zero if this daemon does not grant for the group.
func (c *Claims) Right(group uint32) time.Time {
	if g := &c.states[group]; g.granting {
		return lease{c.lastRead, g.consented}.end()
	}
	return time.Time{}
}

// askConsent returns the requests for consent that are due, one per successor.
func (c *Claims) askConsent(now time.Time) []Action {
	for number, a := range c.asks {
		if now.Sub(a.sent) > LeaseTime {
			delete(c.asks, number)
		}
	}
	if now.Sub(c.askedAt) < consentInterval {
		return nil
	}
	c.askedAt = now
	var actions []Action
	requests := map[DaemonID]*wire.ConsentRequest{}
	for i := range c.states {
		g := &c.states[i]
		if !g.granting || g.claim.Successor == (DaemonID{}) || g.unsettled > 0 {
			continue
		}
		r := requests[g.claim.Successor]
		if r == nil {
			c.number++
			r = &wire.ConsentRequest{Number: c.number}
			requests[g.claim.Successor] = r
			c.asks[r.Number] = consentAsk{g.claim.Successor, now}
			actions = append(actions, &AskConsent{To: g.claim.Successor, Request: r})
		}
		r.Groups = append(r.Groups, uint32(i))
	}
	return actions
}

// ConsentReply takes a successor's answer. Only the current successor counts:
// an earlier one does not know what its replacement does.
func (c *Claims) ConsentReply(from DaemonID, reply *wire.ConsentReply) {
	ask, ok := c.asks[reply.Number]
	if !ok || ask.to != from {
		return
	}
	delete(c.asks, reply.Number)
	for _, group := range reply.Groups {
		if group >= uint32(len(c.states)) {
			continue
		}
		g := &c.states[group]
		// A claim that was appended with an unknown outcome may name another
		// successor, which then may claim without this one knowing. It can do
		// so only after that append was sent, so that what was asked for
		// earlier still counts.
		if !g.granting || g.claim.Successor != from || (g.unsettled > 0 && ask.sent.After(g.appendedAt)) {
			continue
		}
		if ask.sent.After(g.consented) {
			g.consented = ask.sent
		}
	}
}

// ConsentRequest answers a keeper that names this daemon as its successor. A
// group is left out if this daemon may have claimed it.
func (c *Claims) ConsentRequest(now time.Time, from DaemonID, request *wire.ConsentRequest) wire.ConsentReply {
	reply := wire.ConsentReply{Number: request.Number}
	for _, group := range request.Groups {
		if group >= uint32(len(c.states)) {
			continue
		}
		g := &c.states[group]
		if g.known && g.claim.Keeper == from && g.claim.Successor == c.self.ID && g.unsettled == 0 {
			g.askedByKeeper = now
			reply.Groups = append(reply.Groups, group)
		}
	}
	return reply
}
