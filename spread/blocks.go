package spread

import (
	"bytes"
	"iter"

	"github.com/cespare/xxhash/v2"
)

// maxBlock is the maximum size of a block in bytes, in documents without separators.
const maxBlock = 4 << 10

// separator ends a block. It stands between the entries of a list in JSON, so that a change of one entry leaves the blocks of the others
// as they are, wherever they move.
var separator = []byte("},{")

// Digest returns the digest of a document, and 0 for an empty one.
func Digest(document []byte) uint64 {
	if len(document) == 0 {
		return 0
	}
	return max(xxhash.Sum64(document), 1)
}

// span is a range of a document.
type span struct{ offset, length int }

func (s span) of(document []byte) []byte { return document[s.offset : s.offset+s.length] }

// blocks returns the blocks of a document, which follow from its content alone.
func blocks(document []byte) iter.Seq[span] {
	return func(yield func(span) bool) {
		for offset := 0; offset < len(document); {
			window := document[offset:min(len(document), offset+maxBlock)]
			length := len(window)
			if i := bytes.Index(window, separator); i >= 0 {
				length = i + len(separator)
			}
			if !yield(span{offset, length}) {
				return
			}
			offset += length
		}
	}
}
