package daemon

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonshore.example/tarragonshore/internal/request/problem"
)

// Limits of the workspace in the rate tests, and the load of the runs.
const (
	testRate     = 200
	testBurst    = 100
	rateLoadTime = 40 * time.Second
	// Load in pulses: requests at pulseRate for pulseTime, so that holders prefetch
	// tokens, then none until the buckets have refilled, then a surge.
	pulseRate     = testRate * 6 / 10
	pulseTime     = 600 * time.Millisecond
	pulsePause    = 400 * time.Millisecond // minimum; the maximum is twice as long
	pulseSurge    = 2 * testBurst          // requests at once, over all daemons
	pulseLoadTime = 20 * time.Second
	// Load with a single surge. Holders prefetch up to half of the burst, and the
	// slices of the limit refill within prefetchRefill.
	prefetchRate   = 400
	prefetchBurst  = 400
	prefetchRefill = 600 * time.Millisecond
	handoverCells  = 4
)

// rateOutcomes collects the outcomes of many requests for rate tokens. mu guards the
// fields below it.
type rateOutcomes struct {
	workspace string

	mu       sync.Mutex
	admitted []time.Time
	sent     int
	refused  map[problem.Kind]int
}

// take spends a token at a daemon, as its caller port does. In virtual time, the time
// read after take returns is exactly that of the admission.
func (t *rateOutcomes) take(d *Daemon) {
	refusal := d.rates.take(context.Background(), "rate test", t.workspace)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
	if refusal == nil {
		t.admitted = append(t.admitted, time.Now())
	} else {
		t.refused[refusal.Kind]++
	}
}

// excess returns by how many requests, in units of 1e-9 requests, the worst of all
// intervals exceeds rate × time + burst.
func (t *rateOutcomes) excess(rate, burst int64) int64 {
	slices.SortFunc(t.admitted, time.Time.Compare)
	worst, least := -burst*int64(time.Second), int64(0)
	for i, at := range t.admitted {
		// The interval from request j to i holds i-j+1 requests.
		level := int64(i)*int64(time.Second) - rate*int64(at.Sub(t.admitted[0]))
		if i == 0 || level < least {
			least = level
		}
		worst = max(worst, level-least+int64(time.Second)-burst*int64(time.Second))
	}
	return worst
}

// rateLoad sends requests for rate tokens to all running daemons.
type rateLoad struct {
	fleet        *fleet
	rateOutcomes *rateOutcomes
	rng          *rand.Rand
	wg           sync.WaitGroup
}

func newRateLoad(f *fleet, seed uint64) *rateLoad {
	return &rateLoad{fleet: f, rateOutcomes: &rateOutcomes{workspace: "fair", refused: map[problem.Kind]int{}}, rng: rand.New(rand.NewPCG(seed, 1))}
}

// ask takes one token at a random daemon.
func (l *rateLoad) ask() {
	if d := l.fleet.hosts[l.rng.IntN(len(l.fleet.hosts))].running(); d != nil {
		l.wg.Go(func() { l.rateOutcomes.take(d) })
	}
}

// steady asks at exponentially distributed intervals until ctx ends.
func (l *rateLoad) steady(ctx context.Context, perSecond int) {
	for pause(ctx, time.Duration(l.rng.ExpFloat64()*float64(time.Second)/float64(perSecond))) {
		l.ask()
	}
}

// pulses repeats a pulse until ctx ends: it asks at pulseRate, so that holders prefetch
// tokens, pauses until the buckets have refilled, and asks for more tokens at once than
// the burst.
func (l *rateLoad) pulses(ctx context.Context) {
	for ctx.Err() == nil {
		pulse, cancel := context.WithTimeout(ctx, pulseTime)
		l.steady(pulse, pulseRate)
		cancel()
		pause(ctx, pulsePause+time.Duration(l.rng.Int64N(int64(pulsePause))))
		l.surge(pulseSurge)
	}
}

