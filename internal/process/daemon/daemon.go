// Package daemon composes tarragond. It connects the decision logic, which other
// packages implement as pure state machines, to sockets, clocks and goroutines.
//
// Each component has its own lock. An event handler collects its effects under
// the lock and carries them out after releasing it. Locks of different components
// nest only in this order: executor, then serverState or configuration, then the
// membership service; see CONTRIBUTING.md. In addition, rates.limitsMu is held
// while the limits are passed to rates and rateGroups.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"tarragonshore.example/tarragonshore/internal/connection/backend"
	"tarragonshore.example/tarragonshore/internal/connection/caller"
	"tarragonshore.example/tarragonshore/internal/connection/network"
	"tarragonshore.example/tarragonshore/internal/connection/peer"
	"tarragonshore.example/tarragonshore/internal/process/logging"
	"tarragonshore.example/tarragonshore/internal/process/membership"
	"tarragonshore.example/tarragonshore/internal/process/membership/transport"
	"tarragonshore.example/tarragonshore/internal/process/metrics"
	"tarragonshore.example/tarragonshore/internal/process/platform"
	"tarragonshore.example/tarragonshore/internal/process/ratelimit"
	"tarragonshore.example/tarragonshore/internal/process/workers"
	"tarragonshore.example/tarragonshore/internal/request/execution"
	"tarragonshore.example/tarragonshore/internal/request/ticket"
)

// Intervals and time limits of the daemon's own steps.
const (
	poolRebuildInterval = 50 * time.Millisecond // membership changes within it share one rebuild
	tickInterval        = time.Second
	membersReadTimeout  = 2 * time.Second
	// readinessTimeout bounds the wait for tables and members at the start. After
	// it the daemon accepts callers' requests and refuses those that it cannot
	// serve yet, with the reason.
	readinessTimeout = 5 * time.Second
	readinessPoll    = 5 * time.Millisecond
)

// Daemon is one incarnation of tarragond.
type Daemon struct {
	cfg     Config
	self    execution.Peer
	network network.Network
	log     platform.Log
	client  backend.Server
	metrics *metrics.Metrics
	leaving atomic.Bool

	members   *members
	announcer *transport.Announcer
	// membersSnapshot is what the daemon read of the members stream at its start.
	membersSnapshot transport.StreamSnapshot
	// expectMembers is true if other daemons may be running: the log names some,
	// or it could not be read completely.
	expectMembers bool
	hub           *peer.Hub
	workerPool    *workers.Pool
	configuration *configuration
	server        *serverState
	dispatcher    *dispatcher
	executor      *executor
	rates         *rates
	rateGroups    *rateGroups
	tickets       *tickets
	handover      *handover

	supersededOnce sync.Once                 // closes superseded
	superseded     chan struct{}             // see Superseded
	poolsDirty     chan struct{}             // has an element if the pools have to be rebuilt
	listeners      map[string]net.Listener   // by the name of the port
	servers        map[string]*caller.Server // by the name of the port
	cancel         context.CancelFunc
	wg             sync.WaitGroup
}

// Dependencies are the external dependencies of a daemon.
type Dependencies struct {
	Network network.Network
	Log     platform.Log
	Server  backend.Server
	Metrics *metrics.Metrics // nil disables metrics
}

// New returns a daemon that has not started.
func New(cfg Config, deps Dependencies) *Daemon {
	cfg.Link.Dial = deps.Network.Dial
	return &Daemon{
		cfg:        cfg,
		network:    deps.Network,
		log:        deps.Log,
		client:     deps.Server,
		metrics:    deps.Metrics,
		superseded: make(chan struct{}),
		poolsDirty: make(chan struct{}, 1),
		listeners:  make(map[string]net.Listener),
		servers:    make(map[string]*caller.Server),
	}
}

// errSuperseded means that a daemon with the same name and a higher incarnation
// runs.
var errSuperseded = errors.New("a daemon with the same member name and a higher incarnation runs; give each daemon a name of its own")

// Superseded returns a channel that is closed when a daemon with the same name
// and a higher incarnation runs. This one must then stop.
func (d *Daemon) Superseded() <-chan struct{} { return d.superseded }

