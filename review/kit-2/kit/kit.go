// Package kit starts a small deployment on loopback addresses: the project's agents as
// separate processes, and stand-ins for the platform's store, upstreams and clients in the
// process of the test. All waits use the real clock.
package kit

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a test.
const (
	Held   = 0
	Broken = 1
	Failed = 2 // the case could not run
)

// Test is one run of a case.
type Test struct {
	// Trouble is false if the run is to leave the disruption out.
	Trouble bool
	Dir     string // temporary folder for settings and logs
	Block   string // "127.A.B", free loopback addresses

	start  time.Time
	mu     sync.Mutex
	record *os.File
	hosts  []*Host
	store  *Store
}

// New begins a test whose record is written to the folder named on the command line.
func New() *Test {
	t := &Test{Trouble: os.Getenv("TROUBLE") != "0", start: time.Now()}
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: CASE FOLDER")
		os.Exit(Failed)
	}
	var err error
	if t.record, err = os.Create(filepath.Join(os.Args[1], "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(Failed)
	}
	if t.Dir, err = os.MkdirTemp("", "review-2-"); err != nil {
		t.End(Failed, "%v", err)
	}
	for range 50 {
		block := fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), rand.IntN(250))
		if free(block + ".1:9464") {
			t.Block = block
			break
		}
	}
	if t.Block == "" {
		t.End(Failed, "no free loopback addresses")
	}
	if t.store, err = NewStore(t.Block + ".250:8545"); err != nil {
		t.End(Failed, "%v", err)
	}
	t.Logf("trouble=%v", t.Trouble)
	return t
}

func free(address string) bool {
	l, err := net.Listen("tcp", address)
	if err == nil {
		_ = l.Close()
	}
	return err == nil
}

// Store returns the stand-in for the platform's store.
func (t *Test) Store() *Store { return t.store }

// Since returns the time since the start of the test.
func (t *Test) Since() time.Duration { return time.Since(t.start) }

// Logf writes a line with the time since the start to the record.
func (t *Test) Logf(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	fmt.Fprintf(t.record, "%8.3f %s\n", time.Since(t.start).Seconds(), fmt.Sprintf(format, args...))
}

// End ends all processes that the test started and exits with a code.
func (t *Test) End(code int, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	for _, h := range t.hosts {
		h.Kill()
		h.stopUpstream()
	}
	t.Logf("exit %d: %s", code, text)
	fmt.Printf("exit %d: %s\n", code, text)
	if t.Dir != "" && os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(t.Dir)
	}
	os.Exit(code)
}

// Must ends the test as one that could not run if err is not nil.
func (t *Test) Must(err error) {
	if err != nil {
		t.End(Failed, "%v", err)
	}
}

// Eventually waits until a condition holds, and ends the test as one that could not run if
// it does not within the time.
func (t *Test) Eventually(within time.Duration, what string, condition func() bool) {
	for end := time.Now().Add(within); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.End(Failed, "not within %v: %s", within, what)
		}
	}
}

// Host is a machine: an agent and an upstream.
type Host struct {
	Name, Zone, Service, IP string
	// Settings replaces values of the rendered settings, by field of the platform's file.
	Grace, Heartbeat string

	test     *Test
	process  *exec.Cmd
	ended    chan struct{}
	Upstream *Upstream
	starts   int
}

// Host adds a machine; nothing is started yet.
func (t *Test) Host(number int, zone, service string) *Host {
	h := &Host{Name: fmt.Sprintf("sidecar-%d", number), Zone: zone, Service: service, IP: t.Block + "." + strconv.Itoa(number),
		Grace: "6s", Heartbeat: "1500ms", test: t}
	t.hosts = append(t.hosts, h)
	return h
}

// The addresses of a host.
func (h *Host) Outbound() string { return h.IP + ":8548" }
func (h *Host) Control() string  { return h.IP + ":8540" }
func (h *Host) AppAddr() string  { return h.IP + ":8547" }
func (h *Host) ReadyAt() string  { return h.IP + ":8546" }

