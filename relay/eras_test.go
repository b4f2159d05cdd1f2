package relay

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"emberlead/proto"
)

// inEra is a revision of a store that was restored.
func inEra(era, version uint64) proto.Revision { return proto.Revision{Era: era, Version: version} }

// putIn and removedIn are changes of a store in an era.
func putIn(era, version uint64, t proto.RelayTarget) FleetChange {
	return FleetChange{ID: t.ID, Version: inEra(era, version), Target: t}
}

func removedIn(era, version uint64, id string) FleetChange {
	return FleetChange{ID: id, Version: inEra(era, version), Removed: true}
}

func leavingTarget(id string) proto.RelayTarget {
	t := testTarget(id, "p", "z")
	t.Leaving = true
	return t
}

// Targets a and b are in a copy of the store as of version 10. Then a changes, up to version 20, and the store is
// restored from the copy.
func TestFleetKeepsChangesLostInRestore(t *testing.T) {
	type step struct {
		at     time.Duration
		change FleetChange
	}
	copied := []FleetChange{putIn(2, 1, testTarget("a", "p", "z")), putIn(2, 2, testTarget("b", "p", "z"))}
	born := targetRun("a", secondRunStart)
	scenarios := []struct {
		testName string
		lost     []FleetChange
		// then holds changes after the restoration, and usable the targets that may get work at the end.
		then   []step
		at     time.Duration
		usable string
	}{
		{"a announced that it leaves", []FleetChange{putIn(1, 20, leavingTarget("a"))}, nil, 0, "b "},
		{"a announced that it leaves, and does so again", []FleetChange{putIn(1, 20, leavingTarget("a"))}, []step{{time.Second, putIn(2, 11, leavingTarget("a"))}}, restoredQuarantine, "b "},
		{"a left and was removed", []FleetChange{putIn(1, 19, leavingTarget("a")), removedIn(1, 20, "a")}, nil, 0, "b "},
		{"a was removed without notice", []FleetChange{removedIn(1, 20, "a")}, nil, 0, "b "},
		{"a was removed, and is removed again", []FleetChange{removedIn(1, 20, "a")}, []step{{time.Second, removedIn(2, 12, "a")}}, restoredQuarantine, "b "},
		{"a was removed, and was back before the restoration was known", []FleetChange{removedIn(1, 20, "a")}, []step{{time.Second, putIn(2, 15, testTarget("a", "p", "z"))}}, time.Second, "a b "},
		{"a left, and its older entry is rewritten first", []FleetChange{putIn(1, 19, leavingTarget("a")), removedIn(1, 20, "a")}, []step{{time.Second, putIn(2, 11, testTarget("a", "p", "z"))}}, time.Second, "b "},
		{"a left, and a later run starts", []FleetChange{putIn(1, 19, leavingTarget("a")), removedIn(1, 20, "a")}, []step{{time.Second, putIn(2, 15, born)}}, time.Second, "a b "},
		{"a was removed, and its entry stays", []FleetChange{removedIn(1, 20, "a")}, nil, restoredQuarantine, "a b "},
		{"c was added, and is not rewritten", []FleetChange{putIn(1, 15, testTarget("c", "p", "z"))}, nil, lapseGracePeriod, "a b "},
		{"c was added, and is rewritten", []FleetChange{putIn(1, 15, testTarget("c", "p", "z"))}, []step{{time.Second, putIn(2, 11, testTarget("c", "p", "z"))}}, lapseGracePeriod, "a b c "},
		{"c was added a moment ago", []FleetChange{putIn(1, 15, testTarget("c", "p", "z"))}, nil, lapseGracePeriod - 1, "a b c "},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			f := fleetWith(putIn(1, 1, testTarget("a", "p", "z")), putIn(1, 2, testTarget("b", "p", "z")))
			f.ApplyChanges(start, s.lost)
			if _, taken := f.Replace(start, inEra(2, 10), copied, false); !taken {
				t.Fatal("the list of a later era was refused because of its lower version")
			}
			for _, step := range s.then {
				f.ApplyChanges(start.Add(step.at), []FleetChange{step.change})
			}
			now := start.Add(s.at)
			f.Sweep(now)
			for _, id := range f.ExpireInvalid(now) {
				f.ApplyChanges(now, []FleetChange{putIn(2, 1, testTarget(id, "p", "z"))})
			}
			if got := usableIDs(f, "p"); got != s.usable {
				t.Errorf("usable %q, want %q", got, s.usable)
			}
		})
	}
}

