package admission

import "time"

const (
	// Bounds of a measuring window: long enough for the counts to be
	// comparable, short enough to recover within a second.
	minLimitWindow   = 100 * time.Millisecond
	maxLimitWindow   = 500 * time.Millisecond
	samplesPerWindow = 100
	// earlySamples ends a trial early if its result is clear.
	earlySamples = 40
	// maxSettle bounds the wait after a trial step for requests that were
	// started before it.
	maxSettle = 300 * time.Millisecond

	// meanSamples is how many successes the smoothed mean service time covers.
	// The means of single windows of 60 to 100 requests differ by chance so much
	// that a server with few slots was taken for a slow one.
	meanSamples = 250
	// tolerance is the ratio of recent to least mean service time, and
	// maxShedShare the share of the server's own refusals, above which a lower
	// limit is tried.
	tolerance    = 1.5
	maxShedShare = 0.02
	// Numbers of refusals by the server that end a window, and a raise, at once.
	maxSheds      = 10
	maxTrialSheds = 3
	// baseDrift lets the least mean service time follow a lasting change, per second.
	baseDrift = 0.02

	// lowerStep is the factor of a trial with a lower limit. If concurrency
	// does not matter, goodput falls by this factor; if the server is past its
	// optimum, it does not fall.
	lowerStep  = 0.7
	lowerClear = 0.85 // below this the trial has failed whatever follows
	lowerKeep  = 0.95
	// raiseStep undoes a lowering if goodput then grows by raiseKeep.
	// fastRaise follows two raises that helped.
	raiseStep = 1.25
	raiseKeep = 1.1
	fastRaise = 1.5
	// improved is the factor of the service time at a lowered limit that tells
	// that the cause is over.
	improved = 0.7
	// loadedRatio is the ratio of the requests in flight at the start of refused
	// and of successful requests above which the refusals come from the load.
	// They also do if none succeeded at a load at which others were refused, or
	// too few to tell.
	loadedRatio  = 1.05
	minSuccesses = 10
	// maxShedStep bounds a lowering for refusals, and shedHalved is the factor
	// of their share that it must reach.
	maxShedStep = 0.5
	shedHalved  = 0.5

	// Pauses before a trial; they double after each one that failed. A failed
	// lowering costs up to 1 - lowerStep of the goodput while it lasts, a
	// failed raise little.
	minLowerPause     = 8 * time.Second
	maxLowerPause     = 32 * time.Second
	minShedLowerPause = 500 * time.Millisecond
	maxShedLowerPause = 8 * time.Second
	minRaisePause     = time.Second
	maxRaisePause     = 8 * time.Second
	// One more request in flight than the server takes costs only quick refusals.
	minShedRaisePause = 250 * time.Millisecond
	maxShedRaisePause = time.Second
)

// cause is why a trial is made or the limit is low.
type cause uint8

const (
	causeNone    cause = iota
	causeLatency       // the service time grew
	causeShed          // the server refused requests itself
)

// pause keeps trials of one kind apart.
type pause struct {
	next   time.Time
	length time.Duration
}

func (p *pause) over(now time.Time) bool { return !now.Before(p.next) }

// begin starts a pause of the given length.
func (p *pause) begin(now time.Time, length time.Duration) {
	p.length = length
	p.next = now.Add(length)
}

// failed starts a pause that is twice as long as the last one, within bounds.
func (p *pause) failed(now time.Time, shortest, longest time.Duration) {
	p.begin(now, min(max(2*p.length, shortest), longest))
}

// window holds what was measured since its start.
type window struct {
	start     time.Time
	full      time.Duration // time at the limit
	successes int
	service   time.Duration // sum over successes
	shed      int
	// Requests in flight when the finished ones were started: sums, the most
	// for successes and the least for those that the server refused.
	successLoad, successMost, shedLoad, shedLeast int
}

// sample is the result of a window.
type sample struct {
	saturated bool
	goodput   float64 // successes per second
	mean      time.Duration
	shedShare float64
	// loaded tells that the server refused requests when more were in flight,
	// and shedLimit is the limit below which it refused none.
	loaded    bool
	shedLimit float64
}

func (w *window) sample(now time.Time) sample {
	elapsed := now.Sub(w.start)
	s := sample{
		saturated: w.full*10 >= elapsed*7,
		goodput:   float64(w.successes) / elapsed.Seconds(),
		shedShare: float64(w.shed) / float64(max(1, w.shed+w.successes)),
	}
	if w.successes > 0 {
		s.mean = w.service / time.Duration(w.successes)
	}
	if w.shed > 0 {
		shedLoad := float64(w.shedLoad) / float64(w.shed)
		s.loaded = w.successes < minSuccesses || w.successMost < w.shedLeast ||
			shedLoad > loadedRatio*float64(w.successLoad)/float64(max(1, w.successes))
		s.shedLimit = max(float64(w.shedLeast-1), maxShedStep*shedLoad)
	}
	return s
}

