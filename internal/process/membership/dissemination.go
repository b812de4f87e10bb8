package membership

import (
	"math"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Sizes of the dissemination.
const (
	// gossipInterval is the time between two rounds of extra datagrams. Each
	// round multiplies the informed members by up to gossipFanout+1.
	gossipInterval = 200 * time.Millisecond
	gossipFanout   = 3
	// gossipBytesPerSecond bounds what news costs on average. Probes took
	// 0.2 KB/s and inquiries in an outage of the platform 0.6 KB/s at 1,100
	// members, so that a daemon stays below its 4 KB/s.
	gossipBytesPerSecond = 2200
	// gossipBurstBytes lets a wave of news pass, such as a lost availability zone.
	gossipBurstBytes = 16 << 10
	// deepQueue is the number of pending news from which on hearing a piece of
	// news again counts as sending it. With fewer, that saved little and made
	// one change in ten miss a member at 300 members.
	deepQueue = 32
	// datagramOverhead is the size of the IPv4 and UDP headers.
	datagramOverhead = 28
	// arrayReserve is the room for the length of the updates array and its key.
	arrayReserve = 6
	// encodingTime is how long an encoded update is used again. Only the ages
	// in it go stale, by at most this time.
	encodingTime = time.Second
)

type news struct {
	queue      []*node // news still to be sent, most recent last
	nextGossip time.Time
	budget     float64 // bytes
}

// copiesFor returns how often each member sends a piece of news. If each of n
// members sends it to k random ones, about n·exp(-k) miss it; with k = 2·ln(n)
// that is less than one in n. The 3 more make up for lost datagrams.
func copiesFor(n int) int { return 2*int(math.Ceil(math.Log(float64(n+1)))) + 3 }

// publish queues news about a member.
func (c *Core) publish(n *node, fixed, detail bool) {
	if n.copies > 0 {
		c.unqueue(n)
		fixed, detail = fixed || n.withFixed, detail || n.withDetail
	}
	n.withFixed, n.withDetail, n.encoded = fixed, detail, nil
	n.copies = copiesFor(len(c.live) + 1)
	c.queue = append(c.queue, n)
	c.matches = 0
}

// unqueue removes a member's news.
func (c *Core) unqueue(n *node) {
	n.copies = 0
	for i, q := range c.queue {
		if q == n {
			c.queue = append(c.queue[:i], c.queue[i+1:]...)
			return
		}
	}
}

// quench halves what is still to be sent after random members turned out to know
// all that this one knows: the news has spread, and the digests find what got
// lost. Suspicions are not part of the digests and go on.
func (c *Core) quench() {
	kept := c.queue[:0]
	for _, n := range c.queue {
		if n.member.State != StateSuspect {
			n.copies /= 2
		}
		if n.copies > 0 {
			kept = append(kept, n)
		}
	}
	clear(c.queue[len(kept):])
	c.queue = kept
}

// refill adds to the budgets what the elapsed time allows.
func (c *Core) refill(elapsed time.Duration) {
	s := elapsed.Seconds()
	c.budget = min(c.budget+s*gossipBytesPerSecond, gossipBurstBytes)
	c.syncBudget = min(c.syncBudget+s*syncBytesPerSecond, syncBurstBytes)
}

// gossip sends pending news to a few random members.
func (c *Core) gossip() {
	if len(c.queue) == 0 || len(c.live) == 0 || c.now.Before(c.nextGossip) {
		return
	}
	c.nextGossip = c.now.Add(gossipInterval)
	for _, n := range c.sample(gossipFanout, nil) {
		if len(c.queue) == 0 || c.budget <= 0 {
			return
		}
		c.send(n.member.Peer, n.member.Name, &datagram{Kind: KindGossip})
	}
}

// send completes a datagram with the sender's data and pending news. The name is
// that of the receiver, or empty.
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

func (c *Core) fillHeader(d *datagram) {
	self := c.self.member
	d.From, d.Incarnation = self.Name, self.Incarnation
	d.Round, d.Change = self.Sequence.Round(), self.Sequence.Change()
	d.Digest = c.digest
	if d.Kind == KindProbe || d.Kind == KindProbeAck {
		c.fillStatus(d)
	}
}

// outgoing is a datagram whose updates are already encoded.
type outgoing struct {
	datagram
	Updates []cbor.RawMessage `cbor:"16,keyasint,omitempty"`
}

// emitDatagram encodes a datagram, fills it up with news and sends it.
func (c *Core) emitDatagram(to netip.AddrPort, d *datagram, updates []cbor.RawMessage, withNews bool) {
	out := outgoing{datagram: *d, Updates: updates}
	if withNews && len(c.queue) > 0 && c.budget > 0 {
		used := len(mustMarshal(out)) + arrayReserve
		out.Updates, used = c.addNews(updates, used)
		c.budget -= float64(used)
		if d.Kind == KindGossip {
			c.budget -= datagramOverhead
		}
	}
	c.emit(Send{To: to, Datagram: mustMarshal(out)})
}

// addNews appends the most recent news that fits, and counts it as sent.
func (c *Core) addNews(updates []cbor.RawMessage, used int) ([]cbor.RawMessage, int) {
	for i := len(c.queue) - 1; i >= 0; i-- {
		n := c.queue[i]
		data := c.encodedNews(n)
		if used+len(data) > MaxDatagramBytes {
			continue
		}
		used += len(data)
		updates = append(updates, data)
		n.copies--
		if n.copies == 0 {
			c.queue = append(c.queue[:i], c.queue[i+1:]...)
		}
	}
	return updates, used
}

func (c *Core) encodedNews(n *node) []byte {
	if n.encoded == nil || c.now.Sub(n.encodedAt) > encodingTime {
		live := n.member.State <= StateSuspect
		n.encoded = mustMarshal(toWire(n.member, c.now, n.withFixed && live, n.withDetail && live))
		n.encodedAt = c.now
	}
	return n.encoded
}
