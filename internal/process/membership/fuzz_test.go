package membership

import (
	"testing"
	"time"
)

// Guards against records of the members stream that make the decoder panic.
func FuzzDecodeAnnouncement(f *testing.F) {
	now := time.Unix(1000, 0)
	f.Add(EncodeAnnouncement([16]byte{1}, Record{Name: "a", Incarnation: 1}, now))
	f.Add([]byte{0xa1, 0x01})
	f.Fuzz(func(t *testing.T, data []byte) {
		if _, r, err := DecodeAnnouncement(data, now); err == nil && r.Name == "" {
			t.Fatal("decoded a record without a name")
		}
	})
}
