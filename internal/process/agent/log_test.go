package agent

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"tarragonshore.example/tarragonshore/internal/connection/backend"
	"tarragonshore.example/tarragonshore/internal/connection/wire"
	"tarragonshore.example/tarragonshore/internal/process/logging"
	"tarragonshore.example/tarragonshore/internal/process/metrics"
)

// stampedIDs is a protocol with the fields Id and Stamp.
type stampedIDs struct{ Protocol }

func (stampedIDs) ServerHeader(f ServerFields) []wire.HeaderField {
	return []wire.HeaderField{{Name: "Id", Value: f.RequestID}}
}
func (stampedIDs) Matches(id string, _ int, h http.Header) bool { return h.Get("Id") == id }
func (stampedIDs) ResponseID(h http.Header) string              { return h.Get("Id") }
func (stampedIDs) Stamp(header []wire.HeaderField) string       { return fmt.Sprint(header) }
func (stampedIDs) ReadResponse(*backend.Response) ServerResponseFields {
	return ServerResponseFields{Stamped: true}
}

// logLines receives the batches of lines that are logged.
type logLines chan string

func (l logLines) Write(p []byte) (int, error) {
	l <- string(p)
	return len(p), nil
}

func serverResponse(status int, id string) string {
	return fmt.Sprintf("HTTP/1.1 %d x\r\nId: %s\r\nContent-Length: 1\r\n\r\nx", status, id)
}

// Guards against a foreign answer whose cause the executor's lines and counters cannot
// tell, and against a line for each success.
func TestRunLinesTellForeignAnswersApart(t *testing.T) {
	g := NewWithT(t)
	script := []struct{ id, reply, line string }{
		{"a", serverResponse(200, "a"), ""},
		{"a", serverResponse(200, "a"), `status=200 stamp="\[{Id a}]" .* carried=0 idle_ms=0 skipped=0 skipped_status=0 skipped_id="" repeated=true `},
		{"b", serverResponse(200, "a") + serverResponse(200, "b"), `status=200 .* carried=1 .* skipped=1 skipped_status=200 skipped_id=a repeated=false `},
		{"d", serverResponse(500, "d"), `status=500 stamp="\[{Id d}]" refusal="" .* skipped=0 `},
		{"e", serverResponse(200, "e"), ""},
		{"f", serverResponse(200, "z") + serverResponse(200, "f"), `status=0 stamp="" refusal=upstream-failed .* carried=4 .* skipped=1 skipped_status=200 skipped_id=z `},
		{"g", serverResponse(500, "") + serverResponse(200, "g"), `status=0 stamp="" refusal=upstream-failed .* carried=1 .* skipped=1 skipped_status=500 skipped_id="" repeated=false `},
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = listener.Close() }()
	var step atomic.Int32
	serve := func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		for _, err := http.ReadRequest(reader); err == nil; _, err = http.ReadRequest(reader) {
			_, _ = io.WriteString(conn, script[step.Add(1)-1].reply)
		}
	}
	go func() {
		for conn, err := listener.Accept(); err == nil; conn, err = listener.Accept() {
			go serve(conn)
		}
	}()
	lines := make(logLines, 100)
	logging.Setup(logging.Info, lines)
	defer logging.Setup(logging.Info, nil)
	server := newServerState(heartbeatInterval, listener.Addr().String())
	heartbeat := testHeartbeat("s", 1, 1, StateReady)
	heartbeat.Address = listener.Addr().String()
	g.Expect(server.applyHeartbeat(time.Now(), heartbeat)).To(Succeed())
	m, err := metrics.New()
	g.Expect(err).NotTo(HaveOccurred())
	e := newExecutor(stampedIDs{}, server, backend.NewExchanger(maxBodyBytes), m, newRequestLog(stampedIDs{}.Stamp))
	answers, expected := make(answersOf, len(script)), ""
	for _, step := range script {
		now := time.Now()
		e.wg.Add(1)
		e.execute(&run{attempt: &wire.Attempt{RequestID: step.id, Server: "s", Context: wire.Context{Idempotent: true},
			Request: wire.Request{Method: "GET", Target: "/", Host: "h"}}, receiver: answers, started: now, deadline: now.Add(time.Second)})
		if step.line != "" {
			expected += `.* component=executor event=run request=` + step.id + ` .*` + step.line + `.*\n`
		}
	}
	logging.Flush()
	runs := ""
	for len(lines) > 0 {
		for line := range strings.Lines(<-lines) {
			if strings.Contains(line, "component=executor") {
				runs += line
			}
		}
	}
	g.Expect(runs).To(MatchRegexp("^" + expected + "$"))
	scrape := httptest.NewRecorder()
	m.Handler().ServeHTTP(scrape, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, counted := range []string{`responses_skipped_total{cause="earlier-request"`, `responses_skipped_total{cause="no-id"`,
		`responses_skipped_total{cause="other-id"`, `repeated_ids_total{`} {
		g.Expect(scrape.Body.String()).To(MatchRegexp(`\ntarragon_backend_%s.*} 1\n`, counted))
	}
}
