package operator

import (
	"bufio"
	"context"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"tarragonshore.example/tarragonshore/internal/version/tables"
)

const (
	// keyBytes is the number of random bytes in a generated key. It equals the
	// length of the key's SHA-256 digest.
	keyBytes = 32
	// tableFileMode is the mode of written table files. All users may read them, since
	// they contain only the digests of keys.
	tableFileMode = 0o644
)

func (a *app) root() *cobra.Command {
	root := &cobra.Command{
		Use:   "tarragonctl",
		Short: "Validate, publish and inspect the routes and pools tables",
		Long: "tarragonctl validates, publishes and inspects the routes and pools tables.\n\n" +
			"Exit codes: 0 done; 1 refused, the change has no effect; 2 wrong command line or settings;\n" +
			"3 the outcome is not known, or the change is accepted but was not seen in force everywhere.",
		Example:       "  tarragonctl validate --routes routes.ini --pools pools.ini\n  tarragonctl publish --routes routes.ini --pools pools.ini --wait\n  tarragonctl --config tarragonctl.ini --check-config",
		SilenceErrors: true,
		SilenceUsage:  true,
		Args:          cobra.NoArgs,
		PersistentPreRunE: func(*cobra.Command, []string) error {
			if a.output != "text" && a.output != "json" {
				wrong := a.output
				a.output = "text"
				return usageError("unknown output format: --output "+wrong, nil, "use text or json")
			}
			if !a.checkConfig {
				return nil
			}
			if _, err := a.settings(); err != nil {
				return err
			}
			if err := a.print("the settings are valid\n", map[string]bool{"valid": true}); err != nil {
				return err
			}
			return errConfigChecked
		},
		RunE: func(cmd *cobra.Command, _ []string) error {
			_ = cmd.Help()
			return usageError("no command given", nil, "choose one of the commands above")
		},
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error {
		return usageError("the command line is not valid", err, "see --help of the command")
	})
	flags := root.PersistentFlags()
	flags.StringVar(&a.config, "config", "", "INI file with the settings; TARRAGON_SECTION_KEY overrides it")
	flags.BoolVar(&a.checkConfig, "check-config", false, "check the settings and exit")
	flags.StringVarP(&a.output, "output", "o", "text", "output format: text or json")
	flags.DurationVar(&a.timeout, "timeout", 30*time.Second, "longest time for reading and publishing")
	_ = root.MarkPersistentFlagFilename("config", "ini")
	_ = root.RegisterFlagCompletionFunc("output", cobra.FixedCompletions([]string{"text", "json"}, cobra.ShellCompDirectiveNoFileComp))
	root.AddCommand(a.validateCommand(), a.publishCommand(), a.showCommand(), a.diffCommand(), a.keyCommand(), a.drainCommand(), a.statusCommand(), a.versionCommand(), a.explainCommand(), a.checkCommand())
	return root
}

// tableFiles holds the paths of the two table files given to a command.
type tableFiles struct{ routes, pools string }

func (f *tableFiles) addFlags(cmd *cobra.Command, required bool) {
	cmd.Flags().StringVar(&f.routes, "routes", "", "file of the routes table")
	cmd.Flags().StringVar(&f.pools, "pools", "", "file of the pools table")
	for _, name := range []string{"routes", "pools"} {
		_ = cmd.MarkFlagFilename(name, "ini")
		if required {
			_ = cmd.MarkFlagRequired(name)
		}
	}
	cmd.MarkFlagsRequiredTogether("routes", "pools")
}

func (f *tableFiles) parse() (*tables.Tables, error) {
	routes, err := os.ReadFile(f.routes)
	if err != nil {
		return nil, usageError("the routes table cannot be read", err, "give the path of a readable file")
	}
	pools, err := os.ReadFile(f.pools)
	if err != nil {
		return nil, usageError("the pools table cannot be read", err, "give the path of a readable file")
	}
	t, err := tables.Parse(routes, pools)
	if err != nil {
		return nil, parseFailure(err)
	}
	return t, nil
}

func (a *app) validateCommand() *cobra.Command {
	var f tableFiles
	cmd := &cobra.Command{
		Use:     "validate --routes FILE --pools FILE",
		Short:   "Check both tables without publishing them",
		Example: "  tarragonctl validate --routes routes.ini --pools pools.ini",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			t, err := f.parse()
			if err != nil {
				return err
			}
			return a.print(fmt.Sprintf("valid: %d rows, digest %s\n", t.RowCount(), t.Digest()),
				map[string]any{"valid": true, "rows": t.RowCount(), "digest": t.Digest().String()})
		},
	}
	f.addFlags(cmd, true)
	return cmd
}

