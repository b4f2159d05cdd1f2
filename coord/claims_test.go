package coord

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"emberlead/fakes"
	"emberlead/proto"
)

// The histories below drive replicas, rounds and the roster planner with messages that are lost, late and reordered,
// daemons that pause, die and restart, network partitions, and a store that fails or loses answers.

const (
	simVMs    = 5
	simKeys   = 6
	simSteps  = 500
	simSilent = 4 * time.Second
)

// mechanism is a mechanism that a history can run without, to show that the safety property depends on it.
type mechanism string

const (
	disableNothing  mechanism = ""
	disableRunEnded mechanism = "certain end of runs"
	disableMajority mechanism = "majority"
	disableTransfer mechanism = "transfer"
	disableForget   mechanism = "forget"
)

type simVM struct {
	sim       *claimSim
	self      proto.RosterMember
	replica   *Replica
	writer    *RosterWriter
	paused    bool
	destroyed bool // permanently, and removed from the platform's list
	partition int
	lastHeard map[proto.VM]time.Time
	seenRun   map[proto.VM]proto.Incarnation
}

func (v *simVM) Live() []proto.Alive {
	var live []proto.Alive
	for _, other := range v.sim.vms {
		if !v.dead(other.self.VM) {
			live = append(live, proto.Alive{VM: other.self.VM, Zone: other.self.Zone, Incarnation: v.seenRun[other.self.VM]})
		}
	}
	return live
}

func (v *simVM) dead(vm proto.VM) bool { return v.sim.now.Sub(v.lastHeard[vm]) > simSilent }

func (v *simVM) IsListed(proto.VM) bool { return true }

func (v *simVM) RunEnded(_ time.Time, vm proto.VM, incarnation proto.Incarnation) bool {
	if v.seenRun[vm] > incarnation {
		return true
	}
	if v.sim.disabled == disableRunEnded {
		return v.dead(vm)
	}
	other := v.sim.vmNamed(vm)
	return other.destroyed && other.self.Incarnation == incarnation
}

type simClaim struct {
	holder *simVM
	id     proto.ClaimID
	key    proto.Key
	slot   proto.Slot
	index  int
	round  *Round
	ended  bool
}

type claimSim struct {
	disabled mechanism
	random   *rand.Rand
	now      time.Time
	store    *fakes.Store
	vms      []*simVM
	keys     []proto.Key
	inFlight []func()
	uses     map[proto.Key]int
	granted  int
	request  int
}

func newClaimSim(seed uint64, disabled mechanism) *claimSim {
	s := &claimSim{
		disabled: disabled, random: rand.New(rand.NewPCG(seed, 3)), now: time.Unix(1_700_000_000, 0),
		store: fakes.NewStore(), uses: map[proto.Key]int{},
	}
	for i := range simVMs {
		v := &simVM{sim: s, self: proto.RosterMember{VM: proto.VM(fmt.Sprintf("vm-%d", i)), Zone: proto.Zone(fmt.Sprintf("r/%d", i%3))}}
		s.vms = append(s.vms, v)
	}
	for _, v := range s.vms {
		s.restart(v)
	}
	s.exchangeHeartbeats()
	s.keys = make([]proto.Key, simKeys)
	for i := range s.keys {
		s.newKey(i)
	}
	return s
}

func (s *claimSim) newKey(i int) {
	var bits [10]byte
	for j := range bits {
		bits[j] = byte(s.random.Uint32())
	}
	s.keys[i] = proto.KeyAt(s.now, bits)
}

// restart starts a new run of a daemon with no state.
func (s *claimSim) restart(v *simVM) {
	v.self.Incarnation++
	v.paused, v.destroyed = false, false
	v.replica = NewReplica(v.self, DefaultClaimTiming())
	v.lastHeard, v.seenRun = map[proto.VM]time.Time{}, map[proto.VM]proto.Incarnation{}
	for _, other := range s.vms {
		v.lastHeard[other.self.VM], v.seenRun[other.self.VM] = s.now, other.self.Incarnation
	}
	timing := DefaultClaimTiming()
	if s.disabled == disableForget {
		timing.MaxSkew = -time.Hour // then the time up to which keys are refused is before all of them
	}
	plan := RosterPlan{Slots: 2, Replicas: 3, Members: 8, Moves: 1}
	v.writer = NewRosterWriter(s.store.ClientFor(string(v.self.VM)), plan, timing, v, v.replica)
}

