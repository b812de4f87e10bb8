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

// maxRequestBody bounds the bodies that the stand-in reads.
const maxRequestBody = 8 << 20

// BackendConfig describes a backend server.
type BackendConfig struct {
	Name    string
	Pool    string
	Address string // where it listens, for the announcement
	Daemon  string // server port of its daemon
	Slots   int
	// Service is the mean time that a request holds a slot. Times are
	// exponentially distributed, or constant if Constant is set.
	Service  time.Duration
	Constant bool
	// ColdStart is the time after the start in which requests take ColdFactor as long.
	ColdStart  time.Duration
	ColdFactor float64
	// QueueLimit is the number of requests that wait for a slot; more are
	// answered 503.
	QueueLimit int
	// Calls lists the paths that each request calls at other services, one after
	// the other, e.g. "GET /donors/1". Only paths that do not start with /leaf call on.
	Calls []string
	// CallerURL, if set, is used for calls in place of the daemon's server
	// port. Direct comparisons without the system need it.
	CallerURL string
	Seed      uint64
}

// BackendFaults are the faults of a backend server, settable at any time.
type BackendFaults struct {
	// SlowFactor multiplies the service time; 0 counts as 1.
	SlowFactor float64 `json:"slow_factor"`
	// LoadFactor multiplies the load that is reported; 0 counts as 1.
	LoadFactor float64 `json:"load_factor"`
	// Unhealthy makes the health endpoint report an error though requests work.
	Unhealthy bool `json:"unhealthy"`
	// FailShare is the share of requests that end with status 500 after running.
	FailShare float64 `json:"fail_share"`
	// CutShare is the share of answers that are cut short.
	CutShare float64 `json:"cut_share"`
	// Draining announces the server as leaving.
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

	mu      sync.Mutex
	rng     *rand.Rand
	faults  BackendFaults
	waiting int
	running int
	runs    map[string]int // by order number, for checks of at most once
	total   int
	wasted  time.Duration // slot time of requests whose caller had gone
	busy    time.Duration // slot time of all requests
	keySeen bool
}

// NewBackend returns a backend server that has not announced itself.
func NewBackend(cfg BackendConfig) *Backend {
	b := &Backend{
		cfg:     cfg,
		slots:   make(chan struct{}, cfg.Slots),
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: cfg.Slots + cfg.QueueLimit}},
		started: time.Now(),
		rng:     rand.New(rand.NewPCG(cfg.Seed, 1)),
		runs:    make(map[string]int),
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

// SetFaults replaces the faults in force.
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

// BackendReport is what a backend server counted since its start.
type BackendReport struct {
	Name     string `json:"name"`
	Requests int    `json:"requests"`
	// MostRuns is the greatest number of runs of one order.
	MostRuns     int   `json:"most_runs"`
	Orders       int   `json:"orders"`
	BusyMicros   int64 `json:"busy_us"`
	WastedMicros int64 `json:"wasted_us"`
	// KeySeen is true if any request carried an Authorization field.
	KeySeen bool           `json:"key_seen"`
	Runs    map[string]int `json:"runs"`
}

// Report returns what the server counted.
func (b *Backend) Report() BackendReport {
	b.mu.Lock()
	defer b.mu.Unlock()
	report := BackendReport{
		Name:         b.cfg.Name,
		Requests:     b.total,
		Orders:       len(b.runs),
		BusyMicros:   b.busy.Microseconds(),
		WastedMicros: b.wasted.Microseconds(),
		KeySeen:      b.keySeen,
		Runs:         make(map[string]int, len(b.runs)),
	}
	for order, n := range b.runs {
		report.Runs[order] = n
		report.MostRuns = max(report.MostRuns, n)
	}
	return report
}

func (b *Backend) handleReport(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, b.Report())
}

