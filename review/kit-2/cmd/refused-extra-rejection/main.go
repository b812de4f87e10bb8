// Command refused-extra-rejection: an upstream rejects part of its requests, and sends a few of
// its answers a second time, late.
package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"review.example/kit2/kit"
)

const (
	shedShare  = 0.55 // of the requests of all five upstreams
	shedTime   = 8500 * time.Millisecond
	extraShare = 0.03 // of the answers of three of them
	extraTime  = 5 * time.Second
)

func main() {
	t := kit.New()
	t.Store().Publish(kit.Configuration(2, []string{"front", "stock"},
		[]kit.Route{{Name: "r-order", Prefix: "/order/", Kind: "non_idempotent", Service: "stock"}},
		[]kit.Tenant{{Name: "arima", Keys: []string{"key-of-arima"}, Rate: 1000, Burst: 1000}}))
	front := t.Host(1, "zone-a", "front")
	hosts := []*kit.Host{front}
	for n := range 5 {
		hosts = append(hosts, t.Host(2+n, "zone-a", "stock"))
	}
	var upstreams []*kit.RawUpstream
	for i, h := range hosts {
		h.Start()
		u := h.StartRawUpstream(fmt.Sprintf("i-%d", i+1), h.Service, 50, 20*time.Millisecond)
		upstreams = append(upstreams, u)
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
	answers := map[string]kit.Answer{}
	var mu sync.Mutex
	var senders sync.WaitGroup
	send := func(duration time.Duration) { // 250 a second
		for begin := time.Now(); time.Since(begin) < duration; time.Sleep(4 * time.Millisecond) {
			senders.Go(func() {
				a := front.Send(kit.Request{Method: http.MethodPost, Host: kit.RouteHost, Target: "/order/1", Key: "key-of-arima", Body: []byte("one crate")})
				mu.Lock()
				answers[a.ID] = a
				mu.Unlock()
			})
		}
	}
	send(4 * time.Second)
	trouble := func(all, three kit.Trouble) {
		if !t.Trouble {
			return
		}
		t.Logf("the upstreams of stock: %+v, three of them: %+v", all, three)
		for i, u := range upstreams[1:] {
			u.SetTrouble(all)
			if i < 3 {
				u.SetTrouble(three)
			}
		}
	}
	trouble(kit.Trouble{Shed: shedShare}, kit.Trouble{Shed: shedShare, Extra: extraShare})
	send(extraTime)
	trouble(kit.Trouble{Shed: shedShare}, kit.Trouble{Shed: shedShare})
	send(shedTime - extraTime)
	trouble(kit.Trouble{}, kit.Trouble{})
	send(time.Second)
	senders.Wait()

	runs := map[string]int{}
	for _, u := range upstreams[1:] {
		for _, run := range u.Runs() {
			if run.Executed {
				runs[run.ID]++
			}
		}
	}
	twice, refused := 0, 0
	for id, n := range runs {
		if n > 1 {
			twice++
			t.Logf("request %s ran %d times", id, n)
		}
		if s := answers[id].Status; s == http.StatusServiceUnavailable || s == http.StatusTooManyRequests {
			refused++
			t.Logf("request %s ran, and its client got %d", id, s)
		}
	}
	if len(runs) < 1500 {
		t.End(kit.Failed, "only %d requests ran", len(runs))
	}
	extras := int64(0)
	for _, u := range upstreams {
		extras += u.Extras.Load()
	}
	text := fmt.Sprintf("of %d requests of a non-idempotent route %d ran more than once, and %d were answered 429 or 503 and ran; %d second answers were sent",
		len(runs), twice, refused, extras)
	if twice > 0 || refused > 0 {
		t.End(kit.Broken, "TWICE or REFUSED: %s", text)
	}
	t.End(kit.Held, "%s", text)
}
