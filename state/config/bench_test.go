package config_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/state/config"
)

// planned returns settings of the planned size: 2,800 workspaces with shares.
func planned(b *testing.B) *config.State {
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

func touch(s *config.State, n int) {
	for i := range n {
		path := fmt.Sprintf("/fleet/shares/team%03d/ws%d", i%280, i)
		c := cleat.Change{Operation: fmt.Sprint("touch", s.Revision(), i), Ops: []cleat.ChangeOp{{Path: path, Value: json.RawMessage(`{"share":3}`)}}}
		s.Apply(config.ChangeCommand{Change: c, Token: rootHash, At: start})
	}
}

// BenchmarkDelta measures what a node is sent that missed some changes.
func BenchmarkDelta(b *testing.B) {
	for _, missed := range []int{0, 1, 10, 100, 1000} {
		b.Run(fmt.Sprint(missed), func(b *testing.B) {
			s := planned(b)
			before := s.Revision()
			touch(s, missed)
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

// BenchmarkWhole measures what a node without state is sent, and how it decodes it.
func BenchmarkWhole(b *testing.B) {
	s := planned(b)
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

// BenchmarkDecode measures how a node puts settings of the planned size in force.
func BenchmarkDecode(b *testing.B) {
	snapshot := planned(b).Snapshot()
	for b.Loop() {
		if _, err := config.Decode(snapshot); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkSnapshot measures the state in the form a snapshot of the log keeps.
func BenchmarkSnapshot(b *testing.B) {
	s := planned(b)
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
