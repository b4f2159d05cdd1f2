package trial

import (
	"reflect"
	"testing"
)

func caseOf(t *testing.T, deployment, name string) *Case {
	t.Helper()
	for _, c := range Cases(deployment) {
		if c.Name == name {
			return c
		}
	}
	t.Fatalf("no case %q", name)
	return nil
}

// TestTrialsRepeat checks that a simulation is deterministic, so that a difference between two policies is due to them.
func TestTrialsRepeat(t *testing.T) {
	file, err := LoadExample("venture")
	if err != nil {
		t.Fatal(err)
	}
	c := caseOf(t, "venture", "overload by half")
	first, _ := Run(file, c, Variants()[0], []uint64{1})
	second, _ := Run(file, c, Variants()[0], []uint64{1})
	if !reflect.DeepEqual(first, second) {
		t.Fatal("two runs with one seed differ")
	}
}

// TestPolicyKeepsWorkspacesWhole checks attainment in absolute figures; virtual time and fixed seeds make them the same
// on any machine.
func TestPolicyKeepsWorkspacesWhole(t *testing.T) {
	for _, name := range []string{"a third of a pool failing", "a zone gone"} {
		file, err := LoadExample("institute")
		if err != nil {
			t.Fatal(err)
		}
		c := caseOf(t, "institute", name)
		own, bound := Run(file, c, Variants()[0], []uint64{1})
		least, _ := Run(file, c, Variants()[3], []uint64{1})
		worst, all, asked := own.Attainment()
		_, leastAll, _ := least.Attainment()
		if worst < 0.99 || all <= leastAll || asked == 0 || own.OnTime() > bound.Most {
			t.Errorf("%s: worst %.4f, all %.4f, least outstanding %.4f, bound %d of %d", name, worst, all, leastAll, bound.Most, bound.Asked)
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
	c := caseOf(t, "venture", "overload by half")
	own, _ := Run(file, c, Variants()[0], []uint64{1})
	without, _ := Run(file, c, Variants()[5], []uint64{1})
	_, all, _ := own.Attainment()
	_, allWithout, _ := without.Attainment()
	if all < 0.88 || all <= allWithout {
		t.Errorf("%.4f delivered in time, %.4f without admission", all, allWithout)
	}
	busy, wasted := own.Cost()
	if wasted > busy/50 {
		t.Errorf("%s of %s were wasted", wasted, busy)
	}
}
