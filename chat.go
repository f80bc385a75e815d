package cleat

import (
	"encoding/json"
	"strings"

	"github.com/gravitational/trace"
)

// ChatPath is the path of model calls in the chat/completions form.
const ChatPath = "/v1/chat/completions"

// ChatRequest is what the fleet reads of a model call; the body passes on unchanged.
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
	Content json.RawMessage `json:"content"` // A string or a list of parts.
}

// ParseChat reads a model call, or returns a trace.BadParameter error.
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

// Prompt returns the text of all messages, as prefix digests cover it.
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

// TokenLimit returns the most output tokens that the caller accepts, zero when it set none.
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
