package membership

import (
	"fmt"
	"runtime"
	"slices"
	"syscall"
	"testing"
	"time"
)

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// sentPerHost returns the mean and the greatest number of bytes that hosts sent
// since the last call.
func (w *world) sentPerHost() (mean, most float64) {
	for _, h := range w.hosts {
		mean += float64(h.sent) / float64(len(w.hosts))
		most = max(most, float64(h.sent))
		h.sent, h.events = 0, nil
	}
	return mean, most
}

// spread changes a server's state and returns when 99% and all hosts knew it.
func (w *world) spread(i int, s ServerState, limit time.Duration) (most, all time.Duration) {
	started := w.now
	name := w.hosts[i].core.Self().Name
	var times []time.Duration
	w.onEvent = func(_ *host, a Action) {
		if c, ok := a.(MemberChanged); ok && c.Member.Name == name && c.Reason == ReasonRecord {
			times = append(times, w.now.Sub(started))
		}
	}
	w.setServer(i, s)
	w.run(limit)
	w.onEvent = nil
	others := len(w.hosts) - 1
	times = append(times, slices.Repeat([]time.Duration{limit}, max(0, others-len(times)))...)
	return times[(others*99+99)/100-1], times[others-1]
}

// BenchmarkGroup measures a group in virtual time. Bytes include IP and UDP
// headers; processor time includes the harness. Run it with -benchtime 1x.
func BenchmarkGroup(b *testing.B) {
	for _, n := range []int{100, 300, 1100} {
		for _, loss := range []float64{0, 0.05} {
			b.Run(fmt.Sprintf("n=%d/loss=%.2f", n, loss), func(b *testing.B) { measureGroup(b, n, loss) })
		}
	}
}

func measureGroup(b *testing.B, n int, loss float64) {
	for b.Loop() {
		before := heapBytes()
		w := newWorld(n, 1)
		w.announceAll()
		for w.now.Sub(epoch) < 5*time.Minute && !w.converged() {
			w.run(time.Second)
		}
		b.ReportMetric(w.now.Sub(epoch).Seconds(), "s-cold-start")
		w.loss = loss
		w.run(30 * time.Second)
		w.sentPerHost()

		const idle = 60
		cpu := processorTime()
		w.run(idle * time.Second)
		b.ReportMetric(float64((processorTime()-cpu).Microseconds())/float64(n*idle), "idle-cpu-us/s")
		mean, most := w.sentPerHost()
		b.ReportMetric(mean/idle, "idle-B/s")
		b.ReportMetric(most/idle, "idle-max-B/s")
		b.ReportMetric((heapBytes()-before)/float64(n*n), "heap-B/member")

		const changes, limit = 40, 5
		var p99, all []time.Duration
		for i := range changes {
			a, b := w.spread((i*7+3)%n, []ServerState{ServerDraining, ServerDown, ServerStarting}[i%3], limit*time.Second)
			p99, all = append(p99, a), append(all, b)
		}
		mean, _ = w.sentPerHost()
		b.ReportMetric(mean/(changes*limit), "sparse-B/s")
		b.ReportMetric(slices.Max(p99).Seconds(), "s-99%-worst")
		slices.Sort(all)
		b.ReportMetric(all[len(all)/2].Seconds(), "s-100%-median")
		b.ReportMetric(slices.Max(all).Seconds(), "s-100%-worst")

		const busy = 60 // one change per second somewhere in the group
		cpu = processorTime()
		for i := range busy {
			w.setServer((i*13+5)%n, ServerState(1+(i+1)%4))
			w.run(time.Second)
		}
		b.ReportMetric(float64((processorTime()-cpu).Microseconds())/float64(n*busy), "busy-cpu-us/s")
		mean, most = w.sentPerHost()
		b.ReportMetric(mean/busy, "busy-B/s")
		b.ReportMetric(most/busy, "busy-max-B/s")
		w.run(10 * time.Second)
		w.logRead = false // an outage of the platform
		w.run(10 * time.Second)
		w.sentPerHost()
		w.run(idle * time.Second)
		mean, _ = w.sentPerHost()
		b.ReportMetric(mean/idle, "outage-B/s")
		w.logRead = true
		measureRestart(b, w)
		measureZoneCut(b, w)
	}
}

// measureRestart kills a host, waits until it is known dead, and restarts it.
func measureRestart(b *testing.B, w *world) {
	n := len(w.hosts)
	w.hosts[n/2].stopped = true
	b.ReportMetric(w.until(time.Minute, w.converged), "s-to-detect-death")
	w.start(n/2, 2)
	w.sentPerHost()
	b.ReportMetric(w.until(time.Minute, func() bool { return w.hosts[n/2].core.View().Alive == n }), "s-newcomer-complete")
	b.ReportMetric(w.until(time.Minute, w.converged), "s-restart-known-after")
}

// measureZoneCut cuts a tenth of the hosts off for a minute.
func measureZoneCut(b *testing.B, w *world) {
	n := len(w.hosts)
	w.sentPerHost()
	w.blocked = func(from, to int) bool { return from < n/10 != (to < n/10) }
	b.ReportMetric(w.until(2*time.Minute, func() bool { return w.hosts[n-1].core.View().Alive == n-n/10 }), "s-cut-to-detect")
	w.run(time.Minute)
	mean, _ := w.sentPerHost()
	b.ReportMetric(mean, "cut-B")
	w.blocked = nil
	healed := w.until(5*time.Minute, w.converged)
	b.ReportMetric(healed, "s-cut-to-heal")
	mean, most := w.sentPerHost()
	b.ReportMetric(mean/healed, "heal-B/s")
	b.ReportMetric(most/healed, "heal-max-B/s")
}

// until runs until the condition holds and returns the seconds that took.
func (w *world) until(limit time.Duration, done func() bool) float64 {
	started := w.now
	for !done() && w.now.Sub(started) < limit {
		w.run(100 * time.Millisecond)
	}
	return w.now.Sub(started).Seconds()
}
