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
	lengthBytes            = 4               // The length counts the kind and the body, not itself.
	headerBytes            = lengthBytes + 1 // Length and message kind.
	readBufferBytes        = 16 << 10
	maxRetainedBufferBytes = 128 << 10 // Larger buffers are released after use.
)

// frameWriter appends encoded frames to a buffer. Strings of fields tagged as
// interned are sent in full once per link and as an index after that.
type frameWriter struct {
	buf      []byte
	enc      *msgpack.Encoder
	interned map[string]int // Index of each interned string that was sent in full.
}

func newFrameWriter() *frameWriter {
	w := &frameWriter{interned: make(map[string]int)}
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

// appendFrame appends m as one frame and returns its size; on error the buffer is unchanged.
func (w *frameWriter) appendFrame(m cleat.Message, maxBytes int) (int, error) {
	start, internedCount := len(w.buf), len(w.interned)
	w.buf = append(w.buf, 0, 0, 0, 0, byte(m.Kind()))
	if err := w.encode(m); err != nil {
		w.rollBack(start, internedCount)
		return 0, trace.Wrap(err, "frameWriter.appendFrame: encoding kind %d", m.Kind())
	}
	size := len(w.buf) - start
	if size > maxBytes {
		w.rollBack(start, internedCount)
		return 0, trace.LimitExceeded("frameWriter.appendFrame: frame of kind %d has %d bytes, more than %d", m.Kind(), size, maxBytes)
	}
	binary.BigEndian.PutUint32(w.buf[start:], uint32(size-lengthBytes))
	return size, nil
}

func (w *frameWriter) encode(m cleat.Message) error {
	return w.enc.WithDict(w.interned, func(enc *msgpack.Encoder) error {
		return enc.Encode(m)
	})
}

// rollBack removes a partial frame, and the interned strings that were added for it: the
// other end would never receive them.
func (w *frameWriter) rollBack(start, internedCount int) {
	w.buf = w.buf[:start]
	for s, index := range w.interned {
		if index >= internedCount {
			delete(w.interned, s)
		}
	}
}

// Sizer computes the encoded sizes of messages sent in sequence over one direction of a link.
type Sizer struct {
	w *frameWriter
}

// NewSizer returns a Sizer for a new link, on which no interned strings were sent yet.
func NewSizer() *Sizer {
	return &Sizer{w: newFrameWriter()}
}

// Bytes returns the size of m's frame, in bytes, or an error when it can't be encoded.
func (s *Sizer) Bytes(m cleat.Message) (int, error) {
	s.w.buf = s.w.buf[:0]
	return s.w.appendFrame(m, math.MaxInt)
}

// swapBuffer returns the buffered frames and reuses spare as the new buffer.
func (w *frameWriter) swapBuffer(spare []byte) []byte {
	b := w.buf
	w.buf = spare[:0]
	return b
}

// frameReader decodes frames from a stream; its decoder keeps the table of interned
// strings that the other end sends by index.
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

// readFrame reads one frame and returns its message and size; the message is nil for
// an unknown kind.
func (r *frameReader) readFrame(maxBytes int) (cleat.Message, int, error) {
	header, err := r.r.Peek(headerBytes)
	if err != nil {
		return nil, 0, err
	}
	length := binary.BigEndian.Uint32(header)
	kind := cleat.MessageKind(header[lengthBytes])
	if length < 1 || uint64(length)+lengthBytes > uint64(maxBytes) {
		return nil, 0, trace.LimitExceeded("frameReader.readFrame: frame of kind %d has length %d; it must be positive and the frame at most %d bytes", kind, length, maxBytes)
	}
	size := int(length) + lengthBytes
	if _, err := r.r.Discard(headerBytes); err != nil {
		return nil, 0, err
	}
	body := r.bodyBuffer(size - headerBytes)
	if _, err := io.ReadFull(r.r, body); err != nil {
		return nil, 0, err
	}
	m, err := cleat.NewMessage(kind)
	if err != nil {
		return nil, size, nil
	}
	r.src.Reset(body)
	if err := r.dec.Decode(m); err != nil {
		return nil, size, trace.BadParameter("frameReader.readFrame: frame of kind %d can't be decoded: %v", kind, err)
	}
	return m, size, nil
}

func (r *frameReader) bodyBuffer(n int) []byte {
	if n > maxRetainedBufferBytes {
		return make([]byte, n)
	}
	if cap(r.body) < n {
		r.body = make([]byte, max(n, 2*cap(r.body)))
	}
	return r.body[:n]
}
