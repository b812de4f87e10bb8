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

var _ = Describe("a backend server whose caller has disconnected", func() {
	busy := func(ignoreCancel bool) int64 {
		b := NewBackend(BackendConfig{Slots: 1, ServiceTime: 50 * time.Millisecond, ConstantServiceTime: true, IgnoreCancel: ignoreCancel})
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

	// Guards against servers that drop cancelled requests in the baseline without
	// overload control, which would hide the work that it wastes.
	It("finishes the request if it ignores cancellation, and stops it otherwise", func() {
		Expect(busy(true)).To(BeNumerically(">=", 50_000))
		Expect(busy(false)).To(BeNumerically("<", 50_000))
	})
})

var _ = Describe("emulated network delays", func() {
	// Guards against the latency between zones being added to calls within a zone.
	It("are a round trip between zones and zero within a zone", func() {
		response := &http.Response{Header: http.Header{HeaderZone: {"zone-2"}}}
		Expect(ZoneDelay(response, "zone-1", time.Millisecond)).To(Equal(2 * time.Millisecond))
		Expect(ZoneDelay(response, "zone-2", time.Millisecond)).To(BeZero())
		Expect(ZoneDelay(&http.Response{}, "zone-1", time.Millisecond)).To(BeZero())
	})

	// Guards against the connection delay being added to each request.
	It("are added once per connection", func() {
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