func (s *claimSim) connected(a, b *simVM) bool { return a.partition == b.partition }

// exchangeHeartbeats exchanges heartbeats between all daemons that are running and connected.
func (s *claimSim) exchangeHeartbeats() {
	for _, v := range s.vms {
		if v.paused {
			continue
		}
		v.lastHeard[v.self.VM], v.seenRun[v.self.VM] = s.now, v.self.Incarnation
		for _, other := range s.vms {
			if other == v || other.paused || !s.connected(v, other) {
				continue
			}
			v.lastHeard[other.self.VM], v.seenRun[other.self.VM] = s.now, other.self.Incarnation
			if other.replica.Epoch() > v.replica.Epoch() && s.random.IntN(2) == 0 {
				v.replica.Adopt(other.replica.Roster())
			}
		}
	}
}

func (s *claimSim) randomVM() *simVM { return s.vms[s.random.IntN(len(s.vms))] }

func (s *claimSim) vmNamed(vm proto.VM) *simVM {
	for _, v := range s.vms {
		if v.self.VM == vm {
			return v
		}
	}
	return nil
}

// send delivers a message at a later step; messages to a paused daemon wait.
func (s *claimSim) send(from *simVM, to proto.VM, fn func(*simVM)) {
	v := s.vmNamed(to)
	run := v.self.Incarnation
	var deliver func()
	deliver = func() {
		switch {
		case v.self.Incarnation != run || !s.connected(from, v):
		case v.paused:
			s.inFlight = append(s.inFlight, deliver)
		default:
			fn(v)
		}
	}
	s.inFlight = append(s.inFlight, deliver)
}

func (s *claimSim) deliver() {
	if len(s.inFlight) == 0 {
		return
	}
	i := s.random.IntN(len(s.inFlight))
	message := s.inFlight[i]
	s.inFlight[i] = s.inFlight[len(s.inFlight)-1]
	s.inFlight = s.inFlight[:len(s.inFlight)-1]
	if s.random.IntN(20) > 0 {
		message()
	}
}

func (s *claimSim) claim() {
	v := s.randomVM()
	roster := v.replica.Roster()
	if v.paused || len(roster.Slots) == 0 {
		return
	}
	s.request++
	key := s.keys[s.random.IntN(len(s.keys))]
	index := SlotOf(key, len(roster.Slots))
	c := &simClaim{holder: v, key: key, index: index, slot: roster.Slots[index]}
	c.id = proto.ClaimID{Holder: v.self.VM, Incarnation: v.self.Incarnation, Attempt: s.request}
	c.round = NewRound(len(c.slot.Group))
	if s.disabled == disableMajority {
		c.round = NewRound(1)
	}
	ask := proto.ClaimAsk{Slot: index, Since: c.slot.Since, Key: key, Fingerprint: 1, Claim: c.id}
	for _, member := range c.slot.Group {
		s.send(v, member.VM, func(to *simVM) {
			if to.self != member {
				return
			}
			answer := to.replica.Claim(s.now, ask)
			s.send(to, v.self.VM, func(*simVM) { s.handleAnswer(c, member.VM, answer) })
		})
	}
}

func (s *claimSim) handleAnswer(c *simClaim, from proto.VM, answer proto.ClaimAnswer) {
	if c.ended {
		return
	}
	c.round.AddAnswer(from, answer)
	switch c.round.Decide() {
	case DecisionPending:
	case DecisionGranted:
		c.ended = true
		s.uses[c.key]++
		s.granted++
		s.settle(c, s.random.IntN(4) == 0 && s.undoUse(c), []byte(`"answer"`))
	default:
		c.ended = true
		s.settle(c, true, nil)
	}
}

