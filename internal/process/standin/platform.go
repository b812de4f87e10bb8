// Package standin holds the development stand-ins for what surrounds the
// system: the platform's log and a backend server. They are not for production.
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

// HeaderNotAppended marks a refusal of an append that certainly had no effect.
const HeaderNotAppended = "Tarragon-Not-Appended"

// maxReadWait bounds a long poll.
const maxReadWait = 30 * time.Second

// OutageMode is what the platform does with requests during an outage.
type OutageMode string

// The outage modes.
const (
	OutageNone   OutageMode = ""
	OutageRefuse OutageMode = "refuse" // answers 503 at once
	OutageHang   OutageMode = "hang"   // takes the request and never answers
)

// PlatformFaults are the faults of the platform, settable at any time.
type PlatformFaults struct {
	Outage OutageMode `json:"outage"`
	// Latency is added to each request, in milliseconds.
	LatencyMS int `json:"latency_ms"`
	// LoseAnswers is the number of coming appends that take effect and whose
	// answer is lost.
	LoseAnswers int `json:"lose_answers"`
}

// PlatformConfig holds the fixed properties of the log.
type PlatformConfig struct {
	// AppendsPerSecond is the most the log takes; more are refused with 503.
	AppendsPerSecond float64
	// Retention is how long a record is kept.
	Retention time.Duration
}

// entry is a stored record with its time.
type entry struct {
	data []byte
	at   time.Time
}

// stream is one log. first is the offset of entries[0].
type stream struct {
	first   platform.Offset
	entries []entry
	changed chan struct{} // closed and replaced at each append
}

func newStream() *stream { return &stream{changed: make(chan struct{})} }

func (s *stream) next() platform.Offset { return s.first + platform.Offset(len(s.entries)) }

// expire drops the records from before the given time.
func (s *stream) expire(before time.Time) {
	kept := 0
	for kept < len(s.entries) && s.entries[kept].at.Before(before) {
		kept++
	}
	s.entries = s.entries[kept:]
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
	tokens   float64
	refilled time.Time
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

// SetFaults replaces the faults in force.
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

// delay applies latency and outage. It returns false if the request ends here.
func (p *Platform) delay(w http.ResponseWriter, r *http.Request) bool {
	p.mu.Lock()
	faults := p.faults
	p.mu.Unlock()
	if faults.LatencyMS > 0 && !sleep(r.Context(), time.Duration(faults.LatencyMS)*time.Millisecond) {
		return false
	}
	switch faults.Outage {
	case OutageRefuse:
		refuse(w, "outage")
		return false
	case OutageHang:
		<-r.Context().Done()
		return false
	}
	return true
}

// refuse answers 503 for a request that had no effect.
func refuse(w http.ResponseWriter, reason string) {
	w.Header().Set(HeaderNotAppended, "true")
	writeJSON(w, http.StatusServiceUnavailable, map[string]string{"error": reason})
}

func (p *Platform) handleAppend(w http.ResponseWriter, r *http.Request) {
	if !p.delay(w, r) {
		return
	}
	data, err := io.ReadAll(io.LimitReader(r.Body, platform.MaxRecordBytes+1))
	if err != nil {
		return // the client has gone; nothing was appended
	}
	if len(data) > platform.MaxRecordBytes {
		writeJSON(w, http.StatusRequestEntityTooLarge, map[string]string{"error": "record too large"})
		return
	}
	offset, lost, ok := p.append(mux.Vars(r)["stream"], data)
	switch {
	case !ok:
		refuse(w, "append rate")
	case lost:
		panic(http.ErrAbortHandler) // closes the connection without an answer
	default:
		writeJSON(w, http.StatusCreated, map[string]platform.Offset{"offset": offset})
	}
}

// append stores a record unless the append rate is used up. lost tells that
// the answer is to be lost.
func (p *Platform) append(name string, data []byte) (offset platform.Offset, lost, ok bool) {
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
	s.entries = append(s.entries, entry{data: data, at: now})
	close(s.changed)
	s.changed = make(chan struct{})
	if p.faults.LoseAnswers > 0 {
		p.faults.LoseAnswers--
		lost = true
	}
	return offset, lost, true
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

// recordJSON is the JSON form of a record; Data is base64.
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
	if !p.delay(w, r) {
		return
	}
	query := r.URL.Query()
	from, err := strconv.ParseUint(query.Get("from"), 10, 64)
	limit, err2 := strconv.Atoi(query.Get("limit"))
	waitMS, err3 := strconv.Atoi(query.Get("wait_ms"))
	if err != nil || err2 != nil || err3 != nil || limit < 1 || waitMS < 0 {
		http.Error(w, "from, limit and wait_ms must be whole numbers", http.StatusBadRequest)
		return
	}
	wait := min(time.Duration(waitMS)*time.Millisecond, maxReadWait)
	batch := p.read(r.Context(), mux.Vars(r)["stream"], platform.Offset(from), limit, wait)
	if r.Context().Err() != nil || !p.delay(w, r) {
		return // an outage that began during the wait also loses the answer
	}
	writeJSON(w, http.StatusOK, batch)
}

// read returns records from an offset on and waits for one if there is none.
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

// batch returns what is there now, and a channel that the next append closes.
func (p *Platform) batch(name string, from platform.Offset, limit int) (batchJSON, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stream(name)
	s.expire(time.Now().Add(-p.cfg.Retention))
	batch := batchJSON{First: s.first, Next: s.next(), Records: []recordJSON{}}
	for offset := max(from, s.first); offset < s.next() && len(batch.Records) < limit; offset++ {
		batch.Records = append(batch.Records, recordJSON{Offset: offset, Data: s.entries[offset-s.first].data})
	}
	return batch, s.changed
}

// sleep waits and returns false if the context ends first.
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
