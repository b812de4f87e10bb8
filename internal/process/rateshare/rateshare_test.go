package rateshare

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"tarragonshore.example/tarragonshore/internal/connection/wire"
)

const (
	reportEvery = 500 * time.Millisecond
	divideEvery = 250 * time.Millisecond
)

// daemon is one simulated daemon.
type daemon struct {
	shares   *Shares
	name     string
	reported Member
}

// simulate sends perSecond requests to daemons chosen by pick and returns the
// greatest number admitted in any window, and the number admitted in all.
func simulate(limit Limit, daemons int, perSecond float64, length, window time.Duration, pick func(*rand.Rand) int) (most, admitted, asked int) {
	rng := rand.New(rand.NewPCG(9, 10))
	fleet := make([]*daemon, daemons)
	for i := range fleet {
		fleet[i] = &daemon{shares: New(1), name: strconv.Itoa(i)}
		fleet[i].reported = Member{Name: fleet[i].name, Incarnation: 1}
	}
	start := time.Unix(0, 0)
	var times []time.Duration
	for at := time.Duration(0); at < length; at += time.Millisecond {
		now := start.Add(at)
		for i, d := range fleet {
			d.tick(i, at, now, fleet, limit)
		}
		if rng.Float64() < perSecond/1000 {
			asked++
			if ok, _ := fleet[pick(rng)].shares.Take(now, rng, "w", limit, daemons); ok {
				times = append(times, at)
			}
		}
	}
	for i, j := 0, 0; j < len(times); j++ {
		for times[j]-times[i] > window {
			i++
		}
		most = max(most, j-i+1)
	}
	return most, len(times), asked
}

// tick reports and divides when it is the turn of the i-th daemon. Their turns
// are spread over the intervals, and a report arrives at once.
func (d *daemon) tick(i int, at time.Duration, now time.Time, fleet []*daemon, limit Limit) {
	if phase := time.Duration(i*33) * time.Millisecond; (at+phase)%reportEvery == 0 {
		d.reported.Uses = append([]wire.WorkspaceUse{}, d.shares.Uses(reportEvery)...)
	}
	if phase := time.Duration(i*17) * time.Millisecond; (at+phase)%divideEvery == 0 {
		var others []Member
		for _, other := range fleet {
			if other != d {
				others = append(others, other.reported)
			}
		}
		d.shares.Divide(now, others, func(string) Limit { return limit })
	}
}

// A workspace that sends seven times its rate gets rate and burst, and within
// the platform's tolerance of a tenth and 20 requests in any 5 s.
func TestHotWorkspaceGetsItsRateAndNoMore(t *testing.T) {
	g := NewWithT(t)
	limit := Limit{Rate: 48, Burst: 48}
	const window = 5 * time.Second
	most, admitted, _ := simulate(limit, 15, 7*48, 30*time.Second, window, func(r *rand.Rand) int { return r.IntN(15) })
	g.Expect(float64(most)).To(BeNumerically("<=", (limit.Rate*window.Seconds()+limit.Burst)*1.1+20))
	g.Expect(float64(admitted)).To(BeNumerically(">=", 0.95*limit.Rate*30))
}

// A small workspace within its rate, with few requests at each of 15 daemons: a
// fixed part of the rate each refused a fifth of them.
func TestRequestsWithinTheRateAreAdmitted(t *testing.T) {
	g := NewWithT(t)
	_, admitted, asked := simulate(Limit{Rate: 22, Burst: 22}, 15, 16, 60*time.Second, time.Second, func(r *rand.Rand) int { return r.IntN(15) })
	g.Expect(float64(admitted)).To(BeNumerically(">=", 0.99*float64(asked)))
}

// All requests of a workspace at one daemon use nearly its whole rate.
func TestDemandAtOneDaemonGetsTheWholeRate(t *testing.T) {
	g := NewWithT(t)
	_, admitted, _ := simulate(Limit{Rate: 48, Burst: 48}, 15, 96, 30*time.Second, time.Second, func(*rand.Rand) int { return 3 })
	g.Expect(float64(admitted)).To(BeNumerically(">=", 0.85*48*30))
}

// After the loss of all processes the new ones do not start with a new burst.
func TestRestartOfTheFleetBringsNoNewBurst(t *testing.T) {
	g := NewWithT(t)
	limit := Limit{Rate: 48, Burst: 48}
	most, _, _ := simulate(limit, 15, 7*48, time.Second, time.Second, func(r *rand.Rand) int { return r.IntN(15) })
	g.Expect(float64(most)).To(BeNumerically("<=", limit.Rate+initialShare*limit.Burst+20))
}

// A member that restarts counts from zero again.
func TestRestartedMemberIsAccountedFromZero(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	s := New(uint64(time.Hour))
	limit := Limit{Rate: 10, Burst: 10}
	s.Take(now, rand.New(rand.NewPCG(1, 1)), "w", limit, 2)
	b := s.buckets["w"]
	b.account(&Member{Name: "m", Incarnation: 1, Uses: use(100)}, "w", s.started)
	level := b.level
	b.account(&Member{Name: "m", Incarnation: 2, Uses: use(3)}, "w", s.started)
	g.Expect(b.level).To(BeNumerically("~", level-3, 1e-9))
}

func use(admitted uint64) []wire.WorkspaceUse {
	return []wire.WorkspaceUse{{Workspace: "w", Demand: 1, Admitted: admitted}}
}
