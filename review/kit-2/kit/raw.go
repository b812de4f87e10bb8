package kit

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// Rejection is the answer of an upstream that did not run a request, as the platform's
// examples have it: without the id of the request.
const Rejection = "HTTP/1.1 503 Service Unavailable\r\nTarragonshore-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"

// Trouble is how an upstream is in trouble.
type Trouble struct {
	Shed  float64 // share of the requests that it rejects
	Extra float64 // share of the answers that it sends a second time, late
}

// RawUpstream is an upstream that writes its answers itself. It serves one request at a
// time on a connection.
type RawUpstream struct {
	*Upstream
	trouble atomic.Pointer[Trouble]
	Extras  atomic.Int64 // second answers sent
}

// StartRawUpstream starts a RawUpstream at the app address of a host.
func (h *Host) StartRawUpstream(id, service string, slots int, work time.Duration) *RawUpstream {
	u := &RawUpstream{Upstream: &Upstream{ID: id, Service: service, Slots: slots, Born: time.Now().UnixMilli(), host: h, state: "ready",
		stop: make(chan struct{}), server: &http.Server{}, Work: func(*http.Request) time.Duration { return work }}}
	listener, err := net.Listen("tcp", h.AppAddr())
	h.test.Must(err)
	go func() {
		<-u.stop
		_ = listener.Close()
	}()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go u.serve(conn)
		}
	}()
	h.Upstream = u.Upstream
	h.test.Logf("%s: upstream %s of %s started, born %d", h.Name, id, service, u.Born)
	return u
}

// SetTrouble changes how the upstream is in trouble.
func (u *RawUpstream) SetTrouble(t Trouble) { u.trouble.Store(&t) }

func (u *RawUpstream) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	extra := "" // a second answer to an earlier request, sent where the next one is expected
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if extra != "" {
			u.host.test.Logf("  upstream %s sends a second copy of an earlier answer", u.ID)
			u.Extras.Add(1)
			if _, err := io.WriteString(conn, extra); err != nil {
				return
			}
			extra = ""
		}
		t := Trouble{}
		if p := u.trouble.Load(); p != nil {
			t = *p
		}
		answer := u.answer(r, len(body), t)
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
		if rand.Float64() < t.Extra {
			extra = answer
		}
	}
}

// answer runs or rejects a request and returns the answer.
func (u *RawUpstream) answer(r *http.Request, size int, t Trouble) string {
	id := r.Header.Get("Tarragonshore-Attempt-Id")
	run := Run{At: u.host.test.Since(), ID: id, Upstream: u.ID, Method: r.Method, Target: r.RequestURI, Host: r.Host, Bytes: size,
		Caller: r.Header.Get("Tarragonshore-Caller-Service"), Tenant: r.Header.Get("Tarragonshore-Tenant")}
	target := r.Header.Get("Tarragonshore-Target-Instance")
	u.mu.Lock()
	run.Executed = rand.Float64() >= t.Shed && u.running < u.Slots && (target == "" || target == u.ID)
	if run.Executed {
		u.running++
	}
	u.runs = append(u.runs, run)
	u.mu.Unlock()
	if !run.Executed {
		u.host.test.Logf("  upstream %s rejects %s", u.ID, id)
		return Rejection
	}
	u.host.test.Logf("  upstream %s runs %s %s %s", u.ID, id, r.Method, r.RequestURI)
	time.Sleep(u.Work(r))
	u.ended()
	body := Body(id)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nTarragonshore-Attempt-Id: %s\r\nTarragonshore-Response-Stamp: stamp-%s\r\nContent-Length: %d\r\n\r\n%s", id, id, len(body), body)
}
