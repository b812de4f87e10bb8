package ticket

import (
	"cmp"
	"io"
	"slices"
	"time"

	"tarragonshore.example/tarragonshore/internal/connection/wire"
	"tarragonshore.example/tarragonshore/internal/request/problem"
)

// Options bounds the memory of a Home.
type Options struct {
	// MaxEntries bounds the used tickets.
	MaxEntries int
	// MaxRefused bounds the tickets whose request was refused and did not run.
	// They are kept apart, so that refusals under overload do not use up the
	// room for requests that run.
	MaxRefused int
	// MaxAnswerBytes bounds the stored answers, counted by ResponseSize.
	MaxAnswerBytes int
	// AnswerReserve is set aside for each request in progress. An answer up to
	// this size is always stored; a larger one only if there is room.
	AnswerReserve int
	// Retention is the time for which a used ticket is kept after its end, so
	// that late repeats still get the stored answer.
	Retention time.Duration
}

// DefaultOptions allows 60 requests/s that run and 90/s that are refused, for
// the 330 s of Lifetime and Retention. An entry takes 274 bytes and a refused
// ticket 82 to 96, as measured with full tables.
func DefaultOptions() Options {
	return Options{MaxEntries: 20_000, MaxRefused: 30_000, MaxAnswerBytes: 6 << 20, AnswerReserve: 4 << 10, Retention: 30 * time.Second}
}

type state uint8

const (
	stateOpen       state = iota + 1 // begun, nothing dispatched
	stateDispatched                  // may run
	stateAnswered
	stateUnknown
	stateReleased // not run and unused again, once the successor knows it
	stateHeld     // the old home still runs it
)

// entry is the state of one used ticket.
type entry struct {
	state       state
	reason      Reason // of stateUnknown
	fingerprint Fingerprint
	end         int64 // Unix milliseconds
	deadline    time.Time
	attempt     wire.AttemptID
	upstream    string
	response    *wire.Response
	charged     int // bytes counted against MaxAnswerBytes
	holder      Owner
}

// origin is an incarnation whose tickets this home serves.
type origin struct {
	secret  [secretBytes]byte
	signer  *signer
	lastEnd int64 // no ticket of this origin ends later
	// refused has the numbers of tickets that were refused; it is final, since
	// a delayed try of the same request would otherwise run after its caller
	// was told that it did not.
	refused map[uint64]struct{}
	// horizon: the state of tickets that end before it may have been dropped.
	// It keeps them from running again when the wall clock is set back.
	horizon  int64
	imported uint64 // serial of the last export taken from this origin
}

type phase uint8

const (
	phaseServing phase = iota
	phaseSealed        // exported, not confirmed
	phaseHandedOver
)

// Home is the table of one daemon incarnation.
type Home struct {
	self    Owner
	options Options
	next    uint64
	origins map[Owner]*origin
	// open has the requests in progress here; settled has all other entries.
	open    map[Key]*entry
	settled map[Key]*entry
	expiry  map[int64][]Key // settled and refused keys by the second in which they end
	refused int
	charged int

	phase     phase
	successor Owner
	serial    uint64
	confirmed uint64
	export    *Snapshot      // the last export, until it is confirmed
	exported  []Key          // its tickets that the successor then owns
	late      map[Key]*entry // ended after the first export
	imports   map[Owner]*assembly
}

// NewHome returns an empty table with a new secret from random.
func NewHome(self Owner, options Options, random io.Reader) (*Home, error) {
	if len(self.Home) > maxNameBytes {
		return nil, &Error{Reason: ReasonNameTooLong}
	}
	var secret [secretBytes]byte
	if _, err := io.ReadFull(random, secret[:]); err != nil {
		return nil, &Error{Reason: ReasonRandom, Err: err}
	}
	h := &Home{
		self:    self,
		options: options,
		origins: map[Owner]*origin{},
		open:    map[Key]*entry{},
		settled: map[Key]*entry{},
		expiry:  map[int64][]Key{},
		late:    map[Key]*entry{},
		imports: map[Owner]*assembly{},
	}
	h.origins[self] = newOrigin(secret[:])
	return h, nil
}

func newOrigin(secret []byte) *origin {
	o := &origin{signer: newSigner(secret), refused: map[uint64]struct{}{}}
	copy(o.secret[:], secret)
	return o
}

