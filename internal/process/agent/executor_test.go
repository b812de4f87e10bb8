package agent

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"tarragonshore.example/tarragonshore/internal/connection/wire"
	"tarragonshore.example/tarragonshore/internal/request/problem"
)

// dottedIDs is a protocol in which a call's id is the id of the request that made it,
// a dot and a suffix.
type dottedIDs struct{ Protocol }

func (dottedIDs) ParentID(requestID string) string {
	return requestID[:max(0, strings.LastIndexByte(requestID, '.'))]
}

// A call gets the importance of the request that made it, so that a service deep in
// the call graph serves the calls of important requests first. An id that names no
// run in progress gives no importance.
func TestCallsInheritTheImportanceOfTheirRun(t *testing.T) {
	g := NewWithT(t)
	e := newExecutor(dottedIDs{}, newServerState(heartbeatInterval, ownAddress), nil, nil, nil)
	important := &run{attempt: &wire.Attempt{RequestID: "root", Route: "order", Context: wire.Context{Importance: 8}}}
	e.startedByRequest["root"] = important
	for _, id := range []string{"other", "other.1", "root", ".", ""} {
		_, known := e.countCall(id, "ledger")
		g.Expect(known).To(BeFalse(), id)
	}
	for range 2 {
		importance, known := e.countCall("root.1", "ledger")
		g.Expect(known).To(BeTrue())
		g.Expect(importance).To(Equal(uint8(8)))
	}
	g.Expect(important.calls).To(Equal(map[string]int{"ledger": 2}))
}

// A 500 counts as a failure of the backend server only if no call of the run can have
// caused it. Otherwise one failing service would count at every service that calls it.
func TestFailuresOfCallsAreNotServerFailures(t *testing.T) {
	g := NewWithT(t)
	e := newExecutor(dottedIDs{}, newServerState(heartbeatInterval, ownAddress), nil, nil, nil)
	broken := &wire.Answer{Response: &wire.Response{Status: 500}}
	leafRun, callingRun := &run{}, &run{calls: map[string]int{"ledger": 1}}
	g.Expect(e.isServerFailure(leafRun, broken)).To(BeTrue(), "the server makes no calls")
	e.countCall("unknown", "ledger")
	g.Expect(e.isServerFailure(leafRun, broken)).To(BeFalse(), "the runs of its calls are not known")
	e.callsAttributed = true
	g.Expect(e.isServerFailure(leafRun, broken)).To(BeTrue())
	g.Expect(e.isServerFailure(callingRun, broken)).To(BeFalse())
	lost := &wire.Answer{Refusal: wireRefusal(problem.Unknown(problem.KindUpstreamFailed, "reset"))}
	g.Expect(e.isServerFailure(callingRun, lost)).To(BeTrue())
	late := &wire.Answer{Refusal: wireRefusal(problem.Unknown(problem.KindDeadline, "no answer in time"))}
	g.Expect(e.isServerFailure(callingRun, late)).To(BeFalse())
}
