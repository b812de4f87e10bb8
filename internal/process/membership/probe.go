package membership

import (
	"net/netip"
	"slices"
	"time"
)

// Intervals, time-outs and limits of the failure detector.
const (
	// ProbeInterval is the time between two regular probes.
	ProbeInterval = time.Second
	// directTimeout is how long the answer to a direct probe may take before
	// indirect probes are sent. It is above the round-trip time between regions.
	directTimeout = 400 * time.Millisecond
	// probeTimeout is how long a direct or indirect answer to a probe may take.
	probeTimeout = time.Second
	// indirectProbes is the number of members that are asked for an indirect probe.
	indirectProbes = 3
	// deadProbeInterval is the time between two probes of dead or left members.
	// These probes let the two sides of a healed partition find each other.
	deadProbeInterval = 5 * time.Second
	// verifyPerTick bounds the number of unverified members probed per tick.
	verifyPerTick = 2
	// A member that has joined probes an unverified member verifyDelay plus a
	// random time up to verifySpread after reading its announcement. Usually a
	// gossip update arrives earlier and makes the probe unnecessary. Without the
	// random time, all members would probe a new member at once.
	verifyDelay  = 3 * time.Second
	verifySpread = 30 * time.Second
)

// purpose is why a probe was sent. It determines what a missing answer means.
type purpose uint8

const (
	purposeDetect      purpose = iota // regular probe: without an answer the member becomes suspect
	purposeVerify                     // probe of an unverified member: without an answer it is dead
	purposeNotify                     // notifies a member of its suspicion or contacts it; may go unanswered
	purposeQueryStatus                // requests the status
	purposeRelay                      // indirect probe for another member
)

// pendingProbe is a probe that has not been answered.
type pendingProbe struct {
	number       uint64
	name         string
	incarnation  uint64
	purpose      purpose
	sentAt       time.Time
	indirectSent bool // indirect probes have been sent
	// With purposeRelay: the address of the member that requested the probe, and
	// the number in its request.
	requester       netip.AddrPort
	requesterNumber uint64
}

// failureDetector is the state of probes and suspicions.
type failureDetector struct {
	nextNumber    uint64
	pending       []pendingProbe
	rotation      []*node // members that the current rotation still has to probe
	nextProbe     time.Time
	nextDeadProbe time.Time
	nextExpiry    time.Time // of the next search for expired records
	suspects      []*node   // members whose suspicion time-out runs
	unverified    []*node   // members known only from the log that are still to be probed
}

// startProbes sends the probes that are due.
func (c *Core) startProbes() {
	if !c.now.Before(c.nextProbe) {
		c.nextProbe = c.nextProbe.Add(ProbeInterval)
		if c.nextProbe.Before(c.now) {
			c.nextProbe = c.now.Add(ProbeInterval)
		}
		if n := c.nextInRotation(); n != nil {
			c.probe(n, purposeDetect)
		}
	}
	if !c.now.Before(c.nextDeadProbe) {
		c.nextDeadProbe = c.now.Add(deadProbeInterval)
		// Left members are probed as well: a member that restarts while the
		// platform is down learns of the others only by being probed.
		if departed := len(c.dead) + len(c.left); departed > 0 {
			if i := c.rng.IntN(departed); i < len(c.dead) {
				c.probe(c.dead[i], purposeNotify)
			} else {
				c.probe(c.left[i-len(c.dead)], purposeNotify)
			}
		}
	}
	c.probeUnverified()
}

// probeUnverified probes members that are known only from the log.
func (c *Core) probeUnverified() {
	sent := 0
	c.unverified = slices.DeleteFunc(c.unverified, func(n *node) bool {
		if !n.member.Unverified {
			return true
		}
		if sent == verifyPerTick || c.now.Before(n.verifyAt) {
			return false
		}
		sent++
		c.probe(n, purposeVerify)
		return true
	})
}

// nextInRotation returns the next member to probe, or nil if there is none. It returns
// each live member once, in random order, before it repeats any, which bounds the time
// to detect a failure.
func (c *Core) nextInRotation() *node {
	for range 2 {
		for len(c.rotation) > 0 {
			n := c.rotation[len(c.rotation)-1]
			c.rotation = c.rotation[:len(c.rotation)-1]
			if n.member.State <= StateSuspect && c.nodes[n.member.Name] == n {
				return n
			}
		}
		c.rotation = append(c.rotation, c.live...)
		c.rng.Shuffle(len(c.rotation), func(i, j int) {
			c.rotation[i], c.rotation[j] = c.rotation[j], c.rotation[i]
		})
	}
	return nil
}

// probe sends a probe to a member. A status query is also recorded, so that it can be
// counted.
func (c *Core) probe(n *node, p purpose) {
	if c.sendProbe(n.member.Peer, pendingProbe{name: n.member.Name, incarnation: n.member.Incarnation, purpose: p}) &&
		p == purposeQueryStatus {
		c.statusQueries = append(c.statusQueries, statusQuery{number: c.nextNumber, sentAt: c.now})
	}
}

