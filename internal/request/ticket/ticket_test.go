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

func newTable(name string, options ticket.Options) *ticket.Table {
	table, _ := ticket.NewTable(daemonID(name), options, rand.Reader)
	return table
}

func issue(table *ticket.Table) ticket.TicketedRequest {
	t, err := table.Issue(start, "shop")
	Expect(err).NotTo(HaveOccurred())
	return ticket.TicketedRequest{Ticket: t, Workspace: "shop", Deadline: start.Add(10 * time.Second)}
}

// dispatch begins a request and records its first attempt.
func dispatch(table *ticket.Table, request ticket.TicketedRequest, attempt byte) ticket.Key {
	d := table.Begin(start, request)
	Expect(d.Outcome).To(Equal(ticket.Dispatch))
	Expect(table.RecordAttempt(d.Key, wire.AttemptID{attempt}, "b1")).To(Succeed())
	return d.Key
}

func reasonOf(err error) ticket.Reason { return err.(*ticket.Error).Reason }

var answer = &wire.Response{Status: 201, Header: []wire.HeaderField{{Name: "Location", Value: "/orders/1"}}, Body: []byte("made")}

// handOver sends the parts of one export in reverse order and confirms it.
func handOver(from, to *ticket.Table, successor string) {
	export, err := from.Export(daemonID(successor))
	Expect(err).NotTo(HaveOccurred())
	done := false
	for i := len(export.Parts) - 1; i >= 0; i-- {
		Expect(len(export.Parts[i])).To(BeNumerically("<=", ticket.MaxPartBytes))
		result, err := to.Import(start, export.Parts[i])
		Expect(err).NotTo(HaveOccurred())
		done = result.Done
	}
	Expect(done).To(BeTrue())
	Expect(from.Confirm(export.Serial)).To(Succeed())
}

var _ = Describe("Ticket", func() {
	It("has the same fields after encoding and parsing, quoted or not", func() {
		request := issue(newTable("a", ticket.DefaultOptions()))
		for _, text := range []string{request.Ticket.String(), `"` + request.Ticket.String() + `"`} {
			Expect(ticket.Parse(text)).To(Equal(request.Ticket))
		}
	})

	It("is invalid if its text was altered", func() {
		table := newTable("a", ticket.DefaultOptions())
		request := issue(table)
		s := request.Ticket.String()
		otherNumber := []byte(s)
		otherNumber[len(s)-34] ^= 1
		for _, text := range []string{"", s[:len(s)-4], s + "AAAA", s[:8] + "\n" + s[8:], strings.Repeat("A", ticket.MaxTextBytes+4), string(otherNumber)} {
			var err error
			if request.Ticket, err = ticket.Parse(text); err == nil {
				Expect(table.Begin(start, request).Outcome).To(Equal(ticket.Invalid), text)
			} else {
				Expect(err.(*ticket.Error).Problem().Kind).To(Equal(problem.KindTicketInvalid))
			}
		}
	})
})

