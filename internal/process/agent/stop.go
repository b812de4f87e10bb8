package agent

import (
	"context"
	"sync/atomic"
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
	// killShare is the fraction of the grace time kept free before the platform kills the
	// process, at most maxKillMargin: closing waits for dials in progress and for the last log
	// lines to be written. Only what is at work in the last sixth of the grace time may be cut.
	killShare     = 0.14
	maxKillMargin = 800 * time.Millisecond
	// pollPause is the time between checks for requests in flight, and the pause after
	// a failed read of a status.
	pollPause = 20 * time.Millisecond
	// idleTime is how long nothing must have been in flight before the process exits.
	idleTime = 200 * time.Millisecond
	// withdrawTime is the time before the deadline of a stop at which the attempts that
	// still wait in queues are withdrawn, so that their callers get an answer.
	withdrawTime = 200 * time.Millisecond
	// finishTime is the time before the withdrawal from which no attempt is started whose
	// deadline is later: it could be cut off.
	finishTime = time.Second
)

// stopSchedule determines what a daemon still does after a graceful stop has begun.
//
// After the time in which callers are served, only calls of runs in progress are accepted,
// and only those that expire before the process ends: a call that is cut off fails its run
// just as one that is refused, but may have run. Since a request without a key is not known
// for certain to be a call, the same bound keeps those of callers from being cut off.
type stopSchedule struct {
	begun time.Time
	grace time.Duration // until the platform kills the process
}

// accepts reports whether a request that arrives at now and expires at deadline is served.
// fromCaller is false if it is taken for a call of the local backend server.
func (s stopSchedule) accepts(now time.Time, fromCaller bool, deadline time.Time) bool {
	return now.Before(s.acceptsUntil()) || !fromCaller && s.finishes(deadline)
}

// starts reports whether an attempt of an accepted request, which expires at deadline, is
// started at now.
func (s stopSchedule) starts(now, deadline time.Time) bool {
	return now.Before(s.startsUntil()) || s.finishes(deadline)
}

// finishes reports whether what expires at deadline has an answer when the process ends.
func (s stopSchedule) finishes(deadline time.Time) bool { return deadline.Before(s.withdrawal()) }

// lameDuckUntil returns the time from which the daemon ends once nothing is in progress.
func (s stopSchedule) lameDuckUntil() time.Time {
	return s.begun.Add(min(lameDuckTime, s.acceptsUntil().Sub(s.begun)))
}

// acceptsUntil returns the time from which callers' requests are refused.
func (s stopSchedule) acceptsUntil() time.Time {
	return s.begun.Add(time.Duration(acceptShare * float64(s.grace)))
}

// startsUntil returns the time from which attempts are not started that expire after the
// withdrawal.
func (s stopSchedule) startsUntil() time.Time {
	if t := s.withdrawal().Add(-finishTime); t.After(s.acceptsUntil()) {
		return t
	}
	return s.acceptsUntil()
}

// withdrawal returns the time at which attempts that wait in queues are withdrawn.
func (s stopSchedule) withdrawal() time.Time { return s.deadline().Add(-withdrawTime) }

// deadline returns the time by which the process has to exit.
func (s stopSchedule) deadline() time.Time {
	margin := min(maxKillMargin, time.Duration(killShare*float64(s.grace)))
	return s.begun.Add(s.grace - margin)
}

// stopState tells the parts of a daemon what they may still begin. The zero value is that of
// a daemon that is not stopping.
type stopState struct {
	schedule atomic.Pointer[stopSchedule]
	// withdrawn is true at the end of a stop, when nothing begins any more.
	withdrawn atomic.Bool
}

// begun reports whether a stop has begun.
func (s *stopState) begun() bool { return s.schedule.Load() != nil }

// accepts is stopSchedule.accepts for the stop in progress, true if there is none.
func (s *stopState) accepts(now time.Time, fromCaller bool, deadline time.Time) bool {
	schedule := s.schedule.Load()
	return schedule == nil || !s.withdrawn.Load() && schedule.accepts(now, fromCaller, deadline)
}

// starts is stopSchedule.starts for the stop in progress, true if there is none.
func (s *stopState) starts(now, deadline time.Time) bool {
	schedule := s.schedule.Load()
	return schedule == nil || !s.withdrawn.Load() && schedule.starts(now, deadline)
}

// Stop stops the agent gracefully. Requests that were accepted are completed within the
// grace time, and those that arrive later are refused as not executed for as long as
// connections are open. Of the requests that are still in progress at the end, those that
// no backend server has started are refused too; the others are cut off.
func (a *Agent) Stop(ctx context.Context) error {
	schedule := stopSchedule{begun: time.Now(), grace: a.cfg.StopGrace}
	logging.InfoEvent("agent", "stopping", "member", a.cfg.Member, "grace", a.cfg.StopGrace)
	ctx, cancel := context.WithDeadline(ctx, schedule.deadline())
	defer cancel()
	a.dispatcher.stop.schedule.Store(&schedule)
	a.leaving.Store(true)
	a.executor.drain()
	lateStarts := time.AfterFunc(time.Until(schedule.startsUntil()), func() { a.withdrawLateStarts(schedule) })
	defer lateStarts.Stop()
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
	a.dispatcher.stop.withdrawn.Store(true)
	a.dispatcher.withdraw(time.Time{})
	a.executor.withdrawQueued(time.Time{}, drainingRefusal("the daemon is stopping"))
	endAccepting()
	a.stopCallerPort(ctx)
	<-unregistered
	a.Close()
	logging.InfoEvent("agent", "stopped", "member", a.cfg.Member, "in_flight", a.entry.inFlight.Load(), "runs", a.executor.inProgress())
	return nil
}

// withdrawLateStarts withdraws the attempts that have not started and expire after the
// withdrawal, here and at other hosts, since they could be cut off from now on.
func (a *Agent) withdrawLateStarts(schedule stopSchedule) {
	sent := a.dispatcher.withdraw(schedule.withdrawal())
	queued := a.executor.withdrawQueued(schedule.withdrawal(), drainingRefusal("the daemon is stopping"))
	logging.InfoEvent("agent", "late-starts-withdrawn", "sent", sent, "queued", queued, "accepted", a.entry.accepted.Load(), "runs", a.executor.inProgress())
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
