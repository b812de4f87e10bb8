package backend

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/net/http/httpguts"
	"golang.org/x/sys/unix"

	"tarragonshore.example/tarragonshore/internal/connection/wire"
)

const (
	// defaultKeepAlive is how long an idle connection is kept if the server sent no
	// Keep-Alive field.
	defaultKeepAlive = 4 * time.Second
	// keepAliveFraction is the fraction of the server's idle timeout, as stated in
	// the Keep-Alive field, for which an idle connection is kept.
	keepAliveFraction = 0.8
	// maxNonIdempotentIdle is the idle time up to which a connection is used for a
	// request that must not run twice. The longer a connection is idle, the more
	// likely the server closes it, which leaves unknown whether the request ran.
	maxNonIdempotentIdle = 300 * time.Millisecond
	// maxUnprobedIdle is the idle time up to which a connection is used for an
	// idempotent request without probing whether it is still open, which costs a
	// system call.
	maxUnprobedIdle = 100 * time.Millisecond
	// maxResponseReads is the maximum number of responses read for one request,
	// including skipped ones: informational responses and those to other requests.
	maxResponseReads = 4
	// skipTimeout bounds the time for the body of a skipped response to arrive, which the
	// server has complete. A body that broke off would take the place of the response to the
	// request.
	skipTimeout = 100 * time.Millisecond
	// maxIdleConns is the maximum number of idle connections.
	maxIdleConns = 512
	// maxRequestsPerConn is the number of requests after which a connection is closed,
	// which bounds the ids that are remembered of it: to about 35 KB, 18 MB for
	// maxIdleConns. Opening a connection within the host is cheap compared with so many
	// requests.
	maxRequestsPerConn = 1000
	// minConcurrentWriteBytes is the size of a body from which the request is written
	// while the response is read, so that the response of a server that does not read
	// the whole body is received.
	minConcurrentWriteBytes = 16 << 10
	// writeGrace is the time for the rest of a body to be written after the response
	// was read. Then the connection is closed.
	writeGrace      = 50 * time.Millisecond
	readBufferBytes = 2 << 10
	// typicalHeadBytes is the initial size of the buffer for the head of a request.
	typicalHeadBytes = 512
	// maxHeadBytes bounds the status line and the header section of one response.
	maxHeadBytes = 64 << 10
	// maxBufferedBytes bounds the bodies that the exchanges in progress have read,
	// together: each may be within the limit for one body, and all of them too much for
	// the memory of the host.
	maxBufferedBytes = 32 << 20
	// MaxStatus is the greatest status of HTTP (RFC 9110, section 15).
	MaxStatus = 599
	// bodyReadBytes is the most that an exchange reads of a body at a time.
	bodyReadBytes = 64 << 10
)

// Errors of an exchange, wrapped in *Error.
var (
	// ErrUnrelatedResponse means that no response arrived that is known to be to the request.
	ErrUnrelatedResponse = errors.New("a response cannot be told from one to another request")
	// ErrJoined means that a response broke off and the next one on the connection went on
	// in its place, so that status, fields or body may belong to different responses.
	ErrJoined = errors.New("a response broke off and another one follows in its place")
	// ErrContentEncoded means that the response has a Content-Encoding. Since the
	// request asked for none, the response counts as corrupted in transit.
	ErrContentEncoded = errors.New("the response has a Content-Encoding that was not asked for")
	// ErrStatus means that the status of the response is outside 100 to 599.
	ErrStatus = errors.New("the status of the response is outside 100 to 599")
	// ErrCutOff means that the connection ended while the request was written, so that a
	// response without a length cannot be known to be complete.
	ErrCutOff = errors.New("the connection ended before the whole request was written, and the response has no length")
	// ErrHeadTooLarge means that the server sent maxHeadBytes without a complete head.
	ErrHeadTooLarge = errors.New("the head of the response is larger than 64 KiB")
	// ErrBuffersFull means that the responses in progress hold maxBufferedBytes.
	ErrBuffersFull = errors.New("the responses in progress hold 32 MiB; lower the number of slots or the size of responses")
)

// Exchange is one request to a backend server.
type Exchange struct {
	// ID is the id of the request. A connection carries an id once. May be empty.
	ID     string
	Method string
	Target string // path and query
	Host   string
	Header []wire.HeaderField
	Body   []byte
	// Idempotent means that the request may run twice, so that it may use a
	// connection that has been idle for longer than maxNonIdempotentIdle.
	Idempotent bool
	// Matches reports whether a response is the one to this request. nil accepts any.
	Matches func(status int, header http.Header) bool
	// ResponseID returns the id of the request that a response states, or "". A response that
	// Matches rejects is skipped only if it states the id of an earlier request; without
	// ResponseID, it is an error.
	ResponseID func(header http.Header) string
}

