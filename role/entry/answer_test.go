package entry_test

import (
	"flag"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/role/entry"
)

const answerSeed = "1701"

// answerModel is an agent that sends one answer over a bad link.
type answerModel struct {
	attempt cleat.Attempt
	whole   []byte
	flight  []*cleat.Part
	answer  *entry.Answer
	got     []byte
	done    bool
}

const modelPending = 12

func newAnswerModel(t *rapid.T) *answerModel {
	m := &answerModel{attempt: cleat.Attempt{Request: "r", Number: 1}}
	m.whole = rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(t, "whole")
	m.answer = entry.NewAnswer(m.attempt, modelPending)
	m.sendFrom(t, 0)
	return m
}

// sendFrom puts all parts from an offset in flight, cut anew.
func (m *answerModel) sendFrom(t *rapid.T, at int) {
	for {
		n := min(rapid.IntRange(1, 8).Draw(t, "n"), len(m.whole)-at)
		p := &cleat.Part{Attempt: m.attempt, Offset: uint64(at), Data: m.whole[at : at+n]}
		if at == 0 {
			p.Status = 200
		}
		at += n
		if at == len(m.whole) {
			p.End, p.Outcome = true, cleat.Outcome{Kind: cleat.OutcomeDone}
		}
		m.flight = append(m.flight, p)
		if p.End {
			return
		}
	}
}

func (m *answerModel) deliver(t *rapid.T, i int) {
	p := m.flight[i]
	m.flight = append(m.flight[:i:i], m.flight[i+1:]...)
	if m.answer.Add(p) {
		m.sendFrom(t, int(m.answer.Next()))
	}
}

func (m *answerModel) take(t *rapid.T) {
	data, done, resume := m.answer.Take()
	m.got = append(m.got, data...)
	m.done = m.done || done
	if resume {
		m.sendFrom(t, int(m.answer.Next()))
	}
}

func (m *answerModel) check(t *rapid.T) {
	if string(m.got) != string(m.whole[:len(m.got)]) {
		t.Fatalf("the caller has %q of %q", m.got, m.whole)
	}
	if m.done && len(m.got) != len(m.whole) {
		t.Fatalf("called whole with %d of %d bytes", len(m.got), len(m.whole))
	}
	if m.answer.Pending() > modelPending {
		t.Fatalf("%d bytes pending", m.answer.Pending())
	}
}

var _ = Describe("an answer over a bad link", func() {
	It("is a beginning of the whole at any time, and whole when it ends", func() {
		for name, value := range map[string]string{"rapid.seed": answerSeed, "rapid.nofailfile": "true"} {
			Expect(flag.Set(name, value)).To(Succeed())
		}
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			m := newAnswerModel(t)
			t.Repeat(map[string]func(*rapid.T){
				"deliver": func(t *rapid.T) {
					if len(m.flight) > 0 {
						m.deliver(t, rapid.SampledFrom([]int{0, 0, 0, min(3, len(m.flight)-1)}).Draw(t, "i"))
					}
				},
				"double": func(t *rapid.T) {
					if len(m.flight) > 0 && len(m.flight) < 1000 {
						m.flight = append(m.flight, m.flight[rapid.IntRange(0, len(m.flight)-1).Draw(t, "i")])
					}
				},
				"cut and resume": func(t *rapid.T) {
					m.flight = nil
					m.sendFrom(t, int(m.answer.Next()))
				},
				"take": m.take,
				"":     m.check,
			})
			for range 10*len(m.whole) + 1 {
				if m.done {
					break
				}
				m.flight = nil
				m.sendFrom(t, int(m.answer.Next()))
				for len(m.flight) > 0 {
					m.deliver(t, 0)
				}
				m.take(t)
				m.check(t)
			}
			if !m.done {
				t.Fatalf("%d of %d bytes came", len(m.got), len(m.whole))
			}
		})
	})
})
