package membership

import "time"

// SuspicionTimeout is how long a suspect member has to refute the suspicion.
const SuspicionTimeout = 3 * time.Second

// startSuspicion starts the time-out of a member that became suspect. An unverified
// member gets no time-out; it is probed instead, after a random delay unless this
// daemon is joining.
func (c *Core) startSuspicion(n *node) {
	if n.member.Unverified {
		n.verifyAt = c.now
		if !c.joining {
			n.verifyAt = c.now.Add(verifyDelay + time.Duration(c.rng.Int64N(int64(verifySpread))))
		}
		c.unverified = append(c.unverified, n)
		return
	}
	n.suspectUntil = c.now.Add(SuspicionTimeout)
	c.suspects = append(c.suspects, n)
	c.notifySuspicion(n)
}

// expireSuspicions declares members dead that did not refute in time, and repeats the
// notifications of the others.
func (c *Core) expireSuspicions() {
	kept := c.suspects[:0]
	var expired []*node
	notifications := 0
	for _, n := range c.suspects {
		switch {
		case n.member.State != StateSuspect || n.member.Unverified:
		case c.now.Before(n.suspectUntil):
			kept = append(kept, n)
			if notifications < notificationsPerTick && c.notifySuspicion(n) {
				notifications++
			}
		default:
			expired = append(expired, n)
		}
	}
	clear(c.suspects[len(kept):])
	c.suspects = kept
	for _, n := range expired {
		if n.member.State == StateSuspect {
			c.setState(n, StateDead, n.member.Sequence.Round(), ReasonSuspicionExpired)
			c.queueUpdate(n, false, false)
		}
	}
}

const (
	// notifyInterval is the least time between two notifications of one member that
	// it is suspect or dead, besides answers and regular probes. Notifications are
	// repeated because datagrams get lost: without the repeats, live members were
	// declared dead after a partition healed.
	notifyInterval = 500 * time.Millisecond
	// notificationsPerTick bounds the repeated notifications per tick, for the case that
	// a whole availability zone is suspect.
	notificationsPerTick = 2
)

// notifySuspicion sends a probe that tells a member that it is suspect or dead, so that
// it can refute. It reports false if the member was notified within notifyInterval.
func (c *Core) notifySuspicion(n *node) bool {
	if c.now.Sub(n.notifiedAt) < notifyInterval {
		return false
	}
	n.notifiedAt = c.now
	c.probe(n, purposeNotify)
	return true
}
