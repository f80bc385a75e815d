package entry

import (
	"net/http"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/link/upconn"
	"marigoldcleat.example/cleat/stand/assert"
)

// answer reassembles the answer of one attempt from its parts, in order.
type answer struct {
	attempt         cleat.Attempt
	agent           cleat.InstanceID
	incarnation     cleat.Incarnation
	upstream        cleat.UpstreamID
	maxPendingBytes int

	hasHead         bool
	status          int
	header          []cleat.HeaderField
	nextOffset      uint64 // Offset of the next byte expected.
	chunks          [][]byte
	pendingBytes    int // Total size of chunks.
	ended           bool
	outcome         cleat.Outcome
	resumeRequested bool // A resend from nextOffset was requested and no part was accepted since.
	overflowed      bool // A part was dropped because the buffer was full; requested again once the buffer is read.
}

// piece is the part of an answer that arrived since the last call of takePiece.
type piece struct {
	attempt    cleat.Attempt
	status     int // Zero until the head arrives.
	header     []cleat.HeaderField
	chunks     [][]byte
	nextOffset uint64 // Offset of the byte after chunks.
	ended      bool
	outcome    cleat.Outcome
	resume     bool // Parts were dropped because the buffer was full; request them again from nextOffset.
}

// addPart appends the bytes of a part that have not arrived before, and reports
// whether the agent must resend from nextOffset.
func (a *answer) addPart(p *cleat.Part) (resume bool) {
	if a.ended {
		return false
	}
	if p.Offset > a.nextOffset || (a.overflowed && p.Offset == a.nextOffset) {
		return a.requestResume()
	}
	end := p.Offset + uint64(len(p.Data))
	if end < a.nextOffset {
		return false
	}
	fresh := p.Data[a.nextOffset-p.Offset:]
	if a.pendingBytes > 0 && a.pendingBytes+len(fresh) > a.maxPendingBytes {
		a.overflowed = true
		return false
	}
	if !a.acceptHead(p, len(fresh)) {
		return false
	}
	a.appendData(fresh, end)
	if p.End {
		a.ended = true
		a.outcome = p.Outcome
	}
	return false
}

func (a *answer) requestResume() bool {
	if a.resumeRequested || a.overflowed {
		return false
	}
	a.resumeRequested = true
	return true
}

// acceptHead stores status and header and reports whether the part may be
// appended. The answer fails if body bytes or a successful end arrive before the
// status, or if that can't be the status of an answer.
func (a *answer) acceptHead(p *cleat.Part, newBytes int) bool {
	if a.hasHead {
		return true
	}
	if p.Status == 0 {
		if newBytes > 0 || (p.End && p.Outcome.Kind == cleat.OutcomeDone) {
			a.fail()
			return false
		}
		return true
	}
	if p.Status < http.StatusOK || p.Status > upconn.MaxStatus { // From an agent of a build that doesn't check it.
		a.fail()
		return false
	}
	a.hasHead = true
	a.status = p.Status
	a.header = p.Header
	return true
}

func (a *answer) fail() {
	a.ended = true
	a.outcome = cleat.Outcome{Kind: cleat.OutcomeFailed, Reason: cleat.ReasonUpstreamFailed}
}

func (a *answer) appendData(fresh []byte, end uint64) {
	if end != a.nextOffset+uint64(len(fresh)) {
		assert.Fail("part-in-order", "%s advances from offset %d to %d with %d bytes", a.attempt, a.nextOffset, end, len(fresh))
	}
	a.resumeRequested = false
	a.nextOffset = end
	if len(fresh) > 0 {
		a.chunks = append(a.chunks, fresh)
		a.pendingBytes += len(fresh)
	}
}

// takePiece removes and returns the buffered bytes. The head is returned each
// time, because it may not have been written to the caller yet.
func (a *answer) takePiece() piece {
	p := piece{
		attempt:    a.attempt,
		status:     a.status,
		header:     a.header,
		chunks:     a.chunks,
		nextOffset: a.nextOffset,
		ended:      a.ended,
		outcome:    a.outcome,
		resume:     a.overflowed,
	}
	a.chunks = nil
	a.pendingBytes = 0
	if a.overflowed {
		a.overflowed = false
		a.resumeRequested = true
	}
	return p
}
