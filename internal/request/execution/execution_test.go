package execution_test

import (
	"bytes"
	"cmp"
	"crypto/rand"
	"encoding/binary"
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"tarragonshore.example/tarragonshore/internal/connection/wire"
	"tarragonshore.example/tarragonshore/internal/request/execution"
	"tarragonshore.example/tarragonshore/internal/request/problem"
	"tarragonshore.example/tarragonshore/internal/request/ticket"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"seed": cmp.Or(os.Getenv("RAPID_SEED"), "1"), "steps": "200", "checks": "1000", "nofailfile": "true"} {
		_ = flag.Set("rapid."+name, value)
	}
	os.Exit(m.Run())
}

func TestExecution(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "execution")
}

var (
	start     = time.Unix(1_700_000_000, 0)
	requester = execution.Peer{Member: "a", Incarnation: 1}
	executor  = execution.Peer{Member: "x", Incarnation: 1}
	id        = wire.AttemptID{1}
)

func response(body string) *wire.Answer {
	return &wire.Answer{ID: id, Response: &wire.Response{Status: 200, Body: []byte(body)}}
}

var _ = Describe("Attempts", func() {
	const second = time.Second
	var a *execution.AttemptTable
	BeforeEach(func() { a = execution.NewAttemptTable(execution.DefaultAttemptOptions()) })

	It("runs an attempt once and sends the same answer until it is acknowledged", func() {
		Expect(a.Offer(start, id, requester, second).Outcome).To(Equal(execution.OfferNew))
		Expect(a.Offer(start, id, requester, second).Outcome).To(Equal(execution.OfferDuplicate))
		for _, want := range []bool{true, false} {
			started, _ := a.Start(start, id)
			Expect(started).To(Equal(want))
		}
		Expect(a.Settle(id, requester).State).To(Equal(wire.SettleRunning))
		kept := response("done")
		Expect(a.Finish(id, kept)).To(Equal(execution.Finished{Send: true, Requester: requester, Kept: true}))
		Expect(a.Finish(id, response("again")).Send).To(BeFalse())
		Expect(a.Settle(id, requester).Answer).To(BeIdenticalTo(kept))
		Expect(a.Offer(start, id, requester, second).Answer).To(BeIdenticalTo(kept))
		Expect(a.Settle(id, executor).State).To(Equal(wire.SettleUnknown), "another daemon gets no answer")
		a.Ack(id, requester)
		Expect(a.Offer(start, id, requester, second).Outcome).To(Equal(execution.OfferEnded))
		Expect(a.Settle(id, requester).State).To(Equal(wire.SettleUnknown))
	})

	DescribeTable("never starts a fenced attempt",
		func(fence func()) {
			fence()
			Expect(a.Offer(start, id, requester, second).Outcome).NotTo(Equal(execution.OfferNew))
			started, _ := a.Start(start, id)
			Expect(started).To(BeFalse())
			Expect(a.Settle(id, requester).State).To(Equal(wire.SettleFenced))
		},
		Entry("settled before it was received", func() { a.Settle(id, requester) }),
		Entry("settled while queued", func() { a.Offer(start, id, requester, second); a.Settle(id, requester) }),
		Entry("cancelled before it was received", func() { a.Cancel(id, requester) }),
		Entry("cancelled while queued", func() { a.Offer(start, id, requester, second); a.Cancel(id, requester) }),
		Entry("link lost while queued", func() { a.Offer(start, id, requester, second); a.LinkLost(requester) }),
		Entry("received without remaining time", func() { a.Offer(start, id, requester, 0) }),
		Entry("deadline passed while queued", func() { a.Offer(start, id, requester, second); a.Sweep(start.Add(second)) }),
		Entry("refused while queued", func() {
			a.Offer(start, id, requester, second)
			a.Finish(id, &wire.Answer{Refusal: &wire.Refusal{Executed: "no"}})
			a.Ack(id, requester)
		}),
		Entry("refused because MaxLive is reached", func() {
			other := wire.AttemptID{2}
			a = execution.NewAttemptTable(execution.AttemptOptions{MaxRemembered: 9, MaxLive: 1, MaxTimeout: second})
			a.Offer(start, other, requester, second)
			Expect(a.Offer(start, id, requester, second).Refusal.Executed).To(Equal(problem.ExecutedNo))
			a.Cancel(other, requester) // makes room, so that only the fence stops a delayed duplicate
		}),
	)

	It("does not report an attempt as not executed if it cannot remember its ID", func() {
		a = execution.NewAttemptTable(execution.AttemptOptions{})
		Expect(a.Offer(start, id, requester, second).Refusal.Executed).To(Equal(problem.ExecutedUnknown))
		Expect(a.Settle(id, requester).State).To(Equal(wire.SettleUnknown))
	})

	It("remembers fenced attempts through a pause of the process and forgets them after MaxTimeout + MaxDelay", func() {
		a.Settle(id, requester)
		a.Sweep(start)
		a.Sweep(start.Add(time.Hour))
		Expect(a.Offer(start, id, requester, second).Outcome).To(Equal(execution.OfferFenced))
		for i := range 40 {
			a.Sweep(start.Add(time.Hour + time.Duration(i)*second))
		}
		_, remembered, _ := a.Counts()
		Expect(remembered).To(BeZero())
	})
})

