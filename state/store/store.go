package store

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"
	"golang.org/x/sys/unix"

	"marigoldcleat.example/cleat"
)

const (
	// FormatVersion is the version of the files that this package writes.
	FormatVersion = 1

	segmentPrefix   = "segment-"
	snapshotPrefix  = "snapshot-"
	temporarySuffix = ".tmp"
	magic           = "marigoldcleat store"

	// snapshotChunkBytes bounds one record of a snapshot file.
	snapshotChunkBytes = 1 << 20
)

// Config bounds the files of a store.
type Config struct {
	// SegmentBytes is the size beyond which a new segment is started.
	SegmentBytes int64
}

// Defaults sets the fields that are zero.
func (c *Config) Defaults() {
	if c.SegmentBytes == 0 {
		c.SegmentBytes = 4 << 20
	}
}

// Validate returns a trace.BadParameter error that names the first wrong field.
func (c *Config) Validate() error {
	if c.SegmentBytes < 1 {
		return trace.BadParameter("Config.Validate: SegmentBytes must be positive")
	}
	return nil
}

// header is the first record of every file.
type header struct {
	Magic    string `msgpack:"m"`
	Version  int    `msgpack:"v"`
	Seq      uint64 `msgpack:"n"`           // Segment number; in a snapshot file, that of the base segment that follows.
	Base     bool   `msgpack:"b,omitempty"` // Earlier segments are obsolete.
	Snapshot string `msgpack:"s,omitempty"` // Name of the snapshot file that precedes the records; only with Base, empty when there is none.
	Previous uint64 `msgpack:"p,omitempty"` // Valid bytes of the previous segment; zero when this segment replaces it, as in logs of earlier versions.
	Size     uint64 `msgpack:"z,omitempty"` // Bytes of the content, in a snapshot file.
}

// Contents is the data read from a store when it was opened.
type Contents struct {
	Snapshot       []byte   // Nil when there is none.
	Records        [][]byte // After the snapshot, in order.
	TruncatedBytes int      // Bytes of a torn tail that were dropped.
}

// Store is an open log; it is not safe for concurrent use.
type Store struct {
	cfg      Config
	disk     cleat.Disk
	unlock   func() error
	file     cleat.File
	seq      uint64
	synced   uint64 // Bytes of the open segment known to be synced.
	pending  [][]byte
	failed   bool   // Nothing more may be written to the open segment.
	snapshot string // Name of the snapshot file in use.
	firstSeq uint64 // The oldest segment in use.
}

// Open locks the folder and reads the log; damage is a trace.BadParameter
// error that names the file and the offset.
func Open(cfg Config, disk cleat.Disk) (*Store, *Contents, error) {
	cfg.Defaults()
	if err := cfg.Validate(); err != nil {
		return nil, nil, trace.Wrap(err)
	}
	unlock, err := disk.Lock()
	if err != nil {
		return nil, nil, trace.Wrap(err, "Open: lock")
	}
	s := &Store{cfg: cfg, disk: disk, unlock: unlock}
	c, err := s.recoverLog()
	if err != nil {
		return nil, nil, trace.NewAggregate(err, unlock())
	}
	return s, c, nil
}

// Append queues records for the next Sync.
func (s *Store) Append(records ...[]byte) {
	s.pending = append(s.pending, records...)
}

// Sync makes the queued records durable; on an error none of them counts as
// stored, they stay queued and Sync may be called again.
func (s *Store) Sync() error {
	if len(s.pending) == 0 && !s.failed {
		return nil
	}
	if s.failed || s.synced >= uint64(s.cfg.SegmentBytes) {
		return s.startSegment(header{Previous: s.synced}, s.pending)
	}
	data := encodeFrames(nil, s.pending, s.synced)
	if err := writeSynced(s.file, data); err != nil {
		s.failed = true
		return trace.Wrap(err, "Store.Sync: %s", segmentName(s.seq))
	}
	s.synced += uint64(len(data))
	s.pending = nil
	return nil
}

// Compact replaces the complete log with a snapshot and the records after it;
// queued records are dropped, so records must include them. After an error the log
// holds either its old or its new contents, and Compact may be called again.
func (s *Store) Compact(snapshot []byte, records [][]byte) error {
	name := fmt.Sprintf("%s%016d", snapshotPrefix, s.seq+1)
	if err := s.writeSnapshot(name, snapshot); err != nil {
		return trace.Wrap(err, "Store.Compact")
	}
	if err := s.startSegment(header{Base: true, Snapshot: name}, records); err != nil {
		return trace.Wrap(err, "Store.Compact")
	}
	s.snapshot = name
	s.firstSeq = s.seq
	return s.removeObsolete()
}

