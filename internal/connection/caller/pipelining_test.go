//go:build linux

package caller_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"regexp"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"tarragonshore.example/tarragonshore/internal/connection/caller"
	"tarragonshore.example/tarragonshore/internal/connection/network"
	"tarragonshore.example/tarragonshore/internal/connection/pipeline"
)

// pipelineServer is a server whose handler blocks until the test releases each request. The
// routes below /i/ are idempotent.
type pipelineServer struct {
	*caller.Server
	g        *WithT
	listener net.Listener
	conn     *net.TCPConn // of the caller
	reader   *bufio.Reader

	mu       sync.Mutex
	running  []string                 // targets whose handlers run, in the order of their starts
	release  map[string]chan struct{} // by target
	ended    map[string]error         // by target, the context's error when the handler ended
	decided  map[pipeline.Reason]int
	bodySize int
}

func serve(t *testing.T, handler http.Handler, p *caller.Pipelining) (*caller.Server, net.Listener) {
	listener, err := network.System{}.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	server := caller.NewServer(handler)
	if p != nil {
		server.EnablePipelining(*p)
	}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return server, listener
}

func routeOf(_, path string) (bool, int) {
	return strings.HasPrefix(path, "/i/"), pipeline.UnknownResponseBytes
}

func newPipelineServer(t *testing.T) *pipelineServer {
	s := &pipelineServer{g: NewWithT(t), release: map[string]chan struct{}{}, ended: map[string]error{}, decided: map[pipeline.Reason]int{}, bodySize: 10}
	s.Server, s.listener = serve(t, s, &caller.Pipelining{Route: routeOf, Stopping: func() bool { return false },
		Decided: func(reason pipeline.Reason, _ int) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.decided[reason]++
		}})
	s.connect()
	return s
}

func (s *pipelineServer) connect() {
	conn, err := net.Dial("tcp", s.listener.Addr().String())
	s.g.Expect(err).NotTo(HaveOccurred())
	s.conn, s.reader = conn.(*net.TCPConn), bufio.NewReader(conn)
}

func (s *pipelineServer) channel(target string) chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.release[target] == nil {
		s.release[target] = make(chan struct{})
	}
	return s.release[target]
}

func (s *pipelineServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	target, channel := r.RequestURI, s.channel(r.RequestURI)
	_, _ = io.Copy(io.Discard, r.Body)
	s.mu.Lock()
	s.running = append(s.running, target)
	s.mu.Unlock()
	select {
	case <-channel:
	case <-r.Context().Done():
	}
	_, _ = io.WriteString(w, target+strings.Repeat(".", s.bodySize))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended[target] = r.Context().Err()
}

func (s *pipelineServer) send(requests ...string) {
	_, err := io.WriteString(s.conn, strings.Join(requests, ""))
	s.g.Expect(err).NotTo(HaveOccurred())
}

func get(targets ...string) string {
	all := ""
	for _, target := range targets {
		all += "GET " + target + " HTTP/1.1\r\nHost: test\r\n\r\n"
	}
	return all
}

// started returns the targets whose handlers have started, in any order.
func (s *pipelineServer) started() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.running...)
}

func (s *pipelineServer) expectStarted(targets ...string) {
	s.g.THelper()
	s.g.Eventually(s.started, "5s", "2ms").Should(ConsistOf(targets))
	s.g.Consistently(s.started, "30ms", "5ms").Should(ConsistOf(targets))
}

func (s *pipelineServer) finish(targets ...string) {
	for _, target := range targets {
		close(s.channel(target))
	}
}

// expectResponses reads the responses to the targets in this order.
func (s *pipelineServer) expectResponses(targets ...string) (last *http.Response) {
	s.g.THelper()
	_ = s.conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	for _, target := range targets {
		response, err := http.ReadResponse(s.reader, nil)
		s.g.Expect(err).NotTo(HaveOccurred(), target)
		body, err := io.ReadAll(response.Body)
		s.g.Expect(err).NotTo(HaveOccurred(), target)
		s.g.Expect(strings.TrimRight(string(body), ".")).To(Equal(target))
		last = response
	}
	return last
}

