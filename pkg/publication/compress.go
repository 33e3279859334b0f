package publication

import (
	"bytes"
	"compress/gzip"
	"errors"
	"fmt"
	"io"
)

// ErrCompressed means that a compressed configuration can't be read or is larger than MaxText.
var ErrCompressed = errors.New("publication: compressed configuration can't be read")

// Compress returns text in gzip format.
func Compress(text []byte) []byte {
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	// Writing to a bytes.Buffer doesn't fail.
	_, _ = w.Write(text)
	_ = w.Close()
	return out.Bytes()
}

// Decompress returns the text of a gzip stream of at most MaxText bytes uncompressed. Otherwise it returns
// ErrCompressed.
func Decompress(data []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCompressed, err)
	}
	text, err := io.ReadAll(io.LimitReader(r, MaxText+1))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCompressed, err)
	}
	if len(text) > MaxText {
		return nil, fmt.Errorf("%w: text is larger than %d bytes", ErrCompressed, MaxText)
	}
	return text, nil
}
