package settings

import (
	"net/netip"
	"time"

	"tarragonshore.example/tarragonshore/internal/process/logging"
)

// Agent holds the settings of tarragon-agent.
type Agent struct {
	Name    string
	Zone    string
	Service string
	Listen  struct {
		Caller, Ready, Announce, Peer, Admin netip.AddrPort
	}
	Backend struct {
		Address           netip.AddrPort
		HeartbeatInterval time.Duration
	}
	Platform struct {
		Address     netip.AddrPort
		RevokeBound time.Duration
		Grace       time.Duration
	}
	Rates struct {
		Window  time.Duration
		Overage float64
		Slack   int
	}
	Retries struct {
		Limit float64
	}
	WarmUp struct {
		Overage float64
		Slack   float64
	}
	Admission struct {
		Feedback bool
	}
	Log struct {
		Level string
	}
}

// LoadAgent loads the settings of tarragon-agent. The error is of type Errors.
func LoadAgent(path string, environment []string) (*Agent, error) {
	var a Agent
	return &a, agentSet(&a).Load(path, environment)
}

// AgentReference returns the settings of tarragon-agent as a Markdown table.
func AgentReference() string { return agentSet(&Agent{}).Reference() }

func agentSet(a *Agent) *Set {
	return &Set{Settings: []Setting{
		name("agent", "name", &a.Name, "Member name, unique in the fleet and stable over restarts."),
		name("agent", "zone", &a.Zone, "Availability zone of the host."),
		name("agent", "service", &a.Service, "Service of the host's backend server. It applies until the server announces itself."),

		address("listen", "caller", &a.Listen.Caller, "", true, "Port for the host's callers and for the calls of its backend server."),
		address("listen", "ready", &a.Listen.Ready, "", true, "Port for the platform's readiness checks, by which it decides whether to send callers to this host."),
		address("listen", "announce", &a.Listen.Announce, "", true, "Port for the announcements of the host's backend server."),
		address("listen", "peer", &a.Listen.Peer, "", true, "TCP and UDP port for other daemons."),
		address("listen", "admin", &a.Listen.Admin, "", true, "Port for metrics."),

		address("backend", "address", &a.Backend.Address, "", true, "Address of the host's backend server. Announcements with another address are not used."),
		duration("backend", "heartbeat_interval", &a.Backend.HeartbeatInterval, "1500ms", 100*time.Millisecond, 10*time.Second, "Expected time between announcements of the backend server. Longer: a failure is detected later; shorter: a busy server may be considered failed."),

		address("platform", "address", &a.Platform.Address, "", true, "Address of the platform's store."),
		duration("platform", "revoke_bound", &a.Platform.RevokeBound, "5s", 2*time.Second, 10*time.Minute, "Maximum time for which a withdrawn key may still be accepted. Keyed requests are refused when the store has not confirmed the tables for nearly that long. Longer: keyed requests survive longer outages of the store."),
		duration("platform", "grace", &a.Platform.Grace, "6s", 3*time.Second, 10*time.Minute, "Time from a stop signal until the platform kills the process. Callers are served for about half of it. A value above the real one cuts requests; one below refuses callers earlier."),

		duration("rates", "window", &a.Rates.Window, "5s", time.Second, 10*time.Minute, "Time over which the platform counts the requests of a workspace against its rate and burst."),
		fraction("rates", "overage", &a.Rates.Overage, "0.1", "Fraction by which the requests counted over window may exceed rate and burst. Greater: fewer requests within the rate are refused; 0: the rate is kept even while daemons do not know of each other."),
		integer("rates", "slack", &a.Rates.Slack, "20", 0, 100000, "Number of requests by which the count may exceed rate and burst in addition to overage. Greater: fewer requests of small workspaces are refused."),

		fraction("retries", "limit", &a.Retries.Limit, "0.2", "Retries that may arrive at a service, as a fraction of the requests for it, over all levels of a call chain. Greater: more failed calls are recovered; smaller: less load is added while upstreams fail."),

		number("warmup", "overage", &a.WarmUp.Overage, "1", 0, 100, "Factor by which the requests that reach a cold backend server in any second may exceed its rate in the tables. Greater: starts that were late are made up for; smaller: a server that fails just above its rate is safe."),
		number("warmup", "slack", &a.WarmUp.Slack, "0", 0, 100000, "Number of requests by which that count may exceed the rate in addition to overage. Greater: a cold server gets requests sooner after a restart under load."),
		boolean("admission", "feedback", &a.Admission.Feedback, "false", "Refuse callers' requests at this daemon while queues refuse more than a twentieth of the call trees of its earlier requests. true: less work is wasted while a burst rises faster than the shedding plan follows; false: only the plan refuses requests. Set it to the same value on all daemons: it also lets answers carry the refusals."),

		choice("log", "level", &a.Log.Level, "info", logging.Levels, "Lowest level that is logged."),
	}}
}
