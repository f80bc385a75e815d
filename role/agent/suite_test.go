package agent_test

import (
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/link/wire"
	"marigoldcleat.example/cleat/role/agent"
	"marigoldcleat.example/cleat/stand/assert"
	"marigoldcleat.example/cleat/stand/fakes"
)

const waitTimeout = 20 * time.Second

func TestAgent(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "agent")
}

var _ = BeforeSuite(func() {
	DeferCleanup(assert.SetHook(func(name, msg string) { panic(name + ": " + msg) }))
})

func discardLogger() *log.Logger { return log.New(io.Discard) }

func linkConfig() wire.Config {
	return wire.Config{
		Key: []byte("0123456789abcdef"), PingInterval: 50 * time.Millisecond, PeerTimeout: 2 * time.Second,
		MinBackoff: time.Millisecond, MaxBackoff: 20 * time.Millisecond,
	}
}

// runningAgent is an agent under test.
type runningAgent struct {
	*agent.Agent
	runResult chan error
}

func startAgent(change func(c *agent.Config)) *runningAgent {
	cfg := agent.Config{
		Peer: cleat.Peer{Instance: "agent1", Incarnation: cleat.NewIncarnation(time.Now()), Role: cleat.RoleAgent, Domain: "d1"},
		Wire: linkConfig(),
	}
	if change != nil {
		change(&cfg)
	}
	a, err := agent.New(cfg, cleat.SystemClock{}, discardLogger())
	Expect(err).NotTo(HaveOccurred())
	r := &runningAgent{Agent: a, runResult: make(chan error, 1)}
	go func() { r.runResult <- a.Run() }()
	DeferCleanup(a.Close)
	return r
}

// fakeEntry is a minimal entry: it offers one request at a time, dispatches it when a
// slot is granted, and assembles its answer by the offsets of the parts.
type fakeEntry struct {
	peer         cleat.Peer
	dialer       *wire.Dialer
	withholdAcks bool // Received parts are not acknowledged.

	mu               sync.Mutex
	link             cleat.Link
	offerSeq         uint64
	grants           []cleat.Grant
	agentIncarnation cleat.Incarnation
	answers          map[cleat.Attempt]*answer
	state            *cleat.AgentState
	linkDowns        int
}

type answer struct {
	status     int
	text       []byte
	outOfOrder int
	parts      int
	ended      bool
	outcome    cleat.Outcome
	refused    *cleat.Refused
}

func startEntry(a *runningAgent, incarnation cleat.Incarnation) *fakeEntry {
	return startEntryAt(a.Addr(), incarnation)
}

func startEntryAt(addr string, incarnation cleat.Incarnation) *fakeEntry {
	e := &fakeEntry{
		peer:    cleat.Peer{Instance: "entry1", Incarnation: incarnation, Role: cleat.RoleEntry, Domain: "d1"},
		answers: make(map[cleat.Attempt]*answer),
	}
	e.dialer = wire.NewDialer(linkConfig(), func() cleat.Peer { return e.peer }, e, discardLogger())
	DeferCleanup(e.dialer.Close)
	e.dialer.AddAddress(addr)
	Eventually(e.isUp, waitTimeout).Should(BeTrue())
	return e
}

func (e *fakeEntry) isUp() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.link != nil
}

func (e *fakeEntry) LinkUp(l cleat.Link) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.link, e.offerSeq, e.agentIncarnation = l, 0, l.Peer().Incarnation
	for attempt, a := range e.answers {
		if !a.ended && a.refused == nil {
			_ = l.Send(&cleat.Resume{Attempt: attempt, Offset: uint64(len(a.text))})
		}
	}
}

func (e *fakeEntry) LinkDown(l cleat.Link, _ error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.linkDowns++
	if e.link == l {
		e.link = nil
	}
}

// upstreams returns the states of the upstreams last reported by the agent.
func (e *fakeEntry) upstreams() []cleat.UpstreamState {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.state == nil {
		return nil
	}
	return e.state.Upstreams
}

func (e *fakeEntry) linkDownCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.linkDowns
}

func (e *fakeEntry) LinkMessage(l cleat.Link, m cleat.Message) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch m := m.(type) {
	case *cleat.Grants:
		e.grants = append(e.grants, m.Grants...)
	case *cleat.AgentState:
		e.state = m
	case *cleat.Refused:
		e.answer(m.Attempt).refused = m
	case *cleat.Part:
		e.applyPart(l, m)
	}
}

func (e *fakeEntry) applyPart(l cleat.Link, m *cleat.Part) {
	a := e.answer(m.Attempt)
	a.parts++
	if m.Offset != uint64(len(a.text)) {
		a.outOfOrder++
		return
	}
	if m.Status != 0 {
		a.status = m.Status
	}
	a.text = append(a.text, m.Data...)
	if m.End {
		a.ended, a.outcome = true, m.Outcome
	}
	if !e.withholdAcks {
		_ = l.Send(&cleat.PartAck{Attempt: m.Attempt, Offset: uint64(len(a.text)), Done: m.End})
	}
}

