package standin

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"tarragonshore.example/tarragonshore/internal/connection/backend"
)

// maxRequestBody is the number of bytes of a request body that are read.
const maxRequestBody = 8 << 20

// HeaderOrder carries the order number, which identifies a request or, for callers that
// retry, one try. The stand-ins count by it how often the request runs.
const HeaderOrder = "Order-Number"

// BackendConfig configures the stand-in for a backend server.
type BackendConfig struct {
	Name    string
	Pool    string
	Address string // listen address that it announces
	Daemon  string // address of its daemon's server port
	Slots   int    // number of requests that run at a time
	// ServiceTime is the mean time for which a request holds a slot. Service
	// times are exponentially distributed, or constant if ConstantServiceTime is set.
	ServiceTime         time.Duration
	ConstantServiceTime bool
	// ColdStart is the time after the start during which service times are
	// multiplied by ColdFactor.
	ColdStart  time.Duration
	ColdFactor float64
	// QueueLimit + Slots is the number of requests that may wait for a slot at a time.
	// Further requests are answered with status 503.
	QueueLimit int
	// Calls lists the calls to other services that each request makes, one after
	// the other, as METHOD PATH, e.g. "GET /donors/1". Requests whose path starts
	// with /leaf make no calls.
	Calls []string
	// IgnoreCancel makes the server finish requests that were cancelled or whose
	// deadline has passed.
	IgnoreCancel bool
	// Direct lists the addresses of the backend servers of each pool. If it is set,
	// calls bypass the daemons: they go to these addresses in turn, with up to
	// DirectTries tries. Measurements compare the daemons with this baseline.
	Direct      map[string][]string
	DirectTries int
	// Zone is the server's availability zone, which its responses name. Calls of this
	// server that are answered from another zone take 2 * ZoneDelay longer.
	Zone      string
	ZoneDelay time.Duration
	Seed      uint64
}

// BackendFaults are the injected faults of a backend server. They can be changed
// at any time.
type BackendFaults struct {
	// SlowFactor multiplies the service time; 0 means 1.
	SlowFactor float64 `json:"slow_factor"`
	// LoadFactor multiplies the reported load; 0 means 1.
	LoadFactor float64 `json:"load_factor"`
	// Unhealthy makes the health endpoint fail although requests succeed.
	Unhealthy bool `json:"unhealthy"`
	// FailShare is the fraction of requests that are answered with status 500 after
	// they ran.
	FailShare float64 `json:"fail_share"`
	// TruncateShare is the fraction of responses that are truncated.
	TruncateShare float64 `json:"cut_share"`
	// Draining makes the server announce that it is draining.
	Draining bool `json:"draining"`
}

// Backend is the stand-in for a backend server. It is an http.Handler and safe
// for concurrent use.
type Backend struct {
	cfg     BackendConfig
	router  *mux.Router
	slots   chan struct{}
	client  *http.Client
	started time.Time

	mu          sync.Mutex
	rng         *rand.Rand
	faults      BackendFaults
	waiting     int
	running     int
	orders      map[string]*OrderReport // by order number
	requests    int
	directCalls int // calls without a daemon so far; selects the next address
	keySeen     bool
}

// NewBackend returns a backend server. Its daemon learns of it only from Announce.
func NewBackend(cfg BackendConfig) *Backend {
	b := &Backend{
		cfg:     cfg,
		slots:   make(chan struct{}, cfg.Slots),
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: cfg.Slots + cfg.QueueLimit}},
		started: time.Now(),
		rng:     rand.New(rand.NewPCG(cfg.Seed, 1)),
		orders:  make(map[string]*OrderReport),
	}
	b.router = mux.NewRouter()
	b.router.HandleFunc("/control/faults", b.handleFaults).Methods(http.MethodPut)
	b.router.HandleFunc("/control/report", b.handleReport).Methods(http.MethodGet)
	b.router.HandleFunc("/control/health", b.handleHealth).Methods(http.MethodGet)
	b.router.PathPrefix("/").HandlerFunc(b.handleWork)
	return b
}

// ServeHTTP implements http.Handler.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) { b.router.ServeHTTP(w, r) }

// SetFaults replaces the injected faults.
func (b *Backend) SetFaults(faults BackendFaults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = faults
}

func (b *Backend) handleFaults(w http.ResponseWriter, r *http.Request) {
	var faults BackendFaults
	if err := json.NewDecoder(io.LimitReader(r.Body, 4096)).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	b.SetFaults(faults)
	w.WriteHeader(http.StatusNoContent)
}

