package peer

import "sync"

const (
	// maxQueuedFrames is the maximum number of queued frames. A peer for which more have
	// to be queued does not read, and its link is closed.
	maxQueuedFrames = 8192
	// maxRetainedFrames is the maximum capacity, in frames, that an empty queue keeps.
	// A daemon has hundreds of links, most of them idle, and a capacity of
	// maxQueuedFrames would take 196 KB for each.
	maxRetainedFrames = 64
	// maxBatchBytes is the maximum size in bytes of several frames that are sent as one
	// WebSocket message.
	maxBatchBytes = 8 << 10
)

// sendQueue is a FIFO queue of the encoded frames to send on a link. It is safe for
// concurrent use, and its memory grows and shrinks with its content.
type sendQueue struct {
	wake chan struct{} // has an element if there may be frames in the queue

	mu     sync.Mutex
	frames [][]byte
	head   int // index of the oldest frame in frames
}

func newSendQueue() *sendQueue { return &sendQueue{wake: make(chan struct{}, 1)} }

// push adds a frame. It returns false if the queue is full.
func (q *sendQueue) push(frame []byte) bool {
	q.mu.Lock()
	if len(q.frames)-q.head >= maxQueuedFrames {
		q.mu.Unlock()
		return false
	}
	if q.head > len(q.frames)/2 { // bounds the copying: amortized, one move per frame
		n := copy(q.frames, q.frames[q.head:])
		clear(q.frames[n:])
		q.frames, q.head = q.frames[:n], 0
	}
	q.frames = append(q.frames, frame)
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default: // there is an element already
	}
	return true
}

// pop removes the oldest frame and the next ones, as long as all fit in limit bytes
// together, and returns them as one slice. A single frame may be larger than limit.
// It returns false if the queue is empty.
func (q *sendQueue) pop(limit int) ([]byte, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	batch, ok := q.popLocked()
	for ok && q.head < len(q.frames) && len(batch)+len(q.frames[q.head]) <= limit {
		next, _ := q.popLocked()
		batch = append(batch, next...)
	}
	return batch, ok
}

// popLocked removes the oldest frame. The caller holds mu.
func (q *sendQueue) popLocked() ([]byte, bool) {
	if q.head == len(q.frames) {
		return nil, false
	}
	frame := q.frames[q.head]
	q.frames[q.head] = nil
	q.head++
	if q.head == len(q.frames) {
		q.frames, q.head = q.frames[:0], 0
		if cap(q.frames) > maxRetainedFrames {
			q.frames = nil
		}
	}
	return frame, true
}
