// Case 2: an agent is stopped while clients go on sending requests on a route that needs
// no key.
package main

import (
	"fmt"
	"time"

	"tarragonshore.example/tarragonshore/review/kit"
)

const (
	host      = "orders.example"
	service   = "bundler"
	slots     = 94
	work      = 210 * time.Millisecond
	perSecond = 22 // at the machine that is stopped
	grace     = 6 * time.Second
)

func main() { kit.Main(script) }

func configuration() map[string]any {
	return map[string]any{
		"version": "00000007",
		"routes": []any{map[string]any{"name": "r-order", "host": host, "path_prefix": "/order/", "kind": "non_idempotent", "service": service,
			"timeout": "5000ms", "latency_slo": "1500ms", "priority": 0, "attempts": 2, "no_auth": true}},
		"services": []any{map[string]any{"name": service, "health_path": "/health", "max_conns": 664, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"header_bytes": 16384, "body_bytes": 67108864, "header_timeout": "3000ms", "idle_timeout": "15000ms"},
		"tenants":  []any{map[string]any{"name": "arima", "api_keys": []string{"6wsjnbanfqasnmgkcuyj"}, "priority": 1, "rate_per_s": 115, "burst": 115}},
	}
}

func script(f *kit.Fleet, trouble bool) (int, error) {
	if err := f.Store.Publish(configuration()); err != nil {
		return 0, err
	}
	stop := make(chan struct{})
	defer close(stop)
	var upstreams []*kit.Server
	for n := range 3 {
		h := f.AddHost(fmt.Sprintf("sidecar-%d", n+1), fmt.Sprintf("zone-%d", n+1), service)
		s := h.NewServer(fmt.Sprintf("i-%d", n+1), slots, work)
		if err := s.Start(); err != nil {
			return 0, err
		}
		defer s.Close()
		upstreams = append(upstreams, s)
	}
	if err := f.StartAll(); err != nil {
		return 0, err
	}
	for _, s := range upstreams {
		go s.Heartbeats(stop)
	}
	time.Sleep(5 * time.Second)
	stopped := f.Hosts[0]
	client := &kit.Client{Entry: stopped.Outbound(), Deadline: 5 * time.Second, Record: f.Record}
	traffic := make(chan struct{})
	go func() {
		defer close(traffic)
		kit.Every(perSecond, 2*time.Second+grace, func(int) { client.Send("POST", host, "/order/1", "two barrels") })
	}()
	time.Sleep(2 * time.Second)
	signalled := time.Now()
	if trouble {
		go watchReadiness(f, stopped, signalled)
		stopped.Terminate()
	}
	<-traffic
	return judge(f, client, upstreams, signalled)
}

// watchReadiness asks the stopped daemon once a second whether it is ready, as the platform
// does. The daemon is the only one of its zone, so that its clients stay whatever it says:
// fewer than half of the zone's daemons would be left.
func watchReadiness(f *kit.Fleet, h *kit.Host, signalled time.Time) {
	for time.Since(signalled) < grace {
		f.Record.Line("readiness of %s: %t; it is the only daemon of its zone", h.Name, h.Ready())
		time.Sleep(time.Second)
	}
}

// judge counts the requests that an upstream ran and whose client got no answer.
func judge(f *kit.Fleet, client *kit.Client, upstreams []*kit.Server, signalled time.Time) (int, error) {
	ran := map[string]bool{}
	for _, s := range upstreams {
		for _, r := range s.Runs() {
			ran[r.ID] = true
		}
	}
	served, lost := 0, 0
	answers := client.Wait()
	for _, a := range answers {
		switch {
		case a.Status == 200:
			served++
		case a.Status == 0 && ran[a.ID]:
			lost++
			f.Record.Line("LOST broken: %s was sent %.2f s after the SIGTERM, ran, and its connection ended without an answer", a.ID, a.Sent.Sub(signalled).Seconds())
		}
	}
	f.Report("%d requests sent, %d served, %d cut after they had been passed on", len(answers), served, lost)
	if served < len(answers)/2 {
		return 0, fmt.Errorf("only %d of %d requests were served", served, len(answers))
	}
	if lost > 0 {
		return kit.ExitBroken, nil
	}
	return kit.ExitHeld, nil
}
