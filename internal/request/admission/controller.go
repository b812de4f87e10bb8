package admission

import (
	"math"
	"time"

	"tarragonshore.example/tarragonshore/internal/connection/wire"
)

const (
	// costTime is the time constant of the smoothed service time.
	costTime = 200 * time.Millisecond
	// minCostWeight is the least weight of a sample in it.
	minCostWeight = 0.01
	// deviations is how many mean deviations above the mean service time count
	// as needed. With the mean alone, 28% of the server time was spent in vain
	// at 3 times the demand with timeouts of 3 service times.
	deviations = 2
	// workspaceIdle is the time after which the state of an idle workspace is dropped.
	workspaceIdle = 30 * time.Second
	// maxLateTicks bounds the windows that are made up for after a pause.
	maxLateTicks = 20
	// receivedTime is the time constant with which the server time that a
	// workspace received is forgotten.
	receivedTime = time.Second
	// savedTime bounds how long a workspace that sent nothing before can keep
	// the others from the server. Without the bound it was 0.6 s for two
	// workspaces that both send more than the server can bear.
	savedTime = 150 * time.Millisecond
	// deepWait is how many times longer than a new request a call of an admitted
	// tree may wait: refusing it wastes the slots that the services before it
	// hold. With the same bound for both, 6 to 9% of the server time of chains
	// was wasted at 3 times the demand. The threshold bounds the usual wait.
	deepWait = 3
	// reportTime is the time for which a reported load applies: reports lag.
	reportTime = 3 * time.Second
	// minReportShare bounds what a reported load can take away: reports mislead.
	minReportShare = 0.5
	// Bounds of Retry-After.
	minRetryAfter = 250 * time.Millisecond
	maxRetryAfter = time.Second
)

// Batch is the result of Next. Its slices are valid until the next call.
type Batch struct {
	Start  []ID
	Refuse []Refusal
}

// Controller admits requests to one backend server.
//
// Call Next after each Finish, Cancel, SetSlots and ReportedLoad, and at
// NextWake. Times must not run backwards by more than the monotonic clock does.
type Controller struct {
	config     Config
	limiter    limiter
	queue      queue
	entries    map[ID]*entry
	workspaces map[string]*workspace
	free       *entry // list of unused entries
	draining   bool

	cost       time.Duration // smoothed service time
	deviation  time.Duration // smoothed absolute deviation from it
	costAt     time.Time
	nextTick   time.Time
	swept      time.Time     // nextTick at the last sweep
	fullBefore time.Duration // limiter.full at the last tick
	report     float64
	reportedAt time.Time
	batch      Batch
}

// NewController returns a controller without slots.
func NewController(config Config) *Controller {
	return &Controller{
		config:     config.withDefaults(),
		entries:    map[ID]*entry{},
		workspaces: map[string]*workspace{},
	}
}

// SetSlots sets the announced slots, the hard cap of the limit.
func (c *Controller) SetSlots(now time.Time, n int) {
	c.tick(now)
	c.limiter.observe(now)
	c.limiter.setSlots(max(0, n))
}

// ReportedLoad takes the load that the backend server reports, as a multiple
// of what it can bear. A load over 1 lowers the limit, to at least half, until
// it is reported otherwise or the report is old. No report raises it.
func (c *Controller) ReportedLoad(now time.Time, load float64) {
	c.report, c.reportedAt = load, now
}

// SetDraining starts or ends the refusal of new requests. Queued ones may still start.
func (c *Controller) SetDraining(draining bool) { c.draining = draining }

