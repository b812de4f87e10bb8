package membership

import (
	"math/rand/v2"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// gossipAbout returns a gossip datagram from host 1 about host 2.
func gossipAbout(u wireUpdate) []byte {
	self := record(1, 1)
	u.Name, u.Incarnation = record(2, 1).Name, record(2, 1).Incarnation
	return mustMarshal(&datagram{Kind: KindGossip, From: self.Name, Incarnation: self.Incarnation, Change: 1, Updates: []wireUpdate{u}})
}

// fullUpdate returns an update about host 2 that includes StaticInfo and MutableInfo.
func fullUpdate(state State, round, change uint32, s ServerState) wireUpdate {
	m := &Member{Record: record(2, 1), State: state}
	m.Servers[0].State = s
	m.Sequence = NewSequence(round, change)
	return toWire(m, epoch, true, true)
}

// reasons returns the reasons of the actions that have one.
func reasons(actions []Action) (out []Reason) {
	for _, a := range actions {
		if r := ReasonOf(a); r != "" {
			out = append(out, r)
		}
	}
	return out
}

var _ = ginkgo.Describe("updates about a member", func() {
	var c *Core
	now := epoch
	receive := func(u wireUpdate) []Reason { return reasons(c.Receive(now, address(1), gossipAbout(u))) }
	state := func() State { return c.Lookup(record(2, 1).Name).State }
	ginkgo.BeforeEach(func() {
		c, _ = New(epoch, record(0, 1), rand.New(rand.NewPCG(1, 1)))
		Expect(receive(fullUpdate(StateAlive, 0, 1, ServerReady))).To(Equal([]Reason{ReasonGossip}))
	})
	declareDead := func() {
		receive(wireUpdate{State: StateSuspect, Change: 1})
		Expect(receive(wireUpdate{State: StateDead, Change: 1})).To(Equal([]Reason{ReasonReportedDead}))
	}

	// Guards against an outdated update, or a record of the log, that makes a dead
	// member alive again.
	ginkgo.It("keeps a dead member dead unless it refutes", func() {
		declareDead()
		Expect(receive(fullUpdate(StateAlive, 0, 9, ServerReady))).To(BeEmpty())
		announced := record(2, 1)
		announced.Sequence = NewSequence(7, 9)
		Expect(reasons(c.HandleAnnouncement(now, announced))).To(BeEmpty())
		Expect(state()).To(Equal(StateDead))
		Expect(c.View().Known).To(Equal(2))
		Expect(receive(wireUpdate{State: StateAlive, Round: 1, Change: 9})).To(Equal([]Reason{ReasonRefuted}))
		Expect(state()).To(Equal(StateAlive))
	})

	// Guards against a lost change to draining while the member is suspect.
	ginkgo.It("keeps a suspect member in the view and applies its changes", func() {
		Expect(receive(wireUpdate{State: StateSuspect, Change: 1})).To(Equal([]Reason{ReasonReportedSuspect}))
		Expect(receive(fullUpdate(StateAlive, 0, 2, ServerDraining))).To(Equal([]Reason{ReasonRecordChanged}))
		m := c.View().Find(record(2, 1).Name)
		Expect(m.State).To(Equal(StateSuspect))
		Expect(m.Servers[0].State).To(Equal(ServerDraining))
	})

	// Guards against live members that are declared dead after a partition healed,
	// because the other side considered them dead.
	ginkgo.It("lets a member that is alive here refute a report of its death", func() {
		Expect(receive(wireUpdate{State: StateDead, Change: 1})).To(Equal([]Reason{ReasonReportedDead}))
		Expect(state()).To(Equal(StateSuspect))
	})

	// Guards against a keeper that is considered proven dead without proof, and
	// against a proof that is not reported because the member was already dead.
	ginkgo.DescribeTable("reports a replaced incarnation", func(move, dead bool, want Reason) {
		if dead {
			declareDead()
		}
		r := record(2, 2)
		if move {
			r.Peer = address(9)
		}
		Expect(reasons(c.HandleAnnouncement(now, r))).To(Equal([]Reason{want, ReasonAnnounced}))
		Expect(receive(fullUpdate(StateAlive, 5, 9, ServerReady))).To(BeEmpty())
	},
		ginkgo.Entry("at the same address", false, false, ReasonReplaced),
		ginkgo.Entry("at another address", true, false, ReasonReplacedElsewhere),
		ginkgo.Entry("that was dead", false, true, ReasonReplaced),
	)

	// Guards against a left incarnation that becomes a member again.
	ginkgo.It("treats leaving as final", func() {
		Expect(receive(wireUpdate{State: StateLeft, Change: 2})).To(Equal([]Reason{ReasonLeft}))
		Expect(receive(fullUpdate(StateAlive, 3, 9, ServerReady))).To(BeEmpty())
		Expect(c.View().Known).To(Equal(1))
	})

	// Guards against a member that is reported as up but whose addresses are unknown.
	ginkgo.It("waits for the addresses of a member that became known by its death", func() {
		c, _ = New(epoch, record(0, 1), rand.New(rand.NewPCG(1, 1)))
		receive(wireUpdate{State: StateDead, Change: 1})
		Expect(receive(wireUpdate{State: StateAlive, Round: 1, Change: 1})).To(BeEmpty())
		Expect(receive(fullUpdate(StateAlive, 1, 1, ServerReady))).To(Equal([]Reason{ReasonRefuted}))
		Expect(c.View().Find(record(2, 1).Name).Peer).To(Equal(address(2)))
	})

	// Guards against two running daemons with the same name.
	ginkgo.It("reports a later incarnation of its own name", func() {
		Expect(c.HandleAnnouncement(now, record(0, 2))).To(ContainElement(Superseded{Incarnation: record(0, 2).Incarnation}))
	})

	// Guards against a record that is larger than a datagram and can never be sent.
	ginkgo.It("rejects an own record that is too large", func() {
		_, err := c.SetSelf(now, MutableInfo{Successor: strings.Repeat("x", 900)})
		Expect(err).To(BeAssignableToTypeOf(&RecordError{}))
	})
})

var _ = ginkgo.Describe("a group of members", func() {
	down := func(a Action) bool { _, ok := a.(MemberDown); return ok }
	downs := func(sim *simulation) (n int) {
		for _, h := range sim.hosts {
			n += h.count(down)
		}
		return n
	}
	convergedGroup := func(n int, seed uint64) *simulation {
		sim := newSimulation(n, seed)
		Expect(sim.runUntil(time.Minute, sim.converged)).To(BeNumerically("<", 60))
		sim.run(10 * time.Second)
		return sim
	}

	// Guards against routing that sends requests to a draining server.
	ginkgo.It("informs all members of a draining server within 3 s, with a tenth of the datagrams lost", func() {
		sim := convergedGroup(100, 3)
		sim.loss = 0.1
		for i := range 10 {
			sim.setServer(i, ServerDraining)
			sim.run(3 * time.Second)
			Expect(sim.countInformed(i, ServerDraining)).To(Equal(100))
		}
	})

	ginkgo.It("reports a killed member once on each host, and its restart as proof of death", func() {
		sim := convergedGroup(10, 2)
		sim.hosts[3].stopped = true
		sim.run(15 * time.Second)
		Expect(sim.converged()).To(BeTrue())
		Expect(downs(sim)).To(Equal(9))
		sim.start(3, 2)
		sim.run(10 * time.Second)
		Expect(sim.converged()).To(BeTrue())
		for i, h := range sim.hosts {
			proofs := h.count(func(a Action) bool { return ReasonOf(a) == ReasonReplaced })
			Expect(proofs).To(Equal(min(1, max(i-3, 3-i))))
		}
	})

	ginkgo.It("converges without intervention after a partition", func() {
		sim := convergedGroup(15, 4)
		sim.blocked = func(from, to int) bool { return from < 5 != (to < 5) }
		sim.run(time.Minute)
		Expect(sim.hosts[0].core.View().Alive).To(Equal(5))
		Expect(sim.hosts[0].core.View().Known).To(Equal(15))
		sim.blocked = nil
		sim.run(30 * time.Second)
		Expect(sim.converged()).To(BeTrue())
	})

	// Guards against one failed link that makes all members declare a member dead.
	ginkgo.DescribeTable("keeps two members alive that cannot reach each other", func(both bool) {
		sim := convergedGroup(15, 5)
		sim.blocked = func(from, to int) bool { return from == 1 && to == 2 || both && from == 2 && to == 1 }
		sim.run(2 * time.Minute)
		Expect(sim.converged()).To(BeTrue())
		Expect(downs(sim)).To(BeZero())
		Expect(sim.hosts[1].count(func(a Action) bool { return ReasonOf(a) == ReasonNoAnswer })).To(BeZero())
	}, ginkgo.Entry("one way", false), ginkgo.Entry("both ways", true))

	// Guards against a member that marks others as suspect after a pause, because it
	// missed their answers.
	ginkgo.It("takes a paused member back, which suspects no other member", func() {
		sim := convergedGroup(15, 6)
		for range 10 {
			for len(sim.hosts[7].core.pending) == 0 { // until a probe is pending
				sim.run(time.Millisecond)
			}
			sim.hosts[7].stopped = true
			sim.run(20 * time.Second)
			sim.hosts[7].stopped = false
			sim.run(10 * time.Second)
			Expect(sim.converged()).To(BeTrue())
		}
		Expect(sim.hosts[7].count(func(a Action) bool {
			changed, ok := a.(MemberChanged)
			return ok && changed.Member.State == StateSuspect || down(a)
		})).To(BeZero())
	})

	// Guards against a joining member that cannot use the members on the log for
	// minutes.
	ginkgo.It("probes members known from the log within 1 s, and declares those dead that do not answer", func() {
		sim := newSimulation(12, 7)
		for _, h := range sim.hosts[1:] {
			h.stopped = h.index > 10
			h.core.joining = false
		}
		c := sim.hosts[0].core
		c.joining, c.seeds = true, nil
		sim.announceAll()
		Expect(c.View().Members).To(HaveLen(12))
		sim.run(200 * time.Millisecond)
		c.joining = false // join requests would confirm the members, too
		sim.run(800 * time.Millisecond)
		Expect(c.View().Alive).To(Equal(11))
		sim.run(time.Second)
		Expect(c.Lookup(record(11, 1).Name).State).To(Equal(StateDead))
	})

	// Guards against a report that looks fresher than the read that it describes.
	ginkgo.It("queries others when its own read is old, and counts ages from when the probe was sent", func() {
		sim := convergedGroup(8, 8)
		sim.logRead = false
		for _, h := range sim.hosts[1:] {
			h.core.SetTablesStatus(TablesStatus{Offset: 70, ReadAt: sim.now})
		}
		sim.run(3500 * time.Millisecond)
		reports := sim.hosts[0].core.TablesReports(sim.now)
		Expect(len(reports)).To(BeNumerically(">=", 3))
		for _, r := range reports {
			Expect(r.ReadAt()).To(BeTemporally("<=", sim.now.Add(-3500*time.Millisecond)))
		}
		asked, answered := sim.hosts[0].core.StatusQueryCounts(sim.now)
		Expect(asked).To(BeNumerically(">=", 6))
		Expect(answered).To(Equal(asked))
	})
})
