package coord

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"emberlead/fakes"
	"emberlead/proto"
)

func fileBody(name string, deadline int) []byte {
	return fmt.Appendf(nil, `{"kind":"deployment","name":%q,
"workspaces":[{"name":"w-%s","weight":1,"keyHashes":["%064x"]}],
"pools":[{"name":"p-%s","kind":"encoder","targets":[{"name":"t-%s","address":"127.0.0.1:%d","zone":"r/a","vm":"v"}]}],
"services":[{"name":"s-%s","deadline":"%dms","stages":[{"name":"one","pool":"p-%s"}]}]}`,
		name, name, len(name)*1000+int(name[0]), name, name, 1000+int(name[0]), name, 100+deadline, name)
}

// configSim simulates daemons that apply files concurrently, a store that fails or loses answers, and copies that
// receive changes late.
type configSim struct {
	random             *rand.Rand
	clock              *clockwork.FakeClock
	fake               *fakes.Store
	stores             []*ConfigStore
	copies             []*ConfigState
	highest            []proto.Generation
	accepted           map[proto.Generation]string // by apply id
	acceptedHash       map[string]string           // hash by file, as of the last accepted change
	acceptedGeneration map[string]proto.Generation
	violations         []string
}

func newConfigSim(seed uint64) *configSim {
	s := &configSim{
		random: rand.New(rand.NewPCG(seed, 4)), clock: clockwork.NewFakeClockAt(time.Unix(1_700_000_000, 0)), fake: fakes.NewStore(),
		accepted: map[proto.Generation]string{}, acceptedHash: map[string]string{}, acceptedGeneration: map[string]proto.Generation{},
	}
	for i := range 3 {
		s.stores = append(s.stores, NewConfigStore(s.fake.ClientFor(fmt.Sprint(i)), s.clock))
		s.copies = append(s.copies, nil)
		s.highest = append(s.highest, 0)
		s.restart(i)
	}
	return s
}

func (s *configSim) restart(i int) {
	s.highest[i] = 0
	s.copies[i] = NewConfigState(func(snapshot *proto.Snapshot) {
		if snapshot.Generation <= s.highest[i] {
			s.violations = append(s.violations, fmt.Sprintf("generation %d took effect after %d", snapshot.Generation, s.highest[i]))
		}
		s.highest[i] = snapshot.Generation
	})
}

func (s *configSim) apply() {
	i := s.random.IntN(3)
	name := []string{"a", "b"}[s.random.IntN(2)]
	body := fileBody(name, s.random.IntN(50))
	req := ApplyRequest{Body: body, ApplyID: fmt.Sprint(s.random.Uint64())}
	if s.random.IntN(2) == 0 {
		known := s.acceptedGeneration[name]
		req.Base = &known
	}
	if s.random.IntN(3) == 0 {
		s.fake.LoseResponses(1 + s.random.IntN(2))
	}
	applied, err := s.stores[i].Apply(context.Background(), s.copies[i], req)
	s.fake.LoseResponses(0)
	switch {
	case err != nil && proto.KindOf(err) == proto.KindUnknown:
		// The operator retries with the same ID once the store answers.
		s.fake.SetDown(false)
		applied, err = s.stores[i].Apply(context.Background(), s.copies[i], ApplyRequest{Body: body, ApplyID: req.ApplyID})
		if err != nil {
			s.violations = append(s.violations, "retrying: "+err.Error())
			return
		}
	case err != nil:
		return
	}
	if len(applied.Faults) > 0 {
		s.violations = append(s.violations, fmt.Sprint(applied.Faults))
	}
	if applied.Conflict != nil || applied.Unchanged {
		return
	}
	if other, ok := s.accepted[applied.Generation]; ok && other != applied.ApplyID {
		s.violations = append(s.violations, fmt.Sprintf("generation %d was accepted twice", applied.Generation))
	}
	s.accepted[applied.Generation] = applied.ApplyID
	if applied.Generation > s.acceptedGeneration[name] {
		s.acceptedHash[name], s.acceptedGeneration[name] = HashOf(body), applied.Generation
	}
}

func (s *configSim) step() {
	i, j := s.random.IntN(3), s.random.IntN(3)
	switch s.random.IntN(10) {
	case 0, 1, 2:
		s.apply()
	case 3, 4:
		_ = s.stores[i].CatchUp(context.Background(), s.copies[i])
	case 5, 6:
		// A peer's answer, sometimes for a much older generation.
		answer := s.copies[j].After(s.copies[i].Generation() / proto.Generation(1+s.random.IntN(2)))
		if answer.Full {
			s.copies[i].ApplyFull(answer.Generation, answer.Changes)
		} else {
			s.copies[i].ApplyChanges(answer.Changes)
		}
	case 7:
		s.fake.SetDown(s.random.IntN(2) == 0)
	case 8:
		if s.random.IntN(5) == 0 {
			s.restart(i)
		}
	default:
		s.fake.SetUnreachable(fmt.Sprint(i), s.random.IntN(2) == 0)
	}
}

