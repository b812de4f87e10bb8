package confirmation

import (
	"flag"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// world is a store and daemons in true time. Each daemon's clock has its own offset and
// speed.
type world struct {
	t         *rapid.T
	now       time.Duration   // true time
	published []time.Duration // true time of each version, from version 1 on
	daemons   []*daemon
	messages  []message
	number    uint64
}

// daemon is one daemon with a clock that started offset before true time and runs speed
// times as fast.
type daemon struct {
	offset    time.Duration
	speed     float64
	version   uint64
	confirmed time.Duration // on its clock
	known     bool
	question  uint64        // number of the outstanding question, 0: none
	asked     time.Duration // on its clock
}

func (d *daemon) clock(now time.Duration) time.Duration {
	return d.offset + time.Duration(float64(now)*d.speed)
}

// message is a question, or an answer to one, in transit.
type message struct {
	number   uint64
	from, to int
	answer   *Answer
	received time.Duration // of a parked question, on the clock of the reader
}

// newestAt returns the newest version at a true time.
func (w *world) newestAt(at time.Duration) uint64 {
	version := uint64(0)
	for _, published := range w.published {
		if published <= at {
			version++
		}
	}
	return version
}

// check verifies the proof of every daemon: at the confirmed time nothing newer than its
// version was published.
func (w *world) check(*rapid.T) {
	for n, d := range w.daemons {
		if !d.known {
			continue
		}
		trueTime := time.Duration(float64(d.confirmed-d.offset) / d.speed)
		if newest := w.newestAt(trueTime - time.Microsecond); newest > d.version {
			w.t.Fatalf("daemon %d counts version %d as the newest up to %v, when version %d was published", n, d.version, trueTime, newest)
		}
	}
}

func (w *world) draw(t *rapid.T) int { return rapid.IntRange(0, len(w.daemons)-1).Draw(t, "daemon") }

// Guards against a proof that is too fresh, whatever is paused or restarted, and however
// messages are delayed, duplicated or reordered: a daemon that counts on it would accept
// a withdrawn key after the bound.
func TestConfirmationsAreNeverTooFresh(t *testing.T) {
	// The shortest sequences that break a wrong proof have six steps of eight kinds.
	for name, value := range map[string]string{"rapid.checks": "2000", "rapid.steps": "100"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t}
		for range rapid.IntRange(2, 5).Draw(t, "daemons") {
			w.daemons = append(w.daemons, &daemon{
				offset: time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "offset")),
				speed:  1 + rapid.Float64Range(-clockDrift/2.1, clockDrift/2.1).Draw(t, "drift"),
			})
		}
		t.Repeat(map[string]func(*rapid.T){
			"": w.check,
			"wait": func(t *rapid.T) {
				w.now += time.Duration(rapid.Int64Range(0, int64(5*time.Second)).Draw(t, "time"))
			},
			"publish": func(*rapid.T) {
				w.now += 2 * time.Microsecond // more than the rounding of the clocks
				w.published = append(w.published, w.now)
			},
			"restart": func(t *rapid.T) {
				d := w.daemons[w.draw(t)]
				d.known, d.version, d.question = false, 0, 0
			},
			"read the store": func(t *rapid.T) {
				d := w.daemons[w.draw(t)]
				d.version, d.confirmed, d.known = w.newestAt(w.now), d.clock(w.now), true
			},
			"ask": func(t *rapid.T) {
				from := w.draw(t)
				w.number++
				d := w.daemons[from]
				d.question, d.asked = w.number, d.clock(w.now)
				w.messages = append(w.messages, message{number: w.number, from: from, to: w.draw(t), received: -1})
			},
			"receive a question": func(t *rapid.T) {
				if m := w.pick(t, func(m *message) bool { return m.answer == nil && m.received < 0 }); m != nil {
					m.received = w.daemons[m.to].clock(w.now)
				}
			},
			"answer": func(t *rapid.T) {
				if m := w.pick(t, func(m *message) bool { return m.answer == nil && m.received >= 0 && w.daemons[m.to].known }); m != nil {
					d := w.daemons[m.to]
					now := d.clock(w.now)
					w.messages = append(w.messages, message{number: m.number, from: m.to, to: m.from,
						answer: &Answer{Version: d.version, Age: now - d.confirmed, Held: max(0, now-m.received)}})
				}
			},
			"receive an answer": func(t *rapid.T) {
				m := w.pick(t, func(m *message) bool { return m.answer != nil })
				if m == nil || w.daemons[m.to].question != m.number {
					return // answers to former questions are dropped
				}
				d := w.daemons[m.to]
				if m.answer.Version > d.version && rapid.Bool().Draw(t, "usable") { // the tables come with the answer
					d.version = m.answer.Version
				}
				if proven, ok := ProvenTime(d.asked, d.clock(w.now), d.version, *m.answer); ok {
					if !d.known || proven > d.confirmed {
						d.confirmed = proven
					}
					d.known = true
				}
				d.question = 0
			},
		})
	})
}

