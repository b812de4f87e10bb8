package daemon

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the whole path", func() {
	// Guards against a break of the path: key, route, rate, choice of an
	// upstream on another host, run and answer.
	It("answers a keyed request that another host runs", func() {
		inFleet([]string{"orders", "stock"}, func(f *fleet, g *WithT) {
			a := f.get(f.hosts[0], "/stock/1", "barrel")
			g.Expect(a.status).To(Equal(200))
			g.Expect(a.body).To(Equal("stock-2 fair barrel"))
		})
	})

	// Guards against a second run of a non-idempotent request whose caller
	// repeats it at other daemons with the same ticket.
	It("runs a request once that is repeated with its ticket", func() {
		inFleet([]string{"orders", "stock"}, func(f *fleet, g *WithT) {
			ticket := f.ticketFrom(f.hosts[0])
			for _, h := range f.hosts {
				a := f.ask(h, request{path: "/stock-order", key: testKey, ticket: ticket, body: "bundle"})
				g.Expect(a.status).To(Equal(200))
				g.Expect(a.body).To(Equal("stock-2 fair bundle"))
			}
			g.Expect(f.hosts[1].server.count("bundle")).To(Equal(1))
		})
	})
})
