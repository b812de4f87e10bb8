// Command tarragon-agent is the daemon of tarragonshore for hosts on a shared
// platform, which publishes the tables and stores the directory of daemons.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"tarragonshore.example/tarragonshore/internal/connection/network"
	"tarragonshore.example/tarragonshore/internal/process/agent"
	"tarragonshore.example/tarragonshore/internal/process/logging"
	"tarragonshore.example/tarragonshore/internal/process/metrics"
	"tarragonshore.example/tarragonshore/internal/process/rateshare"
	"tarragonshore.example/tarragonshore/internal/process/settings"
	"tarragonshore.example/tarragonshore/internal/request/warmup"
	"tarragonshore.example/tarragonshore/platform"
)

// Exit codes.
const (
	exitStopped = 0
	exitFailed  = 1
	exitUsage   = 2
)

// gcPercent is the garbage collector's target percentage (GOGC). A lower value
// saves memory and costs CPU time.
const gcPercent = 100

// shutdownMargin is the part of the platform's grace period that a stop does not use.
// The process exits this long before the platform would kill it, even if connections
// are still open.
const shutdownMargin = 350 * time.Millisecond

func main() {
	code := exitStopped
	if err := newCommand(&code).Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = max(code, exitUsage)
	}
	logging.Flush()
	os.Exit(code)
}

// newCommand returns the command, which stores the exit code of a run in code.
func newCommand(code *int) *cobra.Command {
	var config string
	var checkOnly, reference bool
	command := &cobra.Command{
		Use:   "tarragon-agent",
		Short: "Overload control beside a backend server, on a shared platform",
		Long: "tarragon-agent receives the requests of its host's callers and backend server, decides whether and\n" +
			"where they run, and hands work to the backend server of its host. SIGTERM and SIGINT begin a graceful\n" +
			"stop; SIGHUP checks the settings, whose changes take effect at the next start.\n" +
			"Exit codes: 0 stopped as planned, 1 failed, 2 wrong command line or settings.",
		Example:       "  tarragon-agent --config agent.ini\n  tarragon-agent --config agent.ini --check-config",
		Args:          cobra.NoArgs,
		SilenceErrors: true,
		SilenceUsage:  true,
		RunE: func(*cobra.Command, []string) error {
			if reference {
				fmt.Print(settings.AgentReference())
				return nil
			}
			loaded, err := settings.LoadAgent(config, os.Environ())
			if err != nil || checkOnly {
				return err
			}
			*code = run(loaded, config)
			return nil
		},
	}
	command.Flags().StringVar(&config, "config", "", "INI file with the settings; TARRAGON_SECTION_KEY overrides it")
	command.Flags().BoolVar(&checkOnly, "check-config", false, "check the settings and exit")
	command.Flags().BoolVar(&reference, "settings-reference", false, "print the settings as a Markdown table and exit")
	return command
}

// run runs the agent until SIGTERM or SIGINT and returns the exit code.
func run(loaded *settings.Agent, path string) int {
	debug.SetGCPercent(gcPercent)
	level, _ := logging.ParseLevel(loaded.Log.Level)
	logging.Setup(level, os.Stdout)
	app := fx.New(
		fx.Supply(loaded),
		fx.Provide(metrics.New, newAgent),
		fx.Invoke(registerHooks),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
	)
	if err := app.Err(); err != nil {
		logging.ErrorEvent("agent", "composition-failed", err)
		return exitFailed
	}
	stops, hangups := notifySignals()
	if err := app.Start(context.Background()); err != nil {
		logging.ErrorEvent("agent", "start-failed", err)
		return exitFailed
	}
	waitForStop(stops, hangups, func() { reload(path) })
	stop, cancel := context.WithTimeout(context.Background(), loaded.Platform.Grace-shutdownMargin)
	defer cancel()
	if err := app.Stop(stop); err != nil {
		logging.ErrorEvent("agent", "stop-incomplete", err)
		return exitFailed
	}
	return exitStopped
}

// notifySignals returns channels for the signals that begin a stop and for SIGHUP. They are
// separate, since a channel that is full loses signals: SIGHUPs during a reload must not
// displace a SIGTERM.
func notifySignals() (stops, hangups chan os.Signal) {
	stops, hangups = make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stops, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(hangups, syscall.SIGHUP)
	return stops, hangups
}

// waitForStop waits for a signal that begins a stop, and calls reload for each SIGHUP before.
func waitForStop(stops, hangups <-chan os.Signal, reload func()) {
	for {
		select {
		case <-stops:
			return
		case <-hangups:
			reload()
		}
	}
}

// reload reads and validates the settings on SIGHUP. It applies none of them: all
// settings take effect at the next start.
func reload(path string) {
	if _, err := settings.LoadAgent(path, os.Environ()); err != nil {
		logging.ErrorEvent("agent", "settings-rejected", err, "file", path)
		return
	}
	logging.InfoEvent("agent", "settings-read", "file", path, "effect", "at-next-start")
}

func newAgent(s *settings.Agent, m *metrics.Metrics) *agent.Agent {
	cfg := agent.Config{
		Member: s.Name, Zone: s.Zone, Service: s.Service, ServerAddress: s.Backend.Address.String(),
		HeartbeatInterval: s.Backend.HeartbeatInterval, RevokeBound: s.Platform.RevokeBound,
		StopGrace:  s.Platform.Grace,
		RetryLimit: s.Retries.Limit, AdmissionFeedback: s.Admission.Feedback,
		Tolerance: rateshare.Tolerance{
			Window: s.Rates.Window, Overage: s.Rates.Overage, Slack: float64(s.Rates.Slack),
		},
		WarmUp: warmup.Tolerance{Overage: s.WarmUp.Overage, Slack: s.WarmUp.Slack},
	}
	cfg.Listen.Caller, cfg.Listen.Ready, cfg.Listen.Announce = s.Listen.Caller, s.Listen.Ready, s.Listen.Announce
	cfg.Listen.Peer, cfg.Listen.Admin = s.Listen.Peer, s.Listen.Admin
	return agent.New(cfg, agent.Dependencies{
		Network: network.System{}, Store: platform.NewStore(s.Platform.Address.String()), Protocol: platform.Protocol{},
		Metrics: m, ControlHandlers: platform.ControlHandlers,
	})
}

// registerHooks starts and stops the agent and the metrics with the application.
func registerHooks(lifecycle fx.Lifecycle, a *agent.Agent, m *metrics.Metrics) {
	lifecycle.Append(fx.Hook{OnStop: m.Shutdown})
	lifecycle.Append(fx.Hook{
		OnStart: func(ctx context.Context) error { return eris.Wrap(a.Start(ctx), "start the agent") },
		OnStop:  func(ctx context.Context) error { return eris.Wrap(a.Stop(ctx), "stop the agent") },
	})
}
