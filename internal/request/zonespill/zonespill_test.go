package zonespill

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"tarragonshore.example/tarragonshore/internal/request/shedding"
)

func toStore(string) []shedding.TrafficShare {
	return []shedding.TrafficShare{{Service: "store", Fraction: 1}}
}

func admitAll(string, uint8) float64 { return 1 }

// storeServer is the report of a server of the store, with runs of the given service time.
func storeServer(zone string, took time.Duration) Report {
	return Report{zone, shedding.Report{Service: "store", Limit: 50, Runs: []shedding.RunReport{{Route: "read", Rate: 1000, ServiceTime: took}}}}
}

func arrivals(zone string, rate float64) Report {
	return Report{zone, shedding.Report{Arrivals: []shedding.Arrivals{{Route: "read", Rate: rate}}}}
}

func sharesAfter(updates int, zone string, reports ...Report) map[string]float64 {
	p := NewPlan(zone)
	for range updates {
		p.Update(reports, admitAll, toStore)
	}
	shares := map[string]float64{}
	for _, s := range p.Shares("store") {
		shares[s.Zone] = s.Share
	}
	return shares
}

const took = 25 * time.Millisecond

// Guards against an excess that goes to zones without spare capacity, and against one that
// stays while there is some.
func TestExcessGoesToSpareCapacity(t *testing.T) {
	g := NewWithT(t)
	// In slots: a has 100 for 80, b 50 for 60, c 50 for 10 and d none for 10.
	fleet := []Report{storeServer("a", took), storeServer("a", took), storeServer("b", took), storeServer("c", took),
		arrivals("a", 3200), arrivals("b", 2400), arrivals("c", 400), arrivals("d", 400)}
	g.Expect(sharesAfter(1, "a", fleet...)).To(Equal(map[string]float64{"a": 1}))
	b := sharesAfter(1, "b", fleet...)
	g.Expect(b["b"]).To(BeNumerically("~", 42.5/60, 0.001))
	g.Expect(b["c"] / b["a"]).To(BeNumerically("~", 32.5/5, 0.001))
	d := sharesAfter(1, "d", fleet...)
	g.Expect(d["a"] + d["c"]).To(BeNumerically("~", 1, 0.001))
	g.Expect(d).NotTo(HaveKey("d"))
}

// Without enough spare capacity, all zones are filled to the same utilization.
func TestScarceCapacityIsSharedEqually(t *testing.T) {
	g := NewWithT(t)
	fleet := []Report{storeServer("a", took), storeServer("a", took), storeServer("b", took), arrivals("a", 3000), arrivals("b", 3000)}
	g.Expect(sharesAfter(1, "a", fleet...)).To(Equal(map[string]float64{"a": 1}))
	g.Expect(sharesAfter(1, "b", fleet...)["b"]).To(BeNumerically("~", 2.0/3, 0.001), "150 slots for 150")
}

// Guards against filling a zone whose servers are slow, or refuse requests, by its slots.
func TestCapacityFollowsTheServers(t *testing.T) {
	g := NewWithT(t)
	usual := []Report{storeServer("b", took), storeServer("b", took), arrivals("a", 1600), arrivals("b", 1600)}
	g.Expect(sharesAfter(1, "a", append(usual, storeServer("a", took))...)["a"]).To(BeNumerically(">", 0.99))
	g.Expect(sharesAfter(1, "a", append(usual, storeServer("a", 4*took))...)["a"]).To(BeNumerically("<", 0.35))
	refusing := storeServer("a", took)
	refusing.Ended, refusing.Failed = 1000, 500
	g.Expect(sharesAfter(1, "a", append(usual, refusing)...)["a"]).To(BeNumerically("<", 0.6))
}

