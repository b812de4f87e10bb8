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
	// RAPID_SEED or the command line overrides the default seed.
	if err := flag.Set("rapid.seed", cmp.Or(os.Getenv("RAPID_SEED"), "20260101")); err != nil {
		panic(err)
	}
	// Publishing one edit takes several steps, so runs have to be long.
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

// newSmallWindowReader returns a reader that first looks for snapshots in only the
// latest 6 records, so that short streams have records outside of the window.
func newSmallWindowReader() *Reader {
	r := newTestReader()
	r.window = 6
	return r
}

// editOn returns an edit of one server's row, based on the reader's version.
func editOn(r *Reader, id byte, server string) Edit {
	changes := []tables.Change{{Server: &tables.Server{Name: server, Drain: id%2 == 0}}}
	result, err := r.Tables().Apply(changes)
	if err != nil {
		panic(err)
	}
	return Edit{Base: r.Version(), Changes: changes, ID: EditID{id, id / 7}, ResultDigest: result.Digest(), Author: "test"}
}

func mustEncode(encode func() ([]byte, error)) []byte {
	data, err := encode()
	if err != nil {
		panic(err)
	}
	return data
}

// stream is an in-memory stream of the platform.
type stream struct {
	records [][]byte
	times   []time.Time
	first   int      // offset of the first retained record
	delayed [][]byte // records whose append got no response and may still arrive
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

// catchUp makes a reader read to the end of the stream and returns all events.
func (s *stream) catchUp(r *Reader, now time.Time) (events []Event) {
	for range len(s.records) + 2 {
		events = append(events, r.Apply(s.read(r.ReadFrom(), 5), now)...)
		if r.AtEnd() || r.NeedsPeerSnapshot() {
			return events
		}
	}
	panic("the reader does not reach the end")
}

// editor publishes one edit.
type editor struct {
	r *Reader
	p *Publisher
}

// workload runs readers, editors and snapshots against one stream.
type workload struct {
	log           stream
	now           time.Time
	readers       []*Reader
	editors       []*editor
	snapshots     [][]byte                   // encoded snapshots, which are appended late or several times
	oracle        *Reader                    // reads every record while it is retained
	oracleStates  map[platform.Offset][3]any // by the offset of the next record
	oracleEvents  map[platform.Offset]Event  // by the offset of the record
	acceptedEdits map[EditID]bool
	edits         byte
}

func (w *workload) advanceOracle() {
	for int(w.oracle.Next()) < len(w.log.records) {
		before := w.oracle.Next()
		events := w.oracle.Apply(platform.Batch{Next: w.oracle.Next() + 1, Records: []platform.Record{{Offset: w.oracle.Next(), Data: w.log.records[w.oracle.Next()]}}}, w.now)
		if w.oracle.Next() != before+1 {
			panic("the oracle did not apply the next record")
		}
		w.oracleStates[w.oracle.Next()] = [3]any{w.oracle.Version(), w.oracle.Tables().Digest(), fmt.Sprint(w.oracle.recent)}
		for _, e := range events {
			w.oracleEvents[w.oracle.Next()-1] = e
			if a, ok := e.(Accepted); ok {
				w.acceptedEdits[a.ID] = true
			}
		}
	}
}

// applyBatch makes a reader read one batch and compares its events and its state with
// those of the oracle.
func (w *workload) applyBatch(t *rapid.T, r *Reader, limit int) []Event {
	before := r.Version()
	events := r.Apply(w.log.read(r.ReadFrom(), limit), w.now)
	w.checkState(t, r, before)
	for _, event := range events {
		switch e := event.(type) {
		case Accepted:
			if !reflect.DeepEqual(w.oracleEvents[e.Offset], event) {
				t.Fatalf("edit accepted at %d; oracle: %v", e.Offset, w.oracleEvents[e.Offset])
			}
		case Rejected:
			if f, ok := w.oracleEvents[e.Offset].(Rejected); !ok || f.Reason != e.Reason {
				t.Fatalf("edit rejected at %d (%s); oracle: %v", e.Offset, e.Reason, w.oracleEvents[e.Offset])
			}
		case SnapshotIgnored:
			if e.Reason == IgnoredConflict {
				t.Fatalf("snapshot of version %d as of %d conflicts", e.Version, e.AsOf)
			}
		}
	}
	return events
}

func (w *workload) checkState(t *rapid.T, r *Reader, before tables.Version) {
	if r.Version() < before {
		t.Fatalf("the reader went back from version %d to %d", before, r.Version())
	}
	got := [3]any{r.Version(), r.Tables().Digest(), fmt.Sprint(r.recent)}
	if want, ok := w.oracleStates[r.Next()]; ok && got != want {
		t.Fatalf("state before offset %d is %v, want %v", r.Next(), got, want)
	}
}

func (w *workload) checkOutcome(t *rapid.T, p *Publisher) {
	switch accepted := w.acceptedEdits[p.ID()]; {
	case p.Outcome() == OutcomeAccepted && !accepted:
		t.Fatalf("edit %s was reported as accepted, but was not", p.ID())
	case accepted && (p.Outcome() == OutcomeRejected || p.Outcome() == OutcomeUnavailable):
		t.Fatalf("edit %s was reported as %s, but was accepted", p.ID(), p.Outcome())
	}
}

// stepEditor takes the next step of an editor; appends may be lost or delayed.
func (w *workload) stepEditor(t *rapid.T, e *editor) {
	switch e.p.Next(w.now) {
	case StepAppend:
		var err error
		switch rapid.IntRange(0, 5).Draw(t, "append") {
		case 0:
			err = platform.ErrRejected
		case 1:
			err = platform.ErrOutcomeUnknown
		case 2:
			w.log.delayed, err = append(w.log.delayed, e.p.Record()), platform.ErrOutcomeUnknown
		case 3:
			w.log.add(e.p.Record(), w.now)
			err = platform.ErrOutcomeUnknown
		default:
			w.log.add(e.p.Record(), w.now)
		}
		w.advanceOracle()
		e.p.Appended(err, w.now)
	case StepRead:
		if rapid.IntRange(0, 5).Draw(t, "read") == 0 {
			e.p.ReadFailed(errors.New("no answer"), w.now)
			return
		}
		e.p.Observe(e.r, w.applyBatch(t, e.r, rapid.IntRange(1, 9).Draw(t, "limit")), w.now)
	}
}

func (w *workload) actions() map[string]func(*rapid.T) {
	reader := func(t *rapid.T) *Reader { return rapid.SampledFrom(w.readers).Draw(t, "reader") }
	return map[string]func(*rapid.T){
		"":     func(*rapid.T) { w.advanceOracle() },
		"read": func(t *rapid.T) { w.applyBatch(t, reader(t), rapid.IntRange(1, 9).Draw(t, "limit")) },
		"stale read": func(t *rapid.T) {
			r := reader(t)
			older := stream{records: w.log.records[:rapid.IntRange(w.log.first, len(w.log.records)).Draw(t, "end")], first: w.log.first}
			before := r.Version()
			r.Apply(older.read(r.ReadFrom(), 9), w.now)
			w.checkState(t, r, before)
			if r.AtEnd() && r.Next() < platform.Offset(len(older.records)) {
				t.Fatalf("at the end before record %d", r.Next())
			}
		},
		"wait": func(t *rapid.T) {
			w.now = w.now.Add(time.Duration(rapid.IntRange(1, 9000).Draw(t, "ms")) * time.Millisecond)
		},
		"new reader": func(t *rapid.T) {
			w.readers[rapid.IntRange(0, len(w.readers)-1).Draw(t, "slot")] = newSmallWindowReader()
		},
		"take from a peer": func(t *rapid.T) {
			r := reader(t)
			before := r.Version()
			if s, ok := reader(t).Snapshot(); ok {
				r.AdoptPeerSnapshot(s, w.now)
				w.checkState(t, r, before)
			}
		},
		"retention": func(t *rapid.T) { w.log.first = rapid.IntRange(w.log.first, len(w.log.records)).Draw(t, "first") },
		"snapshot": func(t *rapid.T) {
			if r := reader(t); r.AtEnd() {
				if s, ok := r.Snapshot(); ok {
					w.snapshots = append(w.snapshots, mustEncode(s.Encode))
				}
			}
		},
		"append snapshot": func(t *rapid.T) {
			if len(w.snapshots) > 0 {
				w.log.add(rapid.SampledFrom(w.snapshots).Draw(t, "post"), w.now)
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
			e := &editor{r: newSmallWindowReader()}
			w.log.catchUp(e.r, w.now)
			if s, ok := reader(t).Snapshot(); ok && e.r.NeedsPeerSnapshot() {
				e.r.AdoptPeerSnapshot(s, w.now)
			}
			w.edits++
			edit := editOn(e.r, w.edits, fmt.Sprint("s", w.edits%5))
			if rapid.IntRange(0, 3).Draw(t, "ahead") == 0 {
				edit.Base++ // a version that the stream reaches later, if at all
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
	// Guards against readers that derive different versions, a reader that goes back
	// to an earlier version, and an editor that reports a wrong outcome. Records are
	// dropped from retention, appends are lost or late, editors race, and the stream
	// holds stale snapshots and malformed records. The description of this spec names
	// the directory of its failing seeds in testdata.
	It("agree on every version, and outcomes are true", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			w := &workload{now: start, oracle: newTestReader(), oracleStates: map[platform.Offset][3]any{}, oracleEvents: map[platform.Offset]Event{}, acceptedEdits: map[EditID]bool{}}
			w.oracleStates[0] = [3]any{tables.Version(0), w.oracle.Tables().Digest(), "[]"}
			for range 4 {
				w.readers = append(w.readers, newSmallWindowReader())
			}
			t.Repeat(w.actions())
			for _, data := range w.log.delayed {
				w.log.add(data, w.now)
			}
			w.advanceOracle()
			for _, r := range w.readers {
				for range len(w.log.records) + 2 {
					w.applyBatch(t, r, 9)
				}
				if !r.AtEnd() && !r.NeedsPeerSnapshot() {
					t.Fatalf("a reader does not reach the end; it reads from %d", r.ReadFrom())
				}
			}
			for _, e := range w.editors {
				w.checkOutcome(t, e.p)
			}
		})
	})

	// Guards against a publisher that reports a rejection because its reader adopted
	// a snapshot whose recent edits no longer include the edit.
	It("leave the outcome unknown if a snapshot no longer lists the edit", func() {
		var log stream
		author, other := newTestReader(), newTestReader()
		edit := editOn(author, 1, "s")
		p, err := NewPublisher(edit, start.Add(time.Minute), rand.New(rand.NewPCG(1, 1)))
		Expect(err).NotTo(HaveOccurred())
		log.add(p.Record(), start)
		p.Appended(platform.ErrOutcomeUnknown, start)
		for i := range 2 * RecentEdits {
			log.catchUp(other, start)
			next := editOn(other, byte(i+2), "s")
			log.add(mustEncode(next.Encode), start)
		}
		log.catchUp(other, start)
		s, _ := other.Snapshot()
		author.AdoptPeerSnapshot(s, start)
		p.Observe(author, log.catchUp(author, start), start)
		Expect(p.Outcome()).To(Equal(OutcomeUnknown))
	})

	// Guards against an edit that was reported as rejected and takes effect later:
	// its record was appended twice, and the second time its base is current.
	It("reject a second record of a rejected edit", func() {
		var log stream
		r := newTestReader()
		ahead := editOn(r, 1, "a")
		ahead.Base = 1
		log.add(mustEncode(ahead.Encode), start)
		log.catchUp(r, start)
		edit := editOn(r, 3, "a")
		log.add(mustEncode(edit.Encode), start)
		log.add(mustEncode(ahead.Encode), start)
		Expect(log.catchUp(r, start)).To(HaveExactElements(
			HaveField("Version", tables.Version(1)), HaveField("Reason", ReasonDuplicate)))
	})

	// Guards against a publisher that reports an edit as not published although its
	// record may be in the stream.
	DescribeTable("report the outcome that is certain at the deadline", func(appended error, want Outcome) {
		p, err := NewPublisher(editOn(newTestReader(), 1, "s"), start.Add(time.Second), rand.New(rand.NewPCG(1, 1)))
		Expect(err).NotTo(HaveOccurred())
		Expect(p.Next(start)).To(Equal(StepAppend))
		p.Appended(appended, start)
		Expect(p.Next(start.Add(time.Second))).To(Equal(StepDone))
		Expect(p.Outcome()).To(Equal(want))
	},
		Entry("response to the append lost", platform.ErrOutcomeUnknown, OutcomeUnknown), Entry("appended, but not read", nil, OutcomeUnknown),
		Entry("not appended", platform.ErrRejected, OutcomeUnavailable), Entry("too large", platform.ErrTooLarge, OutcomeUnavailable))

	// Guards against a reader that adopts a snapshot with a wrong as-of offset and
	// skips the records up to it.
	It("reject a snapshot whose as-of offset is not before its own", func() {
		var log stream
		s := &Snapshot{Tables: tables.Empty(), AsOf: 1}
		log.add([]byte("x"), start)
		log.add(mustEncode(s.Encode), start)
		log.first = 1
		r := newTestReader()
		Expect(log.catchUp(r, start)).To(HaveExactElements(BeAssignableToTypeOf(Malformed{}), BeAssignableToTypeOf(Gap{})))
	})

	// Guards against tables that count as fresh because of a response that lacks
	// records which a previous one had.
	It("are not at the end after the stream seemed to end earlier than before", func() {
		var log stream
		r := newTestReader()
		edit := editOn(r, 1, "s")
		log.add(mustEncode(edit.Encode), start)
		log.catchUp(r, start)
		Expect(r.Apply(platform.Batch{}, start)).To(HaveExactElements(EndRegressed{Next: 0, Known: 1}))
		Expect(r.Apply(platform.Batch{}, start)).To(BeEmpty())
		Expect(r.AtEnd()).To(BeFalse())
		Expect(log.catchUp(r, start)).To(BeEmpty())
		Expect(r.AtEnd()).To(BeTrue())
	})

	// Guards against a new reader that reads and applies the records of weeks.
	DescribeTable("look for a snapshot in the latest records first", func(snapshotAt int, reads []platform.Offset) {
		var log stream
		author := newTestReader()
		for i := range 20 {
			if i == snapshotAt {
				s, _ := author.Snapshot()
				log.add(mustEncode(s.Encode), start)
			}
			edit := editOn(author, byte(i), "s")
			log.add(mustEncode(edit.Encode), start)
			log.catchUp(author, start)
		}
		r := newSmallWindowReader()
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
		Entry("found there: applies the records after it", 17, []platform.Offset{15, 17}),
		Entry("not found: applies all records", 3, []platform.Offset{15, 0, 20}),
	)

	It("can start from the oldest sufficient snapshot", func() {
		var log stream
		r := newTestReader()
		for i := range 6 {
			edit := editOn(r, byte(i), "s")
			log.add(mustEncode(edit.Encode), start)
			log.catchUp(r, start)
			s, _ := r.Snapshot()
			log.add(mustEncode(s.Encode), start)
		}
		log.first = 4
		newest, all := newTestReader(), newTestReader()
		all.PreferOldestSnapshot()
		log.catchUp(newest, start)
		log.catchUp(all, start)
		Expect(newest.Versions()).To(HaveLen(1))
		Expect(all.Versions()).To(HaveLen(4))
		Expect(all.Tables().Digest()).To(Equal(newest.Tables().Digest()))
	})

	It("keep the latest versions", func() {
		r := newTestReader()
		var log stream
		digests := map[tables.Version]tables.Digest{}
		for i := range 100 {
			edit := editOn(r, byte(i), fmt.Sprint("s", i%7))
			log.add(mustEncode(edit.Encode), start)
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

	// Guards against a new reader that adopts a snapshot although records between its
	// as-of offset and the first retained record are lost.
	DescribeTable("adopt a snapshot only if all records after its as-of offset are retained", func(asOf, first int, want Event) {
		r := newTestReader()
		var log stream
		for i := range 6 {
			if i == asOf+1 {
				break
			}
			edit := editOn(r, byte(i), "s")
			log.add(mustEncode(edit.Encode), start)
			log.catchUp(r, start)
		}
		s, _ := r.Snapshot()
		for len(log.records) < 5 {
			log.add([]byte("x"), start)
		}
		log.add(mustEncode(s.Encode), start)
		log.first = first
		events := log.catchUp(newTestReader(), start)
		Expect(events).To(ContainElement(want))
	},
		Entry("as-of = first - 1", 2, 3, SnapshotAdopted{Version: 3, AsOf: 2}),
		Entry("as-of = first", 3, 3, SnapshotAdopted{Version: 4, AsOf: 3}),
		Entry("as-of = first - 2", 1, 3, Gap{Next: 0, First: 3}))
})

var _ = Describe("snapshots", func() {
	// Guards against a stream in which new readers find no sufficient snapshot, and
	// against too many snapshots. Daemons restart, the platform is down for 3 hours
	// each day, and appends are lost.
	It("are appended before the last one expires, but not by many daemons", func() {
		rng := rand.New(rand.NewPCG(7, 7))
		var log stream
		retention, now, appended := 24*time.Hour, start, 0
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
				if data, ok := d.DueSnapshot(now); ok && rng.IntN(3) > 0 {
					log.add(data, now)
					appended++
				}
				Expect(appended).To(BeNumerically("<", 20*6))
			}
			if minute%30 != 0 {
				continue
			}
			fresh := NewReader(retention, rng)
			log.catchUp(fresh, now)
			Expect(fresh.NeedsPeerSnapshot()).To(BeFalse(), "minute %d", minute)
			if minute < 10*24*60 && rng.IntN(2) == 0 {
				edit := editOn(fresh, byte(minute), fmt.Sprint("s", rng.IntN(5)))
				log.add(mustEncode(edit.Encode), now)
			}
		}
	})
})

var _ = Describe("a snapshot whose author was paused before the append", func() {
	// Guards against a schedule that counts the age of a snapshot from its append: the
	// records after its as-of offset would expire before the next snapshot.
	It("is replaced without waiting for the usual interval", func() {
		var log stream
		r := newTestReader()
		edit := editOn(r, 1, "s")
		log.add(mustEncode(edit.Encode), start)
		log.catchUp(r, start)
		s, _ := r.Snapshot()
		log.add(mustEncode(s.Encode), start)
		now := start.Add(20 * time.Hour)
		late := newTestReader()
		log.catchUp(late, now)
		at, ok := late.SnapshotDueAt()
		Expect(ok).To(BeTrue())
		Expect(at.Sub(now)).To(BeNumerically("<=", maxShortDelay))
	})
})

var _ = Describe("records", func() {
	It("are decoded as they were encoded", func() {
		r := newTestReader()
		edit := editOn(r, 1, "s")
		Expect(Decode(mustEncode(edit.Encode))).To(Equal(&edit))
		s := &Snapshot{Version: 3, Tables: r.Tables(), AsOf: 9, Recent: []EditRef{{ID: EditID{1}, Offset: 4, Version: 3}}, CurrentAt: start}
		Expect(Decode(mustEncode(s.Encode))).To(Equal(s))
	})

	// Guards against an edit that is applied although its result differs from the one
	// that its author saw.
	DescribeTable("of edits are rejected with the reason", func(modify func(*Edit), want RejectReason) {
		r := newTestReader()
		edit := editOn(r, 1, "s")
		modify(&edit)
		events := r.Apply(platform.Batch{Next: 1, Records: []platform.Record{{Data: mustEncode(edit.Encode)}}}, start)
		Expect(events).To(ConsistOf(HaveField("Reason", want)))
		Expect(r.Version()).To(BeZero())
	},
		Entry("another digest of the result", func(e *Edit) { e.ResultDigest[0]++ }, ReasonDigestMismatch),
		Entry("a result that fails the checks", func(e *Edit) { e.Changes[0].Server.Name = "Ä" }, ReasonInvalidResult),
		Entry("a base that is not current", func(e *Edit) { e.Base = 1 }, ReasonBaseNotCurrent))
})

func FuzzDecode(f *testing.F) {
	r := newTestReader()
	edit := editOn(r, 1, "s")
	s := &Snapshot{Tables: r.Tables(), CurrentAt: start}
	for _, seed := range [][]byte{mustEncode(edit.Encode), mustEncode(s.Encode), {0x82, 1, 0xa0}, {}} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		decoded, err := Decode(data)
		var decodeErr *DecodeError
		if err != nil {
			if decoded != nil || !errors.As(err, &decodeErr) {
				t.Fatalf("untyped error %v", err)
			}
			return
		}
		type encoder interface{ Encode() ([]byte, error) }
		first := mustEncode(decoded.(encoder).Encode)
		again, err := Decode(first)
		if err != nil || !bytes.Equal(first, mustEncode(again.(encoder).Encode)) {
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
	first := Edit{Changes: changes, ID: EditID{9}, ResultDigest: result.Digest()}
	r.Apply(platform.Batch{Next: 1, Records: []platform.Record{{Data: mustEncode(first.Encode)}}}, start)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		b.StopTimer()
		edit := editOn(r, byte(i), "s5")
		edit.ID = EditID{byte(i), byte(i >> 8), byte(i >> 16)}
		batch := platform.Batch{Next: r.Next() + 1, Records: []platform.Record{{Offset: r.Next(), Data: mustEncode(edit.Encode)}}}
		b.StartTimer()
		r.Apply(batch, start)
	}
}
