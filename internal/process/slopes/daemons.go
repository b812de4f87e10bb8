package slopes

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/procfs"

	"tarragonshore.example/tarragonshore/internal/process/testbed"
)

const (
	clusterSettleTime      = 10 * time.Second
	clusterObservationTime = 20 * time.Second
)

// processUsage is the resource usage of a process since its start.
type processUsage struct {
	seconds  float64 // CPU time
	switches uint64  // voluntary context switches of its threads
	bytes    uint64  // read and written, without UDP
	resident uint64
	private  uint64 // dirty memory that is not shared with other processes
}

func readProcessUsage(pid int) (u processUsage, err error) {
	process, err := procfs.NewProc(pid)
	if err != nil {
		return u, err
	}
	io, err := process.IO()
	if err != nil {
		return u, err
	}
	memory, err := process.ProcSMapsRollup()
	if err != nil {
		return u, err
	}
	u.bytes, u.resident, u.private = io.RChar+io.WChar, memory.Rss, memory.PrivateDirty
	threads, err := procfs.AllThreads(pid)
	if err != nil {
		return u, err
	}
	for _, thread := range threads {
		schedule, err := thread.Schedstat()
		if err != nil {
			return u, err
		}
		status, err := thread.NewStatus()
		if err != nil {
			return u, err
		}
		u.seconds += float64(schedule.RunningNanoseconds) / 1e9
		u.switches += status.VoluntaryCtxtSwitches
	}
	return u, nil
}

// measureDaemons reports the resource usage of daemons that run as processes with a
// stand-in for a backend server each, first idle and then at the design's rate of calls.
func measureDaemons(ctx context.Context, r *report) error {
	dir, err := os.MkdirTemp("", "tarragonshore-slopes-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if err := testbed.Build(dir); err != nil {
		return err
	}
	for _, count := range []int{4, 8, 16} {
		if err := measureDaemonCount(ctx, r, dir, count); err != nil {
			return err
		}
	}
	return nil
}

// measureDaemonCount starts the given number of daemons and reports their usage.
func measureDaemonCount(ctx context.Context, r *report, bin string, count int) (err error) {
	dir, err := os.MkdirTemp(bin, "bed-")
	if err != nil {
		return err
	}
	cluster, err := testbed.New(dir, bin, testbed.Spec{
		Zones: 2, RateGroups: 8, AppendsPerSecond: 300, RetentionSeconds: 24 * 3600,
		Services: []testbed.Service{{Pool: "service-000", Upstreams: count, Slots: []int{16}, ServiceTimeMS: 5, QueueLimit: 16}},
	})
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, cluster.Stop()) }()
	if err := cluster.Start(ctx); err != nil {
		return err
	}
	routes, pools := generateTables(3*designServices, 100, designServers)
	if err := cluster.PublishInitialTables(ctx, string(routes), string(pools)); err != nil {
		return err
	}
	if err := cluster.WaitDaemonsReady(ctx); err != nil {
		return err
	}
	time.Sleep(clusterSettleTime)
	size := fmt.Sprintf("%d idle daemons", count)
	if _, err := observeDaemons(r, cluster, size, func() int { time.Sleep(clusterObservationTime); return 0 }); err != nil {
		return err
	}
	size = fmt.Sprintf("%d daemons, %d calls/s each", count, maxTakesPerSecond)
	answered, err := observeDaemons(r, cluster, size, func() int { return sendCalls(ctx, cluster) })
	if sent := count * maxTakesPerSecond * int(clusterObservationTime/time.Second); err == nil {
		r.add(size, "calls answered with 200", float64(answered)/float64(sent)*100, "%")
	}
	return err
}

// observeDaemons reports the resource usage of the daemons while load runs, and returns
// the result of load.
func observeDaemons(r *report, cluster *testbed.Cluster, size string, load func() int) (int, error) {
	count := len(cluster.Hosts)
	before, after := make([]processUsage, count), make([]processUsage, count)
	read := func(into []processUsage) (err error) {
		for i, host := range cluster.Hosts {
			if into[i], err = readProcessUsage(host.Daemon.PID()); err != nil {
				return err
			}
		}
		return nil
	}
	if err := read(before); err != nil {
		return 0, err
	}
	begun := time.Now()
	result := load()
	seconds := time.Since(begun).Seconds()
	if err := read(after); err != nil {
		return 0, err
	}
	figures := []struct {
		name, unit string
		value      func(before, after processUsage) float64
	}{
		{"processor", "% of a core", func(b, a processUsage) float64 { return (a.seconds - b.seconds) / seconds * 100 }},
		{"waits of threads", "1/s", func(b, a processUsage) float64 { return float64(a.switches-b.switches) / seconds }},
		{"TCP bytes both ways", "B/s", func(b, a processUsage) float64 { return float64(a.bytes-b.bytes) / seconds }},
		{"resident memory", "MB", func(_, a processUsage) float64 { return float64(a.resident) / 1e6 }},
		{"private memory", "MB", func(_, a processUsage) float64 { return float64(a.private) / 1e6 }},
	}
	for _, f := range figures {
		least, most, sum := f.value(before[0], after[0]), 0.0, 0.0
		for i := range after {
			v := f.value(before[i], after[i])
			least, most, sum = min(least, v), max(most, v), sum+v
		}
		r.add(size, f.name+" mean", sum/float64(count), f.unit)
		r.add(size, f.name+" least", least, f.unit)
		r.add(size, f.name+" greatest", most, f.unit)
	}
	return result, nil
}

// sendCalls sends requests of 20 workspaces to each daemon at a constant rate. It
// returns the number of responses with status 200.
func sendCalls(ctx context.Context, cluster *testbed.Cluster) int {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	defer client.CloseIdleConnections()
	var answered atomic.Int64
	var group sync.WaitGroup
	ticker := time.NewTicker(time.Second / maxTakesPerSecond)
	defer ticker.Stop()
	for i := range maxTakesPerSecond * int(clusterObservationTime/time.Second) {
		<-ticker.C
		for _, host := range cluster.Hosts {
			group.Go(func() {
				request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+host.Caller+"/service-000/0", nil)
				if err != nil {
					return
				}
				request.Header.Set("Authorization", "Bearer "+fmt.Sprint(i%20))
				response, err := client.Do(request)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					answered.Add(1)
				}
			})
		}
	}
	group.Wait()
	return int(answered.Load())
}
