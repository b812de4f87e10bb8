package ratelimit

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"tarragonshore.example/tarragonshore/internal/connection/wire"
	"tarragonshore.example/tarragonshore/internal/version/tables"
)

const (
	// AnswerTime is how long a request waits for keepers before it is refused
	// as rate-unavailable.
	AnswerTime = 250 * time.Millisecond
	// Tick is the longest time between two calls of Holder.Requests.
	Tick = 10 * time.Millisecond

	// slowAfter is the time without an answer after which other slices are
	// asked for the same tokens. Round trips between zones take about 3 ms.
	slowAfter = 25 * time.Millisecond
	// A slice counts as empty for the time that its keeper named, within these
	// bounds. The lower one limits the messages of a workspace far over its
	// rate to 50/s per slice; the upper one keeps refusals based on fresh
	// information.
	minEmptyTime = 20 * time.Millisecond
	maxEmptyTime = 100 * time.Millisecond
	// retryAfterFailure spaces requests to a group whose keeper refused or
	// could not be reached.
	retryAfterFailure = 50 * time.Millisecond

	// useTime is the time constant of the average of recent use.
	useTime = time.Second
	// aheadShare of the recent use per second is drawn in advance. It is below
	// 1 so that a holder with a single request draws nothing ahead.
	aheadShare = 0.9
	// aheadBurstShare of the burst is the most that all holders together draw
	// ahead while the workspace is within its rate; the rest is room for
	// tokens that are spent but not yet reported, and for requests elsewhere.
	aheadBurstShare = 0.5
	// minSpareUse (requests/s) is the least recent use with which spare tokens
	// are drawn. One request alone counts as a use of 1/s.
	minSpareUse = 1.05
	// minSpareBurst is the smallest burst of which spare tokens are drawn. With
	// a few tokens per slice they were missing elsewhere.
	minSpareBurst = 64
	// keptTokens of a burst of at least minSpareBurst are not returned before the
	// end of their grant when the use falls: the next request may come soon.
	keptTokens = 2
	// spareInterval is the least time between draws of spare tokens only.
	spareInterval = 250 * time.Millisecond
	// minAheadBurst is the smallest burst of which tokens are drawn ahead.
	// Holders of a smaller one would keep it from each other.
	minAheadBurst = 8

	// Spent tokens are reported after the time in which the rate fills
	// 1/reportParts of the burst, since unreported ones hinder the refill. Those
	// of a burst below minAheadBurst are reported at once: its slices hold one
	// token and do not refill at all before the report.
	reportParts   = 4
	minReportTime = 2 * time.Millisecond
	maxReportTime = 500 * time.Millisecond

	// Tokens that end within renewBefore are not counted on; tokens that end
	// within returnBefore are given back.
	renewBefore  = 500 * time.Millisecond
	returnBefore = 200 * time.Millisecond
	// reportAfterEnd is how long after its end a grant is still reported: the
	// keeper counts it as outstanding a little longer than the holder.
	reportAfterEnd = 500 * time.Millisecond
)

// Verdict is the kind of a Decision.
type Verdict uint8

// The verdicts of Take and TakeAgain.
const (
	// Admitted means that a token was spent.
	Admitted Verdict = iota + 1
	// MustAsk means that the request has to wait: call Requests, send what it
	// returns, and call TakeAgain after each reply that concerns the workspace
	// and when AnswerTime has passed since Take.
	MustAsk
	// RateExceeded means 429: all slices are known to be empty.
	RateExceeded
	// RateUnavailable means 503: a keeper did not answer, the others have no token.
	RateUnavailable
)

// Reason tells why a decision was made.
type Reason string

// The reasons of a Decision.
const (
	ReasonToken            Reason = "token"             // Admitted
	ReasonNoRate           Reason = "no-rate"           // Admitted: the empty workspace
	ReasonNoToken          Reason = "no-token"          // MustAsk: keepers will be asked
	ReasonAwaitingReply    Reason = "awaiting-reply"    // MustAsk: keepers have been asked
	ReasonAwaitingKeeper   Reason = "awaiting-keeper"   // MustAsk: a keeper is unreachable now
	ReasonSlicesEmpty      Reason = "slices-empty"      // RateExceeded
	ReasonZeroLimit        Reason = "zero-limit"        // RateExceeded: rate or burst is 0
	ReasonUnknownWorkspace Reason = "unknown-workspace" // RateExceeded: not in the tables
	ReasonKeeperSilent     Reason = "keeper-silent"     // RateUnavailable
)

