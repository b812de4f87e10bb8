package daemon

import (
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonshore.example/tarragonshore/internal/connection/backend"
	"tarragonshore.example/tarragonshore/internal/request/problem"
	"tarragonshore.example/tarragonshore/internal/version/tables"
)

// The fault matrix injects each fault at each step of a request. A request in the
// fleet takes about 14 ms: 0.5 ms per network hop and 10 ms at the backend server.
// Injecting a fault at every millisecond from when the request is sent until after
// its answer covers each step: received, key checked, rate token spent, sent to the
// ticket's owner, sent to the executing daemon, queued, sent to the backend server,
// running, answered, delivered.
const (
	matrixStep = time.Millisecond
	matrixEnd  = 16 * time.Millisecond
)

// matrixFleet is the fleet of the matrix: host 0 receives the request, host 1 is the
// owner of the ticket, hosts 2 and 3 have the upstreams.
var matrixFleet = []string{"entry", "entry", "shop", "shop"}

// matrixFault is a row of the matrix.
type matrixFault struct {
	name string
	// inject injects the fault. It must not block for long.
	inject func(f *fleet)
	// answered is true if the caller must get the backend server's answer despite
	// the fault.
	answered bool
}

// bothMatrixFaults returns two faults that are injected at the same time.
func bothMatrixFaults(a, b matrixFault) matrixFault {
	return matrixFault{name: a.name + " and " + b.name, inject: func(f *fleet) {
		a.inject(f)
		b.inject(f)
	}}
}

func withoutKey(t *tables.Tables) *tables.Tables {
	digest := tables.DigestKey(testKey)
	next, err := t.Apply([]tables.Change{{Remove: &tables.RowRef{Kind: tables.KindKey, Name: digest.String()}}})
	Expect(err).NotTo(HaveOccurred())
	return next
}

var (
	killExecutor  = matrixFault{name: "upstream's daemon killed", inject: func(f *fleet) { f.hosts[2].kill() }}
	killOwner     = matrixFault{name: "home killed", inject: func(f *fleet) { f.hosts[1].kill() }}
	restartOwner  = matrixFault{name: "home killed and restarted", inject: func(f *fleet) { f.hosts[1].kill(); f.hosts[1].start() }}
	cutUpstream   = matrixFault{name: "link to upstream cut", inject: func(f *fleet) { f.cut(1, 2, true); f.cut(2, 1, true); f.cut(0, 2, true); f.cut(2, 0, true) }}
	cutAnswers    = matrixFault{name: "link from upstream cut one way", inject: func(f *fleet) { f.cut(2, 1, true); f.cut(2, 0, true) }}
	cutOwner      = matrixFault{name: "link to home cut", inject: func(f *fleet) { f.cut(0, 1, true); f.cut(1, 0, true) }}
	silentLinks   = matrixFault{name: "links silent for good", inject: (*fleet).silenceAll, answered: true}
	platformDown  = matrixFault{name: "platform down", inject: func(f *fleet) { f.log.setOutage(true) }, answered: true}
	answersLost   = matrixFault{name: "platform's answers lost", inject: func(f *fleet) { f.log.setLoseAnswers(true) }, answered: true}
	keyWithdrawn  = matrixFault{name: "key withdrawn", inject: func(f *fleet) { f.publish(withoutKey(f.tables)) }}
	serverDrains  = matrixFault{name: "upstream drains", inject: func(f *fleet) { f.hosts[2].setState(backend.StateDraining) }, answered: true}
	serverSlow    = matrixFault{name: "upstreams slow down", inject: func(f *fleet) { f.hosts[2].server.setService(time.Second); f.hosts[3].server.setService(time.Second) }, answered: true}
	stopExecutor  = matrixFault{name: "planned stop of upstream's daemon", inject: func(f *fleet) { f.hosts[2].stopLater() }, answered: true}
	stopOwner     = matrixFault{name: "planned stop of home", inject: func(f *fleet) { f.hosts[1].stopLater() }, answered: true}
	stopEntry     = matrixFault{name: "planned stop of entry", inject: func(f *fleet) { f.hosts[0].stopLater() }, answered: true}
	demandSurges  = matrixFault{name: "demand surges", inject: func(f *fleet) { f.surge(60) }}
	editsConflict = matrixFault{name: "edits conflict", inject: func(f *fleet) {
		before, version := f.tables, f.version
		f.publish(f.testTables(matrixFleet, 900, 1000))
		won := f.tables
		f.tables, f.version = before, version
		f.publish(f.testTables(matrixFleet, 800, 1000)) // the same base as the edit before: every reader rejects it
		f.tables = won
	}, answered: true}
)

// cut blocks or unblocks the traffic from one host to another.
func (f *fleet) cut(from, to int, cut bool) {
	f.net.setCut(f.hosts[from].address, f.hosts[to].address, cut)
}

// silenceAll makes all open peer links drop all data from now on.
func (f *fleet) silenceAll() {
	for i, a := range f.hosts {
		for _, b := range f.hosts[i+1:] {
			f.net.silence(a.address, b.address)
		}
	}
}

