package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"syscall"
	"time"
)

type Client struct {
	address string
	http    *http.Client
}

func NewClient(address string) *Client {
	return &Client{address: address, http: &http.Client{Timeout: 40 * time.Second}}
}

func (c *Client) url(stream Stream) string {
	return "http://" + c.address + "/v1/streams/" + string(stream) + "/records"
}

func (c *Client) Append(ctx context.Context, stream Stream, data []byte) (Offset, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url(stream), bytes.NewReader(data))
	if err != nil {
		return 0, err
	}
	response, err := c.http.Do(request)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return 0, fmt.Errorf("%w: %w", ErrRejected, err)
	}
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	defer response.Body.Close()
	var answer struct{ Offset Offset }
	switch {
	case response.StatusCode == http.StatusCreated && json.NewDecoder(response.Body).Decode(&answer) == nil:
		return answer.Offset, nil
	case response.Header.Get("Tarragon-Not-Appended") == "true":
		return 0, ErrRejected
	case response.StatusCode == http.StatusRequestEntityTooLarge:
		return 0, ErrTooLarge
	}
	return 0, ErrUnknown
}

func (c *Client) Read(ctx context.Context, stream Stream, from Offset, limit int, wait time.Duration) (Batch, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("%s?from=%d&limit=%d&wait_ms=%d", c.url(stream), from, limit, wait.Milliseconds()), nil)
	if err != nil {
		return Batch{}, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return Batch{}, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, response.Body)
		return Batch{}, fmt.Errorf("status %d", response.StatusCode)
	}
	var b Batch
	err = json.NewDecoder(response.Body).Decode(&b)
	return b, err
}
