package serve

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"emberlead/proto"
)

// TestNewerStateIsAskedForOncePerSpacing has eight linked daemons show newer state at the same moment, as while many targets change: one of
// them is asked, and the next one only after the spacing.
func TestNewerStateIsAskedForOncePerSpacing(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := &relayPeers{clock: clock, newerSince: map[proto.VM]time.Time{}}
	links := []proto.VM{"a", "b", "c", "d", "e", "f", "g", "h"}
	ask := func() (asked int) {
		for _, vm := range links {
			if p.shouldPull(vm, true, false) {
				asked++
			}
		}
		return asked
	}
	if asked := ask(); asked != 1 {
		t.Errorf("%d daemons are asked at the same moment, want 1", asked)
	}
	clock.Advance(pullSpacing)
	if asked := ask(); asked != 1 {
		t.Errorf("%d daemons are asked after the spacing, want 1", asked)
	}
}
