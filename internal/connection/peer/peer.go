// Package peer keeps the WebSocket links between daemons.
//
// A Hub holds at most one link per member that it dialed and any number that
// peers dialed. A link that stays silent for Config.Silence is closed, so that
// a connection which something in between has lost track of is replaced in a
// bounded time. Requests that were in flight are settled by the Handler.
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

// Path is where a daemon accepts peer links on its peer port.
const Path = "/peer"

// Identity is what a daemon states about itself in its Hello.
type Identity struct {
	Member      string
	Incarnation uint64
	Zone        string
}

// Link sends messages to one peer. It is safe for concurrent use.
type Link interface {
	// Peer returns the identity that the peer stated.
	Peer() Identity
	// Number is unique among the links of a hub, and above 0.
	Number() uint64
	// Send queues one message and does not block. Without an error the message
	// may still be lost, if the link ends before it is written.
	Send(m wire.Message) error
	// Close ends the link.
	Close(reason string)
}

// Handler receives the events of all links of a Hub. Receive is called in the
// order of arrival for one link and must not block.
type Handler interface {
	LinkUp(l Link)
	LinkDown(l Link, reason string)
	Receive(l Link, m wire.Message)
}

// Config holds the times of a link.
type Config struct {
	// PingInterval is the time between pings; shorter finds silent links
	// earlier and costs more messages.
	PingInterval time.Duration
	// Silence is the time without any message after which a link is closed.
	// It has to cover a few pings, since a busy peer answers late.
	Silence time.Duration
	// DialTimeout bounds the connection set-up with both Hellos.
	DialTimeout time.Duration
	// Dial opens TCP connections; nil means the operating system's network.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// DefaultConfig replaces a silent link within 3 s: 2.5 s of silence, then a new dial.
var DefaultConfig = Config{
	PingInterval: time.Second,
	Silence:      2500 * time.Millisecond,
	DialTimeout:  500 * time.Millisecond,
}

// Errors of a Hub.
var (
	// ErrClosed means that the hub or the link was closed.
	ErrClosed = errors.New("peer link is closed; retry on a new link")
	// ErrWrongMember means that another member answered at the address.
	ErrWrongMember = errors.New("another member answers at this address; wait for the membership to catch up")
)

// Hub owns the links of a daemon.
type Hub struct {
	self    Identity
	cfg     Config
	handler Handler
	client  *http.Client
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup

	mu     sync.Mutex
	links  map[string]*link // by member, the newest usable one
	all    map[*link]struct{}
	dials  map[string]*dial // by member and address
	closed bool
	opened uint64 // number of links so far
}

// dial is a connection set-up that several callers wait for.
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
		self:    self,
		cfg:     cfg,
		handler: handler,
		client:  newClient(cfg),
		ctx:     ctx,
		cancel:  cancel,
		links:   make(map[string]*link),
		all:     make(map[*link]struct{}),
		dials:   make(map[string]*dial),
	}
}

// newClient returns the HTTP client for the WebSocket handshakes. Connections
// are never shared, since each becomes a link. net/http lets a dial go on when
// its request has ended, so that the dial needs a time limit of its own.
func newClient(cfg Config) *http.Client {
	dial := func(ctx context.Context, _, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, cfg.DialTimeout)
		defer cancel()
		return cfg.Dial(ctx, address)
	}
	return &http.Client{Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true}}
}

// Existing returns the current link to a member, if there is one.
func (h *Hub) Existing(member string) (Link, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	l, ok := h.links[member]
	if !ok {
		return nil, false
	}
	return l, true
}

// Link returns the current link to a member or dials one. Concurrent calls
// for the same member share one dial.
func (h *Hub) Link(ctx context.Context, member, address string) (Link, error) {
	h.mu.Lock()
	if h.closed {
		h.mu.Unlock()
		return nil, ErrClosed
	}
	if l, ok := h.links[member]; ok {
		h.mu.Unlock()
		return l, nil
	}
	h.mu.Unlock()
	return h.Refresh(ctx, member, address)
}

