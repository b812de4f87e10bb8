// Package caller is the HTTP interface to callers: the server with its limits, the
// header fields that the daemon interprets, the reading of requests and the writing
// of responses.
package caller

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"tarragonshore.example/tarragonshore/internal/connection/backend"
	"tarragonshore.example/tarragonshore/internal/connection/wire"
	"tarragonshore.example/tarragonshore/internal/request/problem"
	"tarragonshore.example/tarragonshore/internal/version/tables"
)

// Header names in requests from callers and in responses to them.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderNextTicket     = "Tarragon-Next-Ticket"
	HeaderPriority       = "Priority"
)

// TicketPath is where callers get tickets for non-idempotent requests.
const TicketPath = "/.well-known/tarragonshore/tickets"

// Limits of a caller's connection and of its requests.
const (
	// MaxHeaderBytes is the maximum size of all names and values of a header section.
	MaxHeaderBytes = 64 << 10
	// rawHeaderBytes is the maximum that net/http reads of a header section. To a
	// larger one it responds with 431 by itself, without a problem document.
	rawHeaderBytes = 4 * MaxHeaderBytes
	// readHeaderTimeout is the time to receive a complete header section.
	readHeaderTimeout = 10 * time.Second
	// idleTimeout is the time after which an idle connection is closed, so that those
	// of callers that disappeared without closing them do not accumulate.
	idleTimeout = 75 * time.Second
	// maxIdempotencyKeyBytes is the maximum length of the Idempotency-Key field in bytes.
	maxIdempotencyKeyBytes = 512
)

// NewServer returns an HTTP server for callers that passes requests to the handler.
func NewServer(handler http.Handler) *Server {
	s := &Server{connections: make(map[net.Conn]connection)}
	s.http = &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    rawHeaderBytes,
		ConnState:         s.track,
	}
	return s
}

// CheckHeader returns a problem if the header section is larger than MaxHeaderBytes.
func CheckHeader(header http.Header) *problem.Problem {
	size := 0
	for name, values := range header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	if size > MaxHeaderBytes {
		return problem.New(problem.KindHeaderTooLarge, "the header has "+strconv.Itoa(size)+" bytes, and the limit is "+strconv.Itoa(MaxHeaderBytes))
	}
	return nil
}

// BearerKey returns the key in the Authorization field.
func BearerKey(header http.Header) (string, *problem.Problem) {
	value := header.Get("Authorization")
	if value == "" {
		return "", problem.New(problem.KindKeyMissing, "the request has no Authorization field")
	}
	scheme, key, ok := strings.Cut(value, " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") || strings.TrimSpace(key) == "" {
		return "", problem.New(problem.KindKeyMissing, "the Authorization field is not 'Bearer KEY'")
	}
	return strings.TrimSpace(key), nil
}

// Timeout returns the timeout of a request: that of the Request-Timeout field, in
// whole milliseconds, or limit if the field is absent or greater.
func Timeout(header http.Header, limit time.Duration) (time.Duration, *problem.Problem) {
	value := header.Get(backend.HeaderRequestTimeout)
	if value == "" {
		return limit, nil
	}
	ms, err := strconv.ParseUint(value, 10, 32)
	if err != nil || ms == 0 {
		return 0, problem.New(problem.KindRequestInvalid, "Request-Timeout must be a whole number of milliseconds above 0")
	}
	return min(time.Duration(ms)*time.Millisecond, limit), nil
}

// Importance returns the importance of a request: that of its route, or a lower one
// that the caller requests with the urgency parameter of the Priority field
// (RFC 9218). A malformed Priority field is ignored, as the RFC requires.
func Importance(header http.Header, routeImportance tables.Importance) tables.Importance {
	for _, parameter := range strings.Split(header.Get(HeaderPriority), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		if name != "u" {
			continue
		}
		urgency, err := strconv.ParseUint(value, 10, 8)
		if err == nil && urgency <= uint64(tables.LeastImportance) {
			return max(routeImportance, tables.Importance(urgency))
		}
	}
	return routeImportance
}

// IdempotencyKey returns the value of the Idempotency-Key field, or "" if it is absent.
func IdempotencyKey(header http.Header) (string, *problem.Problem) {
	values := header.Values(HeaderIdempotencyKey)
	if len(values) == 0 {
		return "", nil
	}
	if len(values) > 1 || len(values[0]) > maxIdempotencyKeyBytes {
		return "", problem.New(problem.KindTicketInvalid, "Idempotency-Key must occur once and have at most 512 bytes")
	}
	// An RFC 8941 string is quoted; the value is accepted with and without quotes.
	return strings.Trim(values[0], `"`), nil
}

// notForwarded lists the end-to-end fields of a request that are not forwarded.
var notForwarded = []string{"Authorization", HeaderIdempotencyKey, backend.HeaderRequestTimeout, "Expect"}

// ReadRequest reads a complete request for forwarding, with the end-to-end fields
// except those in notForwarded, which it removes from r.
func ReadRequest(r *http.Request, maxBody int64) (wire.Request, *problem.Problem) {
	if r.ContentLength > maxBody {
		return wire.Request{}, bodyTooLarge(maxBody)
	}
	var body bytes.Buffer
	if r.ContentLength > 0 {
		body.Grow(int(r.ContentLength))
	}
	n, err := body.ReadFrom(io.LimitReader(r.Body, maxBody+1))
	if n > maxBody {
		return wire.Request{}, bodyTooLarge(maxBody)
	}
	if err != nil {
		return wire.Request{}, bodyReadProblem(err)
	}
	for _, name := range notForwarded {
		r.Header.Del(name)
	}
	return wire.Request{
		Method: r.Method,
		Target: r.URL.RequestURI(),
		Host:   r.Host,
		Header: backend.HeaderFields(r.Header),
		Body:   body.Bytes(),
	}, nil
}

func bodyTooLarge(limit int64) *problem.Problem {
	return problem.New(problem.KindBodyTooLarge, "the body is over the route's limit of "+strconv.FormatInt(limit, 10)+" bytes")
}

func bodyReadProblem(err error) *problem.Problem {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return bodyTooLarge(tooLarge.Limit)
	}
	return problem.New(problem.KindRequestInvalid, "the body ended early: "+err.Error())
}

// WriteResponse sends a complete response to a request with the given method.
func WriteResponse(w http.ResponseWriter, method string, response *wire.Response) {
	header := w.Header()
	for _, field := range response.Header {
		header.Add(field.Name, field.Value)
	}
	if method != http.MethodHead && response.Status != http.StatusNoContent && response.Status != http.StatusNotModified {
		header.Set("Content-Length", strconv.Itoa(len(response.Body)))
	}
	w.WriteHeader(response.Status)
	_, _ = w.Write(response.Body)
}
