package config_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/stand/assert"
	"marigoldcleat.example/cleat/state/config"
)

func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	assert.SetHook(func(name, msg string) { panic(name + ": " + msg) })
}

var (
	rootHash = cleat.HashKey("root")
	teamHash = cleat.HashKey("team")
	start    = time.Unix(1000, 0)
)

// newState returns settings with a token for the whole fleet and one for team ring.
func newState() *config.State {
	s := config.NewState()
	mustCreateToken(s, "boot", "", config.Token{ID: "root", Subtree: "/", Write: true}, rootHash)
	mustCreateToken(s, "team", rootHash, config.Token{ID: "ring", Subtree: "/teams/ring", Write: true}, teamHash)
	return s
}

func mustCreateToken(s *config.State, op, by string, t config.Token, hash string) {
	if r := s.ApplyToken(config.TokenCommand{Operation: op, By: by, Hash: hash, Create: &t}); !r.Accepted {
		panic(r.Problem)
	}
}

type sentChange struct {
	command config.ChangeCommand
	result  cleat.ChangeResult
}

// settingsMachine compares the settings with a plain map while changes are resent or
// expect a stale revision, as concurrent changes do, snapshots are restored and nodes
// catch up from any revision.
type settingsMachine struct {
	state *config.State
	model map[string]cleat.Setting
	sent  []sentChange
	views []*config.View
}

var machinePaths = []string{
	"/teams/ring/workspaces/desk", "/teams/ring/workspaces/hall", "/teams/lots/workspaces/desk",
	"/fleet/shares/ring/desk", "/fleet/classes/draft", "/fleet/limits",
}

func drawValue(t *rapid.T, path string) json.RawMessage {
	n := rapid.IntRange(1, 4).Draw(t, "value")
	switch path {
	case "/fleet/shares/ring/desk":
		return json.RawMessage(fmt.Sprintf(`{"share":%d}`, n))
	case "/fleet/classes/draft":
		return json.RawMessage(fmt.Sprintf(`{"rank":%d}`, n))
	case "/fleet/limits":
		return json.RawMessage(fmt.Sprintf(`{"max_waiting":%d}`, n))
	}
	return json.RawMessage(fmt.Sprintf(`{"key_hashes":[%q]}`, cleat.HashKey(fmt.Sprint(n))))
}

func (m *settingsMachine) drawChange(t *rapid.T) config.ChangeCommand {
	paths := rapid.SliceOfNDistinct(rapid.SampledFrom(machinePaths), 1, 3, rapid.ID).Draw(t, "paths")
	c := config.ChangeCommand{
		Change: cleat.Change{Operation: fmt.Sprintf("op%d", len(m.sent))},
		Token:  rapid.SampledFrom([]string{rootHash, rootHash, teamHash}).Draw(t, "token"),
		At:     start,
	}
	for _, path := range paths {
		op := cleat.ChangeOp{Path: path}
		if rapid.IntRange(0, 3).Draw(t, "kind") > 0 {
			op.Value = drawValue(t, path)
		}
		if rapid.Bool().Draw(t, "expects") {
			rev := m.model[path].Revision
			if rapid.IntRange(0, 3).Draw(t, "stale") == 0 {
				rev++
			}
			op.Expected = &rev
		}
		c.Change.Ops = append(c.Change.Ops, op)
	}
	if err := config.CheckChange(&c.Change); err != nil {
		t.Fatalf("drew a malformed change: %v", err)
	}
	return c
}

// expectedResult returns the result that the model predicts for a change.
func (m *settingsMachine) expectedResult(c config.ChangeCommand) (cleat.ChangeCode, bool) {
	for _, op := range c.Change.Ops {
		if c.Token == teamHash && !config.InSubtree(op.Path, "/teams/ring") {
			return cleat.ChangeForbidden, false
		}
	}
	for _, op := range c.Change.Ops {
		if op.Expected != nil && *op.Expected != m.model[op.Path].Revision {
			return cleat.ChangeConflict, false
		}
	}
	if m.keyTaken(c.Change.Ops) {
		return cleat.ChangeInvalid, false
	}
	return "", true
}

// keyTaken reports whether two workspaces would own the same key after the writes.
func (m *settingsMachine) keyTaken(ops []cleat.ChangeOp) bool {
	after := make(map[string]string)
	for path, setting := range m.model {
		after[path] = string(setting.Value)
	}
	for _, op := range ops {
		after[op.Path] = string(op.Value)
	}
	seen := make(map[string]bool)
	for _, path := range machinePaths[:3] {
		if after[path] != "" && seen[after[path]] {
			return true
		}
		seen[after[path]] = true
	}
	return false
}

