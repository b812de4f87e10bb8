package membership

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// TickInterval is how often Tick should be called.
const TickInterval = 100 * time.Millisecond

// Retention is how long records of dead and left members are kept. Dead members
// count as known in the majority rule of the freshness decision: if the smaller
// side of a partition removed the other side's records, it would count itself as
// the majority.
const Retention = 24 * time.Hour

// pauseThreshold is the time between two ticks beyond which the core assumes that
// this process was paused. Probes that were unanswered in that time are no evidence
// against other members.
const pauseThreshold = time.Second

// Core is the membership state machine of one daemon. Its methods return actions
// that are valid until the next call.
type Core struct {
	rng     *rand.Rand
	now     time.Time
	actions []Action

	self         *node
	supersededBy uint64
	status       TablesStatus

	nodes  map[string]*node // all members except self, by name
	sorted []*node          // the same members, sorted by name
	live   []*node          // members in StateAlive or StateSuspect
	dead   []*node
	left   []*node

	digest  uint32              // of the alive and suspect members; see updateDigests
	buckets [bucketCount]uint32 // the digest of each bucket of members

	lastTick time.Time

	failureDetector
	dissemination
	synchronization
	statusTracking

	view *View // cached result of View; nil after a change
}

// node is a member with its state in failure detection, dissemination and
// synchronization.
type node struct {
	member      *Member
	hash        uint64 // of the name
	digestValue uint32 // what the member contributes to the digests by XOR
	index       int    // in Core.live, Core.dead or Core.left

	suspectUntil time.Time // when a suspect member is declared dead
	verifyAt     time.Time // when an unverified member is probed
	notifiedAt   time.Time // when the member was last notified of its suspicion

	sendsLeft       int  // datagrams that must still carry the queued update
	sendStaticInfo  bool // the queued update includes StaticInfo
	sendMutableInfo bool // the queued update includes MutableInfo
	encoded         []byte
	encodedAt       time.Time
}

// New returns a core that knows only itself. The record needs a name, an
// incarnation and a valid peer address; the error is a *RecordError otherwise.
func New(now time.Time, self Record, rng *rand.Rand) (*Core, error) {
	c := &Core{rng: rng, now: now, nodes: map[string]*node{}}
	self.Sequence = NewSequence(0, 1)
	if err := checkRecord(&Member{Record: self, State: StateAlive}); err != nil {
		return nil, err
	}
	c.self = newNode(&Member{Record: self, State: StateAlive, Since: now})
	c.updateDigests(c.self)
	c.joining = true
	c.lastTick = now
	c.nextProbe = now.Add(time.Duration(rng.Int64N(int64(ProbeInterval))))
	c.nextDeadProbe = now.Add(deadProbeInterval)
	c.nextExpiry = now.Add(expiryInterval)
	c.gossipBudget = gossipBurstBytes
	c.syncBudget = syncBurstBytes
	c.queueUpdate(c.self, true, true)
	return c, nil
}

// beginEvent sets the time of an event and discards the actions of the previous one.
func (c *Core) beginEvent(now time.Time) {
	c.now = now
	clear(c.actions)
	c.actions = c.actions[:0]
}

func (c *Core) emit(a Action) { c.actions = append(c.actions, a) }

// Tick handles the timers that are due: probes, suspicions, synchronization, the
// removal of expired records, and gossip.
func (c *Core) Tick(now time.Time) []Action {
	c.beginEvent(now)
	gap := now.Sub(c.lastTick)
	c.lastTick = now
	c.refillBudgets(gap)
	if gap > pauseThreshold {
		c.resumeAfterPause(gap)
	}
	if !c.self.member.Left {
		c.expireProbes()
		c.expireSuspicions()
		c.startProbes()
		c.queryStatus()
		c.join()
		c.removeExpired()
	}
	c.gossip()
	return c.actions
}

// resumeAfterPause discards the pending probes and extends the suspicion time-outs by
// the length of a pause, since this daemon could not receive answers or refutations
// while it was paused.
func (c *Core) resumeAfterPause(gap time.Duration) {
	c.pending = c.pending[:0]
	c.statusQueries = c.statusQueries[:0]
	for _, n := range c.suspects {
		n.suspectUntil = n.suspectUntil.Add(gap)
	}
	c.nextProbe = c.now
}

// Receive handles a datagram.
func (c *Core) Receive(now time.Time, from netip.AddrPort, data []byte) []Action {
	c.beginEvent(now)
	d, err := decode(data)
	if err != nil {
		c.emit(Ignored{From: from, Reason: ReasonUndecodable, Err: err})
		return c.actions
	}
	if d.From == c.self.member.Name {
		c.checkSuperseded(d.Incarnation)
		c.emit(Ignored{From: from, Reason: ReasonOwnDatagram})
		return c.actions
	}
	missing := c.mergeAll(d)
	if c.mergeSender(d, from) {
		missing = append(missing, d.From)
	}
	c.fetch(from, missing)
	c.updateLikelyFreshest(d)
	switch d.Kind {
	case KindProbe:
		c.answerProbe(from, d)
	case KindProbeAck:
		c.handleProbeAck(d, from)
	case KindIndirectProbe:
		c.relayProbe(from, d)
	case KindSyncRequest:
		c.answerSync(from, d)
	case KindSync:
		c.handleSync(d)
	case KindFetch:
		c.answerFetch(from, d)
	}
	return c.actions
}

