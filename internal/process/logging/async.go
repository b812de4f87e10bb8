package logging

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// writeDelay collects the lines of several requests for one system call. Lines
	// of the last writeDelay are lost if the process is killed.
	writeDelay = 20 * time.Millisecond
	// maxWaiting bounds the lines that wait for an output that stalls, in bytes.
	maxWaiting = 1 << 20
	// keptBuffer is the capacity that is kept for later lines, in bytes.
	keptBuffer = 64 << 10
	// flushTimeout bounds the wait for an output that stalls at the end of the process.
	flushTimeout = time.Second
	flushPoll    = time.Millisecond
)

// asyncWriter writes to an output that may stall, such as a pipe whose reader is
// slow, without holding up the callers of Write: requests write several lines
// each. Lines that find no room are lost and counted. It is safe for concurrent use.
type asyncWriter struct {
	out io.Writer

	mu      sync.Mutex
	waiting []byte
	spare   []byte // for later use as waiting
	lost    int
	active  bool // drain runs or is about to run
}

// Write implements io.Writer. It does not fail.
func (w *asyncWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.waiting)+len(line) > maxWaiting {
		w.lost++
		return len(line), nil
	}
	w.waiting = append(w.waiting, line...)
	if !w.active {
		w.active = true
		time.AfterFunc(writeDelay, w.drain)
	}
	return len(line), nil
}

// drain writes until no line waits.
func (w *asyncWriter) drain() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(w.waiting) > 0 {
		lines := w.take()
		w.mu.Unlock()
		_, _ = w.out.Write(lines) // there is no other place to report an error
		w.mu.Lock()
		if cap(lines) <= keptBuffer {
			w.spare = lines[:0]
		}
	}
	w.active = false
}

// take returns the lines that wait. The caller holds the lock.
func (w *asyncWriter) take() []byte {
	lines := w.waiting
	w.waiting, w.spare = w.spare, nil
	if w.lost > 0 {
		lines = fmt.Appendf(lines, "component=logging event=lines-lost count=%d\n", w.lost)
		w.lost = 0
	}
	return lines
}

// flush waits until all lines are written, at most flushTimeout.
func (w *asyncWriter) flush() {
	for end := time.Now().Add(flushTimeout); w.busy() && time.Now().Before(end); {
		time.Sleep(flushPoll)
	}
}

func (w *asyncWriter) busy() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.active
}
