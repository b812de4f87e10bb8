package membership

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against records of the members stream that make the decoder panic.
func FuzzDecodeAnnouncement(f *testing.F) {
	now := time.Unix(1000, 0)
	f.Add(EncodeAnnouncement([16]byte{1}, Record{Name: "a", Incarnation: 1}, now))
	f.Add([]byte{0xa1, 0x01})
	f.Fuzz(func(t *testing.T, data []byte) {
		if _, r, err := DecodeAnnouncement(data, now); err == nil && r.Name == "" {
			t.Fatal("decoded a record without a name")
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
