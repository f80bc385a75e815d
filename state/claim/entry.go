package claim

import (
	"time"

	"marigoldcleat.example/cleat"
)

// Limits of the table; an outcome's retention is counted while control runs.
const (
	Retention         = 24 * time.Hour                // How long an outcome is kept.
	MinRetention      = time.Hour                     // How long an outcome is kept when the table is full.
	MaxRunTime        = cleat.MaxDeadline + time.Hour // A claim that has run this long without an outcome is put in doubt.
	MaxClaims         = 100000                        // Further claims are refused, unless the oldest outcome is past MinRetention.
	MaxBodyBytes      = 16 << 10                      // Per recorded answer; larger bodies are omitted.
	MaxHeaderFields   = 32                            // Per recorded answer.
	MaxHeaderBytes    = 4 << 10                       // Per recorded answer, names and values together.
	MaxTotalBodyBytes = 32 << 20                      // Total of all recorded bodies; the oldest are omitted first.
	MaxKeyBytes       = 256
	MaxDigestBytes    = 64
	maxAbandoned      = 8 // Abandoned requests kept for each claim; the oldest is dropped first.
)

// state is the state of a claim.
type state uint8

const (
	stateRunning state = iota + 1
	stateInDoubt
	stateDone
	stateFree // Has no holder; kept to refuse delayed copies of abandoned requests.
)

func (s state) claimState() cleat.ClaimState {
	switch s {
	case stateRunning:
		return cleat.ClaimRunning
	case stateDone:
		return cleat.ClaimDone
	}
	return cleat.ClaimInDoubt
}

// claimKey identifies a claim.
type claimKey struct {
	workspace cleat.WorkspaceID
	key       string
}

// tableEntry is one claim in the table.
type tableEntry struct {
	state     state
	request   cleat.RequestID
	holder    Holder
	digest    string
	since     time.Duration // Elapsed time at which it was granted or settled.
	settleSeq uint64        // Sequence number of the settlement, zero while running.
	answer    cleat.RecordedAnswer
	abandoned []cleat.RequestID // Abandoned requests, which must not be granted the claim.
}

func (e *tableEntry) hasAbandoned(id cleat.RequestID) bool {
	for _, other := range e.abandoned {
		if other == id {
			return true
		}
	}
	return false
}

func (e *tableEntry) addAbandoned(id cleat.RequestID) {
	if e.hasAbandoned(id) {
		return
	}
	e.abandoned = append(e.abandoned, id)
	if len(e.abandoned) > maxAbandoned {
		e.abandoned = append([]cleat.RequestID(nil), e.abandoned[1:]...)
	}
}

// TrimAnswer reduces an answer to the part that is recorded: it omits a body and drops
// header fields beyond the limits.
func TrimAnswer(a cleat.RecordedAnswer) cleat.RecordedAnswer {
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