type (
	pending = *execution.PendingTable
	actions = []execution.Action
	kinds   = []execution.ActionKind
)

var _ = Describe("Pending", func() {
	const ack, deliver, notExecuted, unknown = execution.ActionAck, execution.ActionDeliver, execution.ActionNotExecuted, execution.ActionUnknown
	newer := execution.Peer{Member: "x", Incarnation: 2}
	refused := &wire.Answer{ID: id, Refusal: &wire.Refusal{Executed: "no"}}
	fenced := &wire.SettleResult{ID: id, State: wire.SettleFenced}
	DescribeTable("ends an attempt with the proven outcome",
		func(event func(p pending) actions, want kinds) {
			p := execution.NewPendingTable(1)
			Expect(p.Add(execution.SentAttempt{ID: id, Peer: executor, Link: 1, Deadline: start.Add(time.Second)})).To(BeNil())
			Expect(p.Add(execution.SentAttempt{ID: wire.AttemptID{2}}).Executed).To(Equal(problem.ExecutedNo))
			got := kinds{}
			for _, action := range event(p) {
				got = append(got, action.Kind)
			}
			Expect(got).To(Equal(want))
		},
		Entry("answer", func(p pending) actions { return p.OnAnswer(executor, response("")) }, kinds{ack, deliver}),
		Entry("answer of another daemon", func(p pending) actions { return p.OnAnswer(newer, response("")) }, kinds{ack}),
		Entry("duplicate answer", func(p pending) actions { p.OnAnswer(executor, response("")); return p.OnAnswer(executor, response("")) }, kinds{ack}),
		Entry("answer without content", func(p pending) actions { return p.OnAnswer(executor, &wire.Answer{ID: id}) }, kinds{ack, unknown}),
		Entry("refusal", func(p pending) actions { return p.OnAnswer(executor, refused) }, kinds{ack, notExecuted}),
		Entry("new link", func(p pending) actions { p.OnLinkLost(1); return p.OnLinkUp(executor, 2) }, kinds{execution.ActionSettle}),
		Entry("new link to a new incarnation", func(p pending) actions { p.OnLinkLost(1); return p.OnLinkUp(newer, 2) }, kinds{unknown}),
		Entry("fenced", func(p pending) actions { return p.OnSettleResult(executor, fenced) }, kinds{notExecuted}),
		Entry("fenced by a new incarnation", func(p pending) actions { return p.OnSettleResult(newer, fenced) }, kinds{}),
		Entry("deadline", func(p pending) actions { return p.OnDeadline(start.Add(time.Second)) }, kinds{unknown, execution.ActionCancel}),
	)
})

