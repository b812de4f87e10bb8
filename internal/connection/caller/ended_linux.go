package caller

import "golang.org/x/sys/unix"

// ended reports whether the other side of a socket has closed or reset the connection. Bytes
// that were not read yet hide that from a read.
func ended(fd uintptr) bool {
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(fds, 0)
	return err == nil && n > 0
}
