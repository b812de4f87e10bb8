package ticket_test

import (
	"bytes"
	"crypto/rand"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonshore.example/tarragonshore/internal/connection/wire"
	"tarragonshore.example/tarragonshore/internal/request/problem"
	"tarragonshore.example/tarragonshore/internal/request/ticket"
)

func TestTicket(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ticket")
}

var start = time.Unix(1_700_000_000, 0)

func daemonID(name string) ticket.DaemonID { return ticket.DaemonID{Member: name, Incarnation: 7} }

func newHome(name string, options ticket.Options) *ticket.Table {
	h, _ := ticket.NewTable(daemonID(name), options, rand.Reader)
	return h
}

func issue(h *ticket.Table) ticket.Use {
	t, err := h.Issue(start, "shop")
	Expect(err).NotTo(HaveOccurred())
	return ticket.Use{Ticket: t, Workspace: "shop", Deadline: start.Add(10 * time.Second)}
}

// dispatch begins a request and records its first attempt.
func dispatch(h *ticket.Table, use ticket.Use, attempt byte) ticket.Key {
	d := h.Begin(start, use)
	Expect(d.Outcome).To(Equal(ticket.Dispatch))
	Expect(h.RecordAttempt(d.Key, wire.AttemptID{attempt}, "b1")).To(Succeed())
	return d.Key
}

func reasonOf(err error) ticket.Reason { return err.(*ticket.Error).Reason }

var answer = &wire.Response{Status: 201, Header: []wire.HeaderField{{Name: "Location", Value: "/orders/1"}}, Body: []byte("made")}

// handOver sends the parts of one export in reverse order and confirms it.
func handOver(from, to *ticket.Table, successor string) {
	snapshot, err := from.Export(daemonID(successor))
	Expect(err).NotTo(HaveOccurred())
	done := false
	for i := len(snapshot.Parts) - 1; i >= 0; i-- {
		Expect(len(snapshot.Parts[i])).To(BeNumerically("<=", ticket.MaxPartBytes))
		taken, err := to.Import(start, snapshot.Parts[i])
		Expect(err).NotTo(HaveOccurred())
		done = taken.Done
	}
	Expect(done).To(BeTrue())
	Expect(from.Confirm(snapshot.Serial)).To(Succeed())
}

var _ = Describe("Ticket", func() {
	It("has the same fields after encoding and parsing, quoted or not", func() {
		use := issue(newHome("a", ticket.DefaultOptions()))
		for _, text := range []string{use.Ticket.String(), `"` + use.Ticket.String() + `"`} {
			Expect(ticket.Parse(text)).To(Equal(use.Ticket))
		}
	})

	It("is invalid if its text was altered", func() {
		h := newHome("a", ticket.DefaultOptions())
		use := issue(h)
		s := use.Ticket.String()
		otherNumber := []byte(s)
		otherNumber[len(s)-34] ^= 1
		for _, text := range []string{"", s[:len(s)-4], s + "AAAA", s[:8] + "\n" + s[8:], strings.Repeat("A", ticket.MaxTextBytes+4), string(otherNumber)} {
			var err error
			if use.Ticket, err = ticket.Parse(text); err == nil {
				Expect(h.Begin(start, use).Outcome).To(Equal(ticket.Invalid), text)
			} else {
				Expect(err.(*ticket.Error).Problem().Kind).To(Equal(problem.KindTicketInvalid))
			}
		}
	})
})

