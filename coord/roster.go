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

// View is what planning the roster needs to know about the other daemons.
type View interface {
	// Live returns the daemons that are not considered dead.
	Live() []proto.Alive
	// RunEnded reports whether a run of a daemon has certainly ended, so that it can never grant a claim again.
	RunEnded(now time.Time, vm proto.VM, incarnation proto.Incarnation) bool
	// IsListed reports whether the platform lists the VM.
	IsListed(vm proto.VM) bool
}

// RosterPlan holds the size limits of a roster.
type RosterPlan struct {
	// Slots is the number of slots; it is fixed when the roster is first written.
	Slots int
	// Replicas is the number of daemons in a slot's group.
	Replicas int
	// Members bounds the number of daemons that keep claims.
	Members int
	// Moves bounds the slots that one revision moves for balance alone.
	Moves int
}

// DefaultRosterPlan returns sizes that suit eight daemons.
func DefaultRosterPlan() RosterPlan {
	return RosterPlan{Slots: 32, Replicas: 3, Members: 64, Moves: 4}
}

// planner computes the next roster from the last one.
type planner struct {
	plan   RosterPlan
	timing ClaimTiming
	now    time.Time
	// wallNow is the wall clock time, by which callers timestamp keys.
	wallNow time.Time
	members View
	live    []proto.RosterMember
	load    map[proto.VM]int
	ready   func(slot int, since proto.Epoch) map[proto.VM]bool
	initial bool
}

// next returns the roster that should follow, and whether it differs from the old one.
func (p *planner) next(old proto.Roster) (proto.Roster, bool) {
	updated := proto.Roster{Epoch: old.Epoch + 1, Slots: slices.Clone(old.Slots)}
	if len(updated.Slots) == 0 {
		p.initial = true
		updated.Slots = make([]proto.Slot, p.plan.Slots)
	}
	p.countLoad(updated.Slots)
	changed := false
	for i := range updated.Slots {
		if p.reviseSlot(i, &updated.Slots[i], updated.Epoch) {
			changed = true
		}
	}
	return updated, p.balance(updated.Slots, updated.Epoch) || changed
}

func (p *planner) countLoad(slots []proto.Slot) {
	p.load = map[proto.VM]int{}
	for _, slot := range slots {
		for _, member := range slot.Group {
			p.load[member.VM]++
		}
	}
}

func (p *planner) reviseSlot(index int, slot *proto.Slot, epoch proto.Epoch) bool {
	if p.initial {
		return p.replaceGroup(slot, p.fill(nil), epoch, true)
	}
	if p.isLost(p.sourceGroup(slot)) || p.isLost(slot.Group) {
		return p.replaceGroup(slot, p.fill(p.liveMembers(slot.Group)), epoch, true)
	}
	if len(slot.Previous) > 0 {
		return p.dropPrevious(index, slot)
	}
	group := p.fill(p.liveMembers(slot.Group))
	if len(group) < len(slot.Group) || slices.Equal(group, slot.Group) {
		return false
	}
	return p.replaceGroup(slot, group, epoch, false)
}

func (p *planner) sourceGroup(slot *proto.Slot) []proto.RosterMember {
	if len(slot.Previous) == 0 {
		return slot.Group
	}
	return slot.Previous
}

// isLost reports whether so many members of a group have certainly ended that a majority of it can never be read. Members that only
// look dead may be paused and grant claims once they resume, so a group is never given up because of them.
func (p *planner) isLost(group []proto.RosterMember) bool {
	ended := 0
	for _, member := range group {
		if p.members.RunEnded(p.now, member.VM, member.Incarnation) {
			ended++
		}
	}
	return len(group) > 0 && 2*(len(group)-ended) <= len(group)
}

// liveMembers returns the members that are live and not stopping.
func (p *planner) liveMembers(group []proto.RosterMember) []proto.RosterMember {
	var kept []proto.RosterMember
	for _, member := range group {
		if slices.Contains(p.live, member) {
			kept = append(kept, member)
		}
	}
	return kept
}