var _ = Describe("CallTable", func() {
	one, two := ticket.Fingerprint{1}, ticket.Fingerprint{2}
	begin := func(c *execution.CallTable, token, key string, f ticket.Fingerprint) execution.CallDecision {
		return c.Begin(start, token, key, f, false)
	}
	It("ties calls and their idempotency keys to a run", func() {
		c := execution.NewCallTable(execution.DefaultCallOptions())
		token, _ := c.BeginRun(rand.Reader, wire.Context{Workspace: "shop", Credits: 2, Depth: 1}, start.Add(time.Second))
		inherited, _ := c.Lookup(start, token)
		Expect(inherited).To(Equal(wire.Context{Workspace: "shop", Credits: 2, Depth: 2, RemainingMS: 1000}))
		Expect(c.TakeCredits(token, 3)).To(BeEquivalentTo(2))
		c.ReturnCredits(token, 9)
		Expect(begin(c, token, "", one).Problem.Kind).To(Equal(problem.KindTicketRequired))
		Expect(begin(c, token, "k", one).Outcome).To(Equal(execution.CallDispatch))
		Expect(begin(c, token, "k", one).Outcome).To(Equal(execution.CallInProgress))
		Expect(begin(c, token, "k", two).Problem.Kind).To(Equal(problem.KindTicketConflict))
		made := response("made").Response
		c.Complete(token, "k", made)
		Expect(begin(c, token, "k", one).Response).To(BeIdenticalTo(made))
		begin(c, token, "u", one)
		c.MarkUnknown(token, "u", execution.ReasonLinkLost)
		Expect(begin(c, token, "u", one).Outcome).To(Equal(execution.CallUnknown))
		Expect(c.EndRun(token)).To(BeEquivalentTo(2))
		_, refusal := c.Lookup(start, token)
		Expect(refusal.Kind).To(Equal(problem.KindRequestInvalid))
		Expect(c.ResponseBytes()).To(BeZero())
	})
	It("refuses a non-idempotent call below an idempotent parent", func() {
		c := execution.NewCallTable(execution.DefaultCallOptions())
		token, _ := c.BeginRun(rand.Reader, wire.Context{Idempotent: true}, start.Add(time.Second))
		Expect(begin(c, token, "k", one).Problem.Kind).To(Equal(problem.KindParentIdempotent))
	})
})

// BenchmarkOfferFinishAck measures one attempt in a table that remembers 35 s of
// attempts at 250 per second.
func BenchmarkOfferFinishAck(b *testing.B) {
	a, now := execution.NewAttemptTable(execution.DefaultAttemptOptions()), start
	answer := response(strings.Repeat("x", 200))
	b.ReportAllocs()
	for i := uint64(0); b.Loop(); i++ {
		if now = now.Add(4 * time.Millisecond); i%250 == 0 {
			a.Sweep(now)
		}
		var id wire.AttemptID
		binary.BigEndian.PutUint64(id[:], i)
		a.Offer(now, id, requester, time.Second)
		if started, _ := a.Start(now, id); !started || !a.Finish(id, answer).Kept {
			b.Fatal("the attempt did not start, or its answer was not kept")
		}
		a.Ack(id, requester)
	}
}

// Parameters of the model. It consists of callers, of three daemons, each of which serves
// callers, keeps tickets and executes attempts, and of a network that loses, duplicates,
// delays and reorders messages. maxMoves bounds how often a request is retried at another
// daemon, and maxHops how often it is forwarded.
const nodeCount, maxDelay, maxTimeout, maxMoves, maxHops = 3, 5 * time.Second, 10 * time.Second, 2, 3

// packet is an encoded message in the network.
type packet struct {
	from, to execution.Peer
	frame    []byte
	sent     time.Time
}

