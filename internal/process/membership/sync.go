package membership

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Intervals and limits of the synchronization (anti-entropy).
const (
	// bucketCount is the number of buckets that the members are divided into by the
	// hash of their names; each has a digest. With 1,100 members, a bucket holds 9.
	bucketCount = 128
	// bucketBytes is the size of an encoded bucket digest.
	bucketBytes = 4
	// syncBytesPerSecond and syncBurstBytes bound the traffic for answers; the
	// burst is the size of half of all records with 1,100 members.
	syncBytesPerSecond = 3000
	syncBurstBytes     = 64 << 10
	// maxSyncDatagrams is the maximum number of datagrams in one answer.
	maxSyncDatagrams = 16
	// joinInterval is the time between two requests of a joining member.
	joinInterval = 250 * time.Millisecond
	// After joining, seeds that are not known as members are contacted at random
	// intervals between seedRetryInterval and twice that time.
	seedRetryInterval = 5 * time.Second
	// repairInterval is the least time between two requests because of differing
	// digests. Digests differ temporarily while updates spread.
	repairInterval = 3 * time.Second
	// mismatchesToSync is the number of consecutive digest mismatches after which
	// records are requested; busyMismatchesToSync applies while updates are queued.
	// At two comparisons per second, mismatchesToSync spans more than the 1 s that an
	// update takes to spread, so that only lost updates are requested.
	mismatchesToSync     = 2
	busyMismatchesToSync = 6
	// matchesToHalveSends is the number of consecutive digest matches since the
	// last queued update after which the remaining sends are halved. A single match
	// is not enough: with 100 members and a tenth of the datagrams lost, some changes
	// did not reach every member.
	matchesToHalveSends = 2
	// maxFetchNames is the maximum number of names in a Fetch; four names of 255 bytes
	// fit into a datagram. If more records are missing, a SyncRequest is sent instead.
	maxFetchNames = 4
	// fetchInterval is the least time between two Fetches. Records that are not
	// fetched because of it are found by the comparison of digests.
	fetchInterval = 50 * time.Millisecond
	// fullSyncInterval is the least time between a SyncRequest for missing records
	// and the next Fetch.
	fullSyncInterval = time.Second
)

// synchronization is the state of joining and of the exchange of records.
type synchronization struct {
	joining          bool
	joinNumber       uint64 // number of the last join request
	seeds            []netip.AddrPort
	nextJoin         time.Time
	nextRepair       time.Time
	nextFetch        time.Time
	digestMatches    int     // consecutive digest matches since the last queued update
	digestMismatches int     // consecutive digest mismatches
	syncBudget       float64 // bytes
}

// updateDigests updates the digests after a change of a member. They cover alive and
// suspect members and do not distinguish these two, since suspicion is transient. Dead
// members are not covered, since other members remove them at different times.
func (c *Core) updateDigests(n *node) {
	digestValue := uint32(0)
	m := n.member
	if m.State <= StateSuspect && !m.Unverified {
		h := n.hash ^ m.Incarnation*0x9E3779B97F4A7C15
		h ^= h >> 29
		h = (h + uint64(m.Sequence)) * 0xBF58476D1CE4E5B9
		h ^= h >> 32
		digestValue = uint32(h)
	}
	c.digest ^= n.digestValue ^ digestValue
	c.buckets[n.hash%bucketCount] ^= n.digestValue ^ digestValue
	n.digestValue = digestValue
}

// compareDigests compares this member's digest with that of a probe or an answer, and
// requests records after several consecutive mismatches.
func (c *Core) compareDigests(d *datagram, from netip.AddrPort) {
	if d.Digest == c.digest {
		c.digestMismatches = 0
		if c.digestMatches++; c.digestMatches >= matchesToHalveSends {
			c.halveSends()
		}
		return
	}
	c.digestMatches = 0
	c.digestMismatches++
	limit := mismatchesToSync
	if len(c.queue) > 0 {
		limit = busyMismatchesToSync
	}
	if c.digestMismatches < limit || c.now.Before(c.nextRepair) {
		return
	}
	c.nextRepair = c.now.Add(repairInterval)
	c.requestSync(from, false)
}

