// Command tarragon-standin runs development stand-ins.
package main

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"gopkg.in/ini.v1"

	"tarragonshore.example/tarragonshore/internal/process/standin"
)

func main() {
	fs := flag.NewFlagSet("standin", flag.ExitOnError)
	path := fs.String("config", "", "settings file")
	_ = fs.Parse(os.Args[2:])
	f, err := ini.Load(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	var h http.Handler
	s := f.Section(os.Args[1])
	if os.Args[1] == "platform" {
		h = standin.NewPlatform(standin.PlatformConfig{AppendsPerSecond: s.Key("appends_per_second").MustFloat64(300), Retention: s.Key("retention").MustDuration(time.Hour)})
	} else {
		direct := map[string][]string{}
		for _, d := range s.Key("direct").Strings(",") {
			pool, addr, _ := strings.Cut(d, "=")
			direct[pool] = append(direct[pool], addr)
		}
		if len(direct) == 0 {
			direct = nil
		}
		b := standin.NewBackend(standin.BackendConfig{Name: s.Key("name").String(), Pool: s.Key("pool").String(), Address: s.Key("listen").String(), Daemon: s.Key("daemon").String(),
			Slots: s.Key("slots").MustInt(8), Service: s.Key("service").MustDuration(time.Millisecond), Constant: s.Key("constant").MustBool(false), QueueLimit: s.Key("queue_limit").MustInt(100),
			Calls: s.Key("calls").Strings(","), Direct: direct, DirectTries: s.Key("direct_tries").MustInt(1), Seed: s.Key("seed").MustUint64(1), ColdFactor: 4, ColdStart: s.Key("cold_start").MustDuration(0)})
		h = b
		go func() {
			for {
				if err := b.Announce(ctx); err != nil {
					fmt.Println(err)
				}
				time.Sleep(time.Second)
			}
		}()
	}
	srv := &http.Server{Addr: s.Key("listen").String(), Handler: h}
	go func() { <-ctx.Done(); _ = srv.Close() }()
	fmt.Println(srv.ListenAndServe())
}
