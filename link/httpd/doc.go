// Package httpd serves HTTP/1.1 to callers.
//
// Entries use it in place of net/http's server: when many callers are refused at
// once, nearly all processor time goes into accepting connections and reading heads.
// Requests are parsed by net/http, but goroutines and buffers are reused for one
// connection after another, and a caller's leaving is watched for only on request
// (Response.Watch). docs/CAPACITY.md has the measurement.
package httpd
