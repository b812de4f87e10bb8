package peer

import (
	"bytes"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"

	"tarragonshore.example/tarragonshore/internal/connection/wire"
)

// maxRetainedBytes is the size in bytes above which a link drops its read buffer
// before the next message.
const maxRetainedBytes = 32 << 10

// link is one WebSocket connection to a peer.
type link struct {
	hub    *Hub
	conn   *websocket.Conn
	peer   Identity
	number uint64

	queue *sendQueue // frames that the write loop has to send

	buffer  bytes.Buffer // the last message, used by the read loop only
	pending []byte       // the part of buffer that is not decoded yet

	dialed       bool
	opened       time.Time
	lastReceived atomic.Int64 // time of the last received message, in ns since opened
	lastUsed     atomic.Int64 // time of the last message other than pings, either way, in ns since opened
	pingSent     atomic.Int64 // time of the last ping, in ns since opened; 0: none
	usable       atomic.Bool  // may be the current link: dialed, or a message has arrived

	closeOnce sync.Once
	done      chan struct{}
	reason    string // set before done is closed
}

// Peer implements Link.
func (l *link) Peer() Identity { return l.peer }

// Number implements Link.
func (l *link) Number() uint64 { return l.number }

// Send implements Link. It does not wait for the network.
func (l *link) Send(m wire.Message) error {
	frame, err := wire.Encode(m)
	if err != nil {
		return err
	}
	if l.isClosed() {
		return ErrClosed
	}
	if !l.queue.push(frame) {
		l.Close("the send queue is full, since the peer does not read")
		return ErrClosed
	}
	if isKeepAlive(m) || l.hub.cfg.IdlePingInterval == 0 {
		return nil
	}
	if wasIdle := l.markUsed(); wasIdle {
		l.ping(l.age()) // the connection may have gone silent while it was idle
	}
	return nil
}

// writeLoop writes queued frames until the link is closed. It closes the link if a
// write takes longer than Config.SilenceTimeout, since the peer then does not read.
func (l *link) writeLoop() {
	stallTimer := time.AfterFunc(l.hub.cfg.SilenceTimeout, func() { l.Close("a write took longer than the silence time-out") })
	defer stallTimer.Stop()
	for {
		stallTimer.Stop()
		select {
		case <-l.done:
			return
		case <-l.queue.wake:
			stallTimer.Reset(l.hub.cfg.SilenceTimeout)
			if err := l.writeQueued(stallTimer); err != nil {
				l.Close("write failed: " + err.Error())
				return
			}
		}
	}
}

// writeQueued writes frames until the queue is empty or the link is closed. It
// restarts the timer before each write.
func (l *link) writeQueued(stallTimer *time.Timer) error {
	for ; !l.isClosed(); stallTimer.Reset(l.hub.cfg.SilenceTimeout) {
		frames, ok := l.queue.pop(maxBatchBytes)
		if !ok {
			return nil
		}
		if err := l.conn.Write(context.Background(), websocket.MessageBinary, frames); err != nil {
			return err
		}
	}
	return nil
}

// Close implements Link.
func (l *link) Close(reason string) {
	l.closeOnce.Do(func() {
		l.reason = reason
		close(l.done)
		// CloseNow waits for a read in progress, and the caller may be the read loop.
		go func() { _ = l.conn.CloseNow() }()
	})
}

func (l *link) isClosed() bool {
	select {
	case <-l.done:
		return true
	default:
		return false
	}
}

// write sends a message directly, without the queue, before the write loop runs.
func (l *link) write(ctx context.Context, m wire.Message) error {
	frame, err := wire.Encode(m)
	if err != nil {
		return err
	}
	return l.conn.Write(ctx, websocket.MessageBinary, frame)
}

// read returns the next message. A WebSocket message holds one or more frames.
func (l *link) read(ctx context.Context) (wire.Message, error) {
	if len(l.pending) == 0 {
		if l.buffer.Cap() > maxRetainedBytes {
			l.buffer = bytes.Buffer{}
		}
		l.buffer.Reset()
		kind, reader, err := l.conn.Reader(ctx)
		if err != nil {
			return nil, err
		}
		if kind != websocket.MessageBinary {
			return nil, &wire.FrameError{Reason: "a text message, not a binary one"}
		}
		if _, err := l.buffer.ReadFrom(reader); err != nil {
			return nil, err
		}
		l.pending = l.buffer.Bytes()
	}
	m, rest, err := wire.DecodeFirst(l.pending)
	l.pending = rest
	return m, err
}

// exchangeHellos sends a Hello, receives that of the peer and returns its identity.
func (l *link) exchangeHellos(ctx context.Context) (Identity, error) {
	self := l.hub.self
	hello := wire.Hello{Member: self.Member, Incarnation: self.Incarnation, Zone: self.Zone}
	if err := l.write(ctx, hello); err != nil {
		return Identity{}, err
	}
	m, err := l.read(ctx)
	if err != nil {
		return Identity{}, err
	}
	other, ok := m.(*wire.Hello)
	if !ok {
		return Identity{}, &wire.FrameError{Reason: "the first message is not a Hello"}
	}
	return Identity{Member: other.Member, Incarnation: other.Incarnation, Zone: other.Zone}, nil
}

// readLoop passes received messages to the handler until the link is closed or a read
// fails, and returns the reason. It responds to pings itself.
func (l *link) readLoop() string {
	var silence *time.Timer
	if l.hub.cfg.IdlePingInterval == 0 {
		silence = l.closeWhenSilent()
		defer silence.Stop()
	}
	for {
		// Close interrupts the read. A context with a deadline for each read would cost
		// a timer per message.
		m, err := l.read(context.Background())
		if err != nil {
			if l.isClosed() {
				return l.reason
			}
			return err.Error()
		}
		if silence != nil {
			silence.Reset(l.hub.cfg.SilenceTimeout)
		}
		l.lastReceived.Store(int64(l.age()))
		if l.usable.CompareAndSwap(false, true) {
			l.hub.promote(l)
		}
		switch ping := m.(type) {
		case *wire.Ping:
			if err := l.Send(wire.Pong{Number: ping.Number}); err != nil {
				return err.Error()
			}
		case *wire.Pong, *wire.Hello:
		default:
			l.markUsed()
			l.hub.handler.Receive(l, m)
		}
	}
}
