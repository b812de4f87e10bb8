package slopes

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"tarragonshore.example/tarragonshore/internal/connection/peer"
	"tarragonshore.example/tarragonshore/internal/connection/wire"
)

// discardEvents handles the events of peer links by ignoring them.
type discardEvents struct{}

func (discardEvents) LinkUp(peer.Link)                {}
func (discardEvents) LinkDown(peer.Link, string)      {}
func (discardEvents) Receive(peer.Link, wire.Message) {}

// countingConn counts the bytes that are read from and written to a connection.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

const linkObservationTime = 5 * time.Second

// measureLinks reports the cost of idle peer links, per end of a link. The links connect
// two hubs in this process.
func measureLinks(ctx context.Context, r *report) error {
	for _, count := range []int{16, 64, 256} {
		if err := measureIdleLinks(ctx, r, count); err != nil {
			return err
		}
	}
	return nil
}

func measureIdleLinks(ctx context.Context, r *report, count int) error {
	before := liveMemory()
	var bytes atomic.Int64
	config := peer.DefaultConfig
	config.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		return countingConn{conn, &bytes}, err
	}
	from := peer.NewHub(peer.Identity{Member: "from", Incarnation: 1}, config, discardEvents{})
	defer from.Close()
	to := peer.NewHub(peer.Identity{Member: "to", Incarnation: 1}, peer.DefaultConfig, discardEvents{})
	defer to.Close()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	server := &http.Server{Handler: to, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	for range count {
		// Redial opens one more link and keeps the earlier ones open.
		if _, err := from.Redial(ctx, "to", listener.Addr().String()); err != nil {
			return err
		}
	}
	time.Sleep(time.Second)
	sent, used := bytes.Load(), cpuTime()
	time.Sleep(linkObservationTime)
	size, ends := fmt.Sprintf("%d links", count), float64(2*count)
	r.add(size, "link end processor", (cpuTime()-used).Seconds()/linkObservationTime.Seconds()/ends*100, "% of a core")
	r.add(size, "link end bytes both ways", float64(bytes.Load()-sent)/linkObservationTime.Seconds()/float64(count), "B/s")
	r.add(size, "link end memory", (liveMemory()-before)/ends, "B")
	if from.LinkCount() != count {
		return fmt.Errorf("%d of %d links are open", from.LinkCount(), count)
	}
	return nil
}
