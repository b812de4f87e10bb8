// Command tarragond is the daemon beside a backend server.
package main

import (
	"context"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"gopkg.in/ini.v1"
	"k8s.io/klog/v2"

	"tarragonshore.example/tarragonshore/internal/connection/backend"
	"tarragonshore.example/tarragonshore/internal/connection/network"
	"tarragonshore.example/tarragonshore/internal/connection/peer"
	"tarragonshore.example/tarragonshore/internal/process/daemon"
	"tarragonshore.example/tarragonshore/internal/process/metrics"
	"tarragonshore.example/tarragonshore/internal/process/platform"
)

func main() {
	klog.InitFlags(nil)
	path := flag.String("config", "", "settings file")
	flag.Parse()
	f, err := ini.Load(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	_ = flag.Set("v", f.Section("log").Key("level").MustString("0"))
	l := func(k string) netip.AddrPort { return netip.MustParseAddrPort(f.Section("listen").Key(k).String()) }
	cfg := daemon.Config{
		Name: f.Section("daemon").Key("name").String(), Zone: f.Section("daemon").Key("zone").String(),
		Caller: l("caller"), Server: l("server"), Peer: l("peer"), Admin: l("admin"),
		PollWait: time.Second, Retention: f.Section("platform").Key("retention").MustDuration(time.Hour),
		Heartbeat: time.Second, Workers: 4,
		RateGroups: uint32(f.Section("rates").Key("groups").MustUint(8)), LameDuck: 2 * time.Second,
		StopTimeout: 30 * time.Second, Link: peer.DefaultConfig,
	}
	m, err := metrics.New()
	if err != nil {
		panic(err)
	}
	d := daemon.New(cfg, daemon.Surroundings{Network: network.System{}, Log: platform.NewClient(f.Section("platform").Key("address").String(), 5*time.Second), Server: backend.NewClient(256, 4<<20), Metrics: m})
	if err := d.Start(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	c := make(chan os.Signal, 2)
	signal.Notify(c, syscall.SIGTERM, syscall.SIGINT)
	<-c
	ctx, cancel := context.WithTimeout(context.Background(), cfg.StopTimeout)
	defer cancel()
	go func() { <-c; os.Exit(1) }()
	if err := d.Stop(ctx); err != nil {
		os.Exit(1)
	}
}
