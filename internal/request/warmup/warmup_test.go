package warmup

import (
	"container/heap"
	"encoding/binary"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"tarragonshore.example/tarragonshore/internal/request/runqueue"
)

const silence = 2250 * time.Millisecond

var (
	epoch     = time.Unix(1000, 0)
	tolerance = Tolerance{Overage: 1.5, Slack: 8}
)

// Guards against more requests in a second than a cold server can handle, whatever the
// order of reports, signs, turns from warm to cold and restarts of the daemon: each start
// under a limit is counted with all attempts, of former processes too, that can have
// reached the server in the second before.
func TestBoundHoldsInAnySecond(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		rate := rapid.SampledFrom([]float64{0.5, 3, 16, 40}).Draw(t, "rate")
		tolerance := rapid.SampledFrom([]Tolerance{{1, 0}, {1.5, 8}}).Draw(t, "tolerance")
		bound := max(1, int(rate*tolerance.Overage+tolerance.Slack))
		type attempt struct{ start, end time.Time }
		var attempts []*attempt
		var running []*attempt
		now := epoch
		l := New(now, tolerance, silence)
		l.SetRate(now, rate)
		signAt, madeAt, coldUntil := now, time.Time{}, time.Time{}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 150).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 11).Draw(t, "event") {
			case 0:
				l.Suspect(now, SignConnectionLost)
				signAt = now
			case 1, 2:
				made := now.Add(-time.Duration(rapid.IntRange(0, 400).Draw(t, "age")) * time.Millisecond)
				left := time.Duration(rapid.SampledFrom([]int{0, 0, 500, 2000}).Draw(t, "left")) * time.Millisecond
				l.Report(now, made, left)
				switch {
				case made.After(signAt) && !made.Before(madeAt):
					coldUntil, madeAt = now.Add(left), made
				case now.Add(left).After(coldUntil):
					coldUntil = now.Add(left)
				}
			case 3:
				l = New(now, tolerance, silence)
				l.SetRate(now, rate)
				for _, a := range running {
					a.end = now
				}
				running, signAt, madeAt, coldUntil = nil, now, time.Time{}, time.Time{}
			case 4, 5, 6:
				for n := rapid.IntRange(0, len(running)).Draw(t, "ended"); n > 0; n-- {
					lost := rapid.Bool().Draw(t, "lost")
					running[0].end = now
					if lost {
						running[0].end = running[0].start
					}
					l.Ended(now, running[0].end)
					running = running[1:]
				}
			default:
				for range rapid.IntRange(1, 60).Draw(t, "burst") {
					ok, wait := l.Allow(now)
					g.Expect(ok).To(Equal(wait == 0))
					if !ok {
						break
					}
					l.Started(now)
					a := &attempt{start: now}
					attempts, running = append(attempts, a), append(running, a)
					if !now.Before(coldUntil) && madeAt.After(signAt) {
						continue // warm
					}
					reaching := 0
					for _, a := range attempts {
						if a.end.IsZero() || a.end.After(now.Add(-time.Second)) {
							reaching++
						}
					}
					g.Expect(reaching).To(BeNumerically("<=", bound))
				}
			}
		}
	})
}

// Guards against a limit that is lifted by a report from before the restart, and one that
// is never lifted.
func TestOnlyLaterReportsLiftTheLimit(t *testing.T) {
	g := NewWithT(t)
	at := func(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }
	l := New(at(0), tolerance, silence)
	l.SetRate(at(0), 16)
	l.Report(at(100), at(50), 0)
	g.Expect(l.Rate()).To(BeZero(), "warm")
	l.Suspect(at(200), SignConnectionLost)
	g.Expect(l.Rate()).To(BeZero(), "not confirmed yet")
	l.Report(at(260), at(150), 0)
	g.Expect(l.Rate()).To(Equal(16.0), "made before the sign")
	l.Report(at(300), at(250), 3*time.Second)
	g.Expect(l.Suspected()).To(BeEmpty())
	l.Report(at(350), at(240), 0)
	g.Expect(l.Rate()).To(Equal(16.0), "made before the report that it is cold")
	l.Report(at(1500), at(400), 0)
	g.Expect(l.Rate()).To(BeZero())
	l.Advance(at(1500).Add(silence + time.Millisecond))
	g.Expect(l.Suspected()).To(Equal(SignHeartbeatsMissed))
}

