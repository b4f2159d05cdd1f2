package coord

import (
	"slices"
	"sync"
	"time"

	"emberlead/proto"
	"emberlead/state"
)

// ClaimTiming holds the timing and size limits of claims on keys.
type ClaimTiming struct {
	// Retention is how long a key is remembered, counted from the timestamp in the key.
	Retention time.Duration
	// MaxSkew bounds how far a caller's clock may be ahead and how far the daemons' clocks may be apart.
	MaxSkew time.Duration
	// RoundTimeout bounds one round of asking the replicas.
	RoundTimeout time.Duration
	// MaxAnswerBytes bounds the answers kept with the claims of one slot.
	MaxAnswerBytes int
}

// DefaultClaimTiming returns the production timing.
func DefaultClaimTiming() ClaimTiming {
	return ClaimTiming{
		Retention: time.Hour, MaxSkew: 5 * time.Second, RoundTimeout: time.Second, MaxAnswerBytes: 2 << 20,
	}
}

const transferPage = 1000

// slotState is the state of one slot at a replica.
type slotState struct {
	mu     sync.Mutex
	since  proto.Epoch // epoch of the group that this replica serves; 0 if none
	ready  bool
	sealed proto.Epoch // epoch of the newest group that asked to take over
	// completeFor is the epoch of the previous group whose claims this replica held in full when it moved on.
	completeFor proto.Epoch
	claims      *state.ClaimStore
	readFrom    map[proto.VM]bool // members of the previous group whose claims were read
}

// Replica keeps the claims of the slots whose groups include this run of the daemon.
type Replica struct {
	self   proto.RosterMember
	timing ClaimTiming

	mu     sync.RWMutex
	roster proto.Roster
	slots  []*slotState
}

// NewReplica returns a replica that serves no slot yet.
func NewReplica(self proto.RosterMember, timing ClaimTiming) *Replica {
	return &Replica{self: self, timing: timing}
}

// Roster returns the roster known to the replica.
func (r *Replica) Roster() proto.Roster {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.roster
}

// Epoch returns the epoch of the roster known to the replica.
func (r *Replica) Epoch() proto.Epoch {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.roster.Epoch
}

func (r *Replica) slot(i int) *slotState {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if i < 0 || i >= len(r.slots) {
		return nil
	}
	return r.slots[i]
}

// Adopt installs a newer roster; an older one is ignored.
func (r *Replica) Adopt(roster proto.Roster) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if roster.Epoch <= r.roster.Epoch {
		return false
	}
	r.roster = roster
	for len(r.slots) < len(roster.Slots) {
		r.slots = append(r.slots, &slotState{claims: state.NewClaimStore(r.timing.Retention, r.timing.MaxAnswerBytes)})
	}
	for i := range roster.Slots {
		r.adoptSlot(r.slots[i], &roster.Slots[i])
	}
	return true
}

func (r *Replica) adoptSlot(s *slotState, slot *proto.Slot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !slices.Contains(slot.Group, r.self) || s.since == slot.Since {
		return
	}
	if s.sealed > slot.Since {
		return
	}
	wasReady := s.ready && s.since == slot.PreviousSince
	s.since = slot.Since
	s.ready = false
	s.readFrom = map[proto.VM]bool{}
	if wasReady {
		s.completeFor = slot.PreviousSince
		s.readFrom[r.self.VM] = true
	}
	s.updateReady(slot)
}

// updateReady marks the slot ready once it holds the claims of a majority of the previous group.
func (s *slotState) updateReady(slot *proto.Slot) {
	if slot.Forced {
		s.claims.Forget(slot.ForgottenBefore)
		s.ready = true
		return
	}
	s.ready = 2*len(s.readFrom) > len(slot.Previous)
}

// sources returns the members to read claims from. Once the previous group has been dropped, every ready member of the
// current group has its claims, so reading one member is enough: claims granted since then are held by a majority of
// the group even without this replica.
func (r *Replica) sources(slot *proto.Slot) (members []proto.RosterMember, previousSince proto.Epoch) {
	if len(slot.Previous) == 0 {
		return slot.Group, slot.Since
	}
	return slot.Previous, slot.PreviousSince
}

// Pending is a slot whose claims still have to be read from members of the previous group.
type Pending struct {
	Slot int
	Ask  proto.TransferAsk
	From []proto.RosterMember
}

