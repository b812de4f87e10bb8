package backend

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// exchangeUse sends a request with an id, as exchange does, and returns what the result
// tells of the connection, after a failure too.
func exchangeUse(x *Exchanger, address, id string) ConnectionUse {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	e := Exchange{ID: id, Method: http.MethodGet, Target: "/", Host: "h", Idempotent: true,
		Matches:    func(_ int, header http.Header) bool { return header.Get("Id") == id },
		ResponseID: func(header http.Header) string { return header.Get("Id") }}
	e.Header = append(e.Header, headerField("Id", id))
	response, err := x.Do(ctx, address, e)
	var failure *Error
	if errors.As(err, &failure) {
		return failure.Use
	}
	return response.Use
}

// Guards against a foreign answer whose cause the logs cannot tell: each kind of skipped
// response has a cause of its own, also if the exchange fails.
func TestConnectionUseTellsCausesOfSkippedResponses(t *testing.T) {
	long := strings.Repeat("x", 2*maxSkippedIDBytes)
	noID := "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 1\r\n\r\nx"
	for name, c := range map[string]struct {
		before string // the bytes in front of the response to the second request
		cause  SkipCause
		status int
		id     string
	}{
		"second response to an earlier request": {okResponse("first", "again"), SkippedEarlierRequest, 200, "first"},
		"response to a request of another":      {okResponse(long, "x"), SkippedOtherID, 200, long[:maxSkippedIDBytes]},
		"response without an id":                {noID, SkippedNoID, 500, ""},
	} {
		for _, answered := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, answered %v", name, answered), func(t *testing.T) {
				g := NewWithT(t)
				address := scriptedServer(t, func(_, n int, id string) string {
					switch {
					case n == 0:
						return okResponse(id, "x")
					case answered:
						return c.before + okResponse(id, "x")
					}
					return c.before + "HTTP/1.1 broken\r\n\r\n"
				})
				x := NewExchanger(bodyLimit)
				defer x.Close()
				first := exchangeUse(x, address, "first")
				g.Expect(first.Connection).NotTo(BeZero())
				g.Expect(first).To(Equal(ConnectionUse{Connection: first.Connection}))
				time.Sleep(2 * time.Millisecond)
				second := exchangeUse(x, address, "second")
				g.Expect(second.Idle).To(BeNumerically(">=", 2*time.Millisecond))
				second.Idle = 0
				g.Expect(second).To(Equal(ConnectionUse{Connection: first.Connection, Carried: 1,
					Skipped: []SkipCause{c.cause}, SkippedStatus: c.status, SkippedID: c.id}))
			})
		}
	}
}

// Guards against a second send of an id that leaves no trace, on one connection or on two.
func TestConnectionUseTellsRepeatedIDs(t *testing.T) {
	g := NewWithT(t)
	address := scriptedServer(t, func(connection, n int, id string) string {
		if connection == 0 && n == 2 {
			return "HTTP/1.1 200 OK\r\nId: " + id + "\r\n\r\nends with the connection"
		}
		return okResponse(id, "x")
	})
	x := NewExchanger(bodyLimit)
	defer x.Close()
	var repeats []Repeat
	for _, id := range []string{"a", "a", "b", "b", "c"} {
		repeats = append(repeats, exchangeUse(x, address, id).Repeated)
	}
	g.Expect(repeats).To(Equal([]Repeat{"", RepeatOnConnection, "", RepeatOnOtherConnection, ""}))
}

// Guards against ids that are forgotten too early, or kept for ever.
func TestRecentIDsAreBounded(t *testing.T) {
	g := NewWithT(t)
	var r recentIDs
	now := time.Now()
	g.Expect(r.add(now, 1)).To(BeFalse())
	g.Expect(r.add(now.Add(recentTime), 1)).To(BeTrue())
	g.Expect(r.add(now.Add(4*recentTime), 1)).To(BeFalse())
	for hash := range uint64(3 * maxRecentIDs) {
		r.add(now.Add(4*recentTime), 10+hash)
		g.Expect(len(r.current)).To(BeNumerically("<=", maxRecentIDs))
		g.Expect(len(r.older)).To(BeNumerically("<=", maxRecentIDs))
	}
}

// Guards against the ids of a connection that grow without bound.
func TestConnectionsAreClosedAfterManyRequests(t *testing.T) {
	g := NewWithT(t)
	address := scriptedServer(t, func(_, _ int, id string) string { return okResponse(id, "x") })
	x := NewExchanger(bodyLimit)
	defer x.Close()
	first := exchangeUse(x, address, "r")
	var last, next ConnectionUse
	for n := range maxRequestsPerConn {
		last, next = next, exchangeUse(x, address, fmt.Sprint("r", n))
	}
	g.Expect([]any{last.Connection, last.Carried}).To(Equal([]any{first.Connection, maxRequestsPerConn - 1}))
	g.Expect(next.Connection).NotTo(Equal(first.Connection))
	g.Expect(next.Carried).To(BeZero())
}
