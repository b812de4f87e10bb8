package ratelimit

import (
	"math/bits"
	"time"
)

// nanoPerToken is the resolution of a bucket's level. Integers make the bound
// on admitted requests exact; rounding errors of floating-point sums accumulate.
const nanoPerToken = 1_000_000_000

// maxWait bounds the reported time until the next token.
const maxWait = time.Minute

// bucket is the token bucket of one slice. Tokens that are granted but not yet
// reported as spent or returned are outstanding. They count against the burst:
// the refill never raises level + outstanding above it.
type bucket struct {
	limit       SliceLimit
	level       uint64    // in nanotokens
	remainder   uint64    // accrued fraction of a nanotoken, in units of 1/microPerToken
	outstanding uint64    // in tokens
	updated     time.Time // when advance last added tokens
}

// maxLevel returns the greatest level that the outstanding tokens allow, in
// nanotokens.
func (b *bucket) maxLevel() uint64 {
	if b.outstanding >= b.limit.Burst {
		return 0
	}
	return (b.limit.Burst - b.outstanding) * nanoPerToken
}

// clip lowers the level to maxLevel if it is above.
func (b *bucket) clip() {
	if maxLevel := b.maxLevel(); b.level >= maxLevel {
		b.level, b.remainder = maxLevel, 0
	}
}

// advance adds the tokens that accrued since the last call.
func (b *bucket) advance(now time.Time) {
	elapsed := now.Sub(b.updated)
	if elapsed <= 0 {
		return
	}
	b.updated = now
	// The product of microtokens per second and nanoseconds is in 1e-15 tokens.
	hi, lo := bits.Mul64(uint64(elapsed), b.limit.MicroRate)
	lo, carry := bits.Add64(lo, b.remainder, 0)
	hi += carry
	if hi >= microPerToken { // the quotient would overflow 64 bits, so it exceeds any burst
		b.level, b.remainder = b.maxLevel(), 0
		return
	}
	added, remainder := bits.Div64(hi, lo, microPerToken)
	maxLevel := b.maxLevel()
	if added >= maxLevel || b.level >= maxLevel-added {
		b.level, b.remainder = maxLevel, 0
		return
	}
	b.level, b.remainder = b.level+added, remainder
}

// setLimit changes the limit from now on. It adds only the tokens that have accrued
// under the former limit.
func (b *bucket) setLimit(now time.Time, limit SliceLimit) {
	b.advance(now)
	b.limit = limit
	b.clip()
}

// take moves up to want whole tokens from the level to outstanding.
func (b *bucket) take(want uint64) uint64 {
	n := min(want, b.level/nanoPerToken)
	b.level -= n * nanoPerToken
	b.outstanding += n
	return n
}

// takeSpare moves up to want whole tokens to outstanding, but only those above
// half of the burst: the others are reserved for requests that wait for a token.
func (b *bucket) takeSpare(want uint64) uint64 {
	level, reserve := b.level/nanoPerToken, (b.limit.Burst+1)/2
	if level <= reserve {
		return 0
	}
	return b.take(min(want, level-reserve))
}

// settle removes tokens that were spent or returned from the outstanding ones, and
// adds the returned ones to the level.
func (b *bucket) settle(spent, returned uint64) {
	b.outstanding -= spent + returned
	b.level += returned * nanoPerToken
	b.clip() // the burst may have been lowered since the grant
}

// wait returns the time until the level reaches a whole token if none is taken. It
// is at least 1 ns.
func (b *bucket) wait() time.Duration {
	if b.limit.MicroRate == 0 || b.limit.Burst == 0 {
		return maxWait
	}
	if b.level >= nanoPerToken {
		return 1
	}
	missing := (nanoPerToken - b.level) * microPerToken / b.limit.MicroRate
	return min(time.Duration(missing)+1, maxWait)
}
