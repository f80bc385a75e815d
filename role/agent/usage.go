package agent

import (
	"bytes"
	"encoding/json"

	"marigoldcleat.example/cleat"
)

const (
	maxEventBytes  = 64 << 10 // Longer events are forwarded in pieces, before they are complete.
	usageTailBytes = 4 << 10  // Bytes kept from the end of an answer, which holds its usage.
)

var (
	eventEnd        = []byte("\n\n")
	eventEndCRLF    = []byte("\r\n\r\n")
	eventDonePrefix = []byte("data: [DONE]")
	usageKey        = []byte(`"usage"`)
	deltaKey        = []byte(`"delta"`)
	eventIDPrefix   = []byte("id: ")
)

// usageReport is the "usage" object of a model's answer.
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

// sseParser splits a stream of server-sent events into complete events and counts
// the tokens in them.
type sseParser struct {
	pending          []byte // Received bytes; those from consumed on are an incomplete event.
	consumed         int    // Length of the prefix that the last feed returned.
	forwardedPartial bool   // Part of an incomplete event was forwarded.
	lastID           string
	done             bool
	usage            cleat.Usage
}

// feed parses the next bytes and returns the events that are now complete. The result
// is valid until the next call.
func (e *sseParser) feed(b []byte) []byte {
	rest := copy(e.pending, e.pending[e.consumed:])
	e.pending = append(e.pending[:rest], b...)
	e.consumed = completeEventsLen(e.pending)
	if e.consumed == 0 && len(e.pending) >= maxEventBytes {
		e.forwardedPartial = true
		e.consumed = len(e.pending)
	}
	complete := e.pending[:e.consumed]
	e.parse(complete)
	return complete
}

// discardPending drops the bytes of an incomplete event.
func (e *sseParser) discardPending() {
	e.pending, e.consumed = e.pending[:0], 0
}

// canResume reports whether the stream can be resumed after its last complete event.
func (e *sseParser) canResume() bool {
	return e.lastID != "" && !e.forwardedPartial && !e.done
}

// isTruncated reports whether the stream stopped inside an event or before its [DONE] event.
func (e *sseParser) isTruncated() bool {
	return len(bytes.TrimSpace(e.pending[e.consumed:])) > 0 || !e.done
}

// completeEventsLen returns the length of the prefix of b that consists of complete events.
func completeEventsLen(b []byte) int {
	end := 0
	for _, separator := range [][]byte{eventEnd, eventEndCRLF} {
		if i := bytes.LastIndex(b, separator); i >= 0 {
			end = max(end, i+len(separator))
		}
	}
	return end
}

func (e *sseParser) parse(complete []byte) {
	if bytes.IndexByte(complete, '\r') >= 0 {
		complete = bytes.ReplaceAll(complete, []byte("\r\n"), []byte("\n"))
	}
	for event := range bytes.SplitSeq(complete, eventEnd) {
		e.parseEvent(event)
	}
}

// parseEvent takes the usage from an event that reports it. Any other event with a
// delta counts as one output token.
func (e *sseParser) parseEvent(event []byte) {
	if bytes.HasPrefix(event, eventIDPrefix) {
		id, _, _ := bytes.Cut(event[len(eventIDPrefix):], []byte("\n"))
		e.lastID = string(bytes.TrimSpace(id))
	}
	if bytes.HasPrefix(event, eventDonePrefix) {
		e.done = true
		return
	}
	if i := bytes.Index(event, usageKey); i >= 0 {
		if u, ok := parseUsage(event[i+len(usageKey):]); ok {
			e.usage = u
			return
		}
	}
	if bytes.Contains(event, deltaKey) {
		e.usage.OutputTokens++
	}
}

// usageTail keeps the last usageTailBytes of an answer that is not streamed, which
// contain its usage.
type usageTail struct {
	buf []byte
}

func (t *usageTail) feed(b []byte) {
	if len(b) >= usageTailBytes {
		t.buf = append(t.buf[:0], b[len(b)-usageTailBytes:]...)
		return
	}
	if over := len(t.buf) + len(b) - usageTailBytes; over > 0 {
		t.buf = t.buf[:copy(t.buf, t.buf[over:])]
	}
	t.buf = append(t.buf, b...)
}

func (t *usageTail) usage() (cleat.Usage, bool) {
	i := bytes.LastIndex(t.buf, usageKey)
	if i < 0 {
		return cleat.Usage{}, false
	}
	return parseUsage(t.buf[i+len(usageKey):])
}

// parseUsage parses the value that follows a "usage" key.
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
