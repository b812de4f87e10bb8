package admission

import "time"

const (
	// Bounds of the length of a measurement window: long enough that the counts of
	// two windows can be compared, short enough to recover within a second.
	minLimitWindow   = 100 * time.Millisecond
	maxLimitWindow   = 500 * time.Millisecond
	samplesPerWindow = 100
	// minEarlySamples is the number of samples after which a trial with a conclusive
	// result may end early.
	minEarlySamples = 40
	// maxSettle bounds the time after a change of the limit in which nothing is
	// measured, because requests that started under the old limit still run.
	maxSettle = 300 * time.Millisecond

	// meanSamples is the number of successes that the moving average of the service
	// time covers. The means of single windows of 60 to 100 requests vary so much
	// that a server with few slots was mistaken for one that had become slow.
	meanSamples = 250
	// slowRatio is the ratio of recent to lowest mean service time, and
	// maxShedShare the share of requests that the backend server itself refuses,
	// above which a lower limit is tried.
	slowRatio    = 1.5
	maxShedShare = 0.02
	// maxWindowSheds is the number of refusals by the backend server that ends a
	// window at once, and maxRaiseSheds the number in a trial of a higher limit.
	maxWindowSheds = 10
	maxRaiseSheds  = 3
	// lowestMeanDriftPerSecond is the fraction per second by which the lowest mean
	// service time rises, so that it follows a lasting change.
	lowestMeanDriftPerSecond = 0.02

	// lowerFactor is the factor by which a trial lowers the limit. If the service
	// time does not depend on the concurrency, the goodput falls by this factor; if
	// the server is past its optimal concurrency, the goodput does not fall. The
	// lower limit is kept if the ratio of the goodput during the trial to that
	// before it is at least lowerKeepRatio; below lowerAbortRatio the trial fails
	// at once.
	lowerFactor     = 0.7
	lowerAbortRatio = 0.85
	lowerKeepRatio  = 0.95
	// raiseFactor is the factor by which a trial raises a lowered limit. The higher
	// limit is kept if the goodput grows at least by raiseKeepRatio. After two
	// successful raises in a row, the factor is fastRaiseFactor.
	raiseFactor     = 1.25
	raiseKeepRatio  = 1.1
	fastRaiseFactor = 1.5
	// recoveredRatio is the ratio of the current mean service time to that under the
	// lowered limit below which the cause of the lowering is considered over.
	recoveredRatio = 0.7
	// shedLoadRatio compares the number of requests in flight when refused requests
	// started with that of successful ones. Above this ratio, the refusals are
	// attributed to the load. So are they if every success started at a lower load
	// than every refusal, or with fewer than minSuccesses successes.
	shedLoadRatio = 1.05
	minSuccesses  = 10
	// minShedLowerFactor is the lowest factor by which one trial lowers the limit because
	// of refusals. The lower limit is kept if the share of refusals falls at least
	// by the factor shedKeepRatio.
	minShedLowerFactor = 0.5
	shedKeepRatio      = 0.5

	// Bounds of the back-off before a trial, which doubles after each failed one. A
	// failed trial with a lower limit costs up to 1 - lowerFactor of the goodput
	// while it lasts, a failed raise costs little.
	minLowerBackoff     = 8 * time.Second
	maxLowerBackoff     = 32 * time.Second
	minShedLowerBackoff = 500 * time.Millisecond
	maxShedLowerBackoff = 8 * time.Second
	minRaiseBackoff     = time.Second
	maxRaiseBackoff     = 8 * time.Second
	// Exceeding the capacity of a server that refuses requests costs only quick
	// refusals, so these raises are tried more often.
	minShedRaiseBackoff = 250 * time.Millisecond
	maxShedRaiseBackoff = time.Second
)

// cause is why a trial is made or why the limit is below the slots.
type cause uint8

const (
	causeNone    cause = iota
	causeLatency       // the service time increased
	causeShed          // the backend server refused requests
)

// backoff is the exponential back-off between trials of one kind.
type backoff struct {
	next   time.Time
	length time.Duration
}

func (b *backoff) elapsed(now time.Time) bool { return !now.Before(b.next) }

// begin starts a back-off of the given length.
func (b *backoff) begin(now time.Time, length time.Duration) {
	b.length = length
	b.next = now.Add(length)
}

// failed starts a back-off twice as long as the last one, within the given bounds.
func (b *backoff) failed(now time.Time, shortest, longest time.Duration) {
	b.begin(now, min(max(2*b.length, shortest), longest))
}