// Guards against requests that wait for the response to the one before, and against
// responses that overtake that of a slow first request.
func TestPipelinedRequestsRunTogether(t *testing.T) {
	for name, pieces := range map[string][]string{
		"at once":  {get("/i/1", "/i/2", "/i/3", "/i/4")},
		"later":    {get("/i/1"), get("/i/2", "/i/3"), get("/i/4")},
		"in parts": {get("/i/1")[:9], get("/i/1")[9:] + get("/i/2")[:20], get("/i/2")[20:], get("/i/3")[:1], get("/i/3")[1:] + get("/i/4")},
		"bodies":   {"PUT /i/1 HTTP/1.1\r\nHost: test\r\nContent-Length: 4\r\n\r\nab", "cd" + get("/i/2", "/i/3", "/i/4")},
		"chunks":   {"PUT /i/1 HTTP/1.1\r\nHost: test\r\nTransfer-Encoding: chunked\r\n\r\n2\r\na", "b\r\n0\r\n\r\n" + get("/i/2", "/i/3", "/i/4")},
	} {
		t.Run(name, func(t *testing.T) {
			s := newPipelineServer(t)
			for _, piece := range pieces {
				s.send(piece)
				time.Sleep(20 * time.Millisecond)
			}
			s.expectStarted("/i/1", "/i/2", "/i/3", "/i/4")
			s.finish("/i/4", "/i/2", "/i/3")
			_ = s.conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
			_, err := s.reader.Peek(1)
			s.g.Expect(err).To(HaveOccurred(), "a response before the first one")
			s.finish("/i/1")
			s.expectResponses("/i/1", "/i/2", "/i/3", "/i/4")
			s.finish("/i/5", "/i/6")
			s.send(get("/i/5", "/i/6"))
			s.expectResponses("/i/5", "/i/6")
		})
	}
}

// Guards against a non-idempotent request that runs before its turn, or lets others do so;
// the same for requests with a body, and for those that a closed connection leaves unread.
func TestOtherRequestsKeepTheirTurn(t *testing.T) {
	for name, row := range map[string]struct {
		request string
		closes  bool
	}{
		"not idempotent": {request: get("/n/3")}, "body": {request: "PUT /i/3 HTTP/1.1\r\nHost: test\r\nContent-Length: 2\r\n\r\nab"},
		"chunked": {request: "PUT /i/3 HTTP/1.1\r\nHost: test\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"},
		"close":   {request: "GET /i/3 HTTP/1.1\r\nHost: test\r\nConnection: close\r\n\r\n", closes: true},
		"old":     {request: "GET /i/3 HTTP/1.0\r\n\r\n", closes: true},
	} {
		t.Run(name, func(t *testing.T) {
			s := newPipelineServer(t)
			third := strings.Fields(row.request)[1]
			s.send(get("/i/1", "/i/2") + row.request + get("/i/4"))
			s.expectStarted("/i/1", "/i/2")
			s.finish("/i/2", "/i/1")
			s.expectResponses("/i/1", "/i/2")
			s.g.Eventually(s.started, "5s", "2ms").Should(ContainElement(third))
			if !strings.Contains(third, "i") || row.closes { // not one that was read, on an idempotent route
				s.expectStarted("/i/1", "/i/2", third)
			}
			s.finish(third, "/i/4")
			s.expectResponses(third)
			if row.closes {
				_, err := s.reader.ReadByte()
				s.g.Expect(err).To(MatchError(io.EOF))
				s.expectStarted("/i/1", "/i/2", third)
				return
			}
			s.expectResponses("/i/4")
		})
	}
}

