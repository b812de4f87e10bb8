// Package daemon composes tarragond: it joins the decisions, which are pure
// state machines, with sockets, clocks and goroutines.
//
// Each part has one lock of its own. Effects of an event are collected under
// the lock and carried out after it was released. The only locks that nest are
// those of executor, then serverState or configuration, then the membership
// service. CONTRIBUTING.md states the order.
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

// Times of the daemon's periodic steps.
const (
	viewInterval = 50 * time.Millisecond // changes of members are applied together
	tickInterval = time.Second
	seedTimeout  = 2 * time.Second
	// serviceTimeout bounds the wait for tables and members before callers are
	// served without them; requests are then refused, and say why.
	serviceTimeout = 5 * time.Second
	servicePoll    = 5 * time.Millisecond
)

// Daemon is one run of tarragond.
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
	seed      transport.Seed
	// expectMembers is true if others may run: the log names some, or was not
	// read completely.
	expectMembers bool
	hub           *peer.Hub
	pool          *workers.Pool
	configuration *configuration
	server        *serverState
	dispatcher    *dispatcher
	executor      *executor
	rates         *rates
	groups        *groups
	tickets       *tickets
	handover      *handover

	supersede   sync.Once
	superseded  chan struct{}
	viewChanged chan struct{}
	listeners   map[string]net.Listener
	servers     map[string]*caller.Server
	cancel      context.CancelFunc
	wg          sync.WaitGroup
}

// Surroundings are the interfaces by which a daemon reaches what is outside.
type Surroundings struct {
	Network network.Network
	Log     platform.Log
	Server  backend.Server
	Metrics *metrics.Metrics // nil: nothing is recorded
}

// New returns a daemon that has not started.
func New(cfg Config, outside Surroundings) *Daemon {
	cfg.Link.Dial = outside.Network.Dial
	return &Daemon{
		cfg:         cfg,
		network:     outside.Network,
		log:         outside.Log,
		client:      outside.Server,
		metrics:     outside.Metrics,
		superseded:  make(chan struct{}),
		viewChanged: make(chan struct{}, 1),
		listeners:   make(map[string]net.Listener),
		servers:     make(map[string]*caller.Server),
	}
}

// errSuperseded means that a later daemon has this one's name.
var errSuperseded = errors.New("a later daemon runs under this member name; give each daemon a name of its own")

// Superseded returns a channel that is closed when a later daemon runs under
// this one's name. This one must then stop.
func (d *Daemon) Superseded() <-chan struct{} { return d.superseded }

