// Package httpd serves HTTP/1.1 to callers.
//
// Entries use it in place of net/http's server: when many callers are refused at
// once, nearly all processor time goes into accepting connections and reading heads.
// Requests are parsed by net/http, but goroutines and buffers are reused for one
// connection after another, and the server checks whether a caller has disconnected
// only if the handler asks for it (Response.Watch). docs/CAPACITY.md has the measurement.
package httpd
