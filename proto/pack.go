package proto

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"
)

// compressMinSize is from how many bytes on the body of a message is compressed: lists of targets and of daemons, whose entries
// are alike. Smaller ones gain less than a packet. A list of 3,000 targets takes a sixth of its bytes, for some
// milliseconds of processor time at either end (BenchmarkPack).
const compressMinSize = 1 << 10

// compressors are kept, since each has some hundred kilobytes of tables.
var compressors = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, flate.BestSpeed)
	if err != nil {
		panic(err) // Only a level that does not exist fails.
	}
	return w
}}

// compress compresses a body.
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

// decompress reads what pack wrote, up to the size that a message may have.
func decompress(compressed []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(compressed))
	defer r.Close()
	body, err := io.ReadAll(io.LimitReader(r, MaxMessage+1))
	if err != nil {
		return nil, &Error{Op: "unpack message", Kind: KindInvalid, Err: err}
	}
	if len(body) > MaxMessage {
		return nil, newError("unpack message", KindInvalid, "a body of more than %d bytes", MaxMessage)
	}
	return body, nil
}
