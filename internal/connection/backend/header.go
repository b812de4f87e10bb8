package backend

import (
	"net/http"
	"strings"

	"tarragonshore.example/tarragonshore/internal/connection/wire"
)

// hopByHop lists the fields that apply to one connection only (RFC 9110, section
// 7.6.1), and Content-Length, which is set again for the body that is forwarded.
var hopByHop = map[string]bool{
	"Connection":          true,
	"Content-Length":      true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
}

// HeaderFields returns the end-to-end fields of a header, without the Tarragon-
// fields, which only daemons may set.
func HeaderFields(header http.Header) []wire.HeaderField {
	dropped := connectionFields(header)
	fields := make([]wire.HeaderField, 0, len(header))
	for name, values := range header {
		if hopByHop[name] || dropped[name] || strings.HasPrefix(name, "Tarragon-") {
			continue
		}
		for _, value := range values {
			fields = append(fields, wire.HeaderField{Name: name, Value: value})
		}
	}
	return fields
}

// connectionFields returns the names of the fields listed in the Connection field,
// which are hop-by-hop as well.
func connectionFields(header http.Header) map[string]bool {
	var names map[string]bool
	for _, line := range header.Values("Connection") {
		for _, name := range strings.Split(line, ",") {
			if names == nil {
				names = make(map[string]bool)
			}
			names[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return names
}
