package wire

import (
	"bytes"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// FrameError means that a frame does not hold a valid message, or that a message cannot
// be encoded as a frame.
type FrameError struct {
	Reason string
	Err    error
}

// Error names the reason and the remedy.
func (e *FrameError) Error() string {
	text := "invalid frame: " + e.Reason
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text + "; remedy: run the same release on both hosts"
}

// Unwrap returns the cause.
func (e *FrameError) Unwrap() error { return e.Err }

// arrayHeadOf2 is the first byte of a frame: the CBOR head of an array of 2 items.
const arrayHeadOf2 = 0x82

// Limits for decoding, since a frame comes from another host and is not trusted.
const (
	maxNestedLevels  = 8
	maxArrayElements = 65536
	maxMapPairs      = 1024
)

// typicalFrameBytes is the initial size of the buffer for a frame.
const typicalFrameBytes = 512

var (
	decMode = mustDecMode()
	encMode = mustEncMode()
)

func mustEncMode() cbor.UserBufferEncMode {
	mode, err := cbor.EncOptions{}.UserBufferEncMode()
	if err != nil {
		panic(err) // unreachable: the options are constant
	}
	return mode
}

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxNestedLevels:  maxNestedLevels,
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxMapPairs,
		IndefLength:      cbor.IndefLengthForbidden,
		// Header values and targets may be any bytes. A caller must not be able to
		// make a peer close the link by sending invalid UTF-8.
		UTF8: cbor.UTF8DecodeInvalid,
	}.DecMode()
	if err != nil {
		panic(err) // unreachable: the options are constant
	}
	return mode
}

// Encode returns the frame of a message.
func Encode(m Message) ([]byte, error) {
	var buffer bytes.Buffer
	buffer.Grow(typicalFrameBytes)
	buffer.WriteByte(arrayHeadOf2)
	// The items of the array are encoded one by one: an array that holds the message in
	// an interface costs a lookup of its type and a copy for each frame.
	if err := encMode.MarshalToBuffer(m.Type(), &buffer); err != nil {
		return nil, &FrameError{Reason: "the message type cannot be encoded", Err: err}
	}
	if err := encMode.MarshalToBuffer(m, &buffer); err != nil {
		return nil, &FrameError{Reason: "the message cannot be encoded", Err: err}
	}
	frame := buffer.Bytes()
	if len(frame) > MaxFrameBytes {
		return nil, &FrameError{Reason: fmt.Sprintf("%d bytes are over the limit of %d", len(frame), MaxFrameBytes)}
	}
	return frame, nil
}

// Decode returns the message in a frame as a pointer to one of the message types.
func Decode(frame []byte) (Message, error) {
	m, rest, err := DecodeFirst(frame)
	if err == nil && len(rest) > 0 {
		return nil, &FrameError{Reason: fmt.Sprintf("%d bytes follow the message", len(rest))}
	}
	return m, err
}

// DecodeFirst decodes the first of several concatenated frames. It returns its message
// and the remaining frames.
func DecodeFirst(frames []byte) (m Message, rest []byte, err error) {
	if len(frames) > MaxFrameBytes {
		return nil, nil, &FrameError{Reason: fmt.Sprintf("%d bytes are over the limit of %d", len(frames), MaxFrameBytes)}
	}
	if len(frames) == 0 || frames[0] != arrayHeadOf2 {
		return nil, nil, &FrameError{Reason: "the frame is not an array of type and message"}
	}
	var t Type
	body, err := decMode.UnmarshalFirst(frames[1:], &t)
	if err != nil {
		return nil, nil, &FrameError{Reason: "the message type cannot be decoded", Err: err}
	}
	if m = newMessage(t); m == nil {
		return nil, nil, &FrameError{Reason: fmt.Sprintf("unknown message type %d", t)}
	}
	if rest, err = decMode.UnmarshalFirst(body, m); err != nil {
		return nil, nil, &FrameError{Reason: fmt.Sprintf("the message of type %d cannot be decoded", t), Err: err}
	}
	return m, rest, nil
}

// newMessage returns an empty message of the type, or nil if there is no such type.
func newMessage(t Type) Message {
	switch t {
	case TypeHello:
		return &Hello{}
	case TypePing:
		return &Ping{}
	case TypePong:
		return &Pong{}
	case TypeAttempt:
		return &Attempt{}
	case TypeAnswer:
		return &Answer{}
	case TypeAnswerAck:
		return &AnswerAck{}
	case TypeSettle:
		return &Settle{}
	case TypeSettleResult:
		return &SettleResult{}
	case TypeCancel:
		return &Cancel{}
	case TypeForward:
		return &Forward{}
	case TypeGrantRequest:
		return &GrantRequest{}
	case TypeGrantReply:
		return &GrantReply{}
	case TypeConsentRequest:
		return &ConsentRequest{}
	case TypeConsentReply:
		return &ConsentReply{}
	case TypeHandover:
		return &Handover{}
	case TypeHandoverAck:
		return &HandoverAck{}
	case TypeTablesRequest:
		return &TablesRequest{}
	case TypeTablesReply:
		return &TablesReply{}
	case TypeGoAway:
		return &GoAway{}
	case TypeStatus:
		return &Status{}
	case TypeRelay:
		return &Relay{}
	case TypeMembersRequest:
		return &MembersRequest{}
	case TypeMembersReply:
		return &MembersReply{}
	case TypeUnlisted:
		return &Unlisted{}
	}
	return nil
}
