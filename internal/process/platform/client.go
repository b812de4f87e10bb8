package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// HeaderNotAppended is set to "true" on a 503 response to an append that certainly had
// no effect.
const HeaderNotAppended = "Tarragon-Not-Appended"

// Limits and time-outs of the client.
const (
	// DefaultRequestTimeout bounds a request, excluding the wait of a long poll.
	DefaultRequestTimeout = 3 * time.Second
	dialTimeout           = 2 * time.Second
	idleConnTimeout       = 60 * time.Second
	maxIdleConns          = 4 // one long poll for each stream, and one append
	// maxHeadBytes bounds the head of a response.
	maxHeadBytes = 64 << 10
	// maxShortResponseBytes bounds what is read of a response that holds no records.
	maxShortResponseBytes = 4 << 10
	// maxBatchBytes bounds the response to a read, which holds the records in base64.
	// A few records of the maximum size fit. A larger response would not fit into the
	// 32 MB of memory that a daemon has.
	maxBatchBytes = 8 << 20
)

// HTTPError describes a failed request to the platform. It wraps one of this package's
// errors.
type HTTPError struct {
	Op     string // "append" or "read"
	Stream Stream
	// Status is the HTTP status, or 0 if there was no response.
	Status int
	Detail string
	Err    error
}

// Error names the request, the cause and, through the wrapped error, the remedy.
func (e *HTTPError) Error() string {
	status := "no response"
	if e.Status != 0 {
		status = fmt.Sprintf("status %d", e.Status)
	}
	return fmt.Sprintf("%s on stream %q: %s: %s: %v", e.Op, e.Stream, status, e.Detail, e.Err)
}

// Unwrap returns ErrRejected, ErrOutcomeUnknown or ErrTooLarge.
func (e *HTTPError) Unwrap() error { return e.Err }

// errBatchTooLarge means that a response exceeds maxBatchBytes. Read then requests fewer
// records, and returns it only if a single record is too large.
var errBatchTooLarge = errors.New("the batch is too large; read fewer records at a time")

// Client accesses the log of a platform over HTTP. It is safe for concurrent use.
type Client struct {
	base    string
	timeout time.Duration
	http    *http.Client
}

var _ Log = (*Client)(nil)

// NewClient returns a client of the platform at address (IP:port). The timeout
// bounds each request; 0 means DefaultRequestTimeout.
func NewClient(address string, timeout time.Duration) *Client {
	if timeout <= 0 {
		timeout = DefaultRequestTimeout
	}
	return &Client{
		base:    "http://" + address + "/v1/streams/",
		timeout: timeout,
		http: &http.Client{
			// Redirects are not followed and proxies not used: with either, it would
			// be unclear which server responded to an append.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
			Transport: &http.Transport{
				DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
				MaxIdleConnsPerHost:    maxIdleConns,
				IdleConnTimeout:        idleConnTimeout,
				MaxResponseHeaderBytes: maxHeadBytes,
			},
		},
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Append implements Log.
func (c *Client) Append(ctx context.Context, stream Stream, data []byte) (Offset, error) {
	fail := func(status int, detail string, err error) (Offset, error) {
		return 0, &HTTPError{Op: "append", Stream: stream, Status: status, Detail: detail, Err: err}
	}
	if len(data) > MaxRecordBytes {
		return fail(0, fmt.Sprintf("%d bytes", len(data)), ErrTooLarge)
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url(stream, nil), bytes.NewReader(data))
	if err != nil {
		return fail(0, err.Error(), ErrRejected)
	}
	request.Header.Set("Content-Type", "application/octet-stream")
	response, err := c.http.Do(request)
	if err != nil {
		return fail(0, err.Error(), classify(err))
	}
	defer drain(response.Body)
	switch {
	case response.StatusCode == http.StatusRequestEntityTooLarge:
		return fail(response.StatusCode, errorText(response.Body), ErrTooLarge)
	case response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(HeaderNotAppended) == "true":
		return fail(response.StatusCode, errorText(response.Body), ErrRejected)
	case response.StatusCode != http.StatusCreated:
		return fail(response.StatusCode, errorText(response.Body), ErrOutcomeUnknown)
	}
	var decoded struct {
		Offset *Offset `json:"offset"`
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxShortResponseBytes)).Decode(&decoded); err != nil || decoded.Offset == nil {
		return fail(response.StatusCode, fmt.Sprintf("the response has no offset (%v)", err), ErrOutcomeUnknown)
	}
	return *decoded.Offset, nil
}

// classify returns the error for a request without a response: ErrRejected if it cannot
// have taken effect, because no connection was established, else ErrOutcomeUnknown.
func classify(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return ErrRejected
	}
	return ErrOutcomeUnknown
}

