package peer

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"tarragonshore.example/tarragonshore/internal/connection/wire"
)

var idleConfig = Config{PingInterval: 500 * time.Millisecond, IdlePingInterval: 3 * time.Second, MinCheckInterval: 125 * time.Millisecond, SilenceTimeout: 1300 * time.Millisecond}

// unconnectedLink returns a link whose frames stay in its queue.
func unconnectedLink(cfg Config) *link {
	hub := &Hub{cfg: cfg, openLinks: make(map[*link]struct{})}
	return &link{hub: hub, dialed: true, opened: time.Now(), queue: newSendQueue(), done: make(chan struct{})}
}

// sentFrames removes and counts the queued frames.
func (l *link) sentFrames() (n int) {
	for {
		if _, ok := l.queue.pop(0); !ok {
			return n
		}
		n++
	}
}

// checkFor checks the link for a time, as the hub does, and answers its pings.
func (l *link) checkFor(period time.Duration) (pings int) {
	interval := l.hub.cfg.MinCheckInterval
	for end := time.Now().Add(period); time.Now().Before(end); {
		time.Sleep(interval)
		l.check(l.age(), false)
		sent := l.sentFrames()
		if sent > 0 {
			l.lastReceived.Store(int64(l.age()))
		}
		pings += sent
	}
	return pings
}

// Guards against pings that cost more than the work of a fleet: 69 hosts that opened all
// links to each other spent half of their idle processor time on them (trial on the users'
// bench, kvcj-jury-grown: 31.6 s of processor time before the first request, 14.0 s
// without pings).
func TestIdleLinksAreRarelyPinged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		l := unconnectedLink(idleConfig)
		l.markUsed()
		g.Expect(l.checkFor(activeTime)).To(BeNumerically(">=", 8), "a link in use is watched closely")
		l.checkFor(time.Second)
		g.Expect(l.checkFor(30 * time.Second)).To(BeNumerically("<=", 11))
		g.Expect(l.isClosed()).To(BeFalse())
	})
}

// Guards against attempts that wait for an answer on a connection that went silent while
// it was idle: the first message is followed by a ping, and the link is closed in time.
func TestFirstMessageOnAnIdleLinkIsVerified(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		l := unconnectedLink(idleConfig)
		l.checkFor(20 * time.Second)
		time.Sleep(time.Millisecond)
		g.Expect(l.Send(wire.GoAway{})).To(Succeed())
		g.Expect(l.sentFrames()).To(Equal(2), "the message and a ping")
		g.Expect(l.Send(wire.GoAway{})).To(Succeed())
		g.Expect(l.sentFrames()).To(Equal(1), "the link is in use")
		sent := time.Now()
		l.checkClosing(g, idleConfig.SilenceTimeout)
		g.Expect(time.Since(sent)).To(BeNumerically("<=", idleConfig.SilenceTimeout+l.hub.cfg.MinCheckInterval))
	})
}

// Guards against links that are closed although the peer answered: a process that was
// paused has not read the answers yet.
func TestPausedProcessKeepsItsLinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		l := unconnectedLink(idleConfig)
		l.markUsed()
		time.Sleep(idleConfig.PingInterval)
		l.check(l.age(), false)
		g.Expect(l.sentFrames()).To(Equal(1))
		time.Sleep(10 * time.Second)
		l.check(l.age(), true)
		g.Expect(l.isClosed()).To(BeFalse())
		l.checkClosing(g, idleConfig.SilenceTimeout)
	})
}

// checkClosing checks the link until it is to be closed, and fails if that is later than
// the first check after a time.
func (l *link) checkClosing(g *WithT, limit time.Duration) {
	interval := l.hub.cfg.MinCheckInterval
	for begun := time.Now(); l.verdict(l.age(), false) != closeLink; time.Sleep(interval) {
		g.Expect(time.Since(begun)).To(BeNumerically("<", limit+interval))
	}
}