// settings renders deploy/agent.ini from the fields of the platform's settings file.
func (h *Host) settings() ([]byte, error) {
	text, err := os.ReadFile("deploy/agent.ini")
	if err != nil {
		return nil, err
	}
	values := map[string]string{
		"node_name": h.Name, "zone": h.Zone, "service": h.Service, "ip": h.IP,
		"listen_addrs.outbound": h.Outbound(), "listen_addrs.ready": h.ReadyAt(), "listen_addrs.control": h.Control(),
		"port_range.0": "7000", "app_addr": h.AppAddr(), "heartbeat": h.Heartbeat, "platform.address": h.test.store.Address,
		"bounds.revoke": "5000ms", "bounds.grace": h.Grace, "bounds.quota_window": "5s", "bounds.quota_overage": "0.1",
		"bounds.quota_slack": "20", "bounds.budget_ratio": "0.2",
	}
	out := string(text)
	for name, value := range values {
		out = strings.ReplaceAll(out, "{{"+name+"}}", value)
		out = strings.ReplaceAll(out, "{{#"+name+"}}", "")
		out = strings.ReplaceAll(out, "{{/"+name+"}}", "")
	}
	var kept []string
	for _, line := range strings.Split(out, "\n") {
		if !strings.Contains(line, "{{") { // sections without a value, and what they hold
			kept = append(kept, line)
		}
	}
	return []byte(strings.Join(kept, "\n")), nil
}

// Start starts the agent with the command of the deploy file.
func (h *Host) Start() {
	t := h.test
	settings, err := h.settings()
	t.Must(err)
	path := filepath.Join(t.Dir, h.Name+".ini")
	t.Must(os.WriteFile(path, settings, 0o600))
	h.starts++
	log, err := os.Create(filepath.Join(t.Dir, fmt.Sprintf("%s-%d.log", h.Name, h.starts)))
	t.Must(err)
	h.process = exec.Command("target/tarragon-agent", "--config", path)
	h.process.Stdout, h.process.Stderr = log, log
	h.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	t.Must(h.process.Start())
	_ = log.Close()
	h.ended = make(chan struct{})
	go func(p *exec.Cmd, ended chan struct{}) {
		_ = p.Wait()
		close(ended)
		t.Logf("%s: the agent's process has ended: %v", h.Name, p.ProcessState)
	}(h.process, h.ended)
	t.Logf("%s: agent started (%s, service %s)", h.Name, h.IP, h.Service)
}

// Signal sends a signal to the agent.
func (h *Host) Signal(s syscall.Signal) {
	h.test.Logf("%s: signal %v", h.Name, s)
	_ = h.process.Process.Signal(s)
}

// Kill kills the agent and waits for its end.
func (h *Host) Kill() {
	if h.process == nil {
		return
	}
	select {
	case <-h.ended:
		return
	default:
	}
	_ = h.process.Process.Signal(syscall.SIGCONT)
	_ = h.process.Process.Kill()
	<-h.ended
}

// Running reports whether the agent's process runs.
func (h *Host) Running() bool {
	select {
	case <-h.ended:
		return false
	default:
		return true
	}
}

var readyClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// Ready asks the agent's readiness check.
func (h *Host) Ready() bool {
	r, err := readyClient.Get("http://" + h.ReadyAt() + "/api/ready")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// Beat is what an upstream says of itself in a heartbeat.
type Beat struct {
	ID, Service, Address, Zone, State string
	Slots                             int
	Sequence                          int64
	Born                              int64
}

func (b Beat) body() []byte {
	body, _ := json.Marshal(map[string]any{
		"born": b.Born, "address": b.Address,
		"info":   map[string]any{"service": b.Service, "version": "v1", "zone": b.Zone, "slots": b.Slots},
		"status": map[string]any{"state": b.State, "sequence": b.Sequence, "warmup_left": "0ms"},
	})
	return body
}

// SendBeat sends a heartbeat to the control address of a host, and returns the status.
func (t *Test) SendBeat(control string, b Beat) int {
	return t.post("http://"+control+"/api/instances/"+b.ID+"/heartbeat", b.body())
}

// SendDeregister sends a deregistration to the control address of a host.
func (t *Test) SendDeregister(control, id string, born int64) int {
	body, _ := json.Marshal(map[string]any{"born": born})
	return t.post("http://"+control+"/api/instances/"+id+"/deregister", body)
}

var controlClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func (t *Test) post(url string, body []byte) int {
	r, err := controlClient.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, r.Body)
	_ = r.Body.Close()
	return r.StatusCode
}

