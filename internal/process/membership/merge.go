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

// mergeAll applies the updates of a datagram and returns the names of the members
// whose full records must be fetched before their updates can be applied.
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

// mergeSelf handles an update about this member. It refutes a suspicion or death by
// starting the next refutation round.
func (c *Core) mergeSelf(u *wireUpdate) {
	c.checkSuperseded(u.Incarnation)
	self := c.self.member
	if u.Incarnation != self.Incarnation || self.Left || u.State == StateAlive || u.Round < self.Sequence.Round() {
		return
	}
	next := *self
	next.Sequence = NewSequence(u.Round+1, self.Sequence.Change())
	c.replaceMember(c.self, &next)
	c.queueUpdate(c.self, false, false)
}

// mergeSender handles a datagram as evidence that its sender is alive. It reports
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
		// The sender may not know that it is suspect or dead here. The answer to a
		// probe says so; after other datagrams, a separate message has to.
		c.notifySuspicion(n)
	}
	return n.member.Sequence.Change() < d.Change || !n.member.Peer.IsValid()
}

// merge applies one update about another member. It reports whether the member's
// record must be fetched. A change is forwarded to other members only if disseminate
// is true.
func (c *Core) merge(u *wireUpdate, disseminate bool) (fetch bool) {
	n := c.nodes[u.Name]
	if n == nil || u.Incarnation > n.member.Incarnation {
		return c.mergeNew(n, u, disseminate)
	}
	if u.Incarnation < n.member.Incarnation {
		return false
	}
	if !n.member.Peer.IsValid() && u.StaticInfo == nil && u.State <= StateSuspect {
		return true // the member became known by its death, without its addresses
	}
	if !disseminate && n.member.State == StateDead && u.State == StateAlive && u.Round == n.member.Sequence.Round() {
		c.notifySuspicion(n) // another member considers it alive, so give it a chance to refute
	}
	changed := c.mergeMutableInfo(n, u, disseminate)
	if c.mergeState(n, u, disseminate) {
		changed = true
	}
	if !changed && len(c.queue) > suppressionQueueLength && n.sendsLeft > 0 && u.State == n.member.State && u.sequence() == n.member.Sequence {
		n.sendsLeft-- // another member disseminates the same update
		if n.sendsLeft == 0 {
			c.dequeueUpdate(n)
		}
	}
	return u.State == StateAlive && u.Change > n.member.Sequence.Change()
}

// mergeNew applies an update about an unknown member or a new incarnation.
func (c *Core) mergeNew(old *node, u *wireUpdate, disseminate bool) (fetch bool) {
	if u.State <= StateSuspect && u.StaticInfo == nil {
		return true
	}
	m := &Member{State: u.State, Since: c.now}
	m.Name, m.Incarnation, m.Sequence = u.Name, u.Incarnation, u.sequence()
	m.Left = u.State == StateLeft
	if u.StaticInfo != nil {
		m.StaticInfo = u.StaticInfo.staticInfo()
	}
	if u.MutableInfo != nil {
		m.MutableInfo = u.MutableInfo.mutableInfo(c.now)
	}
	n := c.addOrReplace(old, m, ReasonGossip)
	if disseminate {
		c.queueUpdate(n, true, true)
	}
	return false
}

// addOrReplace adds a member, or replaces an older incarnation of it and reports the
// older one as down. A new incarnation at the same peer address proves that the older
// process has ended, since only one process can listen there.
func (c *Core) addOrReplace(n *node, m *Member, reason Reason) *node {
	if n == nil {
		n = newNode(m)
		c.nodes[m.Name] = n
		i, _ := slices.BinarySearchFunc(c.sorted, m.Name, func(n *node, name string) int {
			return strings.Compare(n.member.Name, name)
		})
		c.sorted = slices.Insert(c.sorted, i, n)
	} else {
		old := n.member
		downReason := ReasonReplacedElsewhere
		if old.Peer.IsValid() && old.Peer == m.Peer {
			downReason = ReasonReplaced
		}
		if old.State != StateLeft {
			c.emit(MemberDown{Member: old, Reason: downReason})
		}
		c.removeFromStateList(n)
		c.dequeueUpdate(n)
	}
	n.member = m
	c.addToStateList(n)
	c.updateDigests(n)
	c.view = nil
	switch m.State {
	case StateAlive, StateSuspect:
		c.emit(MemberUp{Member: m, Reason: reason})
		if m.State == StateSuspect {
			c.startSuspicion(n)
		}
	case StateLeft:
		c.emit(MemberLeft{Member: m, Reason: ReasonLeft})
	}
	return n
}

// mergeMutableInfo applies a newer MutableInfo and, if the member's addresses were
// unknown, its StaticInfo. It reports whether the record changed.
func (c *Core) mergeMutableInfo(n *node, u *wireUpdate, disseminate bool) bool {
	newer := u.Change > n.member.Sequence.Change()
	addsAddresses := u.StaticInfo != nil && !n.member.Peer.IsValid()
	if u.MutableInfo == nil || !newer && !addsAddresses {
		return false
	}
	previous := n.member
	next := *previous
	if addsAddresses {
		next.StaticInfo = u.StaticInfo.staticInfo()
	}
	next.MutableInfo = u.MutableInfo.mutableInfo(c.now)
	next.Sequence = NewSequence(previous.Sequence.Round(), u.Change)
	c.replaceMember(n, &next)
	if next.State <= StateSuspect {
		c.emit(MemberChanged{Member: n.member, Previous: previous, Reason: ReasonRecordChanged})
	}
	if disseminate {
		c.queueUpdate(n, addsAddresses, true)
	}
	return true
}

// mergeState applies a state of a later round, or a greater state of the same round.
// It reports whether the state changed.
func (c *Core) mergeState(n *node, u *wireUpdate, disseminate bool) bool {
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
		// After a partition heals, the other side reports members as dead that are
		// alive here. They become suspect first, so that they can refute.
		c.setState(n, StateSuspect, u.Round, ReasonReportedDead)
	default:
		c.setState(n, StateDead, u.Round, ReasonReportedDead)
	}
	if disseminate {
		c.queueUpdate(n, false, false)
	}
	return true
}

// setState changes the state of a member and reports the change.
func (c *Core) setState(n *node, s State, round uint32, reason Reason) {
	previous := n.member
	next := *previous
	next.State, next.Since, next.Unverified = s, c.now, false
	next.Left = s == StateLeft
	next.Sequence = NewSequence(round, previous.Sequence.Change())
	c.removeFromStateList(n)
	c.replaceMember(n, &next)
	c.addToStateList(n)
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
		c.startSuspicion(n)
	}
}

// replaceMember stores a changed record.
func (c *Core) replaceMember(n *node, m *Member) {
	n.member = m
	n.encoded = nil
	c.updateDigests(n)
	c.view = nil
}

// addToStateList adds a node to the list of its state.
func (c *Core) addToStateList(n *node) {
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

// removeFromStateList removes a node from the list of its state.
func (c *Core) removeFromStateList(n *node) {
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