// Issue returns a new ticket. An unused ticket takes no memory.
func (h *Home) Issue(now time.Time, workspace string) (Ticket, error) {
	if h.phase != phaseServing {
		return Ticket{}, &Error{Reason: ReasonMoving}
	}
	if len(workspace) > maxNameBytes {
		return Ticket{}, &Error{Reason: ReasonNameTooLong}
	}
	if reason := h.full(); reason != "" {
		return Ticket{}, &Error{Reason: reason}
	}
	h.next++
	own := h.origins[h.self]
	end := now.Add(Lifetime).UnixMilli()
	own.lastEnd = max(own.lastEnd, end)
	t := Ticket{Owner: h.self, Workspace: workspace, Number: h.next, End: time.UnixMilli(end)}
	t.code = own.signer.code(t)
	return t, nil
}

// full returns why no further request can be begun, or "".
func (h *Home) full() Reason {
	if h.Entries() >= h.options.MaxEntries {
		return ReasonTableFull
	}
	if h.charged+h.options.AnswerReserve > h.options.MaxAnswerBytes {
		return ReasonAnswersFull
	}
	return ""
}

// Refused returns the number of refused tickets that are remembered.
func (h *Home) Refused() int { return h.refused }

// Entries returns the number of used tickets.
func (h *Home) Entries() int { return len(h.open) + len(h.settled) }

// AnswerBytes returns the bytes of stored answers and of reserves.
func (h *Home) AnswerBytes() int { return h.charged }

// InProgress returns the number of requests that this home still runs.
func (h *Home) InProgress() int { return len(h.open) }

// Use is a request that came with a ticket.
type Use struct {
	Ticket      Ticket
	Workspace   string // of the key that came with the request
	Fingerprint Fingerprint
	Deadline    time.Time // when the request's time is over
}

// Begin decides what happens to a request.
func (h *Home) Begin(now time.Time, use Use) Decision {
	t := use.Ticket
	d := Decision{Key: t.Key()}
	from := h.origins[t.Owner]
	switch {
	case from == nil:
		return d.with(WrongHome, ReasonIssuedElsewhere).at(t.Owner)
	case !from.signer.verify(t):
		return d.with(Invalid, ReasonBadCode).executed(problem.ExecutedNo)
	case t.Workspace != use.Workspace:
		return d.with(Invalid, ReasonOtherWorkspace).executed(problem.ExecutedNo)
	}
	if e := h.find(d.Key); e != nil {
		return h.repeat(d, e, use)
	}
	if _, ok := from.refused[t.Number]; ok {
		return d.with(Refused, ReasonRefused).executed(problem.ExecutedNo)
	}
	end := t.End.UnixMilli()
	switch {
	case h.phase == phaseHandedOver:
		return d.with(WrongHome, ReasonHandedOver).at(h.successor)
	case h.phase == phaseSealed:
		return d.with(Moving, ReasonMoving)
	case end < from.horizon:
		return d.with(Expired, ReasonForgotten).executed(problem.ExecutedUnknown)
	case !now.Before(t.End):
		return d.with(Expired, ReasonExpired).executed(problem.ExecutedNo)
	}
	if reason := h.full(); reason != "" {
		return d.with(Full, reason).executed(h.refuse(d.Key, end))
	}
	h.open[d.Key] = &entry{
		state:       stateOpen,
		fingerprint: use.Fingerprint,
		end:         end,
		deadline:    use.Deadline,
		charged:     h.options.AnswerReserve,
	}
	h.charged += h.options.AnswerReserve
	return d.with(Dispatch, ReasonUnused)
}

func (h *Home) find(key Key) *entry {
	if e := h.open[key]; e != nil {
		return e
	}
	return h.settled[key]
}

// repeat decides about a ticket that is in use or was used.
func (h *Home) repeat(d Decision, e *entry, use Use) Decision {
	if e.state != stateHeld && e.fingerprint != use.Fingerprint {
		return d.with(Conflict, ReasonOtherRequest).executed(problem.ExecutedNo)
	}
	switch e.state {
	case stateAnswered:
		if e.response == nil {
			return d.with(Unknown, ReasonAnswerTooLarge).executed(problem.ExecutedUnknown)
		}
		d.Response = e.response
		return d.with(Replay, ReasonStored)
	case stateUnknown:
		return d.with(Unknown, e.reason).executed(problem.ExecutedUnknown)
	case stateHeld:
		return d.with(WrongHome, ReasonHeldByOldHome).at(e.holder)
	case stateReleased:
		return d.with(Moving, ReasonMoving)
	}
	return d.with(InProgress, ReasonRunning)
}

