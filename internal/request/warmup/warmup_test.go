package warmup

import (
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

// Guards against senders that turn away from a server for a single lost connection, and
// against a server without heartbeats that is taken for warm.
func TestSignsAreShownOnceTheyAreNotRefuted(t *testing.T) {
	g := NewWithT(t)
	at := func(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }
	l := New(at(0), tolerance, silence)
	l.SetRate(at(0), 16)
	l.Report(at(100), at(50), 0)
	l.Suspect(at(200), SignConnectionLost)
	g.Expect(l.Rate()).To(BeZero())
	l.Advance(at(260))
	g.Expect(l.Rate()).To(Equal(16.0))
	l.Report(at(300), at(250), 0)
	g.Expect(l.Rate()).To(BeZero())
	l.Advance(at(301).Add(silence))
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

// 400 senders keep one server of 40 slots busy, each with one attempt at a time. The
// server hangs for a second without notice, comes back cold and resets the connections.
// Guards against a burst of the attempts that have waited. Times are in milliseconds.
func TestManySendersReturnToAColdServer(t *testing.T) {
	const service, cold, hangs, back, end = 36, 3000, 1000, 2000, 7000
	g := NewWithT(t)
	rng := rand.New(rand.NewPCG(3, 4))
	at := func(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }
	l := New(at(0), tolerance, silence)
	l.SetRate(at(0), 16)
	l.Report(at(1), at(1), 0)
	q := runqueue.New()
	q.SetSlots(40)
	q.SetStartLimiter(l)
	var events [2 * end][]func()
	now := 0
	after := func(wait int, do func()) { events[now+wait] = append(events[now+wait], do) }
	var arrivals []int
	var apply func(runqueue.Actions)
	var next uint64
	offer := func() {
		next++
		var id runqueue.ID
		binary.BigEndian.PutUint64(id[:], next)
		apply(q.Offer(at(now), runqueue.Attempt{ID: id, Deadline: at(now + 1500)}))
	}
	apply = func(actions runqueue.Actions) {
		for range actions.Refuse {
			after(50, offer)
		}
		for _, id := range actions.Start {
			started, wait, measured := now, service, service*time.Millisecond
			lost := now >= hangs && now < back
			if lost {
				wait, measured = back-now+rng.IntN(5), 0
			} else {
				arrivals = append(arrivals, now)
			}
			after(wait, func() {
				reached := now
				if lost {
					l.Suspect(at(now), SignConnectionLost)
					reached = started
				}
				l.Ended(at(now), at(reached))
				apply(q.Finish(at(now), id, measured))
				offer()
			})
		}
	}
	for range 400 {
		after(rng.IntN(100), offer)
	}
	after(back+20, func() { l.Report(at(now), at(now-1), cold*time.Millisecond) })
	after(back+200, func() { l.Report(at(now), at(back), 0) }) // of the former process
	after(back+cold, func() { l.Report(at(now), at(now), 0) })
	for ; now < end; now++ {
		if now%20 == 0 {
			apply(q.Advance(at(now)))
		}
		for i := 0; i < len(events[now]); i++ {
			events[now][i]()
		}
	}
	count := func(from, to int) (n int) {
		for _, ms := range arrivals {
			if ms >= from && ms < to {
				n++
			}
		}
		return n
	}
	most := 0
	for ms := back; ms < back+cold; ms++ {
		most = max(most, count(max(back, ms-999), ms+1))
	}
	before, inCold, later := count(0, hangs), count(back, back+cold), count(back+cold, end)
	t.Logf("arrivals: %d before, %d while cold, at most %d in a second, %d in the 2 s after", before, inCold, most, later)
	g.Expect(most).To(BeNumerically("<=", 32))
	g.Expect(inCold).To(BeNumerically(">=", 35), "it is used at its rate")
	g.Expect(later).To(BeNumerically(">", before*16/10), "it is used fully once it is warm")
}

// Guards against starts that stay paced by a rate that was corrected.
func TestPaceFollowsTheRate(t *testing.T) {
	g := NewWithT(t)
	now := epoch
	l := New(now, tolerance, silence)
	l.SetRate(now, 0.001)
	now = now.Add(2 * time.Second)
	first, _ := l.Allow(now)
	g.Expect(first).To(BeTrue())
	l.Started(now)
	l.Ended(now, now)
	l.SetRate(now, 16)
	now = now.Add(2 * time.Second)
	ok, wait := l.Allow(now)
	g.Expect(ok).To(BeTrue(), "the next start has to wait for %v", wait)
}
