package agent

import "time"

// relayMaxStatusAge is the greatest age of a member's last status at which the
// member is still chosen to relay statuses of others.
const relayMaxStatusAge = 800 * time.Millisecond

// statusRecipients returns the addresses that a status of this daemon is sent to:
// members that get it directly, and one relay for each other availability zone,
// which forwards it to the members of that zone. A zone has a relay if useRelays is
// set and a member there sent a status within relayMaxStatusAge. Members that have
// never sent a status get it directly, since their zone is not known.
func (f *fleet) statusRecipients(now time.Time, useRelays bool) (direct, relays []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	candidates := map[string][]string{}
	if useRelays {
		for _, m := range f.members {
			if !m.self && m.status.Zone != f.zone && m.canRelay(now) {
				candidates[m.status.Zone] = append(candidates[m.status.Zone], m.address)
			}
		}
	}
	for _, m := range f.members {
		if relayed := !m.lastStatusAt.IsZero() && len(candidates[m.status.Zone]) > 0; !m.self && m.address != "" && !relayed {
			direct = append(direct, m.address)
		}
	}
	for _, addresses := range candidates {
		relays = append(relays, addresses[f.rng.IntN(len(addresses))])
	}
	return direct, relays
}

// canRelay reports whether the member is chosen to forward statuses.
func (m *member) canRelay(now time.Time) bool {
	return !m.lastStatusAt.IsZero() && now.Sub(m.lastStatusAt) <= relayMaxStatusAge && !m.status.Leaving
}

// zoneNeighbours returns the addresses of the other members in this daemon's
// availability zone.
func (f *fleet) zoneNeighbours() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []string
	for _, m := range f.members {
		if !m.self && m.address != "" && m.status.Zone == f.zone {
			list = append(list, m.address)
		}
	}
	return list
}
