package ratelimit

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"tarragonshore.example/tarragonshore/internal/connection/wire"
	"tarragonshore.example/tarragonshore/internal/process/platform"
)

var _ = Describe("claims", func() {
	self, other := Member{ID: DaemonID{"a", 2}, Zone: "x", Address: "a"}, Member{ID: DaemonID{"b", 1}, Zone: "y", Address: "b"}
	newClaims := func() *Claims {
		c := NewClaims(self, 1, MinRetention, rand.New(rand.NewPCG(1, 1)))
		c.Members([]Member{self, other})
		return c
	}
	read := func(c *Claims, now time.Time, first platform.Offset, claims ...Claim) []Action {
		batch := platform.Batch{First: first, Next: max(first, c.Position())}
		for _, claim := range claims {
			data, err := EncodeClaim(claim)
			Expect(err).NotTo(HaveOccurred())
			batch.Records = append(batch.Records, platform.Record{Offset: batch.Next, Data: data})
			batch.Next++
		}
		return c.ReadBatch(now, now, batch)
	}
	appended := func(actions []Action) *AppendClaim {
		Expect(actions).NotTo(BeEmpty())
		Expect(actions[len(actions)-1]).To(BeAssignableToTypeOf(&AppendClaim{}))
		return actions[len(actions)-1].(*AppendClaim)
	}
	grants := func(c *Claims, now time.Time) bool { return now.Before(c.Right(0)) }
	keeper := func(epoch uint64, m Member, successor DaemonID) Claim {
		return Claim{Kind: ClaimNew, Epoch: epoch, Keeper: m.ID, Address: m.Address, Successor: successor}
	}
	later := start.Add(4 * rankDelay)

	// Guards against a first claim that ignores claims the log has dropped.
	It("starts at once on an empty stream, and after the longest right if records were dropped", func() {
		for first, wait := range map[platform.Offset]time.Duration{0: 0, 7: withClockRate(ConsentTime + GrantTime)} {
			c := newClaims()
			claim := appended(read(c, later, first)).Claim
			Expect(claim.Successor).To(Equal(other.ID))
			read(c, later, first, claim)
			if wait > 0 {
				read(c, later.Add(wait-1), first)
				Expect(grants(c, later.Add(wait-1))).To(BeFalse())
			}
			read(c, later.Add(wait), first)
			Expect(grants(c, later.Add(wait))).To(BeTrue())
		}
	})

	// Guards against two appends of one claim, and against acting on a claim
	// that is not in the log.
	It("repeats an append only after a read did not show it", func() {
		c := newClaims()
		a := appended(read(c, later, 0))
		Expect(read(c, later.Add(1), 0)).To(BeEmpty())
		c.Appended(later.Add(2), a.Claim, platform.ErrUnknown)
		Expect(c.Tick(later.Add(3))).To(BeEmpty())
		again := appended(read(c, later.Add(4), 0))
		Expect(again.Claim.ID).NotTo(Equal(a.Claim.ID))
		read(c, later.Add(5), 0, again.Claim, a.Claim)
		Expect(grants(c, later.Add(5))).To(BeTrue())
		kept, _ := c.Keeper(0)
		Expect(kept.ID).To(Equal(again.Claim.ID))
	})

	It("lets the log order decide and stops a superseded keeper", func() {
		c := newClaims()
		read(c, later, 0, keeper(1, self, other.ID), keeper(1, other, self.ID))
		Expect(grants(c, later)).To(BeTrue())
		read(c, later, 0, keeper(2, other, self.ID))
		Expect(grants(c, later)).To(BeFalse())
		Expect(c.Kept()).To(BeZero())
	})

	// Guards against a successor that consents and claims at the same time.
	It("claims as successor after it stopped consenting, and waits for right and grants", func() {
		c := newClaims()
		read(c, start, 0, keeper(1, other, self.ID))
		consent := func() int {
			return len(c.ConsentRequest(later, other.ID, &wire.ConsentRequest{Groups: []uint32{0}}).Groups)
		}
		Expect(consent()).To(Equal(1))
		c.Members([]Member{self})
		claim := appended(read(c, later, 0)).Claim
		Expect(consent()).To(BeZero())
		claim.ID[0]++ // as if it were another append with the same content
		read(c, later, 0, claim)
		wait := withClockRate(LeaseTime + GrantTime)
		read(c, later.Add(wait-1), 0)
		Expect(grants(c, later.Add(wait-1))).To(BeFalse())
		read(c, later.Add(wait), 0)
		Expect(grants(c, later.Add(wait))).To(BeTrue())
	})

	It("waits only for the grants if the death is proven, and knows its own earlier run", func() {
		c := newClaims()
		old := self
		old.ID.Incarnation--
		claim := appended(read(c, later, 0, keeper(1, old, DaemonID{"z", 1}))).Claim
		Expect(claim.Proven).To(BeTrue())
		read(c, later, 0, claim)
		read(c, later.Add(keeperGrantTime), 0)
		Expect(grants(c, later.Add(keeperGrantTime))).To(BeTrue())
	})

	It("goes on by consent for an hour, but not by that of another daemon", func() {
		for from, lasts := range map[DaemonID]time.Duration{other.ID: ConsentTime, {"c", 1}: LeaseTime} {
			c := newClaims()
			read(c, start, 0, keeper(1, self, other.ID))
			now := start
			for ; now.Sub(start) < 2*ConsentTime && grants(c, now); now = now.Add(consentInterval) {
				for _, a := range c.Tick(now) {
					ask := a.(*AskConsent)
					c.ConsentReply(from, &wire.ConsentReply{Number: ask.Request.Number, Groups: ask.Request.Groups})
				}
			}
			Expect(now.Sub(start)).To(Equal(lasts))
		}
	})

	It("skips invalid records and refreshes before half of the retention time", func() {
		c := newClaims()
		bad := keeper(1, self, other.ID)
		bad.Group = 1
		read(c, start, 0, bad, keeper(1, self, other.ID))
		Expect(c.Kept()).To(Equal(1))
		for now := start; ; now = now.Add(LeaseTime) {
			for _, a := range read(c, now, 0) {
				if a, ok := a.(*AppendClaim); ok && a.Reason == ClaimRetention {
					Expect(now.Sub(start)).To(BeNumerically("<", MinRetention/2))
					return
				}
			}
			c.states[0].consented = now
		}
	})
})

