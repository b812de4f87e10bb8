package settings

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSettings(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "settings")
}

const validSettings = `
[daemon]
name = host-1
zone = az1
region = r1
[listen]
caller = 0.0.0.0:7420
peer = 10.0.0.7:7422
admin = 10.0.0.7:7423
[platform]
address = 10.0.0.1:7400
`

func loadDaemon(text string, environment ...string) (*Daemon, error) {
	path := filepath.Join(GinkgoT().TempDir(), "tarragond.ini")
	Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	return LoadDaemon(path, environment)
}

var _ = Describe("settings", func() {
	It("are read from defaults, the file and the environment, each overriding the one before", func() {
		d, err := loadDaemon(validSettings+"poll_wait = 500ms\n[limits]\nmax_body = 2MiB\nworkers = 3", "TARRAGON_PLATFORM_POLL_WAIT=700ms", "HOME=/", "TARRAGON_DAEMONS_ADMIN=x")
		Expect(err).NotTo(HaveOccurred())
		Expect(d.Name).To(Equal("host-1"))
		Expect(d.Platform.PollWait).To(Equal(700 * time.Millisecond))
		Expect(d.Limits.MaxBody).To(Equal(2 << 20))
		Expect(d.Limits.Workers).To(Equal(3))
		Expect(d.Rates.Groups).To(Equal(8))
		Expect(d.Listen.Server.String()).To(Equal("127.0.0.1:7421"))
	})

	// Guards against a misspelt setting that is silently ignored, and against errors
	// that hide others.
	DescribeTable("report all errors", func(text, environment string, want ...string) {
		_, err := loadDaemon(text, strings.Fields(environment)...)
		var errs Errors
		Expect(errors.As(err, &errs)).To(BeTrue(), "%v", err)
		got := []string{}
		for _, f := range errs {
			Expect(f.Remedy).NotTo(BeEmpty())
			Expect(f.File).NotTo(BeEmpty())
			got = append(got, strings.Join([]string{string(f.Reason), f.Section, f.Key, f.Value}, "|"))
		}
		Expect(got).To(ConsistOf(want))
	},
		Entry("unknown names", validSettings+"[listn]\na=b\n[log]\nlevl = info", "TARRAGON_LISTEN_CALER=1",
			"unknown-section|listn||", "unknown-key|log|levl|info", "unknown-key|listen||1"),
		Entry("duplicates", validSettings+"[log]\nlevel=info\nlevel=debug\n[log]", "", "duplicate|log|level|info | debug", "duplicate|log||"),
		Entry("missing", "[daemon]\nname=a\nzone=b", "TARRAGON_LISTEN_PEER=10.0.0.1:1 TARRAGON_LISTEN_ADMIN=10.0.0.1:2",
			"missing|daemon|region|", "missing|listen|caller|", "missing|platform|address|"),
		Entry("bad values", validSettings+"poll_wait=5s\n[limits]\nmax_body=8MiB\nworkers=0\n[log]\nlevel=all", "TARRAGON_LISTEN_PEER=0.0.0.0:1 TARRAGON_DAEMON_NAME=A TARRAGON_LISTEN_CALLER=localhost:1",
			"bad-value|daemon|name|A", "bad-value|listen|caller|localhost:1", "bad-value|listen|peer|0.0.0.0:1", "bad-value|platform|poll_wait|5s",
			"bad-value|limits|max_body|8MiB", "bad-value|limits|workers|0", "bad-value|log|level|all"),
		Entry("a long poll that outlasts the trust in keys", validSettings+"poll_wait=3s", "", "bad-value|platform|poll_wait|3s"),
		Entry("an invalid combination of settings", validSettings+"[timing]\nlink_ping=2s", "TARRAGON_LISTEN_ADMIN=10.0.0.7:7422",
			"bad-value|timing|link_silence|2.5s", "bad-value|listen|admin|10.0.0.7:7422"))

	It("name the file that cannot be read", func() {
		_, err := LoadTarragonctl("/nonexistent.ini", []string{"TARRAGON_PLATFORM_ADDRESS=10.0.0.1:1", "TARRAGON_DAEMONS_ADMIN=10.0.0.2:1, 10.0.0.3:1"})
		Expect(err).To(MatchError(MatchRegexp(`^/nonexistent\.ini: unreadable-file .*; remedy: `)))
	})

	It("are rendered as tables for the documentation", func() {
		Expect(DaemonReference()).To(ContainSubstring("| rates | `groups` | whole number | `8` | 1 to 1024 |"))
		Expect(strings.Count(TarragonctlReference(), "\n")).To(Equal(4))
	})
})
