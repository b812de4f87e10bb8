// Package routing chooses the upstream of an attempt by what this daemon has
// measured itself: requests in flight, times, failures and shedding thresholds of
// the upstreams of a pool. Package daemon uses it; package agent uses placement instead.
//
// Table is a pure state machine and not safe for concurrent use.
package routing

import (
	"iter"
	"math/rand/v2"
	"time"
)

const (
	// DefaultWarmUp is the default of tables.Pool.WarmUp.
	DefaultWarmUp = 10 * time.Second
	// minWarmUpShare is the share of the full load that an upstream gets when it has
	// just become ready.
	minWarmUpShare = 0.05
	// smoothingWeight is the weight of the newest time in the smoothed time of an
	// upstream. In that of the pool, the newest time has a quarter of this weight.
	smoothingWeight = 0.2
	// assumedAttemptTime is the time of an attempt that is assumed while no upstream of
	// the pool has answered.
	assumedAttemptTime = 10 * time.Millisecond
	// measurementTTL is the time after which an upstream's smoothed time expires.
	// Without it, an upstream that was slow once would never be measured again.
	measurementTTL = 2 * time.Second

	// ejectAfterFailures is the number of consecutive failures that eject an upstream:
	// it is not chosen during the ejection time, unless all candidates are ejected.
	ejectAfterFailures = 3
	// Bounds of the ejection time, which doubles each time the upstream fails again
	// after its return.
	minEjectionTime = time.Second
	maxEjectionTime = 30 * time.Second
)

// Record is the membership information about one upstream of the pool.
type Record struct {
	ID   string // unique name of the backend server
	Zone string
	// Usable is true for an alive member whose backend server is ready, neither
	// draining nor leaving, and not marked as draining in the tables.
	Usable bool
	// ReadySince is when the backend server became ready, for the warm-up.
	ReadySince time.Time
}

// Thresholds checks requests against the known shedding thresholds of upstreams.
// *admission.ThresholdCache implements it.
type Thresholds interface {
	Admits(now time.Time, upstream, workspace string, importance, rootHash uint8) bool
}

// Request holds the properties of a request on which the choice depends.
type Request struct {
	Workspace  string
	Importance uint8 // lower is more important
	RootHash   uint8 // hash of the caller's request at the root of the call tree
	// Exclude lists upstreams that refused or failed this request.
	Exclude []string
}

// Reason is why an upstream was chosen, or why none was.
type Reason string

// The reasons. The first four come with an upstream.
const (
	ReasonLowerCost  Reason = "lower-cost"       // the cheaper of two candidates
	ReasonOnlyOne    Reason = "only-candidate"   // no second candidate
	ReasonAdmitting  Reason = "only-admitting"   // the other candidates would shed the request
	ReasonAllEjected Reason = "all-set-aside"    // every candidate is ejected; one is used nevertheless
	ReasonNoMembers  Reason = "no-members"       // membership lists no usable upstream of the pool
	ReasonNoneUsable Reason = "no-usable-member" // every upstream in use refused an attempt because it is draining
	ReasonExcluded   Reason = "all-excluded"     // all usable ones refused or failed this request
	ReasonOverloaded Reason = "overloaded"       // all usable ones would shed the request
)

// Choice is the result of Pick; ID is empty if no upstream was found.
type Choice struct {
	ID     string
	Reason Reason
}

// Result is how an attempt at an upstream ended.
type Result uint8

// The results.
const (
	Succeeded Result = iota + 1 // any complete response, also an error of the request
	Failed                      // no answer, a truncated answer, or an unreachable server
	Shed                        // refused by threshold, by full queue or with the server's own 503
	Draining                    // refused because the upstream is draining
	Cancelled                   // cancelled by this daemon; not a failure of the upstream
)

// upstream is the state of one upstream.
type upstream struct {
	Record
	inFlight            int
	smoothedTime        time.Duration // smoothed time of an attempt; 0 if not measured
	measuredAt          time.Time
	draining            bool // it refused an attempt as draining; reset when ReadySince changes
	consecutiveFailures int
	ejectionTime        time.Duration // length of the last ejection; 0 after a success
	ejectedUntil        time.Time
}

// Config holds the settings of a table that do not depend on the pool's members.
type Config struct {
	Self   string // member name of this daemon
	Zone   string
	WarmUp time.Duration // 0: DefaultWarmUp
	// Latency returns the one-way network latency to a zone; nil means 0.
	Latency    func(zone string) time.Duration
	Thresholds Thresholds // nil: nothing is shed
}

// Table holds the upstreams of one pool as seen by this daemon.
type Table struct {
	config    Config
	upstreams []*upstream
	latency   []time.Duration // one-way, to the upstream's zone; by index in upstreams
	byID      map[string]*upstream
	mean      time.Duration // smoothed time of an attempt over the pool; 0 if not measured
}

