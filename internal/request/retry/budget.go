package retry

import "math"

const (
	// DefaultRatio is the default of tables.Pool.RetryRatio.
	DefaultRatio = 0.1
	// MaxBudgetTokens bounds the tokens that a budget can accumulate.
	MaxBudgetTokens = 10

	// microPerToken is the number of units in a token. Tokens are counted in integer
	// millionths, since the sum of ten times 0.1 in floating point is less than 1.
	microPerToken = 1_000_000
)

// Budget is the retry budget of one pool at one daemon: a token bucket that
// first attempts fill and retries drain. It starts empty, so that at any time the
// number of retries is at most ratio times that of first attempts.
type Budget struct {
	perFirstAttempt int64 // millionths of a token
	level           int64 // millionths of a token
}

// NewBudget returns an empty budget. A ratio outside (0, 1] means DefaultRatio.
func NewBudget(ratio float64) *Budget {
	b := &Budget{}
	b.SetRatio(ratio)
	return b
}

// SetRatio changes the ratio of retries to first attempts, for example after the
// tables change.
func (b *Budget) SetRatio(ratio float64) {
	if !(ratio > 0 && ratio <= 1) {
		ratio = DefaultRatio
	}
	b.perFirstAttempt = int64(math.Round(ratio * microPerToken))
}

// RecordFirstAttempt counts the first attempt of a call, which fills the budget. Moves and
// retries are not counted.
func (b *Budget) RecordFirstAttempt() {
	b.level = min(b.level+b.perFirstAttempt, MaxBudgetTokens*microPerToken)
}

// Tokens returns the number of retries that the budget allows now.
func (b *Budget) Tokens() float64 { return float64(b.level) / microPerToken }

// Take takes a token for a retry. It returns false if there is none.
func (b *Budget) Take() bool {
	if !b.allows() {
		return false
	}
	b.spend()
	return true
}

// allows reports whether the budget holds a token for a retry.
func (b *Budget) allows() bool { return b.level >= microPerToken }

// spend takes a token for a retry. The caller has checked that there is one.
func (b *Budget) spend() { b.level -= microPerToken }
