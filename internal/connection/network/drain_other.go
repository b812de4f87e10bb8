//go:build !linux

package network

import (
	"context"
	"net"
)

// Drain does nothing on systems other than Linux: connections that wait to be
// accepted when the listener closes are reset.
func Drain(context.Context, net.Listener) error { return nil }
