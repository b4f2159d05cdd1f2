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

// TestHeartbeatsCountAsOfWhenTheyWereSent guards against heartbeats that waited on a link, or at a suspended daemon, and confirm the copy as of
// when they were read.
func TestHeartbeatsCountAsOfWhenTheyWereSent(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := &relayPeers{clock: clock, loads: map[proto.VM]peerLoad{}}
	// The clock of the sender differs.
	const clocksApart, latency = 3 * time.Hour, 2 * time.Millisecond
	scenarios := []struct {
		name string
		took time.Duration
	}{
		{"a first one", latency},
		{"one that waits for 5 s", latency + 5*time.Second},
		{"one beside it", latency},
		{"one that waits for 0.3 s", latency + 300*time.Millisecond},
	}
	for _, s := range scenarios {
		sentAt := clock.Now()
		h := proto.Heartbeat{Incarnation: 1, SentAt: time.Duration(sentAt.Add(clocksApart).UnixNano())}
		clock.Advance(s.took)
		if got := p.recordLoad(clock.Now(), "vm-2", h).Sub(sentAt); got != latency {
			t.Errorf("%s: counts as sent %s after it was, want %s", s.name, got, latency)
		}
	}
}
