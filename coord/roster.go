package coord

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"time"

	"emberlead/proto"
)

const rowRoster = "claims/roster"

// View is what a daemon holds of the others when it plans the roster.
type View interface {
	// Live returns the daemons that are not dead.
	Live() []proto.Alive
	// Over tells whether a run of a daemon is certainly over, so that it can never grant again.
	Over(now time.Time, vm proto.VM, incarnation proto.Incarnation) bool
	// IsListed tells whether the platform lists the VM.
	IsListed(vm proto.VM) bool
}

// RosterPlan holds the sizes of a roster.
type RosterPlan struct {
	// Slots is the number of slots; it is fixed when the roster is first written.
	Slots int
	// Replicas is the number of daemons in a slot's group.
	Replicas int
	// Members bounds the daemons that keep claims.
	Members int
	// Moves bounds the slots that one change moves only for balance.
	Moves int
}

// DefaultRosterPlan returns sizes that suit eight daemons.
func DefaultRosterPlan() RosterPlan {
	return RosterPlan{Slots: 32, Replicas: 3, Members: 64, Moves: 4}
}

// planner works out the next roster from the last one.
type planner struct {
	plan   RosterPlan
	timing ClaimTiming
	now    time.Time
	// today is the time of day, by which callers date keys.
	today   time.Time
	members View
	live    []proto.RosterMember
	load    map[proto.VM]int
	ready   func(slot int, since proto.Epoch) map[proto.VM]bool
	first   bool
}

// next returns the roster that should follow, and whether it differs.
func (p *planner) next(old proto.Roster) (proto.Roster, bool) {
	fresh := proto.Roster{Epoch: old.Epoch + 1, Slots: slices.Clone(old.Slots)}
	if len(fresh.Slots) == 0 {
		p.first = true
		fresh.Slots = make([]proto.Slot, p.plan.Slots)
	}
	p.countLoad(fresh.Slots)
	changed := false
	for i := range fresh.Slots {
		if p.slot(i, &fresh.Slots[i], fresh.Epoch) {
			changed = true
		}
	}
	return fresh, p.balance(fresh.Slots, fresh.Epoch) || changed
}

func (p *planner) countLoad(slots []proto.Slot) {
	p.load = map[proto.VM]int{}
	for _, slot := range slots {
		for _, member := range slot.Group {
			p.load[member.VM]++
		}
	}
}

func (p *planner) slot(index int, slot *proto.Slot, epoch proto.Epoch) bool {
	if p.first {
		return p.replace(slot, p.fill(nil), epoch, true)
	}
	if p.lost(p.readFrom(slot)) || p.lost(slot.Group) {
		return p.replace(slot, p.fill(p.present(slot.Group)), epoch, true)
	}
	if len(slot.Previous) > 0 {
		return p.finish(index, slot)
	}
	group := p.fill(p.present(slot.Group))
	if len(group) < len(slot.Group) || slices.Equal(group, slot.Group) {
		return false
	}
	return p.replace(slot, group, epoch, false)
}

func (p *planner) readFrom(slot *proto.Slot) []proto.RosterMember {
	if len(slot.Previous) == 0 {
		return slot.Group
	}
	return slot.Previous
}

// lost tells whether so many of a group are certainly over that most of it can never be read. Members that
// only look dead may be paused and grant once they wake, so a group is never given up for those.
func (p *planner) lost(group []proto.RosterMember) bool {
	gone := 0
	for _, member := range group {
		if p.members.Over(p.now, member.VM, member.Incarnation) {
			gone++
		}
	}
	return len(group) > 0 && 2*(len(group)-gone) <= len(group)
}

// present keeps the members that are live and not stopping.
func (p *planner) present(group []proto.RosterMember) []proto.RosterMember {
	var kept []proto.RosterMember
	for _, member := range group {
		if slices.Contains(p.live, member) {
			kept = append(kept, member)
		}
	}
	return kept
}

