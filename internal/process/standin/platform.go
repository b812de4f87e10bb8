// Package standin implements stand-ins, that is, test doubles with injectable faults, for
// the external systems that daemons depend on: the platform's append-only log and a
// backend server. They are for development and tests only.
package standin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"tarragonshore.example/tarragonshore/internal/process/platform"
)

// HeaderNotAppended marks a refusal with the value "true" if the append certainly had no
// effect.
const HeaderNotAppended = "Tarragon-Not-Appended"

// maxReadWait limits the wait of a long poll.
const maxReadWait = 30 * time.Second

// OutageMode selects how the platform treats requests during an outage.
type OutageMode string

// The outage modes.
const (
	OutageNone   OutageMode = ""
	OutageRefuse OutageMode = "refuse" // answers with status 503 at once
	OutageHang   OutageMode = "hang"   // accepts the request and never answers
)

// PlatformFaults are the injected faults of the platform. They can be changed at
// any time.
type PlatformFaults struct {
	Outage OutageMode `json:"outage"`
	// LatencyMS is added to each request.
	LatencyMS int `json:"latency_ms"`
	// LoseResponses is the number of next appends that take effect but get no
	// response.
	LoseResponses int `json:"lose_answers"`
}

// PlatformConfig configures the platform stand-in.
type PlatformConfig struct {
	// AppendsPerSecond is the rate limit of appends. Appends above it are refused
	// with status 503.
	AppendsPerSecond float64
	// Retention is how long a record is kept.
	Retention time.Duration
}

// storedRecord is the data of a record with the time of its append.
type storedRecord struct {
	data []byte
	at   time.Time
}

// stream is one append-only log. first is the offset of records[0].
type stream struct {
	first   platform.Offset
	records []storedRecord
	changed chan struct{} // closed and replaced at each append
}

func newStream() *stream { return &stream{changed: make(chan struct{})} }

func (s *stream) next() platform.Offset { return s.first + platform.Offset(len(s.records)) }

// expire removes the records that were appended before the given time.
func (s *stream) expire(before time.Time) {
	kept := 0
	for kept < len(s.records) && s.records[kept].at.Before(before) {
		kept++
	}
	s.records = s.records[kept:]
	s.first += platform.Offset(kept)
}

// Platform is the stand-in for the platform's append-only log. It is an
// http.Handler and safe for concurrent use.
type Platform struct {
	cfg    PlatformConfig
	router *mux.Router

	mu       sync.Mutex
	faults   PlatformFaults
	streams  map[string]*stream
	tokens   float64   // in the token bucket that limits the rate of appends
	refilled time.Time // when tokens was last computed
}

// NewPlatform returns an empty log.
func NewPlatform(cfg PlatformConfig) *Platform {
	p := &Platform{cfg: cfg, streams: make(map[string]*stream), tokens: cfg.AppendsPerSecond, refilled: time.Now()}
	p.router = mux.NewRouter()
	p.router.HandleFunc("/v1/streams/{stream}/records", p.handleAppend).Methods(http.MethodPost)
	p.router.HandleFunc("/v1/streams/{stream}/records", p.handleRead).Methods(http.MethodGet)
	p.router.HandleFunc("/v1/faults", p.handleFaults).Methods(http.MethodPut)
	return p
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.router.ServeHTTP(w, r) }

// SetFaults replaces the injected faults.
func (p *Platform) SetFaults(faults PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
}

func (p *Platform) handleFaults(w http.ResponseWriter, r *http.Request) {
	var faults PlatformFaults
	if err := json.NewDecoder(io.LimitReader(r.Body, 4096)).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFaults(faults)
	w.WriteHeader(http.StatusNoContent)
}

// injectFaults applies the injected latency and outage. It returns false if the
// request must not be processed further.
func (p *Platform) injectFaults(w http.ResponseWriter, r *http.Request) bool {
	p.mu.Lock()
	faults := p.faults
	p.mu.Unlock()
	if faults.LatencyMS > 0 && !sleep(r.Context(), time.Duration(faults.LatencyMS)*time.Millisecond) {
		return false
	}
	switch faults.Outage {
	case OutageRefuse:
		writeUnavailable(w, "outage")
		return false
	case OutageHang:
		<-r.Context().Done()
		return false
	}
	return true
}

// writeUnavailable answers a request that had no effect with status 503.
func writeUnavailable(w http.ResponseWriter, reason string) {
	w.Header().Set(HeaderNotAppended, "true")
	writeJSON(w, http.StatusServiceUnavailable, map[string]string{"error": reason})
}

