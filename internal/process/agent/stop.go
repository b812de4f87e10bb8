package agent

import (
	"context"
	"time"

	"tarragonshore.example/tarragonshore/internal/process/logging"
)

const (
	// lameDuckTime is how long a stopping daemon keeps serving while its readiness
	// check fails, so that callers move to other daemons. With a short grace time, it ends
	// with the time in which their requests are accepted.
	lameDuckTime = 2300 * time.Millisecond
	// acceptShare is the fraction of the grace time in which callers' requests are
	// still accepted. Some callers do not move, and what is accepted must finish before
	// the process is killed.
	acceptShare = 0.44
	// killMargin is the time kept free before the platform kills the process: closing
	// waits for dials in progress and for the last log lines to be written.
	killMargin = 800 * time.Millisecond
	// pollPause is the time between checks for requests in flight, and the pause after
	// a failed read of a status.
	pollPause = 20 * time.Millisecond
	// idleTime is how long nothing must have been in flight before the process exits.
	idleTime = 200 * time.Millisecond
	// withdrawTime is the time before the deadline of a stop at which the attempts that
	// still wait in queues are withdrawn, so that their callers get an answer.
	withdrawTime = 200 * time.Millisecond
	// callFinishTime is the time before the withdrawal in which no new call is accepted
	// whose own deadline is later: it could be cut off.
	callFinishTime = time.Second
)

// stopSchedule determines what a daemon still serves after a graceful stop has begun.
type stopSchedule struct {
	begun time.Time
	grace time.Duration // until the platform kills the process
}

// accepts reports whether a request that arrives at now is still served. Calls made by
// the local backend server belong to runs in progress and are always served.
func (s stopSchedule) accepts(now time.Time, fromCaller bool) bool {
	return !fromCaller || now.Before(s.acceptsUntil())
}

// lameDuckUntil returns the time from which the daemon ends once nothing is in progress.
func (s stopSchedule) lameDuckUntil() time.Time {
	return s.begun.Add(min(lameDuckTime, s.acceptsUntil().Sub(s.begun)))
}

// acceptsUntil returns the time from which callers' requests are refused.
func (s stopSchedule) acceptsUntil() time.Time {
	return s.begun.Add(time.Duration(acceptShare * float64(s.grace)))
}

// acceptsCall reports whether a call of a run in progress that arrives at now and expires
// at deadline will have been answered when the process exits.
func (s stopSchedule) acceptsCall(now, deadline time.Time) bool {
	return s.accepts(now, true) || now.Before(s.withdrawal().Add(-callFinishTime)) || deadline.Before(s.withdrawal())
}

// withdrawal returns the time at which attempts that wait in queues are withdrawn.
func (s stopSchedule) withdrawal() time.Time { return s.deadline().Add(-withdrawTime) }

// deadline returns the time by which the process has to exit.
func (s stopSchedule) deadline() time.Time { return s.begun.Add(s.grace - killMargin) }

// Stop stops the agent gracefully. Requests that were accepted are completed within the
// grace time, and those that arrive later are refused as not executed for as long as
// connections are open. Of the requests that are still in progress at the end, those that
// no backend server has started are refused too; the others are cut off.
func (a *Agent) Stop(ctx context.Context) error {
	schedule := stopSchedule{begun: time.Now(), grace: a.cfg.StopGrace}
	logging.InfoEvent("agent", "stopping", "member", a.cfg.Member, "grace", a.cfg.StopGrace)
	ctx, cancel := context.WithDeadline(ctx, schedule.deadline())
	defer cancel()
	a.entry.stopping.Store(&schedule)
	a.leaving.Store(true)
	a.executor.drain()
	a.broadcast(0)
	a.tables.answerParked() // the askers turn to the zone's next reader
	accepting, endAccepting := context.WithDeadline(ctx, schedule.acceptsUntil())
	defer endAccepting()
	unregistered := make(chan struct{})
	go func() {
		defer close(unregistered)
		// Until then, a daemon that starts has to know of this one, which takes its share
		// of the workspaces' rates.
		<-accepting.Done()
		a.unregister(ctx)
	}()
	pause(ctx, time.Until(schedule.lameDuckUntil()))
	a.drain(ctx, schedule)
	a.dispatcher.withdraw()
	a.executor.withdrawQueued(drainingRefusal("the daemon is stopping"))
	endAccepting()
	a.stopCallerPort(ctx)
	<-unregistered
	a.Close()
	logging.InfoEvent("agent", "stopped", "member", a.cfg.Member, "in_flight", a.entry.inFlight.Load(), "runs", a.executor.inProgress())
	return nil
}

// Close stops the agent at once and aborts the requests in flight.
func (a *Agent) Close() {
	a.cancel()
	for _, server := range a.servers {
		_ = server.Close() // fails if the listener is already closed
	}
	if a.statusConn != nil {
		_ = a.statusConn.Close() // fails if Close was called before
	}
	a.hub.Close()
}

// stopCallerPort shuts down the port for callers.
func (a *Agent) stopCallerPort(ctx context.Context) {
	if a.callerListener == nil {
		return
	}
	if err := a.callerServer.Stop(ctx, a.callerListener); err != nil {
		logging.WarningEvent("agent", "callers-cut", "error", err)
	}
}

// drain waits until no accepted request and no run has been in progress for idleTime. If
// the time of the withdrawal comes before, it logs what is still in progress.
func (a *Agent) drain(ctx context.Context, schedule stopSchedule) {
	ctx, cancel := context.WithDeadline(ctx, schedule.withdrawal())
	defer cancel()
	idleSince := time.Now()
	for ctx.Err() == nil {
		if a.entry.accepted.Load() > 0 || a.executor.inProgress() > 0 {
			idleSince = time.Now()
		}
		if time.Since(idleSince) > idleTime {
			return
		}
		pause(ctx, pollPause)
	}
	requestID, oldest := a.executor.oldestRun(time.Now())
	logging.WarningEvent("agent", "stop-not-drained", "accepted", a.entry.accepted.Load(), "runs", a.executor.inProgress(),
		"oldest_run", requestID, "oldest_ms", oldest.Milliseconds())
}