// steadyFor calls steady for a limited time.
func (l *rateLoad) steadyFor(d time.Duration, perSecond int) {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	l.steady(ctx, perSecond)
}

// surge asks many times at once.
func (l *rateLoad) surge(requests int) {
	for range requests {
		l.ask()
	}
}

// prefetchLoad runs a load after which all daemons hold prefetched tokens, and returns
// it.
func prefetchLoad(f *fleet, seed uint64) *rateLoad {
	f.publish(f.testTables(controlFleet, prefetchRate, prefetchBurst))
	time.Sleep(5 * time.Second)
	load := newRateLoad(f, seed)
	load.steadyFor(3*time.Second, prefetchRate*9/10)
	return load
}

// keeperIndex returns the index of the host whose daemon is the keeper of group 0.
func (f *fleet) keeperIndex() int {
	asked := slices.IndexFunc(f.hosts, func(h *host) bool { return h.running() != nil })
	name := f.hosts[asked].running().rateGroups.status()[0].Keeper
	return slices.IndexFunc(f.hosts, func(h *host) bool { return h.name == name })
}

// pauseKeeper isolates the keeper of group 0 for a time.
func (f *fleet) pauseKeeper(d time.Duration) {
	k := f.keeperIndex()
	f.isolate(k, true, true, true, true)
	time.AfterFunc(d, func() { f.isolate(k, true, true, true, false) })
}

var rateFaults = []controlFault{
	noFault,
	{name: "keeper killed", inject: func(f *fleet) { f.hosts[f.keeperIndex()].kill() }},
	{name: "keeper killed and restarted", inject: func(f *fleet) { h := f.hosts[f.keeperIndex()]; h.kill(); h.start() }},
	{name: "keeper paused beyond its lease", inject: func(f *fleet) { f.pauseKeeper(25 * time.Second) }},
	{name: "keeper paused for 3 s", inject: func(f *fleet) { f.pauseKeeper(3 * time.Second) }},
	{name: "keeper reaches the log but no member", inject: func(f *fleet) { f.isolate(f.keeperIndex(), true, true, false, true) }},
	{name: "keeper cut off from the log", inject: func(f *fleet) { f.isolate(f.keeperIndex(), false, false, true, true) }},
	{name: "links to the keeper cut one way", inject: func(f *fleet) { f.isolate(f.keeperIndex(), true, false, false, true) }},
	{name: "hand-over", inject: func(f *fleet) { f.hosts[f.keeperIndex()].stopLater() }},
	{name: "hand-over and restart", inject: func(f *fleet) {
		h := f.hosts[f.keeperIndex()]
		go func() { _ = h.stop(); h.start() }()
	}},
	allSilent, platformOutage, platformSlow, appendsLost, conflictingEdits,
	{name: "keeper killed while the platform is down", inject: func(f *fleet) { k := f.keeperIndex(); f.log.setOutage(true); f.hosts[k].kill() }},
	{name: "hand-over while the platform is down", inject: func(f *fleet) { k := f.keeperIndex(); f.log.setOutage(true); f.hosts[k].stopLater() }},
	{name: "keeper killed twice", inject: func(f *fleet) {
		f.hosts[f.keeperIndex()].kill()
		time.AfterFunc(12*time.Second, func() {
			for _, h := range f.hosts {
				if d := h.running(); d != nil {
					h.kill()
					return
				}
			}
		})
	}},
	{name: "keeper paused twice", inject: func(f *fleet) {
		f.pauseKeeper(10 * time.Second)
		time.AfterFunc(15*time.Second, func() { f.pauseKeeper(15 * time.Second) })
	}},
}

