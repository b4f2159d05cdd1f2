package coord

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"emberlead/proto"
)

const (
	modelStep = 5 * time.Millisecond
	// modelCheckAfter and modelCheckJitter are when a reader checks its copy, and modelInForce the bound of a change.
	modelCheckAfter, modelCheckJitter = time.Second, 300 * time.Millisecond
	modelInForce                      = 2 * time.Second
	// modelContact is how long a daemon must have been undisturbed to be bound, and modelRefused how old a call without an answer gets.
	modelContact, modelNoAnswer = 3 * time.Second, time.Second
	modelLength                 = 14 * time.Second
	modelTask                   = "read the store"
)

// readerWay is a way to choose who reads the store.
type readerWay struct {
	name string
	// ranksOnly leaves reading to the first daemons of a zone.
	ranksOnly bool
	timing    ReaderTiming
}

func readerWays() (ranks, asks, ages, both readerWay) {
	never := 24 * time.Hour
	ranks = readerWay{"ranks", true, DefaultReaderTiming()}
	both = readerWay{"both", false, DefaultReaderTiming()}
	asks = readerWay{"asks", false, DefaultReaderTiming()}
	asks.timing.MaxAge = never
	ages = readerWay{"ages", false, DefaultReaderTiming()}
	ages.timing.RefusedAge, ages.timing.SilentAge = never, never
	return ranks, asks, ages, both
}

// modelDaemon is a daemon with a copy of one table.
type modelDaemon struct {
	reader *TableReader
	// version is the newest change that it has, and knownAt when it learnt of each.
	version uint64
	knownAt []time.Time
	// own is as of when the store confirmed the copy, byPeer the same as a reader told it, and gossiped as heartbeats did over some daemons.
	own, byPeer, gossiped time.Time
	hops                  int
	awaited               proto.Heartbeat
	awaitedAt             time.Time
	// watching is set while a watch is held; call is the call under way.
	watching            bool
	call                *modelCall
	checkedAt, retryAt  time.Time
	jitter, retryDelay  time.Duration
	pullAt, pollAt      time.Time
	pulled              uint64
	standInAt           time.Time
	refusedAt, troubled time.Time
}

type modelCall struct {
	sentAt, endsAt time.Time
	fails, isCheck bool
}

// readerModel plays daemons of a few zones and a store that turns some of them away.
type readerModel struct {
	*meshSim
	way       readerWay
	seed      uint64
	rng       *rand.Rand
	daemons   map[proto.VM]*modelDaemon
	changedAt []time.Time
	away      map[proto.VM]bool
	silent    bool
	calls     int
	cutSince  time.Time
	// n counts the steps, and nextChange is the step of the next change.
	n, nextChange int
	// suspended daemons get their messages when they go on, and slowLink tells how much longer than others a message takes.
	suspended map[proto.VM]bool
	slowLink  func(from, to proto.VM) time.Duration
	held      []heldMessage
	// ignoresDelay has messages count as of when they are read.
	ignoresDelay bool
	// pairs has every second change follow within a second.
	pairs bool
}

// inPairs ends the description of a store whose changes come in pairs.
const inPairs = ", changes in pairs"

func (m *readerModel) stepsToNextChange() int {
	if m.pairs && len(m.changedAt)%2 == 0 {
		return 1 + m.rng.IntN(int(time.Second/modelStep))
	}
	return 100 + m.rng.IntN(300)
}

// heldMessage is a message that takes longer than others since arrivedAt.
type heldMessage struct {
	meshMessage
	arrivedAt, dueAt time.Time
}

func newReaderModel(way readerWay, seed uint64, size, zones int) *readerModel {
	timing := MemberTiming{HeartbeatInterval: 300 * time.Millisecond, SilenceTimeout: 900 * time.Millisecond, PauseThreshold: 600 * time.Millisecond, MaxListLag: 2 * time.Minute, ForgetAfter: 2 * time.Minute}
	m := &readerModel{meshSim: newMesh(size, 1, zones, timing), way: way, seed: seed, rng: rand.New(rand.NewPCG(seed, 3)), daemons: map[proto.VM]*modelDaemon{}, changedAt: []time.Time{{}}, away: map[proto.VM]bool{}, suspended: map[proto.VM]bool{}, slowLink: func(proto.VM, proto.VM) time.Duration { return 0 }}
	for _, vm := range m.vms {
		random := rand.New(rand.NewPCG(seed, uint64(len(m.daemons))))
		d := &modelDaemon{reader: NewTableReader(m.now, way.timing, WithReaderRandom(func(n time.Duration) time.Duration { return time.Duration(random.Int64N(int64(n))) })), knownAt: []time.Time{m.now}, own: m.now}
		m.daemons[vm] = d
		m.members[vm].heartbeat = func() proto.Heartbeat { return d.heartbeat(m.now) }
	}
	return m
}

