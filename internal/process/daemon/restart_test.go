package daemon

import (
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonshore.example/tarragonshore/internal/request/problem"
)

const restartCells = 24

// Guards against a daemon that starts while the platform is down and serves callers
// when it knows one other member, but not yet the members of the pool: it refused
// requests with no-upstream. Without the setting "join" it may refuse requests for
// lack of tables until another member has probed it.
var _ = It("a daemon that restarts while the platform is down serves its first requests", func() {
	inFleets(controlFleet, restartCells, func(cell int, f *fleet, g *WithT) {
		h := f.hosts[cell%2]
		f.log.setOutage(true)
		g.Expect(h.stop()).To(Succeed())
		h.start()
		var wg sync.WaitGroup
		for range 100 {
			time.Sleep(5 * time.Millisecond)
			wg.Go(func() {
				a := f.ask(h, request{path: "/shop", key: testKey, body: "first"})
				if a.status != 200 {
					// No member can claim the groups of a keeper that stopped during
					// the outage.
					g.Expect(a.kind).To(BeElementOf(problem.KindRateUnavailable, problem.KindTablesStale), "%s: %+v", h.name, a)
					g.Expect(a.executed).To(Equal(problem.ExecutedNo), h.name)
				}
			})
		}
		wg.Wait()
	})
})
