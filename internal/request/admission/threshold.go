package admission

import (
	"math"
	"slices"
	"time"

	"tarragonshore.example/tarragonshore/internal/connection/wire"
)

const (
	hashesPerImportance = 256
	// A level is a threshold as an integer: it admits the requests whose shedKey is
	// lower. maxLevel admits everything.
	maxLevel = importanceCount * hashesPerImportance
	// minLevel always admits a few of the most important requests. Without them
	// nothing would be measured, and the level could not recover.
	minLevel = 2

	// thresholdWindow is the interval between two adjustments of a threshold.
	thresholdWindow = 50 * time.Millisecond
	// countWeight is the weight of a new window in the moving averages of counts.
	countWeight = 0.2
	// fullWeightWidth is how many hashes of an importance must be admitted for a window
	// to count with the full weight. A narrower range is a smaller sample.
	fullWeightWidth = 16
	// slackWeight is the weight of a new request in the moving average of the time
	// that requests can wait. The target queueing time is at most half of it.
	slackWeight = 0.05
	// damping is the part of the difference between served and admitted rate that
	// one adjustment corrects. Both rates are noisy, since they are counts of a few
	// requests per window.
	damping = 0.6
	// targetAdmittedRatio is the target ratio of admitted to served rate. The bound
	// of the queueing time sheds the excess. With a ratio of 1, bursts of arrivals
	// led the threshold to shed requests of workspaces that were within their fair
	// share.
	targetAdmittedRatio = 1.35
	// Bounds of the factor by which one adjustment changes the admitted rate.
	minRateFactor = 0.5
	maxRateFactor = 1.1
	// unknownDemandStep is the raise of the level where the demand is unknown.
	unknownDemandStep = 16
	// maxDoublings bounds how often a raise doubles while the server is below its
	// concurrency limit. The doubling recovers from any level within a second.
	maxDoublings = 6

	// downstreamReports is the number of most recent runs whose reports of downstream
	// thresholds are considered. Their median applies, so that the overload of a
	// service that only few runs call does not shed the other requests.
	downstreamReports = 3
	// downstreamReportTimeout is the time without a report after which the
	// downstream level rises again, by downstreamRaiseStep in the first window and
	// by twice as much in each later one.
	downstreamReportTimeout = 300 * time.Millisecond
	downstreamRaiseStep     = 4
)

// toThreshold converts a level to its wire format.
func toThreshold(level int) wire.Threshold {
	importance := (level - 1) / hashesPerImportance
	return wire.Threshold{Importance: uint8(importance), Hash: uint16(level - importance*hashesPerImportance)}
}

// AdmitAll returns the threshold that admits every request.
func AdmitAll() wire.Threshold { return toThreshold(maxLevel) }

// fromThreshold converts a threshold from a peer to a level. Values out of range are
// clamped.
func fromThreshold(t wire.Threshold) int {
	return min(int(min(t.Importance, importanceCount-1))*hashesPerImportance+int(min(t.Hash, hashesPerImportance)), maxLevel)
}

// threshold is the adaptive shedding threshold of one workspace. Each workspace has its
// own, since a common threshold would shed a workspace that uses less than its fair
// share as much as the one that causes the overload.
//
// The level in effect is the lower of two:
//
//   - localLevel follows the workspace's queue at this server. While the queueing time
//     exceeds its target, the admitted rate is moved towards the served rate times
//     targetAdmittedRatio.
//   - downstreamLevel is the level that downstream services reported with their answers,
//     so that requests which these services would shed are shed before they run here.
//     It follows each report immediately. Inferring it from the hashes of shed runs
//     and raising it slowly made it fall below the level of the overloaded service,
//     and the load then oscillated between a full queue and an idle server.
type threshold struct {
	localLevel      float64 // a float, so that small raises add up
	downstreamLevel int

	// Counts of the current window.
	arrivals  [importanceCount]int // requests that the threshold admitted
	starts    [importanceCount]int
	minQueued [importanceCount]int   // minimum queue length
	minWait   [classes]time.Duration // minimum queueing time of started requests
	hasStart  [classes]bool

	// density is the moving average of the number of arrivals per window and unit
	// of the level (one hash), by importance. The value of an importance that is now
	// shed is kept, because it tells how far the level can be raised again.
	density    [importanceCount]float64
	meanStarts [importanceCount]float64 // moving average of starts per window
	idle       int                      // consecutive windows with free capacity at the server and no delay
	slack      time.Duration            // moving average of the time that requests can wait

	reports          [downstreamReports]int // ring buffer of reported downstream levels
	reportCount      int                    // number of reports so far
	reportedAt       time.Time              // time of the last report
	downstreamRaises int                    // raises of downstreamLevel since the last report
}

