// Package httpd serves HTTP/1.1 to callers.
//
// Entries use it in place of net/http's server: when a crowd of callers is
// refused, nearly all of the processor time goes into accepting connections and
// reading heads. Parsing is net/http's own. Goroutines and buffers serve one
// connection after another, and a caller's leaving is watched for only on
// request. docs/CAPACITY.md has the measurement.
package httpd