var _ = Describe("Home", func() {
	It("runs a request once and replays its answer", func() {
		table := newTable("a", ticket.DefaultOptions())
		request := issue(table)
		Expect(table.EntryCount()).To(BeZero(), "an unused ticket takes no memory")
		key := dispatch(table, request, 1)
		Expect(reasonOf(table.RecordAttempt(key, wire.AttemptID{2}, "b2"))).To(Equal(ticket.ReasonDispatched))
		Expect(table.Begin(start, request).Outcome).To(Equal(ticket.InProgress))
		Expect(reasonOf(table.Complete(key, wire.AttemptID{2}, answer))).To(Equal(ticket.ReasonOtherAttempt))
		Expect(table.Complete(key, wire.AttemptID{1}, answer)).To(Succeed())
		d := table.Begin(start, request)
		Expect(d.Outcome).To(Equal(ticket.Replay))
		Expect(d.Response).To(BeIdenticalTo(answer))
		other := request
		other.Fingerprint = ticket.FingerprintOf(&wire.Request{Body: []byte("other")})
		Expect(table.Begin(start, other).Problem().Kind.Status()).To(Equal(409))
		other = request
		other.Workspace = "bank"
		Expect(table.Begin(start, other).Reason).To(Equal(ticket.ReasonOtherWorkspace))
	})

	It("allows another attempt only with evidence that the first never runs", func() {
		table := newTable("a", ticket.DefaultOptions())
		key := dispatch(table, issue(table), 1)
		Expect(reasonOf(table.AttemptNotRun(key, wire.AttemptID{1}, 0))).To(Equal(ticket.ReasonNoProof))
		_, err := table.Refuse(key)
		Expect(reasonOf(err)).To(Equal(ticket.ReasonDispatched))
		Expect(table.AttemptNotRun(key, wire.AttemptID{1}, ticket.ProofFenced)).To(Succeed())
		Expect(table.RecordAttempt(key, wire.AttemptID{2}, "b2")).To(Succeed())
		Expect(table.MarkUnknown(key, wire.AttemptID{2}, ticket.ReasonLinkLost)).To(Succeed())
		Expect(reasonOf(table.RecordAttempt(key, wire.AttemptID{3}, "b3"))).To(Equal(ticket.ReasonNotInProgress))
	})

	It("keeps a used ticket after its end and never runs an evicted one, even if the clock is set back", func() {
		table := newTable("a", ticket.DefaultOptions())
		request, unused := issue(table), issue(table)
		key := dispatch(table, request, 1)
		Expect(table.Sweep(start.Add(20 * time.Second))).To(Equal([]ticket.EndedRequest{{Key: key, Executed: problem.ExecutedUnknown}}))
		end := request.Ticket.Expiry
		Expect(table.Begin(end, unused).Problem().Executed).To(Equal(problem.ExecutedNo))
		table.Sweep(end.Add(20 * time.Second))
		Expect(table.Begin(end, request).Outcome).To(Equal(ticket.Unknown))
		table.Sweep(end.Add(40 * time.Second))
		Expect(table.EntryCount()).To(BeZero())
		Expect(table.Begin(start, request).Problem()).To(HaveField("Executed", problem.ExecutedUnknown))
	})

	It("never runs a refused request, and reports it as not executed only if it can remember the refusal", func() {
		options := ticket.DefaultOptions()
		options.MaxRefused = 1
		table := newTable("a", options)
		first, second := issue(table), issue(table)
		for _, want := range []problem.Executed{problem.ExecutedNo, problem.ExecutedUnknown} {
			Expect(table.Begin(start, first).Outcome).To(Equal(ticket.Dispatch))
			Expect(table.Refuse(first.Ticket.Key())).To(Equal(want))
			first, second = second, first
		}
		Expect(table.Begin(start, first).Problem().Executed).To(Equal(problem.ExecutedNo))
		Expect(table.Begin(start, second).Outcome).To(Equal(ticket.Dispatch))
		table.Sweep(start.Add(time.Hour))
		Expect(table.RefusedCount()).To(BeZero())
	})

	It("bounds entries and stored responses, and evicts nothing to make room", func() {
		options := ticket.DefaultOptions()
		options.MaxEntries, options.MaxResponseBytes, options.ResponseReserve = 3, 2000, 500
		table := newTable("a", options)
		first, second, third, fourth := issue(table), issue(table), issue(table), issue(table)
		Expect(table.Complete(dispatch(table, first, 1), wire.AttemptID{1}, &wire.Response{Body: make([]byte, 5000)})).To(Succeed())
		Expect(table.Begin(start, first).Reason).To(Equal(ticket.ReasonResponseTooLarge))
		Expect(table.Complete(dispatch(table, second, 2), wire.AttemptID{2}, &wire.Response{Body: make([]byte, 1600)})).To(Succeed())
		Expect(table.Begin(start, third).Reason).To(Equal(ticket.ReasonResponsesFull))
		Expect(table.Begin(start, second).Outcome).To(Equal(ticket.Replay))
		table = newTable("a", options)
		for range 3 {
			Expect(table.MarkUnknown(dispatch(table, issue(table), 1), wire.AttemptID{1}, ticket.ReasonNoAnswer)).To(Succeed())
		}
		Expect(table.Begin(start, fourth).Outcome).NotTo(Equal(ticket.Dispatch))
		_, err := table.Issue(start, "shop")
		Expect(reasonOf(err)).To(Equal(ticket.ReasonTableFull))
	})
})

