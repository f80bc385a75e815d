package store

import (
	"encoding/binary"
	"hash/crc32"
)

// The layout of a frame: payload length, checksum, synced size, payload. The checksum
// covers the length, the synced size and the payload.
const (
	lengthFieldBytes   = 4
	checksumFieldBytes = 4
	syncedFieldBytes   = 8
	frameHeaderBytes   = lengthFieldBytes + checksumFieldBytes + syncedFieldBytes

	// MaxRecordBytes bounds one record.
	MaxRecordBytes = 64 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

type frame struct {
	payload []byte
	synced  uint64 // Bytes of the segment known to be synced when the frame was written.
	end     int    // Offset after the frame.
}

func appendFrame(dst, payload []byte, synced uint64) []byte {
	start := len(dst)
	dst = binary.LittleEndian.AppendUint32(dst, uint32(len(payload)))
	dst = append(dst, 0, 0, 0, 0)
	dst = binary.LittleEndian.AppendUint64(dst, synced)
	dst = append(dst, payload...)
	binary.LittleEndian.PutUint32(dst[start+lengthFieldBytes:], checksum(dst[start:]))
	return dst
}

func checksum(frame []byte) uint32 {
	sum := crc32.Update(0, castagnoli, frame[:lengthFieldBytes])
	return crc32.Update(sum, castagnoli, frame[lengthFieldBytes+checksumFieldBytes:])
}

// readFrame returns the frame at offset, or false when there is no complete
// and valid one.
func readFrame(data []byte, offset int) (frame, bool) {
	if len(data)-offset < frameHeaderBytes {
		return frame{}, false
	}
	length := binary.LittleEndian.Uint32(data[offset:])
	if length == 0 || length > MaxRecordBytes || int(length) > len(data)-offset-frameHeaderBytes {
		return frame{}, false
	}
	end := offset + frameHeaderBytes + int(length)
	if binary.LittleEndian.Uint32(data[offset+lengthFieldBytes:]) != checksum(data[offset:end]) {
		return frame{}, false
	}
	synced := binary.LittleEndian.Uint64(data[offset+lengthFieldBytes+checksumFieldBytes:])
	return frame{payload: data[offset+frameHeaderBytes : end], synced: synced, end: end}, true
}

// syncedBeyond reports whether a valid frame after offset records that the
// segment was synced beyond offset.
func syncedBeyond(data []byte, offset int) bool {
	for at := offset + 1; at+frameHeaderBytes < len(data); at++ {
		f, ok := readFrame(data, at)
		if ok && f.synced > uint64(offset) {
			return true
		}
	}
	return false
}
