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

	"tarragonshore.example/tarragonshore/internal/connection/caller"
	"tarragonshore.example/tarragonshore/internal/request/problem"
	"tarragonshore.example/tarragonshore/internal/version/tables"
)

// Durations of the runs with several faults.
const (
	faultsWithin   = 2 * time.Second  // all faults of a run begin within this time
	faultsDuration = 12 * time.Second // longer than a lease, a suspicion and a lame-duck period
	callerInterval = 50 * time.Millisecond
	finalWait      = 7 * time.Second // longer than the time-out of a request
)

// ratedWorkspace is the workspace of the rate load. The callers of the runs use
// another one, since rate refusals would hide other outcomes.
const ratedWorkspace = "rated"

// hostFaults are constructors of the faults from which a run chooses. They get the
// host that is affected.
var hostFaults = []func(host int) controlFault{
	func(h int) controlFault {
		return controlFault{name: fmt.Sprintf("daemon %d killed and restarted", h), inject: func(f *fleet) { f.hosts[h].kill(); f.hosts[h].start() }}
	},
	func(h int) controlFault {
		return controlFault{name: fmt.Sprintf("daemon %d killed for a time", h), inject: func(f *fleet) { f.hosts[h].kill() }, heal: func(f *fleet) {
			if f.hosts[h].running() == nil {
				f.hosts[h].start()
			}
		}}
	},
	func(h int) controlFault { return isolatedHost("links cut both ways", h, true, true, false) },
	func(h int) controlFault { return isolatedHost("links cut inwards", h, true, false, false) },
	func(h int) controlFault { return isolatedHost("links cut outwards", h, false, true, false) },
	func(h int) controlFault { return isolatedHost("log cut", h, false, false, true) },
	func(h int) controlFault { return isolatedHost("cut off from all", h, true, true, true) },
	func(h int) controlFault { return partition(h, "one half without the log", 1) },
	func(h int) controlFault { return partition(h, "both halves with the log", 0) },
	func(int) controlFault { return allSilent },
	func(int) controlFault { return platformOutage },
	func(int) controlFault {
		return controlFault{name: platformSlow.name, inject: platformSlow.inject, heal: func(f *fleet) { f.log.setDelay(0) }}
	},
	func(int) controlFault {
		return controlFault{name: appendsLost.name, inject: appendsLost.inject, heal: func(f *fleet) { f.log.setLoseAnswers(false) }}
	},
	func(h int) controlFault {
		return controlFault{name: fmt.Sprintf("upstream %d slow", h), inject: func(f *fleet) { f.hosts[h].server.setService(time.Second) }}
	},
}

func isolatedHost(name string, host int, in, out, log bool) controlFault {
	return controlFault{name: fmt.Sprintf("daemon %d: %s", host, name),
		inject: func(f *fleet) { f.isolate(host, in, out, log, true) },
		heal:   func(f *fleet) { f.isolate(host, in, out, log, false) }}
}

// partition cuts the links between two hosts and the three others. The given number of
// sides (0 to 2) cannot reach the platform; with 1 it is the side of the two hosts.
func partition(host int, name string, sidesWithoutLog int) controlFault {
	side := []int{host, (host + 1) % len(controlFleet)}
	cutLogs := func(f *fleet, cut bool) {
		for i, h := range f.hosts {
			if sidesWithoutLog == 2 || sidesWithoutLog == 1 && slices.Contains(side, i) {
				h.log.cut.Store(cut)
			}
		}
	}
	return controlFault{name: fmt.Sprintf("hosts %v cut from the others, %s", side, name),
		inject: func(f *fleet) { f.cutBetween(side, true); cutLogs(f, true) },
		heal:   func(f *fleet) { f.cutBetween(side, false); cutLogs(f, false) }}
}

// timedFault is a fault and when it is injected, from the start of the run.
type timedFault struct {
	controlFault
	at time.Duration
}

// threeFaults chooses three faults of different kinds, their hosts and times.
func threeFaults(seed uint64) []timedFault {
	rng := rand.New(rand.NewPCG(seed, 3))
	var faults []timedFault
	for _, kind := range rng.Perm(len(hostFaults))[:3] {
		fault := hostFaults[kind](rng.IntN(len(controlFleet)))
		faults = append(faults, timedFault{fault, time.Duration(rng.Int64N(int64(faultsWithin)))})
	}
	slices.SortFunc(faults, func(a, b timedFault) int { return int(a.at - b.at) })
	return faults
}

// outcome holds the answers to one request of a run.
type outcome struct {
	body    string
	ordered bool // the request is an order, which must not run twice
	answers []answer
}

// callers sends requests and orders until ctx ends. Each order is repeated with its
// ticket at another host. The returned function waits for the outcomes.
func (f *fleet) callers(ctx context.Context, seed uint64) func() []outcome {
	var mu sync.Mutex
	var outcomes []outcome
	var wg sync.WaitGroup
	rng := rand.New(rand.NewPCG(seed, 4))
	wg.Go(func() {
		for n := 0; pause(ctx, callerInterval); n++ {
			first, second := f.hosts[rng.IntN(len(f.hosts))], f.hosts[rng.IntN(len(f.hosts))]
			wg.Go(func() {
				o := f.call(first, second, n)
				mu.Lock()
				defer mu.Unlock()
				outcomes = append(outcomes, o)
			})
		}
	})
	return func() []outcome { wg.Wait(); return outcomes }
}

