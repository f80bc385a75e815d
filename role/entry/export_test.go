package entry

import "marigoldcleat.example/cleat"

// Answer puts the parts of an answer together.
type Answer struct {
	a answer
}

// NewAnswer returns an answer without parts.
func NewAnswer(a cleat.Attempt, maxPending int) *Answer {
	return &Answer{a: answer{attempt: a, maxPending: maxPending}}
}

// Add takes a part and reports whether it must be sent again from Next.
func (a *Answer) Add(p *cleat.Part) bool { return a.a.add(p) }

// Next returns the offset of the next byte expected.
func (a *Answer) Next() uint64 { return a.a.next }

// Pending returns the bytes that were not taken yet.
func (a *Answer) Pending() int { return a.a.pending }

// Take returns what arrived, whether the answer ended well, and whether it must
// be sent again from Next.
func (a *Answer) Take() (data []byte, done, resume bool) {
	p := a.a.take()
	for _, b := range p.data {
		data = append(data, b...)
	}
	return data, p.ended && p.outcome.Kind == cleat.OutcomeDone, p.resume
}
