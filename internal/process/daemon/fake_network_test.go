package daemon

import (
	"context"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// fakeNetwork is an in-memory network with fault injection. With testing/synctest,
// whole daemons run on it in virtual time.
type fakeNetwork struct {
	delay time.Duration // one way, between hosts

	mu        sync.Mutex
	listeners map[netip.AddrPort]*fakeListener
	packets   map[netip.AddrPort]*fakePacketConn
	flows     map[*fakeFlow]struct{}
	cut       map[[2]netip.Addr]bool // from, to
}

func newFakeNetwork(delay time.Duration) *fakeNetwork {
	return &fakeNetwork{
		delay:     delay,
		listeners: make(map[netip.AddrPort]*fakeListener),
		packets:   make(map[netip.AddrPort]*fakePacketConn),
		flows:     make(map[*fakeFlow]struct{}),
		cut:       make(map[[2]netip.Addr]bool),
	}
}

// setCut blocks or unblocks the traffic from one host to another.
func (n *fakeNetwork) setCut(from, to netip.Addr, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]netip.Addr{from, to}] = cut
}

func (n *fakeNetwork) isCut(from, to netip.Addr) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[[2]netip.Addr{from, to}]
}

// silence makes the open connections between two hosts drop all data from now on, in
// both directions, without closing them. New connections work.
func (n *fakeNetwork) silence(a, b netip.Addr) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for flow := range n.flows {
		if flow.from == a && flow.to == b || flow.from == b && flow.to == a {
			flow.silent.Store(true)
		}
	}
}

// host returns the network as seen from a host.
func (n *fakeNetwork) host(address netip.Addr) *fakeHost { return &fakeHost{net: n, address: address} }

// fakeHost implements network.Network.
type fakeHost struct {
	net     *fakeNetwork
	address netip.Addr
}

func (h *fakeHost) Listen(address netip.AddrPort) (net.Listener, error) {
	l := &fakeListener{net: h.net, address: address, accepted: make(chan net.Conn), closed: make(chan struct{})}
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	h.net.listeners[address] = l
	return l, nil
}

func (h *fakeHost) Dial(ctx context.Context, target string) (net.Conn, error) {
	address, err := netip.ParseAddrPort(target)
	if err != nil {
		return nil, err
	}
	if h.net.isCut(h.address, address.Addr()) || h.net.isCut(address.Addr(), h.address) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	h.net.mu.Lock()
	l := h.net.listeners[address]
	h.net.mu.Unlock()
	if l == nil {
		return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	}
	near, far := h.net.connect(h.address, address.Addr())
	select {
	case l.accepted <- far:
		return near, nil
	case <-l.closed:
		return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// dialTCP is Dial for an http.Transport.
func (h *fakeHost) dialTCP(ctx context.Context, _, target string) (net.Conn, error) {
	return h.Dial(ctx, target)
}

// fakeFlow is one direction of a connection.
type fakeFlow struct {
	from, to netip.Addr
	silent   atomic.Bool
}

// connect returns the two ends of a new connection. Each is a pipe; one copier per
// direction connects them.
func (n *fakeNetwork) connect(a, b netip.Addr) (near, far net.Conn) {
	near, nearEnd := net.Pipe()
	far, farEnd := net.Pipe()
	n.flow(&fakeFlow{from: a, to: b}, nearEnd, farEnd)
	n.flow(&fakeFlow{from: b, to: a}, farEnd, nearEnd)
	return near, far
}

// flow copies one direction. A flow that has dropped data stays silent, since a TCP
// stream cannot continue without it.
func (n *fakeNetwork) flow(f *fakeFlow, from, to net.Conn) {
	n.mu.Lock()
	n.flows[f] = struct{}{}
	n.mu.Unlock()
	chunks := make(chan []byte, 1024)
	go func() {
		defer close(chunks)
		for {
			buffer := make([]byte, 16<<10)
			count, err := from.Read(buffer)
			if err != nil {
				return
			}
			if n.isCut(f.from, f.to) {
				f.silent.Store(true)
			}
			if !f.silent.Load() {
				chunks <- buffer[:count]
			}
		}
	}()
	go func() {
		for chunk := range chunks {
			time.Sleep(n.delay)
			if _, err := to.Write(chunk); err != nil {
				break
			}
		}
		_ = from.Close()
		if !f.silent.Load() {
			_ = to.Close()
		}
		for range chunks { // drained, so that the reading goroutine ends
		}
		n.mu.Lock()
		delete(n.flows, f)
		n.mu.Unlock()
	}()
}

// fakeListener implements net.Listener.
type fakeListener struct {
	net      *fakeNetwork
	address  netip.AddrPort
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

func (l *fakeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accepted:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *fakeListener) Close() error {
	l.once.Do(func() { closeSocket(l.net, l.closed, l.net.listeners, l.address, l) })
	return nil
}

// closeSocket closes a listener or packet socket. It frees the address unless a later
// socket uses it.
func closeSocket[S comparable](n *fakeNetwork, closed chan struct{}, sockets map[netip.AddrPort]S, address netip.AddrPort, socket S) {
	close(closed)
	n.mu.Lock()
	defer n.mu.Unlock()
	if sockets[address] == socket {
		delete(sockets, address)
	}
}

func (l *fakeListener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.address) }

// fakePacket is a datagram on its way.
type fakePacket struct {
	data []byte
	from netip.AddrPort
}

// fakePacketConn implements the methods of net.PacketConn that daemons use.
type fakePacketConn struct {
	net.PacketConn
	net      *fakeNetwork
	address  netip.AddrPort
	received chan fakePacket
	closed   chan struct{}
	once     sync.Once
}

func (h *fakeHost) ListenPacket(address netip.AddrPort) (net.PacketConn, error) {
	c := &fakePacketConn{net: h.net, address: address, received: make(chan fakePacket, 4096), closed: make(chan struct{})}
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	h.net.packets[address] = c
	return c, nil
}

func (c *fakePacketConn) ReadFrom(buffer []byte) (int, net.Addr, error) {
	select {
	case p := <-c.received:
		return copy(buffer, p.data), net.UDPAddrFromAddrPort(p.from), nil
	case <-c.closed:
		return 0, nil, net.ErrClosed
	}
}

func (c *fakePacketConn) WriteTo(data []byte, to net.Addr) (int, error) {
	target := to.(*net.UDPAddr).AddrPort()
	target = netip.AddrPortFrom(target.Addr().Unmap(), target.Port())
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	other := c.net.packets[target]
	if other == nil || c.net.cut[[2]netip.Addr{c.address.Addr(), target.Addr()}] {
		return len(data), nil
	}
	select {
	case other.received <- fakePacket{data: append([]byte(nil), data...), from: c.address}:
	default: // dropped, as by a full socket buffer
	}
	return len(data), nil
}

func (c *fakePacketConn) Close() error {
	c.once.Do(func() { closeSocket(c.net, c.closed, c.net.packets, c.address, c) })
	return nil
}

func (c *fakePacketConn) LocalAddr() net.Addr { return net.UDPAddrFromAddrPort(c.address) }
