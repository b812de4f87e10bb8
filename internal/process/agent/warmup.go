package agent

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"tarragonshore.example/tarragonshore/internal/connection/backend"
	"tarragonshore.example/tarragonshore/internal/connection/wire"
	"tarragonshore.example/tarragonshore/internal/process/logging"
	"tarragonshore.example/tarragonshore/internal/request/warmup"
	"tarragonshore.example/tarragonshore/internal/version/catalog"
)

const (
	// healthInterval is the time between queries of the health path without a response.
	healthInterval = 100 * time.Millisecond
	// minHealthInterval is the least time between two queries, while each response is
	// overtaken by another sign of a restart.
	minHealthInterval = 10 * time.Millisecond
	// healthTimeout bounds a query. A server that is up responds at once, and one that
	// went down silently must be asked again on a new connection.
	healthTimeout = 300 * time.Millisecond
	// heartbeatAge is how long a heartbeat may have been under way, in heartbeat
	// intervals. One that arrives sooner after a sign of a restart may have been made
	// before the restart.
	heartbeatAge = 0.9
	// silentHeartbeats is the time without a heartbeat, in heartbeat intervals, after
	// which the server may have restarted. It is far below maxMissedHeartbeats, since a
	// false alarm costs one query.
	silentHeartbeats = 1.5
	// minSilentRun is the least duration of a run without a response that counts as a
	// sign of a restart, if the server sent no other response meanwhile. While runs are in
	// progress the server must have been silent for silentServiceTimes too.
	minSilentRun       = 250 * time.Millisecond
	silentServiceTimes = 4
	// maxHealthBytes bounds the body of a health response that is read.
	maxHealthBytes = 64 << 10
)

// newWarmUpLimiter returns the limiter for the host's backend server.
func newWarmUpLimiter(heartbeatInterval time.Duration, tolerance warmup.Tolerance) *warmup.Limiter {
	return warmup.New(time.Now(), tolerance, time.Duration(silentHeartbeats*float64(heartbeatInterval)))
}

// startLimiter implements runqueue.StartLimiter with the limiter of a serverState.
type startLimiter struct{ server *serverState }

// Allow implements runqueue.StartLimiter.
func (l startLimiter) Allow(now time.Time) (ok bool, wait time.Duration) {
	l.server.mu.Lock()
	defer l.server.mu.Unlock()
	return l.server.warmUp.Allow(now)
}

// Started implements runqueue.StartLimiter.
func (l startLimiter) Started(now time.Time) {
	l.server.mu.Lock()
	defer l.server.mu.Unlock()
	l.server.warmUp.Started(now)
}

// Rate implements runqueue.StartLimiter.
func (l startLimiter) Rate() float64 {
	l.server.mu.Lock()
	defer l.server.mu.Unlock()
	l.server.warmUp.Advance(time.Now())
	return l.server.warmUp.Rate()
}

// setTables applies the limits of cold servers in a version of the tables.
func (s *serverState) setTables(now time.Time, c *catalog.Catalog) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tables = c
	s.applyWarmUpRate(now)
}

// applyWarmUpRate applies the limit for the server's service. The caller holds mu.
func (s *serverState) applyWarmUpRate(now time.Time) {
	if s.tables == nil {
		return
	}
	limit := s.tables.WarmUp(cmp.Or(s.last.Service, s.service))
	s.warmUp.SetRate(now, limit.Rate)
	s.healthPath = limit.HealthPath
}

// mayHaveRestarted applies a sign that the server has restarted: until a report that was
// made later says otherwise, it is treated as cold.
func (s *serverState) mayHaveRestarted(now time.Time, sign warmup.Sign) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspect(now, sign)
}

// suspect is mayHaveRestarted for callers that hold mu.
func (s *serverState) suspect(now time.Time, sign warmup.Sign) {
	s.warmUp.Suspect(now, sign)
	if s.warmUp.Suspected() == "" {
		return // its service has no limit
	}
	s.metrics.RecordRestartSign(string(sign))
	s.wakeWatch()
}

// wakeWatch wakes watchWarmUp.
func (s *serverState) wakeWatch() {
	select {
	case s.suspected <- struct{}{}:
	default: // it is awake or will be
	}
}

// runEnded records the end of a started run, which reached the server at the given time
// at the latest; zero: it did not, or another server responded.
func (s *serverState) runEnded(now, reached time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.warmUp.Ended(now, reached)
}

// warmUpState is what the log tells of the limit for a cold server.
type warmUpState struct {
	sign    warmup.Sign // of a restart that is not refuted yet
	limited bool        // others know of the limit
}

// warmUpState returns the state of the limit, and where to ask the server how long it
// stays cold, "" if it need not be asked.
func (s *serverState) warmUpState(now time.Time) (state warmUpState, healthURL string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.warmUp.Advance(now)
	state = warmUpState{sign: s.warmUp.Suspected(), limited: s.warmUp.Rate() > 0}
	if state.sign != "" && s.healthPath != "" && s.last.Server != "" && s.viewLocked(now).State != wire.ServerDraining {
		healthURL = "http://" + s.address + s.healthPath
	}
	return state, healthURL
}

// limitsSilence reports whether a silence of the server in all its runs is a sign of a
// restart: its service limits cold servers, and it has reported nothing meanwhile.
func (s *serverState) limitsSilence(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.healthPath != "" && s.warmUp.Suspected() == "" && now.Sub(s.warmUp.Reported()) >= minSilentRun
}