// addEditFlags adds the flags of commands that publish an edit.
func (a *app) addEditFlags(cmd *cobra.Command) {
	cmd.Flags().StringVar(&a.author, "author", a.userName(), "author that the edit names")
	cmd.Flags().StringVar(&a.note, "note", "", "reason that the edit names")
}

// userName returns the USER variable of the environment, the default author of edits.
func (a *app) userName() string {
	for _, item := range a.env.Variables {
		if name, ok := strings.CutPrefix(item, "USER="); ok {
			return name
		}
	}
	return ""
}

func (a *app) publishCommand() *cobra.Command {
	var f tableFiles
	var base uint64
	var wait bool
	var limit time.Duration
	cmd := &cobra.Command{
		Use:   "publish --routes FILE --pools FILE",
		Short: "Make both files the current tables",
		Long: "Make both files the current tables. Rows that the files lack are removed, also keys and\n" +
			"drains that were added with 'key' and 'drain'; start from the output of 'show'.\n" +
			"The edit is refused if another one is accepted first. With --base, it is also refused if\n" +
			"the tables are not at that version any more.",
		Example: "  tarragonctl publish --routes routes.ini --pools pools.ini --note 'more burst for alpha'\n  tarragonctl publish --routes routes.ini --pools pools.ini --base 41 --wait",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			target, err := f.parse()
			if err != nil {
				return err
			}
			s, err := a.open(cmd.Context())
			if err != nil {
				return err
			}
			if current := s.reader.Version(); cmd.Flags().Changed("base") && current != tables.Version(base) {
				return refusedError(fmt.Sprintf("the current version is %d, not %d", current, base), nil,
					fmt.Sprintf("review 'tarragonctl diff %d', then publish on the current version", base))
			}
			result, err := s.publish(cmd.Context(), edit{author: a.author, note: a.note, maxAttempts: 1,
				changes: func(current *tables.Tables) ([]tables.Change, error) { return tables.Diff(current, target), nil }})
			if err != nil {
				return err
			}
			return a.finishPublish(cmd.Context(), s, result, wait, limit)
		},
	}
	f.addFlags(cmd, true)
	a.addEditFlags(cmd)
	cmd.Flags().Uint64Var(&base, "base", 0, "version that the files are based on")
	cmd.Flags().BoolVar(&wait, "wait", false, "wait until all daemons have the version in force, and report each")
	cmd.Flags().DurationVar(&limit, "wait-timeout", 15*time.Second, "longest time for --wait")
	a.addDaemonFlag(cmd)
	return cmd
}

// finishPublish prints the result of an edit. With wait, it first waits for at most limit
// until all daemons have the version in force, and prints for each whether it has.
func (a *app) finishPublish(ctx context.Context, s *session, result *publishResult, wait bool, limit time.Duration) error {
	type output struct {
		*publishResult
		InForce []inForceReport `json:"in_force,omitempty"`
	}
	out := output{publishResult: result}
	text := fmt.Sprintf("version %d accepted at offset %d\n%s", result.Version, result.Offset, formatChanges(result.Changes))
	if !result.Changed {
		text = fmt.Sprintf("version %d already has these tables\n", result.Version)
	}
	if !wait {
		return a.print(text, out)
	}
	addresses, err := a.adminAddresses(ctx, s.log)
	if err != nil {
		_ = a.print(text, out)
		return unknownOutcomeError(fmt.Sprintf("version %d is accepted, but it is not known where it is in force", result.Version), err, "")
	}
	all := false
	out.InForce, all = a.waitInForce(ctx, addresses, result.Version, limit)
	if err := a.print(text+formatInForce(out.InForce), out); err != nil {
		return err
	}
	if !all {
		return unknownOutcomeError(fmt.Sprintf("version %d is accepted, but not seen in force on all daemons", result.Version), nil, "check the daemons named above with 'tarragonctl status'")
	}
	return nil
}

func (a *app) addDaemonFlag(cmd *cobra.Command) {
	cmd.Flags().StringSliceVar(&a.daemons, "daemon", nil, "admin port IP:port of a daemon to ask; may be repeated (default: [daemons] admin, or all members that the log names)")
}

func parseVersion(text string) (*tables.Version, error) {
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return nil, usageError("not a version number: "+text, nil, "use a whole number")
	}
	v := tables.Version(n)
	return &v, nil
}