// window holds the measurements since its start.
type window struct {
	start       time.Time
	timeAtLimit time.Duration // time during which the limit was reached
	successes   int
	service     time.Duration // sum over successes
	shed        int           // refusals by the backend server
	// Number of requests in flight when the finished requests started: the sum and
	// the maximum over successes, the sum and the minimum over refusals.
	successLoad, successMaxLoad, shedLoad, shedMinLoad int
}

// sample is the result of a window.
type sample struct {
	saturated bool          // the limit was reached for at least 70% of the window
	goodput   float64       // successes per second
	mean      time.Duration // service time of successes
	shedShare float64       // share of requests that the backend server refused
	// shedByLoad reports that the refusals correlate with the number of requests in
	// flight. shedLimit is the highest limit at which none was refused, but at
	// least minShedLowerFactor times the mean load of the refused requests.
	shedByLoad bool
	shedLimit  float64
}

func (w *window) sample(now time.Time) sample {
	elapsed := now.Sub(w.start)
	s := sample{
		saturated: w.timeAtLimit*10 >= elapsed*7,
		goodput:   float64(w.successes) / elapsed.Seconds(),
		shedShare: float64(w.shed) / float64(max(1, w.shed+w.successes)),
	}
	if w.successes > 0 {
		s.mean = w.service / time.Duration(w.successes)
	}
	if w.shed > 0 {
		shedLoad := float64(w.shedLoad) / float64(w.shed)
		s.shedByLoad = w.successes < minSuccesses || w.successMaxLoad < w.shedMinLoad ||
			shedLoad > shedLoadRatio*float64(w.successLoad)/float64(max(1, w.successes))
		s.shedLimit = max(float64(w.shedMinLoad-1), minShedLowerFactor*shedLoad)
	}
	return s
}

// trial is a change of the limit whose effect is being measured.
type trial struct {
	cause  cause
	raise  bool    // the limit was raised; otherwise it was lowered
	from   float64 // limit before the trial
	before sample  // measurements before the trial
}

// limiter adapts the concurrency limit between 1 and the announced slots.
//
// The service time alone does not show whether a lower limit helps: it also grows
// when a downstream service is slow, and then a lower limit only reduces the
// throughput. A longer service time, or refusals by the backend server, therefore
// only start a trial, and the lower limit is kept only if the goodput does not
// drop. If the server refuses requests when more of them are in flight, the limit
// is lowered below that load and kept there if the share of refusals halves.
type limiter struct {
	slots       int
	limit       float64
	inFlight    int
	mean        time.Duration // moving average of the service time
	lowestMean  time.Duration // lowest value of mean; drifts up slowly
	loweredMean time.Duration // mean service time under the lowered limit
	loweredBy   cause         // why the limit is below the slots

	observedAt  time.Time     // time of the last observe
	timeAtLimit time.Duration // total time during which the limit was reached
	window      window
	// settledAt is when the requests that started under the previous limit are
	// expected to have ended. The next window starts then.
	settledAt time.Time

	trial            trial
	lowerBackoff     backoff // before a lowering with causeLatency
	shedLowerBackoff backoff // before a lowering with causeShed
	raiseBackoff     backoff // before a raise, for either cause
	// failedMean is the mean service time before the last failed lowering, or 0. A mean
	// above slowRatio times failedMean allows another trial before the back-off has
	// elapsed.
	failedMean       time.Duration
	successfulRaises int // successful raises in a row
}

// current returns the limit, rounded to whole requests.
func (l *limiter) current() int {
	return min(max(1, int(l.limit+0.5)), l.slots)
}

// setSlots sets the upper bound of the limit. A limit that was at the bound follows
// it.
func (l *limiter) setSlots(n int) {
	if l.limit >= float64(l.slots) || l.limit > float64(n) {
		l.limit = float64(n)
	}
	l.slots = n
}

// observe accounts for the time that passed since the last call. Call it before
// inFlight or the limit changes.
func (l *limiter) observe(now time.Time) {
	if l.observedAt.IsZero() {
		l.observedAt, l.window.start = now, now
	}
	if now.After(l.observedAt) {
		if l.inFlight >= l.current() {
			l.timeAtLimit += now.Sub(l.observedAt)
			l.window.timeAtLimit += now.Sub(l.observedAt)
		}
		l.observedAt = now
	}
}

// recordStart counts a request as in flight.
func (l *limiter) recordStart(now time.Time) {
	l.observe(now)
	l.inFlight++
}