var _ = Describe("Home", func() {
	It("runs a request once and replays its answer", func() {
		h := newHome("a", ticket.DefaultOptions())
		use := issue(h)
		Expect(h.Entries()).To(BeZero(), "an unused ticket takes no memory")
		key := dispatch(h, use, 1)
		Expect(reasonOf(h.RecordAttempt(key, wire.AttemptID{2}, "b2"))).To(Equal(ticket.ReasonDispatched))
		Expect(h.Begin(start, use).Outcome).To(Equal(ticket.InProgress))
		Expect(reasonOf(h.Complete(key, wire.AttemptID{2}, answer))).To(Equal(ticket.ReasonOtherAttempt))
		Expect(h.Complete(key, wire.AttemptID{1}, answer)).To(Succeed())
		d := h.Begin(start, use)
		Expect(d.Outcome).To(Equal(ticket.Replay))
		Expect(d.Response).To(BeIdenticalTo(answer))
		other := use
		other.Fingerprint = ticket.FingerprintOf(&wire.Request{Body: []byte("other")})
		Expect(h.Begin(start, other).Problem().Kind.Status()).To(Equal(409))
		other = use
		other.Workspace = "bank"
		Expect(h.Begin(start, other).Reason).To(Equal(ticket.ReasonOtherWorkspace))
	})

	It("allows another attempt only with evidence that the first never runs", func() {
		h := newHome("a", ticket.DefaultOptions())
		key := dispatch(h, issue(h), 1)
		Expect(reasonOf(h.AttemptNotRun(key, wire.AttemptID{1}, 0))).To(Equal(ticket.ReasonNoProof))
		_, err := h.Refuse(key)
		Expect(reasonOf(err)).To(Equal(ticket.ReasonDispatched))
		Expect(h.AttemptNotRun(key, wire.AttemptID{1}, ticket.ProofFenced)).To(Succeed())
		Expect(h.RecordAttempt(key, wire.AttemptID{2}, "b2")).To(Succeed())
		Expect(h.MarkUnknown(key, wire.AttemptID{2}, ticket.ReasonLinkLost)).To(Succeed())
		Expect(reasonOf(h.RecordAttempt(key, wire.AttemptID{3}, "b3"))).To(Equal(ticket.ReasonNotInProgress))
	})

	It("keeps a used ticket after its end and never runs an evicted one, even if the clock is set back", func() {
		h := newHome("a", ticket.DefaultOptions())
		use, unused := issue(h), issue(h)
		key := dispatch(h, use, 1)
		Expect(h.Sweep(start.Add(20 * time.Second))).To(Equal([]ticket.EndedRequest{{Key: key, Executed: problem.ExecutedUnknown}}))
		end := use.Ticket.End
		Expect(h.Begin(end, unused).Problem().Executed).To(Equal(problem.ExecutedNo))
		h.Sweep(end.Add(20 * time.Second))
		Expect(h.Begin(end, use).Outcome).To(Equal(ticket.Unknown))
		h.Sweep(end.Add(40 * time.Second))
		Expect(h.Entries()).To(BeZero())
		Expect(h.Begin(start, use).Problem()).To(HaveField("Executed", problem.ExecutedUnknown))
	})

	It("never runs a refused request, and reports it as not executed only if it can remember the refusal", func() {
		options := ticket.DefaultOptions()
		options.MaxRefused = 1
		h := newHome("a", options)
		first, second := issue(h), issue(h)
		for _, want := range []problem.Executed{problem.ExecutedNo, problem.ExecutedUnknown} {
			Expect(h.Begin(start, first).Outcome).To(Equal(ticket.Dispatch))
			Expect(h.Refuse(first.Ticket.Key())).To(Equal(want))
			first, second = second, first
		}
		Expect(h.Begin(start, first).Problem().Executed).To(Equal(problem.ExecutedNo))
		Expect(h.Begin(start, second).Outcome).To(Equal(ticket.Dispatch))
		h.Sweep(start.Add(time.Hour))
		Expect(h.Refused()).To(BeZero())
	})

	It("bounds entries and stored responses, and evicts nothing to make room", func() {
		options := ticket.DefaultOptions()
		options.MaxEntries, options.MaxResponseBytes, options.ResponseReserve = 3, 2000, 500
		h := newHome("a", options)
		first, second, third, fourth := issue(h), issue(h), issue(h), issue(h)
		Expect(h.Complete(dispatch(h, first, 1), wire.AttemptID{1}, &wire.Response{Body: make([]byte, 5000)})).To(Succeed())
		Expect(h.Begin(start, first).Reason).To(Equal(ticket.ReasonAnswerTooLarge))
		Expect(h.Complete(dispatch(h, second, 2), wire.AttemptID{2}, &wire.Response{Body: make([]byte, 1600)})).To(Succeed())
		Expect(h.Begin(start, third).Reason).To(Equal(ticket.ReasonAnswersFull))
		Expect(h.Begin(start, second).Outcome).To(Equal(ticket.Replay))
		h = newHome("a", options)
		for range 3 {
			Expect(h.MarkUnknown(dispatch(h, issue(h), 1), wire.AttemptID{1}, ticket.ReasonNoAnswer)).To(Succeed())
		}
		Expect(h.Begin(start, fourth).Outcome).NotTo(Equal(ticket.Dispatch))
		_, err := h.Issue(start, "shop")
		Expect(reasonOf(err)).To(Equal(ticket.ReasonTableFull))
	})
})

