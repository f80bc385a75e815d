package cleat

import (
	"net/http"
	"time"
)

// PromptPart is a part of a prompt that upstreams may have cached.
type PromptPart struct {
	Digest uint64 // Of this part and all parts before it.
	Tokens int
}

// Prompt describes what an engine reads and writes for a request.
type Prompt struct {
	Model     ModelID
	Parts     []PromptPart // In order; the last one belongs to the request or its session.
	Tokens    int          // Of the whole prompt.
	MaxOutput int          // Tokens that the answer may have; zero when not stated.
	Expected  int          // Tokens that the caller expects in the answer; zero when not stated.
}

// RequestInfo is what a caller says of its request in header fields.
type RequestInfo struct {
	ID        RequestID
	TimeLeft  time.Duration // For which the caller waits; zero when not stated.
	Key       string        // Of the workspace; empty when there is none.
	Prompt    *Prompt       // Nil when the request names none.
	LastEvent string        // The event after which a stream is to go on; empty for a new one.
}

// AnswerInfo is what an upstream says of its answer in header fields.
type AnswerInfo struct {
	ID      RequestID
	Stamped bool // It bears an upstream's signature.
	NotRun  bool // The upstream did not run the request.
	Encoded bool // The body has a content coding, which no caller asked for.

	HasLoad bool // The fields below are set.
	Running int
	Waiting int
	Slots   int
}

// OutgoingInfo is what the fleet tells an upstream of a request.
type OutgoingInfo struct {
	Workspace WorkspaceID   // Empty on public routes.
	Upstream  UpstreamID    // The only one that may run the request.
	TimeLeft  time.Duration // After which the upstream stops.
	LastEvent string        // The event after which a stream goes on; empty for a new one.
}

// Dialect reads and writes the header fields of callers and upstreams.
type Dialect interface {
	// ReadRequest reads a caller's fields.
	ReadRequest(h http.Header) RequestInfo
	// ReadAnswer reads an upstream's fields.
	ReadAnswer(h http.Header) AnswerInfo
	// WriteRequest turns a caller's fields into those for an upstream: it sets what the fleet
	// tells and drops what callers may not set and what concerns one connection only.
	WriteRequest(h http.Header, o OutgoingInfo)
	// CleanAnswer drops from an upstream's fields what concerns its connection only.
	CleanAnswer(h http.Header)
}
