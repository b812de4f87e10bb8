package runqueue

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// server is the queue of one server, the former or the present one.
type server interface {
	SetSlots(int)
	Offer(time.Time, Attempt) Actions
	Finish(time.Time, ID, time.Duration) Actions
	Advance(time.Time) Actions
}

// kind is a kind of call trees, whose calls are made one after the other.
type kind struct {
	name       string
	importance uint8
	workspaces int
	perSecond  float64 // trees
	service    time.Duration
	calls      int
	objective  [2]time.Duration // range
	deadline   func(objective time.Duration) time.Duration
}

// outcome counts the trees of a kind.
type outcome struct {
	offered, met, answered, refused, moves int
	longestWait                            time.Duration // of an attempt that started
}

func (o *outcome) metShare() float64 { return float64(o.met) / float64(o.offered) }

// tree is a call tree in a fleet.
type tree struct {
	kind                                  *kind
	result                                *outcome
	workspace                             string
	objective, deadline, offered, started time.Time
	callsLeft                             int
	tried                                 map[int]bool
}

// event is something that happens in a fleet.
type event struct {
	at time.Time
	do func(now time.Time)
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// fleet simulates servers of 16 slots. A call goes to a random server; after a refusal of
// an attempt that could be moved, to another one, at most four in all. Senders know the
// loads of the servers at the last multiple of 100 ms.
type fleet struct {
	rng       *rand.Rand
	events    events
	servers   []server
	number    uint64
	attempts  map[ID]*tree
	waiting   []int
	reported  []int // waiting
	slowdown  func(server int, now time.Time) float64
	onStart   func(now time.Time, t *tree)
	onRefusal func(now time.Time, t *tree, r Reason)
}

const simulatedSlots = 16

func newFleet(newServer func() server, servers int) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(7, 8)), attempts: map[ID]*tree{}, waiting: make([]int, servers), reported: make([]int, servers)}
	for range servers {
		s := newServer()
		s.SetSlots(simulatedSlots)
		f.servers = append(f.servers, s)
	}
	return f
}

func (f *fleet) at(at time.Time, do func(time.Time)) { heap.Push(&f.events, event{at, do}) }

// run simulates the kinds for a time and returns their outcomes. Trees of the first second
// and those that could end after the time are not counted.
func (f *fleet) run(kinds []kind, length time.Duration) map[string]*outcome {
	start := time.Unix(0, 0)
	results := map[string]*outcome{}
	for i := range kinds {
		k := &kinds[i]
		results[k.name] = &outcome{}
		rng := rand.New(rand.NewPCG(uint64(i), 9)) // of its own, so that all queues get the same trees
		var arrive func(now time.Time)
		arrive = func(now time.Time) {
			f.at(now.Add(time.Duration(rng.ExpFloat64()/k.perSecond*float64(time.Second))), arrive)
			objective := k.objective[0] + time.Duration(rng.Float64()*float64(k.objective[1]-k.objective[0]))
			t := &tree{kind: k, result: results[k.name], workspace: k.name + string(rune('a'+rng.IntN(max(1, k.workspaces)))),
				objective: now.Add(objective), deadline: now.Add(k.deadline(objective)), callsLeft: k.calls}
			if now.Before(start.Add(time.Second)) || now.After(start.Add(length-5*time.Second)) {
				t.result = &outcome{}
			}
			t.result.offered++
			f.call(now, t)
		}
		f.at(start, arrive)
	}
	var tick func(now time.Time)
	tick = func(now time.Time) {
		for i, s := range f.servers {
			f.apply(now, i, s.Advance(now))
		}
		if now.UnixMilli()%100 == 0 {
			copy(f.reported, f.waiting)
		}
		f.at(now.Add(20*time.Millisecond), tick)
	}
	f.at(start, tick)
	for len(f.events) > 0 && f.events[0].at.Before(start.Add(length)) {
		e := heap.Pop(&f.events).(event)
		e.do(e.at)
	}
	return results
}

// call makes the next call of a tree.
func (f *fleet) call(now time.Time, t *tree) {
	t.tried = map[int]bool{}
	f.attempt(now, t)
}

func (f *fleet) attempt(now time.Time, t *tree) {
	to, least := -1, 1<<30
	for _, i := range f.rng.Perm(len(f.servers)) {
		switch {
		case t.tried[i]:
		case to < 0:
			to = i
		default:
			least = min(least, f.reported[i])
		}
	}
	t.tried[to] = true
	f.number++
	a := Attempt{ID: id(f.number), Importance: t.kind.importance, Deadline: t.deadline, Objective: t.objective, Workspace: t.workspace,
		Route: t.kind.name, MoreToCome: t.kind.calls > 1, Movable: least < 1<<30 && len(t.tried) < 4}
	if a.Movable {
		a.OtherWait = time.Duration(least) * 30 * time.Millisecond / simulatedSlots
	}
	t.offered, t.started = now, time.Time{}
	f.attempts[a.ID] = t
	f.waiting[to]++
	f.apply(now, to, f.servers[to].Offer(now, a))
}

