package daemon

import (
	"errors"
	"sync"
	"time"

	"tarragonshore.example/tarragonshore/internal/connection/backend"
	"tarragonshore.example/tarragonshore/internal/process/logging"
	"tarragonshore.example/tarragonshore/internal/process/membership"
)

// missedHeartbeats is the number of announcements in a row that a backend
// server may miss before it counts as down.
const missedHeartbeats = 3

// serverSnapshot is the state of the own backend server at one time.
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

// serverState keeps what the own backend server announced. onChange is called
// without the lock after each announcement and each change of state.
type serverState struct {
	heartbeat time.Duration
	onChange  func(serverSnapshot)

	mu       sync.Mutex
	server   serverSnapshot
	lastSeen time.Time
}

func newServerState(heartbeat time.Duration) *serverState {
	return &serverState{heartbeat: heartbeat}
}

func (s *serverState) snapshot() serverSnapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.server
}

// announced applies an announcement.
func (s *serverState) announced(now time.Time, a backend.Announcement) error {
	s.mu.Lock()
	if s.server.name != "" && s.server.name != a.Name {
		s.mu.Unlock()
		return errors.New("another backend server is announced on this host; run one daemon per backend server")
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
		logging.Event("server", "server-state", "server", next.name, "pool", next.pool, "from", previous, "to", next.state, "reason", "announced")
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

// failed notes a call that did not reach the server: it is down until its next
// announcement.
func (s *serverState) failed(err error) {
	var failure *backend.Error
	if asError(err, &failure) && failure.NotExecuted {
		s.down("refused-connection")
	}
}

// check marks the server down after too many missed heartbeats.
func (s *serverState) check(now time.Time) {
	s.mu.Lock()
	late := s.server.name != "" && now.Sub(s.lastSeen) > missedHeartbeats*s.heartbeat
	s.mu.Unlock()
	if late {
		s.down("missed-heartbeats")
	}
}

func (s *serverState) down(reason string) {
	s.mu.Lock()
	previous := s.server.state
	if previous == membership.ServerDown {
		s.mu.Unlock()
		return
	}
	s.server.state = membership.ServerDown
	server := s.server
	s.mu.Unlock()
	logging.Event("server", "server-state", "server", server.name, "pool", server.pool, "from", previous, "to", server.state, "reason", reason)
	// The caller may be inside an event of the executor, whose lock onChange takes.
	go s.onChange(server)
}

// asError is errors.As with the target's type inferred.
func asError[T error](err error, target *T) bool { return errors.As(err, target) }