func newThreshold() threshold {
	t := threshold{localLevel: maxLevel, downstreamLevel: maxLevel}
	for i := range t.reports {
		t.reports[i] = maxLevel
	}
	return t
}

// effectiveLevel returns the level in effect.
func (t *threshold) effectiveLevel() int { return min(int(t.localLevel+0.5), t.downstreamLevel) }

// recordArrival counts a request that the threshold admitted. slack is how long it can
// wait and still finish before its deadline.
func (t *threshold) recordArrival(r *Request, slack time.Duration) {
	t.arrivals[min(r.Importance, importanceCount-1)]++
	t.slack += time.Duration(slackWeight * float64(max(slack, 0)-t.slack))
}

// recordStart counts a request that was passed to the backend server after a queueing
// time of wait.
func (t *threshold) recordStart(class uint8, wait time.Duration) {
	t.starts[class/2]++
	if !t.hasStart[class] || wait < t.minWait[class] {
		t.hasStart[class], t.minWait[class] = true, wait
	}
}

// reportDownstream records the lowest level of the downstream services that a run called.
func (t *threshold) reportDownstream(now time.Time, threshold int) {
	t.reports[t.reportCount%downstreamReports] = threshold
	t.reportCount++
	t.reportedAt = now
	t.downstreamRaises = 0
	sorted := t.reports
	slices.Sort(sorted[:])
	t.downstreamLevel = max(sorted[downstreamReports/2], minLevel)
}

// tick closes the window and adjusts the threshold. idle reports that the server was
// below its concurrency limit for most of the window.
func (t *threshold) tick(now time.Time, w *workspace, target time.Duration, idle bool) {
	t.updateRates()
	target = min(target, t.slack/2)
	t.adjustLocal(t.standingDelay(now, w), t.firstDelayedClass(now, w, target), target, idle)
	t.raiseDownstream(now)
	t.arrivals = [importanceCount]int{}
	t.starts = [importanceCount]int{}
	for i := range t.minQueued {
		t.minQueued[i] = w.queues[2*i].n + w.queues[2*i+1].n
	}
	t.hasStart = [classes]bool{}
}

// admittedWidth returns how many hashes of an importance a level admits.
func admittedWidth(level float64, importance int) float64 {
	return min(max(level-float64(importance*hashesPerImportance), 0), hashesPerImportance)
}

// updateRates adds the counts of the window to the moving averages.
func (t *threshold) updateRates() {
	for i := range t.arrivals {
		if n := admittedWidth(float64(t.effectiveLevel()), i); n > 0 {
			// A narrow range of hashes is a small sample of the importance.
			weight := countWeight * min(1, n/fullWeightWidth)
			t.density[i] += weight * (float64(t.arrivals[i])/n - t.density[i])
		}
	}
	for i, n := range t.starts {
		t.meanStarts[i] += countWeight * (float64(n) - t.meanStarts[i])
	}
}

