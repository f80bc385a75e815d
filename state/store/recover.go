package store

import (
	"strings"

	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"
)

// segment is one segment file as read at opening.
type segment struct {
	name string
	header
	data  []byte
	start int // Offset of the first record.
}

// recoverLog reads the log and writes the last segment once more, because pages read from
// the page cache may not have reached the disk.
func (s *Store) recoverLog() (*Contents, error) {
	segments, err := s.readSegments()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	c := &Contents{}
	if len(segments) == 0 {
		s.firstSeq = 1
		return c, trace.Wrap(s.startSegment(header{Base: true}, nil))
	}
	if err := s.readBaseSnapshot(segments[0], c); err != nil {
		return nil, trace.Wrap(err)
	}
	var last [][]byte
	for i, seg := range segments {
		records, err := seg.validRecords(segments[i+1:], c)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		c.Records = append(c.Records, records...)
		last = records
	}
	return c, trace.Wrap(s.rewriteLastSegment(segments, last))
}

// rewriteLastSegment replaces the last segment by one of the same number, so that the log
// doesn't grow by being opened.
func (s *Store) rewriteLastSegment(segments []*segment, records [][]byte) error {
	s.firstSeq = segments[0].Seq
	if err := s.writeSegment(segments[len(segments)-1].header, records); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(s.removeObsolete())
}

// readSegments returns the segments from the last base segment on.
func (s *Store) readSegments() ([]*segment, error) {
	names, err := s.disk.List()
	if err != nil {
		return nil, trace.Wrap(err, "Store.readSegments")
	}
	var segments []*segment
	for _, name := range names {
		if !strings.HasPrefix(name, segmentPrefix) || strings.HasSuffix(name, temporarySuffix) {
			continue
		}
		seg, err := s.readSegment(name)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		if seg.Base {
			segments = nil
		}
		segments = append(segments, seg)
	}
	return segments, trace.Wrap(checkOrder(segments))
}

func checkOrder(segments []*segment) error {
	if len(segments) > 0 && !segments[0].Base {
		return trace.BadParameter("store: the segments before %s are missing", segments[0].name)
	}
	for i := 1; i < len(segments); i++ {
		if want := segments[i-1].Seq + 1; segments[i].Seq != want {
			return trace.BadParameter("store: segment %d is missing before %s", want, segments[i].name)
		}
	}
	return nil
}

func (s *Store) readSegment(name string) (*segment, error) {
	data, err := s.readFile(name)
	if err != nil {
		return nil, trace.Wrap(err, "store: read %s", name)
	}
	h, start, err := decodeHeader(name, data)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if segmentName(h.Seq) != name {
		return nil, trace.BadParameter("store: %s is damaged at offset 0: its header has segment number %d", name, h.Seq)
	}
	return &segment{name: name, header: h, data: data, start: start}, nil
}

func decodeHeader(name string, data []byte) (h header, start int, err error) {
	f, ok := readFrame(data, 0)
	if !ok {
		return h, 0, trace.BadParameter("store: %s is damaged at offset 0", name)
	}
	if err := msgpack.Unmarshal(f.payload, &h); err != nil {
		return h, 0, trace.BadParameter("store: %s is damaged at offset 0: %v", name, err)
	}
	if h.Magic != magic {
		return h, 0, trace.BadParameter("store: %s is not a store file of this program", name)
	}
	if h.Version != FormatVersion {
		return h, 0, trace.BadParameter("store: %s has format version %d, this program reads %d", name, h.Version, FormatVersion)
	}
	return h, f.end, nil
}

func (s *Store) readBaseSnapshot(seg *segment, c *Contents) error {
	if seg.Snapshot == "" {
		return nil
	}
	data, err := s.readFile(seg.Snapshot)
	if err != nil {
		return trace.Wrap(err, "store: read %s, which %s needs", seg.Snapshot, seg.name)
	}
	h, at, err := decodeHeader(seg.Snapshot, data)
	if err != nil {
		return trace.Wrap(err)
	}
	content := make([]byte, 0, h.Size)
	for uint64(len(content)) < h.Size {
		f, ok := readFrame(data, at)
		if !ok {
			return trace.BadParameter("store: %s is damaged at offset %d", seg.Snapshot, at)
		}
		content = append(content, f.payload...)
		at = f.end
	}
	s.snapshot = seg.Snapshot
	c.Snapshot = content
	return nil
}

// validRecords returns the valid records of the segment, given the segments after
// it. A torn tail of the last segment is dropped and its size stored in c.TruncatedBytes.
func (seg *segment) validRecords(after []*segment, c *Contents) ([][]byte, error) {
	limit := len(seg.data)
	if len(after) > 0 {
		limit = int(after[0].Previous)
	}
	var records [][]byte
	at := seg.start
	for at < limit {
		f, ok := readFrame(seg.data, at)
		if !ok {
			break
		}
		records = append(records, f.payload)
		at = f.end
	}
	if at >= limit {
		return records, nil
	}
	if len(after) > 0 || syncedBeyond(seg.data, at) {
		return nil, trace.BadParameter("store: %s is damaged at offset %d, before synced records", seg.name, at)
	}
	c.TruncatedBytes = limit - at
	return records, nil
}
