// Command twice-encoded-slash: requests of a non-idempotent route name an item whose name
// holds an encoded slash, and an upstream runs some of them and its answer is lost.
package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"review.example/kit2/kit"
)

const (
	lostShare = 0.4             // of the requests that three of the five upstreams run
	lostTime  = 4 * time.Second // how long
)

func main() {
	t := kit.New()
	t.Store().Publish(kit.Configuration(2, []string{"front", "stock"},
		[]kit.Route{{Name: "r-item", Prefix: "/item/", Kind: "non_idempotent", Service: "stock"},
			{Name: "r-view", Prefix: "/item/view/", Kind: "idempotent", Service: "stock"}},
		[]kit.Tenant{{Name: "arima", Keys: []string{"key-of-arima"}, Rate: 500, Burst: 500}}))
	front := t.Host(1, "zone-a", "front")
	hosts := []*kit.Host{front}
	for n := range 5 {
		hosts = append(hosts, t.Host(2+n, "zone-a", "stock"))
	}
	for i, h := range hosts {
		h.Start()
		u := h.StartUpstream(fmt.Sprintf("i-%d", i+1), h.Service, 50, 20*time.Millisecond)
		t.Eventually(5*time.Second, "first heartbeat", u.BeatNow)
		u.BeatEvery(1500 * time.Millisecond)
	}
	t.Eventually(8*time.Second, "the agents are ready", func() bool {
		for _, h := range hosts {
			if !h.Ready() {
				return false
			}
		}
		return true
	})
	var senders sync.WaitGroup
	send := func(count int) { // 100 a second
		for n := range count {
			time.Sleep(10 * time.Millisecond)
			senders.Go(func() {
				front.Send(kit.Request{Method: http.MethodPost, Host: kit.RouteHost, Target: fmt.Sprintf("/item/view%%2F%d", n), Key: "key-of-arima", Body: []byte("one crate")})
			})
		}
	}
	send(500) // calm
	from := t.Since()
	if t.Trouble {
		for _, h := range hosts[1:4] {
			t.Logf("answers of %s are lost from now on", h.Upstream.ID)
			h.Upstream.SetLose(func(*http.Request) bool { return t.Since() < from+lostTime && rand.Float64() < lostShare })
		}
	}
	send(500)
	senders.Wait()

	runs := map[string]int{}
	for _, h := range hosts[1:] {
		for _, run := range h.Upstream.Runs() {
			if run.Executed {
				runs[run.ID]++
			}
		}
	}
	twice := 0
	for id, n := range runs {
		if n > 1 {
			twice++
			t.Logf("request %s of the non-idempotent route ran %d times", id, n)
		}
	}
	if len(runs) < 800 {
		t.End(kit.Failed, "only %d requests ran", len(runs))
	}
	if twice > 0 {
		t.End(kit.Broken, "TWICE: %d of %d requests of a non-idempotent route ran more than once", twice, len(runs))
	}
	t.End(kit.Held, "none of %d requests of a non-idempotent route ran more than once", len(runs))
}
