package rateshare

import (
	"math/rand/v2"
	"time"
)

// Take takes one token of a workspace for a request of the given importance, where
// a greater number is less important. daemons is the number of daemons that may be
// admitting requests. If no token is available, wait is the estimated time until
// one is.
func (l *Limiter) Take(now time.Time, rng *rand.Rand, workspace string, limit Limit, importance uint8, daemons int) (ok bool, wait time.Duration) {
	if limit.Rate <= 0 {
		return true, 0
	}
	b := l.bucket(now, workspace, limit, daemons)
	if n := float64(daemons); n > b.daemons {
		b.share *= b.daemons / n // daemons joined since the last Reconcile
		b.daemons = n
	}
	b.requested++
	reserved := b.reservedTokens(now, importance)
	if b.returned > 0 && b.level > reserved {
		b.returned--
		return true, 0
	}
	refillRate := b.share * b.limit.Rate
	available := b.share*(b.level-reserved) + refillRate*now.Sub(b.updatedAt).Seconds() - b.taken
	fillRatio := min(1, max(0, b.level-reserved)/max(1, fullOverdraftLevel*limit.Burst))
	available += fillRatio * (overdraftShare*limit.Burst + overdraftTokens) / b.daemons
	// While the bucket is not empty, a fraction of a token admits the request with a
	// corresponding probability.
	admit := available >= 1 || available > rng.Float64() && rng.Float64() < fillRatio
	if !admit && b.mayExceedShare(now, reserved, l.tolerance) {
		b.beyondShare++
		admit = true
	}
	if admit {
		b.taken++
		b.admitted++
		return true, 0
	}
	wait = time.Duration((1 - available) / max(refillRate, 1/maxRetryAfter.Seconds()) * float64(time.Second))
	return false, min(max(wait, minRetryAfter), maxRetryAfter)
}

// Return gives back the token of a request that was refused before it ran. Take uses it
// for a later request at this daemon. maxReturnedTime bounds the number of such tokens.
func (l *Limiter) Return(workspace string) {
	b := l.buckets[workspace]
	if b != nil && float64(b.returned) < 1+b.share*b.limit.Rate*maxReturnedTime.Seconds() {
		b.returned++
	}
}

// reservedTokens returns how many tokens a request must leave for more important
// requests of its workspace, if there were such requests recently, and records the
// time of this request for its importance. Without the reserve, a workspace that
// exceeds its rate would have its important requests refused as often as the others.
func (b *bucket) reservedTokens(now time.Time, importance uint8) float64 {
	b.lastRequestAt[min(int(importance), len(b.lastRequestAt)-1)] = now
	higher := 0
	for i := range min(int(importance), len(b.lastRequestAt)-1) {
		if !b.lastRequestAt[i].IsZero() && now.Sub(b.lastRequestAt[i]) < importanceRecency {
			higher++
		}
	}
	return min(float64(higher)*reserveShare, maxReserveShare) * b.limit.Burst
}

// mayExceedShare reports whether this daemon may admit one request beyond its share.
// When a workspace sends a few requests per second to many daemons, each share is
// less than one request, and enforcing it would refuse requests within the rate. What
// all daemons may admit in this way between two reports must fit into the bucket and
// the tolerance.
func (b *bucket) mayExceedShare(now time.Time, reserved float64, tolerance Tolerance) bool {
	if b.beyondShare >= maxBeyondShare {
		return false
	}
	level := min(b.level+(b.limit.Rate-b.othersDemand)*now.Sub(b.updatedAt).Seconds(), b.limit.Burst) - b.taken
	surge := max(surgeFactor*b.limit.Rate, b.demand+b.othersDemand) * reportLag.Seconds()
	required := min(b.daemons*float64(b.beyondShare+1), surge) - toleranceShare*tolerance.excess(b.limit)
	return level > max(required, reserved)
}
