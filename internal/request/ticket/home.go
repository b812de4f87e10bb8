package ticket

import (
	"cmp"
	"io"
	"slices"
	"time"

	"tarragonshore.example/tarragonshore/internal/connection/wire"
	"tarragonshore.example/tarragonshore/internal/request/problem"
)

// Options bounds the memory of a Table.
type Options struct {
	// MaxEntries bounds the number of used tickets.
	MaxEntries int
	// MaxRefused bounds the number of tickets whose request was refused and did
	// not run. They do not count against MaxEntries, so that refusals under
	// overload do not use up the room for requests that run.
	MaxRefused int
	// MaxResponseBytes bounds the size of the stored responses, as counted by
	// ResponseSize.
	MaxResponseBytes int
	// ResponseReserve bytes are reserved for each request in progress. A response
	// up to this size is always stored; a larger one only if there is room.
	ResponseReserve int
	// Retention is the time for which a used ticket is kept after its end, so
	// that late repeats still get the stored response.
	Retention time.Duration
}

// DefaultOptions allows 60 requests/s that run and 90/s that are refused, for
// the 330 s of Lifetime and Retention. An entry takes 274 bytes and a refused
// ticket 82 to 96 bytes.
func DefaultOptions() Options {
	return Options{MaxEntries: 20_000, MaxRefused: 30_000, MaxResponseBytes: 6 << 20, ResponseReserve: 4 << 10, Retention: 30 * time.Second}
}

type state uint8

const (
	stateBegun      state = iota + 1 // in progress; no attempt is dispatched
	stateDispatched                  // in progress; an attempt may run
	stateAnswered                    // has run; the response is stored unless it was too large
	stateUnknown                     // may have run
	// stateReleased: the request was refused during a hand-over. If the refusal
	// could not be remembered, the ticket counts as unused again once the
	// successor has the next export.
	stateReleased
	stateHeld // another home handed the ticket over and still runs the request
)

// entry is the state of one used ticket.
type entry struct {
	state        state
	reason       Reason // for stateUnknown
	fingerprint  Fingerprint
	end          int64 // Unix milliseconds
	deadline     time.Time
	attempt      wire.AttemptID
	upstream     string
	response     *wire.Response
	chargedBytes int      // bytes counted against MaxResponseBytes
	holder       DaemonID // for stateHeld: the home that runs the request
}

// issuer is an incarnation whose tickets this home serves.
type issuer struct {
	secret  [secretBytes]byte
	signer  *signer
	lastEnd int64 // latest end of a ticket of this issuer, in Unix milliseconds
	// refused has the numbers of tickets whose request was refused. A refused
	// ticket stays refused: otherwise a delayed copy of the request could run
	// after its caller was told that it did not.
	refused map[uint64]struct{}
	// The state of tickets that end before evictedBefore (Unix milliseconds) may have
	// been evicted. They never run, even if the wall clock is set back.
	evictedBefore int64
	lastImported  uint64 // serial number of the last export imported from this issuer
}

type phase uint8

const (
	phaseServing    phase = iota
	phaseSealed           // the first export is made but not confirmed
	phaseHandedOver       // the successor has confirmed the first export
)

// Table is the idempotency table of one daemon incarnation: the state of all
// tickets about which this daemon decides.
type Table struct {
	self       DaemonID
	options    Options
	lastNumber uint64 // number of the last issued ticket
	issuers    map[DaemonID]*issuer
	// inProgress has the entries of requests in progress here, settled all others.
	inProgress   map[Key]*entry
	settled      map[Key]*entry
	expiry       map[int64][]Key // keys in settled and of refused tickets, by the second in which they end
	refused      int             // refused tickets of all issuers
	chargedBytes int             // bytes counted against MaxResponseBytes

	phase           phase
	successor       DaemonID
	lastSerial      uint64         // serial number of the last export
	confirmedSerial uint64         // serial number of the last confirmed export, or 0
	pendingExport   *Snapshot      // the last export, until it is confirmed
	pendingKeys     []Key          // tickets about which the successor decides once pendingExport is confirmed
	awaitingExport  map[Key]*entry // ended since the first export; the next export carries them
	assemblies      map[DaemonID]*assembly
}

// NewTable returns an empty table with a new secret from random.
func NewTable(self DaemonID, options Options, random io.Reader) (*Table, error) {
	if len(self.Member) > maxNameBytes {
		return nil, &Error{Reason: ReasonNameTooLong}
	}
	var secret [secretBytes]byte
	if _, err := io.ReadFull(random, secret[:]); err != nil {
		return nil, &Error{Reason: ReasonRandom, Err: err}
	}
	h := &Table{
		self:           self,
		options:        options,
		issuers:        map[DaemonID]*issuer{},
		inProgress:     map[Key]*entry{},
		settled:        map[Key]*entry{},
		expiry:         map[int64][]Key{},
		awaitingExport: map[Key]*entry{},
		assemblies:     map[DaemonID]*assembly{},
	}
	h.issuers[self] = newIssuer(secret[:])
	return h, nil
}

