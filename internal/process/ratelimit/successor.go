package ratelimit

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// score is the score of a member in rendezvous hashing. The seed depends on the
// group, so that each group has its own order of the members.
func score(seed uint64, member string) uint64 {
	d := xxhash.NewWithSeed(seed)
	_, _ = d.WriteString(member) // never fails
	return d.Sum64()
}

// rank returns how many members precede this daemon in the order in which members
// claim a group: the members that are not leaving, by descending score.
func (c *Claims) rank(group uint32) int {
	rank, own := 0, score(uint64(group), c.self.ID.Member)
	for _, m := range c.members {
		if m.ID != c.self.ID && !m.Leaving && score(uint64(group), m.ID.Member) > own {
			rank++
		}
	}
	return rank
}

func (c *Claims) isLeaving(id DaemonID) bool {
	return slices.ContainsFunc(c.members, func(m Member) bool { return m.ID == id && m.Leaving })
}

// successor chooses the successor for a group whose keeper is in the given zone. It
// prefers other zones and excludes the daemons in avoid. It is zero if there is
// none.
func (c *Claims) successor(group uint32, zone string, avoid ...DaemonID) DaemonID {
	var best DaemonID
	var bestScore uint64
	bestOtherZone := false
	for _, m := range c.members {
		if m.ID == c.self.ID || m.Leaving || slices.Contains(avoid, m.ID) {
			continue
		}
		if _, dead := c.dead[m.ID]; dead {
			continue
		}
		// The seed differs from that in rank, so that the groups of one keeper have
		// different successors.
		s, otherZone := score(uint64(group)|1<<32, m.ID.Member), m.Zone != zone
		if best == (DaemonID{}) || (otherZone && !bestOtherZone) || (otherZone == bestOtherZone && s > bestScore) {
			best, bestScore, bestOtherZone = m.ID, s, otherZone
		}
	}
	return best
}
