package backend

import (
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
)

// AnnouncePath is the path on the daemon's server port to which a backend server
// posts its Announcement, at its start and then as a heartbeat.
const AnnouncePath = "/.well-known/tarragonshore/announce"

// State is the state that a backend server announces.
type State string

// The states of a backend server.
const (
	StateStarting State = "starting"
	StateReady    State = "ready"
	StateDraining State = "draining"
)

// Bounds of an announcement.
const (
	maxAnnouncementBytes = 4096
	maxSlots             = 100_000
)

// Announcement is the JSON body that a backend server posts to its daemon.
type Announcement struct {
	Name string `json:"name"`
	Pool string `json:"pool"`
	// Address is the IP address and port on which the server accepts requests.
	Address string `json:"address"`
	// Slots is the number of requests that the server can run concurrently.
	Slots int   `json:"slots"`
	State State `json:"state"`
	// Load is the number of running and waiting requests per slot. It is only a hint.
	Load float64 `json:"load"`
}

// DecodeAnnouncement reads an announcement and validates its fields.
func DecodeAnnouncement(r io.Reader) (Announcement, error) {
	var a Announcement
	if err := json.NewDecoder(io.LimitReader(r, maxAnnouncementBytes)).Decode(&a); err != nil {
		return Announcement{}, fmt.Errorf("announcement is not valid JSON: %w; send name, pool, address, slots and state", err)
	}
	if a.Name == "" || a.Pool == "" {
		return Announcement{}, fmt.Errorf("announcement lacks name or pool; set both")
	}
	if _, err := netip.ParseAddrPort(a.Address); err != nil {
		return Announcement{}, fmt.Errorf("address %q is not IP:port; announce an IP address and a port", a.Address)
	}
	if a.Slots < 1 || a.Slots > maxSlots {
		return Announcement{}, fmt.Errorf("slots is %d; set it between 1 and %d", a.Slots, maxSlots)
	}
	switch a.State {
	case StateStarting, StateReady, StateDraining:
	default:
		return Announcement{}, fmt.Errorf("state is %q; use starting, ready or draining", a.State)
	}
	return a, nil
}