var _ = Describe("Hand-over", func() {
	It("moves settled and unused tickets and lets the old home finish the rest", func() {
		a, b := newHome("a", ticket.DefaultOptions()), newHome("b", ticket.DefaultOptions())
		used, unused, running, refused := issue(a), issue(a), issue(a), issue(a)
		large := &wire.Response{Status: 200, Body: bytes.Repeat([]byte("x"), 3<<20)}
		Expect(a.Complete(dispatch(a, used, 1), wire.AttemptID{1}, large)).To(Succeed())
		key := dispatch(a, running, 2)
		Expect(a.Begin(start, refused).Outcome).To(Equal(ticket.Dispatch))
		snapshot, _ := a.Export(daemonID("b"))
		Expect(snapshot.Unfinished).To(Equal(2))
		Expect(a.Begin(start, unused).Outcome).To(Equal(ticket.HandingOver))
		handOver(a, b, "b")
		for _, use := range []ticket.Use{used, unused} {
			Expect(a.Begin(start, use)).To(SatisfyAll(HaveField("Outcome", ticket.WrongHome), HaveField("Home", daemonID("b"))))
		}
		Expect(b.Begin(start, used).Response).To(Equal(large))
		Expect(b.Begin(start, unused).Outcome).To(Equal(ticket.Dispatch))
		Expect(b.Begin(start, running)).To(SatisfyAll(HaveField("Outcome", ticket.WrongHome), HaveField("Home", daemonID("a"))))
		Expect(a.Complete(key, wire.AttemptID{2}, answer)).To(Succeed())
		Expect(a.Refuse(refused.Ticket.Key())).To(Equal(problem.ExecutedNo))
		Expect(a.Begin(start, refused).Outcome).To(Equal(ticket.Refused))
		Expect(a.HandoverComplete()).To(BeFalse())
		handOver(a, b, "b")
		Expect(a.HandoverComplete()).To(BeTrue())
		Expect(b.Begin(start, running).Response).To(Equal(answer))
		Expect(b.Begin(start, refused).Outcome).To(Equal(ticket.Refused))
	})

	It("marks held requests as unknown when the old home ends, also at a second successor", func() {
		a, b, c := newHome("a", ticket.DefaultOptions()), newHome("b", ticket.DefaultOptions()), newHome("c", ticket.DefaultOptions())
		first, second := issue(a), issue(a)
		key := dispatch(a, first, 1)
		dispatch(a, second, 2)
		handOver(a, b, "b")
		handOver(b, c, "c")
		Expect(c.UnfinishedHomes()).To(Equal([]ticket.DaemonID{daemonID("a")}))
		Expect(a.Complete(key, wire.AttemptID{1}, answer)).To(Succeed())
		handOver(a, c, "c")
		Expect(c.MarkHeldUnknown(daemonID("a"))).To(Equal(1))
		Expect(c.Begin(start, first).Outcome).To(Equal(ticket.Replay))
		Expect(c.Begin(start, second).Reason).To(Equal(ticket.ReasonHomeGone))
	})

	It("imports an export once, in order and as a whole, and can be aborted before", func() {
		small := ticket.DefaultOptions()
		small.MaxEntries = 0
		a, b, full := newHome("a", ticket.DefaultOptions()), newHome("b", ticket.DefaultOptions()), newHome("full", small)
		use, later := issue(a), issue(a)
		key := dispatch(a, use, 1)
		snapshot, _ := a.Export(daemonID("full"))
		_, err := full.Import(start, snapshot.Parts[0])
		Expect(reasonOf(err)).To(Equal(ticket.ReasonTableFull))
		Expect(full.Issuers()).To(HaveLen(1))
		Expect(a.Abort()).To(Succeed())
		Expect(a.Confirm(snapshot.Serial)).NotTo(Succeed())
		first, _ := a.Export(daemonID("b"))
		handOver(a, b, "b")
		dispatch(b, later, 9)
		Expect(b.Import(start, first.Parts[0])).To(HaveField("Done", true))
		Expect(b.Begin(start, later).Outcome).To(Equal(ticket.InProgress))
		Expect(a.Complete(key, wire.AttemptID{1}, answer)).To(Succeed())
		delta, _ := a.Export(daemonID("b"))
		_, err = newHome("d", ticket.DefaultOptions()).Import(start, delta.Parts[0])
		Expect(reasonOf(err)).To(Equal(ticket.ReasonSnapshotOrder))
		b.Sweep(start.Add(time.Hour))
		Expect(b.Issuers()).To(ConsistOf(daemonID("b")))
	})
})

