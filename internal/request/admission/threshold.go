package admission

import (
	"math"
	"slices"
	"time"

	"tarragonshore.example/tarragonshore/internal/connection/wire"
)

const (
	hashes = 256
	// maxLevel admits everything; a level admits the requests whose key is less.
	maxLevel = importances * hashes
	// minLevel keeps a trickle of the most important requests, without which
	// nothing would be measured any more.
	minLevel = 2

	// thresholdWindow is the time between changes of a level.
	thresholdWindow = 50 * time.Millisecond
	// windowWeight smooths the counts per window.
	windowWeight = 0.2
	// fullSample is the width of a part of an importance that is smoothed with
	// the full weight.
	fullSample = 16
	// slackWeight smooths the time that requests can wait. The target of the
	// queueing time is at most half of it.
	slackWeight = 0.05
	// damping is the weight of the difference between served and admitted rate,
	// which are both counts of a few requests per window.
	damping = 0.6
	// surplus is the ratio of admitted to served rate that a cut leaves: a queue
	// with a bounded wait sheds the rest. Without it the threshold also shed
	// requests of workspaces within their share when arrivals came in bursts.
	surplus = 1.35
	// Bounds of the change of the admitted rate per window.
	maxCut   = 0.5
	maxRaise = 1.1
	// blindStep is the raise where nothing is known about the demand.
	blindStep = 16
	// maxDoublings bounds how often a raise doubles while the server is partly
	// idle. It doubles to recover from any level within a second.
	maxDoublings = 6

	// belowReports is the number of the latest runs whose reports of the levels
	// below are compared. The median counts, so that a service that few runs
	// call does not shed the others.
	belowReports = 3
	// quietTime is the time without a report after which the level that follows
	// the services below rises, by quietStep at first and then doubling.
	quietTime = 300 * time.Millisecond
	quietStep = 4
)

// toThreshold converts a level to its form on the wire.
func toThreshold(level int) wire.Threshold {
	importance := (level - 1) / hashes
	return wire.Threshold{Importance: uint8(importance), Hash: uint16(level - importance*hashes)}
}

// AdmitsAll returns the threshold that sheds nothing.
func AdmitsAll() wire.Threshold { return toThreshold(maxLevel) }

// fromThreshold converts a threshold from a peer to a level.
func fromThreshold(t wire.Threshold) int {
	return min(int(min(t.Importance, importances-1))*hashes+int(min(t.Hash, hashes)), maxLevel)
}

// level is the shedding threshold of one workspace. It is per workspace, since
// a common one would shed a workspace that uses less than its share as much as
// the one that causes the overload.
//
// own follows the workspace's queue: while the queueing time is above its
// target, the admitted rate moves towards the served rate times surplus.
// below is the level of the services that the server calls, as their answers
// told it, so that trees which those would shed are shed before they run here.
// It follows each report at once. When it was inferred from the hashes of shed
// runs and rose slowly, it fell below the level of the overloaded service, and
// the two swung between a full queue and an idle server.
type level struct {
	own   float64 // in fractions, so that small raises add up
	below int

	// In this window.
	arrivals [importances]int // admitted by the threshold
	starts   [importances]int
	least    [importances]int       // shortest queue
	waited   [classes]time.Duration // least queueing time of the starts
	hasStart [classes]bool

	// density is the smoothed number of arrivals per window and unit of the
	// level, by importance. What was known of an importance before it was shed
	// is kept: it tells how far the level can be raised.
	density    [importances]float64
	meanStarts [importances]float64 // per window
	idle       int                  // windows in a row
	slack      time.Duration        // smoothed time that requests can wait

	reports    [belowReports]int // ring of the levels below
	reportN    int
	reportedAt time.Time
	quietSteps int
}

func newLevel() level {
	l := level{own: maxLevel, below: maxLevel}
	for i := range l.reports {
		l.reports[i] = maxLevel
	}
	return l
}

// effective returns the level that applies.
func (l *level) effective() int { return min(int(l.own+0.5), l.below) }

// arrived counts a request that the threshold admitted. slack is the time
// that it can wait.
func (l *level) arrived(r *Request, slack time.Duration) {
	l.arrivals[min(r.Importance, importances-1)]++
	l.slack += time.Duration(slackWeight * float64(max(slack, 0)-l.slack))
}

// started counts a request that left the queue for the server.
func (l *level) started(class uint8, wait time.Duration) {
	l.starts[class/2]++
	if !l.hasStart[class] || wait < l.waited[class] {
		l.hasStart[class], l.waited[class] = true, wait
	}
}

// reportBelow takes the level of the services that a run called.
func (l *level) reportBelow(now time.Time, level int) {
	l.reports[l.reportN%belowReports] = level
	l.reportN++
	l.reportedAt = now
	l.quietSteps = 0
	sorted := l.reports
	slices.Sort(sorted[:])
	l.below = max(sorted[belowReports/2], minLevel)
}

