package peer

import (
	"time"

	"tarragonshore.example/tarragonshore/internal/connection/wire"
)

const (
	// checksPerPing is the number of checks of all links within a PingInterval.
	checksPerPing = 4
	// activeTime is how long after its last message, other than pings, a link counts as
	// in use. Links that are not in use are pinged at IdlePingInterval.
	activeTime = 5 * time.Second
)

// isKeepAlive reports whether a message only keeps the link alive.
func isKeepAlive(m wire.Message) bool {
	switch m.Type() {
	case wire.TypePing, wire.TypePong, wire.TypeHello:
		return true
	}
	return false
}

// age returns the time since the link was opened.
func (l *link) age() time.Duration { return time.Since(l.opened) }

// markUsed records that the link carries a message other than pings. It returns true if
// it was not in use.
func (l *link) markUsed() (wasIdle bool) {
	now := l.age()
	return now-time.Duration(l.lastUsed.Swap(int64(now))) > activeTime
}

// ping sends a ping at a time since the link was opened.
func (l *link) ping(now time.Duration) {
	l.pingSent.Store(int64(max(1, now)))
	_ = l.Send(wire.Ping{Number: uint64(now)}) // fails if the link has closed, which readLoop reports
}

// pingInterval returns the time without a received message after which the link is
// pinged. The side that accepted the link waits a quarter longer, so that on an idle link
// only the side that dialed sends pings.
func (l *link) pingInterval(now time.Duration) time.Duration {
	interval := l.hub.cfg.PingInterval
	if idle := l.hub.cfg.IdlePingInterval; idle > 0 && now-time.Duration(l.lastUsed.Load()) > activeTime {
		interval = idle
	}
	if !l.dialed {
		interval += interval / 4
	}
	return interval
}

// verdict is what a check of a link results in.
type verdict uint8

// The verdicts.
const (
	keepLink  verdict = iota
	pingLink          // the link has been silent for pingInterval
	awaitPong         // messages may have arrived that this process has not read yet
	closeLink         // the peer did not answer a ping
)

// verdict decides what to do with a link at a time since it was opened. resumed is true
// if this process was delayed.
func (l *link) verdict(now time.Duration, resumed bool) verdict {
	received, pinged := time.Duration(l.lastReceived.Load()), time.Duration(l.pingSent.Load())
	silence := now - received
	outstanding := pinged > received
	switch {
	case outstanding && resumed:
		return awaitPong
	case outstanding && silence >= l.hub.cfg.SilenceTimeout && now-pinged >= l.hub.cfg.SilenceTimeout-l.hub.cfg.PingInterval:
		return closeLink
	case !outstanding && silence >= l.pingInterval(now):
		return pingLink
	}
	return keepLink
}

// check carries out the verdict on a link.
func (l *link) check(now time.Duration, resumed bool) {
	switch l.verdict(now, resumed) {
	case pingLink:
		l.ping(now)
	case awaitPong:
		l.pingSent.Store(int64(now))
	case closeLink:
		l.Close("no message for " + (now - time.Duration(l.lastReceived.Load())).Round(time.Millisecond).String())
	}
}

// checkInterval returns the time between two checks of a link.
func (h *Hub) checkInterval() time.Duration { return h.cfg.PingInterval / checksPerPing }

// keepLinksAlive checks all links at intervals until the hub is closed. One loop for all
// of them costs less than timers and a goroutine for each link.
func (h *Hub) keepLinksAlive() {
	ticker := time.NewTicker(h.checkInterval())
	defer ticker.Stop()
	for last := time.Now(); ; {
		select {
		case <-h.ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		resumed := now.Sub(last) > h.cfg.PingInterval
		last = now
		for _, l := range h.links() {
			l.check(l.age(), resumed)
		}
	}
}

// links returns the open links.
func (h *Hub) links() []*link {
	h.mu.Lock()
	defer h.mu.Unlock()
	links := make([]*link, 0, len(h.openLinks))
	for l := range h.openLinks {
		links = append(links, l)
	}
	return links
}