func (d *modelDaemon) heartbeat(now time.Time) proto.Heartbeat {
	h := proto.Heartbeat{Incarnation: 1, Targets: proto.Revision{Version: d.version}}
	asOf, hops := d.own, 0
	if d.byPeer.After(asOf) {
		asOf, hops = d.byPeer, 1
	}
	if d.gossiped.After(asOf) {
		asOf, hops = d.gossiped, d.hops
	}
	h.CopyAge, h.CopyHops = uint16(max(1, (now.Sub(asOf)+99*time.Millisecond)/(100*time.Millisecond))), uint8(hops)
	return h
}

func (m *readerModel) standing(vm proto.VM) Standing {
	members := m.members[vm]
	skip := func(other proto.VM) bool { return other != vm && members.IsSilent(m.now, other, 900*time.Millisecond) }
	first := members.IsAmongFirst(modelTask, 2, skip) || members.AllSilent(m.now, 900*time.Millisecond)
	return Standing{First: first, Count: members.ZoneCount()}
}

func (m *readerModel) reads(vm proto.VM) bool {
	s := m.standing(vm)
	if m.way.ranksOnly {
		return s.First
	}
	return m.daemons[vm].reader.Reason(m.now, s) != ReadNone
}

func (m *readerModel) learn(vm proto.VM, version uint64) {
	d := m.daemons[vm]
	if version <= d.version {
		return
	}
	for d.version < version {
		d.version++
		d.knownAt = append(d.knownAt, m.now)
	}
	m.members[vm].SendHeartbeats(m.now)
}

// confirm records that the store told a daemon the contents of the table.
func (m *readerModel) confirm(vm proto.VM, asOf time.Time) {
	d := m.daemons[vm]
	d.own = latest(d.own, asOf)
	d.reader.Confirm(asOf)
	m.learn(vm, uint64(len(m.changedAt)-1))
}

// notify tells the readers that the store confirmed a daemon's copy.
func (m *readerModel) notify(vm proto.VM) {
	d := m.daemons[vm]
	message := proto.Confirmed{Targets: proto.Revision{Version: d.version}, TargetsAge: max(1, m.now.Sub(d.own))}
	told := append(m.members[vm].FirstPerZone(modelTask, 2), d.reader.StandIns(m.now)...)
	slices.Sort(told)
	for _, other := range slices.Compact(told) {
		if other != vm {
			meshPeers{m.meshSim, vm}.Send(other, message)
		}
	}
}

func (m *readerModel) startCall(vm proto.VM, isCheck bool) {
	d := m.daemons[vm]
	m.calls++
	d.call = &modelCall{sentAt: m.now, endsAt: m.now.Add(modelStep), fails: m.away[vm], isCheck: isCheck}
	if d.call.fails && m.silent {
		d.call.endsAt = m.now.Add(modelNoAnswer)
	}
}

func (m *readerModel) endCall(vm proto.VM) {
	d, call := m.daemons[vm], m.daemons[vm].call
	d.call = nil
	if call.fails {
		m.fail(vm)
		return
	}
	s, isFirst := m.standing(vm), !d.watching
	m.confirm(vm, call.sentAt)
	d.reader.Answered(m.now, s)
	d.watching, d.retryDelay = true, 0
	d.jitter = time.Duration(m.rng.Int64N(int64(modelCheckJitter)))
	if call.isCheck || isFirst {
		m.notify(vm)
	}
}

