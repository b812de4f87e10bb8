package load

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"syscall"

	"github.com/spf13/cobra"

	"tarragonshore.example/tarragonshore/internal/process/slopes"
	"tarragonshore.example/tarragonshore/internal/process/testbed"
)

// Exit codes of the command.
const (
	exitDone  = 0
	exitError = 1
	exitUsage = 2
)

// options holds the flags of the subcommands compare and drive.
type options struct {
	scenario string
	seed     uint64
	systems  []string
	bin      string
	// previous is the directory of an earlier version's programs; empty if that
	// version is not compared.
	previous string
	out      string
	// checkOnly makes the command check the scenario and run nothing.
	checkOnly bool
}

// Main runs the command and returns its exit code.
func Main(args []string) int {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	command := newCommand()
	command.SetArgs(args)
	err := command.ExecuteContext(ctx)
	var scenarioError *ScenarioError
	switch {
	case err == nil:
		return exitDone
	case errors.As(err, &scenarioError):
		return exitUsage
	default:
		return exitError
	}
}

func newCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "tarragon-load",
		Short:         "Drives seeded open-loop load and reports goodput, recovery, fairness and wrongful refusals",
		SilenceUsage:  true,
		SilenceErrors: false,
	}
	root.AddCommand(compareCommand(), latencyCommand(), driveCommand(), slopes.Command())
	return root
}

func compareCommand() *cobra.Command {
	var o options
	command := &cobra.Command{
		Use:   "compare",
		Short: "Runs a scenario against several systems that it starts on this machine",
		Example: `  tarragon-load compare --scenario scenarios/trust.ini --seed 1
  tarragon-load compare --scenario scenarios/trust.ini --systems tarragonshore --bin ./bin --out ./out

  # With the daemons of an earlier commit as one more system:
  git worktree add ../before COMMIT
  (cd ../before && go build -o bin/ ./cmd/...)
  tarragon-load compare --scenario scenarios/chain4.ini --previous ../before/bin`,
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if o.checkOnly {
				_, err := LoadScenario(o.scenario)
				return err
			}
			return compare(command.Context(), o)
		},
	}
	flags := command.Flags()
	flags.StringVar(&o.scenario, "scenario", "", "scenario file")
	flags.Uint64Var(&o.seed, "seed", 1, "seed of the arrivals")
	flags.BoolVar(&o.checkOnly, "check-config", false, "check the scenario and exit")
	flags.StringSliceVar(&o.systems, "systems", []string{string(SystemNone), string(SystemStatic), string(SystemDaemons)}, "systems to compare")
	flags.StringVar(&o.bin, "bin", "", "directory of the programs; empty builds them from this module")
	flags.StringVar(&o.previous, "previous", "", "directory of an earlier version's programs; its tarragond runs as one more system")
	flags.StringVar(&o.out, "out", "out", "directory for logs, reports and the plot")
	_ = command.MarkFlagRequired("scenario")
	return command
}

// compare runs the scenario against each system in turn and writes their reports.
func compare(ctx context.Context, o options) error {
	s, err := LoadScenario(o.scenario)
	if err != nil {
		return err
	}
	out, bin, err := prepareDirectories(o.out, o.bin)
	if err != nil {
		return err
	}
	systems, err := o.allSystems()
	if err != nil {
		return err
	}
	var reports []*Report
	for _, system := range systems {
		report, err := RunSystem(ctx, s, system, o.seed, Programs{Bin: bin, Previous: o.previous}, out, printProgress)
		if err != nil {
			return err
		}
		report.WriteTable(os.Stdout)
		reports = append(reports, report)
	}
	WriteSummary(os.Stdout, reports)
	return writeReports(out, s.Name, reports)
}

// allSystems returns the systems to run: those listed, and the previous version
// if its programs are given.
func (o options) allSystems() ([]System, error) {
	var systems []System
	for _, name := range o.systems {
		system := System(name)
		if !slices.Contains([]System{SystemNone, SystemStatic, SystemDaemons}, system) {
			return nil, &ScenarioError{File: "command line", Section: "compare", Key: "systems",
				Remedy: "unknown system " + name + "; use none, static-limit or tarragonshore, and --previous for an earlier version"}
		}
		systems = append(systems, system)
	}
	if o.previous == "" {
		return systems, nil
	}
	if _, err := os.Stat(filepath.Join(o.previous, testbed.DaemonProgram)); err != nil {
		return nil, fmt.Errorf("--previous: %w; build the earlier version's programs into this directory", err)
	}
	return append(systems, SystemPrevious), nil
}

// prepareDirectories creates the directory for logs and reports, and builds the
// programs if no directory of programs is given. It returns both directories.
func prepareDirectories(out, bin string) (string, string, error) {
	out, err := filepath.Abs(out)
	if err != nil {
		return "", "", err
	}
	if err := os.MkdirAll(out, 0o755); err != nil {
		return "", "", err
	}
	if bin == "" {
		bin = filepath.Join(out, "bin")
		if err := testbed.Build(bin); err != nil {
			return "", "", err
		}
	}
	return out, bin, nil
}

func printProgress(text string) { fmt.Fprintln(os.Stderr, text) }

func writeReports(out, name string, reports []*Report) error {
	content, err := json.MarshalIndent(reports, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(out, name+".json"), content, 0o644); err != nil {
		return err
	}
	return WritePlot(filepath.Join(out, name+".png"), reports)
}

// driveCommand returns the subcommand that sends load to running daemons.
func driveCommand() *cobra.Command {
	var o options
	var addresses, keys []string
	command := &cobra.Command{
		Use:     "drive",
		Short:   "Sends the load of a scenario to running daemons",
		Example: `  tarragon-load drive --scenario scenarios/trust.ini --addresses 127.0.0.1:8080 --keys KEY1,KEY2,...`,
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			s, err := LoadScenario(o.scenario)
			if err != nil {
				return err
			}
			if len(keys) != len(s.Workspaces) {
				return fmt.Errorf("--keys lists %d keys; give one for each of the %d workspaces of the scenario", len(keys), len(s.Workspaces))
			}
			driver := NewDriver(s, Target{Addresses: addresses, Keys: keys}, fmt.Sprintf("%s-%d", s.Name, o.seed))
			outcomes := driver.Run(command.Context(), Arrivals(s, o.seed), func(index int) { printProgress("phase=" + s.Phases[index].Name) })
			report := NewReport(s, "running daemons", o.seed, outcomes)
			report.WriteTable(os.Stdout)
			return writeReports(o.out, s.Name, []*Report{report})
		},
	}
	flags := command.Flags()
	flags.StringVar(&o.scenario, "scenario", "", "scenario file; its faults are not applied")
	flags.Uint64Var(&o.seed, "seed", 1, "seed of the arrivals")
	flags.StringVar(&o.out, "out", ".", "directory for the report and the plot")
	flags.StringSliceVar(&addresses, "addresses", nil, "caller ports of the daemons")
	flags.StringSliceVar(&keys, "keys", nil, "keys of the workspaces, in the order of the scenario")
	for _, name := range []string{"scenario", "addresses", "keys"} {
		_ = command.MarkFlagRequired(name)
	}
	return command
}
