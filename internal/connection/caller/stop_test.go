//go:build linux

package caller_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"tarragonshore.example/tarragonshore/internal/connection/caller"
	"tarragonshore.example/tarragonshore/internal/connection/network"
)

// waitingConnections is the number of connections that the listener has not accepted
// when the server is stopped.
const waitingConnections = 20

// sendRequests opens connections and sends a request on each of them, without reading
// the responses.
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

// slowListener delays each Accept, as if the process were short of CPU time.
type slowListener struct {
	net.Listener
	once     *sync.Once
	accepted chan struct{} // closed when the server calls Accept for the first time
}

func (l slowListener) Accept() (net.Conn, error) {
	l.once.Do(func() { close(l.accepted) })
	time.Sleep(20 * time.Millisecond)
	return l.Listener.Accept()
}

// Guards against a stop that resets connections whose callers have sent a request but
// which the process has not accepted yet, and against one that reads a request and
// closes the connection without a response. http.Server.Shutdown does the latter: with
// it, the last connections got an empty response in 10 of 15 runs.
func TestStopServesWaitingConnections(t *testing.T) {
	g := NewWithT(t)
	listener, err := network.System{}.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	g.Expect(err).NotTo(HaveOccurred())
	conns := sendRequests(g, listener.Addr().String())
	server := caller.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	served := make(chan error, 1)
	slow := slowListener{Listener: listener, once: &sync.Once{}, accepted: make(chan struct{})}
	go func() { served <- server.Serve(slow) }()
	<-slow.accepted
	g.Expect(server.Stop(context.Background(), listener)).To(Succeed())
	g.Expect(<-served).To(HaveOccurred())
	for _, conn := range conns {
		response, err := io.ReadAll(conn)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(response)).To(HavePrefix("HTTP/1.1 200"))
		g.Expect(conn.Close()).To(Succeed())
	}
}
