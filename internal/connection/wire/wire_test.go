package wire_test

import (
	"bytes"
	"testing"

	"github.com/google/go-cmp/cmp/cmpopts"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"tarragonshore.example/tarragonshore/internal/connection/wire"
)

func TestWire(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "wire")
}

// messageGenerator returns a generator of messages of type *M.
func messageGenerator[M any]() *rapid.Generator[any] {
	return rapid.Custom(func(t *rapid.T) any {
		return rapid.Make[*M]().Filter(func(m *M) bool { return m != nil }).Draw(t, "message")
	})
}

// generators holds a generator for each message type up to TypeGoAway, in the order of
// the type numbers.
var generators = []*rapid.Generator[any]{
	messageGenerator[wire.Hello](), messageGenerator[wire.Ping](), messageGenerator[wire.Pong](), messageGenerator[wire.Attempt](), messageGenerator[wire.Answer](),
	messageGenerator[wire.AnswerAck](), messageGenerator[wire.Settle](), messageGenerator[wire.SettleResult](), messageGenerator[wire.Cancel](), messageGenerator[wire.Forward](),
	messageGenerator[wire.GrantRequest](), messageGenerator[wire.GrantReply](), messageGenerator[wire.ConsentRequest](), messageGenerator[wire.ConsentReply](),
	messageGenerator[wire.Handover](), messageGenerator[wire.HandoverAck](), messageGenerator[wire.TablesRequest](), messageGenerator[wire.TablesReply](), messageGenerator[wire.GoAway](),
}

var _ = Describe("Codec", func() {
	It("decodes every message type with all fields as encoded", func() {
		for i, generator := range generators {
			for seed := range 100 {
				m := generator.Example(seed).(wire.Message)
				Expect(m.Type()).To(Equal(wire.Type(i + 1)))
				frame, err := wire.Encode(m)
				Expect(err).NotTo(HaveOccurred())
				decoded, err := wire.Decode(frame)
				Expect(err).NotTo(HaveOccurred())
				Expect(decoded).To(BeComparableTo(m, cmpopts.EquateEmpty()))
			}
		}
	})

	It("refuses invalid frames, and frames over the size limit", func() {
		for name, frame := range map[string][]byte{
			"empty": {}, "unknown type": {0x82, 0x18, 0x63, 0xa0}, "no body": {0x81, 0x02}, "indefinite length": {0x9f, 0x02, 0xa0, 0xff},
			"trailing bytes": {0x82, 0x02, 0xa0, 0x00}, "too large": make([]byte, wire.MaxFrameBytes+1),
		} {
			_, err := wire.Decode(frame)
			Expect(err).To(BeAssignableToTypeOf(&wire.FrameError{}), name)
		}
		_, err := wire.Encode(wire.Handover{Data: make([]byte, wire.MaxFrameBytes)})
		Expect(err).To(HaveOccurred())
	})
})

// Guards against a frame that causes a panic, and against a message that changes when
// it is encoded and decoded again.
func FuzzDecode(f *testing.F) {
	for _, generator := range generators {
		frame, _ := wire.Encode(generator.Example(1).(wire.Message))
		f.Add(frame)
	}
	f.Fuzz(func(t *testing.T, frame []byte) {
		m, err := wire.Decode(frame)
		if err != nil {
			return
		}
		first, _ := wire.Encode(m)
		if m, err = wire.Decode(first); err != nil {
			t.Fatal(err)
		}
		if second, _ := wire.Encode(m); !bytes.Equal(first, second) {
			t.Fatalf("%x became %x", first, second)
		}
	})
}

// Guards against a caller that makes a peer close a link with a header value or a
// target that is not valid UTF-8.
func TestBytesThatAreNotUTF8(t *testing.T) {
	sent := &wire.Attempt{Request: wire.Request{Target: "/caf\xe9", Header: []wire.HeaderField{{Name: "X-Name", Value: "caf\xe9"}}}}
	frame, err := wire.Encode(sent)
	if err != nil {
		t.Fatal(err)
	}
	received, err := wire.Decode(frame)
	if err != nil {
		t.Fatal(err)
	}
	if got := received.(*wire.Attempt).Request; got.Target != sent.Request.Target || got.Header[0] != sent.Request.Header[0] {
		t.Fatalf("got %q", got)
	}
}
