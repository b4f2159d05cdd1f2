package serve

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines is the number of lines that may wait for a slow reader of the log: some seconds of a busy daemon.
	maxQueuedLines = 4096
	// dropReportInterval is how often dropped lines are reported.
	dropReportInterval = time.Second
)

// LogSink writes log lines without ever blocking the logger: when the reader is slow, lines are dropped and counted.
type LogSink struct {
	lines           chan []byte
	unreportedDrops atomic.Int64
	totalDrops      atomic.Int64
	// closing is closed by Close, and done once all lines queued before are written. Goroutines may log after that.
	closing, done chan struct{}
	closeOnce     sync.Once
}

// NewLogSink returns a sink that writes to out in its own goroutine.
func NewLogSink(out io.Writer) *LogSink { return newLogSink(out, time.Now) }

func newLogSink(out io.Writer, now func() time.Time) *LogSink {
	s := &LogSink{lines: make(chan []byte, maxQueuedLines), closing: make(chan struct{}), done: make(chan struct{})}
	go s.run(out, now)
	return s
}

// Write queues one line; it never fails and never blocks.
func (s *LogSink) Write(p []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), p...):
	default:
		s.unreportedDrops.Add(1)
		s.totalDrops.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of lines dropped since the start.
func (s *LogSink) Dropped() int64 { return s.totalDrops.Load() }

// Close waits until the queued lines are written, but no longer than the given time. Lines logged later may be lost.
func (s *LogSink) Close(timeout time.Duration) {
	s.closeOnce.Do(func() { close(s.closing) })
	select {
	case <-s.done:
	case <-time.After(timeout):
	}
}

func (s *LogSink) run(out io.Writer, now func() time.Time) {
	defer close(s.done)
	reportedAt := now()
	for {
		line, ok := s.next()
		if !ok {
			return
		}
		// There is nowhere to report that the log cannot be written.
		_, _ = out.Write(line)
		if current := now(); current.Sub(reportedAt) > dropReportInterval {
			reportedAt = current
			if n := s.unreportedDrops.Swap(0); n > 0 {
				_, _ = fmt.Fprintf(out, "{\"@level\":\"warn\",\"@message\":\"log lines were dropped\",\"lines\":%d}\n", n)
			}
		}
	}
}

// next returns the next line, or false if none is queued after Close.
func (s *LogSink) next() (line []byte, ok bool) {
	select {
	case line = <-s.lines:
		return line, true
	case <-s.closing:
	}
	select {
	case line = <-s.lines:
		return line, true
	default:
		return nil, false
	}
}
