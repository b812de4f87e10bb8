package routing

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxSubset bounds the number of upstreams of one pool that a daemon uses.
	MaxSubset = 16
	// otherZoneReserve is the number of places in a full subset that are reserved for
	// other zones, so that upstreams with open links remain if the own zone fails.
	otherZoneReserve = 4
)

// score is the rendezvous weight of an upstream for a daemon.
func score(self, id string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(self)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(id)
	return d.Sum64()
}

// Subset returns the records that the daemon self in zone uses: at most
// MaxSubset by rendezvous hashing, own zone first, with at least two zones if
// the records have two. If one record is added or removed, at most one other upstream
// of the own zone and one of the other zones are replaced.
func Subset(self, zone string, records []Record) []Record {
	type scored struct {
		Record
		score uint64
	}
	var own, other []scored
	for _, r := range records {
		s := scored{r, score(self, r.ID)}
		if r.Zone == zone {
			own = append(own, s)
		} else {
			other = append(other, s)
		}
	}
	byScore := func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.ID, b.ID))
	}
	slices.SortFunc(own, byScore)
	slices.SortFunc(other, byScore)
	if n := MaxSubset - min(len(other), otherZoneReserve); len(own) > n {
		own = own[:n]
	}
	if n := MaxSubset - len(own); len(other) > n {
		rest := other[n:]
		other = other[:n]
		// Without own-zone upstreams, the subset must still span two zones.
		if len(own) == 0 && !slices.ContainsFunc(other, func(s scored) bool { return s.Zone != other[0].Zone }) {
			i := slices.IndexFunc(rest, func(s scored) bool { return s.Zone != other[0].Zone })
			if i >= 0 {
				other[n-1] = rest[i]
			}
		}
	}
	out := make([]Record, 0, len(own)+len(other))
	for _, s := range append(own, other...) {
		out = append(out, s.Record)
	}
	return out
}