// fail ends the watch of a daemon that the store turns away.
func (m *readerModel) fail(vm proto.VM) {
	d, s := m.daemons[vm], m.standing(vm)
	d.watching = false
	d.reader.Failed(m.now, s)
	d.retryDelay = min(max(2*d.retryDelay, 100*time.Millisecond), 800*time.Millisecond)
	d.retryAt = m.now.Add(d.retryDelay/2 + time.Duration(m.rng.Int64N(int64(d.retryDelay))))
	if m.way.ranksOnly {
		return
	}
	for _, other := range d.reader.Renewals(m.now, s) {
		meshPeers{m.meshSim, vm}.Send(other, proto.ReadAsk{Targets: true})
	}
}

// ask has a daemon ask others to read, as it does with each of its ticks.
func (m *readerModel) ask(vm proto.VM) {
	d, s := m.daemons[vm], m.standing(vm)
	if m.way.ranksOnly {
		return
	}
	first, end := d.reader.NextAsked(m.now, s)
	if first == end {
		return
	}
	members := m.members[vm]
	ranked := members.RankedInZone(modelTask, func(other proto.VM) bool { return other != vm && members.IsSilent(m.now, other, 900*time.Millisecond) })
	for _, other := range ranked[min(first, len(ranked)):min(end, len(ranked))] {
		meshPeers{m.meshSim, vm}.Send(other, proto.ReadAsk{Targets: true})
	}
}

// receive has a daemon read a message that took longer than others.
func (m *readerModel) receive(msg meshMessage, delay time.Duration) {
	d := m.daemons[msg.to]
	sentAt := m.now.Add(-delay)
	if m.ignoresDelay {
		sentAt = m.now
	}
	switch message := msg.m.(type) {
	case proto.Heartbeat:
		if message.Targets.Version > d.version && d.pullAt.IsZero() {
			d.pullAt, d.pulled = m.now.Add(2*modelStep), message.Targets.Version
			if s := m.standing(msg.to); s.First && d.reader.FailedFor(m.now) == 0 {
				d.pullAt = m.now.Add(250 * time.Millisecond)
			}
		}
		if d.awaited.Targets.Version <= d.version {
			m.gossip(d, d.awaited, d.awaitedAt)
			d.awaited, d.awaitedAt = message, sentAt
			m.gossip(d, d.awaited, d.awaitedAt)
		}
	case proto.Confirmed:
		if message.Targets.Version <= d.version {
			d.byPeer = latest(d.byPeer, sentAt.Add(-message.TargetsAge))
			d.reader.ConfirmByOthers(d.byPeer)
		}
		switch {
		case slices.Contains(m.members[msg.to].FirstInZone(modelTask, 2), msg.from):
			d.reader.HandleServedReader(sentAt.Add(-message.TargetsAge))
		case m.zone[msg.from] == m.zone[msg.to]:
			d.reader.HandleStandIn(m.now, msg.from)
		}
	case proto.ReadAsk:
		d.reader.HandleAsk(m.now, msg.from)
		d.pollAt = m.now
	}
}

func (m *readerModel) gossip(d *modelDaemon, h proto.Heartbeat, at time.Time) {
	if h.CopyAge == 0 || h.CopyHops >= 8 || h.Targets.Version > d.version {
		return
	}
	if asOf := at.Add(-time.Duration(h.CopyAge) * 100 * time.Millisecond); asOf.After(d.gossiped) {
		d.gossiped, d.hops = asOf, int(h.CopyHops)+1
		d.reader.ConfirmByOthers(asOf)
	}
}

// advance plays one step.
func (m *readerModel) advance() {
	m.n++
	m.now = m.now.Add(modelStep)
	batch := m.queue
	m.queue = nil
	for _, msg := range batch {
		if m.isDown(msg.to) && !m.suspended[msg.to] || m.isDown(msg.from) || m.isCut(msg.from, msg.to) {
			continue
		}
		m.held = append(m.held, heldMessage{msg, m.now, m.now.Add(m.slowLink(msg.from, msg.to))})
	}
	m.held = slices.DeleteFunc(m.held, func(h heldMessage) bool {
		if m.suspended[h.to] || m.now.Before(h.dueAt) {
			return false
		}
		if !m.isDown(h.to) {
			m.deliver(h.meshMessage)
			m.receive(h.meshMessage, m.now.Sub(h.arrivedAt))
		}
		return true
	})
	for i, vm := range m.vms {
		if m.isDown(vm) {
			continue
		}
		if m.n%20 == i%20 {
			m.members[vm].Tick(m.now)
			m.ask(vm)
		}
		m.advanceDaemon(vm)
	}
}