// undoUse takes back a use: the attempt was certainly not started, so the key may be granted again.
func (s *claimSim) undoUse(c *simClaim) bool {
	s.uses[c.key]--
	return true
}

func (s *claimSim) settle(c *simClaim, released bool, answer []byte) {
	if released {
		answer = nil
	}
	for _, member := range c.slot.Group {
		s.send(c.holder, member.VM, func(to *simVM) {
			to.replica.Settle(proto.Settle{Slot: c.index, Key: c.key, Claim: c.id, Released: released, Answer: answer})
		})
	}
}

func (s *claimSim) transfer() {
	v := s.randomVM()
	if v.paused {
		return
	}
	for _, pending := range v.replica.Pending() {
		for _, member := range pending.From {
			s.send(v, member.VM, func(to *simVM) {
				if to.self != member {
					return
				}
				answer := s.transferFrom(to, pending.Ask)
				s.send(to, v.self.VM, func(*simVM) { v.replica.TakeTransfer(pending.Ask, member, answer) })
			})
		}
	}
	for _, ready := range v.replica.ReadySlots() {
		for _, other := range s.vms {
			s.send(v, other.self.VM, func(to *simVM) { to.writer.Report(v.self.VM, ready) })
		}
	}
}

func (s *claimSim) transferFrom(to *simVM, ask proto.TransferAsk) proto.TransferAnswer {
	answer := to.replica.Transfer(ask)
	if s.disabled == disableTransfer {
		answer.Records = nil
	}
	return answer
}

func (s *claimSim) revise() {
	v := s.randomVM()
	if v.paused || v.partition != 0 {
		return
	}
	if s.random.IntN(10) == 0 {
		s.store.LoseResponses(1)
	}
	s.store.SetDown(s.random.IntN(10) == 0)
	_ = v.writer.ReviseRoster(context.Background(), s.now)
	s.store.SetDown(false)
	s.store.LoseResponses(0)
}

func (s *claimSim) step() {
	switch n := s.random.IntN(1000); {
	case n < 450:
		for range 1 + s.random.IntN(8) {
			s.deliver()
		}
	case n < 720:
		s.claim()
	case n < 800:
		s.now = s.now.Add(time.Duration(100+s.random.IntN(2500)) * time.Millisecond)
		s.exchangeHeartbeats()
	case n < 870:
		s.transfer()
	case n < 930:
		s.revise()
	case n < 945:
		s.randomVM().paused = true
	case n < 965:
		if v := s.randomVM(); !v.destroyed {
			v.paused = false
		}
	case n < 967:
		v := s.randomVM()
		v.paused, v.destroyed = true, true
	case n < 970:
		s.restart(s.randomVM())
	case n < 976:
		for _, v := range s.vms {
			v.partition = s.random.IntN(2)
		}
	case n < 988:
		for _, v := range s.vms {
			v.partition = 0
		}
	default:
		s.newKey(s.random.IntN(len(s.keys)))
	}
}

// stabilize runs the simulation without faults, so that a history starts from a roster whose slots are ready.
func (s *claimSim) stabilize() {
	for range 12 {
		s.now = s.now.Add(500 * time.Millisecond)
		s.exchangeHeartbeats()
		s.revise()
		s.transfer()
		for range 200 {
			s.deliver()
		}
	}
}

// violations returns the keys that were used more than once.
func (s *claimSim) violations() []string {
	var bad []string
	for key, n := range s.uses {
		if n > 1 {
			bad = append(bad, fmt.Sprintf("%s used %d times", key, n))
		}
	}
	return bad
}

func runClaims(seed uint64, disabled mechanism) *claimSim {
	s := newClaimSim(seed, disabled)
	s.stabilize()
	for range simSteps {
		s.step()
	}
	return s
}

func TestKeysRunAtMostOnce(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(41)
	parameters.MinSuccessfulTests = histories(400)
	properties := gopter.NewProperties(parameters)
	granted := 0
	properties.Property("no key is used twice", prop.ForAll(func(seed uint64) string {
		s := runClaims(seed, disableNothing)
		granted += s.granted
		if bad := s.violations(); len(bad) > 0 {
			return fmt.Sprint(bad)
		}
		return ""
	}, gen.UInt64()))
	properties.TestingRun(t)
	if granted < parameters.MinSuccessfulTests {
		t.Fatalf("only %d claims were granted in %d histories, too few to test anything", granted, parameters.MinSuccessfulTests)
	}
}

