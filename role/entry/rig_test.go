package entry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/link/wire"
	"marigoldcleat.example/cleat/role/entry"
	"marigoldcleat.example/cleat/role/telem"
)

const (
	workspaceKey     = "secret-key"
	testTimeout      = 20 * time.Second
	chatBody         = `{"model":"draft","stream":true,"messages":[{"role":"user","content":"hi"}]}`
	agentIncarnation = cleat.Incarnation(7)
	entryIncarnation = cleat.Incarnation(3)
	agentID          = cleat.InstanceID("agent-1")
	maxWaiting       = 2

	receiveBufferBytes = 16 << 10
)

// rig is an entry with callers on loopback, a scripted agent and fake claims.
type rig struct {
	entry  *entry.Entry
	agent  *agent
	claims *fakeClaims
	client *http.Client
	done   chan error
}

func settings(limits cleat.Limits) *cleat.Fleet {
	limits.Defaults()
	ws := cleat.Workspace{ID: "team/a", Share: 1, KeyHashes: []string{cleat.HashKey(workspaceKey)}, MaxWaiting: maxWaiting}
	rules := []cleat.Rule{
		{Name: "late", Order: 1, PathPrefix: "/late", Kind: cleat.KindPlain, Model: "desk", Repeatable: true, Deadline: 0.05},
		{Name: "absent", Order: 1, PathPrefix: "/absent", Kind: cleat.KindPlain, Model: "nobody", Repeatable: true},
		{Name: "pay", Order: 1, PathPrefix: "/pay", Kind: cleat.KindPlain, Model: "desk"},
		{Name: "page", Order: 1, PathPrefix: "/page", Kind: cleat.KindPlain, Model: "desk", Repeatable: true},
		{Name: "draft", Order: 1, PathPrefix: cleat.ChatPath, RequestModel: "draft", Repeatable: true},
	}
	for i := range rules {
		rules[i].Defaults()
	}
	return cleat.NewFleet(1, cleat.NewWorkspaces([]cleat.Workspace{ws}), cleat.NewRules(rules), nil, limits)
}

func newRig(change ...func(cfg *entry.Config, limits *cleat.Limits)) *rig {
	var cfg entry.Config
	var limits cleat.Limits
	cfg.Queue.ResumeGrace = 50 * time.Millisecond
	for _, f := range change {
		f(&cfg, &limits)
	}
	return startRig(cfg, cleat.NewStaticFleet(settings(limits)))
}

func startRig(cfg entry.Config, fleet cleat.FleetSource) *rig {
	logger := log.New(GinkgoWriter)
	logger.SetLevel(log.DebugLevel)
	r := &rig{claims: newFakeClaims(), done: make(chan error, 1), client: &http.Client{Transport: &http.Transport{}}}
	var err error
	r.entry, err = entry.New(cfg, "127.0.0.1:0", entry.Dependencies{
		Self:    cleat.Peer{Instance: "entry-1", Incarnation: entryIncarnation, Role: cleat.RoleEntry},
		Fleet:   fleet,
		Claims:  r.claims,
		Clock:   cleat.SystemClock{},
		Rand:    rand.New(rand.NewSource(1)),
		Log:     logger,
		Metrics: telem.NewMetrics(cleat.RoleEntry, logger),
	})
	Expect(err).NotTo(HaveOccurred())
	go func() { r.done <- r.entry.Run() }()
	DeferCleanup(func() {
		r.entry.Close()
		r.client.CloseIdleConnections()
	})
	return r
}

// connectAgent connects a scripted agent that handles each dispatch by calling run.
func (r *rig) connectAgent(run func(a *agent, d *cleat.Dispatch)) *agent {
	r.agent = &agent{run: run, incarnation: agentIncarnation}
	r.agent.connect(r.entry)
	Eventually(func() bool { ok, _ := r.entry.Ready(); return ok }, testTimeout).Should(BeTrue())
	return r.agent
}

func (r *rig) url(path string) string { return "http://" + r.entry.Addr() + path }

func (r *rig) request(method, path, body string, header ...string) *http.Request {
	req, err := http.NewRequest(method, r.url(path), strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+workspaceKey)
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	return req
}

// roundTrip sends a request and reads the complete answer.
func (r *rig) roundTrip(req *http.Request) (*http.Response, string) {
	res, err := r.client.Do(req)
	Expect(err).NotTo(HaveOccurred())
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	Expect(err).NotTo(HaveOccurred())
	return res, string(b)
}

