package kit

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

const (
	appendTime  = 4 * time.Millisecond // of one append, PROTOCOL.md
	lengthBytes = 4
)

// topic is one keyed topic with its only partition.
type topic struct {
	records [][]byte          // in the encoding of the log
	newest  map[string][]byte // value by key
	offsets map[string]int    // of the newest record by key
}

// Store is a stand-in for the platform's metadata store: the part of the log that the
// agents use.
type Store struct {
	server *http.Server

	mu       sync.Mutex
	topics   map[string]*topic
	appended chan struct{} // closed at each append
	lose     func(name, key string, value []byte) (late time.Duration, lost bool)
}

// LoseResponses sets a function that is asked for each append whether its response is
// lost; the append is then executed only after the time late. nil ends the disruption.
func (s *Store) LoseResponses(lose func(name, key string, value []byte) (late time.Duration, lost bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lose = lose
}

// StartStore starts a store at an address.
func StartStore(address string) (*Store, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Store{topics: map[string]*topic{}, appended: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/log-append", s.serveAppend)
	mux.HandleFunc("GET /api/log-read", s.serveRead)
	mux.HandleFunc("GET /api/log-newest", s.serveNewest)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// Keys returns the keys of a topic that have a value.
func (s *Store) Keys(name string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.topic(name).newest {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

// Close stops the store.
func (s *Store) Close() { _ = s.server.Close() }

// Publish writes a configuration as the operator does.
func (s *Store) Publish(configuration any) error {
	value, err := json.Marshal(configuration)
	if err == nil {
		s.append("keyed.op", "config", value)
	}
	return err
}

func (s *Store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string][]byte{}, offsets: map[string]int{}}
		s.topics[name] = t
	}
	return t
}

func (s *Store) append(name, key string, value []byte) (offset int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	offset = len(t.records)
	body := append(append([]byte{byte(len(key))}, key...), value...)
	t.records = append(t.records, append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...))
	if len(value) == 0 {
		delete(t.newest, key)
		delete(t.offsets, key)
	} else {
		t.newest[key], t.offsets[key] = value, offset
	}
	close(s.appended)
	s.appended = make(chan struct{})
	return offset
}

func (s *Store) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	time.Sleep(appendTime)
	offset := 0
	for err == nil && len(body) > 0 {
		if len(body) < lengthBytes || len(body)-lengthBytes < int(binary.BigEndian.Uint32(body)) {
			err = io.ErrUnexpectedEOF
			break
		}
		end := lengthBytes + int(binary.BigEndian.Uint32(body))
		record := body[lengthBytes:end]
		body = body[end:]
		if len(record) == 0 || len(record) < 1+int(record[0]) {
			err = io.ErrUnexpectedEOF
			break
		}
		keyEnd := 1 + int(record[0])
		name, key, value := r.URL.Query().Get("topic"), string(record[1:keyEnd]), append([]byte(nil), record[keyEnd:]...)
		s.mu.Lock()
		lose := s.lose
		s.mu.Unlock()
		if lose != nil {
			if late, lost := lose(name, key, value); lost {
				time.AfterFunc(late, func() { s.append(name, key, value) })
				<-r.Context().Done() // no response; the agent gives up
				return
			}
		}
		offset = s.append(name, key, value)
	}
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	writeJSON(w, map[string]int{"offset": offset, "end_offset": offset + 1})
}

func (s *Store) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.Atoi(query.Get("from"))
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for expired := false; ; {
		s.mu.Lock()
		records, appended := s.topic(query.Get("topic")).records, s.appended
		s.mu.Unlock()
		if from < len(records) || expired {
			body := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
			body = binary.BigEndian.AppendUint64(body, 0)
			for _, record := range records[min(from, len(records)):] {
				body = append(body, record...)
			}
			_, _ = w.Write(body)
			return
		}
		select {
		case <-appended:
		case <-deadline:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) serveNewest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	t := s.topic(r.URL.Query().Get("topic"))
	items := []map[string]any{}
	for key, value := range t.newest {
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(value), "offset": t.offsets[key]})
	}
	end := len(t.records)
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i]["key"].(string) < items[j]["key"].(string) })
	writeJSON(w, map[string]any{"items": items, "has_more": false, "end_offset": end})
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
