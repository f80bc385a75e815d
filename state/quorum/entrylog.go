package quorum

import "marigoldcleat.example/cleat/stand/assert"

// entryLog holds the entries that are in memory: those after the snapshot and
// some before it.
type entryLog struct {
	base     uint64 // Index before the first entry held.
	baseTerm uint64
	entries  []Entry
	snapshot SnapshotMeta
	stable   uint64 // Last index known to be synced here.
	configs  []memberConfig
}

// memberConfig is the member list in force from an index on.
type memberConfig struct {
	index   uint64
	members []Member
}

func newEntryLog(snapshot SnapshotMeta, entries []Entry) *entryLog {
	l := &entryLog{base: snapshot.Index, baseTerm: snapshot.Term, snapshot: snapshot}
	l.configs = []memberConfig{{index: snapshot.Index, members: snapshot.Members}}
	l.append(entries)
	l.stable = l.last()
	return l
}

func (l *entryLog) last() uint64 {
	return l.base + uint64(len(l.entries))
}

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// term returns the term of the entry at index, or false when it isn't held.
func (l *entryLog) term(index uint64) (uint64, bool) {
	if index == l.base {
		return l.baseTerm, true
	}
	if index < l.base || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.base-1].Term, true
}

func (l *entryLog) matches(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

func (l *entryLog) get(index uint64) *Entry {
	return &l.entries[index-l.base-1]
}

// from returns the entries from index on, bounded by size but at least one.
func (l *entryLog) from(index uint64, maxBytes int) []Entry {
	if index > l.last() {
		return nil
	}
	all := l.entries[index-l.base-1:]
	size := 0
	for i := range all {
		size += all[i].size()
		if size > maxBytes && i > 0 {
			return all[:i]
		}
	}
	return all
}

// between returns the entries after one index up to another.
func (l *entryLog) between(after, to uint64) []Entry {
	return l.entries[after-l.base : to-l.base]
}

func (l *entryLog) append(entries []Entry) {
	for _, e := range entries {
		if e.Index != l.last()+1 {
			assert.Fail("log_contiguous", "entry %d appended after %d", e.Index, l.last())
		}
		l.entries = append(l.entries, e)
		if e.Kind == EntryMembers {
			l.configs = append(l.configs, memberConfig{index: e.Index, members: e.Members})
		}
	}
}

// truncate drops the entries from index on.
func (l *entryLog) truncate(index uint64) {
	// The capacity is cut too: messages may still refer to the dropped entries.
	l.entries = l.entries[: index-l.base-1 : index-l.base-1]
	l.stable = min(l.stable, index-1)
	for len(l.configs) > 1 && l.configs[len(l.configs)-1].index >= index {
		l.configs = l.configs[:len(l.configs)-1]
	}
}

// members returns the member list in force and the index that set it.
func (l *entryLog) members() ([]Member, uint64) {
	c := l.configs[len(l.configs)-1]
	return c.members, c.index
}

// membersAt returns the member list in force at index.
func (l *entryLog) membersAt(index uint64) []Member {
	members := l.configs[0].members
	for _, c := range l.configs {
		if c.index <= index {
			members = c.members
		}
	}
	return members
}

// compact records a snapshot and drops entries before it, but for some that are
// not too large together.
func (l *entryLog) compact(snapshot SnapshotMeta, trailing uint64, maxBytes int) {
	l.snapshot = snapshot
	for len(l.configs) > 1 && l.configs[1].index <= snapshot.Index {
		l.configs = l.configs[1:]
	}
	base := snapshot.Index
	for size := 0; base > l.base && snapshot.Index-base < trailing; base-- {
		size += l.get(base).size()
		if size > maxBytes {
			break
		}
	}
	if base == l.base {
		return
	}
	term, _ := l.term(base)
	l.entries = append([]Entry(nil), l.entries[base-l.base:]...)
	l.base = base
	l.baseTerm = term
}

// install replaces what the snapshot stands for; later entries stay when they
// follow from it.
func (l *entryLog) install(snapshot SnapshotMeta) {
	var later []Entry
	if l.matches(snapshot.Index, snapshot.Term) {
		later = l.between(snapshot.Index, l.last())
	}
	fresh := newEntryLog(snapshot, later)
	fresh.stable = min(l.stable, fresh.last())
	*l = *fresh
}
