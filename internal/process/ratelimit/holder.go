// The holder and the limits of its workspaces.

package ratelimit

import (
	"math/rand/v2"
	"slices"
	"time"

	"tarragonshore.example/tarragonshore/internal/version/tables"
)

// holding is a holder's state of one workspace.
type holding struct {
	name       string
	rate       float64 // requests/s
	burst      float64 // requests
	reportTime time.Duration
	division   Division
	slices     [Slices]heldSlice // [:division.Count]
	first      uint8             // index of the slice to ask first

	grants  []heldGrant // in order of their ends
	current int         // first grant that may have tokens left
	stock   int         // tokens left, including those of ended grants not yet noticed

	use     float64 // average requests/s as of usedAt
	usedAt  time.Time
	waiting int // requests told MustAsk that have not ended

	low      int       // stock below which tokens are drawn ahead
	spareAt  time.Time // no draw of spare tokens only before this time
	askAt    time.Time // not before this time
	reportAt time.Time // zero if there is nothing to report
}

// Holder is the holder of one daemon.
type Holder struct {
	groups  uint32
	number  uint64 // of the last request
	holds   map[string]*holding
	order   []*holding // all of holds, so that messages do not depend on map order
	pending map[uint64]*pendingRequest
	rng     *rand.Rand
}

// NewHolder returns a holder without workspaces. rng spreads the holders over
// the slices.
func NewHolder(groups uint32, rng *rand.Rand) *Holder {
	return &Holder{
		groups: groups, rng: rng,
		holds:   map[string]*holding{},
		pending: map[uint64]*pendingRequest{},
	}
}

// SetLimits applies the limits of all workspaces. If a burst is lowered, the
// holder gives back its tokens in proportion, so that the holders together
// have at most the new burst.
func (h *Holder) SetLimits(now time.Time, workspaces []tables.Workspace) {
	listed := make(map[string]bool, len(workspaces))
	for _, t := range workspaces {
		listed[t.Name] = true
		w := h.holds[t.Name]
		if w == nil {
			w = &holding{name: t.Name, usedAt: now, first: uint8(h.rng.IntN(Slices))}
			h.holds[t.Name] = w
			h.order = append(h.order, w)
		}
		w.setLimit(now, t, h.groups)
	}
	h.order = slices.DeleteFunc(h.order, func(w *holding) bool {
		if listed[w.name] {
			return false
		}
		w.setLimit(now, tables.Workspace{Name: w.name}, h.groups)
		if len(w.grants) > 0 || w.waiting > 0 {
			return false
		}
		delete(h.holds, w.name)
		return true
	})
}

func (w *holding) setLimit(now time.Time, t tables.Workspace, groups uint32) {
	division := Divide(t)
	if division.Count != w.division.Count {
		w.reduce(now, 0) // tokens of the former slices may not be spent any more
		w.slices = [Slices]heldSlice{}
	}
	w.division = division
	var rate, burst uint64
	for i, limit := range division.Limits[:division.Count] {
		rate += limit.MicroRate
		burst += limit.Burst
		w.slices[i].group = Group(t.Name, division.First+uint8(i), groups)
	}
	old := w.burst
	w.rate, w.burst = float64(rate)/microPerToken, float64(burst)
	w.reportTime = maxReportTime
	if w.burst < minAheadBurst {
		w.reportTime = minReportTime
	} else if rate > 0 {
		fill := w.burst / w.rate / reportParts
		w.reportTime = time.Duration(min(max(fill, minReportTime.Seconds()), maxReportTime.Seconds()) * float64(time.Second))
	}
	if w.burst < old {
		w.reduce(now, int(float64(w.stock)*w.burst/old))
	}
}

// Idle tells whether Requests has nothing to send, now or later, until Take
// returns MustAsk.
func (h *Holder) Idle() bool {
	if len(h.pending) > 0 {
		return false
	}
	for _, w := range h.order {
		if len(w.grants) > 0 || w.waiting > 0 {
			return false
		}
	}
	return true
}

// ReturnAll gives back all tokens, for a planned stop. The next Requests sends
// the returns.
func (h *Holder) ReturnAll(now time.Time) {
	for _, w := range h.order {
		w.reduce(now, 0)
		if len(w.grants) > 0 {
			w.reportAt = now
		}
	}
}