func (f *fleet) apply(now time.Time, server int, actions Actions) {
	for _, started := range actions.Start {
		t := f.attempts[started]
		t.started = now
		t.result.longestWait = max(t.result.longestWait, now.Sub(t.offered))
		f.waiting[server]--
		if f.onStart != nil {
			f.onStart(now, t)
		}
		service := time.Duration((0.5 + f.rng.Float64()) * float64(t.kind.service))
		if f.slowdown != nil {
			service = time.Duration(f.slowdown(server, now) * float64(service))
		}
		f.at(now.Add(service), func(now time.Time) {
			delete(f.attempts, started)
			f.apply(now, server, f.servers[server].Finish(now, started, service))
			f.answered(now, t)
		})
	}
	for _, refused := range actions.Refuse {
		t := f.attempts[refused.ID]
		delete(f.attempts, refused.ID)
		f.waiting[server]--
		if f.onRefusal != nil {
			f.onRefusal(now, t, refused.Reason)
		}
		if refused.Reason == ReasonObjectiveMissed {
			t.result.moves++
			f.attempt(now, t)
		} else {
			t.result.refused++
		}
	}
}

func (f *fleet) answered(now time.Time, t *tree) {
	if t.callsLeft--; t.callsLeft > 0 && now.Before(t.deadline) {
		f.call(now, t)
		return
	}
	if now.Before(t.deadline) {
		t.result.answered++
	}
	if !now.After(t.objective) {
		t.result.met++
	}
}

func present() server { return New() }
func former() server  { return newFormer() }

// mixedLoad is urgent short requests and call trees that tolerate seconds, at a share of
// the slots of a server. Most urgent requests are of the most important workspaces, some
// of others whose importance is that of the trees.
func mixedLoad(share float64) []kind {
	seconds := share * simulatedSlots // of work in each second
	urgent, nested := [2]time.Duration{250 * time.Millisecond, 250 * time.Millisecond}, [2]time.Duration{1200 * time.Millisecond, 3 * time.Second}
	second := func(time.Duration) time.Duration { return time.Second }
	double := func(objective time.Duration) time.Duration { return 2 * objective }
	return []kind{
		{"urgent", 0, 4, 0.25 * seconds / 0.036, 36 * time.Millisecond, 1, urgent, second},
		{"urgent-later", 10, 4, 0.15 * seconds / 0.036, 36 * time.Millisecond, 1, urgent, second},
		{"tree", 10, 4, 0.6 * seconds / 0.088, 22 * time.Millisecond, 4, nested, double},
	}
}

// compareReplays logs and returns the outcomes with the former and with the present queue.
func compareReplays(t *testing.T, title string, kinds []kind, newFleet func(func() server) *fleet) (before, after map[string]*outcome) {
	t.Helper()
	before, after = newFleet(former).run(kinds, 40*time.Second), newFleet(present).run(kinds, 40*time.Second)
	for _, k := range kinds {
		b, a := before[k.name], after[k.name]
		t.Logf("%s, %s: %d trees, in time %.3f before, %.3f now; answered %d, %d; refused %d, %d; moved %d", title, k.name, a.offered,
			b.metShare(), a.metShare(), b.answered, a.answered, b.refused, a.refused, a.moves)
	}
	return before, after
}

func oneServer(s func() server) *fleet    { return newFleet(s, 1) }
func threeServers(s func() server) *fleet { return newFleet(s, 3) }
func refused(r map[string]*outcome) (n int) {
	for _, o := range r {
		n += o.refused
	}
	return n
}

// Guards against late answers under the load for which the order exists, and against more
// refusals than before. At 130% of the slots, what the urgent requests of less important
// workspaces gain is taken from the trees.
func TestMixedLoadMeetsMoreObjectives(t *testing.T) {
	g := NewWithT(t)
	_, after := compareReplays(t, "93%", mixedLoad(0.93), oneServer)
	for _, o := range after {
		g.Expect(o.metShare()).To(BeNumerically(">=", 0.999))
	}
	before, after := compareReplays(t, "130%", mixedLoad(1.3), oneServer)
	g.Expect(after["urgent"].metShare()).To(BeNumerically(">=", 0.999))
	g.Expect(after["urgent-later"].metShare()).To(BeNumerically(">=", 0.99))
	g.Expect(after["tree"].metShare()).To(BeNumerically(">=", 0.4))
	g.Expect(refused(after)).To(BeNumerically("<=", refused(before)))
	// Kinds alone: 0.72 of the work fits into the usable slots.
	for _, k := range []int{0, 2} {
		alone := mixedLoad(1.3)[k : k+1]
		alone[0].perSecond *= 1.3 * simulatedSlots / (alone[0].perSecond * float64(alone[0].calls) * alone[0].service.Seconds())
		before, after = compareReplays(t, "130%, alone", alone, oneServer)
		g.Expect(after[alone[0].name].metShare()).To(BeNumerically(">=", 0.6))
		g.Expect(float64(refused(after))).To(BeNumerically("<=", 1.02*float64(refused(before))))
	}
}

