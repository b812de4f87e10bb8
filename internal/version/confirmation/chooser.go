package confirmation

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// settleTime is how long after the first read of the directory a starting daemon
	// waits for the statuses of the others. Otherwise, when all daemons start at once,
	// each would take itself for the reader of its zone.
	settleTime = 150 * time.Millisecond
	// maxStartWait is the time after the start at which a daemon without tables reads
	// the store, whatever it knows of the others.
	maxStartWait = 700 * time.Millisecond
	// staleAge is the age of an answer above which another member is asked: a reader
	// whose reads succeed is never that old.
	staleAge = 2400 * time.Millisecond
	// avoidTime is how long a member is not asked after it failed to answer or gave a
	// stale answer.
	avoidTime = time.Second
	// fallbackAge is the age of the tables at which a daemon that finds nobody to ask
	// reads the store itself. fallbackSpread spreads the daemons over time.
	fallbackAge    = 1900 * time.Millisecond
	fallbackSpread = 600 * time.Millisecond
	// The delay before the next call to the store after one or more failures in a row.
	minStoreDelay = 150 * time.Millisecond
	maxStoreDelay = 600 * time.Millisecond
	// The delay of daemons that do not read for their zone doubles with each failure: they
	// are many, and calls that the store refuses cost it as much as others.
	minFallbackDelay = 500 * time.Millisecond
	maxFallbackDelay = 2 * time.Second
	// maxParkAge is the age of the tables up to which a question is parked. A parked
	// question is answered when the reader's next poll ends, and until then the tables
	// grow older.
	maxParkAge = time.Second
	// askInterval is the least time between two questions that are answered at once.
	askInterval = 300 * time.Millisecond
	// idlePause is the time after which a daemon that has nothing to do decides again.
	idlePause = 50 * time.Millisecond
)

// Kind is the kind of a Step.
type Kind uint8

// The kinds of steps.
const (
	Poll      Kind = iota + 1 // read the store and wait for publications
	ReadStore                 // read the store without waiting
	Ask                       // ask Member
	Pause                     // do nothing for the time Pause
)

// Step is what a daemon does next to confirm its tables.
type Step struct {
	Kind   Kind
	Member string
	// Park is true if the answer may wait for the member's next confirmation.
	Park  bool
	Pause time.Duration
}

// State is what a decision depends on.
type State struct {
	Members []Member
	Version uint64        // of the tables in force, 0 if there are none
	Age     time.Duration // since the tables were confirmed
	// Started is the time since the daemon's start, Listed the time since it first read
	// the directory, 0 if it has not.
	Started, Listed time.Duration
	// Restored is true if the store was ever restored from an older copy. It may then lack
	// versions that members have in force.
	Restored bool
}

// Chooser chooses the source of the next confirmation.
type Chooser struct {
	self, zone string
	reading    bool          // this daemon has to read the store for its zone
	confirmed  bool          // the last read of the store for the zone succeeded
	failures   int           // calls to the store that failed in a row
	storeAt    time.Duration // no call to the store before
	askAt      time.Duration // no question before, except for newer tables
	// recheck is true if the last read of the store returned publications. They were
	// written at an unknown time since the read began, so only another read confirms
	// that they are the newest.
	recheck bool
	wanted  uint64                   // version that the member asked last is known to have
	avoid   map[string]time.Duration // by member, the time until which it is not asked
	fresh   string                   // member that gave the last answer, "" after a failure
}

// NewChooser returns the chooser of a daemon.
func NewChooser(self, zone string) *Chooser {
	return &Chooser{self: self, zone: zone, avoid: make(map[string]time.Duration)}
}

// Reads reports whether the daemon reads the store for its zone and the last read
// succeeded.
func (c *Chooser) Reads() bool { return c.reading && c.confirmed }

// StoreLost reports whether the daemon has to read the store for its zone and the last
// read failed.
func (c *Chooser) StoreLost() bool { return c.reading && c.failures > 0 }

