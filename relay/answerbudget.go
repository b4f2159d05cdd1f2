package relay

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
)

const (
	// initialChunkBytes is the size of the first chunk of an answer of unknown length; most answers are smaller.
	initialChunkBytes = 1 << 10
	// uncountedChunks is how many chunks of an answer are buffered whatever the daemon's limit, so that short answers
	// and failures can always be replaced by those of another target. With the limit of open requests they take a tenth
	// of the VM's memory at most.
	uncountedChunks = 2
)

// byteBudget limits the bytes that all requests of a daemon hold for one purpose; the zero limit is none.
type byteBudget struct {
	limit int64
	used  atomic.Int64
	// denied counts how often there was no room.
	denied atomic.Int64
}

// take takes n bytes if that many are free.
func (b *byteBudget) take(n int64) bool {
	if used := b.used.Add(n); b.limit <= 0 || used <= b.limit {
		return true
	}
	b.used.Add(-n)
	b.denied.Add(1)
	return false
}

// reservation is what one request holds of a budget. Goroutines of canceled attempts may use it after the request has ended.
type reservation struct {
	// budget is nil if there is no limit.
	budget *byteBudget
	mu     sync.Mutex
	held   int64
	closed bool
}

// take takes n bytes if that many are free and the request has not ended.
func (r *reservation) take(n int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.budget == nil {
		return true
	}
	if r.closed || !r.budget.take(n) {
		return false
	}
	r.held += n
	return true
}

// release returns n bytes; what was returned with the end of the request is not returned again.
func (r *reservation) release(n int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n = min(n, r.held); n > 0 {
		r.held -= n
		r.budget.used.Add(-n)
	}
}

// close returns everything at the end of the request.
func (r *reservation) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.held > 0 {
		r.budget.used.Add(-r.held)
	}
	r.held, r.closed = 0, true
}

// errNoRoom means that a budget has no room for what would be read next.
var errNoRoom = errors.New("there is no room for more")

// countedReader reads only what the reservation has room for.
type countedReader struct {
	reader io.Reader
	room   *reservation
}

func (r *countedReader) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	if n > 0 && !r.room.take(int64(n)) {
		return 0, errNoRoom
	}
	return n, err
}

// answerBody is the body of an answer, or a part of it, in chunks.
type answerBody struct {
	chunks [][]byte
	// counted is the number of chunks at the end that are counted in the reservation of the request.
	counted int
}

func (b *answerBody) size() int {
	size := 0
	for _, chunk := range b.chunks {
		size += len(chunk)
	}
	return size
}

// readChunk reads until the chunk is full or an error occurs, and returns what was read.
func readChunk(body Body, size int) ([]byte, error) {
	chunk := make([]byte, size)
	n := 0
	for n < size {
		more, err := body.Read(chunk[n:])
		n += more
		if err != nil {
			return chunk[:n], err
		}
	}
	return chunk, nil
}

// firstChunkBytes returns the size of the first chunk of an answer.
func firstChunkBytes(h http.Header) int {
	length, err := strconv.Atoi(h.Get("Content-Length"))
	if err != nil || length <= 0 {
		return initialChunkBytes
	}
	return min(length, readSize)
}

// readAnswer reads an answer that is no stream. It is buffered until complete, so that another target can answer if this
// one fails. Where the daemon's limit of buffered answers or that of a single one leaves no room, the answer is passed on
// as it arrives: the target is then read no faster than the caller reads.
func (x *exchange) readAnswer(final *attemptUpdate) {
	body, size := &answerBody{}, firstChunkBytes(final.response.Header)
	for {
		x.attempt.race.handover.recordAnswer(x.attempt)
		chunk, err := readChunk(final.response.Body, size)
		size = readSize
		body.chunks = append(body.chunks, chunk)
		if err != nil {
			x.endAnswer(final, body, err)
			return
		}
		switch {
		case !final.passed && isEndlessFailure(final.response, len(body.chunks)*readSize):
			final.oversized = oversizedFailure
			x.answers.release(int64(body.counted) * readSize)
			return
		case !final.passed && len(body.chunks) < uncountedChunks:
		case !final.passed && len(body.chunks)*readSize < maxResponseBytes && x.answers.take(readSize):
			body.counted++
		default:
			final.passed = true
			x.send(&attemptUpdate{response: final.response, info: final.info, passing: true, body: body})
			body = &answerBody{}
		}
	}
}

// isEndlessFailure reports whether a failure response of unknown length is too large by its first bytes.
func isEndlessFailure(response *TargetResponse, bytes int) bool {
	return response.Status >= http.StatusBadRequest && response.Header.Get("Content-Length") == "" && bytes > maxFailureBytes
}

// endAnswer records in the final update how an answer ended.
func (x *exchange) endAnswer(final *attemptUpdate, body *answerBody, err error) {
	final.body = body
	if !errors.Is(err, io.EOF) {
		final.err = err
	}
}
