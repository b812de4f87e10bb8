package daemon

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"tarragonshore.example/tarragonshore/internal/connection/peer"
	"tarragonshore.example/tarragonshore/internal/connection/wire"
	"tarragonshore.example/tarragonshore/internal/process/logging"
	"tarragonshore.example/tarragonshore/internal/process/ratelimit"
	"tarragonshore.example/tarragonshore/internal/request/execution"
	"tarragonshore.example/tarragonshore/internal/request/problem"
	"tarragonshore.example/tarragonshore/internal/version/tables"
)

// keeperDialTimeout bounds the dialling of a link to a keeper. It leaves time within
// ratelimit.KeeperReplyTimeout to ask again.
const keeperDialTimeout = 100 * time.Millisecond

// keeperRedialDelay is how long a keeper may leave a request unanswered before a new
// link to it is dialled. It is far above the usual time of a reply (a few milliseconds
// between zones) and leaves time within ratelimit.KeeperReplyTimeout to ask on that link.
const keeperRedialDelay = 80 * time.Millisecond

// rates is the holder side of rate limiting: it requests grants of rate tokens from
// keepers and spends the tokens on callers' requests. mu guards the fields below it.
type rates struct {
	self       ratelimit.DaemonID
	members    *members
	rateGroups *rateGroups
	// active, with a capacity of 1, has an element if the holder may no longer be
	// idle.
	active chan struct{}

	// limitsMu guards limits and resumeTimer. It is held while the limits are passed to
	// the holder and the keepers, under their own locks, so that both get them in
	// the same order.
	limitsMu    sync.Mutex
	limits      *ratelimit.Limits
	resumeTimer *time.Timer // applies the limits when a workspace's suspension ends, or nil

	mu     sync.Mutex
	holder *ratelimit.Holder
	// waiting holds a channel per workspace that has requests waiting for tokens. It
	// is closed to make them ask the holder again.
	waiting map[string]chan struct{}
	// linkNumbers maps the numbers of unanswered requests to keepers to the numbers of
	// the links on which they were sent.
	linkNumbers map[uint64]uint64
}

func newRates(self execution.Peer, members *members, rateGroups *rateGroups, groupCount uint32, rng *rand.Rand) *rates {
	return &rates{
		self:        ratelimit.DaemonID{Member: self.Member, Incarnation: self.Incarnation},
		members:     members,
		rateGroups:  rateGroups,
		active:      make(chan struct{}, 1),
		limits:      ratelimit.NewLimits(),
		holder:      ratelimit.NewHolder(groupCount, rng),
		waiting:     make(map[string]chan struct{}),
		linkNumbers: make(map[uint64]uint64),
	}
}

// setLimits applies the rate limits of a new version of the tables.
func (r *rates) setLimits(workspaces []tables.Workspace) {
	r.limitsMu.Lock()
	defer r.limitsMu.Unlock()
	r.limits.Set(time.Now(), workspaces)
	r.applyLimits()
}

// applyLimits applies the limits in force now, and sets a timer to do so again when
// the next suspension ends. The caller holds limitsMu.
func (r *rates) applyLimits() {
	now := time.Now()
	workspaces, next := r.limits.InForce(now)
	r.mu.Lock()
	r.holder.SetLimits(now, workspaces)
	r.mu.Unlock()
	r.rateGroups.setLimits(now, workspaces)
	if r.resumeTimer != nil {
		r.resumeTimer.Stop()
		r.resumeTimer = nil
	}
	if !next.IsZero() {
		r.resumeTimer = time.AfterFunc(next.Sub(now), func() {
			r.limitsMu.Lock()
			defer r.limitsMu.Unlock()
			r.applyLimits()
		})
	}
}

// take spends a rate token of the workspace, or returns a refusal.
func (r *rates) take(ctx context.Context, requestID, workspace string) *problem.Problem {
	firstTakeAt := time.Now()
	r.mu.Lock()
	decision := r.holder.Take(firstTakeAt, workspace)
	for decision.Verdict == ratelimit.AwaitGrant {
		wake, ok := r.waiting[workspace]
		if !ok {
			wake = make(chan struct{})
			r.waiting[workspace] = wake
		}
		r.mu.Unlock()
		select {
		case r.active <- struct{}{}:
		default: // already signalled
		}
		if decision.Send {
			r.flush()
		}
		if !r.waitForTokens(ctx, wake, firstTakeAt) {
			r.mu.Lock()
			r.holder.CancelWait(workspace)
			r.mu.Unlock()
			return problem.New(problem.KindDeadline, "no rate token arrived before the request's deadline")
		}
		r.mu.Lock()
		decision = r.holder.RetryTake(time.Now(), workspace, firstTakeAt)
	}
	r.mu.Unlock()
	if decision.Send {
		go r.flush()
	}
	logging.DebugEvent("rates", "rate", "request", requestID, "workspace", workspace, "reason", string(decision.Reason))
	if decision.Reason == ratelimit.ReasonZeroLimit {
		decision = r.checkSuspended(workspace, decision)
	}
	return rateProblem(workspace, decision)
}

// checkSuspended returns the refusal of a workspace that is suspended after an edit of
// its limits (see ratelimit.SuspendTime), or the given decision if it is not suspended.
func (r *rates) checkSuspended(workspace string, decision ratelimit.Decision) ratelimit.Decision {
	r.limitsMu.Lock()
	defer r.limitsMu.Unlock()
	if left := r.limits.Suspended(time.Now(), workspace); left > 0 {
		return ratelimit.Decision{Verdict: ratelimit.RateUnavailable, Reason: ratelimit.ReasonSuspended, RetryAfter: left}
	}
	return decision
}

