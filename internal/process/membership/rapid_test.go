package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestStateMachine runs a small group through losses, partitions, pauses, kills and
// restarts. It guards against members revived by old news, and against views
// that stay apart after the disturbances have ended.
func TestStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const n = 7
		w := newWorld(n, rapid.Uint64().Draw(t, "seed"))
		incarnations := [n]uint64{}
		paused := [n]bool{}
		downRound := map[string]uint32{}
		key := func(h *host, m *Member) string {
			return fmt.Sprint(h.index, h.core.Self().Incarnation, m.Name, m.Incarnation)
		}
		w.onEvent = func(h *host, a Action) {
			switch a := a.(type) {
			case MemberDown:
				downRound[key(h, a.Member)] = a.Member.Sequence.Round() + 1
			case MemberUp:
				if a.Member.Sequence.Round()+1 <= downRound[key(h, a.Member)] || !a.Member.Peer.IsValid() {
					t.Fatalf("%s revived %s without a refutation or an address", h.core.Self().Name, a.Member.Name)
				}
			}
		}
		w.run(10 * time.Second)
		pick := func() int { return rapid.IntRange(0, n-1).Draw(t, "host") }
		t.Repeat(map[string]func(*rapid.T){
			"run": func(t *rapid.T) {
				w.run(time.Duration(rapid.IntRange(1, 20_000).Draw(t, "ms")) * time.Millisecond)
			},
			"set server": func(t *rapid.T) {
				w.setServer(pick(), ServerState(rapid.IntRange(1, 4).Draw(t, "state")))
			},
			"lose": func(t *rapid.T) { w.loss = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "loss") },
			"partition": func(t *rapid.T) {
				side, oneWay := rapid.Uint8().Draw(t, "side"), rapid.Bool().Draw(t, "one way")
				w.blocked = func(from, to int) bool {
					a, b := side>>from&1, side>>to&1
					return a != b && (!oneWay || a == 1)
				}
			},
			"heal":   func(*rapid.T) { w.blocked = nil },
			"pause":  func(*rapid.T) { i := pick(); w.hosts[i].stopped, paused[i] = true, true },
			"resume": func(*rapid.T) { i := pick(); w.hosts[i].stopped = w.hosts[i].stopped && !paused[i] },
			"kill":   func(*rapid.T) { i := pick(); w.hosts[i].stopped, paused[i] = true, false },
			"restart": func(*rapid.T) {
				i := pick()
				incarnations[i]++
				w.start(i, 1+incarnations[i])
				w.announceAll()
			},
		})
		w.loss, w.blocked = 0, nil
		for i, h := range w.hosts {
			h.stopped = h.stopped && !paused[i]
		}
		// A member that was dead to all rejoins by a dead probe; the slowest case
		// is one that must be tried among n others every deadProbeInterval.
		w.run(3 * time.Minute)
		if !w.converged() {
			t.Fatalf("views differ after three quiet minutes")
		}
		for i, h := range w.hosts {
			if s := h.core.Self().Servers[0].State; !h.stopped && w.informed(i, s) != w.running() {
				t.Fatalf("not all know the state of server %d", i)
			}
		}
	})
}

// FuzzReceive guards against datagrams that crash a core or that it answers with
// more than the budgets allow.
func FuzzReceive(f *testing.F) {
	w := newWorld(3, 1)
	w.run(5 * time.Second)
	c := w.hosts[1].core
	for _, n := range []*node{c.nodes[record(0, 1).Name], c.nodes[record(2, 1).Name]} {
		c.begin(w.now)
		c.publish(n, true, true)
		c.probe(n, purposeDetect)
		c.askOthers(pendingProbe{name: n.member.Name})
		c.requestSync(address(0), true)
		c.fetch(address(0), []string{n.member.Name})
		c.sendRecords(address(0), 0, c.all, true)
		for _, a := range c.actions {
			f.Add(a.(Send).Datagram)
		}
	}
	f.Add([]byte{0xbf, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		core, _ := New(epoch, record(0, 1), rand.New(rand.NewPCG(1, 1)))
		core.Announced(epoch, record(1, 1))
		sent := 0
		for i := range 3 {
			for _, a := range core.Receive(epoch.Add(time.Duration(i)*time.Second), address(1), data) {
				if s, ok := a.(Send); ok {
					sent++
					if len(s.Datagram) > MaxDatagramBytes {
						t.Fatalf("datagram of %d bytes", len(s.Datagram))
					}
				}
			}
			core.Tick(epoch.Add(time.Duration(i) * time.Second))
		}
		if sent > 3*(len(data)/8+syncChunkLimit) {
			t.Fatalf("%d datagrams in answer to %d bytes", sent, len(data))
		}
	})
}

// benchmarkCore is a core that knows 1,099 others, without pending news.
func benchmarkCore(b *testing.B) (*Core, time.Time) {
	w := newWorld(1100, 1)
	c := w.hosts[0].core
	for _, h := range w.hosts[1:] {
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
		c.pending = c.pending[:0] // no answers come, so nobody becomes suspect
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
		data := gossipAbout(full(StateAlive, 0, change, ServerReady))
		b.StartTimer()
		c.Receive(now, address(1), data)
		c.View().Find(record(2, 1).Name)
	}
}