// The copy is read by a daemon that never knew that a had left.
func TestNewDaemonLearnsInvalidRestoredEntries(t *testing.T) {
	for _, lost := range []FleetChange{putIn(1, 20, leavingTarget("a")), removedIn(1, 20, "a")} {
		informed := fleetWith(putIn(1, 1, testTarget("a", "p", "z")), putIn(1, 2, testTarget("b", "p", "z")), lost)
		copied := []FleetChange{putIn(2, 1, testTarget("a", "p", "z")), putIn(2, 2, testTarget("b", "p", "z"))}
		informed.Replace(start, inEra(2, 10), copied, false)
		starting := NewFleet(func(string) {})
		starting.Replace(start, inEra(2, 10), copied, false)
		starting.MergeInvalid(start, informed.InvalidEntries())
		if got := usableIDs(starting, "p"); got != "b " || starting.InvalidDigest() != informed.InvalidDigest() {
			t.Errorf("usable: %q, digests %d and %d", got, starting.InvalidDigest(), informed.InvalidDigest())
		}
		late := start.Add(restoredQuarantine)
		if len(informed.ExpireInvalid(late)) != 1 || informed.MergeInvalid(late, starting.InvalidEntries()) != nil || len(informed.InvalidEntries()) > 0 {
			t.Error("daemons keep exchanging an entry that stayed")
		}
	}
}

func TestEvacuationsAfterRestore(t *testing.T) {
	requested := func(era, version uint64) proto.Evacuation {
		return proto.Evacuation{Zone: "y", Version: inEra(era, version)}
	}
	ended := func(era, version uint64) proto.Evacuation {
		return proto.Evacuation{Zone: "y", Version: inEra(era, version), Ended: true}
	}
	type step struct {
		at   time.Duration
		news proto.Evacuation
	}
	scenarios := []struct {
		testName string
		before   []proto.Evacuation
		copied   []proto.Evacuation
		then     []step
		at       time.Duration
		want     string
	}{
		{"requested after the copy", []proto.Evacuation{requested(1, 20)}, nil, nil, evacuationRewriteWait - 1, "[y]"},
		{"requested after the copy, and again", []proto.Evacuation{requested(1, 20)}, nil, []step{{time.Second, requested(2, 12)}}, time.Hour, "[y]"},
		{"requested after the copy, and not again", []proto.Evacuation{requested(1, 20)}, nil, nil, evacuationRewriteWait, "[]"},
		{"requested and revoked after the copy", []proto.Evacuation{requested(1, 20), ended(1, 21)}, nil, nil, 0, "[]"},
		{"revoked after the copy", []proto.Evacuation{requested(1, 5), ended(1, 20)}, []proto.Evacuation{requested(2, 5)}, nil, 0, "[]"},
		{"revoked after the copy, and again", []proto.Evacuation{requested(1, 5), ended(1, 20)}, []proto.Evacuation{requested(2, 5)}, []step{{time.Second, ended(2, 12)}}, time.Hour, "[]"},
		{"revoked after the copy, and requested again", []proto.Evacuation{requested(1, 5), ended(1, 20)}, []proto.Evacuation{requested(2, 5)}, []step{{time.Second, requested(2, 12)}}, time.Hour, "[y]"},
		{"also in the copy", []proto.Evacuation{requested(1, 5)}, []proto.Evacuation{requested(2, 5)}, nil, time.Hour, "[y]"},
		{"unknown before", nil, []proto.Evacuation{requested(2, 5)}, nil, time.Hour, "[y]"},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			f := fleetWith(putIn(1, 1, testTarget("a", "p", "y")))
			for _, e := range s.before {
				f.ApplyEvacuations(start, []proto.Evacuation{e})
			}
			f.ApplyEvacuations(start, f.EvacuationsFromList(inEra(2, 10), s.copied))
			for _, step := range s.then {
				f.ApplyEvacuations(start.Add(step.at), []proto.Evacuation{step.news})
			}
			f.ApplyEvacuations(start.Add(s.at), f.ExpiredEvacuations(start.Add(s.at)))
			if got := fmt.Sprint(f.EvacuatedZones()); got != s.want {
				t.Errorf("evacuated: %s, want %s", got, s.want)
			}
		})
	}
}

