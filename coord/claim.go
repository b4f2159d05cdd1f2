package coord

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"

	"emberlead/proto"
)

// SlotOf returns the slot that a key belongs to.
func SlotOf(key proto.Key, slots int) int {
	return int(xxhash.Sum64(key[:]) % uint64(slots))
}

// Round collects the answers of a group to one claim, in any order.
type Round struct {
	size     int
	answers  map[proto.VM]proto.ClaimAnswer
	failures int
}

// NewRound returns a round for a group of the given size.
func NewRound(size int) *Round {
	return &Round{size: size, answers: map[proto.VM]proto.ClaimAnswer{}}
}

// AddAnswer records an answer; a second answer of the same replica replaces the first.
func (r *Round) AddAnswer(from proto.VM, answer proto.ClaimAnswer) { r.answers[from] = answer }

// AddFailure records a replica that could not be asked.
func (r *Round) AddFailure() { r.failures++ }

func (r *Round) count(result proto.ClaimResult) int {
	n := 0
	for _, answer := range r.answers {
		if answer.Result == result {
			n++
		}
	}
	return n
}

// Decision is the outcome of a round.
type Decision int

// Decisions of a round.
const (
	DecisionPending Decision = iota
	DecisionGranted
	DecisionTaken
	DecisionDone
	DecisionMismatch
	DecisionTooOld
	DecisionTooNew
	DecisionStale
	DecisionUnreachable
)

// Decide returns the decision that the answers so far allow. Only a majority of the group grants a key, so that no two
// requests hold it.
func (r *Round) Decide() Decision {
	majority := r.size/2 + 1
	switch {
	case r.count(proto.ClaimGranted) >= majority:
		return DecisionGranted
	case r.count(proto.ClaimDone) > 0:
		return DecisionDone
	case r.count(proto.ClaimMismatch) > 0:
		return DecisionMismatch
	case r.count(proto.ClaimTooOld) > 0:
		return DecisionTooOld
	case r.count(proto.ClaimTooNew) > 0:
		return DecisionTooNew
	case r.count(proto.ClaimGranted)+r.size-len(r.answers)-r.failures >= majority:
		return DecisionPending
	case r.count(proto.ClaimStale) > 0:
		return DecisionStale
	case r.count(proto.ClaimTaken) > 0:
		return DecisionTaken
	}
	return DecisionUnreachable
}

// newerReplica returns a replica whose roster is newer than that of the asking daemon.
func (r *Round) newerReplica() (proto.VM, bool) {
	for from, answer := range r.answers {
		if answer.Result == proto.ClaimStale {
			return from, true
		}
	}
	return "", false
}

// Answer returns the stored answer of a request that is done.
func (r *Round) Answer() []byte {
	for _, answer := range r.answers {
		if answer.Result == proto.ClaimDone && answer.Answer != nil {
			return answer.Answer
		}
	}
	return nil
}

const (
	claimRounds     = 3
	claimRetryDelay = 30 * time.Millisecond
)

// Claimer claims keys for the requests of one daemon.
type Claimer struct {
	self         proto.RosterMember
	roster       func() proto.Roster
	localReplica *Replica
	peers        Peers
	clock        clockwork.Clock
	timing       ClaimTiming
	// refresh fetches a newer roster from a daemon that has one.
	refresh func(ctx context.Context, from proto.VM)
	// isDead reports whether a run of a daemon is considered dead.
	isDead func(proto.VM, proto.Incarnation) bool

	mu         sync.Mutex
	random     *rand.Rand
	attempts   int
	heldClaims map[proto.RequestID]heldClaim
	failedAt   map[int]time.Time // by slot, when its group last gave no answer
}

type heldClaim struct {
	slot  int
	group []proto.RosterMember
	claim proto.ClaimID
}

// NewClaimer returns a claimer that asks the groups of the replica's roster.
func NewClaimer(self proto.RosterMember, localReplica *Replica, peers Peers, clock clockwork.Clock, timing ClaimTiming, refresh func(context.Context, proto.VM), isDead func(proto.VM, proto.Incarnation) bool) *Claimer {
	return &Claimer{
		self: self, roster: localReplica.Roster, localReplica: localReplica, peers: peers, clock: clock, timing: timing, refresh: refresh, isDead: isDead,
		random:     rand.New(rand.NewPCG(xxhash.Sum64String(string(self.VM)), uint64(self.Incarnation))),
		heldClaims: map[proto.RequestID]heldClaim{}, failedAt: map[int]time.Time{},
	}
}

// Claim asks the key's group; DecisionGranted means that no other request was or will be granted the key.
func (c *Claimer) Claim(ctx context.Context, key proto.Key, fingerprint uint64, request proto.RequestID) (Decision, []byte) {
	for round := range claimRounds {
		decision, answer := c.round(ctx, key, fingerprint, request)
		contended := decision == DecisionTaken || decision == DecisionStale || decision == DecisionUnreachable
		if !contended || round == claimRounds-1 {
			return decision, answer
		}
		// Two simultaneous claims can split the group so that neither has a majority; a random pause keeps them from colliding again.
		select {
		case <-ctx.Done():
			return DecisionUnreachable, nil
		case <-c.clock.After(c.retryDelay()):
		}
	}
	return DecisionUnreachable, nil
}