// Start opens the ports and starts all parts. ctx bounds the start only.
func (d *Daemon) Start(ctx context.Context) error {
	if err := d.listen(); err != nil {
		return errors.Join(err, d.closeListeners())
	}
	if err := d.compose(ctx); err != nil {
		return errors.Join(err, d.closeListeners())
	}
	run, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	d.serve(run)
	d.background(run)
	logging.Event("daemon", "started", "member", d.self.Member, "incarnation", d.self.Incarnation,
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

// compose builds the parts and joins them.
func (d *Daemon) compose(ctx context.Context) error {
	seed, err := d.readSeed(ctx)
	if err != nil {
		logging.Event("daemon", "members-read-incomplete", "error", err.Error())
	}
	d.seed = seed
	// The log may name members that an incomplete read missed.
	d.expectMembers = err != nil || len(seed.Records) > 0
	incarnation := transport.ChooseIncarnation(time.Now(), seed.Highest)
	d.self = execution.Peer{Member: d.cfg.Name, Incarnation: incarnation}
	service, err := d.newMembership()
	if err != nil {
		return err
	}
	d.members = &members{self: d.cfg.Name, started: time.Now(), service: service}
	d.announcer = &transport.Announcer{
		Log: d.log, Clock: transport.SystemClock{}, Service: service, Rand: newRand(),
		OnError: func(err error) { logging.Event("daemon", "members-stream-failed", "error", err.Error()) },
	}
	d.configuration = newConfiguration(d.log, d.members, d.cfg.PollWait, d.cfg.Retention, newRand())
	d.server = newServerState(d.cfg.Heartbeat)
	d.dispatcher = newDispatcher(d.self, d.cfg.Zone, d.members, d.metrics, newRand())
	d.executor = newExecutor(d.self, d.configuration, d.server, d.client, d.metrics)
	d.groups = newGroups(ratelimit.Member{
		ID:   ratelimit.DaemonID{Member: d.self.Member, Incarnation: d.self.Incarnation},
		Zone: d.cfg.Zone, Address: d.cfg.Peer.String(),
	}, d.members, d.log, d.cfg, newRand())
	d.rates = newRates(d.self, d.members, d.groups, d.cfg.RateGroups, newRand())
	d.tickets, err = newTickets(ticket.Owner{Home: d.self.Member, Incarnation: d.self.Incarnation}, d.members, d.rates, d.dispatcher)
	if err != nil {
		return err
	}
	d.handover = newHandover(d.members, d.tickets, d.groups)
	d.groups.handover = d.handover
	d.groups.expectMembers = d.expectMembers
	d.pool = workers.NewPool(d.cfg.Workers)
	d.hub = peer.NewHub(peer.Identity{Member: d.self.Member, Incarnation: d.self.Incarnation, Zone: d.cfg.Zone}, d.cfg.Link, &links{
		pool: d.pool, metrics: d.metrics, configuration: d.configuration, dispatcher: d.dispatcher,
		executor: d.executor, tickets: d.tickets, rates: d.rates, groups: d.groups, handover: d.handover,
	})
	d.join()
	return d.gauges()
}

// join sets the references between parts that depend on each other.
func (d *Daemon) join() {
	d.members.hub = d.hub
	d.dispatcher.hub = d.hub
	d.dispatcher.local = d.executor
	d.executor.hub = d.hub
	d.executor.dispatcher = d.dispatcher
	d.configuration.onChange = d.onVersion
	d.server.onChange = d.onServer
	d.members.service.Subscribe(d.onMembership)
}

// newRand returns a random source for one part. Sources are not shared, since
// they are not safe for concurrent use.
func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// readSeed reads the members from the log. The daemon starts without them if
// the platform is down, and then has to wait for announcements.
func (d *Daemon) readSeed(ctx context.Context) (transport.Seed, error) {
	ctx, cancel := context.WithTimeout(ctx, seedTimeout)
	defer cancel()
	return transport.ReadSeed(ctx, d.log, transport.SystemClock{}, d.cfg.Name)
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
			Fixed: membership.Fixed{
				Zone: d.cfg.Zone, Region: d.cfg.Region, Peer: d.cfg.Peer,
				Caller: d.cfg.Caller, Server: d.cfg.Server, Admin: d.cfg.Admin,
			},
		},
	})
}

// gauges registers the values that are read at each exposition.
func (d *Daemon) gauges() error {
	if d.metrics == nil {
		return nil
	}
	return errors.Join(
		d.metrics.Gauge("tarragon_tables_version", "Version of the tables in force.",
			func() float64 { return float64(d.configuration.current().Version) }),
		d.metrics.Gauge("tarragon_tables_age", "Seconds since the log's end was read; -1 if never.",
			func() float64 { return d.configuration.age(time.Now()) }),
		d.metrics.Gauge("tarragon_ticket_entries", "Used tickets whose state this home keeps.",
			func() float64 { return float64(d.tickets.entries()) }),
		d.metrics.Gauge("tarragon_rate_groups_kept", "Rate groups of which this daemon is the keeper.",
			func() float64 { return float64(d.groups.kept()) }),
		d.metrics.Gauge("tarragon_members_alive", "Members that this daemon considers alive, including itself.",
			func() float64 { return float64(d.members.service.View().Alive) }),
		d.metrics.Gauge("tarragon_queue_length", "Attempts that wait for the backend server.",
			func() float64 { return float64(d.executor.queueStatus(time.Now()).Queued) }),
		d.metrics.Gauge("tarragon_in_flight", "Attempts that the backend server runs.",
			func() float64 { return float64(d.executor.queueStatus(time.Now()).InFlight) }),
		d.metrics.Gauge("tarragon_concurrency_limit", "Attempts that the backend server may run at once.",
			func() float64 { return float64(d.executor.queueStatus(time.Now()).Limit) }),
	)
}

// serve starts the HTTP servers. Callers' connections wait in the listener until
// this daemon can serve them: one that has just restarted has no members yet,
// and would refuse what it is sent.
func (d *Daemon) serve(ctx context.Context) {
	entry := &entry{
		configuration: d.configuration, rates: d.rates, tickets: d.tickets,
		dispatcher: d.dispatcher, metrics: d.metrics, leaving: d.leaving.Load,
		slots: make(chan struct{}, d.cfg.MaxInFlight),
	}
	port := &serverPort{configuration: d.configuration, server: d.server, executor: d.executor, dispatcher: d.dispatcher}
	peers := http.NewServeMux()
	peers.Handle(peer.Path, d.hub)
	for name, handler := range map[string]http.Handler{
		"caller": entry.handler(),
		"server": port.handler(),
		"peer":   peers,
		"admin":  (&admin{daemon: d, metrics: d.metrics}).handler(),
	} {
		server := caller.NewServer(handler)
		d.servers[name] = server
		listener := d.listeners[name]
		d.wg.Go(func() {
			if name == "caller" {
				d.awaitService(ctx)
			}
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
				logging.Event("daemon", "listener-failed", "port", name, "error", err.Error())
			}
		})
	}
}

