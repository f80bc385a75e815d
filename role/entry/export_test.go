package entry

import "marigoldcleat.example/cleat"

// Answer exports answer for the tests.
type Answer struct {
	a answer
}

// NewAnswer returns an answer that has no parts yet.
func NewAnswer(a cleat.Attempt, maxPendingBytes int) *Answer {
	return &Answer{a: answer{attempt: a, maxPendingBytes: maxPendingBytes}}
}

// AddPart adds a part and reports whether the agent must resend from NextOffset.
func (a *Answer) AddPart(p *cleat.Part) bool { return a.a.addPart(p) }

// NextOffset returns the offset of the next byte expected.
func (a *Answer) NextOffset() uint64 { return a.a.nextOffset }

// PendingBytes returns the number of bytes received and not yet taken.
func (a *Answer) PendingBytes() int { return a.a.pendingBytes }

// TakePiece returns the bytes that arrived, whether the answer ended successfully,
// and whether the agent must resend from NextOffset.
func (a *Answer) TakePiece() (data []byte, done, resume bool) {
	p := a.a.takePiece()
	for _, b := range p.chunks {
		data = append(data, b...)
	}
	return data, p.ended && p.outcome.Kind == cleat.OutcomeDone, p.resume
}
