package agent

import (
	"time"

	"tarragonshore.example/tarragonshore/internal/process/logging"
)

const (
	// linkInterval is the time between checks for missing links, linkBatch the greatest
	// number of links that one check opens. A higher rate opens all links sooner after
	// a start, a lower one causes fewer handshakes at a time.
	linkInterval = 200 * time.Millisecond
	linkBatch    = 4
	// maxPreopenedLinks bounds the links that are opened before an attempt needs them.
	// An idle link costs 30 KB and a ping every half second (docs/CAPACITY.md).
	maxPreopenedLinks = 96
)

// preopenLinks opens links to members before attempts need them, until the agent
// stops. Otherwise all daemons would open all links in the first second of traffic,
// and the first attempts would spend their time on handshakes.
func (a *Agent) preopenLinks() { runEvery(a.ctx, linkInterval, a.openMissingLinks) }

// openMissingLinks opens up to linkBatch missing links.
func (a *Agent) openMissingLinks() {
	opened := 0
	for _, m := range a.fleet.linkTargets(time.Now(), maxPreopenedLinks) {
		if _, linked := a.hub.Current(m.name); linked {
			continue
		}
		if _, err := a.hub.Link(a.ctx, m.name, m.address); err != nil {
			logging.WarningEvent("link", "not-opened", "member", m.name, "error", err)
		}
		if opened++; opened == linkBatch {
			return
		}
	}
}

// linkTargets returns at most limit members that this daemon opens links to before
// attempts need them, those in its availability zone first. Of two members, the one
// whose name sorts first opens the link.
func (f *fleet) linkTargets(now time.Time, limit int) []memberAddress {
	f.mu.Lock()
	defer f.mu.Unlock()
	var sameZone, otherZones []memberAddress
	for _, m := range f.members {
		if m.self || m.name < f.self || !m.acceptsAttempts(now) {
			continue
		}
		address := memberAddress{name: m.name, address: m.address}
		if m.status.Zone == f.zone {
			sameZone = append(sameZone, address)
		} else {
			otherZones = append(otherZones, address)
		}
	}
	list := append(sameZone, otherZones...)
	return list[:min(len(list), limit)]
}
