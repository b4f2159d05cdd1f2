package serve

import (
	"testing"
	"time"
)

// TestDaemonsThatKnowNothingAreGivenAllInTurn has hundreds of daemons start together and ask the same one.
func TestDaemonsThatKnowNothingAreGivenAllInTurn(t *testing.T) {
	var s documents
	now := time.Unix(1_700_000_000, 0)
	given := 0
	for range 300 {
		if s.givesAll(now) {
			given++
		}
	}
	if given != 1 {
		t.Errorf("%d daemons were given all at once", given)
	}
	if s.givesAll(now.Add(giveEvery-1)) || !s.givesAll(now.Add(giveEvery)) {
		t.Error("the next one is not given all after the time between two")
	}
}