func (e *fakeEntry) answer(attempt cleat.Attempt) *answer {
	if e.answers[attempt] == nil {
		e.answers[attempt] = &answer{}
	}
	return e.answers[attempt]
}

// answerCopy returns a copy of an attempt's answer as received so far.
func (e *fakeEntry) answerCopy(attempt cleat.Attempt) answer {
	e.mu.Lock()
	defer e.mu.Unlock()
	a := *e.answer(attempt)
	a.text = append([]byte(nil), a.text...)
	return a
}

func (e *fakeEntry) isSettled(attempt cleat.Attempt) func() bool {
	return func() bool {
		a := e.answerCopy(attempt)
		return a.ended || a.refused != nil
	}
}

func (e *fakeEntry) send(m cleat.Message) {
	e.mu.Lock()
	defer e.mu.Unlock()
	Expect(e.link).NotTo(BeNil())
	Expect(e.link.Send(m)).To(Succeed())
}

func (e *fakeEntry) closeLink() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.link != nil {
		_ = e.link.Close()
	}
}

// newOffers returns the offer of one request, which acknowledges the grants up to
// lastGrant. e.mu is held.
func (e *fakeEntry) newOffers(s cleat.Stream, lastGrant uint64) *cleat.Offers {
	e.offerSeq++
	return &cleat.Offers{Incarnation: e.peer.Incarnation, Seq: e.offerSeq, LastGrant: lastGrant, Offers: []cleat.Offer{{Stream: s, Waiting: 1, HeadCost: 10, Share: 1}}}
}

func (e *fakeEntry) sendOffer(s cleat.Stream, lastGrant uint64) {
	e.mu.Lock()
	m := e.newOffers(s, lastGrant)
	e.mu.Unlock()
	e.send(m)
}

func (e *fakeEntry) grantCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.grants)
}

// awaitGrant offers one request of the stream repeatedly until a slot is granted for it.
func (e *fakeEntry) awaitGrant(s cleat.Stream) (cleat.Grant, cleat.Incarnation) {
	GinkgoHelper()
	var g cleat.Grant
	Eventually(func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		if n := len(e.grants); n > 0 {
			g, e.grants = e.grants[n-1], nil
			return true
		}
		if e.link != nil {
			_ = e.link.Send(e.newOffers(s, 0))
		}
		return false
	}, waitTimeout, 20*time.Millisecond).Should(BeTrue())
	e.mu.Lock()
	defer e.mu.Unlock()
	return g, e.agentIncarnation
}

// dispatch waits for a grant and dispatches a request under it.
func (e *fakeEntry) dispatch(id string, s cleat.Stream, change func(d *cleat.Dispatch)) cleat.Attempt {
	GinkgoHelper()
	g, incarnation := e.awaitGrant(s)
	d := &cleat.Dispatch{
		Incarnation: incarnation, Grant: g.ID, Attempt: cleat.Attempt{Request: cleat.RequestID(id), Number: 1},
		Stream: s, Estimate: 10, Share: 1, Repeatable: true, Timeout: time.Minute,
		Method: "POST", Target: cleat.ChatPath, Body: []byte(chatBody(8)),
	}
	if change != nil {
		change(d)
	}
	e.mu.Lock()
	e.answer(d.Attempt)
	e.mu.Unlock()
	e.send(d)
	return d.Attempt
}

func chatBody(tokens int) string {
	return fmt.Sprintf(`{"model":"m","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"hi"}]}`, tokens)
}

func modelStream() cleat.Stream {
	return cleat.Stream{Workspace: "ring/desk", Class: "draft", Kind: cleat.KindModel, Model: "m"}
}

func plainStream() cleat.Stream {
	return cleat.Stream{Workspace: "ring/desk", Class: "pay", Kind: cleat.KindPlain, Model: "desk"}
}

// asAction changes a dispatch into a non-repeatable action.
func asAction(d *cleat.Dispatch) {
	d.Repeatable, d.Target, d.Body = false, "/pay", []byte("{}")
	d.Header = []cleat.HeaderField{{Name: cleat.DefaultIdempotencyHeader, Value: "k"}}
}

func startEngine(a *runningAgent, change func(c *fakes.EngineConfig)) *fakes.Engine {
	cfg := fakes.EngineConfig{ID: "e1", Models: []cleat.ModelID{"m"}, AgentURL: "http://" + a.HTTPAddr(), AnnounceInterval: 100 * time.Millisecond}
	if change != nil {
		change(&cfg)
	}
	e, err := fakes.StartEngine(cfg)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(e.Close)
	return e
}

func startPlainUpstream(a *runningAgent) *fakes.Plain {
	p, err := fakes.StartPlain(fakes.PlainConfig{ID: "p1", Pool: "desk", AgentURL: "http://" + a.HTTPAddr(), AnnounceInterval: 100 * time.Millisecond})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(p.Close)
	return p
}
