package wire

import (
	"io"
	"sync/atomic"

	"emberlead/proto"
)

const (
	// maxHeadBytes limits what precedes the body of an answer: its head, and the interim answers and heads of answers to other
	// requests before it.
	maxHeadBytes = 64 << 10
	// uncountedHeadBytes of each head do not count against maxAllHeadBytes, which limits the heads that are being read at a time.
	// Parsed headers take many times their size.
	uncountedHeadBytes = 4 << 10
	maxAllHeadBytes    = 2 << 20
)

// AnswerLimitCounts holds how many answers were given up because of their size since the start, by what was too large.
type AnswerLimitCounts struct {
	Head int64 `json:"head"`
	// AllHeads counts heads for which the daemon had no room beside others.
	AllHeads int64 `json:"allHeads"`
	// Stray counts answers to other requests.
	Stray int64 `json:"stray"`
}

// answerLimits limits what is read of answers beside their bodies.
type answerLimits struct {
	headBytes              atomic.Int64
	heads, allHeads, stray atomic.Int64
}

func (l *answerLimits) counts() AnswerLimitCounts {
	return AnswerLimitCounts{Head: l.heads.Load(), AllHeads: l.allHeads.Load(), Stray: l.stray.Load()}
}

// answerPart is what is read of a connection.
type answerPart uint8

const (
	// partBody is limited by the caller of the transport.
	partBody answerPart = iota
	partHead
	// partStray is the body of an answer to another request.
	partStray
)

// limitedReader reads from a connection, and limits each part but the body of the own answer.
type limitedReader struct {
	io.Reader
	limits *answerLimits
	part   answerPart
	// read are the bytes of the part, counted of which are part of headBytes.
	read, counted int64
}

// begin starts a part of an answer.
func (r *limitedReader) begin(part answerPart) {
	r.limits.headBytes.Add(-r.counted)
	r.part, r.read, r.counted = part, 0, 0
}

// Read reads bytes of a part.
func (r *limitedReader) Read(p []byte) (int, error) {
	limit := int64(maxHeadBytes)
	switch {
	case r.part == partBody:
		return r.Reader.Read(p)
	case r.part == partStray:
		limit = maxStrayBytes
	}
	if r.read >= limit {
		return 0, r.tooLarge(limit)
	}
	n, err := r.Reader.Read(p[:min(int64(len(p)), limit-r.read)])
	r.read += int64(n)
	if r.part == partStray {
		return n, err
	}
	if more := r.read - uncountedHeadBytes - r.counted; more > 0 {
		r.counted += more
		if r.limits.headBytes.Add(more) > maxAllHeadBytes {
			r.limits.allHeads.Add(1)
			return 0, newError("read answer", proto.KindTooLarge, "the heads of all answers have more than %d bytes", maxAllHeadBytes)
		}
	}
	return n, err
}

func (r *limitedReader) tooLarge(limit int64) error {
	if r.part == partStray {
		r.limits.stray.Add(1)
		return newError("read answer", proto.KindTooLarge, "one to another request has more than %d bytes", limit)
	}
	r.limits.heads.Add(1)
	return newError("read answer", proto.KindTooLarge, "its head has more than %d bytes", limit)
}