// rateCell runs a load, injects a fault after 5 s, and checks that no interval has
// more than rate × time + burst admissions.
func rateCell(f *fleet, g *WithT, fault controlFault, load *rateLoad, run func(ctx context.Context), lasts time.Duration) {
	f.publish(f.testTables(controlFleet, testRate, testBurst))
	time.Sleep(5 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	load.wg.Go(func() { run(ctx) })
	time.Sleep(5 * time.Second)
	fault.inject(f)
	time.Sleep(lasts)
	if fault.heal != nil {
		fault.heal(f)
		time.Sleep(10 * time.Second)
	}
	cancel()
	load.wg.Wait()
	g.Expect(load.rateOutcomes.excess(testRate, testBurst)).To(BeNumerically("<=", 0), fault.name)
	g.Expect(len(load.rateOutcomes.admitted)).To(BeNumerically(">", testRate*5), fault.name)
}

// Guards against tokens that are granted twice. It prints which share of the requests
// of a workspace within its rate is refused.
var _ = DescribeTable("rate over the whole fleet",
	func(perSecond int) {
		lines := make([]string, len(rateFaults))
		inFleets(controlFleet, len(rateFaults), func(cell int, f *fleet, g *WithT) {
			fault, load := rateFaults[cell], newRateLoad(f, uint64(cell+1))
			rateCell(f, g, fault, load, func(ctx context.Context) { load.steady(ctx, perSecond) }, rateLoadTime)
			t := load.rateOutcomes
			lines[cell] = fmt.Sprintf("%d/s, %s: sent %d, admitted %d, 429 %.3f%%, 503 %.3f%%", perSecond, fault.name, t.sent, len(t.admitted),
				100*float64(t.refused[problem.KindRateExceeded])/float64(t.sent), 100*float64(t.refused[problem.KindRateUnavailable])/float64(t.sent))
			if perSecond < testRate && cell == 0 {
				refused := t.refused[problem.KindRateExceeded] + t.refused[problem.KindRateUnavailable]
				g.Expect(refused*1000).To(BeNumerically("<=", t.sent), lines[cell])
			}
		})
		for _, line := range lines {
			fmt.Println("rate:", line)
		}
	},
	Entry("several times the rate: at most rate × time + burst in every interval", 3*testRate),
	Entry("within the rate: wrongful refusals", testRate*7/10),
)

// Guards against a workspace that stays suspended after an edit that changes the
// number of slices of its limit. That daemons which apply the edit late cause no
// excess is tested in process/ratelimit.
var _ = It("keeps the rate over an edit of the burst that changes the slices", func() {
	inFleets(controlFleet, 1, func(_ int, f *fleet, g *WithT) {
		f.publish(f.testTables(controlFleet, testRate, 4))
		time.Sleep(15 * time.Second)
		ctx, cancel := context.WithCancel(context.Background())
		load := newRateLoad(f, 1)
		t := load.rateOutcomes
		load.wg.Go(func() { load.steady(ctx, 3*testRate) })
		time.Sleep(5 * time.Second)
		f.publish(f.testTables(controlFleet, testRate, testBurst))
		time.Sleep(10 * time.Second)
		t.mu.Lock()
		before, unavailable := len(t.admitted), t.refused[problem.KindRateUnavailable]
		t.mu.Unlock()
		g.Expect(unavailable).To(BeNumerically(">", 0), "a suspended workspace is not over its rate")
		time.Sleep(10 * time.Second)
		cancel()
		load.wg.Wait()
		fmt.Println("rate: admitted until 10 s after the edit", before, "and in all", len(t.admitted))
		g.Expect(len(t.admitted) - before).To(BeNumerically(">", 9*testRate))
		g.Expect(t.excess(testRate, testBurst)).To(BeNumerically("<=", 0))
	})
})

// holderIsolated isolates a holder for longer than its grants last.
var holderIsolated = controlFault{name: "holder cut off", inject: func(f *fleet) {
	h := (f.keeperIndex() + 1) % len(f.hosts)
	f.isolate(h, true, true, true, true)
	time.AfterFunc(10*time.Second, func() { f.isolate(h, true, true, true, false) })
}}

// keeperPartitioned leaves the keeper and one holder in contact with each other only,
// until after the keeper has been replaced.
var keeperPartitioned = controlFault{name: "keeper and a holder cut off", inject: func(f *fleet) {
	k := f.keeperIndex()
	f.cutBetween([]int{k, (k + 1) % len(f.hosts)}, true)
	for _, h := range []int{k, (k + 1) % len(f.hosts)} {
		f.hosts[h].log.cut.Store(true)
	}
}}

// cutBetween cuts or restores the links between the given hosts and all others.
func (f *fleet) cutBetween(side []int, cut bool) {
	for _, a := range side {
		for b := range f.hosts {
			if !slices.Contains(side, b) {
				f.cut(a, b, cut)
				f.cut(b, a, cut)
			}
		}
	}
}

// pulseFaults are the faults that matter to prefetched tokens. The hand-over and
// keeperPartitioned are included several times, since the state in which they hit the
// load depends on the seed.
var pulseFaults = append(slices.Repeat([]controlFault{rateFaults[8], keeperPartitioned}, 4), append([]controlFault{holderIsolated}, rateFaults[:10]...)...)

var _ = Describe("prefetched tokens", func() {
	// Guards against a keeper that refills a bucket without counting the tokens that
	// holders have, against a keeper that loses count of these tokens when it takes a
	// group over, and against a successor that grants before the grants of the old
	// keeper have ended.
	// A load without pauses hides all three faults, since no bucket is ever full.
	It("count until they are spent, when demand moves to other daemons", func() {
		inFleets(controlFleet, len(pulseFaults), func(cell int, f *fleet, g *WithT) {
			load := newRateLoad(f, uint64(cell+1))
			rateCell(f, g, pulseFaults[cell], load, load.pulses, pulseLoadTime)
		})
	})

	// Guards against a successor that loses count of the tokens that holders have when
	// it takes a group over at a planned stop.
	It("are counted by the daemon that takes the group over", func() {
		inFleets(controlFleet, handoverCells, func(cell int, f *fleet, g *WithT) {
			load, before := prefetchLoad(f, uint64(cell+1)), f.keeperIndex()
			f.hosts[before].stopLater()
			for f.keeperIndex() == before {
				load.steadyFor(10*time.Millisecond, prefetchRate)
			}
			time.Sleep(prefetchRefill)
			load.surge(2 * prefetchBurst)
			load.wg.Wait()
			g.Expect(load.rateOutcomes.excess(prefetchRate, prefetchBurst)).To(BeNumerically("<=", 0))
		})
	})
})

// Guards against refused requests at a daemon, as the new keeper or as a holder, that
// reads the claim long after the old keeper has stopped.
var _ = It("a daemon that reads claims late gets tokens after planned stops of the keepers", func() {
	inFleet(controlFleet, func(f *fleet, g *WithT) {
		late := f.hosts[slices.IndexFunc(f.hosts, func(h *host) bool {
			return !slices.ContainsFunc(f.hosts[0].running().rateGroups.status(), func(s GroupStatus) bool { return s.Keeper == h.name })
		})]
		// Of bursts below 8 no tokens are prefetched, so that each request needs a keeper.
		f.publish(f.testTables(controlFleet, testRate, 4))
		time.Sleep(10 * time.Second) // until the suspension by the edit has ended and the buckets are full
		late.log.claimsDelay.Store(int64(time.Minute))
		t := &rateOutcomes{workspace: "fair", refused: map[problem.Kind]int{}}
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		wg.Go(func() {
			for pause(ctx, 50*time.Millisecond) {
				t.take(late.running())
			}
		})
		for _, group := range late.running().rateGroups.status() {
			keeper := slices.IndexFunc(f.hosts, func(h *host) bool { return h.name == group.Keeper })
			if f.hosts[keeper].running() != nil {
				g.Expect(f.hosts[keeper].stop()).To(Succeed())
			}
		}
		cancel()
		wg.Wait()
		g.Expect(t.sent).To(BeNumerically(">", 50))
		g.Expect(t.refused).To(BeEmpty())
	})
})
