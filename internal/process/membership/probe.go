package membership

import (
	"net/netip"
	"slices"
	"time"
)

// Times of the failure detector.
const (
	// ProbeInterval is the time between two probes of the rotation.
	ProbeInterval = time.Second
	// directTimeout is how long the answer to a direct probe may take before
	// others are asked. It covers a round trip between regions.
	directTimeout = 400 * time.Millisecond
	// probeTimeout is how long any answer to a probe may take.
	probeTimeout = time.Second
	// indirectProbes is how many members are asked for an indirect probe.
	indirectProbes = 3
	// deadProbeInterval is the time between two probes of dead members. They
	// let a healed partition rejoin by itself.
	deadProbeInterval = 5 * time.Second
	// verifyPerTick bounds the probes of unverified members per tick.
	verifyPerTick = 2
	// verifyDelay and verifySpread are when a member of a group probes one that
	// it read of on the log. News mostly comes first; without the spread, all
	// members would probe a newcomer at the same time.
	verifyDelay  = 3 * time.Second
	verifySpread = 30 * time.Second
)

// purpose tells why a probe was sent, which decides what its silence means.
type purpose uint8

const (
	purposeDetect  purpose = iota // rotation: silence makes the member suspect
	purposeVerify                 // unverified member: silence makes it dead
	purposeAccuse                 // carries an accusation, or tries a dead member
	purposeInquire                // asks for the status
	purposeRelay                  // indirect probe for another member
)

// pendingProbe is a probe without an answer so far.
type pendingProbe struct {
	number      uint64
	name        string
	incarnation uint64
	purpose     purpose
	sentAt      time.Time
	indirect    bool // others have been asked
	// For purposeRelay: who asked, and the number in its message.
	origin       netip.AddrPort
	originNumber uint64
}

type probing struct {
	nextNumber    uint64
	pending       []pendingProbe
	rotation      []*node
	nextProbe     time.Time
	nextDeadProbe time.Time
	nextForget    time.Time
	suspects      []*node
	unverified    []*node
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
		// Also those that have left: one that started again while the platform
		// is down learns of the other members only by a probe.
		if gone := len(c.dead) + len(c.left); gone > 0 {
			if i := c.rng.IntN(gone); i < len(c.dead) {
				c.probe(c.dead[i], purposeAccuse)
			} else {
				c.probe(c.left[i-len(c.dead)], purposeAccuse)
			}
		}
	}
	c.verifyAnnounced()
}

// verifyAnnounced probes members that are known from the log only.
func (c *Core) verifyAnnounced() {
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

// nextInRotation returns the next member to probe, or nil. Every member comes once
// before any comes again, which bounds the time to detect a failure.
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

// probe sends a probe to a member.
func (c *Core) probe(n *node, p purpose) {
	if c.sendProbe(n.member.Peer, pendingProbe{name: n.member.Name, incarnation: n.member.Incarnation, purpose: p}) &&
		p == purposeInquire {
		c.asks = append(c.asks, ask{number: c.nextNumber, at: c.now})
	}
}

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

// answerProbe answers a probe.
func (c *Core) answerProbe(from netip.AddrPort, d *datagram) {
	c.send(from, d.From, &datagram{Kind: KindProbeAck, Number: d.Number})
	c.compareDigest(d, from)
}

// relayProbe probes a member for another one.
func (c *Core) relayProbe(from netip.AddrPort, d *datagram) {
	c.sendProbe(d.Target.Peer, pendingProbe{
		name: d.Target.Name, purpose: purposeRelay, origin: from, originNumber: d.Number,
	})
}

// acknowledged handles the answer to a probe.
func (c *Core) acknowledged(d *datagram, from netip.AddrPort) {
	about := d.From
	if d.About != "" {
		about = d.About
	}
	for i := range c.pending {
		p := c.pending[i]
		if p.number != d.Number || p.name != about {
			continue
		}
		c.pending = append(c.pending[:i], c.pending[i+1:]...)
		c.noteAnswer(d, p)
		if p.purpose == purposeRelay {
			c.send(p.origin, "", &datagram{Kind: KindProbeAck, Number: p.originNumber, About: about})
		}
		if p.purpose == purposeVerify {
			c.verified(p)
		}
		c.compareDigest(d, from)
		return
	}
}

// verified confirms an unverified member whose answer was passed on by another.
func (c *Core) verified(p pendingProbe) {
	if n := c.nodes[p.name]; n != nil && n.member.Unverified && n.member.Incarnation == p.incarnation {
		c.setState(n, StateAlive, n.member.Sequence.Round(), ReasonConfirmed)
	}
}

// expireProbes asks others about silent members and draws the conclusion.
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
		if !p.indirect && p.purpose <= purposeVerify && c.now.Sub(p.sentAt) >= directTimeout {
			p.indirect = true
			c.askOthers(*p)
		}
	}
	for _, p := range expired {
		c.unanswered(p)
	}
}

// askOthers sends indirect probes for a silent member.
func (c *Core) askOthers(p pendingProbe) {
	n := c.nodes[p.name]
	if n == nil {
		return
	}
	for _, helper := range c.sample(indirectProbes, n) {
		c.send(helper.member.Peer, helper.member.Name, &datagram{
			Kind: KindIndirectProbe, Number: p.number,
			Target: &target{Name: p.name, Peer: n.member.Peer},
		})
	}
}

// unanswered draws the conclusion from a probe without any answer.
func (c *Core) unanswered(p pendingProbe) {
	n := c.nodes[p.name]
	if n == nil || n.member.Incarnation != p.incarnation {
		return
	}
	round := n.member.Sequence.Round()
	switch {
	case p.purpose == purposeDetect && n.member.State == StateAlive:
		c.setState(n, StateSuspect, round, ReasonNoAnswer)
		c.publish(n, false, false)
	case p.purpose <= purposeVerify && n.member.Unverified:
		// Not spread: this daemon never heard of the member from anyone.
		c.setState(n, StateDead, round, ReasonNoAnswer)
	}
}

// sample returns up to k distinct random live members other than the given one.
func (c *Core) sample(k int, except *node) []*node {
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
