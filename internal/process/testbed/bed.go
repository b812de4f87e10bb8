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
	// Slots are used in turn for the upstreams.
	Slots      []int
	ServiceMS  float64
	Constant   bool
	QueueLimit int
	// Calls are the calls that each request makes, e.g. "GET /donors/1".
	Calls []string
	// IgnoreCancel lets the servers work on requests whose caller is gone.
	IgnoreCancel bool
	// ColdStartMS is the time after start in which requests take 4 times as long.
	ColdStartMS int
}

// Spec describes a whole bed.
type Spec struct {
	Zones    int
	Services []Service
	// Groups is the number of rate groups.
	Groups int
	// AppendsPerSecond and RetentionSeconds are properties of the platform.
	AppendsPerSecond int
	RetentionSeconds int
	// LogLevel is the log level of the daemons; empty means their default.
	LogLevel string
	// ExtraSettings is added to each daemon's settings file.
	ExtraSettings string
	// DaemonBin holds the tarragond to run; empty means the directory of all programs.
	DaemonBin string
	// Direct lets the backend servers call each other without daemons, with
	// DirectTries tries per call.
	Direct      bool
	DirectTries int
	// ZoneDelay is the one-way time between zones, and ConnectDelay what a new
	// connection to a backend server costs.
	ZoneDelay, ConnectDelay time.Duration
}

// Node is one host: a daemon and its backend server.
type Node struct {
	Name   string
	Zone   string
	Pool   string
	Caller string // addresses IP:port
	Server string
	Peer   string
	Admin  string
	Work   string // the backend server's

	Daemon  *Process
	Backend *Process

	bed           *Bed
	daemonConfig  string
	backendConfig string
}

