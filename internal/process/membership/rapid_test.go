package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestStateMachine runs a small group through losses, partitions, pauses, kills and
// restarts. It guards against dead members that become alive by an outdated update, and
// against views that do not converge after the faults have ended.
func TestStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const n = 7
		sim := newSimulation(n, rapid.Uint64().Draw(t, "seed"))
		incarnations := [n]uint64{}
		paused := [n]bool{}
		downRound := map[string]uint32{}
		key := func(h *host, m *Member) string {
			return fmt.Sprint(h.index, h.core.Self().Incarnation, m.Name, m.Incarnation)
		}
		sim.onEvent = func(h *host, a Action) {
			switch a := a.(type) {
			case MemberDown:
				downRound[key(h, a.Member)] = a.Member.Sequence.Round() + 1
			case MemberUp:
				if a.Member.Sequence.Round()+1 <= downRound[key(h, a.Member)] || !a.Member.Peer.IsValid() {
					t.Fatalf("%s revived %s without a refutation or an address", h.core.Self().Name, a.Member.Name)
				}
			}
		}
		sim.run(10 * time.Second)
		pick := func() int { return rapid.IntRange(0, n-1).Draw(t, "host") }
		t.Repeat(map[string]func(*rapid.T){
			"run": func(t *rapid.T) {
				sim.run(time.Duration(rapid.IntRange(1, 20_000).Draw(t, "ms")) * time.Millisecond)
			},
			"set server": func(t *rapid.T) {
				sim.setServer(pick(), ServerState(rapid.IntRange(1, 4).Draw(t, "state")))
			},
			"lose": func(t *rapid.T) { sim.loss = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "loss") },
			"partition": func(t *rapid.T) {
				side, oneWay := rapid.Uint8().Draw(t, "side"), rapid.Bool().Draw(t, "one way")
				sim.blocked = func(from, to int) bool {
					a, b := side>>from&1, side>>to&1
					return a != b && (!oneWay || a == 1)
				}
			},
			"heal":   func(*rapid.T) { sim.blocked = nil },
			"pause":  func(*rapid.T) { i := pick(); sim.hosts[i].stopped, paused[i] = true, true },
			"resume": func(*rapid.T) { i := pick(); sim.hosts[i].stopped = sim.hosts[i].stopped && !paused[i] },
			"kill":   func(*rapid.T) { i := pick(); sim.hosts[i].stopped, paused[i] = true, false },
			"restart": func(*rapid.T) {
				i := pick()
				incarnations[i]++
				sim.start(i, 1+incarnations[i])
				sim.announceAll()
			},
		})
		sim.loss, sim.blocked = 0, nil
		for i, h := range sim.hosts {
			h.stopped = h.stopped && !paused[i]
		}
		// A member that all others consider dead rejoins by a probe of dead members.
		// In the slowest case, it is one of n such members, of which one is chosen
		// every deadProbeInterval.
		sim.run(3 * time.Minute)
		if !sim.converged() {
			t.Fatalf("views differ three minutes after the faults have ended")
		}
		for i, h := range sim.hosts {
			if s := h.core.Self().Servers[0].State; !h.stopped && sim.countInformed(i, s) != sim.running() {
				t.Fatalf("not all running hosts know the state of server %d", i)
			}
		}
	})
}

// FuzzReceive guards against datagrams that make a core panic or to which it sends more
// answers than the budgets allow.
func FuzzReceive(f *testing.F) {
	sim := newSimulation(3, 1)
	sim.run(5 * time.Second)
	c := sim.hosts[1].core
	for _, n := range []*node{c.nodes[record(0, 1).Name], c.nodes[record(2, 1).Name]} {
		c.beginEvent(sim.now)
		c.queueUpdate(n, true, true)
		c.probe(n, purposeDetect)
		c.sendIndirectProbes(pendingProbe{name: n.member.Name})
		c.requestSync(address(0), true)
		c.fetch(address(0), []string{n.member.Name})
		c.sendRecords(address(0), 0, c.sorted, true)
		for _, a := range c.actions {
			f.Add(a.(Send).Datagram)
		}
	}
	f.Add([]byte{0xbf, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		core, _ := New(epoch, record(0, 1), rand.New(rand.NewPCG(1, 1)))
		core.HandleAnnouncement(epoch, record(1, 1))
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
		if sent > 3*(len(data)/8+maxSyncDatagrams) {
			t.Fatalf("%d datagrams in answer to %d bytes", sent, len(data))
		}
	})
}

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
