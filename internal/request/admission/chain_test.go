package admission_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	. "tarragonshore.example/tarragonshore/internal/request/admission"
)

// The experiment with a chain, in virtual time: services that each hold a slot
// while they call the next one, with one upstream each; the last one is the
// slowest. The sizes and the demand are those of scenarios/chain4.ini.
const (
	chainSlots       = 64
	chainService     = 2 * time.Millisecond
	chainLastSlots   = 8
	chainLastService = 40 * time.Millisecond
	chainDeadline    = 2 * time.Second
	chainFrom        = 3 * time.Second // the surge
	chainTo          = 23 * time.Second
	chainSurge       = 3.0 // factor of the demand
)

// chainRates are the demands of the workspaces before the surge, per second.
var chainRates = []float64{72, 24, 24}

// hop is a service of the chain, and what its askers know of it.
type hop struct {
	c       *Controller
	hints   *Hints
	slots   int
	service time.Duration
	waiting map[ID]*visit
}

// visit is a request at one hop.
type visit struct {
	Request
	depth int
	end   func(ok, shed bool)
}

// chain runs open-loop callers of three workspaces against the hops.
type chain struct {
	timeline
	rng     *rand.Rand
	hops    []*hop
	next    int
	retries int
	first   []float64  // requests of callers during the surge, by workspace
	good    []float64  // of these, the ones answered in time
	inSurge float64    // of these, the ones answered during the surge
	held    [2]float64 // slot time of requests that failed and that did not
	runs    float64    // of the last service during the surge
	drawn   float64    // their service time in seconds
}

func newChain(depth, retries int, seed uint64) *chain {
	s := &chain{rng: rand.New(rand.NewPCG(seed, 2)), retries: retries,
		first: make([]float64, len(chainRates)), good: make([]float64, len(chainRates))}
	for i := range depth {
		h := &hop{hints: NewHints(), slots: chainSlots, service: chainService, waiting: map[ID]*visit{}}
		if i == depth-1 {
			h.slots, h.service = chainLastSlots, chainLastService
		}
		h.c = newController(h.slots, Config{})
		s.hops = append(s.hops, h)
	}
	return s
}

func (s *chain) surging() bool { return s.now >= chainFrom && s.now < chainTo }

func (s *chain) run() {
	for w := range chainRates {
		s.arrive(w)
	}
	for at := time.Duration(0); at < chainTo; at += 10 * time.Millisecond {
		s.after(at, func() {
			for _, h := range s.hops {
				s.advance(h)
			}
		})
	}
	s.runUntil(chainTo + chainDeadline)
}

func (s *chain) arrive(w int) {
	rate := chainRates[w]
	if s.surging() {
		rate *= chainSurge
	}
	s.after(time.Duration(s.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		if s.now >= chainTo {
			return
		}
		counted := s.surging()
		if counted {
			s.first[w]++
		}
		s.request(w, s.time().Add(chainDeadline), counted, s.retries)
		s.arrive(w)
	})
}

// request is a try of a caller.
func (s *chain) request(w int, deadline time.Time, counted bool, retries int) {
	s.next++
	r := request(s.next, fmt.Sprint(w), 3)
	r.RootHash, r.Deadline = uint8(s.rng.IntN(256)), deadline
	held := 0.0
	s.call(r, 0, &held, func(ok, _ bool) {
		ok = ok && !s.time().After(deadline)
		if counted {
			s.held[map[bool]int{true: 1}[ok]] += held
		}
		switch {
		case ok && counted:
			s.good[w]++
			if s.surging() {
				s.inSurge++
			}
		case !ok && retries > 0 && s.time().Before(deadline):
			s.after(simBackOff, func() { s.request(w, deadline, counted, retries-1) })
		}
	})
}

// call sends a request to the hop at a depth, from the asker before it.
func (s *chain) call(r Request, depth int, held *float64, end func(ok, shed bool)) {
	h := s.hops[depth]
	if !h.hints.Allows(s.time(), "server", r.Workspace, r.Importance, r.RootHash) {
		end(false, true)
		return
	}
	r.Depth = uint8(depth)
	v := &visit{Request: r, depth: depth}
	v.end = func(ok, shed bool) {
		threshold := h.c.Threshold(s.time(), r.Workspace)
		s.after(simLink, func() {
			h.hints.Learn(s.time(), "server", r.Workspace, threshold)
			end(ok, shed)
		})
	}
	s.after(simLink, func() { s.offer(h, v, held) })
}

