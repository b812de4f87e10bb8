package admission

import (
	"math"
	"time"

	"tarragonshore.example/tarragonshore/internal/connection/wire"
)

const (
	// serviceTimeConstant is the time constant of the moving average of the service time.
	serviceTimeConstant = 200 * time.Millisecond
	// minServiceTimeWeight is the minimum weight of a sample in that average.
	minServiceTimeWeight = 0.01
	// serviceTimeDeviations is how many mean deviations are added to the mean
	// service time to get the remaining time that a request needs to be admitted.
	// With the mean alone, 28% of the server time went to requests that missed
	// their deadline, at 3 times the demand and with timeouts of 3 service times.
	serviceTimeDeviations = 2
	// workspaceIdle is the time after which the state of an idle workspace is deleted.
	workspaceIdle = 30 * time.Second
	// maxMissedWindows bounds how many missed windows are processed after a pause of
	// the process.
	maxMissedWindows = 20
	// receivedTimeConstant is the time constant of the exponential decay of the server
	// time that a workspace has received.
	receivedTimeConstant = time.Second
	// maxIdleCredit bounds the priority that a workspace accumulates while it is idle:
	// how long it can occupy the whole server when it returns. Without the bound,
	// the other workspace was not served for 0.6 s when two workspaces each sent
	// more than the capacity of the server.
	maxIdleCredit = 150 * time.Millisecond
	// childWaitFactor is how many times longer a child call of an admitted request may
	// wait than a new request, because refusing it wastes the slots that its
	// callers already hold. With the same bound for both, call chains wasted 6 to
	// 9% of their server time at 3 times the demand. The shedding threshold
	// normally keeps the wait well below this bound.
	childWaitFactor = 3
	// reportLifetime is how long a reported load applies. Reports lag behind the
	// actual load, so that an old one says nothing about it.
	reportLifetime = 3 * time.Second
	// minReportedShare is the smallest part of the slots to which a reported load can
	// lower the limit, because reports can be wrong.
	minReportedShare = 0.5
	// Bounds of the Retry-After of a refusal.
	minRetryAfter = 250 * time.Millisecond
	maxRetryAfter = time.Second
)

// Batch is the result of Next. Its slices are valid until the next call of Next.
type Batch struct {
	Start  []ID
	Refuse []Refusal
}

// Controller admits requests to one backend server.
//
// The owner of the controller must call Next after each Finish, Cancel, SetSlots and
// SetReportedLoad, and at the time that NextWake returns. The times that are passed
// in must not decrease.
type Controller struct {
	config     Config
	limiter    limiter
	queue      queue
	entries    map[ID]*entry
	workspaces map[string]*workspace
	freeList   *entry // unused entries, linked by next, to avoid allocations
	draining   bool

	serviceTime          time.Duration // moving average of the service time
	serviceTimeDeviation time.Duration // moving average of the absolute deviation from it
	serviceTimeAt        time.Time     // when the averages were last updated
	windowEnd            time.Time     // end of the current window
	sweptWindowEnd       time.Time     // windowEnd at the last sweep
	lastTimeAtLimit      time.Duration // limiter.timeAtLimit at the end of the last window
	reportedLoad         float64       // load that the backend server last reported
	reportedAt           time.Time
	batch                Batch
}

// NewController returns a controller that refuses all requests until SetSlots
// announces slots.
func NewController(config Config) *Controller {
	return &Controller{
		config:     config.withDefaults(),
		entries:    map[ID]*entry{},
		workspaces: map[string]*workspace{},
	}
}

// SetSlots sets the number of slots that the backend server announces. It is the
// upper bound of the concurrency limit.
func (c *Controller) SetSlots(now time.Time, n int) {
	c.tick(now)
	c.limiter.observe(now)
	c.limiter.setSlots(max(0, n))
}

// SetReportedLoad records the load that the backend server reports, as a multiple of
// its capacity. A load above 1 lowers the concurrency limit, at most to half of
// the slots, until the next report or until the report expires. A report never
// raises the limit.
func (c *Controller) SetReportedLoad(now time.Time, load float64) {
	c.reportedLoad, c.reportedAt = load, now
}

// SetDraining starts or stops refusing new requests. Queued requests may still start.
func (c *Controller) SetDraining(draining bool) { c.draining = draining }

