// Package routing chooses the upstream of an attempt from what this daemon
// knows about a pool. Table is a pure state machine and not safe for
// concurrent use.
package routing

import (
	"iter"
	"math/rand/v2"
	"time"
)

const (
	// DefaultWarmUp is the default of tables.Pool.WarmUp.
	DefaultWarmUp = 10 * time.Second
	// minWarmShare is the share of an upstream that has just become ready.
	minWarmShare = 0.05
	// smoothing is the weight of the newest time in the smoothed time.
	smoothing = 0.2
	// initialTime is assumed while no upstream of the pool has answered.
	initialTime = 10 * time.Millisecond
	// forgetTime is the time after which an upstream's smoothed time no longer
	// counts. Without it an upstream that was slow once is never measured again.
	forgetTime = 2 * time.Second

	// failuresInRow sets an upstream aside.
	failuresInRow = 3
	// Times for which an upstream is set aside; the time doubles each time
	// that it fails again.
	minSetAside = time.Second
	maxSetAside = 30 * time.Second
)

// Record is what membership says about one upstream of the pool.
type Record struct {
	ID   string // unique name of the backend server
	Zone string
	// Usable is true for an alive member whose backend server is ready and
	// neither draining nor leaving, with the drain flag of the tables off.
	Usable bool
	// ReadySince is when the backend server became ready, for the warm-up.
	ReadySince time.Time
}

// Thresholds tells whether a known shedding threshold admits a request.
// *admission.Hints implements it.
type Thresholds interface {
	Allows(now time.Time, upstream, workspace string, importance, rootHash uint8) bool
}

// Request is what the choice depends on.
type Request struct {
	Workspace  string
	Importance uint8
	RootHash   uint8
	// Exclude lists upstreams that refused or failed this request.
	Exclude []string
}

// Reason is why an upstream was chosen, or why none was.
type Reason string

// The reasons. The first four come with an upstream.
const (
	ReasonLowerCost  Reason = "lower-cost"       // the better of two
	ReasonOnlyOne    Reason = "only-candidate"   // no second candidate
	ReasonAdmitting  Reason = "only-admitting"   // the others shed the request
	ReasonSetAside   Reason = "all-set-aside"    // every candidate is set aside; used nevertheless
	ReasonNoMembers  Reason = "no-members"       // the pool is empty
	ReasonNoneUsable Reason = "no-usable-member" // none is ready
	ReasonExcluded   Reason = "all-excluded"     // all usable ones refused or failed this request
	ReasonOverloaded Reason = "overloaded"       // all usable ones shed the request
)

// Choice is the result of Pick.
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
	Shed                        // refused by threshold, full queue or the server's own 503
	Drained                     // refused because the upstream is leaving
	Abandoned                   // cancelled by this side; says nothing about the upstream
)

// upstream is the state of one upstream.
type upstream struct {
	Record
	inFlight  int
	smoothed  time.Duration // 0: not measured
	measured  time.Time
	drained   bool // refused as draining; holds until its record changes
	failures  int
	setAside  time.Duration // length of the last set-aside time
	asideTill time.Time
}

// Config holds what does not change with the members.
type Config struct {
	Self   string // member name of this daemon
	Zone   string
	WarmUp time.Duration // 0: DefaultWarmUp
	// Distance returns the one-way time to a zone; nil means 0.
	Distance   func(zone string) time.Duration
	Thresholds Thresholds // nil: nothing is shed
}

// Table holds the upstreams of one pool as seen by this daemon.
type Table struct {
	config    Config
	upstreams []*upstream
	distance  []time.Duration // by index in upstreams
	byID      map[string]*upstream
	mean      time.Duration // smoothed time over the pool
}

// NewTable returns an empty table.
func NewTable(config Config) *Table {
	if config.WarmUp <= 0 {
		config.WarmUp = DefaultWarmUp
	}
	return &Table{config: config, byID: map[string]*upstream{}}
}

// SetWarmUp changes the warm-up time, as a new version of the tables may.
func (t *Table) SetWarmUp(warmUp time.Duration) {
	if warmUp <= 0 {
		warmUp = DefaultWarmUp
	}
	t.config.WarmUp = warmUp
}

// Update replaces the pool's members. What was measured about upstreams that
// stay in the subset is kept. Unusable records take no place in the subset.
func (t *Table) Update(records []Record) {
	usable := make([]Record, 0, len(records))
	for _, r := range records {
		if r.Usable {
			usable = append(usable, r)
		}
	}
	t.upstreams = t.upstreams[:0]
	t.distance = t.distance[:0]
	known := make(map[string]*upstream, MaxSubset)
	for _, r := range Subset(t.config.Self, t.config.Zone, usable) {
		u := t.byID[r.ID]
		if u == nil {
			u = &upstream{}
		}
		if !u.ReadySince.Equal(r.ReadySince) {
			// It became ready again: what was known about the old run is void.
			u.drained, u.failures, u.setAside, u.asideTill = false, 0, 0, time.Time{}
		}
		u.Record = r
		known[r.ID] = u
		t.upstreams = append(t.upstreams, u)
		var d time.Duration
		if t.config.Distance != nil {
			d = t.config.Distance(r.Zone)
		}
		t.distance = append(t.distance, d)
	}
	t.byID = known
}

// Len returns the number of upstreams in use.
func (t *Table) Len() int { return len(t.upstreams) }

// IDs returns the upstreams in use, for the links to keep open.
func (t *Table) IDs() []string {
	ids := make([]string, len(t.upstreams))
	for i, u := range t.upstreams {
		ids[i] = u.ID
	}
	return ids
}