// awaitService waits, for a limited time, until there are tables in force and
// the pools have been built from the members that the log or a peer named.
func (d *Daemon) awaitService(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, serviceTimeout)
	defer cancel()
	err := waitFor(ctx, servicePoll, func() bool {
		if !d.configuration.canServe() || d.expectMembers && !(d.members.synchronized() && d.groups.allKnown()) {
			return false
		}
		d.dispatcher.updatePools(d.members.service.View(), d.configuration.current())
		return true
	})
	if err != nil {
		logging.WarningEvent("daemon", "serving-without-members-or-tables", "version", d.configuration.current().Version)
	}
}

// background starts the periodic work of the parts.
func (d *Daemon) background(ctx context.Context) {
	for _, run := range []func(context.Context){
		func(ctx context.Context) { _ = d.members.service.Run(ctx) },
		func(ctx context.Context) { d.announcer.Run(ctx, d.seed) },
		d.configuration.run,
		d.configuration.repost,
		d.dispatcher.sweep,
		d.executor.sweep,
		d.rates.run,
		d.groups.follow,
		d.groups.tick,
		d.watchView,
		d.tick,
	} {
		d.wg.Go(func() { run(ctx) })
	}
}

// tick runs the steps that are due each second.
func (d *Daemon) tick(ctx context.Context) {
	for pause(ctx, tickInterval) {
		now := time.Now()
		d.server.check(now)
		d.members.setOrigins(d.tickets.sweep(now))
	}
}

// onVersion applies a new version of the tables.
func (d *Daemon) onVersion(next *tablesInForce) {
	d.rates.setLimits(next.Tables.Workspaces())
	// At once, since requests already match the routes of this version.
	d.dispatcher.updatePools(d.members.service.View(), next)
}

// onServer applies a new state of the own backend server.
func (d *Daemon) onServer(state serverSnapshot) {
	d.executor.applyServer(state)
	d.members.setServer(state)
	d.noteView()
}

// onMembership follows the other members.
func (d *Daemon) onMembership(action membership.Action) {
	switch a := action.(type) {
	case membership.MemberUp:
		logging.Event("daemon", "member-up", "member", a.Member.Name, "incarnation", a.Member.Incarnation, "zone", a.Member.Zone, "reason", string(a.Reason))
	case membership.MemberDown:
		logging.Event("daemon", "member-down", "member", a.Member.Name, "incarnation", a.Member.Incarnation, "reason", string(a.Reason))
		gone := execution.Peer{Member: a.Member.Name, Incarnation: a.Member.Incarnation}
		d.dispatcher.onMemberGone(gone)
		d.tickets.holderGone(ticket.Owner{Home: gone.Member, Incarnation: gone.Incarnation})
		if a.Reason == membership.ReasonReplaced {
			d.executor.askerGone(gone)
			d.groups.died(ratelimit.DaemonID{Member: a.Member.Name, Incarnation: a.Member.Incarnation})
		}
	case membership.MemberLeft:
		logging.Event("daemon", "member-left", "member", a.Member.Name, "incarnation", a.Member.Incarnation)
		d.tickets.holderGone(ticket.Owner{Home: a.Member.Name, Incarnation: a.Member.Incarnation})
	case membership.MemberChanged:
		logging.DebugEvent("daemon", "member-changed", "member", a.Member.Name, "reason", string(a.Reason))
	case membership.Superseded:
		logging.ErrorEvent("daemon", "superseded", errSuperseded, "incarnation", a.Incarnation)
		d.supersede.Do(func() { close(d.superseded) })
	}
	d.noteView()
}

// noteView asks for a rebuild of the pools.
func (d *Daemon) noteView() {
	select {
	case d.viewChanged <- struct{}{}:
	default: // one is asked for already
	}
}

// watchView rebuilds the pools after changes. Changes that come close together
// share one rebuild.
func (d *Daemon) watchView(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.viewChanged:
			d.dispatcher.updatePools(d.members.service.View(), d.configuration.current())
			pause(ctx, viewInterval)
		}
	}
}