// Offer asks for admission of a request.
func (c *Controller) Offer(now time.Time, r Request) Decision {
	c.tick(now)
	if reason := c.obstacle(now, &r); reason != "" {
		return Decision{Action: Refused, Reason: reason}
	}
	w := c.workspace(now, r.Workspace)
	if r.key() >= w.level.effective() {
		return c.refuse(w, ReasonThreshold)
	}
	slack := r.Deadline.Sub(now) - c.neededFor(&r)
	w.level.arrived(&r, slack)
	if c.queue.n == 0 && c.limiter.inFlight < c.Limit(now) {
		c.start(now, c.newEntry(now, r, w))
		return Decision{Action: Started, Reason: ReasonSlotFree}
	}
	if c.expectedDelay(w, r.class()) > min(c.maxWait(&r), slack) {
		return c.refuse(w, ReasonQueueDelay)
	}
	e := c.newEntry(now, r, w)
	d := Decision{Action: Queued, Reason: ReasonNoSlot}
	if c.queue.n >= c.config.MaxQueued {
		victim := c.queue.victim(e)
		if victim == nil {
			c.drop(e)
			return c.refuse(w, ReasonQueueFull)
		}
		d.HasDisplaced = true
		d.Displaced = Refusal{ID: victim.ID, Reason: ReasonDisplaced, RetryAfter: retryAfter(victim.workspace)}
		c.queue.remove(victim)
		c.drop(victim)
	}
	if w.queued == 0 {
		saved := savedTime * time.Duration(c.limiter.current())
		w.received = max(w.received, c.queue.least()-saved)
	}
	c.queue.push(e)
	return d
}

// obstacle returns why a request cannot be admitted whatever the load.
func (c *Controller) obstacle(now time.Time, r *Request) Reason {
	switch {
	case c.draining:
		return ReasonDraining
	case c.limiter.slots == 0:
		return ReasonNoServer
	case c.entries[r.ID] != nil:
		return ReasonDuplicate
	case !c.canFinish(now, r):
		return ReasonNoTime
	}
	return ""
}

// Next returns what to do with queued requests: start those whose turn it is,
// refuse those that cannot finish in time or waited too long.
func (c *Controller) Next(now time.Time) Batch {
	c.batch.Start = c.batch.Start[:0]
	c.batch.Refuse = c.batch.Refuse[:0]
	c.tick(now)
	if !c.swept.Equal(c.nextTick) {
		c.swept = c.nextTick
		c.sweep(now)
	}
	for limit := c.Limit(now); c.limiter.inFlight < limit; {
		e := c.queue.head()
		if e == nil {
			break
		}
		if reason := c.expired(now, e); reason != "" {
			c.refuseQueued(e, reason)
			continue
		}
		c.queue.remove(e)
		e.charged = c.costOf(&e.Request)
		e.workspace.received += e.charged
		c.start(now, e)
		c.batch.Start = append(c.batch.Start, e.ID)
	}
	return c.batch
}

// Called takes the threshold of a service that a running request called, as
// the asker knows it at the end of the call. The least one of a run counts.
func (c *Controller) Called(id ID, t wire.Threshold) {
	if e := c.entries[id]; e != nil && e.running {
		e.called = true
		e.below = min(e.below, fromThreshold(t))
	}
}

// Finish ends a started request. service is its time at the backend server.
func (c *Controller) Finish(now time.Time, id ID, service time.Duration, outcome Outcome) {
	e := c.entries[id]
	if e == nil || !e.running {
		return
	}
	c.tick(now)
	w := e.workspace
	w.running--
	if e.charged > 0 {
		w.received += service - e.charged
	}
	if e.called || outcome == Succeeded {
		w.level.reportBelow(now, e.below)
	}
	if outcome == Succeeded || service > c.cost {
		// A failure after a longer time shows that requests take at least that
		// long; one after a short time shows nothing.
		c.measure(now, service)
	}
	c.limiter.finished(now, service, outcome, e.load)
	c.drop(e)
}

// Cancel says that nobody waits for a request any more.
func (c *Controller) Cancel(_ time.Time, id ID) CancelResult {
	e := c.entries[id]
	switch {
	case e == nil:
		return CancelUnknown
	case e.running:
		return CancelRunning
	}
	c.queue.remove(e)
	c.drop(e)
	return CancelQueued
}