func (h *host) setState(state backend.State) {
	h.mu.Lock()
	h.state = state
	h.mu.Unlock()
	h.announce()
}

// stopLater begins a planned stop and returns at once. h.stopped receives the
// result.
func (h *host) stopLater() {
	h.stopped = make(chan error, 1)
	go func() { h.stopped <- h.stop() }()
}

// surge sends n requests of other callers at once.
func (f *fleet) surge(n int) {
	for i := range n {
		go f.get(f.hosts[0], "/shop/surge", fmt.Sprintf("surge %d", i))
	}
}

// matrixRequest sends a request, injects the fault after a delay and checks the
// answer. It then repeats an order with its ticket and checks how often the request
// ran.
func matrixRequest(f *fleet, g *WithT, fault matrixFault, after time.Duration, path string) {
	const body = "prize bundle"
	ordered := strings.HasSuffix(path, "-order")
	q := request{path: path, key: testKey, body: body}
	if ordered {
		q.ticket = f.ticketFrom(f.hosts[1])
	}
	// Opens the links, so that the fault hits the steps of the request itself.
	g.Expect(f.get(f.hosts[0], "/shop/warm", "warm").status).To(Equal(200))
	answers := make(chan answer, 1)
	go func() { answers <- f.ask(f.hosts[0], q) }()
	time.Sleep(after)
	fault.inject(f)
	first := <-answers
	cell := fmt.Sprintf("%s at %s on %s: %+v", fault.name, after, path, first)
	checkAnswer(f, g, cell, first, body, ordered)
	if fault.answered {
		g.Expect(first.status).To(Equal(200), cell)
	}
	// An idempotent request may run again when it is repeated.
	if ordered {
		again := f.ask(f.hostForRepeat(), q)
		cell += fmt.Sprintf(", repeated: %+v", again)
		checkAnswer(f, g, cell, again, body, ordered)
		if first.status == 200 && again.status != 200 {
			g.Expect(again.executed).NotTo(Equal(problem.ExecutedNo), cell)
		}
	}
	time.Sleep(6 * time.Second) // longer than the request's time-out, to see late runs
	if ordered {
		g.Expect(f.runs(body)).To(BeNumerically("<=", 1), cell)
	}
	g.Expect(f.runs(body)).To(BeNumerically("<=", 3), cell) // 1 + 2 credits
	for _, h := range f.hosts {
		if h.stopped != nil {
			g.Expect(<-h.stopped).NotTo(HaveOccurred(), cell)
		}
	}
}

// checkAnswer checks that an answer is complete and belongs to the request, and that
// a request refused as not executed did not run.
func checkAnswer(f *fleet, g *WithT, cell string, a answer, body string, ordered bool) {
	g.Expect(a.took).To(BeNumerically("<", 6*time.Second), cell)
	if a.err != nil {
		return // the connection broke: the caller knows that the outcome is unknown
	}
	if a.status == 200 {
		g.Expect(a.body).To(HaveSuffix(" fair "+body), cell)
		g.Expect(f.runs(body)).To(BeNumerically(">=", 1), cell)
		return
	}
	g.Expect(a.kind).NotTo(BeEmpty(), cell)
	if a.executed == problem.ExecutedNo {
		// This also holds for a repeat: it may be refused as not executed only if the
		// first request did not run either.
		g.Expect(f.runs(body)).To(BeZero(), cell)
	}
}

// runs returns how often a request ran, summed over all backend servers.
func (f *fleet) runs(body string) int {
	total := 0
	for _, h := range f.hosts {
		total += h.server.count(body)
	}
	return total
}

// hostForRepeat returns a running host for the repeat, preferably one without an
// upstream.
func (f *fleet) hostForRepeat() *host {
	for _, h := range f.hosts[:2] {
		if h.running() != nil {
			return h
		}
	}
	return f.hosts[3]
}

var _ = DescribeTable("fault matrix: a fault at each step of a request",
	func(fault matrixFault, path string) {
		inFleets(matrixFleet, int(matrixEnd/matrixStep)+1, func(cell int, f *fleet, g *WithT) {
			matrixRequest(f, g, fault, time.Duration(cell)*matrixStep, path)
		})
	},
	matrixEntries([]matrixFault{
		killExecutor, killOwner, restartOwner, cutUpstream, cutAnswers, cutOwner, silentLinks, platformDown,
		answersLost, keyWithdrawn, serverDrains, serverSlow, stopExecutor, stopOwner, stopEntry, demandSurges,
		editsConflict,
		bothMatrixFaults(killExecutor, platformDown), bothMatrixFaults(cutUpstream, killOwner), bothMatrixFaults(silentLinks, serverSlow),
		bothMatrixFaults(stopOwner, stopExecutor), bothMatrixFaults(killExecutor, demandSurges),
	}),
)

// matrixEntries returns an entry per fault and kind of request.
func matrixEntries(faults []matrixFault) []TableEntry {
	var entries []TableEntry
	for _, fault := range faults {
		for _, path := range []string{"/shop", "/shop-order"} {
			entries = append(entries, Entry(fault.name+", request "+path, fault, path))
		}
	}
	return entries
}