// Offer starts, queues or refuses a request.
func (c *Controller) Offer(now time.Time, r Request) Decision {
	c.tick(now)
	if reason := c.unconditionalRefusal(now, &r); reason != "" {
		return Decision{Action: Refused, Reason: reason}
	}
	w := c.workspace(now, r.Workspace)
	if r.shedKey() >= w.threshold.effectiveLevel() {
		return c.refuse(w, ReasonThreshold)
	}
	slack := r.Deadline.Sub(now) - c.highServiceTime(&r)
	w.threshold.recordArrival(&r, slack)
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
		displaceable := c.queue.displaceable(e)
		if displaceable == nil {
			c.drop(e)
			return c.refuse(w, ReasonQueueFull)
		}
		d.HasDisplaced = true
		d.Displaced = Refusal{ID: displaceable.ID, Reason: ReasonDisplaced, RetryAfter: retryAfter(displaceable.workspace)}
		c.queue.remove(displaceable)
		c.drop(displaceable)
	}
	if w.queued == 0 {
		credit := maxIdleCredit * time.Duration(c.limiter.current())
		w.received = max(w.received, c.queue.minReceived()-credit)
	}
	c.queue.push(e)
	return d
}

// unconditionalRefusal returns why a request must be refused regardless of the load, or
// "" if there is no such reason.
func (c *Controller) unconditionalRefusal(now time.Time, r *Request) Reason {
	switch {
	case c.draining:
		return ReasonDraining
	case c.limiter.slots == 0:
		return ReasonNoReadyBackend
	case c.entries[r.ID] != nil:
		return ReasonDuplicate
	case !c.canFinish(now, r):
		return ReasonNoTime
	}
	return ""
}

// Next returns the queued requests to start now, and those to refuse because they
// cannot finish before their deadline or have waited too long.
func (c *Controller) Next(now time.Time) Batch {
	c.batch.Start = c.batch.Start[:0]
	c.batch.Refuse = c.batch.Refuse[:0]
	c.tick(now)
	if !c.sweptWindowEnd.Equal(c.windowEnd) {
		c.sweptWindowEnd = c.windowEnd
		c.sweep(now)
	}
	for limit := c.Limit(now); c.limiter.inFlight < limit; {
		e := c.queue.head()
		if e == nil {
			break
		}
		if reason := c.expiryReason(now, e); reason != "" {
			c.refuseQueued(e, reason)
			continue
		}
		c.queue.remove(e)
		e.charged = c.expectedServiceTime(&e.Request)
		e.workspace.received += e.charged
		c.start(now, e)
		c.batch.Start = append(c.batch.Start, e.ID)
	}
	return c.batch
}

// RecordDownstreamThreshold records the shedding threshold of a downstream service that a
// running request called, as known to this daemon when the call ended. The lowest
// threshold of all calls of the request applies.
func (c *Controller) RecordDownstreamThreshold(id ID, t wire.Threshold) {
	if e := c.entries[id]; e != nil && e.running {
		e.calledDownstream = true
		e.downstreamLevel = min(e.downstreamLevel, fromThreshold(t))
	}
}

// Finish ends a started request. service is the time that it spent at the backend
// server.
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
	if e.calledDownstream || outcome == Succeeded {
		w.threshold.reportDownstream(now, e.downstreamLevel)
	}
	if outcome == Succeeded || service > c.serviceTime {
		// A failure that took longer than the average shows that requests take at
		// least that long. A quicker failure says nothing about the service time.
		c.recordServiceTime(now, service)
	}
	c.limiter.recordEnd(now, service, outcome, e.startLoad)
	c.drop(e)
}

// Cancel reports that the requester no longer waits for the answer. It removes a
// queued request; a running one continues until Finish.
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

// Threshold returns the workspace's shedding threshold, which is sent along with
// each answer or refusal to its attempts.
func (c *Controller) Threshold(now time.Time, workspace string) wire.Threshold {
	c.tick(now)
	if w := c.workspaces[workspace]; w != nil {
		return toThreshold(w.threshold.effectiveLevel())
	}
	return toThreshold(maxLevel)
}