// applyHealth applies a response of the health path to a query that was sent at begun. It
// is ignored, and applyHealth returns false, if the server is not the one of the last
// heartbeat, whose own heartbeats are yet to come.
func (s *serverState) applyHealth(now, begun time.Time, fields HealthFields) bool {
	s.mu.Lock()
	if fields.Server != s.last.Server {
		s.mu.Unlock()
		return false
	}
	s.warmUp.Report(now, begun, fields.WarmUp)
	if until := now.Add(fields.WarmUp); until.After(s.warmUntil) {
		s.warmUntil = until
	}
	view := s.viewLocked(now)
	s.mu.Unlock()
	s.onChange(view)
	return true
}

// watchWarmUp asks the backend server on its health path how long it stays cold, from
// each sign of a restart until it responds, and logs and announces the changes of its
// limit. It ends when the agent stops.
func (a *Agent) watchWarmUp() {
	client := &http.Client{Timeout: healthTimeout, Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: healthTimeout}).DialContext,
		// A connection from before a restart says nothing about the server.
		DisableKeepAlives: true,
	}}
	ticker := time.NewTicker(healthInterval)
	defer ticker.Stop()
	var former warmUpState
	querying := make(chan struct{}, 1) // has an element while a query is in progress
	for {
		select {
		case <-a.ctx.Done():
			return
		case <-ticker.C:
		case <-a.server.suspected:
		}
		if now := time.Now(); a.server.limitsSilence(now) && a.executor.waitsInVain(now) {
			a.server.mayHaveRestarted(now, warmup.SignNoResponse)
		}
		state, url := a.server.warmUpState(time.Now())
		if state != former {
			a.warmUpChanged(state, former)
			former = state
		}
		if url == "" {
			continue
		}
		select {
		case querying <- struct{}{}:
			a.wg.Go(func() {
				a.queryHealth(client, url)
				<-querying
			})
		default: // the changes above are announced while a server that hangs is asked
		}
	}
}

// warmUpChanged logs a change of the limit for a cold server, and announces it to the
// senders.
func (a *Agent) warmUpChanged(state, former warmUpState) {
	if state.sign == warmup.SignHeartbeatsMissed && former.sign != state.sign {
		a.deps.Metrics.RecordRestartSign(string(state.sign)) // no event comes with it
	}
	if ok, dropped := a.warmUpLog.Allow(time.Now()); ok {
		view := a.server.view(time.Now())
		logging.InfoEvent("server", "warm-up", "server", view.Server, "service", view.Service, "limited", state.limited,
			"sign", string(state.sign), "lines_dropped", dropped)
	}
	if state.limited != former.limited {
		a.executor.applyServer(a.server.view(time.Now()))
		a.broadcast(0)
	}
}

// queryHealth sends one query to the health path and applies the response. If another
// sign of a restart overtook the response, watchWarmUp asks again.
func (a *Agent) queryHealth(client *http.Client, url string) {
	begun := time.Now()
	fields, ok := a.getHealth(client, url)
	ok = ok && a.server.applyHealth(time.Now(), begun, fields)
	a.deps.Metrics.RecordHealthQuery(ok)
	if !ok {
		return // asked again after healthInterval
	}
	pause(a.ctx, minHealthInterval)
	a.server.wakeWatch()
}

func (a *Agent) getHealth(client *http.Client, url string) (fields HealthFields, ok bool) {
	ctx, cancel := context.WithTimeout(a.ctx, healthTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return fields, false
	}
	response, err := client.Do(request)
	if err != nil {
		return fields, false
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxHealthBytes)) // the header is all that is needed
	return a.deps.Protocol.ReadHealth(response.StatusCode, response.Header)
}

// waitsInVain reports whether the server has sent no response for some time, although runs
// are in progress. Attempts that are started meanwhile could all reach it at once when it
// comes back.
func (e *executor) waitsInVain(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	limit := max(minSilentRun, silentServiceTimes*e.queue.ServiceTime())
	if now.Sub(e.lastResponse) < limit {
		return false
	}
	for _, r := range e.runs {
		if !r.started.IsZero() && now.Sub(r.started) >= limit {
			return true
		}
	}
	return false
}

// endRun tells the limiter for a cold server of the end of a run, and of what it shows about
// a restart. The caller holds e.mu.
func (e *executor) endRun(now time.Time, r *run, answer *wire.Answer, response *backend.Response, err error) {
	sign := e.restartSign(now, r, err)
	if sign != "" {
		e.server.mayHaveRestarted(now, sign)
	}
	e.server.runEnded(now, latestArrival(now, r, answer, sign))
	if response != nil {
		e.lastResponse = now
	}
}

// restartSign returns what the end of a run tells about a restart of the server, "" if it
// tells nothing. The caller holds e.mu. A refused connection is recorded by
// serverState.connectionRefused.
func (e *executor) restartSign(now time.Time, r *run, err error) warmup.Sign {
	var failure *backend.Error
	switch {
	case r.otherServer:
		return warmup.SignOtherServer
	case !errors.As(err, &failure) || failure.NotExecuted:
		return ""
	case connectionLost(failure.Err):
		return warmup.SignConnectionLost
	case e.lastResponse.Before(r.started) && now.Sub(r.started) >= minSilentRun:
		return warmup.SignNoResponse
	}
	return ""
}

// latestArrival returns the time until which a run may have reached the server, zero if
// the run does not count. A connection that is lost at a restart was opened to the former
// process, so that its request arrived soon after the start of the run or at no process
// that is there now.
func latestArrival(now time.Time, r *run, answer *wire.Answer, sign warmup.Sign) time.Time {
	switch {
	case !answer.Reached || r.otherServer:
		return time.Time{}
	case sign == warmup.SignConnectionLost:
		return r.started
	}
	return now
}

// connectionLost reports whether the server closed or reset the connection of an
// exchange before its response was complete.
func connectionLost(err error) bool {
	for _, lost := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, lost) {
			return true
		}
	}
	return false
}
