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

// keeperDialTimeout bounds the set-up of a link to a keeper. It leaves time
// within ratelimit.AnswerTime to ask once more.
const keeperDialTimeout = 100 * time.Millisecond

// keeperReplyTimeout is far above a usual reply (a few ms between zones) and
// leaves time within ratelimit.AnswerTime to ask on a new link.
const keeperReplyTimeout = 80 * time.Millisecond

// rates is this daemon as a holder of tokens. Its lock guards holder, waiting
// and sentOn.
type rates struct {
	self    ratelimit.DaemonID
	members *members
	groups  *groups
	// active holds a token if the holder may have stopped being idle.
	active chan struct{}

	// limitsMu is taken before mu and the lock of groups, so that both have the
	// limits of the same time. It guards limits and resume.
	limitsMu sync.Mutex
	limits   *ratelimit.Limits
	resume   *time.Timer // applies the limits again after a suspension, or nil

	mu     sync.Mutex
	holder *ratelimit.Holder
	// waiting holds a channel per workspace with waiting requests. It is closed
	// when they should ask again.
	waiting map[string]chan struct{}
	// sentOn names the link of each request to a keeper that has no reply yet.
	sentOn map[uint64]uint64
}

func newRates(self execution.Peer, members *members, groups *groups, count uint32, rng *rand.Rand) *rates {
	return &rates{
		self:    ratelimit.DaemonID{Member: self.Member, Incarnation: self.Incarnation},
		members: members,
		groups:  groups,
		active:  make(chan struct{}, 1),
		limits:  ratelimit.NewLimits(),
		holder:  ratelimit.NewHolder(count, rng),
		waiting: make(map[string]chan struct{}),
		sentOn:  make(map[uint64]uint64),
	}
}

// setLimits applies the limits of a new version.
func (r *rates) setLimits(workspaces []tables.Workspace) {
	r.limitsMu.Lock()
	defer r.limitsMu.Unlock()
	r.limits.Set(time.Now(), workspaces)
	r.applyLimits()
}

// applyLimits applies the limits in force now, and again when a suspension
// ends. The caller holds limitsMu.
func (r *rates) applyLimits() {
	now := time.Now()
	workspaces, next := r.limits.InForce(now)
	r.mu.Lock()
	r.holder.SetLimits(now, workspaces)
	r.mu.Unlock()
	r.groups.setLimits(now, workspaces)
	if r.resume != nil {
		r.resume.Stop()
		r.resume = nil
	}
	if !next.IsZero() {
		r.resume = time.AfterFunc(next.Sub(now), func() {
			r.limitsMu.Lock()
			defer r.limitsMu.Unlock()
			r.applyLimits()
		})
	}
}

// take spends a token of the workspace, or returns the refusal.
func (r *rates) take(ctx context.Context, requestID, workspace string) *problem.Problem {
	asked := time.Now()
	r.mu.Lock()
	decision := r.holder.Take(asked, workspace)
	for decision.Verdict == ratelimit.MustAsk {
		wake, ok := r.waiting[workspace]
		if !ok {
			wake = make(chan struct{})
			r.waiting[workspace] = wake
		}
		r.mu.Unlock()
		select {
		case r.active <- struct{}{}:
		default: // run has a token
		}
		if decision.Send {
			r.flush()
		}
		if !r.waitForTokens(ctx, wake, asked) {
			r.mu.Lock()
			r.holder.Leave(workspace)
			r.mu.Unlock()
			return problem.New(problem.KindDeadline, "no token within the request's time")
		}
		r.mu.Lock()
		decision = r.holder.TakeAgain(time.Now(), workspace, asked)
	}
	r.mu.Unlock()
	if decision.Send {
		go r.flush()
	}
	logging.DebugEvent("rates", "rate", "request", requestID, "workspace", workspace, "reason", string(decision.Reason))
	if decision.Reason == ratelimit.ReasonZeroLimit {
		decision = r.suspended(workspace, decision)
	}
	return rateProblem(workspace, decision)
}

// suspended returns the refusal of a workspace that an edit has suspended, or
// the decision as it is.
func (r *rates) suspended(workspace string, decision ratelimit.Decision) ratelimit.Decision {
	r.limitsMu.Lock()
	defer r.limitsMu.Unlock()
	if left := r.limits.Suspended(time.Now(), workspace); left > 0 {
		return ratelimit.Decision{Verdict: ratelimit.RateUnavailable, Reason: ratelimit.ReasonSuspended, RetryAfter: left}
	}
	return decision
}

