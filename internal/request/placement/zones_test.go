package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// zoneUpstream is an upstream in a zone; this daemon is in zone a.
func zoneUpstream(id, zone string, running, waiting int) Upstream {
	u := upstream(id, zone == "a", 40*time.Millisecond, running, waiting)
	u.Zone = zone
	return u
}

// zonePicks counts the choices by zone, the initial of the upstream's id.
func zonePicks(t *Table, r Request, n int) map[string]int {
	rng := rand.New(rand.NewPCG(5, 6))
	count := map[string]int{}
	for range n {
		if id, ok := t.Pick(start, rng, r); ok {
			count[id[:1]]++
		}
	}
	return count
}

func sharedTable(own float64, upstreams ...Upstream) *Table {
	t := newTable(upstreams...)
	t.SetShares([]ZoneShare{{Zone: "a", SameZone: true, Share: own}, {Zone: "b", Share: 1 - own}})
	return t
}

// Guards against choices that do not follow the shares while no upstream is full.
func TestZoneIsChosenByItsShare(t *testing.T) {
	g := NewWithT(t)
	table := sharedTable(0.7, zoneUpstream("a1", "a", 25, 0), zoneUpstream("a2", "a", 25, 0), zoneUpstream("b1", "b", 0, 0))
	g.Expect(zonePicks(table, Request{}, 10000)["b"]).To(BeNumerically("~", 3000, 200))
	count := zonePicks(table, Request{HasLeaving: true, Leaving: 0}, 1000)
	g.Expect(count).To(Equal(map[string]int{"a": 1000}))
	count = zonePicks(table, Request{SlowZones: []string{"b"}}, 1000)
	g.Expect(count).To(Equal(map[string]int{"a": 1000}), "the path to b is too slow")
}

// Guards against attempts that wait in their zone although another one has room, and
// against leaving because of one full upstream.
func TestAttemptsLeaveAFullZone(t *testing.T) {
	g := NewWithT(t)
	table := sharedTable(1, zoneUpstream("a1", "a", 30, 20), zoneUpstream("a2", "a", 25, 0), zoneUpstream("b1", "b", 5, 0))
	g.Expect(zonePicks(table, Request{}, 1000)["b"]).To(BeZero())
	table = sharedTable(1, zoneUpstream("a1", "a", 30, 20), zoneUpstream("a2", "a", 30, 20), zoneUpstream("b1", "b", 5, 0))
	g.Expect(zonePicks(table, Request{}, 1000)["b"]).To(Equal(1000))
	table = sharedTable(1, zoneUpstream("a1", "a", 30, 20), zoneUpstream("b1", "b", 30, 20))
	g.Expect(zonePicks(table, Request{}, 1000)["b"]).To(BeZero(), "no zone has room")
	table = sharedTable(1, zoneUpstream("a1", "a", 30, 300), zoneUpstream("b1", "b", 30, 20))
	g.Expect(zonePicks(table, Request{}, 1000)["b"]).To(Equal(1000), "the wait in b is much shorter")
}

// Guards against attempts that stay with failing, ejected or missing upstreams of their zone.
func TestAttemptsLeaveAFailingZone(t *testing.T) {
	g := NewWithT(t)
	table := sharedTable(1, zoneUpstream("a1", "a", 5, 0), zoneUpstream("b1", "b", 5, 0))
	for range 3 {
		table.RecordResult(start, "a1", Failed)
	}
	g.Expect(zonePicks(table, Request{}, 1000)["b"]).To(BeNumerically(">", 900), "failing")
	table.RecordResult(start, "a1", Failed)
	table.RecordResult(start, "a1", Failed)
	g.Expect(zonePicks(table, Request{}, 1000)["b"]).To(Equal(1000), "ejected")
	g.Expect(zonePicks(sharedTable(1, zoneUpstream("b1", "b", 5, 0)), Request{SlowZones: []string{"b"}}, 10)["b"]).To(Equal(10), "only b has servers")
	retry := sharedTable(1, zoneUpstream("a1", "a", 5, 0), zoneUpstream("b1", "b", 5, 0))
	g.Expect(zonePicks(retry, Request{Exclude: []string{"a1"}}, 10)["b"]).To(Equal(10), "retry")
}

// Guards against a zone whose only server is slow, so that its callers miss their objectives
// while a faster server of another zone has room, and against leaving for a small gain.
func TestAttemptsLeaveForAMuchFasterServer(t *testing.T) {
	table := func(own, other time.Duration, running int) *Table {
		slow, fast := zoneUpstream("a1", "a", 5, 0), zoneUpstream("b1", "b", running, 0)
		slow.Load.ServiceTime, fast.Load.ServiceTime = own, other
		return sharedTable(1, slow, fast)
	}
	for name, c := range map[string]struct {
		table   *Table
		service time.Duration // at a server of mean speed
		leaves  bool
	}{
		"long requests":                        {table(60*time.Millisecond, 25*time.Millisecond, 5), 400 * time.Millisecond, true},
		"short requests":                       {table(60*time.Millisecond, 25*time.Millisecond, 5), 40 * time.Millisecond, false},
		"nearly the same speed":                {table(30*time.Millisecond, 25*time.Millisecond, 5), 400 * time.Millisecond, false},
		"the faster server has no room":        {table(60*time.Millisecond, 25*time.Millisecond, 30), 400 * time.Millisecond, false},
		"the own server is 12 times slower":    {table(300*time.Millisecond, 25*time.Millisecond, 5), 40 * time.Millisecond, true},
		"nothing is known of the route's time": {table(60*time.Millisecond, 25*time.Millisecond, 5), 0, false},
	} {
		count := zonePicks(c.table, Request{Objective: time.Second, ServiceTime: c.service}, 1000)
		if c.leaves { // a twentieth of the choices explores the own zone
			NewWithT(t).Expect(count["b"]).To(BeNumerically(">", 900), name)
		} else {
			NewWithT(t).Expect(count["b"]).To(BeZero(), name)
		}
	}
}

// Guards against leaving the zone for a gain of any size once the objective has passed.
func TestLateAttemptsStayInTheirZone(t *testing.T) {
	own, other := zoneUpstream("a1", "a", 5, 0), zoneUpstream("b1", "b", 5, 0)
	own.Load.ServiceTime, other.Load.ServiceTime = 41*time.Millisecond, 40*time.Millisecond
	count := zonePicks(sharedTable(1, own, other), Request{Objective: 1, ServiceTime: 400 * time.Millisecond}, 1000)
	NewWithT(t).Expect(count["b"]).To(BeZero())
}