// pick draws one of the messages that accept allows, nil if there is none.
func (w *world) pick(t *rapid.T, accept func(*message) bool) *message {
	var list []*message
	for i := range w.messages {
		if accept(&w.messages[i]) {
			list = append(list, &w.messages[i])
		}
	}
	if len(list) == 0 {
		return nil
	}
	return list[rapid.IntRange(0, len(list)-1).Draw(t, "message")]
}

// An answer proves nothing about another version, nor if the peer was never confirmed.
func TestAnswersThatProveNothing(t *testing.T) {
	g := NewWithT(t)
	const asked, now = 10 * time.Second, 12 * time.Second
	proven, ok := ProvenTime(asked, now, 4, Answer{Version: 4, Age: time.Second, Held: 2 * time.Second})
	g.Expect(ok).To(BeTrue())
	g.Expect(proven).To(And(BeNumerically("<", 11*time.Second), BeNumerically(">", 10900*time.Millisecond)))
	proven, _ = ProvenTime(asked, now, 4, Answer{Version: 4, Age: time.Second, Held: time.Hour})
	g.Expect(proven).To(BeNumerically("<", 11*time.Second), "the peer held the question for longer than it was out")
	for _, answer := range []Answer{{Version: 3}, {Version: 5}, {Version: 4, Age: time.Hour}, {Version: 4, Age: -1}, {Version: 4, Held: -1}} {
		_, ok := ProvenTime(asked, now, 4, answer)
		g.Expect(ok).To(BeFalse(), "%+v", answer)
	}
}

// fleetOf returns the members of a fleet in zones, all of which ask peers.
func fleetOf(zones, perZone int) []Member {
	var members []Member
	for z := range zones {
		for n := range perZone {
			members = append(members, Member{Name: fmt.Sprintf("host-%d-%d", z, n), Zone: fmt.Sprint("zone-", z), Version: 1, Answers: true})
		}
	}
	return members
}

// others returns the members without the one with the given name.
func others(members []Member, name string) []Member {
	var list []Member
	for _, m := range members {
		if m.Name != name {
			list = append(list, m)
		}
	}
	return list
}

// settled is the state of a daemon that started long ago.
func settled(members []Member, name string, version uint64, age time.Duration) State {
	return State{Members: others(members, name), Version: version, Age: age, Started: time.Hour, Listed: time.Hour}
}

// readers returns the names of the daemons that read the store for their zone. Each
// decides with the same view and tells it to the others.
func readers(members []Member, choosers map[string]*Chooser) (list []string) {
	for i := range members {
		m := &members[i]
		step := choosers[m.Name].Next(0, settled(members, m.Name, 1, time.Second))
		if step.Kind == Poll {
			choosers[m.Name].StoreRead(0, true, false)
			list = append(list, m.Name)
		}
		m.Reads = choosers[m.Name].Reads()
	}
	return list
}

func choosersOf(members []Member) map[string]*Chooser {
	choosers := map[string]*Chooser{}
	for _, m := range members {
		choosers[m.Name] = NewChooser(m.Name, m.Zone)
	}
	return choosers
}

// Guards against a reader that started after a restore of the store, and stays with the
// version of the older copy while members have the one that the store has lost.
func TestReaderOfARestoredStoreAsksForNewerVersions(t *testing.T) {
	g := NewWithT(t)
	state := State{Members: []Member{{Name: "host-1", Zone: "z", Version: 2, Answers: true, StoreLost: true}}, Version: 1, Started: time.Minute, Listed: time.Minute}
	c := NewChooser("host-0", "z")
	c.reading = true
	g.Expect(c.Next(0, state).Kind).To(Equal(Poll), "the store returns it")
	state.Restored = true
	g.Expect(c.Next(0, state)).To(Equal(Step{Kind: Ask, Member: "host-1"}))
	c.Unanswered(0, "host-1")
	g.Expect(c.Next(0, state).Kind).To(Equal(Poll))
}

