package logging

import (
	"bytes"
	"errors"
	"net/http"
	"strings"
	"sync"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestLogging(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "logging")
}

var _ = Describe("events", func() {
	// Guards against values with line breaks, which could forge events, and against
	// secrets in the log.
	DescribeTable("are written as one line of pairs", func(want string, pairs ...any) {
		Expect(format("reader", "accepted", pairs)).To(Equal("component=reader event=accepted" + want))
	},
		Entry("values", " version=7 note=\"a b\" empty=\"\"", "version", 7, "note", "a b", "empty", ""),
		Entry("line breaks", ` error="a\nb"`, "error", errors.New("a\nb")),
		Entry("forged pairs", ` name="a=b"`, "name", "a=b"),
		Entry("secrets", " key=(redacted) Authorization=(redacted)", "key", "k1", "Authorization", "Bearer k1"),
		Entry("headers", " header=(redacted)", "header", http.Header{"Authorization": {"Bearer k1"}}),
		Entry("bodies", " body=\"(3 bytes)\"", "body", []byte("abc")),
		Entry("an odd number of pairs", " version=(missing)", "version"))

	It("are written at or above the level, with the source line of the call", func() {
		var out bytes.Buffer
		Setup(Warning, &out)
		DeferCleanup(func() { Setup(Info, nil) })
		InfoEvent("c", "quiet")
		WarningEvent("c", "loud", "n", 1)
		ErrorEvent("c", "failed", errors.New("x"))
		Flush()
		Expect(out.String()).To(MatchRegexp(`^W.* logging_suite_test\.go:\d+\] component=c event=loud n=1\nE.* logging_suite_test\.go:\d+\] component=c event=failed error=x\n$`))
	})
})

// stalledOutput blocks all writes until release is closed.
type stalledOutput struct {
	release chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (o *stalledOutput) Write(p []byte) (int, error) {
	<-o.release
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.written.Write(p)
}

var _ = Describe("an output that stalls", func() {
	// Guards against requests that block because the reader of the daemon's log is slow.
	It("does not block events, which are buffered up to a limit and counted if they are dropped", func() {
		out := &stalledOutput{release: make(chan struct{})}
		Setup(Info, out)
		DeferCleanup(func() { Setup(Info, nil) })
		value := strings.Repeat("x", 1000)
		done := make(chan struct{})
		go func() {
			defer close(done)
			for i := range 3 * maxPendingBytes / len(value) {
				InfoEvent("c", "line", "n", i, "value", value)
			}
		}()
		Eventually(done, "5s").Should(BeClosed())
		close(out.release)
		Flush()
		out.mu.Lock()
		defer out.mu.Unlock()
		Expect(out.written.Len()).To(BeNumerically("<", 3*maxPendingBytes))
		Expect(out.written.String()).To(ContainSubstring(" n=0 "))
		Expect(out.written.String()).To(MatchRegexp(`component=logging event=lines-lost count=\d+\n`))
	})
})
