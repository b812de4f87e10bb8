// Package agent implements the daemon for a fleet on a shared platform. The
// platform's store publishes the operators' tables and holds the directory of
// daemons; what the agent has to remember of its backend server is there too. One agent runs beside each
// backend server. Requests from callers on its host and calls made by its backend
// server enter the system here, and the backend server is reached only through it.
//
// The agent wires together packages that decide without doing I/O: shedding
// (which requests the fleet has capacity for), throttle (which of these are refused since
// queues refused calls of others), rateshare (how the workspaces'
// rates are divided between daemons), zonespill (how much traffic leaves a zone),
// placement (which upstream gets an attempt) and runqueue (which attempt the local backend server runs next). Daemons
// exchange their status over UDP; attempts travel over peer links.
//
// Locking order: Agent.statusMu, then one of executor.mu and fleet.mu, then
// serverState.mu (only under statusMu, executor.mu or serverRecorder.mu). entryHandler.mu may be taken
// under the lock of a caller's connection (package caller). The other locks are taken
// alone. No lock is held while sending on a link or
// calling the store or the backend server.
package agent

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/rotisserie/eris"

	"tarragonshore.example/tarragonshore/internal/connection/backend"
	"tarragonshore.example/tarragonshore/internal/connection/caller"
	"tarragonshore.example/tarragonshore/internal/connection/network"
	"tarragonshore.example/tarragonshore/internal/connection/peer"
	"tarragonshore.example/tarragonshore/internal/connection/pipeline"
	"tarragonshore.example/tarragonshore/internal/connection/wire"
	"tarragonshore.example/tarragonshore/internal/process/logging"
	"tarragonshore.example/tarragonshore/internal/process/metrics"
	"tarragonshore.example/tarragonshore/internal/process/rateshare"
	"tarragonshore.example/tarragonshore/internal/request/problem"
	"tarragonshore.example/tarragonshore/internal/request/warmup"
	"tarragonshore.example/tarragonshore/internal/version/catalog"
)

const (
	// statusInterval is the time between status messages. A shorter interval gives
	// members fresher loads and demands, a longer one sends fewer datagrams.
	statusInterval = 500 * time.Millisecond
	// planInterval is the time between computations of the shedding plan and the
	// rate shares.
	planInterval = 250 * time.Millisecond
	// linkPingInterval is the time without a received message after which a link is
	// pinged, linkSilenceLimit the one after which it is closed.
	linkPingInterval = 500 * time.Millisecond
	linkSilenceLimit = 1300 * time.Millisecond
	// linkCheckInterval is by how much pings, and the end of a silent link, may be late.
	linkCheckInterval = 125 * time.Millisecond
	// idleLinkPingInterval replaces linkPingInterval on links that are rarely used. A
	// longer interval costs less, and more attempts are sent on connections that have
	// gone silent.
	idleLinkPingInterval = 3 * time.Second
	// callerPortName is the name of the port for callers in the settings (listen.caller).
	callerPortName = "caller"
	// maxDatagramBytes is the size of the receive buffer for datagrams, the greatest that
	// UDP allows.
	maxDatagramBytes = 64 << 10
	// maxWarmUpLines is the number of log lines per second about the limit for a cold
	// backend server.
	maxWarmUpLines = 5
)

// Config holds the settings of an agent.
type Config struct {
	Member  string
	Zone    string
	Service string // the service that the host's backend server provides
	Listen  struct {
		Caller, Ready, Announce, Peer, Admin netip.AddrPort
	}
	ServerAddress     string        // where the host's backend server listens
	HeartbeatInterval time.Duration // interval of the backend server's heartbeats
	// RevokeBound is the time after its withdrawal within which a key must be refused.
	RevokeBound time.Duration
	// StopGrace is the time from a stop signal until the platform kills the process.
	StopGrace time.Duration
	// RetryLimit bounds the retries that arrive at a service, as a fraction of the
	// requests for it.
	RetryLimit float64
	// AdmissionFeedback lets the entry refuse requests whose calls queues refuse for lack of
	// room, as the answers to other requests tell.
	AdmissionFeedback bool
	// Tolerance states how far workspaces may exceed their rates.
	Tolerance rateshare.Tolerance
	// WarmUp states how many requests may reach a cold backend server.
	WarmUp warmup.Tolerance
}

