package fakes

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"marigoldcleat.example/cleat"
)

// stream is the generation of one answer.
type stream struct {
	id       string
	model    cleat.ModelID
	next     int // Number of the next token, from zero.
	total    int
	input    int
	cached   int
	prefill  time.Duration
	cutUntil time.Time // Until when a cut stream may be resumed.
}

func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	req, err := readChat(r)
	if err != nil {
		http.Error(w, `{"error":{"message":"malformed"}}`, http.StatusBadRequest)
		return
	}
	s, fault, ok := e.begin(req, r.Header, time.Now())
	if !ok {
		http.Error(w, `{"error":{"message":"the stream can't be resumed"}}`, http.StatusGone)
		return
	}
	defer e.end(s)
	if fault.Kind != FaultNone && fault.AfterTokens == 0 {
		fault.apply(w, r)
		return
	}
	if !wait(r.Context(), s.prefill) {
		return
	}
	if req.Stream {
		e.answerStream(w, r, s, fault)
		return
	}
	e.answerWhole(w, r, s, fault)
}

func readChat(r *http.Request) (*cleat.ChatRequest, error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	return cleat.ParseChat(body)
}

// begin registers a new request, or finds the cut stream that the request resumes.
func (e *Engine) begin(req *cleat.ChatRequest, h http.Header, now time.Time) (*stream, Fault, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	id := h.Get(cleat.HeaderUpstreamRequest)
	s, ok := e.resumed(id, h.Get(cleat.HeaderLastEvent), now)
	if !ok {
		return nil, Fault{}, false
	}
	if s == nil {
		s = e.newStream(id, req)
		e.runs[id]++
		if key := h.Get(cleat.DefaultIdempotencyHeader); key != "" {
			e.runs[key]++
		}
		e.stats.Started++
	}
	e.running++
	e.stats.MaxBatch = max(e.stats.MaxBatch, e.running)
	return s, e.faults.next(), true
}

func (e *Engine) resumed(id, last string, now time.Time) (s *stream, ok bool) {
	if last == "" {
		return nil, true
	}
	s = e.streams[id]
	n, err := strconv.Atoi(last)
	if s == nil || err != nil || n >= s.total || now.After(s.cutUntil) {
		return nil, false
	}
	delete(e.streams, id)
	s.next, s.prefill = n+1, 0
	e.stats.Resumed++
	return s, true
}

func (e *Engine) newStream(id string, req *cleat.ChatRequest) *stream {
	prompt := req.Prompt()
	hits, added, evicted := e.cache.use(cleat.PrefixDigests(prompt))
	if len(added)+len(evicted) > 0 {
		e.events++
		e.publish(cleat.CacheEvent{Upstream: e.cfg.ID, Seq: e.events, Added: added, Evicted: evicted})
	}
	s := &stream{id: id, model: req.Model, total: int(req.TokenLimit()), input: len(prompt) / bytesPerToken}
	if s.total == 0 {
		s.total = e.cfg.OutputTokens
	}
	s.cached = min(hits*cleat.PrefixBlockBytes/bytesPerToken, s.input)
	s.prefill = time.Duration(s.input-s.cached) * e.cfg.PrefillInterval
	return s
}

func (e *Engine) end(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	if s.next >= s.total {
		e.stats.Finished++
		return
	}
	e.stats.Canceled++
	s.cutUntil = time.Now().Add(e.cfg.ResumeWindow)
	if len(e.streams) < maxCutStreams {
		e.streams[s.id] = s
	}
}

const maxCutStreams = 1000

// interval returns the present time between tokens, which grows with the batch.
func (e *Engine) interval() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.OutTokens++
	return e.cfg.TokenInterval + time.Duration(e.running-1)*e.cfg.BatchInterval
}

func (e *Engine) answerStream(w http.ResponseWriter, r *http.Request, s *stream, fault Fault) {
	w.Header().Set("Content-Type", "text/event-stream")
	out := http.NewResponseController(w)
	for first := s.next; s.next < s.total; s.next++ {
		if fault.Kind != FaultNone && s.next-first >= fault.AfterTokens {
			fault.apply(w, r)
			return
		}
		interval := e.interval()
		if !wait(r.Context(), interval) {
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"model\":%q,\"choices\":[{\"index\":0,\"delta\":{\"content\":\"%s \"}}]}\n\n",
			s.next, s.id, s.model, Token(s.next)); err != nil {
			return
		}
		if interval > 0 || s.next == first {
			_ = out.Flush()
		}
	}
	_, _ = fmt.Fprintf(w, "data: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"model\":%q,\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}],\"usage\":%s}\n\ndata: [DONE]\n\n",
		s.id, s.model, s.usage())
}

func (e *Engine) answerWhole(w http.ResponseWriter, r *http.Request, s *stream, fault Fault) {
	var text strings.Builder
	for ; s.next < s.total; s.next++ {
		if fault.Kind != FaultNone && s.next >= fault.AfterTokens {
			fault.apply(w, r)
			return
		}
		if !wait(r.Context(), e.interval()) {
			return
		}
		text.WriteString(Token(s.next) + " ")
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, "{\"id\":%q,\"object\":\"chat.completion\",\"model\":%q,\"choices\":[{\"index\":0,\"message\":{\"role\":\"assistant\",\"content\":%q},\"finish_reason\":\"stop\"}],\"usage\":%s}\n",
		s.id, s.model, text.String(), s.usage())
}

// Token returns the text of output token n.
func Token(n int) string {
	return "tok" + strconv.Itoa(n)
}

func (s *stream) usage() string {
	return fmt.Sprintf(`{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d,"prompt_tokens_details":{"cached_tokens":%d}}`,
		s.input, s.total, s.input+s.total, s.cached)
}