// fill adds live members up to the number of replicas, from other zones first and the least loaded of those.
func (p *planner) fill(group []proto.RosterMember) []proto.RosterMember {
	group = slices.Clone(group)
	for len(group) < p.plan.Replicas {
		next, ok := p.candidate(group)
		if !ok {
			break
		}
		group = append(group, next)
		p.load[next.VM]++
	}
	return group
}

func (p *planner) candidate(group []proto.RosterMember) (proto.RosterMember, bool) {
	var best proto.RosterMember
	found := false
	for _, member := range p.live {
		if slices.Contains(group, member) {
			continue
		}
		if !found || p.better(member, best, group) {
			best, found = member, true
		}
	}
	return best, found
}

func (p *planner) better(a, b proto.RosterMember, group []proto.RosterMember) bool {
	if x, y := zoneTaken(a.Zone, group), zoneTaken(b.Zone, group); x != y {
		return y
	}
	return cmp.Or(cmp.Compare(p.load[a.VM], p.load[b.VM]), cmp.Compare(a.VM, b.VM)) < 0
}

func zoneTaken(zone proto.Zone, group []proto.RosterMember) bool {
	return slices.ContainsFunc(group, func(m proto.RosterMember) bool { return m.Zone == zone })
}

func (p *planner) replace(slot *proto.Slot, group []proto.RosterMember, epoch proto.Epoch, forced bool) bool {
	if len(group) == 0 {
		return false
	}
	fresh := proto.Slot{Group: group, Since: epoch, Forced: forced}
	if forced && !p.first {
		fresh.ForgottenBefore = p.today.Add(2 * p.timing.Skew)
	}
	if !forced {
		fresh.Previous, fresh.PreviousSince = slot.Group, slot.Since
	}
	*slot = fresh
	return true
}

// finish drops the previous group once every live member of the group has read its claims.
func (p *planner) finish(index int, slot *proto.Slot) bool {
	ready := p.ready(index, slot.Since)
	for _, member := range p.present(slot.Group) {
		if !ready[member.VM] {
			return false
		}
	}
	if 2*len(ready) <= len(slot.Group) {
		return false
	}
	slot.Previous, slot.PreviousSince = nil, 0
	return true
}

// balance gives a few slots to a live member that has less than half of its part, so that new VMs take their share.
func (p *planner) balance(slots []proto.Slot, epoch proto.Epoch) bool {
	if p.first || len(p.live) <= p.plan.Replicas {
		return false
	}
	part := len(slots) * p.plan.Replicas / len(p.live)
	moved := 0
	for i := range slots {
		if moved == p.plan.Moves {
			break
		}
		if len(slots[i].Previous) == 0 && slots[i].Since != epoch && p.relieve(&slots[i], part, epoch) {
			moved++
		}
	}
	return moved > 0
}

func (p *planner) relieve(slot *proto.Slot, part int, epoch proto.Epoch) bool {
	for _, fresh := range p.live {
		if 2*p.load[fresh.VM] >= part || slices.Contains(slot.Group, fresh) {
			continue
		}
		for i, member := range slot.Group {
			others := slices.Delete(slices.Clone(slot.Group), i, i+1)
			if p.load[member.VM] <= part || zoneTaken(fresh.Zone, others) {
				continue
			}
			p.load[member.VM]--
			p.load[fresh.VM]++
			return p.replace(slot, append(others, fresh), epoch, false)
		}
	}
	return false
}

// RosterKeeper writes the roster's row when the roster has to change.
type RosterKeeper struct {
	table   Table
	plan    RosterPlan
	timing  ClaimTiming
	members View
	replica *Replica
	reports *readyReports
	// dates returns the time of day at a moment.
	dates func(now time.Time) time.Time
}

// RosterOption changes a RosterKeeper at construction.
type RosterOption func(*RosterKeeper)

