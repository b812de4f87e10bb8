package daemon

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonshore.example/tarragonshore/internal/connection/caller"
	"tarragonshore.example/tarragonshore/internal/request/problem"
)

var _ = Describe("a fleet", func() {
	// Guards against a failure in any step of a request: key, route, rate, choice of
	// an upstream on another host, run and answer.
	It("answers a request with a key that another host runs", func() {
		inFleet([]string{"orders", "stock"}, func(f *fleet, g *WithT) {
			a := f.get(f.hosts[0], "/stock/1", "barrel")
			g.Expect(a.status).To(Equal(200))
			g.Expect(a.body).To(Equal("stock-2 fair barrel"))
		})
	})

	// Guards against the HTTP server's own answer, which is no problem document, to a
	// header section that is too large.
	It("refuses a header that is too large with a problem document", func() {
		inFleet([]string{"orders", "stock"}, func(f *fleet, g *WithT) {
			a := f.ask(f.hosts[0], request{path: "/stock/1", key: strings.Repeat("k", caller.MaxHeaderBytes)})
			g.Expect(a.status).To(Equal(431))
			g.Expect(a.kind).To(Equal(problem.KindHeaderTooLarge))
			g.Expect(a.executed).To(Equal(problem.ExecutedNo))
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
