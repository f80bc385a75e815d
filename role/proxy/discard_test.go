package proxy

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// The rest of a late answer was read as the head of the next one.
func TestLongLateAnswerIsNotReadAsTheNextOne(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s"
	hidden := fmt.Sprintf(answer, "a", 4, "fake")
	cases := map[string]struct {
		late string // Body of the late answer.
		ok   bool
	}{
		"a short body":                            {"late", true},
		"a body up to the limit":                  {strings.Repeat("x", maxDiscardBytes), true},
		"a body beyond it that looks like a head": {strings.Repeat("x", maxDiscardBytes) + hidden, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			sent := fmt.Sprintf(answer, "b", len(c.late), c.late) + fmt.Sprintf(answer, "a", 4, "real")
			u := newUpstreamConn(&endlessConn{start: []byte(sent)}, &Config{MaxAnswerBytes: 1 << 20}, time.Now())
			u.reused = true
			resp, _, err := u.roundTrip(nil, nil, "GET", "a", idDialect{})
			if (err == nil) != c.ok {
				t.Fatalf("roundTrip: %v", err)
			}
			if err != nil {
				return
			}
			b := make([]byte, 4)
			if n, _ := resp.Body.Read(b); string(b[:n]) != "real" {
				t.Errorf("body: %q", b[:n])
			}
		})
	}
}
