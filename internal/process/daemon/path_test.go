package daemon

import (
	"testing"
)

// Guards against a break of the whole path: key, route, rate, choice of an
// upstream on another host, run and answer.
func TestKeyedRequestIsAnsweredByAnotherHost(t *testing.T) {
	inFleet(t, []string{"orders", "stock"}, func(f *fleet) {
		a := f.get(f.hosts[0], "/stock/1", "barrel")
		if a.status != 200 || a.body != "stock-2 fair barrel" {
			f.t.Fatalf("got %+v", a)
		}
	})
}

// Guards against a second run of a non-idempotent request whose caller repeats
// it at other daemons with the same ticket.
func TestRepeatedTicketRunsOnce(t *testing.T) {
	inFleet(t, []string{"orders", "stock"}, func(f *fleet) {
		ticket := f.ticketFrom(f.hosts[0])
		for _, h := range f.hosts {
			a := f.ask(h, request{path: "/stock-order", key: testKey, ticket: ticket, body: "bundle"})
			if a.status != 200 || a.body != "stock-2 fair bundle" {
				f.t.Fatalf("got %+v", a)
			}
		}
		if runs := f.hosts[1].server.count("bundle"); runs != 1 {
			f.t.Fatalf("ran %d times", runs)
		}
	})
}
