package wire

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"
	"math"

	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"

	"marigoldcleat.example/cleat"
)

const (
	lengthBytes     = 4
	headBytes       = lengthBytes + 1
	readBufferBytes = 16 << 10
	keptBufferBytes = 128 << 10 // Larger buffers are given back after use.
)

// frameWriter appends encoded frames to a buffer. Names that recur, as the
// messages' tags mark them, are sent once on a link and by number from then on.
type frameWriter struct {
	buf   []byte
	enc   *msgpack.Encoder
	names map[string]int
}

func newFrameWriter() *frameWriter {
	w := &frameWriter{names: make(map[string]int)}
	w.enc = msgpack.NewEncoder(w)
	w.enc.UseCompactInts(true)
	w.enc.UseCompactFloats(true)
	w.enc.UseArrayEncodedStructs(true)
	return w
}

// Write appends b.
func (w *frameWriter) Write(b []byte) (int, error) {
	w.buf = append(w.buf, b...)
	return len(b), nil
}

// WriteByte appends c.
func (w *frameWriter) WriteByte(c byte) error {
	w.buf = append(w.buf, c)
	return nil
}

// frame appends m as one frame and returns its size; on error the buffer is as before.
func (w *frameWriter) frame(m cleat.Message, maxBytes int) (int, error) {
	start, named := len(w.buf), len(w.names)
	w.buf = append(w.buf, 0, 0, 0, 0, byte(m.Kind()))
	if err := w.encode(m); err != nil {
		w.undo(start, named)
		return 0, trace.Wrap(err, "frameWriter.frame: encoding kind %d", m.Kind())
	}
	size := len(w.buf) - start
	if size > maxBytes {
		w.undo(start, named)
		return 0, trace.LimitExceeded("frameWriter.frame: frame of kind %d has %d bytes, more than %d", m.Kind(), size, maxBytes)
	}
	binary.BigEndian.PutUint32(w.buf[start:], uint32(size-lengthBytes))
	return size, nil
}

func (w *frameWriter) encode(m cleat.Message) error {
	return w.enc.WithDict(w.names, func(enc *msgpack.Encoder) error {
		return enc.Encode(m)
	})
}

// undo takes back a frame and the names that the other end would not learn.
func (w *frameWriter) undo(start, named int) {
	w.buf = w.buf[:start]
	for name, n := range w.names {
		if n >= named {
			delete(w.names, name)
		}
	}
}

// Sizer tells the size of messages as one direction of a link would send them.
type Sizer struct {
	w *frameWriter
}

// NewSizer returns the sizer of a new link.
func NewSizer() *Sizer {
	return &Sizer{w: newFrameWriter()}
}

// Bytes returns the size of m's frame, in bytes, or an error when it can't be encoded.
func (s *Sizer) Bytes(m cleat.Message) (int, error) {
	s.w.buf = s.w.buf[:0]
	return s.w.frame(m, math.MaxInt)
}

// take returns the buffered frames and continues with spare.
func (w *frameWriter) take(spare []byte) []byte {
	b := w.buf
	w.buf = spare[:0]
	return b
}

// frameReader decodes frames from a stream; its decoder keeps the names that
// the other end numbered.
type frameReader struct {
	r    *bufio.Reader
	body []byte
	src  bytes.Reader
	dec  *msgpack.Decoder
}

func newFrameReader(r io.Reader) *frameReader {
	f := &frameReader{r: bufio.NewReaderSize(r, readBufferBytes)}
	f.dec = msgpack.NewDecoder(&f.src)
	return f
}

// next reads one frame and returns its message, nil for an unknown kind, and its size.
func (r *frameReader) next(maxBytes int) (cleat.Message, int, error) {
	head, err := r.r.Peek(headBytes)
	if err != nil {
		return nil, 0, err
	}
	length := binary.BigEndian.Uint32(head)
	kind := cleat.MessageKind(head[lengthBytes])
	if length < 1 || uint64(length)+lengthBytes > uint64(maxBytes) {
		return nil, 0, trace.LimitExceeded("frameReader.next: frame of kind %d announces %d bytes, more than %d or none", kind, length, maxBytes)
	}
	size := int(length) + lengthBytes
	if _, err := r.r.Discard(headBytes); err != nil {
		return nil, 0, err
	}
	body := r.buffer(size - headBytes)
	if _, err := io.ReadFull(r.r, body); err != nil {
		return nil, 0, err
	}
	m, err := cleat.NewMessage(kind)
	if err != nil {
		return nil, size, nil
	}
	r.src.Reset(body)
	if err := r.dec.Decode(m); err != nil {
		return nil, size, trace.BadParameter("frameReader.next: frame of kind %d can't be decoded: %v", kind, err)
	}
	return m, size, nil
}

func (r *frameReader) buffer(n int) []byte {
	if n > keptBufferBytes {
		return make([]byte, n)
	}
	if cap(r.body) < n {
		r.body = make([]byte, max(n, 2*cap(r.body)))
	}
	return r.body[:n]
}
