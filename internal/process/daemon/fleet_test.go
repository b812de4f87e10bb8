package daemon

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"tarragonshore.example/tarragonshore/internal/connection/backend"
	"tarragonshore.example/tarragonshore/internal/connection/caller"
	"tarragonshore.example/tarragonshore/internal/connection/peer"
	"tarragonshore.example/tarragonshore/internal/process/platform"
	"tarragonshore.example/tarragonshore/internal/request/problem"
	"tarragonshore.example/tarragonshore/internal/version/history"
	"tarragonshore.example/tarragonshore/internal/version/tables"
)

// Ports of each fake host.
const (
	callerPortNumber = 1000
	serverPortNumber = 1001
	peerPortNumber   = 1002
	adminPortNumber  = 1003
)

const testKey = "test-key"

// fleet is a set of daemons on a fake network with a fake log.
type fleet struct {
	t     *testing.T
	net   *fakeNetwork
	log   *fakeLog
	hosts []*host
	// tables and version are those published last.
	tables         *tables.Tables
	version        tables.Version
	stopHeartbeats context.CancelFunc // stops the announcements of the backend servers
	client         *http.Client
}

// host is one daemon with its fake backend server.
type host struct {
	fleet   *fleet
	name    string
	pool    string
	address netip.Addr
	server  *fakeServer
	log     *hostLog
	slots   int
	stopped chan error // result of the planned stop that stopLater began, or nil

	mu     sync.Mutex
	state  backend.State
	daemon *Daemon // nil while none runs
}

// running returns the host's daemon, or nil if none runs.
func (h *host) running() *Daemon {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.daemon
}

// swap replaces the host's daemon and returns the previous one.
func (h *host) swap(next *Daemon) *Daemon {
	h.mu.Lock()
	defer h.mu.Unlock()
	previous := h.daemon
	h.daemon = next
	return previous
}

// callersAddress is the address of the callers, which are on none of the hosts.
var callersAddress = netip.MustParseAddr("127.0.1.1")

// newFleet starts the daemons and publishes tables with two routes per pool: /POOL,
// which is idempotent, and /POOL-order, which is not. The tests call a request on the
// latter an order.
func newFleet(t *testing.T, pools []string) *fleet {
	f := &fleet{t: t, net: newFakeNetwork(500 * time.Microsecond), log: newFakeLog(), tables: tables.Empty()}
	f.client = f.newClient()
	for i, pool := range pools {
		h := &host{
			fleet: f, name: fmt.Sprintf("%s-%d", pool, i+1), pool: pool, slots: 10, state: backend.StateReady,
			address: netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)}),
		}
		h.server = newFakeServer(h.name, 10*time.Millisecond)
		h.log = &hostLog{fakeLog: f.log}
		f.hosts = append(f.hosts, h)
		h.start()
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.stopHeartbeats = cancel
	go f.heartbeats(ctx)
	f.publish(f.testTables(pools, 1000, 1000))
	f.waitUntil("version in force everywhere", 10*time.Second, func(d *Daemon) bool {
		return d.configuration.current().Version == f.version && d.members.service.View().Alive == len(f.hosts)
	})
	time.Sleep(2 * time.Second) // buckets fill, upstreams warm up
	return f
}

// testTables returns routes and pools with one workspace of the given rate and burst.
func (f *fleet) testTables(pools []string, rate, burst int) *tables.Tables {
	var r, p strings.Builder
	seen := map[string]bool{}
	for _, pool := range pools {
		if seen[pool] {
			continue
		}
		seen[pool] = true
		fmt.Fprintf(&r, "[route %s]\npath = /%s\npool = %s\nidempotent = true\nimportance = 3\ntimeout = 5s\n", pool, pool, pool)
		fmt.Fprintf(&r, "[route %s-order]\npath = /%s-order\npool = %s\nidempotent = false\nimportance = 1\ntimeout = 5s\n", pool, pool, pool)
		fmt.Fprintf(&p, "[pool %s]\nwarm_up = 1s\n", pool)
	}
	fmt.Fprintf(&r, "[key %s]\nworkspace = fair\n", tables.DigestKey(testKey))
	fmt.Fprintf(&p, "[workspace fair]\nrate = %d\nburst = %d\n", rate, burst)
	next, err := tables.Parse([]byte(r.String()), []byte(p.String()))
	if err != nil {
		f.t.Fatal(err)
	}
	return next
}

// publish appends an edit to the log that changes the tables published last into
// next.
func (f *fleet) publish(next *tables.Tables) {
	id, err := history.NewEditID(rand.Reader)
	if err != nil {
		f.t.Fatal(err)
	}
	edit := history.Edit{Base: f.version, Changes: tables.Diff(f.tables, next), ID: id, ResultDigest: next.Digest()}
	record, err := edit.Encode()
	if err != nil {
		f.t.Fatal(err)
	}
	if _, err := f.log.Append(context.Background(), platform.StreamTables, record); err != nil && !errors.Is(err, platform.ErrOutcomeUnknown) {
		f.t.Fatal(err)
	}
	f.tables, f.version = next, f.version+1
}

