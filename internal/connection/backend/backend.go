// Package backend sends requests to the backend server on the daemon's host, and
// decodes the server's announcements. tarragond uses Client. tarragon-agent uses
// Exchanger, since its backend servers may send responses late, twice or corrupted.
package backend

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"tarragonshore.example/tarragonshore/internal/connection/wire"
)

// Header names in requests from the daemon to the backend server.
const (
	HeaderRequestToken   = "Tarragon-Request-Token"
	HeaderWorkspace      = "Tarragon-Workspace"
	HeaderRequestTimeout = "Request-Timeout"
)

// Call is one request for the backend server.
type Call struct {
	Request   wire.Request
	Token     string        // sent as HeaderRequestToken
	Workspace string        // sent as HeaderWorkspace
	Remaining time.Duration // until the deadline; sent as HeaderRequestTimeout
}

// Server runs calls on a backend server. Client implements it over HTTP.
type Server interface {
	// Do runs a call at the address and returns the complete response. The error
	// is an *Error.
	Do(ctx context.Context, address string, call Call) (*wire.Response, error)
}

// Error means that a call failed, and tells whether it may have been executed.
type Error struct {
	// NotExecuted is true only if no byte of the request can have reached the
	// server, so that it is safe to send the request again.
	NotExecuted bool
	Err         error
	// Use tells about the connection. Only Exchanger sets it.
	Use ConnectionUse
}

// Error implements error.
func (e *Error) Error() string {
	if e.NotExecuted {
		return fmt.Sprintf("backend server not reached: %v; remedy: check that it listens at its announced address", e.Err)
	}
	return fmt.Sprintf("backend server failed: %v; remedy: check the backend server's log", e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// ErrIncomplete means that the response is truncated, or that its framing cannot
// show whether it is.
var ErrIncomplete = errors.New("response is truncated, or has neither a length nor chunked encoding")

// ErrTooLarge means that the response exceeds the limit.
var ErrTooLarge = errors.New("response is larger than max_body")

// idleTimeout closes idle connections before common servers do (after 5 s or more),
// so that a request is rarely sent on a connection that the server is closing.
const idleTimeout = 4 * time.Second

// connectTimeout is far above the time that a connection within a host takes.
const connectTimeout = 500 * time.Millisecond

// Client implements Server over HTTP. It is safe for concurrent use.
type Client struct {
	transport *http.Transport
	maxBody   int64
}

// NewClient returns a client that keeps at most the given number of idle connections
// and accepts response bodies of up to maxBody bytes.
func NewClient(connections int, maxBody int64) *Client {
	dialer := &net.Dialer{Timeout: connectTimeout}
	return NewClientWithDial(connections, maxBody, dialer.DialContext)
}

// NewClientWithDial is NewClient with a custom dial function.
func NewClientWithDial(connections int, maxBody int64, dial func(ctx context.Context, network, address string) (net.Conn, error)) *Client {
	return &Client{
		maxBody: maxBody,
		transport: &http.Transport{
			DialContext:            dial,
			MaxIdleConns:           connections,
			MaxIdleConnsPerHost:    connections,
			IdleConnTimeout:        idleTimeout,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxHeadBytes,
		},
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// opaqueReader hides the type of the body from net/http. If net/http can rewind the
// body, it retries a GET, or any request with an Idempotency-Key, by itself on a
// broken connection, and so may run the request twice.
type opaqueReader struct{ io.Reader }

// Do implements Server.
func (c *Client) Do(ctx context.Context, address string, call Call) (*wire.Response, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := newRequest(ctx, address, call)
	if err != nil {
		return nil, &Error{NotExecuted: true, Err: err}
	}
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		return nil, &Error{NotExecuted: !connected.Load(), Err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := c.readBody(response)
	if err != nil {
		return nil, &Error{Err: err}
	}
	return &wire.Response{
		Status: response.StatusCode,
		Header: HeaderFields(response.Header),
		Body:   body,
	}, nil
}

// newRequest builds the HTTP request for a call.
func newRequest(ctx context.Context, address string, call Call) (*http.Request, error) {
	body := opaqueReader{bytes.NewReader(call.Request.Body)}
	request, err := http.NewRequestWithContext(ctx, call.Request.Method, "http://"+address+call.Request.Target, body)
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(call.Request.Body))
	request.Host = call.Request.Host
	for _, field := range call.Request.Header {
		request.Header.Add(field.Name, field.Value)
	}
	request.Header.Set(HeaderRequestToken, call.Token)
	request.Header.Set(HeaderWorkspace, call.Workspace)
	request.Header.Set(HeaderRequestTimeout, strconv.FormatInt(call.Remaining.Milliseconds(), 10))
	return request, nil
}

// readBody reads the response body and checks that it is complete.
func (c *Client) readBody(response *http.Response) ([]byte, error) {
	noBody := response.Request.Method == http.MethodHead ||
		response.StatusCode == http.StatusNoContent || response.StatusCode == http.StatusNotModified
	chunked := len(response.TransferEncoding) > 0
	if response.ContentLength < 0 && !chunked && !noBody {
		return nil, ErrIncomplete
	}
	if response.ContentLength > c.maxBody && !noBody {
		return nil, ErrTooLarge
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, c.maxBody+1))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrIncomplete, err)
	}
	if int64(len(body)) > c.maxBody {
		return nil, ErrTooLarge
	}
	return body, nil
}
