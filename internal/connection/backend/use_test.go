package backend

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a foreign answer whose cause the logs cannot tell: skipped responses have
// a cause, an id that is sent again is told, and a connection is closed before its ids
// take much memory.
func TestConnectionUse(t *testing.T) {
	g := NewWithT(t)
	long := strings.Repeat("x", 2*maxSkippedIDBytes)
	address := scriptedServer(t, func(_, _ int, id string) string {
		switch id {
		case "b":
			return okResponse("a", "again") + okResponse(id, "x")
		case "other":
			return okResponse(long, "x") + okResponse(id, "x")
		case "none":
			return "HTTP/1.1 500 x\r\nContent-Length: 1\r\n\r\nx" + okResponse(id, "x")
		}
		return okResponse(id, "x")
	})
	x := NewExchanger(bodyLimit)
	defer x.Close()
	use := func(id string) ConnectionUse {
		response, err := exchange(x, address, id, true)
		g.Expect(err).NotTo(HaveOccurred())
		return response.Use
	}
	first := use("a")
	g.Expect(first).To(Equal(ConnectionUse{Connection: first.Connection}))
	time.Sleep(2 * time.Millisecond)
	second := use("b")
	g.Expect(second.Idle).To(BeNumerically(">=", 2*time.Millisecond))
	g.Expect(second).To(Equal(ConnectionUse{Connection: first.Connection, Carried: 1, Idle: second.Idle, SkippedStatus: 200,
		SkippedID: "a", Skipped: []SkipCause{SkippedEarlierRequest}}))
	repeated := use("a")
	g.Expect(repeated.Repeated).To(BeTrue())
	g.Expect(repeated.Connection).NotTo(Equal(first.Connection))
	for id, want := range map[string]ConnectionUse{
		"other": {SkippedStatus: 200, SkippedID: long[:maxSkippedIDBytes], Skipped: []SkipCause{SkippedOtherID}},
		"none":  {SkippedStatus: 500, Skipped: []SkipCause{SkippedNoID}},
	} {
		_, err := exchange(x, address, id, true)
		var failure *Error
		g.Expect(errors.As(err, &failure)).To(BeTrue())
		g.Expect(err).To(MatchError(ErrUnrelatedResponse))
		want.Connection, want.Carried, want.Idle = failure.Use.Connection, failure.Use.Carried, failure.Use.Idle
		g.Expect(failure.Use).To(Equal(want))
	}
	x.Close()
	last := use("c")
	g.Expect(last.Repeated).To(BeFalse())
	for n := 1; n <= maxRequestsPerConn; n++ {
		next := use(fmt.Sprint("r", n))
		g.Expect(next.Carried).To(Equal(n % maxRequestsPerConn))
		g.Expect(next.Connection == last.Connection).To(Equal(n < maxRequestsPerConn))
	}
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
		g.Expect(max(len(r.current), len(r.older))).To(BeNumerically("<=", maxRecentIDs))
	}
}
