package serve

import (
	"testing"
	"time"
)

// TestFullListsAreRateLimited has hundreds of daemons that start together ask the same daemon.
func TestFullListsAreRateLimited(t *testing.T) {
	var s documentCache
	now := time.Unix(1_700_000_000, 0)
	sent := 0
	for range 300 {
		if s.allowFullSend(now) {
			sent++
		}
	}
	if sent != 1 {
		t.Errorf("%d daemons were sent the full list at the same time, want 1", sent)
	}
	if s.allowFullSend(now.Add(fullListInterval-1)) || !s.allowFullSend(now.Add(fullListInterval)) {
		t.Error("the next full list is sent before the interval is over, or not after it")
	}
}
