// Package runqueue is the queue of the executing daemon: it decides which attempt
// its backend server runs next.
//
// Attempts of many daemons arrive at one backend server faster than it can serve
// them, and in the server's own queue they would wait for seconds, past their
// deadlines. The daemon therefore passes on no more attempts than the server runs
// concurrently, queues the rest by importance, starts none that can no longer
// finish before its deadline, and reports each refusal at once, with the guarantee
// that the attempt has not run.
//
// Package agent uses this package; package daemon uses admission instead.
//
// A Queue is a pure state machine and not safe for concurrent use.
package runqueue

import (
	"container/list"
	"math"
	"time"

	"tarragonshore.example/tarragonshore/internal/connection/wire"
)

const (
	// usableShare is the fraction of the announced slots that is used. A server that
	// is nearly full serves each request more slowly.
	usableShare = 0.94
	// classCount is the number of importance classes. Class 0 is the most important
	// one. Importances of classCount or more share the last class.
	classCount = 64
	// maxWaitingPerSlot bounds the queue length, as a multiple of Limit.
	maxWaitingPerSlot = 8
	// minWaitingBound is the smallest bound of the queue length, whatever the Limit.
	minWaitingBound = 64
	// smoothingRuns is the number of runs over which the service time and the queueing
	// time are averaged.
	smoothingRuns = 64
	// minServiceShare is the fraction of the mean service time that must remain until
	// the deadline when an attempt is started. It is below 1 because many requests take
	// less than the mean.
	minServiceShare = 0.5
	// trustedWaitShare is the fraction of the computed wait that is taken as certain:
	// the service time is an average, and waiting attempts may be cancelled.
	trustedWaitShare = 0.8
	// startRateTimeConstant is the time constant of the start rate of a class.
	// minStartRate is the lowest start rate, per second, that predictedWait assumes.
	startRateTimeConstant = time.Second
	minStartRate          = 1.0
)

// ID identifies an attempt.
type ID = wire.AttemptID

// Attempt is an attempt offered to the queue.
type Attempt struct {
	ID         ID
	Importance uint8 // lower is more important
	Deadline   time.Time
}

// Reason is why an attempt was refused.
type Reason string

// The reasons.
const (
	ReasonQueueFull        Reason = "queue-full"
	ReasonDeadlineTooClose Reason = "not-enough-time"
	ReasonNoSlots          Reason = "no-slots-announced"
	ReasonDisplaced        Reason = "displaced"
)

// Refusal ends an attempt that has not been started and never will be.
type Refusal struct {
	ID     ID
	Reason Reason
}

// Actions lists what the caller of a Queue method must do next: pass the attempts in
// Start to the backend server, and refuse those in Refuse.
type Actions struct {
	Start  []ID
	Refuse []Refusal
}

// entry is a queued attempt.
type entry struct {
	Attempt
	queuedAt time.Time
	element  *list.Element
	class    int
}

// Queue orders the attempts for one backend server.
type Queue struct {
	slots       int
	running     map[ID]time.Time
	waiting     map[ID]*entry
	classes     [classCount]*list.List
	startRates  [classCount]startRate
	serviceTime time.Duration
	queueTime   time.Duration // smoothed queueing time of started attempts
	limiter     StartLimiter  // may be nil
}

// New returns a queue without slots.
func New() *Queue {
	q := &Queue{running: make(map[ID]time.Time), waiting: make(map[ID]*entry)}
	for i := range q.classes {
		q.classes[i] = list.New()
	}
	return q
}

// SetSlots sets the slots that the backend server announced.
func (q *Queue) SetSlots(slots int) { q.slots = max(0, slots) }

// Limit returns the number of attempts that may run concurrently, or, while starts are
// limited, that run at once at the rate of the limit.
func (q *Queue) Limit() int { return q.rateLimit(q.slotLimit()) }

// slotLimit returns the number of attempts that may run concurrently.
func (q *Queue) slotLimit() int {
	if q.slots == 0 {
		return 0
	}
	return max(1, int(math.Floor(usableShare*float64(q.slots))))
}

// Running returns the number of started attempts.
func (q *Queue) Running() int { return len(q.running) }

// Waiting returns the number of queued attempts.
func (q *Queue) Waiting() int { return len(q.waiting) }

// ServiceTime returns the smoothed service time of the backend server, 0 if not measured.
func (q *Queue) ServiceTime() time.Duration { return q.serviceTime }

// QueueTime returns the smoothed queueing time, 0 if a new attempt would start at once.
func (q *Queue) QueueTime() time.Duration {
	if len(q.waiting) == 0 && len(q.running) < q.Limit() {
		return 0
	}
	return q.queueTime
}

// Offer queues, starts or refuses an attempt. A more important attempt displaces the
// newest of the least important ones if the queue is full.
func (q *Queue) Offer(now time.Time, a Attempt) Actions {
	var actions Actions
	if q.Limit() == 0 {
		return refuse(actions, a.ID, ReasonNoSlots)
	}
	e := &entry{Attempt: a, queuedAt: now, class: int(min(a.Importance, classCount-1))}
	if !q.canFinish(now.Add(q.predictedWait(now, e.class)), a.Deadline) {
		return refuse(actions, a.ID, ReasonDeadlineTooClose)
	}
	if len(q.waiting) >= max(minWaitingBound, maxWaitingPerSlot*q.Limit()) {
		displaced := q.leastImportant()
		if displaced.class <= e.class {
			return refuse(actions, a.ID, ReasonQueueFull)
		}
		q.remove(displaced)
		actions = refuse(actions, displaced.ID, ReasonDisplaced)
	}
	e.element = q.classes[e.class].PushBack(e)
	q.waiting[a.ID] = e
	return q.startWaiting(now, actions)
}

