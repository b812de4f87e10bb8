// Command quickstart demonstrates tarragonshore end to end on one machine. It
// starts a platform stand-in and, in two availability zones, four daemons with a
// backend server stand-in each. The backend servers belong to two services, one of
// which calls the other. The command then publishes tables, issues a key, sends
// requests, places an order, drains a backend server and withdraws the key. It
// prints each step and stops all processes.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"tarragonshore.example/tarragonshore/internal/connection/caller"
	"tarragonshore.example/tarragonshore/internal/process/testbed"
)

const (
	runTimeout     = 50 * time.Second
	requestTimeout = 5 * time.Second
	settleTime     = 3 * time.Second // token buckets of new rate groups fill
	drainTime      = 3 * time.Second // after this, no daemon sends requests to a drained backend server
	withdrawLimit  = 5 * time.Second
	pollInterval   = 50 * time.Millisecond
)

const routes = `; Routes say what may be called, and keys say by whom.
[route stalls]
path = /stalls
methods = GET
pool = stalls
idempotent = true
importance = 3
timeout = 2s

[route orders]
path = /orders
methods = POST
pool = stalls
idempotent = false
importance = 1
timeout = 2s

[route stock]
path = /stock
methods = GET
pool = stock
idempotent = true
importance = 3
timeout = 1s
`

const pools = `; Pools are served by the backend servers that announce their names.
[pool stalls]
warm_up = 1s

[pool stock]
warm_up = 1s

[workspace arima]
rate = 200
burst = 100
`

func main() {
	ctx, cancel := context.WithTimeout(context.Background(), runTimeout)
	defer cancel()
	if err := run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "quickstart failed:", err)
		os.Exit(1)
	}
}

// demo holds the state of the demonstration.
type demo struct {
	cluster *testbed.Cluster
	dir     string
	client  *http.Client
}

func run(ctx context.Context) (err error) {
	dir, err := os.MkdirTemp("", "tarragonshore-quickstart-")
	if err != nil {
		return err
	}
	defer func() {
		if err == nil {
			err = os.RemoveAll(dir)
		} else {
			err = fmt.Errorf("%w; logs are in %s", err, dir)
		}
	}()
	printStep("building the programs")
	bin := filepath.Join(dir, "bin")
	if err := testbed.Build(bin); err != nil {
		return err
	}
	cluster, err := testbed.New(dir, bin, testbed.Spec{
		Zones: 2, RateGroups: 8, AppendsPerSecond: 300, RetentionSeconds: 24 * 3600,
		Services: []testbed.Service{
			{Pool: "stalls", Upstreams: 2, Slots: []int{16}, ServiceTimeMS: 5, QueueLimit: 16, Calls: []string{"GET /stock/barrel-1"}},
			{Pool: "stock", Upstreams: 2, Slots: []int{16}, ServiceTimeMS: 5, QueueLimit: 16},
		},
	})
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, cluster.Stop()) }()
	printStep("starting the platform stand-in, 4 daemons and 4 backend servers in 2 zones")
	if err := cluster.Start(ctx); err != nil {
		return err
	}
	d := &demo{cluster: cluster, dir: dir, client: &http.Client{Timeout: requestTimeout}}
	return d.runSteps(ctx)
}

// runSteps runs the steps of the demonstration in order.
func (d *demo) runSteps(ctx context.Context) error {
	if err := d.publish(ctx); err != nil {
		return err
	}
	printStep("issuing a key for workspace arima")
	output, err := d.tarragonctl(ctx, "key", "add", "arima", "--output", "json")
	if err != nil {
		return err
	}
	var issued struct{ Key string }
	if err := json.Unmarshal([]byte(output), &issued); err != nil {
		return err
	}
	key := issued.Key
	time.Sleep(settleTime)
	for _, next := range []func(context.Context, string) error{d.readStalls, d.placeOrder, d.drain, d.withdraw} {
		if err := next(ctx, key); err != nil {
			return err
		}
	}
	status, err := d.tarragonctl(ctx, "status")
	if err != nil {
		return err
	}
	printStep("status of the daemons")
	fmt.Println(indent(status))
	printStep("done; stopping all processes")
	return nil
}

// publish publishes both tables with tarragonctl and waits until they are in force
// on all daemons.
func (d *demo) publish(ctx context.Context) error {
	for name, content := range map[string]string{"routes.ini": routes, "pools.ini": pools} {
		if err := os.WriteFile(filepath.Join(d.dir, name), []byte(content), 0o644); err != nil {
			return err
		}
	}
	printStep("publishing routes and pools")
	output, err := d.tarragonctl(ctx, "publish", "--routes", filepath.Join(d.dir, "routes.ini"),
		"--pools", filepath.Join(d.dir, "pools.ini"), "--note", "quick start", "--wait")
	if err != nil {
		return err
	}
	fmt.Println(indent(output))
	return d.cluster.WaitDaemonsReady(ctx)
}

// tarragonctl runs tarragonctl and returns its output, or an error if it fails.
func (d *demo) tarragonctl(ctx context.Context, args ...string) (string, error) {
	output, code, err := d.cluster.RunTarragonctl(ctx, args...)
	if err != nil {
		return "", err
	}
	if code != 0 {
		return "", fmt.Errorf("tarragonctl %s: exit code %d: %s", strings.Join(args, " "), code, output)
	}
	return strings.TrimSpace(output), nil
}

