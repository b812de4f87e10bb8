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
		LinkPing     time.Duration
		LinkSilence  time.Duration
		KeyFreshness time.Duration
		StopTimeout  time.Duration
	}
	Log struct {
		Level string
	}
}

// Control holds the settings of tarragonctl.
type Control struct {
	Platform struct {
		Address netip.AddrPort
	}
	Daemons struct {
		// Admin lists admin ports; if empty, the "members" stream is asked.
		Admin []netip.AddrPort
	}
}

// LoadDaemon loads the settings of tarragond. The error is of type Errors.
func LoadDaemon(path string, environment []string) (*Daemon, error) {
	var d Daemon
	return &d, daemonSet(&d).Load(path, environment)
}

// LoadControl loads the settings of tarragonctl. The error is of type Errors.
func LoadControl(path string, environment []string) (*Control, error) {
	var c Control
	return &c, controlSet(&c).Load(path, environment)
}

// DaemonReference returns the settings of tarragond as a Markdown table.
func DaemonReference() string { return daemonSet(&Daemon{}).Reference() }

// ControlReference returns the settings of tarragonctl as a Markdown table.
func ControlReference() string { return controlSet(&Control{}).Reference() }

func daemonSet(d *Daemon) *Set {
	s := &Set{Settings: []Setting{
		name("daemon", "name", &d.Name, "Member name, unique and stable over restarts. Two daemons with one name displace each other."),
		name("daemon", "zone", &d.Zone, "Availability zone. Upstreams of the own zone are preferred, and successors are sought in others."),
		name("daemon", "region", &d.Region, "Region of the availability zone."),

		address("listen", "caller", &d.Listen.Caller, "", false, "Port for callers."),
		address("listen", "server", &d.Listen.Server, "127.0.0.1:7421", false, "Port for the host's own backend server. Keep it local: calls on this port are trusted as far as their request token goes."),
		address("listen", "peer", &d.Listen.Peer, "", true, "TCP and UDP port for other daemons. It must stay the same over restarts, since it serves to prove that an earlier run has ended."),
		address("listen", "admin", &d.Listen.Admin, "", true, "Port for metrics, /livez, /readyz and /status. Keep it in the operators' network."),

		address("platform", "address", &d.Platform.Address, "", true, "Address of the platform's log."),
		duration("platform", "poll_wait", &d.Platform.PollWait, "1s", 100*time.Millisecond, 3*time.Second, "Wait of a long poll. Longer: fewer requests to the platform; shorter: an idle stream is known to be idle earlier. At most half of timing key_freshness."),
		duration("platform", "retention", &d.Platform.Retention, "168h", time.Hour, 8760*time.Hour, "Retention time of the platform. Snapshots are appended before half of it has passed; a value above the real one lets the tables expire, one below costs more snapshots."),

		duration("backend", "heartbeat_interval", &d.Backend.HeartbeatInterval, "1s", 100*time.Millisecond, 10*time.Second, "Expected time between announcements of the backend server; 3 missed ones mark it not ready. Longer: a silent failure is seen later; shorter: a busy server may be marked by mistake."),
		integer("backend", "connections", &d.Backend.Connections, "256", 1, 10000, "Connections to the backend server that are kept. Fewer: more new connections (about 1 ms each); more: less of the server's connection limit is left."),

		integer("rates", "groups", &d.Rates.Groups, "8", 1, 1024, "Rate groups; the same on all daemons. More: the work of keepers is spread wider; fewer: fewer claims on the log."),

		size("limits", "max_body", &d.Limits.MaxBody, "4MiB", tables.MaxBodyBytes, "Largest request or answer body; routes can lower it for requests. Larger: more memory for each request in flight."),
		integer("limits", "max_inflight", &d.Limits.MaxInFlight, "4096", 1, 1_000_000, "Requests of callers that are in this daemon at a time. Larger: more memory; smaller: refusals under short bursts."),
		integer("limits", "workers", &d.Limits.Workers, "16", 1, 1024, "Workers that handle messages of peers. More: a slow handler delays others less; fewer: less contention and memory."),

		duration("timing", "link_ping", &d.Timing.LinkPing, "1s", 100*time.Millisecond, 2*time.Second, "Time between pings on a link between daemons. Shorter: more traffic."),
		duration("timing", "link_silence", &d.Timing.LinkSilence, "2500ms", 300*time.Millisecond, 10*time.Second, "Silence after which a link is replaced, at least twice link_ping. Longer: requests wait longer on a silent link; shorter: a pause of the peer costs a new link."),
		duration("timing", "key_freshness", &d.Timing.KeyFreshness, "4s", time.Second, 4500*time.Millisecond, "Time for which keys are trusted after a read of the log's end. Longer: a withdrawn key works longer (target: at most 5s); shorter: a slow platform sooner leads to questions to peers and to refusals."),
		duration("timing", "stop_timeout", &d.Timing.StopTimeout, "10m", time.Second, 15*time.Minute, "Longest wait for running requests at a planned stop. Shorter than the longest timeout of a route: the stop may interrupt requests."),

		choice("log", "level", &d.Log.Level, "info", logging.Levels, "Lowest level that is logged. debug writes several lines per request."),
	}}
	s.check = func() []Error { return checkDaemon(d) }
	return s
}

// checkDaemon returns the faults that concern more than one setting.
func checkDaemon(d *Daemon) []Error {
	var faults []Error
	if d.Timing.LinkSilence < 2*d.Timing.LinkPing {
		faults = append(faults, Error{Reason: ReasonBadValue, Section: "timing", Key: "link_silence", Value: d.Timing.LinkSilence.String(), Remedy: "use at least twice link_ping, so that one lost ping does not end a link"})
	}
	if 2*d.Platform.PollWait > d.Timing.KeyFreshness {
		faults = append(faults, Error{Reason: ReasonBadValue, Section: "platform", Key: "poll_wait", Value: d.Platform.PollWait.String(), Remedy: "use at most half of timing key_freshness, so that one slow read does not make the tables stale"})
	}
	used := map[netip.AddrPort]string{}
	for _, l := range []struct {
		key     string
		address netip.AddrPort
	}{{"caller", d.Listen.Caller}, {"server", d.Listen.Server}, {"peer", d.Listen.Peer}, {"admin", d.Listen.Admin}} {
		if other, taken := used[l.address]; taken {
			faults = append(faults, Error{Reason: ReasonBadValue, Section: "listen", Key: l.key, Value: l.address.String(), Remedy: "use another port than " + other})
		}
		used[l.address] = l.key
	}
	return faults
}

func controlSet(c *Control) *Set {
	return &Set{Settings: []Setting{
		address("platform", "address", &c.Platform.Address, "", true, "Address of the platform's log."),
		addresses("daemons", "admin", &c.Daemons.Admin, "Admin ports that status and publish --wait ask. Without it they ask all members that the log names, which takes longer but leaves none out."),
	}}
}
