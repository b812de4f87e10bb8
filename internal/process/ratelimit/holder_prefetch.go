// How many tokens a holder draws ahead of their use.

package ratelimit

import (
	"math"
	"time"
)

const (
	// useTime is the time constant of the average of recent use.
	useTime = time.Second
	// aheadShare of the recent use per second is drawn in advance. It is below
	// 1 so that a holder with a single request draws nothing ahead.
	aheadShare = 0.9
	// aheadBurstShare of the burst is the most that all holders together draw
	// ahead while the workspace is within its rate; the rest is room for
	// tokens that are spent but not yet reported, and for requests elsewhere.
	aheadBurstShare = 0.5
	// minSpareUse (requests/s) is the least recent use with which spare tokens
	// are drawn. One request alone counts as a use of 1/s.
	minSpareUse = 1.05
	// minSpareBurst is the smallest burst of which spare tokens are drawn. With
	// a few tokens per slice they were missing elsewhere.
	minSpareBurst = 64
	// keptTokens of a burst of at least minSpareBurst are not returned before the
	// end of their grant when the use falls: the next request may come soon.
	keptTokens = 2
	// spareInterval is the least time between draws of spare tokens only.
	spareInterval = 250 * time.Millisecond
	// minAheadBurst is the smallest burst of which tokens are drawn ahead.
	// Holders of a smaller one would keep it from each other.
	minAheadBurst = 8
)

// useAt returns the average of recent use in requests/s.
func (w *holding) useAt(now time.Time) float64 {
	elapsed := now.Sub(w.usedAt)
	if elapsed <= 0 {
		return w.use
	}
	return w.use * math.Exp(-float64(elapsed)/float64(useTime))
}

// ahead returns how many tokens to hold for future requests.
func (w *holding) ahead(now time.Time) int {
	if w.burst < minAheadBurst || w.rate == 0 {
		return 0
	}
	seconds := min(aheadShare, aheadBurstShare*w.burst/w.rate)
	return int(min(w.useAt(now)*seconds, aheadBurstShare*w.burst))
}

// spare returns how many tokens to hold in addition to ahead if the slices have
// many left, so that fewer requests wait.
func (w *holding) spare(now time.Time, ahead int) int {
	use := w.useAt(now)
	if w.burst < minSpareBurst || use < minSpareUse {
		return 0
	}
	return max(int(min(use, w.rate)*aheadShare)+1-ahead, 0)
}
