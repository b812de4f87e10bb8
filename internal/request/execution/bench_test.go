package execution_test

import (
	"encoding/binary"
	"testing"
	"time"

	"tarragonshore.example/tarragonshore/internal/connection/wire"
	"tarragonshore.example/tarragonshore/internal/request/execution"
)

// BenchmarkOfferFinishAck runs one attempt, in a table that remembers 35 s of
// attempts at 250 per second.
func BenchmarkOfferFinishAck(b *testing.B) {
	a := execution.NewAttempts(execution.DefaultAttemptOptions())
	now := start
	var id wire.AttemptID
	answer := &wire.Answer{Response: &wire.Response{Status: 200, Body: make([]byte, 200)}}
	b.ReportAllocs()
	for i := uint64(0); b.Loop(); i++ {
		if now = now.Add(4 * time.Millisecond); i%250 == 0 {
			a.Sweep(now)
		}
		binary.BigEndian.PutUint64(id[:], i)
		a.Offer(now, id, asker, time.Second)
		started, reason := a.Start(now, id)
		if !started || !a.Finish(id, answer).Kept {
			b.Fatal(reason)
		}
		a.Ack(id, asker)
	}
}

// BenchmarkPending adds an attempt and takes its answer.
func BenchmarkPending(b *testing.B) {
	p := execution.NewPending(100)
	answer := response("done")
	b.ReportAllocs()
	for b.Loop() {
		if p.Add(execution.Sent{ID: id, Peer: runs, Link: 1, Deadline: start}) != nil || len(p.OnAnswer(runs, answer)) != 2 {
			b.Fatal("no answer")
		}
	}
}