func (a *app) showCommand() *cobra.Command {
	var f tableFiles
	cmd := &cobra.Command{
		Use:   "show [VERSION]",
		Short: "Print both tables, or write them to files",
		Long: "Print both tables, as of a version or the current ones. With --routes and --pools, write them to\n" +
			"these two files instead, to edit and publish with --base. With --output json, the texts of the\n" +
			"tables are in the fields 'routes' and 'pools'.",
		Example: "  tarragonctl show\n  tarragonctl show --routes routes.ini --pools pools.ini\n  tarragonctl show 41 --output json",
		Args:    cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var at *tables.Version
			var err error
			if len(args) > 0 {
				if at, err = parseVersion(args[0]); err != nil {
					return err
				}
			}
			s, err := a.openReplay(cmd.Context(), at != nil)
			if err != nil {
				return err
			}
			t, version, err := s.tablesAt(at)
			if err != nil {
				return err
			}
			return a.writeTables(t, version, f)
		},
	}
	f.addFlags(cmd, false)
	return cmd
}

// writeTables writes the tables to the files named in f, or prints them if f is empty.
func (a *app) writeTables(t *tables.Tables, version tables.Version, f tableFiles) error {
	routes, pools := t.Format()
	if f.routes == "" {
		text := fmt.Sprintf("# version %d, digest %s\n# routes\n%s\n# pools\n%s", version, t.Digest(), routes, pools)
		return a.print(text, map[string]any{"version": version, "digest": t.Digest().String(), "routes": string(routes), "pools": string(pools)})
	}
	if err := errors.Join(os.WriteFile(f.routes, routes, tableFileMode), os.WriteFile(f.pools, pools, tableFileMode)); err != nil {
		return usageError("the tables cannot be written", err, "give paths of writable files")
	}
	text := fmt.Sprintf("version %d written to %s and %s; publish changes with --base %d\n", version, f.routes, f.pools, version)
	return a.print(text, map[string]any{"version": version, "digest": t.Digest().String()})
}

func (a *app) diffCommand() *cobra.Command {
	var f tableFiles
	cmd := &cobra.Command{
		Use:     "diff FROM [TO] | diff --routes FILE --pools FILE [FROM]",
		Short:   "Print the row changes between two versions, or from a version to files",
		Long:    "Print the row changes from version FROM to version TO (default: the current one), or from\na version (default: the current one) to the files.",
		Example: "  tarragonctl diff 41\n  tarragonctl diff 41 43\n  tarragonctl diff --routes routes.ini --pools pools.ini",
		Args:    cobra.MaximumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			versions := make([]*tables.Version, 2)
			for i, arg := range args {
				v, err := parseVersion(arg)
				if err != nil {
					return err
				}
				versions[i] = v
			}
			if withFiles := f.routes != ""; withFiles && len(args) > 1 || !withFiles && len(args) == 0 {
				return usageError("diff needs two states to compare", nil, "give FROM [TO], or --routes and --pools with at most FROM")
			}
			from, to, err := a.tablesToCompare(cmd.Context(), f, versions)
			if err != nil {
				return err
			}
			changes := describeChanges(from, tables.Diff(from, to))
			return a.print(formatChanges(changes), map[string]any{"changes": changes})
		},
	}
	f.addFlags(cmd, false)
	return cmd
}

// tablesToCompare returns the tables that diff compares: from is versions[0], and to is the
// files if they are given, else versions[1]. A nil version stands for the current one.
func (a *app) tablesToCompare(ctx context.Context, f tableFiles, versions []*tables.Version) (from, to *tables.Tables, err error) {
	if f.routes != "" {
		if to, err = f.parse(); err != nil {
			return nil, nil, err
		}
	}
	s, err := a.openReplay(ctx, versions[0] != nil)
	if err != nil {
		return nil, nil, err
	}
	if from, _, err = s.tablesAt(versions[0]); err == nil && to == nil {
		to, _, err = s.tablesAt(versions[1])
	}
	return from, to, err
}

func (a *app) keyCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "key", Short: "Issue and withdraw keys",
		Example: "  tarragonctl key add alpha\n  tarragonctl key withdraw - < key.txt", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			_ = cmd.Help()
			return usageError("no command given", nil, "use key add or key withdraw")
		}}
	cmd.AddCommand(a.keyAddCommand(), a.keyWithdrawCommand())
	return cmd
}

