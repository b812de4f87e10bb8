package caller

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"tarragonshore.example/tarragonshore/internal/connection/network"
)

const (
	// newConnectionGrace is the time for which Stop waits for the first byte on a new
	// connection. A caller usually sends its request as soon as it is connected.
	newConnectionGrace = 500 * time.Millisecond
	// stopPoll is the interval at which Stop checks the connections.
	stopPoll = 2 * time.Millisecond
	// drainTimeout bounds the time for which Stop accepts pending connections, since
	// callers may keep opening new ones.
	drainTimeout = time.Second
)

// Server is an HTTP server whose Stop responds to every request that it has read.
// http.Server.Shutdown does not: if a request arrives after Shutdown has begun, its
// connection reads the request and is closed without a response.
type Server struct {
	http *http.Server

	mu          sync.Mutex
	connections map[net.Conn]connection
	accepting   bool // true while Serve runs

	pipeliningState
}

// connection is the state of an open connection and the time of its last change.
type connection struct {
	state http.ConnState
	since time.Time
}

// Serve accepts connections until Stop or Close. It always returns an error, which is
// net.ErrClosed or http.ErrServerClosed after Stop or Close.
func (s *Server) Serve(listener net.Listener) error {
	s.setAccepting(true)
	defer s.setAccepting(false)
	if s.pipelining != nil {
		listener = pipeliningListener{listener, s}
	}
	return s.http.Serve(listener)
}

func (s *Server) setAccepting(accepting bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.accepting = accepting
}

// track records the states of the connections; it is the ConnState hook.
func (s *Server) track(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*pipelinedConn); ok && state == http.StateIdle {
		c.answered = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(s.connections, conn)
	default:
		s.connections[conn] = connection{state: state, since: time.Now()}
	}
}

// hasPendingRequests reports whether there may be a request without a response: on an
// active or new connection, or on one that Serve accepts but track does not know yet.
func (s *Server) hasPendingRequests(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.connections {
		if c.state == http.StateActive || c.state == http.StateNew && now.Sub(c.since) < newConnectionGrace {
			return true
		}
	}
	return s.accepting
}

// Stop accepts the connections that are pending at the listener, closes the listener,
// writes the responses to the requests that run ahead, responds to all requests with
// "Connection: close", and closes each connection when it is idle. The error is that of ctx if ctx ended before all requests had a response.
func (s *Server) Stop(ctx context.Context, listener net.Listener) error {
	drain, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	drainErr := network.Drain(drain, listener)
	if errors.Is(drainErr, net.ErrClosed) || ctx.Err() == nil && drain.Err() != nil {
		drainErr = nil // callers keep connecting; closing the listener ends that
	}
	closeErr := listener.Close()
	s.stopAhead(ctx)
	s.http.SetKeepAlivesEnabled(false)
	for s.hasPendingRequests(time.Now()) && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-time.After(stopPoll):
		}
	}
	return errors.Join(drainErr, ignoreClosed(closeErr), ctx.Err(), ignoreClosed(s.http.Close()))
}

// ignoreClosed returns nil for the error of closing a listener that is closed already.
func ignoreClosed(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// Close closes all connections at once, without responses to pending requests.
func (s *Server) Close() error { return s.http.Close() }
