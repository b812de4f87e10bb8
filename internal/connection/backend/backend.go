// Package backend sends requests to the backend server of the daemon's host.
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

// Header names that daemon and backend server exchange.
const (
	HeaderRequestToken   = "Tarragon-Request-Token"
	HeaderWorkspace      = "Tarragon-Workspace"
	HeaderRequestTimeout = "Request-Timeout"
)

// Call is one request for the backend server.
type Call struct {
	Request   wire.Request
	Token     string
	Workspace string
	Remaining time.Duration
}

// Server runs calls. The implementation of this package is an HTTP client.
type Server interface {
	// Do returns the whole response. Its error is an *Error.
	Do(ctx context.Context, address string, call Call) (*wire.Response, error)
}

// Error tells how a call failed.
type Error struct {
	// NotExecuted is true only if no byte of the request can have reached the server.
	NotExecuted bool
	Err         error
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

// ErrIncomplete means that the response cannot be shown to be whole.
var ErrIncomplete = errors.New("response is cut short or has neither length nor chunks")

// ErrTooLarge means that the response exceeds the limit.
var ErrTooLarge = errors.New("response is larger than max_body")

// idleTimeout closes unused connections before usual servers do (5 s and
// more), so that a request is seldom sent on one that the server is closing.
const idleTimeout = 4 * time.Second

// connectTimeout is ample for an address on the same host.
const connectTimeout = 500 * time.Millisecond

// Client is the HTTP client. It is safe for concurrent use.
type Client struct {
	transport *http.Transport
	maxBody   int64
}

// NewClient returns a client that keeps up to connections idle connections and
// takes response bodies of up to maxBody bytes.
func NewClient(connections int, maxBody int64) *Client {
	dialer := &net.Dialer{Timeout: connectTimeout}
	return NewClientWithDial(connections, maxBody, dialer.DialContext)
}

// NewClientWithDial is NewClient with another way to open connections.
func NewClientWithDial(connections int, maxBody int64, dial func(ctx context.Context, network, address string) (net.Conn, error)) *Client {
	return &Client{
		maxBody: maxBody,
		transport: &http.Transport{
			DialContext:         dial,
			MaxIdleConns:        connections,
			MaxIdleConnsPerHost: connections,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		},
	}
}

// Close drops idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// opaqueReader hides the body's type from net/http, which would otherwise
// replay the request by itself on a broken connection (GET, or any method with
// an Idempotency-Key) and so run it twice.
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
	body, err := c.readWhole(response)
	if err != nil {
		return nil, &Error{Err: err}
	}
	return &wire.Response{
		Status: response.StatusCode,
		Header: HeaderFields(response.Header),
		Body:   body,
	}, nil
}

// newRequest builds the HTTP request for the server.
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

// readWhole reads the body and checks that it is complete.
func (c *Client) readWhole(response *http.Response) ([]byte, error) {
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