// tick ends a window. idle tells that the server was not at its limit for
// most of the window.
func (l *level) tick(now time.Time, w *workspace, target time.Duration, idle bool) {
	l.measure()
	target = min(target, l.slack/2)
	l.moveOwn(l.delay(now, w), l.floor(now, w, target), target, idle)
	l.raiseBelow(now)
	l.arrivals = [importances]int{}
	l.starts = [importances]int{}
	for i := range l.least {
		l.least[i] = w.queues[2*i].n + w.queues[2*i+1].n
	}
	l.hasStart = [classes]bool{}
}

// width returns how much of an importance a level admits.
func width(level float64, importance int) float64 {
	return min(max(level-float64(importance*hashes), 0), hashes)
}

// measure adds the counts of the window to the smoothed ones.
func (l *level) measure() {
	for i := range l.arrivals {
		if n := width(float64(l.effective()), i); n > 0 {
			// A narrow part of an importance is a small sample of it.
			weight := windowWeight * min(1, n/fullSample)
			l.density[i] += weight * (float64(l.arrivals[i])/n - l.density[i])
		}
	}
	for i, n := range l.starts {
		l.meanStarts[i] += windowWeight * (float64(n) - l.meanStarts[i])
	}
}

// delay returns the time that the standing queue of an importance takes at the
// rate at which it is served, for the importance in which it is longest. Queues
// that were empty once in the window do not count: they come from the
// variation of arrivals.
func (l *level) delay(now time.Time, w *workspace) time.Duration {
	var longest time.Duration
	for i, n := range l.least {
		if n == 0 {
			continue
		}
		d := time.Duration(float64(n) / max(l.meanStarts[i], 0.1) * float64(thresholdWindow))
		oldest := thresholdWindow
		for _, f := range w.queues[2*i : 2*i+2] {
			if f.head != nil {
				oldest = max(oldest, now.Sub(f.head.queuedAt))
			}
		}
		longest = max(longest, min(d, oldest))
	}
	return longest
}

// served returns the smoothed number of starts per window.
func (l *level) served() (total float64) {
	for _, n := range l.meanStarts {
		total += n
	}
	return total
}

// floor returns the most important class whose requests waited longer than
// the target. Nothing above it has to be shed.
func (l *level) floor(now time.Time, w *workspace, target time.Duration) int {
	for c := range w.queues {
		d := l.waited[c]
		if !l.hasStart[c] {
			d = 0
			if head := w.queues[c].head; head != nil {
				d = now.Sub(head.queuedAt)
			}
		}
		if d > target {
			return c
		}
	}
	return classes - 1
}

// moveOwn moves the level that follows the queue.
func (l *level) moveOwn(delay time.Duration, floor int, target time.Duration, idle bool) {
	if idle && delay == 0 {
		l.idle++
		l.forget()
	} else {
		l.idle = 0
	}
	if delay <= target && l.own == maxLevel {
		return
	}
	admitted := 0.0
	for i, d := range l.density {
		admitted += d * width(l.own, i)
	}
	factor := maxRaise
	if admitted > 0 {
		factor = 1 + damping*(surplus*l.served()/admitted-1)
	}
	if delay > target {
		l.cut(admitted*(1-min(max(factor, maxCut), 1)), float64(max(minLevel, floor/2*hashes)))
	} else {
		amount := max(admitted*(min(max(factor, 1), maxRaise)-1), 0.1)
		l.raise(amount * float64(int(1)<<min(l.idle, maxDoublings)))
	}
}

// forget halves what is known of the demand that is shed: with the server
// partly idle, it is probably no longer there.
func (l *level) forget() {
	for i := int(l.own / hashes); i < importances; i++ {
		if width(l.own, i) == 0 {
			l.density[i] /= 2
		}
	}
}

// cut lowers the level, at most to lowest, so that amount fewer requests per
// window are admitted.
func (l *level) cut(amount, lowest float64) {
	for amount > 0 && l.own > lowest {
		i := int(math.Ceil(l.own/hashes)) - 1
		if part := l.density[i] * width(l.own, i); part <= amount {
			amount -= part
			l.own = max(float64(i*hashes), lowest)
			continue
		}
		l.own = max(l.own-amount/l.density[i], lowest)
		return
	}
}

// raise raises the level so that amount more requests per window are admitted.
func (l *level) raise(amount float64) {
	for amount > 0 && l.own < maxLevel {
		i := int(l.own / hashes)
		if l.density[i] == 0 {
			l.own = min(l.own+float64(int(blindStep)<<min(l.idle, maxDoublings)), maxLevel)
			return
		}
		rest := hashes - width(l.own, i)
		if part := l.density[i] * rest; part <= amount {
			amount -= part
			l.own = float64((i + 1) * hashes)
			continue
		}
		l.own += amount / l.density[i]
		return
	}
}

// raiseBelow raises the level that follows the services below when no run
// reports them any more.
func (l *level) raiseBelow(now time.Time) {
	if l.below == maxLevel || now.Sub(l.reportedAt) <= quietTime {
		return
	}
	l.below = min(l.below+quietStep<<min(l.quietSteps, 8), maxLevel)
	l.quietSteps++
}