// Next decides the next step.
func (c *Chooser) Next(now time.Duration, s State) Step {
	if s.Version == 0 && s.Started < maxStartWait && (s.Listed == 0 || s.Listed < settleTime) {
		if member, ok := c.candidate(now, s); ok {
			c.wanted = member.Version
			return Step{Kind: Ask, Member: member.Name}
		}
		return Step{Kind: Pause, Pause: idlePause}
	}
	if c.reading = isReader(c.self, c.zone, c.reading, s.Members); !c.reading {
		c.confirmed = false
	}
	member, ok := c.candidate(now, s)
	newer := c.newestVersion(s) > s.Version
	fetchable := ok && member.Version > s.Version
	switch {
	case c.reading && fetchable && s.Restored: // the store may never return that version
	case c.reading && c.failures == 0 && !c.recheck:
		return Step{Kind: Poll}
	case c.reading && now >= c.storeAt:
		return Step{Kind: ReadStore}
	}
	switch {
	case newer && !fetchable && now >= c.storeAt:
		return Step{Kind: ReadStore} // the newer tables are at members that do not answer
	case ok && (fetchable || now >= c.askAt):
		park := !c.reading && !fetchable && member.Name == c.fresh && s.Age <= maxParkAge
		if !park {
			c.askAt = now + askInterval
		}
		c.wanted = member.Version
		return Step{Kind: Ask, Member: member.Name, Park: park}
	case !ok && now >= c.storeAt && s.Started >= maxStartWait && s.Age > c.fallbackAge():
		return Step{Kind: ReadStore}
	}
	return Step{Kind: Pause, Pause: idlePause}
}

// newestVersion returns the newest version that a member has in force.
func (c *Chooser) newestVersion(s State) uint64 {
	newest := uint64(0)
	for _, m := range s.Members {
		newest = max(newest, m.Version)
	}
	return newest
}

// fallbackAge returns the age of the tables at which this daemon reads the store itself.
func (c *Chooser) fallbackAge() time.Duration {
	spread := float64(xxhash.Sum64String(c.self)%1000) / 1000
	return fallbackAge + time.Duration(spread*float64(fallbackSpread))
}

// candidate returns the member to ask. Members with newer tables come first, then
// readers; of equal ones, those of this daemon's zone.
func (c *Chooser) candidate(now time.Duration, s State) (best Member, found bool) {
	bestRank := [3]int{}
	for _, m := range s.Members {
		newer := m.Version > s.Version
		if m.Name == c.self || !m.Answers || !m.Reads && !newer || m.Version < s.Version || now < c.avoid[m.Name] {
			continue
		}
		rank := [3]int{rankOf(newer), rankOf(m.Reads), rankOf(m.Zone == c.zone)}
		order := slices.Compare(rank[:], bestRank[:])
		if !found || order > 0 || order == 0 && precedes(c.self+m.Name, c.self+best.Name) {
			best, bestRank, found = m, rank, true
		}
	}
	return best, found
}

func rankOf(condition bool) int {
	if condition {
		return 1
	}
	return 0
}

// Answered records a member's answer, after which the tables here have the given
// version and age.
func (c *Chooser) Answered(now time.Duration, member string, version uint64, age time.Duration) {
	maps.DeleteFunc(c.avoid, func(_ string, until time.Duration) bool { return now >= until })
	if c.fresh = member; version < c.wanted || age > staleAge {
		c.Unanswered(now, member)
	}
}

// Unanswered records that a member did not answer, or that its answer proved nothing.
func (c *Chooser) Unanswered(now time.Duration, member string) {
	c.avoid[member] = now + avoidTime
	c.fresh, c.askAt = "", 0
}

// StoreRead records the result of a call to the store. published is true if it returned
// publications.
func (c *Chooser) StoreRead(now time.Duration, succeeded, published bool) {
	if succeeded {
		c.failures, c.storeAt, c.confirmed, c.recheck = 0, 0, c.reading, published && c.reading
		if !c.reading {
			c.storeAt = now + minFallbackDelay
		}
		return
	}
	c.failures++
	c.confirmed = false
	delay := min(time.Duration(c.failures)*minStoreDelay, maxStoreDelay)
	if !c.reading {
		delay = min(minFallbackDelay<<min(c.failures-1, 8), maxFallbackDelay)
	}
	c.storeAt = now + delay
}
