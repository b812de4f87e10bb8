package network

import (
	"context"
	"errors"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// drainPoll is the time between two looks at the connections that wait.
const drainPoll = time.Millisecond

// Drain returns when no connection waits to be accepted by a TCP listener, so
// that a Close right after it resets none: on a busy host, callers may have sent
// requests on connections that the process has not accepted yet. The caller goes
// on accepting meanwhile. Other kinds of listeners are left as they are. The
// error is that of ctx or of the socket.
func Drain(ctx context.Context, listener net.Listener) error {
	tcp, ok := listener.(*net.TCPListener)
	if !ok {
		return nil
	}
	for {
		waiting := false
		err := controlSocket(tcp, func(fd int) (err error) {
			waiting, err = readable(fd)
			return err
		})
		if err != nil || !waiting {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(drainPoll):
		}
	}
}

// controlSocket calls run with the listener's file descriptor.
func controlSocket(listener *net.TCPListener, run func(fd int) error) error {
	raw, err := listener.SyscallConn()
	if err != nil {
		return err
	}
	var result error
	err = raw.Control(func(fd uintptr) { result = run(int(fd)) })
	return errors.Join(err, result)
}

// readable reports whether connections wait to be accepted.
func readable(fd int) (bool, error) {
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
	n, err := unix.Poll(fds, 0)
	if errors.Is(err, unix.EINTR) {
		return true, nil // ask again
	}
	return n > 0, err
}
