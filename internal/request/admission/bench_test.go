package admission_test

import (
	"encoding/binary"
	"testing"
	"time"

	. "tarragonshore.example/tarragonshore/internal/request/admission"
)

// BenchmarkOfferNextFinish measures one request from its offer to its end, with 100
// workspaces and a queue that is never empty.
func BenchmarkOfferNextFinish(b *testing.B) {
	c, now := NewController(Config{}), time.Unix(1_800_000_000, 0)
	c.SetSlots(now, 16)
	names := make([]string, 100)
	for i := range names {
		names[i] = string(rune('a'+i/26)) + string(rune('a'+i%26))
	}
	var running []ID
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(200 * time.Microsecond)
		var id ID
		binary.BigEndian.PutUint64(id[:], uint64(i))
		if c.Offer(now, Request{ID: id, Workspace: names[i%100], Deadline: now.Add(time.Second)}).Action == Started {
			running = append(running, id)
		}
		if len(running) >= 16 {
			c.Finish(now, running[0], 3*time.Millisecond, Succeeded)
			running = running[1:]
		}
		running = append(running, c.Next(now).Start...)
	}
}
