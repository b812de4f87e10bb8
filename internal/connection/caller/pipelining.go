package caller

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"tarragonshore.example/tarragonshore/internal/connection/pipeline"
)

const (
	// readBytes is the least room for a read of pipelined requests, firstReadBytes that for
	// the first one.
	readBytes, firstReadBytes = 1 << 10, 4 << 10
	// maxHeldBytes bounds the responses that wait for their turn beyond what their
	// connections may hold. Above it, no connection runs requests ahead. Their handlers hold
	// them, so that the bound is passed by what is already running.
	maxHeldBytes = 8 << 20
)

// Pipelining lets the requests that wait behind another one on their connection run ahead.
// The functions are called with the lock of a connection held.
type Pipelining struct {
	// Route tells of the route of a request whether it is idempotent, and the expected size
	// of its response.
	Route func(host, path string) (idempotent bool, responseBytes int)
	// Stopping reports that no further request may run ahead.
	Stopping func() bool
	// Decided is called for each request that runs ahead, and for each reason for which one
	// does not yet. depth is the number of requests that run or wait for their turn.
	Decided func(reason pipeline.Reason, depth int)
}

// EnablePipelining has to be called before Serve. http.Server goes on to read one request
// after another and to write their responses in order. A wrapper of each connection reads
// what follows the request whose handler runs, with the read by which http.Server waits for
// the end of the connection meanwhile, and starts the handlers of requests that may run
// ahead. When http.Server gets to such a request, it gets the response of that handler.
func (s *Server) EnablePipelining(p Pipelining) {
	s.pipelining = &p
	s.handler = s.http.Handler
	s.http.Handler = http.HandlerFunc(s.serveInTurn)
	s.http.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if c, ok := c.(*pipelinedConn); ok {
			ctx = context.WithValue(ctx, connectionKey{}, c)
			c.base = ctx
		}
		return ctx
	}
}

type connectionKey struct{}

func connectionOf(r *http.Request) *pipelinedConn {
	c, _ := r.Context().Value(connectionKey{}).(*pipelinedConn)
	return c
}

// RunsAhead reports whether a request is handled before its turn on its connection.
func RunsAhead(w http.ResponseWriter) bool {
	_, ok := w.(*aheadRequest)
	return ok
}

// CloseAfter ends the connection after this response, or after those to the requests that
// run ahead behind it, and lets no further ones run ahead.
func CloseAfter(w http.ResponseWriter, r *http.Request) {
	if c := connectionOf(r); c == nil || c.closeAfter() {
		w.Header().Set("Connection", "close")
	}
}

// BeginResponse has to be called before the response to a request is written. The caller
// may have all of it before the handler returns: what it sends from then on does not wait
// behind this request, and is not to run ahead.
func BeginResponse(w http.ResponseWriter, r *http.Request) {
	if c := connectionOf(r); c != nil && !RunsAhead(w) {
		c.endTurn()
	}
}

// serveInTurn is the handler of http.Server, which calls it for one request of a connection
// at a time.
func (s *Server) serveInTurn(w http.ResponseWriter, r *http.Request) {
	c := connectionOf(r)
	if c == nil {
		s.handler.ServeHTTP(w, r)
		return
	}
	defer c.endTurn() // http.Server flushes the response after the handler has returned
	if a := c.begin(r); a != nil {
		a.deliver(w)
		return
	}
	s.handler.ServeHTTP(w, r)
}

// pipeliningListener wraps the connections that it accepts.
type pipeliningListener struct {
	net.Listener
	server *Server
}

func (l pipeliningListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if tcp, ok := conn.(*net.TCPConn); ok && err == nil {
		return &pipelinedConn{TCPConn: tcp, server: l.server, answered: true}, nil
	}
	return conn, err
}

// pipelinedConn is a caller's connection. Its Read passes on one request at a time.
//
// http.Server calls Read from one goroutine at a time: from that of the connection while it
// needs bytes of a request, and from one of its own while a handler runs whose request is
// complete. The latter call gets no byte. It ends with the end of the connection, which
// cancels the handlers, or when http.Server sets a deadline, after the handler has returned.
type pipelinedConn struct {
	*net.TCPConn
	server *Server
	base   context.Context // of the connection, without its end

	// Only Read and the hook for the state of the connection use these.
	framing  pipeline.Framing
	answered bool // the request that was passed on last has its response, or there was none
	ranAhead bool // the request that was passed on last ran ahead

	mu sync.Mutex
	// behind holds the bytes that follow what was passed on: first the requests in ahead.
	// Only Read changes it.
	behind     []byte
	aheadBytes int             // of the requests in ahead
	ahead      []*aheadRequest // that have not begun their turn
	next       *candidate      // the request that follows those in ahead, nil if not known
	early      [1]byte         // of a request that arrived after the turn of the former one
	first      *http.Request   // whose turn it is, nil if there is none
	turnOver   bool            // the turn of the request that was passed on last is over
	firstForm  pipeline.Reason
	firstKnown bool // the window knows it
	window     pipeline.Window
	closing    bool // the last response ends the connection
	ended      bool
	ctx        context.Context // of the requests that run ahead, nil if there was none
	cancel     context.CancelFunc
}

