package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonshore.example/tarragonshore/internal/process/platform"
	"tarragonshore.example/tarragonshore/internal/version/history"
	"tarragonshore.example/tarragonshore/internal/version/tables"
)

func TestOperator(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "operator")
}

const (
	routes = "[route shop]\npath = /shop\npool = shop\n"
	pools  = "[pool shop]\n[workspace alpha]\nrate = 10\nburst = 20\n"
)

// fakeLog is an in-memory platform.Log. Each append is subject to the next entry
// of faults: "refuse" rejects it, and "refuse always" also all later ones; "lose" drops
// it without a response, and "lose and go down" makes all later reads fail as well;
// "append, lose" stores it without a response; "append, lose the stream" drops all
// records of the stream; "overtake" stores another edit before it; and "interrupt"
// cancels the command during the append.
type fakeLog struct {
	f       *fixture
	streams map[platform.Stream][][]byte
	first   int
	down    bool
	faults  []string
}

func (l *fakeLog) Append(_ context.Context, stream platform.Stream, data []byte) (platform.Offset, error) {
	fault := ""
	if len(l.faults) > 0 {
		fault, l.faults = l.faults[0], l.faults[1:]
	}
	switch fault {
	case "refuse always":
		l.faults = []string{fault}
		return 0, platform.ErrRejected
	case "refuse":
		return 0, platform.ErrRejected
	case "lose":
		return 0, platform.ErrOutcomeUnknown
	case "append, lose the stream":
		l.streams[stream] = nil
		return 0, platform.ErrOutcomeUnknown
	case "lose and go down":
		l.down = true
		return 0, platform.ErrOutcomeUnknown
	case "overtake":
		l.f.appendForeignEdit(tables.Change{Server: &tables.Server{Name: fmt.Sprint("other-", len(l.faults)), Drain: true}})
	case "interrupt":
		l.f.cancel()
	}
	l.streams[stream] = append(l.streams[stream], data)
	if fault == "append, lose" || fault == "interrupt" {
		return 0, platform.ErrOutcomeUnknown
	}
	return platform.Offset(len(l.streams[stream]) - 1), nil
}

func (l *fakeLog) Read(ctx context.Context, stream platform.Stream, from platform.Offset, limit int, wait time.Duration) (platform.Batch, error) {
	l.f.now = l.f.now.Add(wait)
	if l.down || ctx.Err() != nil {
		return platform.Batch{}, errors.New("no answer")
	}
	b := platform.Batch{First: platform.Offset(l.first), Next: platform.Offset(len(l.streams[stream]))}
	for o := max(from, b.First); o < b.Next && len(b.Records) < limit; o++ {
		b.Records = append(b.Records, platform.Record{Offset: o, Data: l.streams[stream][o]})
	}
	return b, nil
}

// fixture is a fake environment of the commands. Its clock advances only when a
// command waits.
type fixture struct {
	log     *fakeLog
	now     time.Time
	cancel  func()
	daemons map[string]*tables.Version // version in force by admin address; each status request increments it
	dir     string
	nextID  byte
}

func newFixture() *fixture {
	f := &fixture{now: time.Unix(1_800_000_000, 0), dir: GinkgoT().TempDir(), daemons: map[string]*tables.Version{}}
	f.log = &fakeLog{f: f, streams: map[platform.Stream][][]byte{}}
	f.write("routes", routes)
	f.write("pools", pools)
	return f
}

func (f *fixture) write(name, text string) {
	Expect(os.WriteFile(filepath.Join(f.dir, name), []byte(text), 0o600)).To(Succeed())
}

func (f *fixture) reader() *history.Reader {
	r := history.NewReader(time.Hour, rand.New(rand.NewPCG(1, 1)))
	b, _ := (&fakeLog{f: f, streams: f.log.streams}).Read(context.Background(), platform.StreamTables, 0, 1000, 0)
	r.Apply(b, f.now)
	return r
}

