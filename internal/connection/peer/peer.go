// Package peer manages the links between daemons, which are WebSocket connections.
//
// A Hub holds the links that its daemon dialed, usually one per member, and any number
// that peers dialed. An accepted link is used for sending only after a message has
// arrived on it, since a peer's Probe ends right after the Hello. The side that dials a
// link therefore sends a Ping at once. A link without any message for Config.SilenceTimeout is closed, so
// that a connection whose state was lost in the network, for example in a firewall, is
// replaced in a bounded time. The Handler settles the requests that were in flight on a
// closed link.
package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"

	"tarragonshore.example/tarragonshore/internal/connection/network"
	"tarragonshore.example/tarragonshore/internal/connection/wire"
)

// maxHandshakeBytes bounds the response to a WebSocket handshake.
const maxHandshakeBytes = 16 << 10

// Path is the path on the peer port at which a daemon accepts links.
const Path = "/peer"

// Identity is what a daemon states about itself in the first message on a link.
type Identity struct {
	Member      string
	Incarnation uint64
	Zone        string
}

// Link sends messages to one peer. It is safe for concurrent use.
type Link interface {
	// Peer returns the identity that the peer stated in its Hello.
	Peer() Identity
	// Number returns a number above 0 that is unique among the links of a hub.
	Number() uint64
	// Send queues one message and does not block. If it returns no error, the
	// message can still be lost, since the link may be closed before it is written.
	Send(m wire.Message) error
	// Close closes the link. Handler.LinkDown gets the reason.
	Close(reason string)
}

// Handler handles the events of all links of a Hub. For each link, Receive is called
// with the messages in the order of their arrival, and must not block.
type Handler interface {
	LinkUp(l Link)
	LinkDown(l Link, reason string)
	Receive(l Link, m wire.Message)
}

// Config holds the timing of links and how they are dialed.
type Config struct {
	// PingInterval is the time without a received message after which a ping is
	// sent. A shorter interval costs more messages and allows a shorter
	// SilenceTimeout.
	PingInterval time.Duration
	// IdlePingInterval replaces PingInterval on links that have carried nothing but pings
	// for some seconds. Most links of a large fleet are rarely used. The first message on
	// such a link is followed by a ping. With 0, all links are pinged at PingInterval.
	IdlePingInterval time.Duration
	// MinCheckInterval is the least time between two checks of the links, by which pings
	// and the end of a silent link may be late. A longer one costs fewer wake-ups. It has
	// no effect without IdlePingInterval.
	MinCheckInterval time.Duration
	// SilenceTimeout is the time without a received message after which a link is closed.
	// It has to be several times PingInterval, since a busy peer responds late.
	SilenceTimeout time.Duration
	// DialTimeout bounds the time to connect and to exchange Hello messages.
	DialTimeout time.Duration
	// Dial opens a TCP connection; nil means network.System.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// DefaultConfig replaces a link that receives nothing within 3 s: it is closed after
// 2.5 s without a message, and dialing a new one takes up to 0.5 s.
var DefaultConfig = Config{
	PingInterval:   time.Second,
	SilenceTimeout: 2500 * time.Millisecond,
	DialTimeout:    500 * time.Millisecond,
}

// Errors of a Hub.
var (
	// ErrClosed means that the hub or the link was closed.
	ErrClosed = errors.New("peer link is closed; retry on a new link")
	// ErrWrongMember means that another member answered at the address.
	ErrWrongMember = errors.New("another member answers at this address; wait until the membership has its new address")
)

// Hub manages the links of a daemon.
type Hub struct {
	self    Identity
	cfg     Config
	handler Handler
	client  *http.Client
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup

	mu        sync.Mutex
	current   map[string]*link // by member, the link to send on
	openLinks map[*link]struct{}
	dials     map[string]*dial // in progress, by member and address
	closed    bool
	opened    uint64 // number of links opened so far, also the number of the last one
}

// dial is an attempt to open a link, for which several callers may wait.
type dial struct {
	done chan struct{}
	link *link
	err  error
}

// NewHub returns a hub without links.
func NewHub(self Identity, cfg Config, handler Handler) *Hub {
	ctx, cancel := context.WithCancel(context.Background())
	if cfg.Dial == nil {
		cfg.Dial = network.System{}.Dial
	}
	return &Hub{
		self:      self,
		cfg:       cfg,
		handler:   handler,
		client:    newClient(cfg),
		ctx:       ctx,
		cancel:    cancel,
		current:   make(map[string]*link),
		openLinks: make(map[*link]struct{}),
		dials:     make(map[string]*dial),
	}
}

// newClient returns the HTTP client for WebSocket handshakes. It does not reuse
// connections, since each becomes a link. net/http continues a dial after the request
// that started it was cancelled, so the dial needs a timeout of its own.
func newClient(cfg Config) *http.Client {
	dial := func(ctx context.Context, _, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, cfg.DialTimeout)
		defer cancel()
		return cfg.Dial(ctx, address)
	}
	return &http.Client{Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true, MaxResponseHeaderBytes: maxHandshakeBytes}}
}

