package retry

import "math"

const (
	// DefaultRatio is the default of tables.Pool.RetryRatio.
	DefaultRatio = 0.1
	// MaxBudgetTokens bounds the retries that a pool can save up.
	MaxBudgetTokens = 10

	// Tokens are counted in whole millionths: ten times 0.1 in floating point
	// is less than 1.
	micro = 1_000_000
)

// Budget is the retry budget of one pool at one daemon: a token bucket that
// first attempts fill and retries drain. It starts empty, so that retries are
// at all times at most ratio times the first attempts.
type Budget struct {
	perFirst int64 // millionths of a token
	level    int64 // millionths of a token
}

// NewBudget returns an empty budget. A ratio outside (0, 1] means DefaultRatio.
func NewBudget(ratio float64) *Budget {
	b := &Budget{}
	b.SetRatio(ratio)
	return b
}

// SetRatio changes the share of retries, as a new version of the tables may.
func (b *Budget) SetRatio(ratio float64) {
	if !(ratio > 0 && ratio <= 1) {
		ratio = DefaultRatio
	}
	b.perFirst = int64(math.Round(ratio * micro))
}

// FirstAttempt counts the first attempt of a call. Moves and retries are not counted.
func (b *Budget) FirstAttempt() {
	b.level = min(b.level+b.perFirst, MaxBudgetTokens*micro)
}

// Tokens returns the number of retries that the budget allows now.
func (b *Budget) Tokens() float64 { return float64(b.level) / micro }

// Take takes the token of a retry. It returns false if there is none.
func (b *Budget) Take() bool {
	if !b.allows() {
		return false
	}
	b.spend()
	return true
}

// allows tells whether a retry is within the budget.
func (b *Budget) allows() bool { return b.level >= micro }

// spend takes the token of a retry.
func (b *Budget) spend() { b.level -= micro }