// Dependencies holds the dependencies of an agent.
type Dependencies struct {
	Network  network.Network
	Store    Store
	Protocol Protocol
	Metrics  *metrics.Metrics
	// ControlHandlers returns the handlers for the backend server's heartbeats (announce)
	// and for the platform's readiness check (ready).
	ControlHandlers func(*Agent) (announce, ready http.Handler)
}

// Agent is a daemon process that serves one host.
type Agent struct {
	cfg         Config
	deps        Dependencies
	incarnation uint64

	tables     *tablesFollower
	server     *serverState
	recorder   *serverRecorder
	fleet      *fleet
	executor   *executor
	dispatcher *dispatcher
	entry      *entryHandler
	hub        *peer.Hub

	statusConn net.PacketConn
	servers    []*caller.Server
	// callerListener and callerServer serve the port for callers, which a graceful stop
	// shuts down before the others. callerServer is also in servers.
	callerListener net.Listener
	callerServer   *caller.Server
	statusMu       sync.Mutex // guards statusNumber and lastStatus
	statusNumber   uint64
	lastStatus     wire.Status // the last one sent; its rates are repeated until an interval ends
	leaving        atomic.Bool
	statusLeftOut  atomic.Int64 // entries that the last status was too long for
	planTook       atomic.Int64 // duration of the last computation of the plan, in nanoseconds
	// directoryEpoch is the epoch of this daemon's next write to the directory.
	directoryEpoch atomic.Uint64
	// unlisted has an element if a member has found that the directory lacks this daemon.
	unlisted chan struct{}
	// warmUpLog bounds the log lines about the limit for a cold server.
	warmUpLog *logging.Limiter
	// question is the question to a peer about its tables that waits for a reply.
	question atomic.Pointer[pendingQuestion]

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// New returns an agent that has not started.
func New(cfg Config, deps Dependencies) *Agent {
	log := newRequestLog(deps.Protocol.Stamp)
	a := &Agent{cfg: cfg, deps: deps, incarnation: uint64(time.Now().UnixNano()), unlisted: make(chan struct{}, 1),
		warmUpLog: logging.NewLimiter(maxWarmUpLines)}
	a.directoryEpoch.Store(uint64(time.Now().UnixMilli()))
	a.tables = newTablesFollower(deps.Store, cfg.RevokeBound, cfg.Member, cfg.Zone)
	a.tables.peers, a.tables.metrics = a, deps.Metrics
	a.server = newServerState(cfg.HeartbeatInterval, cfg.ServerAddress)
	a.server.service, a.server.awaitsRecord = cfg.Service, true
	a.recorder = newServerRecorder(deps.Store, cfg.Member, a.server, a.tables.era.Load, a.tables.noteEra)
	a.server.warmUp, a.server.metrics = newWarmUpLimiter(cfg.HeartbeatInterval, cfg.WarmUp), deps.Metrics
	a.fleet = newFleet(cfg.Member, cfg.Zone, a.incarnation, cfg.Tolerance)
	exchanger := backend.NewExchanger(maxBodyBytes)
	exchanger.ClosedWhileIdle = func() { a.server.mayHaveRestarted(time.Now(), warmup.SignIdleConnectionClosed) }
	a.executor = newExecutor(deps.Protocol, a.server, exchanger, deps.Metrics, log)
	if a.executor.feedback = cfg.AdmissionFeedback; cfg.AdmissionFeedback {
		a.fleet.enableFeedback(deps.Metrics)
	}
	a.dispatcher = newDispatcher(a.fleet, a.executor, cfg.RetryLimit, deps.Metrics, log)
	a.entry = &entryHandler{
		protocol: deps.Protocol, tables: a.tables, fleet: a.fleet, executor: a.executor, dispatcher: a.dispatcher,
		server: a.server, service: cfg.Service, metrics: deps.Metrics, log: log, splits: make(map[string]*weightedSplit), sizes: make(pipeline.Sizes),
	}
	a.hub = peer.NewHub(peer.Identity{Member: cfg.Member, Incarnation: a.incarnation, Zone: cfg.Zone},
		peer.Config{PingInterval: linkPingInterval, IdlePingInterval: idleLinkPingInterval, MinCheckInterval: linkCheckInterval,
			SilenceTimeout: linkSilenceLimit, DialTimeout: peer.DefaultConfig.DialTimeout, Dial: deps.Network.Dial}, a)
	a.dispatcher.hub = a.hub
	a.executor.zoneRefusal = func() *problem.Problem { return a.tables.zoneRefusal(cfg.Zone) }
	a.executor.onEvacuationEnd = func() { a.server.mayHaveRestarted(time.Now(), warmup.SignEvacuationFinished) }
	a.tables.onChange = func(c *catalog.Catalog) {
		a.fleet.pruneArrivals(c)
		a.server.setTables(time.Now(), c)
	}
	a.tables.announce = func() { a.broadcast(0) }
	a.server.onChange = a.serverChanged
	a.ctx, a.cancel = context.WithCancel(context.Background())
	return a
}

// Start opens the ports and begins to serve.
func (a *Agent) Start(context.Context) error {
	conn, err := a.deps.Network.ListenPacket(a.cfg.Listen.Peer)
	if err != nil {
		return eris.Wrap(err, "open the UDP peer port for status messages; free it or change listen.peer")
	}
	a.statusConn = conn
	if err := a.registerGauges(); err != nil {
		return eris.Wrap(err, "register the gauges")
	}
	announce, ready := a.deps.ControlHandlers(a)
	peers := mux.NewRouter()
	peers.Handle(peer.Path, a.hub)
	admin := mux.NewRouter()
	admin.Handle("/metrics", a.deps.Metrics.Handler())
	for _, port := range []struct {
		name    string
		address netip.AddrPort
		handler http.Handler
	}{
		{"peer", a.cfg.Listen.Peer, peers}, {"announce", a.cfg.Listen.Announce, announce}, {"ready", a.cfg.Listen.Ready, ready},
		{"admin", a.cfg.Listen.Admin, admin}, {callerPortName, a.cfg.Listen.Caller, a.entry}, // last, so that callers are admitted only when all else is up
	} {
		if err := a.servePort(port.name, port.address, port.handler); err != nil {
			return err
		}
	}
	for _, loop := range []func(){
		func() { a.tables.follow(a.ctx) }, func() { a.executor.expireQueued(a.ctx) },
		a.receiveStatuses, a.sendStatuses, a.runPlanner, a.syncDirectory, a.preopenLinks, a.watchWarmUp, a.applyEvacuatedZones,
		func() { a.recorder.run(a.ctx) },
	} {
		a.wg.Go(loop)
	}
	logging.InfoEvent("agent", "started", "member", a.cfg.Member, "zone", a.cfg.Zone, "service", a.cfg.Service,
		"incarnation", a.incarnation, "peer", a.cfg.Listen.Peer)
	return nil
}

// registerGauges registers the metrics whose values are read at each scrape.
func (a *Agent) registerGauges() error {
	for _, gauge := range []struct {
		name, description string
		read              func() float64
	}{
		{"tarragon_tables_version", "Version of the tables in force, 0 if none is known.", func() float64 { return float64(a.tables.version()) }},
		{"tarragon_tables_age_seconds", "Time since the store last confirmed the tables.", func() float64 { return a.tables.age().Seconds() }},
		{"tarragon_tables_source", "Where the tables are confirmed: 1 peers, 2 the store, for the zone, 3 the store is lost; 0 before the first decision.", func() float64 { return float64(a.tables.source.Load()) }},
		{"tarragon_tables_parked_questions", "Questions of peers that wait for this daemon's next confirmation.", func() float64 { return float64(a.tables.parkedQuestions()) }},
		{"tarragon_store_era", "Number of restores of the store from an older copy, as far as known.", func() float64 { return float64(a.tables.era.Load()) }},
		{"tarragon_zones_evacuated", "Availability zones that are evacuated.", func() float64 { return float64(len(a.tables.evacuatedZones())) }},
		{"tarragon_members_usable", "Members whose backend servers accept attempts.", a.fleet.usableMembers},
		{"tarragon_members_live", "Members, this one included, that take part in the fleet.", func() float64 { return float64(a.fleet.membersDigest(time.Now()).Count) }},
		{"tarragon_status_left_out", "Entries of arrivals, runs and usage for which the last status was too long.", func() float64 { return float64(a.statusLeftOut.Load()) }},
		{"tarragon_server_record_pending", "1 while the store lacks the newest start or the departure of the backend server.", a.recorder.pending},
		{"tarragon_runs", "Attempts running or queued at this host.", func() float64 { return float64(a.executor.inProgress()) }},
		{"tarragon_server_slowdown_percent", "How long work takes at the backend server, in percent of the normal time, 0 if it does not report it.", a.executor.slowdown},
		{"tarragon_in_flight", "Requests from callers and from the backend server that this daemon is handling.", func() float64 { return float64(a.entry.inFlight.Load()) }},
		{"tarragon_warm_up_limited", "1 while requests to the backend server are limited since it is cold or may have restarted.", func() float64 {
			if state, _ := a.server.warmUpState(time.Now()); state.limited {
				return 1
			}
			return 0
		}},
		{"tarragon_plan_seconds", "Duration of the last computation of the shedding plan and the rate shares.", func() float64 { return time.Duration(a.planTook.Load()).Seconds() }},
		{"tarragon_least_share", "Smallest share that the shedding plan admits of the requests of a route and importance.", a.fleet.leastShare},
	} {
		if err := a.deps.Metrics.RegisterGauge(gauge.name, gauge.description, gauge.read); err != nil {
			return err
		}
	}
	if err := a.deps.Metrics.RegisterLabelledGauge("tarragon_throttle_share",
		"Share of the requests that need a pool which the throttle admits, where it is below 1.", a.fleet.observeThrottle); err != nil {
		return err
	}
	return a.deps.Metrics.RegisterLabelledGauge("tarragon_zone_share",
		"Share of a pool's attempts that goes to an availability zone.", a.fleet.observeZoneShares)
}

// servePort opens a port and serves it. A port without an address is skipped.
func (a *Agent) servePort(name string, address netip.AddrPort, handler http.Handler) error {
	if !address.IsValid() {
		return nil
	}
	listener, err := a.deps.Network.Listen(address)
	if err != nil {
		return eris.Wrapf(err, "open the %s port %s; free it or change listen.%s", name, address, name)
	}
	server := caller.NewServer(handler)
	a.servers = append(a.servers, server)
	if name == callerPortName {
		server.EnablePipelining(a.entry.pipelining())
		a.callerListener, a.callerServer = listener, server
	}
	a.wg.Go(func() { _ = server.Serve(listener) }) // returns when the agent stops
	return nil
}

// Ready reports whether the platform should direct callers to this daemon.
func (a *Agent) Ready() bool {
	return !a.leaving.Load() && a.tables.catalog() != nil && a.tables.age() < readyAge
}

// ApplyHeartbeat processes a heartbeat of the host's backend server. The error says
// why the heartbeat is rejected. It wraps ErrNotRecorded if the heartbeat announces a
// departure, which has taken effect but which a restart could forget.
func (a *Agent) ApplyHeartbeat(ctx context.Context, heartbeat Heartbeat) error {
	if c := a.tables.catalog(); c != nil && !c.HasService(heartbeat.Service) {
		return eris.Errorf("service %q is not in the tables; publish it or correct the heartbeat", heartbeat.Service)
	}
	if err := a.server.applyHeartbeat(time.Now(), heartbeat); err != nil || heartbeat.State != StateDraining {
		return err
	}
	return a.recorder.await(ctx)
}

// DeregisterServer processes a backend server's notice that it is shutting down. started is
// its start time in Unix milliseconds, 0 if unknown. The error is as for ApplyHeartbeat.
func (a *Agent) DeregisterServer(ctx context.Context, server string, started int64) error {
	a.server.deregister(time.Now(), server, started)
	return a.recorder.await(ctx)
}

// serverChanged applies a new view of the backend server. If its id or state has
// changed, the status is broadcast at once, ahead of the next interval.
func (a *Agent) serverChanged(view ServerView) {
	a.recorder.wake()
	a.executor.applyServer(view)
	a.statusMu.Lock()
	changed := a.lastStatus.State != view.State || a.lastStatus.Server != view.Server
	a.statusMu.Unlock()
	if changed {
		logging.InfoEvent("server", "phase", "server", view.Server, "service", view.Service, "phase", int(view.State), "slots", view.Slots)
		a.broadcast(0)
	}
}

// LinkUp implements peer.Handler.
func (a *Agent) LinkUp(l peer.Link) {
	logging.InfoEvent("link", "up", "member", l.Peer().Member, "number", l.Number())
}

// LinkDown implements peer.Handler.
func (a *Agent) LinkDown(l peer.Link, reason string) {
	logging.InfoEvent("link", "down", "member", l.Peer().Member, "number", l.Number(), "reason", reason)
	a.dispatcher.linkLost(l.Number(), reason)
	a.questionLinkLost(l.Number())
	a.tables.dropParked(l.Number())
	a.executor.receiverLost(linkReceiver{l})
}

// Receive implements peer.Handler.
func (a *Agent) Receive(l peer.Link, m wire.Message) {
	switch m := m.(type) {
	case *wire.Attempt:
		a.executor.submit(linkReceiver{l}, m)
	case *wire.Answer:
		a.dispatcher.deliver(m)
	case *wire.Cancel:
		if m.KeepStarted {
			a.executor.withdraw(m.ID)
		} else {
			a.executor.abandon(m.ID)
		}
	case *wire.TablesRequest:
		a.tables.onQuestion(l, m)
	case *wire.TablesReply:
		a.onTablesReply(l, m)
	default:
		logging.WarningEvent("link", "message-not-expected", "member", l.Peer().Member, "type", int(m.Type()))
	}
}

// linkReceiver sends the answer to an attempt over the link on which the attempt arrived.
type linkReceiver struct{ link peer.Link }

func (l linkReceiver) deliver(answer *wire.Answer) {
	if err := l.link.Send(answer); err != nil {
		logging.WarningEvent("link", "answer-lost", "member", l.link.Peer().Member, "error", err)
	}
}

// runPlanner computes the shedding plan and the rate shares at intervals until the
// agent stops.
func (a *Agent) runPlanner() {
	wait := planInterval
	for pause(a.ctx, wait); a.ctx.Err() == nil; pause(a.ctx, wait) {
		begun := time.Now()
		if c := a.tables.catalog(); c != nil {
			a.fleet.replan(begun, c)
		}
		took := time.Since(begun)
		a.planTook.Store(int64(took))
		wait = planPause(took)
	}
}

// planPause returns the pause after a computation of the plan.
func planPause(took time.Duration) time.Duration { return max(planInterval-took, planRest*took) }

// runEvery calls do once per interval until ctx is cancelled.
func runEvery(ctx context.Context, interval time.Duration, do func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			do()
		}
	}
}

// storeContext returns a context that bounds one call to the store.
func (a *Agent) storeContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(a.ctx, storeTimeout)
}

var _ peer.Handler = (*Agent)(nil)

// catalogVersion returns the version of the tables in c, 0 if c is nil.
func catalogVersion(c *catalog.Catalog) uint64 {
	if c == nil {
		return 0
	}
	return uint64(c.Version())
}
