package backend

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"tarragonshore.example/tarragonshore/internal/connection/wire"
)

// scriptedServer responds to each request with the bytes that script returns for the
// number of its connection, its number on the connection and its id. It closes the
// connection if these are empty, or not one or more complete responses.
func scriptedServer(t *testing.T, script func(connection, request int, id string) string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for n := 0; ; n++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveScript(conn, n, script)
		}
	}()
	return listener.Addr().String()
}

func serveScript(conn net.Conn, connection int, script func(int, int, string) string) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for n := 0; ; n++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		reply := script(connection, n, request.Header.Get("Id"))
		if reply == "" {
			return
		}
		_, _ = io.WriteString(conn, reply)
		if !isComplete(reply) {
			return
		}
	}
}

// isComplete reports whether the body of a reply has the stated length, or the reply
// holds several responses, so that the connection stays open.
func isComplete(reply string) bool {
	_, rest, framed := strings.Cut(reply, "Content-Length: ")
	if !framed {
		return false
	}
	length, _, _ := strings.Cut(rest, "\r\n")
	return length == fmt.Sprint(len(replyBody(reply))) || strings.Count(reply, "HTTP/1.1") > 1
}

func replyBody(reply string) string {
	_, body, _ := strings.Cut(reply, "\r\n\r\n")
	return body
}

func okResponse(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// exchange sends a request with an id and accepts only responses with the same id.
func exchange(x *Exchanger, address, id string, idempotent bool) (*Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	e := Exchange{ID: id, Method: http.MethodGet, Target: "/p?q=1", Host: "h", Idempotent: idempotent,
		Matches:    func(_ int, header http.Header) bool { return header.Get("Id") == id },
		ResponseID: func(header http.Header) string { return header.Get("Id") }}
	e.Header = append(e.Header, headerField("Id", id))
	return x.Do(ctx, address, e)
}

const bodyLimit = 1 << 20

// Guards against a duplicate response that is taken for the response to the next
// request on the connection.
func TestExchangeSkipsResponsesToOtherRequests(t *testing.T) {
	g := NewWithT(t)
	address := scriptedServer(t, func(_, n int, id string) string {
		if n == 0 {
			return okResponse(id, "one") + okResponse(id, "again")
		}
		return okResponse(id, "body of "+id)
	})
	x := NewExchanger(bodyLimit)
	defer x.Close()
	for n := range 20 {
		id := fmt.Sprint("r", n)
		response, err := exchange(x, address, id, true)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(response.Header.Get("Id")).To(Equal(id))
		g.Expect(string(response.Body)).NotTo(Equal("again"))
	}
}

// Guards against a truncated, corrupted or unrelated response that is returned as the
// response to the request.
func TestExchangeRefusesBrokenResponses(t *testing.T) {
	for name, reply := range map[string]string{
		"truncated":          "HTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 10\r\n\r\nfour",
		"truncated chunks":   "HTTP/1.1 200 OK\r\nId: r\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfour\r\n",
		"not HTTP":           "hello\r\n\r\n",
		"encoded":            "HTTP/1.1 200 OK\r\nId: r\r\nContent-Encoding: gzip\r\nContent-Length: 4\r\n\r\nfour",
		"to another request": okResponse("other", "x"),
		"none":               "",
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			// The connection ends after the reply.
			address := scriptedServer(t, func(_, n int, _ string) string {
				if n > 0 {
					return ""
				}
				return reply
			})
			x := NewExchanger(bodyLimit)
			defer x.Close()
			ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
			defer cancel()
			_, err := x.Do(ctx, address, Exchange{Method: http.MethodGet, Target: "/", Host: "h",
				Matches: func(_ int, header http.Header) bool { return header.Get("Id") == "r" }})
			var failure *Error
			g.Expect(errors.As(err, &failure)).To(BeTrue())
			g.Expect(failure.NotExecuted).To(BeFalse(), "the request was sent")
		})
	}
}

// Guards against a complete response that is refused for what follows it on the connection.
func TestExchangeTakesBodyThatEndsLikeAStatusLine(t *testing.T) {
	second, noResponse := okResponse("r", "ok"), "\x16\x03"
	for _, row := range []struct{ body, after string }{
		{"H", ""}, {"H", second}, {"H", noResponse}, {"HTTP/1.1 20", ""}, {"HTTP/1.1 20", second}, {"HTTP/1.1 20", noResponse},
		{"a line of HTTP/1.1 200", ""}, // with bytes after it, it cannot be told from a response that broke off
	} {
		t.Run(row.body+" and "+row.after, func(t *testing.T) {
			g := NewWithT(t)
			server := newPieceServer(t)
			server.script.Store(func(int, string) string { return okResponse("r", row.body) + row.after })
			x := NewExchanger(bodyLimit)
			defer x.Close()
			response, err := exchange(x, server.address, "r", true)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(response.Body)).To(Equal(row.body))
		})
	}
}

