package runqueue

import (
	"math"
	"time"
)

const (
	// maxWaitingPerSlot bounds the number of waiting attempts without an objective, as a
	// multiple of Limit.
	maxWaitingPerSlot = 8
	// minWaitingBound is the smallest bound of that number, whatever the Limit.
	minWaitingBound = 64
	// maxOrderedPerSlot and maxOrderedWaiting bound the number of all waiting attempts, as a
	// multiple of Limit and in total. With an objective, the predicted wait is the bound;
	// these only limit the memory. 128 attempts of 22 ms for each slot take 2.8 s.
	maxOrderedPerSlot = 128
	maxOrderedWaiting = 4096
	// trustedWaitShare is the fraction of the computed wait that is taken as certain:
	// the service time is an average, and waiting attempts may be cancelled.
	trustedWaitShare = 0.8
	// rateTimeConstant is the time constant of the start and work rates of a class.
	// minStartRate is the lowest start rate of a class, per second, that predictedWait
	// assumes.
	rateTimeConstant = time.Second
	minStartRate     = 1.0
	// objectiveWaitShare is the share of the time left to its objective that an attempt may
	// be expected to wait here, callWaitShare that of a call whose tree may make more calls.
	// Attempts beyond it are started after the others. Otherwise, in overload, each tree
	// would be served until its objective has passed, and few would meet it.
	objectiveWaitShare = 0.6
	callWaitShare      = 0.1
	// maxOtherWaitShare is the share of the wait here that the wait at another upstream may
	// be for an attempt to be sent there. Reports are up to half a second old, and each
	// move takes the sender another round trip.
	maxOtherWaitShare = 0.5
	// slowdownThreshold is the ratio of the mean age of the running attempts to their mean
	// expected service time from which the server counts as slower by that ratio. The ratio
	// is 0.5 for constant service times and 1 for exponentially distributed ones.
	slowdownThreshold = 2.0
)

// Offer queues, starts or refuses an attempt. A more important attempt displaces the
// newest of the least important ones if the queue is full.
func (q *Queue) Offer(now time.Time, a Attempt) Actions {
	var actions Actions
	if q.Limit() == 0 {
		return refuse(actions, a.ID, ReasonNoSlots)
	}
	e := &entry{Attempt: a, queuedAt: now, class: int(min(a.Importance, classCount-1)), cost: q.serviceTime}
	if e.ordered() {
		e.cost = q.costs.expected(a.Route, q.serviceTime)
	}
	if reason := q.checkWait(now, e); reason != "" {
		return refuse(actions, a.ID, reason)
	}
	if q.full(e) {
		displaced := q.displaceable(now, e)
		if displaced == nil {
			return refuse(actions, a.ID, ReasonQueueFull)
		}
		q.remove(displaced)
		actions = refuse(actions, displaced.ID, ReasonDisplaced)
	}
	q.waiting[a.ID] = e
	q.insert(e)
	return q.startWaiting(now, actions)
}

// checkWait returns why an attempt is refused for its predicted wait, or "". A refusal as
// ReasonObjectiveMissed is sent to another upstream, one as ReasonDeadlineTooClose ends the call.
func (q *Queue) checkWait(now time.Time, e *entry) Reason {
	if !e.ordered() {
		if !q.canFinish(now.Add(q.predictedWait(now, e.class)), e) {
			return ReasonDeadlineTooClose
		}
		return ""
	}
	wait := q.rankAttempt(now, e)
	start := now.Add(wait)
	if e.Movable && wait > 0 {
		if other := q.otherWaitShare(e); other <= maxOtherWaitShare {
			elsewhere := now.Add(time.Duration(other * float64(wait)))
			if q.canMeetObjective(elsewhere, e) && !q.canMeetObjective(start, e) || q.canFinish(elsewhere, e) && !q.canFinish(start, e) {
				return ReasonObjectiveMissed
			}
		}
	}
	if !q.canFinish(start, e) {
		return ReasonDeadlineTooClose
	}
	return ""
}

// rankAttempt sets the rank of a new attempt and returns its predicted wait.
func (q *Queue) rankAttempt(now time.Time, e *entry) time.Duration {
	if !q.canMeetObjective(now, e) {
		e.rank = late
	}
	wait := q.orderedWait(now, e)
	left := e.Objective.Sub(now) - q.leastTime(e)
	share := objectiveWaitShare
	if e.MoreToCome {
		share = callWaitShare
	}
	if e.rank == onTime && float64(wait) > share*float64(left) {
		e.rank = doubtful
		wait = q.orderedWait(now, e)
	}
	return wait
}

// otherWaitShare returns the sender's expected wait at another upstream as a share of the
// wait here by the same estimate, which ignores importance. Comparing it with orderedWait
// instead would send unimportant attempts round between servers that are equally full.
func (q *Queue) otherWaitShare(e *entry) float64 {
	own := q.slowdown * float64(len(q.waiting)+1) * q.serviceTime.Seconds() / float64(q.Limit())
	if own <= 0 {
		return 1
	}
	return e.OtherWait.Seconds() / own
}

// full reports whether an attempt has no place in the queue.
func (q *Queue) full(e *entry) bool {
	if !e.ordered() && q.unordered >= max(minWaitingBound, maxWaitingPerSlot*q.Limit()) {
		return true
	}
	return len(q.waiting) >= max(minWaitingBound, maxWaitingPerSlot*q.Limit(), min(maxOrderedPerSlot*q.Limit(), maxOrderedWaiting))
}

