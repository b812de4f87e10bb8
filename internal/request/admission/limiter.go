package admission

import "time"

const (
	// Bounds of a measuring window: long enough for the counts to be
	// comparable, short enough to recover within a second.
	minLimitWindow   = 100 * time.Millisecond
	maxLimitWindow   = time.Second
	samplesPerWindow = 200
	// maxSettle bounds the wait after a trial step for requests that were
	// started before it.
	maxSettle = 500 * time.Millisecond

	// tolerance is the ratio of recent to least mean service time, and
	// maxShedShare the share of the server's own refusals, above which a lower
	// limit is tried.
	tolerance    = 1.5
	maxShedShare = 0.02
	// baseDrift lets the least mean service time follow a lasting change, per second.
	baseDrift = 0.02

	// lowerStep is the factor of a trial with a lower limit. Goodput is then
	// expected to be 0.8 times as much if concurrency does not matter, and the
	// same if the server is past its optimum; keepShare lies between the two.
	lowerStep = 0.8
	keepShare = 0.95
	// raiseStep undoes a lowering if it raises goodput by gainShare.
	raiseStep = 1.25
	gainShare = 1.10
	// fastRaise is used while service times are normal or the limit is not reached.
	fastRaise = 1.5

	// Time between trials; it doubles after each failed one, because a trial
	// that fails costs up to 1 - lowerStep of the goodput while it lasts.
	minTrialPause = 2 * time.Second
	maxTrialPause = 16 * time.Second
)

// trial is a step whose effect is being measured.
type trial struct {
	active  bool
	raise   bool
	from    float64 // limit before
	goodput float64 // successes per second before
	settled time.Time
}

// limiter adapts the concurrency limit between 1 and the announced slots.
//
// The service time alone does not tell whether a lower limit helps: it also
// grows when another service that the server calls is slow, and then a lower
// limit only lowers throughput. A growing service time, or refusals by the
// server itself, therefore only start a trial: the limit is lowered by a
// fifth, and stays so only if the goodput stays.
type limiter struct {
	slots    int
	limit    float64
	inFlight int
	base     time.Duration // least mean service time

	start     time.Time // of the window
	last      time.Time // of the last change of inFlight
	atLimit   time.Duration
	successes int
	shed      int
	service   time.Duration // sum over successes

	trial      trial
	nextLower  time.Time
	lowerPause time.Duration
	nextRaise  time.Time
	raisePause time.Duration
}

// current returns the limit in whole requests.
func (l *limiter) current() int {
	return max(min(1, l.slots), int(l.limit+0.5))
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
	if l.start.IsZero() {
		l.start, l.last = now, now
	}
	if now.After(l.last) {
		if l.inFlight >= l.current() {
			l.atLimit += now.Sub(l.last)
		}
		l.last = now
	}
}

// started counts a request in.
func (l *limiter) started(now time.Time) {
	l.observe(now)
	l.inFlight++
}

// finished counts a request out.
func (l *limiter) finished(now time.Time, service time.Duration, outcome Outcome) {
	l.observe(now)
	l.inFlight--
	switch outcome {
	case Succeeded:
		l.successes++
		l.service += service
	case ServerShed:
		l.shed++
	}
	l.adapt(now)
}

// adapt closes the window when it has enough samples and changes the limit.
func (l *limiter) adapt(now time.Time) {
	l.observe(now)
	elapsed := now.Sub(l.start)
	if l.trial.active && l.start.Before(l.trial.settled) {
		if now.Before(l.trial.settled) {
			return
		}
		l.reset(now)
		return
	}
	if elapsed < minLimitWindow || (l.successes+l.shed < samplesPerWindow && elapsed < maxLimitWindow) {
		return
	}
	saturated := l.atLimit*10 >= elapsed*8
	goodput := float64(l.successes) / elapsed.Seconds()
	var mean time.Duration
	if l.successes > 0 {
		mean = l.service / time.Duration(l.successes)
	}
	shedShare := float64(l.shed) / float64(max(1, l.shed+l.successes))
	l.updateBase(mean, elapsed)
	l.reset(now)
	normal := mean <= time.Duration(tolerance*float64(l.base)) && shedShare <= maxShedShare
	switch {
	case l.trial.active:
		l.judge(now, saturated, goodput, mean)
	case !saturated:
		l.set(l.limit * fastRaise)
	case normal && shedShare == 0 && l.limit < float64(l.slots):
		l.set(l.limit * fastRaise)
	case l.limit < float64(l.slots) && !now.Before(l.nextRaise):
		l.try(now, l.limit*raiseStep, goodput, mean)
	case !normal && !now.Before(l.nextLower):
		l.try(now, l.limit*lowerStep, goodput, mean)
	}
}

// updateBase follows the least mean service time.
func (l *limiter) updateBase(mean, elapsed time.Duration) {
	if mean <= 0 {
		return
	}
	if l.base == 0 || mean < l.base {
		l.base = mean
		return
	}
	l.base += time.Duration(float64(l.base) * baseDrift * elapsed.Seconds())
}

// try starts a trial with another limit.
func (l *limiter) try(now time.Time, limit, goodput float64, mean time.Duration) {
	before := l.limit
	l.set(limit)
	if l.current() == max(1, int(before+0.5)) {
		return
	}
	l.trial = trial{
		active: true, raise: l.limit > before, from: before, goodput: goodput,
		settled: now.Add(min(mean, maxSettle)),
	}
}

// judge ends a trial: it keeps the new limit only if that helped.
func (l *limiter) judge(now time.Time, saturated bool, goodput float64, mean time.Duration) {
	t := l.trial
	l.trial = trial{}
	if t.raise {
		if goodput >= gainShare*t.goodput || !saturated {
			l.raisePause = 0
			l.nextRaise = now
			return
		}
		l.limit = t.from
		l.raisePause = min(max(2*l.raisePause, minTrialPause/2), maxTrialPause)
		l.nextRaise = now.Add(l.raisePause)
		return
	}
	if goodput >= keepShare*t.goodput && saturated {
		l.lowerPause = 0
		l.nextLower = now
		l.nextRaise = now.Add(minTrialPause)
		return
	}
	l.limit = t.from
	if mean > 0 {
		// Concurrency is not the cause of this service time: it is the new normal.
		l.base = max(l.base, mean)
	}
	l.lowerPause = min(max(2*l.lowerPause, minTrialPause), maxTrialPause)
	l.nextLower = now.Add(l.lowerPause)
}

// set changes the limit within its bounds.
func (l *limiter) set(limit float64) {
	l.limit = min(max(limit, 1), float64(l.slots))
}

// reset starts a new window.
func (l *limiter) reset(now time.Time) {
	l.start, l.last = now, now
	l.atLimit, l.successes, l.shed, l.service = 0, 0, 0, 0
}