// candidate is a complete request that has not started.
type candidate struct {
	request   *http.Request // nil if it is invalid
	bytes     int
	described pipeline.Request
	reason    pipeline.Reason // of the last decision
}

// Read implements net.Conn.
func (c *pipelinedConn) Read(p []byte) (int, error) {
	switch {
	case c.framing.AtBoundary() && !c.answered:
		return 0, c.readBehind(p)
	case len(c.behind) > 1 || len(c.behind) == 1 && !c.framing.AtBoundary():
		return c.passOnBehind(p), nil
	}
	// A single byte of a request is passed on with those that follow it.
	early := copy(p, c.behind)
	n, err := c.TCPConn.Read(p[early:c.framing.Limit(len(p))])
	if n += early; n == 0 {
		return 0, err
	}
	if early > 0 {
		c.mu.Lock()
		c.behind, c.next = nil, nil
		c.mu.Unlock()
	}
	if c.framing.AtBoundary() {
		c.answered, c.ranAhead, c.turnOver = false, false, false // no handler runs
	}
	own := c.framing.Next(p[:n])
	if own < n || c.framing.Lost() {
		c.mu.Lock()
		c.behind = append(c.behind, p[own:n]...)
		c.checkFraming()
		c.startAhead() // behind the end of a body
		c.mu.Unlock()
	}
	return own, nil // an error comes again with the next read
}

// checkFraming ends running ahead once the boundaries are not known. The caller holds mu.
func (c *pipelinedConn) checkFraming() {
	if c.framing.Lost() {
		c.window.Close()
	}
}

// passOnBehind passes on bytes that were read behind the former request.
func (c *pipelinedConn) passOnBehind(p []byte) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.framing.AtBoundary() {
		c.answered, c.ranAhead, c.turnOver = false, len(c.ahead) > 0, false
	}
	n := c.framing.Next(p[:copy(p, c.behind)])
	c.checkFraming()
	c.behind = c.behind[n:]
	c.aheadBytes = max(0, c.aheadBytes-n)
	if !c.ranAhead {
		c.next = nil
	}
	if len(c.behind) == 0 {
		c.behind = nil
	}
	return n
}

// readBehind reads what follows the request whose handler runs, until the connection ends
// or a deadline is set, or the next request begins after the turn of the former one is over.
// room is used for the first byte, so that a connection which does not pipeline needs no
// buffer.
func (c *pipelinedConn) readBehind(room []byte) error {
	for {
		if size := len(c.behind); size >= pipeline.MaxHeadBytes {
			err := awaitEnd(c.TCPConn)
			c.endUnlessDeadline(err)
			return err
		} else if size > 0 {
			room = c.room()
		}
		n, err := c.TCPConn.Read(room)
		if n > 0 && c.receive(room[:n]) {
			return nil
		}
		if err != nil {
			c.endUnlessDeadline(err)
			return err
		}
	}
}

// receive adds bytes to behind, and starts the requests that may run ahead. It returns true
// if the bytes are the beginning of the next request of a caller that does not pipeline.
func (c *pipelinedConn) receive(bytes []byte) (sequential bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.behind) == 0 && c.turnOver {
		c.behind = append(c.early[:0], bytes...)
		return true
	}
	c.behind = append(c.behind, bytes...)
	c.startAhead()
	return false
}

// room returns the free room of behind, at least readBytes of it up to MaxHeadBytes.
func (c *pipelinedConn) room() []byte {
	size := len(c.behind)
	if free := cap(c.behind) - size; free < min(readBytes, pipeline.MaxHeadBytes-size) {
		c.mu.Lock()
		c.behind = slices.Grow(c.behind, min(max(firstReadBytes, size), pipeline.MaxHeadBytes-size))
		c.mu.Unlock()
	}
	return c.behind[size:min(cap(c.behind), pipeline.MaxHeadBytes)]
}

// endUnlessDeadline cancels the requests that run ahead, unless a deadline ended the read.
func (c *pipelinedConn) endUnlessDeadline(err error) {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		c.end()
	}
}

func (c *pipelinedConn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	if c.cancel != nil {
		c.cancel()
	}
}

