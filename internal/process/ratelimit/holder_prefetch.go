// The number of tokens that a holder prefetches, that is, obtains before it needs them.

package ratelimit

import (
	"math"
	"time"
)

const (
	// recentRateTime is the time constant of the exponential average of the request rate.
	recentRateTime = time.Second
	// prefetchSeconds is the time, in seconds at the recent request rate, for which
	// tokens are prefetched. It is below 1 so that a single request, which counts as a
	// rate of 1/s, causes no prefetch.
	prefetchSeconds = 0.9
	// prefetchBurstShare is the greatest share of the burst that all holders
	// together prefetch while the workspace is within its rate. The rest is for
	// tokens that are spent but not yet reported, and for requests at holders
	// without tokens.
	prefetchBurstShare = 0.5
	// minSpareRate (requests/s) is the least recent rate at which spare tokens
	// are requested. A single request counts as a rate of 1/s.
	minSpareRate = 1.05
	// minSpareBurst is the smallest burst at which spare tokens are requested. With few
	// tokens per slice, spare tokens of one holder would be missing at the others.
	minSpareBurst = 64
	// minKeptTokens is the number of tokens that a holder keeps until their grants end
	// when the request rate falls, if the burst is at least minSpareBurst: the next
	// request may follow soon.
	minKeptTokens = 2
	// spareInterval is the least time between two messages that ask a workspace's slices
	// for spare tokens only.
	spareInterval = 250 * time.Millisecond
	// minPrefetchBurst is the smallest burst at which tokens are prefetched. With a
	// smaller one, holders would take the few tokens from each other.
	minPrefetchBurst = 8
)

// recentRateAt returns the average of the recent request rate, in requests/s.
func (w *workspaceTokens) recentRateAt(now time.Time) float64 {
	elapsed := now.Sub(w.recentRateUpdated)
	if elapsed <= 0 {
		return w.recentRate
	}
	return w.recentRate * math.Exp(-float64(elapsed)/float64(recentRateTime))
}

// prefetchTarget returns the number of tokens to hold for future requests.
func (w *workspaceTokens) prefetchTarget(now time.Time) int {
	if w.burst < minPrefetchBurst || w.rate == 0 {
		return 0
	}
	seconds := min(prefetchSeconds, prefetchBurstShare*w.burst/w.rate)
	return int(min(w.recentRateAt(now)*seconds, prefetchBurstShare*w.burst))
}

// spareTarget returns the number of spare tokens to hold in addition to prefetchTarget
// if the slices have many tokens left, so that fewer requests wait.
func (w *workspaceTokens) spareTarget(now time.Time, prefetchTarget int) int {
	recentRate := w.recentRateAt(now)
	if w.burst < minSpareBurst || recentRate < minSpareRate {
		return 0
	}
	return max(int(min(recentRate, w.rate)*prefetchSeconds)+1-prefetchTarget, 0)
}
