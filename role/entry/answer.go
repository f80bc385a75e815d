package entry

import (
	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/stand/assert"
)

// answer puts the parts of one attempt's answer together in order.
type answer struct {
	attempt     cleat.Attempt
	agent       cleat.InstanceID
	incarnation cleat.Incarnation
	upstream    cleat.UpstreamID
	maxPending  int

	headed  bool
	status  int
	header  []cleat.HeaderField
	next    uint64 // Offset of the next byte expected.
	pieces  [][]byte
	pending int // Bytes in pieces.
	ended   bool
	outcome cleat.Outcome
	asked   bool // For a resend from next, not yet followed by an accepted part.
	dropped bool // A part for lack of room; to be asked for once there is some.
}

// piece is what of an answer arrived since the last piece.
type piece struct {
	attempt cleat.Attempt
	status  int // Zero while the head has not arrived.
	header  []cleat.HeaderField
	data    [][]byte
	next    uint64 // Offset after data.
	ended   bool
	outcome cleat.Outcome
	resume  bool // Parts were dropped for lack of room; there is some now.
}

// add takes a part, drops what it has already and reports whether the agent
// must be asked to send again from next.
func (a *answer) add(p *cleat.Part) (resume bool) {
	if a.ended {
		return false
	}
	if p.Offset > a.next || (a.dropped && p.Offset == a.next) {
		return a.ask()
	}
	end := p.Offset + uint64(len(p.Data))
	if end < a.next {
		return false
	}
	fresh := p.Data[a.next-p.Offset:]
	if a.pending > 0 && a.pending+len(fresh) > a.maxPending {
		a.dropped = true
		return false
	}
	if !a.takeHead(p, len(fresh)) {
		return false
	}
	a.takeData(fresh, end)
	if p.End {
		a.ended = true
		a.outcome = p.Outcome
	}
	return false
}

func (a *answer) ask() bool {
	if a.asked || a.dropped {
		return false
	}
	a.asked = true
	return true
}

// takeHead notes status and header; an answer that starts without them, or
// ends well without them, failed.
func (a *answer) takeHead(p *cleat.Part, fresh int) bool {
	if a.headed {
		return true
	}
	if p.Status == 0 {
		if fresh > 0 || (p.End && p.Outcome.Kind == cleat.OutcomeDone) {
			a.fail()
			return false
		}
		return true
	}
	a.headed = true
	a.status = p.Status
	a.header = p.Header
	return true
}

func (a *answer) fail() {
	a.ended = true
	a.outcome = cleat.Outcome{Kind: cleat.OutcomeFailed, Reason: cleat.ReasonUpstreamFailed}
}

func (a *answer) takeData(fresh []byte, end uint64) {
	if end != a.next+uint64(len(fresh)) {
		assert.Fail("part-in-order", "%s goes on from %d to %d with %d bytes", a.attempt, a.next, end, len(fresh))
	}
	a.asked = false
	a.next = end
	if len(fresh) > 0 {
		a.pieces = append(a.pieces, fresh)
		a.pending += len(fresh)
	}
}

// take removes what arrived; the head stays for the first piece that is written.
func (a *answer) take() piece {
	p := piece{
		attempt: a.attempt,
		status:  a.status,
		header:  a.header,
		data:    a.pieces,
		next:    a.next,
		ended:   a.ended,
		outcome: a.outcome,
		resume:  a.dropped,
	}
	a.pieces = nil
	a.pending = 0
	if a.dropped {
		a.dropped = false
		a.asked = true
	}
	return p
}
