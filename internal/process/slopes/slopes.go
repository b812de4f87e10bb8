// Package slopes implements scaling benchmarks: it measures how the CPU time, memory
// and messages of the daemon's components grow with the size of the installation.
// docs/CAPACITY.md extrapolates from its figures.
package slopes

import (
	"context"
	"fmt"
	"io"
	"os"
	"runtime"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"
)

// measurement is a group of figures that can be measured on its own (flag --only).
type measurement struct {
	name string
	run  func(ctx context.Context, r *report) error
}

var measurements = []measurement{
	{"membership", measureMembership},
	{"tables", measureTables},
	{"rates", measureRates},
	{"claims", measureClaims},
	{"tickets", measureTickets},
	{"links", measureLinks},
	{"subsets", measureSubsets},
	{"log", measureLog},
	{"daemons", measureDaemons},
}

// Command returns the subcommand that runs the measurements.
func Command() *cobra.Command {
	var only []string
	names := make([]string, 0, len(measurements))
	for _, m := range measurements {
		names = append(names, m.name)
	}
	command := &cobra.Command{
		Use:   "slopes",
		Short: "Measures memory, processor time and messages of the daemon's parts at several sizes",
		Example: `  tarragon-load slopes
  tarragon-load slopes --only membership,links`,
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			for _, name := range only {
				if !slices.Contains(names, name) {
					return fmt.Errorf("--only names the unknown part %q; choose from %s", name, strings.Join(names, ", "))
				}
			}
			r := &report{out: command.OutOrStdout()}
			for _, m := range measurements {
				if len(only) > 0 && !slices.Contains(only, m.name) {
					continue
				}
				fmt.Fprintf(r.out, "# %s, load average %s\n", m.name, loadAverage())
				if err := m.run(command.Context(), r); err != nil {
					return fmt.Errorf("measure %s: %w", m.name, err)
				}
			}
			return nil
		},
	}
	command.Flags().StringSliceVar(&only, "only", nil, "parts to measure, of "+strings.Join(names, ", ")+"; empty means all")
	return command
}

// report prints the figures, one per line.
type report struct{ out io.Writer }

func (r *report) add(size, figure string, value float64, unit string) {
	fmt.Fprintf(r.out, "%-34s %-32s %12.4g %s\n", size, figure, value, unit)
}

// loadAverage returns the load averages of the machine. They are printed because
// other load on the machine distorts the timings.
func loadAverage() string {
	content, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	return strings.Join(strings.Fields(string(content))[:3], " ")
}

// cpuTime returns the user and system CPU time of this process.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// liveMemory returns the bytes of heap and stacks in use after garbage collection.
func liveMemory() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

const (
	benchmarkTime   = 200 * time.Millisecond
	benchmarkRounds = 3
)

// benchmark reports the least and the greatest CPU time per call of f over several
// rounds, garbage collection included, and the bytes allocated per call.
func (r *report) benchmark(size, figure string, f func()) {
	f()
	var times []float64
	var before, after runtime.MemStats
	calls := 0
	runtime.ReadMemStats(&before)
	for range benchmarkRounds {
		n, begun, end := 0, cpuTime(), time.Now().Add(benchmarkTime)
		for ; time.Now().Before(end); n++ {
			f()
		}
		times = append(times, float64((cpuTime()-begun).Nanoseconds())/float64(n)/1e3)
		calls += n
	}
	runtime.ReadMemStats(&after)
	r.add(size, figure+" least", slices.Min(times), "us")
	r.add(size, figure+" greatest", slices.Max(times), "us")
	r.add(size, figure+" allocates", float64(after.TotalAlloc-before.TotalAlloc)/float64(calls), "B")
}
