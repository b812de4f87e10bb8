package membership

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Sizes of the synchronization.
const (
	// bucketCount is the number of digests that members are divided into by the
	// hash of their names; at 1,100 members, a bucket holds 9.
	bucketCount = 128
	bucketBytes = 4
	// syncBytesPerSecond and syncBurstBytes bound what a member spends on
	// answers; the burst is half of all records at 1,100 members.
	syncBytesPerSecond = 3000
	syncBurstBytes     = 64 << 10
	// syncChunkLimit is the greatest number of datagrams in one answer.
	syncChunkLimit = 16
	// joinInterval is the time between two requests of a newcomer.
	joinInterval = 250 * time.Millisecond
	// seedInterval is the least time between two requests to seeds that are no
	// members, and half of the greatest.
	seedInterval = 5 * time.Second
	// repairInterval is the least time between two requests after a mismatch of
	// digests, which is normal while news spreads.
	repairInterval = 3 * time.Second
	// mismatchLimit is the number of mismatches in a row after which records are
	// asked for, and busyMismatchLimit the same while there is news to be sent.
	// At two comparisons per second, the first is more than the 1 s that news
	// takes to spread, so that only what got lost is asked for.
	mismatchLimit     = 2
	busyMismatchLimit = 6
	// matchLimit is the number of matches in a row, since the last news, after
	// which news counts as known to all. A single match comes too early: among
	// 100 members with a tenth of the datagrams lost, changes then missed one.
	matchLimit = 2
	// fetchLimit is the greatest number of names in a Fetch; with more, all
	// differing records are asked for. Four names of 255 bytes fit.
	fetchLimit = 4
	// fetchInterval is the least time between two Fetches; what is left out is
	// found by the digests.
	fetchInterval = 50 * time.Millisecond
	// fetchAllInterval is the same after asking for all differing records.
	fetchAllInterval = time.Second
)

type syncing struct {
	joining    bool
	joinNumber uint64 // of the last request
	seeds      []netip.AddrPort
	nextJoin   time.Time
	nextRepair time.Time
	nextFetch  time.Time
	matches    int
	mismatches int
	syncBudget float64
}

// rehash updates the digests after a change of a member. They cover alive and
// suspect members; a suspect one counts as alive, since suspicion is transient,
// and dead ones are forgotten at different times by different members.
func (c *Core) rehash(n *node) {
	value := uint32(0)
	m := n.member
	if m.State <= StateSuspect && !m.Unverified {
		h := n.hash ^ m.Incarnation*0x9E3779B97F4A7C15
		h ^= h >> 29
		h = (h + uint64(m.Sequence)) * 0xBF58476D1CE4E5B9
		h ^= h >> 32
		value = uint32(h)
	}
	c.digest ^= n.value ^ value
	c.buckets[n.hash%bucketCount] ^= n.value ^ value
	n.value = value
}

// compareDigest looks at the digest of a probe or an answer and asks for what is
// missing.
func (c *Core) compareDigest(d *datagram, from netip.AddrPort) {
	if d.Digest == c.digest {
		c.mismatches = 0
		if c.matches++; c.matches >= matchLimit {
			c.quench()
		}
		return
	}
	c.matches = 0
	c.mismatches++
	limit := mismatchLimit
	if len(c.queue) > 0 {
		limit = busyMismatchLimit
	}
	if c.mismatches < limit || c.now.Before(c.nextRepair) {
		return
	}
	c.nextRepair = c.now.Add(repairInterval)
	c.requestSync(from, false)
}

// requestSync asks for the records of the buckets that differ. Without full, only
// the states and sequence numbers come, and what they tell of can be fetched.
func (c *Core) requestSync(to netip.AddrPort, full bool) {
	c.nextNumber++
	d := &datagram{Kind: KindSyncRequest, Number: c.nextNumber, Full: full, Buckets: make([]byte, 0, bucketCount*bucketBytes)}
	for _, b := range c.buckets {
		d.Buckets = binary.BigEndian.AppendUint32(d.Buckets, b)
	}
	c.fillHeader(d)
	c.emitDatagram(to, d, []cbor.RawMessage{mustMarshal(toWire(c.self.member, c.now, true, true))}, false)
}

