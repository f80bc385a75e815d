package proxy

import (
	"net"
	"testing"
)

func TestCheckEnded(t *testing.T) {
	listen := func(t *testing.T, serve func(net.Conn)) string {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = l.Close() })
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				serve(c)
			}
		}()
		return l.Addr().String()
	}
	cases := map[string]struct {
		addr  func(t *testing.T) string
		ended bool
	}{
		"an upstream that waits for a request": {func(t *testing.T) string { return listen(t, func(net.Conn) {}) }, false},
		"one that closes connections":          {func(t *testing.T) string { return listen(t, func(c net.Conn) { _ = c.Close() }) }, true},
		"one that resets connections": {func(t *testing.T) string {
			return listen(t, func(c net.Conn) {
				_ = c.(*net.TCPConn).SetLinger(0)
				_ = c.Close()
			})
		}, false},
		"an address that refuses connections": {func(t *testing.T) string {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			_ = l.Close()
			return l.Addr().String()
		}, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if ended, err := checkEnded(c.addr(t)); ended != c.ended {
				t.Errorf("checkEnded: got %v (%v)", ended, err)
			}
		})
	}
}
