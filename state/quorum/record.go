package quorum

import (
	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"

	"marigoldcleat.example/cleat/state/store"
)

// record is one record of the log store; exactly one field is set.
type record struct {
	Identity *Identity  `msgpack:"i,omitempty"`
	State    *HardState `msgpack:"s,omitempty"`
	Entry    *Entry     `msgpack:"e,omitempty"`
}

// snapshotFile is the stored form of a snapshot.
type snapshotFile struct {
	Meta SnapshotMeta `msgpack:"m"`
	Data []byte       `msgpack:"d"`
}

// Batch is a set of records that are synced together.
type Batch struct {
	snapshot  []byte // Not nil if the batch replaces the whole log.
	records   [][]byte
	appended  bool // The records are already appended to the store; a retry only syncs.
	messages  []Message
	lastIndex uint64 // Last entry of the log including this batch.
	lastTerm  uint64 // Term of that entry.
	state     HardState
}

// Write writes and syncs the batch; it may be called again after an error.
func (b *Batch) Write(s *store.Store) error {
	if b.snapshot != nil {
		return trace.Wrap(s.Compact(b.snapshot, b.records), "Batch.Write")
	}
	if !b.appended {
		s.Append(b.records...)
		b.appended = true
	}
	return trace.Wrap(s.Sync(), "Batch.Write")
}

func encode(v any) []byte {
	data, err := msgpack.Marshal(v)
	if err != nil {
		// Only plain structs of this package are encoded.
		panic(trace.Wrap(err, "encode"))
	}
	return data
}

// Restore decodes the contents of a store and also returns the snapshot's data.
// A later record of an entry replaces all entries from its index on. Entries
// covered by the snapshot are skipped.
func Restore(c *store.Contents) (Restored, []byte, error) {
	var r Restored
	var snapshot snapshotFile
	if c.Snapshot != nil {
		if err := msgpack.Unmarshal(c.Snapshot, &snapshot); err != nil {
			return r, nil, trace.BadParameter("Restore: snapshot: %v", err)
		}
		r.Snapshot = snapshot.Meta
	}
	for i, data := range c.Records {
		var rec record
		if err := msgpack.Unmarshal(data, &rec); err != nil {
			return r, nil, trace.BadParameter("Restore: record %d: %v", i, err)
		}
		if err := r.addRecord(&rec); err != nil {
			return r, nil, trace.Wrap(err, "Restore: record %d", i)
		}
	}
	return r, snapshot.Data, nil
}

func (r *Restored) addRecord(rec *record) error {
	switch {
	case rec.Identity != nil:
		r.Identity = *rec.Identity
	case rec.State != nil:
		r.State = *rec.State
	case rec.Entry != nil:
		return r.addEntry(rec.Entry)
	}
	return nil
}

func (r *Restored) addEntry(e *Entry) error {
	if e.Index <= r.Snapshot.Index {
		return nil
	}
	at := e.Index - r.Snapshot.Index - 1
	if at > uint64(len(r.Entries)) {
		return trace.BadParameter("Restored.addEntry: entry %d follows %d", e.Index, r.Snapshot.Index+uint64(len(r.Entries)))
	}
	r.Entries = append(r.Entries[:at], *e)
	return nil
}