func newIssuer(secret []byte) *issuer {
	created := &issuer{signer: newSigner(secret), refused: map[uint64]struct{}{}}
	copy(created.secret[:], secret)
	return created
}

// Issue returns a new ticket. A ticket takes memory only once it is used.
func (h *Table) Issue(now time.Time, workspace string) (Ticket, error) {
	if h.phase != phaseServing {
		return Ticket{}, &Error{Reason: ReasonHandingOver}
	}
	if len(workspace) > maxNameBytes {
		return Ticket{}, &Error{Reason: ReasonNameTooLong}
	}
	if reason := h.capacityReason(); reason != "" {
		return Ticket{}, &Error{Reason: reason}
	}
	h.lastNumber++
	own := h.issuers[h.self]
	end := now.Add(Lifetime).UnixMilli()
	own.lastEnd = max(own.lastEnd, end)
	t := Ticket{Issuer: h.self, Workspace: workspace, Number: h.lastNumber, End: time.UnixMilli(end)}
	t.mac = own.signer.mac(t)
	return t, nil
}

// capacityReason returns why the table has no room for another request, or "".
func (h *Table) capacityReason() Reason {
	if h.Entries() >= h.options.MaxEntries {
		return ReasonTableFull
	}
	if h.chargedBytes+h.options.ResponseReserve > h.options.MaxResponseBytes {
		return ReasonAnswersFull
	}
	return ""
}

// Refused returns the number of refused tickets in the table.
func (h *Table) Refused() int { return h.refused }

// Entries returns the number of used tickets in the table, without refused ones.
func (h *Table) Entries() int { return len(h.inProgress) + len(h.settled) }

// ResponseBytes returns the size of stored responses and of the reserves for
// requests in progress.
func (h *Table) ResponseBytes() int { return h.chargedBytes }

// InProgress returns the number of requests that this home still runs.
func (h *Table) InProgress() int { return len(h.inProgress) }

// Use is a request that came with a ticket.
type Use struct {
	Ticket      Ticket
	Workspace   string // of the key that came with the request
	Fingerprint Fingerprint
	Deadline    time.Time // of the request
}

// Begin decides how to proceed with a request that came with a ticket.
func (h *Table) Begin(now time.Time, use Use) Decision {
	t := use.Ticket
	d := Decision{Key: t.Key()}
	issuer := h.issuers[t.Issuer]
	switch {
	case issuer == nil:
		return d.with(WrongHome, ReasonIssuedElsewhere).forwardTo(t.Issuer)
	case !issuer.signer.verify(t):
		return d.with(Invalid, ReasonBadMAC).executed(problem.ExecutedNo)
	case t.Workspace != use.Workspace:
		return d.with(Invalid, ReasonOtherWorkspace).executed(problem.ExecutedNo)
	}
	if e := h.find(d.Key); e != nil {
		return h.decideRepeat(d, e, use)
	}
	if _, ok := issuer.refused[t.Number]; ok {
		return d.with(Refused, ReasonRefused).executed(problem.ExecutedNo)
	}
	end := t.End.UnixMilli()
	switch {
	case h.phase == phaseHandedOver:
		return d.with(WrongHome, ReasonHandedOver).forwardTo(h.successor)
	case h.phase == phaseSealed:
		return d.with(HandingOver, ReasonHandingOver)
	case end < issuer.evictedBefore:
		return d.with(Expired, ReasonForgotten).executed(problem.ExecutedUnknown)
	case !now.Before(t.End):
		return d.with(Expired, ReasonExpired).executed(problem.ExecutedNo)
	}
	if reason := h.capacityReason(); reason != "" {
		return d.with(Full, reason).executed(h.refuse(d.Key, end))
	}
	h.inProgress[d.Key] = &entry{
		state:        stateBegun,
		fingerprint:  use.Fingerprint,
		end:          end,
		deadline:     use.Deadline,
		chargedBytes: h.options.ResponseReserve,
	}
	h.chargedBytes += h.options.ResponseReserve
	return d.with(Dispatch, ReasonUnused)
}

func (h *Table) find(key Key) *entry {
	if e := h.inProgress[key]; e != nil {
		return e
	}
	return h.settled[key]
}

// decideRepeat decides about a request whose ticket has an entry.
func (h *Table) decideRepeat(d Decision, e *entry, use Use) Decision {
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
		return d.with(WrongHome, ReasonHeldByOldHome).forwardTo(e.holder)
	case stateReleased:
		return d.with(HandingOver, ReasonHandingOver)
	}
	return d.with(InProgress, ReasonRunning)
}

