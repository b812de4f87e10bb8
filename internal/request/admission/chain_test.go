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

// Parameters of the experiment with a chain, which runs in virtual time. Each service
// of the chain has one upstream, and holds a slot while it calls the next service.
// The last service is the slowest. Sizes and demand are those of
// scenarios/chain4.ini.
const (
	chainSlots       = 64
	chainService     = 2 * time.Millisecond
	chainLastSlots   = 8
	chainLastService = 40 * time.Millisecond
	chainDeadline    = 2 * time.Second
	surgeStart       = 3 * time.Second
	surgeEnd         = 23 * time.Second // end of the surge and of the arrivals
	chainSurge       = 3.0              // factor of the demand during the surge
)

// chainRates holds the requests per second of each workspace before the surge.
var chainRates = []float64{72, 24, 24}

// hop is a service of the chain, with the thresholds that its caller has received.
type hop struct {
	c          *Controller
	thresholds *ThresholdCache
	slots      int
	service    time.Duration
	waiting    map[ID]*hopRequest
}

// hopRequest is a request at one hop. end is called with its result: ok if it succeeded,
// shed if it was refused because of overload.
type hopRequest struct {
	Request
	depth int
	end   func(ok, shed bool)
}

// chain simulates open-loop callers of three workspaces that call the first hop.
type chain struct {
	timeline
	rng         *rand.Rand
	hops        []*hop
	next        int
	retries     int
	first       []float64  // first tries of callers during the surge, by workspace
	good        []float64  // of these, the ones answered before the deadline at any try
	goodInSurge float64    // of these, the ones answered during the surge
	slotTime    [2]float64 // slot time in seconds of failed and of successful tries
	runs        float64    // runs of the last service during the surge
	runSeconds  float64    // total service time of these runs in seconds
}

func newChain(depth, retries int, seed uint64) *chain {
	s := &chain{rng: rand.New(rand.NewPCG(seed, 2)), retries: retries,
		first: make([]float64, len(chainRates)), good: make([]float64, len(chainRates))}
	for i := range depth {
		h := &hop{thresholds: NewThresholdCache(), slots: chainSlots, service: chainService, waiting: map[ID]*hopRequest{}}
		if i == depth-1 {
			h.slots, h.service = chainLastSlots, chainLastService
		}
		h.c = newController(h.slots, Config{})
		s.hops = append(s.hops, h)
	}
	return s
}

func (s *chain) surging() bool { return s.now >= surgeStart && s.now < surgeEnd }

func (s *chain) run() {
	for w := range chainRates {
		s.arrive(w)
	}
	for at := time.Duration(0); at < surgeEnd; at += 10 * time.Millisecond {
		s.after(at, func() {
			for _, h := range s.hops {
				s.advance(h)
			}
		})
	}
	s.runUntil(surgeEnd + chainDeadline)
}

