package coord

import (
	"fmt"
	"testing"
	"time"

	"emberlead/proto"
)

// settled tells whether each live daemon holds exactly the live ones to be alive.
func (s *meshSim) settled() bool {
	live := 0
	for _, vm := range s.order {
		if !s.gone(vm) {
			live++
		}
	}
	for _, vm := range s.order {
		if !s.gone(vm) && len(s.members[vm].Live()) != live {
			return false
		}
	}
	return true
}

// settle runs until the views are right again, and returns how long that took.
func (s *meshSim) settle(most time.Duration) (time.Duration, bool) {
	began := s.now
	for s.now.Sub(began) < most {
		if s.settled() {
			return s.now.Sub(began), true
		}
		s.tick(s.step())
	}
	return most, false
}

// restart starts a daemon anew, which knows three others by its settings.
func (s *meshSim) restart(vm proto.VM, run proto.Incarnation) {
	delete(s.dead, vm)
	s.start(vm, run)
	for _, seed := range s.order[:3] {
		if seed != vm {
			s.members[vm].HandleAlive(s.now, proto.Alive{VM: seed, Zone: s.zone[seed], Incarnation: 1, Sequence: 1}, "")
		}
	}
}

// fleetFault is a fault of many daemons at once or in turn.
type fleetFault struct {
	name string
	play func(s *meshSim)
	// bytes are the most that each daemon may send in the seconds that are measured, for each daemon of the fleet, beside
	// what it sends on calm days: the word of one daemon is some 50 bytes and goes over eight links.
	bytes float64
	// sizes are the numbers of daemons that it is played with.
	sizes []int
}

var (
	allSizes = []int{30, 100, 298}
	// fewSizes are for faults in which each daemon restarts while the others run, which takes long to play.
	fewSizes = []int{30, 100}
)

var fleetFaults = []fleetFault{
	{"calm", func(s *meshSim) { s.run(10 * time.Second) }, 0, allSizes},
	{"a fifth killed and back after 4 s", func(s *meshSim) {
		for i := 0; i < len(s.order); i += 5 {
			s.dead[s.order[i]] = true
		}
		s.run(4 * time.Second)
		for i := 0; i < len(s.order); i += 5 {
			s.restart(s.order[i], 2)
		}
		s.run(6 * time.Second)
	}, 400, fewSizes},
	{"all restarted in turn within 10 s", func(s *meshSim) {
		for i, vm := range s.order {
			s.restart(vm, 2)
			for s.now.Sub(time.Unix(1_700_000_000, 0)) < 5*time.Second+10*time.Second*time.Duration(i+1)/time.Duration(len(s.order)) {
				s.tick(s.step())
			}
		}
	}, 1000, fewSizes},
	{"all restarted together", func(s *meshSim) {
		s.queue = nil
		for _, vm := range s.order {
			s.restart(vm, 2)
		}
		s.run(10 * time.Second)
	}, 400, allSizes},
	{"a zone cut off for 5 s", func(s *meshSim) {
		s.cut = func(a, b proto.VM) bool { return (s.zone[a] == "region-0/zone-0") != (s.zone[b] == "region-0/zone-0") }
		s.run(5 * time.Second)
		s.cut = func(proto.VM, proto.VM) bool { return false }
		s.run(5 * time.Second)
	}, 500, fewSizes},
}

// TestFaultsOfALargeFleetSettle plays faults of many daemons at three sizes: views are right again within seconds
// whatever the size, and what is sent for a fault grows with the number of daemons that there is news of, and no faster.
func TestFaultsOfALargeFleetSettle(t *testing.T) {
	calm := map[int]int{}
	for _, fault := range fleetFaults {
		for _, daemons := range fault.sizes {
			t.Run(fmt.Sprintf("%s, %d", fault.name, daemons), func(t *testing.T) {
				s := newMesh(daemons, 1, 6, quickTiming())
				s.run(5 * time.Second)
				s.sent, s.bytes, s.weigh = 0, 0, true
				fault.play(s)
				messages, bytes := s.sent/daemons, s.bytes/daemons
				took, ok := s.settle(10 * time.Second)
				t.Logf("%d messages and %d bytes a daemon in 10 s, settled %s later", messages, bytes, took)
				if !ok {
					t.Error("the views are not right ten seconds after the fault")
				}
				if fault.bytes == 0 {
					calm[daemons] = bytes
					return
				}
				if most := calm[daemons] + int(fault.bytes*float64(daemons)); bytes > most {
					t.Errorf("%d bytes a daemon, want at most %d", bytes, most)
				}
			})
		}
	}
}