// trial is a step whose effect is being measured.
type trial struct {
	cause  cause
	raise  bool
	from   float64 // limit before
	before sample
}

// limiter adapts the concurrency limit between 1 and the announced slots.
//
// The service time alone does not tell whether a lower limit helps: it also
// grows when another service that the server calls is slow, and then a lower
// limit only lowers throughput. A growing service time, or refusals by the
// server itself, therefore only start a trial, and the lower limit stays only
// if the goodput stays. If the server refuses when more requests are in
// flight, the limit is lowered below that load, and stays there if the
// refusals become half as many.
type limiter struct {
	slots    int
	limit    float64
	inFlight int
	mean     time.Duration // smoothed mean service time
	base     time.Duration // least smoothed mean service time
	held     time.Duration // mean service time when the limit was last kept low
	lowered  cause         // why the limit is below the slots

	last   time.Time     // of the last observation
	full   time.Duration // total time at the limit
	window window
	// settled is when the requests that were started under another limit have
	// ended; the next window starts then.
	settled time.Time

	trial      trial
	lower      pause         // for causeLatency
	shedLower  pause         // for causeShed
	raise      pause         // for both
	failedMean time.Duration // mean service time at the last failed lowering
	raises     int           // successful raises in a row
}

// current returns the limit in whole requests.
func (l *limiter) current() int {
	return min(max(1, int(l.limit+0.5)), l.slots)
}

// setSlots sets the hard cap. A limit that was at the cap stays there.
func (l *limiter) setSlots(n int) {
	if l.limit >= float64(l.slots) || l.limit > float64(n) {
		l.limit = float64(n)
	}
	l.slots = n
}

// observe accounts for the time since the last change of inFlight.
func (l *limiter) observe(now time.Time) {
	if l.last.IsZero() {
		l.last, l.window.start = now, now
	}
	if now.After(l.last) {
		if l.inFlight >= l.current() {
			l.full += now.Sub(l.last)
			l.window.full += now.Sub(l.last)
		}
		l.last = now
	}
}

// started counts a request in.
func (l *limiter) started(now time.Time) {
	l.observe(now)
	l.inFlight++
}

// finished counts a request out. load is the number of requests in flight
// when it was started, with itself.
func (l *limiter) finished(now time.Time, service time.Duration, outcome Outcome, load int) {
	l.observe(now)
	switch outcome {
	case Succeeded:
		l.window.successes++
		l.window.service += service
		l.window.successLoad += load
		l.window.successMost = max(l.window.successMost, load)
	case ServerShed:
		l.window.shed++
		l.window.shedLoad += load
		if l.window.shed == 1 || load < l.window.shedLeast {
			l.window.shedLeast = load
		}
	}
	l.inFlight--
	l.adapt(now)
}

// adapt ends the window when it has enough samples and changes the limit.
func (l *limiter) adapt(now time.Time) {
	l.observe(now)
	if l.window.start.Before(l.settled) {
		if !now.Before(l.settled) {
			l.window = window{start: now}
		}
		return
	}
	trying := l.trial.cause != causeNone
	elapsed := now.Sub(l.window.start)
	n := l.window.successes + l.window.shed
	whole := elapsed >= maxLimitWindow || (elapsed >= minLimitWindow && n >= samplesPerWindow)
	early := trying && elapsed >= minLimitWindow/2 && n >= earlySamples
	shedding := l.shedding()
	if !whole && !early && !shedding {
		return
	}
	s := l.window.sample(now)
	if trying {
		l.judge(now, s, whole || shedding)
		return
	}
	l.updateBase(s.mean, l.window.successes, elapsed)
	if s.saturated && s.mean > l.held {
		l.held = s.mean
	}
	l.window = window{start: now}
	l.choose(now, s)
}

// shedding tells whether the server refuses so many requests that the window
// has to end at once: a quick refusal frees its slot for the next request,
// and the whole queue would be refused within a few milliseconds.
func (l *limiter) shedding() bool {
	raised := l.trial.cause == causeShed && l.trial.raise
	return l.window.shed >= maxSheds || (raised && l.window.shed >= maxTrialSheds)
}

// updateBase follows the mean service time of a window of n successes, and
// the least one.
func (l *limiter) updateBase(mean time.Duration, n int, elapsed time.Duration) {
	if mean <= 0 {
		return
	}
	if l.mean == 0 {
		l.mean = mean
	}
	l.mean += time.Duration(min(float64(n)/meanSamples, 1) * float64(mean-l.mean))
	if l.base == 0 || l.mean < l.base {
		l.base = l.mean
		return
	}
	l.base += time.Duration(float64(l.base) * baseDrift * elapsed.Seconds())
}

