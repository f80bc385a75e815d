package cleat

import (
	"encoding/json"
	"strings"

	"github.com/gravitational/trace"
)

// ChatPath is the path of model calls in the chat/completions form.
const ChatPath = "/v1/chat/completions"

// ChatRequest holds the fields of a model call that the fleet evaluates; the body is forwarded unchanged.
type ChatRequest struct {
	Model               ModelID       `json:"model"`
	Stream              bool          `json:"stream"`
	MaxTokens           uint64        `json:"max_tokens"`
	MaxCompletionTokens uint64        `json:"max_completion_tokens"`
	Messages            []ChatMessage `json:"messages"`
}

// ChatMessage is one message of a prompt.
type ChatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"` // A string or a list of content parts.
}

// ParseChat decodes the body of a model call, or returns a trace.BadParameter error.
func ParseChat(body []byte) (*ChatRequest, error) {
	r := new(ChatRequest)
	if err := json.Unmarshal(body, r); err != nil {
		return nil, trace.BadParameter("ParseChat: %v", err)
	}
	if r.Model == "" {
		return nil, trace.BadParameter("ParseChat: model must not be empty")
	}
	if len(r.Messages) == 0 {
		return nil, trace.BadParameter("ParseChat: messages must not be empty")
	}
	return r, nil
}

// Prompt returns the roles and contents of all messages as one text, the input of PrefixDigests.
func (r *ChatRequest) Prompt() string {
	var b strings.Builder
	for _, m := range r.Messages {
		b.WriteString(m.Role)
		b.WriteByte('\n')
		b.WriteString(m.text())
		b.WriteByte('\n')
	}
	return b.String()
}

// TokenLimit returns the maximum number of output tokens set by the caller, or zero
// when it set none. max_completion_tokens takes precedence over max_tokens.
func (r *ChatRequest) TokenLimit() uint64 {
	if r.MaxCompletionTokens > 0 {
		return r.MaxCompletionTokens
	}
	return r.MaxTokens
}

func (m ChatMessage) text() string {
	var s string
	if err := json.Unmarshal(m.Content, &s); err != nil {
		return string(m.Content)
	}
	return s
}
