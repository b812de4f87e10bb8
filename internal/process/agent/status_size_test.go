package agent

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"tarragonshore.example/tarragonshore/internal/connection/wire"
	"tarragonshore.example/tarragonshore/internal/request/shedding"
)

// Guards against statuses that outgrow the buffer of their receivers, which then take the
// sender for gone, and against leaving out what the limits of the rates depend on.
func TestStatusFitsIntoADatagram(t *testing.T) {
	g := NewWithT(t)
	for _, c := range []struct{ routes, workspaces, nameBytes, usageKept int }{
		{350, 8, 40, 8}, {10_000, 300, 30, 300}, {10_000, 300, 200, 1},
	} {
		s, name := statusOf(1, 0), strings.Repeat("n", c.nameBytes)
		for n := range c.routes {
			s.Arrivals = append(s.Arrivals, shedding.Arrivals{Route: fmt.Sprint(n, name), Rate: float64(100 + n)})
		}
		for n := range c.workspaces {
			s.Usage = append(s.Usage, wire.WorkspaceUsage{Workspace: fmt.Sprint(n, name), Demand: uint32(n), Admitted: 1 << 20})
		}
		frame, leftOut, err := encodeStatus(s)
		g.Expect(err).NotTo(HaveOccurred())
		relay, err := wire.Encode(wire.Relay{Frame: frame})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(len(relay)).To(BeNumerically("<=", 16<<10))
		decoded, err := wire.Decode(frame)
		g.Expect(err).NotTo(HaveOccurred())
		short := decoded.(*wire.Status)
		g.Expect(len(short.Usage)).To(BeNumerically(">=", c.usageKept))
		g.Expect(leftOut).To(Equal(len(s.Arrivals) + len(s.Runs) + len(s.Usage) - len(short.Arrivals) - len(short.Runs) - len(short.Usage)))
		if len(short.Arrivals) > 0 {
			g.Expect(short.Arrivals[0].Rate).To(Equal(float64(99+c.routes)), "the greatest rates are kept")
		}
	}
}
