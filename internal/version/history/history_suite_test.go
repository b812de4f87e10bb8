package history

import (
	"bytes"
	"cmp"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"reflect"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"tarragonshore.example/tarragonshore/internal/process/platform"
	"tarragonshore.example/tarragonshore/internal/version/tables"
)

func TestMain(m *testing.M) {
	// The command line and RAPID_SEED replace the fixed seed.
	if err := flag.Set("rapid.seed", cmp.Or(os.Getenv("RAPID_SEED"), "20260101")); err != nil {
		panic(err)
	}
	// Long runs, since an edit takes several steps.
	if err := flag.Set("rapid.steps", "150"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func TestHistory(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "history")
}

var start = time.Unix(1_800_000_000, 0)

func newTestReader() *Reader { return NewReader(24*time.Hour, rand.New(rand.NewPCG(1, 2))) }

// newShortReader returns a reader that looks for snapshots in the latest 6 records
// first, so that short streams show what long ones do.
func newShortReader() *Reader {
	r := newTestReader()
	r.window = 6
	return r
}

// editOn returns an edit on the reader's version that drains a server.
func editOn(r *Reader, id byte, server string) Edit {
	changes := []tables.Change{{Server: &tables.Server{Name: server, Drain: id%2 == 0}}}
	result, err := r.Tables().Apply(changes)
	if err != nil {
		panic(err)
	}
	return Edit{Base: r.Version(), Changes: changes, ID: EditID{id, id / 7}, Result: result.Digest(), Author: "test"}
}

func record(encode func() ([]byte, error)) []byte {
	data, err := encode()
	if err != nil {
		panic(err)
	}
	return data
}

// stream is a log in memory.
type stream struct {
	records [][]byte
	times   []time.Time
	first   int
	delayed [][]byte // appends without an answer that may still take effect
}

func (s *stream) add(data []byte, now time.Time) {
	s.records, s.times = append(s.records, data), append(s.times, now)
}

func (s *stream) read(from platform.Offset, limit int) platform.Batch {
	b := platform.Batch{First: platform.Offset(s.first), Next: platform.Offset(len(s.records))}
	for o := max(from, b.First); o < b.Next && len(b.Records) < limit; o++ {
		b.Records = append(b.Records, platform.Record{Offset: o, Data: s.records[o]})
	}
	return b
}

// catchUp reads to the end and returns all events.
func (s *stream) catchUp(r *Reader, now time.Time) (events []Event) {
	for range len(s.records) + 2 {
		events = append(events, r.Apply(s.read(r.ReadFrom(), 5), now)...)
		if r.AtEnd() || r.NeedsPeer() {
			return events
		}
	}
	panic("the reader does not reach the end")
}

type editor struct {
	r *Reader
	p *Publisher
}

// world drives readers, editors and snapshots against one stream.
type world struct {
	log     stream
	now     time.Time
	readers []*Reader
	editors []*editor
	posts   [][]byte // snapshots taken and not yet appended
	oracle  *Reader  // reads every record before it can be lost
	states  map[platform.Offset][3]any
	fates   map[platform.Offset]Event
	made    map[EditID]bool
	edits   byte
}

func (w *world) observe() {
	for int(w.oracle.Next()) < len(w.log.records) {
		before := w.oracle.Next()
		events := w.oracle.Apply(platform.Batch{Next: w.oracle.Next() + 1, Records: []platform.Record{{Offset: w.oracle.Next(), Data: w.log.records[w.oracle.Next()]}}}, w.now)
		if w.oracle.Next() != before+1 {
			panic("a reader that has all records leaves their order")
		}
		w.states[w.oracle.Next()] = [3]any{w.oracle.Version(), w.oracle.Tables().Digest(), fmt.Sprint(w.oracle.recent)}
		for _, e := range events {
			w.fates[w.oracle.Next()-1] = e
			if a, ok := e.(Accepted); ok {
				w.made[a.ID] = true
			}
		}
	}
}

// take gives a reader one batch and compares it with the oracle.
func (w *world) take(t *rapid.T, r *Reader, limit int) []Event {
	before := r.Version()
	events := r.Apply(w.log.read(r.ReadFrom(), limit), w.now)
	w.check(t, r, before)
	for _, event := range events {
		switch e := event.(type) {
		case Accepted:
			if !reflect.DeepEqual(w.fates[e.Offset], event) {
				t.Fatalf("accepted at %d, oracle: %v", e.Offset, w.fates[e.Offset])
			}
		case Rejected:
			if f, ok := w.fates[e.Offset].(Rejected); !ok || f.Reason != e.Reason {
				t.Fatalf("rejected at %d (%s), oracle: %v", e.Offset, e.Reason, w.fates[e.Offset])
			}
		case SnapshotIgnored:
			if e.Reason == IgnoredConflict {
				t.Fatalf("snapshot of version %d as of %d conflicts", e.Version, e.AsOf)
			}
		}
	}
	return events
}

func (w *world) check(t *rapid.T, r *Reader, before tables.Version) {
	if r.Version() < before {
		t.Fatalf("version %d reverted to %d", before, r.Version())
	}
	got := [3]any{r.Version(), r.Tables().Digest(), fmt.Sprint(r.recent)}
	if want, ok := w.states[r.Next()]; ok && got != want {
		t.Fatalf("state before offset %d is %v, want %v", r.Next(), got, want)
	}
}

func (w *world) settled(t *rapid.T, p *Publisher) {
	switch accepted := w.made[p.ID()]; {
	case p.Outcome() == OutcomeAccepted && !accepted:
		t.Fatalf("edit %s was reported as accepted, but is not in force", p.ID())
	case accepted && (p.Outcome() == OutcomeRejected || p.Outcome() == OutcomeUnavailable):
		t.Fatalf("edit %s was reported as %s, but was accepted", p.ID(), p.Outcome())
	}
}

// stepEditor does the next step of an editor, with lost and delayed appends.
func (w *world) stepEditor(t *rapid.T, e *editor) {
	switch e.p.Next(w.now) {
	case StepAppend:
		var err error
		switch rapid.IntRange(0, 5).Draw(t, "append") {
		case 0:
			err = platform.ErrRejected
		case 1:
			err = platform.ErrUnknown
		case 2:
			w.log.delayed, err = append(w.log.delayed, e.p.Record()), platform.ErrUnknown
		case 3:
			w.log.add(e.p.Record(), w.now)
			err = platform.ErrUnknown
		default:
			w.log.add(e.p.Record(), w.now)
		}
		w.observe()
		e.p.Appended(err, w.now)
	case StepRead:
		if rapid.IntRange(0, 5).Draw(t, "read") == 0 {
			e.p.ReadFailed(errors.New("no answer"), w.now)
			return
		}
		e.p.Observe(e.r, w.take(t, e.r, rapid.IntRange(1, 9).Draw(t, "limit")), w.now)
	}
}

func (w *world) actions() map[string]func(*rapid.T) {
	reader := func(t *rapid.T) *Reader { return rapid.SampledFrom(w.readers).Draw(t, "reader") }
	return map[string]func(*rapid.T){
		"":     func(*rapid.T) { w.observe() },
		"read": func(t *rapid.T) { w.take(t, reader(t), rapid.IntRange(1, 9).Draw(t, "limit")) },
		"stale read": func(t *rapid.T) {
			r := reader(t)
			older := stream{records: w.log.records[:rapid.IntRange(w.log.first, len(w.log.records)).Draw(t, "end")], first: w.log.first}
			before := r.Version()
			r.Apply(older.read(r.ReadFrom(), 9), w.now)
			w.check(t, r, before)
			if r.AtEnd() && r.Next() < platform.Offset(len(older.records)) {
				t.Fatalf("at the end before record %d", r.Next())
			}
		},
		"wait": func(t *rapid.T) {
			w.now = w.now.Add(time.Duration(rapid.IntRange(1, 9000).Draw(t, "ms")) * time.Millisecond)
		},
		"new reader": func(t *rapid.T) {
			w.readers[rapid.IntRange(0, len(w.readers)-1).Draw(t, "slot")] = newShortReader()
		},
		"take from a peer": func(t *rapid.T) {
			r := reader(t)
			before := r.Version()
			if s, ok := reader(t).Snapshot(); ok {
				r.AdoptPeerSnapshot(s, w.now)
				w.check(t, r, before)
			}
		},
		"retention": func(t *rapid.T) { w.log.first = rapid.IntRange(w.log.first, len(w.log.records)).Draw(t, "first") },
		"snapshot": func(t *rapid.T) {
			if r := reader(t); r.AtEnd() {
				if s, ok := r.Snapshot(); ok {
					w.posts = append(w.posts, record(s.Encode))
				}
			}
		},
		"append snapshot": func(t *rapid.T) {
			if len(w.posts) > 0 {
				w.log.add(rapid.SampledFrom(w.posts).Draw(t, "post"), w.now)
			}
		},
		"late append": func(t *rapid.T) {
			if len(w.log.delayed) > 0 {
				w.log.add(w.log.delayed[0], w.now)
				w.log.delayed = w.log.delayed[1:]
			}
		},
		"malformed": func(t *rapid.T) {
			if n := len(w.log.records); n > 0 && len(w.log.records[n-1]) > 0 {
				last := w.log.records[n-1]
				w.log.add(last[:rapid.IntRange(0, len(last)-1).Draw(t, "length")], w.now)
			}
		},
		"edit": func(t *rapid.T) {
			e := &editor{r: newShortReader()}
			w.log.catchUp(e.r, w.now)
			if s, ok := reader(t).Snapshot(); ok && e.r.NeedsPeer() {
				e.r.AdoptPeerSnapshot(s, w.now)
			}
			w.edits++
			edit := editOn(e.r, w.edits, fmt.Sprint("s", w.edits%5))
			if rapid.IntRange(0, 3).Draw(t, "ahead") == 0 {
				edit.Base++ // a base that the stream reaches later
			}
			e.p, _ = NewPublisher(edit, w.now.Add(20*time.Second), rand.New(rand.NewPCG(3, uint64(w.edits))))
			w.editors = append(w.editors, e)
		},
		"editor": func(t *rapid.T) {
			if len(w.editors) > 0 {
				e := w.editors[max(0, len(w.editors)-rapid.IntRange(1, 3).Draw(t, "editor"))]
				for range 3 {
					w.stepEditor(t, e)
				}
			}
		},
	}
}

var _ = Describe("readers", func() {
	// Guards against readers that disagree about a version, a version that
	// reverts, and an edit whose reported outcome is false, under retention, lost
	// and late appends, racing editors, stale snapshots and malformed records.
	It("agree on every version, and outcomes are true", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			w := &world{now: start, oracle: newTestReader(), states: map[platform.Offset][3]any{}, fates: map[platform.Offset]Event{}, made: map[EditID]bool{}}
			w.states[0] = [3]any{tables.Version(0), w.oracle.Tables().Digest(), "[]"}
			for range 4 {
				w.readers = append(w.readers, newShortReader())
			}
			t.Repeat(w.actions())
			for _, data := range w.log.delayed {
				w.log.add(data, w.now)
			}
			w.observe()
			for _, r := range w.readers {
				for range len(w.log.records) + 2 {
					w.take(t, r, 9)
				}
				if !r.AtEnd() && !r.NeedsPeer() {
					t.Fatalf("a reader does not reach the end; it reads from %d", r.ReadFrom())
				}
			}
			for _, e := range w.editors {
				w.settled(t, e.p)
			}
		})
	})

	// Guards against a rejection that is reported because the reader took a
	// snapshot that no longer names the edit.
	It("do not decide about an edit that a snapshot hides", func() {
		var log stream
		author, other := newTestReader(), newTestReader()
		edit := editOn(author, 1, "s")
		p, err := NewPublisher(edit, start.Add(time.Minute), rand.New(rand.NewPCG(1, 1)))
		Expect(err).NotTo(HaveOccurred())
		log.add(p.Record(), start)
		p.Appended(platform.ErrUnknown, start)
		for i := range 2 * RecentEdits {
			log.catchUp(other, start)
			next := editOn(other, byte(i+2), "s")
			log.add(record(next.Encode), start)
		}
		log.catchUp(other, start)
		s, _ := other.Snapshot()
		author.AdoptPeerSnapshot(s, start)
		p.Observe(author, log.catchUp(author, start), start)
		Expect(p.Outcome()).To(Equal(OutcomeUnknown))
	})

	// Guards against an edit that was reported as rejected and takes effect when
	// a late second record of it meets its base.
	It("refuse a second record of a rejected edit", func() {
		var log stream
		r := newTestReader()
		ahead := editOn(r, 1, "a")
		ahead.Base = 1
		log.add(record(ahead.Encode), start)
		log.catchUp(r, start)
		edit := editOn(r, 3, "a")
		log.add(record(edit.Encode), start)
		log.add(record(ahead.Encode), start)
		Expect(log.catchUp(r, start)).To(HaveExactElements(
			HaveField("Version", tables.Version(1)), HaveField("Reason", ReasonDuplicate)))
	})

	// Guards against reporting an edit as not published while it may be in force.
	DescribeTable("leave an edit unsettled at the deadline", func(appended error, want Outcome) {
		p, err := NewPublisher(editOn(newTestReader(), 1, "s"), start.Add(time.Second), rand.New(rand.NewPCG(1, 1)))
		Expect(err).NotTo(HaveOccurred())
		Expect(p.Next(start)).To(Equal(StepAppend))
		p.Appended(appended, start)
		Expect(p.Next(start.Add(time.Second))).To(Equal(StepDone))
		Expect(p.Outcome()).To(Equal(want))
	},
		Entry("answer lost", platform.ErrUnknown, OutcomeUnknown), Entry("not read back", nil, OutcomeUnknown),
		Entry("not appended", platform.ErrRejected, OutcomeUnavailable), Entry("too large", platform.ErrTooLarge, OutcomeUnavailable))

	// Guards against a reader that skips records that a false as-of offset covers.
	It("refuse a snapshot of the future", func() {
		var log stream
		s := &Snapshot{Tables: tables.Empty(), AsOf: 1}
		log.add([]byte("x"), start)
		log.add(record(s.Encode), start)
		log.first = 1
		r := newTestReader()
		Expect(log.catchUp(r, start)).To(HaveExactElements(BeAssignableToTypeOf(Malformed{}), BeAssignableToTypeOf(Gap{})))
	})

	// Guards against tables that count as fresh by an answer that lacks known records.
	It("are not at the end after an answer that is older than one before", func() {
		var log stream
		r := newTestReader()
		edit := editOn(r, 1, "s")
		log.add(record(edit.Encode), start)
		log.catchUp(r, start)
		Expect(r.Apply(platform.Batch{}, start)).To(HaveExactElements(Behind{Next: 0, Known: 1}))
		Expect(r.Apply(platform.Batch{}, start)).To(BeEmpty())
		Expect(r.AtEnd()).To(BeFalse())
		Expect(log.catchUp(r, start)).To(BeEmpty())
		Expect(r.AtEnd()).To(BeTrue())
	})

	// Guards against a start that reads and replays a stream of weeks.
	DescribeTable("look for a snapshot in the latest records first", func(snapshotAt int, reads []platform.Offset) {
		var log stream
		author := newTestReader()
		for i := range 20 {
			if i == snapshotAt {
				s, _ := author.Snapshot()
				log.add(record(s.Encode), start)
			}
			edit := editOn(author, byte(i), "s")
			log.add(record(edit.Encode), start)
			log.catchUp(author, start)
		}
		r := newShortReader()
		r.Apply(log.read(r.ReadFrom(), 1), start)
		var got []platform.Offset
		for !r.AtEnd() {
			got = append(got, r.ReadFrom())
			r.Apply(log.read(r.ReadFrom(), 20), start)
		}
		Expect(got).To(Equal(reads))
		Expect(r.Version()).To(Equal(author.Version()))
		Expect(r.Tables().Digest()).To(Equal(author.Tables().Digest()))
	},
		Entry("found there: replays from it", 17, []platform.Offset{15, 17}),
		Entry("not found: replays all", 3, []platform.Offset{15, 0, 20}),
	)

	It("can start from the oldest sufficient snapshot", func() {
		var log stream
		r := newTestReader()
		for i := range 6 {
			edit := editOn(r, byte(i), "s")
			log.add(record(edit.Encode), start)
			log.catchUp(r, start)
			s, _ := r.Snapshot()
			log.add(record(s.Encode), start)
		}
		log.first = 4
		newest, all := newTestReader(), newTestReader()
		all.ReplayAll()
		log.catchUp(newest, start)
		log.catchUp(all, start)
		Expect(newest.Versions()).To(HaveLen(1))
		Expect(all.Versions()).To(HaveLen(4))
		Expect(all.Tables().Digest()).To(Equal(newest.Tables().Digest()))
	})

	It("keep the last versions", func() {
		r := newTestReader()
		var log stream
		digests := map[tables.Version]tables.Digest{}
		for i := range 100 {
			edit := editOn(r, byte(i), fmt.Sprint("s", i%7))
			log.add(record(edit.Encode), start)
			log.catchUp(r, start)
			digests[r.Version()] = r.Tables().Digest()
		}
		Expect(r.Versions()).To(HaveLen(RecentVersions))
		for version := tables.Version(37); version <= 100; version++ {
			t, ok := r.TablesAt(version)
			Expect(ok).To(BeTrue())
			Expect(t.Digest()).To(Equal(digests[version]))
		}
		_, ok := r.TablesAt(36)
		Expect(ok).To(BeFalse())
	})

	// Guards against a new reader that starts from a snapshot although records
	// between it and the retained ones are lost.
	DescribeTable("need a snapshot whose as-of offset reaches the retained records", func(asOf, first int, want Event) {
		r := newTestReader()
		var log stream
		for i := range 6 {
			if i == asOf+1 {
				break
			}
			edit := editOn(r, byte(i), "s")
			log.add(record(edit.Encode), start)
			log.catchUp(r, start)
		}
		s, _ := r.Snapshot()
		for len(log.records) < 5 {
			log.add([]byte("x"), start)
		}
		log.add(record(s.Encode), start)
		log.first = first
		events := log.catchUp(newTestReader(), start)
		Expect(events).To(ContainElement(want))
	},
		Entry("as-of = first - 1", 2, 3, SnapshotAdopted{Version: 3, AsOf: 2}),
		Entry("as-of = first", 3, 3, SnapshotAdopted{Version: 4, AsOf: 3}),
		Entry("as-of = first - 2", 1, 3, Gap{Next: 0, First: 3}))
})