// callerRequest is a request of a caller. Its body is its index in world.requests.
type callerRequest struct {
	ticket  ticket.Ticket
	waiting int  // tries without a reply
	closed  bool // the caller was told that the request was not executed
	runs    byte // how often the request ran
}

// world is the state of the modelled system.
type world struct {
	t                *rapid.T
	now              time.Time
	nodes            [nodeCount]*node
	links            [nodeCount][nodeCount]uint64 // number of the link, 0 if it is down
	lastLink, lastID uint64
	net              []packet
	requests         []*callerRequest
	ran, notExecuted map[wire.AttemptID]bool // attempts that ran, and that were reported as not executed
	seen             map[string]int          // how often each case was reached
}

// replyFunc receives the reply to a request.
type replyFunc func(wire.Answer)

// node is one incarnation of a daemon.
type node struct {
	*world
	index          int
	peer           execution.Peer
	tickets        *ticket.Table
	pending        *execution.PendingTable
	attempts       *execution.AttemptTable
	queue, running []*wire.Attempt
	onEnd          map[wire.AttemptID]func(execution.Action) // called when a sent attempt ends
	waiters        map[ticket.Key][]replyFunc
	parked         []func() // requests to serve again after a hand-over
}

func (w *world) draw(n int) int { return rapid.IntRange(0, n-1).Draw(w.t, "choice") }

func (w *world) randomNode() *node { return w.nodes[w.draw(nodeCount)] }

// chance returns true with a probability of 1 in 2^bits. It draws booleans, because
// rapid draws integers with a bias towards 0.
func (w *world) chance(bits int) bool {
	return bits == 0 || rapid.Bool().Draw(w.t, "chance") && w.chance(bits-1)
}

func (w *world) startNode(index int, incarnation uint64) {
	peer := execution.Peer{Member: fmt.Sprint(index), Incarnation: incarnation}
	secret := bytes.NewReader(bytes.Repeat([]byte{byte(index), byte(incarnation)}, 16))
	tickets, _ := ticket.NewTable(ticket.DaemonID{Member: peer.Member, Incarnation: incarnation},
		ticket.Options{MaxEntries: 4, MaxRefused: 4, MaxResponseBytes: 240, ResponseReserve: 80, Retention: time.Minute}, secret)
	w.nodes[index] = &node{world: w, index: index, peer: peer, tickets: tickets, pending: execution.NewPendingTable(20),
		attempts: execution.NewAttemptTable(execution.AttemptOptions{MaxLive: 6, MaxRemembered: 60, MaxAnswerBytes: 150,
			AnswerReserve: 72, MaxTimeout: maxTimeout, MaxDelay: maxDelay}),
		onEnd: map[wire.AttemptID]func(execution.Action){}, waiters: map[ticket.Key][]replyFunc{}}
}

func (w *world) nodeOf(peer execution.Peer) *node {
	if i := slices.IndexFunc(w.nodes[:], func(n *node) bool { return n.peer == peer }); i >= 0 {
		return w.nodes[i]
	}
	return nil
}

func (n *node) send(to execution.Peer, m wire.Message) {
	if other := n.nodeOf(to); other == nil || n.links[n.index][other.index] == 0 {
		return
	}
	frame, err := wire.Encode(m)
	if err != nil {
		n.t.Fatal(err)
	}
	n.net = append(n.net, packet{from: n.peer, to: to, frame: frame, sent: n.now})
}

// sendTracked registers an attempt or a forwarded request as pending and sends it.
// It returns false if nothing was sent.
func (n *node) sendTracked(to *node, deadline time.Time, message func(wire.AttemptID, wire.Context) wire.Message, end func(execution.Action)) bool {
	link := n.links[n.index][to.index]
	if link == 0 || !n.now.Before(deadline) {
		return false
	}
	n.lastID++
	var id wire.AttemptID
	binary.BigEndian.PutUint64(id[:], n.lastID)
	m := message(id, wire.Context{RemainingMS: uint32(deadline.Sub(n.now).Milliseconds())})
	if m == nil || n.pending.Add(execution.SentAttempt{ID: id, Peer: to.peer, Link: link, Deadline: deadline}) != nil {
		return false
	}
	n.onEnd[id] = end
	n.send(to.peer, m)
	return true
}