// Response is a complete response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	Use    ConnectionUse
	// endsWithConnection means that nothing but the end of the connection ended the body.
	endsWithConnection bool
}

// Exchanger is an HTTP/1.1 client with a connection pool for one backend server that
// may send responses late, twice or corrupted. net/http's client takes the next
// response on a connection as the one to the current request. An Exchanger takes a
// response only if it can be to no other request that the connection has carried:
//
//   - Exchange.Matches accepts it, by the id that it states. One with the id of an earlier
//     request on the connection is skipped. Any other is an error: it may be the response to
//     this request, corrupted, and a second one may follow it.
//   - The connection has not carried the id before: a request that is sent again under its
//     id gets another connection, since a second response to the first run has the same id.
//   - No response has joined it (see joinedHead and joinedBody).
//
// An Exchanger is safe for concurrent use.
type Exchanger struct {
	// ClosedWhileIdle, if set, is called when an idle connection that should still be open
	// turns out to have been closed or reset by the server, as after a restart.
	ClosedWhileIdle func()

	dial    func(ctx context.Context, network, address string) (net.Conn, error)
	maxBody int64
	// buffered is the size of the bodies that the exchanges in progress have read.
	buffered atomic.Int64
	recent   recentIDs

	mu      sync.Mutex
	address string  // of the server that the idle connections lead to
	idle    []*conn // by time of last use, the most recent one last
}

// conn is a connection with its read buffer.
type conn struct {
	net.Conn
	reader     *bufio.Reader // reads from limited
	limited    *headLimiter
	lastUsed   time.Time
	reuseUntil time.Time           // from the Keep-Alive field of the last response
	number     uint64              // unique in the process
	carried    int                 // number of requests
	ids        map[uint64]struct{} // hashes of their ids
}

// NewExchanger returns an exchanger that accepts response bodies of up to maxBody
// bytes.
func NewExchanger(maxBody int64) *Exchanger {
	dialer := &net.Dialer{Timeout: connectTimeout, KeepAlive: -1} // each exchange has a time limit
	return &Exchanger{dial: dialer.DialContext, maxBody: maxBody}
}

// Close closes the idle connections.
func (x *Exchanger) Close() { x.reset("") }

// reset closes the idle connections and sets the address for new ones.
func (x *Exchanger) reset(address string) {
	x.mu.Lock()
	idle := x.idle
	x.idle, x.address = nil, address
	x.mu.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
}