// Run is a request as it reached an upstream.
type Run struct {
	At                                                      time.Duration // since the start of the test
	ID, Upstream, Method, Target, Host, Caller, Tenant, Key string
	Executed                                                bool
	Bytes                                                   int
}

// Upstream is a stand-in for an application upstream. It runs each request for Work and
// answers with the whole body for its id.
type Upstream struct {
	ID, Service string
	Slots       int
	Born        int64
	Work        func(r *http.Request) time.Duration

	host     *Host
	server   *http.Server
	mu       sync.Mutex
	sequence int64
	state    string
	beating  bool
	running  int
	runs     []Run
	lose     func(r *http.Request) bool
	stop     chan struct{}
	once     sync.Once
}

// StartUpstream starts an upstream at the app address of a host. It sends heartbeats
// once Beat is called.
func (h *Host) StartUpstream(id, service string, slots int, work time.Duration) *Upstream {
	u := &Upstream{ID: id, Service: service, Slots: slots, Born: time.Now().UnixMilli(), host: h, state: "ready",
		stop: make(chan struct{}), Work: func(*http.Request) time.Duration { return work }}
	listener, err := net.Listen("tcp", h.AppAddr())
	h.test.Must(err)
	u.server = &http.Server{Handler: u}
	go func() { _ = u.server.Serve(listener) }()
	h.Upstream = u
	h.test.Logf("%s: upstream %s of %s started, born %d", h.Name, id, service, u.Born)
	return u
}

func (h *Host) stopUpstream() {
	if h.Upstream != nil {
		h.Upstream.Stop()
	}
}

// Stop ends the upstream at once.
func (u *Upstream) Stop() {
	u.once.Do(func() {
		close(u.stop)
		_ = u.server.Close()
		u.host.test.Logf("%s: upstream %s has ended", u.host.Name, u.ID)
	})
}

// Beat returns the next heartbeat.
func (u *Upstream) NextBeat() Beat {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sequence++
	return Beat{ID: u.ID, Service: u.Service, Address: u.host.AppAddr(), Zone: u.host.Zone, State: u.state, Slots: u.Slots, Sequence: u.sequence, Born: u.Born}
}

// SetState changes what the next heartbeats say.
func (u *Upstream) SetState(state string) {
	u.mu.Lock()
	u.state = state
	u.mu.Unlock()
}

// BeatNow sends one heartbeat and returns whether it was acknowledged.
func (u *Upstream) BeatNow() bool {
	b := u.NextBeat()
	status := u.host.test.SendBeat(u.host.Control(), b)
	if status != http.StatusOK {
		u.host.test.Logf("%s: heartbeat %d of %s (%s) not acknowledged: %d", u.host.Name, b.Sequence, u.ID, b.State, status)
	}
	return status == http.StatusOK
}

// BeatEvery sends heartbeats at the interval until PauseBeats or Stop.
func (u *Upstream) BeatEvery(interval time.Duration) {
	u.mu.Lock()
	u.beating = true
	u.mu.Unlock()
	go func() {
		for {
			u.mu.Lock()
			beating := u.beating
			u.mu.Unlock()
			if !beating {
				return
			}
			u.BeatNow()
			select {
			case <-u.stop:
				return
			case <-time.After(interval):
			}
		}
	}()
}

// PauseBeats ends the heartbeats.
func (u *Upstream) PauseBeats() {
	u.mu.Lock()
	u.beating = false
	u.mu.Unlock()
}

