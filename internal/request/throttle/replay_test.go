package throttle

import (
	"container/heap"
	"encoding/binary"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"tarragonshore.example/tarragonshore/internal/request/runqueue"
	"tarragonshore.example/tarragonshore/internal/request/shedding"
)

const (
	entries     = 40
	importances = 8
	servers     = 8
	slots       = 16
	calls       = 4 // of a tree, one after the other, at the deep service
	serviceTime = 22 * time.Millisecond
	objective   = 600 * time.Millisecond
	deadline    = 1500 * time.Millisecond
	planAge     = time.Second
)

// scenario is a load on the deep service, as a share of the slots that its queues use.
type scenario struct {
	load      func(at time.Duration) float64
	length    time.Duration
	ordered   bool      // the calls have a latency objective
	ideal     []float64 // the share of each importance that an ideal plan admits; nil: shedding.Plan does
	throttled bool
	gone      time.Duration // when the deep service loses its servers; 0: never
	observe   func(s *site) // every 50 ms
}

// result counts trees, and the work in seconds.
type result struct {
	offered, met            [importances]int // trees that arrived, and those answered within the objective
	throttledBy             [importances]int
	shed, throttled, failed int
	done, wasted            float64 // at the deep service
	wastedFront             float64 // at the front service
}

type event struct {
	at time.Duration
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// tree is a request at an entry: 30 ms at the front service, then the calls, 10 ms apart.
type tree struct {
	entry, importance, callsLeft, tries int
	arrived                             time.Duration
	work                                float64
}

// site simulates the entries, one plan and the queues of the deep service. After a refusal
// a call is sent to another server, up to four in all.
type site struct {
	scenario
	rng       *rand.Rand
	now       time.Duration
	events    events
	plan      *shedding.Plan
	throttles []*Throttle
	queues    []*runqueue.Queue
	attempts  map[runqueue.ID]*tree
	number    uint64
	arrivals  [importances]shedding.Rate
	runs      [2]shedding.Rate // front, deep
	result    result
}

func (s *site) clock() time.Time                     { return time.Unix(0, 0).Add(s.now) }
func (s *site) after(delay time.Duration, do func()) { heap.Push(&s.events, event{s.now + delay, do}) }
func (s *site) every(interval time.Duration, f func()) {
	s.after(interval, func() { f(); s.every(interval, f) })
}

func replay(c scenario, seed uint64) result {
	s := &site{scenario: c, rng: rand.New(rand.NewPCG(seed, 1)), plan: shedding.NewPlan(shedding.DefaultOptions), attempts: map[runqueue.ID]*tree{}}
	for range servers {
		q := runqueue.New()
		q.SetSlots(slots)
		s.queues = append(s.queues, q)
	}
	for n := range entries {
		s.throttles = append(s.throttles, New(shedding.DefaultOptions.Floor, rand.New(rand.NewPCG(seed, uint64(n))), s.plan.Services))
	}
	s.arrive(rand.New(rand.NewPCG(seed, 2))) // of its own, so that both runs get the same trees
	s.every(20*time.Millisecond, func() {
		for n, q := range s.queues {
			s.apply(n, q.Advance(s.clock()))
		}
	})
	s.every(500*time.Millisecond, s.report)
	if c.observe != nil {
		s.every(50*time.Millisecond, func() { c.observe(s) })
	}
	for s.now < c.length {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
	return s.result
}

// arrive schedules the next request at a random entry.
func (s *site) arrive(rng *rand.Rand) {
	rate := s.load(s.now) * float64(servers*s.queues[0].Limit()) / (calls * serviceTime.Seconds())
	s.after(time.Duration(rng.ExpFloat64()/rate*float64(time.Second)), func() {
		t := &tree{entry: rng.IntN(entries), importance: rng.IntN(importances), callsLeft: calls, arrived: s.now}
		luck := rng.Float64()
		s.arrive(rng)
		s.admit(t, luck)
	})
}

func (s *site) admit(t *tree, luck float64) {
	importance, throttle := uint8(t.importance), s.throttles[t.entry]
	s.result.offered[t.importance]++
	s.arrivals[t.importance].Add()
	throttle.Arrive(s.clock(), "tree", importance)
	planned := s.plan.Share("tree", importance)
	admitted, _ := s.plan.Admit("tree", importance)
	if s.ideal != nil {
		planned, admitted = s.ideal[importance], luck < s.ideal[importance]
	}
	if !admitted {
		s.result.shed++
		return
	}
	if s.throttled {
		if ok, _ := throttle.Admit(s.clock(), "tree", importance, planned); !ok {
			s.result.throttled++
			s.result.throttledBy[importance]++
			return
		}
	}
	s.runs[0].Add()
	s.after(30*time.Millisecond, func() { s.call(t) })
}

// call makes the next call of a tree, or ends the tree.
func (s *site) call(t *tree) {
	if t.callsLeft == 0 {
		if s.now-t.arrived <= objective {
			s.result.met[t.importance]++
		}
		s.throttles[t.entry].Finish(s.clock(), "tree", nil)
		return
	}
	if s.gone > 0 && s.now >= s.gone { // no upstream: not a refusal for lack of room
		s.throttles[t.entry].Finish(s.clock(), "tree", nil)
		s.result.failed++
		return
	}
	s.number++
	var id runqueue.ID
	binary.BigEndian.PutUint64(id[:], s.number)
	attempt := runqueue.Attempt{ID: id, Importance: uint8(t.importance), Deadline: time.Unix(0, 0).Add(t.arrived + deadline), Movable: t.tries < 3}
	if s.ordered {
		attempt.Objective, attempt.Workspace, attempt.Route, attempt.MoreToCome = time.Unix(0, 0).Add(t.arrived+objective), "w", "call", true
	}
	s.attempts[id] = t
	n := s.rng.IntN(servers)
	if other := s.rng.IntN(servers); s.queues[other].Waiting() < s.queues[n].Waiting() {
		n = other
	}
	s.apply(n, s.queues[n].Offer(s.clock(), attempt))
}

func (s *site) apply(n int, actions runqueue.Actions) {
	for _, id := range actions.Start {
		took := time.Duration((0.5 + s.rng.Float64()) * float64(serviceTime))
		s.after(took, func() {
			t := s.attempts[id]
			delete(s.attempts, id)
			s.runs[1].Add()
			t.work += took.Seconds()
			s.result.done += took.Seconds()
			t.callsLeft, t.tries = t.callsLeft-1, 0
			s.after(10*time.Millisecond, func() { s.call(t) })
			s.apply(n, s.queues[n].Finish(s.clock(), id, took))
		})
	}
	for _, refusal := range actions.Refuse {
		t := s.attempts[refusal.ID]
		delete(s.attempts, refusal.ID)
		if t.tries++; t.tries < 4 {
			s.after(time.Millisecond, func() { s.call(t) })
			continue
		}
		s.result.failed++
		s.result.wasted += t.work
		s.result.wastedFront += 0.03 + 0.01*float64(calls-t.callsLeft)
		s.throttles[t.entry].Finish(s.clock(), "tree", []string{"deep"})
	}
}

// report closes an interval of the statuses; the plan follows from it after planAge.
func (s *site) report() {
	const interval = 500 * time.Millisecond
	front := shedding.Report{Service: "front", Limit: 100000, Runs: []shedding.RunReport{{Route: "tree", Rate: s.runs[0].Tick(interval),
		ServiceTime: 70 * time.Millisecond, Calls: []shedding.Calls{{Route: "call", PerRun: calls}}}}}
	for i := range s.arrivals {
		front.Arrivals = append(front.Arrivals, shedding.Arrivals{Route: "tree", Importance: uint8(i), Rate: s.arrivals[i].Tick(interval)})
	}
	deep := shedding.Report{Service: "deep", Runs: []shedding.RunReport{{Route: "call", Rate: s.runs[1].Tick(interval), ServiceTime: serviceTime}}}
	for _, q := range s.queues {
		deep.Limit += q.Limit()
		deep.Running += q.Running()
		deep.QueueTime += q.QueueTime() / servers
	}
	s.after(planAge, func() {
		s.plan.Update([]shedding.Report{front, deep}, func(route string) []shedding.TrafficShare {
			return []shedding.TrafficShare{{Service: map[string]string{"tree": "front", "call": "deep"}[route], Fraction: 1}}
		})
	})
}

// burst doubles the load at 4 s within 100 ms, until 7 s.
func burst(at time.Duration) float64 {
	rise := min(1, max(0, (at-4*time.Second).Seconds()/0.1))
	if at > 7*time.Second {
		rise = 0
	}
	return 0.93 * (1 + rise)
}

// metOf returns the share of the trees of some importances that met their objective.
func (r *result) metOf(from, until int) float64 {
	met, offered := 0, 0
	for i := from; i < until; i++ {
		met += r.met[i]
		offered += r.offered[i]
	}
	return float64(met) / float64(offered)
}

// Guards against work that is wasted until the plan follows a burst, which doubles the load at
// 93% of the slots within 100 ms, and against a throttle that costs important trees their
// objective. The queue of calls with an objective refuses much later, so that less is saved.
func TestBurstWastesLessWork(t *testing.T) {
	for _, ordered := range []bool{false, true} {
		g := NewWithT(t)
		results := [2]result{}
		for i, throttled := range []bool{false, true} {
			r := replay(scenario{load: burst, length: 9 * time.Second, ordered: ordered, throttled: throttled}, 1)
			t.Logf("ordered %v, throttled %v: met %.1f%% (important %.1f%%; %d of %d), shed %d, throttled %d, failed %d, work %.0f s, wasted %.1f s and %.1f s at the front",
				ordered, throttled, 100*r.metOf(0, importances), 100*r.metOf(0, 2), r.met, r.offered, r.shed, r.throttled, r.failed, r.done, r.wasted, r.wastedFront)
			results[i] = r
		}
		without, with := results[0], results[1]
		most := map[bool]float64{false: 0.65, true: 0.95}[ordered]
		g.Expect(with.wasted + with.wastedFront).To(BeNumerically("<", most*(without.wasted+without.wastedFront)))
		g.Expect(float64(with.failed)).To(BeNumerically("<", most*float64(without.failed)))
		g.Expect(with.metOf(0, 2)).To(BeNumerically(">", without.metOf(0, 2)-0.005))
		g.Expect(with.metOf(0, importances)).To(BeNumerically(">", without.metOf(0, importances)-0.02))
	}
}

// Guards against a throttle that refuses what a plan that sheds correctly admits, at 1.6 times
// the capacity.
func TestPlanThatShedsCorrectlyIsNotChanged(t *testing.T) {
	g := NewWithT(t)
	demand := map[uint8]float64{}
	for i := range importances {
		demand[uint8(i)] = 1.6 / importances
	}
	ideal := make([]float64, importances)
	for i, share := range shedding.Divide(0.93, demand, demand, shedding.DefaultOptions.Floor) {
		ideal[i] = share
	}
	c := scenario{load: func(time.Duration) float64 { return 1.6 }, length: 12 * time.Second, ideal: ideal}
	without := replay(c, 1)
	c.throttled = true
	g.Expect(replay(c, 1)).To(Equal(without))
	t.Logf("shed %d, failed %d, met %.1f%%", without.shed, without.failed, 100*without.metOf(0, importances))
}

// Guards against an admitted share that swings, and against slots left idle, when no plan sheds
// at 1.6 times the capacity for a long time.
func TestShareIsSteadyInLongOverload(t *testing.T) {
	g := NewWithT(t)
	everything := []float64{1, 1, 1, 1, 1, 1, 1, 1}
	lowest, highest, last, offered := 1.0, 0.0, 0, 0
	c := scenario{load: func(time.Duration) float64 { return 1.6 }, length: 20 * time.Second, ideal: everything, throttled: true}
	c.observe = func(s *site) {
		total := 0
		for _, n := range s.result.offered {
			total += n
		}
		if s.now%(500*time.Millisecond) == 0 {
			if share := 1 - float64(s.result.throttled-last)/float64(total-offered); s.now > 5*time.Second {
				lowest, highest = min(lowest, share), max(highest, share)
			}
			last, offered = s.result.throttled, total
		}
	}
	r := replay(c, 1)
	t.Logf("admitted share %.2f to %.2f, failed %d of %d", lowest, highest, r.failed, offered)
	g.Expect(highest - lowest).To(BeNumerically("<", 0.2))
	g.Expect(r.done).To(BeNumerically(">", 0.98*120*20))
	g.Expect(r.throttledBy[0]).To(BeNumerically("<", r.offered[0]/1000))
	for i, n := range r.throttledBy {
		g.Expect(1-float64(n)/float64(r.offered[i])).To(BeNumerically(">", 0.95*shedding.DefaultOptions.Floor*lowest), "importance %d keeps its floor", i)
	}
}

// Guards against a throttle that goes on refusing requests once the service that it protects
// is gone: that is for the plan, and other servers may take over at once.
func TestServiceThatIsGoneIsNotThrottled(t *testing.T) {
	g := NewWithT(t)
	c := scenario{load: func(time.Duration) float64 { return 1.6 }, length: 7 * time.Second, ideal: []float64{1, 1, 1, 1, 1, 1, 1, 1}, throttled: true, gone: 5 * time.Second}
	before, after := 0, 0
	c.observe = func(s *site) {
		switch {
		case s.now < c.gone:
			before = s.result.throttled
		case s.now <= c.gone+1100*time.Millisecond: // the last refusals arrive within 50 ms
			after = s.result.throttled
		}
	}
	r := replay(c, 1)
	g.Expect(before).To(BeNumerically(">", 0))
	g.Expect(r.throttled).To(Equal(after))
}