func (s *chain) offer(h *hop, v *visit, held *float64) {
	run := v.end
	start := func() { s.execute(h, v, held, run) }
	d := h.c.Offer(s.time(), v.Request)
	if d.HasDisplaced {
		s.refuse(h, d.Displaced)
	}
	switch d.Action {
	case Started:
		start()
	case Queued:
		h.waiting[v.ID] = &visit{Request: v.Request, end: func(ok, shed bool) {
			if ok {
				start()
				return
			}
			run(false, shed)
		}}
	case Refused:
		run(false, d.Reason != ReasonNoTime)
	}
}

func (s *chain) refuse(h *hop, f Refusal) {
	v := h.waiting[f.ID]
	delete(h.waiting, f.ID)
	v.end(false, f.Reason != ReasonNoTime)
}

func (s *chain) execute(h *hop, v *visit, held *float64, end func(ok, shed bool)) {
	begun := s.now
	finish := func(ok, shed bool) {
		outcome := Succeeded
		switch {
		case shed:
			outcome = ShedBelow
		case !ok:
			outcome = Failed
		}
		*held += (s.now - begun).Seconds()
		h.c.Finish(s.time(), v.ID, s.now-begun, outcome)
		end(ok, shed)
		s.advance(h)
	}
	service := s.rng.ExpFloat64() * h.service.Seconds()
	if v.depth == len(s.hops)-1 && s.surging() {
		s.runs++
		s.drawn += service
	}
	s.after(time.Duration(service*float64(time.Second)), func() {
		if v.depth == len(s.hops)-1 {
			finish(true, false)
			return
		}
		s.call(v.Request, v.depth+1, held, func(ok, shed bool) {
			h.c.Called(v.ID, s.hops[v.depth+1].hints.Greatest(s.time(), slices.Values([]string{"server"}), v.Workspace))
			finish(ok, shed)
		})
	})
}

// advance carries out what Next says.
func (s *chain) advance(h *hop) {
	b := h.c.Next(s.time())
	refused := slices.Clone(b.Refuse)
	for _, id := range slices.Clone(b.Start) {
		v := h.waiting[id]
		delete(h.waiting, id)
		v.end(true, false)
	}
	for _, f := range refused {
		s.refuse(h, f)
	}
}

// goodput is the share of the peak during the surge: of what the slots of the
// last service can do with the service times that were drawn. Against the mean
// service time of the settings, the draws alone would make 3% of difference.
func (s *chain) goodput() float64 {
	peak := chainLastSlots * s.runs / s.drawn
	return s.inSurge / (chainTo - chainFrom).Seconds() / peak
}

// worst is the least ratio of goodput to max-min fair share.
func (s *chain) worst() float64 {
	order := []int{0, 1, 2}
	slices.SortFunc(order, func(a, b int) int { return int(s.first[a] - s.first[b]) })
	left, worst := sum(s.good), 1.0
	for i, w := range order {
		share := min(s.first[w], left/float64(len(order)-i))
		left -= share
		worst = min(worst, s.good[w]/share)
	}
	return worst
}

// Guards against goodput lost, server time wasted and unfair shares where the
// overloaded service is deep in the call graph, so that its threshold reaches
// the entry through the services before it.
var _ = DescribeTable("the experiment with a chain",
	func(depth, retries int) {
		for seed := uint64(1); seed <= 2; seed++ {
			s := newChain(depth, retries, seed)
			s.run()
			good, lost := s.goodput(), s.held[0]/sum(s.held[:])
			result := fmt.Sprintf("seed %d: goodput %.3f of peak, waste %.2f%%, worst workspace %.3f, per workspace %.0f of %.0f",
				seed, good, 100*lost, s.worst(), s.good, s.first)
			AddReportEntry(result)
			Expect(min(good-targetGoodput, targetWaste-lost, s.worst()-targetWorst)).To(BeNumerically(">=", 0), "%s", result)
		}
	},
	Entry("1 service", 1, 0),
	Entry("4 services", 4, 0),
	Entry("4 services, callers retry", 4, 5),
	Entry("10 services", 10, 0),
	Entry("10 services, callers retry", 10, 5),
)