// call sends a request, or an order and its repeat.
func (f *fleet) call(first, second *host, n int) outcome {
	q := request{path: "/shop", key: testKey, body: fmt.Sprintf("call %d", n)}
	if n%2 == 0 {
		return outcome{body: q.body, answers: []answer{f.ask(first, q)}}
	}
	q.path, q.ticket = "/shop-order", ticketOf(f.ask(first, request{path: caller.TicketPath, key: testKey}))
	if q.ticket == "" {
		return outcome{body: q.body, ordered: true}
	}
	return outcome{body: q.body, ordered: true, answers: []answer{f.ask(first, q), f.ask(second, q)}}
}

// checkOutcomes checks, when no request runs any more, that orders ran at most once
// and other requests at most three times, that answers belong to their requests, and
// that requests refused as not executed did not run.
func checkOutcomes(f *fleet, g *WithT, outcomes []outcome, what string) {
	served := 0
	for _, o := range outcomes {
		most := 3 // 1 + 2 credits
		if o.ordered {
			most = 1
		}
		g.Expect(f.runs(o.body)).To(BeNumerically("<=", most), "%s: %+v", what, o)
		for _, a := range o.answers {
			switch {
			case a.err != nil:
			case a.status == 200:
				served++
				g.Expect(a.body).To(HaveSuffix(" fair "+o.body), what)
				g.Expect(f.runs(o.body)).To(BeNumerically(">=", 1), "%s: %+v", what, o)
			case a.executed == problem.ExecutedNo:
				g.Expect(f.runs(o.body)).To(BeZero(), "%s: %+v", what, o)
			}
		}
	}
	g.Expect(served).To(BeNumerically(">", len(outcomes)/10), what)
}

// runFaults injects faults under load and heals them. It checks the rate limit, the
// versions of the tables and the outcomes of requests during the whole run, and that
// an edit after the healing is in force in time.
func runFaults(f *fleet, g *WithT, faults []timedFault, seed uint64) {
	what := fmt.Sprintf("seed %d:", seed)
	for _, fault := range faults {
		what += fmt.Sprintf(" %s at %s;", fault.name, fault.at)
	}
	f.publish(f.withRate(testRate))
	time.Sleep(5 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.watchVersions(ctx)
	load := newRateLoad(f, seed)
	load.rateOutcomes.workspace = ratedWorkspace
	load.wg.Go(func() { load.pulses(ctx) })
	outcomes := f.callers(ctx, seed)
	time.Sleep(2 * time.Second)
	begun := time.Now()
	for _, fault := range faults {
		sleepUntil(begun, fault.at)
		fault.inject(f)
	}
	sleepUntil(begun, faultsDuration)
	for _, fault := range faults {
		if fault.heal != nil {
			fault.heal(f)
		}
	}
	time.Sleep(5 * time.Second)
	f.publish(f.withRate(testRate / 2))
	tablesInForceEverywhere(f, g, f.hosts, time.Now(), what)
	cancel()
	load.wg.Wait()
	calls := outcomes()
	time.Sleep(finalWait)
	g.Expect(load.rateOutcomes.excess(testRate, testBurst)).To(BeNumerically("<=", 0), what)
	checkOutcomes(f, g, calls, what)
}

// withRate returns the tables with the given rate of ratedWorkspace.
func (f *fleet) withRate(rate float64) *tables.Tables {
	rated := tables.Workspace{Name: ratedWorkspace, Rate: rate, Burst: testBurst}
	next, err := f.tables.Apply([]tables.Change{{Workspace: &rated}})
	if err != nil {
		f.t.Fatal(err)
	}
	return next
}

// threeFaultSeeds is the number of runs with three faults.
const threeFaultSeeds = 16

var _ = Describe("several faults", func() {
	// Guards against guarantees that hold under each fault alone but not under three
	// that overlap. The seeds determine the faults and their times.
	It("keep the guarantees with three faults at once", func() {
		inFleets(controlFleet, threeFaultSeeds, func(cell int, f *fleet, g *WithT) {
			runFaults(f, g, threeFaults(uint64(cell+1)), uint64(cell+1))
		})
	})

	// Guards against split brain: two sides that both act as the whole fleet.
	It("keep the guarantees while the fleet is partitioned", func() {
		names := []string{"the platform in reach of both", "the platform in reach of one", "the platform in reach of none"}
		inFleets(controlFleet, len(names)*len(controlFleet), func(cell int, f *fleet, g *WithT) {
			sidesWithoutLog, host := cell/len(controlFleet), cell%len(controlFleet)
			runFaults(f, g, []timedFault{{controlFault: partition(host, names[sidesWithoutLog], sidesWithoutLog)}}, uint64(cell+1))
		})
	})
})