// Guards against a second response that becomes the end of a body without a length.
func TestExchangeEndsBodyBeforeSecondResponse(t *testing.T) {
	for name, second := range map[string]string{"": "", "second": okResponse("r", "ok")} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			server := newPieceServer(t)
			server.script.Store(func(int, string) string {
				return "HTTP/1.1 200 OK\r\nId: r\r\n\r\nthe body" + second + hangUp
			})
			x := NewExchanger(bodyLimit)
			defer x.Close()
			response, err := exchange(x, server.address, "r", true)
			if second != "" {
				g.Expect(err).To(MatchError(ErrJoined))
				return
			}
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(response.Body)).To(Equal("the body"))
		})
	}
}

// A response without a length is complete when the server closes the connection.
func TestExchangeAcceptsResponsesThatEndWithTheConnection(t *testing.T) {
	g := NewWithT(t)
	address := scriptedServer(t, func(int, int, string) string { return "HTTP/1.1 200 OK\r\nId: r\r\n\r\nwhole" })
	response, err := exchange(NewExchanger(bodyLimit), address, "r", true)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(response.Body)).To(Equal("whole"))
}

// If the connection is refused, the error says that the request was not executed.
func TestExchangeNotSent(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	address := listener.Addr().String()
	g.Expect(listener.Close()).To(Succeed())
	_, err = exchange(NewExchanger(bodyLimit), address, "r", true)
	var failure *Error
	g.Expect(errors.As(err, &failure)).To(BeTrue())
	g.Expect(failure.NotExecuted).To(BeTrue())
}

// Guards against a restart of the server that only its closed idle connections show, and
// against one that is seen where the server sent a late response or nothing.
func TestExchangeReportsClosedIdleConnections(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = listener.Close() }()
	// The last case is a request that must not run twice, which uses no connection that was idle for so long.
	for want, event := range []func(net.Conn){func(net.Conn) {}, func(server net.Conn) { _ = server.Close() }, func(server net.Conn) { _, _ = io.WriteString(server, "late") },
		func(server net.Conn) { _ = server.Close() }} {
		idempotent, idle := want < 3, maxUnprobedIdle
		if !idempotent {
			idle = maxNonIdempotentIdle
		}
		x, closed, address := NewExchanger(bodyLimit), 0, listener.Addr().String()
		x.ClosedWhileIdle = func() { closed++ }
		c, err := x.acquire(context.Background(), address, &Exchange{Idempotent: true})
		g.Expect(err).NotTo(HaveOccurred())
		server, err := listener.Accept()
		g.Expect(err).NotTo(HaveOccurred())
		c.reuseUntil = time.Now().Add(time.Minute)
		x.release(c, address)
		event(server)
		time.Sleep(idle + 50*time.Millisecond)
		_, err = x.acquire(context.Background(), address, &Exchange{Idempotent: idempotent})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(closed).To(Equal(want%2), "only the second and the last event close the connection")
		if want > 0 {
			_, _ = listener.Accept() // the connection that replaces it
		}
	}
}

// A server closes idle connections without notice. Guards against a request that must
// not run twice on a connection that has been idle for long. An idempotent request
// still uses such a connection.
func TestExchangeAvoidsOldConnections(t *testing.T) {
	g := NewWithT(t)
	connections := make(chan int, 100)
	address := scriptedServer(t, func(connection, _ int, id string) string {
		connections <- connection
		return okResponse(id, "x")
	})
	x := NewExchanger(bodyLimit)
	defer x.Close()
	requests := 0
	use := func(idempotent bool) int {
		requests++
		_, err := exchange(x, address, fmt.Sprint("r", requests), idempotent)
		g.Expect(err).NotTo(HaveOccurred())
		return <-connections
	}
	first := use(true)
	// On a busy machine more than maxNonIdempotentIdle can pass between two requests;
	// the second one then gets a new connection.
	for begun := time.Now(); ; begun = time.Now() {
		again := use(false)
		if time.Since(begun) < maxNonIdempotentIdle {
			g.Expect(again).To(Equal(first), "the connection was idle for a short time only")
			break
		}
		first = again
	}
	time.Sleep(maxNonIdempotentIdle + 50*time.Millisecond)
	second := use(false)
	g.Expect(second).NotTo(Equal(first))
	time.Sleep(maxNonIdempotentIdle + 50*time.Millisecond)
	g.Expect(use(true)).To(Equal(second))
}