// Decision is the answer to one request.
type Decision struct {
	Verdict Verdict
	Reason  Reason
	// Send is true if Requests has messages that should be sent now.
	Send bool
	// RetryAfter is the time until a token is due, for RateExceeded, or until
	// the keepers are asked again, for RateUnavailable.
	RetryAfter time.Duration
	// Groups[:GroupCount] are the groups whose answers are missing, for
	// MustAsk and RateUnavailable.
	Groups     [Slices]uint32
	GroupCount uint8
}

// heldGrant is a grant as its holder sees it. Tokens are left, spent or returned.
type heldGrant struct {
	number                uint64
	group                 uint32
	left, spent, returned uint32
	// What the keeper has confirmed of spent and returned.
	ackedSpent, ackedReturned uint32
	end                       time.Time
}

func (g *heldGrant) unacked() bool {
	return g.spent != g.ackedSpent || g.returned != g.ackedReturned
}

func (g *heldGrant) giveBack(n uint32) {
	g.left -= n
	g.returned += n
}

// heldSlice is what a holder knows about one slice.
type heldSlice struct {
	group uint32

	pending uint64 // number of the unanswered request, or 0
	want    uint32 // tokens asked for with it
	askedAt time.Time

	emptyAt     time.Time // when the keeper last said that it is empty
	emptyUntil  time.Time // counts as empty until then
	dueAt       time.Time // next token as the keeper said
	failedUntil time.Time // the keeper refused or could not be reached
}

type sliceStatus uint8

const (
	sliceAskable sliceStatus = iota
	slicePending
	sliceSlow // pending, but others should be asked
	sliceSilent
	sliceEmpty
)

func (s *heldSlice) status(now time.Time) sliceStatus {
	if s.pending != 0 {
		switch waited := now.Sub(s.askedAt); {
		case waited < slowAfter:
			return slicePending
		case waited < AnswerTime:
			return sliceSlow
		case waited < AnswerTime+retryAfterFailure:
			return sliceSilent
		}
		return sliceAskable
	}
	if now.Before(s.emptyUntil) {
		return sliceEmpty
	}
	if now.Before(s.failedUntil) {
		return sliceSilent
	}
	return sliceAskable
}

// holding is a holder's state of one workspace.
type holding struct {
	name       string
	rate       float64 // requests/s
	burst      float64 // requests
	reportTime time.Duration
	division   Division
	slices     [Slices]heldSlice // [:division.Count]
	first      uint8             // index of the slice to ask first

	grants  []heldGrant // in order of their ends
	current int         // first grant that may have tokens left
	stock   int         // tokens left, including those of ended grants not yet noticed

	use     float64 // average requests/s as of usedAt
	usedAt  time.Time
	waiting int // requests told MustAsk that have not ended

	low      int       // stock below which tokens are drawn ahead
	spareAt  time.Time // no draw of spare tokens only before this time
	askAt    time.Time // not before this time
	reportAt time.Time // zero if there is nothing to report
}

// Holder is the holder of one daemon.
type Holder struct {
	groups  uint32
	number  uint64 // of the last request
	holds   map[string]*holding
	order   []*holding // all of holds, so that messages do not depend on map order
	pending map[uint64]*pendingRequest
	rng     *rand.Rand
}

// pendingRequest is a request that has not been answered.
type pendingRequest struct {
	group uint32
	sent  time.Time
	asks  []pendingAsk
	acks  []pendingAck
}

type pendingAsk struct {
	hold  *holding
	slice uint8
}

type pendingAck struct {
	hold            *holding
	number          uint64
	spent, returned uint32
}

// NewHolder returns a holder without workspaces. rng spreads the holders over
// the slices.
func NewHolder(groups uint32, rng *rand.Rand) *Holder {
	return &Holder{
		groups: groups, rng: rng,
		holds:   map[string]*holding{},
		pending: map[uint64]*pendingRequest{},
	}
}