var _ = Describe("Hand-over", func() {
	It("moves settled and unused tickets and lets the old home finish the rest", func() {
		a, b := newTable("a", ticket.DefaultOptions()), newTable("b", ticket.DefaultOptions())
		used, unused, running, refused := issue(a), issue(a), issue(a), issue(a)
		large := &wire.Response{Status: 200, Body: bytes.Repeat([]byte("x"), 3<<20)}
		Expect(a.Complete(dispatch(a, used, 1), wire.AttemptID{1}, large)).To(Succeed())
		key := dispatch(a, running, 2)
		Expect(a.Begin(start, refused).Outcome).To(Equal(ticket.Dispatch))
		export, _ := a.Export(daemonID("b"))
		Expect(export.Unfinished).To(Equal(2))
		Expect(a.Begin(start, unused).Outcome).To(Equal(ticket.HandingOver))
		handOver(a, b, "b")
		for _, request := range []ticket.TicketedRequest{used, unused} {
			Expect(a.Begin(start, request)).To(SatisfyAll(HaveField("Outcome", ticket.NotOwner), HaveField("Owner", daemonID("b"))))
		}
		Expect(b.Begin(start, used).Response).To(Equal(large))
		Expect(b.Begin(start, unused).Outcome).To(Equal(ticket.Dispatch))
		Expect(b.Begin(start, running)).To(SatisfyAll(HaveField("Outcome", ticket.NotOwner), HaveField("Owner", daemonID("a"))))
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
		a, b, c := newTable("a", ticket.DefaultOptions()), newTable("b", ticket.DefaultOptions()), newTable("c", ticket.DefaultOptions())
		first, second := issue(a), issue(a)
		key := dispatch(a, first, 1)
		dispatch(a, second, 2)
		handOver(a, b, "b")
		handOver(b, c, "c")
		Expect(c.UnfinishedOwners()).To(Equal([]ticket.DaemonID{daemonID("a")}))
		Expect(a.Complete(key, wire.AttemptID{1}, answer)).To(Succeed())
		handOver(a, c, "c")
		Expect(c.MarkHeldUnknown(daemonID("a"))).To(Equal(1))
		Expect(c.Begin(start, first).Outcome).To(Equal(ticket.Replay))
		Expect(c.Begin(start, second).Reason).To(Equal(ticket.ReasonOwnerGone))
	})

	It("imports an export once, in order and as a whole, and can be aborted before", func() {
		small := ticket.DefaultOptions()
		small.MaxEntries = 0
		a, b, full := newTable("a", ticket.DefaultOptions()), newTable("b", ticket.DefaultOptions()), newTable("full", small)
		request, later := issue(a), issue(a)
		key := dispatch(a, request, 1)
		export, _ := a.Export(daemonID("full"))
		_, err := full.Import(start, export.Parts[0])
		Expect(reasonOf(err)).To(Equal(ticket.ReasonTableFull))
		Expect(full.Issuers()).To(HaveLen(1))
		Expect(a.Abort()).To(Succeed())
		Expect(a.Confirm(export.Serial)).NotTo(Succeed())
		first, _ := a.Export(daemonID("b"))
		handOver(a, b, "b")
		dispatch(b, later, 9)
		Expect(b.Import(start, first.Parts[0])).To(HaveField("Done", true))
		Expect(b.Begin(start, later).Outcome).To(Equal(ticket.InProgress))
		Expect(a.Complete(key, wire.AttemptID{1}, answer)).To(Succeed())
		delta, _ := a.Export(daemonID("b"))
		_, err = newTable("d", ticket.DefaultOptions()).Import(start, delta.Parts[0])
		Expect(reasonOf(err)).To(Equal(ticket.ReasonExportOrder))
		b.Sweep(start.Add(time.Hour))
		Expect(b.Issuers()).To(ConsistOf(daemonID("b")))
	})
})

// FuzzParse guards against a text that makes Parse panic and against two text
// forms of one ticket, which would be two keys in a cache or log.
func FuzzParse(f *testing.F) {
	issued, _ := newTable("a", ticket.DefaultOptions()).Issue(start, "shop")
	f.Add(issued.String())
	f.Add(`"` + issued.String() + `"`)
	f.Fuzz(func(t *testing.T, text string) {
		parsed, err := ticket.Parse(text)
		if err == nil && parsed.String() != text && `"`+parsed.String()+`"` != text {
			t.Fatalf("Parse accepts %q, which is not the text form %q of its ticket", text, parsed.String())
		}
	})
}

// FuzzImport guards against hand-over data that makes Import panic, and against
// refused data that changes the table. Each input is tried as an encoded part and
// as the data of a part.
func FuzzImport(f *testing.F) {
	a := newTable("a", ticket.DefaultOptions())
	for i := range byte(4) {
		issued, _ := a.Issue(start, "shop")
		key := a.Begin(start, ticket.TicketedRequest{Ticket: issued, Workspace: "shop"}).Key
		if i == 0 {
			_, _ = a.Refuse(key)
		} else if a.RecordAttempt(key, wire.AttemptID{i}, "b") == nil && i == 1 {
			_ = a.Complete(key, wire.AttemptID{i}, answer)
		} else if i == 2 {
			_ = a.MarkUnknown(key, wire.AttemptID{i}, ticket.ReasonLinkLost)
		}
	}
	export, _ := a.Export(daemonID("b"))
	var content struct {
		Data []byte `cbor:"5,keyasint"`
	}
	if err := cbor.Unmarshal(export.Parts[0], &content); err != nil {
		f.Fatal(err)
	}
	f.Add(export.Parts[0])
	f.Add(content.Data)
	f.Fuzz(func(t *testing.T, data []byte) {
		part, _ := cbor.Marshal(map[int]any{1: daemonID("a"), 2: 1, 3: 0, 4: 1, 5: data})
		for _, message := range [][]byte{data, part} {
			b := newTable("b", ticket.DefaultOptions())
			if _, err := b.Import(start, message); err != nil && (b.EntryCount() != 0 || b.RefusedCount() != 0 || len(b.Issuers()) != 1) {
				t.Fatal("Import refused the data but changed the table")
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
	table, now := newTable("a", ticket.DefaultOptions()), start
	response := &wire.Response{Status: 201, Body: make([]byte, 200)}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if now = now.Add(20 * time.Millisecond); i%50 == 0 {
			table.Sweep(now)
		}
		issued, _ := table.Issue(now, "shop")
		d := table.Begin(now, ticket.TicketedRequest{Ticket: issued, Workspace: "shop", Deadline: now.Add(time.Second)})
		if table.RecordAttempt(d.Key, wire.AttemptID{}, "b1") != nil || table.Complete(d.Key, wire.AttemptID{}, response) != nil {
			b.Fatal(d.Reason)
		}
	}
}
