package throttle

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"tarragonshore.example/tarragonshore/internal/request/shedding"
)

// entry feeds one throttle a steady rate of requests over 8 importances, which the plan admits.
type entry struct {
	throttle *Throttle
	now      time.Time
	perS     int
	n        int
	admitted [importances]int
}

func newEntry(perS int) *entry {
	return &entry{perS: perS, now: time.Unix(0, 0), throttle: New(shedding.DefaultOptions.Floor, rand.New(rand.NewPCG(1, 2)), func(route string) []string {
		return map[string][]string{"tree": {"front", "deep"}, "plain": {"front"}}[route]
	})}
}

// offer offers requests for a time. refused reports whether "deep" refuses a call of the next
// one that is admitted.
func (e *entry) offer(length time.Duration, refused func() bool) {
	for end := e.now.Add(length); e.now.Before(end); e.now = e.now.Add(time.Second / time.Duration(e.perS)) {
		e.n++
		importance := e.n * 5 % importances
		e.throttle.Arrive(e.now, "tree", uint8(importance))
		if ok, _ := e.throttle.Admit(e.now, "tree", uint8(importance), 1); !ok {
			continue
		}
		e.admitted[importance]++
		var refusedBy []string
		if refused() {
			refusedBy = []string{"deep"}
		}
		e.throttle.Finish(e.now, "tree", refusedBy)
	}
}

// capacity returns a service that has room for that many trees per second.
func (e *entry) capacity(perS float64) func() bool {
	room, last := 0.0, e.now
	return func() bool {
		room, last = min(2, room+perS*e.now.Sub(last).Seconds()), e.now
		if room < 1 {
			return true
		}
		room--
		return false
	}
}

func never() bool { return false }

func (e *entry) share() float64 {
	for _, l := range e.throttle.Limits(e.now) {
		if l.Service == "deep" {
			return l.Share
		}
	}
	return 1
}

// Guards against a reaction to single refusals: at 5 requests a second one is a fifth of all,
// and with a correct plan about one tree in a hundred is refused.
func TestRareRefusalsAreIgnored(t *testing.T) {
	for _, perS := range []int{5, 20, 60} {
		g := NewWithT(t)
		e := newEntry(perS)
		e.offer(time.Minute, func() bool {
			g.Expect(e.share()).To(Equal(1.0), "%d per second", perS)
			return e.n%101 == 0 || e.n%101 == 1 && perS >= 20
		})
	}
}

// Guards against a reaction later than 100 ms, refusals of important requests or of those that
// do not need the service, an importance without its floor, and a recovery that is sudden or
// later than a second after the last refusal.
func TestShareFollowsRefusals(t *testing.T) {
	g := NewWithT(t)
	e := newEntry(60)
	e.offer(3*time.Second, never)
	g.Expect(e.share()).To(Equal(1.0))
	e.offer(300*time.Millisecond, e.capacity(30))
	e.now = e.now.Add(100 * time.Millisecond)
	g.Expect(e.share()).To(BeNumerically("<", 0.95))
	e.offer(1700*time.Millisecond, e.capacity(30))
	e.admitted = [importances]int{}
	e.offer(5*time.Second, e.capacity(30))
	g.Expect(e.admitted[0]).To(BeNumerically(">=", e.perS*5/importances))
	least := e.throttle.Limits(e.now)[0]
	g.Expect(e.admitted[importances-1]).To(BeNumerically(">", 0))
	g.Expect(least.Least).To(BeNumerically(">=", 0.9*shedding.DefaultOptions.Floor*least.Share))
	ok, _ := e.throttle.Admit(e.now, "plain", importances-1, 1)
	g.Expect(ok).To(BeTrue())
	// A plan that admits as little as the throttle has already refused the rest, and one that
	// admits twice as much a half of it.
	for factor, want := range map[float64]int{1: 40, 2: 20} {
		admitted := 0
		for range 40 {
			if ok, _ := e.throttle.Admit(e.now, "tree", importances-1, factor*least.Least); ok {
				admitted++
			}
		}
		g.Expect(admitted).To(BeNumerically("~", want, 1))
	}
	before, steps := e.share(), 0
	for range 20 {
		e.offer(step, never)
		if share := e.share(); share > before {
			g.Expect(share - before).To(BeNumerically("<", 0.3))
			before = share
			steps++
		}
	}
	g.Expect(before).To(Equal(1.0))
	g.Expect(steps).To(BeNumerically(">", 5))
}

// Guards against a service that the plan does not know of yet, for example since the entry
// daemon has restarted, and against names of peers that use up the memory.
func TestServicesAreLearnedFromRefusals(t *testing.T) {
	g := NewWithT(t)
	e := newEntry(60)
	e.throttle.needs = func(string) []string { return nil }
	e.offer(3*time.Second, e.capacity(30))
	g.Expect(e.share()).To(BeNumerically("<", 1))
	for n := range 2 * maxServices {
		e.throttle.Finish(e.now, "tree", []string{string(rune('a' + n))})
	}
	g.Expect(e.throttle.services).To(HaveLen(maxServices))
	e.now = e.now.Add(forgetTime + time.Second)
	g.Expect(e.throttle.Limits(e.now)).To(BeEmpty())
	g.Expect(e.throttle.services).To(BeEmpty())
}
