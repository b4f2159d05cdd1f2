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
		t.Errorf("%d daemons were given all at once", sent)
	}
	if s.allowFullSend(now.Add(fullListInterval-1)) || !s.allowFullSend(now.Add(fullListInterval)) {
		t.Error("the next one is not given all after the time between two")
	}
}