// The calls of the runs in a zone are demand of this zone, wherever the calls run.
func TestCallsAreDemand(t *testing.T) {
	g := NewWithT(t)
	calling := Report{"a", shedding.Report{Service: "shop", Limit: 50, Runs: []shedding.RunReport{
		{Route: "order", Rate: 1000, ServiceTime: took, Calls: []shedding.Calls{{Route: "read", PerRun: 4}}}}}}
	split := func(route string) []shedding.TrafficShare {
		return []shedding.TrafficShare{{Service: map[string]string{"read": "store", "order": "shop"}[route], Fraction: 1}}
	}
	p := NewPlan("a")
	p.Update([]Report{calling, storeServer("a", took), storeServer("b", took), storeServer("b", took)}, admitAll, split)
	g.Expect(p.Load("store")).To(Equal(Load{Demand: 100, Capacity: 50}))
	g.Expect(p.Leaving("store")).To(BeNumerically("~", 0.575, 0.001))
}

// Guards against a plan where it must change nothing: one zone, a service without servers,
// and reports of daemons without runs.
func TestNoSharesWithoutZonesOrLoads(t *testing.T) {
	g := NewWithT(t)
	g.Expect(sharesAfter(1, "a", storeServer("a", took), arrivals("a", 100))).To(BeEmpty())
	g.Expect(sharesAfter(1, "a", arrivals("a", 100), arrivals("b", 100))).To(BeEmpty())
	idle := Report{"b", shedding.Report{Service: "store", Limit: 50}}
	g.Expect(sharesAfter(1, "a", arrivals("a", 100), idle)).To(BeEmpty())
}

// Guards against steps to the full target, which overshoot while reports are old.
func TestChangesAreBounded(t *testing.T) {
	g := NewWithT(t)
	p := NewPlan("a")
	p.Update([]Report{storeServer("a", took), storeServer("b", took), arrivals("a", 400), arrivals("b", 400)}, admitAll, toStore)
	g.Expect(p.Leaving("store")).To(BeZero())
	for i := range 12 {
		former := p.Leaving("store")
		p.Update([]Report{storeServer("b", took), arrivals("a", 400), arrivals("b", 400)}, admitAll, toStore)
		g.Expect(p.Leaving("store")-former).To(BeNumerically("<", maxStep+1e-9), "step %d", i)
	}
	g.Expect(p.Leaving("store")).To(BeNumerically(">", 0.9))
}

// Guards against a zone that is avoided for good, and against taking the delay of a busy
// host for that of a path.
func TestSlowPathsAreTriedAgain(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	p := NewPaths("a")
	for range 100 {
		p.RecordStart(now, "c")
		p.Record(now, "a", 50*time.Millisecond)
		p.Record(now, "b", 52*time.Millisecond)
		p.Record(now, "c", 200*time.Millisecond)
	}
	g.Expect(p.TooSlow(now, 250*time.Millisecond)).To(Equal([]string{"c"}))
	g.Expect(p.TooSlow(now, time.Second)).To(BeEmpty())
	g.Expect(p.TooSlow(now, 0)).To(BeEmpty(), "no objective")
	now = now.Add(probeAfter)
	g.Expect(p.TooSlow(now, 250*time.Millisecond)).To(BeEmpty(), "to be tried again")
	p.RecordStart(now, "c")
	g.Expect(p.TooSlow(now, 250*time.Millisecond)).To(Equal([]string{"c"}), "by one attempt")
	p.Record(now, "c", 200*time.Millisecond)
	for range 3 {
		now = now.Add(probeAfter)
		p.RecordStart(now, "c")
		p.Record(now, "c", 5*time.Millisecond)
	}
	g.Expect(p.TooSlow(now, 250*time.Millisecond)).To(BeEmpty(), "three attempts have shown the recovery")
}

// Guards against large uploads that cross zones while small requests could leave instead.
func TestFewestBytesLeaveFirst(t *testing.T) {
	g := NewWithT(t)
	m := &Mix{}
	for range 100 {
		m.Record("read", took, 1, 500)
		m.Record("upload", took, 2, 1<<20)
	}
	m.Apportion(0.75)
	read, _ := m.Leaving("read")
	upload, _ := m.Leaving("upload")
	g.Expect([]float64{read, upload}).To(Equal([]float64{1, 0.5}))
	_, known := m.Leaving("other")
	g.Expect(known).To(BeFalse())
}
