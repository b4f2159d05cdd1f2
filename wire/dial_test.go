package wire

import (
	"context"
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"
)

// TestDialRetriesLostSYN lets the first attempts get no answer, as from a VM that is powered off.
func TestDialRetriesLostSYN(t *testing.T) {
	refused := errors.New("connection refused")
	scenarios := []struct {
		name     string
		lost     int
		err      error
		attempts int
	}{
		{"first attempt connects", 0, nil, 1},
		{"two SYNs lost", 2, nil, 3},
		{"refusal is not retried", 0, refused, 1},
		{"refusal after a lost SYN", 1, refused, 2},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			// The clock stands still while an attempt is at work, so that no delay of the machine counts as a lost SYN.
			synctest.Test(t, func(t *testing.T) {
				attempts := 0
				dial := dialFunc(func(ctx context.Context, _, _ string) (net.Conn, error) {
					attempts++
					if attempts <= s.lost {
						<-ctx.Done()
						return nil, ctx.Err()
					}
					return nil, s.err
				})
				_, err := dial.withRetry(time.Millisecond)(t.Context(), "tcp4", "192.0.2.1:1")
				if !errors.Is(err, s.err) || attempts != s.attempts {
					t.Errorf("%d attempts and error %v, want %d and %v", attempts, err, s.attempts, s.err)
				}
			})
		})
	}
}

// TestDialRetriesEndWithContext lets no attempt get an answer.
func TestDialRetriesEndWithContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	attempts := 0
	dial := dialFunc(func(ctx context.Context, _, _ string) (net.Conn, error) {
		if attempts++; attempts == 3 {
			cancel()
		}
		<-ctx.Done()
		return nil, ctx.Err()
	})
	if _, err := dial.withRetry(time.Millisecond)(ctx, "tcp4", "192.0.2.1:1"); !errors.Is(err, context.Canceled) || attempts != 3 {
		t.Errorf("%d attempts and error %v, want 3 and context.Canceled", attempts, err)
	}
}