// Guards against idempotent work that goes on after the caller has left: for a single
// request, with others behind it, and with more bytes than are read ahead.
func TestEndOfConnectionCancelsPipelinedRequests(t *testing.T) {
	for name, end := range map[string]func(*net.TCPConn) error{
		"close": (*net.TCPConn).Close, "half-close": (*net.TCPConn).CloseWrite,
		"reset": func(c *net.TCPConn) error { _ = c.SetLinger(0); return c.Close() },
	} {
		for behind, requests := range map[string]string{
			"": "", ", others behind": get("/i/2", "/i/3"), ", not idempotent": get("/i/2", "/i/3", "/n/4"),
			", part of another": get("/i/2", "/i/3") + "GET", ", more than is read": get("/i/2", "/i/3") + strings.Repeat(get("/n/4"), 3000),
			", body": get("/i/2", "/i/3") + "POST /n/4 HTTP/1.1\r\nHost: test\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("x", 90000),
		} {
			t.Run(name+behind, func(t *testing.T) {
				t.Parallel()
				s := newPipelineServer(t)
				started := []string{"/i/1", "/i/2", "/i/3"}
				if behind == "" {
					started = started[:1]
				}
				s.send(get("/i/1") + requests)
				s.expectStarted(started...)
				s.g.Expect(end(s.conn)).To(Succeed())
				s.g.Eventually(func() int {
					s.mu.Lock()
					defer s.mu.Unlock()
					cancelled := 0
					for _, target := range started {
						if s.ended[target] != nil {
							cancelled++
						}
					}
					return cancelled
				}, "500ms", "5ms").Should(Equal(len(started)))
				if name == "half-close" {
					s.expectResponses(started...)
				}
			})
		}
	}
}

// Guards against a stop that ends a connection before the responses to the requests that
// were passed on, or that passes on further ones.
func TestStopWritesPipelinedResponses(t *testing.T) {
	s := newPipelineServer(t)
	s.send(get("/i/1", "/i/2", "/i/3", "/n/4", "/i/5"))
	s.expectStarted("/i/1", "/i/2", "/i/3")
	stopped := make(chan error, 1)
	go func() { stopped <- s.Stop(context.Background(), s.listener) }()
	s.finish("/i/2", "/n/4")
	s.g.Consistently(stopped, "100ms").ShouldNot(Receive())
	s.finish("/i/1")
	s.expectResponses("/i/1", "/i/2")
	s.g.Consistently(stopped, "100ms").ShouldNot(Receive())
	s.finish("/i/3")
	s.expectResponses("/i/3")
	s.g.Eventually(stopped, "5s").Should(Receive(BeNil()))
	for _, target := range s.started() {
		s.g.Expect(target).To(BeElementOf("/i/1", "/i/2", "/i/3", "/n/4"), "in its turn, or not read")
	}
}

// Guards against a response with Connection: close that ends the connection before those to
// the requests that run ahead behind it.
func TestCloseAfterWritesPipelinedResponses(t *testing.T) {
	started := make(chan string, 8)
	var all sync.WaitGroup
	all.Add(2)
	_, listener := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		started <- r.RequestURI
		if r.RequestURI != "/i/3" {
			all.Done()
			all.Wait() // both run before the first one is answered
		}
		caller.CloseAfter(w, r)
		_, _ = io.WriteString(w, r.RequestURI)
	}), &caller.Pipelining{Route: routeOf, Stopping: func() bool { return len(started) >= 2 }, Decided: func(pipeline.Reason, int) {}})
	s := &pipelineServer{g: NewWithT(t), listener: listener}
	s.connect()
	s.send(get("/i/1", "/i/2"))
	s.g.Eventually(started, "5s").Should(HaveLen(2))
	s.send(get("/i/3"))
	s.g.Expect(s.expectResponses("/i/1", "/i/2").Close).To(BeTrue())
	_, err := s.reader.ReadByte()
	s.g.Expect(err).To(HaveOccurred())
	s.g.Expect(started).To(HaveLen(2), "counts as not read")
}

