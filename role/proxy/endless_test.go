package proxy

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"marigoldcleat.example/cleat"
)

// endlessConn is a connection whose other side sends start, and then repeats filler
// without end.
type endlessConn struct {
	net.Conn
	start, filler []byte
	read          int
}

func (c *endlessConn) Read(b []byte) (int, error) {
	if c.read > 64<<20 {
		return 0, io.ErrUnexpectedEOF // Fails the test in place of the machine.
	}
	src := c.start
	if len(src) == 0 {
		src = c.filler
	}
	n := copy(b, src)
	c.start = c.start[min(n, len(c.start)):]
	c.read += n
	return n, nil
}

func (c *endlessConn) Write(b []byte) (int, error)      { return len(b), nil }
func (c *endlessConn) Close() error                     { return nil }
func (c *endlessConn) SetDeadline(time.Time) error      { return nil }
func (c *endlessConn) SetReadDeadline(time.Time) error  { return nil }
func (c *endlessConn) SetWriteDeadline(time.Time) error { return nil }

// idDialect reads the request's id only.
type idDialect struct{ cleat.Dialect }

func (idDialect) ReadAnswer(h http.Header) cleat.AnswerInfo {
	return cleat.AnswerInfo{ID: cleat.RequestID(h.Get("Id"))}
}

// An upstream's head without end took 525 MiB of an entry's memory.
func TestBytesWithoutEnd(t *testing.T) {
	const bodyLimit = 1 << 20
	cases := map[string]struct {
		start, filler string
		limit         int  // Bytes that may be read.
		head          bool // The head ends.
	}{
		"a status line":            {"HTTP/1.1 200 ", "OK", maxHeadBytes, false},
		"bytes that are no answer": {"", "\x00", maxHeadBytes, false},
		"a field":                  {"HTTP/1.1 200 OK\r\nX: ", "x", maxHeadBytes, false},
		"fields":                   {"HTTP/1.1 200 OK\r\n", "X: y\r\n", maxHeadBytes, false},
		"a field's continuation":   {"HTTP/1.1 200 OK\r\nX: y\r\n", " y\r\n", maxHeadBytes, false},
		"informational answers":    {"", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", maxHeadBytes, false},
		"a body":                   {"HTTP/1.1 200 OK\r\nId: a\r\n\r\n", "x", bodyLimit, true},
		"chunks":                   {"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", bodyLimit, true},
		"a chunk's extension":      {"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x", bodyLimit, true},
		"chunks with extensions":   {"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n", "1;" + strings.Repeat("y", 900) + "\r\nx\r\n", bodyLimit, true},
		"a trailer":                {"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "T: x\r\n", bodyLimit, true},
		"late answers":             {"HTTP/1.1 200 OK\r\nId: b\r\n\r\n", "x", maxHeadBytes + maxDiscardBytes, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			conn := &endlessConn{start: []byte(c.start), filler: []byte(c.filler)}
			u := newUpstreamConn(conn, &Config{MaxAnswerBytes: bodyLimit}, time.Now())
			u.reused = true
			resp, _, err := u.roundTrip([]byte("GET / HTTP/1.1\r\n\r\n"), nil, "GET", "a", idDialect{})
			if (err == nil) != c.head {
				t.Fatalf("roundTrip: %v", err)
			}
			if err == nil {
				if n, err := io.Copy(io.Discard, resp.Body); err == nil {
					t.Errorf("the body ended after %d bytes", n)
				}
			}
			if slack := 2 * 4096; conn.read > c.limit+slack {
				t.Errorf("read %d bytes, limit %d", conn.read, c.limit)
			}
		})
	}
}

func TestAnswersUpToTheLimit(t *testing.T) {
	const bodyLimit = 1 << 20
	head := "HTTP/1.1 200 OK\r\nId: a\r\nX: " + strings.Repeat("x", maxHeadBytes/2) + "\r\n\r\n"
	answer := "HTTP/1.1 103 Early Hints\r\n\r\n" + head + strings.Repeat("y", bodyLimit/2)
	conn := &endlessConn{start: []byte(answer)}
	u := newUpstreamConn(conn, &Config{MaxAnswerBytes: bodyLimit}, time.Now())
	resp, _, err := u.roundTrip(nil, nil, "GET", "a", idDialect{})
	if err != nil {
		t.Fatal(err)
	}
	b := make([]byte, bodyLimit/2)
	if _, err := io.ReadFull(resp.Body, b); err != nil || !bytes.Equal(b, bytes.Repeat([]byte("y"), len(b))) {
		t.Errorf("body: %v", err)
	}
}