// fill adds live members up to the number of replicas, preferring zones that the group does not cover yet and then the
// members with the fewest slots.
func (p *planner) fill(group []proto.RosterMember) []proto.RosterMember {
	group = slices.Clone(group)
	for len(group) < p.plan.Replicas {
		next, ok := p.nextMember(group)
		if !ok {
			break
		}
		group = append(group, next)
		p.load[next.VM]++
	}
	return group
}

func (p *planner) nextMember(group []proto.RosterMember) (proto.RosterMember, bool) {
	var best proto.RosterMember
	found := false
	for _, member := range p.live {
		if slices.Contains(group, member) {
			continue
		}
		if !found || p.isBetter(member, best, group) {
			best, found = member, true
		}
	}
	return best, found
}

func (p *planner) isBetter(a, b proto.RosterMember, group []proto.RosterMember) bool {
	if x, y := zoneCovered(a.Zone, group), zoneCovered(b.Zone, group); x != y {
		return y
	}
	return cmp.Or(cmp.Compare(p.load[a.VM], p.load[b.VM]), cmp.Compare(a.VM, b.VM)) < 0
}

func zoneCovered(zone proto.Zone, group []proto.RosterMember) bool {
	return slices.ContainsFunc(group, func(m proto.RosterMember) bool { return m.Zone == zone })
}

func (p *planner) replaceGroup(slot *proto.Slot, group []proto.RosterMember, epoch proto.Epoch, forced bool) bool {
	if len(group) == 0 {
		return false
	}
	updated := proto.Slot{Group: group, Since: epoch, Forced: forced}
	if forced && !p.initial {
		updated.ForgottenBefore = p.wallNow.Add(2 * p.timing.MaxSkew)
	}
	if !forced {
		updated.Previous, updated.PreviousSince = slot.Group, slot.Since
	}
	*slot = updated
	return true
}