// Threshold returns the shedding threshold to send with an answer or refusal
// to an attempt of the workspace.
func (c *Controller) Threshold(now time.Time, workspace string) wire.Threshold {
	c.tick(now)
	if w := c.workspaces[workspace]; w != nil {
		return toThreshold(w.level.effective())
	}
	return toThreshold(maxLevel)
}

// NextWake returns when Next has to be called at the latest; the zero time if
// nothing is queued.
func (c *Controller) NextWake() time.Time {
	if c.queue.n == 0 {
		return time.Time{}
	}
	return c.nextTick
}

// Limit returns the concurrency limit.
func (c *Controller) Limit(now time.Time) int {
	limit := c.limiter.current()
	if c.report > 1 && now.Sub(c.reportedAt) < reportTime {
		share := max(minReportShare, 1/c.report)
		limit = min(limit, max(1, int(share*float64(c.limiter.slots))))
	}
	return limit
}

// InFlight returns the number of started requests.
func (c *Controller) InFlight() int { return c.limiter.inFlight }

// QueueLen returns the number of queued requests.
func (c *Controller) QueueLen() int { return c.queue.n }

// ServiceTime returns the smoothed service time, 0 if none was measured.
func (c *Controller) ServiceTime() time.Duration { return c.cost }

// start hands a request to the backend server.
func (c *Controller) start(now time.Time, e *entry) {
	e.running = true
	w := e.workspace
	w.running++
	w.level.started(e.class, now.Sub(e.queuedAt))
	c.limiter.started(now)
	e.load = c.limiter.inFlight
}

// expired returns why a queued request is refused instead of started.
func (c *Controller) expired(now time.Time, e *entry) Reason {
	switch {
	case !c.canFinish(now, &e.Request):
		return ReasonNoTime
	case now.Sub(e.queuedAt) > c.maxWait(&e.Request):
		return ReasonQueueDelay
	}
	return ""
}

// maxWait returns the bound of the queueing time of a request.
func (c *Controller) maxWait(r *Request) time.Duration {
	if r.Depth > 0 {
		return deepWait * c.config.MaxWait
	}
	return c.config.MaxWait
}

// sweep refuses the queued requests that have expired, so that their askers
// can move them while there is time. It runs once per window.
func (c *Controller) sweep(now time.Time) {
	for i := len(c.queue.active) - 1; i >= 0; i-- {
		w := c.queue.active[i]
		for class := range w.queues {
			for e := w.queues[class].head; e != nil; {
				next := e.next
				if reason := c.expired(now, e); reason != "" {
					c.refuseQueued(e, reason)
				}
				e = next
			}
		}
	}
}

// refuseQueued removes a request from the queue and adds it to the batch.
func (c *Controller) refuseQueued(e *entry, reason Reason) {
	r := Refusal{ID: e.ID, Reason: reason}
	if reason != ReasonNoTime {
		r.RetryAfter = retryAfter(e.workspace)
	}
	c.batch.Refuse = append(c.batch.Refuse, r)
	c.queue.remove(e)
	c.drop(e)
}

// refuse returns the refusal of a request under load.
func (c *Controller) refuse(w *workspace, reason Reason) Decision {
	return Decision{Action: Refused, Reason: reason, RetryAfter: retryAfter(w)}
}

// retryAfter grows with the share of requests that the threshold sheds.
func retryAfter(w *workspace) time.Duration {
	shed := maxLevel - w.level.effective()
	return minRetryAfter + (maxRetryAfter-minRetryAfter)*time.Duration(shed)/maxLevel
}

// canFinish tells whether the remaining time covers the expected service
// time: the mean if the slot would otherwise stay free, else a time that few
// requests exceed, since another request could use the slot. With nothing in
// flight only the deadline counts: otherwise a service time that once exceeded
// all timeouts would never be measured again.
func (c *Controller) canFinish(now time.Time, r *Request) bool {
	remaining := r.Deadline.Sub(now)
	switch {
	case remaining <= 0:
		return false
	case c.limiter.inFlight == 0:
		return true
	case c.queue.n == 0 && c.limiter.inFlight < c.Limit(now):
		return remaining >= c.costOf(r)
	}
	return remaining >= c.neededFor(r)
}

