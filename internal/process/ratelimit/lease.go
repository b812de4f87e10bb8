package ratelimit

import (
	"time"

	"tarragonshore.example/tarragonshore/internal/connection/wire"
)

const (
	// LeaseTime is the duration of a lease. A lease counts from the start of a read
	// that reached the end of the log, or from the sending of a consent request
	// that the successor granted.
	LeaseTime = 6 * time.Second
	// ConsentTime is how long after the keeper's last read of the log its lease
	// can be renewed by consent alone.
	ConsentTime = 60 * time.Minute

	// consentInterval is the time between two consent requests.
	consentInterval = time.Second
	// consentTimeout is how long a keeper must be without consent before it names
	// another successor.
	consentTimeout = 10 * time.Second
	// keeperSilenceTimeout is the time without a consent request after which the
	// successor probes whether the keeper is dead, without waiting for the
	// failure detector.
	keeperSilenceTimeout = 2500 * time.Millisecond
)

// withClockDrift lengthens a duration that another host measures with its own clock
// by the tolerated difference of clock rates.
func withClockDrift(d time.Duration) time.Duration {
	return d + d*maxClockDriftPercent/100
}

// lease allows a keeper to grant tokens of one group for a limited time.
type lease struct {
	readAt      time.Time // start of the last read that reached the end of the log
	consentedAt time.Time // sending of the last consent request that was granted
}

// end returns the end of the lease, or zero if the log was never read to its end.
func (l lease) end() time.Time {
	if l.readAt.IsZero() {
		return time.Time{}
	}
	byRead, byConsent := l.readAt.Add(LeaseTime), l.consentedAt.Add(LeaseTime)
	if limit := l.readAt.Add(ConsentTime); byConsent.After(limit) {
		byConsent = limit
	}
	if byConsent.After(byRead) {
		return byConsent
	}
	return byRead
}

// pendingConsent is an unanswered consent request.
type pendingConsent struct {
	to   DaemonID
	sent time.Time
}

// LeaseEnd returns the end of this daemon's lease of a group, for Keeper.Grant. It is
// zero if this daemon does not grant for the group.
func (c *Claims) LeaseEnd(group uint32) time.Time {
	if g := &c.states[group]; g.granting {
		return lease{c.lastRead, g.consentedAt}.end()
	}
	return time.Time{}
}

// requestConsent returns the consent requests that are due, one per successor.
func (c *Claims) requestConsent(now time.Time) []Action {
	for number, pending := range c.pendingConsents {
		if now.Sub(pending.sent) > LeaseTime {
			delete(c.pendingConsents, number)
		}
	}
	if now.Sub(c.consentRequestSentAt) < consentInterval {
		return nil
	}
	c.consentRequestSentAt = now
	var actions []Action
	requests := map[DaemonID]*wire.ConsentRequest{}
	for i := range c.states {
		g := &c.states[i]
		if !g.granting || g.claim.Successor == (DaemonID{}) || g.unconfirmed > 0 {
			continue
		}
		r := requests[g.claim.Successor]
		if r == nil {
			c.number++
			r = &wire.ConsentRequest{Number: c.number}
			requests[g.claim.Successor] = r
			c.pendingConsents[r.Number] = pendingConsent{g.claim.Successor, now}
			actions = append(actions, &SendConsentRequest{To: g.claim.Successor, Request: r})
		}
		r.Groups = append(r.Groups, uint32(i))
	}
	return actions
}

// ConsentReply applies a successor's reply to a consent request. Only the consent of the
// current successor counts: a former one does not know whether its replacement has
// claimed the group.
func (c *Claims) ConsentReply(from DaemonID, reply *wire.ConsentReply) {
	pending, ok := c.pendingConsents[reply.Number]
	if !ok || pending.to != from {
		return
	}
	delete(c.pendingConsents, reply.Number)
	for _, group := range reply.Groups {
		if group >= uint32(len(c.states)) {
			continue
		}
		g := &c.states[group]
		// An append with an unknown outcome may have named another successor,
		// which may claim the group without the current one knowing. It can do
		// so only after the append was sent, so the consent to an earlier
		// request still counts.
		if !g.granting || g.claim.Successor != from || (g.unconfirmed > 0 && pending.sent.After(g.unconfirmedSince)) {
			continue
		}
		if pending.sent.After(g.consentedAt) {
			g.consentedAt = pending.sent
		}
	}
}

// ConsentRequest answers the consent request of a keeper. The reply has the groups
// whose claim names the keeper and this daemon as its successor, except those that
// this daemon may have claimed itself.
func (c *Claims) ConsentRequest(now time.Time, from DaemonID, request *wire.ConsentRequest) wire.ConsentReply {
	reply := wire.ConsentReply{Number: request.Number}
	for _, group := range request.Groups {
		if group >= uint32(len(c.states)) {
			continue
		}
		g := &c.states[group]
		if g.known && g.claim.Keeper == from && g.claim.Successor == c.self.ID && g.unconfirmed == 0 {
			g.consentRequestReceivedAt = now
			reply.Groups = append(reply.Groups, group)
		}
	}
	return reply
}