func refusal(executed problem.Executed) wire.Answer {
	return wire.Answer{Refusal: &wire.Refusal{Executed: string(executed)}}
}

// serve handles a request with a ticket. hops is how often the request was forwarded.
func (n *node) serve(text string, request wire.Request, deadline time.Time, hops uint8, reply replyFunc) {
	t, _ := ticket.Parse(text)
	d := n.tickets.Begin(n.now, ticket.TicketedRequest{Ticket: t, Fingerprint: ticket.FingerprintOf(&request), Deadline: deadline})
	n.seen[string(d.Reason)]++
	switch d.Outcome {
	case ticket.Dispatch, ticket.InProgress:
		n.waiters[d.Key] = append(n.waiters[d.Key], reply)
		if d.Outcome == ticket.Dispatch {
			n.dispatch(d.Key, request, deadline, 0)
		}
	case ticket.Replay:
		reply(wire.Answer{Response: d.Response})
	case ticket.HandingOver:
		if n.now.Before(deadline) {
			n.parked = append(n.parked, func() { n.serve(text, request, deadline, hops, reply) })
		} else {
			reply(refusal(problem.ExecutedUnknown))
		}
	case ticket.NotOwner:
		n.forward(d.Owner, text, request, deadline, hops, reply)
	default:
		reply(refusal(d.Problem().Executed))
	}
}

// forward sends a request to the owner of its ticket or, if that daemon has terminated, to
// the successor that has its table.
func (n *node) forward(owner ticket.DaemonID, text string, request wire.Request, deadline time.Time, hops uint8, reply replyFunc) {
	to := n.nodeOf(execution.Peer{Member: owner.Member, Incarnation: owner.Incarnation})
	for _, other := range n.nodes {
		if to == nil && other != n && slices.Contains(other.tickets.Issuers(), owner) {
			to = other
		}
	}
	if to == nil || to == n || hops >= maxHops || !n.sendTracked(to, deadline, func(id wire.AttemptID, c wire.Context) wire.Message {
		c.Depth = hops + 1
		return &wire.Forward{ID: id, Ticket: text, Request: request, Context: c}
	}, func(a execution.Action) {
		if a.Answer != nil {
			reply(*a.Answer)
		} else if a.Kind == execution.ActionNotExecuted {
			n.serve(text, request, deadline, hops+1, reply)
		} else {
			reply(refusal(problem.ExecutedUnknown))
		}
	}) {
		reply(refusal(problem.ExecutedUnknown))
	}
}

// dispatch sends an attempt of a request to one of the other daemons.
func (n *node) dispatch(key ticket.Key, request wire.Request, deadline time.Time, moves int) {
	to := n.nodes[(n.index+1+n.draw(nodeCount-1))%nodeCount]
	if moves <= maxMoves && n.sendTracked(to, deadline, func(id wire.AttemptID, c wire.Context) wire.Message {
		if n.tickets.RecordAttempt(key, id, to.peer.Member) != nil {
			return nil
		}
		return &wire.Attempt{ID: id, Request: request, Context: c}
	}, func(a execution.Action) {
		switch a.Kind {
		case execution.ActionNotExecuted:
			n.notExecuted[a.ID] = true
			n.seen["moved: "+string(a.Reason)]++
			if n.tickets.AttemptNotRun(key, a.ID, ticket.ProofFenced) == nil {
				n.dispatch(key, request, deadline, moves+1)
			}
		case execution.ActionDeliver:
			if n.tickets.Complete(key, a.ID, a.Answer.Response) == nil {
				n.end(key, *a.Answer)
			}
		default:
			if n.tickets.MarkUnknown(key, a.ID, ticket.ReasonNoAnswer) == nil {
				n.end(key, refusal(problem.ExecutedUnknown))
			}
		}
	}) {
		return
	}
	if executed, err := n.tickets.Refuse(key); err == nil {
		n.end(key, refusal(executed))
	}
}