// Guards against an evacuation that is revoked by a daemon which reads the restored store only after it was told of the
// evacuation, and then reports its own view back.
func TestNewDaemonKeepsEvacuationLostInRestore(t *testing.T) {
	informed, starting := fleetWith(putIn(1, 1, testTarget("a", "p", "y"))), fleetWith(putIn(2, 1, testTarget("a", "p", "y")))
	informed.ApplyEvacuations(start, []proto.Evacuation{{Zone: "y", Version: inEra(1, 20)}})
	informed.ApplyEvacuations(start, informed.EvacuationsFromList(inEra(2, 10), nil))
	starting.ApplyEvacuations(start, informed.Evacuations())
	starting.ApplyEvacuations(start, starting.EvacuationsFromList(inEra(2, 15), nil))
	informed.ApplyEvacuations(start, starting.Evacuations())
	if len(informed.EvacuatedZones()) != 1 || len(starting.EvacuatedZones()) != 1 {
		t.Errorf("evacuated: %v and %v", informed.EvacuatedZones(), starting.EvacuatedZones())
	}
	informed.ApplyEvacuations(start, informed.ExpiredEvacuations(start.Add(evacuationRewriteWait)))
	starting.ApplyEvacuations(start, informed.Evacuations())
	if len(starting.EvacuatedZones()) > 0 || starting.EvacuationsVersion() != informed.EvacuationsVersion() {
		t.Errorf("evacuated after evacuationRewriteWait: %v as of %s", starting.EvacuatedZones(), starting.EvacuationsVersion())
	}
}

// restoreSimulation is a store with targets that come, leave and go. It is occasionally restored from copies, and what
// it lost is rewritten within two seconds. Three fleets follow it as daemons do: by changes, by whole lists, and by
// reports of another daemon.
type restoreSimulation struct {
	random  *rand.Rand
	now     time.Time
	era     uint64
	version uint64
	rows    map[string]FleetChange
	copies  []storeCopy
	// left holds the targets that have announced that they leave or are gone, and since when.
	left map[string]time.Time
	live map[string]bool
	// due holds writes that are repeated.
	due    []pendingWrite
	fleets [3]*Fleet
	seen   [3]proto.Revision
	next   int
}

type storeCopy struct {
	version uint64
	rows    map[string]FleetChange
}

type pendingWrite struct {
	at time.Time
	id string
}

// write puts the current entry of a target, or removes it.
func (s *restoreSimulation) write(id string) {
	s.version++
	c := FleetChange{ID: id, Version: inEra(s.era, s.version)}
	_, left := s.left[id]
	switch {
	case s.live[id] && left:
		c.Target = leavingTarget(id)
	case s.live[id]:
		c.Target = testTarget(id, "p", "z")
	default:
		c.Removed = true
	}
	s.rows[id] = c
}

func (s *restoreSimulation) copyRows() {
	c := storeCopy{version: s.version, rows: map[string]FleetChange{}}
	for id, row := range s.rows {
		c.rows[id] = row
	}
	if s.copies = append(s.copies, c); len(s.copies) > 5 {
		s.copies = s.copies[1:]
	}
}

func (s *restoreSimulation) restore() {
	c := s.copies[s.random.IntN(len(s.copies))]
	lost := s.rows
	s.era++
	s.version, s.rows, s.copies = c.version, map[string]FleetChange{}, nil
	for id, row := range c.rows {
		row.Version.Era = s.era
		s.rows[id] = row
	}
	for id, row := range lost {
		if c.rows[id].Version.Version != row.Version.Version {
			s.due = append(s.due, pendingWrite{s.now.Add(time.Duration(s.random.Int64N(int64(2 * time.Second)))), id})
		}
	}
}

