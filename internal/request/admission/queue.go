package admission

import (
	"slices"
	"time"
)

const (
	importances = 8
	// classes orders the queue: two per importance, calls of admitted trees first.
	classes = 2 * importances
)

// class returns the queue class of a request; lower is served first.
func (r *Request) class() uint8 {
	c := 2 * min(r.Importance, importances-1)
	if r.Depth == 0 {
		c++
	}
	return c
}

// entry is a queued or running request.
type entry struct {
	Request
	class     uint8
	running   bool
	workspace *workspace
	queuedAt  time.Time
	charged   time.Duration
	load      int // requests in flight when it was started, with itself
	called    bool
	below     int // least level of the services that it called
	prev      *entry
	next      *entry
}

// fifo is a doubly linked list of entries.
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

// workspace is the state of one workspace at this server.
type workspace struct {
	name string
	// received is the server time of its requests that were started while
	// others waited, forgotten with the time constant receivedTime. In a
	// steady state it orders the workspaces by the rate that they receive.
	received time.Duration
	queues   [classes]fifo
	queued   int
	running  int
	lastSeen time.Time
	level    level
}

// queue orders requests by class, then by the server time that their
// workspaces received, then by arrival.
//
// Bound. Consider a workspace that uses less than its share, and its first
// queued request in the most important class that is queued. Before it, at
// most one request of each other workspace with a queue is started, plus
// those that make up for charges that were too low. With W such workspaces, a
// limit of n and a longest service time S, it therefore starts within
// (W/n + 1) × S, however many requests the others send. Workspaces that sent
// nothing before can add about savedTime.
type queue struct {
	n       int
	byClass [classes][]*workspace // workspaces with queued requests of the class
	active  []*workspace          // workspaces with queued requests
}

// push adds a request at the end of its workspace's queue of its class.
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

// remove takes a request out.
func (q *queue) remove(e *entry) {
	w := e.workspace
	f := &w.queues[e.class]
	f.remove(e)
	if f.n == 0 {
		q.byClass[e.class] = without(q.byClass[e.class], w)
	}
	w.queued--
	least := &w.level.least[e.class/2]
	*least = min(*least, w.queues[e.class&^1].n+w.queues[e.class|1].n)
	if w.queued == 0 {
		q.active = without(q.active, w)
	}
	q.n--
}

// without removes w; the order of the rest does not matter.
func without(list []*workspace, w *workspace) []*workspace {
	i := slices.Index(list, w)
	last := len(list) - 1
	list[i], list[last] = list[last], nil
	return list[:last]
}

// least returns the least received time among the workspaces with a queue.
func (q *queue) least() time.Duration {
	least := time.Duration(0)
	for i, w := range q.active {
		if i == 0 || w.received < least {
			least = w.received
		}
	}
	return least
}

// head returns the request that is to be started next, nil if there is none.
func (q *queue) head() *entry {
	for c := range q.byClass {
		if len(q.byClass[c]) > 0 {
			return neediest(q.byClass[c]).queues[c].head
		}
	}
	return nil
}

// neediest returns the workspace that received the least; among equals the
// one with the least in service.
func neediest(list []*workspace) *workspace {
	best := list[0]
	for _, w := range list[1:] {
		if w.received < best.received || (w.received == best.received && w.running < best.running) {
			best = w
		}
	}
	return best
}

// victim returns the request to displace for e: the newest one of the least
// important class, of the workspace with the longest queue. nil if e is not
// more entitled: it is neither more important, nor has its workspace a
// shorter queue within the same class.
func (q *queue) victim(e *entry) *entry {
	for c := classes - 1; c >= int(e.class); c-- {
		list := q.byClass[c]
		if len(list) == 0 {
			continue
		}
		most := list[0]
		for _, w := range list[1:] {
			if w.queued > most.queued {
				most = w
			}
		}
		if c == int(e.class) && most.queued <= e.workspace.queued+1 {
			return nil
		}
		return most.queues[c].tail
	}
	return nil
}

// ahead counts the requests of the workspace that are served before a new
// one of the class.
func (w *workspace) ahead(class uint8) int {
	n := 0
	for c := range class + 1 {
		n += w.queues[c].n
	}
	return n
}
