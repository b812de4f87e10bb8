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
	for _, c := range []struct{ routes, workspaces, nameBytes, usageKept int }{
		{350, 8, 40, 8}, {10_000, 300, 30, 300}, {10_000, 300, 200, 1},
	} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			g := NewWithT(t)
			padding := strings.Repeat("n", c.nameBytes)
			s := statusOf(1, 0)
			s.Arrivals = nil
			for n := range c.routes {
				s.Arrivals = append(s.Arrivals, shedding.Arrivals{Route: fmt.Sprint(n, padding), Importance: uint8(n % 8), Rate: float64(n)})
			}
			for n := range c.workspaces {
				s.Usage = append(s.Usage, wire.WorkspaceUsage{Workspace: fmt.Sprint(n, padding), Demand: uint32(n), Admitted: 1 << 20})
			}
			frame, leftOut, err := encodeStatus(s)
			g.Expect(err).NotTo(HaveOccurred())
			relay, err := wire.Encode(wire.Relay{Frame: frame})
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(len(relay)).To(BeNumerically("<=", 16<<10))
			decoded, err := wire.Decode(frame)
			g.Expect(err).NotTo(HaveOccurred())
			short := decoded.(*wire.Status)
			g.Expect(short.Load).To(Equal(s.Load))
			g.Expect(len(short.Usage)).To(BeNumerically(">=", c.usageKept))
			g.Expect(leftOut).To(Equal(c.routes + len(s.Runs) + c.workspaces - len(short.Arrivals) - len(short.Runs) - len(short.Usage)))
			if len(short.Arrivals) > 0 {
				g.Expect(short.Arrivals[0].Rate).To(Equal(float64(c.routes-1)), "the greatest rates are kept")
			}
			g.Expect(s.Arrivals).To(HaveLen(c.routes), "the status itself stays whole")
		})
	}
}