// Runs returns the requests that have reached the upstream.
func (u *Upstream) Runs() []Run {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]Run(nil), u.runs...)
}

// Running returns the number of requests at work.
func (u *Upstream) Running() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.running
}

// Body is the whole body of the answer to the request with an id.
func Body(id string) string { return "body of " + id + "\n" }

// ServeHTTP implements http.Handler.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Tarragonshore-Attempt-Id")
	if r.URL.Path == "/health" {
		w.Header().Set("Tarragonshore-Instance-Id", u.ID)
		return
	}
	run := Run{At: u.host.test.Since(), ID: id, Upstream: u.ID, Method: r.Method, Target: r.RequestURI, Host: r.Host,
		Caller: r.Header.Get("Tarragonshore-Caller-Service"), Tenant: r.Header.Get("Tarragonshore-Tenant"), Key: r.Header.Get("Tarragonshore-Key"), Executed: true}
	w.Header().Set("Tarragonshore-Attempt-Id", id)
	w.Header().Set("Tarragonshore-Instance-Id", u.ID)
	reject := 0
	if target := r.Header.Get("Tarragonshore-Target-Instance"); target != "" && target != u.ID {
		reject = http.StatusMisdirectedRequest
	}
	body, err := io.ReadAll(r.Body)
	run.Bytes = len(body)
	u.mu.Lock()
	if reject == 0 && u.running >= u.Slots {
		reject = http.StatusServiceUnavailable
	}
	if err != nil {
		u.mu.Unlock()
		return
	}
	if reject != 0 {
		run.Executed = false
	} else {
		u.running++
	}
	u.runs = append(u.runs, run)
	u.mu.Unlock()
	if reject != 0 {
		u.host.test.Logf("  upstream %s rejects %s: %d", u.ID, id, reject)
		w.Header().Set("Tarragonshore-Not-Executed", "1")
		w.WriteHeader(reject)
		return
	}
	u.host.test.Logf("  upstream %s runs %s %s %s caller=%s tenant=%s", u.ID, id, r.Method, r.RequestURI, run.Caller, run.Tenant)
	work := u.Work(r)
	if ms, err := strconv.Atoi(r.Header.Get("Tarragonshore-Deadline-Ms")); err == nil && time.Duration(ms)*time.Millisecond < work {
		work = time.Duration(ms) * time.Millisecond
		pause(r.Context(), work)
		u.ended()
		w.Header().Set("Tarragonshore-Response-Stamp", "stamp-"+id)
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	pause(r.Context(), work)
	u.ended()
	if u.loses(r) {
		u.host.test.Logf("  upstream %s has run %s, and its answer is lost", u.ID, id)
		if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
			if tcp, ok := conn.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = conn.Close()
		}
		return
	}
	w.Header().Set("Tarragonshore-Response-Stamp", "stamp-"+id)
	_, _ = io.WriteString(w, Body(id))
}

// SetLose sets a function that says whether the answer to a request that was run is lost:
// the connection is reset instead.
func (u *Upstream) SetLose(lose func(r *http.Request) bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.lose = lose
}

func (u *Upstream) loses(r *http.Request) bool {
	u.mu.Lock()
	lose := u.lose
	u.mu.Unlock()
	return lose != nil && lose(r)
}

func (u *Upstream) ended() {
	u.mu.Lock()
	u.running--
	u.mu.Unlock()
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// Answer is what a client got.
type Answer struct {
	ID          string
	Sent, Ended time.Duration // since the start of the test
	Status      int           // 0: none
	Stamp, Body string
	RetryAfter  string
	Err         error
}

// Request describes a client's request.
type Request struct {
	ID, Method, Host, Target, Key string
	DeadlineMS                    int
	Body                          []byte
	Header                        http.Header
}

var (
	idPrefix = fmt.Sprintf("%08x", rand.Uint32())
	idMu     sync.Mutex
	idCount  int
)

// NewID returns an attempt id.
func NewID() string {
	idMu.Lock()
	defer idMu.Unlock()
	idCount++
	return fmt.Sprintf("%s%08x", idPrefix, idCount)
}

// clients keep connections open, as the platform's clients do.
var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 500, IdleConnTimeout: 10 * time.Second, DisableCompression: true}}