// join asks for all records until one answer was complete, and after that now and
// then the seeds that are no members here: daemons that started together can have
// formed separate groups around different seeds.
func (c *Core) join() {
	if c.now.Before(c.nextJoin) {
		return
	}
	c.nextJoin = c.now.Add(seedInterval + time.Duration(c.rng.Int64N(int64(seedInterval))))
	candidates := c.unknownSeeds()
	if c.joining {
		c.nextJoin = c.now.Add(joinInterval)
		for _, n := range c.live {
			candidates = append(candidates, n.member.Peer)
		}
	}
	if len(candidates) > 0 {
		c.requestSync(candidates[c.rng.IntN(len(candidates))], true)
		c.joinNumber = c.nextNumber
	}
}

// unknownSeeds returns the seeds at whose address no member is known, in any state.
func (c *Core) unknownSeeds() []netip.AddrPort {
	if len(c.seeds) == 0 {
		return nil
	}
	known := map[netip.AddrPort]bool{c.self.member.Peer: true}
	for _, n := range c.all {
		known[n.member.Peer] = true
	}
	var unknown []netip.AddrPort
	for _, seed := range c.seeds {
		if !known[seed] {
			unknown = append(unknown, seed)
		}
	}
	return unknown
}

// synced notes the end of an answer; its records have been merged already.
func (c *Core) synced(d *datagram) {
	if !d.Last || !c.joining || d.Number == 0 || d.Number != c.joinNumber {
		return
	}
	if d.More {
		c.nextJoin = c.now // ask for the rest at once
	} else {
		c.joining = false
	}
}

// answerSync sends the records of the buckets that differ, from a random bucket
// on, so that the answers of several members to a newcomer complete each other.
func (c *Core) answerSync(from netip.AddrPort, d *datagram) {
	var members [bucketCount][]*node
	for _, n := range c.all {
		if !n.member.Unverified && n.member.Name != d.From {
			members[n.hash%bucketCount] = append(members[n.hash%bucketCount], n)
		}
	}
	records := []*node{c.self}
	start := c.rng.IntN(bucketCount)
	for i := range bucketCount {
		bucket := (start + i) % bucketCount
		if binary.BigEndian.Uint32(d.Buckets[bucket*bucketBytes:]) != c.buckets[bucket] {
			records = append(records, members[bucket]...)
		}
	}
	c.sendRecords(from, d.Number, records, d.Full)
}

// answerFetch sends the records of the names asked for.
func (c *Core) answerFetch(from netip.AddrPort, d *datagram) {
	var records []*node
	for _, name := range d.Names {
		if name == c.self.member.Name {
			records = append(records, c.self)
		} else if n := c.nodes[name]; n != nil && !n.member.Unverified {
			records = append(records, n)
		}
	}
	if len(records) > 0 {
		c.sendRecords(from, 0, records, true)
	}
}

// fetch asks for records that are missing to understand news; for all, if many are.
func (c *Core) fetch(to netip.AddrPort, names []string) {
	if len(names) == 0 || c.now.Before(c.nextFetch) {
		return
	}
	c.nextFetch = c.now.Add(fetchInterval)
	if len(names) > fetchLimit {
		c.nextFetch = c.now.Add(fetchAllInterval)
		c.requestSync(to, true)
		return
	}
	d := &datagram{Kind: KindFetch, Names: names}
	c.fillHeader(d)
	c.emitDatagram(to, d, nil, false)
}

// sendRecords sends records, as many as the budget and the limit allow.
func (c *Core) sendRecords(to netip.AddrPort, number uint64, records []*node, full bool) {
	if c.syncBudget <= 0 {
		return // the asker tries another member
	}
	header := &datagram{Kind: KindSync, Number: number}
	c.fillHeader(header)
	header.More, header.Last = true, true
	base := len(mustMarshal(header)) + arrayReserve
	header.More, header.Last = false, false

	var updates []cbor.RawMessage
	used, chunks := base, 0
	for _, n := range records {
		data := mustMarshal(toWire(n.member, c.now, full, full))
		if len(updates) > 0 && used+len(data) > MaxDatagramBytes {
			chunks++
			if chunks == syncChunkLimit || c.syncBudget < float64(used) {
				header.More, header.Last = true, true
			}
			c.emitSync(to, header, updates, used)
			if header.More {
				return
			}
			updates, used = nil, base
		}
		updates = append(updates, data)
		used += len(data)
	}
	header.Last = true
	c.emitSync(to, header, updates, used)
}

func (c *Core) emitSync(to netip.AddrPort, header *datagram, updates []cbor.RawMessage, used int) {
	c.syncBudget -= float64(used + datagramOverhead)
	c.emitDatagram(to, header, updates, false)
}
