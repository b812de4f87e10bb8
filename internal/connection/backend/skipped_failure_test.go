package backend

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a failure without the id that is skipped, so that a second response takes its place.
func TestExchangeSkipsFailureWithoutIDOnUsedConnection(t *testing.T) {
	for _, reply := range []string{"NOID" + "SECOND", "NOID" + longPause + "SECOND", "UNKNOWN" + "SECOND"} {
		t.Run(reply, func(t *testing.T) {
			want := trueResponses["500"]
			response, err := row{before: []string{"first"}, reply: reply}.run(t, newPieceServer(t), want, true)
			NewWithT(t).Expect(want.difference(response, err)).To(BeEmpty())
		})
	}
}
