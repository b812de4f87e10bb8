package pipeline

import (
	"bufio"
	"bytes"
	"net/http"
)

// Framing finds where the requests on a connection end, in bytes that it gets in their
// order. It holds no bytes back: what it cannot understand, the server has to answer. Then
// it is lost, and the rest of the connection has no known boundaries.
//
// A head without a framing field is not parsed, and copied only if it arrives in pieces.
// Of a chunked body it understands the plain form, with neither extensions nor trailers.
type Framing struct {
	head   []byte // of a request whose head arrives in pieces, up to here
	line   int    // where the last line of head begins
	framed bool   // a line of head is a framing field
	body   int64  // bytes left of the body or of the chunk
	chunk  chunkPart
	digits int  // of the size of the chunk
	inside bool // a request has begun and not ended
	lost   bool
}

// chunkPart is what follows in a chunked body.
type chunkPart int

const (
	noChunks chunkPart = iota
	chunkSize
	chunkSizeLF
	chunkData
	chunkDataCR
	chunkDataLF
	lastCR
	lastLF
)

const (
	// maxChunkDigits is enough for the sizes that occur; net/http accepts more.
	maxChunkDigits = 8
	// maxChunkedRead bounds a read of a chunked body, of which the end may be near.
	maxChunkedRead = 4 << 10
)

// AtBoundary reports whether the bytes so far end with a request, or there were none.
func (f *Framing) AtBoundary() bool { return !f.inside && !f.lost }

// Lost reports whether the boundaries of requests are not known any more.
func (f *Framing) Lost() bool { return f.lost }

// Limit returns how many of n bytes to read next, so that few beyond a body are read.
func (f *Framing) Limit(n int) int {
	switch {
	case f.chunk != noChunks:
		return int(min(int64(n), max(f.body, maxChunkedRead)))
	case f.body > 0:
		return int(min(int64(n), f.body))
	}
	return n
}

// Next returns how many of the bytes that follow belong to the same request. The others
// have to be passed again.
func (f *Framing) Next(data []byte) int {
	switch {
	case f.lost:
		return len(data)
	case f.chunk != noChunks:
		return f.nextChunks(data)
	case f.body > 0:
		return f.nextBody(data)
	}
	f.inside = true
	head, before := data, len(f.head)
	if before > 0 {
		f.head = append(f.head, data...)
		head = f.head
	}
	end, line, framed := scanHead(head, f.line)
	f.framed = f.framed || framed
	if end == 0 {
		if len(head) > MaxHeadBytes {
			return f.lose(data)
		}
		if before == 0 {
			f.head = append(f.head, data...)
		}
		f.line = line
		return len(data)
	}
	blank := head[0] == '\n' || head[0] == '\r' && head[1] == '\n'
	framed, head, end = f.framed, head[:end], end-before
	f.head, f.line, f.framed, f.inside = nil, 0, false, false
	if blank {
		return f.lose(data) // the server may skip it
	}
	if !framed {
		return end
	}
	r, err := ParseHead(head)
	if err != nil {
		return f.lose(data)
	}
	if r.ContentLength < 0 {
		f.chunk, f.inside = chunkSize, true
		return end + f.nextChunks(data[end:])
	}
	f.body, f.inside = r.ContentLength, r.ContentLength > 0
	return end + f.nextBody(data[end:])
}

func (f *Framing) nextBody(data []byte) int {
	n := min(int64(len(data)), f.body)
	f.body -= n
	f.inside = f.body > 0
	return int(n)
}

// nextChunks is Next within a chunked body.
func (f *Framing) nextChunks(data []byte) int {
	for n := 0; n < len(data); {
		if f.chunk == chunkData {
			part := min(int64(len(data)-n), f.body)
			f.body -= part
			n += int(part)
			if f.body == 0 {
				f.chunk = chunkDataCR
			}
			continue
		}
		if !f.nextChunkByte(data[n]) {
			return f.lose(data)
		}
		n++
		if f.chunk == noChunks {
			f.inside = false
			return n
		}
	}
	return len(data)
}

// nextChunkByte takes a byte outside the data of a chunk, and returns false if it does not
// belong to the plain form.
func (f *Framing) nextChunkByte(b byte) bool {
	digit, isDigit := hexDigit(b)
	switch {
	case f.chunk == chunkSize && isDigit && f.digits < maxChunkDigits:
		f.body, f.digits = f.body<<4|digit, f.digits+1
	case f.chunk == chunkSize && b == '\r' && f.digits > 0:
		f.chunk, f.digits = chunkSizeLF, 0
	case f.chunk == chunkSizeLF && b == '\n' && f.body > 0:
		f.chunk = chunkData
	case f.chunk == chunkSizeLF && b == '\n':
		f.chunk = lastCR
	case f.chunk == chunkDataCR && b == '\r':
		f.chunk = chunkDataLF
	case f.chunk == chunkDataLF && b == '\n':
		f.chunk = chunkSize
	case f.chunk == lastCR && b == '\r':
		f.chunk = lastLF
	case f.chunk == lastLF && b == '\n':
		f.chunk = noChunks
	default:
		return false
	}
	return true
}

func hexDigit(b byte) (value int64, ok bool) {
	switch {
	case b >= '0' && b <= '9':
		return int64(b - '0'), true
	case b|0x20 >= 'a' && b|0x20 <= 'f':
		return int64(b|0x20-'a') + 10, true
	}
	return 0, false
}

func (f *Framing) lose(data []byte) int {
	*f = Framing{lost: true}
	return len(data)
}

// ParseHead returns the request with a complete head. Its body is not readable.
func ParseHead(head []byte) (*http.Request, error) {
	return http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
}

// HeadEnd returns the length of the head at the beginning of data, 0 if it is not complete.
func HeadEnd(data []byte) int {
	end, _, _ := scanHead(data, 0)
	return end
}

// scanHead returns the length of the head at the beginning of data, 0 if it is not complete.
// It begins at the offset of a line. line is the offset of the last one, which has no end
// yet. framed is true if one of the lines seems to be a framing field.
func scanHead(data []byte, from int) (end, line int, framed bool) {
	for line = from; ; {
		length := bytes.IndexByte(data[line:], '\n')
		if length < 0 {
			return 0, line, framed
		}
		text := data[line : line+length]
		line += length + 1
		if len(text) == 0 || len(text) == 1 && text[0] == '\r' {
			return line, line, framed
		}
		framed = framed || hasName(text, "Content-Length") || hasName(text, "Transfer-Encoding")
	}
}

func hasName(line []byte, name string) bool {
	return len(line) >= len(name) && line[0]|0x20 == name[0]|0x20 && bytes.EqualFold(line[:len(name)], []byte(name))
}
