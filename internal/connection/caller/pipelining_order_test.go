package caller

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"tarragonshore.example/tarragonshore/internal/connection/pipeline"
)

// Guards against a pipelined request that arrives between the head of the one before and the
// call of its handler, and is taken for one that follows the former response. The calls are
// those of http.Server, in an order that depends on the scheduler.
func TestRequestBehindOneWhoseHandlerHasNotBegun(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = listener.Close() }()
	peer, err := net.Dial("tcp", listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = peer.Close() }()
	started := make(chan string, 2)
	server := NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { started <- r.RequestURI }))
	server.EnablePipelining(Pipelining{Route: func(string, string) (bool, int) { return true, 0 }, Stopping: func() bool { return false }, Decided: func(pipeline.Reason, int) {}})
	accepted, err := pipeliningListener{listener, server}.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	c := accepted.(*pipelinedConn)
	c.base = context.Background()
	read := func(target string) *http.Request {
		head := "GET " + target + " HTTP/1.1\r\nHost: test\r\n\r\n"
		_, err := io.WriteString(peer, head)
		g.Expect(err).NotTo(HaveOccurred())
		buffer := make([]byte, len(head))
		_, err = io.ReadFull(c, buffer)
		g.Expect(err).NotTo(HaveOccurred())
		r, err := pipeline.ParseHead(buffer)
		g.Expect(err).NotTo(HaveOccurred())
		return r
	}
	c.begin(read("/1"))
	c.endTurn()
	c.answered = true
	second := read("/2")
	_, err = io.WriteString(peer, "GET /3 HTTP/1.1\r\nHost: test\r\n\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	behind := make(chan error, 1)
	go func() {
		_, err := c.Read(make([]byte, 1))
		behind <- err
	}()
	g.Consistently(behind, "50ms").ShouldNot(Receive(), "it waits for the end of the connection")
	c.begin(second)
	g.Eventually(started, "2s").Should(Receive(Equal("/3")))
	g.Expect(c.Close()).To(Succeed())
	g.Eventually(behind, "2s").Should(Receive(HaveOccurred()))
}
