package peer

import (
	"encoding/binary"
	"testing"

	"pgregory.net/rapid"
)

// Guards against frames that are lost, duplicated or reordered, and against a queue
// that grows without bound for a peer that does not read.
func TestSendQueueKeepsOrderAndBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := newSendQueue()
		var pushed, popped uint64
		for _, step := range rapid.SliceOfN(rapid.IntRange(-6000, 6000), 1, 20).Draw(t, "pushes and pops") {
			for ; step > 0; step-- {
				if ok := q.push(binary.BigEndian.AppendUint64(nil, pushed)); ok != (pushed-popped < maxQueuedFrames) {
					t.Fatalf("push to a queue of %d frames returned %v", pushed-popped, ok)
				} else if ok {
					pushed++
				}
			}
			for ; step < 0; step++ {
				limit := rapid.IntRange(0, 100).Draw(t, "limit")
				frames, ok := q.pop(limit)
				if ok != (popped < pushed) || len(frames) > max(8, limit) {
					t.Fatalf("pop %d of %d within %d bytes returned %v, %v", popped, pushed, limit, frames, ok)
				}
				for ; len(frames) > 0; frames = frames[8:] {
					if binary.BigEndian.Uint64(frames) != popped {
						t.Fatalf("pop %d of %d returned %v", popped, pushed, frames)
					}
					popped++
				}
			}
			if pushed == popped && cap(q.frames) > maxRetainedFrames {
				t.Fatalf("the empty queue has a capacity of %d frames", cap(q.frames))
			}
		}
	})
}

// Guards against a write loop that is not woken although there are frames to send.
func TestSendQueueWakesTheWriter(t *testing.T) {
	q := newSendQueue()
	const frames = 20_000
	go func() {
		for sent := 0; sent < frames; {
			if q.push([]byte{1}) {
				sent++
			}
		}
	}()
	for got := 0; got < frames; {
		<-q.wake
		for frames, ok := q.pop(maxBatchBytes); ok; frames, ok = q.pop(maxBatchBytes) {
			got += len(frames)
		}
	}
}