// TestEachMechanismIsNeeded checks that without any one mechanism some history runs a key twice. The search starts at a
// seed where such a history was found.
func TestEachMechanismIsNeeded(t *testing.T) {
	scenarios := []struct {
		disabled mechanism
		from     uint64
	}{
		{disableMajority, 0},
		{disableRunEnded, 3700},
		{disableTransfer, 150},
		{disableForget, 0},
	}
	for _, scenario := range scenarios {
		t.Run(string(scenario.disabled), func(t *testing.T) {
			for seed := scenario.from; seed < scenario.from+2000; seed++ {
				if len(runClaims(seed, scenario.disabled).violations()) > 0 {
					t.Logf("seed %d runs a key twice", seed)
					return
				}
			}
			t.Fatal("no history runs a key twice without it")
		})
	}
}

// TestTransferredSlotStopsGranting checks that a replica that has handed over a slot no longer grants claims for the
// old group, even before it learns of the new roster.
func TestTransferredSlotStopsGranting(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	member := func(vm proto.VM) proto.RosterMember { return proto.RosterMember{VM: vm, Incarnation: 1} }
	a := NewReplica(member("a"), DefaultClaimTiming())
	group := []proto.RosterMember{member("a"), member("b"), member("c")}
	a.Adopt(proto.Roster{Epoch: 1, Slots: []proto.Slot{{Group: group, Since: 1, Forced: true}}})
	ask := func(n byte) proto.ClaimAsk {
		return proto.ClaimAsk{Since: 1, Key: proto.KeyAt(now, [10]byte{n}), Claim: proto.ClaimID{Holder: "e", Attempt: int(n)}}
	}
	if got := a.Claim(now, ask(1)).Result; got != proto.ClaimGranted {
		t.Fatalf("result before the transfer: %d, want granted", got)
	}
	transferred := a.Transfer(proto.TransferAsk{Since: 2, PreviousSince: 1})
	if !transferred.Ready || len(transferred.Records) != 1 {
		t.Fatalf("handed over %+v", transferred)
	}
	if got := a.Claim(now, ask(2)).Result; got != proto.ClaimStale {
		t.Fatalf("result after the transfer: %d, want stale", got)
	}
}

// TestUnreadSlotIsNotTransferred checks that a replica that has not read its slot yet neither counts its own claims for
// the next group nor hands them over.
func TestUnreadSlotIsNotTransferred(t *testing.T) {
	member := func(vm proto.VM) proto.RosterMember { return proto.RosterMember{VM: vm, Incarnation: 1} }
	group := []proto.RosterMember{member("a"), member("b"), member("c")}
	before := []proto.RosterMember{member("x"), member("y"), member("z")}
	a := NewReplica(member("a"), DefaultClaimTiming())
	a.Adopt(proto.Roster{Epoch: 2, Slots: []proto.Slot{{Group: group, Since: 2, Previous: before, PreviousSince: 1}}})
	next := []proto.RosterMember{member("a"), member("b"), member("d")}
	a.Adopt(proto.Roster{Epoch: 3, Slots: []proto.Slot{{Group: next, Since: 3, Previous: group, PreviousSince: 2}}})
	if got := a.Transfer(proto.TransferAsk{Since: 3, PreviousSince: 2}); got.Ready {
		t.Fatal("a slot that was never read was handed over")
	}
	ask := proto.TransferAsk{Since: 3, PreviousSince: 2}
	if a.TakeTransfer(ask, member("b"), proto.TransferAnswer{Ready: true}) {
		t.Fatal("the slot became ready after reading one of three members, although its own claims do not count")
	}
	if !a.TakeTransfer(ask, member("c"), proto.TransferAnswer{Ready: true}) {
		t.Fatal("the slot did not become ready after reading two of three members")
	}
}
