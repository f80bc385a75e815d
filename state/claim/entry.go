package claim

import (
	"time"

	"marigoldcleat.example/cleat"
)

// Bounds of what is kept.
const (
	Retention        = 24 * time.Hour                // Of an outcome, in time during which control runs.
	LeastRetention   = time.Hour                     // Of an outcome, when claims come faster than the table holds for Retention.
	MaxRunning       = cleat.MaxDeadline + time.Hour // After which a claim without an outcome is in doubt.
	MaxClaims        = 100000                        // Further claims are refused, unless the oldest outcome is past LeastRetention.
	MaxBodyBytes     = 16 << 10                      // Of one recorded answer; larger bodies are cut.
	MaxHeaderFields  = 32                            // Of one recorded answer.
	MaxHeaderBytes   = 4 << 10                       // Of one recorded answer.
	MaxAnswerBytes   = 32 << 20                      // Of all recorded bodies; the oldest are cut first.
	MaxKeyBytes      = 256
	MaxDigestBytes   = 64
	maxAbandonedKept = 8
)

// state is where a claim stands in the table.
type state uint8

const (
	stateRunning state = iota + 1
	stateInDoubt
	stateDone
	stateFree // Nobody holds it; kept to refuse late copies of abandoned requests.
)

func (s state) public() cleat.ClaimState {
	switch s {
	case stateRunning:
		return cleat.ClaimRunning
	case stateDone:
		return cleat.ClaimDone
	}
	return cleat.ClaimInDoubt
}

// name identifies a claim.
type name struct {
	workspace cleat.WorkspaceID
	key       string
}

// entry is one claim.
type entry struct {
	state     state
	request   cleat.RequestID
	holder    Holder
	digest    string
	since     time.Duration // When it was granted or settled.
	settled   uint64        // Place in the order of settling, zero while running.
	answer    cleat.RecordedAnswer
	abandoned []cleat.RequestID // Requests that are never granted it again.
}

func (e *entry) hasAbandoned(id cleat.RequestID) bool {
	for _, other := range e.abandoned {
		if other == id {
			return true
		}
	}
	return false
}

func (e *entry) abandon(id cleat.RequestID) {
	if e.hasAbandoned(id) {
		return
	}
	e.abandoned = append(e.abandoned, id)
	if len(e.abandoned) > maxAbandonedKept {
		e.abandoned = append([]cleat.RequestID(nil), e.abandoned[1:]...)
	}
}

// Trim cuts an answer to what is recorded.
func Trim(a cleat.RecordedAnswer) cleat.RecordedAnswer {
	if len(a.Body) > MaxBodyBytes {
		a.Body, a.BodyOmitted = nil, true
	}
	size := 0
	for i, h := range a.Header {
		size += len(h.Name) + len(h.Value)
		if i >= MaxHeaderFields || size > MaxHeaderBytes {
			a.Header = a.Header[:i]
			break
		}
	}
	return a
}
