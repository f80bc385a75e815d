package httpd

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"
)

// Adapt returns a Handler that calls a standard one with the complete body of the request, which
// is charged to the server's budget. A longer body than maxBody is refused, and one for which
// there is no memory, too.
func Adapt(h http.Handler, maxBody int64) Handler {
	return func(w *Response, req *http.Request) {
		body, err := w.ReadBody(maxBody, time.Now().Add(w.conn.server.cfg.HeadTimeout))
		var tooLarge *http.MaxBytesError
		switch {
		case errors.As(err, &tooLarge):
			http.Error(w, "the body is too large", http.StatusRequestEntityTooLarge)
			return
		case errors.Is(err, ErrMemory):
			w.Header().Set("Retry-After", "1")
			http.Error(w, "out of memory", http.StatusServiceUnavailable)
			return
		case err != nil:
			panic(http.ErrAbortHandler) // The body is not complete.
		}
		req.Body = io.NopCloser(bytes.NewReader(body))
		h.ServeHTTP(w, req)
	}
}
