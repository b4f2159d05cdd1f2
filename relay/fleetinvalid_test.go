package relay

import (
	"testing"

	"emberlead/proto"
)

// A target's entry is rewritten without the start of its run. A daemon that knew the run drops the target. One that did
// not is told, before or after it reads the entry.
func TestInvalidEntryIsNotUsed(t *testing.T) {
	overwritten := putChange(4, testTarget("a", "p", "z"))
	other := putChange(2, testTarget("b", "p", "z"))
	informed := fleetWith(putChange(1, targetRun("a", firstRunStart)), other)
	informed.ApplyChanges(start, []FleetChange{overwritten})
	if got := usableIDs(informed, "p"); got != "b " {
		t.Fatalf("usable at the daemon that knew the run: %q", got)
	}
	scenarios := []struct {
		testName string
		tell     func(f *Fleet)
	}{
		{"learned after reading the entry", func(f *Fleet) {
			f.ApplyChanges(start, []FleetChange{other, overwritten})
			f.MergeInvalid(start, informed.InvalidEntries())
		}},
		{"learned before reading the entry", func(f *Fleet) {
			f.MergeInvalid(start, informed.InvalidEntries())
			f.ApplyChanges(start, []FleetChange{other, overwritten})
		}},
		{"learned before reading a whole list", func(f *Fleet) {
			f.MergeInvalid(start, informed.InvalidEntries())
			f.Replace(start, rev(9), []FleetChange{other, overwritten}, false)
		}},
		{"same whole list read twice", func(f *Fleet) {
			f.MergeInvalid(start, informed.InvalidEntries())
			f.Replace(start, rev(9), []FleetChange{other, overwritten}, false)
			f.Replace(start, rev(10), []FleetChange{other, overwritten}, false)
		}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			f := NewFleet(func(string) {})
			s.tell(f)
			if got := usableIDs(f, "p"); got != "b " {
				t.Errorf("usable: %q", got)
			}
			if f.InvalidDigest() != informed.InvalidDigest() || f.InvalidDigest() == 0 {
				t.Error("the daemons' digests differ")
			}
			f.ApplyChanges(start, []FleetChange{putChange(12, targetRun("a", secondRunStart))})
			if got := usableIDs(f, "p"); got != "a b " || len(f.InvalidEntries()) != 0 {
				t.Errorf("usable after the target wrote its entry: %q, invalid %v", got, f.InvalidEntries())
			}
		})
	}
}

func TestRemovedInvalidEntryIsForgotten(t *testing.T) {
	f := fleetWith(putChange(2, testTarget("b", "p", "z")))
	f.MergeInvalid(start, []proto.InvalidEntry{{ID: "a", Version: rev(4)}, {ID: "c", Version: rev(30)}})
	f.Replace(start, rev(9), []FleetChange{putChange(2, testTarget("b", "p", "z"))}, false)
	if void := f.InvalidEntries(); len(void) != 1 || void[0].ID != "c" {
		t.Errorf("invalid: %v, want only the one newer than the list", void)
	}
}
