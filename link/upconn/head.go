package upconn

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strconv"
)

// ErrMalformedHead is the error of a read that finds an answer's head malformed, also where
// net/http's parser accepts it.
var ErrMalformedHead = errors.New("malformed head of an answer")

// headScanner checks the head of an answer, with the informational ones before it, as its
// bytes are read.
type headScanner struct {
	line          []byte // The part of a line whose end has not been read.
	inFields      bool   // The status line has been read.
	informational bool
	version10     bool  // The head is of HTTP/1.0.
	done          bool  // The final head has been read.
	err           error // Of the line that is malformed.
}

// scan checks the next bytes of the connection; those after the final head are ignored. A
// failure is final: a bufio.Reader drops the error of a line that it has a part of.
func (s *headScanner) scan(b []byte) error {
	for !s.done && s.err == nil {
		end := bytes.IndexByte(b, '\n')
		if end < 0 {
			s.line = append(s.line, b...)
			return nil
		}
		line := b[:end]
		if len(s.line) > 0 {
			line = append(s.line, line...)
			s.line = s.line[:0]
		}
		s.err = s.checkLine(bytes.TrimSuffix(line, []byte("\r")))
		b = b[end+1:]
	}
	return s.err
}

func (s *headScanner) checkLine(line []byte) error {
	switch {
	case !s.inFields:
		s.inFields = true
		return s.checkStatusLine(line)
	case len(line) == 0:
		s.done, s.inFields = !s.informational, false
		return nil
	}
	return s.checkField(line)
}

// MaxStatus is the highest status that has a meaning.
const MaxStatus = 599

// checkStatusLine checks the protocol's version and the status. A line that the parser
// doesn't accept is left to it.
func (s *headScanner) checkStatusLine(line []byte) error {
	proto, rest, _ := bytes.Cut(line, []byte(" "))
	code, _, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	status, err := strconv.Atoi(string(code))
	if _, _, ok := http.ParseHTTPVersion(string(proto)); !ok || err != nil || len(code) != 3 {
		s.done = true
		return nil
	}
	if !bytes.HasPrefix(proto, []byte("HTTP/1.")) {
		return fmt.Errorf("%w: version %q", ErrMalformedHead, proto)
	}
	// No request asks for an upgrade, which 101 would answer.
	if status < http.StatusContinue || status == http.StatusSwitchingProtocols || status > MaxStatus {
		return fmt.Errorf("%w: status %q", ErrMalformedHead, code)
	}
	s.informational, s.version10 = status < http.StatusOK, bytes.Equal(proto, []byte("HTTP/1.0"))
	return nil
}

// maxLoggedBytes bounds what an error quotes of a line.
const maxLoggedBytes = 40

// checkField checks the name of a field. A line that continues the value before it has none.
func (s *headScanner) checkField(line []byte) error {
	name, _, ok := bytes.Cut(line, []byte(":"))
	if !ok || !isToken(name) {
		return fmt.Errorf("%w: field name %q", ErrMalformedHead, name[:min(len(name), maxLoggedBytes)])
	}
	if s.version10 && bytes.EqualFold(name, []byte("Transfer-Encoding")) {
		return fmt.Errorf("%w: %s in an answer of HTTP/1.0, which has no such framing", ErrMalformedHead, name)
	}
	return nil
}

// isToken reports whether b is a token, as a field's name must be.
func isToken(b []byte) bool {
	for _, c := range b {
		if !tokenBytes[c] {
			return false
		}
	}
	return len(b) > 0
}

// tokenBytes are the bytes that a token may hold.
var tokenBytes = func() (t [1 << 8]bool) {
	const symbols, digits, letters = "!#$%&'*+-.^_`|~", "0123456789", "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
	for _, c := range []byte(symbols + digits + letters) {
		t[c] = true
	}
	return t
}()