// waitForTokens waits until wake is closed or ratelimit.KeeperReplyTimeout has passed
// since firstTakeAt. It returns false if ctx ends first.
func (r *rates) waitForTokens(ctx context.Context, wake <-chan struct{}, firstTakeAt time.Time) bool {
	timer := time.NewTimer(time.Until(firstTakeAt.Add(ratelimit.KeeperReplyTimeout)))
	defer timer.Stop()
	select {
	case <-wake:
		return true
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func rateProblem(workspace string, decision ratelimit.Decision) *problem.Problem {
	switch decision.Verdict {
	case ratelimit.RateExceeded:
		return problem.New(problem.KindRateExceeded, "workspace "+workspace+": "+string(decision.Reason)).WithRetryAfter(decision.RetryAfter)
	case ratelimit.RateUnavailable:
		return problem.New(problem.KindRateUnavailable, "workspace "+workspace+": "+string(decision.Reason)).WithRetryAfter(decision.RetryAfter)
	default:
		return nil
	}
}

// run sends the holder's requests until ctx ends. It sleeps while the holder is
// idle: 100 wake-ups per second would be most of the CPU time of an idle daemon.
func (r *rates) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.active:
		}
		r.runActive(ctx)
	}
}

// runActive sends the holder's requests every ratelimit.HolderTick until the holder is
// idle or ctx ends.
func (r *rates) runActive(ctx context.Context) {
	ticker := time.NewTicker(ratelimit.HolderTick)
	defer ticker.Stop()
	for idle := false; !idle; idle = r.flush() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// flush sends the holder's pending requests to the keepers. It returns whether the
// holder is idle.
func (r *rates) flush() (idle bool) {
	r.mu.Lock()
	requests := r.holder.GrantRequests(time.Now())
	idle = r.holder.Idle()
	r.mu.Unlock()
	for i := range requests {
		r.send(&requests[i])
	}
	return idle
}

// send sends a request to the keeper of its group.
func (r *rates) send(request *wire.GrantRequest) {
	keeper, ok := r.rateGroups.keeperOf(request.Group)
	if !ok {
		r.requestFailed(request.Number)
		return
	}
	if keeper.Member == r.self.Member {
		reply := r.rateGroups.grant(time.Now(), r.self, request)
		r.applyReply(&reply)
		return
	}
	if link, ok := r.members.hub.Current(keeper.Member); ok {
		r.sendOn(link, request)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), keeperDialTimeout)
		defer cancel()
		link, err := r.members.link(ctx, keeper.Member)
		if err != nil {
			r.requestFailed(request.Number)
			return
		}
		r.sendOn(link, request)
	}()
}

func (r *rates) sendOn(link peer.Link, request *wire.GrantRequest) {
	r.mu.Lock()
	r.linkNumbers[request.Number] = link.Number()
	r.mu.Unlock()
	if link.Send(request) != nil {
		r.requestFailed(request.Number)
		return
	}
	time.AfterFunc(keeperRedialDelay, func() { r.refreshLink(link, request.Number) })
}

// refreshLink replaces a link on which a keeper has not replied within
// keeperRedialDelay. The link may have gone silent, and requests that wait for
// tokens would be refused long before the link's own time-out.
func (r *rates) refreshLink(link peer.Link, number uint64) {
	r.mu.Lock()
	_, unanswered := r.linkNumbers[number]
	r.mu.Unlock()
	member := link.Peer().Member
	if current, ok := r.members.hub.Current(member); !unanswered || !ok || current.Number() != link.Number() {
		return
	}
	logging.InfoEvent("rates", "keeper-reply-missing", "keeper", member, "number", number)
	ctx, cancel := context.WithTimeout(context.Background(), keeperDialTimeout)
	defer cancel()
	if _, err := r.members.refreshLink(ctx, member); err == nil {
		r.requestFailed(number) // the holder asks again, on the new link
		r.flush()
	}
}

// requestFailed tells the holder that a request will get no reply.
func (r *rates) requestFailed(number uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.linkNumbers, number)
	r.wake(r.holder.SendFailed(time.Now(), number))
}

// applyReply passes a keeper's reply to the holder.
func (r *rates) applyReply(reply *wire.GrantReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.linkNumbers, reply.Number)
	r.wake(r.holder.HandleReply(time.Now(), reply))
}

// wake makes the waiting requests of the workspaces ask the holder again. The caller
// holds the lock.
func (r *rates) wake(workspaces []string) {
	for _, workspace := range workspaces {
		if waiting, ok := r.waiting[workspace]; ok {
			close(waiting)
			delete(r.waiting, workspace)
		}
	}
}

// onLinkDown fails the unanswered requests that were sent on a link.
func (r *rates) onLinkDown(link peer.Link) {
	r.mu.Lock()
	var lost []uint64
	for number, linkNumber := range r.linkNumbers {
		if linkNumber == link.Number() {
			lost = append(lost, number)
		}
	}
	r.mu.Unlock()
	for _, number := range lost {
		r.requestFailed(number)
	}
}

// onGrantRequest answers another daemon's request for tokens.
func (r *rates) onGrantRequest(link peer.Link, request *wire.GrantRequest) {
	from := link.Peer()
	reply := r.rateGroups.grant(time.Now(), ratelimit.DaemonID{Member: from.Member, Incarnation: from.Incarnation}, request)
	_ = link.Send(reply)
}

// returnAll returns all unspent tokens to the keepers, for a planned stop.
func (r *rates) returnAll() {
	r.mu.Lock()
	r.holder.ReturnAll(time.Now())
	r.mu.Unlock()
	r.flush()
}
