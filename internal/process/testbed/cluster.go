package testbed

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"text/template"
	"time"

	"tarragonshore.example/tarragonshore/internal/process/standin"
)

// Service describes the backend servers of one pool.
type Service struct {
	Pool      string
	Upstreams int
	// Slots holds the number of slots of each backend server. If it has fewer than
	// Upstreams items, they are used in turn.
	Slots []int
	// ServiceTimeMS is the mean service time. Service times are exponentially
	// distributed, or constant if ConstantServiceTime is set.
	ServiceTimeMS       float64
	ConstantServiceTime bool
	QueueLimit          int
	// Calls are the calls that each request makes, e.g. "GET /donors/1".
	Calls []string
	// IgnoreCancel makes the servers finish requests that were cancelled or whose
	// deadline has passed.
	IgnoreCancel bool
	// ColdStartMS is the time after the start in which requests take 4 times as long.
	ColdStartMS int
}

// Spec describes a cluster.
type Spec struct {
	Zones    int
	Services []Service
	// RateGroups is the number of groups over which the daemons distribute the
	// workspaces' rates.
	RateGroups int
	// AppendsPerSecond and RetentionSeconds configure the platform's log.
	AppendsPerSecond int
	RetentionSeconds int
	// LogLevel is the log level of the daemons; empty means their default.
	LogLevel string
	// ExtraSettings is added to each daemon's settings file.
	ExtraSettings string
	// DaemonBin is the directory of the tarragond to run, for comparisons with an
	// earlier version; empty means the directory of the other programs.
	DaemonBin string
	// Direct makes the backend servers call each other without daemons, with up to
	// DirectTries tries per call, as a baseline for comparisons.
	Direct      bool
	DirectTries int
	// ZoneDelay is the one-way latency between availability zones. ConnectDelay is
	// the latency of opening a connection to a backend server.
	ZoneDelay, ConnectDelay time.Duration
}

// Host is a host of the cluster: a daemon and its backend server. Caller, Server,
// Peer and Admin are the addresses (IP:port) of the daemon's listeners.
type Host struct {
	Name        string
	Zone        string
	Pool        string
	Caller      string
	Server      string
	Peer        string
	Admin       string
	BackendAddr string // IP:port of the backend server

	Daemon  *Process
	Backend *Process

	cluster       *Cluster
	daemonConfig  string
	backendConfig string
}

// Cluster is a set of processes on this machine: a platform stand-in and hosts
// with a daemon and a backend server each.
type Cluster struct {
	Dir          string // of the settings files and logs
	Bin          string // directory of the programs
	DaemonBin    string // directory of the tarragond to run
	PlatformAddr string
	Platform     *Process
	Hosts        []*Host

	platformConfig string
}

const platformTemplate = `[platform]
listen = {{.Listen}}
appends_per_second = {{.Appends}}
retention = {{.Retention}}s
`

const daemonTemplate = `[daemon]
name = {{.Name}}
zone = {{.Zone}}
region = local

[listen]
caller = {{.Caller}}
server = {{.Server}}
peer = {{.Peer}}
admin = {{.Admin}}

[platform]
address = {{.Platform}}
retention = {{.Retention}}s

[rates]
groups = {{.Groups}}

{{if .Level}}[log]
level = {{.Level}}
{{end}}{{.Extra}}
`

const backendTemplate = `[backend]
name = {{.Name}}
pool = {{.Pool}}
listen = {{.Listen}}
daemon = {{.Daemon}}
slots = {{.Slots}}
service = {{.Service}}
constant = {{.Constant}}
queue_limit = {{.Queue}}
cold_start = {{.Cold}}ms
calls = {{.Calls}}
ignore_cancel = {{.IgnoreCancel}}
seed = {{.Seed}}
direct = {{.Direct}}
direct_tries = {{.DirectTries}}
zone = {{.Zone}}
zone_delay = {{.ZoneDelay}}
connect_delay = {{.ConnectDelay}}
`

// DaemonProgram is the file name of the daemon's program.
const DaemonProgram = "tarragond"

// portsPerHost is the number of ports of a host: the daemon's caller, server,
// peer and admin port, and the backend server's port.
const portsPerHost = 5

