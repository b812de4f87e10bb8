package daemon

import (
	"testing"
	"testing/synctest"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// suiteT is the test that runs the ginkgo suite; synctest needs it.
var suiteT *testing.T

func TestDaemon(t *testing.T) {
	suiteT = t
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "daemon")
}

// inFleet runs a test in virtual time with one daemon per named pool entry.
func inFleet(pools []string, test func(f *fleet, g *gomega.WithT)) {
	synctest.Test(suiteT, func(t *testing.T) {
		f := newFleet(t, pools)
		defer f.close()
		test(f, gomega.NewWithT(t))
	})
}