// Send sends a request to the outbound address of a host and records it.
func (h *Host) Send(q Request) Answer { return h.SendWith(client, q) }

// SendWith is Send with another HTTP client.
func (h *Host) SendWith(c *http.Client, q Request) Answer {
	t := h.test
	if q.ID == "" {
		q.ID = NewID()
	}
	if q.DeadlineMS == 0 {
		q.DeadlineMS = 5000
	}
	a := Answer{ID: q.ID, Sent: t.Since()}
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(q.DeadlineMS)*time.Millisecond+500*time.Millisecond)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, q.Method, "http://"+h.Outbound()+q.Target, bytes.NewReader(q.Body))
	t.Must(err)
	for name, values := range q.Header {
		r.Header[name] = values
	}
	r.Host = q.Host
	r.GetBody = nil // no repeats by the HTTP client
	r.Header.Set("Tarragonshore-Attempt-Id", q.ID)
	r.Header.Set("Tarragonshore-Deadline-Ms", strconv.Itoa(q.DeadlineMS))
	if q.Key != "" {
		r.Header.Set("Tarragonshore-Key", q.Key)
	}
	response, err := c.Do(r)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		a.Status, a.Stamp, a.Body, a.RetryAfter = response.StatusCode, response.Header.Get("Tarragonshore-Response-Stamp"), string(body), response.Header.Get("Retry-After")
	}
	a.Ended, a.Err = t.Since(), err
	t.Logf("client of %s: %s %s %s sent at %.3f: status=%d retry-after=%s err=%v", h.Name, q.Method, q.Target, q.ID, a.Sent.Seconds(), a.Status, a.RetryAfter, err)
	return a
}

// Route is a route of a configuration.
type Route struct {
	Name, Prefix, Kind, Service string
	Timeout, Objective          string
	Attempts, Priority          int
	Open                        bool
}

// Tenant is a tenant of a configuration.
type Tenant struct {
	Name        string
	Keys        []string
	Rate, Burst float64
}

// RouteHost is the host of all routes.
const RouteHost = "shop.example"

// Configuration returns a configuration in the operator's form.
func Configuration(version int, services []string, routes []Route, tenants []Tenant) any {
	type object = map[string]any
	c := object{"version": fmt.Sprintf("%08x", version),
		"limits": object{"header_bytes": 16384, "body_bytes": 67108864, "header_timeout": "3000ms", "idle_timeout": "15000ms"}}
	var list []object
	for _, s := range services {
		list = append(list, object{"name": s, "health_path": "/health", "max_conns": 600, "protocol": "h1", "tls": false})
	}
	c["services"], list = list, nil
	for _, r := range routes {
		if r.Timeout == "" {
			r.Timeout = "5000ms"
		}
		if r.Objective == "" {
			r.Objective = "1500ms"
		}
		if r.Attempts == 0 {
			r.Attempts = 2
		}
		list = append(list, object{"name": r.Name, "host": RouteHost, "path_prefix": r.Prefix, "kind": r.Kind, "service": r.Service,
			"timeout": r.Timeout, "latency_slo": r.Objective, "priority": r.Priority, "attempts": r.Attempts, "no_auth": r.Open})
	}
	c["routes"], list = list, nil
	for _, t := range tenants {
		list = append(list, object{"name": t.Name, "api_keys": t.Keys, "priority": 1, "rate_per_s": t.Rate, "burst": t.Burst})
	}
	if list != nil {
		c["tenants"] = list
	}
	return c
}

// SendRawBeat sends a heartbeat with a given body, in which ADDRESS stands for the app
// address of the host.
func (t *Test) SendRawBeat(h *Host, id, body string) int {
	return t.post("http://"+h.Control()+"/api/instances/"+id+"/heartbeat", []byte(strings.ReplaceAll(body, "ADDRESS", h.AppAddr())))
}