func (m *readerModel) advanceDaemon(vm proto.VM) {
	d := m.daemons[vm]
	if !d.pullAt.IsZero() && !m.now.Before(d.pullAt) {
		d.pullAt = time.Time{}
		m.learn(vm, d.pulled)
	}
	if d.call != nil && !m.now.Before(d.call.endsAt) {
		m.endCall(vm)
	}
	switch {
	case d.watching && m.away[vm] && !m.silent:
		d.call = nil
		m.fail(vm)
	case d.watching && !m.away[vm] && d.version < uint64(len(m.changedAt)-1):
		m.confirm(vm, m.now)
	case d.call != nil:
	case d.watching:
		m.keepWatching(vm)
	case m.now.Before(d.retryAt) || m.now.Before(d.pollAt):
	case m.reads(vm):
		m.startCall(vm, false)
	default:
		d.pollAt = m.now.Add(500 * time.Millisecond)
	}
}

// keepWatching checks a watch, and ends it if the daemon no longer reads.
func (m *readerModel) keepWatching(vm proto.VM) {
	d := m.daemons[vm]
	if m.n%100 == 0 && !m.reads(vm) {
		d.watching = false
		return
	}
	if !m.standing(vm).First && m.now.Sub(d.standInAt) >= 500*time.Millisecond && !m.away[vm] {
		d.standInAt = m.now
		m.notify(vm)
	}
	from := latest(d.own, d.byPeer)
	if len(d.reader.StandIns(m.now)) > 0 {
		from = d.own
	}
	if due := latest(from, d.checkedAt).Add(modelCheckAfter + d.jitter); !m.now.Before(due) {
		d.checkedAt, d.jitter = m.now, time.Duration(m.rng.Int64N(int64(modelCheckJitter)))
		m.startCall(vm, true)
	}
}

// disturb draws what happens to the store and the daemons in a play, and returns what to do at each moment.
func (m *readerModel) disturb(all bool) map[int]func() {
	at := func(d time.Duration) int { return int(d / modelStep) }
	steps := map[int]func(){}
	begin := 4*time.Second + time.Duration(m.rng.Int64N(int64(time.Second)))
	length := 3*time.Second + time.Duration(m.rng.Int64N(int64(6*time.Second)))
	m.silent = m.rng.IntN(3) == 0
	share := 0.1 + 0.25*m.rng.Float64()
	readersFirst, rotates := m.rng.IntN(2) == 0, m.rng.IntN(3) == 0
	turnAway := func() {
		clear(m.away)
		order := m.rng.Perm(len(m.vms))
		var chosen []proto.VM
		if readersFirst {
			chosen = m.members[m.vms[0]].FirstPerZone(modelTask, 2+m.rng.IntN(3))
		}
		for _, i := range order {
			chosen = append(chosen, m.vms[i])
		}
		limit := int(share * float64(len(m.vms)))
		if all {
			limit = len(chosen)
		}
		for _, vm := range chosen {
			if len(m.away) < limit || all {
				m.away[vm] = true
			}
		}
	}
	// A change that comes right after the last confirmation is the hardest one.
	disturbed := func() {
		turnAway()
		m.nextChange = m.n + m.rng.IntN(at(time.Second))
	}
	steps[at(begin)] = disturbed
	if rotates && !all {
		for t := begin + 3*time.Second; t < begin+length; t += 3 * time.Second {
			steps[at(t)] = disturbed
		}
	}
	steps[at(begin+length)] = func() { clear(m.away) }
	m.disturbDaemons(steps, at(begin))
	return steps
}