func (d Decision) with(outcome Outcome, reason Reason) Decision {
	d.Outcome, d.Reason = outcome, reason
	return d
}

func (d Decision) at(home Owner) Decision {
	d.Home = home
	return d
}

func (d Decision) executed(executed problem.Executed) Decision {
	d.Executed = executed
	return d
}

// Dispatched records an attempt. It must succeed before the attempt is sent:
// it is the check that no other attempt of the request may run.
func (h *Home) Dispatched(key Key, attempt wire.AttemptID, upstream string) error {
	e := h.open[key]
	switch {
	case e == nil:
		return &Error{Reason: ReasonNotInProgress}
	case e.state != stateOpen:
		return &Error{Reason: ReasonDispatched}
	}
	e.state, e.attempt, e.upstream = stateDispatched, attempt, upstream
	return nil
}

// Proof shows that an attempt never ran and never will.
type Proof uint8

// The proofs. The zero value is none.
const (
	// ProofFenced: the executing daemon confirmed a fence for the attempt.
	ProofFenced Proof = iota + 1
	// ProofRefused: the executing daemon refused the attempt before it was
	// handed to the backend server, with executed "no".
	ProofRefused
	// ProofNotSent: the attempt was never written to a link.
	ProofNotSent
)

// NotExecuted allows another dispatch after the attempt was proven not to run.
func (h *Home) NotExecuted(key Key, attempt wire.AttemptID, proof Proof) error {
	e, err := h.dispatched(key, attempt)
	if err != nil {
		return err
	}
	if proof < ProofFenced || proof > ProofNotSent {
		return &Error{Reason: ReasonNoProof}
	}
	e.state, e.attempt, e.upstream = stateOpen, wire.AttemptID{}, ""
	return nil
}

// dispatched returns the entry whose current attempt is the given one.
func (h *Home) dispatched(key Key, attempt wire.AttemptID) (*entry, error) {
	e := h.open[key]
	if e == nil || e.state != stateDispatched {
		return nil, &Error{Reason: ReasonNotInProgress}
	}
	if e.attempt != attempt {
		return nil, &Error{Reason: ReasonOtherAttempt}
	}
	return e, nil
}

// Refuse ends a request that did not run and will not. Its ticket is refused
// from then on; the caller repeats the request with a new ticket, which the
// refusal can carry. The refusal to the callers must have the returned value:
// if there is no room to remember the ticket, it is unused again, and then
// "no" could become false by a delayed try of the same request.
func (h *Home) Refuse(key Key) (problem.Executed, error) {
	e := h.open[key]
	if e == nil {
		return problem.ExecutedUnknown, &Error{Reason: ReasonNotInProgress}
	}
	if e.state != stateOpen {
		return problem.ExecutedUnknown, &Error{Reason: ReasonDispatched}
	}
	delete(h.open, key)
	h.charge(e, 0)
	executed := h.refuse(key, e.end)
	if h.phase != phaseServing {
		e.state = stateReleased
		if executed == problem.ExecutedNo {
			h.late[key] = e
		} else {
			h.settle(key, e)
		}
	}
	return executed, nil
}

// refuse remembers that a ticket is refused, if there is room.
func (h *Home) refuse(key Key, end int64) problem.Executed {
	if h.refused >= h.options.MaxRefused {
		return problem.ExecutedUnknown
	}
	h.origins[key.Owner].refused[key.Number] = struct{}{}
	h.refused++
	h.expireAt(end, key)
	return problem.ExecutedNo
}

func (h *Home) isRefused(key Key) bool {
	_, ok := h.origins[key.Owner].refused[key.Number]
	return ok
}

// allow forgets that a ticket was refused.
func (h *Home) allow(key Key) {
	if h.isRefused(key) {
		delete(h.origins[key.Owner].refused, key.Number)
		h.refused--
	}
}

func (h *Home) expireAt(end int64, key Key) {
	h.expiry[end/1000] = append(h.expiry[end/1000], key)
}