// SetSelf changes the mutable part of this member's own record and disseminates it. The
// error is a *RecordError if the record would not fit into a datagram.
func (c *Core) SetSelf(now time.Time, info MutableInfo) ([]Action, error) {
	c.beginEvent(now)
	if c.self.member.Left || c.self.member.MutableInfo.equal(info) {
		return c.actions, nil
	}
	info.Servers = slices.Clone(info.Servers)
	for i := range info.Servers {
		s := &info.Servers[i]
		switch {
		case s.State != ServerReady:
			s.ReadySince = time.Time{}
		case s.ReadySince.IsZero():
			s.ReadySince = now
		}
	}
	next := *c.self.member
	next.MutableInfo = info
	next.Sequence++
	if err := checkRecord(&next); err != nil {
		return nil, err
	}
	c.replaceMember(c.self, &next)
	c.queueUpdate(c.self, false, true)
	c.gossip()
	return c.actions, nil
}

// SetTablesStatus stores this daemon's own status, which probes and their answers carry.
func (c *Core) SetTablesStatus(s TablesStatus) { c.status = s }

// HandleAnnouncement handles a record that was read from the members stream of the
// log. It can add an unverified member, prove that an older incarnation is dead, and
// mark a member as left. It never makes a dead incarnation alive again.
func (c *Core) HandleAnnouncement(now time.Time, r Record) []Action {
	c.beginEvent(now)
	if r.Name == c.self.member.Name {
		c.checkSuperseded(r.Incarnation)
		return c.actions
	}
	n := c.nodes[r.Name]
	switch {
	case n != nil && r.Incarnation < n.member.Incarnation:
	case r.Left:
		c.handleLeaveAnnouncement(n, r)
	case n == nil || r.Incarnation > n.member.Incarnation:
		c.addOrReplace(n, &Member{Record: r, State: StateSuspect, Since: now, Unverified: true}, ReasonAnnounced)
	case n.member.State == StateDead:
		c.probe(n, purposeNotify)
	}
	return c.actions
}

// handleLeaveAnnouncement handles the record that a member appends when it leaves.
func (c *Core) handleLeaveAnnouncement(n *node, r Record) {
	switch {
	case n == nil || r.Incarnation > n.member.Incarnation:
		c.addOrReplace(n, &Member{Record: r, State: StateLeft, Since: c.now}, ReasonLeft)
	case n.member.State != StateLeft:
		c.setState(n, StateLeft, r.Sequence.Round(), ReasonLeft)
	}
}

// AddSeeds adds peer addresses from which this daemon requests all records, in addition
// to the members that it knows.
func (c *Core) AddSeeds(addresses ...netip.AddrPort) {
	c.seeds = append(c.seeds, addresses...)
}

// Leave marks this member as left, which is final, and notifies other members. The
// caller must continue to call Tick for LeaveDuration, so that the update is sent.
func (c *Core) Leave(now time.Time) []Action {
	c.beginEvent(now)
	if c.self.member.Left {
		return c.actions
	}
	next := *c.self.member
	next.Left, next.Leaving, next.State, next.Since = true, true, StateLeft, now
	next.Sequence++
	c.replaceMember(c.self, &next)
	c.queueUpdate(c.self, false, true)
	c.gossip()
	return c.actions
}

// LeaveDuration is how long Tick should be called after Leave.
const LeaveDuration = time.Second

// Self returns this member's own record.
func (c *Core) Self() *Member { return c.self.member }

// checkSuperseded reports a later incarnation of this daemon's own name, each one
// at most once.
func (c *Core) checkSuperseded(incarnation uint64) {
	if incarnation > c.self.member.Incarnation && incarnation > c.supersededBy {
		c.supersededBy = incarnation
		c.emit(Superseded{Incarnation: incarnation})
	}
}

// View is a snapshot of the members. It never changes and may be shared.
type View struct {
	// Self is this daemon.
	Self *Member
	// Members are the alive and suspect members, including this daemon, sorted by
	// name.
	Members []*Member
	// Known counts all members that have not left: alive, suspect and dead.
	Known int
	// Alive counts the members in StateAlive, including this daemon.
	Alive int
}

// Find returns the alive or suspect member with the given name, or nil.
func (v *View) Find(name string) *Member {
	i, ok := slices.BinarySearchFunc(v.Members, name, func(m *Member, name string) int {
		return strings.Compare(m.Name, name)
	})
	if !ok {
		return nil
	}
	return v.Members[i]
}

// View returns the current snapshot. It returns the same pointer until a member
// changes.
func (c *Core) View() *View {
	if c.view != nil {
		return c.view
	}
	v := &View{Self: c.self.member, Members: make([]*Member, 0, len(c.live)+1), Known: len(c.live) + len(c.dead)}
	add := func(m *Member) {
		v.Members = append(v.Members, m)
		if m.State == StateAlive {
			v.Alive++
		}
	}
	selfAdded := c.self.member.Left
	if !selfAdded {
		v.Known++
	}
	for _, n := range c.sorted {
		if !selfAdded && n.member.Name > c.self.member.Name {
			add(c.self.member)
			selfAdded = true
		}
		if n.member.State <= StateSuspect {
			add(n.member)
		}
	}
	if !selfAdded {
		add(c.self.member)
	}
	c.view = v
	return v
}

// Lookup returns a member in any state, or nil if it is unknown.
func (c *Core) Lookup(name string) *Member {
	if n := c.nodes[name]; n != nil {
		return n.member
	}
	return nil
}

// expiryInterval is the time between two searches for expired records.
const expiryInterval = time.Minute

// removeExpired removes members that have been dead or left for Retention.
func (c *Core) removeExpired() {
	if c.now.Before(c.nextExpiry) {
		return
	}
	c.nextExpiry = c.now.Add(expiryInterval)
	c.sorted = slices.DeleteFunc(c.sorted, func(n *node) bool {
		if n.member.State < StateDead || c.now.Sub(n.member.Since) < Retention {
			return false
		}
		c.removeFromStateList(n)
		c.dequeueUpdate(n)
		delete(c.nodes, n.member.Name)
		c.view = nil
		return true
	})
}
