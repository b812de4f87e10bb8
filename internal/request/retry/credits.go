// Package retry bounds the extra work of failed attempts: attempt credits of a
// request tree, the retry budget of a pool, moves of attempts that never ran,
// and the decision that joins them. The types are pure state machines and not
// safe for concurrent use.
package retry

// Credits counts extra attempts in a request tree.
type Credits uint8

// Split divides c between a child, which gets half rounded up, and the rest.
func (c Credits) Split() (child, kept Credits) {
	child = c/2 + c%2
	return child, c - child
}

// Account holds the credits of one node of a request tree: at the entry the
// credits of the whole tree, at an executing daemon those that came with the
// attempt. Every attempt that the node sends borrows half of what is left,
// rounded up, and returns what its subtree did not spend.
//
// Credits are never created: with C credits at the entry, the attempts that
// run in the tree cost at most (1 + C) times the tree without retries. An
// attempt that borrowed a and spent s costs at most (1 + s) times its subtree,
// and all retries and borrowed credits come out of the same account.
type Account struct {
	left Credits
}

// NewAccount returns an account of a node that received credits.
func NewAccount(credits Credits) Account { return Account{left: credits} }

// Left returns the credits that are neither lent nor spent. It is the unspent
// part to send with the node's own answer.
func (a *Account) Left() Credits { return a.left }

// Lend takes the part of the credits that travels with an attempt.
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
