package claim_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/stand/assert"
	"marigoldcleat.example/cleat/state/claim"
)

func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	assert.SetHook(func(name, msg string) { panic(name + ": " + msg) })
}

// sentClaim is one caller's request as its entry sees it.
type sentClaim struct {
	id        cleat.RequestID
	key       string
	holder    claim.Holder
	granted   bool // The entry received the grant and may have run the request; reset when it abandons the request.
	abandoned bool // The entry abandoned the request and never runs it.
	done      bool
	expires   time.Duration // Elapsed time at which the outcome may expire; zero until one is recorded.
}

// claimMachine checks that no key runs twice while claims are resent and delayed, entries
// restart and are lost, snapshots are restored and outcomes expire.
type claimMachine struct {
	table        *claim.Table
	now          time.Duration
	sent         []*sentClaim
	incarnations [3]cleat.Incarnation
}

func (m *claimMachine) holder(i int) claim.Holder {
	return claim.Holder{Instance: cleat.InstanceID(fmt.Sprint("entry", i)), Incarnation: m.incarnations[i]}
}

func (m *claimMachine) apply(c claim.Command) cleat.ClaimResult {
	c.Elapsed = m.now
	return m.table.Apply(c)
}

// mayHaveRun returns a request that may have run under the key within its retention.
func (m *claimMachine) mayHaveRun(key string) *sentClaim {
	for _, s := range m.sent {
		if s.key == key && s.granted && (s.expires == 0 || m.now < s.expires) {
			return s
		}
	}
	return nil
}

func (m *claimMachine) send(t *rapid.T, s *sentClaim) {
	r := m.apply(claim.Command{Holder: s.holder, Claim: &cleat.Claim{
		Call: 7, Workspace: "ring/desk", Key: s.key, Request: s.id, Digest: []byte("same"),
	}})
	if r.Call != 7 {
		t.Fatalf("the result is for call %d", r.Call)
	}
	other := m.mayHaveRun(s.key)
	if r.State != cleat.ClaimGranted {
		m.checkRefusal(t, s, other, r)
		return
	}
	if s.abandoned {
		t.Fatalf("%s was granted after it was abandoned", s.id)
	}
	if other != nil && other != s {
		t.Fatalf("%s was granted although %s may have run", s.id, other.id)
	}
	s.granted = true
}

func (m *claimMachine) checkRefusal(t *rapid.T, s, other *sentClaim, r cleat.ClaimResult) {
	if other != nil && other.done && r.State != cleat.ClaimNoQuorum {
		if r.State != cleat.ClaimDone || r.Answer.Status != 200 {
			t.Fatalf("%s got %s, although the outcome is recorded", s.id, r.State)
		}
	}
}

func (m *claimMachine) Claim(t *rapid.T) {
	s := &sentClaim{
		id:     cleat.RequestID(fmt.Sprint("r", len(m.sent))),
		key:    rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key"),
		holder: m.holder(rapid.IntRange(0, 2).Draw(t, "entry")),
	}
	m.sent = append(m.sent, s)
	if rapid.IntRange(0, 5).Draw(t, "delayed") > 0 {
		m.send(t, s)
	}
}

func (m *claimMachine) drawRequest(t *rapid.T) *sentClaim {
	if len(m.sent) == 0 {
		t.Skip("nothing sent")
	}
	return rapid.SampledFrom(m.sent).Draw(t, "request")
}

// Resend delivers a claim again, possibly one from an earlier incarnation of the entry.
func (m *claimMachine) Resend(t *rapid.T) {
	s := m.drawRequest(t)
	if s.granted || s.expires != 0 {
		t.Skip("the entry has its answer")
	}
	m.send(t, s)
}

// Abandon records that a request was not run, possibly before its claim arrives.
func (m *claimMachine) Abandon(t *rapid.T) {
	s := m.drawRequest(t)
	if s.expires != 0 || s.done {
		t.Skip("already ended")
	}
	s.granted, s.abandoned, s.expires = false, true, m.now+claim.Retention
	m.record(s, cleat.OutcomeNotRun)
}

func (m *claimMachine) record(s *sentClaim, o cleat.OutcomeKind) cleat.ClaimResult {
	return m.apply(claim.Command{Holder: s.holder, Outcome: &cleat.ClaimOutcome{
		Workspace: "ring/desk", Key: s.key, Request: s.id, Outcome: o, Answer: cleat.RecordedAnswer{Status: 200, Body: []byte("paid")},
	}})
}

func (m *claimMachine) End(t *rapid.T) {
	s := m.drawRequest(t)
	if !s.granted || s.expires != 0 {
		t.Skip("not running")
	}
	o := rapid.SampledFrom([]cleat.OutcomeKind{cleat.OutcomeDone, cleat.OutcomeDone, cleat.OutcomeFailed, cleat.OutcomeUnknown, cleat.OutcomeCanceled}).Draw(t, "outcome")
	s.expires = m.now + claim.Retention
	s.done = o == cleat.OutcomeDone
	r := m.record(s, o)
	if s.done && r.State != cleat.ClaimDone {
		t.Fatalf("recording %s gave %s", s.id, r.State)
	}
}

func (m *claimMachine) RestartEntry(t *rapid.T) {
	m.incarnations[rapid.IntRange(0, 2).Draw(t, "entry")]++
}

func (m *claimMachine) LoseEntry(t *rapid.T) {
	m.apply(claim.Command{Holder: m.holder(rapid.IntRange(0, 2).Draw(t, "entry")), Lost: true})
}

func (m *claimMachine) Wait(t *rapid.T) {
	m.now += time.Duration(rapid.IntRange(0, int(claim.Retention/8)).Draw(t, "wait"))
	m.apply(claim.Command{Tick: true})
}

// ClockBack proposes a smaller elapsed time, as a restarted proposer may.
func (m *claimMachine) ClockBack(*rapid.T) {
	m.table.Apply(claim.Command{Elapsed: m.now / 2, Tick: true})
}

func (m *claimMachine) Restore(t *rapid.T) {
	image, err := m.table.Marshal()
	if err != nil {
		t.Fatal(err)
	}
	restored := claim.NewTable()
	if err := restored.Unmarshal(image); err != nil {
		t.Fatal(err)
	}
	if again, err := restored.Marshal(); err != nil || string(again) != string(image) {
		t.Fatalf("a restored table differs (%v)", err)
	}
	m.table = restored
}

func (m *claimMachine) Check(*rapid.T) {}

func TestClaimMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &claimMachine{table: claim.NewTable(), incarnations: [3]cleat.Incarnation{1, 1, 1}}
		t.Repeat(rapid.StateMachineActions(m))
	})
}

func BenchmarkApply(b *testing.B) {
	table := claim.NewTable()
	h := claim.Holder{Instance: "entry", Incarnation: 1}
	for i := 0; b.Loop(); i++ {
		id := cleat.RequestID(fmt.Sprint(i))
		c := &cleat.Claim{Workspace: "ring/desk", Key: string(id), Request: id}
		table.Apply(claim.Command{Elapsed: time.Duration(i) * time.Second, Holder: h, Claim: c})
		o := &cleat.ClaimOutcome{Workspace: "ring/desk", Key: string(id), Request: id, Outcome: cleat.OutcomeDone}
		table.Apply(claim.Command{Elapsed: time.Duration(i) * time.Second, Holder: h, Outcome: o})
	}
}
