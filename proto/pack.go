package proto

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"
)

// packFrom is from how many bytes on the body of a message is compressed: lists of targets and of daemons, whose entries
// are alike. Smaller ones gain less than a packet. A list of 3,000 targets takes a sixth of its bytes, for some
// milliseconds of processor time at either end (BenchmarkPack).
const packFrom = 1 << 10

// packers are kept, since each has some hundred kilobytes of tables.
var packers = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, flate.BestSpeed)
	if err != nil {
		panic(err) // Only a level that does not exist fails.
	}
	return w
}}

// pack compresses a body.
func pack(body []byte) ([]byte, error) {
	w := packers.Get().(*flate.Writer)
	defer packers.Put(w)
	var packed bytes.Buffer
	w.Reset(&packed)
	if _, err := w.Write(body); err != nil {
		return nil, &Error{Op: "pack message", Kind: KindInvalid, Err: err}
	}
	if err := w.Close(); err != nil {
		return nil, &Error{Op: "pack message", Kind: KindInvalid, Err: err}
	}
	return packed.Bytes(), nil
}

// unpack reads what pack wrote, up to the size that a message may have.
func unpack(packed []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(packed))
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
