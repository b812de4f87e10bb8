package membership

import (
	"math"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Intervals and limits of the dissemination.
const (
	// gossipInterval is the time between two rounds of gossip datagrams. Each
	// round multiplies the number of informed members by up to gossipFanout+1.
	gossipInterval = 200 * time.Millisecond
	gossipFanout   = 3
	// gossipBytesPerSecond bounds the average traffic for updates. With 1,100
	// members, probes take 0.2 KB/s, and status queries 0.6 KB/s in an outage of
	// the platform, so that a daemon stays below its target of 4 KB/s.
	gossipBytesPerSecond = 2200
	// gossipBurstBytes allows for a burst of updates, such as after the loss of an
	// availability zone.
	gossipBurstBytes = 16 << 10
	// suppressionQueueLength is the number of queued updates above which receiving
	// a queued update from another member counts as sending it. A lower value saves
	// little more traffic, and with 300 members one change in ten did not reach every
	// member.
	suppressionQueueLength = 32
	// ipUDPHeaderBytes is the size of the IPv4 and UDP headers.
	ipUDPHeaderBytes = 28
	// updatesHeaderBytes bounds the encoded key and length of the updates array.
	updatesHeaderBytes = 6
	// maxEncodingAge is how long an encoded update is reused. The ages in it are
	// too small by at most this time.
	maxEncodingAge = time.Second
)

// dissemination is the state of the queue of updates and of gossip.
type dissemination struct {
	queue        []*node // members with updates to send, most recent last
	nextGossip   time.Time
	gossipBudget float64 // bytes
}

// sendsPerUpdate returns how often each member sends an update. If each of n members
// sends it to k random members, about n·exp(-k) members miss it; with k = 2·ln(n) the
// expected number is 1/n. Three additional sends compensate for lost datagrams.
func sendsPerUpdate(n int) int { return 2*int(math.Ceil(math.Log(float64(n+1)))) + 3 }

// queueUpdate queues an update about a member for dissemination. The flags select the
// parts of the record that it includes.
func (c *Core) queueUpdate(n *node, withStaticInfo, withMutableInfo bool) {
	if n.sendsLeft > 0 {
		c.dequeueUpdate(n)
		withStaticInfo, withMutableInfo = withStaticInfo || n.sendStaticInfo, withMutableInfo || n.sendMutableInfo
	}
	n.sendStaticInfo, n.sendMutableInfo, n.encoded = withStaticInfo, withMutableInfo, nil
	n.sendsLeft = sendsPerUpdate(len(c.live) + 1)
	c.queue = append(c.queue, n)
	c.digestMatches = 0
}

// dequeueUpdate removes the queued update about a member.
func (c *Core) dequeueUpdate(n *node) {
	n.sendsLeft = 0
	for i, q := range c.queue {
		if q == n {
			c.queue = append(c.queue[:i], c.queue[i+1:]...)
			return
		}
	}
}

// halveSends halves the remaining sends of the queued updates. It is called when the
// digests of random members equal this one's: the updates have spread, and a digest
// mismatch would reveal a lost one. Suspicions are not covered by the digests, so
// their sends remain.
func (c *Core) halveSends() {
	kept := c.queue[:0]
	for _, n := range c.queue {
		if n.member.State != StateSuspect {
			n.sendsLeft /= 2
		}
		if n.sendsLeft > 0 {
			kept = append(kept, n)
		}
	}
	clear(c.queue[len(kept):])
	c.queue = kept
}

// refillBudgets adds the allowance for the elapsed time to the byte budgets.
func (c *Core) refillBudgets(elapsed time.Duration) {
	s := elapsed.Seconds()
	c.gossipBudget = min(c.gossipBudget+s*gossipBytesPerSecond, gossipBurstBytes)
	c.syncBudget = min(c.syncBudget+s*syncBytesPerSecond, syncBurstBytes)
}

// gossip sends queued updates to a few random members.
func (c *Core) gossip() {
	if len(c.queue) == 0 || len(c.live) == 0 || c.now.Before(c.nextGossip) {
		return
	}
	c.nextGossip = c.now.Add(gossipInterval)
	for _, n := range c.randomLiveMembers(gossipFanout, nil) {
		if len(c.queue) == 0 || c.gossipBudget <= 0 {
			return
		}
		c.send(n.member.Peer, n.member.Name, &datagram{Kind: KindGossip})
	}
}

// send sends a datagram with this member's header and queued updates. The name is that
// of the receiver, or empty if it is unknown. A receiver that is suspect or dead here
// gets an update that says so, which lets it refute.
func (c *Core) send(to netip.AddrPort, name string, d *datagram) {
	if !to.IsValid() {
		return
	}
	c.fillHeader(d)
	var updates []cbor.RawMessage
	if n := c.nodes[name]; n != nil && (n.member.State == StateSuspect && !n.member.Unverified || n.member.State == StateDead) {
		u := toWire(n.member, c.now, false, false)
		updates = append(updates, mustMarshal(u))
	}
	c.emitDatagram(to, d, updates, d.Kind != KindSync)
}

// fillHeader sets the fields of a datagram that describe this member.
func (c *Core) fillHeader(d *datagram) {
	self := c.self.member
	d.From, d.Incarnation = self.Name, self.Incarnation
	d.Round, d.Change = self.Sequence.Round(), self.Sequence.Change()
	d.Digest = c.digest
	if d.Kind == KindProbe || d.Kind == KindProbeAck {
		c.fillStatus(d)
	}
}

// encodedDatagram is a datagram whose updates are already encoded.
type encodedDatagram struct {
	datagram
	Updates []cbor.RawMessage `cbor:"16,keyasint,omitempty"`
}

// emitDatagram encodes and sends a datagram. With piggyback, it adds queued updates
// up to MaxDatagramBytes.
func (c *Core) emitDatagram(to netip.AddrPort, d *datagram, updates []cbor.RawMessage, piggyback bool) {
	out := encodedDatagram{datagram: *d, Updates: updates}
	if piggyback && len(c.queue) > 0 && c.gossipBudget > 0 {
		used := len(mustMarshal(out)) + updatesHeaderBytes
		out.Updates, used = c.appendQueued(updates, used)
		c.gossipBudget -= float64(used)
		if d.Kind == KindGossip {
			c.gossipBudget -= ipUDPHeaderBytes
		}
	}
	c.emit(Send{To: to, Datagram: mustMarshal(out)})
}

// appendQueued appends the most recent queued updates that fit and counts them as sent.
func (c *Core) appendQueued(updates []cbor.RawMessage, used int) ([]cbor.RawMessage, int) {
	for i := len(c.queue) - 1; i >= 0; i-- {
		n := c.queue[i]
		data := c.encodedUpdate(n)
		if used+len(data) > MaxDatagramBytes {
			continue
		}
		used += len(data)
		updates = append(updates, data)
		n.sendsLeft--
		if n.sendsLeft == 0 {
			c.queue = append(c.queue[:i], c.queue[i+1:]...)
		}
	}
	return updates, used
}

func (c *Core) encodedUpdate(n *node) []byte {
	if n.encoded == nil || c.now.Sub(n.encodedAt) > maxEncodingAge {
		live := n.member.State <= StateSuspect
		n.encoded = mustMarshal(toWire(n.member, c.now, n.sendStaticInfo && live, n.sendMutableInfo && live))
		n.encodedAt = c.now
	}
	return n.encoded
}
