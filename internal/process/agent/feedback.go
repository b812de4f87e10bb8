package agent

import (
	"fmt"
	"time"

	"tarragonshore.example/tarragonshore/internal/process/logging"
	"tarragonshore.example/tarragonshore/internal/process/metrics"
	"tarragonshore.example/tarragonshore/internal/request/shedding"
	"tarragonshore.example/tarragonshore/internal/request/throttle"
)

// maxThrottleLines bounds the services that are logged at a time.
const maxThrottleLines = 8

// admissionFeedback refuses callers' requests for services whose queues refused calls of
// earlier requests. Without a throttle it does nothing. fleet.mu guards it.
type admissionFeedback struct {
	throttle *throttle.Throttle // nil: not enabled
	metrics  *metrics.Metrics
	loggedAt time.Time
}

// enableFeedback is called before the fleet is in use.
func (f *fleet) enableFeedback(m *metrics.Metrics) {
	f.feedback = admissionFeedback{
		throttle: throttle.New(shedding.DefaultOptions.Floor, f.rng, func(route string) []string { return f.plan.Services(route) }), metrics: m,
	}
}

// arrive counts a caller's request.
func (a *admissionFeedback) arrive(now time.Time, route string, importance uint8) {
	if a.throttle != nil {
		a.throttle.Arrive(now, route, importance)
	}
}

// admit decides about a request of which the shedding plan admits the share planned, and has
// admitted it. If it is refused, detail says why.
func (a *admissionFeedback) admit(now time.Time, route string, importance uint8, planned float64) (admitted bool, detail string) {
	if a.throttle == nil {
		return true, ""
	}
	admitted, service := a.throttle.Admit(now, route, importance, planned)
	if admitted {
		return true, ""
	}
	a.metrics.RecordThrottled(service)
	return false, "service " + service + " refuses calls of such requests for lack of room"
}

// treeEnded counts a caller's request that was admitted, and the services that refused a call
// of its tree.
func (f *fleet) treeEnded(now time.Time, route string, refusedBy []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.feedback.throttle == nil {
		return
	}
	f.feedback.throttle.Finish(now, route, refusedBy)
	for _, service := range refusedBy {
		f.feedback.metrics.RecordRefusedTree(service)
	}
}

// log logs the services that requests are refused for, at most once per planLogInterval.
func (a *admissionFeedback) log(now time.Time) {
	if a.throttle == nil {
		return
	}
	limits := a.throttle.Limits(now)
	if len(limits) == 0 || now.Sub(a.loggedAt) < planLogInterval {
		return
	}
	a.loggedAt = now
	for _, l := range limits[:min(len(limits), maxThrottleLines)] {
		logging.InfoEvent("plan", "throttle", "service", l.Service, "share", fmt.Sprintf("%.2f", l.Share),
			"least_share", fmt.Sprintf("%.2f", l.Least), "needed", l.Needed, "refused", l.Refused)
	}
}

// observeThrottle passes the shares below 1 to a gauge.
func (f *fleet) observeThrottle(observe func(value float64, pairs ...string)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.feedback.throttle == nil {
		return
	}
	for _, l := range f.feedback.throttle.Limits(time.Now()) {
		observe(l.Share, "pool", l.Service)
	}
}
