// Package logging writes one line of key=value pairs per event.
package logging

import "k8s.io/klog/v2"

// Event logs an event at a verbosity level.
func Event(level int, event string, pairs ...any) {
	klog.V(klog.Level(level)).InfoS(event, pairs...)
}
