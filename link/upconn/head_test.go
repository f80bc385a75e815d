package upconn

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// readConn is a connection that delivers text, at most size bytes a read.
type readConn struct {
	net.Conn
	text string
	size int
}

func (c *readConn) Read(b []byte) (int, error) {
	if c.text == "" {
		return 0, io.ErrUnexpectedEOF
	}
	n := copy(b[:min(len(b), c.size)], c.text)
	c.text = c.text[n:]
	return n, nil
}

// readFinal reads answers up to the final one, as clients of this package do.
func readFinal(r *bufio.Reader) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(r, &http.Request{Method: http.MethodPost})
		if err != nil || resp.StatusCode >= http.StatusOK {
			return resp, err
		}
	}
}

func TestHeads(t *testing.T) {
	const rest = "A: b\r\nContent-Length: 4\r\n\r\n"
	hidden := "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"
	cases := map[string]struct {
		text string
		ok   bool
	}{
		"status 200":                          {"HTTP/1.1 200 OK\r\n" + rest, true},
		"without a reason":                    {"HTTP/1.1 200\r\n" + rest, true},
		"HTTP/1.0":                            {"HTTP/1.0 200 OK\r\n" + rest, true},
		"bare line feeds":                     {"HTTP/1.1 200 OK\nA: b\nContent-Length: 4\n\n", true},
		"status 599":                          {"HTTP/1.1 599 X\r\n" + rest, true},
		"after 100 and 103":                   {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n" + rest, true},
		"status 000":                          {"HTTP/1.1 000 OK\r\n" + rest, false},
		"status 000, an answer in its body":   {"HTTP/1.1 000 OK\r\nContent-Length: 100\r\n\r\n" + hidden, false},
		"status 099":                          {"HTTP/1.1 099 OK\r\n" + rest, false},
		"status +20":                          {"HTTP/1.1 +20 OK\r\n" + rest, false},
		"status -01":                          {"HTTP/1.1 -01 OK\r\n" + rest, false},
		"status 101, which no request allows": {"HTTP/1.1 101 Switching Protocols\r\n\r\n" + hidden, false},
		"status 600":                          {"HTTP/1.1 600 OK\r\n" + rest, false},
		"status 999":                          {"HTTP/1.1 999 OK\r\n" + rest, false},
		"four digits":                         {"HTTP/1.1 2000 OK\r\n" + rest, false},
		"another protocol":                    {"HTTP/2.0 200 OK\r\n" + rest, false},
		"no protocol":                         {"HTTP/0.9 200 OK\r\n" + rest, false},
		"each byte that a name may hold":      {"HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: b\r\n" + rest, true},
		"bytes above 127 in a value":          {"HTTP/1.1 200 OK\r\nX: \x80\xff\r\n" + rest, true},
		"colons, blanks and tabs in a value":  {"HTTP/1.1 200 OK\r\nX:\t a : b\t\r\nY:\r\n" + rest, true},
		"chunks in HTTP/1.0":                  {"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n" + rest, false},
		"chunks in HTTP/1.0, lower case":      {"HTTP/1.0 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", false},
		"a blank before the colon":            {"HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\n", false},
		"a blank before it in the framing":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n" + rest, false},
		"a blank in a name":                   {"HTTP/1.1 200 OK\r\nX Y: a\r\n" + rest, false},
		"a blank in a name after 103":         {"HTTP/1.1 103 Early Hints\r\nX Y: a\r\n\r\nHTTP/1.1 200 OK\r\n" + rest, false},
		"a line that begins with a blank":     {"HTTP/1.1 200 OK\r\nX: a\r\n Content-Length: 4\r\n\r\n", false},
		"a line that begins with a tab":       {"HTTP/1.1 200 OK\r\nX: a\r\n\tb\r\n" + rest, false},
		"a first line that does":              {"HTTP/1.1 200 OK\r\n X: a\r\n" + rest, false},
		"a tab in a name":                     {"HTTP/1.1 200 OK\r\nX\tY: a\r\n" + rest, false},
		"a control byte in a name":            {"HTTP/1.1 200 OK\r\nX\x01Y: a\r\n" + rest, false},
		"NUL in a name":                       {"HTTP/1.1 200 OK\r\nX\x00Y: a\r\n" + rest, false},
		"DEL in a name":                       {"HTTP/1.1 200 OK\r\nX\x7fY: a\r\n" + rest, false},
		"CR in a name":                        {"HTTP/1.1 200 OK\r\nX\rY: a\r\n" + rest, false},
		"a byte above 127 in a name":          {"HTTP/1.1 200 OK\r\nX\x80: a\r\n" + rest, false},
		"an empty name":                       {"HTTP/1.1 200 OK\r\n: a\r\n" + rest, false},
		"no colon":                            {"HTTP/1.1 200 OK\r\nX\r\n" + rest, false},
		"status 000 after 103":                {"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 OK\r\n" + rest, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			for _, size := range []int{1, 5, 1 << 10} {
				// The first answer's body would be malformed as a head. Long reads return a part of the second answer with it.
				first := "HTTP/1.1 200 OK\r\nContent-Length: 17\r\n\r\nHTTP/1.1 000\r\n\r\n\r"
				conn := New(&readConn{text: first + c.text + "body", size: size})
				br := bufio.NewReader(conn)
				resp, err := readFinal(br)
				if err != nil {
					t.Fatalf("%d bytes a read, first answer: %v", size, err)
				}
				if _, err := io.Copy(io.Discard, resp.Body); err != nil {
					t.Fatal(err)
				}
				buffered, err := br.Peek(br.Buffered())
				if err != nil {
					t.Fatal(err)
				}
				if err = conn.BeginAnswer(buffered); err == nil {
					resp, err = readFinal(br)
				}
				if (err == nil) != c.ok {
					t.Fatalf("%d bytes a read: %v", size, err)
				}
				if err != nil {
					if parses(c.text) && !errors.Is(conn.HeadErr(), ErrMalformedHead) {
						t.Errorf("%d bytes a read: %v, head %v, want ErrMalformedHead", size, err, conn.HeadErr())
					}
					continue
				}
				if b, err := io.ReadAll(resp.Body); string(b) != "body" || err != nil {
					t.Errorf("%d bytes a read: body %q, %v", size, b, err)
				}
			}
		})
	}
}

// parses reports whether net/http's parser accepts the heads in text.
func parses(text string) bool {
	_, err := readFinal(bufio.NewReader(strings.NewReader(text + "body")))
	return err == nil
}
