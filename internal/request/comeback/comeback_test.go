package comeback

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// tally counts what becomes of the callers of a simulation.
type tally struct {
	callers, served, tries int
	wait                   time.Duration // sum over the callers served, from the first try
}

func (r tally) share() float64          { return float64(r.served) / float64(r.callers) }
func (r tally) triesEach() float64      { return float64(r.tries) / float64(r.callers) }
func (r tally) meanWait() time.Duration { return r.wait / time.Duration(r.served) }

type caller struct{ first, deadline time.Time }

// simulate plays callers that obey the Retry-After at an entry whose plan admits 100
// requests per second; the plan follows the measured rate as the shedding plan does. Each
// caller tries again until its patience ends and states the same time for each try.
func simulate(fresh func(time.Duration) float64, patience, stated time.Duration, retryAfter func(now time.Time, d Demand, remaining time.Duration, fraction float64) time.Duration) tally {
	const planned, step = 100.0, 10 * time.Millisecond
	rng := rand.New(rand.NewPCG(1, 2)) // the same sequence each time
	var r tally
	start := time.Unix(1000, 0)
	due := map[int64][]caller{}
	rate, count, credit, share := 0.0, 0, 0.0, 1.0
	for now := start; now.Before(start.Add(40 * time.Second)); now = now.Add(step) {
		for x := fresh(now.Sub(start)) * step.Seconds(); x > rng.Float64(); x-- {
			r.callers++
			due[now.UnixNano()/int64(step)] = append(due[now.UnixNano()/int64(step)], caller{now, now.Add(patience)})
		}
		slot := now.UnixNano() / int64(step)
		for _, c := range due[slot] {
			r.tries++
			count++
			if credit += share; credit >= 1 {
				credit--
				r.served++
				r.wait += now.Sub(c.first)
				continue
			}
			if wait := retryAfter(now, Demand{Rate: rate, Share: share}, stated, rng.Float64()); now.Add(wait).Before(c.deadline) {
				at := max(slot+1, now.Add(wait).UnixNano()/int64(step))
				due[at] = append(due[at], c)
			}
		}
		delete(due, slot)
		if now.UnixMilli()%500 == 0 {
			rate += 0.5 * (float64(count)/0.5 - rate)
			count = 0
		}
		if now.UnixMilli()%250 == 0 {
			share = min(1, planned/max(rate, 1))
		}
	}
	return r
}

// present is the Retry-After that the entry sends now.
func present(_ time.Time, _ Demand, _ time.Duration, fraction float64) time.Duration {
	return 400*time.Millisecond + time.Duration(fraction*float64(time.Second))
}

// Guards against requests that are refused several times in an overload, since all come back
// within a second, and against waits that are longer than a short burst.
func TestRefusedRequestsTryLessOften(t *testing.T) {
	g := NewWithT(t)
	burst := func(rate float64, length, period time.Duration) func(time.Duration) float64 {
		return func(at time.Duration) float64 {
			if at%period < length {
				return rate
			}
			return 70
		}
	}
	type load struct {
		fresh            func(time.Duration) float64
		patience, stated time.Duration
		tries, wait      float64 // the most, relative to the present rule
	}
	constant := burst(130, time.Second, time.Second)
	long, short := burst(200, 3*time.Second, 10*time.Second), burst(250, 500*time.Millisecond, 5*time.Second)
	for name, l := range map[string]load{
		"130%, 1 s stated":           {constant, 5 * time.Second, time.Second, 0.85, 1},
		"130%, 10 s stated":          {constant, 10 * time.Second, 10 * time.Second, 0.6, 1.05},
		"bursts of 3 s, 1 s stated":  {long, 5 * time.Second, time.Second, 0.9, 1},
		"bursts of 3 s, 10 s stated": {long, 10 * time.Second, 10 * time.Second, 0.75, 1.2},
		"bursts of 0.5 s":            {short, 5 * time.Second, time.Second, 1.03, 0.6},
	} {
		var s Scheduler
		before := simulate(l.fresh, l.patience, l.stated, present)
		after := simulate(l.fresh, l.patience, l.stated, func(now time.Time, d Demand, remaining time.Duration, fraction float64) time.Duration {
			return s.RetryAfter(now, Class{Route: "r"}, d, remaining, fraction)
		})
		t.Logf("%s: served %.3f, now %.3f; tries %.2f, now %.2f; mean wait %v, now %v", name, before.share(), after.share(),
			before.triesEach(), after.triesEach(), before.meanWait(), after.meanWait())
		g.Expect(after.triesEach()).To(BeNumerically("<=", l.tries*before.triesEach()), name)
		g.Expect(after.meanWait().Seconds()).To(BeNumerically("<=", l.wait*before.meanWait().Seconds()), name)
		g.Expect(after.share()).To(BeNumerically(">=", before.share()-0.035), name)
	}
}

// Guards against a Retry-After beyond the bound, and against state that grows with the
// classes.
func TestRetryAfterIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		var s Scheduler
		now := time.Unix(1000, 0)
		for n := range rapid.IntRange(1, 3000).Draw(t, "refusals") {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 0, 1, 90, 20000}).Draw(t, "ms")) * time.Millisecond)
			remaining := time.Duration(rapid.IntRange(-1, 30000).Draw(t, "remaining")) * time.Millisecond
			c := Class{Importance: uint8(n), Route: fmt.Sprint(n % rapid.SampledFrom([]int{1, 3000}).Draw(t, "routes"))}
			d := Demand{Rate: rapid.Float64Range(0, 1000).Draw(t, "rate"), Share: rapid.Float64Range(0, 1).Draw(t, "share")}
			wait := s.RetryAfter(now, c, d, remaining, rapid.Float64Range(0, 0.999).Draw(t, "fraction"))
			g.Expect(wait).To(BeNumerically(">=", minWait))
			g.Expect(wait).To(BeNumerically("<=", max(remaining/3, unscheduledMax)))
			g.Expect(len(s.classes)).To(BeNumerically("<=", maxClasses))
		}
	})
}