// appendForeignEdit appends an edit by another publisher.
func (f *fixture) appendForeignEdit(change tables.Change) {
	r := f.reader()
	result, err := r.Tables().Apply([]tables.Change{change})
	Expect(err).NotTo(HaveOccurred())
	f.nextID++
	e := history.Edit{Base: r.Version(), Changes: []tables.Change{change}, ID: history.EditID{f.nextID}, ResultDigest: result.Digest()}
	data, err := e.Encode()
	Expect(err).NotTo(HaveOccurred())
	f.log.streams[platform.StreamTables] = append(f.log.streams[platform.StreamTables], data)
}

func (f *fixture) get(r *http.Request) (*http.Response, error) {
	version, ok := f.daemons[r.URL.Host]
	if !ok || r.URL.Path != "/status" {
		return nil, errors.New("connection refused")
	}
	body := fmt.Sprintf(`{"member":"m-%s","incarnation":5,"version":%d,"offset":2,"extra":1}`, r.URL.Port(), *version)
	*version++
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(body))}, nil
}

// run executes a command line, in which "@name" stands for a file in the
// fixture's directory.
func (f *fixture) run(line string, stdin ...string) (code int, stdout, stderr string) {
	var out, errOut bytes.Buffer
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f.cancel = cancel
	env := Environment{
		Stdin: strings.NewReader(strings.Join(stdin, "")), Stdout: &out, Stderr: &errOut,
		Variables:    []string{"TARRAGON_PLATFORM_ADDRESS=10.0.0.1:7400", "USER=ann"},
		OpenLog:      func(string) platform.Log { return f.log },
		Get:          f.get,
		DecodeMember: decodeMember,
		Now:          func() time.Time { return f.now },
		Sleep:        func(_ context.Context, d time.Duration) { f.now = f.now.Add(d) },
		Random:       rand.NewChaCha8([32]byte{byte(len(f.log.streams[platform.StreamTables]))}),
		Rand:         rand.New(rand.NewPCG(1, 2)),
	}
	code = Run(ctx, strings.Fields(strings.ReplaceAll(line, "@", f.dir+"/")), env)
	return code, out.String(), errOut.String()
}

// decodeMember decodes a record "NAME INCARNATION ADMIN-ADDRESS".
func decodeMember(record []byte) (m Member, ok bool) {
	var admin string
	_, err := fmt.Sscan(string(record), &m.Name, &m.Incarnation, &admin)
	m.Admin, _ = netip.ParseAddrPort(admin)
	return m, err == nil
}

const publishLine = "publish --routes @routes --pools @pools"

