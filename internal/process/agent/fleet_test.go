package agent

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"tarragonshore.example/tarragonshore/internal/connection/wire"
	"tarragonshore.example/tarragonshore/internal/process/rateshare"
)

// zoneStatus is a status of the n-th member of a zone.
func zoneStatus(zone string, n int, number uint64) *wire.Status {
	name := fmt.Sprint(zone, "-", n)
	return &wire.Status{Member: name, Incarnation: 1, Number: number, Address: name, Zone: zone}
}

// A status is sent once to each other availability zone and relayed there. When 72
// daemons in 4 zones sent each status to every other daemon (users' bench, site
// amff-mesh-grown, day quiet-1), nearly all bytes between zones were statuses.
func TestStatusIsSentOncePerZone(t *testing.T) {
	g := NewWithT(t)
	const members = 18
	now := time.Unix(1000, 0)
	f := newFleet("a-0", "a", 1, rateshare.Tolerance{})
	for _, zone := range []string{"a", "b", "c", "d"} {
		for n := range members {
			f.applyStatus(now, zoneStatus(zone, n, 1))
		}
	}
	f.addListed(now, DirectoryEntry{Member: "new", Peer: "new"})
	direct, relays := f.statusRecipients(now, true)
	g.Expect(direct).To(HaveLen(members-1+1), "the members of the same zone, and the one that has sent no status")
	g.Expect(direct).To(ContainElement("new"))
	zones := map[byte]bool{}
	for _, address := range relays {
		zones[address[0]] = true
	}
	g.Expect(zones).To(Equal(map[byte]bool{'b': true, 'c': true, 'd': true}))
	g.Expect(relays).To(HaveLen(3))
	direct, relays = f.statusRecipients(now, false)
	g.Expect(relays).To(BeEmpty())
	g.Expect(direct).To(HaveLen(4 * members))
	g.Expect(f.zoneNeighbours()).To(HaveLen(members - 1))
}

// A member that has been silent is not used as a relay, and the members of a zone
// without a relay get statuses directly.
func TestSilentMembersAreNoRelays(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	f := newFleet("a-0", "a", 1, rateshare.Tolerance{})
	for n := range 5 {
		f.applyStatus(now, zoneStatus("b", n, 1))
		f.applyStatus(now, zoneStatus("c", n, 1))
	}
	later := now.Add(relayMaxStatusAge + time.Millisecond)
	f.applyStatus(later, zoneStatus("b", 3, 2))
	for range 20 {
		direct, relays := f.statusRecipients(later, true)
		g.Expect(relays).To(Equal([]string{"b-3"}))
		slices.Sort(direct)
		g.Expect(direct).To(Equal([]string{"c-0", "c-1", "c-2", "c-3", "c-4"}))
	}
}

// Guards against a daemon that uses a workspace's whole rate because it knows of no
// other daemon yet. When all daemons restarted during a surge (users' bench, site
// mvldt-mesh, day hunt-9263-11), 1,199 requests of a workspace ran in 5 s where 1,129
// were allowed.
func TestRatesWaitForTheDirectory(t *testing.T) {
	g := NewWithT(t)
	f := newFleet("a-0", "a", 1, rateshare.Tolerance{})
	g.Expect(f.membersKnown(f.started.Add(time.Millisecond))).To(BeFalse())
	f.markDirectoryRead()
	g.Expect(f.membersKnown(f.started.Add(time.Millisecond))).To(BeTrue())

	unlisted := newFleet("a-0", "a", 1, rateshare.Tolerance{})
	g.Expect(unlisted.membersKnown(unlisted.started.Add(startupTime+time.Millisecond))).To(BeTrue(), "requests are admitted without the directory after the start-up time")
}

// A restarted daemon that has read the directory admits its share of a rate, not all
// of it.
func TestRestartedDaemonAdmitsItsShare(t *testing.T) {
	g := NewWithT(t)
	const members = 15
	limit := rateshare.Limit{Rate: 168, Burst: 168}
	f := newFleet("a-0", "a", 1, rateshare.Tolerance{Window: 5 * time.Second, Overage: 0.1, Slack: 20})
	for n := range members {
		f.addListed(f.started, DirectoryEntry{Member: fmt.Sprint("a-", n), Peer: fmt.Sprint("a-", n), Zone: "a"})
	}
	admitted := 0
	for range 200 {
		if ok, _ := f.takeToken(f.started, "w", limit, 0); ok {
			admitted++
		}
	}
	g.Expect(float64(admitted)).To(BeNumerically("<=", (limit.Burst+20)/members))
}
