package confirmation

import "github.com/cespare/xxhash/v2"

// maxTakeovers is the number of members of one zone that may have lost the store before
// the next in rank no longer tries in their place. In an outage of the store itself, all
// hosts of the zone would otherwise call it one after the other.
const maxTakeovers = 3

// Member is what a daemon knows of a live member of the fleet, itself included. Members
// that are leaving are not among them.
type Member struct {
	Name    string
	Zone    string
	Version uint64 // of its tables
	// Answers is true if the member answers questions; members of earlier releases do
	// not.
	Answers bool
	// Reads is true if the member reads the store and its last read succeeded.
	Reads bool
	// StoreLost is true if the member should read the store, and its last read failed.
	StoreLost bool
}

// precedes reports whether a ranks before b in their zone. The order is by hash, so that
// the readers are spread over the hosts.
func precedes(a, b string) bool {
	hashA, hashB := xxhash.Sum64String(a), xxhash.Sum64String(b)
	return hashA < hashB || hashA == hashB && a < b
}

// isReader reports whether a daemon has to read the store for its zone: it ranks first
// among the members that have not lost the store. A daemon that reads goes on until a
// member of a higher rank reads, so that a restart leaves no gap.
func isReader(self string, zone string, reading bool, members []Member) bool {
	first, lost := true, 0
	for _, m := range members {
		if m.Name == self || m.Zone != zone || !m.Answers || !precedes(m.Name, self) {
			continue
		}
		switch {
		case m.Reads:
			return false
		case m.StoreLost:
			lost++
		default:
			first = false
		}
	}
	return (first || reading) && lost < maxTakeovers
}
