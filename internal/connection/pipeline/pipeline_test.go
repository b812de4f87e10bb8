package pipeline

import (
	"net/http"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// The order of the rows is that of the checks; each changes one thing that forbids to run a
// request ahead.
func TestDecide(t *testing.T) {
	read := Request{Idempotent: true, ResponseBytes: UnknownResponseBytes}
	for _, row := range []struct {
		name   string
		change func(w *Window, next *Request, c *Conditions)
		want   Reason
	}{
		{"nothing", func(*Window, *Request, *Conditions) {}, RunAhead},
		{"stopping", func(_ *Window, _ *Request, c *Conditions) { c.Stopping = true }, ReasonStopping},
		{"closing", func(w *Window, _ *Request, _ *Conditions) { w.Close() }, ReasonClosing},
		{"first closes", func(w *Window, _ *Request, _ *Conditions) { w.first.Form = ReasonProtocol }, ReasonClosing},
		{"first not idempotent", func(w *Window, _ *Request, _ *Conditions) { w.first.Idempotent = false }, ReasonAfterOther},
		{"body", func(_ *Window, next *Request, _ *Conditions) { next.Form = ReasonBody }, ReasonBody},
		{"not idempotent", func(_ *Window, next *Request, _ *Conditions) { next.Idempotent = false }, ReasonNotIdempotent},
		{"last one", func(w *Window, _ *Request, _ *Conditions) { w.ahead = MaxRequests - 2 }, RunAhead},
		{"too many", func(w *Window, _ *Request, _ *Conditions) { w.ahead = MaxRequests - 1 }, ReasonTooMany},
		{"large", func(w *Window, next *Request, _ *Conditions) { next.ResponseBytes = MaxResponseBytes + 1 }, ReasonLargeResponses},
		{"process", func(_ *Window, _ *Request, c *Conditions) { c.ResponsesFull = true }, ReasonProcessResponse},
	} {
		w, next, c := Window{first: read}, read, Conditions{}
		row.change(&w, &next, &c)
		NewWithT(t).Expect(w.Decide(next, c)).To(Equal(row.want), row.name)
	}
}

// Guards against a request that runs behind a non-idempotent one, against more requests or
// bytes than the limits, and against limits that block a connection whose responses are gone.
func TestWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var w Window
		var ahead []Request
		w.Begin(Request{Idempotent: rapid.Bool().Draw(t, "first")}, false)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			next := Request{Idempotent: rapid.IntRange(0, 5).Draw(t, "kind") > 0, ResponseBytes: rapid.IntRange(0, MaxResponseBytes+1).Draw(t, "bytes")}
			switch {
			case rapid.Bool().Draw(t, "arrives") && w.Decide(next, Conditions{}) == RunAhead:
				if !w.first.Idempotent || !next.Idempotent {
					t.Fatal("ran ahead of or as a non-idempotent request")
				}
				w.Start(next)
				ahead = append(ahead, next)
			case len(ahead) > 0:
				w.Begin(ahead[0], true)
				w.Reserve(-ahead[0].ResponseBytes)
				ahead = ahead[1:]
			default:
				w.Begin(next, false)
			}
			total := 0
			for _, a := range ahead {
				total += a.ResponseBytes
			}
			if w.Depth() != len(ahead)+1 || w.Depth() > MaxRequests || w.responseBytes != total || total > MaxResponseBytes {
				t.Fatalf("depth %d of %d, bytes %d of %d", w.Depth(), len(ahead)+1, w.responseBytes, total)
			}
		}
	})
}

// Guards against a size that is forgotten at once, or for ever kept.
func TestSizes(t *testing.T) {
	g, s := NewWithT(t), Sizes{}
	g.Expect(s.Expected("r")).To(Equal(UnknownResponseBytes))
	s.Record("r", 100<<10)
	s.Record("r", 10)
	g.Expect(s.Expected("r")).To(BeNumerically(">", 95<<10))
	for range 1000 {
		s.Record("r", 10)
	}
	g.Expect(s.Expected("r")).To(Equal(10))
}

// Guards against boundaries that depend on the way in which the bytes arrive.
func TestFramingInPieces(t *testing.T) {
	requests := []string{"GET / HTTP/1.1\r\nHost: a\r\n\r\n", "PUT / HTTP/1.1\nHost: a\ncontent-length:3\n\n\n\n\n", "GET /?x HTTP/1.1\r\nHost: a\r\nB: c\r\n \r\n\r\n",
		"PUT / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n0\r\n\r\n\r\n0a\r\n0123456789\r\n00\r\n\r\n"}
	rapid.Check(t, func(t *rapid.T) {
		var f Framing
		for range 5 {
			request := rapid.SampledFrom(requests).Draw(t, "request")
			for rest := request; rest != ""; {
				if f.AtBoundary() != (rest == request) {
					t.Fatalf("boundary before %q of %q", rest, request)
				}
				n := f.Limit(rapid.IntRange(1, len(rest)).Draw(t, "piece"))
				data := []byte(rest[:n])
				if n == len(rest) {
					data = append(data, "GET /next HTTP/1.1\r\nHost: a\r\n\r\nPUT"[:rapid.IntRange(0, 30).Draw(t, "more")]...)
				}
				if passed := f.Next(data); passed != n {
					t.Fatalf("%d of %q", passed, data)
				}
				rest = rest[n:]
			}
		}
		if !f.AtBoundary() || f.head != nil {
			t.Fatal("not at a boundary")
		}
	})
}

// A request that the server would answer by itself, or whose response ends the connection,
// does not run ahead.
func TestFormOf(t *testing.T) {
	for head, want := range map[string]Reason{
		"GET /a HTTP/1.1\r\nHost: a\r\nConnection: Keep-Alive\r\n\r\n": "", "DELETE /a HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n": "",
		"GET /a HTTP/1.0\r\nHost: a\r\n\r\n": ReasonProtocol, "GET /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n": ReasonProtocol,
		"GET /a HTTP/1.1\r\nHost: a\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n": ReasonProtocol, "GET /a HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n\r\n": ReasonProtocol,
		"GET /a HTTP/1.1\r\n\r\n": ReasonInvalid, "GET * HTTP/1.1\r\nHost: a\r\n\r\n": ReasonInvalid, "CONNECT a HTTP/1.1\r\nHost: a\r\n\r\n": ReasonInvalid,
		"GET http://b/a HTTP/1.1\r\n\r\n": ReasonInvalid, "GET /a HTTP/1.1\r\nHost: a b\r\n\r\n": ReasonInvalid,
		"PUT /a HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\n": ReasonBody, "PUT /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n": ReasonBody,
	} {
		g := NewWithT(t)
		r, err := ParseHead([]byte(head))
		g.Expect(err).NotTo(HaveOccurred(), head)
		g.Expect(FormOf(r)).To(Equal(want), head)
	}
	for _, field := range []string{"Host: b", "B: \x01", "B"} {
		_, err := ParseHead([]byte("GET /a HTTP/1.1\r\nHost: a\r\n" + field + "\r\n\r\n"))
		NewWithT(t).Expect(err).To(HaveOccurred(), field)
	}
	NewWithT(t).Expect(FirstForm(&http.Request{Proto: "HTTP/1.1", Close: true})).To(Equal(ReasonProtocol))
}