// SetLimits applies the limits of all workspaces. If a burst is lowered, the
// holder gives back its tokens in proportion, so that the holders together
// have at most the new burst.
func (h *Holder) SetLimits(now time.Time, workspaces []tables.Workspace) {
	listed := make(map[string]bool, len(workspaces))
	for _, t := range workspaces {
		listed[t.Name] = true
		w := h.holds[t.Name]
		if w == nil {
			w = &holding{name: t.Name, usedAt: now, first: uint8(h.rng.IntN(Slices))}
			h.holds[t.Name] = w
			h.order = append(h.order, w)
		}
		w.setLimit(now, t, h.groups)
	}
	h.order = slices.DeleteFunc(h.order, func(w *holding) bool {
		if listed[w.name] {
			return false
		}
		w.setLimit(now, tables.Workspace{Name: w.name}, h.groups)
		if len(w.grants) > 0 || w.waiting > 0 {
			return false
		}
		delete(h.holds, w.name)
		return true
	})
}

func (w *holding) setLimit(now time.Time, t tables.Workspace, groups uint32) {
	division := Divide(t)
	if division.Count != w.division.Count {
		w.reduce(now, 0) // tokens of the former slices may not be spent any more
		w.slices = [Slices]heldSlice{}
	}
	w.division = division
	var rate, burst uint64
	for i, limit := range division.Limits[:division.Count] {
		rate += limit.MicroRate
		burst += limit.Burst
		w.slices[i].group = Group(t.Name, division.First+uint8(i), groups)
	}
	old := w.burst
	w.rate, w.burst = float64(rate)/microPerToken, float64(burst)
	w.reportTime = maxReportTime
	if w.burst < minAheadBurst {
		w.reportTime = minReportTime
	} else if rate > 0 {
		fill := w.burst / w.rate / reportParts
		w.reportTime = time.Duration(min(max(fill, minReportTime.Seconds()), maxReportTime.Seconds()) * float64(time.Second))
	}
	if w.burst < old {
		w.reduce(now, int(float64(w.stock)*w.burst/old))
	}
}

// reduce gives back tokens until at most keep are left, the earliest ending first.
func (w *holding) reduce(now time.Time, keep int) {
	for i := range w.grants {
		if w.stock <= keep {
			return
		}
		g := &w.grants[i]
		n := min(uint32(w.stock-keep), g.left)
		g.giveBack(n)
		w.stock -= int(n)
		w.reportBy(now.Add(w.reportTime))
	}
}

func (w *holding) reportBy(at time.Time) {
	if w.reportAt.IsZero() || at.Before(w.reportAt) {
		w.reportAt = at
	}
}

// useAt returns the average of recent use in requests/s.
func (w *holding) useAt(now time.Time) float64 {
	elapsed := now.Sub(w.usedAt)
	if elapsed <= 0 {
		return w.use
	}
	return w.use * math.Exp(-float64(elapsed)/float64(useTime))
}

// ahead returns how many tokens to hold for future requests.
func (w *holding) ahead(now time.Time) int {
	if w.burst < minAheadBurst || w.rate == 0 {
		return 0
	}
	seconds := min(aheadShare, aheadBurstShare*w.burst/w.rate)
	return int(min(w.useAt(now)*seconds, aheadBurstShare*w.burst))
}

// spare returns how many tokens to hold in addition to ahead if the slices have
// many left, so that fewer requests wait.
func (w *holding) spare(now time.Time, ahead int) int {
	use := w.useAt(now)
	if w.burst < minSpareBurst || use < minSpareUse {
		return 0
	}
	return max(int(min(use, w.rate)*aheadShare)+1-ahead, 0)
}

// Take decides on a new request of a workspace. It does not allocate. A
// decision MustAsk must be followed by TakeAgain until it gives another
// verdict, or by Leave.
func (h *Holder) Take(now time.Time, workspace string) Decision {
	if workspace == "" {
		return Decision{Verdict: Admitted, Reason: ReasonNoRate}
	}
	w := h.holds[workspace]
	if w == nil {
		return Decision{Verdict: RateExceeded, Reason: ReasonUnknownWorkspace, RetryAfter: maxWait}
	}
	w.use = w.useAt(now) + 1/useTime.Seconds()
	if now.After(w.usedAt) {
		w.usedAt = now
	}
	if w.spend(now) {
		return Decision{
			Verdict: Admitted, Reason: ReasonToken,
			Send: w.stock < w.low && !now.Before(w.askAt),
		}
	}
	d := w.withoutToken(now, now)
	if d.Verdict == MustAsk {
		w.waiting++
		d.Send = d.Reason == ReasonNoToken
	}
	return d
}

