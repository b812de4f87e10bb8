package kit

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// HeartbeatInterval is the setting heartbeat of the deployments.
const HeartbeatInterval = 1500 * time.Millisecond

// ackTimeout is how long a server waits for the acknowledgement of a heartbeat.
const ackTimeout = time.Second

// Run is a request that a server began to run.
type Run struct {
	At     time.Time
	ID     string
	Server string
	Tenant string
}

// Server is a stand-in for a backend server (an upstream).
type Server struct {
	ID, Service, Zone, Address string
	Slots                      int
	Control                    string // where it sends its heartbeats
	Work                       time.Duration
	Born                       int64 // start time in Unix milliseconds
	Record                     *Record
	// Extra, if not nil, returns bytes that the server sends on a connection after it
	// has read the next request there, ahead of the response to that request.
	// It is called once for each response.
	Extra func() []byte

	listener net.Listener

	mu       sync.Mutex
	runs     []Run
	running  int
	sequence int64
	silent   bool // sends no more heartbeats
	conns    map[net.Conn]bool
}

// Start opens the port of the server.
func (s *Server) Start() error {
	listener, err := net.Listen("tcp", s.Address)
	if err != nil {
		return err
	}
	s.listener, s.Born, s.conns = listener, time.Now().UnixMilli(), map[net.Conn]bool{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[conn] = true
			s.mu.Unlock()
			go s.serve(conn)
		}
	}()
	return nil
}

// Close ends the server: it closes its port and all connections.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.Close()
	}
}

// Runs returns what the server began to run.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// serve serves the requests on one connection, one at a time.
func (s *Server) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	var extra []byte
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if extra != nil {
			s.Record.Line("server %s sends %d extra bytes ahead of the response to %s", s.ID, len(extra), request.Header.Get("Tarragonshore-Attempt-Id"))
			if _, err := conn.Write(extra); err != nil {
				return
			}
		}
		response := s.handle(request)
		if _, err := conn.Write(response); err != nil {
			return
		}
		extra = nil
		if s.Extra != nil {
			extra = s.Extra()
		}
	}
}

// NotExecuted is the response of a server that does not run a request, as the platform's
// examples of messages show it.
const NotExecuted = "HTTP/1.1 503 Service Unavailable\r\nTarragonshore-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"

// handle runs a request and returns the bytes of the response.
func (s *Server) handle(r *http.Request) []byte {
	id := r.Header.Get("Tarragonshore-Attempt-Id")
	target := r.Header.Get("Tarragonshore-Target-Instance")
	switch {
	case r.URL.Path == "/health":
		return []byte("HTTP/1.1 200 OK\r\nTarragonshore-Instance-Id: " + s.ID + "\r\nContent-Length: 0\r\n\r\n")
	case id == "":
		return []byte("HTTP/1.1 400 Bad Request\r\nTarragonshore-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
	case target != "" && target != s.ID:
		s.Record.Line("server %s rejects %s, which is for %s", s.ID, id, target)
		return []byte("HTTP/1.1 421 Misdirected Request\r\nTarragonshore-Instance-Id: " + s.ID + "\r\nTarragonshore-Attempt-Id: " + id + "\r\nContent-Length: 0\r\n\r\n")
	}
	s.mu.Lock()
	if s.running >= s.Slots {
		s.mu.Unlock()
		s.Record.Line("server %s is full and rejects %s", s.ID, id)
		return []byte(NotExecuted)
	}
	s.running++
	s.runs = append(s.runs, Run{At: time.Now(), ID: id, Server: s.ID, Tenant: r.Header.Get("Tarragonshore-Tenant")})
	s.mu.Unlock()
	s.Record.Line("server %s runs %s", s.ID, id)
	time.Sleep(s.Work)
	s.mu.Lock()
	s.running--
	s.mu.Unlock()
	body := "answer of " + s.ID + " to " + id
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nTarragonshore-Attempt-Id: %s\r\nTarragonshore-Response-Stamp: %s.%s\r\nKeep-Alive: timeout=10\r\nContent-Length: %d\r\n\r\n%s",
		id, s.ID, id, len(body), body)
}

// Heartbeats sends a heartbeat in each interval until Deregister is called or stop is
// closed.
func (s *Server) Heartbeats(stop <-chan struct{}) {
	for {
		s.mu.Lock()
		silent := s.silent
		s.mu.Unlock()
		if silent {
			return
		}
		s.Send("heartbeat", s.Heartbeat("ready"))
		select {
		case <-stop:
			return
		case <-time.After(HeartbeatInterval):
		}
	}
}

// Heartbeat returns the body of the next heartbeat.
func (s *Server) Heartbeat(state string) map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	return map[string]any{
		"address": s.Address, "born": s.Born,
		"info":   map[string]any{"service": s.Service, "version": "v1", "zone": s.Zone, "slots": s.Slots},
		"status": map[string]any{"state": state, "sequence": s.sequence, "warmup_left": "0ms"},
	}
}

// Deregister sends the notice of a planned shutdown and returns the time of its
// acknowledgement. The server sends no heartbeats after it.
func (s *Server) Deregister() (acknowledged time.Time, ok bool) {
	s.mu.Lock()
	s.silent = true
	s.mu.Unlock()
	ok = s.Send("deregister", map[string]any{"born": s.Born})
	return time.Now(), ok
}

// Send sends a message about the server to the daemon of its host and reports whether
// it was acknowledged in time.
func (s *Server) Send(call string, body any) bool {
	data, err := json.Marshal(body)
	if err != nil {
		return false
	}
	client := &http.Client{Timeout: ackTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Post("http://"+s.Control+"/api/instances/"+s.ID+"/"+call, "application/json", bytes.NewReader(data))
	status := 0
	if err == nil {
		status = response.StatusCode
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	s.Record.Line("server %s sends %s %s: status %s", s.ID, call, data, strconv.Itoa(status))
	return status >= 200 && status < 300
}
