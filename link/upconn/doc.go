// Package upconn provides connections to upstreams, whose answers may arrive while the
// request is still being written.
package upconn
