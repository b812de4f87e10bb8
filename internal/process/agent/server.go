package agent

import (
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"tarragonshore.example/tarragonshore/internal/connection/wire"
	"tarragonshore.example/tarragonshore/internal/process/logging"
	"tarragonshore.example/tarragonshore/internal/process/metrics"
	"tarragonshore.example/tarragonshore/internal/request/warmup"
	"tarragonshore.example/tarragonshore/internal/version/catalog"
)

const (
	// maxMissedHeartbeats is the number of heartbeat intervals without a heartbeat
	// after which a backend server counts as gone. A refused connection shows it
	// earlier.
	maxMissedHeartbeats = 5
	// refusedTime is how long a server that refused a connection gets no new work,
	// unless it sends a heartbeat.
	refusedTime = time.Second
	// continuedTime is for how long, in heartbeat intervals, the heartbeats of a start have to
	// go on until they show that it has not left. Late heartbeats of a former start end sooner.
	continuedTime = maxMissedHeartbeats
)

// serverState tracks the host's backend server from its heartbeats and from refused
// connections. onChange is called without the lock after each heartbeat,
// deregistration and first refused connection.
type serverState struct {
	heartbeatInterval time.Duration
	address           string // where the host's backend server listens
	service           string // until a heartbeat names it
	onChange          func(ServerView)
	clock             bootClock
	metrics           *metrics.Metrics
	// suspected has an element if watchWarmUp has to be woken.
	suspected chan struct{}

	mu sync.Mutex
	// awaitsRecord is true until the store's record of the server has been applied. Until
	// then it is not known whether the server of a heartbeat has left.
	awaitsRecord bool
	// unsettled is true while the start of the last heartbeat may have left, since the store
	// has lost records.
	unsettled bool
	last      Heartbeat
	continued continued
	// superseded is the start before the last one, if it states a later start time. Its
	// heartbeats may still arrive.
	superseded      ServerRecord
	deregistered    bool
	lastHeartbeatAt time.Time
	warmUntil       time.Time
	refusedUntil    time.Time
	// drainingSince is the boot-clock time at which the server announced that it is
	// draining, or deregistered; 0: it has not.
	drainingSince time.Duration
	tables        *catalog.Catalog // nil: not known
	warmUp        *warmup.Limiter
	healthPath    string // of the service, if it limits cold servers
}

// continued tracks the heartbeats of a start of which it is not known that it is the present
// one.
type continued struct {
	server            string
	started, sequence int64
	since             time.Time // of the first heartbeat
}

// add adds a heartbeat and returns for how long those of its start have gone on.
func (c *continued) add(now time.Time, h Heartbeat) time.Duration {
	if c.server != h.Server || c.started != h.Started {
		*c = continued{server: h.Server, started: h.Started, since: now}
	}
	if h.Sequence <= c.sequence {
		return 0
	}
	c.sequence = h.Sequence
	return now.Sub(c.since)
}

// ServerView is the state of the backend server at one time.
type ServerView struct {
	Heartbeat                  // the last one; the field State hides its State
	State     wire.ServerState // as this agent determines it
}

func newServerState(heartbeatInterval time.Duration, address string) *serverState {
	return &serverState{
		heartbeatInterval: heartbeatInterval, address: address, onChange: func(ServerView) {}, suspected: make(chan struct{}, 1),
		warmUp: newWarmUpLimiter(heartbeatInterval, warmup.Tolerance{Overage: 1}),
	}
}

// errOtherAddress rejects a heartbeat whose address is not the local backend server's.
var errOtherAddress = eris.New("the heartbeat's address is not that of this host's backend server; send it to the daemon of its own host")

// record returns what has to outlast this process, without the era. settled is false while it
// is not known whether the last start has left.
func (s *serverState) record() (r ServerRecord, settled bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.last.Server == "" {
		return ServerRecord{}, !s.awaitsRecord
	}
	r = ServerRecord{Server: s.last.Server, Started: s.last.Started, Leaving: s.deregistered || s.last.State == StateDraining}
	return r, r.Leaving || !s.awaitsRecord && !s.unsettled
}

// applyRecord applies the store's record, which a former process of this daemon has written. A
// later start that was heard of meanwhile takes precedence. In a later era than that of the
// record, the store may have lost a departure. The server is then used once its heartbeats
// have gone on.
func (s *serverState) applyRecord(now time.Time, r ServerRecord, era uint64) {
	s.mu.Lock()
	s.awaitsRecord, s.unsettled = false, r.Era < era
	heard := s.last
	sameStart := heard.Server == r.Server && heard.Started == r.Started
	if r.Server != "" && (heard.Server == "" || sameStart || startsBefore(heard, Heartbeat{Server: r.Server, Started: r.Started})) {
		if !sameStart {
			s.last, s.lastHeartbeatAt, s.deregistered, s.drainingSince = Heartbeat{Server: r.Server, Started: r.Started}, time.Time{}, false, 0
		}
		if r.Leaving {
			s.deregistered, s.last.State = true, StateDraining
			s.markDraining()
		}
	}
	view := s.viewLocked(now)
	s.mu.Unlock()
	s.onChange(view)
}