// Guards against one connection that runs or holds more than its limits.
func TestPipeliningLimits(t *testing.T) {
	t.Run("requests", func(t *testing.T) {
		s := newPipelineServer(t)
		var targets []string
		for n := range 20 {
			targets = append(targets, fmt.Sprint("/i/", n))
		}
		s.send(get(targets...))
		s.expectStarted(targets[:pipeline.MaxRequests]...)
		s.finish(targets[2:]...)
		s.expectStarted(targets[:pipeline.MaxRequests]...) // their responses wait
		s.finish(targets[:2]...)
		s.expectResponses(targets...)
	})
	t.Run("heads", func(t *testing.T) {
		s := newPipelineServer(t)
		large := strings.Replace(get("/i/2"), "\r\n\r\n", "\r\nField: "+strings.Repeat("x", 40<<10)+"\r\n\r\n", 1)
		s.send(get("/i/1") + large + strings.Replace(large, "/2", "/3", 1) + get("/i/4"))
		s.expectStarted("/i/1", "/i/2")
		s.finish("/i/1", "/i/2", "/i/3", "/i/4")
		s.expectResponses("/i/1", "/i/2", "/i/3", "/i/4")
	})
	t.Run("responses", func(t *testing.T) {
		s := newPipelineServer(t)
		s.bodySize = 100 << 10 // of which two fit
		s.send(get("/i/1", "/i/2", "/i/3", "/i/4"))
		s.expectStarted("/i/1", "/i/2", "/i/3", "/i/4")
		s.finish("/i/2", "/i/3", "/i/4")
		time.Sleep(50 * time.Millisecond)
		s.send(get("/i/5"))
		s.expectStarted("/i/1", "/i/2", "/i/3", "/i/4")
		s.mu.Lock()
		s.g.Expect(len(s.ended)).To(Equal(2), "the third waits for its turn")
		s.mu.Unlock()
		s.finish("/i/1", "/i/5")
		s.expectResponses("/i/1", "/i/2", "/i/3", "/i/4", "/i/5")
	})
}

// A panic of a handler ends its connection, and no other.
func TestPanicOfPipelinedRequestEndsItsConnection(t *testing.T) {
	_, listener := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.RequestURI == "/i/2" {
			panic(http.ErrAbortHandler)
		}
		time.Sleep(20 * time.Millisecond)
		_, _ = io.WriteString(w, r.RequestURI)
	}), &caller.Pipelining{Route: routeOf, Stopping: func() bool { return false }, Decided: func(pipeline.Reason, int) {}})
	for range 2 {
		s := &pipelineServer{g: NewWithT(t), listener: listener}
		s.connect()
		s.send(get("/i/1", "/i/2", "/i/3"))
		s.expectResponses("/i/1")
		_, err := s.reader.ReadByte()
		s.g.Expect(err).To(HaveOccurred())
	}
}

