package slopes

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"time"

	"tarragonshore.example/tarragonshore/internal/process/membership"
)

// Parameters of the virtual network.
const (
	networkDelay     = 10 * time.Millisecond
	headerBytes      = 28 // IP and UDP headers
	convergenceLimit = 10 * time.Minute
	observationTime  = time.Minute
	restartModulus   = 10 // every 10th host restarts: the hosts of one zone
)

type datagram struct {
	from, to int
	data     []byte
}

// network is a simulated network of membership cores in virtual time. It loses no
// datagrams except those that cross a partition.
type network struct {
	now   time.Time
	rng   *rand.Rand
	cores []*membership.Core
	queue []datagram
	step  int
	bytes int
	// split is above 0 during a partition: the hosts whose index is a multiple of it
	// are separated from the others.
	split int
}

// apart reports whether two hosts are on different sides of the partition.
func (n *network) apart(a, b int) bool { return n.split > 0 && (a%n.split == 0) != (b%n.split == 0) }

func peerAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
}

func memberRecord(i int, now time.Time) membership.Record {
	port := func(p uint16) netip.AddrPort { return netip.AddrPortFrom(peerAddress(i).Addr(), p) }
	return membership.Record{
		Name: fmt.Sprintf("host-%04d", i), Incarnation: uint64(now.UnixNano()),
		StaticInfo: membership.StaticInfo{
			Zone: fmt.Sprintf("zone-%d", i%10), Region: fmt.Sprintf("region-%d", i%3),
			Peer: peerAddress(i), Caller: port(80), Server: port(81), Admin: port(82),
		},
		MutableInfo: membership.MutableInfo{Servers: []membership.Server{{
			Name: fmt.Sprintf("server-%04d", i), Pool: fmt.Sprintf("service-%03d", i%130), Slots: 100, State: membership.ServerReady,
		}}},
	}
}

// startMember starts or restarts the member with index i, with two other members as the
// seeds that it joins through.
func (n *network) startMember(i int) error {
	core, err := membership.New(n.now, memberRecord(i, n.now), rand.New(rand.NewPCG(n.rng.Uint64(), 1)))
	if err != nil {
		return err
	}
	core.AddSeeds(peerAddress((i+1)%len(n.cores)), peerAddress((i+7)%len(n.cores)))
	n.cores[i] = core
	return nil
}

// advance advances the virtual time until the condition holds, which may be nil, or
// limit has passed. It checks the condition once per membership.TickInterval.
func (n *network) advance(limit time.Duration, until func() bool) (took time.Duration) {
	ticks := int(membership.TickInterval / networkDelay)
	for begun := n.now; n.now.Sub(begun) < limit; {
		n.now = n.now.Add(networkDelay)
		n.step++
		due := n.queue
		n.queue = nil
		for _, d := range due {
			n.send(d.to, n.cores[d.to].Receive(n.now, peerAddress(d.from), d.data))
		}
		for i := n.step % ticks; i < len(n.cores); i += ticks {
			n.cores[i].SetTablesStatus(membership.TablesStatus{Version: 7, Offset: 70, ReadAt: n.now.Truncate(time.Second)})
			n.send(i, n.cores[i].Tick(n.now))
		}
		if n.step%ticks == 0 && until != nil && until() {
			return n.now.Sub(begun)
		}
	}
	return limit
}

func (n *network) send(from int, actions []membership.Action) {
	for _, a := range actions {
		if send, ok := a.(membership.Send); ok {
			n.bytes += len(send.Datagram) + headerBytes
			b := send.To.Addr().As4()
			if to := int(b[2])<<8 | int(b[3]); !n.apart(from, to) {
				n.queue = append(n.queue, datagram{from, to, send.Datagram})
			}
		}
	}
}

// converged reports whether every member considers exactly the members on its side of
// the partition alive, and has removed the others.
func (n *network) converged() bool {
	cutOff := 0
	if n.split > 0 {
		cutOff = (len(n.cores) + n.split - 1) / n.split
	}
	for i, c := range n.cores {
		want := len(n.cores) - cutOff
		if n.apart(i, 1) {
			want = cutOff
		}
		if v := c.View(); v.Alive != want || len(v.Members) != want {
			return false
		}
	}
	return true
}

// measurePartition reports the cost of a partition and of its end. The hosts whose
// index is a multiple of split are separated from the others. what is their name in
// the report.
func (n *network) measurePartition(r *report, size, what string, split int) {
	n.split = split
	n.measurePhase(r, size, what+" cut off", convergenceLimit, n.converged)
	n.advance(observationTime, nil)
	n.split = 0
	n.measurePhase(r, size, what+" returns", convergenceLimit, n.converged)
}

// updatePropagated reports whether every member knows the current incarnation and
// sequence number of host i.
func (n *network) updatePropagated(i int) bool {
	self := n.cores[i].Self()
	for j, c := range n.cores {
		m := c.Lookup(self.Name)
		if j != i && (m == nil || m.Incarnation != self.Incarnation || m.Sequence < self.Sequence) {
			return false
		}
	}
	return true
}

// measurePhase advances the virtual time until the condition holds, or by limit if
// there is none, and reports the cost per member.
func (n *network) measurePhase(r *report, size, phase string, limit time.Duration, until func() bool) {
	bytes, used := n.bytes, cpuTime()
	took := n.advance(limit, until)
	memberSeconds := took.Seconds() * float64(len(n.cores))
	r.add(size, phase+" sent", float64(n.bytes-bytes)/memberSeconds, "B/s")
	r.add(size, phase+" processor", (cpuTime()-used).Seconds()/memberSeconds*100, "% of a core")
	if until != nil {
		r.add(size, phase+" takes", took.Seconds(), "s")
	}
}

// measureMembership reports the cost of membership at several sizes.
func measureMembership(_ context.Context, r *report) error {
	for _, count := range []int{100, 300, 1100} {
		size := fmt.Sprintf("%d members", count)
		n := &network{now: time.Unix(1_800_000_000, 0), rng: rand.New(rand.NewPCG(1, 1)), cores: make([]*membership.Core, count)}
		before := liveMemory()
		for i := range count {
			if err := n.startMember(i); err != nil {
				return err
			}
		}
		n.measurePhase(r, size, "join of all", convergenceLimit, n.converged)
		n.advance(observationTime, nil) // the last updates propagate
		n.measurePhase(r, size, "quiet", observationTime, nil)
		r.add(size, "memory per member of one view", (liveMemory()-before)/float64(count)/float64(count), "B")
		info := n.cores[0].Self().MutableInfo
		info.Servers = []membership.Server{{Name: "server-0000", Pool: "service-000", Slots: 100, State: membership.ServerDraining}}
		actions, err := n.cores[0].SetSelf(n.now, info)
		if err != nil {
			return err
		}
		n.send(0, actions)
		n.measurePhase(r, size, "one change", convergenceLimit, func() bool { return n.updatePropagated(0) })
		for i := 0; i < count; i += restartModulus {
			if err := n.startMember(i); err != nil {
				return err
			}
		}
		n.measurePhase(r, size, "restart of a zone", convergenceLimit, func() bool {
			for i := 0; i < count; i += restartModulus {
				if !n.updatePropagated(i) {
					return false
				}
			}
			return n.converged()
		})
		n.advance(observationTime, nil)
		n.measurePartition(r, size, "zone", 10)
		n.measurePartition(r, size, "region", 3)
		runtime.KeepAlive(n)
	}
	return nil
}