// NewTable returns an empty table.
func NewTable(config Config) *Table {
	if config.WarmUp <= 0 {
		config.WarmUp = DefaultWarmUp
	}
	return &Table{config: config, byID: map[string]*upstream{}}
}

// SetWarmUp changes the warm-up time, for example after the tables change.
func (t *Table) SetWarmUp(warmUp time.Duration) {
	if warmUp <= 0 {
		warmUp = DefaultWarmUp
	}
	t.config.WarmUp = warmUp
}

// Update replaces the pool's members and recomputes the subset in use from the
// usable ones. The state of upstreams that stay in the subset is kept.
func (t *Table) Update(records []Record) {
	usable := make([]Record, 0, len(records))
	for _, r := range records {
		if r.Usable {
			usable = append(usable, r)
		}
	}
	t.upstreams = t.upstreams[:0]
	t.latency = t.latency[:0]
	known := make(map[string]*upstream, MaxSubset)
	for _, r := range Subset(t.config.Self, t.config.Zone, usable) {
		u := t.byID[r.ID]
		if u == nil {
			u = &upstream{}
		}
		if !u.ReadySince.Equal(r.ReadySince) {
			// The backend server became ready again: discard failures of its previous run.
			u.draining, u.consecutiveFailures, u.ejectionTime, u.ejectedUntil = false, 0, 0, time.Time{}
		}
		u.Record = r
		known[r.ID] = u
		t.upstreams = append(t.upstreams, u)
		var d time.Duration
		if t.config.Latency != nil {
			d = t.config.Latency(r.Zone)
		}
		t.latency = append(t.latency, d)
	}
	t.byID = known
}

// Len returns the number of upstreams in use.
func (t *Table) Len() int { return len(t.upstreams) }

// IDs returns the ids of the upstreams in use.
func (t *Table) IDs() []string {
	ids := make([]string, len(t.upstreams))
	for i, u := range t.upstreams {
		ids[i] = u.ID
	}
	return ids
}

// MeanTime returns the smoothed time of an attempt over the pool, 0 if none has been
// measured. Callers pass it to retry.Decide as the expected time of another attempt.
func (t *Table) MeanTime() time.Duration { return t.mean }

// RecordStart records an attempt sent to the upstream.
func (t *Table) RecordStart(id string) {
	if u := t.byID[id]; u != nil {
		u.inFlight++
	}
}

// RecordResult records the result of an attempt. took is its total time as measured by
// this daemon.
func (t *Table) RecordResult(now time.Time, id string, took time.Duration, result Result) {
	u := t.byID[id]
	if u == nil {
		return
	}
	u.inFlight = max(0, u.inFlight-1)
	switch result {
	case Succeeded:
		u.consecutiveFailures, u.ejectionTime = 0, 0
		t.recordTime(now, u, took)
	case Failed:
		t.recordFailure(now, u)
	case Draining:
		u.draining = true
	}
}

// recordTime adds the time of an attempt to the smoothed times of the upstream and of
// the pool.
func (t *Table) recordTime(now time.Time, u *upstream, took time.Duration) {
	if u.smoothedTime == 0 || now.Sub(u.measuredAt) > measurementTTL {
		u.smoothedTime = took
	} else {
		u.smoothedTime += time.Duration(smoothingWeight * float64(took-u.smoothedTime))
	}
	u.measuredAt = now
	if t.mean == 0 {
		t.mean = took
	} else {
		t.mean += time.Duration(smoothingWeight / 4 * float64(took-t.mean))
	}
}

// recordFailure counts a failure and ejects the upstream after ejectAfterFailures
// consecutive ones, unless that would eject more than half of the upstreams: then the
// cause is more likely elsewhere, and the remaining ones would be overloaded.
func (t *Table) recordFailure(now time.Time, u *upstream) {
	u.consecutiveFailures++
	if u.consecutiveFailures < ejectAfterFailures || now.Before(u.ejectedUntil) {
		return
	}
	ejected := 0
	for _, other := range t.upstreams {
		if now.Before(other.ejectedUntil) {
			ejected++
		}
	}
	if 2*(ejected+1) > len(t.upstreams) {
		return
	}
	u.ejectionTime = min(max(2*u.ejectionTime, minEjectionTime), maxEjectionTime)
	u.ejectedUntil = now.Add(u.ejectionTime)
	u.consecutiveFailures = ejectAfterFailures - 1 // one failure after the return ejects it again
}

// share returns the fraction of its full load that an upstream gets: less than 1
// during the warm-up.
func (t *Table) share(now time.Time, u *upstream) float64 {
	age := now.Sub(u.ReadySince)
	if age >= t.config.WarmUp {
		return 1
	}
	return max(minWarmUpShare, float64(age)/float64(t.config.WarmUp))
}

