// The grants of a holder and their tokens.

package ratelimit

import "time"

const (
	// Tokens that end within renewBefore are not counted on; tokens that end
	// within returnBefore are given back.
	renewBefore  = 500 * time.Millisecond
	returnBefore = 200 * time.Millisecond
	// reportAfterEnd is how long after its end a grant is still reported: the
	// keeper counts it as outstanding a little longer than the holder.
	reportAfterEnd = 500 * time.Millisecond
)

// heldGrant is a grant as its holder sees it. Tokens are left, spent or returned.
type heldGrant struct {
	number                uint64
	group                 uint32
	left, spent, returned uint32
	// What the keeper has confirmed of spent and returned.
	ackedSpent, ackedReturned uint32
	end                       time.Time
}

func (g *heldGrant) unacked() bool {
	return g.spent != g.ackedSpent || g.returned != g.ackedReturned
}

func (g *heldGrant) giveBack(n uint32) {
	g.left -= n
	g.returned += n
}

// find returns the grant with the number, or nil.
func (w *holding) find(number uint64) *heldGrant {
	for i := range w.grants {
		if w.grants[i].number == number {
			return &w.grants[i]
		}
	}
	return nil
}

// add stores a new grant in the order of ends.
func (w *holding) add(g heldGrant) {
	i := len(w.grants)
	w.grants = append(w.grants, g)
	for ; i > 0 && w.grants[i-1].end.After(g.end); i-- {
		w.grants[i] = w.grants[i-1]
	}
	w.grants[i] = g
	w.current = min(w.current, i)
	w.stock += int(g.left)
}

// spend spends one token if there is one.
func (w *holding) spend(now time.Time) bool {
	for ; w.current < len(w.grants); w.current++ {
		g := &w.grants[w.current]
		if g.left == 0 {
			continue
		}
		if !now.Before(g.end) {
			w.stock -= int(g.left)
			g.giveBack(g.left)
			w.reportBy(now)
			continue
		}
		g.left--
		g.spent++
		w.stock--
		w.reportBy(now.Add(w.reportTime))
		return true
	}
	return false
}

// reduce gives back tokens until at most keep are left, the earliest ending first.
func (w *holding) reduce(now time.Time, keep int) {
	for i := range w.grants {
		if w.stock <= keep {
			return
		}
		g := &w.grants[i]
		n := min(uint32(w.stock-keep), g.left)
		g.giveBack(n)
		w.stock -= int(n)
		w.reportBy(now.Add(w.reportTime))
	}
}

// prune ends old grants, forgets settled ones and returns the stock that will
// last for some time.
func (w *holding) prune(now time.Time) (lasting int) {
	kept := w.grants[:0]
	w.stock = 0
	for _, g := range w.grants {
		rest := g.end.Sub(now)
		if rest <= returnBefore && g.left > 0 {
			g.giveBack(g.left)
			w.reportBy(now)
		}
		if (g.left == 0 && !g.unacked()) || rest < -reportAfterEnd {
			continue
		}
		if rest > renewBefore {
			lasting += int(g.left)
		}
		w.stock += int(g.left)
		kept = append(kept, g)
	}
	w.grants, w.current = kept, 0
	if len(kept) == 0 {
		w.reportAt = time.Time{}
	}
	return lasting
}
