package coord

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"emberlead/proto"
	"emberlead/state"
)

const (
	// minMembersInterval is the minimum time between two complete memberships that a daemon sends to starting daemons. One takes
	// milliseconds to send, and when all daemons start together the few in everyone's settings would do nothing else.
	minMembersInterval = 50 * time.Millisecond
	// membersAskHeartbeats is for how many heartbeats a linked daemon must know other runs, without any news at either, before it is asked
	// for them, and the minimum time between two such questions.
	membersAskHeartbeats = 3
)

// membersDifference is a difference between the live runs that this daemon and a linked one know, by their digests.
type membersDifference struct {
	ours, theirs uint64
	since        time.Time
}

// membersDigest returns a digest that is equal at daemons that consider the same runs alive.
func (m *Members) membersDigest() uint64 {
	if m.liveDigest != 0 {
		return m.liveDigest
	}
	digest := uint64(0)
	for vm, mem := range m.members {
		if mem.announced && !mem.dead {
			digest ^= state.RendezvousScore(xxhash.Sum64String(string(vm)), uint64(mem.announcement.Incarnation))
		}
	}
	// Half of the bits are enough to find a difference, and heartbeats are most of what idle daemons send.
	m.liveDigest = max(1, digest>>32)
	return m.liveDigest
}

// compareMembers asks a linked daemon for the runs that it knows if they keep differing from those that this daemon knows, as when this
// daemon has just started or announcements were lost.
func (m *Members) compareMembers(now time.Time, mem *member, theirDigest uint64) {
	own := m.membersDigest()
	if theirDigest == 0 || theirDigest == own {
		mem.difference = membersDifference{}
		return
	}
	if mem.difference.ours != own || mem.difference.theirs != theirDigest {
		mem.difference = membersDifference{ours: own, theirs: theirDigest, since: now}
		return
	}
	wait := membersAskHeartbeats * m.timing.HeartbeatInterval
	if now.Sub(mem.difference.since) < wait || now.Sub(m.membersAskedAt) < wait {
		return
	}
	m.membersAskedAt = now
	m.peers.Send(mem.announcement.VM, proto.MembersAsk{})
}

// HandleMembersAsk sends the known membership to a daemon that asked for it.
func (m *Members) HandleMembersAsk(from proto.VM) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sendMembers(from)
}

func (m *Members) sendMembers(to proto.VM) {
	membership := proto.News{Complete: true}
	for vm, mem := range m.members {
		if vm != to && vm != m.self.VM && mem.announced && !mem.dead {
			membership.Alive = append(membership.Alive, mem.announcement)
		}
	}
	if len(membership.Alive) > 0 {
		m.peers.Send(to, membership)
	}
}