// TakeAgain decides on a request for which Take said MustAsk at the time asked.
func (h *Holder) TakeAgain(now time.Time, workspace string, asked time.Time) Decision {
	w := h.holds[workspace]
	if w == nil {
		return Decision{Verdict: RateExceeded, Reason: ReasonUnknownWorkspace, RetryAfter: maxWait}
	}
	if w.spend(now) {
		h.Leave(workspace)
		return Decision{Verdict: Admitted, Reason: ReasonToken}
	}
	d := w.withoutToken(now, asked)
	if d.Verdict == MustAsk {
		d.Send = d.Reason == ReasonNoToken
	} else {
		h.Leave(workspace)
	}
	return d
}

// Leave tells that a request that was told MustAsk no longer waits.
func (h *Holder) Leave(workspace string) {
	if w := h.holds[workspace]; w != nil && w.waiting > 0 {
		w.waiting--
	}
}

// spend spends one token if there is one.
func (w *holding) spend(now time.Time) bool {
	for ; w.current < len(w.grants); w.current++ {
		g := &w.grants[w.current]
		if g.left == 0 {
			continue
		}
		if !now.Before(g.end) {
			w.stock -= int(g.left)
			g.giveBack(g.left)
			w.reportBy(now)
			continue
		}
		g.left--
		g.spent++
		w.stock--
		w.reportBy(now.Add(w.reportTime))
		return true
	}
	return false
}

// withoutToken decides on a request that has waited since asked.
func (w *holding) withoutToken(now, asked time.Time) Decision {
	var d Decision
	usable, empty, askable, pending := int(w.division.Count), 0, 0, 0
	retry := maxWait
	for i := range usable {
		s := &w.slices[i]
		status := s.status(now)
		// A request asks each slice once: what a keeper said after the request
		// came is fresh enough for it. It needs no token if the answer to an
		// earlier message already said so.
		if status == sliceEmpty || (now.After(asked) && !s.emptyAt.Before(asked)) {
			empty++
			retry = min(retry, max(s.dueAt.Sub(now), time.Millisecond))
			continue
		}
		d.Groups[d.GroupCount] = s.group
		d.GroupCount++
		switch status {
		case sliceAskable:
			askable++
		case slicePending:
			pending++
		}
	}
	switch {
	case usable == 0:
		return Decision{Verdict: RateExceeded, Reason: ReasonZeroLimit, RetryAfter: maxWait}
	case empty == usable:
		return Decision{Verdict: RateExceeded, Reason: ReasonSlicesEmpty, RetryAfter: retry}
	case now.Sub(asked) >= AnswerTime:
		d.Verdict, d.Reason, d.RetryAfter = RateUnavailable, ReasonKeeperSilent, AnswerTime
		return d
	}
	d.Verdict = MustAsk
	switch {
	case askable > 0:
		d.Reason = ReasonNoToken
	case pending > 0:
		d.Reason = ReasonAwaitingReply
	default:
		d.Reason = ReasonAwaitingKeeper
	}
	return d
}

// slice returns the slice with the number, or nil if the division has none.
func (w *holding) slice(number uint8) *heldSlice {
	if number < w.division.First || number-w.division.First >= w.division.Count {
		return nil
	}
	return &w.slices[number-w.division.First]
}

// find returns the grant with the number, or nil.
func (w *holding) find(number uint64) *heldGrant {
	for i := range w.grants {
		if w.grants[i].number == number {
			return &w.grants[i]
		}
	}
	return nil
}

// add stores a new grant in the order of ends.
func (w *holding) add(g heldGrant) {
	i := len(w.grants)
	w.grants = append(w.grants, g)
	for ; i > 0 && w.grants[i-1].end.After(g.end); i-- {
		w.grants[i] = w.grants[i-1]
	}
	w.grants[i] = g
	w.current = min(w.current, i)
	w.stock += int(g.left)
}

