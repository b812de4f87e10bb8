package kit

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a script.
const (
	ExitHeld   = 0
	ExitBroken = 1
	ExitNotRun = 2
)

// grace is the bound grace: the time from SIGTERM to SIGKILL.
const grace = 6 * time.Second

// maxScriptTime ends a script that hangs.
const maxScriptTime = 110 * time.Second

// Ports of every machine, as offsets from the first port of the fleet.
const (
	portControl = iota
	portInbound
	portStore
	portReady
	portServer
	portOutbound
	portPeers                  // the first of the port range for daemons
	portCount = portPeers + 16 // a port range has 16 ports
	portAdmin = 9464           // not an offset: deploy/agent.ini names it
	// The first port is chosen at random from this range, below the ephemeral ports.
	minFirstPort, maxFirstPort = 10000, 30000
)

// Host is one machine: its agent and the address of its backend server.
type Host struct {
	Name, Zone, Service, IP string

	fleet   *Fleet
	config  string
	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

// Fleet is a store and machines on loopback addresses of one random /24.
type Fleet struct {
	Record *Record
	Store  *Store
	Hosts  []*Host

	root, folder, network string
	firstPort             int
}

// Script is the body of a script. It returns an exit code, or an error if the case
// could not run. trouble is false if the disruption is to be left out.
type Script func(f *Fleet, trouble bool) (int, error)

// Main runs a script and exits with its code. The arguments of the program are the
// repository and the folder of the case.
func Main(script Script) {
	os.Exit(run(script))
}

func run(script Script) int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: PROGRAM REPOSITORY CASE-FOLDER")
		return ExitNotRun
	}
	record, err := NewRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitNotRun
	}
	defer record.Close()
	f, err := newFleet(os.Args[1], record)
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return ExitNotRun
	}
	defer f.close()
	type result struct {
		code int
		err  error
	}
	done := make(chan result, 1)
	trouble := os.Getenv("TROUBLE") != "0"
	record.Line("trouble: %t", trouble)
	go func() {
		code, err := script(f, trouble)
		done <- result{code, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	r := result{code: ExitNotRun, err: errors.New("the script took too long")}
	select {
	case r = <-done:
	case <-signals:
		r.err = errors.New("the script was interrupted")
	case <-time.After(maxScriptTime):
	}
	if r.err != nil {
		record.Line("the case could not run: %v", r.err)
		fmt.Fprintln(os.Stderr, "the case could not run:", r.err)
		return ExitNotRun
	}
	return r.code
}

// Report writes a line to the record and to standard output.
func (f *Fleet) Report(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	f.Record.Line("%s", text)
	fmt.Println(text)
}

// newFleet starts a store in a /24 of loopback addresses, with ports that are free.
func newFleet(root string, record *Record) (*Fleet, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &Fleet{Record: record, root: root, folder: folder}
	for range 20 {
		f.network = fmt.Sprintf("127.%d.%d.", 30+rand.IntN(200), 1+rand.IntN(250))
		f.firstPort = minFirstPort + rand.IntN(maxFirstPort-minFirstPort)
		if err = f.checkPorts(); err != nil {
			continue
		}
		if f.Store, err = StartStore(f.StoreAddress()); err == nil {
			return f, nil
		}
	}
	_ = os.RemoveAll(folder)
	return nil, err
}

// checkPorts returns an error if a port that the machines need is taken.
func (f *Fleet) checkPorts() error {
	ports := []int{portAdmin}
	for n := range portCount {
		ports = append(ports, f.firstPort+n)
	}
	for _, port := range ports {
		listener, err := net.Listen("tcp", fmt.Sprintf("%s1:%d", f.network, port))
		if err != nil {
			return err
		}
		_ = listener.Close()
	}
	return nil
}

// StoreAddress returns the address of the store.
func (f *Fleet) StoreAddress() string {
	return fmt.Sprintf("%s250:%d", f.network, f.firstPort+portStore)
}

func (f *Fleet) close() {
	for _, h := range f.Hosts {
		h.Kill()
	}
	f.Store.Close()
	_ = os.RemoveAll(f.folder)
}

// AddHost adds a machine without starting its agent.
func (f *Fleet) AddHost(name, zone, service string) *Host {
	h := &Host{Name: name, Zone: zone, Service: service, IP: fmt.Sprintf("%s%d", f.network, len(f.Hosts)+1), fleet: f}
	h.config = filepath.Join(f.folder, name+".ini")
	f.Hosts = append(f.Hosts, h)
	return h
}

// address returns the address of a port of the machine.
func (h *Host) address(offset int) string {
	return fmt.Sprintf("%s:%d", h.IP, h.fleet.firstPort+offset)
}

// Outbound returns the address for clients.
func (h *Host) Outbound() string { return h.address(portOutbound) }

// Control returns the address for heartbeats.
func (h *Host) Control() string { return h.address(portControl) }

// Server returns the address of the machine's backend server.
func (h *Host) Server() string { return h.address(portServer) }

// settings are the fields of the platform's settings file that a small deployment has.
func (h *Host) settings() map[string]string {
	address := h.address
	return map[string]string{
		"node_name": h.Name, "zone": h.Zone, "service": h.Service, "ip": h.IP,
		"listen_addrs.inbound": address(portInbound), "listen_addrs.outbound": address(portOutbound),
		"listen_addrs.ready": address(portReady), "listen_addrs.control": address(portControl),
		"port_range.0": fmt.Sprint(h.fleet.firstPort + portPeers), "port_range.1": fmt.Sprint(h.fleet.firstPort + portCount - 1),
		"app_addr": address(portServer), "heartbeat": "1500ms", "platform.address": h.fleet.StoreAddress(),
		"bounds.revoke": "5000ms", "bounds.grace": "6s", "bounds.quota_window": "5s", "bounds.quota_overage": "0.1",
		"bounds.quota_slack": "20", "bounds.budget_ratio": "0.2",
	}
}

var (
	section     = regexp.MustCompile(`(?s)\{\{#([a-z_.0-9]+)\}\}(.*?)\{\{/[a-z_.0-9]+\}\}`)
	placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)\}\}`)
)

// render fills in the template of the deploy file.
func (h *Host) render() error {
	template, err := os.ReadFile(filepath.Join(h.fleet.root, "deploy", "agent.ini"))
	if err != nil {
		return err
	}
	values := h.settings()
	text := section.ReplaceAllStringFunc(string(template), func(s string) string {
		parts := section.FindStringSubmatch(s)
		if values[parts[1]] == "" {
			return ""
		}
		return parts[2]
	})
	text = placeholder.ReplaceAllStringFunc(text, func(s string) string { return values[strings.Trim(s, "{}")] })
	return os.WriteFile(h.config, []byte(text), 0o600)
}

// Start starts the agent with the command of the deploy file. Its output goes to a file
// in the temporary folder.
func (h *Host) Start() error {
	if err := h.render(); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(h.fleet.folder, h.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(filepath.Join(h.fleet.root, "target", "tarragon-agent"), "--config", h.config)
	command.Dir = h.fleet.root
	command.Stdout, command.Stderr = output, output
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "TARRAGONSHORE_BOOT=" + h.config}
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // if the script is killed
	if err := command.Start(); err != nil {
		_ = output.Close()
		return err
	}
	ended := make(chan struct{})
	h.mu.Lock()
	h.command, h.ended = command, ended
	h.mu.Unlock()
	h.fleet.Record.Line("agent %s starts", h.Name)
	go func() {
		_ = command.Wait()
		_ = output.Close()
		h.fleet.Record.Line("agent %s has ended", h.Name)
		close(ended)
	}()
	return nil
}

// PID returns the id of the agent's process, 0 if it was never started.
func (h *Host) PID() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.command == nil {
		return 0
	}
	return h.command.Process.Pid
}

// Kill ends the agent with SIGKILL and waits for its end.
func (h *Host) Kill() {
	h.mu.Lock()
	command, ended := h.command, h.ended
	h.mu.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Kill()
	<-ended
}

// Terminate sends SIGTERM to the agent and waits for its end, at most for the grace time,
// after which it kills the process as the platform does.
func (h *Host) Terminate() {
	h.mu.Lock()
	command, ended := h.command, h.ended
	h.mu.Unlock()
	h.fleet.Record.Line("agent %s gets SIGTERM", h.Name)
	_ = command.Process.Signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(grace):
		h.Kill()
	}
}

// Log returns the output of the agent so far.
func (h *Host) Log() string {
	data, _ := os.ReadFile(filepath.Join(h.fleet.folder, h.Name+".log"))
	return string(data)
}

// Ready asks whether the agent is ready, as the platform does.
func (h *Host) Ready() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + h.address(portReady) + "/api/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// StartAll starts all agents and waits until they are ready.
func (f *Fleet) StartAll() error {
	for _, h := range f.Hosts {
		if err := h.Start(); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(15 * time.Second)
	for _, h := range f.Hosts {
		for !h.Ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("agent %s is not ready", h.Name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// NewServer returns the backend server of a machine. It is not started.
func (h *Host) NewServer(id string, slots int, work time.Duration) *Server {
	return &Server{ID: id, Service: h.Service, Zone: h.Zone, Address: h.Server(), Slots: slots, Control: h.Control(), Work: work, Record: h.fleet.Record}
}