// roundTripAsync sends a request and delivers its complete answer on a channel.
func (r *rig) roundTripAsync(req *http.Request) <-chan result {
	c := make(chan result, 1)
	go func() {
		res, err := r.client.Do(req)
		if err != nil {
			c <- result{err: err}
			return
		}
		defer res.Body.Close()
		b, err := io.ReadAll(res.Body)
		c <- result{status: res.StatusCode, header: res.Header, body: string(b), err: err}
	}()
	return c
}

type result struct {
	status int
	header http.Header
	body   string
	err    error
}

func (r result) refusal() entry.RefusalDetail {
	var b entry.RefusalBody
	Expect(json.Unmarshal([]byte(r.body), &b)).To(Succeed(), r.body)
	return b.Error
}

func (r *rig) running() (n uint32) {
	for _, s := range r.entry.Status() {
		n += s.Running
	}
	return n
}

func (r *rig) waiting() (n uint32) {
	for _, s := range r.entry.Status() {
		n += s.Waiting
	}
	return n
}

// agent is a scripted agent: it grants every offer and handles dispatches by run.
type agent struct {
	run         func(a *agent, d *cleat.Dispatch)
	incarnation cleat.Incarnation

	mu               sync.Mutex
	link             cleat.Link
	lastGrantID      uint64
	lastStateSeq     uint64
	withholdGrants   bool // Ignores offers.
	received         []cleat.Message
	ackedOffset      uint64
	closeAfterBodies int         // Number of Body messages after which it closes the link, once; 0 means never.
	resumeOffsets    chan uint64 // Receives the requested offsets, when set.
}

// stream sends an answer of n bytes, with at most about window bytes not yet
// acknowledged, until it is complete or cancelled. It returns the bytes sent.
func (a *agent) stream(attempt cleat.Attempt, piece string, n, window uint64) (sent uint64) {
	a.send(headPart(attempt, "text/plain"))
	for sent < n && len(messages[*cleat.Cancel](a)) == 0 {
		a.mu.Lock()
		room := a.ackedOffset+window > sent
		a.mu.Unlock()
		if !room {
			time.Sleep(time.Millisecond)
			continue
		}
		a.send(dataPart(attempt, int(sent), piece))
		sent += uint64(len(piece))
	}
	if sent >= n {
		a.send(endPart(attempt, int(sent), cleat.OutcomeDone))
	}
	return sent
}

func (a *agent) connect(e cleat.LinkHandler) {
	self := cleat.Peer{Instance: agentID, Incarnation: a.incarnation, Role: cleat.RoleAgent}
	peer := cleat.Peer{Instance: "entry-1", Incarnation: entryIncarnation, Role: cleat.RoleEntry}
	wire.Pipe(self, peer, a, e)
}

func (a *agent) LinkUp(l cleat.Link) {
	a.mu.Lock()
	a.link = l
	a.lastStateSeq++
	seq := a.lastStateSeq
	a.mu.Unlock()
	a.send(&cleat.AgentState{Incarnation: a.incarnation, Seq: seq, Upstreams: []cleat.UpstreamState{
		{Upstream: "u1", Kind: cleat.KindModel, Models: []cleat.ModelID{"draft"}, Limit: 8},
		{Upstream: "u2", Kind: cleat.KindPlain, Models: []cleat.ModelID{"desk"}, Limit: 8},
	}})
}

func (a *agent) LinkDown(cleat.Link, error) {}

func (a *agent) LinkMessage(_ cleat.Link, m cleat.Message) {
	a.mu.Lock()
	a.received = append(a.received, m)
	withholdGrants := a.withholdGrants
	if ack, ok := m.(*cleat.PartAck); ok {
		a.ackedOffset = max(a.ackedOffset, ack.Offset)
	}
	a.mu.Unlock()
	switch m := m.(type) {
	case *cleat.Offers:
		if !withholdGrants {
			a.grantOffers(m)
		}
	case *cleat.Body:
		a.mu.Lock()
		a.closeAfterBodies--
		closeLink := a.closeAfterBodies == 0
		a.mu.Unlock()
		if closeLink {
			a.closeLink()
		}
	case *cleat.Resume:
		if a.resumeOffsets != nil {
			a.resumeOffsets <- m.Offset
		}
	case *cleat.Dispatch:
		if a.run != nil && !m.BodyMore {
			go a.run(a, m)
		}
	}
}

