package backend

import (
	"bytes"
	"net/http"
	"regexp"
	"strings"
)

// statusLine matches the beginning of a response. Inside another one, it shows that this
// broke off there. A parser cannot tell: in the middle of a line, the status line becomes
// part of a field, whatever follows belongs to the same head, and a failure can get the
// status of a success.
var statusLine = regexp.MustCompile(`HTTP/1\.[01] [0-9]{3}`)

const (
	// statusLinePrefix is searched first, since that takes less time.
	statusLinePrefix = "HTTP/1."
	// statusLineBytes is the number of bytes that statusLine matches.
	statusLineBytes = len("HTTP/1.1 200")
)

// joinedHead reports whether the head of a response holds the beginning of another one.
func joinedHead(response *http.Response) bool {
	if holdsStatusLine(response.Status) {
		return true
	}
	for _, values := range response.Header {
		for _, value := range values {
			if holdsStatusLine(value) {
				return true
			}
		}
	}
	for name := range response.Trailer { // net/http moves them out of the header
		if holdsStatusLine(name) {
			return true
		}
	}
	return false
}

func holdsStatusLine(s string) bool {
	return strings.Contains(s, statusLinePrefix) && statusLine.MatchString(s)
}

// joinedBody reports whether another response begins inside the body that was read last.
// A body may hold a status line as its content; then no bytes of it are left on the
// connection. Where the body ends with the connection, nothing tells the two apart.
func (c *conn) joinedBody(body []byte, endsWithConnection bool) bool {
	left := c.reader.Buffered()
	if left == 0 && !endsWithConnection {
		return false
	}
	following, _ := c.reader.Peek(min(left, statusLineBytes-1)) // at most what is buffered
	start := max(0, len(body)-statusLineBytes+1)
	if bytes.Contains(body, []byte(statusLinePrefix)) {
		start = 0
	}
	match := statusLine.FindIndex(append(body[start:len(body):len(body)], following...))
	return match != nil && start+match[0] < len(body)
}
