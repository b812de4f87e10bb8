package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonshore.example/tarragonshore/internal/connection/backend"
	"tarragonshore.example/tarragonshore/internal/connection/wire"
	"tarragonshore.example/tarragonshore/internal/version/tables"
)

// overloadTables returns tables with one pool, a route per importance (/p0 to /p7),
// and workspaces a to c with the keys key-a to key-c.
func overloadTables(f *fleet) *tables.Tables {
	var r, p strings.Builder
	p.WriteString("[pool shop]\nwarm_up = 1s\n")
	for i := range 8 {
		fmt.Fprintf(&r, "[route p%d]\npath = /p%d\npool = shop\nidempotent = true\nimportance = %d\ntimeout = 1s\n", i, i, i)
	}
	for _, w := range []string{"a", "b", "c"} {
		fmt.Fprintf(&r, "[key %s]\nworkspace = %s\n", tables.DigestKey("key-"+w), w)
		fmt.Fprintf(&p, "[workspace %s]\nrate = 100000\nburst = 100000\n", w)
	}
	next, err := tables.Parse([]byte(r.String()), []byte(p.String()))
	if err != nil {
		f.t.Fatal(err)
	}
	return next
}

// flow is a stream of requests at a constant mean rate.
type flow struct {
	key, path string
	perSecond int
}

// overload sends flows for 20 s and returns which share of each was served in the
// last 10 s, when the concurrency limits have adapted.
func (f *fleet) overload(flows []flow) []float64 {
	f.hosts[1].mu.Lock()
	f.hosts[1].slots = 4 // 10 ms per request: at most 400 requests per second
	f.hosts[1].mu.Unlock()
	f.publish(overloadTables(f))
	time.Sleep(15 * time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	measured := time.Now().Add(10 * time.Second)
	served, sent := make([]float64, len(flows)), make([]float64, len(flows))
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i, demand := range flows {
		rng := rand.New(rand.NewPCG(uint64(i), 7))
		wg.Go(func() {
			for pause(ctx, time.Duration(rng.ExpFloat64()*float64(time.Second)/float64(demand.perSecond))) {
				counted := time.Now().After(measured)
				wg.Go(func() {
					a := f.ask(f.hosts[0], request{path: demand.path, key: demand.key, body: "x", timeout: time.Second})
					mu.Lock()
					defer mu.Unlock()
					if counted {
						sent[i]++
						if a.status == 200 {
							served[i]++
						}
					}
				})
			}
		})
	}
	wg.Wait()
	for i := range served {
		fmt.Printf("overload: %s%s %d/s: served %.0f of %.0f\n", flows[i].key, flows[i].path, flows[i].perSecond, served[i], sent[i])
		served[i] /= sent[i]
	}
	return served
}

var _ = Describe("overload", func() {
	pools := []string{"entry", "shop"}
	// Guards against shedding in order of arrival instead of by importance.
	It("sheds important requests last", func() {
		inFleets(pools, 1, func(_ int, f *fleet, g *WithT) {
			share := f.overload([]flow{{"key-a", "/p1", 150}, {"key-a", "/p3", 300}, {"key-a", "/p6", 600}})
			g.Expect(share[0]).To(BeNumerically(">=", 0.99))
			g.Expect(share[1]).To(BeNumerically(">", share[2]))
			g.Expect(share[2]).To(BeNumerically("<", 0.1))
		})
	})

	// Guards against a queue that serves workspaces in proportion to their demand.
	It("keeps the max-min fair share of each workspace", func() {
		inFleets(pools, 1, func(_ int, f *fleet, g *WithT) {
			share := f.overload([]flow{{"key-a", "/p3", 665}, {"key-b", "/p3", 100}, {"key-c", "/p3", 100}})
			g.Expect(share[1]).To(BeNumerically(">=", 0.95))
			g.Expect(share[2]).To(BeNumerically(">=", 0.95))
		})
	})
})

// Guards against retry amplification: retries that multiply along a call chain.
var _ = DescribeTable("retries over a chain of failing calls",
	func(depth int) {
		pools := []string{"s0", "s0", "s1", "s1", "s2", "s2", "s3", "s3", "s4", "s4"}[:2*depth]
		inFleets(pools, 1, func(_ int, f *fleet, g *WithT) {
			for _, h := range f.hosts {
				h.server.work = h.failingHop(depth)
			}
			const roots, credits = 30, 2
			total := 0
			for i := range roots {
				body := fmt.Sprintf("root %d", i)
				f.get(f.hosts[i%len(f.hosts)], "/s0", body)
				g.Expect(f.runs(body)).To(BeNumerically("<=", (1+credits)*depth), body)
				total += f.runs(body)
			}
			fmt.Printf("chain: depth %d: %d runs of %d roots\n", depth, total, roots)
			g.Expect(total).To(BeNumerically(">", roots*depth)) // some were retried
			// A pool's retry budget starts with 10 retries and grows by a tenth of the
			// first attempts.
			g.Expect(total).To(BeNumerically("<=", (1+credits)*roots*depth))
		})
	},
	Entry("depth 1", 1), Entry("depth 2", 2), Entry("depth 3", 3), Entry("depth 4", 4), Entry("depth 5", 5),
)

// failingHop returns the work of a backend server that calls the next service of the
// chain, if there is one, and then fails.
func (h *host) failingHop(depth int) func(context.Context, backend.Call) (*wire.Response, error) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: h.fleet.net.host(h.address).dialTCP}}
	next := int(h.pool[1]-'0') + 1
	return func(ctx context.Context, call backend.Call) (*wire.Response, error) {
		if next < depth {
			url := fmt.Sprintf("http://%s:%d/s%d", h.address, serverPortNumber, next)
			r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(string(call.Request.Body)))
			if err != nil {
				return nil, &backend.Error{Err: err}
			}
			r.Header.Set(backend.HeaderRequestToken, call.Token)
			if response, err := client.Do(r); err == nil {
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			}
		}
		return nil, &backend.Error{Err: errors.New("fails")}
	}
}
