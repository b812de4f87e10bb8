package ratelimit

import (
	"math/bits"
	"time"
)

// nanoPerToken is the resolution of a bucket's level. Integers make the bound
// on admitted requests exact; floating-point sums would drift.
const nanoPerToken = 1_000_000_000

// maxWait bounds the time that is reported until the next token.
const maxWait = time.Minute

// bucket is the token bucket of one slice. Tokens that are granted but not
// reported as spent are outstanding and take room in the bucket:
// level + outstanding never grows beyond the burst.
type bucket struct {
	limit       SliceLimit
	level       uint64 // in nanotokens
	rest        uint64 // accrued part of a nanotoken, in 1/microPerToken
	outstanding uint64 // in tokens
	updated     time.Time
}

// room returns the greatest level allowed now, in nanotokens.
func (b *bucket) room() uint64 {
	if b.outstanding >= b.limit.Burst {
		return 0
	}
	return (b.limit.Burst - b.outstanding) * nanoPerToken
}

// clip drops the part of the level that exceeds the room.
func (b *bucket) clip() {
	if room := b.room(); b.level >= room {
		b.level, b.rest = room, 0
	}
}

// advance adds the tokens that accrued since the last call.
func (b *bucket) advance(now time.Time) {
	elapsed := now.Sub(b.updated)
	if elapsed <= 0 {
		return
	}
	b.updated = now
	// Microtokens per second times nanoseconds are 1e-15 tokens.
	hi, lo := bits.Mul64(uint64(elapsed), b.limit.MicroRate)
	lo, carry := bits.Add64(lo, b.rest, 0)
	hi += carry
	if hi >= microPerToken { // the quotient would exceed 64 bits and any burst
		b.level, b.rest = b.room(), 0
		return
	}
	added, rest := bits.Div64(hi, lo, microPerToken)
	room := b.room()
	if added >= room || b.level >= room-added {
		b.level, b.rest = room, 0
		return
	}
	b.level, b.rest = b.level+added, rest
}

// setLimit changes the limit as of now. It never adds tokens.
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

// takeSpare moves up to want whole tokens from the upper half of the level to
// outstanding. The lower half is left for requests that wait for a token.
func (b *bucket) takeSpare(want uint64) uint64 {
	level, reserve := b.level/nanoPerToken, (b.limit.Burst+1)/2
	if level <= reserve {
		return 0
	}
	return b.take(min(want, level-reserve))
}

// settle ends outstanding tokens; returned ones go back to the level.
func (b *bucket) settle(spent, returned uint64) {
	b.outstanding -= spent + returned
	b.level += returned * nanoPerToken
	b.clip() // the burst may have been lowered since the grant
}

// wait returns the time until the level holds a whole token if nothing is
// taken. It is at least 1 ns.
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
