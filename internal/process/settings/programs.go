package settings

import (
	"net/netip"
	"time"

	"tarragonshore.example/tarragonshore/internal/process/logging"
	"tarragonshore.example/tarragonshore/internal/version/tables"
)

// Daemon holds the settings of tarragond.
type Daemon struct {
	Name   string
	Zone   string
	Region string
	Join   []netip.AddrPort
	Listen struct {
		Caller, Server, Peer, Admin netip.AddrPort
	}
	Platform struct {
		Address   netip.AddrPort
		PollWait  time.Duration
		Retention time.Duration
	}
	Backend struct {
		HeartbeatInterval time.Duration
		Connections       int
	}
	Rates struct {
		Groups int
	}
	Limits struct {
		MaxBody     int // bytes
		MaxInFlight int
		Workers     int
	}
	Timing struct {
		LinkPing    time.Duration
		LinkSilence time.Duration
		LameDuck    time.Duration
		StopTimeout time.Duration
	}
	Log struct {
		Level string
	}
}

// Tarragonctl holds the settings of tarragonctl.
type Tarragonctl struct {
	Platform struct {
		Address netip.AddrPort
	}
	Daemons struct {
		// Admin lists admin ports. If it is empty, they are read from the "members"
		// stream.
		Admin []netip.AddrPort
	}
}

// LoadDaemon loads the settings of tarragond. The error is of type Errors.
func LoadDaemon(path string, environment []string) (*Daemon, error) {
	var d Daemon
	return &d, daemonSet(&d).Load(path, environment)
}

// LoadTarragonctl loads the settings of tarragonctl. The error is of type Errors.
func LoadTarragonctl(path string, environment []string) (*Tarragonctl, error) {
	var c Tarragonctl
	return &c, tarragonctlSet(&c).Load(path, environment)
}

// DaemonReference returns the settings of tarragond as a Markdown table.
func DaemonReference() string { return daemonSet(&Daemon{}).Reference() }

// TarragonctlReference returns the settings of tarragonctl as a Markdown table.
func TarragonctlReference() string { return tarragonctlSet(&Tarragonctl{}).Reference() }