// Connections are kept for a part of the idle timeout that the server states.
func TestKeepAliveTime(t *testing.T) {
	g := NewWithT(t)
	g.Expect(keepAliveTime(http.Header{"Keep-Alive": {"timeout=10, max=5"}})).To(Equal(8 * time.Second))
	g.Expect(keepAliveTime(http.Header{})).To(Equal(defaultKeepAlive))
	g.Expect(keepAliveTime(http.Header{"Keep-Alive": {"timeout=x"}})).To(Equal(defaultKeepAlive))
}

// When the context ends, the connection is closed, which cancels the request at the
// server.
func TestExchangeEndsWithItsContext(t *testing.T) {
	g := NewWithT(t)
	cancelled := make(chan struct{})
	server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(cancelled)
	}), ReadHeaderTimeout: time.Second}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err = NewExchanger(bodyLimit).Do(ctx, listener.Addr().String(), Exchange{Method: http.MethodGet, Target: "/", Host: "h", Idempotent: true})
	g.Expect(err).To(MatchError(context.DeadlineExceeded))
	g.Eventually(cancelled, 500*time.Millisecond).Should(BeClosed())
}

func headerField(name, value string) wire.HeaderField {
	return wire.HeaderField{Name: name, Value: value}
}

// Guards against a request that is changed or split on its way to the server: fields
// about framing are the exchange's own, and invalid characters are not sent.
func TestExchangeSendsTheRequestUnchanged(t *testing.T) {
	g := NewWithT(t)
	received := make(chan *http.Request, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		r.Body = io.NopCloser(strings.NewReader(string(body)))
		received <- r
		w.Header().Set("Id", r.Header.Get("Id"))
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	x := NewExchanger(bodyLimit)
	defer x.Close()
	send := func(e Exchange) error {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := x.Do(ctx, address, e)
		return err
	}
	for _, size := range []int{0, 3, minConcurrentWriteBytes, 1 << 20} {
		body := strings.Repeat("b", size)
		g.Expect(send(Exchange{Method: http.MethodPost, Target: "/p/a%20b?q=%0A&r", Host: "app.example", Body: []byte(body), Header: []wire.HeaderField{
			headerField("Id", "r"), headerField("Twice", "1"), headerField("Twice", "2"),
			headerField("Content-Length", "7"), headerField("Transfer-Encoding", "chunked"), headerField("host", "other"),
		}})).To(Succeed())
		r := <-received
		sent, _ := io.ReadAll(r.Body)
		g.Expect(r.Method + " " + r.RequestURI + " " + r.Host).To(Equal("POST /p/a%20b?q=%0A&r app.example"))
		g.Expect(r.Header["Twice"]).To(Equal([]string{"1", "2"}))
		g.Expect(r.Header).NotTo(HaveKey("User-Agent"))
		g.Expect(r.ContentLength).To(Equal(int64(size)))
		g.Expect(len(sent)).To(Equal(size))
	}
	for _, e := range []Exchange{
		{Method: "GET", Target: "/p HTTP/1.1\r\nX: y"}, {Method: "GET\r\n", Target: "/p"}, {Method: "GET", Target: "/p", Host: "h\r\nX: y"},
		{Method: "GET", Target: "/p", Header: []wire.HeaderField{headerField("A", "b\r\nX: y")}},
		{Method: "GET", Target: "/p", Header: []wire.HeaderField{headerField("A: b\r\nX", "y")}},
	} {
		g.Expect(send(e)).To(MatchError(errInvalidRequest))
		g.Expect(received).NotTo(Receive())
	}
}

// Guards against a second, late copy of a response that arrives byte by byte on a
// connection that is in use again: it is read with the next request and skipped.
func TestExchangeSkipsLateCopiesInPieces(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = listener.Close() }()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for former := ""; ; {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, request.Body)
					id := request.Header.Get("Id")
					for i := range former {
						_, _ = io.WriteString(conn, former[i:i+1])
						time.Sleep(100 * time.Microsecond)
					}
					former = okResponse(id, "body of "+id)
					_, _ = io.WriteString(conn, former)
				}
			}()
		}
	}()
	x := NewExchanger(bodyLimit)
	defer x.Close()
	for n := range 30 {
		id := fmt.Sprint("r", n)
		response, err := exchange(x, listener.Addr().String(), id, n%2 == 0)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(response.Body)).To(Equal("body of " + id))
	}
}
