package network

import (
	"context"
	"errors"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// drainPoll is the interval at which Drain checks for pending connections.
const drainPoll = time.Millisecond

// Drain waits until a TCP listener has no pending connection, so that closing the
// listener right after it resets none: on a busy host, clients may have sent requests
// on connections that the process has not accepted yet. Connections have to be accepted
// meanwhile. For other kinds of listeners it returns at once. The error is that of ctx
// or of the socket.
func Drain(ctx context.Context, listener net.Listener) error {
	tcp, ok := listener.(*net.TCPListener)
	if !ok {
		return nil
	}
	for {
		pending := false
		err := withDescriptor(tcp, func(fd int) (err error) {
			pending, err = hasPending(fd)
			return err
		})
		if err != nil || !pending {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(drainPoll):
		}
	}
}

// withDescriptor calls run with the file descriptor of the listener.
func withDescriptor(listener *net.TCPListener, run func(fd int) error) error {
	raw, err := listener.SyscallConn()
	if err != nil {
		return err
	}
	var result error
	err = raw.Control(func(fd uintptr) { result = run(int(fd)) })
	return errors.Join(err, result)
}

// hasPending reports whether connections are waiting to be accepted.
func hasPending(fd int) (bool, error) {
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
	n, err := unix.Poll(fds, 0)
	if errors.Is(err, unix.EINTR) {
		return true, nil // interrupted; Drain checks again
	}
	return n > 0, err
}