// Start opens the ports and starts all components. ctx bounds only the start.
func (d *Daemon) Start(ctx context.Context) error {
	if err := d.listen(); err != nil {
		return errors.Join(err, d.closeListeners())
	}
	if err := d.compose(ctx); err != nil {
		return errors.Join(err, d.closeListeners())
	}
	run, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	d.startServers(run)
	d.startBackground(run)
	logging.InfoEvent("daemon", "started", "member", d.self.Member, "incarnation", d.self.Incarnation,
		"zone", d.cfg.Zone, "caller", d.cfg.Caller, "peer", d.cfg.Peer)
	return nil
}

// listen opens the TCP ports.
func (d *Daemon) listen() error {
	for name, address := range map[string]netip.AddrPort{
		"caller": d.cfg.Caller, "server": d.cfg.Server, "peer": d.cfg.Peer, "admin": d.cfg.Admin,
	} {
		listener, err := d.network.Listen(address)
		if err != nil {
			return fmt.Errorf("open %s port: %w; choose a free port in section [listen]", name, err)
		}
		d.listeners[name] = listener
	}
	return nil
}

func (d *Daemon) closeListeners() error {
	var errs []error
	for _, listener := range d.listeners {
		errs = append(errs, listener.Close())
	}
	return errors.Join(errs...)
}

// compose creates the components and connects them.
func (d *Daemon) compose(ctx context.Context) error {
	membersSnapshot, err := d.readMembersSnapshot(ctx)
	if err != nil {
		logging.InfoEvent("daemon", "members-read-incomplete", "error", err.Error())
	}
	d.membersSnapshot = membersSnapshot
	// After an incomplete read the log may name members that were not seen.
	d.expectMembers = err != nil || len(membersSnapshot.Records) > 0
	incarnation := transport.ChooseIncarnation(time.Now(), membersSnapshot.HighestIncarnation)
	d.self = execution.Peer{Member: d.cfg.Name, Incarnation: incarnation}
	service, err := d.newMembership()
	if err != nil {
		return err
	}
	d.members = &members{self: d.cfg.Name, started: time.Now(), service: service}
	d.announcer = &transport.Announcer{
		Log: d.log, Clock: transport.SystemClock{}, Service: service, Rand: newRand(),
		OnError: func(err error) { logging.InfoEvent("daemon", "members-stream-failed", "error", err.Error()) },
	}
	d.configuration = newConfiguration(d.log, d.members, d.cfg.PollWait, d.cfg.Retention, newRand())
	d.server = newServerState(d.cfg.HeartbeatInterval)
	d.dispatcher = newDispatcher(d.self, d.cfg.Zone, d.members, d.metrics, newRand())
	d.executor = newExecutor(d.self, d.configuration, d.server, d.client, d.metrics)
	d.rateGroups = newRateGroups(ratelimit.Member{
		ID:   ratelimit.DaemonID{Member: d.self.Member, Incarnation: d.self.Incarnation},
		Zone: d.cfg.Zone, Address: d.cfg.Peer.String(),
	}, d.members, d.log, d.cfg, newRand())
	d.rates = newRates(d.self, d.members, d.rateGroups, d.cfg.RateGroups, newRand())
	d.tickets, err = newTickets(ticket.DaemonID{Member: d.self.Member, Incarnation: d.self.Incarnation}, d.members, d.rates, d.dispatcher)
	if err != nil {
		return err
	}
	d.handover = newHandover(d.members, d.tickets, d.rateGroups)
	d.rateGroups.handover = d.handover
	d.rateGroups.expectMembers = d.expectMembers
	d.workerPool = workers.NewPool(d.cfg.Workers)
	d.hub = peer.NewHub(peer.Identity{Member: d.self.Member, Incarnation: d.self.Incarnation, Zone: d.cfg.Zone}, d.cfg.Link, &linkHandler{
		workerPool: d.workerPool, metrics: d.metrics, configuration: d.configuration, dispatcher: d.dispatcher,
		executor: d.executor, tickets: d.tickets, rates: d.rates, rateGroups: d.rateGroups, handover: d.handover,
	})
	d.connectComponents()
	return d.registerGauges()
}

// connectComponents sets the references between components that depend on each
// other.
func (d *Daemon) connectComponents() {
	d.members.hub = d.hub
	d.dispatcher.hub = d.hub
	d.dispatcher.local = d.executor
	d.executor.hub = d.hub
	d.executor.dispatcher = d.dispatcher
	d.configuration.onChange = d.onTables
	d.server.onChange = d.onServerState
	d.members.service.Subscribe(d.onMembershipAction)
}

