package membership

import "time"

// SuspicionTime is how long a member may take to refute a suspicion.
const SuspicionTime = 3 * time.Second

// suspect starts the time in which the member can refute. An unverified member
// has no such time; a probe decides.
func (c *Core) suspect(n *node) {
	if n.member.Unverified {
		n.verifyAt = c.now
		if !c.joining {
			n.verifyAt = c.now.Add(verifyDelay + time.Duration(c.rng.Int64N(int64(verifySpread))))
		}
		c.unverified = append(c.unverified, n)
		return
	}
	n.suspectUntil = c.now.Add(SuspicionTime)
	c.suspects = append(c.suspects, n)
	c.accuse(n)
}

// expireSuspicions gives up the members that did not refute in time.
func (c *Core) expireSuspicions() {
	kept := c.suspects[:0]
	var expired []*node
	repeats := 0
	for _, n := range c.suspects {
		switch {
		case n.member.State != StateSuspect || n.member.Unverified:
		case c.now.Before(n.suspectUntil):
			kept = append(kept, n)
			if repeats < accuseRepeats && c.accuse(n) {
				repeats++
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
			c.publish(n, false, false)
		}
	}
}

const (
	// accuseInterval bounds how often one member is told that it is suspect or
	// dead, outside of answers and regular probes. The repeats make up for lost
	// datagrams: without them, members were given up after a partition healed.
	accuseInterval = 500 * time.Millisecond
	// accuseRepeats bounds the repeats per tick, for the case that a whole
	// availability zone is suspect.
	accuseRepeats = 2
)

// accuse tells a member that it is suspect or dead, so that it can refute. It
// reports false if it did so recently.
func (c *Core) accuse(n *node) bool {
	if c.now.Sub(n.accusedAt) < accuseInterval {
		return false
	}
	n.accusedAt = c.now
	c.probe(n, purposeAccuse)
	return true
}