// recordEnd records the result of a request and counts it as no longer in flight.
// load is the number of requests in flight when it started, including itself.
func (l *limiter) recordEnd(now time.Time, service time.Duration, outcome Outcome, load int) {
	l.observe(now)
	switch outcome {
	case Succeeded:
		l.window.successes++
		l.window.service += service
		l.window.successLoad += load
		l.window.successMaxLoad = max(l.window.successMaxLoad, load)
	case ShedByServer:
		l.window.shed++
		l.window.shedLoad += load
		if l.window.shed == 1 || load < l.window.shedMinLoad {
			l.window.shedMinLoad = load
		}
	}
	l.inFlight--
	l.adapt(now)
}

// adapt closes the window if it has enough samples, and then changes the limit if
// the measurements call for it.
func (l *limiter) adapt(now time.Time) {
	l.observe(now)
	if l.window.start.Before(l.settledAt) {
		if !now.Before(l.settledAt) {
			l.window = window{start: now}
		}
		return
	}
	inTrial := l.trial.cause != causeNone
	elapsed := now.Sub(l.window.start)
	n := l.window.successes + l.window.shed
	complete := elapsed >= maxLimitWindow || (elapsed >= minLimitWindow && n >= samplesPerWindow)
	early := inTrial && elapsed >= minLimitWindow/2 && n >= minEarlySamples
	tooManySheds := l.tooManySheds()
	if !complete && !early && !tooManySheds {
		return
	}
	s := l.window.sample(now)
	if inTrial {
		l.evaluateTrial(now, s, complete || tooManySheds)
		return
	}
	l.updateMeans(s.mean, l.window.successes, elapsed)
	if s.saturated && s.mean > l.loweredMean {
		l.loweredMean = s.mean
	}
	l.window = window{start: now}
	l.considerTrial(now, s)
}

// tooManySheds reports whether the backend server refuses so many requests that the
// window has to end at once: each quick refusal frees a slot for the next request,
// so that the whole queue would be refused within a few milliseconds.
func (l *limiter) tooManySheds() bool {
	raised := l.trial.cause == causeShed && l.trial.raise
	return l.window.shed >= maxWindowSheds || (raised && l.window.shed >= maxRaiseSheds)
}

// updateMeans updates the moving average of the service time and its lowest value
// with the mean over a window of n successes.
func (l *limiter) updateMeans(mean time.Duration, n int, elapsed time.Duration) {
	if mean <= 0 {
		return
	}
	if l.mean == 0 {
		l.mean = mean
	}
	l.mean += time.Duration(min(float64(n)/meanSamples, 1) * float64(mean-l.mean))
	if l.lowestMean == 0 || l.mean < l.lowestMean {
		l.lowestMean = l.mean
		return
	}
	l.lowestMean += time.Duration(float64(l.lowestMean) * lowestMeanDriftPerSecond * elapsed.Seconds())
}

// considerTrial starts a trial if the sample gives a cause for one.
func (l *limiter) considerTrial(now time.Time, s sample) {
	slow := l.mean > time.Duration(slowRatio*float64(l.lowestMean))
	switch {
	case l.loweredBy == causeShed && s.shedShare > maxShedShare && !s.shedByLoad:
		// The refusals no longer depend on the load, so the lower limit does not
		// help.
		l.loweredBy = causeNone
		l.setLimit(float64(l.slots))
		l.shedLowerBackoff.failed(now, minShedLowerBackoff, maxShedLowerBackoff)
		l.settle(now, s.mean)
	case s.shedShare > maxShedShare && s.shedByLoad && l.shedLowerBackoff.elapsed(now):
		l.startTrial(now, causeShed, min(l.limit-1, s.shedLimit), s)
	case s.shedShare > maxShedShare && !s.shedByLoad && l.lowerBackoff.elapsed(now):
		l.startTrial(now, causeLatency, l.limit*lowerFactor, s)
	case l.limit < float64(l.slots) && s.saturated && s.mean < time.Duration(recoveredRatio*float64(l.loweredMean)):
		l.loweredMean = s.mean
		l.tryRaise(now, fastRaiseFactor, s)
	case l.limit < float64(l.slots) && s.shedShare <= maxShedShare && l.raiseBackoff.elapsed(now):
		l.tryRaise(now, raiseFactor, s)
	case slow && s.saturated && (l.lowerBackoff.elapsed(now) || s.mean > time.Duration(slowRatio*float64(l.failedMean))):
		l.startTrial(now, causeLatency, l.limit*lowerFactor, s)
	}
}

