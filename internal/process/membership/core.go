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

// Retention is how long dead and left members are remembered. Dead members count
// as known for the majority rule of the freshness decision, so that a small side
// of a partition does not become a majority by forgetting the other side.
const Retention = 24 * time.Hour

// pauseLimit is the time between two ticks from which on this daemon takes itself
// for paused: unanswered probes then prove nothing.
const pauseLimit = time.Second

// Core is the state machine. Its methods return actions that are valid until the
// next call.
type Core struct {
	rng     *rand.Rand
	now     time.Time
	actions []Action

	self       *node
	superseded uint64
	status     Status

	nodes map[string]*node // all but self
	all   []*node          // the same, sorted by name
	live  []*node          // alive and suspect
	dead  []*node
	left  []*node

	digest  uint32
	buckets [bucketCount]uint32

	lastTick time.Time

	probing
	news
	syncing
	reporting

	view *View // nil if it must be built again
}

// node is a member with the state of this package's mechanisms.
type node struct {
	member *Member
	hash   uint64 // of the name
	value  uint32 // contribution to the digests
	index  int    // in Core.live, Core.dead or Core.left

	suspectUntil time.Time
	verifyAt     time.Time
	accusedAt    time.Time

	copies     int  // times that the news is still to be sent
	withFixed  bool // the news needs the addresses
	withDetail bool // the news needs the detail
	encoded    []byte
	encodedAt  time.Time
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
	c.rehash(c.self)
	c.joining = true
	c.lastTick = now
	c.nextProbe = now.Add(time.Duration(rng.Int64N(int64(ProbeInterval))))
	c.nextDeadProbe = now.Add(deadProbeInterval)
	c.nextForget = now.Add(forgetInterval)
	c.budget = gossipBurstBytes
	c.syncBudget = syncBurstBytes
	c.publish(c.self, true, true)
	return c, nil
}

func (c *Core) begin(now time.Time) {
	c.now = now
	clear(c.actions)
	c.actions = c.actions[:0]
}

func (c *Core) emit(a Action) { c.actions = append(c.actions, a) }

// Tick lets time pass: probes, suspicions and gossip that are due.
func (c *Core) Tick(now time.Time) []Action {
	c.begin(now)
	gap := now.Sub(c.lastTick)
	c.lastTick = now
	c.refill(gap)
	if gap > pauseLimit {
		c.resume(gap)
	}
	if !c.self.member.Left {
		c.expireProbes()
		c.expireSuspicions()
		c.startProbes()
		c.inquire()
		c.join()
		c.forget()
	}
	c.gossip()
	return c.actions
}

// resume takes back what this daemon concluded, or was about to, from answers
// that it could not receive while it was paused.
func (c *Core) resume(gap time.Duration) {
	c.pending = c.pending[:0]
	c.asks = c.asks[:0]
	for _, n := range c.suspects {
		n.suspectUntil = n.suspectUntil.Add(gap)
	}
	c.nextProbe = c.now
}

// Receive handles a datagram.
func (c *Core) Receive(now time.Time, from netip.AddrPort, data []byte) []Action {
	c.begin(now)
	d, err := decode(data)
	if err != nil {
		c.emit(Ignored{From: from, Reason: ReasonUndecodable, Err: err})
		return c.actions
	}
	if d.From == c.self.member.Name {
		c.supersede(d.Incarnation)
		c.emit(Ignored{From: from, Reason: ReasonOwnDatagram})
		return c.actions
	}
	missing := c.mergeAll(d)
	if c.mergeSender(d, from) {
		missing = append(missing, d.From)
	}
	c.fetch(from, missing)
	c.noteStatus(d)
	switch d.Kind {
	case KindProbe:
		c.answerProbe(from, d)
	case KindProbeAck:
		c.acknowledged(d, from)
	case KindIndirectProbe:
		c.relayProbe(from, d)
	case KindSyncRequest:
		c.answerSync(from, d)
	case KindSync:
		c.synced(d)
	case KindFetch:
		c.answerFetch(from, d)
	}
	return c.actions
}