func daemonSet(d *Daemon) *Set {
	s := &Set{Settings: []Setting{
		name("daemon", "name", &d.Name, "Member name, unique and stable over restarts. If two daemons have the same name, the later one makes the earlier one stop."),
		name("daemon", "zone", &d.Zone, "Availability zone. Upstreams in the same zone are preferred; successors at a planned stop are sought in other zones."),
		name("daemon", "region", &d.Region, "Region of the availability zone."),
		addresses("daemon", "join", &d.Join, "Peer addresses of a few other daemons, from which members and tables are requested if the platform is down at the start. Without them, a daemon that starts in an outage finds no other daemon."),

		address("listen", "caller", &d.Listen.Caller, "", false, "Port for callers."),
		address("listen", "server", &d.Listen.Server, "127.0.0.1:7421", false, "Port for the host's own backend server. Keep it local: calls on this port are authorised only by their request token."),
		address("listen", "peer", &d.Listen.Peer, "", true, "TCP and UDP port for other daemons. It must stay the same over restarts, since a later incarnation at the same address proves that the earlier one has ended."),
		address("listen", "admin", &d.Listen.Admin, "", true, "Port for metrics, /livez, /readyz and /status. Keep it in the operators' network."),

		address("platform", "address", &d.Platform.Address, "", true, "Address of the platform's log."),
		duration("platform", "poll_wait", &d.Platform.PollWait, "1s", 100*time.Millisecond, 2*time.Second, "Wait of a long poll. Longer: fewer requests to the platform; shorter: the daemon learns earlier that there are no new records. Keys are trusted for 4s after a read, which must leave time for one slow read."),
		duration("platform", "retention", &d.Platform.Retention, "168h", 3*time.Hour, 8760*time.Hour, "Retention time of the platform. Snapshots are appended before half of it has passed; a value above the real one lets the tables expire, one below costs more snapshots."),

		duration("backend", "heartbeat_interval", &d.Backend.HeartbeatInterval, "1s", 100*time.Millisecond, 10*time.Second, "Expected time between announcements of the backend server; 3 missed ones mark it not ready. Longer: a failure is detected later; shorter: a busy server may be marked not ready."),
		integer("backend", "connections", &d.Backend.Connections, "256", 1, 10000, "Connections to the backend server that are kept. Fewer: more new connections (about 1 ms each); more: less of the server's connection limit is left."),

		integer("rates", "groups", &d.Rates.Groups, "8", 1, 1024, "Number of rate groups, over which the rates of workspaces are distributed; the same on all daemons. More: the work of keepers is distributed over more daemons; fewer: fewer claims on the log."),

		size("limits", "max_body", &d.Limits.MaxBody, "4MiB", tables.MaxBodyBytes, "Largest answer body of the backend server; request bodies are bounded by max_body of their route. Larger: more memory for each request in flight."),
		integer("limits", "max_inflight", &d.Limits.MaxInFlight, "4096", 1, 1_000_000, "Requests of callers that this daemon handles at a time. Larger: more memory; smaller: refusals under short bursts."),
		integer("limits", "workers", &d.Limits.Workers, "16", 1, 1024, "Workers that handle messages of peers. More: a slow handler delays others less; fewer: less contention and memory."),

		duration("timing", "link_ping", &d.Timing.LinkPing, "1s", 100*time.Millisecond, 2*time.Second, "Time between pings on a link between daemons. Shorter: more traffic."),
		duration("timing", "link_silence", &d.Timing.LinkSilence, "2500ms", 300*time.Millisecond, 10*time.Second, "Silence after which a link is replaced, at least twice link_ping. Longer: requests wait longer on a silent link; shorter: a pause of the peer costs a new link."),
		duration("timing", "lame_duck", &d.Timing.LameDuck, "2s", 0, time.Minute, "Time at a planned stop in which callers are still served and told to close their connections. Longer: fewer connections are open when the port closes; shorter: a faster stop."),
		duration("timing", "stop_timeout", &d.Timing.StopTimeout, "10m", time.Second, 15*time.Minute, "Longest wait for running requests at a planned stop. Shorter than the longest timeout of a route: the stop may interrupt requests."),

		choice("log", "level", &d.Log.Level, "info", logging.Levels, "Lowest level that is logged. debug writes several lines per request."),
	}}
	s.check = func() []Error { return checkDaemon(d) }
	return s
}

// checkDaemon returns errors in the combination of settings.
func checkDaemon(d *Daemon) []Error {
	var errs []Error
	if d.Timing.LinkSilence < 2*d.Timing.LinkPing {
		errs = append(errs, Error{Reason: ReasonBadValue, Section: "timing", Key: "link_silence", Value: d.Timing.LinkSilence.String(), Remedy: "use at least twice link_ping, so that one lost ping does not end a link"})
	}
	used := map[netip.AddrPort]string{}
	for _, l := range []struct {
		key     string
		address netip.AddrPort
	}{{"caller", d.Listen.Caller}, {"server", d.Listen.Server}, {"peer", d.Listen.Peer}, {"admin", d.Listen.Admin}} {
		if other, taken := used[l.address]; taken {
			errs = append(errs, Error{Reason: ReasonBadValue, Section: "listen", Key: l.key, Value: l.address.String(), Remedy: "use another port than " + other})
		}
		used[l.address] = l.key
	}
	return errs
}

// StandinPlatform holds the settings of the stand-in for the platform, which tests and
// trials use.
type StandinPlatform struct {
	Listen           netip.AddrPort
	AppendsPerSecond int
	Retention        time.Duration
}