func (n *node) end(key ticket.Key, answer wire.Answer) {
	replies := n.waiters[key]
	delete(n.waiters, key)
	for _, reply := range replies {
		reply(answer)
	}
}

func (n *node) perform(actions []execution.Action) {
	for _, a := range actions {
		switch a.Kind {
		case execution.ActionSettle:
			n.send(a.Peer, &wire.Settle{ID: a.ID})
		case execution.ActionAck:
			n.send(a.Peer, &wire.AnswerAck{ID: a.ID})
		case execution.ActionCancel:
			n.send(a.Peer, &wire.Cancel{ID: a.ID})
		default:
			end := n.onEnd[a.ID]
			delete(n.onEnd, a.ID)
			end(a)
		}
	}
}

// stop removes ended attempts from the queue. Running ones continue.
func (n *node) stop(stops []execution.StopAction) {
	for _, s := range stops {
		n.queue = slices.DeleteFunc(n.queue, func(a *wire.Attempt) bool { return a.ID == s.ID })
	}
}

func (n *node) finish(id wire.AttemptID, answer wire.Answer) {
	answer.ID = id
	if f := n.attempts.Finish(id, &answer); f.Send {
		n.send(f.Requester, &answer)
	}
}

func (n *node) receive(from execution.Peer, message wire.Message) {
	switch m := message.(type) {
	case *wire.Attempt:
		o := n.attempts.Offer(n.now, m.ID, from, m.Context.Remaining())
		n.seen["offered: "+string(o.Reason)]++
		if o.Outcome == execution.OfferNew {
			n.queue = append(n.queue, m)
		} else if o.Answer != nil {
			n.send(from, o.Answer)
		} else if o.Refusal != nil {
			n.send(from, &wire.Answer{ID: m.ID, Refusal: &wire.Refusal{Executed: string(o.Refusal.Executed)}})
		}
	case *wire.Forward:
		if n.attempts.Offer(n.now, m.ID, from, m.Context.Remaining()).Outcome == execution.OfferNew {
			n.attempts.Start(n.now, m.ID)
			n.serve(m.Ticket, m.Request, n.now.Add(m.Context.Remaining()), m.Context.Depth, func(a wire.Answer) { n.finish(m.ID, a) })
		} // otherwise send no refusal: only the ticket table may report a request as not executed
	case *wire.Answer:
		n.perform(n.pending.OnAnswer(from, m))
	case *wire.AnswerAck:
		n.attempts.Ack(m.ID, from)
	case *wire.Settle:
		s := n.attempts.Settle(m.ID, from)
		n.seen["settled: "+string(s.Reason)]++
		if s.Dequeue {
			n.stop([]execution.StopAction{{ID: m.ID}})
		}
		n.send(from, &wire.SettleResult{ID: m.ID, State: s.State})
		if s.Answer != nil {
			n.send(from, s.Answer)
		}
	case *wire.SettleResult:
		n.perform(n.pending.OnSettleResult(from, m))
	case *wire.Cancel:
		n.stop(n.attempts.Cancel(m.ID, from))
	case *wire.Handover:
		if result, err := n.tickets.Import(n.now, m.Data); err == nil {
			n.send(from, &wire.HandoverAck{Number: result.Serial, Accepted: result.Done})
		}
	case *wire.HandoverAck:
		if m.Accepted && n.tickets.Confirm(m.Number) == nil {
			n.serveParked()
		}
	}
}

