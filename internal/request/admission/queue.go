package admission

import (
	"slices"
	"time"
)

const (
	importanceCount = 8
	// classes is the number of queue classes. There are two per importance: child
	// calls of admitted requests are served before new requests.
	classes = 2 * importanceCount
)

// class returns the queue class of a request; lower is served first.
func (r *Request) class() uint8 {
	c := 2 * min(r.Importance, importanceCount-1)
	if r.Depth == 0 {
		c++
	}
	return c
}

// entry is a queued or running request.
type entry struct {
	Request
	class            uint8
	running          bool
	workspace        *workspace
	queuedAt         time.Time
	charged          time.Duration // expected service time added to workspace.received at the start
	startLoad        int           // requests in flight when it started, including itself
	calledDownstream bool          // a call to a downstream service has ended
	downstreamLevel  int           // lowest threshold level of the services that it called
	prev             *entry
	next             *entry
}

// fifo is a first-in-first-out list of entries, doubly linked so that any entry can
// be removed.
type fifo struct {
	head, tail *entry
	n          int
}

func (f *fifo) push(e *entry) {
	e.prev, e.next = f.tail, nil
	if f.tail == nil {
		f.head = e
	} else {
		f.tail.next = e
	}
	f.tail = e
	f.n++
}

func (f *fifo) remove(e *entry) {
	if e.prev == nil {
		f.head = e.next
	} else {
		e.prev.next = e.next
	}
	if e.next == nil {
		f.tail = e.prev
	} else {
		e.next.prev = e.prev
	}
	e.prev, e.next = nil, nil
	f.n--
}

// workspace is the state of one workspace at the backend server.
type workspace struct {
	name string
	// received is the server time used by its requests that started from the queue.
	// It decays with the time constant receivedTimeConstant, so that in a steady state it
	// orders the workspaces by the rate at which they are served.
	received  time.Duration
	queues    [classes]fifo
	queued    int
	running   int
	lastSeen  time.Time
	threshold threshold
}

// queue orders requests by class, then by the server time that their workspaces
// have received, then by arrival.
//
// It bounds the wait of a workspace that uses less than its fair share. Consider
// the first request that this workspace has in the most important queued class.
// Before it, at most one request of each other workspace with a queue starts, plus
// those that compensate for requests that ran longer than charged. With W other
// workspaces, a concurrency limit of n and a longest service time of S, the request
// starts within (W/n + 1) × S, regardless of how many requests the others send.
// Workspaces that return after being idle can add about maxIdleCredit.
type queue struct {
	n       int
	byClass [classes][]*workspace // workspaces with queued requests in the class
	active  []*workspace          // workspaces with queued requests
}

// push appends a request to its workspace's queue for its class.
func (q *queue) push(e *entry) {
	w := e.workspace
	if w.queued == 0 {
		q.active = append(q.active, w)
	}
	f := &w.queues[e.class]
	if f.n == 0 {
		q.byClass[e.class] = append(q.byClass[e.class], w)
	}
	f.push(e)
	w.queued++
	q.n++
}

// remove removes a request from the queue.
func (q *queue) remove(e *entry) {
	w := e.workspace
	f := &w.queues[e.class]
	f.remove(e)
	if f.n == 0 {
		q.byClass[e.class] = removeWorkspace(q.byClass[e.class], w)
	}
	w.queued--
	// The classes of importance i are 2i and 2i+1.
	minQueued := &w.threshold.minQueued[e.class/2]
	*minQueued = min(*minQueued, w.queues[e.class&^1].n+w.queues[e.class|1].n)
	if w.queued == 0 {
		q.active = removeWorkspace(q.active, w)
	}
	q.n--
}

// removeWorkspace removes w from the list and does not preserve the order.
func removeWorkspace(list []*workspace, w *workspace) []*workspace {
	i := slices.Index(list, w)
	last := len(list) - 1
	list[i], list[last] = list[last], nil
	return list[:last]
}

// minReceived returns the lowest received server time among the workspaces with queued
// requests.
func (q *queue) minReceived() time.Duration {
	minReceived := time.Duration(0)
	for i, w := range q.active {
		if i == 0 || w.received < minReceived {
			minReceived = w.received
		}
	}
	return minReceived
}

// head returns the request to start next, or nil if the queue is empty.
func (q *queue) head() *entry {
	for c := range q.byClass {
		if len(q.byClass[c]) > 0 {
			return leastServed(q.byClass[c]).queues[c].head
		}
	}
	return nil
}

// leastServed returns the workspace that has received the least server time, and among
// equals the one with the fewest running requests.
func leastServed(list []*workspace) *workspace {
	best := list[0]
	for _, w := range list[1:] {
		if w.received < best.received || (w.received == best.received && w.running < best.running) {
			best = w
		}
	}
	return best
}

// displaceable returns the request to displace in favour of e: in the least important
// queued class, the newest request of the workspace with the longest queue. It
// returns nil if e has no priority over that request, which needs either a more
// important class or, within the same class, a workspace with a shorter queue.
func (q *queue) displaceable(e *entry) *entry {
	for c := classes - 1; c >= int(e.class); c-- {
		list := q.byClass[c]
		if len(list) == 0 {
			continue
		}
		longest := list[0]
		for _, w := range list[1:] {
			if w.queued > longest.queued {
				longest = w
			}
		}
		if c == int(e.class) && longest.queued <= e.workspace.queued+1 {
			return nil
		}
		return longest.queues[c].tail
	}
	return nil
}

// queuedAhead returns the number of queued requests of the workspace that are served
// before a new request of the class.
func (w *workspace) queuedAhead(class uint8) int {
	n := 0
	for c := range class + 1 {
		n += w.queues[c].n
	}
	return n
}
