package coord

import (
	"fmt"
	"testing"
	"time"

	"emberlead/proto"
)

// converged reports whether each running daemon considers exactly the running ones alive.
func (s *meshSim) converged() bool {
	live := 0
	for _, vm := range s.vms {
		if !s.isDown(vm) {
			live++
		}
	}
	for _, vm := range s.vms {
		if !s.isDown(vm) && len(s.members[vm].Live()) != live {
			return false
		}
	}
	return true
}

// converge runs until the views are correct again, and returns how long that took.
func (s *meshSim) converge(timeout time.Duration) (time.Duration, bool) {
	began := s.now
	for s.now.Sub(began) < timeout {
		if s.converged() {
			return s.now.Sub(began), true
		}
		s.tick(s.step())
	}
	return timeout, false
}

// restart starts a new run of a daemon, which knows three others from its settings.
func (s *meshSim) restart(vm proto.VM, run proto.Incarnation) {
	delete(s.dead, vm)
	s.start(vm, run)
	for _, seed := range s.vms[:3] {
		if seed != vm {
			s.members[vm].HandleAlive(s.now, proto.Alive{VM: seed, Zone: s.zone[seed], Incarnation: 1, Sequence: 1}, "")
		}
	}
}

// fleetFault is a fault that affects many daemons, at once or one after another.
type fleetFault struct {
	name   string
	inject func(s *meshSim)
	// bytes is the most that each daemon may send during the measured time, per daemon of the fleet and in addition to
	// what it sends without faults: an announcement is about 50 bytes and goes over eight links.
	bytes float64
	// sizes lists the numbers of daemons to run the fault with.
	sizes []int
}

var (
	allSizes = []int{30, 100, 298}
	// fewSizes is for faults in which every daemon restarts while the others run, which take long to simulate.
	fewSizes = []int{30, 100}
)

var fleetFaults = []fleetFault{
	{"calm", func(s *meshSim) { s.run(10 * time.Second) }, 0, allSizes},
	{"a fifth killed and restarted after 4 s", func(s *meshSim) {
		for i := 0; i < len(s.vms); i += 5 {
			s.dead[s.vms[i]] = true
		}
		s.run(4 * time.Second)
		for i := 0; i < len(s.vms); i += 5 {
			s.restart(s.vms[i], 2)
		}
		s.run(6 * time.Second)
	}, 400, fewSizes},
	{"all restarted in turn within 10 s", func(s *meshSim) {
		for i, vm := range s.vms {
			s.restart(vm, 2)
			for s.now.Sub(time.Unix(1_700_000_000, 0)) < 5*time.Second+10*time.Second*time.Duration(i+1)/time.Duration(len(s.vms)) {
				s.tick(s.step())
			}
		}
	}, 1000, fewSizes},
	{"all restarted at once", func(s *meshSim) {
		s.queue = nil
		for _, vm := range s.vms {
			s.restart(vm, 2)
		}
		s.run(10 * time.Second)
	}, 400, allSizes},
	{"a zone partitioned for 5 s", func(s *meshSim) {
		s.isCut = func(a, b proto.VM) bool { return (s.zone[a] == "region-0/zone-0") != (s.zone[b] == "region-0/zone-0") }
		s.run(5 * time.Second)
		s.isCut = func(proto.VM, proto.VM) bool { return false }
		s.run(5 * time.Second)
	}, 500, fewSizes},
}

// TestLargeFleetConverges runs faults of many daemons at three fleet sizes. The views must be correct again within
// seconds whatever the size, and the traffic caused by a fault must grow no faster than the number of daemons that
// there is news about.
func TestLargeFleetConverges(t *testing.T) {
	calm := map[int]int{}
	for _, fault := range fleetFaults {
		for _, daemons := range fault.sizes {
			t.Run(fmt.Sprintf("%s, %d", fault.name, daemons), func(t *testing.T) {
				s := newMesh(daemons, 1, 6, quickTiming())
				s.run(5 * time.Second)
				s.sent, s.bytes, s.countBytes = 0, 0, true
				fault.inject(s)
				messages, bytes := s.sent/daemons, s.bytes/daemons
				took, ok := s.converge(10 * time.Second)
				t.Logf("%d messages and %d bytes per daemon in 10 s, converged %s later", messages, bytes, took)
				if !ok {
					t.Error("the views have not converged ten seconds after the fault")
				}
				if fault.bytes == 0 {
					calm[daemons] = bytes
					return
				}
				if limit := calm[daemons] + int(fault.bytes*float64(daemons)); bytes > limit {
					t.Errorf("%d bytes per daemon, want at most %d", bytes, limit)
				}
			})
		}
	}
}
