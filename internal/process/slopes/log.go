package slopes

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"tarragonshore.example/tarragonshore/internal/process/membership"
	"tarragonshore.example/tarragonshore/internal/process/membership/transport"
	"tarragonshore.example/tarragonshore/internal/process/platform"
	"tarragonshore.example/tarragonshore/internal/process/standin"
)

// countingListener counts the bytes of the connections that it accepted.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countingConn{conn, l.bytes}, err
}

const (
	deliveryRounds = 5
	logPollWait    = time.Second
	announcements  = 11_000 // of 1,100 members in 100 minutes
)

// measureLog reports how long the platform stand-in takes to deliver a record to all
// readers that wait in a long poll, and how many bytes an empty poll transfers.
func measureLog(ctx context.Context, r *report) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	var bytes atomic.Int64
	server := &http.Server{
		Handler:           standin.NewPlatform(standin.PlatformConfig{AppendsPerSecond: 1e9, Retention: time.Hour}),
		ReadHeaderTimeout: time.Second,
	}
	go func() { _ = server.Serve(countingListener{listener, &bytes}) }()
	defer func() { _ = server.Close() }()
	log := platform.NewClient(listener.Addr().String(), 5*time.Second)
	defer log.Close()
	for _, readers := range []int{100, 300, 1100} {
		var took []float64
		for round := range deliveryRounds + 1 {
			record := make([]byte, 89)
			if round == 0 { // opens the connections and measures polls that return no record
				record = nil
			}
			before := bytes.Load()
			last, err := timeDelivery(ctx, log, readers, record)
			if err != nil {
				return err
			}
			if round > 0 {
				took = append(took, last.Seconds()*1e3)
			} else {
				r.add(fmt.Sprintf("%d readers", readers), "empty poll, both ways", float64(bytes.Load()-before)/float64(readers), "B")
			}
		}
		r.add(fmt.Sprintf("%d readers", readers), "append to last reader least", slices.Min(took), "ms")
		r.add(fmt.Sprintf("%d readers", readers), "append to last reader greatest", slices.Max(took), "ms")
	}
	return measureSeed(ctx, r, log)
}

// measureSeed reports the cost of reading the members stream, from which a daemon learns
// the other members at its start.
func measureSeed(ctx context.Context, r *report, log platform.Log) error {
	for count := range announcements {
		record := memberRecord(count%designServers, time.Now())
		data := membership.EncodeAnnouncement([16]byte{}, record, time.Now())
		if _, err := log.Append(ctx, platform.StreamMembers, data); err != nil {
			return err
		}
		if count == 0 {
			r.add("1 member", "announcement record", float64(len(data)), "B")
		}
	}
	size := fmt.Sprintf("%d announcements", announcements)
	var seed transport.StreamSnapshot
	var err error
	r.benchmark(size, "seed of a start", func() {
		seed, err = transport.ReadStreamSnapshot(ctx, log, transport.SystemClock{}, "host-none")
	})
	if err == nil && len(seed.Records) != designServers {
		err = fmt.Errorf("the members stream yielded %d members, want %d", len(seed.Records), designServers)
	}
	return err
}

// timeDelivery makes the readers wait in a long poll at the end of the stream,
// appends the record, if it is not nil, and returns the time until the last reader
// has received it.
func timeDelivery(ctx context.Context, log platform.Log, readers int, record []byte) (time.Duration, error) {
	batch, err := log.Read(ctx, platform.StreamTables, 0, 1, 0)
	if err != nil {
		return 0, err
	}
	errs, next := make([]error, readers), batch.Next
	var last atomic.Int64
	var group sync.WaitGroup
	for i := range readers {
		group.Go(func() {
			batch, err := log.Read(ctx, platform.StreamTables, next, 1, logPollWait)
			last.Store(time.Now().UnixNano())
			if err == nil && record != nil && len(batch.Records) != 1 {
				err = fmt.Errorf("a reader received %d records, want 1", len(batch.Records))
			}
			errs[i] = err
		})
	}
	time.Sleep(logPollWait / 2) // until all readers wait
	begun := time.Now()
	if record != nil {
		_, err = log.Append(ctx, platform.StreamTables, record)
	}
	group.Wait()
	if i := slices.IndexFunc(errs, func(err error) bool { return err != nil }); err == nil && i >= 0 {
		err = errs[i]
	}
	return time.Duration(last.Load() - begun.UnixNano()), err
}
