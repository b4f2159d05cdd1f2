package serve

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"
)

// stuckWriter blocks each write until it is released.
type blockingWriter struct {
	release chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (w *blockingWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.Write(p)
}

// TestBlockedLogReaderDoesNotBlockWriters writes far more lines than the queue holds while nothing is read.
func TestBlockedLogReaderDoesNotBlockWriters(t *testing.T) {
	w := &blockingWriter{release: make(chan struct{})}
	s := NewLogSink(w)
	const lines = 3 * maxQueuedLines
	for range lines {
		if n, err := s.Write([]byte("line\n")); n != 5 || err != nil {
			t.Fatalf("wrote %d, %v", n, err)
		}
	}
	dropped := s.Dropped()
	if dropped < lines-maxQueuedLines-1 || dropped > lines-maxQueuedLines {
		t.Errorf("%d lines dropped, want about %d", dropped, lines-maxQueuedLines)
	}
	close(w.release)
	s.Close(time.Minute)
	w.mu.Lock()
	defer w.mu.Unlock()
	if got := strings.Count(w.written.String(), "line\n"); int64(got) != lines-dropped {
		t.Errorf("%d lines were written, %d not dropped", got, lines-dropped)
	}
}

// TestDroppedLinesAreReported lets a report interval pass between writes, by the clock of the sink.
func TestDroppedLinesAreReported(t *testing.T) {
	w := &blockingWriter{release: make(chan struct{})}
	now := time.Date(2026, 12, 1, 9, 0, 0, 0, time.UTC)
	s := newLogSink(w, func() time.Time {
		now = now.Add(dropReportInterval)
		return now
	})
	for range 2 * maxQueuedLines {
		_, _ = s.Write([]byte("line\n"))
	}
	close(w.release)
	s.Close(time.Minute)
	w.mu.Lock()
	defer w.mu.Unlock()
	if !strings.Contains(w.written.String(), `"log lines were dropped","lines":`) {
		t.Error("the number of dropped lines is not reported")
	}
}

// TestLoggingWhileSinkClosesDoesNotPanic guards against a daemon that ends with a panic since goroutines log after its log is closed.
func TestLoggingWhileSinkClosesDoesNotPanic(t *testing.T) {
	w := &blockingWriter{release: make(chan struct{})}
	close(w.release)
	s := NewLogSink(w)
	_, _ = s.Write([]byte("first\n"))
	stop := make(chan struct{})
	var writers sync.WaitGroup
	for range 4 {
		writers.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					_, _ = s.Write([]byte("line\n"))
				}
			}
		})
	}
	s.Close(10 * time.Millisecond)
	s.Close(10 * time.Millisecond)
	_, _ = s.Write([]byte("last\n"))
	close(stop)
	writers.Wait()
	s.Close(time.Minute)
	w.mu.Lock()
	defer w.mu.Unlock()
	if !strings.HasPrefix(w.written.String(), "first\n") {
		t.Error("a line that was queued before is lost")
	}
}
