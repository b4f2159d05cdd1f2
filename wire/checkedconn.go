package wire

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"emberlead/proto"
)

// checkEnds returns a function that opens connections whose reads return io.EOF only if the other end closed in order.
func checkEnds(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &checkedConn{socketConn: socketConn{conn}}, nil
	}
}

// checkedConn is a connection whose reader learns of errors that were reported to a writer. The kernel reports the error of a connection
// to a single call, and to the calls after it only that there is no more data.
type checkedConn struct {
	socketConn
	// written counts the bytes that were passed to Write.
	written atomic.Int64
	// writing is held during a write, and guards broken.
	writing sync.Mutex
	broken  error
}

// Write writes to the connection.
func (c *checkedConn) Write(p []byte) (int, error) {
	c.written.Add(int64(len(p)))
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if c.broken == nil && isBreak(err) {
		c.broken = err
	}
	return n, err
}

// Read reads from the connection.
func (c *checkedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		if broken := c.breakError(); broken != nil {
			err = broken
		}
	}
	return n, err
}

// breakError returns the error that a writer got as the connection broke. It ends a write in progress, which may have got the error but
// not returned yet; nothing comes back for what it would send.
func (c *checkedConn) breakError() error {
	_ = c.SetWriteDeadline(time.Unix(1, 0)) // A closed connection has no write in progress.
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.broken
}

// isBreak reports whether the error of a write means that the connection did not end in order. EPIPE follows an orderly end of the other
// direction.
func isBreak(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && errno != syscall.EPIPE
}

// socketConn makes the socket of a wrapped connection accessible.
type socketConn struct{ net.Conn }

// SetLinger sets what becomes of unsent data when the connection is closed.
func (c socketConn) SetLinger(seconds int) error {
	own, ok := c.Conn.(lingerer)
	if !ok {
		return newError("access connection", proto.KindInvalid, "it has no linger time")
	}
	return own.SetLinger(seconds)
}

// SyscallConn returns the raw connection, by which the end of an idle one is noticed.
func (c socketConn) SyscallConn() (syscall.RawConn, error) {
	own, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, newError("access connection", proto.KindInvalid, "it has no descriptor")
	}
	return own.SyscallConn()
}