func (a *app) keyAddCommand() *cobra.Command {
	var digestText string
	cmd := &cobra.Command{
		Use:     "add WORKSPACE",
		Short:   "Issue a key for a workspace and print it once",
		Long:    "Issue a key for a workspace. The key is printed once and stored nowhere; the tables hold its\nSHA-256. With --digest, the key was made elsewhere and only its SHA-256 is given.",
		Example: "  tarragonctl key add alpha\n  tarragonctl key add alpha --digest \"$(printf %s \"$KEY\" | sha256sum | cut -d' ' -f1)\"",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			secret, digest, err := a.newKey(digestText)
			if err != nil {
				return err
			}
			result, err := a.editRows(cmd, func(current *tables.Tables) ([]tables.Change, error) {
				if _, ok := current.Workspace(args[0]); !ok {
					return nil, refusedError("there is no workspace "+args[0], nil, "add it to the pools table first")
				}
				if other, ok := current.WorkspaceOfKey(digest); ok && other != args[0] {
					return nil, refusedError("the key belongs to workspace "+other, nil, "withdraw it first, or use another key")
				} else if ok {
					return nil, nil
				}
				return []tables.Change{{Key: &tables.Key{Digest: digest, Workspace: args[0]}}}, nil
			})
			if err != nil {
				if failure, ok := err.(*Failure); ok && failure.Code == ExitOutcomeUnknown {
					failure.Remedy = "look for [key " + digest.String() + "] with 'tarragonctl show'; if it is there, withdraw it and add another key"
				}
				return err
			}
			text := fmt.Sprintf("digest %s, version %d\n", digest, result.Version)
			value := map[string]any{"digest": digest.String(), "workspace": args[0], "version": result.Version, "changed": result.Changed}
			if secret != "" {
				text = "key " + secret + "\n" + text
				value["key"] = secret
			}
			return a.print(text, value)
		},
	}
	cmd.Flags().StringVar(&digestText, "digest", "", "SHA-256 of the key in hexadecimal")
	a.addEditFlags(cmd)
	return cmd
}

// newKey returns a random key and its digest, or the given digest.
func (a *app) newKey(digestText string) (secret string, digest tables.KeyDigest, err error) {
	if digestText != "" {
		digest, err = parseDigest(digestText)
		return "", digest, err
	}
	random := make([]byte, keyBytes)
	if _, err := io.ReadFull(a.env.Random, random); err != nil {
		return "", digest, refusedError("the key cannot be generated", err, "check the system's source of random numbers; nothing was changed")
	}
	secret = base64.RawURLEncoding.EncodeToString(random)
	return secret, tables.DigestKey(secret), nil
}

// parseDigest parses the digest of a key. Its error does not contain the text,
// since an operator may have passed the key itself by mistake.
func parseDigest(text string) (tables.KeyDigest, error) {
	digest, ok := tables.ParseKeyDigest(text)
	if !ok {
		return digest, usageError("the digest is not valid", nil, "give the SHA-256 of the key as 64 hexadecimal digits")
	}
	return digest, nil
}

func (a *app) keyWithdrawCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "withdraw DIGEST | withdraw -",
		Short:   "Withdraw a key, given by its SHA-256, or the key itself on standard input",
		Example: "  tarragonctl key withdraw 9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08\n  tarragonctl key withdraw - < key.txt",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			digest, err := a.digestArgument(args[0])
			if err != nil {
				return err
			}
			result, err := a.editRows(cmd, func(current *tables.Tables) ([]tables.Change, error) {
				if _, ok := current.WorkspaceOfKey(digest); !ok {
					return nil, refusedError("the tables have no key "+digest.String(), nil, "check the digest with 'tarragonctl show'")
				}
				return []tables.Change{{Remove: &tables.RowRef{Kind: tables.KindKey, Name: digest.String()}}}, nil
			})
			if err != nil {
				return err
			}
			return a.print(fmt.Sprintf("withdrawn, version %d\n", result.Version),
				map[string]any{"digest": digest.String(), "version": result.Version, "changed": result.Changed})
		},
	}
	a.addEditFlags(cmd)
	return cmd
}

func (a *app) digestArgument(text string) (tables.KeyDigest, error) {
	if text != "-" {
		return parseDigest(text)
	}
	line, err := bufio.NewReader(io.LimitReader(a.env.Stdin, 4096)).ReadString('\n')
	key := strings.TrimRight(line, "\r\n")
	if key == "" {
		return tables.KeyDigest{}, usageError("no key on standard input", err, "give the key in one line")
	}
	return tables.DigestKey(key), nil
}

