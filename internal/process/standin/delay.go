package standin

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// HeaderZone names the availability zone of the backend server that sent the
// response.
const HeaderZone = "Standin-Zone"

// ZoneDelay returns the round-trip latency to add to a call from a caller in the given
// availability zone: 0 if the response came from the same zone, else twice the one-way
// latency. The caller sleeps for it after the response, since it does not know earlier
// which backend server responds. Refusals by daemons name no zone and are not delayed.
func ZoneDelay(response *http.Response, zone string, oneWay time.Duration) time.Duration {
	if other := response.Header.Get(HeaderZone); other == "" || other == zone {
		return 0
	}
	return 2 * oneWay
}

// DelayedDial returns a dial function that sleeps for delay before it dials.
func DelayedDial(delay time.Duration) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if !sleep(ctx, delay) {
			return nil, ctx.Err()
		}
		var dialer net.Dialer
		return dialer.DialContext(ctx, network, address)
	}
}

// delayedListener delays the first read of each accepted connection. It emulates the
// latency of connection establishment for clients that do not use DelayedDial, such as
// daemons.
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