var _ = Describe("snapshots", func() {
	// Guards against a stream on which new readers find no sufficient snapshot:
	// restarts, an outage of 3 hours each day, lost appends; and against a flood.
	It("are appended again in time, by few daemons", func() {
		rng := rand.New(rand.NewPCG(7, 7))
		var log stream
		retention, now, posts := 24*time.Hour, start, 0
		daemons := make([]*Reader, 12)
		for minute := 0; minute < 20*24*60; minute += 5 {
			now = now.Add(5 * time.Minute)
			for log.first < len(log.times) && now.Sub(log.times[log.first]) > retention {
				log.first++
			}
			if i := rng.IntN(len(daemons)); daemons[i] == nil || rng.IntN(80) == 0 {
				daemons[i] = NewReader(retention, rng)
			}
			if minute%(24*60) < 3*60 && minute > 24*60 {
				continue // the platform is down
			}
			for _, d := range daemons {
				if d == nil {
					continue
				}
				log.catchUp(d, now)
				if data, ok := d.Repost(now); ok && rng.IntN(3) > 0 {
					log.add(data, now)
					posts++
				}
				Expect(posts).To(BeNumerically("<", 20*6))
			}
			if minute%30 != 0 {
				continue
			}
			fresh := NewReader(retention, rng)
			log.catchUp(fresh, now)
			Expect(fresh.NeedsPeer()).To(BeFalse(), "minute %d", minute)
			if minute < 10*24*60 && rng.IntN(2) == 0 {
				edit := editOn(fresh, byte(minute), fmt.Sprint("s", rng.IntN(5)))
				log.add(record(edit.Encode), now)
			}
		}
	})
})

