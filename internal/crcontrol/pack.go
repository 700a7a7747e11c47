package crcontrol

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
)

const (
	// packMin is the size in bytes from which data is compressed. Smaller data
	// gains less than a packet.
	packMin = 2 << 10
	// unpackMax bounds decompressed data, in bytes: a body with its catalog
	// decoded and its source in base64.
	unpackMax = 4 * bodyMax
)

// gzipMagic begins compressed data. JSON never begins so.
var gzipMagic = []byte{0x1f, 0x8b}

// pack compresses data that is large. A catalog of hundreds of routes shrinks
// to a tenth, on the disks and between the instances.
func pack(data []byte) ([]byte, error) {
	if len(data) < packMin {
		return data, nil
	}
	var out bytes.Buffer
	w, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("compress: %w", err)
	}
	if _, err := w.Write(data); err != nil {
		return nil, fmt.Errorf("compress: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress: %w", err)
	}
	return out.Bytes(), nil
}

// unpack returns what pack was given.
func unpack(data []byte) ([]byte, error) {
	if !bytes.HasPrefix(data, gzipMagic) {
		return data, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, fmt.Errorf("decompress: %w", err)
	}
	out, err := io.ReadAll(io.LimitReader(r, unpackMax))
	if err != nil {
		return nil, fmt.Errorf("decompress: %w", err)
	}
	return out, nil
}