// start runs a daemon on the host.
func (h *host) start() {
	link := peer.DefaultConfig
	daemon := New(Config{
		Name: h.name, Zone: fmt.Sprintf("zone-%d", h.address.As4()[3]%2),
		Caller: netip.AddrPortFrom(h.address, callerPortNumber), Server: netip.AddrPortFrom(h.address, serverPortNumber),
		Peer: netip.AddrPortFrom(h.address, peerPortNumber), Admin: netip.AddrPortFrom(h.address, adminPortNumber),
		PollWait: time.Second, Retention: 24 * time.Hour, HeartbeatInterval: time.Second, Workers: 2, RateGroups: 4,
		MaxInFlight: 1000, LameDuck: 2 * time.Second, Link: link,
	}, Dependencies{Network: h.fleet.net.host(h.address), Log: h.log, Server: h.server})
	if err := daemon.Start(context.Background()); err != nil {
		h.fleet.t.Fatal(err)
	}
	h.swap(daemon)
	h.announce()
}

// announce sends the daemon an announcement of the backend server.
func (h *host) announce() {
	h.mu.Lock()
	daemon, state, slots := h.daemon, h.state, h.slots
	h.mu.Unlock()
	if daemon == nil {
		return
	}
	_ = daemon.server.applyAnnouncement(time.Now(), backend.Announcement{
		Name: h.name, Pool: h.pool, Address: "127.0.0.1:1", Slots: slots, State: state,
	})
}

// kill stops the daemon abruptly.
func (h *host) kill() {
	if daemon := h.swap(nil); daemon != nil {
		_ = daemon.close()
	}
}

// stop stops the daemon gracefully.
func (h *host) stop() error {
	daemon := h.swap(nil)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	return daemon.Stop(ctx)
}

func (f *fleet) heartbeats(ctx context.Context) {
	for pause(ctx, time.Second) {
		for _, h := range f.hosts {
			h.announce()
		}
	}
}

func (f *fleet) close() {
	f.stopHeartbeats()
	f.client.CloseIdleConnections()
	for _, h := range f.hosts {
		h.kill()
	}
	time.Sleep(time.Minute) // until all timers and connections have ended
}

// waitUntil waits until a condition holds on every running host.
func (f *fleet) waitUntil(what string, limit time.Duration, condition func(d *Daemon) bool) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	err := waitFor(ctx, 10*time.Millisecond, func() bool {
		for _, h := range f.hosts {
			if d := h.running(); d != nil && !condition(d) {
				return false
			}
		}
		return true
	})
	if err != nil {
		f.t.Fatalf("not within %s: %s", limit, what)
	}
}

// newClient returns an HTTP client of a caller.
func (f *fleet) newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: f.net.host(callersAddress).dialTCP, IdleConnTimeout: 5 * time.Second}}
}

// answer is the result of a caller's request.
type answer struct {
	status   int
	body     string
	kind     problem.Kind
	executed problem.Executed
	next     string // ticket for the next request
	err      error
	took     time.Duration
}

// request is a caller's request.
type request struct {
	method, path, key, ticket, body string
	timeout                         time.Duration
}

// ask sends a request to the caller port of a host.
func (f *fleet) ask(h *host, q request) answer {
	if q.method == "" {
		q.method = http.MethodPost
	}
	if q.timeout == 0 {
		q.timeout = 5 * time.Second
	}
	begun := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), q.timeout+time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, q.method, fmt.Sprintf("http://%s:%d%s", h.address, callerPortNumber, q.path), strings.NewReader(q.body))
	if err != nil {
		f.t.Fatal(err)
	}
	r.Header.Set("Request-Timeout", fmt.Sprint(q.timeout.Milliseconds()))
	if q.key != "" {
		r.Header.Set("Authorization", "Bearer "+q.key)
	}
	if q.ticket != "" {
		r.Header.Set(caller.HeaderIdempotencyKey, q.ticket)
	}
	response, err := f.client.Do(r)
	if err != nil {
		return answer{err: err, took: time.Since(begun)}
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	a := answer{status: response.StatusCode, body: string(content), next: response.Header.Get(caller.HeaderNextTicket), err: err, took: time.Since(begun)}
	if response.Header.Get("Content-Type") == problem.ContentType {
		var p struct {
			Kind     problem.Kind
			Executed problem.Executed
		}
		_ = json.Unmarshal(content, &p)
		a.kind, a.executed = p.Kind, p.Executed
	}
	return a
}

// get sends an idempotent request with the test key.
func (f *fleet) get(h *host, path, body string) answer {
	return f.ask(h, request{path: path, key: testKey, body: body})
}

// ticketFrom gets a ticket from a host.
func (f *fleet) ticketFrom(h *host) string {
	a := f.ask(h, request{path: caller.TicketPath, key: testKey})
	ticket := ticketOf(a)
	if ticket == "" {
		f.t.Fatalf("no ticket: %+v", a)
	}
	return ticket
}

// ticketOf returns the ticket in an answer to a ticket request, or "".
func ticketOf(a answer) string {
	var issued issuedTicket
	_ = json.Unmarshal([]byte(a.body), &issued)
	return issued.Ticket
}
