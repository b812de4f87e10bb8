package retry

import (
	"math"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// retryLimit is the platform's limit on extra requests at a service.
const retryLimit = 0.2

// At any depth, the retries of all levels add up to less than the platform's limit
// of a fifth of the requests at the leaf service.
func TestChainRatiosAddUp(t *testing.T) {
	for depth := range 12 {
		g := NewWithT(t)
		arrivals := 1.0 // requests at the leaf service per request at the top of the chain
		for range depth - 1 {
			upper, _ := Ratios(retryLimit, ChainPosition{CallsOthers: true, Depth: depth})
			arrivals *= 1 + upper
		}
		last, _ := Ratios(retryLimit, ChainPosition{Depth: depth})
		arrivals *= 1 + last
		g.Expect(arrivals-1).To(BeNumerically("<", retryLimit), "depth %d", depth)
	}
}

// Trees make ten calls to the leaf service, 1 in 20 of which is lost, as in the benchmark
// run mvldt-mesh-grown scale-1. Guards against too small a retry ratio at the leaf: with
// 4 in 100 at each level, 2 in 10 trees failed for lack of budget.
func TestLostCallsOfDeepTreesAreRetried(t *testing.T) {
	g := NewWithT(t)
	const calls, lost = 10, 0.05
	_, internal := Ratios(retryLimit, ChainPosition{Depth: 4, Direct: 464, Internal: 14_000})
	retried := math.Min(lost, internal) / lost
	failedAfterRetry := lost * (1 - retried*(1-lost))
	g.Expect(math.Pow(1-failedAfterRetry, calls)).To(BeNumerically(">", 0.95))
}

// Whatever the mix of callers' requests and calls, the retries stay within the same
// fraction of a service's load, and callers' requests get at least that fraction.
func TestDirectRequestsTakeFromTheSameBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		c := ChainPosition{
			CallsOthers: rapid.Bool().Draw(t, "calling"), Depth: rapid.IntRange(0, 10).Draw(t, "depth"),
			Direct: rapid.Float64Range(0.1, 1e4).Draw(t, "direct"), Internal: rapid.Float64Range(0.1, 1e4).Draw(t, "internal"),
		}
		direct, internal := Ratios(retryLimit, c)
		total, _ := Ratios(retryLimit, ChainPosition{CallsOthers: c.CallsOthers, Depth: c.Depth})
		g.Expect(direct*c.Direct + internal*c.Internal).To(BeNumerically("<=", total*(c.Direct+c.Internal)*(1+1e-9)))
		g.Expect(internal).To(BeNumerically(">=", 0))
		g.Expect(direct).To(BeNumerically(">=", min(total, maxDirectRatio)))
	})
}

// A leaf service refuses 55 of 100 arrivals, as in the benchmark run mvldt-mesh-grown
// scale-1: trees with ten calls to it cannot succeed, but callers' requests for it, one
// run each, can.
func TestDirectRequestsSurviveAFailingService(t *testing.T) {
	g := NewWithT(t)
	const refused = 0.55
	direct, _ := Ratios(retryLimit, ChainPosition{Depth: 4, Direct: 244, Internal: 4000})
	g.Expect(1 - refused + min(direct, refused)*(1-refused)).To(BeNumerically(">", 0.65))
}
