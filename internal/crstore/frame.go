package crstore

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// A frame is the unit of writing. Its layout, with sizes in bytes, is
//
//	magic 4 | length 4 | sequence 8 | crc32c 4 | payload
//
// in little endian. The checksum covers length, sequence and payload. A frame
// is appended to the log only after the previous frame has been synced, so only
// the last frame can be torn.
const (
	headerSize = 20
	crcOffset  = 16
)

var (
	magic      = []byte{0xc4, 0x52, 0x6c, 0x47}
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
)

// CorruptError reports damage to a file other than a torn tail.
type CorruptError struct {
	File   string
	Offset int64
	Reason string
}

// Error returns a message with the file and the offset.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("%s is corrupt at offset %d: %s", e.File, e.Offset, e.Reason)
}

// appendFrame appends a frame to buf.
func appendFrame(buf []byte, seq uint64, payload []byte) []byte {
	start := len(buf)
	buf = append(buf, magic...)
	buf = binary.LittleEndian.AppendUint32(buf, uint32(len(payload)))
	buf = binary.LittleEndian.AppendUint64(buf, seq)
	buf = binary.LittleEndian.AppendUint32(buf, checksum(buf[start+4:start+crcOffset], payload))
	return append(buf, payload...)
}

// checksum returns the checksum of a frame. The header argument holds the length
// and sequence fields.
func checksum(header, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum(header, castagnoli), castagnoli, payload)
}

// readFrame returns the payload, sequence and size of the frame at the start of
// data. It returns false if there is no valid frame.
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
	if binary.LittleEndian.Uint32(data[crcOffset:]) != checksum(data[4:crcOffset], payload) {
		return nil, 0, 0, false
	}
	return payload, binary.LittleEndian.Uint64(data[8:]), size, true
}

// findLaterFrame returns the offset of the first valid frame with a sequence
// above seq, or -1.
func findLaterFrame(data []byte, seq uint64) int {
	for offset := 0; ; offset++ {
		i := bytes.Index(data[offset:], magic)
		if i < 0 {
			return -1
		}
		offset += i
		if _, frameSeq, _, ok := readFrame(data[offset:]); ok && frameSeq > seq {
			return offset
		}
	}
}
