package cleat

import (
	"net/http"
	"time"
)

// PrefixBlock is a block of a prompt's prefix, which upstreams may have cached.
type PrefixBlock struct {
	Digest uint64 // Of this block and all blocks before it.
	ID     uint64 // Of this block alone, whatever comes before it.
	Tokens int
}

// Prompt describes the input and output tokens of a request to a model engine.
type Prompt struct {
	Model          ModelID
	Blocks         []PrefixBlock // In order; the last block is specific to the request or its session.
	Tokens         int           // Of the complete prompt.
	MaxOutput      int           // Maximum tokens of the answer; zero when not stated.
	ExpectedOutput int           // Tokens of the answer as estimated by the caller; zero when not stated.
}

// SharedBlocks returns the blocks that other requests may share: all but the last.
func (p *Prompt) SharedBlocks() []PrefixBlock {
	if p == nil || len(p.Blocks) == 0 {
		return nil
	}
	return p.Blocks[:len(p.Blocks)-1]
}

// RequestInfo holds what a caller states about its request in header fields.
type RequestInfo struct {
	ID           RequestID
	TimeLeft     time.Duration // How long the caller will wait; zero when not stated.
	WorkspaceKey string        // Empty when the request has none.
	Prompt       *Prompt       // Nil when the request describes no prompt.
	LastEvent    string        // Event after which to resume a stream; empty for a new stream.
	Resumes      RequestID     // Request that received the first event of the resumed stream; empty for a new stream.
}

// AnswerInfo holds what an upstream states about its answer in header fields.
type AnswerInfo struct {
	ID           RequestID
	HasSignature bool // The answer carries the signature field of an upstream.
	NotRun       bool // The upstream did not run the request.
	Encoded      bool // The body has a content coding, which no caller requested.

	RateLimit    float64 // Requests a second that the upstream takes from all entries together; zero when it names no limit.
	BadRateLimit string  // A limit that can't be read, possibly shortened; empty when there is none.

	Leaving    bool          // The upstream shuts down and wants no further requests.
	RetryAfter time.Duration // How long the upstream, which refuses the request, wants no further ones from this entry; zero when it names no time.
	BadNotice  string        // A value of one of these two that can't be read, possibly shortened; empty when there is none.

	WarmUp time.Duration // How long the upstream is still cold; zero when it is warm or doesn't say.

	HasLoad  bool // The fields below are set.
	Running  int
	Waiting  int
	Slots    int
	Slowness float64 // How long work takes on the upstream's machine at this moment, as a factor of the usual time; zero when not stated.
	BadLoad  string  // A load that can't be read completely, possibly shortened; empty when there is none.
}

// OutgoingInfo holds what the fleet adds to the header of a request to an upstream.
type OutgoingInfo struct {
	Workspace WorkspaceID   // Empty on public routes.
	Upstream  UpstreamID    // The only upstream that may run the request.
	TimeLeft  time.Duration // Time until the deadline, at which the upstream stops.
	LastEvent string        // Event after which to resume a stream; empty for a new stream.
	FetchFrom string        // Address of the upstream from which to fetch cached prefix blocks; empty for none.
}

// Dialect decodes and encodes the header fields of requests and answers.
type Dialect interface {
	// ReadRequest decodes the header of a caller's request.
	ReadRequest(h http.Header) RequestInfo
	// ReadAnswer decodes the header of an upstream's answer.
	ReadAnswer(h http.Header) AnswerInfo
	// WriteRequest turns the header of a caller's request into that for an upstream: it sets
	// the fields of o and removes hop-by-hop fields and those that callers may not set.
	WriteRequest(h http.Header, o OutgoingInfo)
	// CleanAnswer removes the hop-by-hop fields from the header of an upstream's answer.
	CleanAnswer(h http.Header)
}