// Guards against a cost of pipelining for connections that do not pipeline: memory
// allocations per request, goroutines and bytes per connection.
func TestConnectionsThatDoNotPipelineCostNoMore(t *testing.T) {
	const requests, connections = 2000, 300
	g := NewWithT(t)
	cost := func(p *caller.Pipelining) (allocations float64, goroutines int, bytes float64) {
		_, listener := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Header()["Date"] = nil }), p)
		exchange := func(conn net.Conn, buffer []byte) {
			_, err := io.WriteString(conn, "GET /i/1 HTTP/1.1\r\nHost: test\r\n\r\n")
			g.Expect(err).NotTo(HaveOccurred())
			_, err = conn.Read(buffer)
			g.Expect(err).NotTo(HaveOccurred())
		}
		var conns []net.Conn
		buffer := make([]byte, 1000)
		memory := func() (m runtime.MemStats) {
			for range 3 { // the second one empties the pools of buffers
				runtime.GC()
			}
			runtime.ReadMemStats(&m)
			return m
		}
		before, goroutinesBefore := memory(), runtime.NumGoroutine()
		for range connections {
			conn, err := net.Dial("tcp", listener.Addr().String())
			g.Expect(err).NotTo(HaveOccurred())
			exchange(conn, buffer)
			conns = append(conns, conn)
		}
		time.Sleep(20 * time.Millisecond)
		open, goroutinesOpen := memory(), runtime.NumGoroutine()
		for range requests {
			exchange(conns[0], buffer)
		}
		allocations = float64(memory().Mallocs-open.Mallocs) / requests
		for _, conn := range conns {
			_ = conn.Close()
		}
		g.Eventually(runtime.NumGoroutine, "5s", "5ms").Should(BeNumerically("<=", goroutinesBefore))
		return allocations, goroutinesOpen - goroutinesBefore, float64(open.HeapAlloc-before.HeapAlloc) / connections
	}
	plainAllocations, plainGoroutines, plainBytes := cost(nil)
	allocations, goroutines, bytes := cost(&caller.Pipelining{Route: routeOf, Stopping: func() bool { return false }, Decided: func(pipeline.Reason, int) {}})
	t.Logf("allocations per request %.2f and %.2f, goroutines %d and %d, bytes per connection %.0f and %.0f", plainAllocations, allocations, plainGoroutines, goroutines, plainBytes, bytes)
	g.Expect(allocations).To(BeNumerically("<", plainAllocations+0.5))
	g.Expect(goroutines).To(BeNumerically("<=", plainGoroutines+2))
	g.Expect(bytes).To(BeNumerically("<", plainBytes+1024))
}

// parts are what random connections consist of: requests, whole and malformed.
var parts = []string{
	get("/i/a"), get("/i/b?x=1"), get("/n/c"), "HEAD /i/d HTTP/1.1\r\nHost: test\r\n\r\n", "GET /i/e HTTP/1.1\nHost: test\nA: b\n\n",
	"PUT /i/f HTTP/1.1\r\nHost: test\r\nContent-Length: 5\r\n\r\nGET /", "POST /n/g HTTP/1.1\r\nHost: test\r\ncontent-length: 3\r\n\r\nabc",
	"POST /i/h HTTP/1.1\r\nHost: test\r\nContent-Length: 0\r\n\r\n", "PUT /i/i HTTP/1.1\r\nHost: test\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n0\r\nA: b\r\n\r\n",
	"PUT /i/o HTTP/1.1\r\nHost: test\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\nC\r\nGET / HTTP/1\r\n0\r\n\r\n", "PUT /i/p/f HTTP/1.1\r\nHost: test\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
	"POST /i/j HTTP/1.1\r\nHost: test\r\n\r\n\r\n", "GET /i/k HTTP/1.1\r\nHost: test\r\nExpect: 100-continue\r\n\r\n", "GET /i/l HTTP/1.1\r\nHost: test\r\nConnection: keep-alive\r\nA: b\r\n c\r\n\r\n",
	"GET /i/m HTTP/1.0\r\nConnection: keep-alive\r\n\r\n", "PUT /i/n HTTP/1.1\r\nHost: test\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\nab",
}

