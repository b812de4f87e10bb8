package agent

import (
	"context"
	"errors"
	"time"

	"tarragonshore.example/tarragonshore/internal/connection/peer"
	"tarragonshore.example/tarragonshore/internal/connection/wire"
	"tarragonshore.example/tarragonshore/internal/process/logging"
	"tarragonshore.example/tarragonshore/internal/version/catalog"
	"tarragonshore.example/tarragonshore/internal/version/confirmation"
	"tarragonshore.example/tarragonshore/internal/version/storeview"
)

const (
	// askTimeout bounds the wait for a reply to a question that is answered at once.
	askTimeout = 400 * time.Millisecond
	// parkTimeout bounds the wait for a reply to a parked question. A reader confirms its
	// tables once per pollWait.
	parkTimeout = pollWait + 300*time.Millisecond
)

var (
	// errLinkLost means that the link on which a question was sent has closed.
	errLinkLost = errors.New("the peer link closed before the reply; ask another member")
	// errInterrupted means that the reply is no longer awaited, since a peer has newer
	// tables.
	errInterrupted = errors.New("a peer reported newer tables; ask it for them")
)

// parkedQuestion is a peer's question that waits for this daemon's next confirmation.
type parkedQuestion struct {
	link     peer.Link
	number   uint64
	version  catalog.Version // of the peer's tables
	received time.Duration   // boot-clock time
}

// onQuestion answers a peer's question, or parks it until the next confirmation if the
// peer allows it and this daemon reads the store.
func (t *tablesFollower) onQuestion(link peer.Link, m *wire.TablesRequest) {
	question := parkedQuestion{link: link, number: m.Number, version: catalog.Version(m.Version), received: t.clock.now()}
	if m.Park && question.version == t.version() && wire.TablesSource(t.source.Load()) == wire.SourceStore {
		t.mu.Lock()
		t.parked[link.Number()] = question // a former question on the link is abandoned
		t.mu.Unlock()
		return
	}
	t.answer(question)
}

// answerParked answers all parked questions.
func (t *tablesFollower) answerParked() {
	t.mu.Lock()
	parked := t.parked
	t.parked = make(map[uint64]parkedQuestion, len(parked))
	t.mu.Unlock()
	for _, question := range parked {
		t.answer(question)
	}
}

// parkedQuestions returns the number of parked questions.
func (t *tablesFollower) parkedQuestions() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.parked)
}

// dropParked forgets the question that arrived on a link that has closed.
func (t *tablesFollower) dropParked(link uint64) {
	t.mu.Lock()
	delete(t.parked, link)
	t.mu.Unlock()
}

// answer replies to a question of a peer.
func (t *tablesFollower) answer(question parkedQuestion) {
	// The order matters if the process is paused in between: a time held that is read too
	// early, an age that is read too late and a version that is newer than the age
	// understate the freshness. So does an era that is read before the age, since the age
	// counts only in its era. See also age.
	reply := wire.TablesReply{Number: question.number, Held: t.clock.now() - question.received, StoreEra: t.era.Load()}
	reply.Age = t.age()
	reply.Evacuations = t.evacuationsCopy()
	if c := t.current.Load(); c != nil {
		reply.Version, reply.Next, reply.NextEra = uint64(c.catalog.Version()), c.next.Offset, c.next.Era
		if c.catalog.Version() > question.version {
			reply.Snapshot = c.snapshot
		}
	}
	if err := question.link.Send(reply); err != nil {
		logging.WarningEvent("tables", "reply-lost", "member", question.link.Peer().Member, "error", err)
	}
}

// reportedVersion notes that a peer has a version of the tables in force. If it is
// newer, a parked question is given up for it.
func (t *tablesFollower) reportedVersion(version catalog.Version) {
	if version <= t.version() {
		return
	}
	select {
	case t.newer <- struct{}{}:
	default: // already noted
	}
}