// candidates is the set of upstreams from which one call of Pick chooses, as indexes
// into Table.upstreams, with their shares. It has a fixed size so that it stays on the
// stack.
type candidates struct {
	n     int
	index [MaxSubset]uint8
	share [MaxSubset]float64
	total float64
}

// remove deletes the candidate at position i.
func (c *candidates) remove(i int) {
	c.total -= c.share[i]
	c.n--
	c.index[i], c.share[i] = c.index[c.n], c.share[c.n]
}

// draw removes and returns a random candidate, weighted by share.
func (c *candidates) draw(rng *rand.Rand) (index uint8, share float64) {
	x := rng.Float64() * c.total
	i := 0
	for ; i < c.n-1; i++ {
		if x -= c.share[i]; x < 0 {
			break
		}
	}
	index, share = c.index[i], c.share[i]
	c.remove(i)
	return index, share
}

// Pick chooses an upstream: of two random candidates that admit the request,
// the one with the lower cost. It does not allocate. ok is false if there is
// none; Reason.Kind then gives the kind of the refusal.
func (t *Table) Pick(now time.Time, rng *rand.Rand, r Request) (choice Choice, ok bool) {
	var c candidates
	reason := t.collect(now, r.Exclude, false, &c)
	allEjected := false
	if c.n == 0 && reason == ReasonAllEjected {
		allEjected = true
		t.collect(now, r.Exclude, true, &c)
	}
	if c.n == 0 {
		return Choice{Reason: reason}, false
	}
	single := c.n == 1
	first, firstShare, ok := t.drawAdmitting(now, rng, r, &c)
	if !ok {
		return Choice{Reason: ReasonOverloaded}, false
	}
	best, reason := first, ReasonOnlyOne
	if second, secondShare, ok := t.drawAdmitting(now, rng, r, &c); ok {
		reason = ReasonLowerCost
		if t.cost(now, second, secondShare) < t.cost(now, first, firstShare) {
			best = second
		}
	} else if !single {
		reason = ReasonAdmitting
	}
	if allEjected {
		reason = ReasonAllEjected
	}
	return Choice{ID: t.upstreams[best].ID, Reason: reason}, true
}

// Usable yields the ids of the upstreams that can be chosen now.
func (t *Table) Usable(now time.Time) iter.Seq[string] {
	return func(yield func(string) bool) {
		for _, u := range t.upstreams {
			if !u.draining && !now.Before(u.ejectedUntil) && !yield(u.ID) {
				return
			}
		}
	}
}

// collect fills c with the upstreams that can be chosen. If there is none, the returned
// reason says why.
func (t *Table) collect(now time.Time, exclude []string, includeEjected bool, c *candidates) Reason {
	reason := ReasonNoMembers
	for i, u := range t.upstreams {
		switch {
		case u.draining:
			reason = reasonToReport(reason, ReasonNoneUsable)
		case excluded(exclude, u.ID):
			reason = reasonToReport(reason, ReasonExcluded)
		case !includeEjected && now.Before(u.ejectedUntil):
			reason = ReasonAllEjected
		default:
			c.index[c.n] = uint8(i)
			c.share[c.n] = t.share(now, u)
			c.total += c.share[c.n]
			c.n++
		}
	}
	return reason
}

// reasonToReport returns which of two reasons for skipping upstreams to report: ejected
// upstreams can still be used, and excluded ones were at least usable.
func reasonToReport(current, next Reason) Reason {
	if current == ReasonAllEjected || (current == ReasonExcluded && next == ReasonNoneUsable) {
		return current
	}
	return next
}

func excluded(exclude []string, id string) bool {
	for _, e := range exclude {
		if e == id {
			return true
		}
	}
	return false
}

// drawAdmitting draws candidates until one's shedding thresholds admit the request. It
// returns the candidate's index and share, and false if no candidate admits it.
func (t *Table) drawAdmitting(now time.Time, rng *rand.Rand, r Request, c *candidates) (uint8, float64, bool) {
	for c.n > 0 {
		i, share := c.draw(rng)
		if t.config.Thresholds == nil ||
			t.config.Thresholds.Admits(now, t.upstreams[i].ID, r.Workspace, r.Importance, r.RootHash) {
			return i, share, true
		}
	}
	return 0, 0, false
}

// cost estimates the completion time of another attempt at an upstream, in
// nanoseconds: (in flight + 1) × smoothed time + latency to its zone. The requests in
// flight at an upstream that is warming up are divided by its share: since it has few
// of them, it would otherwise win every comparison and get twice its share.
func (t *Table) cost(now time.Time, i uint8, share float64) float64 {
	u := t.upstreams[i]
	smoothedTime := u.smoothedTime
	if smoothedTime == 0 || now.Sub(u.measuredAt) > measurementTTL {
		smoothedTime = t.mean
	}
	if smoothedTime == 0 {
		smoothedTime = assumedAttemptTime
	}
	return (float64(u.inFlight)/share+1)*float64(smoothedTime) + float64(t.latency[i])
}
