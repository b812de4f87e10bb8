package backend

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a broken-off response joined with bytes that the read buffer does not show.
func TestExchangeJoinsResponsesOutOfSight(t *testing.T) {
	first := []string{"first"}
	skipped := "HTTP/1.1 200 OK\r\nId: first\r\nStamp: run.1\r\n"
	rows := map[string]struct {
		want trueResponse
		row  row
	}{
		"skipped body":     {trueResponses["500"], row{before: first, reply: fmt.Sprintf("%sContent-Length: %d\r\n\r\nok", skipped, 2+len(trueResponses["500"].String())) + "TRUE" + "SECOND"}},
		"skipped chunk":    {trueResponses["500"], row{before: first, reply: fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\nok", skipped, 2+len(trueResponses["500"].String())) + "TRUE" + "\r\n0\r\n\r\n" + "SECOND"}},
		"skipped trailer":  {trueResponses["empty 500"], row{before: first, reply: skipped + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nChecksum: a" + "TRUE" + "SECOND"}},
		"without a length": {trueResponses["200"], row{before: first, reply: "HTTP/1.1 200 OK\r\nId: next\r\nStamp: run.2\r\n\r\nthe whole" + "SECOND" + hangUp}},
	}
	for _, size := range []int{4000, 8192, 10000, 20000, 100000} {
		large := trueResponse{200, strings.Repeat("x", size)}
		whole := large.String()
		for _, missing := range []int{1, 15, 99} {
			rows[fmt.Sprintf("%d bytes, %d missing", size, missing)] = struct {
				want trueResponse
				row  row
			}{large, row{before: first, reply: whole[:len(whole)-missing] + "SECOND"}}
		}
	}
	for name, r := range rows {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			response, err := r.row.run(t, newPieceServer(t), r.want, true)
			difference := r.want.difference(response, err)
			NewWithT(t).Expect(difference[:min(len(difference), 40)]).To(BeEmpty())
		})
	}
}