// Pending returns the slots that this replica still has to read.
func (r *Replica) Pending() []Pending {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var pending []Pending
	for i, s := range r.slots {
		slot := &r.roster.Slots[i]
		s.mu.Lock()
		if s.since == slot.Since && !s.ready {
			members, previousSince := r.sources(slot)
			p := Pending{Slot: i, Ask: proto.TransferAsk{Slot: i, Since: slot.Since, PreviousSince: previousSince}}
			for _, member := range members {
				if !s.readFrom[member.VM] && member != r.self {
					p.From = append(p.From, member)
				}
			}
			pending = append(pending, p)
		}
		s.mu.Unlock()
	}
	return pending
}

// Claim decides on a claim to a key; now is the wall clock time, because callers put wall clock timestamps into keys.
func (r *Replica) Claim(now time.Time, ask proto.ClaimAsk) proto.ClaimAnswer {
	answer := proto.ClaimAnswer{Result: proto.ClaimNotReady, Roster: r.Epoch()}
	s := r.slot(ask.Slot)
	if s == nil {
		return answer
	}
	if proto.KeyTime(ask.Key).After(now.Add(r.timing.MaxSkew)) {
		answer.Result = proto.ClaimTooNew
		return answer
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	answer.Since = s.since
	switch {
	case s.since > ask.Since || s.sealed > ask.Since:
		answer.Result = proto.ClaimStale
	case s.since < ask.Since || !s.ready:
	default:
		s.claims.Sweep(now)
		answer.Result, answer.Answer = s.claims.Claim(ask.Key, ask.Fingerprint, ask.Claim)
	}
	return answer
}

// Settle records the outcome of a claim.
func (r *Replica) Settle(m proto.Settle) {
	s := r.slot(m.Slot)
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.claims.Settle(m.Key, m.Claim, m.Released, m.Answer)
}

// Transfer stops granting claims for the group that is being replaced and returns a page of its claims.
func (r *Replica) Transfer(ask proto.TransferAsk) proto.TransferAnswer {
	s := r.slot(ask.Slot)
	if s == nil {
		return proto.TransferAnswer{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	// A replica that was never ready in the previous group does not hold a complete set of claims to hand over.
	if complete := s.since == ask.PreviousSince && s.ready || s.completeFor == ask.PreviousSince && s.completeFor != 0; !complete {
		return proto.TransferAnswer{}
	}
	s.sealed = max(s.sealed, ask.Since)
	records, more := s.claims.Page(ask.After, transferPage)
	return proto.TransferAnswer{Ready: true, Records: records, More: more, ForgottenBefore: s.claims.Forgotten()}
}

// TakeTransfer merges a page of claims. After the last page of a member it returns whether the slot became ready.
func (r *Replica) TakeTransfer(ask proto.TransferAsk, from proto.RosterMember, answer proto.TransferAnswer) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if ask.Slot >= len(r.slots) || !answer.Ready {
		return false
	}
	slot := &r.roster.Slots[ask.Slot]
	s := r.slots[ask.Slot]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.since != ask.Since || s.ready || slot.Since != ask.Since {
		return false
	}
	s.claims.Forget(answer.ForgottenBefore)
	s.claims.Merge(answer.Records)
	if answer.More {
		return false
	}
	s.readFrom[from.VM] = true
	s.updateReady(slot)
	return s.ready
}

// ReadySlots returns the slots with a previous group whose claims this replica has read in full.
func (r *Replica) ReadySlots() []proto.SlotReady {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var ready []proto.SlotReady
	for i, s := range r.slots {
		slot := &r.roster.Slots[i]
		s.mu.Lock()
		if s.since == slot.Since && s.ready && len(slot.Previous) > 0 {
			ready = append(ready, proto.SlotReady{Slot: i, Since: slot.Since})
		}
		s.mu.Unlock()
	}
	return ready
}

// Sweep drops expired claims.
func (r *Replica) Sweep(now time.Time) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	for _, s := range r.slots {
		s.mu.Lock()
		if s.since != 0 {
			s.claims.Sweep(now)
		}
		s.mu.Unlock()
	}
}

// ReplicaCounts holds the current totals of a replica.
type ReplicaCounts struct {
	Epoch  proto.Epoch `json:"epoch"`
	Slots  int         `json:"slots"`
	Ready  int         `json:"ready"`
	Claims int         `json:"claims"`
}

// Counts returns the current totals of the replica.
func (r *Replica) Counts() ReplicaCounts {
	r.mu.RLock()
	defer r.mu.RUnlock()
	c := ReplicaCounts{Epoch: r.roster.Epoch}
	for i, s := range r.slots {
		s.mu.Lock()
		if s.since != 0 && s.since == r.roster.Slots[i].Since {
			c.Slots++
			if s.ready {
				c.Ready++
			}
			c.Claims += s.claims.Len()
		}
		s.mu.Unlock()
	}
	return c
}
