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

// stream is the state of generating one answer.
type stream struct {
	id             string
	model          cleat.ModelID
	nextToken      int // Index of the next token, from zero.
	outputTokens   int
	inputTokens    int
	cachedTokens   int
	prefillTime    time.Duration
	resumableUntil time.Time // Deadline for resuming an interrupted stream.
}

func (e *Engine) handleChat(w http.ResponseWriter, r *http.Request) {
	req, err := readChat(r)
	if err != nil {
		http.Error(w, `{"error":{"message":"malformed"}}`, http.StatusBadRequest)
		return
	}
	s, fault, ok := e.openStream(req, r.Header, time.Now())
	if !ok {
		http.Error(w, `{"error":{"message":"the stream can't be resumed"}}`, http.StatusGone)
		return
	}
	defer e.closeStream(s)
	if fault.Kind != FaultNone && fault.AfterTokens == 0 {
		fault.apply(w, r)
		return
	}
	if !sleep(r.Context(), s.prefillTime) {
		return
	}
	if req.Stream {
		e.answerStream(w, r, s, fault)
		return
	}
	e.answerJSON(w, r, s, fault)
}

func readChat(r *http.Request) (*cleat.ChatRequest, error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	return cleat.ParseChat(body)
}

// openStream registers a new request, or finds the interrupted stream that the
// request resumes. It returns false if that stream can't be resumed.
func (e *Engine) openStream(req *cleat.ChatRequest, h http.Header, now time.Time) (*stream, Fault, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	id := h.Get(cleat.HeaderUpstreamRequest)
	s, ok := e.resumeStream(id, h.Get(cleat.HeaderLastEvent), now)
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

// resumeStream returns the interrupted stream to resume after lastEvent, or nil if
// the request resumes none. It returns false if the stream can't be resumed.
func (e *Engine) resumeStream(id, lastEvent string, now time.Time) (s *stream, ok bool) {
	if lastEvent == "" {
		return nil, true
	}
	s = e.interruptedStreams[id]
	n, err := strconv.Atoi(lastEvent)
	if s == nil || err != nil || n >= s.outputTokens || now.After(s.resumableUntil) {
		return nil, false
	}
	delete(e.interruptedStreams, id)
	s.nextToken, s.prefillTime = n+1, 0
	e.stats.Resumed++
	return s, true
}

// newStream adds the prompt to the prefix cache and publishes what that changed.
func (e *Engine) newStream(id string, req *cleat.ChatRequest) *stream {
	prompt := req.Prompt()
	hits, added, evicted := e.cache.access(cleat.PrefixDigests(prompt))
	if len(added)+len(evicted) > 0 {
		e.cacheEvents++
		e.publishCacheEvent(cleat.CacheEvent{Upstream: e.cfg.ID, Seq: e.cacheEvents, Added: added, Evicted: evicted})
	}
	s := &stream{id: id, model: req.Model, outputTokens: int(req.TokenLimit()), inputTokens: len(prompt) / bytesPerToken}
	if s.outputTokens == 0 {
		s.outputTokens = e.cfg.OutputTokens
	}
	s.cachedTokens = min(hits*cleat.PrefixBlockBytes/bytesPerToken, s.inputTokens)
	s.prefillTime = time.Duration(s.inputTokens-s.cachedTokens) * e.cfg.PrefillInterval
	return s
}

func (e *Engine) closeStream(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	if s.nextToken >= s.outputTokens {
		e.stats.Finished++
		return
	}
	e.stats.Canceled++
	s.resumableUntil = time.Now().Add(e.cfg.ResumeWindow)
	if len(e.interruptedStreams) < maxInterruptedStreams {
		e.interruptedStreams[s.id] = s
	}
}

// maxInterruptedStreams bounds memory; streams interrupted beyond it can't be resumed.
const maxInterruptedStreams = 1000

// nextTokenInterval counts an output token and returns the time to generate it,
// which grows with the number of running requests.
func (e *Engine) nextTokenInterval() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.OutputTokens++
	return e.cfg.TokenInterval + time.Duration(e.running-1)*e.cfg.BatchInterval
}

func (e *Engine) answerStream(w http.ResponseWriter, r *http.Request, s *stream, fault Fault) {
	w.Header().Set("Content-Type", "text/event-stream")
	out := http.NewResponseController(w)
	for first := s.nextToken; s.nextToken < s.outputTokens; s.nextToken++ {
		if fault.Kind != FaultNone && s.nextToken-first >= fault.AfterTokens {
			fault.apply(w, r)
			return
		}
		interval := e.nextTokenInterval()
		if !sleep(r.Context(), interval) {
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"model\":%q,\"choices\":[{\"index\":0,\"delta\":{\"content\":\"%s \"}}]}\n\n",
			s.nextToken, s.id, s.model, OutputToken(s.nextToken)); err != nil {
			return
		}
		if interval > 0 || s.nextToken == first {
			_ = out.Flush()
		}
	}
	_, _ = fmt.Fprintf(w, "data: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"model\":%q,\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}],\"usage\":%s}\n\ndata: [DONE]\n\n",
		s.id, s.model, s.usage())
}

func (e *Engine) answerJSON(w http.ResponseWriter, r *http.Request, s *stream, fault Fault) {
	var text strings.Builder
	for ; s.nextToken < s.outputTokens; s.nextToken++ {
		if fault.Kind != FaultNone && s.nextToken >= fault.AfterTokens {
			fault.apply(w, r)
			return
		}
		if !sleep(r.Context(), e.nextTokenInterval()) {
			return
		}
		text.WriteString(OutputToken(s.nextToken) + " ")
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, "{\"id\":%q,\"object\":\"chat.completion\",\"model\":%q,\"choices\":[{\"index\":0,\"message\":{\"role\":\"assistant\",\"content\":%q},\"finish_reason\":\"stop\"}],\"usage\":%s}\n",
		s.id, s.model, text.String(), s.usage())
}

// OutputToken returns the text of the output token with index n.
func OutputToken(n int) string {
	return "tok" + strconv.Itoa(n)
}

func (s *stream) usage() string {
	return fmt.Sprintf(`{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d,"prompt_tokens_details":{"cached_tokens":%d}}`,
		s.inputTokens, s.outputTokens, s.inputTokens+s.outputTokens, s.cachedTokens)
}