// NextWake returns the time at which Next must be called at the latest, or the zero
// time if the queue is empty.
func (c *Controller) NextWake() time.Time {
	if c.queue.n == 0 {
		return time.Time{}
	}
	return c.windowEnd
}

// Limit returns the concurrency limit, with the reported load applied.
func (c *Controller) Limit(now time.Time) int {
	limit := c.limiter.current()
	if c.reportedLoad > 1 && now.Sub(c.reportedAt) < reportLifetime {
		share := max(minReportedShare, 1/c.reportedLoad)
		limit = min(limit, max(1, int(share*float64(c.limiter.slots))))
	}
	return limit
}

// InFlight returns the number of started requests.
func (c *Controller) InFlight() int { return c.limiter.inFlight }

// QueueLen returns the number of queued requests.
func (c *Controller) QueueLen() int { return c.queue.n }

// ServiceTime returns the moving average of the service time, 0 before the first
// measurement.
func (c *Controller) ServiceTime() time.Duration { return c.serviceTime }

// start marks a request as running when it is passed to the backend server.
func (c *Controller) start(now time.Time, e *entry) {
	e.running = true
	w := e.workspace
	w.running++
	w.threshold.recordStart(e.class, now.Sub(e.queuedAt))
	c.limiter.recordStart(now)
	e.startLoad = c.limiter.inFlight
}

// expiryReason returns why a queued request must be refused instead of started, or "" if
// it may start.
func (c *Controller) expiryReason(now time.Time, e *entry) Reason {
	switch {
	case !c.canFinish(now, &e.Request):
		return ReasonNoTime
	case now.Sub(e.queuedAt) > c.maxWait(&e.Request):
		return ReasonQueueDelay
	}
	return ""
}

// maxWait returns the maximum queueing time of a request.
func (c *Controller) maxWait(r *Request) time.Duration {
	if r.Depth > 0 {
		return childWaitFactor * c.config.MaxWait
	}
	return c.config.MaxWait
}

// sweep refuses the queued requests that have expired, so that the requesting
// daemons can still retry them elsewhere. It runs once per window.
func (c *Controller) sweep(now time.Time) {
	for i := len(c.queue.active) - 1; i >= 0; i-- {
		w := c.queue.active[i]
		for class := range w.queues {
			for e := w.queues[class].head; e != nil; {
				next := e.next
				if reason := c.expiryReason(now, e); reason != "" {
					c.refuseQueued(e, reason)
				}
				e = next
			}
		}
	}
}

// refuseQueued removes a request from the queue and adds its refusal to the batch.
func (c *Controller) refuseQueued(e *entry, reason Reason) {
	r := Refusal{ID: e.ID, Reason: reason}
	if reason != ReasonNoTime {
		r.RetryAfter = retryAfter(e.workspace)
	}
	c.batch.Refuse = append(c.batch.Refuse, r)
	c.queue.remove(e)
	c.drop(e)
}

// refuse returns the decision for a request that is refused because of the load.
func (c *Controller) refuse(w *workspace, reason Reason) Decision {
	return Decision{Action: Refused, Reason: reason, RetryAfter: retryAfter(w)}
}

// retryAfter returns the Retry-After of a refusal. It grows linearly with the part
// of the key range that the workspace's threshold sheds.
func retryAfter(w *workspace) time.Duration {
	shed := maxLevel - w.threshold.effectiveLevel()
	return minRetryAfter + (maxRetryAfter-minRetryAfter)*time.Duration(shed)/maxLevel
}

// canFinish reports whether the remaining time of a request suffices to run it.
// While slots are free, it must cover the mean service time. While requests wait,
// it must cover a service time that few requests exceed, since another request
// could use the slot. With nothing in flight, any request whose deadline has not
// passed is accepted: otherwise an average that once exceeded all timeouts would
// never be measured again.
func (c *Controller) canFinish(now time.Time, r *Request) bool {
	remaining := r.Deadline.Sub(now)
	switch {
	case remaining <= 0:
		return false
	case c.limiter.inFlight == 0:
		return true
	case c.queue.n == 0 && c.limiter.inFlight < c.Limit(now):
		return remaining >= c.expectedServiceTime(r)
	}
	return remaining >= c.highServiceTime(r)
}