// FuzzParse guards against a text that makes Parse panic and against two text
// forms of one ticket, which would be two keys in a cache or log.
func FuzzParse(f *testing.F) {
	issued, _ := newHome("a", ticket.DefaultOptions()).Issue(start, "shop")
	f.Add(issued.String())
	f.Add(`"` + issued.String() + `"`)
	f.Fuzz(func(t *testing.T, text string) {
		parsed, err := ticket.Parse(text)
		if err == nil && parsed.String() != text && `"`+parsed.String()+`"` != text {
			t.Fatalf("%q was read as %q", text, parsed.String())
		}
	})
}

// FuzzImport guards against hand-over data that makes Import panic, and against
// refused data that changes the table. Each input is tried as an encoded part and
// as the data of a part.
func FuzzImport(f *testing.F) {
	a := newHome("a", ticket.DefaultOptions())
	for i := range byte(4) {
		issued, _ := a.Issue(start, "shop")
		key := a.Begin(start, ticket.Use{Ticket: issued, Workspace: "shop"}).Key
		if i == 0 {
			_, _ = a.Refuse(key)
		} else if a.RecordAttempt(key, wire.AttemptID{i}, "b") == nil && i == 1 {
			_ = a.Complete(key, wire.AttemptID{i}, answer)
		} else if i == 2 {
			_ = a.MarkUnknown(key, wire.AttemptID{i}, ticket.ReasonLinkLost)
		}
	}
	snapshot, _ := a.Export(daemonID("b"))
	var content struct {
		Data []byte `cbor:"5,keyasint"`
	}
	if err := cbor.Unmarshal(snapshot.Parts[0], &content); err != nil {
		f.Fatal(err)
	}
	f.Add(snapshot.Parts[0])
	f.Add(content.Data)
	f.Fuzz(func(t *testing.T, data []byte) {
		part, _ := cbor.Marshal(map[int]any{1: daemonID("a"), 2: 1, 3: 0, 4: 1, 5: data})
		for _, message := range [][]byte{data, part} {
			b := newHome("b", ticket.DefaultOptions())
			if _, err := b.Import(start, message); err != nil && (b.Entries() != 0 || b.Refused() != 0 || len(b.Issuers()) != 1) {
				t.Fatal("refused hand-over changed the table")
			}
			b.MarkHeldUnknown(daemonID("a"))
			b.Sweep(start.Add(time.Hour))
			if _, err := b.Export(daemonID("c")); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// BenchmarkBeginComplete issues a ticket, begins its request and stores the
// response, in a table that holds 5.5 minutes of requests at 50 per second.
func BenchmarkBeginComplete(b *testing.B) {
	h, now := newHome("a", ticket.DefaultOptions()), start
	response := &wire.Response{Status: 201, Body: make([]byte, 200)}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if now = now.Add(20 * time.Millisecond); i%50 == 0 {
			h.Sweep(now)
		}
		issued, _ := h.Issue(now, "shop")
		d := h.Begin(now, ticket.Use{Ticket: issued, Workspace: "shop", Deadline: now.Add(time.Second)})
		if h.RecordAttempt(d.Key, wire.AttemptID{}, "b1") != nil || h.Complete(d.Key, wire.AttemptID{}, response) != nil {
			b.Fatal(d.Reason)
		}
	}
}
