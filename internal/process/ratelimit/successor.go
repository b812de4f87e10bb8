package ratelimit

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// score is the rendezvous hash of a member for a purpose. The seed spreads the
// groups, so that each takes its own order of the members.
func score(seed uint64, member string) uint64 {
	d := xxhash.NewWithSeed(seed)
	_, _ = d.WriteString(member) // never fails
	return d.Sum64()
}

// rank returns this daemon's place among the members that may claim a group.
func (c *Claims) rank(group uint32) int {
	rank, own := 0, score(uint64(group), c.self.ID.Member)
	for _, m := range c.members {
		if m.ID != c.self.ID && !m.Leaving && score(uint64(group), m.ID.Member) > own {
			rank++
		}
	}
	return rank
}

func (c *Claims) leavingMember(id DaemonID) bool {
	return slices.ContainsFunc(c.members, func(m Member) bool { return m.ID == id && m.Leaving })
}

// successor chooses the successor for a group, in another zone than the
// keeper's if possible, and not one of those to avoid. It is zero if there is none.
func (c *Claims) successor(group uint32, zone string, avoid ...DaemonID) DaemonID {
	var best DaemonID
	var bestScore uint64
	bestElsewhere := false
	for _, m := range c.members {
		if m.ID == c.self.ID || m.Leaving || slices.Contains(avoid, m.ID) {
			continue
		}
		if _, dead := c.dead[m.ID]; dead {
			continue
		}
		// The seed differs from that of rank, so that the successors of one
		// keeper's groups are spread.
		s, elsewhere := score(uint64(group)|1<<32, m.ID.Member), m.Zone != zone
		if best == (DaemonID{}) || (elsewhere && !bestElsewhere) || (elsewhere == bestElsewhere && s > bestScore) {
			best, bestScore, bestElsewhere = m.ID, s, elsewhere
		}
	}
	return best
}
