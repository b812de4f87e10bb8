//go:build !linux

package network

import (
	"context"
	"net"
)

// Drain does nothing on systems other than Linux. There, closing a listener resets the
// connections that are waiting to be accepted.
func Drain(context.Context, net.Listener) error { return nil }
