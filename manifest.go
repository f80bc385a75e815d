package cleat

import (
	"bytes"
	"compress/flate"
	"context"
	"hash/crc64"
	"io"
	"time"

	"github.com/gravitational/trace"
)

// MaxManifestBytes bounds the body of a manifest, in bytes.
const MaxManifestBytes = 4 << 20

// Manifest is the complete configuration of routes, services and workspaces in one
// document. It is stored compressed and returned byte for byte as it was sent.
type Manifest struct {
	Version uint64 `msgpack:"v"`
	Packed  []byte `msgpack:"p"` // The body, compressed with DEFLATE.
}

// NewManifest compresses a body, or returns a trace.LimitExceeded error when it is
// larger than MaxManifestBytes.
func NewManifest(version uint64, body []byte) (Manifest, error) {
	if len(body) > MaxManifestBytes {
		return Manifest{}, trace.LimitExceeded("NewManifest: %d bytes, more than %d", len(body), MaxManifestBytes)
	}
	packed, err := pack(body)
	return Manifest{Version: version, Packed: packed}, trace.Wrap(err, "NewManifest")
}

// Body returns the document as it was sent, or a trace.BadParameter error.
func (m Manifest) Body() ([]byte, error) {
	return unpack(m.Packed)
}

// RouteTableDecoder decodes the body of a manifest. For an invalid body it returns a
// trace.BadParameter error that names the fault.
type RouteTableDecoder interface {
	Decode(body []byte) (*RouteTable, error)
}

// ManifestResult is the result of submitting a manifest.
type ManifestResult struct {
	Accepted bool   `msgpack:"a"` // It is in force; otherwise a manifest of the same or a higher version already was.
	Version  uint64 `msgpack:"v"` // Version in force now.
}

// Manifests stores the newest manifest of the fleet.
type Manifests interface {
	// PutManifest stores the document and returns once a quorum has it. Errors are those of
	// Replicator.Propose, a trace.BadParameter error for an invalid document, and a
	// trace.NotImplemented error if this instance accepts no manifests.
	PutManifest(ctx context.Context, body []byte) (ManifestResult, error)
	// GetManifest returns the newest document, confirmed by a quorum; a trace.NotFound error
	// means that there is none yet.
	GetManifest(ctx context.Context) ([]byte, error)
}

// ManifestRead asks for the newest manifest.
type ManifestRead struct {
	KnownVersion uint64 `msgpack:"h"`           // Held by the reader.
	Confirm      bool   `msgpack:"c,omitempty"` // A quorum must confirm that it is the newest.
}

// ManifestUpdate carries the newest manifest: complete, or as the bytes that
// differ from version From. With From equal to To it carries no data and states
// only that To is in force.
type ManifestUpdate struct {
	From      uint64 `msgpack:"f,omitempty"` // Zero if the update holds the complete body.
	To        uint64 `msgpack:"t"`
	Head      int    `msgpack:"h,omitempty"` // Bytes kept from the start of From's body.
	Tail      int    `msgpack:"l,omitempty"` // Bytes kept from the end of From's body.
	Packed    []byte `msgpack:"p"`           // The bytes between Head and Tail, compressed.
	Sum       uint64 `msgpack:"s"`           // Checksum of To's body.
	Confirmed bool   `msgpack:"c,omitempty"` // A quorum confirmed that it is the newest.

	Age time.Duration `msgpack:"a,omitempty"` // For how long the sender has had the version To.
}

// DiffManifest returns the update that turns old, the body of version from, into body,
// the body of version to. If from is zero, old is ignored and the update is complete.
func DiffManifest(from uint64, old []byte, to uint64, body []byte) (*ManifestUpdate, error) {
	u := &ManifestUpdate{From: from, To: to, Sum: checksumManifest(body)}
	if from == to {
		return u, nil
	}
	if from > 0 {
		u.Head, u.Tail = commonEnds(old, body)
	}
	var err error
	u.Packed, err = pack(body[u.Head : len(body)-u.Tail])
	return u, trace.Wrap(err, "DiffManifest")
}

// Apply returns the body of version To, given old, the body of version have. A
// trace.CompareFailed error means that the update is not based on that body.
func (u *ManifestUpdate) Apply(have uint64, old []byte) ([]byte, error) {
	if u.From == u.To {
		if have != u.To {
			return nil, trace.CompareFailed("ManifestUpdate.Apply: have version %d, not %d", have, u.To)
		}
		return old, nil
	}
	if u.From != 0 && (u.From != have || u.Head < 0 || u.Tail < 0 || u.Head+u.Tail > len(old)) {
		return nil, trace.CompareFailed("ManifestUpdate.Apply: have version %d, not %d", have, u.From)
	}
	middle, err := unpack(u.Packed)
	if err != nil {
		return nil, trace.CompareFailed("ManifestUpdate.Apply: %v", err)
	}
	body := middle
	if u.From != 0 {
		body = bytes.Join([][]byte{old[:u.Head], middle, old[len(old)-u.Tail:]}, nil)
	}
	if checksumManifest(body) != u.Sum {
		return nil, trace.CompareFailed("ManifestUpdate.Apply: the checksum of version %d differs", u.To)
	}
	return body, nil
}

// commonEnds returns the lengths of the common prefix and suffix of a and b, which
// don't overlap in either.
func commonEnds(a, b []byte) (head, tail int) {
	n := min(len(a), len(b))
	for head < n && a[head] == b[head] {
		head++
	}
	n -= head
	for tail < n && a[len(a)-1-tail] == b[len(b)-1-tail] {
		tail++
	}
	return head, tail
}

var manifestCRCTable = crc64.MakeTable(crc64.ECMA)

func checksumManifest(body []byte) uint64 { return crc64.Checksum(body, manifestCRCTable) }

func pack(b []byte) ([]byte, error) {
	var buf bytes.Buffer
	w, err := flate.NewWriter(&buf, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(b); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return buf.Bytes(), nil
}

func unpack(packed []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(packed))
	b, err := io.ReadAll(io.LimitReader(r, MaxManifestBytes+1))
	if err != nil {
		return nil, trace.BadParameter("unpack: %v", err)
	}
	if len(b) > MaxManifestBytes {
		return nil, trace.BadParameter("unpack: more than %d bytes", MaxManifestBytes)
	}
	return b, nil
}