func (a *agent) grantOffers(m *cleat.Offers) {
	for _, o := range m.Offers {
		upstream := cleat.UpstreamID("u1")
		if o.Stream.Kind == cleat.KindPlain {
			upstream = "u2"
		}
		for range o.Waiting {
			a.mu.Lock()
			a.lastGrantID++
			g := cleat.Grant{ID: a.lastGrantID, Stream: o.Stream, Upstream: upstream, Lifetime: time.Minute}
			a.mu.Unlock()
			a.send(&cleat.Grants{Incarnation: a.incarnation, Grants: []cleat.Grant{g}})
		}
	}
}

func (a *agent) send(m cleat.Message) {
	a.mu.Lock()
	l := a.link
	a.mu.Unlock()
	// Some scripts close the link, so that sends fail.
	_ = l.Send(m)
}

func (a *agent) closeLink() {
	a.mu.Lock()
	l := a.link
	a.mu.Unlock()
	Expect(l.Close()).To(Succeed())
}

// messages returns the messages of one type that the agent received.
func messages[T cleat.Message](a *agent) []T {
	a.mu.Lock()
	defer a.mu.Unlock()
	var list []T
	for _, m := range a.received {
		if t, ok := m.(T); ok {
			list = append(list, t)
		}
	}
	return list
}

func headPart(a cleat.Attempt, contentType string) *cleat.Part {
	return &cleat.Part{Attempt: a, Status: http.StatusOK, Header: []cleat.HeaderField{{Name: "Content-Type", Value: contentType}}}
}

func dataPart(a cleat.Attempt, offset int, data string) *cleat.Part {
	return &cleat.Part{Attempt: a, Offset: uint64(offset), Data: []byte(data)}
}

func endPart(a cleat.Attempt, offset int, kind cleat.OutcomeKind) *cleat.Part {
	return &cleat.Part{Attempt: a, Offset: uint64(offset), End: true, Outcome: cleat.Outcome{Kind: kind}}
}

// answerWith returns a script that answers every dispatch completely with body.
func answerWith(body string) func(a *agent, d *cleat.Dispatch) {
	return func(a *agent, d *cleat.Dispatch) {
		p := headPart(d.Attempt, "text/plain")
		p.Data = []byte(body)
		a.send(p)
		a.send(endPart(d.Attempt, len(body), cleat.OutcomeDone))
	}
}

// fakeClaims is an in-memory replacement for the control quorum.
type fakeClaims struct {
	mu       sync.Mutex
	held     map[string]cleat.Claim
	scripted map[string]cleat.ClaimResult // By key; these take precedence over held.
	outcomes []cleat.ClaimOutcome
}

func newFakeClaims() *fakeClaims {
	return &fakeClaims{held: make(map[string]cleat.Claim), scripted: make(map[string]cleat.ClaimResult)}
}

func (c *fakeClaims) Claim(m cleat.Claim, _ time.Time) cleat.ClaimResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	if res, ok := c.scripted[m.Key]; ok {
		return res
	}
	first, ok := c.held[m.Key]
	if !ok {
		c.held[m.Key] = m
		return cleat.ClaimResult{State: cleat.ClaimGranted}
	}
	for _, o := range c.outcomes {
		if o.Key == m.Key && o.Outcome == cleat.OutcomeDone {
			return cleat.ClaimResult{State: cleat.ClaimDone, Answer: o.Answer, Mismatch: !bytes.Equal(first.Digest, m.Digest)}
		}
	}
	return cleat.ClaimResult{State: cleat.ClaimRunning, Mismatch: !bytes.Equal(first.Digest, m.Digest)}
}

func (c *fakeClaims) Record(o cleat.ClaimOutcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes = append(c.outcomes, o)
}

func (c *fakeClaims) recorded() []cleat.OutcomeKind {
	c.mu.Lock()
	defer c.mu.Unlock()
	var kinds []cleat.OutcomeKind
	for _, o := range c.outcomes {
		kinds = append(kinds, o.Outcome)
	}
	return kinds
}

// dialWithSmallBuffer connects with a small receive buffer, so that the entry's
// writes block soon when the caller reads nothing.
func dialWithSmallBuffer(ctx context.Context, network, addr string) (net.Conn, error) {
	conn, err := new(net.Dialer).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return conn, conn.(*net.TCPConn).SetReadBuffer(receiveBufferBytes)
}

func withCancel(req *http.Request) (*http.Request, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	return req.WithContext(ctx), cancel
}
