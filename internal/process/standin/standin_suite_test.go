package standin

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestStandin(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "stand-ins")
}

var _ = Describe("a backend server whose caller is gone", func() {
	busy := func(ignoreCancel bool) int64 {
		b := NewBackend(BackendConfig{Slots: 1, Service: 50 * time.Millisecond, Constant: true, IgnoreCancel: ignoreCancel})
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		request := httptest.NewRequestWithContext(ctx, http.MethodGet, "/x", nil)
		request.Header.Set(HeaderOrder, "1")
		b.ServeHTTP(httptest.NewRecorder(), request)
		if order, ok := b.Report().Orders["1"]; ok {
			return order.BusyMicros
		}
		return 0
	}

	// Guards against servers that spare a system without control the useless work.
	It("works on if it ignores cancellation, and stops otherwise", func() {
		Expect(busy(true)).To(BeNumerically(">=", 50_000))
		Expect(busy(false)).To(BeNumerically("<", 50_000))
	})
})

var _ = Describe("delays", func() {
	// Guards against calls within a zone that take as long as those between zones.
	It("count both ways between zones and nothing within one", func() {
		response := &http.Response{Header: http.Header{HeaderZone: {"zone-2"}}}
		Expect(ZoneDelay(response, "zone-1", time.Millisecond)).To(Equal(2 * time.Millisecond))
		Expect(ZoneDelay(response, "zone-2", time.Millisecond)).To(BeZero())
		Expect(ZoneDelay(&http.Response{}, "zone-1", time.Millisecond)).To(BeZero())
	})

	// Guards against a delay on each request in place of each connection.
	It("of a connection count once", func() {
		const delay = 100 * time.Millisecond
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		server := &http.Server{Handler: http.NotFoundHandler()}
		defer func() { _ = server.Close() }()
		go func() { _ = server.Serve(delayedListener{listener, delay}) }()
		get := func() time.Duration {
			begun := time.Now()
			response, err := http.Get("http://" + listener.Addr().String())
			Expect(err).NotTo(HaveOccurred())
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			return time.Since(begun)
		}
		Expect(get()).To(BeNumerically(">=", delay))
		Expect(get()).To(BeNumerically("<", delay))
	})
})
