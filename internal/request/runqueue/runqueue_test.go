package runqueue

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func id(n uint64) ID {
	var id ID
	binary.BigEndian.PutUint64(id[:], n)
	return id
}

// replayResult counts the attempts of a replay by outcome.
type replayResult struct {
	inTime, offered map[uint8]int   // by importance
	refusedAfter    []time.Duration // time from arrival to refusal
}

// replay feeds arrivals to a queue in front of a simulated server with the given
// slots and service time.
func replay(t *testing.T, slots int, service time.Duration, perSecond float64, timeout time.Duration, length time.Duration) replayResult {
	t.Helper()
	g := NewWithT(t)
	rng := rand.New(rand.NewPCG(1, 2))
	q := New()
	q.SetSlots(slots)
	type end struct {
		at time.Time
		id ID
	}
	r := replayResult{inTime: map[uint8]int{}, offered: map[uint8]int{}}
	attempts := map[ID]Attempt{}
	var ends []end
	start := time.Unix(0, 0)
	next := uint64(0)
	apply := func(now time.Time, actions Actions) {
		for _, started := range actions.Start {
			g.Expect(attempts).To(HaveKey(started))
			ends = append(ends, end{now.Add(service), started})
		}
		for _, refused := range actions.Refuse {
			r.refusedAfter = append(r.refusedAfter, now.Sub(attempts[refused.ID].Deadline.Add(-timeout)))
			delete(attempts, refused.ID)
		}
	}
	for now := start; now.Before(start.Add(length)); now = now.Add(time.Millisecond) {
		for len(ends) > 0 && !ends[0].at.After(now) {
			done := ends[0]
			ends = ends[1:]
			a := attempts[done.id]
			if !now.After(a.Deadline) {
				r.inTime[a.Importance]++
			}
			delete(attempts, done.id)
			apply(now, q.Finish(now, done.id, service))
		}
		apply(now, q.Advance(now))
		for range int(perSecond/1000) + bernoulli(rng, perSecond/1000) {
			next++
			a := Attempt{ID: id(next), Importance: uint8(next % 2), Deadline: now.Add(timeout)}
			attempts[a.ID] = a
			r.offered[a.Importance]++
			apply(now, q.Offer(now, a))
		}
		g.Expect(q.Running()).To(BeNumerically("<=", q.Limit()))
	}
	return r
}

// bernoulli returns 1 with the probability of p's fractional part, else 0.
func bernoulli(rng *rand.Rand, p float64) int {
	if rng.Float64() < p-float64(int(p)) {
		return 1
	}
	return 0
}

// Calls of 40 ms with a timeout of 700 ms arrive at twice the rate that 31 slots
// serve. No slot may be wasted on a call that ends after its deadline, and nearly all
// calls of the more important half are served.
func TestOverloadKeepsSlotsForAttemptsThatFinishInTime(t *testing.T) {
	g := NewWithT(t)
	const service = 40 * time.Millisecond
	capacity := 0.94 * 31 / service.Seconds()
	r := replay(t, 31, service, 2*capacity, 700*time.Millisecond, 10*time.Second)
	served := r.inTime[0] + r.inTime[1]
	g.Expect(float64(served)).To(BeNumerically(">=", 0.95*capacity*10))
	g.Expect(float64(r.inTime[0])).To(BeNumerically(">=", 0.95*float64(r.offered[0])))
}

// Guards against queueing attempts that cannot finish by their deadline: in the benchmark
// run amff-mesh-grown scale-1, calls were refused after most of their time had passed,
// too late for another upstream and for the run that had made them.
func TestAttemptsThatCannotFinishAreRefusedOnArrival(t *testing.T) {
	g := NewWithT(t)
	const service = 300 * time.Millisecond
	capacity := 0.94 * 65 / service.Seconds()
	r := replay(t, 65, service, 2*capacity, time.Second, 10*time.Second)
	atOnce := 0
	for _, after := range r.refusedAfter {
		if after < 20*time.Millisecond {
			atOnce++
		}
	}
	g.Expect(float64(atOnce)).To(BeNumerically(">=", 0.8*float64(len(r.refusedAfter))))
	g.Expect(float64(r.inTime[0] + r.inTime[1])).To(BeNumerically(">=", 0.95*capacity*10))
}

// A server without announced slots, as one that is leaving, gets no attempts.
func TestNoSlotsMeansNoStart(t *testing.T) {
	g := NewWithT(t)
	actions := New().Offer(time.Now(), Attempt{ID: id(1), Deadline: time.Now().Add(time.Second)})
	g.Expect(actions.Start).To(BeEmpty())
	g.Expect(actions.Refuse).To(ConsistOf(Refusal{ID: id(1), Reason: ReasonNoSlots}))
}