// askPeer asks a member for a confirmation, and for its tables if they are newer.
func (t *tablesFollower) askPeer(ctx context.Context, step confirmation.Step) {
	timeout, interrupt := askTimeout, (<-chan struct{})(nil)
	if step.Park {
		timeout, interrupt = parkTimeout, t.newer
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	t.questions++
	asked, version := t.clock.now(), t.version()
	reply, err := t.peers.askTables(ctx, step.Member, wire.TablesRequest{Number: t.questions, Version: uint64(version), Park: step.Park}, interrupt)
	now := t.clock.now()
	if errors.Is(err, errInterrupted) {
		return
	}
	if err != nil {
		t.metrics.RecordConfirmation("peer", false)
		logging.WarningEvent("tables", "peer-unanswered", "member", step.Member, "parked", step.Park, "error", err, "age_ms", ageMS(t.age()))
		t.chooser.Unanswered(now, step.Member)
		return
	}
	t.applyReply(asked, now, step.Member, reply)
}

// applyReply puts newer tables of a reply in force and records what it proves.
func (t *tablesFollower) applyReply(asked, now time.Duration, member string, reply *wire.TablesReply) {
	t.noteEra(reply.StoreEra)
	t.mergeEvacuations(now, reply.Evacuations) // before the tables, with which a new daemon begins to serve
	if reply.Version > uint64(t.version()) && len(reply.Snapshot) > 0 {
		content, err := catalog.DecodeSnapshot(reply.Snapshot)
		if err != nil {
			logging.ErrorEvent("tables", "snapshot-not-decoded", err, "member", member)
			t.chooser.Unanswered(now, member)
			return
		}
		next := storeview.Position{Era: reply.NextEra, Offset: reply.Next}
		if t.apply(content, reply.Snapshot, next) && next.Offset > 0 && (!t.known || t.position.Before(next)) {
			t.position, t.known = next, true
		}
	}
	proven, ok := confirmation.ProvenTime(asked, now, uint64(t.version()), confirmation.Answer{Version: reply.Version, Age: reply.Age, Held: reply.Held})
	ok = ok && reply.StoreEra >= t.era.Load() // a confirmation of before a restore proves nothing after it
	t.metrics.RecordConfirmation("peer", ok)
	if !ok {
		t.chooser.Unanswered(now, member)
		return
	}
	t.confirm(proven, reply.StoreEra)
	t.chooser.Answered(now, member, uint64(t.version()), now-proven)
}

// pendingQuestion is a question whose reply has not arrived.
type pendingQuestion struct {
	number uint64
	link   uint64 // number of the link it was sent on
	reply  chan *wire.TablesReply
}

// tablesState implements tablesPeers.
func (a *Agent) tablesState() confirmation.State {
	now := time.Now()
	state := confirmation.State{Members: a.fleet.tablesMembers(now)}
	state.Started, state.Listed = a.fleet.startTimes(now)
	return state
}

// askTables implements tablesPeers.
func (a *Agent) askTables(ctx context.Context, member string, question wire.TablesRequest, interrupt <-chan struct{}) (*wire.TablesReply, error) {
	address, ok := a.fleet.addressOf(member)
	if !ok {
		return nil, errLinkLost
	}
	link, err := a.hub.Link(ctx, member, address)
	if err != nil {
		return nil, err
	}
	pending := &pendingQuestion{number: question.Number, link: link.Number(), reply: make(chan *wire.TablesReply, 1)}
	a.question.Store(pending)
	defer a.question.Store(nil)
	if err := link.Send(question); err != nil {
		return nil, err
	}
	select {
	case reply, ok := <-pending.reply:
		if !ok {
			return nil, errLinkLost
		}
		return reply, nil
	case <-interrupt:
		return nil, errInterrupted
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// onTablesReply passes a reply to the question that waits for it. Replies to earlier
// questions are ignored.
func (a *Agent) onTablesReply(link peer.Link, m *wire.TablesReply) {
	if p := a.question.Load(); p != nil && p.number == m.Number && p.link == link.Number() && a.question.CompareAndSwap(p, nil) {
		p.reply <- m
	}
}

// questionLinkLost ends the wait for a reply on a link that has closed.
func (a *Agent) questionLinkLost(link uint64) {
	if p := a.question.Load(); p != nil && p.link == link && a.question.CompareAndSwap(p, nil) {
		close(p.reply)
	}
}
