package agent

import (
	"errors"
	"net"
	"net/netip"
	"time"

	"tarragonshore.example/tarragonshore/internal/connection/wire"
	"tarragonshore.example/tarragonshore/internal/process/logging"
	"tarragonshore.example/tarragonshore/internal/version/catalog"
)

// sendStatuses broadcasts this daemon's status at intervals until the agent stops.
func (a *Agent) sendStatuses() {
	send := func() {
		a.broadcast(statusInterval)
		a.askForMembers()
	}
	send()
	runEvery(a.ctx, statusInterval, send)
}

// broadcast sends this daemon's status to all members. An interval above 0 closes the
// current interval of the measured rates; such a periodic status goes to each other
// availability zone once, by way of a relay there. Other statuses announce a change
// and go to every member directly.
func (a *Agent) broadcast(interval time.Duration) {
	if a.statusConn == nil {
		return
	}
	status := a.status(interval)
	a.fleet.applyStatus(time.Now(), status)
	frame, leftOut, err := encodeStatus(status)
	if err != nil {
		logging.ErrorEvent("status", "not-encoded", err)
		return
	}
	if former := a.statusLeftOut.Swap(int64(leftOut)); leftOut > 0 && former == 0 {
		logging.WarningEvent("status", "shortened", "left_out", leftOut, "arrivals", len(status.Arrivals), "workspaces", len(status.Usage))
	}
	direct, relays := a.fleet.statusRecipients(time.Now(), interval > 0)
	for _, address := range direct {
		a.sendTo(address, frame)
	}
	if len(relays) == 0 {
		return
	}
	relay, err := wire.Encode(wire.Relay{Frame: frame})
	if err != nil {
		logging.ErrorEvent("status", "not-encoded", err)
		return
	}
	for _, address := range relays {
		a.sendTo(address, relay)
	}
}

// replyStatus sends this daemon's status to a member that may not have it.
func (a *Agent) replyStatus(address string) {
	if frame, _, err := encodeStatus(a.status(0)); err == nil { // broadcast logs the error
		a.sendTo(address, frame)
	}
}

// send sends a message in a datagram of its own.
func (a *Agent) send(address string, message wire.Message) {
	frame, err := wire.Encode(message)
	if err != nil {
		logging.ErrorEvent("status", "not-encoded", err)
		return
	}
	a.sendTo(address, frame)
}

func (a *Agent) sendTo(address string, frame []byte) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		logging.WarningEvent("status", "bad-address", "address", address, "error", err)
		return
	}
	// A failed send is treated like a lost datagram: the next status replaces it.
	_, _ = a.statusConn.WriteTo(frame, net.UDPAddrFromAddrPort(to))
}

// status returns this daemon's current status with a new number. An interval above 0
// closes the current interval of the measured rates.
func (a *Agent) status(interval time.Duration) *wire.Status {
	evacuations := a.tables.evacuationsReport()
	a.statusMu.Lock()
	defer a.statusMu.Unlock()
	now := time.Now()
	if interval > 0 {
		a.lastStatus.Arrivals, a.lastStatus.Usage = a.fleet.endInterval(interval)
		a.lastStatus.Interval++
	}
	a.executor.fillStatus(interval, &a.lastStatus)
	view := a.server.view(now)
	a.statusNumber++
	a.lastStatus.Member, a.lastStatus.Incarnation, a.lastStatus.Number = a.cfg.Member, a.incarnation, a.statusNumber
	a.lastStatus.Address, a.lastStatus.Zone = a.cfg.Listen.Peer.String(), a.cfg.Zone
	a.lastStatus.Leaving = a.leaving.Load()
	a.lastStatus.Server, a.lastStatus.Service, a.lastStatus.State = view.Server, view.Service, view.State
	a.lastStatus.TablesVersion = catalogVersion(a.tables.catalog())
	a.lastStatus.Members = a.fleet.membersDigest(now)
	a.lastStatus.Evacuations = evacuations
	a.lastStatus.TablesSource = wire.TablesSource(a.tables.source.Load())
	status := a.lastStatus
	return &status
}

// receiveStatuses processes the statuses of other members, and the datagrams by which
// members learn of each other, until the socket is closed.
func (a *Agent) receiveStatuses() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, _, err := a.statusConn.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			logging.WarningEvent("status", "read-failed", "error", err)
			pause(a.ctx, pollPause)
			continue
		}
		message, err := wire.Decode(buffer[:n])
		if relay, ok := message.(*wire.Relay); ok {
			message, err = wire.Decode(relay.Frame)
			a.forwardStatus(message, relay.Frame)
		}
		switch m := message.(type) {
		case *wire.Status:
			a.onStatus(m)
		case *wire.MembersRequest:
			a.sendMembers(m.Address)
		case *wire.MembersReply:
			a.addMembers(m.Members)
		case *wire.Unlisted:
			select {
			case a.unlisted <- struct{}{}:
			default: // already noted
			}
		default:
			logging.WarningEvent("status", "unreadable", "error", err, "bytes", n)
		}
	}
}

// onStatus processes a member's status.
func (a *Agent) onStatus(status *wire.Status) {
	if status.Member == a.cfg.Member {
		return
	}
	if a.fleet.applyStatus(time.Now(), status) && !a.leaving.Load() {
		a.replyStatus(status.Address)
	}
	a.tables.mergeEvacuations(a.tables.clock.now(), status.Evacuations)
	a.tables.reportedVersion(catalog.Version(status.TablesVersion))
}

// forwardStatus sends a relayed status from another availability zone to the other
// members of this zone.
func (a *Agent) forwardStatus(message wire.Message, frame []byte) {
	status, ok := message.(*wire.Status)
	if !ok || status.Zone == a.cfg.Zone {
		return
	}
	for _, address := range a.fleet.zoneNeighbours() {
		a.sendTo(address, frame)
	}
}
