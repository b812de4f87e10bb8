// Command hang-call-tree: the upstream of a service with ten routes that need no key turns slow
// for some seconds. Clients of the other machines use another service.
package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"review.example/kit2/kit"
)

const (
	openRoutes = 10
	timeout    = time.Second // of all routes
	half       = 500 * time.Millisecond
	normal     = 40 * time.Millisecond
	slowFactor = 12
	slowTime   = 9 * time.Second
)

func main() {
	t := kit.New()
	routes := []kit.Route{{Name: "r-item", Prefix: "/item/", Kind: "idempotent", Service: "catalogue", Timeout: "1000ms", Objective: "500ms"},
		{Name: "r-order", Prefix: "/order/", Kind: "non_idempotent", Service: "orders", Timeout: "1000ms", Objective: "500ms"}}
	for n := range openRoutes {
		routes = append(routes, kit.Route{Name: fmt.Sprintf("r-open%d", n), Prefix: fmt.Sprintf("/open%d/", n), Kind: "idempotent", Service: "catalogue",
			Timeout: "1000ms", Objective: "500ms", Open: true})
	}
	t.Store().Publish(kit.Configuration(2, []string{"catalogue", "orders"}, routes,
		[]kit.Tenant{{Name: "arima", Keys: []string{"key-of-arima"}, Rate: 500, Burst: 500}}))
	catalogue, orders, third := t.Host(1, "zone-a", "catalogue"), t.Host(2, "zone-b", "orders"), t.Host(3, "zone-c", "orders")
	hosts := []*kit.Host{catalogue, orders, third}
	for _, h := range hosts {
		h.Start()
		u := h.StartUpstream("i-"+h.Name, h.Service, 6, normal)
		t.Eventually(5*time.Second, "first heartbeat", u.BeatNow)
		u.BeatEvery(1500 * time.Millisecond)
	}
	var slow atomic.Bool
	catalogue.Upstream.Work = func(*http.Request) time.Duration {
		if slow.Load() {
			return slowFactor * normal
		}
		return normal
	}
	t.Eventually(8*time.Second, "the agents are ready", func() bool { return catalogue.Ready() && orders.Ready() && third.Ready() })

	var mu sync.Mutex
	answers := map[string][]kit.Answer{} // by group
	stop := make(chan struct{})
	var senders sync.WaitGroup
	every := func(group string, interval time.Duration, h *kit.Host, q func(n int) kit.Request) {
		senders.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(interval):
				}
				senders.Go(func() {
					request := q(n)
					request.DeadlineMS = 2500
					a := h.Send(request)
					mu.Lock()
					answers[group] = append(answers[group], a)
					mu.Unlock()
				})
			}
		})
	}
	every("catalogue", 10*time.Millisecond, catalogue, func(n int) kit.Request { // 10 a second on each open route
		return kit.Request{Method: http.MethodGet, Host: kit.RouteHost, Target: fmt.Sprintf("/open%d/1", n%openRoutes)}
	})
	every("catalogue", 100*time.Millisecond, catalogue, func(int) kit.Request {
		return kit.Request{Method: http.MethodGet, Host: kit.RouteHost, Target: "/item/1", Key: "key-of-arima"}
	})
	for _, h := range []*kit.Host{orders, third} {
		every("orders", 100*time.Millisecond, h, func(int) kit.Request {
			return kit.Request{Method: http.MethodPost, Host: kit.RouteHost, Target: "/order/1", Key: "key-of-arima", Body: []byte("one crate")}
		})
	}
	time.Sleep(8 * time.Second)
	slow.Store(t.Trouble)
	t.Logf("%s is slow: %v", catalogue.Upstream.ID, slow.Load())
	time.Sleep(slowTime)
	slow.Store(false)
	ended := t.Since()
	t.Logf("%s is as fast as before", catalogue.Upstream.ID)
	time.Sleep(12 * time.Second)
	close(stop)
	senders.Wait()

	// Requests for the other service, by clients of machines that nothing happened to.
	before, served, late, unanswered := 0, 0, 0, 0
	for _, a := range answers["orders"] {
		if a.Sent < ended-slowTime {
			before++
			continue
		}
		if a.Status == http.StatusOK {
			served++
		}
		if a.Status == 0 || a.Ended-a.Sent > timeout {
			late++
			if a.Status == 0 || a.Ended-a.Sent > timeout+half {
				unanswered++
			}
		}
	}
	t.Logf("orders: %d requests before the trouble; from then on %d served, %d unanswered at the timeout, %d of them half a second later", before, served, late, unanswered)
	if before < 50 {
		t.End(kit.Failed, "only %d requests before the trouble", before)
	}
	if unanswered > 10 && 2*unanswered > late {
		t.End(kit.Broken, "CONFIG: of %d requests for orders that were unanswered at their route's timeout, %d had no answer half a second later; the agents hang", late, unanswered)
	}
	t.End(kit.Held, "%d requests were unanswered at their route's timeout, and %d half a second later", late, unanswered)
}
