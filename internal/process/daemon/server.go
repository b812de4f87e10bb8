package daemon

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"tarragonshore.example/tarragonshore/internal/connection/backend"
	"tarragonshore.example/tarragonshore/internal/process/logging"
	"tarragonshore.example/tarragonshore/internal/process/membership"
)

// missedHeartbeats is the number of consecutive announcements that a backend server
// may miss before it is considered down.
const missedHeartbeats = 3

// serverSnapshot is the state of the local backend server at one time.
type serverSnapshot struct {
	name       string
	pool       string
	address    string
	slots      int
	load       float64
	state      membership.ServerState
	readySince time.Time
}

func (s serverSnapshot) ready() bool    { return s.state == membership.ServerReady }
func (s serverSnapshot) draining() bool { return s.state == membership.ServerDraining }

// serverState stores the last announcement of the local backend server. onChange is
// called without the lock after each announcement and each change of state.
type serverState struct {
	heartbeatInterval time.Duration
	onChange          func(serverSnapshot)

	mu       sync.Mutex
	server   serverSnapshot
	lastSeen time.Time
}

func newServerState(heartbeatInterval time.Duration) *serverState {
	return &serverState{heartbeatInterval: heartbeatInterval}
}

func (s *serverState) snapshot() serverSnapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.server
}

// applyAnnouncement stores an announcement. It returns an error if a backend server
// with another name has announced itself before.
func (s *serverState) applyAnnouncement(now time.Time, a backend.Announcement) error {
	s.mu.Lock()
	if announced := s.server.name; announced != "" && announced != a.Name {
		s.mu.Unlock()
		return fmt.Errorf("backend server %q cannot be announced: %q is announced at this daemon; run one daemon per backend server", a.Name, announced)
	}
	next := serverSnapshot{
		name:    a.Name,
		pool:    a.Pool,
		address: a.Address,
		slots:   a.Slots,
		load:    a.Load,
		state:   stateOf(a.State),
	}
	if next.ready() {
		next.readySince = now
		if s.server.ready() {
			next.readySince = s.server.readySince
		}
	}
	previous := s.server.state
	s.server = next
	s.lastSeen = now
	s.mu.Unlock()
	if previous != next.state {
		logging.InfoEvent("server", "server-state", "server", next.name, "pool", next.pool, "from", previous, "to", next.state, "reason", "announced")
	}
	s.onChange(next)
	return nil
}

func stateOf(s backend.State) membership.ServerState {
	switch s {
	case backend.StateReady:
		return membership.ServerReady
	case backend.StateDraining:
		return membership.ServerDraining
	default:
		return membership.ServerStarting
	}
}

// callFailed marks the server down until its next announcement if err shows that a
// call did not reach it.
func (s *serverState) callFailed(err error) {
	var failure *backend.Error
	if asError(err, &failure) && failure.NotExecuted {
		s.markDown("refused-connection")
	}
}

// checkHeartbeat marks the server down if it has missed too many announcements.
func (s *serverState) checkHeartbeat(now time.Time) {
	s.mu.Lock()
	late := s.server.name != "" && now.Sub(s.lastSeen) > missedHeartbeats*s.heartbeatInterval
	s.mu.Unlock()
	if late {
		s.markDown("missed-heartbeats")
	}
}

func (s *serverState) markDown(reason string) {
	s.mu.Lock()
	previous := s.server.state
	if previous == membership.ServerDown {
		s.mu.Unlock()
		return
	}
	s.server.state = membership.ServerDown
	server := s.server
	s.mu.Unlock()
	logging.InfoEvent("server", "server-state", "server", server.name, "pool", server.pool, "from", previous, "to", server.state, "reason", reason)
	// In a goroutine, since the caller may hold the executor's lock, which onChange
	// takes.
	go s.onChange(server)
}

// asError is errors.As with the target's type inferred.
func asError[T error](err error, target *T) bool { return errors.As(err, target) }
