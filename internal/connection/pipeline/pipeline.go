// Package pipeline decides which requests of a caller's connection run before the response
// to the first one is complete (HTTP/1.1 pipelining), and finds where requests end. It is
// made for thousands of connections of which few pipeline: those send up to some tens of
// short idempotent requests at once, each of which takes some 36 ms. Nothing here does I/O.
package pipeline

import (
	"net/http"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// Limits of one connection.
const (
	// MaxRequests is the number of requests that run or wait for their turn to be
	// answered, the one that is being answered included.
	MaxRequests = 8
	// MaxHeadBytes bounds the bytes that are read behind the request that is being answered.
	MaxHeadBytes = 64 << 10
	// MaxResponseBytes bounds the responses that wait for their turn.
	MaxResponseBytes = 256 << 10
	// UnknownResponseBytes is expected of a response if nothing is known of its size. It
	// lets MaxRequests run.
	UnknownResponseBytes = MaxResponseBytes / MaxRequests
	// sizeDecay makes an expected size shrink by a 64th with each smaller response.
	sizeDecay = 64
)

// Reason is the reason of a decision.
type Reason string

// RunAhead is the decision that a request may start. All others keep it, and everything
// behind it, waiting: until a limit permits it, or until it is first.
const (
	RunAhead              Reason = "run-ahead"
	ReasonStopping        Reason = "stopping"              // the daemon is stopping
	ReasonClosing         Reason = "closing"               // a response before it ends the connection, or may
	ReasonAfterOther      Reason = "behind-non-idempotent" // the one being answered must be complete first
	ReasonNotIdempotent   Reason = "not-idempotent"
	ReasonBody            Reason = "body"
	ReasonProtocol        Reason = "protocol" // another version, or a field that concerns the connection
	ReasonInvalid         Reason = "invalid"  // the server answers it with 4xx, or might
	ReasonTooMany         Reason = "too-many"
	ReasonLargeResponses  Reason = "large-responses"
	ReasonProcessResponse Reason = "process-responses" // held responses of all connections are too large
)

// Request is what the decision depends on.
type Request struct {
	// Form is the reason for which the form of the request forbids to run it ahead, "" if
	// there is none.
	Form          Reason
	Idempotent    bool // by its route
	ResponseBytes int  // expected
}

// FormOf returns the reason for which the form of a request forbids to run it ahead, or "".
// It permits only what the server is certain to pass to its handler.
func FormOf(r *http.Request) Reason {
	if r.Proto != "HTTP/1.1" || r.Close || r.Header["Expect"] != nil || r.Header["Upgrade"] != nil || r.Header["Trailer"] != nil {
		return ReasonProtocol
	}
	for _, value := range r.Header["Connection"] {
		if !strings.EqualFold(value, "keep-alive") {
			return ReasonProtocol
		}
	}
	if r.Method == http.MethodConnect || !strings.HasPrefix(r.RequestURI, "/") || r.Host == "" || !httpguts.ValidHostHeader(r.Host) {
		return ReasonInvalid
	}
	for name, values := range r.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return ReasonInvalid
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return ReasonInvalid
			}
		}
	}
	if r.ContentLength != 0 || len(r.TransferEncoding) > 0 {
		return ReasonBody
	}
	return ""
}

// FirstForm returns the reason for which the form of a request that the server passes to its
// handler forbids to run those behind it ahead: its response may end the connection.
func FirstForm(r *http.Request) Reason {
	if r.Proto != "HTTP/1.1" || r.Close || r.Header["Expect"] != nil {
		return ReasonProtocol
	}
	return ""
}

// Window is the state of a connection: the request that is being answered, and those that
// run ahead behind it. Its zero value has none.
type Window struct {
	first         Request
	ahead         int // requests that run ahead or whose responses wait
	responseBytes int // reserved for their responses, or held by them
	closing       bool
}

// Conditions are those of the process.
type Conditions struct {
	Stopping      bool
	ResponsesFull bool // the responses held beyond MaxResponseBytes are too large together
}

// Begin records which request is being answered. ranAhead is true if it ran ahead.
func (w *Window) Begin(first Request, ranAhead bool) {
	w.first = first
	if ranAhead {
		w.ahead--
	}
}

// Decide returns RunAhead if the next request, which follows directly behind those that run
// ahead, may start.
func (w *Window) Decide(next Request, c Conditions) Reason {
	switch {
	case c.Stopping:
		return ReasonStopping
	case w.closing || w.first.Form != "":
		return ReasonClosing
	case !w.first.Idempotent:
		return ReasonAfterOther
	case next.Form != "":
		return next.Form
	case !next.Idempotent:
		return ReasonNotIdempotent
	case w.ahead+1 >= MaxRequests:
		return ReasonTooMany
	case w.responseBytes+next.ResponseBytes > MaxResponseBytes:
		return ReasonLargeResponses
	case c.ResponsesFull:
		return ReasonProcessResponse
	}
	return RunAhead
}

// Start records that a request has started, and reserves the expected size of its response.
func (w *Window) Start(next Request) {
	w.ahead++
	w.responseBytes += next.ResponseBytes
}

// Depth returns the number of requests that run or wait for their turn.
func (w *Window) Depth() int { return w.ahead + 1 }

// Fits reports whether MaxResponseBytes leaves room for so many bytes.
func (w *Window) Fits(bytes int) bool { return w.responseBytes+bytes <= MaxResponseBytes }

// Reserve adds to the bytes that the responses hold; with a negative number it returns some.
func (w *Window) Reserve(bytes int) { w.responseBytes += bytes }

// Close ends running ahead on this connection. last is true if nothing runs ahead, so that
// the response to the request that is being answered may be the last one.
func (w *Window) Close() (last bool) {
	w.closing = true
	return w.ahead == 0
}

// Last reports whether the connection is to be closed and nothing runs ahead.
func (w *Window) Last() bool { return w.closing && w.ahead == 0 }

// Sizes holds the expected sizes of responses by route: the largest recent one.
type Sizes map[string]int

// Record records the size of a response.
func (s Sizes) Record(route string, bytes int) {
	former := s[route]
	s[route] = max(bytes, former-former/sizeDecay-1)
}

// Expected returns the expected size of a response.
func (s Sizes) Expected(route string) int {
	if bytes, known := s[route]; known {
		return bytes
	}
	return UnknownResponseBytes
}