// prune ends old grants, forgets settled ones and returns the stock that will
// last for some time.
func (w *holding) prune(now time.Time) (lasting int) {
	kept := w.grants[:0]
	w.stock = 0
	for _, g := range w.grants {
		rest := g.end.Sub(now)
		if rest <= returnBefore && g.left > 0 {
			g.giveBack(g.left)
			w.reportBy(now)
		}
		if (g.left == 0 && !g.unacked()) || rest < -reportAfterEnd {
			continue
		}
		if rest > renewBefore {
			lasting += int(g.left)
		}
		w.stock += int(g.left)
		kept = append(kept, g)
	}
	w.grants, w.current = kept, 0
	if len(kept) == 0 {
		w.reportAt = time.Time{}
	}
	return lasting
}

// Apply takes the reply to a request. It returns the workspaces whose waiting
// requests should call TakeAgain now. Duplicates and replies that are too late
// have no effect.
func (h *Holder) Apply(now time.Time, reply *wire.GrantReply) []string {
	p := h.pending[reply.Number]
	if p == nil || p.group != reply.Group {
		return nil
	}
	if reply.Refused != "" {
		return h.Failed(now, reply.Number)
	}
	delete(h.pending, reply.Number)
	for _, a := range p.acks {
		if g := a.hold.find(a.number); g != nil {
			g.ackedSpent = max(g.ackedSpent, a.spent)
			g.ackedReturned = max(g.ackedReturned, a.returned)
		}
	}
	for i := range reply.Entries {
		h.applyEntry(now, p, &reply.Entries[i])
	}
	return h.finish(now, reply.Number, p, time.Time{})
}

// applyEntry takes the answer for one slice.
func (h *Holder) applyEntry(now time.Time, p *pendingRequest, e *wire.GrantEntry) {
	for _, a := range p.asks {
		if a.slice != e.Slice || a.hold.name != e.Workspace {
			continue
		}
		w, s := a.hold, a.hold.slice(a.slice)
		end := p.sent.Add(GrantTime)
		if e.Granted > 0 && now.Before(end) {
			g := heldGrant{number: e.Grant, group: p.group, left: e.Granted, end: end}
			if s == nil { // the division changed since the request
				g.giveBack(g.left)
				w.reportBy(now)
			}
			w.add(g)
		}
		if s != nil && e.WaitMS > 0 {
			wait := time.Duration(e.WaitMS) * time.Millisecond
			s.emptyAt, s.dueAt = now, now.Add(wait)
			s.emptyUntil = now.Add(min(max(wait, minEmptyTime), maxEmptyTime))
		}
		return
	}
}

// Failed tells that a request could not be sent or that its link was lost. It
// returns the workspaces whose waiting requests should call TakeAgain now.
func (h *Holder) Failed(now time.Time, number uint64) []string {
	p := h.pending[number]
	if p == nil {
		return nil
	}
	delete(h.pending, number)
	return h.finish(now, number, p, now.Add(retryAfterFailure))
}

// finish clears the marks of a request that has an outcome.
func (h *Holder) finish(now time.Time, number uint64, p *pendingRequest, failedUntil time.Time) []string {
	var names []string
	for _, a := range p.asks {
		if s := a.hold.slice(a.slice); s != nil && s.pending == number {
			s.pending, s.want = 0, 0
			s.failedUntil = failedUntil
		}
		a.hold.askAt = now
		if len(names) == 0 || names[len(names)-1] != a.hold.name {
			names = append(names, a.hold.name)
		}
	}
	return names
}

// Requests returns the messages to send now, at most one per group: wants,
// reports of spent tokens and returned tokens. It is to be called at least
// every Tick and after a decision with Send. The grants' time starts here, so
// that now must have been read before the messages are sent.
func (h *Holder) Requests(now time.Time) []wire.GrantRequest {
	for number, p := range h.pending {
		if now.Sub(p.sent) >= GrantTime {
			delete(h.pending, number) // tokens of a later reply would have ended
		}
	}
	b := requestBuilder{h: h, now: now}
	for _, w := range h.order {
		if len(w.grants) > 0 || w.waiting > 0 {
			b.plan(w)
		}
	}
	if len(b.requests) == 0 {
		return nil
	}
	for _, w := range h.order {
		b.reportAlong(w)
	}
	return b.requests
}

// Idle tells whether Requests has nothing to send, now or later, until Take
// returns MustAsk.
func (h *Holder) Idle() bool {
	if len(h.pending) > 0 {
		return false
	}
	for _, w := range h.order {
		if len(w.grants) > 0 || w.waiting > 0 {
			return false
		}
	}
	return true
}