// Current returns the current link to a member, if there is one.
func (h *Hub) Current(member string) (Link, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	l, ok := h.current[member]
	if !ok || l.isClosed() {
		return nil, false
	}
	return l, true
}

// Link returns the current link to a member, or dials one if there is none.
// Concurrent calls for the same member and address share one dial.
func (h *Hub) Link(ctx context.Context, member, address string) (Link, error) {
	h.mu.Lock()
	if h.closed {
		h.mu.Unlock()
		return nil, ErrClosed
	}
	if l, ok := h.current[member]; ok && !l.isClosed() {
		h.mu.Unlock()
		return l, nil
	}
	h.mu.Unlock()
	return h.Redial(ctx, member, address)
}

// Redial dials a new link to a member even if there is one, for use if the current
// link may no longer work. The new link becomes the current one. Concurrent calls for
// the same member and address share one dial.
func (h *Hub) Redial(ctx context.Context, member, address string) (Link, error) {
	h.mu.Lock()
	if h.closed {
		h.mu.Unlock()
		return nil, ErrClosed
	}
	key := member + "@" + address
	d, ok := h.dials[key]
	if !ok {
		d = &dial{done: make(chan struct{})}
		h.dials[key] = d
		h.wg.Add(1)
		go h.runDial(d, key, member, address)
	}
	h.mu.Unlock()
	select {
	case <-d.done:
		if d.err != nil {
			return nil, d.err
		}
		return d.link, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Probe connects to an address and returns the identity of the daemon there, without
// opening a link. The error wraps syscall.ECONNREFUSED if nothing listens there.
func (h *Hub) Probe(ctx context.Context, address string) (Identity, error) {
	ctx, cancel := context.WithTimeout(ctx, h.cfg.DialTimeout)
	defer cancel()
	conn, err := h.dial(ctx, address)
	if err != nil {
		return Identity{}, err
	}
	defer func() { _ = conn.CloseNow() }()
	l := &link{hub: h, conn: conn}
	return l.exchangeHellos(ctx)
}

// LinkCount returns the number of open links.
func (h *Hub) LinkCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.openLinks)
}

// Broadcast sends a message on all open links and ignores errors.
func (h *Hub) Broadcast(m wire.Message) {
	for _, l := range h.links() {
		_ = l.Send(m)
	}
}

// Close closes all links and waits for their goroutines.
func (h *Hub) Close() {
	h.mu.Lock()
	h.closed = true
	h.mu.Unlock()
	h.cancel()
	for _, l := range h.links() {
		l.Close("this daemon closed all its links")
	}
	h.wg.Wait()
}

// ServeHTTP accepts a link that a peer dials, and runs it until it is closed.
func (h *Hub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !h.addGoroutine() {
		http.Error(w, ErrClosed.Error(), http.StatusServiceUnavailable)
		return
	}
	defer h.wg.Done()
	conn, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		return // Accept has sent an HTTP error
	}
	l, err := h.open(h.ctx, conn, "")
	if err != nil {
		_ = conn.CloseNow()
		return
	}
	h.run(l)
}

