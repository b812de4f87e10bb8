// Command tarragond is the daemon of tarragonshore, which runs beside each backend
// server.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"tarragonshore.example/tarragonshore/internal/connection/backend"
	"tarragonshore.example/tarragonshore/internal/connection/network"
	"tarragonshore.example/tarragonshore/internal/process/daemon"
	"tarragonshore.example/tarragonshore/internal/process/logging"
	"tarragonshore.example/tarragonshore/internal/process/metrics"
	"tarragonshore.example/tarragonshore/internal/process/platform"
	"tarragonshore.example/tarragonshore/internal/process/settings"
)

// Exit codes.
const (
	exitStopped = 0
	exitFailed  = 1
	exitUsage   = 2
)

func main() {
	code := exitStopped
	command := newCommand(&code)
	if err := command.Execute(); err != nil {
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
		Use:   "tarragond",
		Short: "Overload control beside a backend server",
		Long: "tarragond receives callers' requests, decides whether and where they run, hands work to the\n" +
			"backend server of its host and carries the calls that this server makes to other services.\n" +
			"SIGTERM and SIGINT begin a graceful stop; a second one ends the process at once.\n" +
			"Exit codes: 0 stopped as planned, 1 failed or ended by a second signal, 2 wrong command line or settings.",
		Example:       "  tarragond --config /etc/tarragonshore/tarragond.ini\n  tarragond --config tarragond.ini --check-config\n  TARRAGON_LOG_LEVEL=debug tarragond --config tarragond.ini",
		Args:          cobra.NoArgs,
		SilenceErrors: true,
		SilenceUsage:  true,
		RunE: func(*cobra.Command, []string) error {
			if reference {
				fmt.Print(settings.DaemonReference())
				return nil
			}
			loaded, err := settings.LoadDaemon(config, os.Environ())
			if err != nil {
				return err
			}
			if checkOnly {
				fmt.Println("settings are valid")
				return nil
			}
			*code = run(loaded)
			return nil
		},
	}
	command.Flags().StringVar(&config, "config", "", "INI file with the settings; TARRAGON_SECTION_KEY overrides it")
	command.Flags().BoolVar(&checkOnly, "check-config", false, "check the settings and exit")
	command.Flags().BoolVar(&reference, "settings-reference", false, "print the settings as a Markdown table and exit")
	return command
}

// run runs the daemon until SIGTERM or SIGINT, or until it learns of a later incarnation
// with its member name, and returns the exit code.
func run(loaded *settings.Daemon) int {
	level, _ := logging.ParseLevel(loaded.Log.Level)
	logging.Setup(level, nil)
	var d *daemon.Daemon
	app := fx.New(
		fx.Supply(loaded),
		fx.Populate(&d),
		fx.Provide(metrics.New, newLog, newServer, newDaemon),
		fx.Invoke(registerHooks),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StopTimeout(loaded.Timing.StopTimeout+loaded.Timing.LameDuck),
	)
	if err := app.Err(); err != nil {
		logging.ErrorEvent("daemon", "composition-failed", err)
		return exitFailed
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	start, cancel := context.WithTimeout(context.Background(), app.StartTimeout())
	defer cancel()
	if err := app.Start(start); err != nil {
		logging.ErrorEvent("daemon", "start-failed", err)
		return exitFailed
	}
	select {
	case <-signals:
	case <-d.Superseded():
	}
	go func() {
		<-signals
		logging.Flush()
		os.Exit(exitFailed)
	}()
	stop, cancel := context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancel()
	if err := app.Stop(stop); err != nil {
		logging.ErrorEvent("daemon", "stop-incomplete", err)
		return exitFailed
	}
	return exitStopped
}

func newLog(s *settings.Daemon) platform.Log {
	return platform.NewClient(s.Platform.Address.String(), platform.DefaultRequestTimeout)
}

func newServer(s *settings.Daemon) backend.Server {
	return backend.NewClient(s.Backend.Connections, int64(s.Limits.MaxBody))
}

func newDaemon(s *settings.Daemon, log platform.Log, server backend.Server, m *metrics.Metrics) *daemon.Daemon {
	return daemon.New(daemon.ConfigFromSettings(s), daemon.Dependencies{
		Network: network.System{},
		Log:     log,
		Server:  server,
		Metrics: m,
	})
}

// registerHooks starts and stops the daemon and the metrics with the application.
func registerHooks(lifecycle fx.Lifecycle, d *daemon.Daemon, m *metrics.Metrics) {
	lifecycle.Append(fx.Hook{OnStop: m.Shutdown})
	lifecycle.Append(fx.Hook{
		OnStart: func(ctx context.Context) error { return eris.Wrap(d.Start(ctx), "start the daemon") },
		OnStop:  func(ctx context.Context) error { return eris.Wrap(d.Stop(ctx), "stop the daemon") },
	})
}
