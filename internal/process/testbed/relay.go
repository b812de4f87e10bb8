package testbed

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// Relay passes TCP connections on to a target and can cut them or make them
// silent, as a device between two hosts does that has lost track of them.
type Relay struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	conns map[*relayed]struct{}
}

// relayed is one connection through the relay.
type relayed struct {
	inbound, outbound net.Conn
	silent            atomic.Bool
}

// NewRelay listens on a free port of the loopback address.
func NewRelay(target string) (*Relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: listener, target: target, conns: make(map[*relayed]struct{})}
	go r.accept()
	return r, nil
}

// Address returns where the relay listens.
func (r *Relay) Address() string { return r.listener.Addr().String() }

func (r *Relay) accept() {
	for {
		inbound, err := r.listener.Accept()
		if err != nil {
			return
		}
		outbound, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = inbound.Close()
			continue
		}
		c := &relayed{inbound: inbound, outbound: outbound}
		r.mu.Lock()
		r.conns[c] = struct{}{}
		r.mu.Unlock()
		go r.copy(c, outbound, inbound)
		go r.copy(c, inbound, outbound)
	}
}

// copy passes bytes in one direction. A silent connection swallows them and
// stays open.
func (r *Relay) copy(c *relayed, to io.Writer, from io.Reader) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !c.silent.Load() {
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	if c.silent.Load() {
		return // neither end learns that the other one closed
	}
	r.forget(c)
}

func (r *Relay) forget(c *relayed) {
	_ = c.inbound.Close()
	_ = c.outbound.Close()
	r.mu.Lock()
	delete(r.conns, c)
	r.mu.Unlock()
}

// Silence makes the open connections silent for good. New ones work.
func (r *Relay) Silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		c.silent.Store(true)
	}
}

// Cut closes the open connections.
func (r *Relay) Cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.inbound.Close()
		_ = c.outbound.Close()
	}
}

// Close ends the relay.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.Cut()
}