// Guards against store calls that grow with the hosts: one daemon per zone polls, at 16,
// 95 and 1,100 hosts, and the others ask the reader of their zone and park the question.
func TestOneReaderPerZone(t *testing.T) {
	for _, perZone := range []int{1, 4, 19, 220} {
		g := NewWithT(t)
		members := fleetOf(5, perZone)
		choosers := choosersOf(members)
		readers(members, choosers)
		g.Expect(readers(members, choosers)).To(HaveLen(5), "%d hosts per zone", perZone)
		zoneOf := map[string]string{}
		for _, m := range members {
			zoneOf[m.Name] = m.Zone
		}
		for _, m := range members {
			if m.Reads {
				continue
			}
			c := NewChooser(m.Name, m.Zone)
			step := c.Next(0, settled(members, m.Name, 1, time.Second))
			g.Expect(step.Kind).To(Equal(Ask))
			g.Expect(zoneOf[step.Member]).To(Equal(m.Zone))
			g.Expect(step.Park).To(BeFalse(), "the first answer is needed at once")
			c.Answered(0, step.Member, 1, time.Second)
			g.Expect(c.Next(askInterval, settled(members, m.Name, 1, maxParkAge))).To(Equal(Step{Kind: Ask, Member: step.Member, Park: true}))
		}
	}
}

// Guards against a gap when a host of a higher rank starts: the former reader goes on
// until the new one reads.
func TestReaderGoesOnUntilItsSuccessorReads(t *testing.T) {
	g := NewWithT(t)
	members := fleetOf(1, 4)
	choosers := choosersOf(members)
	first := readers(members, choosers)[0]
	rest := others(members, first)
	second := NewChooser(rest[0].Name, "zone-0")
	for _, m := range rest { // the one that ranks next
		if precedes(m.Name, second.self) {
			second = NewChooser(m.Name, "zone-0")
		}
	}
	g.Expect(second.Next(0, settled(rest, second.self, 1, 0)).Kind).To(Equal(Poll), "the first one is gone")
	second.StoreRead(0, true, false)
	returned := Member{Name: first, Zone: "zone-0", Answers: true}
	g.Expect(second.Next(0, settled(append(rest, returned), second.self, 1, 0)).Kind).To(Equal(Poll), "it has not read yet")
	returned.Reads, returned.Version = true, 1
	g.Expect(second.Next(0, settled(append(rest, returned), second.self, 1, 0)).Kind).To(Equal(Ask))
	g.Expect(second.Reads()).To(BeFalse())
}

// Guards against a zone that loses its proofs with its reader: the reader that the store
// turns away asks other zones, the next in rank takes over, and daemons that find nobody
// to ask read the store before their tables are too old.
func TestReaderLosesTheStore(t *testing.T) {
	g := NewWithT(t)
	members := fleetOf(2, 6)
	choosers := choosersOf(members)
	readers(members, choosers)
	lost := 0
	for members[lost].Reads == false {
		lost++
	}
	c := choosers[members[lost].Name]
	c.StoreRead(0, false, false)
	g.Expect(c.StoreLost()).To(BeTrue())
	members[lost].Reads, members[lost].StoreLost = false, true
	step := c.Next(0, settled(members, c.self, 1, time.Second))
	g.Expect(step.Kind).To(Equal(Ask), "the reader of the other zone")
	g.Expect(step.Park).To(BeFalse())
	g.Expect(readers(members, choosers)).To(HaveLen(2), "the next in rank reads for the zone")
	members[lost].StoreLost = true
	g.Expect(c.Next(minStoreDelay, settled(members, c.self, 1, time.Second)).Kind).To(Equal(ReadStore), "it tries to regain the store")

	for i := range members {
		members[i].Reads, members[i].StoreLost = false, true // an outage of the store
	}
	calls := 0
	for _, m := range members {
		c := NewChooser(m.Name, m.Zone)
		g.Expect(c.Next(0, settled(members, m.Name, 1, fallbackAge-1)).Kind).NotTo(Equal(Ask))
		if step := c.Next(0, settled(members, m.Name, 1, fallbackAge+fallbackSpread)); step.Kind == ReadStore || step.Kind == Poll {
			calls++
		}
	}
	g.Expect(calls).To(Equal(len(members)), "nobody waits for a reader that cannot read")
}