func (n *node) serveParked() {
	parked := n.parked
	n.parked = nil
	for _, resume := range parked {
		resume()
	}
}

// disconnect closes the link between two daemons. Messages in the network may still
// arrive.
func (w *world) disconnect(a, b *node) {
	for _, pair := range [][2]*node{{a, b}, {b, a}} {
		link := &w.links[pair[0].index][pair[1].index]
		pair[0].pending.OnLinkLost(*link)
		pair[0].stop(pair[0].attempts.LinkLost(pair[1].peer))
		*link = 0
	}
}

func (w *world) connect(a, b *node) {
	w.lastLink++
	w.links[a.index][b.index], w.links[b.index][a.index] = w.lastLink, w.lastLink
	a.perform(a.pending.OnLinkUp(b.peer, w.lastLink))
	b.perform(b.pending.OnLinkUp(a.peer, w.lastLink))
}

func (w *world) restart(n *node) {
	others := slices.DeleteFunc(slices.Clone(w.nodes[:]), func(o *node) bool { return o == n })
	for _, other := range others {
		w.disconnect(n, other)
	}
	w.startNode(n.index, n.peer.Incarnation+1)
	for _, other := range others {
		other.tickets.MarkHeldUnknown(ticket.DaemonID{Member: n.peer.Member, Incarnation: n.peer.Incarnation})
		other.stop(other.attempts.RequesterGone(n.peer))
		w.connect(w.nodes[n.index], other)
	}
}

// submit sends a caller's request to a random daemon. The reply may get lost on its way
// to the caller.
func (w *world) submit(number int) {
	r := w.requests[number]
	if r.closed {
		return
	}
	r.waiting++
	lost := w.chance(2)
	w.randomNode().serve(r.ticket.String(), wire.Request{Body: []byte{byte(number)}}, w.now.Add(maxTimeout), 0, func(a wire.Answer) {
		if lost {
			return
		}
		r.waiting--
		if a.Response != nil {
			w.seen["answered"]++
			if !bytes.Equal(a.Response.Body, []byte{byte(number), 1}) || a.Response.Status != 201 {
				w.t.Fatalf("the caller of request %d got the answer %v", number, a.Response)
			}
		} else if a.Refusal.Executed == string(problem.ExecutedNo) {
			r.closed = true
			w.seen["told not executed"]++
		}
	})
}

func (w *world) deliver(*rapid.T) {
	if len(w.net) == 0 {
		return
	}
	i := w.draw(len(w.net))
	p := w.net[i]
	if !w.chance(2) { // otherwise the packet stays and is delivered again
		w.net = slices.Delete(w.net, i, i+1)
	}
	m, err := wire.Decode(p.frame)
	if err != nil {
		w.t.Fatal(err)
	}
	if n := w.nodeOf(p.to); n != nil && !w.chance(3) { // otherwise the packet is lost
		n.receive(p.from, m)
	}
}

// work starts or refuses a queued attempt of a random daemon, or finishes a running one.
func (w *world) work(*rapid.T) {
	n := w.randomNode()
	if len(n.queue) > 0 && w.chance(1) {
		a := n.queue[0]
		n.queue = n.queue[1:]
		if w.chance(2) {
			n.finish(a.ID, refusal(problem.ExecutedNo))
		} else if ok, _ := n.attempts.Start(w.now, a.ID); ok {
			r := w.requests[a.Request.Body[0]]
			r.runs++
			w.ran[a.ID] = true
			a.Request.Body = append(a.Request.Body, r.runs)
			n.running = append(n.running, a)
		}
	} else if len(n.running) > 0 && w.chance(1) {
		a := n.running[0]
		n.running = n.running[1:]
		n.finish(a.ID, wire.Answer{Response: &wire.Response{Status: 201, Body: a.Request.Body}})
	}
}

