package agent

import (
	"net/http"
	"time"

	"tarragonshore.example/tarragonshore/internal/connection/backend"
	"tarragonshore.example/tarragonshore/internal/connection/wire"
	"tarragonshore.example/tarragonshore/internal/process/logging"
	"tarragonshore.example/tarragonshore/internal/request/problem"
)

const (
	// maxFailureLines is the number of log lines per second about requests and
	// attempts that were refused or failed.
	maxFailureLines = 60
	// maxSuccessLines is the number of log lines per second about those that succeeded.
	maxSuccessLines = 5
	// maxStampBytes is the number of bytes of a response's stamp that are logged, which
	// the backend server can make as long as a head.
	maxStampBytes = 64
)

// requestLog writes log lines about requests and attempts at a bounded rate.
type requestLog struct {
	// stampOf returns the backend server's stamp of a response.
	stampOf   func(header []wire.HeaderField) string
	failures  *logging.Limiter
	successes *logging.Limiter
}

func newRequestLog(stampOf func([]wire.HeaderField) string) *requestLog {
	return &requestLog{stampOf: stampOf, failures: logging.NewLimiter(maxFailureLines), successes: logging.NewLimiter(maxSuccessLines)}
}

// allow reports whether a line may be written, and how many were dropped since the
// last one.
func (l *requestLog) allow(failed bool) (ok bool, dropped int) {
	if failed {
		return l.failures.Allow(time.Now())
	}
	return l.successes.Allow(time.Now())
}

// stamp returns the first maxStampBytes bytes of a response's stamp.
func (l *requestLog) stamp(header []wire.HeaderField) string {
	stamp := l.stampOf(header)
	return stamp[:min(len(stamp), maxStampBytes)]
}

// logRequest logs the end of a request that entered at this daemon.
func (l *requestLog) logRequest(req *inboundRequest, status int, refusal *problem.Problem, elapsed time.Duration) {
	ok, dropped := l.allow(refusal != nil || status >= http.StatusInternalServerError)
	if !ok {
		return
	}
	kind, detail, executed := "", "", ""
	if refusal != nil {
		kind, detail, executed = string(refusal.Kind), refusal.Detail, string(refusal.Executed)
	}
	logging.InfoEvent("entry", "request", "request", req.fields.RequestID, "route", req.routeName(), "workspace", req.workspace,
		"importance", int(req.importance), "objective_ms", leftMS(req.objective, req.arrived), "version", uint64(req.tablesVersion), "version_age_ms", ageMS(req.tablesAge), "status", status,
		"refusal", kind, "executed", executed, "detail", detail, "took_ms", elapsed.Milliseconds(), "ahead", req.ranAhead, "lines_dropped", dropped)
}

// leftMS returns the time from now until the objective for a log line, below 0 if it has
// passed and "" if there is none.
func leftMS(objective, now time.Time) any {
	if objective.IsZero() {
		return ""
	}
	return objective.Sub(now).Milliseconds()
}

// logAttempt logs the result of an attempt and the decision that followed.
func (l *requestLog) logAttempt(c *call, server string, m memberAddress, result *attemptResult, reason string) {
	ok, dropped := l.allow(result.refusal != nil || result.response.Status >= http.StatusInternalServerError)
	if !ok {
		return
	}
	status, stamp, kind, detail, queueMS, serviceMS := 0, "", "", "", uint32(0), uint32(0)
	if result.response != nil {
		status, stamp = result.response.Status, l.stamp(result.response.Header)
	}
	if result.refusal != nil {
		kind, detail = string(result.refusal.Kind), result.refusal.Detail
	}
	if result.answer != nil {
		queueMS, serviceMS = result.answer.QueueMS, result.answer.ServiceMS
	}
	logging.InfoEvent("dispatcher", "attempt", "request", c.requestID, "route", c.route, "service", c.service, "server", server,
		"member", m.name, "number", len(c.tried), "status", status, "stamp", stamp, "refusal", kind, "detail", detail, "queue_ms", queueMS,
		"service_ms", serviceMS, "left_ms", time.Until(c.deadline).Milliseconds(), "objective_ms", leftMS(c.objective, time.Now()), "next", reason, "lines_dropped", dropped)
}

// logRun logs a run at the local backend server that was refused or abandoned, or whose
// response is a failure or may be the one to another request.
func (l *requestLog) logRun(r *run, answer *wire.Answer, serviceTime time.Duration, response *backend.Response, use backend.ConnectionUse, err error) {
	failed := response != nil && response.Status >= http.StatusInternalServerError
	if answer.Refusal == nil && !r.abandoned && !failed && len(use.Skipped) == 0 && !use.Repeated {
		return // the entry daemon logs the response
	}
	ok, dropped := l.allow(true)
	if !ok {
		return
	}
	status, stamp, kind, cause := 0, "", "", ""
	if response != nil {
		status, stamp = response.Status, l.stamp(backend.HeaderFields(response.Header))
	}
	if answer.Refusal != nil {
		kind, cause = answer.Refusal.Kind, answer.Refusal.Detail
	}
	if err != nil {
		cause = err.Error()
	}
	logging.InfoEvent("executor", "run", "request", r.attempt.RequestID, "server", r.attempt.Server, "importance", int(r.attempt.Context.Importance),
		"objective_ms", leftMS(r.objective, r.started), "queue_ms", answer.QueueMS, "service_ms", serviceTime.Milliseconds(), "status", status, "stamp", stamp, "refusal", kind, "detail", cause, "abandoned", r.abandoned,
		"connection", use.Connection, "carried", use.Carried, "idle_ms", use.Idle.Milliseconds(), "skipped", len(use.Skipped),
		"skipped_status", use.SkippedStatus, "skipped_id", use.SkippedID, "repeated", use.Repeated, "lines_dropped", dropped)
}