// MeanTime returns the smoothed time of an attempt over the pool, 0 if none
// has been measured. It is the "needed" time of retry.Decide.
func (t *Table) MeanTime() time.Duration { return t.mean }

// Started counts an attempt that is sent to the upstream.
func (t *Table) Started(id string) {
	if u := t.byID[id]; u != nil {
		u.inFlight++
	}
}

// Finished ends an attempt. took is its whole time as this daemon saw it.
func (t *Table) Finished(now time.Time, id string, took time.Duration, result Result) {
	u := t.byID[id]
	if u == nil {
		return
	}
	u.inFlight = max(0, u.inFlight-1)
	switch result {
	case Succeeded:
		u.failures, u.setAside = 0, 0
		t.measure(now, u, took)
	case Failed:
		t.fail(now, u)
	case Drained:
		u.drained = true
	}
}

// measure adds a time to the smoothed times of the upstream and of the pool.
func (t *Table) measure(now time.Time, u *upstream, took time.Duration) {
	if u.smoothed == 0 || now.Sub(u.measured) > forgetTime {
		u.smoothed = took
	} else {
		u.smoothed += time.Duration(smoothing * float64(took-u.smoothed))
	}
	u.measured = now
	if t.mean == 0 {
		t.mean = took
	} else {
		t.mean += time.Duration(smoothing / 4 * float64(took-t.mean))
	}
}

// fail counts a failure and sets the upstream aside after several in a row,
// unless half of the upstreams already are: then the fault is more likely
// elsewhere, and the rest would be overloaded.
func (t *Table) fail(now time.Time, u *upstream) {
	u.failures++
	if u.failures < failuresInRow || now.Before(u.asideTill) {
		return
	}
	aside := 0
	for _, other := range t.upstreams {
		if now.Before(other.asideTill) {
			aside++
		}
	}
	if 2*(aside+1) > len(t.upstreams) {
		return
	}
	u.setAside = min(max(2*u.setAside, minSetAside), maxSetAside)
	u.asideTill = now.Add(u.setAside)
	u.failures = failuresInRow - 1 // the next failure after the return counts fully
}

// share is the part of its full load that the upstream takes while warming up.
func (t *Table) share(now time.Time, u *upstream) float64 {
	age := now.Sub(u.ReadySince)
	if age >= t.config.WarmUp {
		return 1
	}
	return max(minWarmShare, float64(age)/float64(t.config.WarmUp))
}

// candidates is the working set of one Pick; it stays on the stack.
type candidates struct {
	n     int
	index [MaxSubset]uint8
	share [MaxSubset]float64
	total float64
}

// remove takes the candidate at position i out.
func (c *candidates) remove(i int) {
	c.total -= c.share[i]
	c.n--
	c.index[i], c.share[i] = c.index[c.n], c.share[c.n]
}

// draw takes a random candidate out, in proportion to its share.
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
// none; the reason then tells which refusal applies (Reason.Kind).
func (t *Table) Pick(now time.Time, rng *rand.Rand, r Request) (choice Choice, ok bool) {
	var c candidates
	reason := t.collect(now, r.Exclude, false, &c)
	aside := false
	if c.n == 0 && reason == ReasonSetAside {
		aside = true
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
	if aside {
		reason = ReasonSetAside
	}
	return Choice{ID: t.upstreams[best].ID, Reason: reason}, true
}

// Usable yields the ids of the upstreams that can be chosen now.
func (t *Table) Usable(now time.Time) iter.Seq[string] {
	return func(yield func(string) bool) {
		for _, u := range t.upstreams {
			if !u.drained && !now.Before(u.asideTill) && !yield(u.ID) {
				return
			}
		}
	}
}

// collect fills c with the usable upstreams and returns why there is none.
func (t *Table) collect(now time.Time, exclude []string, withAside bool, c *candidates) Reason {
	reason := ReasonNoMembers
	for i, u := range t.upstreams {
		switch {
		case u.drained:
			reason = worse(reason, ReasonNoneUsable)
		case excluded(exclude, u.ID):
			reason = worse(reason, ReasonExcluded)
		case !withAside && now.Before(u.asideTill):
			reason = ReasonSetAside
		default:
			c.index[c.n] = uint8(i)
			c.share[c.n] = t.share(now, u)
			c.total += c.share[c.n]
			c.n++
		}
	}
	return reason
}

// worse keeps the reason that says more about why no upstream was found.
func worse(current, next Reason) Reason {
	if current == ReasonSetAside || (current == ReasonExcluded && next == ReasonNoneUsable) {
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

// drawAdmitting draws candidates until one admits the request.
func (t *Table) drawAdmitting(now time.Time, rng *rand.Rand, r Request, c *candidates) (uint8, float64, bool) {
	for c.n > 0 {
		i, share := c.draw(rng)
		if t.config.Thresholds == nil ||
			t.config.Thresholds.Allows(now, t.upstreams[i].ID, r.Workspace, r.Importance, r.RootHash) {
			return i, share, true
		}
	}
	return 0, 0, false
}

// cost is (in flight + 1) × smoothed time + distance. The requests in flight at
// a warming upstream count more, by its share: having few of them, it would
// otherwise win each comparison and take twice its share.
func (t *Table) cost(now time.Time, i uint8, share float64) float64 {
	u := t.upstreams[i]
	smoothed := u.smoothed
	if smoothed == 0 || now.Sub(u.measured) > forgetTime {
		smoothed = t.mean
	}
	if smoothed == 0 {
		smoothed = initialTime
	}
	return (float64(u.inFlight)/share+1)*float64(smoothed) + float64(t.distance[i])
}
