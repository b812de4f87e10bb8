package runqueue

import (
	"container/list"
	"math"
	"time"
)

type formerEntry struct {
	Attempt
	queuedAt time.Time
	element  *list.Element
	class    int
}

// formerQueue is the queue as it was before it knew objectives: by importance, then by
// arrival. The tests compare the order and the shares in time with it.
type formerQueue struct {
	slots       int
	running     map[ID]time.Time
	waiting     map[ID]*formerEntry
	classes     [classCount]*list.List
	startRates  [classCount]decayingRate
	serviceTime time.Duration
}

func newFormer() *formerQueue {
	q := &formerQueue{running: make(map[ID]time.Time), waiting: make(map[ID]*formerEntry)}
	for i := range q.classes {
		q.classes[i] = list.New()
	}
	return q
}

func (q *formerQueue) SetSlots(slots int) { q.slots = max(0, slots) }
func (q *formerQueue) Limit() int {
	if q.slots == 0 {
		return 0
	}
	return max(1, int(math.Floor(usableShare*float64(q.slots))))
}

func (q *formerQueue) Offer(now time.Time, a Attempt) Actions {
	var actions Actions
	if q.Limit() == 0 {
		return refuse(actions, a.ID, ReasonNoSlots)
	}
	e := &formerEntry{Attempt: a, queuedAt: now, class: int(min(a.Importance, classCount-1))}
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

func (q *formerQueue) predictedWait(now time.Time, class int) time.Duration {
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

func (q *formerQueue) leastImportant() *formerEntry {
	for class := classCount - 1; class >= 0; class-- {
		if back := q.classes[class].Back(); back != nil {
			return back.Value.(*formerEntry)
		}
	}
	return nil
}

func (q *formerQueue) remove(e *formerEntry) {
	q.classes[e.class].Remove(e.element)
	delete(q.waiting, e.ID)
}

func (q *formerQueue) Finish(now time.Time, id ID, serviceTime time.Duration) Actions {
	delete(q.running, id)
	if serviceTime > 0 {
		q.recordServiceTime(serviceTime)
	}
	return q.startWaiting(now, Actions{})
}

func (q *formerQueue) recordServiceTime(serviceTime time.Duration) {
	if q.serviceTime == 0 {
		q.serviceTime = serviceTime
		return
	}
	q.serviceTime += (serviceTime - q.serviceTime) / smoothingRuns
}

func (q *formerQueue) Cancel(id ID) bool {
	e, ok := q.waiting[id]
	if ok {
		q.remove(e)
	}
	return ok
}

func (q *formerQueue) Advance(now time.Time) Actions {
	var actions Actions
	for _, class := range q.classes {
		for e := class.Front(); e != nil; {
			next := e.Next()
			waiting := e.Value.(*formerEntry)
			if !q.canFinish(now, waiting.Deadline) {
				q.remove(waiting)
				actions = refuse(actions, waiting.ID, ReasonDeadlineTooClose)
			}
			e = next
		}
	}
	return q.startWaiting(now, actions)
}

func (q *formerQueue) startWaiting(now time.Time, actions Actions) Actions {
	for len(q.running) < q.Limit() {
		e := q.head()
		if e == nil {
			break
		}
		q.remove(e)
		if !q.canFinish(now, e.Deadline) {
			actions = refuse(actions, e.ID, ReasonDeadlineTooClose)
			continue
		}
		q.running[e.ID] = now
		q.startRates[e.class].add(now, 1)
		actions.Start = append(actions.Start, e.ID)
	}
	return actions
}

func (q *formerQueue) head() *formerEntry {
	for _, class := range q.classes {
		if front := class.Front(); front != nil {
			return front.Value.(*formerEntry)
		}
	}
	return nil
}

func (q *formerQueue) canFinish(now time.Time, deadline time.Time) bool {
	needed := time.Duration(minServiceShare * float64(q.serviceTime))
	return deadline.Sub(now) > needed
}