// Close implements net.Conn.
func (c *pipelinedConn) Close() error {
	c.end()
	return c.TCPConn.Close()
}

// endTurn records that the response to the request whose turn it is gets written.
func (c *pipelinedConn) endTurn() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.first, c.turnOver = nil, true
}

// begin records that the turn of a request has come. It returns the request that ran ahead.
func (c *pipelinedConn) begin(r *http.Request) *aheadRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	var a *aheadRequest
	if c.ranAhead {
		a, c.ahead = c.ahead[0], c.ahead[1:]
		if a.request.Method != r.Method || a.request.RequestURI != r.RequestURI || a.request.Host != r.Host {
			panic(http.ErrAbortHandler) // a fault of the framing; ends the connection
		}
		c.window.Begin(a.described, true)
	}
	c.first, c.firstForm, c.firstKnown = r, pipeline.FirstForm(r), a != nil
	c.startAhead()
	return a
}

// startAhead starts the requests in behind that may run ahead. The caller holds mu.
func (c *pipelinedConn) startAhead() {
	if c.first == nil || c.ended || len(c.behind) == c.aheadBytes {
		return
	}
	p := c.server.pipelining
	if !c.firstKnown {
		idempotent, _ := p.Route(c.first.Host, c.first.URL.Path)
		c.window.Begin(pipeline.Request{Form: c.firstForm, Idempotent: idempotent}, false)
		c.firstKnown = true
	}
	for c.findNext() {
		reason := c.window.Decide(c.next.described, pipeline.Conditions{
			Stopping: c.server.stopping.Load() || p.Stopping(), ResponsesFull: c.server.heldBytes.Load() > maxHeldBytes})
		if reason == pipeline.RunAhead {
			c.window.Start(c.next.described)
		}
		if reason != c.next.reason {
			c.next.reason = reason
			p.Decided(reason, c.window.Depth())
		}
		if reason != pipeline.RunAhead {
			return
		}
		c.start(c.next)
		c.aheadBytes, c.next = c.aheadBytes+c.next.bytes, nil
	}
}

// findNext sets next to the request that follows those in ahead, and reports whether it is
// complete. The caller holds mu.
func (c *pipelinedConn) findNext() bool {
	if c.next != nil {
		return true
	}
	rest := c.behind[c.aheadBytes:]
	end := pipeline.HeadEnd(rest)
	if end == 0 {
		return false
	}
	c.next = &candidate{bytes: end, described: pipeline.Request{Form: pipeline.ReasonInvalid}}
	r, err := pipeline.ParseHead(rest[:end])
	if err != nil {
		return true
	}
	idempotent, bytes := c.server.pipelining.Route(r.Host, r.URL.Path)
	c.next.request = r
	c.next.described = pipeline.Request{Form: pipeline.FormOf(r), Idempotent: idempotent, ResponseBytes: bytes}
	return true
}

// start calls the handler for a request that runs ahead. The caller holds mu.
func (c *pipelinedConn) start(next *candidate) {
	if c.ctx == nil {
		c.ctx, c.cancel = context.WithCancel(context.WithValue(c.base, http.LocalAddrContextKey, c.LocalAddr()))
	}
	ctx, cancel := context.WithCancel(c.ctx)
	next.request.RemoteAddr = c.RemoteAddr().String()
	a := &aheadRequest{conn: c, request: next.request.WithContext(ctx), described: next.described, header: make(http.Header),
		reserved: next.described.ResponseBytes, turn: make(chan struct{}), done: make(chan struct{})}
	c.ahead = append(c.ahead, a)
	go func() {
		defer cancel()
		a.run(c.server.handler)
	}()
}

// closeAfter is CloseAfter; it returns true if nothing runs ahead.
func (c *pipelinedConn) closeAfter() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	return c.window.Close()
}

// hasAhead reports whether requests run ahead or have responses that wait.
func (c *pipelinedConn) hasAhead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.ahead) > 0 && !c.ended
}

// aheadRequest is a request that runs ahead, and the http.ResponseWriter of its handler. It
// holds the response until the turn of the request comes. A response that does not fit into
// what the connection may hold makes the handler wait in Write.
type aheadRequest struct {
	conn      *pipelinedConn
	request   *http.Request
	described pipeline.Request
	turn      chan struct{}       // closed when the turn has come
	w         http.ResponseWriter // of the server, set before turn is closed
	done      chan struct{}       // closed when the handler has returned
	panicked  any                 // the value with which it ended, set before done is closed

	// Used by the handler, and by deliver when the handler has returned.
	header    http.Header
	status    int
	sent      http.Header // as it was at WriteHeader, nil before
	headBytes int         // of sent
	body      []byte
	passedOn  bool // to w
	// reserved, of the window's bytes, is guarded by the connection's lock.
	reserved int
}