func (p *Platform) handleAppend(w http.ResponseWriter, r *http.Request) {
	if !p.injectFaults(w, r) {
		return
	}
	data, err := io.ReadAll(io.LimitReader(r.Body, platform.MaxRecordBytes+1))
	if err != nil {
		return // the client disconnected; nothing was appended
	}
	if len(data) > platform.MaxRecordBytes {
		writeJSON(w, http.StatusRequestEntityTooLarge, map[string]string{"error": "record too large"})
		return
	}
	offset, dropResponse, ok := p.append(mux.Vars(r)["stream"], data)
	switch {
	case !ok:
		writeUnavailable(w, "append rate limit exceeded")
	case dropResponse:
		panic(http.ErrAbortHandler) // closes the connection without a response
	default:
		writeJSON(w, http.StatusCreated, map[string]platform.Offset{"offset": offset})
	}
}

// append stores a record. ok is false if the rate limit of appends is exceeded.
// dropResponse is true if the caller must not get a response
// (PlatformFaults.LoseResponses).
func (p *Platform) append(name string, data []byte) (offset platform.Offset, dropResponse, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.tokens = min(p.cfg.AppendsPerSecond, p.tokens+now.Sub(p.refilled).Seconds()*p.cfg.AppendsPerSecond)
	p.refilled = now
	if p.tokens < 1 {
		return 0, false, false
	}
	p.tokens--
	s := p.stream(name)
	offset = s.next()
	s.records = append(s.records, storedRecord{data: data, at: now})
	close(s.changed)
	s.changed = make(chan struct{})
	if p.faults.LoseResponses > 0 {
		p.faults.LoseResponses--
		dropResponse = true
	}
	return offset, dropResponse, true
}

// stream returns the named stream. The caller holds p.mu.
func (p *Platform) stream(name string) *stream {
	s, ok := p.streams[name]
	if !ok {
		s = newStream()
		p.streams[name] = s
	}
	return s
}

// recordJSON is the JSON form of a platform.Record; Data is encoded as base64.
type recordJSON struct {
	Offset platform.Offset `json:"offset"`
	Data   []byte          `json:"data"`
}

// batchJSON is the JSON form of a platform.Batch.
type batchJSON struct {
	First   platform.Offset `json:"first"`
	Next    platform.Offset `json:"next"`
	Records []recordJSON    `json:"records"`
}

func (p *Platform) handleRead(w http.ResponseWriter, r *http.Request) {
	if !p.injectFaults(w, r) {
		return
	}
	query := r.URL.Query()
	from, err := strconv.ParseUint(query.Get("from"), 10, 64)
	limit, err2 := strconv.Atoi(query.Get("limit"))
	waitMS, err3 := strconv.Atoi(query.Get("wait_ms"))
	if err != nil || err2 != nil || err3 != nil || limit < 1 || waitMS < 0 {
		http.Error(w, "from, limit and wait_ms must be whole numbers, limit at least 1 and the others at least 0", http.StatusBadRequest)
		return
	}
	wait := min(time.Duration(waitMS)*time.Millisecond, maxReadWait)
	batch := p.read(r.Context(), mux.Vars(r)["stream"], platform.Offset(from), limit, wait)
	if r.Context().Err() != nil || !p.injectFaults(w, r) {
		return // a fault that began during the long poll also affects the response
	}
	writeJSON(w, http.StatusOK, batch)
}

// read returns the records from an offset on. If there are none, it waits for the
// next append, at most for wait.
func (p *Platform) read(ctx context.Context, name string, from platform.Offset, limit int, wait time.Duration) batchJSON {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		batch, changed := p.batch(name, from, limit)
		if len(batch.Records) > 0 || wait == 0 {
			return batch
		}
		select {
		case <-changed:
		case <-timer.C:
			return batch
		case <-ctx.Done():
			return batch
		}
	}
}

// batch returns the stored records from an offset on, and a channel that is closed at
// the next append.
func (p *Platform) batch(name string, from platform.Offset, limit int) (batchJSON, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stream(name)
	s.expire(time.Now().Add(-p.cfg.Retention))
	batch := batchJSON{First: s.first, Next: s.next(), Records: []recordJSON{}}
	for offset := max(from, s.first); offset < s.next() && len(batch.Records) < limit; offset++ {
		batch.Records = append(batch.Records, recordJSON{Offset: offset, Data: s.records[offset-s.first].data})
	}
	return batch, s.changed
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
