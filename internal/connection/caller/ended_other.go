//go:build !linux

package caller

// ended cannot tell on this system: the end is seen when the bytes before it are read.
func ended(uintptr) bool { return false }
