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

// Values of wire.Handover.Kind.
const (
	handoverTickets = "tickets"
	handoverGroups  = "groups"
)

// Time limits of a hand-over.
const (
	handoverAckTimeout = time.Second
	handoverRetryDelay = 100 * time.Millisecond
	// handoverConfirmTimeout is how long a successor may leave exports unconfirmed.
	// It is longer than the replacement of a silent link takes (3 s).
	handoverConfirmTimeout = 6 * time.Second
)

// Errors of the daemon that hands its state over. After errHandoverRefused and
// errHandoverNotSent, a successor for the tickets is chosen again, and a rate group is
// offered to the same member again.
var (
	// errHandoverRefused means that the successor did not accept a part.
	errHandoverRefused = errors.New("the successor refused the hand-over; see its log for the reason")
	// errHandoverNotSent means that the last part was not sent, so that the
	// successor does not have the state.
	errHandoverNotSent = errors.New("the state did not reach the successor; check that it runs and that its peer port is open")
	// errHandoverLost means that the successor may have the tickets but has not
	// confirmed them. They must not be handed to another member, since both would
	// dispatch the requests.
	errHandoverLost = errors.New("the successor was lost before it confirmed the tickets; requests with these tickets may be refused with an unknown outcome")
)

// Errors of the successor. It logs them, and the sender gets errHandoverRefused.
var (
	errPartsMissing  = errors.New("the last part of the tickets arrived, but earlier parts are missing")
	errClaimOutdated = errors.New("the claim that came with the state of the rate group names another daemon or is not in force")
)

// handover sends this daemon's state to a successor at a planned stop, and receives
// the state of daemons that stop. mu guards the fields below it.
type handover struct {
	members    *members
	tickets    *tickets
	rateGroups *rateGroups

	mu         sync.Mutex
	lastNumber uint64               // number of the last message
	acks       map[uint64]chan bool // by number, of messages without acknowledgement
}

func newHandover(members *members, tickets *tickets, rateGroups *rateGroups) *handover {
	return &handover{members: members, tickets: tickets, rateGroups: rateGroups, acks: make(map[uint64]chan bool)}
}

// sendPart sends one part of a hand-over and waits for its acknowledgement.
func (h *handover) sendPart(ctx context.Context, member, kind string, data []byte, more bool) error {
	ctx, cancel := context.WithTimeout(ctx, handoverAckTimeout)
	defer cancel()
	link, err := h.members.link(ctx, member)
	if err != nil {
		return fmt.Errorf("%w: %w", errHandoverNotSent, err)
	}
	h.mu.Lock()
	h.lastNumber++
	number := h.lastNumber
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
	case accepted := <-ack:
		if !accepted {
			return errHandoverRefused
		}
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// onAck passes an acknowledgement to the sendPart that waits for it.
func (h *handover) onAck(m *wire.HandoverAck) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if ack, ok := h.acks[m.Number]; ok {
		select {
		case ack <- m.Accepted:
		default: // a duplicate
		}
	}
}

// onHandover accepts a part of a hand-over from a daemon that stops.
func (h *handover) onHandover(link peer.Link, m *wire.Handover) {
	var err error
	switch m.Kind {
	case handoverTickets:
		err = h.tickets.importPart(m.Data, m.More)
	case handoverGroups:
		err = h.rateGroups.takeOverGroup(m.Data)
	default:
		err = fmt.Errorf("unknown kind of state %q; run the same release on both hosts", m.Kind)
	}
	if err == nil && m.Kind == handoverTickets && !m.More {
		// Published at once, because the old owner may have restarted before the
		// next tick, and other members have to find its tickets here.
		h.members.setTicketIssuers(h.tickets.sweep(time.Now()))
	}
	logging.InfoEvent("handover", "handover-received", "from", link.Peer().Member, "kind", m.Kind, "bytes", len(m.Data), "error", errorText(err))
	_ = link.Send(wire.HandoverAck{Number: m.Number, Accepted: err == nil})
}

// importPart imports a part of the tickets that another daemon hands over.
func (t *tickets) importPart(data []byte, more bool) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	imported, err := t.table.Import(time.Now(), data)
	if err != nil {
		return err
	}
	if !imported.Done && !more {
		return errPartsMissing
	}
	return nil
}

// handOverTickets hands all tickets over to the successor. It returns when the
// successor has all of them, including those whose requests were still in progress
// at the first export.
func (h *handover) handOverTickets(ctx context.Context, successor ticket.DaemonID) error {
	lastSent, confirmedAt := false, time.Now()
	for !h.tickets.handoverComplete() {
		encoded, err := h.tickets.export(successor)
		if err != nil {
			return err
		}
		sent, err := h.sendExport(ctx, successor.Member, encoded)
		lastSent = lastSent || sent
		if err != nil {
			if errors.Is(err, errHandoverRefused) || ctx.Err() != nil {
				return err
			}
			if !lastSent {
				return errHandoverNotSent
			}
			if time.Since(confirmedAt) > handoverConfirmTimeout {
				return fmt.Errorf("%w: %w", errHandoverLost, err)
			}
			pause(ctx, handoverRetryDelay) // then the same export is sent again, on a new link
			continue
		}
		if err := h.tickets.confirm(encoded.Serial); err != nil {
			return err
		}
		confirmedAt = time.Now()
		logging.InfoEvent("handover", "tickets-handed-over", "to", successor.Member, "serial", encoded.Serial, "parts", len(encoded.Parts), "unfinished", encoded.Unfinished)
		if encoded.Unfinished > 0 {
			pause(ctx, handoverRetryDelay)
		}
	}
	return nil
}

// sendExport sends the parts of an export. lastSent is true if the last part may
// have reached the successor.
func (h *handover) sendExport(ctx context.Context, member string, export ticket.EncodedExport) (lastSent bool, err error) {
	for i, part := range export.Parts {
		more := i+1 < len(export.Parts)
		if err := h.sendPart(ctx, member, handoverTickets, part, more); err != nil {
			return !more && !errors.Is(err, errHandoverNotSent), err
		}
	}
	return true, nil
}

// export returns the state of tickets that the successor does not have yet.
func (t *tickets) export(successor ticket.DaemonID) (ticket.EncodedExport, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Export(successor)
}

// abortHandover cancels a hand-over that the successor refused or that did not reach
// it, so that another successor can be chosen.
func (t *tickets) abortHandover() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Abort()
}

// confirm records that the successor has the whole export with this serial number.
func (t *tickets) confirm(serial uint64) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Confirm(serial)
}

// handoverComplete reports whether the successor has the state of all tickets.
func (t *tickets) handoverComplete() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.HandoverComplete()
}
