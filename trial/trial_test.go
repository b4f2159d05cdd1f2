package trial

import (
	"reflect"
	"testing"
)

func findCase(t *testing.T, deployment, name string) *Case {
	t.Helper()
	for _, c := range Cases(deployment) {
		if c.Name == name {
			return c
		}
	}
	t.Fatalf("no case %q", name)
	return nil
}

// TestSimulationIsDeterministic checks that a simulation is deterministic, so that a difference between two policies is
// due to them.
func TestSimulationIsDeterministic(t *testing.T) {
	file, err := LoadExample("venture")
	if err != nil {
		t.Fatal(err)
	}
	c := findCase(t, "venture", "overload by half")
	first, _ := Run(file, c, Variants()[0], []uint64{1})
	second, _ := Run(file, c, Variants()[0], []uint64{1})
	if !reflect.DeepEqual(first, second) {
		t.Fatal("two runs with one seed differ")
	}
}

// TestAttainmentDuringFaults checks attainment in absolute figures; virtual time and fixed seeds make them the same
// on any machine.
func TestAttainmentDuringFaults(t *testing.T) {
	for _, name := range []string{"a third of a pool failing", "a zone gone"} {
		file, err := LoadExample("institute")
		if err != nil {
			t.Fatal(err)
		}
		c := findCase(t, "institute", name)
		policy, bound := Run(file, c, Variants()[0], []uint64{1})
		leastOutstanding, _ := Run(file, c, Variants()[3], []uint64{1})
		worst, mean, requests := policy.Attainment()
		_, leastMean, _ := leastOutstanding.Attainment()
		if worst < 0.99 || mean <= leastMean || requests == 0 || policy.OnTime() > bound.MaxOnTime {
			t.Errorf("%s: worst %.4f, all %.4f, least outstanding %.4f, bound %d of %d", name, worst, mean, leastMean, bound.MaxOnTime, bound.Requests)
		}
	}
}

// TestAdmissionUnderOverload checks that overload is refused before requests run, and that more requests are delivered
// in time than without admission control.
func TestAdmissionUnderOverload(t *testing.T) {
	file, err := LoadExample("venture")
	if err != nil {
		t.Fatal(err)
	}
	c := findCase(t, "venture", "overload by half")
	policy, _ := Run(file, c, Variants()[0], []uint64{1})
	without, _ := Run(file, c, Variants()[5], []uint64{1})
	_, mean, _ := policy.Attainment()
	_, meanWithout, _ := without.Attainment()
	if mean < 0.88 || mean <= meanWithout {
		t.Errorf("%.4f delivered in time, %.4f without admission", mean, meanWithout)
	}
	busy, wasted := policy.Cost()
	if wasted > busy/50 {
		t.Errorf("%s of %s were wasted", wasted, busy)
	}
}