// Read implements Log. It reduces limit until the response fits into maxBatchBytes.
func (c *Client) Read(ctx context.Context, stream Stream, from Offset, limit int, wait time.Duration) (Batch, error) {
	for limit = max(limit, 1); ; limit = max(limit/4, 1) {
		batch, err := c.readOnce(ctx, stream, from, limit, wait)
		if limit == 1 || !errors.Is(err, errBatchTooLarge) {
			return batch, err
		}
	}
}

func (c *Client) readOnce(ctx context.Context, stream Stream, from Offset, limit int, wait time.Duration) (Batch, error) {
	fail := func(status int, detail string, err error) (Batch, error) {
		return Batch{}, &HTTPError{Op: "read", Stream: stream, Status: status, Detail: detail, Err: err}
	}
	wait = max(wait, 0)
	ctx, cancel := context.WithTimeout(ctx, wait+c.timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url(stream, url.Values{
		"from":    {strconv.FormatUint(uint64(from), 10)},
		"limit":   {strconv.Itoa(limit)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}), nil)
	if err != nil {
		return fail(0, err.Error(), ErrRejected)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return fail(0, err.Error(), classify(err))
	}
	defer drain(response.Body)
	if response.StatusCode != http.StatusOK {
		return fail(response.StatusCode, errorText(response.Body), ErrOutcomeUnknown)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBatchBytes+1))
	if err != nil {
		return fail(response.StatusCode, err.Error(), ErrOutcomeUnknown)
	}
	if len(body) > maxBatchBytes {
		return fail(response.StatusCode, fmt.Sprintf("the response is larger than %d bytes", maxBatchBytes), errBatchTooLarge)
	}
	batch, err := decodeBatch(body, from, limit)
	if err != nil {
		return fail(response.StatusCode, err.Error(), ErrOutcomeUnknown)
	}
	return batch, nil
}

// decodeBatch decodes the response to a read and checks that it satisfies the contract of
// Batch.
func decodeBatch(body []byte, from Offset, limit int) (Batch, error) {
	var decoded struct {
		First   *Offset `json:"first"`
		Next    *Offset `json:"next"`
		Records []struct {
			Offset Offset `json:"offset"`
			Data   []byte `json:"data"`
		} `json:"records"`
	}
	if err := json.Unmarshal(body, &decoded); err != nil {
		return Batch{}, err
	}
	if decoded.First == nil || decoded.Next == nil || *decoded.First > *decoded.Next {
		return Batch{}, errors.New("the response lacks first or next, or first is greater than next")
	}
	batch := Batch{First: *decoded.First, Next: *decoded.Next}
	if len(decoded.Records) > limit {
		return Batch{}, fmt.Errorf("the response has %d records, but at most %d were requested", len(decoded.Records), limit)
	}
	expected := max(from, batch.First)
	for _, r := range decoded.Records {
		if r.Offset != expected || r.Offset >= batch.Next || len(r.Data) > MaxRecordBytes {
			return Batch{}, fmt.Errorf("the record with offset %d is out of order or too large", r.Offset)
		}
		batch.Records = append(batch.Records, Record{Offset: r.Offset, Data: r.Data})
		expected++
	}
	return batch, nil
}

func (c *Client) url(stream Stream, query url.Values) string {
	address := c.base + url.PathEscape(string(stream)) + "/records"
	if query != nil {
		address += "?" + query.Encode()
	}
	return address
}

// errorText returns the value of {"error": "..."}, or the start of the body if it has
// another form.
func errorText(body io.Reader) string {
	data, _ := io.ReadAll(io.LimitReader(body, maxShortResponseBytes))
	var decoded struct {
		Error string `json:"error"`
	}
	if json.Unmarshal(data, &decoded) == nil && decoded.Error != "" {
		return decoded.Error
	}
	return strconv.Quote(string(data[:min(len(data), 200)]))
}

// drain reads the rest of a short response, so that the connection can be reused.
func drain(body io.ReadCloser) {
	_, _ = io.Copy(io.Discard, io.LimitReader(body, maxShortResponseBytes))
	_ = body.Close()
}
