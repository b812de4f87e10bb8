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

// Limits of the workspace of the rate tests.
const (
	testRate  = 200
	testBurst = 100
	rateTime  = 40 * time.Second
)

// takes collects the outcomes of many callers. Its lock guards all fields.
type takes struct {
	mu       sync.Mutex
	admitted []time.Time
	sent     int
	refused  map[problem.Kind]int
}

// take asks a daemon for a token, as its caller port does. In virtual time the
// time after an admission is exactly that of the admission.
func (t *takes) take(d *Daemon) {
	refusal := d.rates.take(context.Background(), "rate test", "fair")
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
	if refusal == nil {
		t.admitted = append(t.admitted, time.Now())
	} else {
		t.refused[refusal.Kind]++
	}
}

// excess returns by how many requests the worst interval exceeds rate × time +
// burst, in units of 1/1e9 request, over all intervals.
func (t *takes) excess(rate, burst int64) int64 {
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

// rateLoad lets callers at all running daemons ask with random gaps.
func (f *fleet) rateLoad(ctx context.Context, perSecond int, seed uint64) (*takes, *sync.WaitGroup) {
	t := &takes{refused: map[problem.Kind]int{}}
	rng := rand.New(rand.NewPCG(seed, 1))
	var wg sync.WaitGroup
	wg.Go(func() {
		for pause(ctx, time.Duration(rng.ExpFloat64()*float64(time.Second)/float64(perSecond))) {
			if d := f.hosts[rng.IntN(len(f.hosts))].running(); d != nil {
				wg.Go(func() { t.take(d) })
			}
		}
	})
	return t, &wg
}

// keeperOf returns a host that keeps a group.
func (f *fleet) keeper() int {
	name := f.hosts[0].running().groups.status()[0].Keeper
	return slices.IndexFunc(f.hosts, func(h *host) bool { return h.name == name })
}

func (f *fleet) pauseKeeper(d time.Duration) {
	k := f.keeper()
	f.isolate(k, true, true, true, true)
	time.AfterFunc(d, func() { f.isolate(k, true, true, true, false) })
}

var rateFaults = []controlFault{
	calm,
	{name: "keeper killed", inject: func(f *fleet) { f.hosts[f.keeper()].kill() }},
	{name: "keeper killed and restarted", inject: func(f *fleet) { h := f.hosts[f.keeper()]; h.kill(); h.start() }},
	{name: "keeper paused beyond its lease", inject: func(f *fleet) { f.pauseKeeper(25 * time.Second) }},
	{name: "keeper paused for 3 s", inject: func(f *fleet) { f.pauseKeeper(3 * time.Second) }},
	{name: "keeper reaches the log but no member", inject: func(f *fleet) { f.isolate(f.keeper(), true, true, false, true) }},
	{name: "keeper cut off from the log", inject: func(f *fleet) { f.isolate(f.keeper(), false, false, true, true) }},
	{name: "links to the keeper cut one way", inject: func(f *fleet) { f.isolate(f.keeper(), true, false, false, true) }},
	{name: "hand-over", inject: func(f *fleet) { f.hosts[f.keeper()].stopLater() }},
	{name: "hand-over and restart", inject: func(f *fleet) {
		h := f.hosts[f.keeper()]
		go func() { _ = h.stop(); h.start() }()
	}},
	allSilent, down, slow, appendsLost, conflict,
	{name: "keeper killed while the platform is down", inject: func(f *fleet) { k := f.keeper(); f.log.setOutage(true); f.hosts[k].kill() }},
	{name: "hand-over while the platform is down", inject: func(f *fleet) { k := f.keeper(); f.log.setOutage(true); f.hosts[k].stopLater() }},
	{name: "keeper killed twice", inject: func(f *fleet) {
		f.hosts[f.keeper()].kill()
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

// Guards against tokens that are granted twice, and prints the wrongful
// refusals of a workspace within its rate.
var _ = DescribeTable("rate over the whole fleet",
	func(perSecond int) {
		lines := make([]string, len(rateFaults))
		inFleets(controlFleet, len(rateFaults), func(cell int, f *fleet, g *WithT) {
			fault := rateFaults[cell]
			f.publish(f.testTables(controlFleet, testRate, testBurst))
			time.Sleep(5 * time.Second)
			ctx, cancel := context.WithCancel(context.Background())
			t, wg := f.rateLoad(ctx, perSecond, uint64(cell+1))
			time.Sleep(5 * time.Second)
			fault.inject(f)
			time.Sleep(rateTime)
			if fault.heal != nil {
				fault.heal(f)
				time.Sleep(10 * time.Second)
			}
			cancel()
			wg.Wait()
			g.Expect(t.excess(testRate, testBurst)).To(BeNumerically("<=", 0), fault.name)
			g.Expect(len(t.admitted)).To(BeNumerically(">", testRate*5), fault.name)
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

// Guards against requests that are refused since a daemon, as the new keeper or as
// a holder, reads the claim long after the old keeper has stopped.
var _ = It("a daemon that reads claims late has tokens after planned stops of the keepers", func() {
	inFleet(controlFleet, func(f *fleet, g *WithT) {
		late := f.hosts[slices.IndexFunc(f.hosts, func(h *host) bool {
			return !slices.ContainsFunc(f.hosts[0].running().groups.status(), func(s GroupStatus) bool { return s.Keeper == h.name })
		})]
		// Bursts below 8 are not drawn ahead, so that each request needs a keeper.
		f.publish(f.testTables(controlFleet, testRate, 4))
		time.Sleep(2 * time.Second)
		late.log.claimsLate.Store(int64(time.Minute))
		t := &takes{refused: map[problem.Kind]int{}}
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		wg.Go(func() {
			for pause(ctx, 50*time.Millisecond) {
				t.take(late.running())
			}
		})
		for _, group := range late.running().groups.status() {
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