func (s *chain) arrive(w int) {
	rate := chainRates[w]
	if s.surging() {
		rate *= chainSurge
	}
	s.after(time.Duration(s.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		if s.now >= surgeEnd {
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

// request sends one try of a caller, and retries it when it fails.
func (s *chain) request(w int, deadline time.Time, counted bool, retries int) {
	s.next++
	r := request(s.next, fmt.Sprint(w), 3)
	r.RootHash, r.Deadline = uint8(s.rng.IntN(256)), deadline
	slotTime := 0.0
	s.call(r, 0, &slotTime, func(ok, _ bool) {
		ok = ok && !s.time().After(deadline)
		if counted {
			s.slotTime[map[bool]int{true: 1}[ok]] += slotTime
		}
		switch {
		case ok && counted:
			s.good[w]++
			if s.surging() {
				s.goodInSurge++
			}
		case !ok && retries > 0 && s.time().Before(deadline):
			s.after(simBackOff, func() { s.request(w, deadline, counted, retries-1) })
		}
	})
}

// call sends a request to the hop at a depth, unless the caller's copy of the hop's
// threshold sheds it.
func (s *chain) call(r Request, depth int, slotTime *float64, end func(ok, shed bool)) {
	h := s.hops[depth]
	if !h.thresholds.Admits(s.time(), "server", r.Workspace, r.Importance, r.RootHash) {
		end(false, true)
		return
	}
	r.Depth = uint8(depth)
	v := &hopRequest{Request: r, depth: depth}
	v.end = func(ok, shed bool) {
		threshold := h.c.Threshold(s.time(), r.Workspace)
		s.after(simLink, func() {
			h.thresholds.Store(s.time(), "server", r.Workspace, threshold)
			end(ok, shed)
		})
	}
	s.after(simLink, func() { s.offer(h, v, slotTime) })
}

func (s *chain) offer(h *hop, v *hopRequest, slotTime *float64) {
	finish := v.end
	start := func() { s.execute(h, v, slotTime, finish) }
	d := h.c.Offer(s.time(), v.Request)
	if d.HasDisplaced {
		s.refuse(h, d.Displaced)
	}
	switch d.Action {
	case Started:
		start()
	case Queued:
		h.waiting[v.ID] = &hopRequest{Request: v.Request, end: func(ok, shed bool) {
			if ok {
				start()
				return
			}
			finish(false, shed)
		}}
	case Refused:
		finish(false, d.Reason != ReasonNoTime)
	}
}

func (s *chain) refuse(h *hop, f Refusal) {
	v := h.waiting[f.ID]
	delete(h.waiting, f.ID)
	v.end(false, f.Reason != ReasonNoTime)
}

func (s *chain) execute(h *hop, v *hopRequest, slotTime *float64, end func(ok, shed bool)) {
	begun := s.now
	finish := func(ok, shed bool) {
		outcome := Succeeded
		switch {
		case shed:
			outcome = ShedDownstream
		case !ok:
			outcome = Failed
		}
		*slotTime += (s.now - begun).Seconds()
		h.c.Finish(s.time(), v.ID, s.now-begun, outcome)
		end(ok, shed)
		s.advance(h)
	}
	service := s.rng.ExpFloat64() * h.service.Seconds()
	if v.depth == len(s.hops)-1 && s.surging() {
		s.runs++
		s.runSeconds += service
	}
	s.after(time.Duration(service*float64(time.Second)), func() {
		if v.depth == len(s.hops)-1 {
			finish(true, false)
			return
		}
		s.call(v.Request, v.depth+1, slotTime, func(ok, shed bool) {
			h.c.RecordDownstreamThreshold(v.ID, s.hops[v.depth+1].thresholds.Highest(s.time(), slices.Values([]string{"server"}), v.Workspace))
			finish(ok, shed)
		})
	})
}

// advance starts and refuses the requests that Next returns.
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

// goodput returns the goodput during the surge as a fraction of the peak, which is
// the rate that the slots of the last service can serve with the service times that
// were drawn. The configured mean service time is not used, because the random draws
// deviate from it by 3%.
func (s *chain) goodput() float64 {
	peak := chainLastSlots * s.runs / s.runSeconds
	return s.goodInSurge / (surgeEnd - surgeStart).Seconds() / peak
}

// worstRatio returns the lowest ratio of goodput to max-min fair share over the
// workspaces.
func (s *chain) worstRatio() float64 {
	order := []int{0, 1, 2}
	slices.SortFunc(order, func(a, b int) int { return int(s.first[a] - s.first[b]) })
	left, worstRatio := sum(s.good), 1.0
	for i, w := range order {
		share := min(s.first[w], left/float64(len(order)-i))
		left -= share
		worstRatio = min(worstRatio, s.good[w]/share)
	}
	return worstRatio
}

// Guards against lost goodput, wasted server time and unfair shares when the
// overloaded service is deep in the call graph, so that its threshold reaches the
// entry only through the services that call it.
var _ = DescribeTable("the experiment with a chain",
	func(depth, retries int) {
		for seed := uint64(1); seed <= 2; seed++ {
			s := newChain(depth, retries, seed)
			s.run()
			good, wasted := s.goodput(), s.slotTime[0]/sum(s.slotTime[:])
			result := fmt.Sprintf("seed %d: goodput %.3f of peak, waste %.2f%%, worst workspace %.3f, per workspace %.0f of %.0f",
				seed, good, 100*wasted, s.worstRatio(), s.good, s.first)
			AddReportEntry(result)
			Expect(min(good-targetGoodput, targetWaste-wasted, s.worstRatio()-targetWorst)).To(BeNumerically(">=", 0), "%s", result)
		}
	},
	Entry("1 service", 1, 0),
	Entry("4 services", 4, 0),
	Entry("4 services, callers retry", 4, 5),
	Entry("10 services", 10, 0),
	Entry("10 services, callers retry", 10, 5),
)