// Do sends a request and returns the complete response to it. The error is an
// *Error. The end of ctx closes the connection, which cancels the request at the
// server.
func (x *Exchanger) Do(ctx context.Context, address string, e Exchange) (*Response, error) {
	c, err := x.acquire(ctx, address, &e)
	if err != nil {
		return nil, &Error{NotExecuted: true, Err: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	use := x.begin(c, e.ID)
	response, reusable, err := x.exchange(c, e, &use)
	if !stop() || err != nil || !reusable || c.carried >= maxRequestsPerConn {
		_ = c.Close()
	} else {
		x.release(c, address)
	}
	if err != nil {
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, &Error{Err: err, Use: use}
	}
	response.Use = use
	return response, nil
}

// acquire returns an idle connection that the request may use, or a new one.
func (x *Exchanger) acquire(ctx context.Context, address string, e *Exchange) (*conn, error) {
	x.mu.Lock()
	changed := x.address != address
	x.mu.Unlock()
	if changed {
		x.reset(address)
	}
	for {
		c := x.takeIdle(e.ID)
		if c == nil {
			break
		}
		now := time.Now()
		idle := now.Sub(c.lastUsed)
		unprobed := e.Idempotent && idle < maxUnprobedIdle
		usable := !now.After(c.reuseUntil)
		if usable && !unprobed {
			var closed bool
			usable, closed = c.probe()
			usable = usable && (e.Idempotent || idle <= maxNonIdempotentIdle)
			if closed && x.ClosedWhileIdle != nil {
				x.ClosedWhileIdle()
			}
		}
		if usable {
			return c, nil
		}
		_ = c.Close()
	}
	raw, err := x.dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	limited := &headLimiter{source: raw}
	return &conn{
		Conn: raw, reader: bufio.NewReaderSize(limited, readBufferBytes), limited: limited,
		number: lastConnection.Add(1), ids: make(map[uint64]struct{}),
	}, nil
}

// headLimiter bounds the bytes that are read from a connection while the head of a
// response is parsed, since net/http's ReadResponse accepts a head of any size.
type headLimiter struct {
	source io.Reader
	active bool
	left   int // bytes that may still be read while active
}

func (l *headLimiter) start() { l.active, l.left = true, maxHeadBytes }
func (l *headLimiter) stop()  { l.active = false }

// Read implements io.Reader.
func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.active {
		return l.source.Read(p)
	}
	if l.left <= 0 {
		return 0, ErrHeadTooLarge
	}
	n, err := l.source.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}

// takeIdle removes and returns the most recently used of the idle connections that have not
// carried the id, or nil.
func (x *Exchanger) takeIdle(id string) *conn {
	x.mu.Lock()
	defer x.mu.Unlock()
	for n := len(x.idle) - 1; n >= 0; n-- {
		if c := x.idle[n]; !c.hasCarried(id) {
			x.idle = slices.Delete(x.idle, n, n+1)
			return c
		}
	}
	return nil
}

// release makes a connection available to later requests, or closes it if the address
// has changed or there are enough idle connections.
func (x *Exchanger) release(c *conn, address string) {
	c.lastUsed = time.Now()
	x.mu.Lock()
	keep := x.address == address && len(x.idle) < maxIdleConns
	if keep {
		x.idle = append(x.idle, c)
	}
	x.mu.Unlock()
	if !keep {
		_ = c.Close()
	}
	x.dropExpired()
}

// dropExpired closes the least recently used idle connections as far as they have
// passed reuseUntil.
func (x *Exchanger) dropExpired() {
	now := time.Now()
	x.mu.Lock()
	n := 0
	for n < len(x.idle) && now.After(x.idle[n].reuseUntil) {
		n++
	}
	expired := append([]*conn(nil), x.idle[:n]...)
	x.idle = append(x.idle[:0], x.idle[n:]...)
	x.mu.Unlock()
	for _, c := range expired {
		_ = c.Close()
	}
}

// probe reports whether an idle connection is healthy: open and without data to read, and
// whether the server has closed or reset it. Data that arrive while no request is in
// progress are a response to an earlier request.
func (c *conn) probe() (healthy, closed bool) {
	if c.reader.Buffered() > 0 {
		return false, false
	}
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return true, false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false, false
	}
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		n, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		healthy = errors.Is(err, unix.EAGAIN)
		closed = !healthy && (err != nil || n == 0)
		return true
	})
	return err == nil && healthy, closed
}

// exchange writes the request and reads the response. reusable is true if another
// request can use the connection. Skipped responses are recorded in use.
func (x *Exchanger) exchange(c *conn, e Exchange, use *ConnectionUse) (response *Response, reusable bool, err error) {
	head, err := e.head()
	if err != nil {
		return nil, false, err
	}
	written := make(chan error, 1)
	write := func() { written <- e.write(c, head) }
	if len(e.Body) >= minConcurrentWriteBytes {
		go write()
	} else {
		write()
	}
	for range maxResponseReads {
		var skipped bool
		response, reusable, skipped, err = x.read(c, &e, use)
		if err != nil {
			return nil, false, err
		}
		if skipped {
			continue
		}
		whole := (reusable || response.endsWithConnection) && requestWritten(written)
		// The system reports a reset to one call only. If that is the write, the read gets
		// an end without error.
		if response.endsWithConnection && !whole {
			return nil, false, ErrCutOff
		}
		return response, reusable && whole, nil
	}
	return nil, false, ErrUnrelatedResponse
}

// requestWritten waits up to writeGrace and reports whether the whole request was
// written.
func requestWritten(written <-chan error) bool {
	select {
	case err := <-written:
		return err == nil
	default:
	}
	select {
	case err := <-written:
		return err == nil
	case <-time.After(writeGrace):
		return false
	}
}

// head returns the request line and the header section. net/http's Request.Write would
// need the fields as a map and sort them, for each request.
func (e *Exchange) head() ([]byte, error) {
	head := make([]byte, 0, typicalHeadBytes)
	line := func(parts ...string) {
		for _, part := range parts {
			head = append(head, part...)
		}
		head = append(head, "\r\n"...)
	}
	if strings.ContainsFunc(e.Method+e.Target, isSpaceOrControl) || !httpguts.ValidHostHeader(e.Host) {
		return nil, errInvalidRequest
	}
	line(e.Method, " ", e.Target, " HTTP/1.1")
	line("Host: ", e.Host)
	for _, field := range e.Header {
		switch {
		case !httpguts.ValidHeaderFieldName(field.Name) || !httpguts.ValidHeaderFieldValue(field.Value):
			return nil, errInvalidRequest
		case !framingField(field.Name):
			line(field.Name, ": ", field.Value)
		}
	}
	if len(e.Body) > 0 || e.Method == http.MethodPost || e.Method == http.MethodPut || e.Method == http.MethodPatch {
		line("Content-Length: ", strconv.Itoa(len(e.Body)))
	}
	line()
	return head, nil
}

