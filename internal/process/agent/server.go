package agent

import (
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"tarragonshore.example/tarragonshore/internal/connection/wire"
	"tarragonshore.example/tarragonshore/internal/process/logging"
)

const (
	// silentAfter missed heartbeats count as the end of a backend server. A
	// refused connection shows it earlier.
	silentAfter = 5
	// refusedPause is the time for which a server that refused a connection gets
	// no new work, unless it announces itself.
	refusedPause = time.Second
)

// server keeps what the host's own backend server announced. onChange is called
// without the lock when its phase changes.
type server struct {
	heartbeat time.Duration
	address   string // where the host's backend server listens
	onChange  func(ServerView)

	mu        sync.Mutex
	last      Announcement
	left      bool
	seen      time.Time
	warmUntil time.Time
	downUntil time.Time
}

// ServerView is the backend server at one time.
type ServerView struct {
	Announcement
	Phase wire.ServerPhase
}

func newServer(heartbeat time.Duration, address string) *server {
	return &server{heartbeat: heartbeat, address: address, onChange: func(ServerView) {}}
}

// errOtherServer refuses an announcement that does not name the host's own server.
var errOtherServer = eris.New("the announcement does not name this host's backend server; announce it to the daemon of its own host")

// Announced applies a heartbeat. Late heartbeats of an earlier start, or of one
// that has been overtaken, change nothing.
func (s *server) announced(now time.Time, a Announcement) error {
	if a.Address != s.address {
		return errOtherServer
	}
	s.mu.Lock()
	if s.stale(a) {
		s.mu.Unlock()
		return nil
	}
	sameStart := a.Server == s.last.Server && a.Started == s.last.Started
	if !sameStart {
		s.left = false
	}
	leaving := s.left || sameStart && s.last.Phase == PhaseLeaving
	if leaving {
		a.Phase = PhaseLeaving // a server that has said that it leaves does not come back
	}
	s.last, s.seen = a, now
	s.warmUntil = now.Add(a.WarmUp)
	s.downUntil = time.Time{}
	view := s.viewLocked(now)
	s.mu.Unlock()
	s.onChange(view)
	return nil
}

// stale reports whether an announcement is older than the last one.
func (s *server) stale(a Announcement) bool {
	switch {
	case s.last.Server == "":
		return false
	case a.Started != 0 && s.last.Started != 0 && a.Started != s.last.Started:
		return a.Started < s.last.Started
	case a.Server == s.last.Server:
		return a.Sequence < s.last.Sequence
	}
	return false
}

// leave notes that the server of an id says it ends.
func (s *server) leave(now time.Time, id string) {
	s.mu.Lock()
	if id != s.last.Server && s.last.Server != "" {
		s.mu.Unlock()
		return
	}
	s.left = true
	s.last.Phase = PhaseLeaving
	s.seen = now
	view := s.viewLocked(now)
	s.mu.Unlock()
	s.onChange(view)
}

// refused notes that the server refused a connection.
func (s *server) refused(now time.Time) {
	s.mu.Lock()
	first := !now.Before(s.downUntil)
	s.downUntil = now.Add(refusedPause)
	view := s.viewLocked(now)
	s.mu.Unlock()
	if first {
		logging.WarningEvent("server", "connection-refused", "server", view.Server, "service", view.Service, "pause", refusedPause)
		s.onChange(view)
	}
}

// view returns the server as it counts now.
func (s *server) view(now time.Time) ServerView {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.viewLocked(now)
}

func (s *server) viewLocked(now time.Time) ServerView {
	v := ServerView{Announcement: s.last}
	switch {
	case s.last.Server == "" || now.Before(s.downUntil):
		v.Phase = wire.ServerAbsent
	case s.left || s.last.Phase == PhaseLeaving:
		v.Phase = wire.ServerLeaving
	case now.Sub(s.seen) > silentAfter*s.heartbeat:
		v.Phase = wire.ServerAbsent
	case now.Before(s.warmUntil):
		v.Phase = wire.ServerWarming
	default:
		v.Phase = wire.ServerReady
	}
	return v
}
