package quorum

import (
	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"

	"marigoldcleat.example/cleat/state/store"
)

// record is what the log store holds; exactly one field is set.
type record struct {
	Identity *Identity  `msgpack:"i,omitempty"`
	State    *HardState `msgpack:"s,omitempty"`
	Entry    *Entry     `msgpack:"e,omitempty"`
}

// snapshotFile is the snapshot as the log store holds it.
type snapshotFile struct {
	Meta SnapshotMeta `msgpack:"m"`
	Data []byte       `msgpack:"d"`
}

// Batch is what is to be synced together.
type Batch struct {
	snapshot []byte // Not nil when the whole log is replaced.
	records  [][]byte
	queued   bool // The store has the records already.
	after    []Message
	index    uint64 // The last entry in it, or in front of it.
	term     uint64 // Of that entry.
	state    HardState
}

// Write makes the batch last; after an error it may be called again.
func (b *Batch) Write(s *store.Store) error {
	if b.snapshot != nil {
		return trace.Wrap(s.Compact(b.snapshot, b.records), "Batch.Write")
	}
	if !b.queued {
		s.Append(b.records...)
		b.queued = true
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

// Restore reads what a store held. An entry replaces all from its index on, and
// what a snapshot stands for is left out.
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
		if err := r.add(&rec); err != nil {
			return r, nil, trace.Wrap(err, "Restore: record %d", i)
		}
	}
	return r, snapshot.Data, nil
}

func (r *Restored) add(rec *record) error {
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
