package daemon

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonshore.example/tarragonshore/internal/connection/backend"
	"tarragonshore.example/tarragonshore/internal/connection/wire"
	"tarragonshore.example/tarragonshore/internal/request/problem"
)

// maxTestBody is the response size limit of the backend client in these tests.
const maxTestBody = 1 << 20

// truncatedResponses are truncated HTTP responses of a backend server. The server closes
// the connection after each.
var truncatedResponses = []struct{ name, text string }{
	{"shorter than its Content-Length", "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf of"},
	{"broken within a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n20\r\nhalf of"},
	{"broken between chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7\r\nhalf of\r\n"},
	{"without length and chunks", "HTTP/1.1 200 OK\r\n\r\nhalf of"},
	{"broken within its header", "HTTP/1.1 200 OK\r\nContent-Le"},
}

// serveRaw makes a fake server answer with raw bytes, which the daemon's real backend
// client reads.
func serveRaw(server *fakeServer, text string) {
	dial := func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			defer func() { _ = far.Close() }()
			r, err := http.ReadRequest(bufio.NewReader(far))
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, r.Body); err == nil {
				_, _ = io.WriteString(far, text)
			}
		}()
		return near, nil
	}
	client := backend.NewClientWithDial(1, maxTestBody, dial)
	server.work = func(ctx context.Context, call backend.Call) (*wire.Response, error) {
		return client.Do(ctx, "127.0.0.1:1", call)
	}
}

var _ = Describe("answers", func() {
	// Guards against a truncated response that reaches the caller as a complete answer,
	// and against a second run of an order whose response was truncated.
	It("that are truncated count as failed", func() {
		inFleets([]string{"entry", "shop", "shop"}, 2*len(truncatedResponses), func(cell int, f *fleet, g *WithT) {
			broken := truncatedResponses[cell/2]
			serveRaw(f.hosts[2].server, broken.text)
			for n := range 10 {
				q := request{path: "/shop", key: testKey, body: fmt.Sprintf("call %d", n)}
				if cell%2 == 1 {
					q.path, q.ticket = "/shop-order", f.ticketFrom(f.hosts[0])
				}
				a := f.ask(f.hosts[0], q)
				g.Expect(a.err).NotTo(HaveOccurred(), broken.name)
				g.Expect(a.body).NotTo(ContainSubstring("half of"), broken.name)
				if a.status == 200 {
					g.Expect(a.body).To(Equal("shop-2 fair "+q.body), broken.name)
				} else {
					g.Expect(a.executed).To(Equal(problem.ExecutedUnknown), "%s: %+v", broken.name, a)
				}
				if q.ticket != "" {
					g.Expect(f.runs(q.body)).To(Equal(1), broken.name)
				}
			}
			g.Expect(f.hosts[2].server.total()).To(BeNumerically(">", 0), broken.name)
		})
	})

	// Guards against an answer that is delivered to another request, when answers
	// arrive in reverse order over a link that replaced a silent one.
	It("that come late and in reverse order reach their own requests", func() {
		inFleets([]string{"entry", "shop"}, int(matrixEnd/matrixStep)+1, func(cell int, f *fleet, g *WithT) {
			server := f.hosts[1].server
			server.setService(0)
			server.work = func(ctx context.Context, call backend.Call) (*wire.Response, error) {
				body := string(call.Request.Body)
				service := 3 * time.Second // beyond the replacement of a silent link
				if strings.HasPrefix(body, "first") {
					service += 500 * time.Millisecond
				}
				pause(ctx, service)
				return &wire.Response{Status: 200, Body: []byte("answer to " + body)}, nil
			}
			bodies := []string{"first a", "first b", "second a", "second b"}
			answers := make([]chan answer, len(bodies))
			for i, body := range bodies {
				answers[i] = make(chan answer, 1)
				go func() { answers[i] <- f.get(f.hosts[0], "/shop", body) }()
				time.Sleep(2 * time.Millisecond)
			}
			time.Sleep(time.Duration(cell) * matrixStep)
			f.net.silence(f.hosts[0].address, f.hosts[1].address)
			for i, body := range bodies {
				a := <-answers[i]
				g.Expect(a.status).To(Equal(200), "%s: %+v", body, a)
				g.Expect(a.body).To(Equal("answer to " + body))
				g.Expect(f.runs(body)).To(Equal(1), body)
			}
		})
	})
})