// expectedServiceTime returns the expected service time of a request.
func (c *Controller) expectedServiceTime(r *Request) time.Duration {
	if r.ServiceTime > 0 {
		return r.ServiceTime
	}
	return c.serviceTime
}

// highServiceTime returns a service time that few requests of this kind exceed: the
// expected one plus several mean deviations.
func (c *Controller) highServiceTime(r *Request) time.Duration {
	if r.ServiceTime > 0 && c.serviceTime > 0 {
		return r.ServiceTime + time.Duration(serviceTimeDeviations*float64(c.serviceTimeDeviation)*float64(r.ServiceTime)/float64(c.serviceTime))
	}
	return c.serviceTime + time.Duration(serviceTimeDeviations*float64(c.serviceTimeDeviation))
}

// recordServiceTime adds a sample to the moving averages of the service time.
func (c *Controller) recordServiceTime(now time.Time, service time.Duration) {
	if c.serviceTime == 0 {
		c.serviceTime, c.serviceTimeAt = service, now
		return
	}
	age := float64(now.Sub(c.serviceTimeAt)) / float64(serviceTimeConstant)
	weight := max(minServiceTimeWeight, 1-math.Exp(-age))
	difference := service - c.serviceTime
	c.serviceTime += time.Duration(weight * float64(difference))
	c.serviceTimeDeviation += time.Duration(weight * float64(difference.Abs()-c.serviceTimeDeviation))
	c.serviceTimeAt = now
}

// expectedDelay estimates the queueing time of a new request: the number of
// requests of its workspace ahead of it, divided by the rate at which the workspace
// is served. That rate is the measured one or an equal share of the server,
// whichever is higher.
func (c *Controller) expectedDelay(w *workspace, class uint8) time.Duration {
	queuedAhead := w.queuedAhead(class)
	if queuedAhead == 0 || c.serviceTime == 0 {
		return 0
	}
	rate := float64(c.limiter.current()) / c.serviceTime.Seconds() / float64(max(1, len(c.queue.active)))
	rate = max(rate, w.threshold.startsPerWindow()/thresholdWindow.Seconds())
	return time.Duration(float64(queuedAhead) / rate * float64(time.Second))
}

// tick closes the windows that have ended by now and updates the thresholds.
func (c *Controller) tick(now time.Time) {
	if c.windowEnd.IsZero() {
		c.windowEnd = now.Add(thresholdWindow)
		return
	}
	for n := 0; !now.Before(c.windowEnd); n++ {
		if n == maxMissedWindows {
			c.windowEnd = now.Add(thresholdWindow)
			return
		}
		at := c.windowEnd
		c.windowEnd = at.Add(thresholdWindow)
		c.limiter.observe(at)
		idle := c.limiter.timeAtLimit-c.lastTimeAtLimit < thresholdWindow/2
		c.lastTimeAtLimit = c.limiter.timeAtLimit
		for name, w := range c.workspaces {
			w.received -= time.Duration(float64(w.received) * float64(thresholdWindow) / float64(receivedTimeConstant))
			w.threshold.tick(at, w, c.config.TargetDelay, idle)
			if w.queued+w.running == 0 && at.Sub(w.lastSeen) > workspaceIdle && w.threshold.effectiveLevel() == maxLevel {
				delete(c.workspaces, name)
			}
		}
		c.limiter.adapt(at)
	}
}

// workspace returns the state of a workspace and creates it if necessary.
func (c *Controller) workspace(now time.Time, name string) *workspace {
	w := c.workspaces[name]
	if w == nil {
		w = &workspace{name: name, threshold: newThreshold()}
		c.workspaces[name] = w
	}
	w.lastSeen = now
	return w
}

// newEntry registers a request.
func (c *Controller) newEntry(now time.Time, r Request, w *workspace) *entry {
	e := c.freeList
	if e == nil {
		e = &entry{}
	} else {
		c.freeList = e.next
	}
	*e = entry{Request: r, class: r.class(), workspace: w, queuedAt: now, downstreamLevel: maxLevel}
	c.entries[r.ID] = e
	return e
}

// drop unregisters a request and returns its entry to the free list.
func (c *Controller) drop(e *entry) {
	delete(c.entries, e.ID)
	e.workspace = nil
	e.next = c.freeList
	c.freeList = e
}