// errInvalidRequest means that the request cannot be sent without changing its meaning.
var errInvalidRequest = errors.New("the request has invalid characters in its method, target or header; send valid ones")

func isSpaceOrControl(r rune) bool { return r <= ' ' || r == 0x7f }

// write sends the head and the body.
func (e *Exchange) write(c *conn, head []byte) error {
	if len(e.Body) < minConcurrentWriteBytes {
		_, err := c.Write(append(head, e.Body...))
		return err
	}
	buffers := net.Buffers{head, e.Body}
	_, err := buffers.WriteTo(c.Conn)
	return err
}

// framingField reports whether a field concerns the message's framing or the connection,
// which the exchange determines itself.
func framingField(name string) bool {
	switch http.CanonicalHeaderKey(name) {
	case "Host", "Content-Length", "Transfer-Encoding", "Trailer", "Connection":
		return true
	}
	return false
}

// read reads one response. skipped is true if it is informational, or to another
// request, so that the caller has to read the next one.
func (x *Exchanger) read(c *conn, e *Exchange, use *ConnectionUse) (result *Response, reusable, skipped bool, err error) {
	c.limited.start()
	response, err := http.ReadResponse(c.reader, &http.Request{Method: e.Method})
	c.limited.stop()
	if err != nil {
		return nil, false, false, err
	}
	if joinedHead(response) {
		return nil, false, false, ErrJoined
	}
	if response.StatusCode < 100 || response.StatusCode > MaxStatus {
		return nil, false, false, ErrStatus
	}
	// response.Body is not closed: Close would read a body without end. The connection is
	// closed instead if the body was not read to its end.
	if response.StatusCode < http.StatusOK {
		return nil, false, true, nil // informational
	}
	if e.Matches != nil && !e.Matches(response.StatusCode, response.Header) {
		cause := use.skip(c, e, response)
		return nil, false, true, x.skipBody(c, response, cause)
	}
	body, err := x.readBody(response.Body)
	switch {
	case err != nil:
		return nil, false, false, err
	case c.joinedBody(response, body):
		return nil, false, false, ErrJoined
	case response.Header.Get("Content-Encoding") != "":
		return nil, false, false, ErrContentEncoded
	}
	c.reuseUntil = time.Now().Add(keepAliveTime(response.Header))
	reusable = !response.Close && c.reader.Buffered() == 0
	return &Response{Status: response.StatusCode, Header: response.Header, Body: body, endsWithConnection: endsWithConnection(response)}, reusable, false, nil
}

// skipBody reads the body of a response to another request. The error wraps
// ErrUnrelatedResponse or ErrJoined if the response to this request cannot follow it.
func (x *Exchanger) skipBody(c *conn, response *http.Response, cause SkipCause) error {
	if cause != SkippedEarlierRequest || response.Close || endsWithConnection(response) {
		return ErrUnrelatedResponse
	}
	// This deadline ends only reads: ctx ends the exchange by closing the connection.
	_ = c.SetReadDeadline(time.Now().Add(skipTimeout)) // fails if the connection is closed, and so does the read
	body, err := x.readBody(response.Body)
	_ = c.SetReadDeadline(time.Time{})
	switch {
	case err != nil:
		return errors.Join(ErrUnrelatedResponse, err)
	case joinedTrailer(response) || statusLine.Match(body):
		return ErrJoined
	}
	return nil
}

// endsWithConnection reports whether the body has no length and is not chunked.
func endsWithConnection(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

// readBody reads a body to its end. Its bytes count as buffered while it is read.
func (x *Exchanger) readBody(source io.Reader) (body []byte, err error) {
	defer func() { x.buffered.Add(-int64(len(body))) }()
	for size := 512; ; size = min(max(size, len(body)), bodyReadBytes) {
		body = slices.Grow(body, size)
		n, err := source.Read(body[len(body):min(cap(body), len(body)+bodyReadBytes)])
		body = body[:len(body)+n]
		total := x.buffered.Add(int64(n))
		switch {
		case err == io.EOF:
			return body, nil
		case err != nil:
			return body, err
		case int64(len(body)) > x.maxBody:
			return body, ErrTooLarge
		case total > maxBufferedBytes:
			return body, ErrBuffersFull
		}
	}
}

// keepAliveTime returns how long a connection may stay idle according to the
// Keep-Alive field of a response.
func keepAliveTime(header http.Header) time.Duration {
	for _, parameter := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.ParseUint(value, 10, 16); err == nil {
			return time.Duration(keepAliveFraction * float64(seconds) * float64(time.Second))
		}
	}
	return defaultKeepAlive
}