// standingDelay returns the delay of the standing queue: the longest time, over all
// importances, that the minimum queue length of the window takes to be served at the
// current rate. A queue that was empty at some time in the window has no standing
// part; it only absorbs the variation of arrivals.
func (t *threshold) standingDelay(now time.Time, w *workspace) time.Duration {
	var longest time.Duration
	for i, n := range t.minQueued {
		if n == 0 {
			continue
		}
		d := time.Duration(float64(n) / max(t.meanStarts[i], 0.1) * float64(thresholdWindow))
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

// startsPerWindow returns the moving average of the number of starts per window, over all
// importances.
func (t *threshold) startsPerWindow() (total float64) {
	for _, n := range t.meanStarts {
		total += n
	}
	return total
}

// firstDelayedClass returns the most important class whose requests waited longer
// than the target. More important classes need not be shed.
func (t *threshold) firstDelayedClass(now time.Time, w *workspace, target time.Duration) int {
	for c := range w.queues {
		d := t.minWait[c]
		if !t.hasStart[c] {
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

// adjustLocal adjusts the level that follows the queue. firstDelayed is the most
// important class that may be shed.
func (t *threshold) adjustLocal(delay time.Duration, firstDelayed int, target time.Duration, idle bool) {
	if idle && delay == 0 {
		t.idle++
		t.decayDensity()
	} else {
		t.idle = 0
	}
	if delay <= target && t.localLevel == maxLevel {
		return
	}
	admitted := 0.0
	for i, d := range t.density {
		admitted += d * admittedWidth(t.localLevel, i)
	}
	factor := maxRateFactor
	if admitted > 0 {
		factor = 1 + damping*(targetAdmittedRatio*t.startsPerWindow()/admitted-1)
	}
	if delay > target {
		t.cut(admitted*(1-min(max(factor, minRateFactor), 1)), float64(max(minLevel, firstDelayed/2*hashesPerImportance)))
	} else {
		amount := max(admitted*(min(max(factor, 1), maxRateFactor)-1), 0.1)
		t.raise(amount * float64(int(1)<<min(t.idle, maxDoublings)))
	}
}

// decayDensity halves the assumed demand of the importances that are fully shed. It is
// called while the server is below its limit, when that demand has probably gone.
func (t *threshold) decayDensity() {
	for i := int(t.localLevel / hashesPerImportance); i < importanceCount; i++ {
		if admittedWidth(t.localLevel, i) == 0 {
			t.density[i] /= 2
		}
	}
}

// cut lowers the level so that amount fewer requests per window are admitted, but
// not below lowest.
func (t *threshold) cut(amount, lowest float64) {
	for amount > 0 && t.localLevel > lowest {
		i := int(math.Ceil(t.localLevel/hashesPerImportance)) - 1
		if part := t.density[i] * admittedWidth(t.localLevel, i); part <= amount {
			amount -= part
			t.localLevel = max(float64(i*hashesPerImportance), lowest)
			continue
		}
		t.localLevel = max(t.localLevel-amount/t.density[i], lowest)
		return
	}
}

// raise raises the level so that amount more requests per window are admitted.
func (t *threshold) raise(amount float64) {
	for amount > 0 && t.localLevel < maxLevel {
		i := int(t.localLevel / hashesPerImportance)
		if t.density[i] == 0 {
			t.localLevel = min(t.localLevel+float64(int(unknownDemandStep)<<min(t.idle, maxDoublings)), maxLevel)
			return
		}
		rest := hashesPerImportance - admittedWidth(t.localLevel, i)
		if part := t.density[i] * rest; part <= amount {
			amount -= part
			t.localLevel = float64((i + 1) * hashesPerImportance)
			continue
		}
		t.localLevel += amount / t.density[i]
		return
	}
}

// raiseDownstream raises the downstream level when no run has reported one for longer
// than downstreamReportTimeout.
func (t *threshold) raiseDownstream(now time.Time) {
	if t.downstreamLevel == maxLevel || now.Sub(t.reportedAt) <= downstreamReportTimeout {
		return
	}
	t.downstreamLevel = min(t.downstreamLevel+downstreamRaiseStep<<min(t.downstreamRaises, 8), maxLevel)
	t.downstreamRaises++
}