// newRand returns a random source for one component. Sources are not shared
// because they are not safe for concurrent use.
func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// readMembersSnapshot reads the members that have announced themselves on the log. If
// the platform is down, the daemon starts without them and learns of them later, from
// the peers in its settings or from probes of other members.
func (d *Daemon) readMembersSnapshot(ctx context.Context) (transport.StreamSnapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, membersReadTimeout)
	defer cancel()
	return transport.ReadStreamSnapshot(ctx, d.log, transport.SystemClock{}, d.cfg.Name)
}

func (d *Daemon) newMembership() (*transport.Service, error) {
	conn, err := d.network.ListenPacket(d.cfg.Peer)
	if err != nil {
		return nil, fmt.Errorf("open UDP port of the peer address: %w; choose a free port in section [listen]", err)
	}
	return transport.New(transport.Options{
		Conn:  conn,
		Clock: transport.SystemClock{},
		Rand:  newRand(),
		Seeds: d.cfg.Join,
		Self: membership.Record{
			Name:        d.cfg.Name,
			Incarnation: d.self.Incarnation,
			StaticInfo: membership.StaticInfo{
				Zone: d.cfg.Zone, Region: d.cfg.Region, Peer: d.cfg.Peer,
				Caller: d.cfg.Caller, Server: d.cfg.Server, Admin: d.cfg.Admin,
			},
		},
	})
}

// registerGauges registers the gauges whose values are read at each scrape.
func (d *Daemon) registerGauges() error {
	if d.metrics == nil {
		return nil
	}
	return errors.Join(
		d.metrics.RegisterGauge("tarragon_tables_version", "Version of the tables in force.",
			func() float64 { return float64(d.configuration.current().Version) }),
		d.metrics.RegisterGauge("tarragon_tables_age", "Seconds since the log's end was read; -1 if never.",
			func() float64 { return d.configuration.age(time.Now()) }),
		d.metrics.RegisterGauge("tarragon_ticket_entries", "Used tickets whose state this daemon stores.",
			func() float64 { return float64(d.tickets.entries()) }),
		d.metrics.RegisterGauge("tarragon_rate_groups_kept", "Rate groups of which this daemon is the keeper.",
			func() float64 { return float64(d.rateGroups.keptCount()) }),
		d.metrics.RegisterGauge("tarragon_members_alive", "Members that this daemon considers alive, including itself.",
			func() float64 { return float64(d.members.service.View().Alive) }),
		d.metrics.RegisterGauge("tarragon_queue_length", "Attempts that wait for the backend server.",
			func() float64 { return float64(d.executor.queueStatus(time.Now()).Queued) }),
		d.metrics.RegisterGauge("tarragon_in_flight", "Attempts that the backend server runs.",
			func() float64 { return float64(d.executor.queueStatus(time.Now()).InFlight) }),
		d.metrics.RegisterGauge("tarragon_concurrency_limit", "Attempts that the backend server may run at once.",
			func() float64 { return float64(d.executor.queueStatus(time.Now()).Limit) }),
	)
}

// startServers starts the HTTP servers. Callers' connections wait in the listener
// until awaitReadiness returns: a daemon that has just restarted knows no members
// yet and would refuse the requests.
func (d *Daemon) startServers(ctx context.Context) {
	callerPort := &callerPort{
		configuration: d.configuration, rates: d.rates, tickets: d.tickets,
		dispatcher: d.dispatcher, metrics: d.metrics, leaving: d.leaving.Load,
		inProgress: make(chan struct{}, d.cfg.MaxInFlight),
	}
	port := &serverPort{configuration: d.configuration, server: d.server, executor: d.executor, dispatcher: d.dispatcher}
	peerMux := http.NewServeMux()
	peerMux.Handle(peer.Path, d.hub)
	for name, handler := range map[string]http.Handler{
		"caller": callerPort.handler(),
		"server": port.handler(),
		"peer":   peerMux,
		"admin":  (&admin{daemon: d, metrics: d.metrics}).handler(),
	} {
		server := caller.NewServer(handler)
		d.servers[name] = server
		listener := d.listeners[name]
		d.wg.Go(func() {
			if name == "caller" {
				d.awaitReadiness(ctx)
			}
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
				logging.InfoEvent("daemon", "listener-failed", "port", name, "error", err.Error())
			}
		})
	}
}