// dropPrevious drops the previous group once every live member of the current group has read its claims.
func (p *planner) dropPrevious(index int, slot *proto.Slot) bool {
	ready := p.ready(index, slot.Since)
	for _, member := range p.liveMembers(slot.Group) {
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

// balance moves a few slots to live members that have less than half of their share, so that new VMs take over work.
func (p *planner) balance(slots []proto.Slot, epoch proto.Epoch) bool {
	if p.initial || len(p.live) <= p.plan.Replicas {
		return false
	}
	fairShare := len(slots) * p.plan.Replicas / len(p.live)
	moved := 0
	for i := range slots {
		if moved == p.plan.Moves {
			break
		}
		if len(slots[i].Previous) == 0 && slots[i].Since != epoch && p.rebalanceSlot(&slots[i], fairShare, epoch) {
			moved++
		}
	}
	return moved > 0
}

func (p *planner) rebalanceSlot(slot *proto.Slot, fairShare int, epoch proto.Epoch) bool {
	for _, candidate := range p.live {
		if 2*p.load[candidate.VM] >= fairShare || slices.Contains(slot.Group, candidate) {
			continue
		}
		for i, member := range slot.Group {
			others := slices.Delete(slices.Clone(slot.Group), i, i+1)
			if p.load[member.VM] <= fairShare || zoneCovered(candidate.Zone, others) {
				continue
			}
			p.load[member.VM]--
			p.load[candidate.VM]++
			return p.replaceGroup(slot, append(others, candidate), epoch, false)
		}
	}
	return false
}

// RosterWriter writes the roster's row when the roster has to change.
type RosterWriter struct {
	table   Table
	plan    RosterPlan
	timing  ClaimTiming
	members View
	replica *Replica
	reports *readyReports
	// wallTime converts a time of the clock to wall clock time.
	wallTime func(now time.Time) time.Time
}

// RosterOption configures a RosterWriter.
type RosterOption func(*RosterWriter)

// WithWallTime sets how times of the clock are converted to wall clock time, which dates the keys that a forced change
// of group refuses.
func WithWallTime(wallTime func(now time.Time) time.Time) RosterOption {
	return func(w *RosterWriter) { w.wallTime = wallTime }
}

// NewRosterWriter returns a writer of the roster's row.
func NewRosterWriter(table Table, plan RosterPlan, timing ClaimTiming, members View, replica *Replica, options ...RosterOption) *RosterWriter {
	w := &RosterWriter{table: table, plan: plan, timing: timing, members: members, replica: replica, reports: newReadyReports()}
	w.wallTime = func(now time.Time) time.Time { return now }
	for _, option := range options {
		option(w)
	}
	return w
}

// Read adopts the roster in the table; it fails with KindUnavailable.
func (w *RosterWriter) Read(ctx context.Context) (uint64, error) {
	row, err := w.table.Read(ctx, rowRoster)
	if err != nil || row.Version == 0 {
		return 0, err
	}
	var roster proto.Roster
	if err := json.Unmarshal(row.Value, &roster); err != nil {
		return 0, &Error{Op: "read roster", Kind: proto.KindInvalid, Err: err}
	}
	w.replica.Adopt(roster)
	return row.Version, nil
}

// ReviseRoster writes the next roster if the last one has to change. Whatever the write returned, the roster is adopted from a read.
func (w *RosterWriter) ReviseRoster(ctx context.Context, now time.Time) error {
	version, err := w.Read(ctx)
	if err != nil {
		return err
	}
	next, changed := w.Next(now)
	if !changed {
		return nil
	}
	value, err := json.Marshal(next)
	if err != nil {
		return &Error{Op: "write roster", Kind: proto.KindInvalid, Err: err}
	}
	err = w.table.Transact(ctx, proto.Transaction{
		Conditions: []proto.Condition{{Key: rowRoster, Version: version}},
		Writes:     []proto.Write{{Key: rowRoster, Value: value}},
	})
	if _, readErr := w.Read(ctx); readErr != nil {
		return readErr
	}
	if proto.KindOf(err) == proto.KindConflict {
		return nil
	}
	return err
}

// Next returns the roster that should follow the replica's, and whether it differs.
func (w *RosterWriter) Next(now time.Time) (proto.Roster, bool) {
	p := &planner{plan: w.plan, timing: w.timing, now: now, wallNow: w.wallTime(now), members: w.members, ready: w.reports.readyVMs}
	for _, alive := range w.members.Live() {
		if !alive.Stopping && alive.Incarnation != 0 && w.members.IsListed(alive.VM) {
			p.live = append(p.live, proto.RosterMember{VM: alive.VM, Zone: alive.Zone, Incarnation: alive.Incarnation})
		}
	}
	if len(p.live) > w.plan.Members {
		p.live = spreadOverZones(p.live, w.plan.Members)
	}
	return p.next(w.replica.Roster())
}

// spreadOverZones picks members from the zones in turn, within a zone in the order of rendezvous hashing.
func spreadOverZones(live []proto.RosterMember, limit int) []proto.RosterMember {
	byVM := map[proto.VM]proto.RosterMember{}
	vms := make([]proto.VM, len(live))
	for i, member := range live {
		byVM[member.VM] = member
		vms[i] = member.VM
	}
	countByZone := map[proto.Zone]int{}
	ordered := rankVMs("roster member", vms)
	type candidate struct {
		member proto.RosterMember
		turn   int
	}
	candidates := make([]candidate, 0, len(ordered))
	for _, vm := range ordered {
		member := byVM[vm]
		candidates = append(candidates, candidate{member, countByZone[member.Zone]})
		countByZone[member.Zone]++
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.turn, b.turn) })
	picked := make([]proto.RosterMember, 0, limit)
	for _, s := range candidates[:limit] {
		picked = append(picked, s.member)
	}
	return picked
}

// Report records that a replica has read a slot in full.
func (w *RosterWriter) Report(from proto.VM, m proto.SlotReady) { w.reports.record(from, m) }
