// Command drain-restart: an upstream deregisters and is acknowledged, the agent beside it is
// killed and started again, and a heartbeat that the upstream had sent before arrives late.
package main

import (
	"net/http"
	"sync"
	"syscall"
	"time"

	"review.example/kit2/kit"
)

const (
	drainBound = 2 * time.Second // bounds.drain
	contact    = 3 * time.Second // bounds.contact
)

func main() {
	t := kit.New()
	t.Store().Publish(kit.Configuration(2, []string{"front", "stock"},
		[]kit.Route{{Name: "r-read", Prefix: "/read/", Kind: "idempotent", Service: "stock"}},
		[]kit.Tenant{{Name: "arima", Keys: []string{"key-of-arima"}, Rate: 200, Burst: 200}}))
	front, left, other := t.Host(1, "zone-a", "front"), t.Host(2, "zone-a", "stock"), t.Host(3, "zone-a", "stock")
	hosts := []*kit.Host{front, left, other}
	for i, h := range hosts {
		h.Start()
		u := h.StartUpstream([]string{"i-front1", "i-stock1", "i-stock2"}[i], h.Service, 20, 20*time.Millisecond)
		t.Eventually(5*time.Second, "first heartbeat", u.BeatNow)
		if h != left {
			u.BeatEvery(1500 * time.Millisecond)
		}
	}
	leaving := left.Upstream
	t.Eventually(8*time.Second, "all agents are ready", func() bool { return front.Ready() && left.Ready() && other.Ready() })

	stop := make(chan struct{})
	var senders sync.WaitGroup
	senders.Go(func() { // clients of the host front
		for {
			select {
			case <-stop:
				return
			case <-time.After(10 * time.Millisecond):
				senders.Go(func() {
					front.Send(kit.Request{Method: http.MethodGet, Host: kit.RouteHost, Target: "/read/1", Key: "key-of-arima", DeadlineMS: 3000})
				})
			}
		}
	})
	for end := t.Since() + 6*time.Second; t.Since() < end; time.Sleep(1500 * time.Millisecond) {
		leaving.BeatNow()
	}
	if len(leaving.Runs()) == 0 {
		t.End(kit.Failed, "the upstream got no request before it left")
	}

	late := leaving.NextBeat() // sent now, arrives 5.5 s later
	t.Logf("heartbeat %d of %s (%s) leaves the upstream and is held up", late.Sequence, late.ID, late.State)
	sent := t.Since()
	time.Sleep(time.Second) // no acknowledgement within a second
	if status := t.SendDeregister(left.Control(), leaving.ID, leaving.Born); status != http.StatusOK {
		t.End(kit.Failed, "the deregistration was not acknowledged: %d", status)
	}
	acknowledged := t.Since()
	t.Logf("deregistration of %s acknowledged", leaving.ID)
	if t.Trouble {
		time.Sleep(300 * time.Millisecond)
		left.Signal(syscall.SIGKILL)
		left.Kill()
		time.Sleep(500 * time.Millisecond)
		left.Start()
	}
	inTouch := t.Since() + contact
	time.Sleep(sent + 5500*time.Millisecond - t.Since())
	t.Logf("the late heartbeat arrives: status %d", t.SendBeat(left.Control(), late))
	time.Sleep(acknowledged + 10*time.Second - t.Since()) // the upstream serves on, as some do for many seconds
	close(stop)
	senders.Wait()

	broken := 0
	for _, run := range leaving.Runs() {
		if run.Executed && run.At > acknowledged+drainBound && run.At > inTouch {
			broken++
		}
	}
	if broken > 0 {
		t.End(kit.Broken, "DRAIN: %d requests ran at %s later than %v after the acknowledgement at %.3f", broken, leaving.ID, drainBound, acknowledged.Seconds())
	}
	t.End(kit.Held, "no request reached %s later than %v after the acknowledgement", leaving.ID, drainBound)
}