// Refresh dials a link to a member even if there is one, which may have gone
// silent. The new link becomes the current one. Concurrent calls for the same
// member share one dial.
func (h *Hub) Refresh(ctx context.Context, member, address string) (Link, error) {
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

// Probe connects to an address and returns who answers there. It opens no link.
// The error wraps syscall.ECONNREFUSED if nothing listens at the address.
func (h *Hub) Probe(ctx context.Context, address string) (Identity, error) {
	ctx, cancel := context.WithTimeout(ctx, h.cfg.DialTimeout)
	defer cancel()
	conn, err := h.dial(ctx, address)
	if err != nil {
		return Identity{}, err
	}
	defer func() { _ = conn.CloseNow() }()
	l := &link{hub: h, conn: conn}
	return l.greet(ctx)
}

// Links returns the number of open links.
func (h *Hub) Links() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.all)
}

// Broadcast sends a message on every open link and ignores errors.
func (h *Hub) Broadcast(m wire.Message) {
	h.mu.Lock()
	links := make([]*link, 0, len(h.all))
	for l := range h.all {
		links = append(links, l)
	}
	h.mu.Unlock()
	for _, l := range links {
		_ = l.Send(m)
	}
}

// Close ends all links and waits for their goroutines.
func (h *Hub) Close() {
	h.mu.Lock()
	h.closed = true
	links := make([]*link, 0, len(h.all))
	for l := range h.all {
		links = append(links, l)
	}
	h.mu.Unlock()
	h.cancel()
	for _, l := range links {
		l.Close("hub closed")
	}
	h.wg.Wait()
}

// ServeHTTP accepts a link from a peer and runs it until it ends.
func (h *Hub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !h.enter() {
		http.Error(w, ErrClosed.Error(), http.StatusServiceUnavailable)
		return
	}
	defer h.wg.Done()
	conn, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		return // Accept has written the HTTP error
	}
	l, err := h.open(h.ctx, conn, "")
	if err != nil {
		_ = conn.CloseNow()
		return
	}
	h.run(l)
}

// enter counts a goroutine that Close has to wait for. It returns false if the
// hub is closed.
func (h *Hub) enter() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.closed {
		h.wg.Add(1)
	}
	return !h.closed
}

// runDial connects to a peer, shares the result and runs the link.
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

// connect dials an address and opens the link.
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

// open exchanges Hellos and registers the link. An empty want accepts any member.
func (h *Hub) open(ctx context.Context, conn *websocket.Conn, want string) (*link, error) {
	conn.SetReadLimit(wire.MaxFrameBytes)
	ctx, cancel := context.WithTimeout(ctx, h.cfg.DialTimeout)
	defer cancel()
	l := &link{hub: h, conn: conn, dialed: want != "", opened: time.Now(), out: newSendQueue(), done: make(chan struct{})}
	var err error
	if l.peer, err = l.greet(ctx); err != nil {
		return nil, err
	}
	if want != "" && l.peer.Member != want {
		return nil, ErrWrongMember
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return nil, ErrClosed
	}
	h.opened++
	l.number = h.opened
	h.all[l] = struct{}{}
	h.links[l.peer.Member] = l
	return l, nil
}

// run reads a link until it ends. The caller owns a registered link.
func (h *Hub) run(l *link) {
	h.handler.LinkUp(l)
	var loops sync.WaitGroup
	loops.Go(l.pingLoop)
	loops.Go(l.writeLoop)
	reason := l.readLoop()
	l.Close(reason)
	loops.Wait()
	h.remove(l)
	h.handler.LinkDown(l, reason)
}

// remove forgets a link and makes another one to the same member current.
func (h *Hub) remove(l *link) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.all, l)
	if h.links[l.peer.Member] != l {
		return
	}
	delete(h.links, l.peer.Member)
	for other := range h.all {
		if other.peer.Member == l.peer.Member && !other.isClosed() {
			h.links[l.peer.Member] = other
			return
		}
	}
}
