// Package retry bounds the extra work that retries cause. It holds the retry
// credits of a request tree, the retry budget of a pool, and the decision that
// combines them: whether a failed attempt is retried, moved to another upstream
// because it never ran, or ends the call. The types are pure state machines and not
// safe for concurrent use.
package retry

// Credits is the number of retries that a request tree may still make.
type Credits uint8

// Split divides c between a child attempt, which gets half rounded up, and the node
// that sends it.
func (c Credits) Split() (child, kept Credits) {
	child = c/2 + c%2
	return child, c - child
}

// Account holds the credits of one node of a request tree: at the daemon that
// received the caller's request the credits of the whole tree, at an executing daemon
// those that came with the attempt. Every attempt that the node sends borrows half of
// what is left, rounded up, and returns what its subtree did not spend.
//
// Credits are never created. An attempt whose subtree spends s credits runs at most
// (1 + s) times the runs of the subtree without retries. Since retries and lent
// credits are taken from the same account, a tree that starts with C credits runs
// at most (1 + C) times the runs of the tree without retries.
type Account struct {
	left Credits
}

// NewAccount returns an account of a node that received credits.
func NewAccount(credits Credits) Account { return Account{left: credits} }

// Left returns the credits that are neither lent nor spent. The node sends them
// back with its own answer.
func (a *Account) Left() Credits { return a.left }

// Lend takes from the account the credits that are sent with an attempt.
func (a *Account) Lend() Credits {
	child, kept := a.left.Split()
	a.left = kept
	return child
}

// Return adds the unspent part of lent credits. A peer cannot return more
// than was lent. Credits of an attempt without an answer are not returned,
// since its subtree may have spent them.
func (a *Account) Return(lent, unspent Credits) {
	a.left += min(lent, unspent)
}

// Spend takes one credit for a retry; it returns false if none is left.
func (a *Account) Spend() bool {
	if a.left == 0 {
		return false
	}
	a.left--
	return true
}
