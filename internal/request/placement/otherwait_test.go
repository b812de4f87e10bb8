package placement

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against attempts that are moved to an upstream that looks idle because it fails,
// or that the call has tried.
func TestOtherWaitIsThatOfTheBestUsableUpstream(t *testing.T) {
	g := NewWithT(t)
	table := newTable(upstream("a", true, 40*time.Millisecond, 30, 60), upstream("b", true, 40*time.Millisecond, 30, 14),
		upstream("failing", true, 40*time.Millisecond, 0, 0), upstream("d", true, 40*time.Millisecond, 0, 0))
	for range ejectAfterFailures {
		table.RecordResult(start, "failing", Failed)
	}
	for _, c := range []struct {
		tried []string
		wait  time.Duration
		ok    bool
	}{
		{nil, 0, true}, {[]string{"d"}, 20 * time.Millisecond, true}, {[]string{"d", "b"}, ejectedWait, true},
		{[]string{"d", "b", "failing"}, 0, false},
	} {
		wait, ok := table.OtherWait(start, "a", c.tried)
		g.Expect(wait).To(Equal(c.wait))
		g.Expect(ok).To(Equal(c.ok))
	}
}
