package entry

import (
	"net/http"
	"net/textproto"
	"sort"
	"strings"

	"marigoldcleat.example/cleat"
)

const ownHeaderPrefix = "Marigoldcleat-"

// hopHeaders concern one connection only and are not passed on.
var hopHeaders = map[string]bool{
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

// requestHeader returns what of a caller's header goes to the upstream: not
// the workspace key, nothing of the connection and nothing that the fleet sets.
func requestHeader(h http.Header) []cleat.HeaderField {
	dropped := connectionHeaders(h)
	fields := make([]cleat.HeaderField, 0, len(h))
	for name, values := range h {
		if dropped[name] || hopHeaders[name] || isOwn(name) || callerHeaders[name] {
			continue
		}
		for _, v := range values {
			fields = append(fields, cleat.HeaderField{Name: name, Value: v})
		}
	}
	sort.SliceStable(fields, func(i, j int) bool { return fields[i].Name < fields[j].Name })
	return fields
}

// callerHeaders are for the entry; the agent sets the length anew.
var callerHeaders = map[string]bool{
	"Authorization":  true,
	"Content-Length": true,
	"Expect":         true,
	"Host":           true,
}

// copyAnswerHeader sets an upstream's header on the answer to the caller.
func copyAnswerHeader(to http.Header, from []cleat.HeaderField) {
	for _, f := range from {
		name := textproto.CanonicalMIMEHeaderKey(f.Name)
		if hopHeaders[name] || isOwn(name) {
			continue
		}
		to.Add(name, f.Value)
	}
}

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

func isOwn(name string) bool {
	return strings.HasPrefix(name, ownHeaderPrefix)
}

// headerBytes is the size of a request's header as limits count it.
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
