package standin

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// HeaderZone names the availability zone of the backend server that answered.
const HeaderZone = "Standin-Zone"

// ZoneDelay returns the time that a call and its answer spend between zones, if
// the answer came from another zone than the caller's. It is waited for after
// the answer, since a caller does not know the upstream before. Refusals of
// daemons name no zone and are not delayed.
func ZoneDelay(response *http.Response, zone string, oneWay time.Duration) time.Duration {
	if other := response.Header.Get(HeaderZone); other == "" || other == zone {
		return 0
	}
	return 2 * oneWay
}

// DelayedDial returns a dial function that takes the given time longer.
func DelayedDial(delay time.Duration) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if !sleep(ctx, delay) {
			return nil, ctx.Err()
		}
		var dialer net.Dialer
		return dialer.DialContext(ctx, network, address)
	}
}

// delayedListener delays the first read of each connection, so that a new
// connection costs the given time whatever client opens it.
type delayedListener struct {
	net.Listener
	delay time.Duration
}

// Accept implements net.Listener.
func (l delayedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil || l.delay == 0 {
		return conn, err
	}
	return &delayedConn{Conn: conn, delay: l.delay}, nil
}

type delayedConn struct {
	net.Conn
	once  sync.Once
	delay time.Duration
}

// Read implements net.Conn.
func (c *delayedConn) Read(p []byte) (int, error) {
	c.once.Do(func() { time.Sleep(c.delay) })
	return c.Conn.Read(p)
}
