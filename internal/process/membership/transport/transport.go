// Package transport runs a membership core. It owns the UDP socket and the lock that
// guards the core, calls the core's timers, and announces this member on the platform's
// log.
package transport

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"tarragonshore.example/tarragonshore/internal/process/membership"
)

// Clock is the source of time.
type Clock interface {
	Now() time.Time
	After(d time.Duration) <-chan time.Time
}

// SystemClock is the system's Clock.
type SystemClock struct{}

// Now returns time.Now.
func (SystemClock) Now() time.Time { return time.Now() }

// After returns time.After.
func (SystemClock) After(d time.Duration) <-chan time.Time { return time.After(d) }

// Options configure a Service.
type Options struct {
	// Conn is the UDP socket on the peer port. Run closes it.
	Conn  net.PacketConn
	Clock Clock
	// Rand is used only under the service's lock.
	Rand *rand.Rand
	// Self is this member's initial record.
	Self membership.Record
	// Seeds are peer addresses from which to request members, in addition to the
	// members on the log.
	Seeds []netip.AddrPort
}

// Service runs a membership core. Its methods are safe for concurrent use.
type Service struct {
	conn  net.PacketConn
	clock Clock

	mu   sync.Mutex // guards core; held while actions are queued, so that they stay in order
	core *membership.Core

	view    atomic.Pointer[membership.View]
	actions actionQueue

	sent, received               atomic.Uint64
	sentBytes, receivedBytes     atomic.Uint64
	sendErrors, undecodable      atomic.Uint64
	readErrors, ownNameDatagrams atomic.Uint64
}

// Stats counts the traffic of a service since its start. Bytes exclude IP and UDP headers.
type Stats struct {
	Sent, Received           uint64
	SentBytes, ReceivedBytes uint64
	SendErrors, ReadErrors   uint64
	// Undecodable counts received datagrams that are not valid, and OwnNameDatagrams
	// those whose sender has this member's name.
	Undecodable, OwnNameDatagrams uint64
}

// New returns a service. It neither sends nor receives before Run.
func New(o Options) (*Service, error) {
	core, err := membership.New(o.Clock.Now(), o.Self, o.Rand)
	if err != nil {
		return nil, err
	}
	core.AddSeeds(o.Seeds...)
	s := &Service{conn: o.Conn, clock: o.Clock, core: core}
	s.actions.wake = make(chan struct{}, 1)
	s.view.Store(core.View())
	return s, nil
}

// View returns the current snapshot of the members. It takes no lock.
func (s *Service) View() *membership.View { return s.view.Load() }

// Subscribe registers a handler for all actions except Send and Ignored. One goroutine of
// Run calls the handlers, in the order of the actions, so that a slow handler delays other
// handlers but not the protocol. The returned function ends the subscription.
func (s *Service) Subscribe(handler func(membership.Action)) (cancel func()) {
	return s.actions.subscribe(handler)
}

// SetSelf changes the mutable part of this member's own record. The error is a
// *membership.RecordError.
func (s *Service) SetSelf(info membership.MutableInfo) error {
	var err error
	s.handle(func(now time.Time) (actions []membership.Action) {
		actions, err = s.core.SetSelf(now, info)
		return actions
	})
	return err
}

// SetTablesStatus stores this daemon's status, which other members receive.
func (s *Service) SetTablesStatus(status membership.TablesStatus) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.SetTablesStatus(status)
}

// HandleAnnouncement passes a record that was read from the log to the core.
func (s *Service) HandleAnnouncement(r membership.Record) {
	s.handle(func(now time.Time) []membership.Action { return s.core.HandleAnnouncement(now, r) })
}

// TablesReports returns the recent reports of other members about their reads of the
// log. It also returns how many random members were recently queried for theirs, and
// how many of these answered.
func (s *Service) TablesReports() (reports []membership.TablesReport, asked, answered int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	asked, answered = s.core.StatusQueryCounts(now)
	return s.core.TablesReports(now), asked, answered
}

// Lookup returns a member in any state, or nil if it is unknown.
func (s *Service) Lookup(name string) *membership.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Lookup(name)
}

// Self returns this member's own record.
func (s *Service) Self() *membership.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Self()
}

