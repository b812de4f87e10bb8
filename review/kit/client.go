package kit

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Answer is what a client got for a request.
type Answer struct {
	ID     string
	Sent   time.Time
	Status int // 0: the connection failed or ended early
}

// Client is a stand-in for the clients of one host.
type Client struct {
	Entry    string // address of the daemon's port for clients
	Key      string
	Deadline time.Duration
	Record   *Record

	once    sync.Once
	http    *http.Client
	mu      sync.Mutex
	answers []Answer
	pending sync.WaitGroup
}

var lastID atomic.Uint64

// Send sends one request in the background.
func (c *Client) Send(method, host, path, body string) {
	id := "r" + strconv.FormatUint(lastID.Add(1), 16)
	c.pending.Go(func() { c.send(id, method, host, path, body) })
}

func (c *Client) send(id, method, host, path, body string) {
	c.once.Do(func() {
		c.http = &http.Client{Timeout: c.Deadline + time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}
	})
	request, err := http.NewRequest(method, "http://"+c.Entry+path, strings.NewReader(body))
	if err != nil {
		return
	}
	request.Host = host
	request.Header.Set("Tarragonshore-Attempt-Id", id)
	request.Header.Set("Tarragonshore-Deadline-Ms", strconv.FormatInt(c.Deadline.Milliseconds(), 10))
	if c.Key != "" {
		request.Header.Set("Tarragonshore-Key", c.Key)
	}
	answer := Answer{ID: id, Sent: time.Now()}
	c.Record.Line("client at %s sends %s %s%s as %s", c.Entry, method, host, path, id)
	response, err := c.http.Do(request)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if err == nil {
			answer.Status = response.StatusCode
		}
	}
	c.Record.Line("client gets %d for %s", answer.Status, id)
	c.mu.Lock()
	c.answers = append(c.answers, answer)
	c.mu.Unlock()
}

// Wait waits for the answers to all requests and returns them.
func (c *Client) Wait() []Answer {
	c.pending.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Answer(nil), c.answers...)
}

// Every calls do perSecond times a second for a time.
func Every(perSecond float64, length time.Duration, do func(n int)) {
	begun := time.Now()
	for n := 0; ; n++ {
		at := time.Duration(float64(n) / perSecond * float64(time.Second))
		if at >= length {
			return
		}
		time.Sleep(time.Until(begun.Add(at)))
		do(n)
	}
}