// addGoroutine registers the calling goroutine, for which Close then waits until it
// calls wg.Done. It returns false if the hub is closed.
func (h *Hub) addGoroutine() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.closed {
		h.wg.Add(1)
	}
	return !h.closed
}

// runDial opens a link, hands the result to the callers that wait for the dial, and
// runs the link until it is closed.
func (h *Hub) runDial(d *dial, key, member, address string) {
	defer h.wg.Done()
	l, err := h.connect(member, address)
	h.mu.Lock()
	delete(h.dials, key)
	h.mu.Unlock()
	d.link, d.err = l, err
	close(d.done)
	if err == nil {
		h.run(l)
	}
}

// connect dials an address and opens a link to the member there.
func (h *Hub) connect(member, address string) (*link, error) {
	ctx, cancel := context.WithTimeout(h.ctx, h.cfg.DialTimeout)
	defer cancel()
	conn, err := h.dial(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("dial %s at %s: %w", member, address, err)
	}
	l, err := h.open(ctx, conn, member)
	if err != nil {
		_ = conn.CloseNow()
		return nil, fmt.Errorf("open link to %s at %s: %w", member, address, err)
	}
	return l, nil
}

// dial opens a WebSocket connection.
func (h *Hub) dial(ctx context.Context, address string) (*websocket.Conn, error) {
	conn, response, err := websocket.Dial(ctx, "ws://"+address+Path, &websocket.DialOptions{
		CompressionMode: websocket.CompressionDisabled,
		HTTPClient:      h.client,
	})
	if err != nil {
		return nil, err
	}
	if response.Body != nil {
		_ = response.Body.Close()
	}
	conn.SetReadLimit(wire.MaxFrameBytes)
	return conn, nil
}

// open exchanges Hello messages and registers the link. If expectedMember is empty,
// any member is accepted.
func (h *Hub) open(ctx context.Context, conn *websocket.Conn, expectedMember string) (*link, error) {
	conn.SetReadLimit(wire.MaxFrameBytes)
	ctx, cancel := context.WithTimeout(ctx, h.cfg.DialTimeout)
	defer cancel()
	l := &link{hub: h, conn: conn, dialed: expectedMember != "", opened: time.Now(), queue: newSendQueue(), done: make(chan struct{})}
	var err error
	if l.peer, err = l.exchangeHellos(ctx); err != nil {
		return nil, err
	}
	if expectedMember != "" && l.peer.Member != expectedMember {
		return nil, ErrWrongMember
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return nil, ErrClosed
	}
	if h.opened++; h.opened == 1 && h.cfg.IdlePingInterval > 0 {
		h.wg.Go(h.keepLinksAlive)
	}
	l.number = h.opened
	h.openLinks[l] = struct{}{}
	if l.dialed {
		l.usable.Store(true)
		h.current[l.peer.Member] = l
	}
	return l, nil
}

// promote makes an accepted link the current one to its member.
func (h *Hub) promote(l *link) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, open := h.openLinks[l]; open && !l.isClosed() {
		h.current[l.peer.Member] = l
	}
}

// run runs the loops of a registered link until it is closed, and removes it.
func (h *Hub) run(l *link) {
	h.handler.LinkUp(l)
	var loops sync.WaitGroup
	loops.Go(l.writeLoop)
	if h.cfg.IdlePingInterval == 0 {
		loops.Go(l.pingLoop)
	}
	if l.dialed {
		l.ping(l.age())
	}
	reason := l.readLoop()
	l.Close(reason)
	loops.Wait()
	h.remove(l)
	h.handler.LinkDown(l, reason)
}

// remove unregisters a link. If it was the current one, another open link to the same
// member becomes the current one.
func (h *Hub) remove(l *link) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.openLinks, l)
	if h.current[l.peer.Member] != l {
		return
	}
	delete(h.current, l.peer.Member)
	for other := range h.openLinks {
		if other.peer.Member == l.peer.Member && other.usable.Load() && !other.isClosed() {
			h.current[l.peer.Member] = other
			return
		}
	}
}
