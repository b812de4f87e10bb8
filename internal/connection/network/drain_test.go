//go:build linux

package network

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const waitingConnections = 20

// sendRequests connects and sends a request on each connection, without reading
// the answers.
func sendRequests(g *WithT, address string) []net.Conn {
	var conns []net.Conn
	for range waitingConnections {
		conn, err := net.Dial("tcp", address)
		g.Expect(err).NotTo(HaveOccurred())
		_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: test\r\nConnection: close\r\n\r\n")
		g.Expect(err).NotTo(HaveOccurred())
		conns = append(conns, conn)
	}
	return conns
}

// slowListener accepts late, like a process that gets no processor time.
type slowListener struct{ net.Listener }

func (l slowListener) Accept() (net.Conn, error) {
	time.Sleep(20 * time.Millisecond)
	return l.Listener.Accept()
}

// Guards against a stop that resets connections whose requests have been sent
// but which the process has not accepted yet: without Drain, nearly all of these
// requests end with "connection reset by peer".
func TestDrainServesWaitingConnections(t *testing.T) {
	g := NewWithT(t)
	listener, err := System{}.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	g.Expect(err).NotTo(HaveOccurred())
	conns := sendRequests(g, listener.Addr().String())
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	served := make(chan error, 1)
	go func() { served <- server.Serve(slowListener{listener}) }()

	g.Expect(Drain(context.Background(), listener)).To(Succeed())
	g.Expect(server.Shutdown(context.Background())).To(Succeed())
	g.Expect(<-served).To(MatchError(http.ErrServerClosed))
	for _, conn := range conns {
		answer, err := io.ReadAll(conn)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(answer)).To(HavePrefix("HTTP/1.1 200"))
		g.Expect(conn.Close()).To(Succeed())
	}
}