// Bed is a running set of processes.
type Bed struct {
	Dir          string
	Bin          string
	DaemonBin    string
	PlatformAddr string
	Platform     *Process
	Nodes        []*Node

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

// DaemonProgram is the file name of the daemon.
const DaemonProgram = "tarragond"

// portsPerNode counts caller, server, peer, admin and the backend server's port.
const portsPerNode = 5

// New prepares the settings files of a bed in dir; bin holds the programs.
func New(dir, bin string, spec Spec) (*Bed, error) {
	count := 0
	for _, service := range spec.Services {
		count += service.Upstreams
	}
	ports, err := FreePorts(1 + count*portsPerNode)
	if err != nil {
		return nil, err
	}
	bed := &Bed{Dir: dir, Bin: bin, DaemonBin: cmp.Or(spec.DaemonBin, bin), PlatformAddr: address(ports[0])}
	bed.platformConfig, err = writeConfig(dir, "platform.ini", platformTemplate, map[string]any{
		"Listen": bed.PlatformAddr, "Appends": spec.AppendsPerSecond, "Retention": spec.RetentionSeconds,
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
			zone := fmt.Sprintf("zone-%d", (len(bed.Nodes))%spec.Zones+1)
			node, err := bed.newNode(spec, service, i, zone, direct, ports[:portsPerNode])
			if err != nil {
				return nil, err
			}
			ports = ports[portsPerNode:]
			bed.Nodes = append(bed.Nodes, node)
		}
	}
	return bed, nil
}

// directAddresses lists the backend servers as POOL=ADDRESS, one per upstream.
func directAddresses(spec Spec, ports []int) string {
	var list []string
	for _, service := range spec.Services {
		for range service.Upstreams {
			list = append(list, service.Pool+"="+address(ports[portsPerNode-1]))
			ports = ports[portsPerNode:]
		}
	}
	return strings.Join(list, ", ")
}

func address(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// newNode writes the settings of one host.
func (b *Bed) newNode(spec Spec, service Service, index int, zone, direct string, ports []int) (*Node, error) {
	name := fmt.Sprintf("%s-%d", service.Pool, index+1)
	node := &Node{
		Name: name, Zone: zone, Pool: service.Pool, bed: b,
		Caller: address(ports[0]), Server: address(ports[1]), Peer: address(ports[2]),
		Admin: address(ports[3]), Work: address(ports[4]),
	}
	var err error
	node.daemonConfig, err = writeConfig(b.Dir, name+"-daemon.ini", daemonTemplate, map[string]any{
		"Name": name, "Zone": zone, "Caller": node.Caller, "Server": node.Server,
		"Peer": node.Peer, "Admin": node.Admin, "Platform": b.PlatformAddr,
		"Retention": spec.RetentionSeconds, "Groups": spec.Groups, "Level": spec.LogLevel,
		"Extra": spec.ExtraSettings,
	})
	if err != nil {
		return nil, err
	}
	node.backendConfig, err = writeConfig(b.Dir, name+"-backend.ini", backendTemplate, map[string]any{
		"Name": name, "Pool": service.Pool, "Listen": node.Work, "Daemon": node.Server,
		"Slots": service.Slots[index%len(service.Slots)], "Service": fmt.Sprintf("%gms", service.ServiceMS),
		"Constant": service.Constant, "Queue": service.QueueLimit, "Cold": service.ColdStartMS,
		"Calls": strings.Join(service.Calls, ", "), "IgnoreCancel": service.IgnoreCancel, "Seed": index + 1,
		"Direct": direct, "DirectTries": max(1, spec.DirectTries),
		"Zone": zone, "ZoneDelay": spec.ZoneDelay, "ConnectDelay": spec.ConnectDelay,
	})
	return node, err
}

func writeConfig(dir, name, text string, values map[string]any) (string, error) {
	var content bytes.Buffer
	if err := template.Must(template.New(name).Parse(text)).Execute(&content, values); err != nil {
		return "", err
	}
	path := filepath.Join(dir, name)
	return path, os.WriteFile(path, content.Bytes(), 0o644)
}

// Start runs the platform and all hosts and waits until they are ready. On an
// error, Stop ends what has started.
func (b *Bed) Start(ctx context.Context) error {
	if err := b.StartPlatform(ctx); err != nil {
		return err
	}
	for _, node := range b.Nodes {
		if err := node.StartDaemon(); err != nil {
			return err
		}
	}
	for _, node := range b.Nodes {
		if err := WaitReady(ctx, "http://"+node.Admin+"/livez"); err != nil {
			return err
		}
		if err := node.StartBackend(); err != nil {
			return err
		}
	}
	return nil
}

// StartBackends runs only the backend servers, for a bed without daemons.
func (b *Bed) StartBackends(ctx context.Context) error {
	for _, node := range b.Nodes {
		if err := node.StartBackend(); err != nil {
			return err
		}
	}
	for _, node := range b.Nodes {
		if err := WaitReady(ctx, "http://"+node.Work+"/control/health"); err != nil {
			return err
		}
	}
	return nil
}

// StartPlatform runs the platform's stand-in, whose log starts empty.
func (b *Bed) StartPlatform(ctx context.Context) error {
	var err error
	b.Platform, err = StartProcess(b.Dir, "platform", filepath.Join(b.Bin, "tarragon-standin"),
		"platform", "--config", b.platformConfig)
	if err != nil {
		return err
	}
	return WaitReady(ctx, "http://"+b.PlatformAddr+"/v1/streams/tables/records?from=0&limit=1&wait_ms=0")
}

// StartDaemon runs the host's daemon.
func (n *Node) StartDaemon() error {
	var err error
	n.Daemon, err = StartProcess(n.bed.Dir, n.Name+"-daemon", filepath.Join(n.bed.DaemonBin, DaemonProgram),
		"--config", n.daemonConfig)
	return err
}

// StartBackend runs the host's backend server.
func (n *Node) StartBackend() error {
	var err error
	n.Backend, err = StartProcess(n.bed.Dir, n.Name+"-backend", filepath.Join(n.bed.Bin, "tarragon-standin"),
		"backend", "--config", n.backendConfig)
	return err
}

// Node returns the host of a name, or nil.
func (b *Bed) Node(name string) *Node {
	for _, node := range b.Nodes {
		if node.Name == name {
			return node
		}
	}
	return nil
}

// WaitInForce waits until every daemon has at least the version in force and
// reports itself ready.
func (b *Bed) WaitInForce(ctx context.Context) error {
	for _, node := range b.Nodes {
		if err := WaitReady(ctx, "http://"+node.Admin+"/readyz"); err != nil {
			return err
		}
	}
	return nil
}

// Control runs tarragonctl against the bed's platform and returns its output
// and exit code.
func (b *Bed) Control(ctx context.Context, args ...string) (string, int, error) {
	return b.ControlWithInput(ctx, "", args...)
}

// ControlWithInput is Control with standard input.
func (b *Bed) ControlWithInput(ctx context.Context, input string, args ...string) (string, int, error) {
	command := exec.CommandContext(ctx, filepath.Join(b.Bin, "tarragonctl"), args...)
	command.Env = append(os.Environ(), "TARRAGON_PLATFORM_ADDRESS="+b.PlatformAddr)
	command.Stdin = strings.NewReader(input)
	output, err := command.Output()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return string(output) + string(exit.Stderr), exit.ExitCode(), nil
	}
	return string(output), 0, err
}

// Stop ends all processes: the hosts gracefully, then the platform.
func (b *Bed) Stop() error {
	var errs []error
	stopped := make(chan error, len(b.Nodes))
	for _, node := range b.Nodes {
		go func() { stopped <- node.Stop() }()
	}
	for range b.Nodes {
		errs = append(errs, <-stopped)
	}
	if b.Platform != nil {
		errs = append(errs, b.Platform.Stop())
	}
	return errors.Join(errs...)
}

// Stop ends the host's processes gracefully, the daemon first: it finishes the
// requests that its backend server still runs.
func (n *Node) Stop() error {
	var errs []error
	if n.Daemon != nil {
		errs = append(errs, n.Daemon.Stop())
	}
	if n.Backend != nil {
		errs = append(errs, n.Backend.Stop())
	}
	return errors.Join(errs...)
}

// SetPlatformFaults changes the faults of the platform's stand-in.
func (b *Bed) SetPlatformFaults(ctx context.Context, faults standin.PlatformFaults) error {
	return put(ctx, "http://"+b.PlatformAddr+"/v1/faults", faults)
}

// SetFaults changes the faults of the host's backend server.
func (n *Node) SetFaults(ctx context.Context, faults standin.BackendFaults) error {
	return put(ctx, "http://"+n.Work+"/control/faults", faults)
}

// Report returns what the host's backend server counted.
func (n *Node) Report(ctx context.Context) (standin.BackendReport, error) {
	var report standin.BackendReport
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.Work+"/control/report", nil)
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

func put(ctx context.Context, url string, value any) error {
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