// measure runs steady load of a workspace while a fault happens, and reports
// the requests inside its rate that were refused.
func measure(share float64, d time.Duration, fault func(s *sim, keeper *simNode)) float64 {
	const rate = 50
	s := newSim(7, 6, 8, ws(rate, 4*rate))
	s.run(10 * time.Second)
	s.load("w", rate*share, true, s.nodes, d)
	s.run(10 * time.Second)
	*s.audits["w"] = audit{limit: s.limits[0], level: s.audits["w"].level, at: s.audits["w"].at}
	claim, _ := s.nodes[0].claims.Keeper(Group("w", 0, 8))
	fault(s, s.node(claim.Keeper.Member))
	s.run(d)
	a := s.audits["w"]
	total := a.admitted + a.exceeded + a.unavailable
	refused := float64(a.exceeded+a.unavailable) / float64(total)
	GinkgoWriter.Printf("share %v for %v: %d requests, %d admitted, %d exceeded, %d unavailable, refused %.3f%%\n",
		share, d, total, a.admitted, a.exceeded, a.unavailable, 100*refused)
	Expect(s.fault).To(BeEmpty())
	Expect(a.worst).To(BeNumerically(">=", -1e-6))
	return refused
}

var _ = DescribeTable("a fault of a keeper refuses few requests inside the rate",
	func(d time.Duration, limit float64, fault func(s *sim, keeper *simNode)) {
		Expect(measure(0.9, d, fault)).To(BeNumerically("<=", limit))
	},
	Entry("death", time.Minute, 0.001, func(_ *sim, k *simNode) { k.dead = true }),
	Entry("pause of 30 s while the platform is down for an hour", 59*time.Minute, 0.001, func(s *sim, k *simNode) {
		s.down = true
		s.run(time.Minute)
		k.pausedUntil = s.now + 30*time.Second
	}),
	Entry("planned stop", time.Minute, 0.0, func(s *sim, k *simNode) {
		k.leaving = true
		k.do(k.claims.Leave(k.clock()))
		s.run(5 * time.Second)
		Expect(k.claims.Kept()).To(BeZero())
		k.dead = true
	}),
)