// Without a rate, nothing is limited. Until the tables are known, a server that reports
// that it is cold gets nothing, since its rate may be low.
func TestServersWithoutARate(t *testing.T) {
	g := NewWithT(t)
	l := New(epoch, tolerance, silence)
	for known, report := range []time.Duration{0, time.Second} {
		l.Report(epoch, epoch, report)
		for range 1000 {
			ok, _ := l.Allow(epoch)
			g.Expect(ok).To(Equal(report == 0), "%d", known)
			l.Started(epoch)
		}
	}
	l.SetRate(epoch, 0)
	for range 1000 {
		ok, _ := l.Allow(epoch)
		g.Expect(ok && l.Rate() == 0 && l.Suspected() == "").To(BeTrue())
	}
}

// simulated is an event of a replay.
type simulated struct {
	at time.Time
	do func(now time.Time)
}

type schedule []simulated

func (s schedule) Len() int           { return len(s) }
func (s schedule) Less(i, j int) bool { return s[i].at.Before(s[j].at) }
func (s schedule) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }
func (s *schedule) Push(x any)        { *s = append(*s, x.(simulated)) }
func (s *schedule) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

// 400 senders keep one server of 40 slots busy, each with one attempt at a time. The
// server hangs for a second without notice, comes back cold and resets the connections.
// Guards against a burst of the attempts that have waited.
func TestManySendersReturnToAColdServer(t *testing.T) {
	const rate, service, cold = 16.0, 36 * time.Millisecond, 3 * time.Second
	g := NewWithT(t)
	rng := rand.New(rand.NewPCG(3, 4))
	l := New(epoch, tolerance, silence)
	l.SetRate(epoch, rate)
	l.Report(epoch.Add(time.Millisecond), epoch.Add(time.Millisecond), 0)
	q := runqueue.New()
	q.SetSlots(40)
	q.SetStartLimiter(l)
	hangs, back := epoch.Add(time.Second), epoch.Add(2*time.Second)
	var events schedule
	after := func(now time.Time, wait time.Duration, do func(time.Time)) {
		heap.Push(&events, simulated{now.Add(wait), do})
	}
	var arrivals []time.Time
	var apply func(now time.Time, actions runqueue.Actions)
	var next uint64
	offer := func(now time.Time) {
		next++
		var id runqueue.ID
		binary.BigEndian.PutUint64(id[:], next)
		apply(now, q.Offer(now, runqueue.Attempt{ID: id, Deadline: now.Add(1500 * time.Millisecond)}))
	}
	apply = func(now time.Time, actions runqueue.Actions) {
		for range actions.Refuse {
			after(now, 50*time.Millisecond, offer)
		}
		for _, id := range actions.Start {
			if now.Before(hangs) || !now.Before(back) {
				arrivals = append(arrivals, now)
				after(now, service, func(now time.Time) {
					l.Ended(now, now)
					apply(now, q.Finish(now, id, service))
					offer(now)
				})
				continue
			}
			started, reset := now, back.Sub(now)+time.Duration(rng.Int64N(int64(5*time.Millisecond)))
			after(now, reset, func(now time.Time) {
				l.Suspect(now, SignConnectionLost)
				l.Ended(now, started)
				apply(now, q.Finish(now, id, 0))
				offer(now)
			})
		}
	}
	for range 400 {
		after(epoch, time.Duration(rng.Int64N(int64(100*time.Millisecond))), offer)
	}
	after(back, 20*time.Millisecond, func(now time.Time) { l.Report(now, now.Add(-time.Millisecond), cold) })
	after(back, 200*time.Millisecond, func(now time.Time) { l.Report(now, back, 0) }) // of the former process
	after(back, cold, func(now time.Time) { l.Report(now, now, 0) })
	for tick := time.Duration(0); tick < 7*time.Second; tick += 20 * time.Millisecond {
		after(epoch, tick, func(now time.Time) { apply(now, q.Advance(now)) })
	}
	for len(events) > 0 && events[0].at.Before(epoch.Add(7*time.Second)) {
		e := heap.Pop(&events).(simulated)
		e.do(e.at)
	}
	inCold, mostInSecond, before, later := 0, 0, 0, 0
	for i, at := range arrivals {
		switch {
		case at.Before(hangs):
			before++
		case at.Before(back.Add(cold)):
			inCold++
			inSecond := 0
			for _, other := range arrivals[:i+1] {
				if other.After(at.Add(-time.Second)) && !other.Before(back) {
					inSecond++
				}
			}
			mostInSecond = max(mostInSecond, inSecond)
		default:
			later++
		}
	}
	t.Logf("arrivals: %d before, %d while cold, at most %d in a second, %d in the 2 s after", before, inCold, mostInSecond, later)
	g.Expect(mostInSecond).To(BeNumerically("<=", 32))
	g.Expect(inCold).To(BeNumerically(">=", 35), "it is used at its rate")
	g.Expect(later).To(BeNumerically(">", before*16/10), "it is used fully once it is warm")
}
