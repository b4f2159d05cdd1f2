package relay

import (
	"testing"

	"emberlead/proto"
)

// TestAVoidEntryIsNotUsedWhoeverReadsIt has a target's entry written anew without the start of its run: a daemon that knew the
// run drops the target, and one that did not is told, before it reads the entry or after.
func TestAVoidEntryIsNotUsedWhoeverReadsIt(t *testing.T) {
	spoilt := put(4, listed("a", "p", "z"))
	other := put(2, listed("b", "p", "z"))
	knew := newFleet(put(1, run("a", firstBorn)), other)
	knew.Change(start, []FleetChange{spoilt})
	if got := names(knew, "p"); got != "b " {
		t.Fatalf("the daemon that knew the run uses %q", got)
	}
	scenarios := []struct {
		testName string
		tell     func(f *Fleet)
	}{
		{"told after it read the entry", func(f *Fleet) {
			f.Change(start, []FleetChange{other, spoilt})
			f.LearnVoid(start, knew.Void())
		}},
		{"told before", func(f *Fleet) {
			f.LearnVoid(start, knew.Void())
			f.Change(start, []FleetChange{other, spoilt})
		}},
		{"told before it read a whole list", func(f *Fleet) {
			f.LearnVoid(start, knew.Void())
			f.Replace(start, rev(9), []FleetChange{other, spoilt}, false)
		}},
		{"reads the same whole list twice", func(f *Fleet) {
			f.LearnVoid(start, knew.Void())
			f.Replace(start, rev(9), []FleetChange{other, spoilt}, false)
			f.Replace(start, rev(10), []FleetChange{other, spoilt}, false)
		}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			f := NewFleet(func(string) {})
			s.tell(f)
			if got := names(f, "p"); got != "b " {
				t.Errorf("usable: %q", got)
			}
			if f.VoidDigest() != knew.VoidDigest() || f.VoidDigest() == 0 {
				t.Error("the daemons' digests differ")
			}
			f.Change(start, []FleetChange{put(12, run("a", secondBorn))})
			if got := names(f, "p"); got != "a b " || len(f.Void()) != 0 {
				t.Errorf("usable after the target wrote its entry: %q, void %v", got, f.Void())
			}
		})
	}
}

func TestAVoidEntryThatIsGoneIsForgotten(t *testing.T) {
	f := newFleet(put(2, listed("b", "p", "z")))
	f.LearnVoid(start, []proto.VoidEntry{{ID: "a", Version: rev(4)}, {ID: "c", Version: rev(30)}})
	f.Replace(start, rev(9), []FleetChange{put(2, listed("b", "p", "z"))}, false)
	if void := f.Void(); len(void) != 1 || void[0].ID != "c" {
		t.Errorf("void: %v, want only the one that is newer than the list", void)
	}
}