func (b *Backend) handleHealth(w http.ResponseWriter, _ *http.Request) {
	b.mu.Lock()
	unhealthy := b.faults.Unhealthy
	b.mu.Unlock()
	if unhealthy {
		http.Error(w, "unhealthy", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// OrderReport holds the counters of the runs with one order number.
type OrderReport struct {
	Runs       int   `json:"runs"`
	BusyMicros int64 `json:"busy_us"` // time for which the runs held a slot
}

// BackendReport holds the counters of a backend server since its start.
type BackendReport struct {
	Name     string `json:"name"`
	Pool     string `json:"pool"`
	Requests int    `json:"requests"`
	// KeySeen is true if any request carried an Authorization field.
	KeySeen bool                    `json:"key_seen"`
	Orders  map[string]*OrderReport `json:"orders"`
}

// Report returns the server's counters.
func (b *Backend) Report() BackendReport {
	b.mu.Lock()
	defer b.mu.Unlock()
	report := BackendReport{
		Name:     b.cfg.Name,
		Pool:     b.cfg.Pool,
		Requests: b.requests,
		KeySeen:  b.keySeen,
		Orders:   make(map[string]*OrderReport, len(b.orders)),
	}
	for number, order := range b.orders {
		copied := *order
		report.Orders[number] = &copied
	}
	return report
}

func (b *Backend) handleReport(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, b.Report())
}

// Reply is the response body of the stand-in. It lets a caller check that the
// response belongs to its request.
type Reply struct {
	Server    string `json:"server"`
	Path      string `json:"path"`
	Workspace string `json:"workspace"`
	Order     string `json:"order,omitempty"`
	BodySHA   string `json:"body_sha256"`
	Calls     int    `json:"calls"`
}

func (b *Backend) handleWork(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxRequestBody))
	if err != nil {
		return
	}
	ctx, cancel := b.workContext(r)
	defer cancel()
	if !b.acquire(ctx) {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "no free slot", http.StatusServiceUnavailable)
		return
	}
	begun := time.Now()
	status, calls := b.run(ctx, r, body)
	b.release(r, begun)
	if ctx.Err() != nil {
		http.Error(w, "deadline exceeded or request cancelled", http.StatusGatewayTimeout)
		return
	}
	b.reply(w, r, body, status, calls)
}

// workContext returns a context that ends when the caller disconnects or the
// request's deadline passes. With IgnoreCancel, it ends in neither case.
func (b *Backend) workContext(r *http.Request) (context.Context, context.CancelFunc) {
	if b.cfg.IgnoreCancel {
		return context.WithCancel(context.WithoutCancel(r.Context()))
	}
	ms, err := strconv.ParseInt(r.Header.Get(backend.HeaderRequestTimeout), 10, 64)
	if err != nil || ms <= 0 {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
}

// acquire waits for a slot. It returns false if the queue is full or ctx ends.
func (b *Backend) acquire(ctx context.Context) bool {
	b.mu.Lock()
	if b.waiting >= b.cfg.QueueLimit+b.cfg.Slots {
		b.mu.Unlock()
		return false
	}
	b.waiting++
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		b.waiting--
		b.mu.Unlock()
	}()
	select {
	case b.slots <- struct{}{}:
		b.mu.Lock()
		b.running++
		b.mu.Unlock()
		return true
	case <-ctx.Done():
		return false
	}
}

// release frees a slot and adds the time for which it was held to the order's
// counters.
func (b *Backend) release(r *http.Request, begun time.Time) {
	held := time.Since(begun)
	<-b.slots
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running--
	if order, ok := b.orders[r.Header.Get(HeaderOrder)]; ok {
		order.BusyMicros += held.Microseconds()
	}
}

// run records the run, sleeps for the service time and makes the calls to other
// services. It returns the response status and the number of successful calls.
func (b *Backend) run(ctx context.Context, r *http.Request, body []byte) (status, calls int) {
	b.recordRun(r)
	if !sleep(ctx, b.serviceTime()) {
		return http.StatusGatewayTimeout, 0
	}
	if strings.HasPrefix(r.URL.Path, "/leaf") {
		return http.StatusOK, 0
	}
	for i, call := range b.cfg.Calls {
		callStatus, err := b.call(ctx, r, i, call, body)
		if err != nil || callStatus >= http.StatusInternalServerError {
			return http.StatusBadGateway, calls
		}
		if callStatus >= http.StatusBadRequest {
			return callStatus, calls
		}
		calls++
	}
	return http.StatusOK, calls
}

// recordRun counts a run of a request under its order number.
func (b *Backend) recordRun(r *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests++
	if r.Header.Get("Authorization") != "" {
		b.keySeen = true
	}
	number := r.Header.Get(HeaderOrder)
	if number == "" {
		return
	}
	order, ok := b.orders[number]
	if !ok {
		order = &OrderReport{}
		b.orders[number] = order
	}
	order.Runs++
}

