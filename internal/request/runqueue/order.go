package runqueue

import (
	"cmp"
	"container/heap"
	"container/list"
	"slices"
	"time"
)

const (
	// startsPerException is the number of starts of which at most one is out of order, for
	// an attempt that has waited for half of its time.
	startsPerException = 10
	// assumedObjective orders attempts without an objective, counted from their arrival,
	// among those of the same importance that have one.
	assumedObjective = time.Second
)

// entry is a queued attempt.
type entry struct {
	Attempt
	queuedAt time.Time
	class    int
	sequence uint64        // order of arrival
	cost     time.Duration // expected service time when it was queued
	element  *list.Element // in the arrivals of the class
	share    *share        // of the workspace; nil without an objective
	flow     *flow
	rank     rank
	// flowPosition and halfTimePosition are the indices in the heaps that hold the entry.
	flowPosition, halfTimePosition int
}

// rank orders the attempts of one importance before all else.
type rank uint8

// The ranks. Attempts without an objective are always onTime.
const (
	onTime   rank = iota // expected to meet the objective when it was queued
	doubtful             // can meet the objective, but was not expected to when it was queued
	late                 // was found unable to meet the objective
	rankCount
)

// class holds the waiting attempts of one importance.
type class struct {
	arrivals *list.List // of *entry, oldest first
	flows    []*flow    // that have waiting attempts
	work     time.Duration
}

// flow holds the waiting attempts of one importance and workspace, or those of one
// importance without an objective.
type flow struct {
	share *share // of the workspace; nil for attempts without an objective
	// ranks holds the attempts by rank: the late ones ordered by deadline, the others by
	// objective.
	ranks [rankCount]attemptHeap
	// halfTimes holds the attempts with an objective by the time at which half of their time
	// has passed: those whose start lets the call tree be answered, and those with more
	// calls to come.
	halfTimes [2]attemptHeap
}

// newFlow returns an empty flow. It reuses the one that became empty last, since at a
// server with free slots each attempt is the only one of its flow.
func (q *Queue) newFlow(s *share) *flow {
	if f := q.spareFlow; f != nil {
		q.spareFlow, f.share = nil, s
		return f
	}
	f := &flow{share: s}
	for r := range f.ranks {
		f.ranks[r].position = func(e *entry) *int { return &e.flowPosition }
	}
	for i := range f.halfTimes {
		f.halfTimes[i].position = func(e *entry) *int { return &e.halfTimePosition }
	}
	return f
}

// insert queues an entry.
func (q *Queue) insert(e *entry) {
	if q.epoch.IsZero() {
		q.epoch = e.queuedAt
	}
	q.sequence++
	e.sequence = q.sequence
	c := &q.classes[e.class]
	var s *share
	if e.ordered() {
		s = q.shares.of(e.Workspace)
		s.waiting++
	} else {
		q.unordered++
	}
	i := slices.IndexFunc(c.flows, func(f *flow) bool { return f.share == s })
	if i < 0 {
		i = len(c.flows)
		c.flows = append(c.flows, q.newFlow(s))
	}
	e.share, e.flow = s, c.flows[i]
	e.element = c.arrivals.PushBack(e)
	c.work += e.cost
	if !e.ordered() {
		heap.Push(&e.flow.ranks[onTime], q.item(e, e.queuedAt.Add(assumedObjective)))
		return
	}
	q.pushRanked(e)
	heap.Push(e.flow.halfTimesOf(e), q.item(e, e.queuedAt.Add(e.Deadline.Sub(e.queuedAt)/2)))
}

// pushRanked adds an attempt with an objective to the heap of its rank.
func (q *Queue) pushRanked(e *entry) {
	key := e.Objective
	if e.rank == late {
		key = e.Deadline
	}
	heap.Push(&e.flow.ranks[e.rank], q.item(e, key))
}

// remove takes an entry out of the queue.
func (q *Queue) remove(e *entry) {
	c := &q.classes[e.class]
	c.arrivals.Remove(e.element)
	c.work -= e.cost
	heap.Remove(&e.flow.ranks[e.rank], e.flowPosition)
	if e.ordered() {
		e.share.waiting--
		heap.Remove(e.flow.halfTimesOf(e), e.halfTimePosition)
	} else {
		q.unordered--
	}
	if e.flow.empty() {
		c.flows = slices.DeleteFunc(c.flows, func(f *flow) bool { return f == e.flow })
		q.spareFlow = e.flow
	}
	e.flow = nil
	delete(q.waiting, e.ID)
}

// halfTimesOf returns the heap of half times that holds an attempt with an objective.
func (f *flow) halfTimesOf(e *entry) *attemptHeap {
	if e.MoreToCome {
		return &f.halfTimes[1]
	}
	return &f.halfTimes[0]
}

