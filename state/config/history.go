package config

import (
	"encoding/json"
	"time"

	"marigoldcleat.example/cleat"
)

// Bounds of the history; the oldest entries are evicted first.
const (
	MaxHistory      = 1000
	MaxHistoryBytes = 8 << 20
)

// HistoryEntry records the author, time and writes of a change. The time is by the
// clock of the control instance that proposed it.
type HistoryEntry struct {
	Revision  cleat.Revision `json:"revision" msgpack:"r"`
	At        time.Time      `json:"at" msgpack:"t"`
	Author    string         `json:"author" msgpack:"a"`
	Operation string         `json:"operation" msgpack:"o"`
	Writes    []HistoryWrite `json:"writes" msgpack:"w"`
}

// HistoryWrite is one write of an accepted change.
type HistoryWrite struct {
	Path    string          `json:"path" msgpack:"p"`
	Value   json.RawMessage `json:"value,omitempty" msgpack:"v,omitempty"`
	Deleted bool            `json:"deleted,omitempty" msgpack:"d,omitempty"`
}

func newHistoryEntry(rev cleat.Revision, t Token, c ChangeCommand) HistoryEntry {
	e := HistoryEntry{Revision: rev, At: normalizeTime(c.At), Author: t.ID, Operation: c.Change.Operation}
	for _, op := range c.Change.Ops {
		e.Writes = append(e.Writes, HistoryWrite{Path: op.Path, Value: op.Value, Deleted: op.Value == nil})
	}
	return e
}

func (e HistoryEntry) size() int {
	n := len(e.Author) + len(e.Operation)
	for _, w := range e.Writes {
		n += len(w.Path) + len(w.Value)
	}
	return n
}

// history holds accepted changes in order of revision.
type history struct {
	entries []HistoryEntry
	bytes   int
}

func (h *history) add(e HistoryEntry) {
	h.entries = append(h.entries, e)
	h.bytes += e.size()
	for len(h.entries) > 1 && (len(h.entries) > MaxHistory || h.bytes > MaxHistoryBytes) {
		h.bytes -= h.entries[0].size()
		h.entries[0] = HistoryEntry{}
		h.entries = h.entries[1:]
	}
}

func (h *history) list(t Token, subtree string, n int) []HistoryEntry {
	list := make([]HistoryEntry, 0)
	for i := len(h.entries) - 1; i >= 0 && len(list) < n; i-- {
		if e, ok := filterReadable(h.entries[i], t, subtree); ok {
			list = append(list, e)
		}
	}
	return list
}

// filterReadable returns the entry with only the writes in subtree that the token may read, and whether there are any.
func filterReadable(e HistoryEntry, t Token, subtree string) (HistoryEntry, bool) {
	var writes []HistoryWrite
	for _, w := range e.Writes {
		if InSubtree(w.Path, subtree) && t.CanRead(w.Path) {
			writes = append(writes, w)
		}
	}
	e.Writes = writes
	return e, len(writes) > 0
}