// Every attempt is started, refused or cancelled exactly once: a refusal guarantees
// that the attempt has not run and never will.
func TestEachAttemptEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		q := New()
		q.SetSlots(rapid.IntRange(1, 5).Draw(t, "slots"))
		now := time.Unix(0, 0)
		ended, movable := map[ID]string{}, map[ID]bool{}
		var running, offered []ID
		apply := func(actions Actions) {
			for _, started := range actions.Start {
				g.Expect(ended[started]).To(BeEmpty())
				ended[started] = "started"
				running = append(running, started)
			}
			for _, refused := range actions.Refuse {
				g.Expect(ended[refused.ID]).To(BeEmpty())
				ended[refused.ID] = "refused"
				g.Expect(refused.Reason != ReasonObjectiveMissed || movable[refused.ID]).To(BeTrue())
			}
		}
		for n := range uint64(rapid.IntRange(1, 200).Draw(t, "steps")) {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0, 1:
				a := Attempt{ID: id(n + 1), Importance: uint8(rapid.IntRange(0, 70).Draw(t, "importance")),
					Deadline: now.Add(time.Duration(rapid.IntRange(-10, 300).Draw(t, "left")) * time.Millisecond)}
				if rapid.Bool().Draw(t, "has an objective") {
					a.Objective = now.Add(time.Duration(rapid.IntRange(-50, 300).Draw(t, "left of the objective")) * time.Millisecond)
					a.Workspace, a.Route = rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "workspace"), rapid.SampledFrom([]string{"x", "y"}).Draw(t, "route")
					a.MoreToCome, a.Movable = rapid.Bool().Draw(t, "more to come"), rapid.Bool().Draw(t, "movable")
					a.OtherWait = time.Duration(rapid.IntRange(0, 50).Draw(t, "other wait")) * time.Millisecond
				}
				movable[a.ID] = a.Movable
				offered = append(offered, a.ID)
				apply(q.Offer(now, a))
			case 2:
				if len(running) > 0 {
					done := running[0]
					running = running[1:]
					apply(q.Finish(now, done, 20*time.Millisecond))
				}
			case 3:
				if len(offered) > 0 {
					cancelled := offered[rapid.IntRange(0, len(offered)-1).Draw(t, "cancel")]
					if q.Cancel(cancelled) {
						g.Expect(ended[cancelled]).To(BeEmpty())
						ended[cancelled] = "cancelled"
					}
				}
			}
			g.Expect(q.Running()).To(Equal(len(running)))
			g.Expect(q.Running()).To(BeNumerically("<=", q.Limit()))
			expectConsistent(g, q)
		}
		for range 10 {
			now = now.Add(100 * time.Millisecond)
			apply(q.Advance(now))
			for len(running) > 0 {
				done := running[0]
				running = running[1:]
				apply(q.Finish(now, done, 0))
			}
		}
		for _, a := range offered {
			g.Expect(ended[a]).NotTo(BeEmpty())
		}
		expectConsistent(g, q)
		q.shares.weight(now.Add(2 * forgetInterval))
		q.shares.weight(now.Add(4 * forgetInterval))
		g.Expect(q.shares.workspaces).To(BeEmpty(), "idle workspaces are forgotten")
	})
}

// expectConsistent checks that the flows and the counters of a queue hold the waiting
// attempts and nothing else.
func expectConsistent(g Gomega, q *Queue) {
	inFlows, unordered, byShare := 0, 0, map[*share]int{}
	for i := range q.classes {
		c := &q.classes[i]
		work, n := time.Duration(0), 0
		for _, f := range c.flows {
			g.Expect(f.empty()).To(BeFalse())
			for r := range f.ranks {
				for position, item := range f.ranks[r].items {
					g.Expect(q.waiting[item.entry.ID]).To(BeIdenticalTo(item.entry))
					g.Expect(item.entry.flowPosition).To(Equal(position))
					work, n = work+item.cost, n+1
				}
			}
			if f.share == nil {
				unordered += f.ranks[onTime].Len()
				continue
			}
			g.Expect(f.halfTimes[0].Len() + f.halfTimes[1].Len()).To(Equal(f.ranks[onTime].Len() + f.ranks[doubtful].Len() + f.ranks[late].Len()))
			byShare[f.share] += f.halfTimes[0].Len() + f.halfTimes[1].Len()
		}
		g.Expect(c.work).To(Equal(work))
		g.Expect(c.arrivals.Len()).To(Equal(n))
		inFlows += n
	}
	g.Expect(inFlows).To(Equal(q.Waiting()))
	g.Expect(unordered).To(Equal(q.unordered))
	for _, s := range q.shares.workspaces {
		g.Expect(s.waiting).To(Equal(byShare[s]), s.workspace)
	}
}

