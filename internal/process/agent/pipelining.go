package agent

import (
	"tarragonshore.example/tarragonshore/internal/connection/caller"
	"tarragonshore.example/tarragonshore/internal/connection/pipeline"
)

// pipelining returns what the port for callers needs to run pipelined requests ahead.
func (e *entryHandler) pipelining() caller.Pipelining {
	return caller.Pipelining{
		Route:    e.pipelinedRoute,
		Stopping: e.dispatcher.stop.begun,
		Decided:  func(reason pipeline.Reason, depth int) { e.metrics.RecordPipelined(string(reason), depth) },
	}
}

// pipelinedRoute tells whether the route of a request is idempotent, and which size its
// response is expected to have.
func (e *entryHandler) pipelinedRoute(host, path string) (idempotent bool, responseBytes int) {
	c := e.tables.catalog()
	if c == nil {
		return false, 0
	}
	route, ok := c.Match(host, path)
	if !ok || !route.Idempotent {
		return false, 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return true, e.sizes.Expected(route.Name)
}

// recordSize records the size of a response, for pipelinedRoute.
func (e *entryHandler) recordSize(route string, bytes int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sizes.Record(route, bytes)
}
