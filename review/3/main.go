// Case 3: the response to the write by which a stopping agent leaves the directory is
// lost, and the write is executed after the agent has started and registered again.
package main

import (
	"fmt"
	"strings"
	"time"

	"tarragonshore.example/tarragonshore/review/kit"
)

const (
	host    = "stock.example"
	key     = "6wsjnbanfqasnmgkcuyj"
	service = "stallview"
	slots   = 75
	work    = 20 * time.Millisecond

	rate, burst = 40, 40 // of the tenant
	// The bounds quota_window, quota_overage and quota_slack.
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20

	lossTime     = 4500 * time.Millisecond // of the store's disruption
	late         = 5 * time.Second         // of the lost write, 1 to 6 s
	restartDelay = 500 * time.Millisecond  // from the end of an agent to its next start
	rollGap      = time.Second             // between the stops of two machines
	// usual is what the tenant sends in a second; surge is the factor of a hot tenant.
	usual, surge = 25, 7.5
	hotTime      = 6500 * time.Millisecond
)

func main() { kit.Main(script) }

func configuration() map[string]any {
	return map[string]any{
		"version": "00000007",
		"routes": []any{map[string]any{"name": "r-stock", "host": host, "path_prefix": "/stock/", "kind": "idempotent", "service": service,
			"timeout": "5000ms", "latency_slo": "1500ms", "priority": 2, "attempts": 2, "no_auth": false}},
		"services": []any{map[string]any{"name": service, "health_path": "/health", "max_conns": 550, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"header_bytes": 16384, "body_bytes": 67108864, "header_timeout": "3000ms", "idle_timeout": "15000ms"},
		"tenants":  []any{map[string]any{"name": "arima", "api_keys": []string{key}, "priority": 1, "rate_per_s": rate, "burst": burst}},
	}
}

func script(f *kit.Fleet, trouble bool) (int, error) {
	if err := f.Store.Publish(configuration()); err != nil {
		return 0, err
	}
	stop := make(chan struct{})
	defer close(stop)
	var upstreams []*kit.Server
	addMachine := func(name, zone string) (*kit.Host, error) {
		h := f.AddHost(name, zone, service)
		s := h.NewServer("i-"+name, slots, work)
		upstreams = append(upstreams, s)
		if err := s.Start(); err != nil {
			return nil, err
		}
		return h, nil
	}
	defer func() {
		for _, s := range upstreams {
			s.Close()
		}
	}()
	first, err := addMachine("sidecar-a-1", "zone-a")
	if err != nil {
		return 0, err
	}
	other, err := addMachine("sidecar-b-1", "zone-b")
	if err != nil {
		return 0, err
	}
	for _, name := range []string{"sidecar-b-2", "sidecar-b-3"} {
		if _, err := addMachine(name, "zone-b"); err != nil {
			return 0, err
		}
	}
	if err := f.StartAll(); err != nil {
		return 0, err
	}
	for _, s := range upstreams {
		go s.Heartbeats(stop)
	}
	time.Sleep(4 * time.Second)

	// Both agents are stopped and started in turn.
	if trouble {
		time.AfterFunc(lossTime, func() { f.Store.LoseResponses(nil) })
		f.Store.LoseResponses(func(topic, member string, value []byte) (time.Duration, bool) {
			lost := member == first.Name && len(value) == 0
			f.Record.Line("store gets a write of %s to %s, %d bytes, response lost: %t", member, topic, len(value), lost)
			return late, lost
		})
	}
	rolled := make(chan error, 2)
	roll := func(h *kit.Host) {
		h.Terminate()
		time.Sleep(restartDelay)
		rolled <- h.Start()
	}
	go roll(other)
	time.Sleep(rollGap)
	go roll(first)
	for range 2 {
		if err := <-rolled; err != nil {
			return 0, err
		}
	}
	time.Sleep(late + time.Second)
	f.Record.Line("the directory names %s", strings.Join(f.Store.Keys("keyed.daemons"), ", "))

	// A machine is added.
	added, err := addMachine("sidecar-a-2", "zone-a")
	if err != nil {
		return 0, err
	}
	if err := added.Start(); err != nil {
		return 0, err
	}
	go upstreams[len(upstreams)-1].Heartbeats(stop)
	time.Sleep(6 * time.Second)
	f.Record.Line("the directory names %s", strings.Join(f.Store.Keys("keyed.daemons"), ", "))

	// The tenant's clients are in zone-a and send many times the usual.
	var clients []*kit.Client
	for _, h := range []*kit.Host{first, added} {
		if !h.Ready() {
			return 0, fmt.Errorf("agent %s is not ready", h.Name)
		}
		clients = append(clients, &kit.Client{Entry: h.Outbound(), Key: key, Deadline: 5 * time.Second, Record: f.Record})
	}
	kit.Every(usual*surge, hotTime, func(n int) { clients[n%len(clients)].Send("GET", host, "/stock/1", "") })
	return judge(f, clients, upstreams)
}

// judge finds the window with the most requests that were sent and ran in it.
func judge(f *kit.Fleet, clients []*kit.Client, upstreams []*kit.Server) (int, error) {
	sent, answers := map[string]time.Time{}, 0
	for _, c := range clients {
		for _, a := range c.Wait() {
			sent[a.ID] = a.Sent
			answers++
		}
	}
	var runs []kit.Run
	for _, s := range upstreams {
		runs = append(runs, s.Runs()...)
	}
	most := kit.MostInWindow(runs, sent, quotaWindow)
	bound := (rate*quotaWindow.Seconds()+burst)*(1+quotaOverage) + quotaSlack
	f.Report("%d requests sent, %d ran; most in %s: %d, the bound is %.0f", answers, len(runs), quotaWindow, most, bound)
	if len(runs) < rate*int(hotTime.Seconds()) {
		return 0, fmt.Errorf("only %d requests ran", len(runs))
	}
	if float64(most) > bound {
		f.Record.Line("QUOTA broken: %d requests of the tenant in %s", most, quotaWindow)
		return kit.ExitBroken, nil
	}
	return kit.ExitHeld, nil
}