// Guards against a change for deployments without objectives: the same events lead to the
// same starts and refusals, in the same order, as with the former queue.
func TestWithoutObjectivesNothingChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		before, after := newFormer(), New()
		slots := rapid.SampledFrom([]int{1, 3, 5, 16, 700}).Draw(t, "slots")
		before.SetSlots(slots)
		after.SetSlots(slots)
		now, next := time.Unix(0, 0), uint64(0)
		var running []ID
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20000).Draw(t, "us")) * time.Microsecond)
			var x, y Actions
			switch event := rapid.IntRange(0, 5).Draw(t, "event"); {
			case event < 3:
				for range rapid.SampledFrom([]int{1, 1, 2, 80}).Draw(t, "burst") {
					next++
					a := Attempt{ID: id(next), Importance: uint8(rapid.IntRange(0, 3).Draw(t, "importance")),
						Deadline:  now.Add(time.Duration(rapid.IntRange(-10, 900).Draw(t, "left")) * time.Millisecond),
						Workspace: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "workspace"), Route: "r", Movable: true}
					bx, by := before.Offer(now, a), after.Offer(now, a)
					x.Start, x.Refuse = append(x.Start, bx.Start...), append(x.Refuse, bx.Refuse...)
					y.Start, y.Refuse = append(y.Start, by.Start...), append(y.Refuse, by.Refuse...)
				}
			case event == 3 && len(running) > 0:
				took := time.Duration(rapid.IntRange(0, 120).Draw(t, "took")) * time.Millisecond
				x, y = before.Finish(now, running[0], took), after.Finish(now, running[0], took)
				running = running[1:]
			case event == 4 && next > 0:
				cancelled := id(uint64(rapid.IntRange(1, int(next)).Draw(t, "cancelled")))
				g.Expect(after.Cancel(cancelled)).To(Equal(before.Cancel(cancelled)))
			default:
				x, y = before.Advance(now), after.Advance(now)
			}
			g.Expect(y).To(Equal(x))
			running = append(running, x.Start...)
		}
	})
}

// Work that is late waits behind work in time, and the earlier objective comes first, not
// the earlier arrival. Importance comes before both.
func TestOrderWithinAnImportance(t *testing.T) {
	g := NewWithT(t)
	q, now := New(), time.Unix(0, 0)
	q.SetSlots(1)
	offer := func(n uint64, importance uint8, objective time.Duration) []ID {
		return q.Offer(now, Attempt{ID: id(n), Importance: importance, Objective: now.Add(objective), Deadline: now.Add(10 * time.Second), Workspace: "w", Route: "r"}).Start
	}
	g.Expect(offer(1, 3, time.Second)).To(Equal([]ID{id(1)}))
	g.Expect(offer(2, 3, -time.Second)).To(BeEmpty())
	g.Expect(offer(3, 3, 2*time.Second)).To(BeEmpty())
	g.Expect(offer(4, 3, time.Second)).To(BeEmpty())
	g.Expect(offer(5, 2, -time.Second)).To(BeEmpty())
	for n, next := range []uint64{5, 4, 3, 2} {
		former := []uint64{1, 5, 4, 3}[n]
		g.Expect(q.Finish(now, id(former), 0).Start).To(Equal([]ID{id(next)}))
	}
}

// Guards against state that grows with the names of workspaces and routes.
func TestStateIsBounded(t *testing.T) {
	g := NewWithT(t)
	q, now := New(), time.Unix(0, 0)
	q.SetSlots(4)
	for n := range uint64(20000) {
		now = now.Add(time.Millisecond)
		name := fmt.Sprint(n)
		q.Offer(now, Attempt{ID: id(n), Objective: now.Add(time.Second), Deadline: now.Add(time.Second), Workspace: name, Route: name})
		q.Finish(now, id(n), time.Millisecond)
		g.Expect(len(q.shares.workspaces)).To(BeNumerically("<=", 2*int(forgetInterval/time.Millisecond)))
		g.Expect(len(q.costs.routes)).To(BeNumerically("<=", maxRoutes))
	}
}

// BenchmarkOrder is one attempt's way through a queue in which 1,000 attempts of 100
// workspaces wait.
func BenchmarkOrder(b *testing.B) {
	q, now := New(), time.Unix(0, 0)
	q.SetSlots(32)
	n := uint64(0)
	offer := func() {
		n++
		q.Offer(now, Attempt{ID: id(n), Importance: uint8(n % 3), Objective: now.Add(2500 * time.Millisecond), Deadline: now.Add(5 * time.Second),
			Workspace: fmt.Sprint(n % 100), Route: "r"})
	}
	for range 1030 {
		offer()
	}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond / 3)
		offer()
		for r := range q.running {
			q.Finish(now, r, 10*time.Millisecond)
			break
		}
	}
	b.ReportMetric(float64(q.Waiting()), "waiting")
}
