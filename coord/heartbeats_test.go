package coord

import (
	"testing"
	"time"

	"emberlead/proto"
)

// TestManyChangesCostFewHeartbeats changes what heartbeats carry a hundred times within a second, as the targets of a large fleet do
// when they all start: the first change must be sent at once and the last one within a few ticks, but not each one in between.
func TestManyChangesCostFewHeartbeats(t *testing.T) {
	s := newMesh(40, 1, 4, quickTiming())
	m := s.members["vm-0"]
	content := uint64(0)
	m.heartbeat = func() proto.Heartbeat { return proto.Heartbeat{Routing: content} }
	links := len(m.Links())
	step := s.step()
	m.Tick(s.now)
	s.queue, s.sent = nil, 0

	sentContents := func() map[uint64]int {
		contents := map[uint64]int{}
		for _, msg := range s.queue {
			if heartbeat, ok := msg.m.(proto.Heartbeat); ok && msg.from == "vm-0" {
				contents[heartbeat.Routing]++
			}
		}
		return contents
	}
	content = 1
	m.SendHeartbeats(s.now)
	if sentContents()[1] != links {
		t.Errorf("the first change went to %d of %d links at once", sentContents()[1], links)
	}
	end := s.now.Add(time.Second)
	for s.now.Before(end) {
		s.now = s.now.Add(10 * time.Millisecond)
		content++
		m.SendHeartbeats(s.now)
		if s.now.Sub(m.lastTick) >= step {
			m.Tick(s.now)
		}
	}
	for range 3 {
		s.now = s.now.Add(step)
		m.Tick(s.now)
	}
	contents := sentContents()
	if contents[content] < links {
		t.Errorf("the last change was not sent within a heartbeat interval: %v", contents)
	}
	if most := int(time.Second/s.timing.HeartbeatInterval) + 4; len(contents) > most {
		t.Errorf("%d different heartbeats within a second, want at most %d", len(contents), most)
	}
}
