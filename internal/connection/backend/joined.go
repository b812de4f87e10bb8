package backend

import (
	"bytes"
	"net/http"
	"regexp"
	"strings"
	"time"
)

// statusLine matches the beginning of a response. Inside another one, it shows that this
// broke off there. A parser cannot tell: in the middle of a line, the status line becomes
// part of a field, whatever follows belongs to the same head, and a failure can get the
// status of a success.
var (
	statusLine    = regexp.MustCompile(`HTTP/[0-9]\.[0-9] +[0-9]{3}`)
	statusLineCut = regexp.MustCompile(`H(T(T(P(/([0-9](\.([0-9]( +[0-9]{0,2})?)?)?)?)?)?)?)?$`) // at the end
)

const (
	// statusLinePrefix is searched first, since that takes less time.
	statusLinePrefix = "HTTP/"
	// statusLineBytes is the length of a status line up to its code.
	statusLineBytes = len("HTTP/1.1 200")
	// joinWait is how long the bytes that follow are awaited after a body that holds a
	// status line: a server may write the rest of a response later.
	joinWait = 50 * time.Millisecond
	// joinWaitCut is the same after a body that ends in the middle of a status line, which
	// a server writes at once.
	joinWaitCut = time.Millisecond
)

func holdsStatusLine(s string) bool {
	return strings.Contains(s, statusLinePrefix) && statusLine.MatchString(s)
}

func fieldsHoldStatusLine(header http.Header) bool {
	for _, values := range header {
		for _, value := range values {
			if holdsStatusLine(value) {
				return true
			}
		}
	}
	return false
}

// joinedHead reports whether the head of a response holds the beginning of another one.
func joinedHead(response *http.Response) bool {
	for name := range response.Trailer { // net/http moves these values out of the header
		if holdsStatusLine(name) {
			return true
		}
	}
	return holdsStatusLine(response.Status) || fieldsHoldStatusLine(response.Header)
}

// joinedTrailer is joinedHead for the fields after a chunked body that was read.
func joinedTrailer(response *http.Response) bool { return fieldsHoldStatusLine(response.Trailer) }

// joinedBody reports whether another response begins inside the body of a response, which
// was read last. A body may hold a status line as its content; then no bytes follow it on
// the connection. Where the body ends with the connection, nothing tells the two apart.
func (c *conn) joinedBody(response *http.Response, body []byte) bool {
	if joinedTrailer(response) {
		return true
	}
	if bytes.Contains(body, []byte(statusLinePrefix)) && statusLine.Match(body) {
		return endsWithConnection(response) || len(c.following(1, joinWait)) > 0
	}
	end := body[max(0, len(body)-statusLineBytes):]
	if !statusLineCut.Match(end) {
		return false
	}
	match := statusLine.FindIndex(append(end[:len(end):len(end)], c.following(statusLineBytes, joinWaitCut)...))
	return match != nil && match[0] < len(end)
}

// following returns up to n bytes that follow on the connection within a time.
func (c *conn) following(n int, wait time.Duration) []byte {
	_ = c.SetReadDeadline(time.Now().Add(wait)) // fails if the connection is closed, and so does Peek
	bytes, _ := c.reader.Peek(n)                // what came before the time-out or the end
	_ = c.SetReadDeadline(time.Time{})
	return bytes
}