// head returns the attempt to be started next, nil if none waits, and whether it is out
// of order, since it has waited for half of its time: one of a less important class, so
// that no importance starves, otherwise one of the same class whose start lets its call
// tree be answered, if its workspace is within its fair share. Within a class, starting late
// calls with more to come would take the time of trees that can still meet their objective,
// for hardly any answer.
func (q *Queue) head(now time.Time) (e *entry, outOfOrder bool) {
	for i := range q.classes {
		if len(q.classes[i].flows) == 0 {
			continue
		}
		if q.startsInOrder >= startsPerException-1 {
			if e := q.outOfOrder(now, i); e != nil {
				return e, true
			}
		}
		return q.first(now, &q.classes[i]), false
	}
	return nil, false
}

// outOfOrder returns the attempt to be started out of order while the given class is the
// most important one that waits, nil if there is none.
func (q *Queue) outOfOrder(now time.Time, class int) *entry {
	oldest := heapItem{key: now.Sub(q.epoch)}
	for i := class + 1; i < classCount; i++ {
		for _, f := range q.classes[i].flows {
			oldest.replaceByEarlier(&f.halfTimes[0])
			oldest.replaceByEarlier(&f.halfTimes[1])
		}
	}
	if oldest.entry != nil {
		return oldest.entry
	}
	flows := q.classes[class].flows
	limit := q.shares.limit(now, flows, q.serviceTime)
	for _, f := range flows {
		if !f.share.over(limit) {
			oldest.replaceByEarlier(&f.halfTimes[0])
		}
	}
	return oldest.entry
}

// replaceByEarlier replaces the item by the head of a heap if that is not later.
func (i *heapItem) replaceByEarlier(h *attemptHeap) {
	if h.Len() > 0 && h.items[0].key <= i.key {
		*i = h.items[0]
	}
}

// first returns the attempt of a class that is started first: one that can meet its
// objective before one that cannot, then one of a workspace within its fair share, then
// the one with the earliest objective, or deadline if the objective is missed.
func (q *Queue) first(now time.Time, c *class) *entry {
	limit := q.shares.limit(now, c.flows, q.serviceTime)
	var best flowHead
	for i, f := range c.flows {
		q.separateLate(now, f)
		if h := f.head(limit); i == 0 || h.compare(&best) < 0 {
			best = h
		}
	}
	return best.item.entry
}

// separateLate moves the attempts at the head of a flow that can no longer meet their
// objective behind those that can.
func (q *Queue) separateLate(now time.Time, f *flow) {
	if f.share == nil {
		return
	}
	for r := range late {
		for h := &f.ranks[r]; h.Len() > 0 && !q.canMeetObjective(now, h.items[0].entry); {
			e := heap.Pop(h).(heapItem).entry
			e.rank = late
			q.pushRanked(e)
		}
	}
}

// empty reports whether a flow has no waiting attempts.
func (f *flow) empty() bool {
	return f.ranks[onTime].Len()+f.ranks[doubtful].Len()+f.ranks[late].Len() == 0
}

// canMeetObjective reports whether an attempt with an objective is likely enough to meet
// it if started at now.
func (q *Queue) canMeetObjective(now time.Time, e *entry) bool {
	return e.Objective.Sub(now) > q.leastTime(e)
}

// flowHead is the first attempt of a flow, with what the order of the flows depends on.
type flowHead struct {
	rank      rank
	overShare bool
	item      heapItem
}

// head returns the first attempt of a flow that has waiting attempts.
func (f *flow) head(limit float64) flowHead {
	h := flowHead{overShare: f.share.over(limit)}
	for f.ranks[h.rank].Len() == 0 {
		h.rank++
	}
	h.item = f.ranks[h.rank].items[0]
	return h
}

func (h *flowHead) compare(other *flowHead) int {
	return cmp.Or(compareBools(h.rank == late, other.rank == late), compareBools(h.overShare, other.overShare), cmp.Compare(h.rank, other.rank), h.item.compare(&other.item))
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// heapItem is an entry in a heap. The fields that the order and the bound need are copied,
// since both look at many entries.
type heapItem struct {
	key      time.Duration // time since Queue.epoch
	sequence uint64
	cost     time.Duration
	entry    *entry
}

func (q *Queue) item(e *entry, key time.Time) heapItem {
	return heapItem{key: key.Sub(q.epoch), sequence: e.sequence, cost: e.cost, entry: e}
}

func (i *heapItem) compare(other *heapItem) int {
	return cmp.Or(cmp.Compare(i.key, other.key), cmp.Compare(i.sequence, other.sequence))
}

// attemptHeap orders entries by a time, then by arrival. It implements heap.Interface.
type attemptHeap struct {
	items    []heapItem
	position func(*entry) *int // where an entry keeps its index
}

func (h *attemptHeap) Len() int           { return len(h.items) }
func (h *attemptHeap) Less(i, j int) bool { return h.items[i].compare(&h.items[j]) < 0 }
func (h *attemptHeap) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.position(h.items[i].entry), *h.position(h.items[j].entry) = i, j
}

// Push implements heap.Interface.
func (h *attemptHeap) Push(x any) {
	item := x.(heapItem)
	*h.position(item.entry) = len(h.items)
	h.items = append(h.items, item)
}

// Pop implements heap.Interface.
func (h *attemptHeap) Pop() any {
	last := h.items[len(h.items)-1]
	h.items[len(h.items)-1] = heapItem{}
	h.items = h.items[:len(h.items)-1]
	return last
}
