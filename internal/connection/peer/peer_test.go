package peer

import (
	"context"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"tarragonshore.example/tarragonshore/internal/connection/wire"
)

// recorder is a Handler that counts the received messages.
type recorder struct {
	mu       sync.Mutex
	received int
}

func (*recorder) LinkUp(Link)           {}
func (*recorder) LinkDown(Link, string) {}
func (r *recorder) Receive(Link, wire.Message) {
	r.mu.Lock()
	r.received++
	r.mu.Unlock()
}

func (r *recorder) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.received
}

// startHub starts a hub and returns its address.
func startHub(t *testing.T, member string) (*Hub, *recorder, string) {
	t.Helper()
	handler := &recorder{}
	h := NewHub(Identity{Member: member, Incarnation: 1}, DefaultConfig, handler)
	server := httptest.NewServer(h)
	t.Cleanup(func() {
		h.Close()
		server.Close()
	})
	return h, handler, strings.TrimPrefix(server.URL, "http://")
}

// Guards against messages that are lost on the connection of a probe: the probed daemon
// took it for its current link to the prober, and the prober closed it at once.
func TestProbeDoesNotReplaceTheCurrentLink(t *testing.T) {
	g := NewWithT(t)
	prober, received, _ := startHub(t, "prober")
	probed, _, address := startHub(t, "probed")
	_, err := prober.Link(context.Background(), "probed", address)
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(func() bool { _, ok := probed.Current("prober"); return ok }, "1s", "1ms").Should(BeTrue())
	former, _ := probed.Current("prober")

	// The connection of a probe that the prober has not closed yet.
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	conn, err := prober.dial(ctx, address)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.CloseNow() }()
	_, err = (&link{hub: prober, conn: conn}).exchangeHellos(ctx)
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(probed.LinkCount, "1s", "1ms").Should(Equal(2))

	current, _ := probed.Current("prober")
	g.Expect(current.Number()).To(Equal(former.Number()))
	g.Expect(current.Send(wire.GoAway{})).To(Succeed())
	g.Eventually(received.count, "1s", "1ms").Should(Equal(1))
	for range 20 {
		_, err := prober.Probe(ctx, address)
		g.Expect(err).NotTo(HaveOccurred())
		current, ok := probed.Current("prober")
		g.Expect(ok).To(BeTrue())
		g.Expect(current.Number()).To(Equal(former.Number()))
	}
}

// Guards against an accepted link that is not used although its dialer waits for
// messages on it: the dialer's first ping makes it usable at once.
func TestAcceptedLinkIsUsedAfterItsFirstMessage(t *testing.T) {
	g := NewWithT(t)
	dialer, received, _ := startHub(t, "dialer")
	acceptor, _, address := startHub(t, "acceptor")
	_, err := dialer.Link(context.Background(), "acceptor", address)
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(func() bool { _, ok := acceptor.Current("dialer"); return ok }, DefaultConfig.PingInterval/2, "1ms").Should(BeTrue())
	current, _ := acceptor.Current("dialer")
	g.Expect(current.Send(wire.GoAway{})).To(Succeed())
	g.Eventually(received.count, "1s", "1ms").Should(Equal(1))
}