// waitForTokens waits for a reply that concerns the workspace, or for the end
// of the time to answer. It returns false if ctx ends first.
func (r *rates) waitForTokens(ctx context.Context, wake <-chan struct{}, asked time.Time) bool {
	timer := time.NewTimer(time.Until(asked.Add(ratelimit.AnswerTime)))
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

// run sends what the holder has to send until ctx ends. It sleeps while the
// holder is idle: 100 wake-ups a second are most of an idle daemon's cost.
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

// runActive sends what the holder has to send until it is idle or ctx ends.
func (r *rates) runActive(ctx context.Context) {
	ticker := time.NewTicker(ratelimit.Tick)
	defer ticker.Stop()
	for idle := false; !idle; idle = r.flush() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// flush sends the holder's requests to their keepers. It returns whether the
// holder is idle.
func (r *rates) flush() (idle bool) {
	r.mu.Lock()
	requests := r.holder.Requests(time.Now())
	idle = r.holder.Idle()
	r.mu.Unlock()
	for i := range requests {
		r.send(&requests[i])
	}
	return idle
}

// send passes a request to the keeper of its group.
func (r *rates) send(request *wire.GrantRequest) {
	keeper, ok := r.groups.keeperOf(request.Group)
	if !ok {
		r.failed(request.Number)
		return
	}
	if keeper.Member == r.self.Member {
		reply := r.groups.grant(time.Now(), r.self, request)
		r.apply(&reply)
		return
	}
	if link, ok := r.members.hub.Existing(keeper.Member); ok {
		r.sendOn(link, request)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), keeperDialTimeout)
		defer cancel()
		link, err := r.members.link(ctx, keeper.Member)
		if err != nil {
			r.failed(request.Number)
			return
		}
		r.sendOn(link, request)
	}()
}

func (r *rates) sendOn(link peer.Link, request *wire.GrantRequest) {
	r.mu.Lock()
	r.sentOn[request.Number] = link.Number()
	r.mu.Unlock()
	if link.Send(request) != nil {
		r.failed(request.Number)
		return
	}
	time.AfterFunc(keeperReplyTimeout, func() { r.refresh(link, request.Number) })
}

// refresh replaces a link on which a keeper has not replied in time. The link
// may have gone silent, and requests that wait for tokens are refused long
// before its silence would be noticed.
func (r *rates) refresh(link peer.Link, number uint64) {
	r.mu.Lock()
	_, missing := r.sentOn[number]
	r.mu.Unlock()
	member := link.Peer().Member
	if current, ok := r.members.hub.Existing(member); !missing || !ok || current.Number() != link.Number() {
		return
	}
	logging.Event("rates", "keeper-reply-missing", "keeper", member, "number", number)
	ctx, cancel := context.WithTimeout(context.Background(), keeperDialTimeout)
	defer cancel()
	if _, err := r.members.refresh(ctx, member); err == nil {
		r.failed(number) // the holder asks again, on the new link
		r.flush()
	}
}

// failed tells the holder that a request got no reply.
func (r *rates) failed(number uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.sentOn, number)
	r.wake(r.holder.Failed(time.Now(), number))
}

// apply takes a keeper's reply.
func (r *rates) apply(reply *wire.GrantReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.sentOn, reply.Number)
	r.wake(r.holder.Apply(time.Now(), reply))
}

// wake lets the requests of the workspaces ask again. The caller holds the lock.
func (r *rates) wake(workspaces []string) {
	for _, workspace := range workspaces {
		if waiting, ok := r.waiting[workspace]; ok {
			close(waiting)
			delete(r.waiting, workspace)
		}
	}
}

// onLinkDown ends the requests that were sent on a link.
func (r *rates) onLinkDown(link peer.Link) {
	r.mu.Lock()
	var lost []uint64
	for number, on := range r.sentOn {
		if on == link.Number() {
			lost = append(lost, number)
		}
	}
	r.mu.Unlock()
	for _, number := range lost {
		r.failed(number)
	}
}

// onGrantRequest answers another holder.
func (r *rates) onGrantRequest(link peer.Link, request *wire.GrantRequest) {
	from := link.Peer()
	reply := r.groups.grant(time.Now(), ratelimit.DaemonID{Member: from.Member, Incarnation: from.Incarnation}, request)
	_ = link.Send(reply)
}

// returnAll gives all tokens back, for a planned stop.
func (r *rates) returnAll() {
	r.mu.Lock()
	r.holder.ReturnAll(time.Now())
	r.mu.Unlock()
	r.flush()
}