// tryRaise raises a lowered limit: in a trial if the demand suffices to show
// whether the raise helps, otherwise without one.
func (l *limiter) tryRaise(now time.Time, factor float64, s sample) {
	limit := l.limit * factor
	if l.successfulRaises > 1 {
		limit = l.limit * fastRaiseFactor
	}
	if l.loweredBy == causeShed {
		limit = l.limit + float64(int(1)<<min(l.successfulRaises, 6))
	}
	if s.saturated || l.loweredBy == causeShed {
		l.startTrial(now, l.loweredBy, limit, s)
		return
	}
	l.setLimit(limit)
	shortest, _ := l.raiseBackoffs()
	l.raiseBackoff.begin(now, max(l.raiseBackoff.length, shortest))
}

// startTrial starts a trial with the given limit, unless that changes nothing.
func (l *limiter) startTrial(now time.Time, c cause, limit float64, s sample) {
	before := l.limit
	l.setLimit(limit)
	if l.limit == before {
		return
	}
	l.trial = trial{cause: c, raise: l.limit > before, from: before, before: s}
	l.settle(now, s.mean)
}

// settle delays the next window until the requests that started under the previous limit
// are expected to have ended, but at most for maxSettle.
func (l *limiter) settle(now time.Time, mean time.Duration) {
	l.settledAt = now.Add(min(mean, maxSettle))
	l.window = window{start: now}
}

// evaluateTrial ends the trial if its result is conclusive or its window is complete, and
// keeps the new limit only if it helped.
func (l *limiter) evaluateTrial(now time.Time, s sample, complete bool) {
	t := l.trial
	ratio := s.goodput / max(t.before.goodput, 1)
	var helped, conclusive bool
	switch {
	case t.raise && t.cause == causeShed:
		helped = s.shedShare <= maxShedShare
	case t.raise:
		helped = ratio >= raiseKeepRatio || !s.saturated
		conclusive = ratio < 1 || ratio >= raiseFactor
	case t.cause == causeShed:
		helped = s.shedShare <= shedKeepRatio*t.before.shedShare
	default:
		helped = ratio >= lowerKeepRatio
		conclusive = ratio < lowerAbortRatio
		if !s.saturated && !helped {
			// Too few requests arrived for a result. The lower limit costs
			// nothing at this demand, so the trial continues.
			if complete {
				l.window = window{start: now}
			}
			return
		}
	}
	if !conclusive && !complete {
		return
	}
	l.trial = trial{}
	l.window = window{start: now}
	if t.raise {
		l.endRaise(now, t, helped)
	} else {
		l.endLower(now, t, s, helped)
	}
}

// raiseBackoffs returns the bounds of the back-off before a raise.
func (l *limiter) raiseBackoffs() (shortest, longest time.Duration) {
	if l.loweredBy == causeShed {
		return minShedRaiseBackoff, maxShedRaiseBackoff
	}
	return minRaiseBackoff, maxRaiseBackoff
}

// endRaise keeps or reverts a raise.
func (l *limiter) endRaise(now time.Time, t trial, helped bool) {
	if helped {
		l.raiseBackoff.begin(now, 0)
		l.successfulRaises++
		if l.limit >= float64(l.slots) {
			l.loweredBy = causeNone
		}
		return
	}
	l.setLimit(t.from)
	l.settle(now, t.before.mean)
	l.successfulRaises = 0
	shortest, longest := l.raiseBackoffs()
	l.raiseBackoff.failed(now, shortest, longest)
}

// endLower keeps or reverts a lowering.
func (l *limiter) endLower(now time.Time, t trial, s sample, helped bool) {
	l.successfulRaises = 0
	if helped {
		l.loweredBy = t.cause
		l.loweredMean = s.mean
		l.failedMean = 0
		l.lowerBackoff.begin(now, 0)
		l.shedLowerBackoff.begin(now, 0)
		shortest, _ := l.raiseBackoffs()
		l.raiseBackoff.begin(now, shortest)
		return
	}
	l.setLimit(t.from)
	l.settle(now, t.before.mean)
	if t.cause == causeShed {
		l.shedLowerBackoff.failed(now, minShedLowerBackoff, maxShedLowerBackoff)
		return
	}
	l.failedMean = t.before.mean
	l.lowerBackoff.failed(now, minLowerBackoff, maxLowerBackoff)
}

// setLimit changes the limit and clamps it to its bounds.
func (l *limiter) setLimit(limit float64) {
	l.limit = min(max(limit, 1), float64(l.slots))
}
