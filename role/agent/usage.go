package agent

import (
	"bytes"
	"encoding/json"

	"marigoldcleat.example/cleat"
)

const (
	maxEventBytes = 64 << 10 // Longer events pass unread.
	usageTail     = 4 << 10  // The usage stands at the end of a whole answer.
)

var (
	eventEnd   = []byte("\n\n")
	eventEndCR = []byte("\r\n\r\n")
	eventDone  = []byte("data: [DONE]")
	usageKey   = []byte(`"usage"`)
	deltaKey   = []byte(`"delta"`)
	eventID    = []byte("id: ")
)

// usageReport is the usage member of a model's answer.
type usageReport struct {
	PromptTokens     uint64 `json:"prompt_tokens"`
	CompletionTokens uint64 `json:"completion_tokens"`
	Details          struct {
		CachedTokens uint64 `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

func (u usageReport) usage() cleat.Usage {
	return cleat.Usage{InputTokens: u.PromptTokens, CachedTokens: u.Details.CachedTokens, OutputTokens: u.CompletionTokens}
}

// events splits a stream into whole events and counts tokens in them.
type events struct {
	pending []byte // From cut on: an event that is not whole yet.
	cut     int
	torn    bool // Part of an event that is not whole was passed on.
	lastID  string
	done    bool
	used    cleat.Usage
}

// feed takes the next bytes and returns those that end whole events, which is
// valid until the next call.
func (e *events) feed(b []byte) []byte {
	rest := copy(e.pending, e.pending[e.cut:])
	e.pending = append(e.pending[:rest], b...)
	e.cut = wholeEvents(e.pending)
	if e.cut == 0 && len(e.pending) >= maxEventBytes {
		e.torn = true
		e.cut = len(e.pending)
	}
	whole := e.pending[:e.cut]
	e.read(whole)
	return whole
}

// dropPending forgets the event that is not whole yet.
func (e *events) dropPending() {
	e.pending, e.cut = e.pending[:0], 0
}

// resumable reports whether the stream can go on after its last whole event.
func (e *events) resumable() bool {
	return e.lastID != "" && !e.torn && !e.done
}

// broken reports whether the stream stopped inside an event or before its end mark.
func (e *events) broken() bool {
	return len(bytes.TrimSpace(e.pending[e.cut:])) > 0 || !e.done
}

// wholeEvents returns how many of the first bytes are whole events.
func wholeEvents(b []byte) int {
	end := 0
	for _, mark := range [][]byte{eventEnd, eventEndCR} {
		if i := bytes.LastIndex(b, mark); i >= 0 {
			end = max(end, i+len(mark))
		}
	}
	return end
}

func (e *events) read(whole []byte) {
	if bytes.IndexByte(whole, '\r') >= 0 {
		whole = bytes.ReplaceAll(whole, []byte("\r\n"), []byte("\n"))
	}
	for event := range bytes.SplitSeq(whole, eventEnd) {
		e.readEvent(event)
	}
}

func (e *events) readEvent(event []byte) {
	if bytes.HasPrefix(event, eventID) {
		id, _, _ := bytes.Cut(event[len(eventID):], []byte("\n"))
		e.lastID = string(bytes.TrimSpace(id))
	}
	if bytes.HasPrefix(event, eventDone) {
		e.done = true
		return
	}
	if i := bytes.Index(event, usageKey); i >= 0 {
		if u, ok := parseUsage(event[i+len(usageKey):]); ok {
			e.used = u
			return
		}
	}
	if bytes.Contains(event, deltaKey) {
		e.used.OutputTokens++
	}
}

// tail keeps the end of a whole answer, where its usage stands.
type tail struct {
	buf []byte
}

func (t *tail) feed(b []byte) {
	if len(b) >= usageTail {
		t.buf = append(t.buf[:0], b[len(b)-usageTail:]...)
		return
	}
	if over := len(t.buf) + len(b) - usageTail; over > 0 {
		t.buf = t.buf[:copy(t.buf, t.buf[over:])]
	}
	t.buf = append(t.buf, b...)
}

func (t *tail) usage() (cleat.Usage, bool) {
	i := bytes.LastIndex(t.buf, usageKey)
	if i < 0 {
		return cleat.Usage{}, false
	}
	return parseUsage(t.buf[i+len(usageKey):])
}

// parseUsage reads the value after a usage key.
func parseUsage(b []byte) (cleat.Usage, bool) {
	b = bytes.TrimLeft(b, ": \t\n")
	if len(b) == 0 || b[0] != '{' {
		return cleat.Usage{}, false
	}
	var u usageReport
	if err := json.NewDecoder(bytes.NewReader(b)).Decode(&u); err != nil {
		return cleat.Usage{}, false
	}
	return u.usage(), true
}