// Guards against a herd of calls while the store refuses them: in an outage of 10 s, 95
// daemons make fewer than 95 calls a second, and go on making some.
func TestCallsDuringAnOutage(t *testing.T) {
	g := NewWithT(t)
	members := fleetOf(5, 19)
	choosers := choosersOf(members)
	readers(members, choosers)
	calls := 0
	const tick, outage = 50 * time.Millisecond, 10 * time.Second
	for now := time.Duration(0); now < outage; now += tick {
		for i := range members {
			c := choosers[members[i].Name]
			switch step := c.Next(now, settled(members, c.self, 1, time.Second+now)); step.Kind {
			case Poll, ReadStore:
				calls++
				c.StoreRead(now, false, false)
			case Ask:
				c.Answered(now, step.Member, 1, time.Second+now)
			}
			members[i].Reads, members[i].StoreLost = c.Reads(), c.StoreLost()
		}
	}
	g.Expect(calls).To(BeNumerically("<", 95*10))
	g.Expect(calls).To(BeNumerically(">", 95))
}

// Guards against withdrawn keys and routes that stay in force because the reader of the
// zone is paused: whoever has a newer version is asked for it at once.
func TestNewerVersionIsFetchedFromWhoHasIt(t *testing.T) {
	g := NewWithT(t)
	reader, self := "host-1", "host-2"
	if !precedes(reader, self) {
		reader, self = self, reader
	}
	members := []Member{
		{Name: reader, Zone: "a", Version: 1, Answers: true, Reads: true}, {Name: "other", Zone: "b", Version: 2, Answers: true},
	}
	c := NewChooser(self, "a")
	c.Answered(0, reader, 1, time.Second)
	step := c.Next(0, settled(members, self, 1, time.Second))
	g.Expect(step).To(Equal(Step{Kind: Ask, Member: "other"}))
	c.Unanswered(0, "other")
	g.Expect(c.Next(0, settled(members, self, 1, time.Second)).Kind).To(Equal(ReadStore), "nobody else has it")
	members[1].Answers = false // a member of an earlier release
	g.Expect(NewChooser(self, "a").Next(0, settled(members, self, 1, time.Second)).Kind).To(Equal(ReadStore))
}

// Guards against tables that grow old after a publication: it was written at an unknown
// time during the poll, so that the poll confirms only its own begin. The reader reads
// again at once, and whoever has old tables does not park a question.
func TestPublicationIsConfirmedAtOnce(t *testing.T) {
	g := NewWithT(t)
	reader := NewChooser("self", "a")
	alone := settled(nil, "self", 1, 2*time.Second)
	g.Expect(reader.Next(0, alone).Kind).To(Equal(Poll))
	reader.StoreRead(0, true, true)
	g.Expect(reader.Next(0, alone).Kind).To(Equal(ReadStore))
	reader.StoreRead(0, true, false)
	g.Expect(reader.Next(0, alone).Kind).To(Equal(Poll))

	members := []Member{{Name: "reader", Zone: "b", Version: 1, Answers: true, Reads: true}, {Name: "host-0", Zone: "a", Version: 1, Answers: true, Reads: true}}
	asker := NewChooser("self", "a")
	asker.reading = false
	step := asker.Next(0, settled(members, "self", 1, 2*time.Second))
	if step.Kind != Ask {
		asker = NewChooser("host-0", "a")
		members[1].Name = "self"
		step = asker.Next(0, settled(members, "host-0", 1, 2*time.Second))
	}
	asker.Answered(0, step.Member, 1, 2*time.Second)
	g.Expect(asker.Next(askInterval-1, settled(members, asker.self, 1, 2*time.Second)).Kind).To(Equal(Pause), "one question at a time")
	g.Expect(asker.Next(askInterval, settled(members, asker.self, 1, 2*time.Second))).To(Equal(Step{Kind: Ask, Member: step.Member}))
}

// Guards against a starting fleet in which each daemon, before it knows the others,
// takes itself for the reader, and against one that waits for ever.
func TestStartWaitsForTheOthers(t *testing.T) {
	g := NewWithT(t)
	c := NewChooser("self", "a")
	g.Expect(c.Next(0, State{Started: time.Millisecond}).Kind).To(Equal(Pause))
	g.Expect(c.Next(0, State{Started: 2 * settleTime, Listed: settleTime / 2}).Kind).To(Equal(Pause))
	reader := []Member{{Name: "reader", Zone: "b", Version: 3, Answers: true, Reads: true}}
	g.Expect(c.Next(0, State{Started: time.Millisecond, Members: reader})).To(Equal(Step{Kind: Ask, Member: "reader"}))
	g.Expect(c.Next(0, State{Started: 2 * settleTime, Listed: settleTime}).Kind).To(Equal(Poll), "it is alone")
	g.Expect(NewChooser("self", "a").Next(0, State{Started: maxStartWait}).Kind).To(Equal(Poll), "the directory cannot be read")
}
