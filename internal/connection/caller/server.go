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
	// silentConnection is the time without a byte after which a new connection is
	// closed at a stop. A caller that has connected sends its request at once.
	silentConnection = 500 * time.Millisecond
	// stopPoll is the time between two looks at the connections during a stop.
	stopPoll = 2 * time.Millisecond
	// drainTime bounds the wait for connections that callers go on opening.
	drainTime = time.Second
)

// Server is an HTTP server whose Stop answers every request that it has read.
// http.Server.Shutdown does not: it lets each connection read a request and then
// closes it, if the request arrives after Shutdown has begun.
type Server struct {
	http *http.Server

	mu        sync.Mutex
	open      map[net.Conn]connection
	accepting bool // Serve accepts connections
}

// connection is the state of an open connection.
type connection struct {
	state http.ConnState
	since time.Time
}

// Serve accepts connections until Stop or Close. It always returns an error,
// net.ErrClosed or http.ErrServerClosed after these.
func (s *Server) Serve(listener net.Listener) error {
	s.setAccepting(true)
	defer s.setAccepting(false)
	return s.http.Serve(listener)
}

func (s *Server) setAccepting(accepting bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.accepting = accepting
}

// track follows the states of the connections.
func (s *Server) track(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(s.open, conn)
	default:
		s.open[conn] = connection{state: state, since: time.Now()}
	}
}

// busy reports whether a connection may hold a request, or one that was accepted
// may not be tracked yet.
func (s *Server) busy(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.open {
		if c.state == http.StateActive || c.state == http.StateNew && now.Sub(c.since) < silentConnection {
			return true
		}
	}
	return s.accepting
}

// Stop accepts the connections that wait at the listener, closes it, answers all
// requests with "Connection: close", and closes each connection when it is idle.
// The error is that of ctx if requests were left when it ended.
func (s *Server) Stop(ctx context.Context, listener net.Listener) error {
	drain, cancel := context.WithTimeout(ctx, drainTime)
	defer cancel()
	drained := network.Drain(drain, listener)
	if errors.Is(drained, net.ErrClosed) || ctx.Err() == nil && drain.Err() != nil {
		drained = nil // callers go on connecting; the next step ends that
	}
	closed := listener.Close()
	s.http.SetKeepAlivesEnabled(false)
	for s.busy(time.Now()) && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-time.After(stopPoll):
		}
	}
	return errors.Join(drained, unlessClosed(closed), ctx.Err(), unlessClosed(s.http.Close()))
}

// unlessClosed drops the error of a second Close.
func unlessClosed(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// Close ends all connections at once.
func (s *Server) Close() error { return s.http.Close() }
