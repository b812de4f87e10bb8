// Package transport runs a membership core: it owns the UDP socket and the lock
// around the core, lets time pass, and announces the member on the platform's log.
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

// SystemClock is the Clock of the machine.
type SystemClock struct{}

// Now returns the machine's time with its monotonic reading.
func (SystemClock) Now() time.Time { return time.Now() }

// After is time.After.
func (SystemClock) After(d time.Duration) <-chan time.Time { return time.After(d) }

// Options are what a Service needs.
type Options struct {
	// Conn is the UDP socket on the peer port. Run closes it.
	Conn  net.PacketConn
	Clock Clock
	// Rand is used only under the service's lock.
	Rand *rand.Rand
	// Self is this member's first record.
	Self membership.Record
	// Seeds are peer addresses to join by, besides the members on the log.
	Seeds []netip.AddrPort
}

// Service is a running membership core. Its methods are safe for concurrent use.
type Service struct {
	conn  net.PacketConn
	clock Clock

	mu   sync.Mutex // guards core and the order of appends to events
	core *membership.Core

	view   atomic.Pointer[membership.View]
	events eventQueue

	sent, received         atomic.Uint64
	sentBytes, recvBytes   atomic.Uint64
	sendErrors, undecoded  atomic.Uint64
	readFailures, ownNames atomic.Uint64
}

// Stats counts a service's traffic since its start. Bytes are without IP and UDP headers.
type Stats struct {
	Sent, Received           uint64
	SentBytes, ReceivedBytes uint64
	SendErrors, ReadErrors   uint64
	// Undecodable counts datagrams that are not valid, and OwnName those sent
	// under this member's own name.
	Undecodable, OwnName uint64
}

// New returns a service that does nothing until Run.
func New(o Options) (*Service, error) {
	core, err := membership.New(o.Clock.Now(), o.Self, o.Rand)
	if err != nil {
		return nil, err
	}
	core.Join(o.Seeds...)
	s := &Service{conn: o.Conn, clock: o.Clock, core: core}
	s.events.wake = make(chan struct{}, 1)
	s.view.Store(core.View())
	return s, nil
}

// View returns the current snapshot without taking a lock.
func (s *Service) View() *membership.View { return s.view.Load() }

// Subscribe calls the handler with every action but Send and Ignored, in order,
// from one goroutine of Run; a slow handler delays the other handlers but not the
// protocol. The returned function ends the subscription.
func (s *Service) Subscribe(handler func(membership.Action)) (cancel func()) {
	return s.events.subscribe(handler)
}

// SetSelf changes this member's own record. The error is a *membership.RecordError.
func (s *Service) SetSelf(detail membership.Detail) error {
	var err error
	s.do(func(now time.Time) (actions []membership.Action) {
		actions, err = s.core.SetSelf(now, detail)
		return actions
	})
	return err
}

// SetStatus stores what this daemon knows of the tables stream.
func (s *Service) SetStatus(status membership.Status) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.SetStatus(status)
}

// Announced hands over a record that was read from the log.
func (s *Service) Announced(r membership.Record) {
	s.do(func(now time.Time) []membership.Action { return s.core.Announced(now, r) })
}

// Reports returns what other members told about their reads of the log, and how
// many random members were asked for that and answered in the last seconds.
func (s *Service) Reports() (reports []membership.Report, asked, answered int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	asked, answered = s.core.Answers(now)
	return s.core.Reports(now), asked, answered
}

// Lookup returns what is known of a member in any state, or nil.
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

// Leave tells the other members that this one has left, which is final, and
// returns after the news had the time to get out. Run must still be running.
func (s *Service) Leave(ctx context.Context) error {
	s.do(func(now time.Time) []membership.Action { return s.core.Leave(now) })
	select {
	case <-s.clock.After(membership.LeaveTime):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Stats returns the counters.
func (s *Service) Stats() Stats {
	return Stats{
		Sent: s.sent.Load(), Received: s.received.Load(),
		SentBytes: s.sentBytes.Load(), ReceivedBytes: s.recvBytes.Load(),
		SendErrors: s.sendErrors.Load(), ReadErrors: s.readFailures.Load(),
		Undecodable: s.undecoded.Load(), OwnName: s.ownNames.Load(),
	}
}

// Run serves the socket and lets time pass until the context ends. It closes the
// socket. The error is nil after the context has ended.
func (s *Service) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group sync.WaitGroup
	group.Go(func() { s.events.run(ctx) })
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
			s.do(s.core.Tick)
		}
	}
}

// readRetry is the wait after a failed read. On Linux a read can fail because an
// earlier datagram was refused, which says nothing about the socket.
const readRetry = 10 * time.Millisecond

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
			s.readFailures.Add(1)
			select {
			case <-ctx.Done():
				return nil
			case <-s.clock.After(readRetry):
			}
			continue
		}
		s.received.Add(1)
		s.recvBytes.Add(uint64(n))
		address := addrPort(from)
		s.do(func(now time.Time) []membership.Action { return s.core.Receive(now, address, buffer[:n]) })
	}
}

// addrPort returns the address of a sender; an IPv4 address in its plain form.
func addrPort(a net.Addr) netip.AddrPort {
	udp, ok := a.(*net.UDPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	ap := udp.AddrPort()
	return netip.AddrPortFrom(ap.Addr().Unmap(), ap.Port())
}

// do runs one event under the lock and carries out its actions: events are queued
// under the lock, to keep their order, and datagrams are sent after it.
func (s *Service) do(event func(now time.Time) []membership.Action) {
	s.mu.Lock()
	var sends []membership.Send
	for _, a := range event(s.clock.Now()) {
		switch a := a.(type) {
		case membership.Send:
			sends = append(sends, a)
		case membership.Ignored:
			s.countIgnored(a)
		default:
			s.events.push(a)
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
		s.undecoded.Add(1)
	} else {
		s.ownNames.Add(1)
	}
}

// eventQueue hands actions to the subscribers in order. It is unbounded: its
// content is bounded by the number of state changes of members.
type eventQueue struct {
	mu       sync.Mutex
	pending  []membership.Action
	handlers []*func(membership.Action)
	wake     chan struct{}
}

func (q *eventQueue) push(a membership.Action) {
	q.mu.Lock()
	q.pending = append(q.pending, a)
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

func (q *eventQueue) subscribe(handler func(membership.Action)) func() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.handlers = append(q.handlers, &handler)
	return func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		q.handlers = slices.DeleteFunc(slices.Clone(q.handlers), func(h *func(membership.Action)) bool { return h == &handler })
	}
}

func (q *eventQueue) run(ctx context.Context) {
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
