package daemon

import (
	"fmt"
	"os"
	"testing"
	"testing/synctest"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// suiteT is the test that runs the ginkgo suite. synctest.Test needs a *testing.T.
var suiteT *testing.T

func TestDaemon(t *testing.T) {
	suiteT = t
	gomega.RegisterFailHandler(ginkgo.Fail)
	suite, reporter := ginkgo.GinkgoConfiguration()
	if os.Getenv("KNOWN_RED") == "" {
		suite.LabelFilter = "!known-red" // see KNOWN-RED.txt
	}
	ginkgo.RunSpecs(t, "daemon", suite, reporter)
}

// inFleet runs a test in virtual time with one host per element of pools, which names
// the pool of the host's backend server.
func inFleet(pools []string, test func(f *fleet, g *gomega.WithT)) {
	synctest.Test(suiteT, func(t *testing.T) {
		f := newFleet(t, pools)
		defer f.close()
		test(f, gomega.NewWithT(t))
	})
}

// inFleets runs cells, the cases of a spec, in parallel. Each has its own fleet and
// its own virtual time.
func inFleets(pools []string, cells int, test func(cell int, f *fleet, g *gomega.WithT)) {
	passed := suiteT.Run("cells", func(t *testing.T) {
		for cell := range cells {
			t.Run(fmt.Sprint(cell), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					f := newFleet(t, pools)
					defer f.close()
					test(cell, f, gomega.NewWithT(t))
				})
			})
		}
	})
	if !passed {
		ginkgo.Fail("a cell failed; its message is above")
	}
}
