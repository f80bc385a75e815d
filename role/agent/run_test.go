package agent_test

import (
	"bytes"
	"errors"
	"flag"
	"math/rand"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/role/agent"
)

// recordingLink keeps copies of the parts sent on it, and fails sends while it is down.
type recordingLink struct {
	parts []cleat.Part
	down  bool
}

func (l *recordingLink) Peer() cleat.Peer { return cleat.Peer{Instance: "entry1"} }

func (l *recordingLink) Send(m cleat.Message) error {
	if l.down {
		return errors.New("down")
	}
	p := *m.(*cleat.Part)
	p.Data = bytes.Clone(p.Data)
	l.parts = append(l.parts, p)
	return nil
}

func (l *recordingLink) Close() error { return nil }

// runModel is a state machine of one run and its entry, driven by rapid.
type runModel struct {
	run      agent.Run
	link     *recordingLink
	written  []byte
	got      []byte
	status   int
	finished bool
	ended    bool
	acked    uint64
}

const maxBufferBytes = 1000

func (m *runModel) write(t *rapid.T) {
	if n := rapid.IntRange(0, 400).Draw(t, "bytes"); !m.finished && n <= m.run.FreeBytes() {
		b := make([]byte, n)
		rand.New(rand.NewSource(int64(len(m.written)))).Read(b)
		m.written = append(m.written, b...)
		if err := m.run.Write(b); err != nil {
			t.Fatal(err)
		}
	}
}

// deliver delivers one of the next three parts to the entry. The part may stay on the
// link and be delivered again.
func (m *runModel) deliver(t *rapid.T) {
	if len(m.link.parts) == 0 {
		return
	}
	i := rapid.IntRange(0, min(2, len(m.link.parts)-1)).Draw(t, "part")
	p := m.link.parts[i]
	if rapid.IntRange(0, 3).Draw(t, "again") > 0 {
		m.link.parts = append(m.link.parts[:i], m.link.parts[i+1:]...)
	}
	if p.Offset != uint64(len(m.got)) || m.ended {
		return
	}
	m.status = max(m.status, p.Status)
	m.got = append(m.got, p.Data...)
	m.ended = p.End
}

func (m *runModel) ack(t *rapid.T) {
	offset := rapid.Uint64Range(0, uint64(len(m.got))).Draw(t, "offset")
	m.acked = max(m.acked, offset)
	if m.run.Ack(offset, m.ended && offset == uint64(len(m.got))) && !m.ended {
		t.Fatal("fully acknowledged before the entry had the complete answer")
	}
}

func (m *runModel) cut(*rapid.T) {
	m.link.down = true
	m.run.Detach(m.link, time.Unix(1, 0))
}

func (m *runModel) resume(t *rapid.T) {
	if m.ended {
		return
	}
	m.link = &recordingLink{}
	if !m.run.Resume(m.link, uint64(len(m.got))) {
		t.Fatalf("resume refused at offset %d, acknowledged up to %d", len(m.got), m.acked)
	}
}

func (m *runModel) finish(*rapid.T) {
	if !m.finished && len(m.written) > 2000 {
		m.finished = true
		m.run.Finish()
	}
}

func (m *runModel) check(t *rapid.T) {
	if m.run.FreeBytes() < 0 {
		t.Fatal("the buffer exceeds its bound")
	}
	if !bytes.HasPrefix(m.written, m.got) {
		t.Fatal("the entry received bytes that differ from those written")
	}
	if m.ended && (len(m.got) != len(m.written) || m.status != 200) {
		t.Fatal("the answer ended before it was complete, or without its status")
	}
}

var _ = Describe("run", func() {
	BeforeEach(func() {
		for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
			if f := flag.Lookup(name); f != nil && f.Value.String() == f.DefValue {
				Expect(f.Value.Set(value)).To(Succeed())
			}
		}
	})

	It("delivers every byte to the entry exactly once despite lost links, reordering, duplicates and resumptions", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			link := &recordingLink{}
			m := &runModel{run: agent.NewRun(link, maxBufferBytes, time.Unix(1, 0)), link: link}
			m.run.SetStatus(200)
			t.Repeat(map[string]func(*rapid.T){
				"write": m.write, "deliver": m.deliver, "ack": m.ack, "cut": m.cut, "resume": m.resume, "finish": m.finish, "": m.check,
			})
			for !m.ended {
				m.finished = true
				m.run.Finish()
				m.resume(t)
				for _, p := range m.link.parts {
					if p.Offset == uint64(len(m.got)) && !m.ended {
						m.status, m.got, m.ended = max(m.status, p.Status), append(m.got, p.Data...), p.End
					}
				}
				m.check(t)
			}
			Expect(m.got).To(Equal(append([]byte{}, m.written...)))
		})
	})
})

// An agent panicked when such a run ended: the offset of what was sent lay before the buffer.
var _ = Describe("A run that may not be repeated", func() {
	It("ends after its answer is abandoned with unsent bytes", func() {
		l := &recordingLink{}
		r := agent.NewUnrepeatableRun(l, maxBufferBytes, time.Unix(1e9, 0))
		Expect(r.WriteLast([]byte("abc"))).To(Succeed())
		r.Abandon(errors.New("the caller left"))
		r.Finish()
		Expect(l.parts).To(HaveLen(1))
		Expect(l.parts[0].End).To(BeTrue())
		Expect(l.parts[0].Data).To(BeEmpty())
	})
})