// StandinBackend holds the settings of the stand-in for a backend server, which tests and
// trials use.
type StandinBackend struct {
	Name                string
	Pool                string
	Listen              netip.AddrPort
	Daemon              netip.AddrPort
	Slots               int
	ServiceTime         time.Duration
	ConstantServiceTime bool
	QueueLimit          int
	ColdStart           time.Duration
	Calls               string
	// IgnoreCancel makes the server continue requests whose caller has disconnected.
	IgnoreCancel bool
	Direct       string
	DirectTries  int
	Zone         string
	ZoneDelay    time.Duration
	ConnectDelay time.Duration
	Seed         int
}

// LoadStandinPlatform loads the settings of the stand-in for the platform. The error is
// of type Errors.
func LoadStandinPlatform(path string, environment []string) (*StandinPlatform, error) {
	var p StandinPlatform
	s := &Set{Settings: []Setting{
		address("platform", "listen", &p.Listen, "", true, "Port of the log."),
		integer("platform", "appends_per_second", &p.AppendsPerSecond, "300", 1, 1_000_000, "Appends accepted per second; more are refused."),
		duration("platform", "retention", &p.Retention, "24h", time.Second, 8760*time.Hour, "Time for which records are kept."),
	}}
	return &p, s.Load(path, environment)
}

// LoadStandinBackend loads the settings of the stand-in for a backend server. The error
// is of type Errors.
func LoadStandinBackend(path string, environment []string) (*StandinBackend, error) {
	var b StandinBackend
	s := &Set{Settings: []Setting{
		name("backend", "name", &b.Name, "Name of the backend server."),
		name("backend", "pool", &b.Pool, "Pool that it joins."),
		address("backend", "listen", &b.Listen, "", true, "Port for requests."),
		address("backend", "daemon", &b.Daemon, "", true, "Server port of its daemon."),
		integer("backend", "slots", &b.Slots, "8", 1, 100_000, "Requests that run at once."),
		duration("backend", "service", &b.ServiceTime, "1ms", 0, time.Minute, "Mean time that a request holds a slot."),
		boolean("backend", "constant", &b.ConstantServiceTime, "false", "Constant service times in place of exponentially distributed ones."),
		integer("backend", "queue_limit", &b.QueueLimit, "100", 0, 1_000_000, "Requests that can wait for a slot, in addition to as many as there are slots; further ones get status 503."),
		duration("backend", "cold_start", &b.ColdStart, "0s", 0, time.Hour, "Time after the start during which requests take 4 times as long."),
		text("backend", "calls", &b.Calls, "Calls to other services that each request makes, such as \"GET /stock/1\", separated by commas."),
		boolean("backend", "ignore_cancel", &b.IgnoreCancel, "false", "Continue requests whose deadline has passed or whose caller has disconnected."),
		text("backend", "direct", &b.Direct, "Backend servers to call without daemons, as POOL=ADDRESS, separated by commas. Used for baseline measurements."),
		integer("backend", "direct_tries", &b.DirectTries, "1", 1, 100, "Attempts of each direct call."),
		text("backend", "zone", &b.Zone, "Availability zone that is named in responses."),
		duration("backend", "zone_delay", &b.ZoneDelay, "0s", 0, time.Minute, "One-way latency between zones; a call answered from another zone takes twice this time longer."),
		duration("backend", "connect_delay", &b.ConnectDelay, "0s", 0, time.Minute, "Time that opening a new connection takes."),
		integer("backend", "seed", &b.Seed, "1", 0, 1<<31, "Seed of the service times."),
	}}
	return &b, s.Load(path, environment)
}

func tarragonctlSet(c *Tarragonctl) *Set {
	return &Set{Settings: []Setting{
		address("platform", "address", &c.Platform.Address, "", true, "Address of the platform's log."),
		addresses("daemons", "admin", &c.Daemons.Admin, "Admin ports that status and publish --wait query. Without it, they query all members found on the log, which takes longer but omits none."),
	}}
}