var enders = []string{"", "GET /i/y HTTP/1.1\r\nHost: test\r\nConnection: close\r\n\r\n", "GET /i/y HTTP/1.1\r\n\r\n", "GET /i/y HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", "GET /i/y HTTP/1.1\r\nHost: test\r\nA : b\r\n\r\n",
	"\r\n", "GET /i/y HTTP/1.1\r\nHost: test\r\nContent-Length: 1, 2\r\n\r\n", "GET /i/y HTTP/1.1\r\nHost: test\r\nA: \x01\r\n\r\n", "x", "CONNECT test HTTP/1.1\r\nHost: test\r\n\r\n", "GET * HTTP/1.1\r\nHost: test\r\n\r\n", "OPTIONS * HTTP/1.1\r\nHost: test\r\n\r\n",
	"GET /i/y HTTP/1.1\r\nHost: test\r\nTransfer-Encoding: gzip\r\n\r\n", "PUT /i/y HTTP/1.1\r\nHost: test\r\nContent-Length: 9\r\n\r\nabc", "PUT /i/y HTTP/1.1\r\nHost: test\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\nabc\r\n0\r\n\r\n", "PUT /i/y HTTP/1.1\r\nHost: test\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n0\r\n\r\n", "GET /i/y HTTP/1.1\r\nHost: a b\r\n\r\n", "GET /i/y HTTP/1.1\r\nHost: test\r\nExpect: x\r\n\r\n", "GET http://test/i/y HTTP/1.1\r\nHost: test\r\n\r\n",
	"\r\r\nGET /i/y HTTP/1.1\r\nHost: test\r\n\r\n", "GET /i/y HTTP/1.1\r\n Host: test\r\n\r\n"}

// Guards against a difference to net/http without the wrapper, in the requests that handlers
// get or in the responses, whatever way the bytes are cut into reads.
func TestPipeliningChangesNoRequestAndNoResponse(t *testing.T) {
	var mu sync.Mutex
	handled := map[string][]string{} // by the address of the caller
	echo := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		handled[r.RemoteAddr] = append(handled[r.RemoteAddr], r.RequestURI)
		mu.Unlock()
		body, err := []byte(nil), error(nil)
		if !strings.HasSuffix(r.RequestURI, "f") { // one that leaves its body unread
			body, err = io.ReadAll(r.Body)
		}
		if strings.Contains(r.RequestURI, "a") {
			time.Sleep(time.Millisecond)
		}
		w.Header().Set("Path", r.URL.Path)
		_, _ = fmt.Fprintln(w, r.Method, r.RequestURI, r.Proto, r.Host, r.Header, r.Trailer, r.ContentLength, r.TransferEncoding, r.Close, string(body), err)
	})
	_, plain := serve(t, echo, nil)
	_, pipelined := serve(t, echo, &caller.Pipelining{Route: routeOf, Stopping: func() bool { return false }, Decided: func(pipeline.Reason, int) {}})
	date := regexp.MustCompile(`Date: [^\r]*\r\n`)
	rapid.Check(t, func(t *rapid.T) {
		sent := strings.Join(rapid.SliceOfN(rapid.SampledFrom(parts), 0, 9).Draw(t, "parts"), "") + rapid.SampledFrom(enders).Draw(t, "end")
		if rapid.Bool().Draw(t, "more") {
			sent += get("/i/z")
		}
		cuts := rapid.SliceOfN(rapid.IntRange(0, len(sent)), 0, 4).Draw(t, "cuts")
		exchange := func(listener net.Listener) string {
			conn, err := net.Dial("tcp", listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			read := make(chan []byte, 1)
			go func() {
				all, _ := io.ReadAll(conn) // a reset ends it too
				read <- all
			}()
			rest := sent
			for _, cut := range cuts {
				n := max(0, min(cut-(len(sent)-len(rest)), len(rest)))
				_, _ = io.WriteString(conn, rest[:n])
				rest = rest[n:]
				time.Sleep(time.Millisecond)
			}
			_, _ = io.WriteString(conn, rest)
			time.Sleep(2 * time.Millisecond)
			_ = conn.(*net.TCPConn).CloseWrite()
			responses := date.ReplaceAllString(string(<-read), "")
			mu.Lock()
			defer mu.Unlock()
			targets := handled[conn.LocalAddr().String()]
			slices.Sort(targets)
			delete(handled, conn.LocalAddr().String())
			return fmt.Sprint(targets, responses)
		}
		want, got := exchange(plain), exchange(pipelined)
		if got != want {
			t.Fatalf("sent %q\nwith pipelining %q\nwithout %q", sent, got, want)
		}
	})
}
