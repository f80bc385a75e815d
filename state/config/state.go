package config

import (
	"encoding/json"
	"sort"
	"time"

	"marigoldcleat.example/cleat"
)

// Bounds of the replicated settings.
const (
	MaxSettings       = 50000
	MaxTreeBytes      = 16 << 20
	MaxOps            = 10000
	MaxChangeBytes    = 2 << 20
	MaxOperationBytes = 64
	MaxTokens         = 5000
)

// State is the settings as replicated state: equal commands in equal order
// give equal states and answers. It is not safe for concurrent use.
type State struct {
	revision   cleat.Revision
	settings   map[string]cleat.Setting
	bytes      int
	keyOwners  map[string]string // Workspace path by key hash.
	deletions  []deletion        // By rising revision.
	deltaFloor cleat.Revision    // Deltas from earlier revisions are not known.
	history    history
	operations operations
	tokens     map[string]Token // By hash of the secret.
}

// deletion remembers a deleted path for deltas.
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
		if Under(path, subtree) && t.CanRead(path) {
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
// revision is too old or unknown here.
func (s *State) Delta(after cleat.Revision) *cleat.Settings {
	if after < s.deltaFloor || after > s.revision {
		return s.whole()
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

func (s *State) whole() *cleat.Settings {
	return &cleat.Settings{To: s.revision, Complete: true, Written: s.Snapshot().Settings}
}

// deletedAfter names the paths deleted after a revision that are still gone.
func (s *State) deletedAfter(after cleat.Revision) []string {
	first := sort.Search(len(s.deletions), func(i int) bool { return s.deletions[i].Revision > after })
	seen := make(map[string]bool)
	var paths []string
	for _, d := range s.deletions[first:] {
		if _, back := s.settings[d.Path]; back || seen[d.Path] {
			continue
		}
		seen[d.Path] = true
		paths = append(paths, d.Path)
	}
	return paths
}

// write puts or deletes one path at the present revision.
func (s *State) write(op cleat.ChangeOp) {
	if old, ok := s.settings[op.Path]; ok {
		s.remove(old)
	}
	if op.Value == nil {
		s.noteDeletion(op.Path)
		return
	}
	setting := cleat.Setting{Path: op.Path, Value: op.Value, Revision: s.revision}
	s.settings[op.Path] = setting
	s.bytes += settingBytes(setting)
	for _, h := range keyHashes(op.Path, op.Value) {
		s.keyOwners[h] = op.Path
	}
}

func (s *State) remove(old cleat.Setting) {
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

// RestoreRevisionGap is how far the revision rises when a new log takes over
// the state of a lost one, so that no node runs a later revision of the lost log.
const RestoreRevisionGap = 1000

// RaiseRevisionAfterRestore raises the revision over all that the lost log may
// have reached without this state, and has every node sent the whole tree.
func (s *State) RaiseRevisionAfterRestore() {
	s.revision += RestoreRevisionGap
	s.deltaFloor = s.revision
	s.deletions = nil
}

// MaxDeletions bounds the deleted paths remembered for deltas.
const MaxDeletions = 10000

func (s *State) noteDeletion(path string) {
	s.deletions = append(s.deletions, deletion{Path: path, Revision: s.revision})
	if len(s.deletions) <= MaxDeletions {
		return
	}
	s.deltaFloor = s.deletions[0].Revision
	s.deletions = append([]deletion(nil), s.deletions[1:]...)
}

// keyHashes returns the key hashes of a workspace document, none for other kinds.
func keyHashes(path string, value json.RawMessage) []string {
	p, err := Parse(path)
	if err != nil || p.kind != KindWorkspace {
		return nil
	}
	var w cleat.Workspace
	if err := json.Unmarshal(value, &w); err != nil {
		return nil
	}
	return w.KeyHashes
}

// History returns accepted changes that touched paths the token may read,
// newest first, at most n.
func (s *State) History(t Token, subtree string, n int) []HistoryEntry {
	return s.history.list(t, subtree, n)
}

// stamp keeps replicated times free of the proposer's zone and monotonic reading.
func stamp(at time.Time) time.Time {
	return time.Unix(0, at.UnixNano()).UTC()
}