func (c *Claimer) retryDelay() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return claimRetryDelay/2 + time.Duration(c.random.Int64N(int64(claimRetryDelay)))
}

type groupReply struct {
	from   proto.VM
	answer proto.ClaimAnswer
	err    error
}

func (c *Claimer) round(ctx context.Context, key proto.Key, fingerprint uint64, request proto.RequestID) (Decision, []byte) {
	roster := c.roster()
	if len(roster.Slots) == 0 {
		return DecisionUnreachable, nil
	}
	index := SlotOf(key, len(roster.Slots))
	slot := roster.Slots[index]
	ask := proto.ClaimAsk{Slot: index, Since: slot.Since, Key: key, Fingerprint: fingerprint, Claim: c.claimID(request)}
	ctx, cancel := context.WithTimeout(ctx, c.timing.RoundTimeout)
	defer cancel()
	replies := make(chan groupReply, len(slot.Group))
	for _, member := range slot.Group {
		go c.ask(ctx, member, ask, replies)
	}
	r := NewRound(len(slot.Group))
	for range slot.Group {
		reply := <-replies
		if reply.err != nil {
			r.AddFailure()
		} else {
			r.AddAnswer(reply.from, reply.answer)
		}
		if r.Decide() != DecisionPending {
			break
		}
	}
	decision := r.Decide()
	c.recordOutcome(index, decision)
	if decision == DecisionGranted {
		c.mu.Lock()
		c.heldClaims[request] = heldClaim{slot: index, group: slot.Group, claim: ask.Claim}
		c.mu.Unlock()
		return decision, nil
	}
	c.release(index, slot.Group, key, ask.Claim)
	if from, stale := r.newerReplica(); stale && c.refresh != nil {
		c.refresh(ctx, from)
	}
	return decision, r.Answer()
}

// claimID returns the claim that the request already holds, or a new one, because a claim that was released is never granted again.
func (c *Claimer) claimID(request proto.RequestID) proto.ClaimID {
	c.mu.Lock()
	defer c.mu.Unlock()
	if held, ok := c.heldClaims[request]; ok {
		return held.claim
	}
	c.attempts++
	return proto.ClaimID{Holder: c.self.VM, Incarnation: c.self.Incarnation, Request: request, Attempt: c.attempts}
}

func (c *Claimer) ask(ctx context.Context, member proto.RosterMember, ask proto.ClaimAsk, replies chan<- groupReply) {
	if member == c.self {
		replies <- groupReply{from: member.VM, answer: c.localReplica.Claim(wallTime(c.clock), ask)}
		return
	}
	if c.isDead(member.VM, member.Incarnation) {
		replies <- groupReply{from: member.VM, err: newError("claim", proto.KindUnavailable, "%s is considered dead", member.VM)}
		return
	}
	m, err := c.peers.Call(ctx, member.VM, ask)
	answer, ok := m.(proto.ClaimAnswer)
	if err == nil && !ok {
		err = newError("claim", proto.KindInvalid, "%s answered with an unexpected message type", member.VM)
	}
	replies <- groupReply{from: member.VM, answer: answer, err: err}
}

// release gives up grants that fell short of a majority; this daemon certainly did not run the request.
func (c *Claimer) release(slot int, group []proto.RosterMember, key proto.Key, claim proto.ClaimID) {
	c.sendToGroup(group, proto.Settle{Slot: slot, Key: key, Claim: claim, Released: true})
}

func (c *Claimer) sendToGroup(group []proto.RosterMember, m proto.Settle) {
	for _, member := range group {
		if member == c.self {
			c.localReplica.Settle(m)
			continue
		}
		c.peers.Send(member.VM, m)
	}
}

// unreachableFor is how long a slot whose group gave no answer is considered unreachable before it is tried again.
const unreachableFor = time.Second

func (c *Claimer) failedRecently(slot int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.clock.Since(c.failedAt[slot]) < unreachableFor
}

func (c *Claimer) recordOutcome(slot int, decision Decision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if decision == DecisionUnreachable {
		c.failedAt[slot] = c.clock.Now()
		return
	}
	delete(c.failedAt, slot)
}

// Reachable reports whether a majority of the key's group appears to be alive and the group has not failed to answer recently.
func (c *Claimer) Reachable(key proto.Key) bool {
	roster := c.roster()
	if len(roster.Slots) == 0 {
		return false
	}
	index := SlotOf(key, len(roster.Slots))
	if c.failedRecently(index) {
		return false
	}
	group := roster.Slots[index].Group
	live := 0
	for _, member := range group {
		if member == c.self || !c.isDead(member.VM, member.Incarnation) {
			live++
		}
	}
	return 2*live > len(group)
}

// Settle reports the outcome of the request to the key's group: released if the request certainly did not run,
// otherwise done, with its answer.
func (c *Claimer) Settle(key proto.Key, request proto.RequestID, released bool, answer []byte) {
	c.mu.Lock()
	held, ok := c.heldClaims[request]
	delete(c.heldClaims, request)
	c.mu.Unlock()
	if !ok || !released && answer == nil {
		return
	}
	c.sendToGroup(held.group, proto.Settle{Slot: held.slot, Key: key, Claim: held.claim, Released: released, Answer: answer})
}
