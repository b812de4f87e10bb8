package backend

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// endlessBytes is the number of bytes after which an endlessServer gives up, far above
// every bound of an Exchanger.
const endlessBytes = 64 << 20

// endlessServer responds to every request with a start and then repeats a piece until
// the client closes the connection. taken counts the bytes that the connections accepted.
func endlessServer(t *testing.T, start, piece string) (address string, taken *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	taken = &atomic.Int64{}
	block := strings.Repeat(piece, 1+4096/len(piece))
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				_, _ = conn.Read(make([]byte, 4096))
				_, _ = io.WriteString(conn, start)
				for sent := int64(0); sent < endlessBytes; {
					n, err := io.WriteString(conn, block)
					sent += int64(n)
					taken.Add(int64(n))
					if err != nil {
						return
					}
				}
			}()
		}
	}()
	return listener.Addr().String(), taken
}

// Guards against a server in trouble that sends bytes without end: they must neither
// fill the daemon's memory nor hold the request until its deadline.
func TestExchangeBoundsEndlessResponses(t *testing.T) {
	const ok, chunked = "HTTP/1.1 200 OK\r\nId: r\r\n", "HTTP/1.1 200 OK\r\nId: r\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, reply := range map[string]struct{ start, piece string }{
		"status line":         {"HTTP/1.1 200 ", "O"},
		"no response at all":  {"", "x"},
		"one long field":      {ok + "Field: ", "x"},
		"many fields":         {ok, "Field: x\r\n"},
		"informational":       {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"body without length": {ok + "\r\n", "x"},
		"chunks":              {chunked, "400\r\n" + strings.Repeat("x", 0x400) + "\r\n"},
		"chunk extension":     {chunked + "4;name=", "x"},
		"many extensions":     {chunked, "1;name=" + strings.Repeat("x", 512) + "\r\nx\r\n"},
		"trailers":            {chunked + "0\r\n", "Field: x\r\n"},
		"other responses":     {"", okResponse("other", strings.Repeat("x", 1024))},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			address, taken := endlessServer(t, reply.start, reply.piece)
			x := NewExchanger(bodyLimit)
			defer x.Close()
			begun := time.Now()
			_, err := exchange(x, address, "r", true)
			g.Expect(err).To(HaveOccurred())
			g.Expect(time.Since(begun)).To(BeNumerically("<", time.Second), "the deadline of the request")
			// Sockets hold some megabytes that the exchange has not read.
			g.Consistently(taken.Load, "100ms").Should(BeNumerically("<", 16<<20))
		})
	}
}

// Guards against responses that each keep to the limit for one body, and together fill
// the memory of the host.
func TestExchangeBoundsBodiesTogether(t *testing.T) {
	g := NewWithT(t)
	const limit, exchanges = 4 << 20, 200
	address, _ := endlessServer(t, "HTTP/1.1 200 OK\r\nId: r\r\n\r\n", "x")
	x := NewExchanger(limit)
	defer x.Close()
	var most atomic.Int64
	done := make(chan error)
	for range exchanges {
		go func() {
			_, err := exchange(x, address, "r", true)
			done <- err
		}()
	}
	for range exchanges {
		most.Store(max(most.Load(), x.buffered.Load()))
		g.Expect(<-done).To(HaveOccurred())
	}
	g.Expect(most.Load()).To(BeNumerically("<=", maxBufferedBytes+exchanges*bodyReadBytes))
	g.Expect(x.buffered.Load()).To(BeZero(), "ended exchanges hold no memory")
	ok := scriptedServer(t, func(_, _ int, id string) string { return okResponse(id, "body") })
	response, err := exchange(x, ok, "r", true)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.Status).To(Equal(http.StatusOK))
}