// requestSync requests the records of the buckets whose digests differ. Without full,
// the answer contains only states and sequences; records that turn out to be outdated
// are then fetched.
func (c *Core) requestSync(to netip.AddrPort, full bool) {
	c.nextNumber++
	d := &datagram{Kind: KindSyncRequest, Number: c.nextNumber, Full: full, Buckets: make([]byte, 0, bucketCount*bucketBytes)}
	for _, b := range c.buckets {
		d.Buckets = binary.BigEndian.AppendUint32(d.Buckets, b)
	}
	c.fillHeader(d)
	c.emitDatagram(to, d, []cbor.RawMessage{mustMarshal(toWire(c.self.member, c.now, true, true))}, false)
}

// join requests all records until one complete answer has arrived. Afterwards it
// continues to contact seeds that are not known as members, since daemons that started
// together can have formed separate groups around different seeds.
func (c *Core) join() {
	if c.now.Before(c.nextJoin) {
		return
	}
	c.nextJoin = c.now.Add(seedRetryInterval + time.Duration(c.rng.Int64N(int64(seedRetryInterval))))
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

// unknownSeeds returns the seeds whose address belongs to no known member of any state.
func (c *Core) unknownSeeds() []netip.AddrPort {
	if len(c.seeds) == 0 {
		return nil
	}
	known := map[netip.AddrPort]bool{c.self.member.Peer: true}
	for _, n := range c.sorted {
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

// handleSync ends the joining after a complete answer to the last join request. Receive
// has already merged the records.
func (c *Core) handleSync(d *datagram) {
	if !d.Last || !c.joining || d.Number == 0 || d.Number != c.joinNumber {
		return
	}
	if d.Truncated {
		c.nextJoin = c.now // request the remaining records at once
	} else {
		c.joining = false
	}
}

// answerSync sends the records of the buckets whose digests differ. It starts at a
// random bucket, so that truncated answers of several members to a joining member
// contain different records.
func (c *Core) answerSync(from netip.AddrPort, d *datagram) {
	var members [bucketCount][]*node
	for _, n := range c.sorted {
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

// answerFetch sends the records of the requested names.
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

// fetch requests the full records of members about which incomplete updates arrived. If
// there are many, it requests all records that differ.
func (c *Core) fetch(to netip.AddrPort, names []string) {
	if len(names) == 0 || c.now.Before(c.nextFetch) {
		return
	}
	c.nextFetch = c.now.Add(fetchInterval)
	if len(names) > maxFetchNames {
		c.nextFetch = c.now.Add(fullSyncInterval)
		c.requestSync(to, true)
		return
	}
	d := &datagram{Kind: KindFetch, Names: names}
	c.fillHeader(d)
	c.emitDatagram(to, d, nil, false)
}

// sendRecords sends records in Sync datagrams, as many as the budget and
// maxSyncDatagrams allow.
func (c *Core) sendRecords(to netip.AddrPort, number uint64, records []*node, full bool) {
	if c.syncBudget <= 0 {
		return // the requesting member tries another member
	}
	header := &datagram{Kind: KindSync, Number: number}
	c.fillHeader(header)
	header.Truncated, header.Last = true, true
	headerBytes := len(mustMarshal(header)) + updatesHeaderBytes
	header.Truncated, header.Last = false, false

	var updates []cbor.RawMessage
	used, sent := headerBytes, 0
	for _, n := range records {
		data := mustMarshal(toWire(n.member, c.now, full, full))
		if len(updates) > 0 && used+len(data) > MaxDatagramBytes {
			sent++
			if sent == maxSyncDatagrams || c.syncBudget < float64(used) {
				header.Truncated, header.Last = true, true
			}
			c.emitSync(to, header, updates, used)
			if header.Truncated {
				return
			}
			updates, used = nil, headerBytes
		}
		updates = append(updates, data)
		used += len(data)
	}
	header.Last = true
	c.emitSync(to, header, updates, used)
}

// emitSync sends one Sync datagram of the given size and charges it to the budget.
func (c *Core) emitSync(to netip.AddrPort, header *datagram, updates []cbor.RawMessage, used int) {
	c.syncBudget -= float64(used + ipUDPHeaderBytes)
	c.emitDatagram(to, header, updates, false)
}
