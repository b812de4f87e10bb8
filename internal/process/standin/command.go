package standin

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"tarragonshore.example/tarragonshore/internal/process/logging"
	"tarragonshore.example/tarragonshore/internal/process/metrics"
	"tarragonshore.example/tarragonshore/internal/process/settings"
)

const (
	announceInterval = time.Second
	// drainNoticeTime is the time after the draining announcement by which all daemons
	// know of it and send the server no new requests.
	drainNoticeTime  = 2500 * time.Millisecond
	idlePollInterval = 20 * time.Millisecond
	// coldFactor multiplies service times during a cold start.
	coldFactor = 4
)

// Exit codes of the command.
const (
	exitFailed = 1
	exitUsage  = 2
)

// Main runs the command line and returns the exit code.
func Main(args []string) int {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	command := newCommand()
	command.SetArgs(args)
	err := command.ExecuteContext(ctx)
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, err)
	var faults settings.Errors
	if errors.As(err, &faults) {
		return exitUsage
	}
	return exitFailed
}

func newCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "tarragon-standin",
		Short:         "Stand-ins for the platform's log and for a backend server, for development only",
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	root.AddCommand(
		subcommand("platform", "Run an append-only log with settable faults", runPlatform),
		subcommand("backend", "Run a backend server that announces itself to its daemon", runBackend),
	)
	return root
}

func subcommand(name, short string, run func(ctx context.Context, config string, checkOnly bool) error) *cobra.Command {
	var config string
	var checkOnly bool
	command := &cobra.Command{
		Use:     name,
		Short:   short,
		Example: "  tarragon-standin " + name + " --config " + name + ".ini\n  tarragon-standin " + name + " --config " + name + ".ini --check-config",
		Args:    cobra.NoArgs,
		RunE:    func(command *cobra.Command, _ []string) error { return run(command.Context(), config, checkOnly) },
	}
	command.Flags().StringVar(&config, "config", "", "INI file with the settings; TARRAGON_SECTION_KEY overrides it")
	command.Flags().BoolVar(&checkOnly, "check-config", false, "check the settings and exit")
	return command
}

func runPlatform(ctx context.Context, config string, checkOnly bool) error {
	s, err := settings.LoadStandinPlatform(config, os.Environ())
	if err != nil || checkOnly {
		return err
	}
	p := NewPlatform(PlatformConfig{AppendsPerSecond: float64(s.AppendsPerSecond), Retention: s.Retention})
	return serve(ctx, s.Listen, 0, p, func() {})
}

func runBackend(ctx context.Context, config string, checkOnly bool) error {
	s, err := settings.LoadStandinBackend(config, os.Environ())
	if err != nil || checkOnly {
		return err
	}
	b := NewBackend(backendConfig(s))
	announceCtx, stopAnnouncing := context.WithCancel(context.Background())
	defer stopAnnouncing()
	if s.Direct == "" {
		go b.announceLoop(announceCtx)
	}
	return serve(ctx, s.Listen, s.ConnectDelay, b, func() { b.drain(announceCtx) })
}

func backendConfig(s *settings.StandinBackend) BackendConfig {
	return BackendConfig{
		Name:                s.Name,
		Pool:                s.Pool,
		Address:             s.Listen.String(),
		Daemon:              s.Daemon.String(),
		Slots:               s.Slots,
		ServiceTime:         s.ServiceTime,
		ConstantServiceTime: s.ConstantServiceTime,
		ColdStart:           s.ColdStart,
		ColdFactor:          coldFactor,
		QueueLimit:          s.QueueLimit,
		Calls:               splitList(s.Calls),
		IgnoreCancel:        s.IgnoreCancel,
		Direct:              directAddresses(s.Direct),
		DirectTries:         s.DirectTries,
		Zone:                s.Zone,
		ZoneDelay:           s.ZoneDelay,
		Seed:                uint64(s.Seed),
	}
}

func splitList(text string) []string {
	var items []string
	for _, item := range strings.Split(text, ",") {
		if item = strings.TrimSpace(item); item != "" {
			items = append(items, item)
		}
	}
	return items
}

// directAddresses parses a comma-separated list of POOL=ADDRESS items. It returns
// nil for an empty list.
func directAddresses(text string) map[string][]string {
	var direct map[string][]string
	for _, item := range splitList(text) {
		pool, address, ok := strings.Cut(item, "=")
		if !ok {
			continue
		}
		if direct == nil {
			direct = make(map[string][]string)
		}
		direct[pool] = append(direct[pool], address)
	}
	return direct
}

// serve serves HTTP until ctx ends, then calls drain and closes the server. The
// first read of each connection is delayed by connectDelay.
func serve(ctx context.Context, address netip.AddrPort, connectDelay time.Duration, handler http.Handler, drain func()) error {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return err
	}
	m, err := metrics.New()
	if err != nil {
		return err
	}
	server := &http.Server{Handler: withAdmin(handler, m)}
	go func() {
		<-ctx.Done()
		drain()
		_ = server.Close()
	}()
	if err := server.Serve(delayedListener{listener, connectDelay}); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// withAdmin serves the health and metrics endpoints on the stand-in's own port.
func withAdmin(next http.Handler, m *metrics.Metrics) http.Handler {
	exposition := m.Handler()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/livez", "/readyz":
			w.WriteHeader(http.StatusOK)
		case "/metrics":
			exposition.ServeHTTP(w, r)
		default:
			next.ServeHTTP(w, r)
		}
	})
}

// announceLoop announces the server once per announceInterval until ctx ends.
func (b *Backend) announceLoop(ctx context.Context) {
	for {
		if err := b.Announce(ctx); err != nil && ctx.Err() == nil {
			logging.WarningEvent("backend", "announcement-failed", "error", err)
		}
		if !sleep(ctx, announceInterval) {
			return
		}
	}
}

// drain announces that the server is draining and waits until it is idle.
func (b *Backend) drain(ctx context.Context) {
	b.SetFaults(BackendFaults{Draining: true})
	_ = b.Announce(ctx)
	sleep(ctx, drainNoticeTime)
	for !b.Idle() && sleep(ctx, idlePollInterval) {
	}
}
