package peer

import (
	"time"

	"tarragonshore.example/tarragonshore/internal/connection/wire"
)

const (
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

// activePingInterval returns the time without a received message after which a link in
// use is pinged. The side that accepted the link waits a quarter longer, so that on an
// idle link only the side that dialed sends pings.
func (l *link) activePingInterval() time.Duration {
	if !l.dialed {
		return l.hub.cfg.PingInterval * 5 / 4
	}
	return l.hub.cfg.PingInterval
}

// pingInterval is activePingInterval for the link as it is used now.
func (l *link) pingInterval(now time.Duration) time.Duration {
	idle := l.hub.cfg.IdlePingInterval
	switch {
	case now-time.Duration(l.lastUsed.Load()) <= activeTime:
		return l.activePingInterval()
	case !l.dialed:
		return idle * 5 / 4
	}
	return idle
}

// due returns when the link has to be checked, since it was opened: when a ping is to be
// sent, or when the answer to a ping is too late.
func (l *link) due(now time.Duration) time.Duration {
	received, pinged := time.Duration(l.lastReceived.Load()), time.Duration(l.pingSent.Load())
	if pinged > received {
		return max(received+l.hub.cfg.SilenceTimeout, pinged+l.hub.cfg.SilenceTimeout-l.activePingInterval())
	}
	return received + l.pingInterval(now)
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
	outstanding := l.pingSent.Load() > l.lastReceived.Load()
	switch {
	case now < l.due(now):
		return keepLink
	case !outstanding:
		return pingLink
	case resumed:
		return awaitPong
	}
	return closeLink
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

// keepLinksAlive checks the links when they are due, until the hub is closed, if
// IdlePingInterval is set. One loop for all links costs less than the timers and the
// goroutine of each link that a hub without IdlePingInterval has (pingLoop).
func (h *Hub) keepLinksAlive() {
	// A link that is opened, or pinged on its first use, while the loop waits is due
	// later than a PingInterval from then.
	wait := h.cfg.PingInterval
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for last := time.Now(); ; timer.Reset(wait) {
		select {
		case <-h.ctx.Done():
			return
		case <-timer.C:
		}
		now := time.Now()
		resumed := now.Sub(last) > 2*h.cfg.PingInterval
		last, wait = now, h.cfg.PingInterval
		for _, l := range h.links() {
			l.check(l.age(), resumed)
			wait = min(wait, l.due(l.age())-l.age())
		}
		wait = max(wait, h.cfg.MinCheckInterval)
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

// pingLoop sends a ping when nothing has been received for activePingInterval, until the
// link is closed.
func (l *link) pingLoop() {
	interval := l.activePingInterval()
	timer := time.NewTimer(interval)
	defer timer.Stop()
	for {
		select {
		case <-l.done:
			return
		case <-timer.C:
		}
		now := l.age()
		if idle := now - time.Duration(l.lastReceived.Load()); idle < interval {
			timer.Reset(interval - idle)
			continue
		}
		l.ping(now)
		timer.Reset(interval)
	}
}

// closeWhenSilent closes the link when the returned timer is not reset for
// SilenceTimeout.
func (l *link) closeWhenSilent() *time.Timer {
	return time.AfterFunc(l.hub.cfg.SilenceTimeout, func() { l.Close("no message for " + l.hub.cfg.SilenceTimeout.String()) })
}