// ReturnAll gives back all tokens, for a planned stop. The next Requests sends
// the returns.
func (h *Holder) ReturnAll(now time.Time) {
	for _, w := range h.order {
		w.reduce(now, 0)
		if len(w.grants) > 0 {
			w.reportAt = now
		}
	}
}

// requestBuilder collects the messages of one call of Requests.
type requestBuilder struct {
	h        *Holder
	now      time.Time
	requests []wire.GrantRequest
}

// request returns the message to a group, which is added if necessary.
func (b *requestBuilder) request(group uint32) (*wire.GrantRequest, *pendingRequest) {
	for i := range b.requests {
		if r := &b.requests[i]; r.Group == group {
			return r, b.h.pending[r.Number]
		}
	}
	b.h.number++
	p := &pendingRequest{group: group, sent: b.now}
	b.h.pending[b.h.number] = p
	b.requests = append(b.requests, wire.GrantRequest{Number: b.h.number, Group: group})
	return &b.requests[len(b.requests)-1], p
}

// plan adds what a workspace needs to send now.
func (b *requestBuilder) plan(w *holding) {
	lasting := w.prune(b.now)
	ahead := w.ahead(b.now)
	target := ahead + w.spare(b.now, ahead)
	most := target + target/2
	if w.burst >= minSpareBurst {
		most = max(most, keptTokens)
	}
	if w.stock-w.waiting > most {
		w.reduce(b.now, target+w.waiting)
	}
	w.low = (ahead + 1) / 2
	switch {
	case w.waiting > 0,
		lasting < w.low && !b.now.Before(w.askAt),
		lasting < (target+1)/2 && !b.now.Before(w.spareAt):
		b.ask(w, w.waiting+ahead-lasting, w.waiting+target-lasting)
	}
	if !w.reportAt.IsZero() && !b.now.Before(w.reportAt) {
		w.reportAt = time.Time{}
		for i := range w.grants {
			if g := &w.grants[i]; g.unacked() {
				b.request(g.group)
				w.reportAt = b.now
			}
		}
	}
}

// ask adds a want for n tokens, and for spare ones up to most, less those that
// are being asked for. One slice
// is asked at a time, which takes fewer messages, and the next one the next
// time, which keeps the demand on all slices equal.
func (b *requestBuilder) ask(w *holding, n, most int) {
	chosen, found := uint8(0), false
	for i := range w.division.Count {
		index := (w.first + i) % w.division.Count
		s := &w.slices[index]
		switch s.status(b.now) {
		case slicePending:
			n -= int(s.want)
			most -= int(s.want)
		case sliceAskable:
			if !found {
				chosen, found = index, true
			}
		}
	}
	w.askAt = b.now.Add(minEmptyTime) // finish sets it earlier
	if !found || most <= 0 || (n <= 0 && b.now.Before(w.spareAt)) {
		return
	}
	w.spareAt = b.now.Add(spareInterval)
	slice, want := w.division.First+chosen, uint32(max(n, 0))
	s := &w.slices[chosen]
	r, p := b.request(s.group)
	r.Entries = append(r.Entries, wire.GrantEntry{
		Workspace: w.name, Slice: slice, Want: want, Spare: uint32(most) - want})
	p.asks = append(p.asks, pendingAsk{w, slice})
	s.pending, s.want, s.askedAt = r.Number, uint32(most), b.now
	w.first = (chosen + 1) % w.division.Count
}

// reportAlong adds the reports of a workspace to the messages that are sent anyway.
func (b *requestBuilder) reportAlong(w *holding) {
	missing := false
	for i := range w.grants {
		g := &w.grants[i]
		if !g.unacked() {
			continue
		}
		group := g.group
		sent := false
		for j := range b.requests {
			r := &b.requests[j]
			if r.Group != group {
				continue
			}
			r.Entries = append(r.Entries, wire.GrantEntry{Grant: g.number, Spent: g.spent, Returned: g.returned})
			p := b.h.pending[r.Number]
			p.acks = append(p.acks, pendingAck{w, g.number, g.spent, g.returned})
			sent = true
		}
		missing = missing || !sent
	}
	if !missing && !w.reportAt.IsZero() {
		w.reportAt = b.now.Add(AnswerTime) // repeats the report if it was lost
	}
}