// Size returns the total size of the folder's files in bytes, not counting the lock file.
func (s *Store) Size() (int64, error) {
	names, err := s.disk.List()
	if err != nil {
		return 0, trace.Wrap(err, "Store.Size")
	}
	var sum int64
	for _, name := range names {
		data, err := s.readFile(name)
		if err != nil {
			return 0, trace.Wrap(err, "Store.Size")
		}
		sum += int64(len(data))
	}
	return sum, nil
}

// Close closes the files and releases the lock; queued records are dropped.
func (s *Store) Close() error {
	return trace.NewAggregate(s.file.Close(), s.unlock())
}

// IsDiskFull reports whether err is caused by a full disk or an exceeded quota.
func IsDiskFull(err error) bool {
	return errors.Is(err, unix.ENOSPC) || errors.Is(err, unix.EDQUOT)
}

func encodeFrames(dst []byte, records [][]byte, synced uint64) []byte {
	for _, r := range records {
		dst = appendFrame(dst, r, synced)
	}
	return dst
}

func writeSynced(file cleat.File, data []byte) error {
	if _, err := file.Write(data); err != nil {
		return trace.Wrap(err, "write")
	}
	if err := file.Sync(); err != nil {
		return trace.Wrap(err, "sync")
	}
	return nil
}

// startSegment starts a new segment with records as its first content.
func (s *Store) startSegment(h header, records [][]byte) error {
	h.Seq = s.seq + 1
	return s.writeSegment(h, records)
}

// writeSegment writes the segment that h numbers, in place of one of that number, and
// continues the log there.
func (s *Store) writeSegment(h header, records [][]byte) error {
	data, err := encodeHeader(h)
	if err != nil {
		return trace.Wrap(err)
	}
	data = encodeFrames(data, records, 0)
	file, err := s.createFile(segmentName(h.Seq), data)
	if err != nil {
		// The new segment may or may not survive a crash, so nothing may be appended
		// to the old one.
		s.failed = true
		return trace.Wrap(err)
	}
	if s.file != nil {
		_ = s.file.Close()
	}
	s.file = file
	s.seq = h.Seq
	s.synced = uint64(len(data))
	s.pending = nil
	s.failed = false
	return nil
}

// createFile creates a file that is complete as soon as it has its final name.
func (s *Store) createFile(name string, data []byte) (cleat.File, error) {
	file, err := s.disk.Create(name + temporarySuffix)
	if err != nil {
		return nil, trace.Wrap(err, "create %s", name)
	}
	if err := s.syncAndRename(file, name, data); err != nil {
		_ = file.Close()
		return nil, trace.Wrap(err, "create %s", name)
	}
	return file, nil
}

func (s *Store) syncAndRename(file cleat.File, name string, data []byte) error {
	if err := writeSynced(file, data); err != nil {
		return trace.Wrap(err)
	}
	if err := s.disk.Rename(name+temporarySuffix, name); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(s.disk.SyncFolder())
}

func (s *Store) writeSnapshot(name string, snapshot []byte) error {
	data, err := encodeHeader(header{Seq: s.seq + 1, Size: uint64(len(snapshot))})
	if err != nil {
		return trace.Wrap(err)
	}
	for chunk := range slices.Chunk(snapshot, snapshotChunkBytes) {
		data = appendFrame(data, chunk, 0)
	}
	file, err := s.createFile(name, data)
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(file.Close())
}

// removeObsolete removes temporary and superseded files.
func (s *Store) removeObsolete() error {
	names, err := s.disk.List()
	if err != nil {
		return trace.Wrap(err, "Store.removeObsolete")
	}
	for _, name := range names {
		if s.isInUse(name) {
			continue
		}
		if err := s.disk.Remove(name); err != nil {
			return trace.Wrap(err, "Store.removeObsolete")
		}
	}
	return trace.Wrap(s.disk.SyncFolder(), "Store.removeObsolete")
}

func (s *Store) isInUse(name string) bool {
	if strings.HasSuffix(name, temporarySuffix) {
		return false
	}
	if strings.HasPrefix(name, snapshotPrefix) {
		return name == s.snapshot
	}
	if strings.HasPrefix(name, segmentPrefix) {
		return name >= segmentName(s.firstSeq)
	}
	return true
}

func (s *Store) readFile(name string) (data []byte, err error) {
	r, err := s.disk.Read(name)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer func() { err = trace.NewAggregate(err, r.Close()) }()
	return io.ReadAll(r)
}

func encodeHeader(h header) ([]byte, error) {
	h.Magic = magic
	h.Version = FormatVersion
	payload, err := msgpack.Marshal(&h)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return appendFrame(nil, payload, 0), nil
}

func segmentName(seq uint64) string {
	return fmt.Sprintf("%s%016d", segmentPrefix, seq)
}
