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
// Some servers receive both short urgent requests and nested calls of call trees that
// tolerate seconds, at 93% of their slots and above. Attempts with a latency objective
// are therefore ordered further within an importance: by whether they can still meet it,
// by the fair shares of the workspaces, then by the objective (order.go, fairshare.go).
// The bound of their queue follows from the objective (bound.go). Attempts without an
// objective keep the order of arrival and a bound on their number.
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
	// smoothingRuns is the number of runs over which the service time and the queueing
	// time are averaged.
	smoothingRuns = 64
	// minServiceShare is the fraction of the mean service time that must remain until
	// the deadline when an attempt is started. It is below 1 because many requests take
	// less than the mean.
	minServiceShare = 0.5
)

// ID identifies an attempt.
type ID = wire.AttemptID

// Attempt is an attempt offered to the queue.
type Attempt struct {
	ID         ID
	Importance uint8 // lower is more important
	Deadline   time.Time
	// Objective is the time by which the attempt's call tree should be answered; zero:
	// there is none, and the attempt is ordered by importance and arrival only.
	Objective time.Time
	// Workspace is the one that the server's time is charged to, Route the one whose
	// service times tell the cost. Both are used only with an Objective.
	Workspace, Route string
	// MoreToCome is true if the attempt is a call made by a run, so that its call tree may
	// make more calls before it can be answered.
	MoreToCome bool
	// Movable is true if the sender can send the attempt to another upstream, where the
	// sender expects it to wait for OtherWait.
	Movable   bool
	OtherWait time.Duration
}

// ordered reports whether the attempt is ordered by its objective.
func (a *Attempt) ordered() bool { return !a.Objective.IsZero() }

// Reason is why an attempt was refused.
type Reason string

// The reasons.
const (
	ReasonQueueFull        Reason = "queue-full"
	ReasonDeadlineTooClose Reason = "not-enough-time"
	ReasonNoSlots          Reason = "no-slots-announced"
	ReasonDisplaced        Reason = "displaced"
	// ReasonObjectiveMissed refuses an attempt that would miss its objective here and is
	// expected to meet it at another upstream.
	ReasonObjectiveMissed Reason = "objective-missed"
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

// runningAttempt is a started attempt.
type runningAttempt struct {
	started time.Time
	route   string        // "" without an objective
	cost    time.Duration // that was charged to the workspace
	share   *share        // of the workspace; nil without an objective
}

// Queue orders the attempts for one backend server.
type Queue struct {
	slots   int
	running map[ID]runningAttempt
	waiting map[ID]*entry
	classes [classCount]class
	// unordered is the number of waiting attempts without an objective.
	unordered   int
	startRates  [classCount]decayingRate // starts
	workRates   [classCount]decayingRate // seconds of expected service time started
	serviceTime time.Duration
	costs       routeCosts
	shares      fairShares
	queueTime   time.Duration // smoothed queueing time of started attempts
	// slowdown is by how much the server is slower than its service times say; 1: not known
	// to be slower.
	slowdown float64
	// startsInOrder is the number of starts since the last one out of order.
	startsInOrder int
	sequence      uint64 // of the last queued attempt
	spareFlow     *flow  // an empty one, or nil
	epoch         time.Time
	limiter       StartLimiter // may be nil
}

// New returns a queue without slots.
func New() *Queue {
	q := &Queue{running: make(map[ID]runningAttempt), waiting: make(map[ID]*entry), slowdown: 1}
	for i := range q.classes {
		q.classes[i].arrivals = list.New()
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

func refuse(actions Actions, id ID, reason Reason) Actions {
	actions.Refuse = append(actions.Refuse, Refusal{ID: id, Reason: reason})
	return actions
}

// Finish ends a started attempt. A service time above 0 is added to the average.
func (q *Queue) Finish(now time.Time, id ID, serviceTime time.Duration) Actions {
	r := q.running[id]
	delete(q.running, id)
	if r.share != nil {
		q.shares.finished(now, r.share, serviceTime-r.cost, serviceTime > 0)
	}
	if serviceTime > 0 {
		q.recordServiceTime(serviceTime)
		if r.route != "" {
			q.costs.record(now, r.route, serviceTime)
		}
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
	q.measureSlowdown(now)
	for i := range q.classes {
		for e := q.classes[i].arrivals.Front(); e != nil; {
			next := e.Next()
			waiting := e.Value.(*entry)
			if !q.canFinish(now, waiting) {
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
		e, outOfOrder := q.head(now)
		if e == nil {
			break
		}
		q.remove(e)
		if !q.canFinish(now, e) {
			actions = refuse(actions, e.ID, ReasonDeadlineTooClose)
			continue
		}
		q.queueTime += (now.Sub(e.queuedAt) - q.queueTime) / smoothingRuns
		q.recordStart(now, e, outOfOrder)
		actions.Start = append(actions.Start, e.ID)
	}
	if len(q.waiting) == 0 {
		q.slowdown = 1 // it is measured again when attempts wait
	}
	return actions
}

// recordStart records that an attempt starts.
func (q *Queue) recordStart(now time.Time, e *entry, outOfOrder bool) {
	r := runningAttempt{started: now, cost: e.cost}
	if e.ordered() {
		r.route, r.share = e.Route, e.share
		q.shares.started(now, r.share, e.cost)
	}
	q.running[e.ID] = r
	if q.limiter != nil {
		q.limiter.Started(now)
	}
	q.startRates[e.class].add(now, 1)
	q.workRates[e.class].add(now, e.cost.Seconds())
	q.startsInOrder++
	if outOfOrder {
		q.startsInOrder = 0
	}
}

// canFinish reports whether an attempt started at now is likely enough to finish by its
// deadline.
func (q *Queue) canFinish(now time.Time, e *entry) bool {
	needed := q.leastTime(e)
	if e.rank == late {
		// Late attempts are ordered by deadline, so that in overload each would be started
		// with the least time left, and few would finish.
		needed = e.cost
	}
	return e.Deadline.Sub(now) > needed
}

// leastTime returns the time that must be left when an attempt starts.
func (q *Queue) leastTime(e *entry) time.Duration {
	expected := q.serviceTime
	if e.ordered() {
		expected = e.cost
	}
	return time.Duration(minServiceShare * float64(expected))
}
