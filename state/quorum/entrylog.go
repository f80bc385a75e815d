package quorum

import "marigoldcleat.example/cleat/stand/assert"

// entryLog holds the entries kept in memory: all those after the snapshot and
// some before it.
type entryLog struct {
	base     uint64 // Index before the first entry in memory.
	baseTerm uint64
	entries  []Entry
	snapshot SnapshotMeta
	stable   uint64         // Last index known to be synced on this replica.
	configs  []memberConfig // Member lists from the snapshot on, oldest first.
}

// memberConfig is a member list and the index from which it is in effect.
type memberConfig struct {
	index   uint64
	members []Member
}

func newEntryLog(snapshot SnapshotMeta, entries []Entry) *entryLog {
	l := &entryLog{base: snapshot.Index, baseTerm: snapshot.Term, snapshot: snapshot}
	l.configs = []memberConfig{{index: snapshot.Index, members: snapshot.Members}}
	l.append(entries)
	l.stable = l.lastIndex()
	return l
}

func (l *entryLog) lastIndex() uint64 {
	return l.base + uint64(len(l.entries))
}

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of the entry at index, or false if it is not in memory.
func (l *entryLog) term(index uint64) (uint64, bool) {
	if index == l.base {
		return l.baseTerm, true
	}
	if index < l.base || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.base-1].Term, true
}

func (l *entryLog) matches(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

func (l *entryLog) entryAt(index uint64) *Entry {
	return &l.entries[index-l.base-1]
}

// entriesFrom returns the entries from index on, up to maxBytes but at least one.
func (l *entryLog) entriesFrom(index uint64, maxBytes int) []Entry {
	if index > l.lastIndex() {
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

// entriesBetween returns the entries after one index, up to and including another.
func (l *entryLog) entriesBetween(after, to uint64) []Entry {
	return l.entries[after-l.base : to-l.base]
}

func (l *entryLog) append(entries []Entry) {
	for _, e := range entries {
		if e.Index != l.lastIndex()+1 {
			assert.Fail("log_contiguous", "entry %d appended after %d", e.Index, l.lastIndex())
		}
		l.entries = append(l.entries, e)
		if e.Kind == EntryMembers {
			l.configs = append(l.configs, memberConfig{index: e.Index, members: e.Members})
		}
	}
}

// truncate removes the entries from index on.
func (l *entryLog) truncate(index uint64) {
	// Limiting the capacity makes the next append copy the slice: queued messages
	// may still refer to the removed entries.
	l.entries = l.entries[: index-l.base-1 : index-l.base-1]
	l.stable = min(l.stable, index-1)
	for len(l.configs) > 1 && l.configs[len(l.configs)-1].index >= index {
		l.configs = l.configs[:len(l.configs)-1]
	}
}

// members returns the member list in effect and the index of the entry that set it.
func (l *entryLog) members() ([]Member, uint64) {
	c := l.configs[len(l.configs)-1]
	return c.members, c.index
}

// membersAt returns the member list in effect at index.
func (l *entryLog) membersAt(index uint64) []Member {
	members := l.configs[0].members
	for _, c := range l.configs {
		if c.index <= index {
			members = c.members
		}
	}
	return members
}

// compact records a snapshot and drops the entries that it covers, except for up
// to trailing entries of at most maxBytes in total.
func (l *entryLog) compact(snapshot SnapshotMeta, trailing uint64, maxBytes int) {
	l.snapshot = snapshot
	for len(l.configs) > 1 && l.configs[1].index <= snapshot.Index {
		l.configs = l.configs[1:]
	}
	base := snapshot.Index
	for size := 0; base > l.base && snapshot.Index-base < trailing; base-- {
		size += l.entryAt(base).size()
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

// installSnapshot replaces the log with a snapshot. Entries after it are kept if
// the log contains the last entry that the snapshot covers, with the same term.
func (l *entryLog) installSnapshot(snapshot SnapshotMeta) {
	var later []Entry
	if l.matches(snapshot.Index, snapshot.Term) {
		later = l.entriesBetween(snapshot.Index, l.lastIndex())
	}
	replaced := newEntryLog(snapshot, later)
	replaced.stable = min(l.stable, replaced.lastIndex())
	*l = *replaced
}
