package agent

import (
	"net/http"
	"time"

	"tarragonshore.example/tarragonshore/internal/connection/wire"
	"tarragonshore.example/tarragonshore/internal/process/logging"
	"tarragonshore.example/tarragonshore/internal/request/problem"
)

const (
	// failureLines bounds the lines per second and kind about requests that were
	// refused, failed or sent again.
	failureLines = 60
	// successLines bounds those about requests that went well.
	successLines = 5
)

// requestLog writes the lines about requests, at a bounded rate.
type requestLog struct {
	failures  *logging.Limiter
	successes *logging.Limiter
}

func newRequestLog() *requestLog {
	return &requestLog{failures: logging.NewLimiter(failureLines), successes: logging.NewLimiter(successLines)}
}

// allow returns whether a line may be written, and how many were not before it.
func (l *requestLog) allow(failed bool) (ok bool, dropped int) {
	if failed {
		return l.failures.Allow(time.Now())
	}
	return l.successes.Allow(time.Now())
}

// entered writes the end of a caller's request.
func (l *requestLog) entered(q *received, status int, refusal *problem.Problem, took time.Duration) {
	ok, dropped := l.allow(refusal != nil || status >= http.StatusInternalServerError)
	if !ok {
		return
	}
	kind, detail, executed := "", "", ""
	if refusal != nil {
		kind, detail, executed = string(refusal.Kind), refusal.Detail, string(refusal.Executed)
	}
	logging.Event("entry", "request", "request", q.fields.RequestID, "route", q.routeName(), "workspace", q.workspace,
		"importance", int(q.importance), "version", uint64(q.version), "version_age_ms", q.age.Milliseconds(), "status", status,
		"refusal", kind, "executed", executed, "detail", detail, "took_ms", took.Milliseconds(), "lines_dropped", dropped)
}

// attempted writes what followed an attempt.
func (l *requestLog) attempted(c *call, server string, m memberAddress, end *attemptEnd, reason string) {
	ok, dropped := l.allow(end.refusal != nil || end.response.Status >= http.StatusInternalServerError)
	if !ok {
		return
	}
	status, kind, detail, queueMS, serviceMS := 0, "", "", uint32(0), uint32(0)
	if end.response != nil {
		status = end.response.Status
	}
	if end.refusal != nil {
		kind, detail = string(end.refusal.Kind), end.refusal.Detail
	}
	if end.answer != nil {
		queueMS, serviceMS = end.answer.QueueMS, end.answer.ServiceMS
	}
	logging.Event("dispatcher", "attempt", "request", c.requestID, "route", c.route, "service", c.service, "server", server,
		"member", m.name, "number", len(c.tried), "status", status, "refusal", kind, "detail", detail, "queue_ms", queueMS,
		"service_ms", serviceMS, "left_ms", time.Until(c.deadline).Milliseconds(), "next", reason, "lines_dropped", dropped)
}

// executed writes the end of a run at the own backend server.
func (l *requestLog) executed(r *run, message *wire.Answer, service time.Duration, err error) {
	if message.Refusal == nil && !r.dropped {
		return // the entry writes it
	}
	ok, dropped := l.allow(true)
	if !ok {
		return
	}
	kind, cause := "", ""
	if message.Refusal != nil {
		kind, cause = message.Refusal.Kind, message.Refusal.Detail
	}
	if err != nil {
		cause = err.Error()
	}
	logging.Event("executor", "run", "request", r.attempt.RequestID, "server", r.attempt.Server, "queue_ms", message.QueueMS,
		"service_ms", service.Milliseconds(), "refusal", kind, "detail", cause, "abandoned", r.dropped, "lines_dropped", dropped)
}
