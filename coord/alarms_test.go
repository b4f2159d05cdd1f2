package coord

import (
	"fmt"
	"testing"
	"time"

	"emberlead/proto"
)

// quickTiming returns the timing of daemons on the users' platform, which take over work from each other within a
// second.
func quickTiming() MemberTiming {
	return MemberTiming{
		HeartbeatInterval: 300 * time.Millisecond, SilenceTimeout: 900 * time.Millisecond, PauseThreshold: 600 * time.Millisecond,
		MaxListLag: 2 * time.Minute, ForgetAfter: 2 * time.Minute,
	}
}

// messageRate runs the simulation for the given time and returns the messages sent per second by each running daemon.
func (s *meshSim) messageRate(duration time.Duration) float64 {
	before := s.sent
	s.run(duration)
	live := 0
	for _, vm := range s.vms {
		if !s.isDown(vm) {
			live++
		}
	}
	return float64(s.sent-before) / duration.Seconds() / float64(live)
}

// falseDeaths returns the number of pairs of daemons of which one considers the other dead although it is running.
func (s *meshSim) falseDeaths() int {
	wrong := 0
	for _, vm := range s.vms {
		if !s.isDown(vm) {
			dead, _ := s.countDead(vm)
			wrong += dead
		}
	}
	return wrong
}

// TestMassDeathDoesNotFloodLinks kills a third of the daemons at once. The rings close around them, so that daemons get
// links that they did not have before; not having heard each other yet must not count as silence.
func TestMassDeathDoesNotFloodLinks(t *testing.T) {
	for _, daemons := range []int{30, 74, 200} {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			s := newMesh(daemons, 1, 4, quickTiming())
			s.run(5 * time.Second)
			calm := s.messageRate(5 * time.Second)
			for i := range daemons / 3 {
				s.dead[s.vms[i*3]] = true
			}
			s.run(4 * time.Second)
			after := s.messageRate(5 * time.Second)
			if wrong := s.falseDeaths(); wrong > 0 {
				t.Errorf("%d pairs of daemons where one wrongly considers the other dead", wrong)
			}
			for vm := range s.dead {
				if dead, live := s.countDead(vm); dead < live {
					t.Errorf("%s is dead, and %d of %d daemons know", vm, dead, live)
				}
			}
			t.Logf("messages per second and daemon: %.0f before, %.0f after", calm, after)
			if after > 1.5*calm {
				t.Errorf("%.0f messages per second and daemon four seconds after the deaths, %.0f before", after, calm)
			}
		})
	}
}

// TestMassDeathIsDetectedQuickly kills a third of 200 daemons at once, which leaves a quarter of those without half of
// their monitors. Nine pairs in ten must know of the deaths after a silence timeout, a second one for links that are
// new after it, and the time that the news takes to spread.
func TestMassDeathIsDetectedQuickly(t *testing.T) {
	const daemons = 200
	s := newMesh(daemons, 1, 4, quickTiming())
	s.run(5 * time.Second)
	for i := range daemons / 3 {
		s.dead[s.vms[i*3]] = true
	}
	s.run(2*s.timing.SilenceTimeout + 2*s.timing.HeartbeatInterval/batchesPerHeartbeat)
	unaware, pairs := 0, 0
	for vm := range s.dead {
		dead, live := s.countDead(vm)
		unaware += live - dead
		pairs += live
	}
	if wrong := s.falseDeaths(); wrong > 0 {
		t.Errorf("%d pairs of daemons where one wrongly considers the other dead", wrong)
	}
	t.Logf("%d of %d pairs are unaware of the death", unaware, pairs)
	if unaware*10 > pairs {
		t.Errorf("in %d of %d pairs of a live and a dead daemon, the live one does not know of the death", unaware, pairs)
	}
}

// TestNewLinkIsNotReportedSilent kills one daemon: no daemon may raise an alarm about one to which it was just linked.
func TestNewLinkIsNotReportedSilent(t *testing.T) {
	s := newMesh(74, 1, 4, quickTiming())
	s.run(5 * time.Second)
	s.dead["vm-7"] = true
	s.run(10 * time.Second)
	alarms := int64(0)
	for _, vm := range s.vms {
		alarms += s.members[vm].Counts().Alarms
	}
	if limit := int64(2 * DefaultRings().Region); alarms > limit {
		t.Errorf("%d alarms about one death that at most %d daemons can notice", alarms, limit)
	}
}

// TestDaemonAnnouncesItselfOverNewLink starts a daemon that learns from a list of another one, which does not know it.
func TestDaemonAnnouncesItselfOverNewLink(t *testing.T) {
	s := &meshSim{
		now: time.Unix(1_700_000_000, 0), members: map[proto.VM]*Members{}, zone: map[proto.VM]proto.Zone{"old": "r/z", "new": "r/z"},
		vms: []proto.VM{"old"}, dead: map[proto.VM]bool{}, paused: map[proto.VM]bool{}, timing: quickTiming(),
		isCut: func(proto.VM, proto.VM) bool { return false },
	}
	s.start("old", 1)
	s.run(time.Second)
	s.vms = append(s.vms, "new")
	s.start("new", 1)
	s.members["new"].HandleAlive(s.now, proto.Alive{VM: "old", Zone: "r/z", Incarnation: 1, Sequence: 10}, "")
	s.run(600 * time.Millisecond)
	for _, vm := range s.vms {
		if live := len(s.members[vm].Live()); live != 2 {
			t.Errorf("%s knows %d daemons", vm, live)
		}
	}
}

// TestPartitionHeals splits the daemons in two until each side considers the other dead, and then reconnects them.
func TestPartitionHeals(t *testing.T) {
	for _, daemons := range []int{6, 74} {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			s := newMesh(daemons, 1, 4, quickTiming())
			s.run(5 * time.Second)
			half := map[proto.VM]bool{}
			for i, vm := range s.vms {
				half[vm] = i < daemons/2
			}
			s.isCut = func(a, b proto.VM) bool { return half[a] != half[b] }
			s.run(6 * time.Second)
			if s.falseDeaths() == 0 {
				t.Fatal("the two sides do not consider each other dead, so nothing is tested")
			}
			s.isCut = func(proto.VM, proto.VM) bool { return false }
			s.run(6 * time.Second)
			if wrong := s.falseDeaths(); wrong > 0 {
				t.Errorf("%d pairs of daemons where one wrongly considers the other dead", wrong)
			}
		})
	}
}

// TestSimultaneousStart restarts all daemons at once, each with the addresses of three.
func TestSimultaneousStart(t *testing.T) {
	const daemons = 150
	s := newMesh(daemons, 1, 4, quickTiming())
	s.run(3 * time.Second)
	s.queue = nil
	for _, vm := range s.vms {
		s.start(vm, 2)
		for _, seed := range s.vms[:3] {
			s.members[vm].HandleAlive(s.now, proto.Alive{VM: seed, Zone: s.zone[seed], Incarnation: 2, Sequence: 1}, "")
		}
	}
	s.sent = 0
	s.run(5 * time.Second)
	for _, vm := range s.vms {
		if live := len(s.members[vm].Live()); live != daemons {
			t.Errorf("%s knows %d of %d daemons after five seconds", vm, live, daemons)
		}
	}
	// Each daemon sends about 140 heartbeats, and the announcements of all others arrive over eight links.
	if each := s.sent / daemons; each > 600 {
		t.Errorf("%d messages per daemon in five seconds", each)
	}
	t.Logf("%d messages per daemon in five seconds", s.sent/daemons)
}
