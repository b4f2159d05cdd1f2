package wire

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
)

// maxReadAhead is how much of a caller's next requests is read, in bytes, while it waits for an answer.
const maxReadAhead = 32 << 10

// readAhead reads a caller's connection. A server of the standard library notices that the caller has left by reading on while it handles a
// request, but stops at the first byte of the next one, so this continues in its place.
type readAhead struct {
	conn net.Conn
	// leave cancels the requests of the connection.
	leave context.CancelFunc

	mu      sync.Mutex
	changed *sync.Cond
	// watching is set while a request is handled of which all was read.
	watching bool
	// reading is set while a goroutine reads ahead, buffered holds what it has read, and err is why it found no more.
	reading  bool
	buffered []byte
	err      error
}

func newReadAhead(conn net.Conn) *readAhead {
	a := &readAhead{conn: conn, leave: func() {}}
	a.changed = sync.NewCond(&a.mu)
	return a
}

// begin is called before a request is handled, and returns its body.
func (a *readAhead) begin(r *http.Request) io.ReadCloser {
	if r.Body == nil || r.Body == http.NoBody {
		a.watch()
		return r.Body
	}
	return &watchedBody{r.Body, a}
}

// watch is called when all of a request was read.
func (a *readAhead) watch() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.watching = true
}

// finish is called when a request was answered.
func (a *readAhead) finish() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.watching = false
}

// Read returns what was read ahead, and then reads the connection.
func (a *readAhead) Read(p []byte) (int, error) {
	if n, done, err := a.take(p); done {
		return n, err
	}
	n, err := a.conn.Read(p)
	a.mu.Lock()
	defer a.mu.Unlock()
	if n > 0 && err == nil && a.watching && !a.reading {
		a.reading = true
		go a.run()
	}
	return n, err
}

// take returns what was read ahead, if anything was or is being read.
func (a *readAhead) take(p []byte) (n int, done bool, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for a.reading && len(a.buffered) == 0 {
		a.changed.Wait()
	}
	if len(a.buffered) > 0 {
		n = copy(p, a.buffered)
		a.buffered = a.buffered[n:]
		return n, true, nil
	}
	return 0, a.err != nil, a.err
}

// run reads ahead while a request is handled, up to a limit.
func (a *readAhead) run() {
	buffer := make([]byte, readBufferSize)
	for {
		n, err := a.conn.Read(buffer)
		if !a.add(buffer[:n], err) {
			return
		}
	}
}

// add records what was read, and reports whether to read on.
func (a *readAhead) add(data []byte, err error) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	defer a.changed.Broadcast()
	a.buffered = append(a.buffered, data...)
	a.reading = err == nil && a.watching && len(a.buffered) < maxReadAhead
	// The server sets a deadline in the past to stop a read of its own.
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		return a.reading
	}
	a.err = err
	if a.watching {
		a.buffered = nil
		a.leave()
	}
	return false
}

// watchedBody tells when all of a request was read.
type watchedBody struct {
	io.ReadCloser
	ahead *readAhead
}

// Read reads the body.
func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.ahead.watch()
	}
	return n, err
}
