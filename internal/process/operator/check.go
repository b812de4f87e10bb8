package operator

import (
	"context"
	"fmt"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"tarragonshore.example/tarragonshore/internal/version/check"
)

// againstLive is the value of --against that stands for the store's newest record.
const againstLive = "live"

// ConfigurationChecker checks configurations of a shared platform. Only package platform knows
// their form.
type ConfigurationChecker interface {
	// Check returns the findings in a document and, unless against is nil, its differences
	// from against. An error means that one of them is not readable.
	Check(document, against []byte) (check.Report, error)
	// Newest returns the newest document of the store at address.
	Newest(ctx context.Context, address string) ([]byte, error)
}

func (a *app) checkCommand() *cobra.Command {
	var against, store string
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "check FILE [--against FILE|live] [--store ADDRESS] [--json]",
		Short: "Check a configuration of a shared platform before it is published",
		Long: "check prints the faults of a configuration of a shared platform, each with its path in the document and\n" +
			"the remedy. With --against, it also prints the differences from another version. Keys are counted,\n" +
			"never printed. Nothing is published.\n\n" +
			"Exit codes: 0 no findings, 1 findings, 2 the check could not be made.",
		Example: "  tarragonctl check config.json\n  tarragonctl check config.json --against former.json\n  tarragonctl check config.json --against live --store 10.0.0.2:7500 --json",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if asJSON {
				a.output = "json"
			}
			if a.env.Configurations == nil {
				return usageError("this program cannot read configurations of a shared platform", nil, "use a tarragonctl built from cmd/tarragonctl")
			}
			if (against == againstLive) != (store != "") {
				return usageError("--against live and --store need each other", nil, "give both or neither; for a file named live, give ./live")
			}
			document, err := os.ReadFile(args[0])
			if err != nil {
				return usageError("the configuration cannot be read", err, "give the path of a readable file")
			}
			other, err := a.readAgainst(cmd.Context(), against, store)
			if err != nil {
				return err
			}
			report, err := a.env.Configurations.Check(document, other)
			if err != nil {
				return usageError("the check could not be made", err, "correct the document, or give another one")
			}
			if err := a.print(formatReport(report), report); err != nil {
				return usageError("the findings cannot be written", err, "check where standard output goes")
			}
			if n := len(report.Findings); n > 0 {
				return refusedError(fmt.Sprintf("the configuration has findings: %d", n), nil, "correct them before you publish it")
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&against, "against", "", "file of another version to compare with, or 'live' for the newest record of the store")
	cmd.Flags().StringVar(&store, "store", "", "address IP:port of the platform's store, for --against live")
	cmd.Flags().BoolVar(&asJSON, "json", false, "print findings and differences as JSON, as --output json does")
	_ = cmd.MarkFlagFilename("against", "json")
	return cmd
}

// readAgainst returns the document to compare with, or nil if there is none.
func (a *app) readAgainst(ctx context.Context, against, store string) ([]byte, error) {
	switch against {
	case "":
		return nil, nil
	case againstLive:
		ctx, cancel := context.WithTimeout(ctx, a.timeout)
		defer cancel()
		document, err := a.env.Configurations.Newest(ctx, store)
		if err != nil {
			return nil, usageError("the newest configuration cannot be read from the store", err, "check --store and whether the store is up, or compare with a file")
		}
		return document, nil
	}
	document, err := os.ReadFile(against)
	if err != nil {
		return nil, usageError("the version to compare with cannot be read", err, "give the path of a readable file")
	}
	return document, nil
}

// formatReport returns a line for each finding, each difference and each of its fields.
func formatReport(report check.Report) string {
	var b strings.Builder
	for _, f := range report.Findings {
		fmt.Fprintf(&b, "%s: %s: %s; remedy: %s\n", f.Path, f.Class, f.Detail, f.Remedy)
	}
	for _, d := range report.Differences {
		fmt.Fprintf(&b, "%s\n", strings.Join(strings.Fields(fmt.Sprintf("%s %s %s", d.Change, d.Table, d.Name)), " "))
		for _, f := range d.Fields {
			fmt.Fprintf(&b, "  %s: %q -> %q\n", f.Name, f.From, f.To)
		}
	}
	if report.Version != "" {
		fmt.Fprintf(&b, "version %s: ", report.Version)
	}
	fmt.Fprintf(&b, "%d findings, %d differences\n", len(report.Findings), len(report.Differences))
	return b.String()
}
