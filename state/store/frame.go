package store

import (
	"encoding/binary"
	"hash/crc32"
)

// A frame is: payload length, checksum, synced size, payload. The checksum
// covers the length, the synced size and the payload.
const (
	lengthBytes   = 4
	checksumBytes = 4
	syncedBytes   = 8
	frameHead     = lengthBytes + checksumBytes + syncedBytes

	// MaxRecordBytes bounds one record.
	MaxRecordBytes = 64 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

type frame struct {
	payload []byte
	synced  uint64
	end     int
}

func appendFrame(dst, payload []byte, synced uint64) []byte {
	start := len(dst)
	dst = binary.LittleEndian.AppendUint32(dst, uint32(len(payload)))
	dst = append(dst, 0, 0, 0, 0)
	dst = binary.LittleEndian.AppendUint64(dst, synced)
	dst = append(dst, payload...)
	binary.LittleEndian.PutUint32(dst[start+lengthBytes:], checksum(dst[start:]))
	return dst
}

func checksum(frame []byte) uint32 {
	sum := crc32.Update(0, castagnoli, frame[:lengthBytes])
	return crc32.Update(sum, castagnoli, frame[lengthBytes+checksumBytes:])
}

// readFrame returns the frame at offset, or false when none is whole there.
func readFrame(data []byte, offset int) (frame, bool) {
	if len(data)-offset < frameHead {
		return frame{}, false
	}
	length := binary.LittleEndian.Uint32(data[offset:])
	if length == 0 || length > MaxRecordBytes || int(length) > len(data)-offset-frameHead {
		return frame{}, false
	}
	end := offset + frameHead + int(length)
	if binary.LittleEndian.Uint32(data[offset+lengthBytes:]) != checksum(data[offset:end]) {
		return frame{}, false
	}
	synced := binary.LittleEndian.Uint64(data[offset+lengthBytes+checksumBytes:])
	return frame{payload: data[offset+frameHead : end], synced: synced, end: end}, true
}

// syncedBeyond reports whether a whole frame after offset proves that the
// segment was synced beyond it.
func syncedBeyond(data []byte, offset int) bool {
	for at := offset + 1; at+frameHead < len(data); at++ {
		f, ok := readFrame(data, at)
		if ok && f.synced > uint64(offset) {
			return true
		}
	}
	return false
}
