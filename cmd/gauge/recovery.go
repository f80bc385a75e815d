package main

import (
	"fmt"
	"math/rand"
	"runtime"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/stand/fdisk"
	"marigoldcleat.example/cleat/state/claim"
	"marigoldcleat.example/cleat/state/config"
	"marigoldcleat.example/cleat/state/quorum"
	"marigoldcleat.example/cleat/state/store"
)

const (
	workspaceCount = 16
	claimCount     = 100_000
	claimHolder    = "entry-1"
	operatorSecret = "operator"
)

var (
	changeCounts = []int{100, 1000, 10000}
	nodeCounts   = []int{15, 75, 350}
)

// settingsMachine is a replicated state machine that holds only the settings.
type settingsMachine struct {
	state *config.State
}

func newSettingsMachine() (*settingsMachine, error) {
	m := &settingsMachine{state: config.NewState()}
	r := m.state.ApplyToken(config.TokenCommand{
		Operation: "first", Hash: cleat.HashKey(operatorSecret),
		Create: &config.Token{ID: "operator", Subtree: config.FleetSubtree, Write: true},
	})
	if !r.Accepted {
		return nil, trace.BadParameter("newSettingsMachine: %s", r.Problem)
	}
	return m, nil
}

// Apply applies one change and returns the reason if it is rejected.
func (m *settingsMachine) Apply(_ uint64, command []byte) []byte {
	var c config.ChangeCommand
	if err := msgpack.Unmarshal(command, &c); err != nil {
		return []byte(err.Error())
	}
	return []byte(m.state.Apply(c).Problem)
}

// Snapshot returns the encoded settings.
func (m *settingsMachine) Snapshot() ([]byte, error) { return m.state.Marshal() }

// Restore replaces the settings with those of a snapshot.
func (m *settingsMachine) Restore(snapshot []byte) error { return m.state.Unmarshal(snapshot) }

// shareChange returns the i-th change of a share by an operator.
func shareChange(i int) config.ChangeCommand {
	return config.ChangeCommand{
		Token: cleat.HashKey(operatorSecret),
		Change: cleat.Change{
			Operation: fmt.Sprintf("operation-%d", i),
			Author:    "operator",
			Ops: []cleat.ChangeOp{{
				Path:  fmt.Sprintf("/fleet/shares/team/workspace-%d", i%workspaceCount),
				Value: fmt.Appendf(nil, `{"share":%d}`, 1+i%100),
			}},
		},
	}
}

// singleReplica is a log with one replica, driven without goroutines.
type singleReplica struct {
	disk    *fdisk.Disk
	store   *store.Store
	replica *quorum.Replica
	machine *settingsMachine
	now     time.Time // Virtual.
}

// open restores the replica from disk, runs it until it leads, and returns the real
// time taken.
func (s *singleReplica) open() (time.Duration, error) {
	machine, err := newSettingsMachine()
	if err != nil {
		return 0, trace.Wrap(err)
	}
	runtime.GC()
	start := time.Now()
	opened, contents, err := store.Open(store.Config{}, s.disk)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	restored, snapshot, err := quorum.Restore(contents)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	if restored.Identity.Replica == "" {
		restored.Identity = quorum.Identity{Instance: "c1", Replica: "r1"}
		opened.Append(quorum.EncodeIdentity("c1", "r1"))
	}
	cfg := quorum.Config{Self: "c1", InitialInstances: []cleat.InstanceID{"c1"}}
	s.store = opened
	s.machine = machine
	s.replica, err = quorum.NewReplica(cfg, s.now, restored, snapshot, machine, quorum.Nonces{Session: 1, Cluster: "log"}, rand.New(rand.NewSource(1)))
	if err != nil {
		return 0, trace.Wrap(err)
	}
	if err := s.awaitLeader(); err != nil {
		return 0, trace.Wrap(err)
	}
	return time.Since(start), nil
}

// awaitLeader runs the replica until it leads and has applied its complete log.
func (s *singleReplica) awaitLeader() error {
	for range 100 {
		s.now = s.now.Add(100 * time.Millisecond)
		s.replica.Tick(s.now)
		if err := s.writeBatches(); err != nil {
			return trace.Wrap(err)
		}
		status := s.replica.Status(s.now)
		if status.Role == quorum.RoleLeader && status.Applied == status.LastIndex {
			return nil
		}
	}
	return trace.CompareFailed("singleReplica.awaitLeader: no leader")
}

