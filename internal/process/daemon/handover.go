package daemon

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"tarragonshore.example/tarragonshore/internal/connection/peer"
	"tarragonshore.example/tarragonshore/internal/connection/wire"
	"tarragonshore.example/tarragonshore/internal/process/logging"
	"tarragonshore.example/tarragonshore/internal/request/ticket"
)

// Kinds of wire.Handover.
const (
	handoverTickets = "tickets"
	handoverGroups  = "groups"
)

// Times of a hand-over.
const (
	handoverAckTimeout = time.Second
	handoverRetryDelay = 100 * time.Millisecond
	// handoverGiveUp is how long a successor may fail to confirm. It covers the
	// replacement of a silent link (3 s).
	handoverGiveUp = 6 * time.Second
)

// Errors of a hand-over.
var (
	// errHandoverRefused means that the successor did not take a part.
	errHandoverRefused = errors.New("the successor refused the hand-over; choose another one")
	// errHandoverNotSent means that a part did not leave this host.
	errHandoverNotSent = errors.New("the successor was not reached; choose another one")
	// errHandoverLost means that the successor may have the tickets, but does
	// not confirm it. Another one must not get them, or both would dispatch.
	errHandoverLost = errors.New("the successor of the tickets was lost during the hand-over; their outcome is unknown")
)

// handover passes state to a successor at a planned stop and takes it from
// daemons that stop. Its lock guards next and acks.
type handover struct {
	members *members
	tickets *tickets
	groups  *groups

	mu   sync.Mutex
	next uint64
	acks map[uint64]chan bool
}

func newHandover(members *members, tickets *tickets, groups *groups) *handover {
	return &handover{members: members, tickets: tickets, groups: groups, acks: make(map[uint64]chan bool)}
}

// sendPart sends one part and waits for its acknowledgement.
func (h *handover) sendPart(ctx context.Context, member, kind string, data []byte, more bool) error {
	ctx, cancel := context.WithTimeout(ctx, handoverAckTimeout)
	defer cancel()
	link, err := h.members.link(ctx, member)
	if err != nil {
		return fmt.Errorf("%w: %w", errHandoverNotSent, err)
	}
	h.mu.Lock()
	h.next++
	number := h.next
	ack := make(chan bool, 1)
	h.acks[number] = ack
	h.mu.Unlock()
	defer func() {
		h.mu.Lock()
		delete(h.acks, number)
		h.mu.Unlock()
	}()
	if err := link.Send(wire.Handover{Number: number, Kind: kind, Data: data, More: more}); err != nil {
		return err
	}
	select {
	case taken := <-ack:
		if !taken {
			return errHandoverRefused
		}
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// onAck passes an acknowledgement to the sender that waits for it.
func (h *handover) onAck(m *wire.HandoverAck) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if ack, ok := h.acks[m.Number]; ok {
		select {
		case ack <- m.Taken:
		default: // a duplicate
		}
	}
}

// onHandover takes a part from a daemon that stops.
func (h *handover) onHandover(link peer.Link, m *wire.Handover) {
	var err error
	switch m.Kind {
	case handoverTickets:
		err = h.tickets.take(m.Data, m.More)
	case handoverGroups:
		err = h.groups.takeOver(m.Data)
	default:
		err = errHandoverRefused
	}
	if err == nil && m.Kind == handoverTickets && !m.More {
		// At once: the old home may restart before the next tick.
		h.members.setOrigins(h.tickets.sweep(time.Now()))
	}
	logging.Event("handover", "handover-received", "from", link.Peer().Member, "kind", m.Kind, "bytes", len(m.Data), "error", errorText(err))
	_ = link.Send(wire.HandoverAck{Number: m.Number, Taken: err == nil})
}

// take imports a part of another home's table.
func (t *tickets) take(data []byte, more bool) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	imported, err := t.home.Import(time.Now(), data)
	if err != nil {
		return err
	}
	if !imported.Done && !more {
		return errHandoverRefused
	}
	return nil
}

// moveTickets hands all tickets over to the successor. It returns when the
// successor has everything, including the requests that were still in progress.
func (h *handover) moveTickets(ctx context.Context, successor ticket.Owner) error {
	lastSent, confirmedAt := false, time.Now()
	for !h.tickets.done() {
		snapshot, err := h.tickets.export(successor)
		if err != nil {
			return err
		}
		sent, err := h.sendSnapshot(ctx, successor.Home, snapshot)
		lastSent = lastSent || sent
		if err != nil {
			if errors.Is(err, errHandoverRefused) || ctx.Err() != nil {
				return err
			}
			if !lastSent {
				return errHandoverNotSent
			}
			if time.Since(confirmedAt) > handoverGiveUp {
				return fmt.Errorf("%w: %w", errHandoverLost, err)
			}
			pause(ctx, handoverRetryDelay) // the same export again, on a new link
			continue
		}
		if err := h.tickets.confirm(snapshot.Serial); err != nil {
			return err
		}
		confirmedAt = time.Now()
		logging.Event("handover", "tickets-handed-over", "to", successor.Home, "serial", snapshot.Serial, "parts", len(snapshot.Parts), "unfinished", snapshot.Unfinished)
		if snapshot.Unfinished > 0 {
			pause(ctx, handoverRetryDelay)
		}
	}
	return nil
}

// sendSnapshot sends the parts of an export. It tells whether the last one may
// have reached the successor.
func (h *handover) sendSnapshot(ctx context.Context, member string, snapshot ticket.Snapshot) (lastSent bool, err error) {
	for i, part := range snapshot.Parts {
		more := i+1 < len(snapshot.Parts)
		if err := h.sendPart(ctx, member, handoverTickets, part, more); err != nil {
			return !more && !errors.Is(err, errHandoverNotSent), err
		}
	}
	return true, nil
}

func (t *tickets) export(successor ticket.Owner) (ticket.Snapshot, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.home.Export(successor)
}

// abort ends a hand-over that the successor refused.
func (t *tickets) abort() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.home.Abort()
}

func (t *tickets) confirm(serial uint64) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.home.Confirm(serial)
}

func (t *tickets) done() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.home.Done()
}