func (d Decision) with(outcome Outcome, reason Reason) Decision {
	d.Outcome, d.Reason = outcome, reason
	return d
}

func (d Decision) forwardTo(home DaemonID) Decision {
	d.Home = home
	return d
}

func (d Decision) executed(executed problem.Executed) Decision {
	d.Executed = executed
	return d
}

// RecordAttempt records an attempt. Call it before the attempt is sent, and send
// only if it succeeds: it ensures that no other attempt of the request may run.
func (h *Table) RecordAttempt(key Key, attempt wire.AttemptID, upstream string) error {
	e := h.inProgress[key]
	switch {
	case e == nil:
		return &Error{Reason: ReasonNotInProgress}
	case e.state != stateBegun:
		return &Error{Reason: ReasonDispatched}
	}
	e.state, e.attempt, e.upstream = stateDispatched, attempt, upstream
	return nil
}

// Proof is the kind of evidence that an attempt has not run and never will.
type Proof uint8

// The kinds of evidence. The zero value is none.
const (
	// ProofFenced: the executing daemon confirmed that it fenced the attempt off.
	ProofFenced Proof = iota + 1
	// ProofRefused: the executing daemon refused the attempt, with executed
	// "no", before it passed it to the backend server.
	ProofRefused
	// ProofNotSent: the attempt was never written to a link.
	ProofNotSent
)

// AttemptNotRun allows another attempt, given evidence that this one never runs.
func (h *Table) AttemptNotRun(key Key, attempt wire.AttemptID, proof Proof) error {
	e, err := h.currentAttempt(key, attempt)
	if err != nil {
		return err
	}
	if proof < ProofFenced || proof > ProofNotSent {
		return &Error{Reason: ReasonNoProof}
	}
	e.state, e.attempt, e.upstream = stateBegun, wire.AttemptID{}, ""
	return nil
}

// currentAttempt returns the entry whose current attempt is the given one.
func (h *Table) currentAttempt(key Key, attempt wire.AttemptID) (*entry, error) {
	e := h.inProgress[key]
	if e == nil || e.state != stateDispatched {
		return nil, &Error{Reason: ReasonNotInProgress}
	}
	if e.attempt != attempt {
		return nil, &Error{Reason: ReasonOtherAttempt}
	}
	return e, nil
}

// Refuse ends a request that has not run. Its ticket is refused from then on; to
// repeat the request, the caller needs a new ticket, which the refusal can carry.
// The refusal must state the returned value. It is "no" only if the refusal could
// be remembered. Otherwise the ticket counts as unused again, and a delayed copy
// of the request may still run.
func (h *Table) Refuse(key Key) (problem.Executed, error) {
	e := h.inProgress[key]
	if e == nil {
		return problem.ExecutedUnknown, &Error{Reason: ReasonNotInProgress}
	}
	if e.state != stateBegun {
		return problem.ExecutedUnknown, &Error{Reason: ReasonDispatched}
	}
	delete(h.inProgress, key)
	h.charge(e, 0)
	executed := h.refuse(key, e.end)
	if h.phase != phaseServing {
		e.state = stateReleased
		if executed == problem.ExecutedNo {
			h.awaitingExport[key] = e
		} else {
			h.settle(key, e)
		}
	}
	return executed, nil
}

// refuse remembers that a ticket is refused, if there is room, and returns whether
// its request can be said not to have run.
func (h *Table) refuse(key Key, end int64) problem.Executed {
	if h.refused >= h.options.MaxRefused {
		return problem.ExecutedUnknown
	}
	h.issuers[key.Issuer].refused[key.Number] = struct{}{}
	h.refused++
	h.expireAt(end, key)
	return problem.ExecutedNo
}

// isRefused tells whether a ticket of a known issuer was refused.
func (h *Table) isRefused(key Key) bool {
	_, ok := h.issuers[key.Issuer].refused[key.Number]
	return ok
}

// forgetRefusal removes a ticket from the refused ones.
func (h *Table) forgetRefusal(key Key) {
	if h.isRefused(key) {
		delete(h.issuers[key.Issuer].refused, key.Number)
		h.refused--
	}
}

// expireAt registers a ticket, so that evict removes its state some time after its
// end.
func (h *Table) expireAt(end int64, key Key) {
	h.expiry[end/1000] = append(h.expiry[end/1000], key)
}