func (s *singleReplica) writeBatches() error {
	if s.replica.SnapshotDue() {
		s.replica.BeginSnapshot()
		data, err := s.machine.Snapshot()
		s.replica.EndSnapshot(s.now, data, err)
	}
	for b := s.replica.NextBatch(); b != nil; b = s.replica.NextBatch() {
		if err := b.Write(s.store); err != nil {
			return trace.Wrap(err)
		}
		s.replica.BatchSynced(s.now, b)
	}
	return nil
}

func (s *singleReplica) proposeChanges(n int) error {
	var failed error
	for i := range n {
		command, err := msgpack.Marshal(shareChange(i))
		if err != nil {
			return trace.Wrap(err)
		}
		s.replica.Propose(s.now, command, func(result []byte, err error) {
			if err != nil || len(result) > 0 {
				failed = trace.BadParameter("singleReplica.proposeChanges: %s %v", result, err)
			}
		})
		s.replica.Tick(s.now)
		if err := s.writeBatches(); err != nil {
			return trace.Wrap(err)
		}
	}
	return trace.Wrap(failed)
}

// printRecovery prints the size of the log and snapshot and the recovery time after
// each number of changes in changeCounts.
func printRecovery(w *tabwriter.Writer) error {
	fmt.Fprintln(w, "\nchanges\tlog and snapshot\trecovery (processor time, settings applied)")
	for _, n := range changeCounts {
		s := &singleReplica{disk: fdisk.New(rand.New(rand.NewSource(1))), now: time.Unix(1_000_000, 0)}
		if _, err := s.open(); err != nil {
			return trace.Wrap(err)
		}
		if err := s.proposeChanges(n); err != nil {
			return trace.Wrap(err)
		}
		size, err := s.store.Size()
		if err != nil {
			return trace.Wrap(err)
		}
		if err := s.store.Close(); err != nil {
			return trace.Wrap(err)
		}
		took, err := s.open()
		if err != nil {
			return trace.Wrap(err)
		}
		fmt.Fprintf(w, "%d\t%d kB\t%s\n", n, size/1000, took.Round(10*time.Microsecond))
	}
	return nil
}

// printChangeSize prints the bytes that one change of a setting sends to each node
// and to all nodes.
func printChangeSize(w *tabwriter.Writer) error {
	machine, err := newSettingsMachine()
	if err != nil {
		return trace.Wrap(err)
	}
	for i := range workspaceCount {
		machine.state.Apply(shareChange(i))
	}
	before := machine.state.Revision()
	if r := machine.state.Apply(shareChange(workspaceCount)); !r.Accepted {
		return trace.BadParameter("printChangeSize: %s", r.Problem)
	}
	bytes := 0
	for _, piece := range config.Split(machine.state.Delta(before)) {
		data, err := msgpack.Marshal(piece)
		if err != nil {
			return trace.Wrap(err)
		}
		bytes += len(data)
	}
	fmt.Fprintln(w, "\nnodes\tbytes of a change to each\tto all")
	for _, n := range nodeCounts {
		fmt.Fprintf(w, "%d\t%d\t%d\n", n, bytes, n*bytes)
	}
	return nil
}

// printClaimMemory prints the memory per completed claim.
func printClaimMemory(w *tabwriter.Writer) {
	before := heapBytes()
	table := claim.NewTable()
	holder := claim.Holder{Instance: claimHolder, Incarnation: 1}
	for i := range claimCount {
		key, id := fmt.Sprintf("key-%032d", i), cleat.RequestID(fmt.Sprintf("%s-%016x", claimHolder, i))
		digest := []byte(cleat.HashKey(key))[:32]
		table.Apply(claim.Command{Holder: holder, Claim: &cleat.Claim{Workspace: "team/workspace", Key: key, Request: id, Digest: digest}})
		table.Apply(claim.Command{Holder: holder, Outcome: &cleat.ClaimOutcome{
			Workspace: "team/workspace", Key: key, Request: id, Outcome: cleat.OutcomeDone,
			Answer: cleat.RecordedAnswer{Status: 200, Body: []byte(`{"paid":true}`)},
		}})
	}
	usedBytes := heapBytes() - before
	fmt.Fprintf(w, "\nclaims\tbytes of memory for each\n%d\t%d\n", table.Len(), usedBytes/claimCount)
	runtime.KeepAlive(table)
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