// predictedWait estimates the queueing time of a new attempt: the number of waiting
// attempts of its class, divided by the service rate that more important classes
// leave to the class. Offer refuses an attempt that could not finish after that wait,
// so that the sender can use the remaining time at another upstream.
func (q *Queue) predictedWait(now time.Time, class int) time.Duration {
	if len(q.running) < q.Limit() || q.serviceTime == 0 {
		return 0
	}
	availableRate := float64(q.Limit()) / q.serviceTime.Seconds()
	for c := range class {
		availableRate -= q.startRates[c].perSecond(now)
	}
	availableRate = max(availableRate, q.startRates[class].perSecond(now), minStartRate)
	return time.Duration(trustedWaitShare * float64(q.classes[class].Len()) / availableRate * float64(time.Second))
}

// startRate is the rate at which attempts of a class start, averaged with exponentially
// decaying weights.
type startRate struct {
	recent float64 // starts, each weighted by its age at time at
	at     time.Time
}

func (r *startRate) add(now time.Time) {
	r.recent, r.at = r.perSecond(now)*startRateTimeConstant.Seconds()+1, now
}

func (r *startRate) perSecond(now time.Time) float64 {
	if r.recent == 0 {
		return 0
	}
	return r.recent * math.Exp(-now.Sub(r.at).Seconds()/startRateTimeConstant.Seconds()) / startRateTimeConstant.Seconds()
}

func refuse(actions Actions, id ID, reason Reason) Actions {
	actions.Refuse = append(actions.Refuse, Refusal{ID: id, Reason: reason})
	return actions
}

// leastImportant returns the newest waiting attempt of the least important class that
// has one.
func (q *Queue) leastImportant() *entry {
	for class := classCount - 1; class >= 0; class-- {
		if back := q.classes[class].Back(); back != nil {
			return back.Value.(*entry)
		}
	}
	return nil
}

func (q *Queue) remove(e *entry) {
	q.classes[e.class].Remove(e.element)
	delete(q.waiting, e.ID)
}

// Finish ends a started attempt. A service time above 0 is added to the average.
func (q *Queue) Finish(now time.Time, id ID, serviceTime time.Duration) Actions {
	delete(q.running, id)
	if serviceTime > 0 {
		q.recordServiceTime(serviceTime)
	}
	return q.startWaiting(now, Actions{})
}

// recordServiceTime adds a service time to the average.
func (q *Queue) recordServiceTime(serviceTime time.Duration) {
	if q.serviceTime == 0 {
		q.serviceTime = serviceTime
		return
	}
	q.serviceTime += (serviceTime - q.serviceTime) / smoothingRuns
}

// Cancel removes an attempt from the queue and reports whether it was queued.
func (q *Queue) Cancel(id ID) bool {
	e, ok := q.waiting[id]
	if ok {
		q.remove(e)
	}
	return ok
}

// Advance starts attempts while slots are free and refuses those that can no longer
// finish in time. Call it after SetSlots, and periodically while attempts wait.
func (q *Queue) Advance(now time.Time) Actions {
	var actions Actions
	for _, class := range q.classes {
		for e := class.Front(); e != nil; {
			next := e.Next()
			waiting := e.Value.(*entry)
			if !q.canFinish(now, waiting.Deadline) {
				q.remove(waiting)
				actions = refuse(actions, waiting.ID, ReasonDeadlineTooClose)
			}
			e = next
		}
	}
	return q.startWaiting(now, actions)
}

// startWaiting starts waiting attempts while slots are free.
func (q *Queue) startWaiting(now time.Time, actions Actions) Actions {
	for len(q.running) < q.slotLimit() && q.mayStart(now) {
		e := q.head()
		if e == nil {
			break
		}
		q.remove(e)
		if !q.canFinish(now, e.Deadline) {
			actions = refuse(actions, e.ID, ReasonDeadlineTooClose)
			continue
		}
		q.queueTime += (now.Sub(e.queuedAt) - q.queueTime) / smoothingRuns
		q.running[e.ID] = now
		q.recordStart(now)
		q.startRates[e.class].add(now)
		actions.Start = append(actions.Start, e.ID)
	}
	return actions
}

// head returns the oldest waiting attempt of the most important class that has one.
func (q *Queue) head() *entry {
	for _, class := range q.classes {
		if front := class.Front(); front != nil {
			return front.Value.(*entry)
		}
	}
	return nil
}

// canFinish reports whether an attempt started at now is likely enough to finish by its
// deadline.
func (q *Queue) canFinish(now time.Time, deadline time.Time) bool {
	needed := time.Duration(minServiceShare * float64(q.serviceTime))
	return deadline.Sub(now) > needed
}