// serviceTime draws a service time. Injected slowness and the cold start lengthen it.
func (b *Backend) serviceTime() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := float64(b.cfg.ServiceTime)
	if !b.cfg.ConstantServiceTime {
		t *= b.rng.ExpFloat64()
	}
	if b.faults.SlowFactor > 0 {
		t *= b.faults.SlowFactor
	}
	if time.Since(b.started) < b.cfg.ColdStart {
		t *= b.cfg.ColdFactor
	}
	return time.Duration(t)
}

// call sends one request to another service, through the daemon or directly.
func (b *Backend) call(ctx context.Context, parent *http.Request, index int, call string, body []byte) (int, error) {
	method, path, ok := strings.Cut(call, " ")
	if !ok {
		return 0, fmt.Errorf("call %q is not METHOD PATH", call)
	}
	if b.cfg.Direct == nil {
		return b.callOnce(ctx, parent, index, method, b.cfg.Daemon, path, body)
	}
	var status int
	var err error
	for range b.cfg.DirectTries {
		status, err = b.callOnce(ctx, parent, index, method, b.directAddress(path), path, body)
		if err == nil && status < http.StatusInternalServerError {
			break
		}
	}
	return status, err
}

// directAddress returns the next address, in turn, of the pool named by the first
// segment of the path.
func (b *Backend) directAddress(path string) string {
	pool, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	addresses := b.cfg.Direct[pool]
	if len(addresses) == 0 {
		return b.cfg.Daemon
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.directCalls++
	return addresses[b.directCalls%len(addresses)]
}

func (b *Backend) callOnce(ctx context.Context, parent *http.Request, index int, method, address, path string, body []byte) (int, error) {
	var content io.Reader
	if method != http.MethodGet {
		content = bytes.NewReader(body)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, content)
	if err != nil {
		return 0, err
	}
	for _, name := range []string{backend.HeaderRequestToken, HeaderOrder} {
		if value := parent.Header.Get(name); value != "" {
			request.Header.Set(name, value)
		}
	}
	if method != http.MethodGet {
		request.Header.Set("Idempotency-Key", fmt.Sprintf("call-%d", index))
	}
	response, err := b.client.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	if delay := ZoneDelay(response, b.cfg.Zone, b.cfg.ZoneDelay); delay > 0 && !sleep(ctx, delay) {
		return 0, ctx.Err()
	}
	return response.StatusCode, err
}

// reply writes the response. With injected faults, it may have status 500 or be
// truncated.
func (b *Backend) reply(w http.ResponseWriter, r *http.Request, body []byte, status, calls int) {
	sum := sha256.Sum256(body)
	content, err := json.Marshal(Reply{
		Server:    b.cfg.Name,
		Path:      r.URL.Path,
		Workspace: r.Header.Get(backend.HeaderWorkspace),
		Order:     r.Header.Get(HeaderOrder),
		BodySHA:   hex.EncodeToString(sum[:]),
		Calls:     calls,
	})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	fail, truncate := b.drawFaults()
	if fail {
		status = http.StatusInternalServerError
	}
	if b.cfg.Zone != "" {
		w.Header().Set(HeaderZone, b.cfg.Zone)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(content)))
	w.WriteHeader(status)
	if truncate {
		_, _ = w.Write(content[:len(content)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(content)
}

// drawFaults decides whether the next response is a failure or is truncated.
func (b *Backend) drawFaults() (fail, truncate bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fail = b.faults.FailShare > 0 && b.rng.Float64() < b.faults.FailShare
	truncate = b.faults.TruncateShare > 0 && b.rng.Float64() < b.faults.TruncateShare
	return fail, truncate
}

// announcement returns the server's current state, as the injected faults change it.
func (b *Backend) announcement() backend.Announcement {
	b.mu.Lock()
	defer b.mu.Unlock()
	state := backend.StateReady
	if b.faults.Draining {
		state = backend.StateDraining
	}
	load := float64(b.running+b.waiting) / float64(b.cfg.Slots)
	if b.faults.LoadFactor > 0 {
		load *= b.faults.LoadFactor
	}
	return backend.Announcement{
		Name:    b.cfg.Name,
		Pool:    b.cfg.Pool,
		Address: b.cfg.Address,
		Slots:   b.cfg.Slots,
		State:   state,
		Load:    load,
	}
}

// Announce posts one announcement to the daemon.
func (b *Backend) Announce(ctx context.Context) error {
	content, err := json.Marshal(b.announcement())
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+b.cfg.Daemon+backend.AnnouncePath, bytes.NewReader(content))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := b.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("the daemon answered the announcement with status %d; check pool and name", response.StatusCode)
	}
	return nil
}

// Idle reports whether no request runs or waits.
func (b *Backend) Idle() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.running == 0 && b.waiting == 0
}
