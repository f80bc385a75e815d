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
	maxKeyBytes   = 255
	bytesPerToken = 4
	bearerPrefix  = "Bearer "
)

// problem is a refusal with a word on the particular request.
type problem struct {
	cleat.Refusal
	detail string
}

func refused(reason cleat.Reason, detail string) *problem {
	return &problem{Refusal: cleat.Refusal{Reason: reason, Ran: cleat.RanNo}, detail: detail}
}

// authorise finds the workspace that a request's key belongs to.
func authorise(f *cleat.Fleet, r *http.Request) (cleat.Workspace, *problem) {
	h := r.Header.Get("Authorization")
	if len(h) < len(bearerPrefix) || !strings.EqualFold(h[:len(bearerPrefix)], bearerPrefix) {
		return cleat.Workspace{}, refused(cleat.ReasonUnauthorised, "")
	}
	ws, ok := f.Workspaces().ByKey(strings.TrimSpace(h[len(bearerPrefix):]))
	if !ok {
		return cleat.Workspace{}, refused(cleat.ReasonUnauthorised, "")
	}
	return ws, nil
}

// checkForm refuses requests that can't be handled honestly: before HTTP/1.1 a
// cut answer looks whole, and a path that an upstream would rewrite could
// escape the rule that it seems to fall under.
func checkForm(r *http.Request, limits cleat.Limits) *problem {
	if !r.ProtoAtLeast(1, 1) {
		return refused(cleat.ReasonMalformed, "HTTP/1.1 is needed")
	}
	if n := headerBytes(r); n > limits.MaxHeaderBytes {
		return refused(cleat.ReasonTooLarge, "header")
	}
	if !isClean(r.URL.Path) {
		return refused(cleat.ReasonMalformed, "the path must be in its shortest form")
	}
	return nil
}

// isClean reports whether p names itself: no dots, doubled slashes or backslashes.
func isClean(p string) bool {
	if !strings.HasPrefix(p, "/") || strings.Contains(p, `\`) {
		return false
	}
	clean := path.Clean(p)
	return p == clean || p == clean+"/"
}

// readChat reads the fields of a model call, nil for any other request.
func readChat(r *http.Request, body []byte) (*cleat.ChatRequest, *problem) {
	if r.URL.Path != cleat.ChatPath || r.Method != http.MethodPost {
		return nil, nil
	}
	chat, err := cleat.ParseChat(body)
	if err != nil {
		return nil, refused(cleat.ReasonMalformed, trace.UserMessage(err))
	}
	return chat, nil
}

// newWork describes a request to the deciding code.
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
		w.Hint = u.Cost(cleat.KindModel)
	}
	return w
}

func deadline(rule cleat.Rule, class cleat.Class) time.Duration {
	if rule.Deadline > 0 {
		return rule.Deadline.Duration()
	}
	return class.Deadline.Duration()
}

// idempotencyKey reads the key of a request that may not be repeated; empty
// when it has none.
func idempotencyKey(rule cleat.Rule, h http.Header) (string, *problem) {
	if rule.Repeatable {
		return "", nil
	}
	values := h.Values(rule.IdempotencyHeader)
	if len(values) == 0 {
		return "", nil
	}
	key := values[0]
	if len(values) > 1 || key == "" || len(key) > maxKeyBytes {
		return "", refused(cleat.ReasonMalformed, rule.IdempotencyHeader+" must be given once, with 1 to 255 bytes")
	}
	return key, nil
}
