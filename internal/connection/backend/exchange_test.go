package backend

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"tarragonshore.example/tarragonshore/internal/connection/wire"
)

// scriptedServer answers the n-th request of each connection with the bytes that
// script returns, and closes the connection after an empty string.
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
		if !whole(reply) {
			return
		}
	}
}

// whole reports whether a reply ends as its length says, so that the connection
// can go on.
func whole(reply string) bool {
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

func framed(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// exchange sends one request with an id.
func exchange(x *Exchanger, address, id string, repeatable bool) (*Answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	e := Exchange{Method: http.MethodGet, Target: "/p?q=1", Host: "h", Repeatable: repeatable,
		Mine: func(_ int, header http.Header) bool { return header.Get("Id") == id }}
	e.Header = append(e.Header, headerField("Id", id))
	return x.Do(ctx, address, e)
}

const bodyLimit = 1 << 20

// A second answer to a request arrives where the next answer is expected; it must
// not be taken for it.
func TestExchangeSkipsAnswersToOtherRequests(t *testing.T) {
	g := NewWithT(t)
	address := scriptedServer(t, func(_, n int, id string) string {
		if n == 0 {
			return framed(id, "one") + framed(id, "again")
		}
		return framed(id, "body of "+id)
	})
	x := NewExchanger(bodyLimit)
	defer x.Close()
	for n := range 20 {
		id := fmt.Sprint("r", n)
		answer, err := exchange(x, address, id, true)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(answer.Header.Get("Id")).To(Equal(id))
		g.Expect(string(answer.Body)).NotTo(Equal("again"))
	}
}

// An answer that is cut, or that cannot be shown to be whole, is an error.
func TestExchangeRefusesBrokenAnswers(t *testing.T) {
	for name, reply := range map[string]string{
		"cut":       "HTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 10\r\n\r\nfour",
		"chunk cut": "HTTP/1.1 200 OK\r\nId: r\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfour\r\n",
		"not HTTP":  "hello\r\n\r\n",
		"encoded":   "HTTP/1.1 200 OK\r\nId: r\r\nContent-Encoding: gzip\r\nContent-Length: 4\r\n\r\nfour",
		"foreign":   framed("other", "x"),
		"none":      "",
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
				Mine: func(_ int, header http.Header) bool { return header.Get("Id") == "r" }})
			var failure *Error
			g.Expect(errors.As(err, &failure)).To(BeTrue())
			g.Expect(failure.NotExecuted).To(BeFalse(), "the request was sent")
		})
	}
}

// An answer without a length ends with its connection.
func TestExchangeTakesAnswersThatEndWithTheConnection(t *testing.T) {
	g := NewWithT(t)
	address := scriptedServer(t, func(int, int, string) string { return "HTTP/1.1 200 OK\r\nId: r\r\n\r\nwhole" })
	answer, err := exchange(NewExchanger(bodyLimit), address, "r", true)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(answer.Body)).To(Equal("whole"))
}

// Nothing was sent if nobody listens.
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

// A server closes idle connections without a word. What must not run twice is not
// sent on one that has been idle for long, nor is anything on one that has ended.
func TestExchangeAvoidsOldConnections(t *testing.T) {
	g := NewWithT(t)
	connections := make(chan int, 100)
	address := scriptedServer(t, func(connection, _ int, id string) string {
		connections <- connection
		return framed(id, "x")
	})
	x := NewExchanger(bodyLimit)
	defer x.Close()
	use := func(repeatable bool) int {
		_, err := exchange(x, address, "r", repeatable)
		g.Expect(err).NotTo(HaveOccurred())
		return <-connections
	}
	first := use(true)
	// On a busy machine the second use can come too late for the first connection.
	for begun := time.Now(); ; begun = time.Now() {
		again := use(false)
		if time.Since(begun) < recentUse {
			g.Expect(again).To(Equal(first), "used a moment ago")
			break
		}
		first = again
	}
	time.Sleep(recentUse + 50*time.Millisecond)
	second := use(false)
	g.Expect(second).NotTo(Equal(first))
	time.Sleep(recentUse + 50*time.Millisecond)
	g.Expect(use(true)).To(Equal(second))
}

// The server's idle timeout bounds the reuse.
func TestKeepTime(t *testing.T) {
	g := NewWithT(t)
	g.Expect(keepTime(http.Header{"Keep-Alive": {"timeout=10, max=5"}})).To(Equal(8 * time.Second))
	g.Expect(keepTime(http.Header{})).To(Equal(defaultKeep))
	g.Expect(keepTime(http.Header{"Keep-Alive": {"timeout=x"}})).To(Equal(defaultKeep))
}

// When the caller leaves, the connection is closed, which cancels the run.
func TestExchangeEndsWithItsContext(t *testing.T) {
	g := NewWithT(t)
	gone := make(chan struct{})
	server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(gone)
	}), ReadHeaderTimeout: time.Second}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err = NewExchanger(bodyLimit).Do(ctx, listener.Addr().String(), Exchange{Method: http.MethodGet, Target: "/", Host: "h", Repeatable: true})
	g.Expect(err).To(MatchError(context.DeadlineExceeded))
	g.Eventually(gone, 500*time.Millisecond).Should(BeClosed())
}

func headerField(name, value string) wire.HeaderField {
	return wire.HeaderField{Name: name, Value: value}
}
