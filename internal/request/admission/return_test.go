package admission_test

import (
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	. "tarragonshore.example/tarragonshore/internal/request/admission"
)

// Parameters of the simulated return of an idle workspace, in virtual time: workspace
// "a" sends from the beginning, workspace "b" from returnAt on.
const (
	returnSlots   = 10
	returnService = 4 * time.Millisecond
	returnPeak    = 2500.0 // requests per second
	returnAt      = 2 * time.Second
	returnEnd     = 4 * time.Second
	// maxReturnWait is the bound that is documented at the type queue: 150 ms for which a
	// workspace that was idle may occupy the server, plus (W/n + 1) × S with one
	// other workspace and a longest service time of 1.5 times the mean.
	maxReturnWait = 150*time.Millisecond + (returnSlots+1)*returnService*3/2/returnSlots
)

// returnSim simulates the two workspaces and one controller, and measures the waits
// after the return.
type returnSim struct {
	timeline
	rng     *rand.Rand
	c       *Controller
	next    int
	sent    map[ID]origin
	lastOfA time.Duration
	gap     time.Duration // longest time between two starts of "a"
	wait    time.Duration // longest queueing time of "b"
	refused int           // refused requests of "b"
}

// origin is the sender of a request and the time at which it was sent.
type origin struct {
	workspace string
	at        time.Duration
}

// runReturn runs the simulation with "a" and "b" sending the given multiples of the
// peak rate.
func runReturn(seed uint64, a, b float64) *returnSim {
	s := &returnSim{rng: rand.New(rand.NewPCG(seed, 3)), c: newController(returnSlots, Config{}), sent: map[ID]origin{}}
	s.send("a", a*returnPeak)
	s.after(returnAt, func() { s.send("b", b*returnPeak) })
	for at := time.Duration(0); at < returnEnd; at += 10 * time.Millisecond {
		s.after(at, s.advance)
	}
	s.runUntil(returnEnd)
	s.gap = max(s.gap, returnEnd-s.lastOfA)
	return s
}

func (s *returnSim) send(workspace string, rate float64) {
	s.after(time.Duration(s.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		s.next++
		r := request(s.next, workspace, 3)
		r.Deadline = s.time().Add(time.Second)
		s.sent[r.ID] = origin{workspace, s.now}
		switch s.c.Offer(s.time(), r).Action {
		case Started:
			s.start(r.ID)
		case Refused:
			s.refuse(r.ID)
		}
		s.send(workspace, rate)
	})
}

func (s *returnSim) start(id ID) {
	switch o := s.sent[id]; {
	case o.workspace == "b":
		s.wait = max(s.wait, s.now-o.at)
	case s.now > returnAt:
		s.gap = max(s.gap, s.now-s.lastOfA)
		fallthrough
	default:
		s.lastOfA = s.now
	}
	service := time.Duration((0.5 + s.rng.Float64()) * float64(returnService))
	s.after(service, func() {
		s.c.Finish(s.time(), id, service, Succeeded)
		s.advance()
	})
}

func (s *returnSim) refuse(id ID) {
	if s.sent[id].workspace == "b" {
		s.refused++
	}
}

func (s *returnSim) advance() {
	batch := s.c.Next(s.time())
	for _, f := range batch.Refuse {
		s.refuse(f.ID)
	}
	for _, id := range slices.Clone(batch.Start) {
		s.start(id)
	}
}

// Guards against a workspace that, after being idle, occupies the server and starves
// the others: without a bound of its credit, no request of "a" started for 0.6 s.
var _ = DescribeTable("a workspace that returns keeps the others waiting for at most 150 ms",
	func(times float64) {
		for seed := uint64(1); seed <= 5; seed++ {
			Expect(runReturn(seed, 2, 2*times).gap).To(BeNumerically("<=", maxReturnWait), "seed %d", seed)
		}
	},
	Entry("as many requests", 1.0),
	Entry("3 times as many", 3.0),
	Entry("8 times as many", 8.0),
)

// Guards against a workspace within its fair share whose requests are refused or wait
// behind the queue of a workspace that sends several times its rate.
var _ = DescribeTable("a workspace that returns within its share waits for at most 150 ms",
	func(times float64) {
		for seed := uint64(1); seed <= 5; seed++ {
			s := runReturn(seed, 0.4*times, 0.4)
			Expect(s.wait).To(BeNumerically("<=", maxReturnWait), "seed %d", seed)
			Expect(s.refused).To(BeZero(), "seed %d", seed)
		}
	},
	Entry("the other sends 3 times its rate", 3.0),
	Entry("the other sends 10 times its rate", 10.0),
)