// readStalls sends a read with the key to each daemon, and one without a key, which
// must be refused.
func (d *demo) readStalls(ctx context.Context, key string) error {
	printStep("keyed reads at each daemon; each calls the other service once")
	for _, host := range d.cluster.Hosts {
		if _, err := d.expectStatus(ctx, http.StatusOK, host, http.MethodGet, "/stalls/1", key, "", ""); err != nil {
			return err
		}
	}
	_, err := d.expectStatus(ctx, http.StatusUnauthorized, d.cluster.Hosts[0], http.MethodGet, "/stalls/1", "", "", "")
	return err
}

// placeOrder gets a ticket, places an order with it and repeats the order at another
// daemon, which must return the stored response. The same ticket with another body
// must be refused.
func (d *demo) placeOrder(ctx context.Context, key string) error {
	printStep("an order needs a ticket; its repeat elsewhere gets the stored answer and runs nothing")
	const order = `{"prizes": 12}`
	if _, err := d.expectStatus(ctx, http.StatusPreconditionRequired, d.cluster.Hosts[0], http.MethodPost, "/orders", key, "", order); err != nil {
		return err
	}
	issued, err := d.expectStatus(ctx, http.StatusCreated, d.cluster.Hosts[0], http.MethodPost, caller.TicketPath, key, "", "")
	if err != nil {
		return err
	}
	var ticket struct{ Ticket string }
	if err := json.Unmarshal([]byte(issued), &ticket); err != nil {
		return err
	}
	first, err := d.expectStatus(ctx, http.StatusOK, d.cluster.Hosts[0], http.MethodPost, "/orders", key, ticket.Ticket, order)
	if err != nil {
		return err
	}
	again, err := d.expectStatus(ctx, http.StatusOK, d.cluster.Hosts[3], http.MethodPost, "/orders", key, ticket.Ticket, order)
	if err != nil {
		return err
	}
	if first != again {
		return fmt.Errorf("the repeat got another response: %s", again)
	}
	_, err = d.expectStatus(ctx, http.StatusConflict, d.cluster.Hosts[1], http.MethodPost, "/orders", key, ticket.Ticket, `{"prizes": 13}`)
	return err
}

// drain drains one backend server and checks that it gets no requests after drainTime.
func (d *demo) drain(ctx context.Context, key string) error {
	printStep("draining backend server stock-1")
	output, err := d.tarragonctl(ctx, "drain", "stock-1", "--note", "quick start")
	if err != nil {
		return err
	}
	fmt.Println(indent(output))
	time.Sleep(drainTime)
	before, err := d.cluster.Host("stock-1").Report(ctx)
	if err != nil {
		return err
	}
	const reads = 20
	for i := range reads {
		host := d.cluster.Hosts[i%len(d.cluster.Hosts)]
		if status, body, err := d.send(ctx, host, http.MethodGet, "/stalls/1", key, "", ""); err != nil || status != http.StatusOK {
			return fmt.Errorf("read during the drain: status %d, %s, %w", status, body, err)
		}
	}
	after, err := d.cluster.Host("stock-1").Report(ctx)
	if err != nil {
		return err
	}
	fmt.Printf("  %d reads answered; new work at stock-1: %d\n", reads, after.Requests-before.Requests)
	if after.Requests != before.Requests {
		return errors.New("the drained backend server got new work")
	}
	return nil
}

// withdraw withdraws the key, waits for at most withdrawLimit until all daemons refuse it,
// and prints how long that took.
func (d *demo) withdraw(ctx context.Context, key string) error {
	printStep("withdrawing the key while its caller is connected")
	begun := time.Now()
	if _, err := d.tarragonctlWithInput(ctx, key, "key", "withdraw", "-"); err != nil {
		return err
	}
	for _, host := range d.cluster.Hosts {
		for {
			status, _, err := d.send(ctx, host, http.MethodGet, "/stalls/1", key, "", "")
			if err != nil {
				return err
			}
			if status == http.StatusUnauthorized {
				break
			}
			if time.Since(begun) > withdrawLimit {
				return fmt.Errorf("%s still accepts the key after %s", host.Name, withdrawLimit)
			}
			time.Sleep(pollInterval)
		}
	}
	fmt.Printf("  refused by all daemons %s after the command began\n", time.Since(begun).Round(time.Millisecond))
	return nil
}

// tarragonctlWithInput is tarragonctl with the given standard input.
func (d *demo) tarragonctlWithInput(ctx context.Context, input string, args ...string) (string, error) {
	output, code, err := d.cluster.RunTarragonctlWithInput(ctx, input, args...)
	if err == nil && code != 0 {
		err = fmt.Errorf("tarragonctl %s: exit code %d: %s", strings.Join(args, " "), code, output)
	}
	return output, err
}

// expectStatus sends a request, prints the response's status and checks it.
func (d *demo) expectStatus(ctx context.Context, want int, host *testbed.Host, method, path, key, ticket, body string) (string, error) {
	begun := time.Now()
	status, response, err := d.send(ctx, host, method, path, key, ticket, body)
	if err != nil {
		return "", err
	}
	fmt.Printf("  %s %s at %s (%s): %d in %s\n", method, path, host.Name, host.Zone, status, time.Since(begun).Round(100*time.Microsecond))
	if status != want {
		return "", fmt.Errorf("got status %d, want %d: %s", status, want, response)
	}
	return response, nil
}

// send sends one request to a daemon's caller port.
func (d *demo) send(ctx context.Context, host *testbed.Host, method, path, key, ticket, body string) (int, string, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+host.Caller+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, "", err
	}
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	if ticket != "" {
		request.Header.Set(caller.HeaderIdempotencyKey, ticket)
	}
	response, err := d.client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return response.StatusCode, string(content), err
}

func printStep(text string) { fmt.Println("==", text) }

func indent(text string) string {
	return "  " + strings.ReplaceAll(strings.TrimSpace(text), "\n", "\n  ")
}