// applyHeartbeat applies a heartbeat. One that is older than the last, of an earlier
// start or received out of order, changes nothing.
func (s *serverState) applyHeartbeat(now time.Time, h Heartbeat) error {
	if h.Address != s.address {
		return errOtherAddress
	}
	s.mu.Lock()
	if s.stale(h) && !s.succeeds(now, h) {
		s.mu.Unlock()
		return nil
	}
	if s.unsettled && s.continued.add(now, h) > continuedTime*s.heartbeatInterval {
		s.unsettled = false
	}
	if !s.unsettled {
		s.continued = continued{}
	}
	sameStart := h.Server == s.last.Server && h.Started == s.last.Started
	if !sameStart {
		s.deregistered, s.drainingSince = false, 0
	}
	if !sameStart && s.last.Server != "" {
		s.suspect(now, warmup.SignOtherStart)
	}
	draining := s.deregistered || sameStart && s.last.State == StateDraining
	if draining {
		h.State = StateDraining // draining is final for one start of a server
	}
	s.last, s.lastHeartbeatAt = h, now
	if h.State == StateDraining {
		s.markDraining()
	}
	s.warmUntil = now.Add(h.WarmUp)
	s.applyWarmUpRate(now)
	s.warmUp.Report(now, now.Add(-time.Duration(heartbeatAge*float64(s.heartbeatInterval))), h.WarmUp)
	s.refusedUntil = time.Time{}
	view := s.viewLocked(now)
	s.mu.Unlock()
	s.onChange(view)
	return nil
}

// markDraining records when the server began to drain. The caller holds mu.
func (s *serverState) markDraining() {
	if s.drainingSince == 0 {
		s.drainingSince = max(1, s.clock.now())
	}
}

// startsForbidden reports whether the server has been draining for so long that queued
// attempts must not be started any more, even if this process was paused meanwhile.
func (s *serverState) startsForbidden() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drainingSince > 0 && s.clock.now()-s.drainingSince > drainingQueueTime
}

// stale reports whether a heartbeat is older than the last one, or comes from another
// writer: a server that has stated its start time states it always. The caller holds mu.
func (s *serverState) stale(h Heartbeat) bool {
	switch {
	case s.last.Server == "":
		return false
	case h.Server == s.last.Server && h.Started == 0 && s.last.Started != 0, s.superseded == ServerRecord{Server: h.Server, Started: h.Started}:
		return true
	case h.Started != 0 && s.last.Started != 0 && h.Started != s.last.Started:
		return startsBefore(h, s.last)
	case h.Server == s.last.Server:
		return h.Sequence < s.last.Sequence
	}
	return false
}

// startsBefore reports whether h states an earlier start time than last. Without both start
// times the order is not known.
func startsBefore(h, last Heartbeat) bool {
	return h.Started != 0 && last.Started != 0 && h.Started < last.Started
}

// succeeds reports whether a heartbeat that states an earlier start time than the last one
// comes from a later start whose clock was set back: the last one is silent, and the
// heartbeats of this one go on. The caller holds mu.
func (s *serverState) succeeds(now time.Time, h Heartbeat) bool {
	if !startsBefore(h, s.last) || s.awaitsRecord {
		return false
	}
	if now.Sub(s.lastHeartbeatAt) <= maxMissedHeartbeats*s.heartbeatInterval {
		if !s.unsettled {
			s.continued = continued{}
		}
		return false
	}
	if s.continued.add(now, h) <= continuedTime*s.heartbeatInterval {
		return false
	}
	logging.WarningEvent("server", "start-time-set-back", "server", h.Server, "started", h.Started, "former", s.last.Server, "former_started", s.last.Started)
	s.superseded = ServerRecord{Server: s.last.Server, Started: s.last.Started}
	return true
}

// deregister records that the server with this id is shutting down. The notice of a
// former server, or of a former start under the same id, is ignored. That of a later start may
// come before its first heartbeat at this daemon, and late heartbeats must not undo it.
func (s *serverState) deregister(now time.Time, id string, started int64) {
	s.mu.Lock()
	notice := Heartbeat{Server: id, Started: started}
	switch {
	case s.superseded == (ServerRecord{Server: id, Started: started}):
		s.mu.Unlock()
		return
	case s.last.Server == "" || startsBefore(s.last, notice):
		s.last = notice
	case id != s.last.Server || startsBefore(notice, s.last):
		s.mu.Unlock()
		return
	}
	s.deregistered = true
	s.last.State = StateDraining
	s.markDraining()
	s.lastHeartbeatAt = now
	view := s.viewLocked(now)
	s.mu.Unlock()
	s.onChange(view)
}

// connectionRefused records that the server refused a connection.
func (s *serverState) connectionRefused(now time.Time) {
	s.mu.Lock()
	first := !now.Before(s.refusedUntil)
	s.refusedUntil = now.Add(refusedTime)
	s.suspect(now, warmup.SignConnectionRefused)
	view := s.viewLocked(now)
	s.mu.Unlock()
	if first {
		logging.WarningEvent("server", "connection-refused", "server", view.Server, "service", view.Service, "pause", refusedTime)
		s.onChange(view)
	}
}

// view returns the state of the server at the time now.
func (s *serverState) view(now time.Time) ServerView {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.viewLocked(now)
}

// viewLocked is view for callers that hold mu.
func (s *serverState) viewLocked(now time.Time) ServerView {
	v := ServerView{Heartbeat: s.last}
	switch {
	case s.last.Server == "" || now.Before(s.refusedUntil):
		v.State = wire.ServerAbsent
	case s.deregistered || s.last.State == StateDraining:
		v.State = wire.ServerDraining
	case s.awaitsRecord || s.unsettled:
		v.State = wire.ServerAbsent
	case now.Sub(s.lastHeartbeatAt) > maxMissedHeartbeats*s.heartbeatInterval:
		v.State = wire.ServerAbsent
	case now.Before(s.warmUntil):
		v.State = wire.ServerWarmingUp
	default:
		v.State = wire.ServerReady
	}
	return v
}