// finish lets every copy catch up and compares it with what was accepted.
func (s *configSim) finish() {
	s.fake.SetDown(false)
	for i := range s.copies {
		s.fake.SetUnreachable(fmt.Sprint(i), false)
		if err := s.stores[i].CatchUp(context.Background(), s.copies[i]); err != nil {
			s.violations = append(s.violations, err.Error())
		}
		for name, hash := range s.acceptedHash {
			if change, _ := s.copies[i].File(name); change.Hash != hash {
				s.violations = append(s.violations, fmt.Sprintf("copy %d has %s at generation %d, not at %d", i, name, change.Generation, s.acceptedGeneration[name]))
			}
		}
	}
}

func TestAcceptedFilesStayInForce(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(9)
	parameters.MinSuccessfulTests = histories(150)
	accepted := 0
	properties := gopter.NewProperties(parameters)
	properties.Property("accepted once, in force everywhere, never reverted", prop.ForAll(func(seed uint64) string {
		s := newConfigSim(seed)
		for range 150 {
			s.step()
		}
		s.finish()
		accepted += len(s.accepted)
		if len(s.violations) > 0 {
			return s.violations[0]
		}
		return ""
	}, gen.UInt64()))
	properties.TestingRun(t)
	if accepted < 1000 {
		t.Fatalf("only %d changes were accepted", accepted)
	}
}

func TestConflictReportsDiff(t *testing.T) {
	fake := fakes.NewStore()
	clock := clockwork.NewFakeClock()
	one, two := NewConfigStore(fake.ClientFor("1"), clock), NewConfigStore(fake.ClientFor("2"), clock)
	c1, c2 := NewConfigState(nil), NewConfigState(nil)
	ctx := context.Background()
	first, err := one.Apply(ctx, c1, ApplyRequest{Body: fileBody("a", 1), By: "ada"})
	if err != nil || first.Generation != 1 {
		t.Fatalf("%+v %v", first, err)
	}
	if _, err := one.Apply(ctx, c1, ApplyRequest{Body: fileBody("a", 2), Base: &first.Generation, By: "ada"}); err != nil {
		t.Fatal(err)
	}
	lost, err := two.Apply(ctx, c2, ApplyRequest{Body: fileBody("a", 3), Base: &first.Generation, By: "bob"})
	if err != nil || lost.Conflict == nil {
		t.Fatalf("%+v %v", lost, err)
	}
	if c := lost.Conflict; c.By != "ada" || c.Current != 2 || len(c.Diff) != 2 {
		t.Fatalf("%+v", c)
	}
}

// TestLateWriteIsFenced checks that a write whose answer was lost cannot take effect after the operator was told that
// it did not.
func TestLateWriteIsFenced(t *testing.T) {
	fake := fakes.NewStore()
	store := NewConfigStore(&delayed{Client: fake.ClientFor("1")}, clockwork.NewFakeClock())
	c := NewConfigState(nil)
	_, err := store.Apply(context.Background(), c, ApplyRequest{Body: fileBody("a", 1)})
	if proto.KindOf(err) != proto.KindUnavailable {
		t.Fatalf("got error %v, want kind unavailable", err)
	}
	late := store.platform.(*delayed)
	if err := late.Client.Transact(context.Background(), late.held); proto.KindOf(err) != proto.KindConflict {
		t.Fatalf("the late write ended with %v, want a conflict", err)
	}
}

// delayed holds back the first write and reports that its answer was lost.
type delayed struct {
	*fakes.Client
	held  proto.Transaction
	taken bool
}

func (d *delayed) Transact(ctx context.Context, tx proto.Transaction) error {
	if !d.taken {
		d.held, d.taken = tx, true
		return newError("transact", proto.KindUnknown, "the answer was lost")
	}
	return d.Client.Transact(ctx, tx)
}

// TestGapInChangesIsNotAdopted checks that changes that do not follow the own generation are not applied before the
// missing ones arrive.
func TestGapInChangesIsNotAdopted(t *testing.T) {
	change := func(g proto.Generation) proto.Change {
		body := fileBody("a", int(g))
		return proto.Change{Generation: g, Kind: proto.ChangeFile, Name: "a", Hash: HashOf(body), Body: body}
	}
	c := NewConfigState(nil)
	if c.ApplyChanges([]proto.Change{change(2)}) || c.Generation() != 0 {
		t.Fatalf("generation %d after a gap", c.Generation())
	}
	corrupted := change(1)
	corrupted.Body = append(corrupted.Body, ' ')
	if c.ApplyChanges([]proto.Change{corrupted}) || c.Generation() != 0 {
		t.Fatal("a body that does not match its hash was adopted")
	}
	if !c.ApplyChanges([]proto.Change{change(1), change(2)}) || c.Generation() != 2 {
		t.Fatalf("generation %d, want 2", c.Generation())
	}
}
