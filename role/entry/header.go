package entry

import (
	"net/http"
	"net/textproto"
	"sort"
	"strings"

	"marigoldcleat.example/cleat"
)

const fleetHeaderPrefix = "Marigoldcleat-"

// hopByHopHeaders concern one connection only and are not forwarded.
var hopByHopHeaders = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
}

// requestHeader returns the fields of a caller's header to forward to the
// upstream: all but hop-by-hop fields, fields that the fleet sets and
// entryHeaders, among them the workspace key.
func requestHeader(h http.Header) []cleat.HeaderField {
	dropped := connectionHeaders(h)
	fields := make([]cleat.HeaderField, 0, len(h))
	for name, values := range h {
		if dropped[name] || hopByHopHeaders[name] || isFleetHeader(name) || entryHeaders[name] {
			continue
		}
		for _, v := range values {
			fields = append(fields, cleat.HeaderField{Name: name, Value: v})
		}
	}
	sort.SliceStable(fields, func(i, j int) bool { return fields[i].Name < fields[j].Name })
	return fields
}

// entryHeaders are meant for the entry and not forwarded; the agent sets
// Content-Length itself.
var entryHeaders = map[string]bool{
	"Authorization":  true,
	"Content-Length": true,
	"Expect":         true,
	"Host":           true,
}

// copyAnswerHeader copies an upstream's header to the answer, without hop-by-hop
// fields and fields that the fleet sets.
func copyAnswerHeader(dst http.Header, src []cleat.HeaderField) {
	for _, f := range src {
		name := textproto.CanonicalMIMEHeaderKey(f.Name)
		if hopByHopHeaders[name] || isFleetHeader(name) {
			continue
		}
		dst.Add(name, f.Value)
	}
}

// connectionHeaders returns the names listed in the Connection header.
func connectionHeaders(h http.Header) map[string]bool {
	var names map[string]bool
	for _, v := range h["Connection"] {
		for _, name := range strings.Split(v, ",") {
			if names == nil {
				names = make(map[string]bool)
			}
			names[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return names
}

func isFleetHeader(name string) bool {
	return strings.HasPrefix(name, fleetHeaderPrefix)
}

// headerBytes returns the size of a request's header as counted against the limit.
func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}

// isEventStream reports whether an answer's header announces server-sent events.
func isEventStream(h http.Header) bool {
	return strings.HasPrefix(strings.ToLower(h.Get("Content-Type")), "text/event-stream")
}
