package logging

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// batchDelay is how long lines are collected for one write to the output. If the
	// process is killed, the lines of the last batchDelay are lost.
	batchDelay = 20 * time.Millisecond
	// maxPendingBytes bounds the lines that are buffered while the output stalls.
	maxPendingBytes = 1 << 20
	// maxSpareBytes is the maximum capacity of a buffer that is kept for reuse.
	maxSpareBytes = 64 << 10
	// flushTimeout bounds the wait for a stalled output when the process ends.
	flushTimeout      = time.Second
	flushPollInterval = time.Millisecond
)

// asyncWriter writes in the background to an output that may stall, such as a pipe whose
// reader is slow. Requests log several lines each and must not wait for the output. Lines
// that exceed maxPendingBytes are dropped and counted. It is safe for concurrent use.
type asyncWriter struct {
	out io.Writer

	mu      sync.Mutex
	pending []byte
	spare   []byte // a buffer to reuse as pending
	dropped int
	active  bool // true while drain is scheduled or running
}

// Write implements io.Writer. It neither blocks nor fails.
func (w *asyncWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.pending)+len(line) > maxPendingBytes {
		w.dropped++
		return len(line), nil
	}
	w.pending = append(w.pending, line...)
	if !w.active {
		w.active = true
		time.AfterFunc(batchDelay, w.drain)
	}
	return len(line), nil
}

// drain writes pending lines until there are none.
func (w *asyncWriter) drain() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(w.pending) > 0 {
		lines := w.takePending()
		w.mu.Unlock()
		_, _ = w.out.Write(lines) // there is no other place to report an error
		w.mu.Lock()
		if cap(lines) <= maxSpareBytes {
			w.spare = lines[:0]
		}
	}
	w.active = false
}

// takePending returns the pending lines, with a line about dropped ones if there were any.
// The caller holds the lock.
func (w *asyncWriter) takePending() []byte {
	lines := w.pending
	w.pending, w.spare = w.spare, nil
	if w.dropped > 0 {
		lines = fmt.Appendf(lines, "component=logging event=lines-lost count=%d\n", w.dropped)
		w.dropped = 0
	}
	return lines
}

// flush waits until all lines are written or flushTimeout has passed.
func (w *asyncWriter) flush() {
	for end := time.Now().Add(flushTimeout); w.busy() && time.Now().Before(end); {
		time.Sleep(flushPollInterval)
	}
}

func (w *asyncWriter) busy() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.active
}
