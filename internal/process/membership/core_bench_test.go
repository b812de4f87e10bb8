package membership

import (
	"testing"
	"time"
)

// benchmarkCore returns a core that knows 1,099 other members and has no queued updates.
func benchmarkCore(b *testing.B) (*Core, time.Time) {
	sim := newSimulation(1100, 1)
	c := sim.hosts[0].core
	for _, h := range sim.hosts[1:] {
		u := toWire(h.core.Self(), epoch, true, true)
		c.merge(&u, false)
	}
	c.queue, c.joining, c.status.ReadAt = nil, false, epoch.Add(time.Hour)
	b.ReportAllocs()
	return c, epoch
}

func BenchmarkTick(b *testing.B) {
	c, now := benchmarkCore(b)
	for b.Loop() {
		c.pending = c.pending[:0] // discard unanswered probes, so that no member becomes suspect
		now = now.Add(TickInterval)
		c.Tick(now)
	}
}

func BenchmarkReceiveChange(b *testing.B) {
	c, now := benchmarkCore(b)
	change := uint32(1)
	for b.Loop() {
		change++
		b.StopTimer()
		data := gossipAbout(fullUpdate(StateAlive, 0, change, ServerReady))
		b.StartTimer()
		c.Receive(now, address(1), data)
		c.View().Find(record(2, 1).Name)
	}
}
