package daemon

import (
	"context"
	"errors"
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
)

// errHandoverRefused means that the successor did not take a part.
var errHandoverRefused = errors.New("the successor refused the hand-over; choose another one")

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
		return err
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
		err = h.groups.takeOver(daemonOf(link), m.Data)
	default:
		err = errHandoverRefused
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
	for !h.tickets.done() {
		snapshot, err := h.tickets.export(successor)
		if err != nil {
			return err
		}
		if err := h.sendSnapshot(ctx, successor.Home, snapshot); err != nil {
			if errors.Is(err, errHandoverRefused) || ctx.Err() != nil {
				return err
			}
			pause(ctx, handoverRetryDelay) // the same export again, on a new link
			continue
		}
		if err := h.tickets.confirm(snapshot.Serial); err != nil {
			return err
		}
		logging.Event("handover", "tickets-handed-over", "to", successor.Home, "serial", snapshot.Serial, "parts", len(snapshot.Parts), "unfinished", snapshot.Unfinished)
		if snapshot.Unfinished > 0 {
			pause(ctx, handoverRetryDelay)
		}
	}
	return nil
}

func (h *handover) sendSnapshot(ctx context.Context, member string, snapshot ticket.Snapshot) error {
	for i, part := range snapshot.Parts {
		if err := h.sendPart(ctx, member, handoverTickets, part, i+1 < len(snapshot.Parts)); err != nil {
			return err
		}
	}
	return nil
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
