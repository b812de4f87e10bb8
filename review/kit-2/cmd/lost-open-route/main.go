// Command lost-open-route: an agent gets SIGTERM while the upstream beside it runs a long
// request, and clients go on sending requests on a route that needs no key.
package main

import (
	"net/http"
	"sync"
	"syscall"
	"time"

	"review.example/kit2/kit"
)

const (
	grace    = 6 * time.Second         // bounds.grace
	longWork = 4500 * time.Millisecond // of the request that runs beside the agent
	work     = 1500 * time.Millisecond // of the others
)

func main() {
	t := kit.New()
	t.Store().Publish(kit.Configuration(2, []string{"report", "stock"},
		[]kit.Route{{Name: "r-report", Prefix: "/report/", Kind: "idempotent", Service: "report", Timeout: "10000ms", Objective: "8000ms"},
			{Name: "r-open", Prefix: "/open/", Kind: "non_idempotent", Service: "stock", Timeout: "5000ms", Open: true}},
		[]kit.Tenant{{Name: "arima", Keys: []string{"key-of-arima"}, Rate: 500, Burst: 500}}))
	// The machine that stops is the only one of its zone, so that its clients get work on.
	stopped, stock := t.Host(1, "zone-a", "report"), t.Host(2, "zone-b", "stock")
	for _, h := range []*kit.Host{stopped, stock} {
		h.Start()
		u := h.StartUpstream("i-"+h.Service, h.Service, 50, work)
		t.Eventually(5*time.Second, "first heartbeat", u.BeatNow)
		u.BeatEvery(1500 * time.Millisecond)
	}
	stopped.Upstream.Work = func(*http.Request) time.Duration { return longWork }
	t.Eventually(8*time.Second, "the agents are ready", func() bool { return stopped.Ready() && stock.Ready() })
	time.Sleep(4 * time.Second) // calm

	var mu sync.Mutex
	var answers []kit.Answer
	var senders sync.WaitGroup
	stop := make(chan struct{})
	senders.Go(func() { // 10 requests a second, each on a connection of its own
		for {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
				senders.Go(func() {
					c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
					a := stopped.SendWith(c, kit.Request{Method: http.MethodPost, Host: kit.RouteHost, Target: "/open/1", DeadlineMS: 3000, Body: []byte("one crate")})
					mu.Lock()
					answers = append(answers, a)
					mu.Unlock()
				})
			}
		}
	})
	time.Sleep(2 * time.Second)
	senders.Go(func() {
		stopped.Send(kit.Request{Method: http.MethodGet, Host: kit.RouteHost, Target: "/report/1", Key: "key-of-arima", DeadlineMS: 8000})
	})
	t.Eventually(time.Second, "the long request runs", func() bool { return stopped.Upstream.Running() == 1 })
	signalled := t.Since()
	if t.Trouble {
		stopped.Signal(syscall.SIGTERM)
		t.Eventually(grace, "the agent has ended", func() bool { return !stopped.Running() })
	} else {
		time.Sleep(grace)
	}
	close(stop)
	senders.Wait()

	passedOn := map[string]kit.Run{}
	for _, run := range stock.Upstream.Runs() {
		passedOn[run.ID] = run
	}
	lost, served := 0, 0
	for _, a := range answers {
		run, passed := passedOn[a.ID]
		if a.Status == http.StatusOK {
			served++
		}
		late := a.Sent > signalled+3*time.Second // of those sent until then, some may be cut off
		if late && a.Status == 0 && passed {
			lost++
			t.Logf("request %s, sent %.3f s after SIGTERM, reached upstream %s %.3f s after it and got no answer (%.3f s after it: %v)",
				a.ID, (a.Sent - signalled).Seconds(), run.Upstream, (run.At - signalled).Seconds(), (a.Ended - signalled).Seconds(), a.Err)
		}
	}
	if served < 10 {
		t.End(kit.Failed, "only %d requests were served", served)
	}
	if lost > 0 {
		t.End(kit.Broken, "LOST: %d requests that were sent later than 3 s after SIGTERM were passed on to an upstream, and their connections ended without an answer", lost)
	}
	t.End(kit.Held, "all requests that were passed on were answered")
}
