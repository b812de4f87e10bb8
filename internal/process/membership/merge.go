package membership

import (
	"net/netip"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

func newNode(m *Member) *node {
	return &node{member: m, hash: xxhash.Sum64String(m.Name), index: -1}
}

// mergeAll applies a datagram's updates and returns the names of members whose
// records must be fetched to understand the news.
func (c *Core) mergeAll(d *datagram) (missing []string) {
	for i := range d.Updates {
		u := &d.Updates[i]
		switch {
		case u.Name == c.self.member.Name:
			c.mergeSelf(u)
		case c.merge(u, d.Kind != KindSync):
			missing = append(missing, u.Name)
		}
	}
	return missing
}

// mergeSelf refutes news that this member is suspect or dead.
func (c *Core) mergeSelf(u *wireUpdate) {
	c.supersede(u.Incarnation)
	self := c.self.member
	if u.Incarnation != self.Incarnation || self.Left || u.State == StateAlive || u.Round < self.Sequence.Round() {
		return
	}
	next := *self
	next.Sequence = NewSequence(u.Round+1, self.Sequence.Change())
	c.replaceMember(c.self, &next)
	c.publish(c.self, false, false)
}

// mergeSender takes a datagram as a sign of life of its sender. It reports
// whether the sender's record must be fetched.
func (c *Core) mergeSender(d *datagram, from netip.AddrPort) bool {
	n := c.nodes[d.From]
	if n == nil || n.member.Incarnation < d.Incarnation {
		return true
	}
	if n.member.Incarnation > d.Incarnation {
		return false
	}
	if n.member.State != StateLeft {
		c.merge(&wireUpdate{Name: d.From, Incarnation: d.Incarnation, Round: d.Round, Change: d.Change, State: StateAlive}, false)
	}
	if (n.member.State == StateSuspect || n.member.State == StateDead) && d.Kind != KindProbe {
		// The sender does not know that it is under suspicion; a Probe is
		// answered with the accusation, the rest needs a message of its own.
		c.accuse(n)
	}
	return n.member.Sequence.Change() < d.Change || !n.member.Peer.IsValid()
}

// merge applies one update about another member. It reports whether the member's
// record must be fetched. News is passed on only if spread is true.
func (c *Core) merge(u *wireUpdate, spread bool) (fetch bool) {
	n := c.nodes[u.Name]
	if n == nil || u.Incarnation > n.member.Incarnation {
		return c.mergeNew(n, u, spread)
	}
	if u.Incarnation < n.member.Incarnation {
		return false
	}
	if !n.member.Peer.IsValid() && u.Fixed == nil && u.State <= StateSuspect {
		return true // first heard of when it was dead, without its addresses
	}
	if !spread && n.member.State == StateDead && u.State == StateAlive && u.Round == n.member.Sequence.Round() {
		c.accuse(n) // a member holds it for alive, so let it refute
	}
	changed := c.mergeDetail(n, u, spread)
	if c.mergeState(n, u, spread) {
		changed = true
	}
	if !changed && len(c.queue) > deepQueue && n.copies > 0 && u.State == n.member.State && u.sequence() == n.member.Sequence {
		n.copies-- // others spread it as well
		if n.copies == 0 {
			c.unqueue(n)
		}
	}
	return u.State == StateAlive && u.Change > n.member.Sequence.Change()
}

// mergeNew applies an update about an unknown member or a new incarnation.
func (c *Core) mergeNew(old *node, u *wireUpdate, spread bool) (fetch bool) {
	if u.State <= StateSuspect && u.Fixed == nil {
		return true
	}
	m := &Member{State: u.State, Since: c.now}
	m.Name, m.Incarnation, m.Sequence = u.Name, u.Incarnation, u.sequence()
	m.Left = u.State == StateLeft
	if u.Fixed != nil {
		m.Fixed = u.Fixed.fixed()
	}
	if u.Detail != nil {
		m.Detail = u.Detail.detail(c.now)
	}
	n := c.adopt(old, m, ReasonNews)
	if spread {
		c.publish(n, true, true)
	}
	return false
}

// adopt adds a member, or replaces an older incarnation of it.
func (c *Core) adopt(n *node, m *Member, reason Reason) *node {
	if n == nil {
		n = newNode(m)
		c.nodes[m.Name] = n
		i, _ := slices.BinarySearchFunc(c.all, m.Name, func(n *node, name string) int {
			return strings.Compare(n.member.Name, name)
		})
		c.all = slices.Insert(c.all, i, n)
	} else {
		old := n.member
		proof := ReasonReplacedElsewhere
		if old.Peer.IsValid() && old.Peer == m.Peer {
			proof = ReasonReplaced
		}
		if old.State != StateLeft {
			c.emit(MemberDown{Member: old, Reason: proof})
		}
		c.unlist(n)
		c.unqueue(n)
	}
	n.member = m
	c.list(n)
	c.rehash(n)
	c.view = nil
	switch m.State {
	case StateAlive, StateSuspect:
		c.emit(MemberUp{Member: m, Reason: reason})
		if m.State == StateSuspect {
			c.suspect(n)
		}
	case StateLeft:
		c.emit(MemberLeft{Member: m, Reason: ReasonLeft})
	}
	return n
}

// mergeDetail takes over a newer detail and, where they were unknown, the addresses.
func (c *Core) mergeDetail(n *node, u *wireUpdate, spread bool) bool {
	newer := u.Change > n.member.Sequence.Change()
	first := u.Fixed != nil && !n.member.Peer.IsValid()
	if u.Detail == nil || !newer && !first {
		return false
	}
	previous := n.member
	next := *previous
	if first {
		next.Fixed = u.Fixed.fixed()
	}
	next.Detail = u.Detail.detail(c.now)
	next.Sequence = NewSequence(previous.Sequence.Round(), u.Change)
	c.replaceMember(n, &next)
	if next.State <= StateSuspect {
		c.emit(MemberChanged{Member: n.member, Previous: previous, Reason: ReasonRecord})
	}
	if spread {
		c.publish(n, first, true)
	}
	return true
}

// mergeState takes over a state of a later round, or a greater one of the same.
func (c *Core) mergeState(n *node, u *wireUpdate, spread bool) bool {
	m := n.member
	round := m.Sequence.Round()
	switch {
	case m.State == StateLeft:
		return false
	case u.State == StateLeft:
		c.setState(n, StateLeft, max(u.Round, round), ReasonLeft)
	case m.Unverified && u.State != StateSuspect && u.Round >= round:
		reason := ReasonConfirmed
		if u.State == StateDead {
			reason = ReasonReportedDead
		}
		c.setState(n, u.State, u.Round, reason)
	case u.Round < round || u.Round == round && u.State <= m.State:
		return false
	case u.State == StateAlive:
		c.setState(n, StateAlive, u.Round, ReasonRefuted)
	case u.State == StateSuspect:
		c.setState(n, StateSuspect, u.Round, ReasonReportedSuspect)
	case m.State == StateAlive:
		// The other side of a healed partition reports members dead that are
		// alive here. They get the time to refute before they are given up.
		c.setState(n, StateSuspect, u.Round, ReasonReportedDead)
	default:
		c.setState(n, StateDead, u.Round, ReasonReportedDead)
	}
	if spread {
		c.publish(n, false, false)
	}
	return true
}

// setState moves a member to a state and reports it.
func (c *Core) setState(n *node, s State, round uint32, reason Reason) {
	previous := n.member
	next := *previous
	next.State, next.Since, next.Unverified = s, c.now, false
	next.Left = s == StateLeft
	next.Sequence = NewSequence(round, previous.Sequence.Change())
	c.unlist(n)
	c.replaceMember(n, &next)
	c.list(n)
	switch {
	case s == StateLeft:
		c.emit(MemberLeft{Member: &next, Reason: reason})
	case s == StateDead && previous.State <= StateSuspect:
		c.emit(MemberDown{Member: &next, Reason: reason})
	case s <= StateSuspect && previous.State == StateDead:
		c.emit(MemberUp{Member: &next, Reason: reason})
	case s <= StateSuspect:
		c.emit(MemberChanged{Member: &next, Previous: previous, Reason: reason})
	}
	if s == StateSuspect {
		c.suspect(n)
	}
}

// replaceMember stores a changed record.
func (c *Core) replaceMember(n *node, m *Member) {
	n.member = m
	n.encoded = nil
	c.rehash(n)
	c.view = nil
}

// list adds a node to the list of its state, and unlist removes it.
func (c *Core) list(n *node) {
	switch n.member.State {
	case StateAlive, StateSuspect:
		n.index = len(c.live)
		c.live = append(c.live, n)
	case StateDead:
		n.index = len(c.dead)
		c.dead = append(c.dead, n)
	case StateLeft:
		n.index = len(c.left)
		c.left = append(c.left, n)
	}
}

func (c *Core) unlist(n *node) {
	switch n.member.State {
	case StateAlive, StateSuspect:
		c.live = swapRemove(c.live, n.index)
	case StateDead:
		c.dead = swapRemove(c.dead, n.index)
	case StateLeft:
		c.left = swapRemove(c.left, n.index)
	}
	n.index = -1
}

func swapRemove(s []*node, i int) []*node {
	last := len(s) - 1
	s[i] = s[last]
	s[i].index = i
	s[last] = nil
	return s[:last]
}