// Complete ends a request and stores the response of its attempt, which must not
// be changed afterwards. If it returns an error, the attempt is not the current
// one and its response must not be delivered. If there is no room for the
// response, the request counts as run and repeats get the outcome Unknown.
func (h *Table) Complete(key Key, attempt wire.AttemptID, response *wire.Response) error {
	e, err := h.currentAttempt(key, attempt)
	if err != nil {
		return err
	}
	size := ResponseSize(response)
	if h.chargedBytes-e.chargedBytes+size > h.options.MaxResponseBytes {
		response, size = nil, 0
	}
	delete(h.inProgress, key)
	e.state, e.response = stateAnswered, response
	h.charge(e, size)
	h.settle(key, e)
	return nil
}

// MarkUnknown ends a request that may have run, so that it is never run again.
func (h *Table) MarkUnknown(key Key, attempt wire.AttemptID, reason Reason) error {
	e, err := h.currentAttempt(key, attempt)
	if err != nil {
		return err
	}
	h.markUnknown(key, e, reason)
	return nil
}

func (h *Table) markUnknown(key Key, e *entry, reason Reason) {
	delete(h.inProgress, key)
	e.state, e.reason = stateUnknown, reason
	h.charge(e, 0)
	h.settle(key, e)
}

// charge sets the number of bytes that e counts against MaxResponseBytes.
func (h *Table) charge(e *entry, size int) {
	h.chargedBytes += size - e.chargedBytes
	e.chargedBytes = size
}

// settle stores an entry that is no longer in progress here.
func (h *Table) settle(key Key, e *entry) {
	h.settled[key] = e
	h.expireAt(e.end, key)
	if h.phase != phaseServing {
		h.awaitingExport[key] = e
	}
}

// EndedRequest is a request that Sweep ended and whose callers the daemon has to answer.
type EndedRequest struct {
	Key Key
	// Executed is to be stated in the refusal to the callers.
	Executed problem.Executed
}

// Sweep ends requests in progress whose deadline has passed and evicts used
// tickets that ended more than Retention ago. Call it about once a second.
func (h *Table) Sweep(now time.Time) []EndedRequest {
	var overdue []Key
	for key, e := range h.inProgress {
		if !now.Before(e.deadline) {
			overdue = append(overdue, key)
		}
	}
	slices.SortFunc(overdue, compareKeys)
	var swept []EndedRequest
	for _, key := range overdue {
		e := h.inProgress[key]
		if e.state == stateDispatched {
			h.markUnknown(key, e, ReasonDeadline)
			swept = append(swept, EndedRequest{Key: key, Executed: problem.ExecutedUnknown})
		} else if executed, err := h.Refuse(key); err == nil {
			swept = append(swept, EndedRequest{Key: key, Executed: executed})
		}
	}
	h.evict(now.Add(-h.options.Retention).Unix())
	return swept
}

// evict removes settled entries and refused tickets that ended before the given
// Unix second, and issuers all of whose tickets did.
func (h *Table) evict(second int64) {
	for end, keys := range h.expiry {
		if end >= second {
			continue
		}
		for _, key := range keys {
			issuer := h.issuers[key.Issuer]
			if issuer == nil || h.awaitingExport[key] != nil {
				continue // the issuer is gone, or the successor still needs the state
			}
			h.drop(key)
			issuer.evictedBefore = max(issuer.evictedBefore, (end+1)*1000)
		}
		delete(h.expiry, end)
	}
	for id, issuer := range h.issuers {
		if id != h.self && issuer.lastEnd < second*1000 && h.phase == phaseServing && !h.hasInProgress(id) {
			delete(h.issuers, id)
		}
	}
}

// hasInProgress tells whether a request with a ticket of the issuer is in progress.
func (h *Table) hasInProgress(id DaemonID) bool {
	for key := range h.inProgress {
		if key.Issuer == id {
			return true
		}
	}
	return false
}

// drop removes the state of a ticket that is not in progress.
func (h *Table) drop(key Key) {
	if e := h.settled[key]; e != nil {
		h.charge(e, 0)
		delete(h.settled, key)
	}
	h.forgetRefusal(key)
}

// Issuers returns the incarnations whose tickets this home serves. The daemon
// publishes them in its member record, where others look up the successor of a
// home that has ended.
func (h *Table) Issuers() []DaemonID {
	ids := make([]DaemonID, 0, len(h.issuers))
	for id := range h.issuers {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, compareDaemons)
	return ids
}

// compareDaemons orders daemons. Results are sorted with it and with compareKeys, so
// that they do not depend on the iteration order of maps and a simulation with a
// fixed seed is reproducible.
func compareDaemons(a, b DaemonID) int {
	return cmp.Or(cmp.Compare(a.Member, b.Member), cmp.Compare(a.Incarnation, b.Incarnation))
}

func compareKeys(a, b Key) int {
	return cmp.Or(compareDaemons(a.Issuer, b.Issuer), cmp.Compare(a.Number, b.Number))
}