func (w *world) wait(seconds int) {
	for range seconds {
		w.now = w.now.Add(time.Second)
		w.net = slices.DeleteFunc(w.net, func(p packet) bool { return w.now.Sub(p.sent) > maxDelay })
		for _, n := range w.nodes {
			for _, swept := range n.tickets.Sweep(w.now) {
				n.end(swept.Key, refusal(swept.Executed))
			}
			n.perform(n.pending.OnDeadline(w.now))
			n.stop(n.attempts.Sweep(w.now))
			n.serveParked()
		}
	}
}

func (w *world) check(t *rapid.T) {
	for number, r := range w.requests {
		if r.runs > 1 || r.closed && r.runs > 0 {
			t.Fatalf("request %d ran %d times; its caller was told that it did not: %t", number, r.runs, r.closed)
		}
	}
	for id := range w.notExecuted {
		if w.ran[id] {
			t.Fatal("an attempt ran that was reported as not executed")
		}
	}
}

// TestAtMostOnce guards against a request that runs twice, that is wrongly reported as
// not executed, or whose caller gets a wrong or incomplete answer, when messages are
// lost, duplicated or reordered, links break, and daemons restart or hand over tickets.
func TestAtMostOnce(t *testing.T) {
	seen := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, now: start, ran: map[wire.AttemptID]bool{}, notExecuted: map[wire.AttemptID]bool{}, seen: seen}
		for i := range w.nodes {
			w.startNode(i, 1)
		}
		for i, n := range w.nodes {
			w.connect(n, w.nodes[(i+1)%nodeCount])
		}
		// An action that is not possible returns without effect. It does not call
		// Skip, since rapid ends runs early that skip often.
		t.Repeat(map[string]func(*rapid.T){
			"": w.check, "deliver 1": w.deliver, "deliver 2": w.deliver, "deliver 3": w.deliver, "work 1": w.work, "work 2": w.work,
			"new": func(*rapid.T) {
				if issued, err := w.randomNode().tickets.Issue(w.now, ""); err == nil {
					w.requests = append(w.requests, &callerRequest{ticket: issued})
					w.submit(len(w.requests) - 1)
				}
			},
			"repeat": func(*rapid.T) {
				if len(w.requests) > 0 {
					w.submit(w.draw(len(w.requests)))
				}
			},
			"link": func(*rapid.T) {
				n := w.randomNode()
				next := w.nodes[(n.index+1)%nodeCount]
				if w.disconnect(n, next); !w.chance(2) {
					w.connect(n, next)
				}
			},
			"restart": func(*rapid.T) {
				if w.chance(3) {
					w.restart(w.randomNode())
				}
			},
			"hand over": func(*rapid.T) {
				if !w.chance(3) {
					return
				}
				n := w.randomNode()
				to := w.nodes[(n.index+1)%nodeCount].peer
				export, _ := n.tickets.Export(ticket.DaemonID{Member: to.Member, Incarnation: to.Incarnation})
				for _, part := range export.Parts {
					n.send(to, &wire.Handover{Data: part})
				}
			},
			"wait": func(*rapid.T) {
				if w.wait(1); w.chance(5) {
					w.wait(30 * (1 + w.draw(12)))
				}
			},
		})
	})
	t.Log(seen)
	for _, reached := range strings.Split("answered|told not executed|moved: attempt is fenced|moved: attempt was refused before it ran|"+
		"settled: answer is kept|settled: attempt was never received and is now fenced|settled: attempt is running|"+
		"settled: attempt was queued and is now fenced|offered: too many attempts or kept answers|offered: attempt is fenced|"+
		"offered: answer is kept|answer is stored|old home still runs the request|ticket was handed over to a successor|"+
		"home of the ticket is gone|request with this ticket was refused before|table of used tickets is full|ticket has expired|"+
		"memory for stored answers is full|ticket has expired and its state is no longer kept|table is being handed over", "|") {
		if seen[reached] == 0 {
			t.Errorf("the model never reached %q", reached)
		}
	}
}