// Complete stores the answer of an attempt; response must not be changed
// afterwards. The error tells that the answer belongs to no current attempt
// and must not be delivered. An answer for which there is no room counts as
// run, and repeats get the outcome Unknown.
func (h *Home) Complete(key Key, attempt wire.AttemptID, response *wire.Response) error {
	e, err := h.dispatched(key, attempt)
	if err != nil {
		return err
	}
	size := ResponseSize(response)
	if h.charged-e.charged+size > h.options.MaxAnswerBytes {
		response, size = nil, 0
	}
	delete(h.open, key)
	e.state, e.response = stateAnswered, response
	h.charge(e, size)
	h.settle(key, e)
	return nil
}

// MarkUnknown ends a request that may have run. It is never run again.
func (h *Home) MarkUnknown(key Key, attempt wire.AttemptID, reason Reason) error {
	e, err := h.dispatched(key, attempt)
	if err != nil {
		return err
	}
	h.markUnknown(key, e, reason)
	return nil
}

func (h *Home) markUnknown(key Key, e *entry, reason Reason) {
	delete(h.open, key)
	e.state, e.reason = stateUnknown, reason
	h.charge(e, 0)
	h.settle(key, e)
}

// charge sets the bytes that e counts against the limit.
func (h *Home) charge(e *entry, size int) {
	h.charged += size - e.charged
	e.charged = size
}

// settle files an entry that is no longer in progress here.
func (h *Home) settle(key Key, e *entry) {
	h.settled[key] = e
	h.expireAt(e.end, key)
	if h.phase != phaseServing {
		h.late[key] = e
	}
}

// Swept is a request that Sweep ended, for the daemon to tell its callers.
type Swept struct {
	Key Key
	// Executed is for the refusal to the callers.
	Executed problem.Executed
}

// Sweep ends requests in progress whose deadline has passed and forgets used
// tickets after their end and the retention. Call it about once a second.
func (h *Home) Sweep(now time.Time) []Swept {
	var over []Key
	for key, e := range h.open {
		if !now.Before(e.deadline) {
			over = append(over, key)
		}
	}
	slices.SortFunc(over, compareKeys)
	var swept []Swept
	for _, key := range over {
		e := h.open[key]
		if e.state == stateDispatched {
			h.markUnknown(key, e, ReasonDeadline)
			swept = append(swept, Swept{Key: key, Executed: problem.ExecutedUnknown})
		} else if executed, err := h.Refuse(key); err == nil {
			swept = append(swept, Swept{Key: key, Executed: executed})
		}
	}
	h.forget(now.Add(-h.options.Retention).Unix())
	return swept
}

// forget drops settled entries that ended before the given second, and
// origins all of whose tickets did.
func (h *Home) forget(second int64) {
	for end, keys := range h.expiry {
		if end >= second {
			continue
		}
		for _, key := range keys {
			from := h.origins[key.Owner]
			if from == nil || h.late[key] != nil {
				continue // the hand-over of a late one is outstanding
			}
			h.drop(key)
			from.horizon = max(from.horizon, (end+1)*1000)
		}
		delete(h.expiry, end)
	}
	for owner, from := range h.origins {
		if owner != h.self && from.lastEnd < second*1000 && h.phase == phaseServing && !h.runs(owner) {
			delete(h.origins, owner)
		}
	}
}

// runs tells that a request with a ticket of the owner is in progress.
func (h *Home) runs(owner Owner) bool {
	for key := range h.open {
		if key.Owner == owner {
			return true
		}
	}
	return false
}

// drop forgets the state of a ticket that is not in progress.
func (h *Home) drop(key Key) {
	if e := h.settled[key]; e != nil {
		h.charge(e, 0)
		delete(h.settled, key)
	}
	h.allow(key)
}

// Origins returns the incarnations whose tickets this home serves, for its
// member record: daemons find the successor of an ended home there.
func (h *Home) Origins() []Owner {
	owners := make([]Owner, 0, len(h.origins))
	for owner := range h.origins {
		owners = append(owners, owner)
	}
	slices.SortFunc(owners, compareOwners)
	return owners
}

// Results are sorted to be independent of the order of maps, so that a run
// with a fixed seed can be repeated.

func compareOwners(a, b Owner) int {
	return cmp.Or(cmp.Compare(a.Home, b.Home), cmp.Compare(a.Incarnation, b.Incarnation))
}

func compareKeys(a, b Key) int {
	return cmp.Or(compareOwners(a.Owner, b.Owner), cmp.Compare(a.Number, b.Number))
}