// WithDates has the keeper date what it forgets by a time of day that differs from its clock's time.
func WithDates(dates func(now time.Time) time.Time) RosterOption {
	return func(k *RosterKeeper) { k.dates = dates }
}

// NewRosterKeeper returns a keeper of the roster's row.
func NewRosterKeeper(table Table, plan RosterPlan, timing ClaimTiming, members View, replica *Replica, options ...RosterOption) *RosterKeeper {
	k := &RosterKeeper{table: table, plan: plan, timing: timing, members: members, replica: replica, reports: newReadyReports()}
	k.dates = func(now time.Time) time.Time { return now }
	for _, option := range options {
		option(k)
	}
	return k
}

// Read adopts the roster in the table; it fails with KindUnavailable.
func (k *RosterKeeper) Read(ctx context.Context) (uint64, error) {
	row, err := k.table.Read(ctx, rowRoster)
	if err != nil || row.Version == 0 {
		return 0, err
	}
	var roster proto.Roster
	if err := json.Unmarshal(row.Value, &roster); err != nil {
		return 0, &Error{Op: "read roster", Kind: proto.KindInvalid, Err: err}
	}
	k.replica.Adopt(roster)
	return row.Version, nil
}

// Revise writes the next roster if the last one has to change. Whatever the answer says, the roster is taken from a read.
func (k *RosterKeeper) Revise(ctx context.Context, now time.Time) error {
	version, err := k.Read(ctx)
	if err != nil {
		return err
	}
	next, changed := k.Next(now)
	if !changed {
		return nil
	}
	value, err := json.Marshal(next)
	if err != nil {
		return &Error{Op: "write roster", Kind: proto.KindInvalid, Err: err}
	}
	err = k.table.Transact(ctx, proto.Transaction{
		Conditions: []proto.Condition{{Key: rowRoster, Version: version}},
		Writes:     []proto.Write{{Key: rowRoster, Value: value}},
	})
	if _, readErr := k.Read(ctx); readErr != nil {
		return readErr
	}
	if proto.KindOf(err) == proto.KindConflict {
		return nil
	}
	return err
}

// Next returns the roster that should follow the one that the replica has.
func (k *RosterKeeper) Next(now time.Time) (proto.Roster, bool) {
	p := &planner{plan: k.plan, timing: k.timing, now: now, today: k.dates(now), members: k.members, ready: k.reports.of}
	for _, alive := range k.members.Live() {
		if !alive.Stopping && alive.Incarnation != 0 && k.members.IsListed(alive.VM) {
			p.live = append(p.live, proto.RosterMember{VM: alive.VM, Zone: alive.Zone, Incarnation: alive.Incarnation})
		}
	}
	if len(p.live) > k.plan.Members {
		p.live = spread(p.live, k.plan.Members)
	}
	return p.next(k.replica.Roster())
}

// spread picks members zone by zone in turn, in the order of rendezvous hashing.
func spread(live []proto.RosterMember, most int) []proto.RosterMember {
	byVM := map[proto.VM]proto.RosterMember{}
	vms := make([]proto.VM, len(live))
	for i, member := range live {
		byVM[member.VM] = member
		vms[i] = member.VM
	}
	taken := map[proto.Zone]int{}
	ordered := rank("roster member", vms)
	type seated struct {
		member proto.RosterMember
		turn   int
	}
	seats := make([]seated, 0, len(ordered))
	for _, vm := range ordered {
		member := byVM[vm]
		seats = append(seats, seated{member, taken[member.Zone]})
		taken[member.Zone]++
	}
	slices.SortStableFunc(seats, func(a, b seated) int { return cmp.Compare(a.turn, b.turn) })
	picked := make([]proto.RosterMember, 0, most)
	for _, s := range seats[:most] {
		picked = append(picked, s.member)
	}
	return picked
}

// Report takes in that a replica has read a slot.
func (k *RosterKeeper) Report(from proto.VM, m proto.SlotReady) { k.reports.take(from, m) }
