package entry

import (
	"net/http"
	"path"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
)

const (
	maxIdempotencyKeyBytes = 255
	bytesPerToken          = 4 // Assumed average, to estimate the prompt tokens from the size of the body.
	bearerPrefix           = "Bearer "
)

// detailedRefusal is a refusal with an optional detail about the request.
type detailedRefusal struct {
	cleat.Refusal
	detail string
}

// newRefusal returns a refusal of a request that did not run.
func newRefusal(reason cleat.Reason, detail string) *detailedRefusal {
	return &detailedRefusal{Refusal: cleat.Refusal{Reason: reason, Ran: cleat.RanNo}, detail: detail}
}

// authenticate returns the workspace that the request's bearer key belongs to.
func authenticate(f *cleat.Fleet, r *http.Request) (cleat.Workspace, *detailedRefusal) {
	h := r.Header.Get("Authorization")
	if len(h) < len(bearerPrefix) || !strings.EqualFold(h[:len(bearerPrefix)], bearerPrefix) {
		return cleat.Workspace{}, newRefusal(cleat.ReasonUnauthorised, "")
	}
	ws, ok := f.Workspaces().ByKey(strings.TrimSpace(h[len(bearerPrefix):]))
	if !ok {
		return cleat.Workspace{}, newRefusal(cleat.ReasonUnauthorised, "")
	}
	return ws, nil
}

// checkRequest refuses requests that can't be handled safely. Before HTTP/1.1 a
// client can't tell a truncated answer from a complete one. An upstream that
// normalizes the path could serve another path, to which a different rule applies.
func checkRequest(r *http.Request, limits cleat.Limits) *detailedRefusal {
	if !r.ProtoAtLeast(1, 1) {
		return newRefusal(cleat.ReasonMalformed, "HTTP/1.1 is needed")
	}
	if n := headerBytes(r); n > limits.MaxHeaderBytes {
		return newRefusal(cleat.ReasonTooLarge, "header")
	}
	if !isCanonicalPath(r.URL.Path) {
		return newRefusal(cleat.ReasonMalformed, "the path must be in its shortest form")
	}
	return nil
}

// isCanonicalPath reports whether p has no dot segments, double slashes or
// backslashes.
func isCanonicalPath(p string) bool {
	if !strings.HasPrefix(p, "/") || strings.Contains(p, `\`) {
		return false
	}
	clean := path.Clean(p)
	return p == clean || p == clean+"/"
}

// parseChat parses the body of a model call; nil for any other request.
func parseChat(r *http.Request, body []byte) (*cleat.ChatRequest, *detailedRefusal) {
	if r.URL.Path != cleat.ChatPath || r.Method != http.MethodPost {
		return nil, nil
	}
	chat, err := cleat.ParseChat(body)
	if err != nil {
		return nil, newRefusal(cleat.ReasonMalformed, trace.UserMessage(err))
	}
	return chat, nil
}

// newWork returns the description of a request for the queue.
func newWork(f *cleat.Fleet, ws cleat.Workspace, rule cleat.Rule, chat *cleat.ChatRequest, bodyBytes int, now time.Time) cleat.Work {
	class := f.ClassByName(rule.Class)
	w := cleat.Work{
		Workspace:  ws.ID,
		Class:      class.Name,
		Rank:       ws.Rank(class),
		Kind:       rule.Kind,
		Model:      rule.Model,
		Received:   now,
		Deadline:   now.Add(deadline(rule, class)),
		Repeatable: rule.Repeatable,
	}
	if chat == nil {
		return w
	}
	if w.Model == "" {
		w.Model = chat.Model
	}
	w.Prefix = cleat.PrefixDigests(chat.Prompt())
	if limit := chat.TokenLimit(); limit > 0 {
		u := cleat.Usage{InputTokens: uint64(bodyBytes / bytesPerToken), OutputTokens: limit}
		w.CostHint = u.Cost(cleat.KindModel)
	}
	return w
}

func deadline(rule cleat.Rule, class cleat.Class) time.Duration {
	if rule.Deadline > 0 {
		return rule.Deadline.Duration()
	}
	return class.Deadline.Duration()
}

// idempotencyKey returns the key of a request that may not be repeated; empty
// when it has none.
func idempotencyKey(rule cleat.Rule, h http.Header) (string, *detailedRefusal) {
	if rule.Repeatable {
		return "", nil
	}
	values := h.Values(rule.IdempotencyHeader)
	if len(values) == 0 {
		return "", nil
	}
	key := values[0]
	if len(values) > 1 || key == "" || len(key) > maxIdempotencyKeyBytes {
		return "", newRefusal(cleat.ReasonMalformed, rule.IdempotencyHeader+" must be given once, with 1 to 255 bytes")
	}
	return key, nil
}
