package throttle

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"tarragonshore.example/tarragonshore/internal/request/shedding"
)

const (
	// window is the time over which trees are counted, step the interval at which the
	// share is adjusted. Two steps are within the 100 ms in which it must react.
	window      = time.Second
	step        = 50 * time.Millisecond
	windowSteps = int(window / step)
	// maxRefused is the share of trees that a service may refuse. Admitting this much more
	// than it completes shows when it has room again.
	maxRefused = 0.05
	// minRefused is the number of refused trees in a window below which nothing is done.
	minRefused = 2
	// adjustment is the fraction of the difference to its target by which one step changes
	// the share, so that two steps make up for three quarters of it, and no single noisy
	// count decides.
	adjustment = 0.5
	// recoveryDelay is the time without refusals after which the share rises, evenly until
	// it is 1 at the end of window.
	recoveryDelay = 300 * time.Millisecond
	// minShare is the least share, which shows when the service has room again.
	minShare = 0.05
	// fastRate and slowRate, per second, are the rates at which the smoothed arrivals decay:
	// each step removes their product with its length. A count times its rate is the rate of
	// arrivals. The fast count follows a burst, but tells the rate only where there are many.
	fastRate = 2.5
	slowRate = 1.0
	// mixRate is the rate at which the arrivals by importance decay. They tell which
	// importances are the least important ones that arrive, of which a daemon with 5
	// requests a second sees few in a second.
	mixRate = 0.25
	// trustedCount is the number of fast arrivals that get as much weight as the slow ones.
	trustedCount = 5.0
	// minCount is the smoothed count below which an importance is dropped.
	minCount = 0.01
)

// bucket counts the trees that ended in one step.
type bucket struct{ needed, refused int }

// service holds the counts of the trees that need one service, and their admitted share.
type service struct {
	buckets [windowSteps]bucket
	current int       // index of the newest bucket
	stepAt  time.Time // when that began
	usedAt  time.Time
	// refusedAt is when a refused tree last ended; zero: never.
	refusedAt time.Time
	// routes holds when a tree of each route was last refused a call.
	routes map[string]time.Time
	// fast and slow are the smoothed counts of arrivals, mix that of each importance.
	fast, slow float64
	mix        map[uint8]float64
	// share is the admitted share of all requests, shares that of each importance.
	share  float64
	shares map[uint8]float64
	// credit accumulates the admitted share of each importance, and is spent on admissions.
	credit map[uint8]float64
}

func newService(now time.Time) *service {
	return &service{stepAt: now, usedAt: now, routes: make(map[string]time.Time), mix: make(map[uint8]float64), share: 1}
}

func (s *service) newest() *bucket { return &s.buckets[s.current] }

func (s *service) arrive(importance uint8) {
	s.fast++
	s.slow++
	s.mix[importance]++
}

// learned reports whether trees of a route are known to need the service since it refused a
// call of one.
func (s *service) learned(now time.Time, route string) bool {
	at, ok := s.routes[route]
	return ok && now.Sub(at) <= forgetTime
}

// advance ends the steps that have passed. After a whole window without events the counts
// are empty and everything is admitted.
func (s *service) advance(now time.Time, floor float64) {
	if now.Sub(s.stepAt) > 2*window {
		s.buckets, s.fast, s.slow = [windowSteps]bucket{}, 0, 0
		clear(s.mix)
		s.admitAll()
		s.stepAt = now
		return
	}
	for now.Sub(s.stepAt) >= step {
		s.stepAt = s.stepAt.Add(step)
		s.adjust(s.stepAt)
		s.decay()
		s.current = (s.current + 1) % windowSteps
		s.buckets[s.current] = bucket{}
		if s.share < 1 {
			s.shares = shedding.Divide(s.share*s.mixSum(), s.mix, s.mix, floor)
		}
	}
}

// decay ages the smoothed counts by one step.
func (s *service) decay() {
	s.fast *= 1 - fastRate*step.Seconds()
	s.slow *= 1 - slowRate*step.Seconds()
	for importance := range s.mix {
		s.mix[importance] *= 1 - mixRate*step.Seconds()
	}
	maps.DeleteFunc(s.mix, func(_ uint8, count float64) bool { return count < minCount })
}

// adjust sets the share at the end of a step.
func (s *service) adjust(now time.Time) {
	needed, refused := s.sums()
	quiet := now.Sub(s.refusedAt)
	switch {
	case quiet >= window:
		s.admitAll()
	case quiet >= recoveryDelay:
		s.share += (1 - s.share) * step.Seconds() / (window - quiet + step).Seconds()
	case s.share < 1 || tooMany(needed, refused):
		// Of what is admitted a share of maxRefused is expected to be refused again. The share
		// follows in both directions, so that noise of the counts does not lower it.
		target := float64(needed-refused) / window.Seconds() / (1 - maxRefused) / s.arrivalRate()
		s.share += adjustment * (min(1, max(minShare, target)) - s.share)
	}
	if s.share >= 1 {
		s.admitAll()
	}
}

// tooMany reports whether more than maxRefused of the trees were refused. The count must
// exceed it by its standard deviation, so that a plan that sheds correctly, with a refusal
// now and then, is not corrected.
func tooMany(needed, refused int) bool {
	expected := maxRefused * float64(needed)
	return refused >= minRefused && float64(refused) > expected+math.Sqrt(expected)
}

func (s *service) admitAll() { s.share, s.shares, s.credit = 1, nil, nil }

// sums returns the trees that ended in the window, and those that were refused a call.
func (s *service) sums() (needed, refused int) {
	for _, b := range s.buckets {
		needed += b.needed
		refused += b.refused
	}
	return needed, refused
}

func (s *service) mixSum() float64 {
	sum := 0.0
	for _, importance := range slices.Sorted(maps.Keys(s.mix)) { // sorted, so that equal inputs give equal sums
		sum += s.mix[importance]
	}
	return sum
}

// arrivalRate returns the rate of requests that need the service. The more arrivals are in
// the fast count, the more weight that has.
func (s *service) arrivalRate() float64 {
	weight := s.fast / (s.fast + trustedCount)
	return max(1, weight*s.fast*fastRate+(1-weight)*s.slow*slowRate)
}

// shareOf returns the admitted share of an importance. One without arrivals before this step
// gets that of the next more important one.
func (s *service) shareOf(importance uint8) float64 {
	if s.share >= 1 {
		return 1
	}
	if share, ok := s.shares[importance]; ok {
		return share
	}
	share, nearest := 1.0, -1
	for known, own := range s.shares {
		if known < importance && int(known) > nearest {
			share, nearest = own, int(known)
		}
	}
	return share
}

// spend reports whether one request of an importance is within its share. The first credit
// is random, since few requests of an importance arrive.
func (s *service) spend(importance uint8, share float64, rng *rand.Rand) bool {
	if s.credit == nil {
		s.credit = make(map[uint8]float64)
	}
	credit, known := s.credit[importance]
	if !known {
		credit = rng.Float64()
	}
	credit += share
	admitted := credit >= 1
	if admitted {
		credit--
	}
	s.credit[importance] = credit
	return admitted
}
