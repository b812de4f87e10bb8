package kit

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Store is a stand-in for the platform's metadata store: topics with one partition, keyed
// topics, appends with a producer's epoch and sequence, and long polls. It loses nothing.
type Store struct {
	Address string

	server *http.Server
	mu     sync.Mutex
	topics map[string]*topic
	change chan struct{} // closed at each append
}

type topic struct {
	records   [][]byte // keyed records: length of the key, key, value
	producers map[string]*producer
}

type producer struct {
	epoch, next uint64
	offset      int // of the last append
}

// NewStore starts a store at an address.
func NewStore(address string) (*Store, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Store{Address: address, topics: map[string]*topic{}, change: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/log-append", s.append)
	mux.HandleFunc("GET /api/log-read", s.read)
	mux.HandleFunc("GET /api/log-newest", s.newest)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// Close stops the store.
func (s *Store) Close() { _ = s.server.Close() }

func (s *Store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{producers: map[string]*producer{}}
		s.topics[name] = t
	}
	return t
}

func (s *Store) add(name string, records ...[]byte) (offset int) {
	t := s.topic(name)
	offset = len(t.records)
	t.records = append(t.records, records...)
	close(s.change)
	s.change = make(chan struct{})
	return offset
}

// Publish writes a configuration as the operator does. Its return is the acknowledgement.
func (s *Store) Publish(configuration any) {
	value, err := json.Marshal(configuration)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add("keyed.op", append([]byte("\x06config"), value...))
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var records [][]byte
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if n > len(body)-4 {
			writeJSON(w, http.StatusBadRequest, map[string]string{"why": "length"})
			return
		}
		records = append(records, body[4:4+n])
		body = body[4+n:]
	}
	query := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	name := query.Get("topic")
	if name == "keyed.op" || name == "keyed.servers" {
		writeJSON(w, http.StatusForbidden, map[string]string{"why": "not yours"})
		return
	}
	t := s.topic(name)
	if at := query.Get("at"); at != "" && at != strconv.Itoa(len(t.records)) {
		writeJSON(w, http.StatusPreconditionFailed, map[string]int{"end_offset": len(t.records)})
		return
	}
	id := query.Get("producer")
	if id == "" {
		offset := s.add(name, records...)
		writeJSON(w, http.StatusOK, map[string]int{"offset": offset, "end_offset": len(t.records)})
		return
	}
	epoch, _ := strconv.ParseUint(query.Get("epoch"), 10, 64)
	sequence, _ := strconv.ParseUint(query.Get("sequence"), 10, 64)
	p := t.producers[id]
	switch {
	case p != nil && epoch < p.epoch:
		writeJSON(w, http.StatusConflict, map[string]string{"why": "fenced"})
		return
	case p == nil || epoch > p.epoch:
		p = &producer{epoch: epoch, next: sequence}
		t.producers[id] = p
	case sequence == p.next-1:
		writeJSON(w, http.StatusOK, map[string]int{"offset": p.offset, "end_offset": len(t.records)})
		return
	case sequence != p.next:
		writeJSON(w, http.StatusConflict, map[string]any{"why": "seq", "expected": p.next})
		return
	}
	p.next, p.offset = sequence+1, len(t.records)
	s.add(name, records...)
	writeJSON(w, http.StatusOK, map[string]int{"offset": p.offset, "end_offset": len(t.records)})
}

func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.Atoi(query.Get("from"))
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := true; ; {
		s.mu.Lock()
		records, change := s.topic(query.Get("topic")).records, s.change
		s.mu.Unlock()
		if from > len(records) {
			writeJSON(w, http.StatusGone, map[string]int{"first_offset": 0})
			return
		}
		if from < len(records) || !waiting {
			body := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
			body = binary.BigEndian.AppendUint64(body, 0)
			for _, record := range records[from:] {
				body = binary.BigEndian.AppendUint32(body, uint32(len(record)))
				body = append(body, record...)
			}
			_, _ = w.Write(body)
			return
		}
		select {
		case <-change:
		case <-end:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) newest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	records := s.topic(r.URL.Query().Get("topic")).records
	s.mu.Unlock()
	newest := map[string]item{}
	for offset, record := range records {
		n := 1 + int(record[0])
		key := string(record[1:n])
		if len(record) == n {
			delete(newest, key)
			continue
		}
		newest[key] = item{key, base64.StdEncoding.EncodeToString(record[n:]), offset}
	}
	items := make([]item, 0, len(newest))
	for _, i := range newest {
		items = append(items, i)
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "end_offset": len(records)})
}