// editRows publishes changes to single rows. If another edit is accepted first, it
// computes the changes again on the new version and retries, at most maxEditAttempts
// times in all.
func (a *app) editRows(cmd *cobra.Command, changes func(*tables.Tables) ([]tables.Change, error)) (*publishResult, error) {
	s, err := a.open(cmd.Context())
	if err != nil {
		return nil, err
	}
	return s.publish(cmd.Context(), edit{author: a.author, note: a.note, maxAttempts: maxEditAttempts, changes: changes})
}

func (a *app) drainCommand() *cobra.Command {
	var undo bool
	cmd := &cobra.Command{
		Use:   "drain NAME",
		Short: "Take a backend server out of use for new work",
		Long: "Take a backend server out of use for new work, or into use again with --undo. Running work is\n" +
			"finished. The drain is a row of the pools table and stays until it is undone. The name is the\n" +
			"one that the server announces; it is not checked whether such a server exists.",
		Example: "  tarragonctl drain shop-7 --note 'disk errors'\n  tarragonctl drain shop-7 --undo",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if !tables.ValidName(args[0]) {
				return usageError("the name "+strconv.Quote(args[0])+" is not valid", nil, "use 1 to 64 characters of a-z, 0-9, '.', '_' and '-'")
			}
			result, err := a.editRows(cmd, func(current *tables.Tables) ([]tables.Change, error) {
				if row, ok := current.Server(args[0]); ok && row.Drain == !undo || !ok && undo {
					return nil, nil
				}
				return []tables.Change{{Server: &tables.Server{Name: args[0], Drain: !undo}}}, nil
			})
			if err != nil {
				return err
			}
			state := map[bool]string{false: "draining", true: "in use"}[undo]
			return a.print(fmt.Sprintf("%s is %s, version %d\n", args[0], state, result.Version),
				map[string]any{"server": args[0], "drain": !undo, "version": result.Version, "changed": result.Changed})
		},
	}
	cmd.Flags().BoolVar(&undo, "undo", false, "put the server into use again")
	a.addEditFlags(cmd)
	return cmd
}

func (a *app) statusCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "status",
		Short:   "Print the state of the log and of the daemons",
		Example: "  tarragonctl status\n  tarragonctl status --daemon 10.0.0.7:7423 --output json",
		Args:    cobra.NoArgs,
		RunE:    func(cmd *cobra.Command, _ []string) error { return a.status(cmd.Context()) },
	}
	a.addDaemonFlag(cmd)
	return cmd
}

// status prints the state of the daemons and of the log. It queries the daemons
// even if the tables cannot be read from the log.
func (a *app) status(ctx context.Context) error {
	loaded, err := a.settings()
	if err != nil {
		return err
	}
	log := a.env.OpenLog(loaded.Platform.Address.String())
	addresses, err := a.adminAddresses(ctx, log)
	if err != nil {
		return err
	}
	list := a.queryDaemons(ctx, addresses)
	var b strings.Builder
	failed := 0
	for _, d := range list {
		if d.Error != "" {
			failed++
			fmt.Fprintf(&b, "%s  no answer: %s\n", d.Admin, d.Error)
			continue
		}
		fmt.Fprintf(&b, "%s  %s  incarnation %d  version %d  offset %d\n", d.Admin, d.Member, d.Incarnation, d.Version, d.Offset)
	}
	out := map[string]any{"daemons": list}
	s, logErr := a.open(ctx)
	if logErr == nil {
		fmt.Fprintf(&b, "log  version %d  next offset %d\n", s.reader.Version(), s.reader.Next())
		out["log"] = map[string]any{"version": s.reader.Version(), "next": s.reader.Next()}
	}
	if err := a.print(b.String(), out); err != nil {
		return err
	}
	if logErr != nil {
		return logErr
	}
	if failed > 0 {
		return refusedError(fmt.Sprintf("%d of %d daemons did not answer", failed, len(list)), nil, "check these hosts and their admin ports")
	}
	return nil
}

func (a *app) versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "version",
		Short:   "Print the release of tarragonctl",
		Example: "  tarragonctl version",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			release, goVersion := "unknown", "unknown"
			if info, ok := debug.ReadBuildInfo(); ok {
				release, goVersion = info.Main.Version, info.GoVersion
			}
			return a.print("tarragonctl "+release+" ("+goVersion+")\n", map[string]string{"release": release, "go": goVersion})
		},
	}
}