// SetSelf changes this member's own record and spreads the change. The error is a
// *RecordError if the record would not fit into a datagram.
func (c *Core) SetSelf(now time.Time, detail Detail) ([]Action, error) {
	c.begin(now)
	if c.self.member.Left || c.self.member.Detail.equal(detail) {
		return c.actions, nil
	}
	detail.Servers = slices.Clone(detail.Servers)
	for i := range detail.Servers {
		s := &detail.Servers[i]
		switch {
		case s.State != ServerReady:
			s.ReadySince = time.Time{}
		case s.ReadySince.IsZero():
			s.ReadySince = now
		}
	}
	next := *c.self.member
	next.Detail = detail
	next.Sequence++
	if err := checkRecord(&next); err != nil {
		return nil, err
	}
	c.replaceMember(c.self, &next)
	c.publish(c.self, false, true)
	c.gossip()
	return c.actions, nil
}

// SetStatus stores this daemon's own status, which travels on every message.
func (c *Core) SetStatus(s Status) { c.status = s }

// Announced handles a record that was read from the log. It can add a member,
// unverified, and prove an older incarnation dead; it never revives a member.
func (c *Core) Announced(now time.Time, r Record) []Action {
	c.begin(now)
	if r.Name == c.self.member.Name {
		c.supersede(r.Incarnation)
		return c.actions
	}
	n := c.nodes[r.Name]
	switch {
	case n != nil && r.Incarnation < n.member.Incarnation:
	case r.Left:
		c.announcedLeft(n, r)
	case n == nil || r.Incarnation > n.member.Incarnation:
		c.adopt(n, &Member{Record: r, State: StateSuspect, Since: now, Unverified: true}, ReasonAnnounced)
	case n.member.State == StateDead:
		c.probe(n, purposeAccuse)
	}
	return c.actions
}

// announcedLeft applies the announcement that a member writes when it leaves.
func (c *Core) announcedLeft(n *node, r Record) {
	switch {
	case n == nil || r.Incarnation > n.member.Incarnation:
		c.adopt(n, &Member{Record: r, State: StateLeft, Since: c.now}, ReasonLeft)
	case n.member.State != StateLeft:
		c.setState(n, StateLeft, r.Sequence.Round(), ReasonLeft)
	}
}

// Join names addresses to ask for all records, besides members known already.
func (c *Core) Join(addresses ...netip.AddrPort) {
	c.seeds = append(c.seeds, addresses...)
}

// Leave marks this member as left, which is final, and tells others. Keep calling
// Tick for about LeaveTime, so that the news gets out.
func (c *Core) Leave(now time.Time) []Action {
	c.begin(now)
	if c.self.member.Left {
		return c.actions
	}
	next := *c.self.member
	next.Left, next.Leaving, next.State, next.Since = true, true, StateLeft, now
	next.Sequence++
	c.replaceMember(c.self, &next)
	c.publish(c.self, false, true)
	c.gossip()
	return c.actions
}

// LeaveTime is how long Tick should still be called after Leave.
const LeaveTime = time.Second

// Self returns this member's own record.
func (c *Core) Self() *Member { return c.self.member }

func (c *Core) supersede(incarnation uint64) {
	if incarnation > c.self.member.Incarnation && incarnation > c.superseded {
		c.superseded = incarnation
		c.emit(Superseded{Incarnation: incarnation})
	}
}

// View is a snapshot of the members. It never changes and may be shared.
type View struct {
	// Self is this daemon.
	Self *Member
	// Members are the alive and suspect members with this daemon, by name.
	Members []*Member
	// Known counts Members and the dead ones: all that have not left.
	Known int
	// Alive counts the members in StateAlive, with this daemon.
	Alive int
}

// Find returns the alive or suspect member of the name, or nil.
func (v *View) Find(name string) *Member {
	i, ok := slices.BinarySearchFunc(v.Members, name, func(m *Member, name string) int {
		return strings.Compare(m.Name, name)
	})
	if !ok {
		return nil
	}
	return v.Members[i]
}

// View returns the current snapshot; the same pointer until something changes.
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
	for _, n := range c.all {
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

// Lookup returns what is known of a member in any state, or nil.
func (c *Core) Lookup(name string) *Member {
	if n := c.nodes[name]; n != nil {
		return n.member
	}
	return nil
}

// forgetInterval is how often expired records are looked for.
const forgetInterval = time.Minute

// forget drops dead and left members after Retention.
func (c *Core) forget() {
	if c.now.Before(c.nextForget) {
		return
	}
	c.nextForget = c.now.Add(forgetInterval)
	c.all = slices.DeleteFunc(c.all, func(n *node) bool {
		if n.member.State < StateDead || c.now.Sub(n.member.Since) < Retention {
			return false
		}
		c.unlist(n)
		c.unqueue(n)
		delete(c.nodes, n.member.Name)
		c.view = nil
		return true
	})
}
