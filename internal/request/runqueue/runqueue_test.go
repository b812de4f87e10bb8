package runqueue

import (
	"encoding/binary"
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
		ended := map[ID]string{}
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
			}
		}
		for n := range uint64(rapid.IntRange(1, 200).Draw(t, "steps")) {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0, 1:
				a := Attempt{ID: id(n + 1), Importance: uint8(rapid.IntRange(0, 70).Draw(t, "importance")),
					Deadline: now.Add(time.Duration(rapid.IntRange(-10, 300).Draw(t, "left")) * time.Millisecond)}
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
	})
}
