package ticket_test

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"tarragonshore.example/tarragonshore/internal/connection/wire"
	"tarragonshore.example/tarragonshore/internal/request/ticket"
)

// FuzzParse guards against a text that panics and against two texts of one
// ticket, which would be two keys in a cache or log.
func FuzzParse(f *testing.F) {
	issued, err := newHome("a", ticket.DefaultOptions()).Issue(start, "shop")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(issued.String())
	f.Add(`"` + issued.String() + `"`)
	f.Add("AQ")
	f.Fuzz(func(t *testing.T, text string) {
		parsed, err := ticket.Parse(text)
		if err == nil && parsed.String() != text && `"`+parsed.String()+`"` != text {
			t.Fatalf("%q was read as %q", text, parsed.String())
		}
	})
}

// FuzzImport guards against hand-over data that panics or that is refused and
// yet changes the table. The data is tried as a part and as the content of one.
func FuzzImport(f *testing.F) {
	a := newHome("a", ticket.DefaultOptions())
	for i := range byte(4) {
		issued, _ := a.Issue(start, "shop")
		d := a.Begin(start, ticket.Use{Ticket: issued, Workspace: "shop"})
		attempt := wire.AttemptID{i}
		switch i {
		case 0:
			_ = a.Dispatched(d.Key, attempt, "b")
			_ = a.Complete(d.Key, attempt, answer)
		case 1:
			_ = a.Dispatched(d.Key, attempt, "b")
			_ = a.MarkUnknown(d.Key, attempt, ticket.ReasonLinkLost)
		case 2:
			_, _ = a.Refuse(d.Key)
		}
	}
	snapshot, err := a.Export(owner("b"))
	if err != nil {
		f.Fatal(err)
	}
	var content struct {
		Data []byte `cbor:"5,keyasint"`
	}
	if err := cbor.Unmarshal(snapshot.Parts[0], &content); err != nil {
		f.Fatal(err)
	}
	f.Add(snapshot.Parts[0])
	f.Add(content.Data)
	f.Fuzz(func(t *testing.T, data []byte) {
		part, err := cbor.Marshal(map[int]any{1: owner("a"), 2: 1, 3: 0, 4: 1, 5: data})
		if err != nil {
			t.Fatal(err)
		}
		for _, message := range [][]byte{data, part} {
			b := newHome("b", ticket.DefaultOptions())
			if _, err := b.Import(start, message); err != nil && (b.Entries() != 0 || b.Refused() != 0 || len(b.Origins()) != 1) {
				t.Fatal("refused hand-over changed the table")
			}
			b.HolderGone(owner("a"))
			b.Sweep(start.Add(time.Hour))
			if _, err := b.Export(owner("c")); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// BenchmarkBeginComplete issues a ticket, runs its request and stores the
// answer, in a table that holds 5.5 minutes of requests at 50 per second.
func BenchmarkBeginComplete(b *testing.B) {
	h := newHome("a", ticket.DefaultOptions())
	now := start
	response := &wire.Response{Status: 201, Body: make([]byte, 200)}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if now = now.Add(20 * time.Millisecond); i%50 == 0 {
			h.Sweep(now)
		}
		issued, err := h.Issue(now, "shop")
		if err != nil {
			b.Fatal(err)
		}
		d := h.Begin(now, ticket.Use{Ticket: issued, Workspace: "shop", Deadline: now.Add(time.Second)})
		if h.Dispatched(d.Key, wire.AttemptID{}, "b1") != nil || h.Complete(d.Key, wire.AttemptID{}, response) != nil {
			b.Fatal(d.Reason)
		}
	}
}

// BenchmarkBeginReplay decides about a repeat, from the text of the ticket.
func BenchmarkBeginReplay(b *testing.B) {
	h := newHome("a", ticket.DefaultOptions())
	issued, _ := h.Issue(start, "shop")
	use := ticket.Use{Ticket: issued, Workspace: "shop", Deadline: start.Add(time.Second)}
	d := h.Begin(start, use)
	_ = h.Dispatched(d.Key, wire.AttemptID{}, "b1")
	_ = h.Complete(d.Key, wire.AttemptID{}, answer)
	text := issued.String()
	b.ReportAllocs()
	for b.Loop() {
		use.Ticket, _ = ticket.Parse(text)
		if h.Begin(start, use).Outcome != ticket.Replay {
			b.Fatal("no replay")
		}
	}
}