func (s *restoreSimulation) step() {
	s.now = s.now.Add(200 * time.Millisecond)
	var rest []pendingWrite
	for _, d := range s.due {
		if s.now.Before(d.at) {
			rest = append(rest, d)
			continue
		}
		s.write(d.id)
	}
	s.due = rest
	id := fmt.Sprintf("t%02d", s.random.IntN(max(1, s.next)))
	switch s.random.IntN(12) {
	case 0:
		id = fmt.Sprintf("t%02d", s.next)
		s.next++
		s.live[id] = true
		s.write(id)
	case 1:
		if _, left := s.left[id]; s.live[id] && !left {
			s.left[id] = s.now
			s.write(id)
		}
	case 2:
		if _, left := s.left[id]; s.live[id] && left {
			delete(s.live, id)
			s.write(id)
		}
	case 3:
		s.copyRows()
	case 4:
		if len(s.copies) > 0 && s.random.IntN(3) == 0 {
			s.restore()
		}
	}
	for i := range s.fleets {
		s.follow(i)
	}
}

// follow lets one of the fleets catch up as its daemon does.
func (s *restoreSimulation) follow(i int) {
	f := s.fleets[i]
	asOf := inEra(s.era, s.version)
	var changed, whole []FleetChange
	for _, row := range s.rows {
		if row.Version.After(s.seen[i]) {
			changed = append(changed, row)
		}
		if !row.Removed {
			whole = append(whole, row)
		}
	}
	switch {
	case i == 2 && s.random.IntN(3) > 0:
		return
	case i == 2:
		f.MergeInvalid(s.now, s.fleets[0].InvalidEntries())
		f.Replace(s.now, asOf, whole, s.random.IntN(2) == 0)
	case s.seen[i].Era != s.era || i == 1:
		f.Replace(s.now, asOf, whole, false)
	default:
		f.ApplyChanges(s.now, changed)
	}
	s.seen[i] = asOf
	f.Sweep(s.now)
	for _, id := range f.ExpireInvalid(s.now) {
		if row, listed := s.rows[id]; listed && !row.Removed {
			f.ApplyChanges(s.now, []FleetChange{row})
		}
	}
}

// Plays random histories. A fleet that could learn of it at once must not use a target two and a half seconds after the
// target announced that it leaves, and in the end every fleet must use all targets that exist.
func TestDepartedTargetsAreUnusedAcrossRestores(t *testing.T) {
	for seed := range uint64(120) {
		w := &restoreSimulation{
			random: rand.New(rand.NewPCG(seed, 17)), now: start, era: 1, rows: map[string]FleetChange{}, left: map[string]time.Time{}, live: map[string]bool{},
		}
		for i := range w.fleets {
			w.fleets[i] = NewFleet(func(string) {})
		}
		for range 400 {
			w.step()
			for i, f := range w.fleets {
				for _, target := range f.Usable(w.now, "p") {
					if at, left := w.left[target.ID]; left && w.now.Sub(at) > lapseGracePeriod+200*time.Millisecond && i < 2 {
						t.Fatalf("seed %d: fleet %d uses %s %s after it left, in era %d", seed, i, target.ID, w.now.Sub(at), w.era)
					}
				}
			}
		}
		want := ""
		for range 100 {
			w.now = w.now.Add(200 * time.Millisecond)
			for _, d := range w.due {
				w.write(d.id)
			}
			w.due = nil
			for i := range w.fleets {
				w.follow(i)
			}
		}
		for i := range w.next {
			id := fmt.Sprintf("t%02d", i)
			if _, left := w.left[id]; w.live[id] && !left {
				want += id + " "
			}
		}
		for i, f := range w.fleets {
			if got := usableIDsAt(f, "p", w.now); got != want {
				t.Fatalf("seed %d: fleet %d uses %q at the end, want %q", seed, i, got, want)
			}
		}
	}
}

func usableIDsAt(f *Fleet, pool string, now time.Time) string {
	all := ""
	for _, t := range f.Usable(now, pool) {
		all += t.ID + " "
	}
	return all
}