// Leave marks this member as left, which is final, and returns after the time that the
// dissemination of the update takes. Run must not have ended.
func (s *Service) Leave(ctx context.Context) error {
	s.handle(func(now time.Time) []membership.Action { return s.core.Leave(now) })
	select {
	case <-s.clock.After(membership.LeaveDuration):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Stats returns the traffic counters.
func (s *Service) Stats() Stats {
	return Stats{
		Sent: s.sent.Load(), Received: s.received.Load(),
		SentBytes: s.sentBytes.Load(), ReceivedBytes: s.receivedBytes.Load(),
		SendErrors: s.sendErrors.Load(), ReadErrors: s.readErrors.Load(),
		Undecodable: s.undecodable.Load(), OwnNameDatagrams: s.ownNameDatagrams.Load(),
	}
}

// Run receives datagrams and calls the core's timers until the context ends; it then
// closes the socket and returns nil. It returns an error if the socket was closed
// before.
func (s *Service) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group sync.WaitGroup
	group.Go(func() { s.actions.run(ctx) })
	group.Go(func() { s.tick(ctx) })
	stop := context.AfterFunc(ctx, func() { _ = s.conn.Close() })
	defer stop()
	err := s.receive(ctx)
	cancel()
	group.Wait()
	return err
}

func (s *Service) tick(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.clock.After(membership.TickInterval):
			s.handle(s.core.Tick)
		}
	}
}

// readRetryDelay is the wait after a failed read. On Linux, a read can return the error
// of an earlier datagram that the receiver's host refused, while the socket is intact.
const readRetryDelay = 10 * time.Millisecond

func (s *Service) receive(ctx context.Context) error {
	buffer := make([]byte, membership.MaxDatagramBytes+1)
	for {
		n, from, err := s.conn.ReadFrom(buffer)
		switch {
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, net.ErrClosed):
			return err
		case err != nil:
			s.readErrors.Add(1)
			select {
			case <-ctx.Done():
				return nil
			case <-s.clock.After(readRetryDelay):
			}
			continue
		}
		s.received.Add(1)
		s.receivedBytes.Add(uint64(n))
		address := addrPort(from)
		s.handle(func(now time.Time) []membership.Action { return s.core.Receive(now, address, buffer[:n]) })
	}
}

// addrPort returns the address of a sender. It unmaps IPv4-mapped IPv6 addresses.
func addrPort(a net.Addr) netip.AddrPort {
	udp, ok := a.(*net.UDPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	ap := udp.AddrPort()
	return netip.AddrPortFrom(ap.Addr().Unmap(), ap.Port())
}

// handle runs one event of the core under the lock and executes its actions. It queues
// notifications under the lock, to keep their order, and sends datagrams after releasing
// it.
func (s *Service) handle(event func(now time.Time) []membership.Action) {
	s.mu.Lock()
	var sends []membership.Send
	for _, a := range event(s.clock.Now()) {
		switch a := a.(type) {
		case membership.Send:
			sends = append(sends, a)
		case membership.Ignored:
			s.countIgnored(a)
		default:
			s.actions.push(a)
		}
	}
	s.view.Store(s.core.View())
	s.mu.Unlock()
	for _, send := range sends {
		s.sent.Add(1)
		s.sentBytes.Add(uint64(len(send.Datagram)))
		if _, err := s.conn.WriteTo(send.Datagram, net.UDPAddrFromAddrPort(send.To)); err != nil {
			s.sendErrors.Add(1)
		}
	}
}

func (s *Service) countIgnored(a membership.Ignored) {
	if a.Reason == membership.ReasonUndecodable {
		s.undecodable.Add(1)
	} else {
		s.ownNameDatagrams.Add(1)
	}
}

// actionQueue delivers actions to the subscribers in order. It has no limit of its own,
// since it only grows with the state changes of members.
type actionQueue struct {
	mu       sync.Mutex
	pending  []membership.Action
	handlers []*func(membership.Action)
	wake     chan struct{}
}

func (q *actionQueue) push(a membership.Action) {
	q.mu.Lock()
	q.pending = append(q.pending, a)
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

func (q *actionQueue) subscribe(handler func(membership.Action)) func() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.handlers = append(q.handlers, &handler)
	return func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		q.handlers = slices.DeleteFunc(slices.Clone(q.handlers), func(h *func(membership.Action)) bool { return h == &handler })
	}
}

func (q *actionQueue) run(ctx context.Context) {
	for {
		q.mu.Lock()
		batch, handlers := q.pending, slices.Clone(q.handlers)
		q.pending = nil
		q.mu.Unlock()
		for _, a := range batch {
			for _, h := range handlers {
				(*h)(a)
			}
		}
		if len(batch) > 0 {
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-q.wake:
		}
	}
}
