package agent

import (
	"cmp"
	"slices"
	"time"

	"tarragonshore.example/tarragonshore/internal/connection/wire"
	"tarragonshore.example/tarragonshore/internal/process/logging"
	"tarragonshore.example/tarragonshore/internal/request/problem"
	"tarragonshore.example/tarragonshore/internal/request/serverspeed"
)

// maxReturnLines is the number of log lines per second about returned attempts.
const maxReturnLines = 1

// reportSpeed applies the speed that the backend server reported with the response to a run.
// It returns true if the server has become slower. The caller holds mu.
func (e *executor) reportSpeed(now time.Time, r *run, sample time.Duration) (slower bool) {
	load := r.serverLoad
	switch {
	case load != nil && load.Slowdown > 0:
		slower = e.speed.Report(now, load.Slowdown)
		e.speed.RecordRun(sample)
	case sample > 0:
		e.speed.Forget() // a complete response without the value
	}
	e.applySpeed(now)
	return slower
}

// applySpeed sets the service time of the queue if the server reports its speed. The caller
// holds mu.
func (e *executor) applySpeed(now time.Time) {
	if e.speed.Known() {
		e.queue.SetServiceTime(e.speed.ServiceTime(now))
	}
}

// returnLate refuses, as not executed, the waiting attempts that the slower server cannot
// finish within their objectives and that their senders can send elsewhere. starting lists the
// attempts that start next, which do not wait any more. The caller holds mu.
func (e *executor) returnLate(now time.Time, starting []wire.AttemptID, out *[]outgoingAnswer) {
	if e.queue.Waiting() == 0 {
		return
	}
	queued := make([]*run, 0, e.queue.Waiting())
	for _, r := range e.runs {
		if r.started.IsZero() && !slices.Contains(starting, r.attempt.ID) {
			queued = append(queued, r)
		}
	}
	slices.SortFunc(queued, func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.attempt.Context.Importance, b.attempt.Context.Importance), a.objective.Compare(b.objective), a.arrived.Compare(b.arrived))
	})
	waiting := make([]serverspeed.Waiting, len(queued))
	for i, r := range queued {
		waiting[i] = serverspeed.Waiting{Arrived: r.arrived, Objective: r.objective, Movable: r.movable(now)}
	}
	returned := 0
	refused := problem.New(problem.KindOverloaded, "the backend server has become slower").WithRetryAfter(briefRetryAfter)
	for _, i := range e.speed.Late(now, waiting, e.queue.Limit()) {
		attempt := queued[i].attempt
		if !e.withdrawLocked(attempt.ID, refused, out) {
			continue
		}
		e.metrics.RecordReturned(attempt.Pool)
		returned++
	}
	if returned == 0 {
		return
	}
	if ok, dropped := e.returnLines.Allow(now); ok {
		logging.InfoEvent("executor", "returned", "attempts", returned, "waiting", e.queue.Waiting(), "slowdown", e.speed.Percent(now),
			"service_ms", e.queue.ServiceTime().Milliseconds(), "lines_dropped", dropped)
	}
}

// slowdown returns the current speed of the backend server in percent of its normal service
// time, 0 if it does not report it, as a gauge.
func (e *executor) slowdown() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return float64(e.speed.Percent(time.Now()))
}

// movable reports whether the sender of a waiting attempt can still send it to another
// upstream: shouldRetry ends a call with less than minRetryTime left.
func (r *run) movable(now time.Time) bool {
	return r.attempt.Movable && r.deadline.Sub(now) > 2*minRetryTime
}