// sendProbe sends a probe and adds it to the pending ones. It reports false if the
// address is unknown.
func (c *Core) sendProbe(to netip.AddrPort, p pendingProbe) bool {
	if !to.IsValid() {
		return false
	}
	c.nextNumber++
	p.number, p.sentAt = c.nextNumber, c.now
	c.pending = append(c.pending, p)
	c.send(to, p.name, &datagram{Kind: KindProbe, Number: p.number})
	return true
}

// answerProbe answers a probe and compares the digests.
func (c *Core) answerProbe(from netip.AddrPort, d *datagram) {
	c.send(from, d.From, &datagram{Kind: KindProbeAck, Number: d.Number})
	c.compareDigests(d, from)
}

// relayProbe probes a member on behalf of another one.
func (c *Core) relayProbe(from netip.AddrPort, d *datagram) {
	c.sendProbe(d.Target.Peer, pendingProbe{
		name: d.Target.Name, purpose: purposeRelay, requester: from, requesterNumber: d.Number,
	})
}

// handleProbeAck handles a direct or forwarded answer to a probe.
func (c *Core) handleProbeAck(d *datagram, from netip.AddrPort) {
	answeredBy := d.From
	if d.AnsweredBy != "" {
		answeredBy = d.AnsweredBy
	}
	for i := range c.pending {
		p := c.pending[i]
		if p.number != d.Number || p.name != answeredBy {
			continue
		}
		c.pending = append(c.pending[:i], c.pending[i+1:]...)
		c.storeReports(d, p)
		if p.purpose == purposeRelay {
			c.send(p.requester, "", &datagram{Kind: KindProbeAck, Number: p.requesterNumber, AnsweredBy: answeredBy})
		}
		if p.purpose == purposeVerify {
			c.confirmMember(p)
		}
		c.compareDigests(d, from)
		return
	}
}

// confirmMember marks an unverified member as alive whose answer another member
// forwarded. A direct answer does so in mergeSender.
func (c *Core) confirmMember(p pendingProbe) {
	if n := c.nodes[p.name]; n != nil && n.member.Unverified && n.member.Incarnation == p.incarnation {
		c.setState(n, StateAlive, n.member.Sequence.Round(), ReasonConfirmed)
	}
}

// expireProbes sends indirect probes after directTimeout and handles the probes that
// are unanswered after probeTimeout.
func (c *Core) expireProbes() {
	var expired []pendingProbe
	kept := c.pending[:0]
	for _, p := range c.pending {
		if c.now.Sub(p.sentAt) >= probeTimeout {
			expired = append(expired, p)
		} else {
			kept = append(kept, p)
		}
	}
	c.pending = kept
	for i := range c.pending {
		p := &c.pending[i]
		if !p.indirectSent && p.purpose <= purposeVerify && c.now.Sub(p.sentAt) >= directTimeout {
			p.indirectSent = true
			c.sendIndirectProbes(*p)
		}
	}
	for _, p := range expired {
		c.handleProbeTimeout(p)
	}
}

// sendIndirectProbes asks random members to probe a member that has not answered.
func (c *Core) sendIndirectProbes(p pendingProbe) {
	n := c.nodes[p.name]
	if n == nil {
		return
	}
	for _, relay := range c.randomLiveMembers(indirectProbes, n) {
		c.send(relay.member.Peer, relay.member.Name, &datagram{
			Kind: KindIndirectProbe, Number: p.number,
			Target: &target{Name: p.name, Peer: n.member.Peer},
		})
	}
}

// handleProbeTimeout marks a member as suspect that answered neither a direct nor an
// indirect probe; an unverified member is marked as dead.
func (c *Core) handleProbeTimeout(p pendingProbe) {
	n := c.nodes[p.name]
	if n == nil || n.member.Incarnation != p.incarnation {
		return
	}
	round := n.member.Sequence.Round()
	switch {
	case p.purpose == purposeDetect && n.member.State == StateAlive:
		c.setState(n, StateSuspect, round, ReasonNoAnswer)
		c.queueUpdate(n, false, false)
	case p.purpose <= purposeVerify && n.member.Unverified:
		// Not disseminated: no other member has reported this one, so no one else
		// needs the correction.
		c.setState(n, StateDead, round, ReasonNoAnswer)
	}
}

// randomLiveMembers returns up to k distinct live members other than the given one.
func (c *Core) randomLiveMembers(k int, except *node) []*node {
	out := make([]*node, 0, k)
	for tries := 0; len(out) < k && tries < 4*k; tries++ {
		if len(c.live) == 0 {
			break
		}
		n := c.live[c.rng.IntN(len(c.live))]
		if n != except && !slices.Contains(out, n) {
			out = append(out, n)
		}
	}
	return out
}