func (m *settingsMachine) Change(t *rapid.T) {
	c := m.drawChange(t)
	code, ok := m.expectedResult(c)
	before := m.state.Revision()
	r := m.state.Apply(c)
	m.sent = append(m.sent, sentChange{c, r})
	if r.Accepted != ok || r.Code != code {
		t.Fatalf("got %+v, wanted accepted %v, code %q", r, ok, code)
	}
	if !ok {
		if m.state.Revision() != before {
			t.Fatalf("a refused change changed the revision")
		}
		return
	}
	if r.Revision != before+1 {
		t.Fatalf("revision %d follows %d", r.Revision, before)
	}
	for _, op := range c.Change.Ops {
		delete(m.model, op.Path)
		if op.Value != nil {
			m.model[op.Path] = cleat.Setting{Path: op.Path, Value: op.Value, Revision: r.Revision}
		}
	}
}

func (m *settingsMachine) Resend(t *rapid.T) {
	if len(m.sent) == 0 {
		t.Skip("nothing sent")
	}
	s := rapid.SampledFrom(m.sent).Draw(t, "resent")
	s.command.At = start.Add(time.Hour)
	r := m.state.Apply(s.command)
	if r.Accepted != s.result.Accepted || r.Revision != s.result.Revision || !r.At.Equal(s.result.At) || r.Problem != s.result.Problem {
		t.Fatalf("resent change got %+v, first %+v", r, s.result)
	}
}

func (m *settingsMachine) ReuseOperation(t *rapid.T) {
	if len(m.sent) == 0 {
		t.Skip("nothing sent")
	}
	c := rapid.SampledFrom(m.sent).Draw(t, "reused").command
	c.Change.Ops = append([]cleat.ChangeOp{{Path: "/fleet/rules/extra", Value: json.RawMessage(`{}`)}}, c.Change.Ops...)
	if r := m.state.Apply(c); r.Code != cleat.ChangeReused {
		t.Fatalf("a reused operation id got %+v", r)
	}
}

func (m *settingsMachine) Restore(t *rapid.T) {
	image, err := m.state.Marshal()
	if err != nil {
		t.Fatal(err)
	}
	restored := config.NewState()
	if err := restored.Unmarshal(image); err != nil {
		t.Fatal(err)
	}
	again, err := restored.Marshal()
	if err != nil || string(again) != string(image) {
		t.Fatalf("a restored state differs (%v)", err)
	}
	m.state = restored
}

func (m *settingsMachine) CatchUp(t *rapid.T) {
	i := rapid.IntRange(0, len(m.views)-1).Draw(t, "view")
	v := m.views[i]
	delta := m.state.Delta(v.Revision())
	if !v.HasSettings() {
		delta = m.state.Delta(m.state.Revision() + 1)
		if changed, _ := v.Apply(delta); changed {
			t.Fatalf("an unconfirmed read was applied as the first state")
		}
		delta.Confirmed = true
	}
	if _, err := v.Apply(delta); err != nil {
		t.Fatal(err)
	}
	if got, want := fmt.Sprint(v.Snapshot()), fmt.Sprint(m.state.Snapshot()); got != want {
		t.Fatalf("view has %s, wanted %s", got, want)
	}
	if m.state.Revision() == 0 {
		return
	}
	older := *delta
	older.To--
	if changed, _ := v.Apply(&older); changed {
		t.Fatalf("an older message was applied")
	}
}

func (m *settingsMachine) Check(t *rapid.T) {
	for path, want := range m.model {
		if got, ok := m.state.Get(path); !ok || got.Revision != want.Revision || string(got.Value) != string(want.Value) {
			t.Fatalf("%s: got %+v, wanted %+v", path, got, want)
		}
	}
	if got := len(m.state.Snapshot().Settings); got != len(m.model) {
		t.Fatalf("%d settings, wanted %d", got, len(m.model))
	}
}

func TestSettingsMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &settingsMachine{state: newState(), model: make(map[string]cleat.Setting)}
		for range 3 {
			m.views = append(m.views, config.NewView())
		}
		t.Repeat(rapid.StateMachineActions(m))
	})
}