// displaceable returns the attempt that is refused in place of e if the queue is full:
// the newest of the least important ones or, if these are as important as e, the newest
// of the workspace that is furthest over its fair share. It returns nil if there is none.
func (q *Queue) displaceable(now time.Time, e *entry) *entry {
	least := classCount - 1
	for least > 0 && q.classes[least].arrivals.Len() == 0 {
		least--
	}
	c := &q.classes[least]
	switch {
	case least > e.class && c.arrivals.Len() > 0:
		return c.arrivals.Back().Value.(*entry)
	case least < e.class || !e.ordered():
		return nil
	}
	limit := q.shares.limit(now, c.flows, q.serviceTime)
	var most *share
	for _, f := range c.flows {
		if f.share.over(limit) && f.share.workspace != e.Workspace && (most == nil || f.share.usage > most.usage) {
			most = f.share
		}
	}
	if most == nil || q.shares.workspaces[e.Workspace].over(limit) {
		return nil
	}
	for element := c.arrivals.Back(); element != nil; element = element.Prev() {
		if newest := element.Value.(*entry); newest.flow.share == most {
			return newest
		}
	}
	return nil
}

// predictedWait estimates the queueing time of a new attempt without an objective: the
// number of waiting attempts of its class, divided by the service rate that more
// important classes leave to the class.
func (q *Queue) predictedWait(now time.Time, class int) time.Duration {
	if wait := q.limitedWait(now, class); wait > 0 {
		return wait
	}
	if len(q.running) < q.Limit() || q.serviceTime == 0 {
		return 0
	}
	availableRate := float64(q.Limit()) / q.serviceTime.Seconds()
	for c := range class {
		availableRate -= q.startRates[c].perSecond(now)
	}
	availableRate = max(availableRate, q.startRates[class].perSecond(now), minStartRate)
	return time.Duration(trustedWaitShare * float64(q.classes[class].arrivals.Len()) / availableRate * float64(time.Second))
}

// orderedWait estimates the queueing time of a new attempt with an objective: the
// expected service time of the attempts that would be started before it, divided by the
// slots that more important classes leave to the class, or the time until it is started
// out of order if that is shorter.
func (q *Queue) orderedWait(now time.Time, e *entry) time.Duration {
	if wait := q.limitedWait(now, e.class); wait > 0 {
		return wait
	}
	if len(q.running) < q.Limit() {
		return 0
	}
	own := q.workAhead(now, e)
	available, ahead := float64(q.Limit()), own
	for c := range e.class {
		available -= q.workRates[c].perSecond(now)
		ahead += q.classes[c].work
	}
	exceptions := float64(q.Limit()) / startsPerException
	available = max(available, q.workRates[e.class].perSecond(now), exceptions)
	inOrder := time.Duration(trustedWaitShare * q.slowdown * float64(ahead) / available)
	outOfOrder := time.Duration(trustedWaitShare * q.slowdown * float64(own) / exceptions)
	return min(inOrder, max(outOfOrder, e.Deadline.Sub(now)/2))
}

// workAhead returns the expected service time of the waiting attempts of e's class that
// would be started before e.
func (q *Queue) workAhead(now time.Time, e *entry) time.Duration {
	c := &q.classes[e.class]
	limit := q.shares.limit(now, c.flows, q.serviceTime)
	over := q.shares.workspaces[e.Workspace].over(limit)
	key := e.Objective
	if e.rank == late {
		key = e.Deadline
	}
	until, ahead := key.Sub(q.epoch), time.Duration(0)
	for _, f := range c.flows {
		for r := range e.rank {
			ahead += f.ranks[r].workUntil(math.MaxInt64)
		}
		switch otherOver := f.share.over(limit); {
		case over && !otherOver:
			ahead += f.ranks[e.rank].workUntil(math.MaxInt64)
		case over == otherOver:
			ahead += f.ranks[e.rank].workUntil(until)
		}
	}
	return ahead
}

// workUntil returns the cost of the entries whose time is not after key.
func (h *attemptHeap) workUntil(key time.Duration) time.Duration {
	work := time.Duration(0)
	for i := range h.items {
		if h.items[i].key <= key {
			work += h.items[i].cost
		}
	}
	return work
}

// measureSlowdown compares the ages of the running attempts with their expected service
// times: a server that has become much slower shows it before any run has ended.
func (q *Queue) measureSlowdown(now time.Time) {
	age, cost := time.Duration(0), time.Duration(0)
	for _, r := range q.running {
		if r.cost > 0 { // 0 if no service time was known at the start
			age += now.Sub(r.started)
			cost += r.cost
		}
	}
	q.slowdown = 1
	if ratio := age.Seconds() / cost.Seconds(); cost > 0 && ratio >= slowdownThreshold {
		q.slowdown = ratio
	}
}

// decayingRate is the rate of a quantity, averaged with exponentially decaying weights.
type decayingRate struct {
	recent float64 // amounts, each weighted by its age at time at
	at     time.Time
}

func (r *decayingRate) add(now time.Time, amount float64) {
	r.recent, r.at = r.perSecond(now)*rateTimeConstant.Seconds()+amount, now
}

func (r *decayingRate) perSecond(now time.Time) float64 {
	if r.recent == 0 {
		return 0
	}
	return r.recent * math.Exp(-now.Sub(r.at).Seconds()/rateTimeConstant.Seconds()) / rateTimeConstant.Seconds()
}
