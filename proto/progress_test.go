package proto

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// TestCallGoesOnWhileItsAnswerArrives guards against answers that are given up halfway because they are large or their link is slow, and
// against senders that hold a call with single bytes.
func TestCallGoesOnWhileItsAnswerArrives(t *testing.T) {
	const begin = 300 * time.Millisecond
	for _, s := range []struct {
		name string
		// wait is how long the answer is awaited, and chunks of a size follow at an interval.
		wait     time.Duration
		chunk    int
		interval time.Duration
		lasts    time.Duration
		want     error
	}{
		{"it arrives for longer than it may take to begin", 0, 4 << 10, 100 * time.Millisecond, 2 * time.Second, nil},
		{"it does not begin", 2 * begin, 1, time.Millisecond, time.Second, context.DeadlineExceeded},
		{"it stalls", 0, 4 << 10, 2 * stallTimeout, time.Minute, context.DeadlineExceeded},
		{"single bytes", 0, 1, 10 * time.Millisecond, time.Minute, context.DeadlineExceeded},
	} {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				time.Sleep(s.wait)
				for end := time.Now().Add(s.lasts); time.Now().Before(end) && r.Context().Err() == nil; time.Sleep(s.interval) {
					_, _ = w.Write(make([]byte, s.chunk))
					_ = http.NewResponseController(w).Flush()
				}
			}))
			defer server.Close()
			ctx, progress, cancel := WithProgress(context.Background(), begin)
			defer cancel()
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, server.URL, nil)
			if err != nil {
				t.Fatal(err)
			}
			resp, err := http.DefaultClient.Do(req)
			if err == nil {
				defer resp.Body.Close()
				ProgressOf(ctx).Receive(0)
				_, err = io.Copy(io.Discard, progress.Reader(resp.Body))
			}
			if got := CallError(ctx, err); !errors.Is(got, s.want) {
				t.Errorf("the call ended with %v, want %v", got, s.want)
			}
		})
	}
}