// disturbDaemons has some daemons pause, or cuts zones off from each other, beside the disturbance of the store.
func (m *readerModel) disturbDaemons(steps map[int]func(), around int) {
	when := around + m.rng.IntN(600) - 200
	end := when + 200 + m.rng.IntN(400)
	readers := m.members[m.vms[0]].FirstPerZone(modelTask, 2)
	switch m.rng.IntN(5) {
	case 0:
		paused := m.vms[m.rng.IntN(len(m.vms))]
		if m.rng.IntN(2) == 0 {
			paused = readers[m.rng.IntN(len(readers))]
		}
		steps[when+1] = func() { m.paused[paused] = true }
		steps[end+1] = func() { m.paused[paused] = false }
	case 1:
		zone := m.zone[m.vms[m.rng.IntN(len(m.vms))]]
		steps[when+1] = func() {
			m.cutSince = m.now
			m.isCut = func(a, b proto.VM) bool { return (m.zone[a] == zone) != (m.zone[b] == zone) }
		}
		steps[end+1] = func() { m.isCut = func(proto.VM, proto.VM) bool { return false } }
	case 2:
		// Some daemons hear only others that are cut off from all readers too, for as long as the play lasts.
		apart := map[proto.VM]bool{}
		for _, vm := range m.vms {
			apart[vm] = !slices.Contains(readers, vm) && m.rng.IntN(2) == 0
		}
		steps[when+1] = func() {
			m.cutSince = m.now
			m.isCut = func(a, b proto.VM) bool { return apart[a] != apart[b] }
		}
	}
}

// readerResult tells how a play went.
type readerResult struct {
	late, due, calls int
	worst            time.Duration
	cut              bool
}

// play plays a store that turns some daemons away, or all, or none.
func (m *readerModel) play(share string) readerResult {
	share, m.pairs = strings.CutSuffix(share, inPairs)
	steps := map[int]func(){}
	if share != "none" {
		steps = m.disturb(share == "all")
	}
	m.nextChange = int(time.Second / modelStep)
	begin := m.calls
	for n := range int(modelLength / modelStep) {
		if do := steps[n]; do != nil {
			do()
		}
		for _, vm := range m.vms {
			if m.away[vm] || m.isDown(vm) {
				m.daemons[vm].troubled = m.now
			}
		}
		if n == m.nextChange && n < int((modelLength-modelInForce)/modelStep) {
			m.changedAt = append(m.changedAt, m.now)
			m.nextChange += m.stepsToNextChange()
		}
		m.advance()
		m.markBound()
	}
	result := m.judge()
	result.calls, result.cut = m.calls-begin, !m.cutSince.IsZero()
	return result
}

// markBound takes out the changes for which a daemon is not bound.
func (m *readerModel) markBound() {
	for version := len(m.changedAt) - 1; version > 0; version-- {
		if m.now.Sub(m.changedAt[version]) > modelInForce+modelStep {
			return
		}
		for _, vm := range m.vms {
			if d := m.daemons[vm]; m.now.Sub(d.troubled) < modelContact && d.version < uint64(version) {
				d.refusedAt = m.changedAt[version]
			}
		}
	}
}

// judge checks that each daemon that the store served had each change in time.
func (m *readerModel) judge() readerResult {
	var r readerResult
	for version := 1; version < len(m.changedAt); version++ {
		changedAt := m.changedAt[version]
		if !m.cutSince.IsZero() && changedAt.Sub(m.cutSince) < modelContact && m.cutSince.Sub(changedAt) < modelInForce {
			continue
		}
		for _, vm := range m.vms {
			d := m.daemons[vm]
			if !d.refusedAt.Before(changedAt) {
				continue
			}
			r.due++
			took := m.now.Sub(changedAt)
			if version < len(d.knownAt) {
				took = d.knownAt[version].Sub(changedAt)
			}
			r.worst = max(r.worst, took)
			if took > modelInForce {
				r.late++
			}
		}
	}
	return r
}

// modelSize draws the size of a deployment from a seed.
func modelSize(seed uint64) (daemons, zones int) {
	sizes := []int{6, 8, 10, 14, 20, 24, 30, 48}
	if seed%25 == 24 {
		return 95, 4
	}
	return sizes[seed%uint64(len(sizes))], []int{1, 2, 4}[seed/8%3]
}

// playSeeds plays seeds side by side.
func playSeeds(way readerWay, share string, seeds int) []readerResult {
	results := make([]readerResult, seeds)
	var plays sync.WaitGroup
	running := make(chan struct{}, 8)
	for seed := range uint64(seeds) {
		plays.Go(func() {
			running <- struct{}{}
			defer func() { <-running }()
			daemons, zones := modelSize(seed)
			results[seed] = newReaderModel(way, seed, daemons, zones).play(share)
		})
	}
	plays.Wait()
	return results
}