var _ = Describe("supersession", func() {
	// Guards against a third daemon that grants while the keeper goes on by
	// consent, both cut off from the platform and from the third.
	It("by a third daemon waits until the consent has certainly ended", func() {
		s := newSim(3, 3, 1, ws(20, 20))
		claim := s.claim(0)
		for _, n := range s.nodes {
			if n.id == claim.Keeper || n.id == claim.Successor {
				n.cut = true
				continue
			}
			n.blindUntil[claim.Keeper.Member] = time.Hour
			n.blindUntil[claim.Successor.Member] = time.Hour
		}
		s.load("w", 10, false, s.nodes, 3*time.Hour)
		s.run(claimPatience + time.Minute)
		third := s.claim(0)
		Expect(third.Keeper).NotTo(Equal(claim.Keeper))
		Expect(s.grantEnds[0].keeper).To(Equal(claim.Keeper))
		s.run(time.Hour + 10*time.Minute)
		Expect(s.grantEnds[0].keeper).To(Equal(third.Keeper))
		Expect(s.fault).To(BeEmpty())
	})
})

// Guards the promise that a group has one keeper with grants at a time, and so
// the rate, under platform outages, lost answers, late appends, wrong
// membership views, pauses, crashes, restarts and planned stops. The faults hit
// the daemons that matter for a group and end after some time.
func TestClaimsProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := ws(20, 20)
		s := newSim(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(3, 5).Draw(t, "nodes"), 2, w)
		seconds := func(t *rapid.T, longest int) time.Duration {
			return time.Duration(rapid.IntRange(1, longest*10).Draw(t, "time")) * time.Second / 10
		}
		run := func(t *rapid.T, longest int) {
			d := seconds(t, longest)
			s.load("w", 30, false, s.nodes, min(d, 20*time.Second))
			s.run(d)
		}
		// fault applies a fault to the keeper or successor of a group or to another node.
		fault := func(f func(t *rapid.T, n *simNode)) func(*rapid.T) {
			return func(t *rapid.T) {
				claim := s.claim(uint32(rapid.IntRange(0, 1).Draw(t, "group")))
				n := s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(t, "node")]
				if m := s.node([]string{n.id.Member, claim.Keeper.Member, claim.Successor.Member}[rapid.IntRange(0, 2).Draw(t, "role")]); m != nil {
					f(t, m)
				}
				run(t, 12)
			}
		}
		cut := fault(func(t *rapid.T, n *simNode) {
			n.cut = true
			s.at(nil, seconds(t, 60), func() { n.cut = false })
		})
		suspect := func(t *rapid.T) {
			claim := s.claim(uint32(rapid.IntRange(0, 1).Draw(t, "group")))
			for _, n := range s.nodes {
				if n.id == claim.Successor || rapid.Bool().Draw(t, "too") {
					n.blindUntil[claim.Keeper.Member] = s.now + seconds(t, 3)
				}
			}
			run(t, 12)
		}
		t.Repeat(map[string]func(*rapid.T){
			"run":       func(t *rapid.T) { run(t, 20) },
			"run long":  func(t *rapid.T) { run(t, 500) },
			"cut":       cut,
			"cut two":   cut,
			"suspect":   suspect,
			"suspect 2": suspect,
			"outage": func(t *rapid.T) {
				s.down = true
				s.at(nil, seconds(t, 60), func() { s.down = false })
				run(t, 12)
			},
			"long cut": fault(func(t *rapid.T, n *simNode) {
				n.cut = true
				s.at(nil, seconds(t, 5000), func() { n.cut = false })
			}),
			"pause": fault(func(t *rapid.T, n *simNode) { n.pausedUntil = s.now + seconds(t, 15) }),
			"restart": fault(func(t *rapid.T, n *simNode) {
				n.dead = true
				s.at(nil, seconds(t, 15), func() { s.restart(n) })
			}),
			"stop": fault(func(t *rapid.T, n *simNode) {
				n.leaving = true
				n.do(n.claims.Leave(n.clock()))
				s.at(nil, 5*time.Second, func() {
					if n.claims.Kept() == 0 && !n.dead {
						s.restart(n)
					}
				})
			}),
			"lost answers": func(t *rapid.T) {
				s.lostAnswer = rapid.SampledFrom([]float64{0, 0.7}).Draw(t, "chance")
				s.loss = rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "loss")
			},
			"": func(t *rapid.T) {
				if s.fault != "" || s.audits["w"].worst < -1e-6 {
					t.Fatalf("%v; worst level %v", s.fault, s.audits["w"].worst)
				}
			},
		})
	})
}
