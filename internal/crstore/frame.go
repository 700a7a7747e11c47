package crstore

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// A frame is what one sync makes last:
//
//	magic 4 | length 4 | sequence 8 | crc32c 4 | payload
//
// in little endian; the checksum covers length, sequence and payload. A frame
// is written only after the one before it has been synced, so only the last
// one can be torn.
const (
	headerSize = 20
	crcAt      = 16
)

var (
	magic      = []byte{0xc4, 0x52, 0x6c, 0x47}
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
)

// CorruptError says that a file is damaged where it must not be.
type CorruptError struct {
	File   string
	Offset int64
	Reason string
}

// Error names the file and the offset.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("%s is corrupt at offset %d: %s", e.File, e.Offset, e.Reason)
}

// appendFrame adds a frame to buf.
func appendFrame(buf []byte, seq uint64, payload []byte) []byte {
	start := len(buf)
	buf = append(buf, magic...)
	buf = binary.LittleEndian.AppendUint32(buf, uint32(len(payload)))
	buf = binary.LittleEndian.AppendUint64(buf, seq)
	buf = binary.LittleEndian.AppendUint32(buf, checksum(buf[start+4:start+crcAt], payload))
	return append(buf, payload...)
}

// checksum covers a frame's length, sequence and payload.
func checksum(head, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum(head, castagnoli), castagnoli, payload)
}

// readFrame returns the payload and sequence of the frame at the start of
// data, and the frame's size; false when there is no whole one.
func readFrame(data []byte) (payload []byte, seq uint64, size int, ok bool) {
	if len(data) < headerSize || !bytes.Equal(data[:len(magic)], magic) {
		return nil, 0, 0, false
	}
	length := uint64(binary.LittleEndian.Uint32(data[4:]))
	if length > uint64(len(data)-headerSize) {
		return nil, 0, 0, false
	}
	size = headerSize + int(length)
	payload = data[headerSize:size:size]
	if binary.LittleEndian.Uint32(data[crcAt:]) != checksum(data[4:crcAt], payload) {
		return nil, 0, 0, false
	}
	return payload, binary.LittleEndian.Uint64(data[8:]), size, true
}

// laterFrame returns where the next whole frame with a sequence above seq
// starts, or -1.
func laterFrame(data []byte, seq uint64) int {
	for at := 0; ; at++ {
		i := bytes.Index(data[at:], magic)
		if i < 0 {
			return -1
		}
		at += i
		if _, found, _, ok := readFrame(data[at:]); ok && found > seq {
			return at
		}
	}
}