// choose starts a trial if there is a cause for one.
func (l *limiter) choose(now time.Time, s sample) {
	slow := l.mean > time.Duration(tolerance*float64(l.base))
	switch {
	case l.lowered == causeShed && s.shedShare > maxShedShare && !s.loaded:
		// The lower limit does not help any more.
		l.lowered = causeNone
		l.set(float64(l.slots))
		l.shedLower.failed(now, minShedLowerPause, maxShedLowerPause)
		l.settle(now, s.mean)
	case s.shedShare > maxShedShare && s.loaded && l.shedLower.over(now):
		l.try(now, causeShed, min(l.limit-1, s.shedLimit), s)
	case s.shedShare > maxShedShare && !s.loaded && l.lower.over(now):
		l.try(now, causeLatency, l.limit*lowerStep, s)
	case l.limit < float64(l.slots) && s.saturated && s.mean < time.Duration(improved*float64(l.held)):
		l.held = s.mean
		l.tryRaise(now, fastRaise, s)
	case l.limit < float64(l.slots) && s.shedShare <= maxShedShare && l.raise.over(now):
		l.tryRaise(now, raiseStep, s)
	case slow && s.saturated && (l.lower.over(now) || s.mean > time.Duration(tolerance*float64(l.failedMean))):
		l.try(now, causeLatency, l.limit*lowerStep, s)
	}
}

// tryRaise raises a lowered limit: by a trial if that would show whether it
// helps, else at once.
func (l *limiter) tryRaise(now time.Time, step float64, s sample) {
	limit := l.limit * step
	if l.raises > 1 {
		limit = l.limit * fastRaise
	}
	if l.lowered == causeShed {
		limit = l.limit + float64(int(1)<<min(l.raises, 6))
	}
	if s.saturated || l.lowered == causeShed {
		l.try(now, l.lowered, limit, s)
		return
	}
	l.set(limit)
	shortest, _ := l.raisePauses()
	l.raise.begin(now, max(l.raise.length, shortest))
}

// try starts a trial with another limit.
func (l *limiter) try(now time.Time, c cause, limit float64, s sample) {
	before := l.limit
	l.set(limit)
	if l.limit == before {
		return
	}
	l.trial = trial{cause: c, raise: l.limit > before, from: before, before: s}
	l.settle(now, s.mean)
}

// settle puts the next window off until the change of the limit shows.
func (l *limiter) settle(now time.Time, mean time.Duration) {
	l.settled = now.Add(min(mean, maxSettle))
	l.window = window{start: now}
}

// judge ends a trial, if the result is clear or the window whole, and keeps
// the new limit only if it helped.
func (l *limiter) judge(now time.Time, s sample, whole bool) {
	t := l.trial
	ratio := s.goodput / max(t.before.goodput, 1)
	var helped, clear bool
	switch {
	case t.raise && t.cause == causeShed:
		helped = s.shedShare <= maxShedShare
	case t.raise:
		helped = ratio >= raiseKeep || !s.saturated
		clear = ratio < 1 || ratio >= raiseStep
	case t.cause == causeShed:
		helped = s.shedShare <= shedHalved*t.before.shedShare
	default:
		helped = ratio >= lowerKeep
		clear = ratio < lowerClear
		if !s.saturated && !helped {
			// Too few requests came to tell; meanwhile the limit costs nothing.
			if whole {
				l.window = window{start: now}
			}
			return
		}
	}
	if !clear && !whole {
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

// raisePauses returns the bounds of the pause before a raise.
func (l *limiter) raisePauses() (shortest, longest time.Duration) {
	if l.lowered == causeShed {
		return minShedRaisePause, maxShedRaisePause
	}
	return minRaisePause, maxRaisePause
}

// endRaise keeps or undoes a raise.
func (l *limiter) endRaise(now time.Time, t trial, helped bool) {
	if helped {
		l.raise.begin(now, 0)
		l.raises++
		if l.limit >= float64(l.slots) {
			l.lowered = causeNone
		}
		return
	}
	l.set(t.from)
	l.settle(now, t.before.mean)
	l.raises = 0
	shortest, longest := l.raisePauses()
	l.raise.failed(now, shortest, longest)
}

// endLower keeps or undoes a lowering.
func (l *limiter) endLower(now time.Time, t trial, s sample, helped bool) {
	l.raises = 0
	if helped {
		l.lowered = t.cause
		l.held = s.mean
		l.failedMean = 0
		l.lower.begin(now, 0)
		l.shedLower.begin(now, 0)
		shortest, _ := l.raisePauses()
		l.raise.begin(now, shortest)
		return
	}
	l.set(t.from)
	l.settle(now, t.before.mean)
	if t.cause == causeShed {
		l.shedLower.failed(now, minShedLowerPause, maxShedLowerPause)
		return
	}
	l.failedMean = t.before.mean
	l.lower.failed(now, minLowerPause, maxLowerPause)
}

// set changes the limit within its bounds.
func (l *limiter) set(limit float64) {
	l.limit = min(max(limit, 1), float64(l.slots))
}
