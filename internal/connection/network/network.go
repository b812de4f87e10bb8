// Package network is the interface through which daemons use TCP and UDP. Tests
// replace it by an in-memory network.
package network

import (
	"context"
	"net"
	"net/netip"
)

// Network opens sockets on one host.
type Network interface {
	// Listen opens a TCP listener at an address of this host.
	Listen(address netip.AddrPort) (net.Listener, error)
	// ListenPacket opens a UDP socket at an address of this host.
	ListenPacket(address netip.AddrPort) (net.PacketConn, error)
	// Dial connects to a TCP address "IP:port". The error wraps
	// syscall.ECONNREFUSED if nothing listens there.
	Dial(ctx context.Context, address string) (net.Conn, error)
}

// System is the operating system's network. Its connections send no TCP keep-alives, of
// which each new connection would cost several system calls: links are pinged, and the
// others have time limits.
type System struct{}

// noKeepAlive is a keep-alive interval that disables keep-alives.
const noKeepAlive = -1

// Listen implements Network.
func (System) Listen(address netip.AddrPort) (net.Listener, error) {
	config := net.ListenConfig{KeepAlive: noKeepAlive}
	return config.Listen(context.Background(), "tcp", address.String())
}

// ListenPacket implements Network.
func (System) ListenPacket(address netip.AddrPort) (net.PacketConn, error) {
	return net.ListenPacket("udp", address.String())
}

// Dial implements Network.
func (System) Dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{KeepAlive: noKeepAlive}
	return dialer.DialContext(ctx, "tcp", address)
}