// New writes the settings files of a cluster to dir. bin is the directory of the
// programs.
func New(dir, bin string, spec Spec) (*Cluster, error) {
	count := 0
	for _, service := range spec.Services {
		count += service.Upstreams
	}
	ports, err := FreePorts(1 + count*portsPerHost)
	if err != nil {
		return nil, err
	}
	cluster := &Cluster{Dir: dir, Bin: bin, DaemonBin: cmp.Or(spec.DaemonBin, bin), PlatformAddr: address(ports[0])}
	cluster.platformConfig, err = writeConfig(dir, "platform.ini", platformTemplate, map[string]any{
		"Listen": cluster.PlatformAddr, "Appends": spec.AppendsPerSecond, "Retention": spec.RetentionSeconds,
	})
	if err != nil {
		return nil, err
	}
	ports = ports[1:]
	direct := ""
	if spec.Direct {
		direct = directAddresses(spec, ports)
	}
	for _, service := range spec.Services {
		for i := range service.Upstreams {
			zone := fmt.Sprintf("zone-%d", (len(cluster.Hosts))%spec.Zones+1)
			host, err := cluster.newHost(spec, service, i, zone, direct, ports[:portsPerHost])
			if err != nil {
				return nil, err
			}
			ports = ports[portsPerHost:]
			cluster.Hosts = append(cluster.Hosts, host)
		}
	}
	return cluster, nil
}

// directAddresses returns the backend servers as a list of POOL=ADDRESS items, for the
// setting "direct" of the backend server stand-in. ports holds portsPerHost ports for
// each host.
func directAddresses(spec Spec, ports []int) string {
	var list []string
	for _, service := range spec.Services {
		for range service.Upstreams {
			list = append(list, service.Pool+"="+address(ports[portsPerHost-1]))
			ports = ports[portsPerHost:]
		}
	}
	return strings.Join(list, ", ")
}

func address(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// newHost writes the settings files of one host and returns it.
func (c *Cluster) newHost(spec Spec, service Service, index int, zone, direct string, ports []int) (*Host, error) {
	name := fmt.Sprintf("%s-%d", service.Pool, index+1)
	host := &Host{
		Name: name, Zone: zone, Pool: service.Pool, cluster: c,
		Caller: address(ports[0]), Server: address(ports[1]), Peer: address(ports[2]),
		Admin: address(ports[3]), BackendAddr: address(ports[4]),
	}
	var err error
	host.daemonConfig, err = writeConfig(c.Dir, name+"-daemon.ini", daemonTemplate, map[string]any{
		"Name": name, "Zone": zone, "Caller": host.Caller, "Server": host.Server,
		"Peer": host.Peer, "Admin": host.Admin, "Platform": c.PlatformAddr,
		"Retention": spec.RetentionSeconds, "Groups": spec.RateGroups, "Level": spec.LogLevel,
		"Extra": spec.ExtraSettings,
	})
	if err != nil {
		return nil, err
	}
	host.backendConfig, err = writeConfig(c.Dir, name+"-backend.ini", backendTemplate, map[string]any{
		"Name": name, "Pool": service.Pool, "Listen": host.BackendAddr, "Daemon": host.Server,
		"Slots": service.Slots[index%len(service.Slots)], "Service": fmt.Sprintf("%gms", service.ServiceTimeMS),
		"Constant": service.ConstantServiceTime, "Queue": service.QueueLimit, "Cold": service.ColdStartMS,
		"Calls": strings.Join(service.Calls, ", "), "IgnoreCancel": service.IgnoreCancel, "Seed": index + 1,
		"Direct": direct, "DirectTries": max(1, spec.DirectTries),
		"Zone": zone, "ZoneDelay": spec.ZoneDelay, "ConnectDelay": spec.ConnectDelay,
	})
	return host, err
}

func writeConfig(dir, name, text string, values map[string]any) (string, error) {
	var content bytes.Buffer
	if err := template.Must(template.New(name).Parse(text)).Execute(&content, values); err != nil {
		return "", err
	}
	path := filepath.Join(dir, name)
	return path, os.WriteFile(path, content.Bytes(), 0o644)
}

// Start starts the platform, all daemons and, once the daemon of their host responds,
// the backend servers. After an error, call Stop to end the processes that were
// started.
func (c *Cluster) Start(ctx context.Context) error {
	if err := c.StartPlatform(ctx); err != nil {
		return err
	}
	for _, host := range c.Hosts {
		if err := host.StartDaemon(); err != nil {
			return err
		}
	}
	for _, host := range c.Hosts {
		if err := WaitReady(ctx, "http://"+host.Admin+"/livez"); err != nil {
			return err
		}
		if err := host.StartBackend(); err != nil {
			return err
		}
	}
	return nil
}

// StartBackends starts only the backend servers, for a cluster without daemons.
func (c *Cluster) StartBackends(ctx context.Context) error {
	for _, host := range c.Hosts {
		if err := host.StartBackend(); err != nil {
			return err
		}
	}
	for _, host := range c.Hosts {
		if err := WaitReady(ctx, "http://"+host.BackendAddr+"/control/health"); err != nil {
			return err
		}
	}
	return nil
}

// StartPlatform starts the platform stand-in, whose log is empty after each start.
func (c *Cluster) StartPlatform(ctx context.Context) error {
	var err error
	c.Platform, err = StartProcess(c.Dir, "platform", filepath.Join(c.Bin, "tarragon-standin"),
		"platform", "--config", c.platformConfig)
	if err != nil {
		return err
	}
	return WaitReady(ctx, "http://"+c.PlatformAddr+"/v1/streams/tables/records?from=0&limit=1&wait_ms=0")
}

// StartDaemon starts the host's daemon.
func (h *Host) StartDaemon() error {
	var err error
	h.Daemon, err = StartProcess(h.cluster.Dir, h.Name+"-daemon", filepath.Join(h.cluster.DaemonBin, DaemonProgram),
		"--config", h.daemonConfig)
	return err
}

// StartBackend starts the host's backend server.
func (h *Host) StartBackend() error {
	var err error
	h.Backend, err = StartProcess(h.cluster.Dir, h.Name+"-backend", filepath.Join(h.cluster.Bin, "tarragon-standin"),
		"backend", "--config", h.backendConfig)
	return err
}

// Host returns the host with the given name, or nil.
func (c *Cluster) Host(name string) *Host {
	for _, host := range c.Hosts {
		if host.Name == name {
			return host
		}
	}
	return nil
}

// WaitDaemonsReady waits until all daemons report ready. A daemon is ready once it
// has tables in force and its backend server is ready.
func (c *Cluster) WaitDaemonsReady(ctx context.Context) error {
	for _, host := range c.Hosts {
		if err := WaitReady(ctx, "http://"+host.Admin+"/readyz"); err != nil {
			return err
		}
	}
	return nil
}

// RunTarragonctl runs tarragonctl against the cluster's platform and returns its
// output and exit code.
func (c *Cluster) RunTarragonctl(ctx context.Context, args ...string) (string, int, error) {
	return c.RunTarragonctlWithInput(ctx, "", args...)
}

// RunTarragonctlWithInput is RunTarragonctl with the given standard input.
func (c *Cluster) RunTarragonctlWithInput(ctx context.Context, input string, args ...string) (string, int, error) {
	command := exec.CommandContext(ctx, filepath.Join(c.Bin, "tarragonctl"), args...)
	command.Env = append(os.Environ(), "TARRAGON_PLATFORM_ADDRESS="+c.PlatformAddr)
	command.Stdin = strings.NewReader(input)
	output, err := command.Output()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return string(output) + string(exit.Stderr), exit.ExitCode(), nil
	}
	return string(output), 0, err
}

