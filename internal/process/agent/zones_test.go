package agent

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"tarragonshore.example/tarragonshore/internal/connection/wire"
	"tarragonshore.example/tarragonshore/internal/process/rateshare"
	"tarragonshore.example/tarragonshore/internal/request/shedding"
	"tarragonshore.example/tarragonshore/internal/version/catalog"
)

// storeStatus is the status of a member with a server of the service "store" with 50 slots,
// at whose daemon callers' requests for 20 slots enter.
func storeStatus(zone string, n int, number uint64) *wire.Status {
	s := zoneStatus(zone, n, number)
	s.Service, s.Server, s.State = "store", "server-"+s.Member, wire.ServerReady
	s.Load = wire.Load{Number: number, Limit: 50, ServiceTime: 20 * time.Millisecond}
	s.Runs = []shedding.RunReport{{Route: "read", Rate: 1000, ServiceTime: 20 * time.Millisecond}}
	s.Arrivals = []shedding.Arrivals{{Route: "read", Rate: 1000}}
	return s
}

func storeCatalog(g *WithT) *catalog.Catalog {
	c, err := catalog.New(catalog.Content{Version: 1, Services: []string{"store"}, Routes: []catalog.Route{
		{Name: "read", Host: "store", PathPrefix: "/", Shares: []catalog.Share{{Service: "store", Weight: 1}}, LatencyTarget: 250 * time.Millisecond}}})
	g.Expect(err).NotTo(HaveOccurred())
	return c
}

// zonesOfPicks counts the attempts of n calls by zone. The attempts end at once.
func zonesOfPicks(f *fleet, now time.Time, n int) map[string]int {
	count := map[string]int{}
	for i := range n {
		c := &call{requestID: fmt.Sprint(i), route: "read", service: "store", latencyTarget: 250 * time.Millisecond, objective: now.Add(250 * time.Millisecond)}
		if server, m, ok := f.pickUpstream(now, c); ok {
			f.attemptFinished(now, "store", server, 1)
			f.loadReported("store", server, &wire.Load{Number: uint64(1000 + i), Limit: 50, ServiceTime: 20 * time.Millisecond})
			count[m.zone]++
		}
	}
	return count
}

// The failure test of this part: guards against a zone that keeps sending to its own servers,
// or nowhere, after they are gone, and against one that does not return to them.
func TestZoneWithoutServersSendsToOthersAndReturns(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	f := newFleet("a-0", "a", 1, rateshare.Tolerance{})
	c := storeCatalog(g)
	send := func(number uint64, stateOfA wire.ServerState) {
		for n, zone := range []string{"a", "b", "c"} {
			s := storeStatus(zone, n, number)
			if zone == "a" {
				s.State = stateOfA
			}
			f.applyStatus(now, s)
		}
		for range 4 {
			f.replan(now, c)
		}
	}
	send(1, wire.ServerReady)
	g.Expect(f.zones.plan.Shares("store")).To(HaveLen(1), "all traffic stays")
	g.Expect(zonesOfPicks(f, now, 500)).To(Equal(map[string]int{"a": 500}))
	send(2, wire.ServerAbsent)
	g.Expect(zonesOfPicks(f, now, 500)).NotTo(HaveKey("a"))
	for number := range uint64(4) {
		now = now.Add(time.Second)
		send(3+number, wire.ServerReady)
	}
	g.Expect(zonesOfPicks(f, now, 500)["a"]).To(BeNumerically(">", 490))
}

// Guards against a change in fleets with one zone.
func TestOneZoneHasNoShares(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	f := newFleet("a-0", "a", 1, rateshare.Tolerance{})
	f.applyStatus(now, storeStatus("a", 0, 1))
	f.applyStatus(now, storeStatus("a", 1, 1))
	f.replan(now, storeCatalog(g))
	g.Expect(f.zones.sharesOf("store")).To(BeEmpty())
	f.attemptMeasured(now, &call{service: "store"}, "s", "a", time.Second, 1, &wire.Answer{Response: &wire.Response{}})
	g.Expect(f.zones.mixes).To(BeEmpty())
}