var _ = Describe("tarragonctl", func() {
	var f *fixture
	BeforeEach(func() { f = newFixture() })
	mustRun := func(line string, stdin ...string) string {
		GinkgoHelper()
		code, out, errOut := f.run(line, stdin...)
		Expect(code).To(Equal(ExitDone), errOut)
		return out
	}

	It("publishes, shows and compares versions", func() {
		Expect(mustRun("validate --routes @routes --pools @pools")).To(HavePrefix("valid: 3 rows"))
		Expect(mustRun(publishLine)).To(HavePrefix("version 1 accepted at offset 0\n+ [pool shop]\n"))
		Expect(mustRun(publishLine)).To(Equal("version 1 already has these tables\n"))
		f.write("pools", strings.Replace(pools, "20", "30", 1))
		Expect(mustRun("diff --routes @routes --pools @pools")).To(Equal("~ [workspace alpha]\n    burst = 20 -> 30\n"))
		mustRun(publishLine + " --base 1")
		Expect(mustRun("diff 1")).To(Equal("~ [workspace alpha]\n    burst = 20 -> 30\n"))
		Expect(mustRun("diff 2 0")).To(ContainSubstring("- [route shop]\n"))
		Expect(mustRun("show 1")).To(ContainSubstring("burst = 20"))
		var shown struct {
			Version       int
			Routes, Pools string
		}
		Expect(json.Unmarshal([]byte(mustRun("show -o json")), &shown)).To(Succeed())
		Expect(shown.Version).To(Equal(2))
		f.write("routes", shown.Routes)
		f.write("pools", shown.Pools)
		Expect(mustRun(publishLine)).To(ContainSubstring("already"))
	})

	// Guards against a command that reports another outcome than the log shows.
	DescribeTable("reports the outcome of an edit", func(code int, version tables.Version, faults ...string) {
		mustRun(publishLine)
		f.log.faults = faults
		got, _, errOut := f.run("drain shop-1")
		Expect(got).To(Equal(code), errOut)
		Expect(f.reader().Version()).To(Equal(version))
		if code == ExitDone {
			s, _ := f.reader().Tables().Server("shop-1")
			Expect(s.Drain).To(BeTrue())
		} else {
			Expect(errOut).To(ContainSubstring("; remedy: "))
		}
	},
		Entry("no fault", ExitDone, tables.Version(2)),
		Entry("answer lost, appended", ExitDone, tables.Version(2), "append, lose"),
		Entry("answer lost, not appended", ExitDone, tables.Version(2), "lose", "refuse", "lose"),
		Entry("other edits first", ExitDone, tables.Version(4), "overtake", "overtake"),
		Entry("too many other edits first", ExitRefused, tables.Version(6), "overtake", "overtake", "overtake", "overtake", "overtake"),
		Entry("interrupted after the append", ExitDone, tables.Version(2), "interrupt"),
		Entry("platform refuses all", ExitRefused, tables.Version(1), "refuse always"),
		Entry("the stream lost after the append", ExitOutcomeUnknown, tables.Version(0), "append, lose the stream"),
		Entry("platform down after the append", ExitOutcomeUnknown, tables.Version(1), "lose and go down"))

	It("refuses to publish if the current version is not the base", func() {
		mustRun(publishLine)
		f.write("pools", pools+"[server a]\n")
		code, _, errOut := f.run(publishLine + " --base 0")
		Expect(code).To(Equal(ExitRefused))
		Expect(errOut).To(ContainSubstring("the current version is 1, not 0"))
		f.log.faults = []string{"overtake"}
		code, _, errOut = f.run(publishLine)
		Expect(code).To(Equal(ExitRefused))
		Expect(errOut).To(ContainSubstring("another edit was accepted first"))
		_, found := f.reader().Tables().Server("other-0")
		Expect(found).To(BeTrue(), "the other edit stays")
	})

	It("issues and withdraws keys", func() {
		mustRun(publishLine)
		fields := strings.Fields(mustRun("key add alpha"))
		key, digest := fields[1], strings.TrimSuffix(fields[3], ",")
		Expect(tables.DigestKey(key).String()).To(Equal(digest))
		Expect(key).To(HaveLen(43))
		owner, _ := f.reader().Tables().WorkspaceOfKey(tables.DigestKey(key))
		Expect(owner).To(Equal("alpha"))
		Expect(mustRun("show")).NotTo(ContainSubstring(key))
		mustRun("key withdraw -", key+"\n")
		Expect(f.reader().Tables().Keys()).To(BeEmpty())
		code, _, _ := f.run("key withdraw " + digest)
		Expect(code).To(Equal(ExitRefused))
		Expect(mustRun("key add alpha --digest " + digest)).NotTo(ContainSubstring("key "))
		mustRun("key withdraw " + digest)
	})

	// Guards against show writing files that differ from the current tables.
	It("writes the tables to files that publish without a change", func() {
		mustRun(publishLine)
		mustRun("drain shop-1")
		Expect(mustRun("show --routes @new --pools @new-pools")).To(ContainSubstring("publish changes with --base 2"))
		Expect(mustRun("publish --routes @new --pools @new-pools --base 2")).To(Equal("version 2 already has these tables\n"))
		code, _, errOut := f.run("show --routes @no/such/dir --pools @new-pools")
		Expect(code).To(Equal(ExitUsage), errOut)
	})

	It("drains a backend server and undoes the drain, without an edit for repeats", func() {
		mustRun(publishLine)
		Expect(mustRun("drain shop-1")).To(Equal("shop-1 is draining, version 2\n"))
		Expect(mustRun("drain shop-1")).To(Equal("shop-1 is draining, version 2\n"))
		Expect(mustRun("drain shop-1 --undo")).To(Equal("shop-1 is in use, version 3\n"))
		Expect(mustRun("drain shop-2 --undo")).To(Equal("shop-2 is in use, version 3\n"))
	})

	It("waits until all members of the log have the version", func() {
		one, zero := tables.Version(1), tables.Version(0)
		f.daemons["10.0.0.7:1"], f.daemons["10.0.0.7:2"] = &one, &zero
		f.log.streams[platform.StreamMembers] = [][]byte{[]byte("a 1 10.0.0.7:9"), []byte("b 1 10.0.0.7:2"), []byte("?"), []byte("a 2 10.0.0.7:1")}
		out := mustRun(publishLine + " --wait")
		Expect(out).To(ContainSubstring("10.0.0.7:1  m-1  version 1 in force, seen after 0 ms\n10.0.0.7:2  m-2  version 1 in force, seen after 200 ms\n"))
		Expect(mustRun("status -o json")).To(ContainSubstring(`"extra": 1`))
		code, out, errOut := f.run(publishLine + " --wait --daemon 10.0.0.7:3")
		Expect(code).To(Equal(ExitOutcomeUnknown))
		Expect(out + errOut).To(ContainSubstring("10.0.0.7:3  not known: connection refused"))
		code, _, _ = f.run("status --daemon 10.0.0.7:3")
		Expect(code).To(Equal(ExitRefused))
	})

	// Guards against a command that derives tables from the first retained record on
	// although earlier records have expired.
	It("refuses to work without a sufficient snapshot", func() {
		mustRun(publishLine)
		mustRun("drain a")
		f.log.first = 1
		code, _, errOut := f.run("show")
		Expect(code).To(Equal(ExitRefused))
		Expect(errOut).To(ContainSubstring("no sufficient snapshot"))
	})

	// Guards against wrong exit codes, which scripts depend on, and against
	// messages that contain a key or lack a remedy.
	DescribeTable("fails with the documented exit code", func(line string, code int, text string) {
		mustRun(publishLine)
		f.write("bad", "[pool x]\nrate = 1\nretry_ratio = 2\n[key s3cret]\n")
		got, _, errOut := f.run(line)
		Expect(got).To(Equal(code), errOut)
		Expect(errOut).To(And(ContainSubstring(text), Not(ContainSubstring("s3cret"))))
	},
		Entry(nil, "", ExitUsage, "no command given"),
		Entry(nil, "frob", ExitUsage, "unknown command"),
		Entry(nil, "show 1 2", ExitUsage, "at most 1 arg"),
		Entry(nil, "show x", ExitUsage, "use a whole number"),
		Entry(nil, "show 7", ExitRefused, "use a version from 0 to 1"),
		Entry(nil, "show --output xml", ExitUsage, "use text or json"),
		Entry(nil, "show --frob", ExitUsage, "unknown flag"),
		Entry(nil, "show --config @none", ExitUsage, "unreadable-file"),
		Entry(nil, "diff", ExitUsage, "two states"),
		Entry(nil, "validate --routes @routes", ExitUsage, "pools"),
		Entry(nil, "validate --routes @routes --pools @none", ExitUsage, "cannot be read"),
		Entry(nil, "validate --routes @routes --pools @bad -o json", ExitRefused, `"key":"rate"`),
		Entry(nil, "key add beta", ExitRefused, "no workspace beta"),
		Entry(nil, "key withdraw s3cret", ExitUsage, "64 hexadecimal digits"),
		Entry(nil, "drain A", ExitUsage, "is not valid"),
		Entry(nil, "status --daemon x", ExitUsage, "IP:port"),
		Entry(nil, "status", ExitRefused, "the log names no daemons"))

	It("has help with examples, completion and a check of the settings", func() {
		Expect(mustRun("publish --help")).To(ContainSubstring("Examples:"))
		Expect(mustRun("completion bash")).To(ContainSubstring("tarragonctl"))
		Expect(mustRun("--check-config")).To(Equal("the settings are valid\n"))
		Expect(mustRun("version")).To(HavePrefix("tarragonctl "))
	})
})