// Stop ends all processes: the hosts gracefully, then the platform.
func (c *Cluster) Stop() error {
	var errs []error
	stopped := make(chan error, len(c.Hosts))
	for _, host := range c.Hosts {
		go func() { stopped <- host.Stop() }()
	}
	for range c.Hosts {
		errs = append(errs, <-stopped)
	}
	if c.Platform != nil {
		errs = append(errs, c.Platform.Stop())
	}
	return errors.Join(errs...)
}

// Stop ends the host's processes gracefully. The daemon stops first, since it
// completes the requests that its backend server is still running.
func (h *Host) Stop() error {
	var errs []error
	if h.Daemon != nil {
		errs = append(errs, h.Daemon.Stop())
	}
	if h.Backend != nil {
		errs = append(errs, h.Backend.Stop())
	}
	return errors.Join(errs...)
}

// SetPlatformFaults replaces the injected faults of the platform stand-in.
func (c *Cluster) SetPlatformFaults(ctx context.Context, faults standin.PlatformFaults) error {
	return putJSON(ctx, "http://"+c.PlatformAddr+"/v1/faults", faults)
}

// SetFaults replaces the injected faults of the host's backend server.
func (h *Host) SetFaults(ctx context.Context, faults standin.BackendFaults) error {
	return putJSON(ctx, "http://"+h.BackendAddr+"/control/faults", faults)
}

// Report returns the counters of the host's backend server.
func (h *Host) Report(ctx context.Context) (standin.BackendReport, error) {
	var report standin.BackendReport
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.BackendAddr+"/control/report", nil)
	if err != nil {
		return report, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return report, err
	}
	defer func() { _ = response.Body.Close() }()
	return report, json.NewDecoder(response.Body).Decode(&report)
}

func putJSON(ctx context.Context, url string, value any) error {
	content, err := json.Marshal(value)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(content))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("PUT %s: status %d", url, response.StatusCode)
	}
	return nil
}