// Reply is the body of an answer of the stand-in. It lets a caller check that
// the answer belongs to its request.
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
	ctx, cancel := workContext(r)
	defer cancel()
	if !b.acquire(ctx) {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "no slot", http.StatusServiceUnavailable)
		return
	}
	begun := time.Now()
	status, calls := b.run(ctx, r, body)
	b.release(begun, ctx.Err() != nil)
	if ctx.Err() != nil {
		http.Error(w, "deadline or cancellation", http.StatusGatewayTimeout)
		return
	}
	b.reply(w, r, body, status, calls)
}

// workContext ends when the caller goes or the announced time is over.
func workContext(r *http.Request) (context.Context, context.CancelFunc) {
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

// release frees a slot and counts its time.
func (b *Backend) release(begun time.Time, gone bool) {
	held := time.Since(begun)
	<-b.slots
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running--
	b.busy += held
	if gone {
		b.wasted += held
	}
}

// run holds the slot for the service time, counts the run and makes the calls
// to other services.
func (b *Backend) run(ctx context.Context, r *http.Request, body []byte) (status, calls int) {
	b.count(r)
	if !sleep(ctx, b.serviceTime()) {
		return http.StatusGatewayTimeout, 0
	}
	if strings.HasPrefix(r.URL.Path, "/leaf") {
		return http.StatusOK, 0
	}
	for i, call := range b.cfg.Calls {
		childStatus, err := b.call(ctx, r, i, call, body)
		if err != nil || childStatus >= http.StatusInternalServerError {
			return http.StatusBadGateway, calls
		}
		if childStatus >= http.StatusBadRequest {
			return childStatus, calls
		}
		calls++
	}
	return http.StatusOK, calls
}

// count records the run of a request under its order number.
func (b *Backend) count(r *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.total++
	if r.Header.Get("Authorization") != "" {
		b.keySeen = true
	}
	if order := r.Header.Get("Order-Number"); order != "" {
		b.runs[order]++
	}
}

// serviceTime draws how long the next request holds its slot.
func (b *Backend) serviceTime() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := float64(b.cfg.Service)
	if !b.cfg.Constant {
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

// call sends one request to another service through the daemon.
func (b *Backend) call(ctx context.Context, parent *http.Request, index int, call string, body []byte) (int, error) {
	method, path, ok := strings.Cut(call, " ")
	if !ok {
		return 0, fmt.Errorf("call %q is not METHOD PATH", call)
	}
	base := "http://" + b.cfg.Daemon
	if b.cfg.CallerURL != "" {
		base = b.cfg.CallerURL
	}
	var content io.Reader
	if method != http.MethodGet {
		content = bytes.NewReader(body)
	}
	request, err := http.NewRequestWithContext(ctx, method, base+path, content)
	if err != nil {
		return 0, err
	}
	request.Header.Set(backend.HeaderRequestToken, parent.Header.Get(backend.HeaderRequestToken))
	if order := parent.Header.Get("Order-Number"); order != "" {
		request.Header.Set("Order-Number", order)
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
	return response.StatusCode, err
}

// reply writes the answer, or a part of it if the fault says so.
func (b *Backend) reply(w http.ResponseWriter, r *http.Request, body []byte, status, calls int) {
	sum := sha256.Sum256(body)
	content, err := json.Marshal(Reply{
		Server:    b.cfg.Name,
		Path:      r.URL.Path,
		Workspace: r.Header.Get(backend.HeaderWorkspace),
		Order:     r.Header.Get("Order-Number"),
		BodySHA:   hex.EncodeToString(sum[:]),
		Calls:     calls,
	})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	fail, cut := b.drawFaults()
	if fail {
		status = http.StatusInternalServerError
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(content)))
	w.WriteHeader(status)
	if cut {
		_, _ = w.Write(content[:len(content)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(content)
}

func (b *Backend) drawFaults() (fail, cut bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fail = b.faults.FailShare > 0 && b.rng.Float64() < b.faults.FailShare
	cut = b.faults.CutShare > 0 && b.rng.Float64() < b.faults.CutShare
	return fail, cut
}

// announcement returns the server's state as it reports it.
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