// costOf returns the expected service time of a request.
func (c *Controller) costOf(r *Request) time.Duration {
	if r.Cost > 0 {
		return r.Cost
	}
	return c.cost
}

// neededFor returns a service time that few requests like this one exceed.
func (c *Controller) neededFor(r *Request) time.Duration {
	if r.Cost > 0 && c.cost > 0 {
		return r.Cost + time.Duration(deviations*float64(c.deviation)*float64(r.Cost)/float64(c.cost))
	}
	return c.cost + time.Duration(deviations*float64(c.deviation))
}

// measure adds a service time to the smoothed one.
func (c *Controller) measure(now time.Time, service time.Duration) {
	if c.cost == 0 {
		c.cost, c.costAt = service, now
		return
	}
	age := float64(now.Sub(c.costAt)) / float64(costTime)
	weight := max(minCostWeight, 1-math.Exp(-age))
	difference := service - c.cost
	c.cost += time.Duration(weight * float64(difference))
	c.deviation += time.Duration(weight * float64(difference.Abs()-c.deviation))
	c.costAt = now
}

// expectedDelay estimates the queueing time of a new request from the queue of
// its workspace and the rate at which the workspace is served: the measured
// one, or its share of the server.
func (c *Controller) expectedDelay(w *workspace, class uint8) time.Duration {
	ahead := w.ahead(class)
	if ahead == 0 || c.cost == 0 {
		return 0
	}
	rate := float64(c.limiter.current()) / c.cost.Seconds() / float64(max(1, len(c.queue.active)))
	rate = max(rate, w.level.served()/thresholdWindow.Seconds())
	return time.Duration(float64(ahead) / rate * float64(time.Second))
}

// tick ends the windows that have passed.
func (c *Controller) tick(now time.Time) {
	if c.nextTick.IsZero() {
		c.nextTick = now.Add(thresholdWindow)
		return
	}
	for n := 0; !now.Before(c.nextTick); n++ {
		if n == maxLateTicks {
			c.nextTick = now.Add(thresholdWindow)
			return
		}
		at := c.nextTick
		c.nextTick = at.Add(thresholdWindow)
		c.limiter.observe(at)
		idle := c.limiter.full-c.fullBefore < thresholdWindow/2
		c.fullBefore = c.limiter.full
		for name, w := range c.workspaces {
			w.received -= time.Duration(float64(w.received) * float64(thresholdWindow) / float64(receivedTime))
			w.level.tick(at, w, c.config.TargetDelay, idle)
			if w.queued+w.running == 0 && at.Sub(w.lastSeen) > workspaceIdle && w.level.effective() == maxLevel {
				delete(c.workspaces, name)
			}
		}
		c.limiter.adapt(at)
	}
}

// workspace returns the state of a workspace, new if needed.
func (c *Controller) workspace(now time.Time, name string) *workspace {
	w := c.workspaces[name]
	if w == nil {
		w = &workspace{name: name, level: newLevel()}
		c.workspaces[name] = w
	}
	w.lastSeen = now
	return w
}

// newEntry registers a request.
func (c *Controller) newEntry(now time.Time, r Request, w *workspace) *entry {
	e := c.free
	if e == nil {
		e = &entry{}
	} else {
		c.free = e.next
	}
	*e = entry{Request: r, class: r.class(), workspace: w, queuedAt: now, below: maxLevel}
	c.entries[r.ID] = e
	return e
}

// drop forgets a request.
func (c *Controller) drop(e *entry) {
	delete(c.entries, e.ID)
	e.workspace = nil
	e.next = c.free
	c.free = e
}
