package backend

import (
	"bytes"
	"testing"
)

// Guards against an announcement with unusable values that is accepted.
func FuzzDecodeAnnouncement(f *testing.F) {
	f.Add([]byte(`{"name":"a","pool":"p","address":"127.0.0.1:1","slots":8,"state":"ready"}`))
	f.Add([]byte(`{"name":"a","slots":-1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		a, err := DecodeAnnouncement(bytes.NewReader(data))
		if err == nil && (a.Slots < 1 || a.Name == "" || a.Pool == "" || a.Address == "") {
			t.Fatalf("%+v", a)
		}
	})
}