// Guards against attempts that are sent round between servers that are equally full: each
// move costs the sender time, and the servers work.
func TestEquallyFullServersMoveNothing(t *testing.T) {
	g := NewWithT(t)
	before, after := compareReplays(t, "three servers, 130%", mixedLoad(3*1.3), threeServers)
	moves, offered := 0, 0
	for _, o := range after {
		moves, offered = moves+o.moves, offered+o.offered
	}
	g.Expect(float64(moves)).To(BeNumerically("<", 0.001*float64(offered)))
	g.Expect(refused(after)).To(BeNumerically("<=", refused(before)))
}

// A server that becomes 5 times slower with a full queue: attempts that would miss their
// objective go to the others, within the bound of moves, and fewer are refused.
func TestServerThatBecomesSlowKeepsFewAttempts(t *testing.T) {
	g := NewWithT(t)
	before, after := compareReplays(t, "one of three servers 5 times slower for 10 s, 80%", mixedLoad(3*0.8), func(s func() server) *fleet {
		f := threeServers(s)
		f.slowdown = func(server int, now time.Time) float64 {
			if server == 0 && now.After(time.Unix(10, 0)) && now.Before(time.Unix(20, 0)) {
				return 5
			}
			return 1
		}
		return f
	})
	for name, o := range after {
		g.Expect(o.metShare()).To(BeNumerically(">=", 0.92), name)
		g.Expect(o.metShare()).To(BeNumerically(">", before[name].metShare()), name)
	}
	g.Expect(float64(refused(after))).To(BeNumerically("<=", 0.5*float64(refused(before))))
}

// One workspace uses 8 times its fair share of the server's time, once by count and once
// by cost. Guards against its requests making those of the others late.
func TestWorkspaceOverItsShareDelaysOnlyItself(t *testing.T) {
	g := NewWithT(t)
	const fair = 0.94 * simulatedSlots / 5 // of five workspaces, seconds of work in each second
	objective := [2]time.Duration{250 * time.Millisecond, 250 * time.Millisecond}
	second := func(time.Duration) time.Duration { return time.Second }
	for title, service := range map[string]time.Duration{"by count": 36 * time.Millisecond, "by cost": 288 * time.Millisecond} {
		before, after := compareReplays(t, "one workspace with 8 times its share "+title, []kind{
			{"others", 3, 4, 4 * 0.8 * fair / 0.036, 36 * time.Millisecond, 1, objective, second},
			{"heavy", 3, 1, 8 * fair / service.Seconds(), service, 1, objective, second},
		}, oneServer)
		g.Expect(before["others"].metShare()).To(BeNumerically("<", 0.5))
		g.Expect(after["others"].metShare()).To(BeNumerically(">=", 0.99))
		g.Expect(after["others"].refused).To(BeZero())
	}
}

// Guards against an importance that gets nothing while more important requests take all
// slots, and against giving it more than one start in ten.
func TestNoImportanceStarves(t *testing.T) {
	g := NewWithT(t)
	f := oneServer(present)
	objective := [2]time.Duration{250 * time.Millisecond, 250 * time.Millisecond}
	second := func(time.Duration) time.Duration { return time.Second }
	starts, low, inTen, recent := 0, 0, 0, []bool{}
	f.onStart = func(now time.Time, t *tree) {
		if now.Before(time.Unix(2, 0)) {
			return
		}
		starts++
		recent = append(recent, t.kind.name == "low")
		if t.kind.name == "low" {
			low++
			g.Expect(now.Sub(t.offered)).To(BeNumerically(">=", 490*time.Millisecond))
		}
		n := 0
		for _, isLow := range recent[max(0, len(recent)-startsPerException):] {
			if isLow {
				n++
			}
		}
		inTen = max(inTen, n)
	}
	f.run([]kind{
		{"high", 0, 4, 1.3 * simulatedSlots / 0.036, 36 * time.Millisecond, 1, objective, second},
		{"low", 9, 4, 0.3 * simulatedSlots / 0.036, 36 * time.Millisecond, 1, objective, second},
	}, 20*time.Second)
	t.Logf("%d of %d starts are of the less important kind", low, starts)
	g.Expect(float64(low)).To(BeNumerically(">=", 0.08*float64(starts)))
	g.Expect(inTen).To(Equal(1))
}