// awaitReadiness waits until the tables are known to be current and the pools have
// been built from the members that the log or a peer named, but no longer than
// readinessTimeout.
func (d *Daemon) awaitReadiness(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readinessTimeout)
	defer cancel()
	err := waitFor(ctx, readinessPoll, func() bool {
		if !d.configuration.canServe() || d.expectMembers && !(d.members.synchronized() && d.rateGroups.allKeepersKnown()) {
			return false
		}
		d.dispatcher.updatePools(d.members.service.View(), d.configuration.current())
		return true
	})
	if err != nil {
		logging.WarningEvent("daemon", "serving-without-members-or-tables", "version", d.configuration.current().Version)
	}
}

// startBackground starts the background goroutines of the components.
func (d *Daemon) startBackground(ctx context.Context) {
	for _, run := range []func(context.Context){
		func(ctx context.Context) { _ = d.members.service.Run(ctx) },
		func(ctx context.Context) { d.announcer.Run(ctx, d.membersSnapshot) },
		d.configuration.run,
		d.configuration.appendSnapshots,
		d.dispatcher.sweep,
		d.executor.sweep,
		d.rates.run,
		d.rateGroups.followClaims,
		d.rateGroups.tick,
		d.rebuildPools,
		d.tick,
	} {
		d.wg.Go(func() { run(ctx) })
	}
}

// tick runs the daemon's periodic checks every tickInterval.
func (d *Daemon) tick(ctx context.Context) {
	for pause(ctx, tickInterval) {
		now := time.Now()
		d.server.checkHeartbeat(now)
		d.members.setTicketIssuers(d.tickets.sweep(now))
	}
}

// onTables applies a new version of the tables.
func (d *Daemon) onTables(next *tablesInForce) {
	d.rates.setLimits(next.Tables.Workspaces())
	// Not deferred to rebuildPools: requests already match the routes of this
	// version and need its pools.
	d.dispatcher.updatePools(d.members.service.View(), next)
}

// onServerState applies a new state of the local backend server.
func (d *Daemon) onServerState(state serverSnapshot) {
	d.executor.applyServer(state)
	d.members.setServer(state)
	d.requestPoolRebuild()
}

// onMembershipAction reacts to changes of the other members.
func (d *Daemon) onMembershipAction(action membership.Action) {
	switch a := action.(type) {
	case membership.MemberUp:
		logging.InfoEvent("daemon", "member-up", "member", a.Member.Name, "incarnation", a.Member.Incarnation, "zone", a.Member.Zone, "reason", string(a.Reason))
	case membership.MemberDown:
		logging.InfoEvent("daemon", "member-down", "member", a.Member.Name, "incarnation", a.Member.Incarnation, "reason", string(a.Reason))
		gone := execution.Peer{Member: a.Member.Name, Incarnation: a.Member.Incarnation}
		d.dispatcher.onMemberGone(gone)
		d.tickets.onOwnerGone(ticket.DaemonID{Member: gone.Member, Incarnation: gone.Incarnation})
		// Only ReasonReplaced proves that the incarnation is dead. One that is
		// declared dead for another reason may be paused or unreachable, and may
		// still wait for answers and grant tokens.
		if a.Reason == membership.ReasonReplaced {
			d.executor.requesterGone(gone)
			d.rateGroups.daemonDied(ratelimit.DaemonID{Member: a.Member.Name, Incarnation: a.Member.Incarnation})
		}
	case membership.MemberLeft:
		logging.InfoEvent("daemon", "member-left", "member", a.Member.Name, "incarnation", a.Member.Incarnation)
		d.tickets.onOwnerGone(ticket.DaemonID{Member: a.Member.Name, Incarnation: a.Member.Incarnation})
	case membership.MemberChanged:
		logging.DebugEvent("daemon", "member-changed", "member", a.Member.Name, "reason", string(a.Reason))
	case membership.Superseded:
		logging.ErrorEvent("daemon", "superseded", errSuperseded, "incarnation", a.Incarnation)
		d.supersededOnce.Do(func() { close(d.superseded) })
	}
	d.requestPoolRebuild()
}

// requestPoolRebuild makes rebuildPools rebuild the pools soon.
func (d *Daemon) requestPoolRebuild() {
	select {
	case d.poolsDirty <- struct{}{}:
	default: // a rebuild is already requested
	}
}

// rebuildPools rebuilds the pools when requestPoolRebuild has been called, at most
// once per poolRebuildInterval.
func (d *Daemon) rebuildPools(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.poolsDirty:
			d.dispatcher.updatePools(d.members.service.View(), d.configuration.current())
			pause(ctx, poolRebuildInterval)
		}
	}
}