var _ = Describe("a snapshot whose author was paused before the append", func() {
	// Guards against counting its age from its append: the records after its
	// as-of offset are lost before the next snapshot.
	It("is replaced soon", func() {
		var log stream
		r := newTestReader()
		edit := editOn(r, 1, "s")
		log.add(record(edit.Encode), start)
		log.catchUp(r, start)
		s, _ := r.Snapshot()
		log.add(record(s.Encode), start)
		now := start.Add(20 * time.Hour)
		late := newTestReader()
		log.catchUp(late, now)
		at, ok := late.RepostAt()
		Expect(ok).To(BeTrue())
		Expect(at.Sub(now)).To(BeNumerically("<=", maxSoon))
	})
})

var _ = Describe("records", func() {
	It("are read back as written", func() {
		r := newTestReader()
		edit := editOn(r, 1, "s")
		Expect(Decode(record(edit.Encode))).To(Equal(&edit))
		s := &Snapshot{Version: 3, Tables: r.Tables(), AsOf: 9, Recent: []EditRef{{ID: EditID{1}, Offset: 4, Version: 3}}, Current: start}
		Expect(Decode(record(s.Encode))).To(Equal(s))
	})

	// Guards against an edit that takes effect as something else than its author saw.
	DescribeTable("rejected edits", func(modify func(*Edit), want RejectReason) {
		r := newTestReader()
		edit := editOn(r, 1, "s")
		modify(&edit)
		events := r.Apply(platform.Batch{Next: 1, Records: []platform.Record{{Data: record(edit.Encode)}}}, start)
		Expect(events).To(ConsistOf(HaveField("Reason", want)))
		Expect(r.Version()).To(BeZero())
	},
		Entry("result", func(e *Edit) { e.Result[0]++ }, ReasonDigestMismatch),
		Entry("checks", func(e *Edit) { e.Changes[0].Server.Name = "Ä" }, ReasonInvalidResult),
		Entry("base", func(e *Edit) { e.Base = 1 }, ReasonBaseNotCurrent))
})

