package proto

import (
	"context"
	"io"
	"sync"
	"time"
)

const (
	// stallTimeout is how long a call goes on without progress once its answer has begun to arrive.
	stallTimeout = 1500 * time.Millisecond
	// minProgress is how many bytes must arrive within stallTimeout, so that a sender of single bytes does not hold a call forever.
	minProgress = 8 << 10
)

// Progress bounds a call by its progress instead of its length: the answer must begin within a time, and then keep arriving. An answer
// that is given up halfway at a fixed limit has to be transferred again, and never arrives where it takes longer than the limit.
type Progress struct {
	cancel context.CancelCauseFunc
	timer  *time.Timer

	mu       sync.Mutex
	deadline time.Time
	// beganAt is when the answer began to arrive; zero if it has not.
	beganAt time.Time
	// received counts the bytes since the deadline was last extended.
	received int
}

// progressContext is the context of a call with a Progress. Its deadline moves.
type progressContext struct {
	context.Context
	progress *Progress
}

type progressKey struct{}

// Deadline returns until when the call must have made progress.
func (c progressContext) Deadline() (time.Time, bool) {
	c.progress.mu.Lock()
	defer c.progress.mu.Unlock()
	if parent, ok := c.Context.Deadline(); ok && parent.Before(c.progress.deadline) {
		return parent, true
	}
	return c.progress.deadline, true
}

// Value returns the Progress for its own key.
func (c progressContext) Value(key any) any {
	if key == (progressKey{}) {
		return c.progress
	}
	return c.Context.Value(key)
}

// WithProgress returns the context of a call whose answer must begin within a time; once it has, it may take as long as it keeps
// arriving.
func WithProgress(parent context.Context, begin time.Duration) (context.Context, *Progress, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	p := &Progress{cancel: cancel, deadline: time.Now().Add(begin)}
	p.timer = time.AfterFunc(begin, func() { cancel(context.DeadlineExceeded) })
	return progressContext{ctx, p}, p, func() {
		p.timer.Stop()
		cancel(nil)
	}
}

// ProgressOf returns the Progress of a call's context, or nil if it has none.
func ProgressOf(ctx context.Context) *Progress {
	p, _ := ctx.Value(progressKey{}).(*Progress)
	return p
}

// Began reports whether the answer has begun to arrive.
func (p *Progress) Began() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.beganAt.IsZero()
}

// Receive records that bytes of the answer have arrived.
func (p *Progress) Receive(bytes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.received += bytes
	switch {
	case p.beganAt.IsZero():
		p.beganAt = time.Now()
	case p.received < minProgress:
		return
	}
	p.received = 0
	// A timer that has fired has ended the call.
	if p.timer.Stop() {
		p.deadline = time.Now().Add(stallTimeout)
		p.timer.Reset(stallTimeout)
	}
}

// Reader returns a reader of the answer that records its progress.
func (p *Progress) Reader(r io.Reader) io.Reader { return &progressReader{r, p} }

type progressReader struct {
	io.Reader
	progress *Progress
}

// Read reads from the answer.
func (r *progressReader) Read(buffer []byte) (int, error) {
	n, err := r.Reader.Read(buffer)
	if n > 0 {
		r.progress.Receive(n)
	}
	return n, err
}

// CallError returns why a call failed: that it made no progress, if that ended its context, or its error.
func CallError(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}
