// The holder's state of the grants that it has received.

package ratelimit

import "time"

const (
	// Tokens of grants that end within renewBefore do not count as available for
	// future requests; those of grants that end within returnBefore are returned.
	renewBefore  = 500 * time.Millisecond
	returnBefore = 200 * time.Millisecond
	// reportAfterEnd is how long after its end a grant is still reported. The
	// keeper counts it as outstanding for a little longer than the holder may
	// spend it.
	reportAfterEnd = 500 * time.Millisecond
)

// heldGrant is the state of a grant at its holder. Each of its tokens is counted as
// left (can still be spent), spent or returned.
type heldGrant struct {
	number                uint64
	group                 uint32
	left, spent, returned uint32
	// The totals of spent and returned that the keeper has acknowledged.
	ackedSpent, ackedReturned uint32
	end                       time.Time
}

// unacked reports whether the keeper has not acknowledged the current totals.
func (g *heldGrant) unacked() bool {
	return g.spent != g.ackedSpent || g.returned != g.ackedReturned
}

// returnTokens marks n of the tokens left as returned.
func (g *heldGrant) returnTokens(n uint32) {
	g.left -= n
	g.returned += n
}

// find returns the grant with the given number, or nil.
func (w *workspaceTokens) find(number uint64) *heldGrant {
	for i := range w.grants {
		if w.grants[i].number == number {
			return &w.grants[i]
		}
	}
	return nil
}

// add inserts a new grant in the order of ends.
func (w *workspaceTokens) add(g heldGrant) {
	i := len(w.grants)
	w.grants = append(w.grants, g)
	for ; i > 0 && w.grants[i-1].end.After(g.end); i-- {
		w.grants[i] = w.grants[i-1]
	}
	w.grants[i] = g
	w.current = min(w.current, i)
	w.tokensLeft += int(g.left)
}

// spend spends a token of the grant that ends first. It returns false if there is no
// token.
func (w *workspaceTokens) spend(now time.Time) bool {
	for ; w.current < len(w.grants); w.current++ {
		g := &w.grants[w.current]
		if g.left == 0 {
			continue
		}
		if !now.Before(g.end) {
			w.tokensLeft -= int(g.left)
			g.returnTokens(g.left)
			w.scheduleReport(now)
			continue
		}
		g.left--
		g.spent++
		w.tokensLeft--
		w.scheduleReport(now.Add(w.reportTime))
		return true
	}
	return false
}

// returnDownTo marks tokens as returned until at most keep are left, beginning with the
// grants that end first. The next report returns them to the keepers.
func (w *workspaceTokens) returnDownTo(now time.Time, keep int) {
	for i := range w.grants {
		if w.tokensLeft <= keep {
			return
		}
		g := &w.grants[i]
		n := min(uint32(w.tokensLeft-keep), g.left)
		g.returnTokens(n)
		w.tokensLeft -= int(n)
		w.scheduleReport(now.Add(w.reportTime))
	}
}

// prune returns the tokens of grants that end within returnBefore and removes the grants
// that need no further report. lasting is the number of tokens left of grants that do
// not end within renewBefore.
func (w *workspaceTokens) prune(now time.Time) (lasting int) {
	kept := w.grants[:0]
	w.tokensLeft = 0
	for _, g := range w.grants {
		remaining := g.end.Sub(now)
		if remaining <= returnBefore && g.left > 0 {
			g.returnTokens(g.left)
			w.scheduleReport(now)
		}
		if (g.left == 0 && !g.unacked()) || remaining < -reportAfterEnd {
			continue
		}
		if remaining > renewBefore {
			lasting += int(g.left)
		}
		w.tokensLeft += int(g.left)
		kept = append(kept, g)
	}
	w.grants, w.current = kept, 0
	if len(kept) == 0 {
		w.reportAt = time.Time{}
	}
	return lasting
}
