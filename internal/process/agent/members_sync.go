package agent

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"tarragonshore.example/tarragonshore/internal/connection/wire"
	"tarragonshore.example/tarragonshore/internal/process/logging"
)

// Daemons that do not know each other share the rates of the workspaces wrongly, and the
// directory may lack a daemon that lives. So each status carries a digest of the members
// that its sender takes for live, and a daemon that lacks some asks for their list.

const (
	// membersSyncDelay is how long another member's digest has to differ before its list
	// is asked for. A start or an end reaches all daemons within two status intervals.
	membersSyncDelay = 1500 * time.Millisecond
	// membersAskInterval is the least time between two requests for a list.
	membersAskInterval = time.Second
	// maxListedMembers is the number of members in one datagram.
	maxListedMembers = 100
)

// live reports whether a member takes part in the fleet: it has sent a status within the
// time for which it shares the rates, and is not leaving.
func (m *member) live(now time.Time) bool {
	return !m.status.Leaving && (m.self || !m.lastStatusAt.IsZero() && now.Sub(m.lastStatusAt) < shareHoldTime)
}

// digest returns the digest of the live members. The caller holds mu.
func (f *fleet) digest(now time.Time) wire.MembersDigest {
	d := wire.MembersDigest{}
	for _, m := range f.members {
		if m.live(now) {
			d.Count++
			d.Names ^= xxhash.Sum64String(m.name)
		}
	}
	return d
}

// membersDigest returns the digest of the live members for a status.
func (f *fleet) membersDigest(now time.Time) wire.MembersDigest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.digest(now)
}

// memberToAsk returns the address of a random member whose list this daemon should ask
// for, "" if there is none: one that knows more members, or as many others, and has for
// membersSyncDelay.
func (f *fleet) memberToAsk(now time.Time) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	own := f.digest(now)
	var candidates []string
	for _, m := range f.members {
		theirs := m.status.Members
		lacking := theirs.Count > own.Count || theirs.Count == own.Count && theirs.Names != own.Names
		switch {
		case m.self || !lacking || !m.live(now):
			m.digestDiffersSince = time.Time{}
		case m.digestDiffersSince.IsZero():
			m.digestDiffersSince = now
		case now.Sub(m.digestDiffersSince) >= membersSyncDelay:
			candidates = append(candidates, m.address)
		}
	}
	if len(candidates) == 0 || now.Sub(f.membersAskedAt) < membersAskInterval {
		return ""
	}
	f.membersAskedAt = now
	return candidates[f.rng.IntN(len(candidates))]
}

// liveMembers returns the live members.
func (f *fleet) liveMembers(now time.Time) []wire.MemberAddress {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []wire.MemberAddress
	for _, m := range f.members {
		if m.address != "" && m.live(now) {
			list = append(list, wire.MemberAddress{Name: m.name, Address: m.address, Zone: m.status.Zone})
		}
	}
	return list
}

// askForMembers asks for another daemon's list of members if this one lacks some.
func (a *Agent) askForMembers() {
	if address := a.fleet.memberToAsk(time.Now()); address != "" {
		logging.InfoEvent("fleet", "members-asked", "address", address)
		a.send(address, wire.MembersRequest{Address: a.cfg.Listen.Peer.String()})
	}
}

// sendMembers sends the list of live members.
func (a *Agent) sendMembers(to string) {
	for part := range slices.Chunk(a.fleet.liveMembers(time.Now()), maxListedMembers) {
		a.send(to, wire.MembersReply{Members: part})
	}
}

// addMembers adds the members of another daemon's list that this one lacks, and makes
// itself known to them.
func (a *Agent) addMembers(list []wire.MemberAddress) {
	entries := make([]DirectoryEntry, 0, len(list))
	for _, m := range list {
		entries = append(entries, DirectoryEntry{Member: m.Name, Peer: m.Address, Zone: m.Zone})
	}
	for _, added := range a.addListed(entries) {
		logging.InfoEvent("fleet", "member-learned", "member", added.Member, "address", added.Peer)
	}
}