func FuzzDecode(f *testing.F) {
	r := newTestReader()
	edit := editOn(r, 1, "s")
	s := &Snapshot{Tables: r.Tables(), Current: start}
	for _, seed := range [][]byte{record(edit.Encode), record(s.Encode), {0x82, 1, 0xa0}, {}} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		decoded, err := Decode(data)
		var fault *DecodeError
		if err != nil {
			if decoded != nil || !errors.As(err, &fault) {
				t.Fatalf("untyped error %v", err)
			}
			return
		}
		type encoder interface{ Encode() ([]byte, error) }
		first := record(decoded.(encoder).Encode)
		again, err := Decode(first)
		if err != nil || !bytes.Equal(first, record(again.(encoder).Encode)) {
			t.Fatalf("the record differs after encoding: %v", err)
		}
		newTestReader().Apply(platform.Batch{Next: 1, Records: []platform.Record{{Data: data}}}, start)
	})
}

func BenchmarkApply130Services(b *testing.B) {
	r := newTestReader()
	var changes []tables.Change
	for i := range 130 {
		name := fmt.Sprint("p", i)
		changes = append(changes, tables.Change{Pool: &tables.Pool{Name: name}}, tables.Change{Route: &tables.Route{Name: name, PathPrefix: "/" + name, Pool: name, Timeout: time.Second}})
	}
	for i := range 1100 {
		changes = append(changes, tables.Change{Server: &tables.Server{Name: fmt.Sprint("s", i)}})
	}
	result, err := r.Tables().Apply(changes)
	if err != nil {
		b.Fatal(err)
	}
	first := Edit{Changes: changes, ID: EditID{9}, Result: result.Digest()}
	r.Apply(platform.Batch{Next: 1, Records: []platform.Record{{Data: record(first.Encode)}}}, start)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		b.StopTimer()
		edit := editOn(r, byte(i), "s5")
		edit.ID = EditID{byte(i), byte(i >> 8), byte(i >> 16)}
		batch := platform.Batch{Next: r.Next() + 1, Records: []platform.Record{{Offset: r.Next(), Data: record(edit.Encode)}}}
		b.StartTimer()
		r.Apply(batch, start)
	}
}
