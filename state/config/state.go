package config

import (
	"encoding/json"
	"sort"
	"time"

	"marigoldcleat.example/cleat"
)

// Bounds of the replicated settings.
const (
	MaxSettings         = 50000
	MaxTreeBytes        = 16 << 20
	MaxChangeOps        = 10000
	MaxChangeBytes      = 2 << 20
	MaxOperationIDBytes = 64
	MaxTokens           = 5000
)

// State holds the settings as deterministic replicated state: equal commands in
// equal order give equal states and results. It is not safe for concurrent use.
type State struct {
	revision   cleat.Revision
	settings   map[string]cleat.Setting
	bytes      int
	keyOwners  map[string]string // Workspace path by key hash.
	deletions  []deletion        // In order of revision.
	deltaFloor cleat.Revision    // Deltas from earlier revisions can't be computed.
	history    history
	operations operations
	tokens     map[string]Token // By hash of the secret.
}

// deletion is a tombstone of a deleted path, kept for deltas.
type deletion struct {
	Path     string         `msgpack:"p"`
	Revision cleat.Revision `msgpack:"r"`
}

// NewState returns settings without any document, at revision zero.
func NewState() *State {
	return &State{
		settings:   make(map[string]cleat.Setting),
		keyOwners:  make(map[string]string),
		tokens:     make(map[string]Token),
		operations: newOperations(),
	}
}

// Revision returns the number of the last accepted change.
func (s *State) Revision() cleat.Revision { return s.revision }

// Get returns the setting at path.
func (s *State) Get(path string) (cleat.Setting, bool) {
	setting, ok := s.settings[path]
	return setting, ok
}

// List returns the settings in a subtree that the token may read, sorted by path.
func (s *State) List(t Token, subtree string) []cleat.Setting {
	list := make([]cleat.Setting, 0)
	for path, setting := range s.settings {
		if InSubtree(path, subtree) && t.CanRead(path) {
			list = append(list, setting)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Path < list[j].Path })
	return list
}

// Snapshot returns all settings, sorted by path.
func (s *State) Snapshot() cleat.Snapshot {
	return cleat.Snapshot{Revision: s.revision, Settings: s.List(Token{Subtree: "/"}, "/")}
}

// Delta returns what changed after a revision, or all settings when that
// revision is too old or later than the current one.
func (s *State) Delta(after cleat.Revision) *cleat.Settings {
	if after < s.deltaFloor || after > s.revision {
		return s.completeTree()
	}
	m := &cleat.Settings{From: after, To: s.revision}
	for _, setting := range s.settings {
		if setting.Revision > after {
			m.Written = append(m.Written, setting)
		}
	}
	sort.Slice(m.Written, func(i, j int) bool { return m.Written[i].Path < m.Written[j].Path })
	m.Deleted = s.deletedAfter(after)
	return m
}

func (s *State) completeTree() *cleat.Settings {
	return &cleat.Settings{To: s.revision, Complete: true, Written: s.Snapshot().Settings}
}

// deletedAfter returns the paths deleted after a revision and not written since.
func (s *State) deletedAfter(after cleat.Revision) []string {
	first := sort.Search(len(s.deletions), func(i int) bool { return s.deletions[i].Revision > after })
	seen := make(map[string]bool)
	var paths []string
	for _, d := range s.deletions[first:] {
		if _, exists := s.settings[d.Path]; exists || seen[d.Path] {
			continue
		}
		seen[d.Path] = true
		paths = append(paths, d.Path)
	}
	return paths
}

// applyOp writes or deletes one path at the current revision.
func (s *State) applyOp(op cleat.ChangeOp) {
	if old, ok := s.settings[op.Path]; ok {
		s.removeSetting(old)
	}
	if op.Value == nil {
		s.recordDeletion(op.Path)
		return
	}
	setting := cleat.Setting{Path: op.Path, Value: op.Value, Revision: s.revision}
	s.settings[op.Path] = setting
	s.bytes += settingBytes(setting)
	for _, h := range keyHashes(op.Path, op.Value) {
		s.keyOwners[h] = op.Path
	}
}

func (s *State) removeSetting(old cleat.Setting) {
	for _, h := range keyHashes(old.Path, old.Value) {
		if s.keyOwners[h] == old.Path {
			delete(s.keyOwners, h)
		}
	}
	s.bytes -= settingBytes(old)
	delete(s.settings, old.Path)
}

func settingBytes(s cleat.Setting) int {
	return len(s.Path) + len(s.Value)
}

// RestoreRevisionGap is how far the revision rises when a new log starts from the
// state of a lost one, so that no node has a later revision from the lost log.
const RestoreRevisionGap = 1000

// RaiseRevisionAfterRestore raises the revision above any that the lost log may
// have reached after this state, and makes every node receive the complete tree.
func (s *State) RaiseRevisionAfterRestore() {
	s.revision += RestoreRevisionGap
	s.deltaFloor = s.revision
	s.deletions = nil
}

// MaxDeletions bounds the deleted paths kept for deltas.
const MaxDeletions = 10000

func (s *State) recordDeletion(path string) {
	s.deletions = append(s.deletions, deletion{Path: path, Revision: s.revision})
	if len(s.deletions) <= MaxDeletions {
		return
	}
	s.deltaFloor = s.deletions[0].Revision
	s.deletions = append([]deletion(nil), s.deletions[1:]...)
}

// keyHashes returns the key hashes of a workspace document, none for other kinds.
func keyHashes(path string, value json.RawMessage) []string {
	p, err := ParsePath(path)
	if err != nil || p.kind != KindWorkspace {
		return nil
	}
	var w cleat.Workspace
	if err := json.Unmarshal(value, &w); err != nil {
		return nil
	}
	return w.KeyHashes
}

// History returns at most n accepted changes, newest first, with their writes in a
// subtree that the token may read.
func (s *State) History(t Token, subtree string, n int) []HistoryEntry {
	return s.history.list(t, subtree, n)
}

// normalizeTime strips the proposer's time zone and monotonic clock reading from a
// replicated time.
func normalizeTime(at time.Time) time.Time {
	return time.Unix(0, at.UnixNano()).UTC()
}
