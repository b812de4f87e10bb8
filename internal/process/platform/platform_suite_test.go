package platform_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonshore.example/tarragonshore/internal/process/platform"
)

func TestPlatform(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "platform")
}

// serve returns a client of a test server with the handler.
func serve(handler http.HandlerFunc) *platform.Client {
	server := httptest.NewServer(handler)
	client := platform.NewClient(strings.TrimPrefix(server.URL, "http://"), 0)
	DeferCleanup(func() { client.Close(); server.Close() })
	return client
}

var _ = Describe("Append", func() {
	It("sends the raw record and returns its offset", func() {
		client := serve(func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			if r.Method+r.URL.Path+r.Header.Get("Content-Type")+string(body) == "POST/v1/streams/tables/recordsapplication/octet-stream\x00x" {
				w.WriteHeader(http.StatusCreated)
				_, _ = io.WriteString(w, `{"offset":7}`)
			}
		})
		Expect(client.Append(context.Background(), platform.StreamTables, []byte("\x00x"))).To(Equal(platform.Offset(7)))
	})

	// Guards against a lost response that is treated as a rejection: the edit would be
	// reported as rejected although it takes effect.
	DescribeTable("classifies failures", func(status int, header, body string, want error) {
		client := serve(func(w http.ResponseWriter, r *http.Request) {
			if status == 0 {
				panic(http.ErrAbortHandler) // closes the connection without a response
			}
			w.Header().Set(platform.HeaderNotAppended, header)
			w.WriteHeader(status)
			_, _ = io.WriteString(w, body)
		})
		_, err := client.Append(context.Background(), platform.StreamTables, []byte("x"))
		Expect(err).To(MatchError(want))
	},
		Entry("503 with the header", 503, "true", `{"error":"down"}`, platform.ErrRejected),
		Entry("503 without the header", 503, "", `{"error":"down"}`, platform.ErrOutcomeUnknown),
		Entry("500 with the header", 500, "true", "", platform.ErrOutcomeUnknown),
		Entry("200", 200, "", `{"offset":1}`, platform.ErrOutcomeUnknown),
		Entry("a redirect", 307, "", "", platform.ErrOutcomeUnknown),
		Entry("no offset", 201, "", `{}`, platform.ErrOutcomeUnknown),
		Entry("a truncated response", 201, "", `{"offset":`, platform.ErrOutcomeUnknown),
		Entry("no response", 0, "", "", platform.ErrOutcomeUnknown),
		Entry("too large", 413, "", `{"error":"size"}`, platform.ErrTooLarge))

	It("returns ErrRejected if the connection is refused, and ErrTooLarge if the record is too large", func() {
		server := httptest.NewServer(http.NotFoundHandler())
		address := strings.TrimPrefix(server.URL, "http://")
		server.Close()
		_, err := platform.NewClient(address, 0).Append(context.Background(), platform.StreamTables, nil)
		Expect(err).To(MatchError(platform.ErrRejected))
		_, err = platform.NewClient(address, 0).Append(context.Background(), platform.StreamTables, make([]byte, platform.MaxRecordBytes+1))
		Expect(err).To(MatchError(platform.ErrTooLarge))
	})
})

var _ = Describe("Read", func() {
	It("returns the records", func() {
		client := serve(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.RequestURI() == "/v1/streams/members/records?from=3&limit=9&wait_ms=0" {
				_, _ = io.WriteString(w, `{"first":4,"next":9,"records":[{"offset":4,"data":"eA=="},{"offset":5,"data":""}]}`)
			}
		})
		Expect(client.Read(context.Background(), platform.StreamMembers, 3, 9, 0)).To(Equal(
			platform.Batch{First: 4, Next: 9, Records: []platform.Record{{Offset: 4, Data: []byte("x")}, {Offset: 5, Data: []byte{}}}}))
	})

	It("requests fewer records if the response is too large", func() {
		client := serve(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.WriteString(w, `{"first":0,"next":9,"records":[`)
			size := 8 << 20 // with the JSON around it, above maxBatchBytes
			if r.URL.Query().Get("limit") == "1" {
				size = 4
			}
			_, _ = fmt.Fprintf(w, `{"offset":0,"data":"%s"}]}`, strings.Repeat("A", size))
		})
		batch, err := client.Read(context.Background(), platform.StreamTables, 0, 100, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(batch.Records).To(HaveLen(1))
	})

	// Guards against a reader that skips records because a response does not match the
	// request.
	DescribeTable("rejects responses that violate the contract", func(body string) {
		client := serve(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, body) })
		_, err := client.Read(context.Background(), platform.StreamTables, 1, 2, 0)
		Expect(err).To(MatchError(platform.ErrOutcomeUnknown))
	},
		Entry("empty", `{}`), Entry("not JSON", `<html>`), Entry("first after next", `{"first":5,"next":4}`),
		Entry("a missing record", `{"first":0,"next":9,"records":[{"offset":2,"data":""}]}`),
		Entry("a record beyond next", `{"first":0,"next":1,"records":[{"offset":1,"data":""}]}`),
		Entry("too many records", `{"first":0,"next":9,"records":[{"offset":1,"data":""},{"offset":2,"data":""},{"offset":3,"data":""}]}`),
		Entry("not base64", `{"first":0,"next":9,"records":[{"offset":1,"data":"!"}]}`))
})
