// The holder: the tokens that a daemon has obtained from the keepers.

package ratelimit

import (
	"math/rand/v2"
	"slices"
	"time"

	"tarragonshore.example/tarragonshore/internal/version/tables"
)

// workspaceTokens is a holder's state of one workspace.
type workspaceTokens struct {
	name       string
	rate       float64       // requests/s
	burst      float64       // requests
	reportTime time.Duration // delay from the use of a token to its report
	division   Division
	slices     [MaxSlices]heldSlice // [:division.Count]
	nextSlice  uint8                // index of the slice to ask next

	grants     []heldGrant // in order of their ends
	current    int         // index of the first grant that may have tokens left
	tokensLeft int         // tokens left, including those of ended grants until spend or prune returns them

	recentRate        float64 // average of the recent request rate, in requests/s, at recentRateUpdated
	recentRateUpdated time.Time
	waiting           int // requests with the verdict AwaitGrant that still wait

	prefetchBelow  int       // number of tokens left below which more are prefetched
	nextSpareAt    time.Time // earliest time of the next message for spare tokens only
	nextPrefetchAt time.Time // earliest time of the next message that prefetches tokens
	reportAt       time.Time // when the next report is due; zero if there is nothing to report
}

// Holder has the tokens of one daemon for all workspaces and decides with them whether
// requests are admitted.
type Holder struct {
	groups  uint32
	number  uint64 // of the last message to a keeper
	byName  map[string]*workspaceTokens
	ordered []*workspaceTokens // all workspaces, in a fixed order, unlike the iteration over a map
	pending map[uint64]*pendingMessage
	rng     *rand.Rand
}

// NewHolder returns a holder without workspaces. rng selects, for each workspace, the
// slice that it asks first, so that the holders spread over the slices.
func NewHolder(groups uint32, rng *rand.Rand) *Holder {
	return &Holder{
		groups: groups, rng: rng,
		byName:  map[string]*workspaceTokens{},
		pending: map[uint64]*pendingMessage{},
	}
}

// SetLimits applies the limits of all workspaces. If a burst is lowered, the
// holder returns tokens in proportion, so that all holders together have at most
// the new burst.
func (h *Holder) SetLimits(now time.Time, workspaces []tables.Workspace) {
	listed := make(map[string]bool, len(workspaces))
	for _, row := range workspaces {
		listed[row.Name] = true
		w := h.byName[row.Name]
		if w == nil {
			w = &workspaceTokens{name: row.Name, recentRateUpdated: now, nextSlice: uint8(h.rng.IntN(MaxSlices))}
			h.byName[row.Name] = w
			h.ordered = append(h.ordered, w)
		}
		w.setLimit(now, row, h.groups)
	}
	h.ordered = slices.DeleteFunc(h.ordered, func(w *workspaceTokens) bool {
		if listed[w.name] {
			return false
		}
		w.setLimit(now, tables.Workspace{Name: w.name}, h.groups)
		if len(w.grants) > 0 || w.waiting > 0 {
			return false
		}
		delete(h.byName, w.name)
		return true
	})
}

// setLimit applies the limit of the workspace and returns tokens that it no longer
// allows.
func (w *workspaceTokens) setLimit(now time.Time, row tables.Workspace, groups uint32) {
	division := Divide(row)
	if division.Count != w.division.Count {
		w.returnDownTo(now, 0) // tokens of the former slices must not be spent any more
		w.slices = [MaxSlices]heldSlice{}
	}
	w.division = division
	var rate, burst uint64
	for i, limit := range division.Limits[:division.Count] {
		rate += limit.MicroRate
		burst += limit.Burst
		w.slices[i].group = Group(row.Name, division.First+uint8(i), groups)
	}
	oldBurst := w.burst
	w.rate, w.burst = float64(rate)/microPerToken, float64(burst)
	w.reportTime = maxReportTime
	if w.burst < minPrefetchBurst {
		w.reportTime = minReportTime
	} else if rate > 0 {
		fill := w.burst / w.rate / reportParts
		w.reportTime = time.Duration(min(max(fill, minReportTime.Seconds()), maxReportTime.Seconds()) * float64(time.Second))
	}
	if w.burst < oldBurst {
		w.returnDownTo(now, int(float64(w.tokensLeft)*w.burst/oldBurst))
	}
}

// Idle reports whether GrantRequests will return nothing until Take returns AwaitGrant.
func (h *Holder) Idle() bool {
	if len(h.pending) > 0 {
		return false
	}
	for _, w := range h.ordered {
		if len(w.grants) > 0 || w.waiting > 0 {
			return false
		}
	}
	return true
}

// ReturnAll returns all tokens to the keepers, for a planned stop. The next call of
// GrantRequests reports them.
func (h *Holder) ReturnAll(now time.Time) {
	for _, w := range h.ordered {
		w.returnDownTo(now, 0)
		if len(w.grants) > 0 {
			w.reportAt = now
		}
	}
}