func (a *aheadRequest) run(handler http.Handler) {
	defer close(a.done)
	defer func() { a.panicked = recover() }() // the connection's goroutine goes on with it
	handler.ServeHTTP(a, a.request)
	a.settle(a.headBytes + len(a.body))
}

// settle changes what is reserved for the response.
func (a *aheadRequest) settle(bytes int) {
	a.conn.mu.Lock()
	defer a.conn.mu.Unlock()
	a.conn.window.Reserve(bytes - a.reserved)
	a.reserved = bytes
}

// Header implements http.ResponseWriter.
func (a *aheadRequest) Header() http.Header { return a.header }

// WriteHeader implements http.ResponseWriter. Informational responses are left out.
func (a *aheadRequest) WriteHeader(status int) {
	if informational := status > http.StatusSwitchingProtocols && status < http.StatusOK || status == http.StatusContinue; informational {
		return
	}
	if a.sent == nil {
		a.status, a.sent = status, a.header.Clone()
		for name, values := range a.sent {
			a.headBytes += len(name) + len(strings.Join(values, ""))
		}
	}
}

// Write implements http.ResponseWriter.
func (a *aheadRequest) Write(p []byte) (int, error) {
	a.WriteHeader(http.StatusOK)
	if !a.passedOn && a.fits(a.headBytes+len(a.body)+len(p)) {
		a.body = append(a.body, p...)
		return len(p), nil
	}
	a.hold(len(p))
	defer a.hold(-len(p))
	select {
	case <-a.turn:
	case <-a.request.Context().Done():
		return 0, a.request.Context().Err()
	}
	a.passOn()
	return a.w.Write(p)
}

// fits reserves so many bytes for the response, and reports whether there is room for them.
func (a *aheadRequest) fits(bytes int) bool {
	a.conn.mu.Lock()
	defer a.conn.mu.Unlock()
	more := max(0, bytes-a.reserved)
	if !a.conn.window.Fits(more) {
		return false
	}
	a.conn.window.Reserve(more)
	a.reserved += more
	return true
}

// hold counts bytes of the response that the handler holds until the turn.
func (a *aheadRequest) hold(bytes int) {
	a.conn.server.heldBytes.Add(int64(bytes))
	a.conn.mu.Lock()
	defer a.conn.mu.Unlock()
	a.conn.window.Reserve(bytes)
}

// passOn writes what is held of the response to the server.
func (a *aheadRequest) passOn() {
	if a.passedOn {
		return
	}
	a.passedOn = true
	header := a.w.Header()
	for name, values := range a.sent {
		header[name] = values
	}
	// Whether this response ends the connection depends on those behind it.
	if slices.ContainsFunc(header["Connection"], func(v string) bool { return strings.EqualFold(v, "close") }) {
		a.conn.closeAfter()
		delete(header, "Connection")
	}
	if a.conn.isLast() {
		header.Set("Connection", "close")
	}
	a.w.WriteHeader(a.status)
	_, _ = a.w.Write(a.body) // fails if the caller has disconnected
	a.body = nil
}

// isLast reports whether the response that is written now ends the connection.
func (c *pipelinedConn) isLast() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing && c.window.Last()
}

// deliver writes the response, in the turn of the request.
func (a *aheadRequest) deliver(w http.ResponseWriter) {
	a.w = w
	close(a.turn)
	<-a.done
	if a.panicked != nil {
		panic(a.panicked)
	}
	a.WriteHeader(http.StatusOK) // as net/http does
	a.passOn()
	a.settle(0)
}

// awaitEnd waits until the other side has closed or reset a connection whose bytes are not
// read, or a deadline is set. The error is never nil.
func awaitEnd(conn syscall.Conn) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	if err := raw.Read(ended); err != nil {
		return err
	}
	return net.ErrClosed
}

// stopAhead ends running ahead and waits until the responses of what runs ahead are written.
// Each goes out before the server stops to keep connections open, which would end a
// connection between two of them.
func (s *Server) stopAhead(ctx context.Context) {
	s.stopping.Store(true)
	for s.hasAhead() && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-time.After(stopPoll):
		}
	}
}

func (s *Server) hasAhead() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.connections {
		if c, ok := conn.(*pipelinedConn); ok && c.hasAhead() {
			return true
		}
	}
	return false
}

// pipeliningState is the part of a Server for pipelining.
type pipeliningState struct {
	pipelining *Pipelining // nil if it is not enabled
	handler    http.Handler
	stopping   atomic.Bool
	heldBytes  atomic.Int64 // of responses that wait beyond what their connections may hold
}
