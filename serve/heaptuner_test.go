package serve

import "testing"

// TestGarbageIsBoundedByTheMemoryOfTheVM states how much garbage a daemon keeps beside what lives, on the VMs of small and of large
// fleets: a share of the VM's memory, and neither a collection for each few hundred kilobytes nor several times what lives.
func TestGarbageIsBoundedByTheMemoryOfTheVM(t *testing.T) {
	for _, scenario := range []struct {
		name         string
		live, memory uint64
		percent      int
	}{
		{"nothing lives yet", 0, 184e6, maxGCPercent},
		{"a few megabytes on a small VM", 4e6, 284e6, 221},
		{"a list of 10,000 targets on a small VM", 16e6, 184e6, 35},
		{"the same on a large VM", 16e6, 1048e6, 204},
		{"more than half of the VM", 120e6, 184e6, minGCPercent},
	} {
		if got := gcPercent(scenario.live, scenario.memory); got != scenario.percent {
			t.Errorf("%s: the heap may grow by %d%%, want %d%%", scenario.name, got, scenario.percent)
		}
	}
}
