package daemon

import (
	"net/netip"
	"time"

	"tarragonshore.example/tarragonshore/internal/connection/peer"
	"tarragonshore.example/tarragonshore/internal/process/settings"
)

// Config holds the settings of a daemon. Package settings documents the
// trade-off of each value.
type Config struct {
	Name   string
	Zone   string
	Region string
	// Addresses on which the ports listen.
	Caller netip.AddrPort
	Server netip.AddrPort
	Peer   netip.AddrPort
	Admin  netip.AddrPort
	// Join lists peer ports of other daemons from which to learn the members.
	Join []netip.AddrPort
	// PollWait is the long-poll timeout of a read of the log.
	PollWait time.Duration
	// Retention is how long the platform keeps records.
	Retention time.Duration
	// HeartbeatInterval is the interval at which the backend server announces itself.
	HeartbeatInterval time.Duration
	// MaxInFlight bounds the callers' requests in progress at this daemon.
	MaxInFlight int
	// Workers is the number of goroutines that handle messages of peer links.
	Workers int
	// RateGroups is the number of rate groups. It has to be the same on all daemons.
	RateGroups uint32
	// LameDuck is how long a stopping daemon still accepts callers' requests.
	LameDuck time.Duration
	Link     peer.Config
}

// ConfigFromSettings returns the configuration for loaded settings.
func ConfigFromSettings(s *settings.Daemon) Config {
	link := peer.DefaultConfig
	link.PingInterval = s.Timing.LinkPing
	link.SilenceTimeout = s.Timing.LinkSilence
	return Config{
		Name:              s.Name,
		Zone:              s.Zone,
		Region:            s.Region,
		Caller:            s.Listen.Caller,
		Server:            s.Listen.Server,
		Peer:              s.Listen.Peer,
		Admin:             s.Listen.Admin,
		Join:              s.Join,
		PollWait:          s.Platform.PollWait,
		Retention:         s.Platform.Retention,
		HeartbeatInterval: s.Backend.HeartbeatInterval,
		MaxInFlight:       s.Limits.MaxInFlight,
		Workers:           s.Limits.Workers,
		RateGroups:        uint32(s.Rates.Groups),
		LameDuck:          s.Timing.LameDuck,
		Link:              link,
	}
}
