package proto

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"
)

// compressMinSize is the size in bytes from which message bodies are compressed: lists of targets and of daemons, whose
// entries are similar. Compressing smaller bodies would save less than one packet. A list of 3,000 targets shrinks to a
// sixth, at the cost of a few milliseconds of CPU time on each side (see BenchmarkPack).
const compressMinSize = 1 << 10

// compressors is a pool because each compressor allocates several hundred kilobytes of tables.
var compressors = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, flate.BestSpeed)
	if err != nil {
		panic(err) // NewWriter fails only for an invalid level.
	}
	return w
}}

func compress(body []byte) ([]byte, error) {
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	var compressed bytes.Buffer
	w.Reset(&compressed)
	if _, err := w.Write(body); err != nil {
		return nil, &Error{Op: "pack message", Kind: KindInvalid, Err: err}
	}
	if err := w.Close(); err != nil {
		return nil, &Error{Op: "pack message", Kind: KindInvalid, Err: err}
	}
	return compressed.Bytes(), nil
}

// decompress decompresses a body, up to the maximum message size.
func decompress(compressed []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(compressed))
	defer r.Close()
	body, err := io.ReadAll(io.LimitReader(r, MaxMessageSize+1))
	if err != nil {
		return nil, &Error{Op: "unpack message", Kind: KindInvalid, Err: err}
	}
	if len(body) > MaxMessageSize {
		return nil, newError("unpack message", KindInvalid, "a body of more than %d bytes", MaxMessageSize)
	}
	return body, nil
}
