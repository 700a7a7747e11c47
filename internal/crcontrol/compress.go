package crcontrol

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
)

const (
	// minCompressBytes is the size from which data is compressed. With smaller
	// data, compression saves less than one network packet.
	minCompressBytes = 2 << 10
	// maxDecompressedBytes bounds decompressed data. It allows for a body that
	// holds both a decoded catalog and the catalog's source in base64.
	maxDecompressedBytes = 4 * maxBodyBytes
)

// gzipMagic is the prefix of compressed data. JSON never starts with it.
var gzipMagic = []byte{0x1f, 0x8b}

// compress compresses data of at least minCompressBytes. It reduces a catalog of
// hundreds of routes to a tenth of its size, on disk and in transfers between
// instances.
func compress(data []byte) ([]byte, error) {
	if len(data) < minCompressBytes {
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

// decompress reverses compress.
func decompress(data []byte) ([]byte, error) {
	if !bytes.HasPrefix(data, gzipMagic) {
		return data, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, fmt.Errorf("decompress: %w", err)
	}
	out, err := io.ReadAll(io.LimitReader(r, maxDecompressedBytes+1))
	if err != nil {
		return nil, fmt.Errorf("decompress: %w", err)
	}
	if len(out) > maxDecompressedBytes {
		return nil, fmt.Errorf("decompress: more than %d bytes", maxDecompressedBytes)
	}
	return out, nil
}