// TestEachDaemonThatTheStoreServesHasEachChange guards against daemons that wait for others which the store turns away. Stores turn away
// drawn sets of daemons, beside pauses and cuts between zones.
func TestEachDaemonThatTheStoreServesHasEachChange(t *testing.T) {
	t.Parallel()
	ranks, asks, ages, both := readerWays()
	plays := []struct {
		way   readerWay
		share string
		seeds int
	}{
		{ranks, "some", histories(200) / 10},
		{asks, "some", histories(200) / 10},
		{ages, "some", histories(200) / 10},
		{both, "some", histories(200)},
		{both, "some" + inPairs, histories(200) / 20},
	}
	for _, play := range plays {
		way := play.way
		var sum readerResult
		var failed []uint64
		for seed, r := range playSeeds(way, play.share, play.seeds) {
			sum = readerResult{late: sum.late + r.late, due: sum.due + r.due, calls: sum.calls + r.calls, worst: max(sum.worst, r.worst)}
			if r.late > 0 {
				failed = append(failed, uint64(seed))
			}
		}
		t.Logf("%s, store turns away %s: %d of %d changes late, worst after %s, in %d of %d seeds; %d calls", way.name, play.share, sum.late, sum.due, sum.worst, len(failed), play.seeds, sum.calls)
		switch way.name {
		case both.name, asks.name:
			if len(failed) > 0 {
				t.Errorf("%s: changes were late with seeds %v", way.name, failed)
			}
		default:
			if len(failed) == 0 {
				t.Errorf("%s is enough, so that the model does not show what daemons are asked for", way.name)
			}
		}
	}
}

// TestDaemonsCutOffFromAllReadersRead guards against daemons that hear only others which are cut off from the readers too, and whose
// readers they take for alive, since they aren't linked to them.
func TestDaemonsCutOffFromAllReadersRead(t *testing.T) {
	t.Parallel()
	const daemons, step, cutAt = 30, int(time.Second / modelStep), 4
	ranks, asks, _, both := readerWays()
	for _, way := range []readerWay{ranks, asks, both} {
		var failed []uint64
		for seed := range uint64(histories(20)) {
			m := newReaderModel(way, seed, daemons, 1)
			apart := map[proto.VM]bool{}
			for _, vm := range m.vms {
				apart[vm] = !slices.Contains(m.members[vm].FirstInZone(modelTask, 2), vm) && m.rng.IntN(4) == 0
			}
			for n := range int(modelLength / modelStep) {
				if n == cutAt*step {
					m.cutSince = m.now
					m.isCut = func(a, b proto.VM) bool { return apart[a] != apart[b] }
				}
				if n%step == step-1 && m.now.Add(modelInForce).Before(time.Unix(1_700_000_000, 0).Add(modelLength)) {
					m.changedAt = append(m.changedAt, m.now)
				}
				m.advance()
			}
			if m.judge().late > 0 {
				failed = append(failed, seed)
			}
		}
		t.Logf("%s: changes late in %d seeds", way.name, len(failed))
		if isMechanism := way.name == both.name; isMechanism == (len(failed) > 0) {
			t.Errorf("%s: changes were late with seeds %v", way.name, failed)
		}
	}
}

// TestStoreThatServesNobodyIsNotOverrun guards against daemons that all call a store that is away, and a flood at its return.
func TestStoreThatServesNobodyIsNotOverrun(t *testing.T) {
	t.Parallel()
	ranks, _, _, both := readerWays()
	for _, share := range []string{"none", "all"} {
		before, after := playSeeds(ranks, share, histories(25)), playSeeds(both, share, histories(25))
		var sumBefore, sumAfter int
		for seed := range before {
			sumBefore += before[seed].calls
			sumAfter += after[seed].calls
			daemons, _ := modelSize(uint64(seed))
			most := before[seed].calls
			if share == "all" {
				// Each daemon is asked once, and those whose copies are stale call now and then.
				most = most*3/2 + daemons
			}
			if share == "all" && after[seed].cut {
				// Those cut off from others are asked by readers of their own.
				most += daemons
			}
			if after[seed].calls > most {
				t.Errorf("store turns away %s, seed %d, %d daemons: %d calls, %d by rank alone", share, seed, daemons, after[seed].calls, before[seed].calls)
			}
		}
		t.Logf("store turns away %s: %d calls, %d by rank alone", share, sumAfter, sumBefore)
	}
}
