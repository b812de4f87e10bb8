package admission

import (
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
	minLevel = 8

	// thresholdWindow is the time between changes of a level.
	thresholdWindow = 50 * time.Millisecond
	// windowWeight smooths the counts per window.
	windowWeight = 0.2
	// correction is the time in which an excess of queueing time is worked off.
	correction = 200 * time.Millisecond
	// Bounds of the change of the admitted rate per window.
	maxCut   = 0.5
	maxRaise = 1.1
	// blindStep is the raise where nothing is known about the demand; it
	// doubles while nothing waits, to recover from any level within a second.
	blindStep = 16

	// Raise per window of the level that follows shedding below, as a share of
	// the level. It is small, since every request above that level is run in
	// vain; it doubles when nothing was shed below for quietTime.
	belowStep = 0.005
	quietTime = 300 * time.Millisecond
	// belowSamples bounds what is kept per window to find that level.
	belowSamples = 64
)

// toThreshold converts a level to its form on the wire.
func toThreshold(level int) wire.Threshold {
	importance := (level - 1) / hashes
	return wire.Threshold{Importance: uint8(importance), Hash: uint16(level - importance*hashes)}
}

// fromThreshold converts a threshold from a peer to a level.
func fromThreshold(t wire.Threshold) int {
	return min(int(min(t.Importance, importances-1))*hashes+int(min(t.Hash, hashes)), maxLevel)
}

// belowSample is a finished request that may have been shed by a service below.
type belowSample struct {
	key  int
	shed bool
}

// level is the shedding threshold of one workspace. It is per workspace, since
// a common one would shed a workspace that uses less than its share as much as
// the one that causes the overload.
//
// own follows the workspace's queueing time: the admitted rate is set to the
// served rate, corrected for the difference between the queueing time and its
// target. below follows the levels of the services that the server calls, so
// that trees which those would shed are shed before they run here.
type level struct {
	own   int
	below int

	arrivals    [importances]int // in this window, admitted by the threshold
	starts      int
	waited      [classes]time.Duration // least queueing time of this window's starts
	hasStart    [classes]bool
	meanArrived [importances]float64 // per window
	meanStarts  float64
	idleWindows int

	samples    [belowSamples]belowSample
	sampleN    int
	lastShed   time.Time
	quietSteps int
}

func newLevel() level { return level{own: maxLevel, below: maxLevel} }

// effective returns the level that applies.
func (l *level) effective() int { return min(l.own, l.below) }

// arrived counts a request that the threshold admitted.
func (l *level) arrived(r *Request) { l.arrivals[min(r.Importance, importances-1)]++ }

// started counts a request that left the queue for the server.
func (l *level) started(class uint8, wait time.Duration) {
	l.starts++
	if !l.hasStart[class] || wait < l.waited[class] {
		l.hasStart[class], l.waited[class] = true, wait
	}
}

// finished records whether a run was in vain because of a service below.
func (l *level) finished(now time.Time, key int, shed bool) {
	if shed {
		l.lastShed = now
	}
	if shed || l.below < maxLevel {
		l.samples[l.sampleN%belowSamples] = belowSample{key, shed}
		l.sampleN++
	}
}

// tick ends a window.
func (l *level) tick(now time.Time, w *workspace, target time.Duration) {
	delay, floor := l.delay(now, w, target)
	l.tickOwn(delay, floor, target)
	l.tickBelow(now)
	l.arrivals = [importances]int{}
	l.starts = 0
	l.hasStart = [classes]bool{}
}

// delay returns the longest of the classes' least queueing times, and the
// most important class in which that is over the target.
func (l *level) delay(now time.Time, w *workspace, target time.Duration) (time.Duration, uint8) {
	var longest time.Duration
	floor := uint8(classes - 1)
	for c := classes - 1; c >= 0; c-- {
		var d time.Duration
		if l.hasStart[c] {
			d = l.waited[c]
		} else if head := w.queues[c].head; head != nil {
			d = now.Sub(head.queuedAt)
		}
		longest = max(longest, d)
		if d > target {
			floor = uint8(c)
		}
	}
	return longest, floor
}

// tickOwn moves the level that follows the queueing time.
func (l *level) tickOwn(delay time.Duration, floor uint8, target time.Duration) {
	total := 0.0
	for i := range l.arrivals {
		l.meanArrived[i] += windowWeight * (float64(l.arrivals[i]) - l.meanArrived[i])
		total += l.meanArrived[i]
	}
	l.meanStarts += windowWeight * (float64(l.starts) - l.meanStarts)
	if delay == 0 {
		l.idleWindows++
	} else {
		l.idleWindows = 0
	}
	if delay <= target && l.own == maxLevel {
		return
	}
	factor := maxRaise
	if total > 0 {
		factor = l.meanStarts / total * (1 + float64(target-delay)/float64(correction))
	}
	if delay > target {
		l.cut(total*(1-min(max(factor, maxCut), 1)), floor)
	} else {
		l.raise(total * (min(max(factor, 1), maxRaise) - 1))
	}
}

// cut lowers the level so that amount fewer requests per window are admitted,
// but sheds nothing that is more important than the class floor.
func (l *level) cut(amount float64, floor uint8) {
	lowest := max(minLevel, int(floor/2)*hashes)
	for amount > 0 && l.own > lowest {
		i := (l.own - 1) / hashes
		width := l.own - i*hashes
		if n := l.meanArrived[i]; n > amount {
			step := max(1, int(float64(width)*amount/n))
			l.own = max(l.own-step, lowest)
			l.meanArrived[i] -= amount
			return
		}
		amount -= l.meanArrived[i]
		l.meanArrived[i] = 0
		l.own = max(i*hashes, lowest)
	}
}

// raise raises the level so that amount more requests per window are admitted.
func (l *level) raise(amount float64) {
	step := 0
	i := l.own / hashes
	if width := l.own - i*hashes; i < importances && width > 0 && l.meanArrived[i] > 0 {
		step = max(1, int(float64(width)*amount/l.meanArrived[i]))
		step = min(step, hashes-width)
		l.meanArrived[i] *= float64(width+step) / float64(width)
	} else {
		step = blindStep
	}
	if l.idleWindows > 1 {
		step = max(step, blindStep<<min(l.idleWindows-2, 6))
	}
	l.own = min(l.own+step, maxLevel)
}

// tickBelow moves the level that follows shedding below: down to the level
// that separates runs that were shed below from the others best, up slowly.
func (l *level) tickBelow(now time.Time) {
	n := min(l.sampleN, belowSamples)
	samples := l.samples[:n]
	l.sampleN = 0
	if split, found := splitLevel(samples); found {
		l.below = max(min(l.below, split), minLevel)
		l.quietSteps = 0
		return
	}
	if l.below == maxLevel {
		return
	}
	step := max(1, int(belowStep*float64(l.below)))
	if now.Sub(l.lastShed) > quietTime {
		l.quietSteps++
		step <<= min(l.quietSteps, 8)
	}
	l.below = min(l.below+step, maxLevel)
}

// splitLevel returns the level above which most runs were shed below. It is
// not found if runs were not shed or no level separates them.
func splitLevel(samples []belowSample) (int, bool) {
	slices.SortFunc(samples, func(a, b belowSample) int { return b.key - a.key })
	best, balance, split := 0, 0, 0
	for i, s := range samples {
		if s.shed {
			balance++
		} else {
			balance--
		}
		// A level lies between two different keys.
		if balance > best && (i+1 == len(samples) || samples[i+1].key != s.key) {
			best, split = balance, s.key
		}
	}
	return split, best > 0
}
