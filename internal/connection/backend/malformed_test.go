package backend

import (
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
)

// Guards against a response with a status outside 100 to 599 that is returned, or taken for
// an informational one, so that the exchange waits for another response until its deadline.
func TestExchangeRefusesMalformedStatus(t *testing.T) {
	for _, code := range []string{"000", "099", "600", "999", "7", "20", "1000", "+99", "-10", "2x0", ""} {
		for _, before := range []string{"", hints} {
			t.Run(code+" after "+before, func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				server := newPieceServer(t)
				server.script.Store(func(_ int, id string) string {
					return before + strings.Replace(okResponse(id, "body"), "200", code, 1) // the connection stays open
				})
				x := NewExchanger(bodyLimit)
				defer x.Close()
				_, err := exchange(x, server.address, "r", true)
				g.Expect(err).To(HaveOccurred())
				g.Expect(errors.Is(err, context.DeadlineExceeded)).To(BeFalse(), "waits until the deadline")
			})
		}
	}
	g := NewWithT(t)
	server := newPieceServer(t)
	server.script.Store(func(_ int, id string) string {
		return hints + pause + strings.Replace(okResponse(id, "body"), "200", "599", 1)
	})
	response, err := exchange(NewExchanger(bodyLimit), server.address, "r", true)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.Status).To(Equal(599), "after an interim response")
}

// uploadServer reads a part of each request, or all of it if read is below 0, sends a reply
// and closes its connection, with a reset if reset is true.
func uploadServer(t *testing.T, read int64, reply string, reset bool) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = listener.Close() })
	serve := func(conn *net.TCPConn, size int64) {
		defer func() { _ = conn.Close() }()
		_, _ = io.CopyN(io.Discard, conn, size)
		_, _ = io.WriteString(conn, reply)
		if reset {
			_ = conn.SetLinger(0)
		}
	}
	go func() {
		for conn, err := listener.Accept(); err == nil; conn, err = listener.Accept() {
			go serve(conn.(*net.TCPConn), read)
		}
	}()
	return listener.Addr().String()
}

// Guards against a response without a length whose connection is reset while the request is
// written: the system reports the reset to the writer only, and an end to the reader.
func TestExchangeRefusesResetDuringUpload(t *testing.T) {
	const head, upload, rounds = "HTTP/1.1 200 OK\r\nId: r\r\n\r\n", 1500 << 10, 60
	for name, row := range map[string]struct {
		read     int64
		body     string
		reset    bool
		complete bool
	}{
		"before the body is read":  {1000, "part", true, false},
		"within the body":          {700 << 10, "part", true, false},
		"after a read buffer":      {100 << 10, strings.Repeat("x", 3*readBufferBytes), true, false},
		"empty body":               {1000, "", true, false},
		"close with unread bytes":  {100 << 10, "part", false, false}, // the system sends a reset too
		"close after all was read": {upload + int64(len(uploadHead)), "whole", false, true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			address := uploadServer(t, row.read, head+row.body, row.reset)
			x := NewExchanger(bodyLimit)
			defer x.Close()
			returned := 0
			for range rounds {
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				response, err := x.Do(ctx, address, Exchange{Method: http.MethodPost, Target: "/", Host: "h", Body: make([]byte, upload)})
				cancel()
				if err == nil {
					returned++
					g.Expect(string(response.Body)).To(Equal(row.body))
				}
			}
			g.Expect(returned).To(Equal(map[bool]int{true: rounds}[row.complete]))
		})
	}
}

var uploadHead = fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", 1500<<10)
