package ratelimit

import "testing"

// FuzzDecodeClaim guards against records of the keepers stream and handed-over states
// that cause a panic.
func FuzzDecodeClaim(f *testing.F) {
	claim, err := EncodeClaim(Claim{Kind: ClaimNew, Group: 1, Epoch: 2, Keeper: DaemonID{"a", 1}, Address: "127.0.0.1:1"})
	if err != nil {
		f.Fatal(err)
	}
	state, err := NewKeeper(1, 8, 2).HandOver(start)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(claim)
	f.Add(state)
	f.Add([]byte{0xa1, 0x01})
	f.Fuzz(func(t *testing.T, data []byte) {
		if c, err := DecodeClaim(data, 8); err == nil && c.Group >= 8 {
			t.Fatalf("group %d of 8", c.Group)
		}
		if k, err := TakeOver(start, data, 3); err == nil && k == nil {
			t.Fatal("no keeper and no error")
		}
	})
}
