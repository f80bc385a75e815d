package config_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/state/config"
)

// newFullState returns settings of the planned fleet size: 2,800 workspaces with shares.
func newFullState(b *testing.B) *config.State {
	s := newState()
	for i := range 2800 {
		name := fmt.Sprintf("team%03d/ws%d", i%280, i)
		c := cleat.Change{Operation: fmt.Sprint("fill", i), Ops: []cleat.ChangeOp{
			{Path: "/teams/" + name[:7] + "/workspaces/" + name[8:], Value: json.RawMessage(fmt.Sprintf(`{"key_hashes":[%q],"max_waiting":500}`, cleat.HashKey(name)))},
			{Path: "/fleet/shares/" + name, Value: json.RawMessage(`{"share":2}`)},
		}}
		if r := s.Apply(config.ChangeCommand{Change: c, Token: rootHash, At: start}); !r.Accepted {
			b.Fatal(r.Problem)
		}
	}
	return s
}

func changeShares(s *config.State, n int) {
	for i := range n {
		path := fmt.Sprintf("/fleet/shares/team%03d/ws%d", i%280, i)
		c := cleat.Change{Operation: fmt.Sprint("touch", s.Revision(), i), Ops: []cleat.ChangeOp{{Path: path, Value: json.RawMessage(`{"share":3}`)}}}
		s.Apply(config.ChangeCommand{Change: c, Token: rootHash, At: start})
	}
}

// BenchmarkDelta measures the delta for a node that missed some changes.
func BenchmarkDelta(b *testing.B) {
	for _, missed := range []int{0, 1, 10, 100, 1000} {
		b.Run(fmt.Sprint(missed), func(b *testing.B) {
			s := newFullState(b)
			before := s.Revision()
			changeShares(s, missed)
			bytes := 0
			for b.Loop() {
				m, err := msgpack.Marshal(s.Delta(before))
				if err != nil {
					b.Fatal(err)
				}
				bytes = len(m)
			}
			b.ReportMetric(float64(bytes), "B")
		})
	}
}

// BenchmarkCompleteTree measures the settings sent to a node without state.
func BenchmarkCompleteTree(b *testing.B) {
	s := newFullState(b)
	bytes := 0
	for b.Loop() {
		m, err := msgpack.Marshal(s.Delta(s.Revision() + 1))
		if err != nil {
			b.Fatal(err)
		}
		bytes = len(m)
	}
	b.ReportMetric(float64(bytes), "B")
}

// BenchmarkDecode measures how a node decodes settings of the planned size.
func BenchmarkDecode(b *testing.B) {
	snapshot := newFullState(b).Snapshot()
	for b.Loop() {
		if _, err := config.Decode(snapshot); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkSnapshot measures the state as serialized into a snapshot of the log.
func BenchmarkSnapshot(b *testing.B) {
	s := newFullState(b)
	bytes := 0
	for b.Loop() {
		m, err := s.Marshal()
		if err != nil {
			b.Fatal(err)
		}
		bytes = len(m)
	}
	b.ReportMetric(float64(bytes), "B")
}
