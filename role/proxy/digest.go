package proxy

import (
	"crypto/sha256"
	"encoding/binary"
	"io"
	"strconv"
)

// requestDigest returns a digest that equal requests share, whatever the ids of their
// attempts: of the method, host, path and query, of the caller's workspace or key, of
// the prompt's blocks and of the body. It is computed once, when it is first needed.
func (x *exchange) requestDigest() uint64 {
	if x.digest != 0 {
		return x.digest
	}
	caller := string(x.workspace)
	if caller == "" {
		if w, ok := x.table.WorkspaceByKey(x.info.WorkspaceKey); ok {
			caller = string(w.Name)
		} else {
			caller = "key " + x.info.WorkspaceKey
		}
	}
	h := sha256.New()
	// Writes to a hash never return an error.
	write := func(s string) {
		var n [8]byte
		binary.LittleEndian.PutUint64(n[:], uint64(len(s)))
		_, _ = h.Write(n[:])
		_, _ = io.WriteString(h, s)
	}
	write(x.r.Method)
	write(hostOf(x.r))
	write(targetOf(x.r))
	write(caller)
	var b []byte
	if p := x.info.Prompt; p != nil {
		for _, block := range p.Blocks {
			b = binary.LittleEndian.AppendUint64(b, block.ID)
		}
	}
	write(string(b))
	_, _ = h.Write(x.body)
	var sum [sha256.Size]byte
	x.digest = max(1, binary.LittleEndian.Uint64(h.Sum(sum[:0])))
	return x.digest
}

// digestName returns the request's digest in hexadecimal, for log lines.
func (x *exchange) digestName() string { return strconv.FormatUint(x.requestDigest(), 16) }
