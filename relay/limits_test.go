package relay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"emberlead/proto"
	"emberlead/state"
)

const (
	// limitTick is the step of the simulation, and limitAnswer is how long a target takes to answer.
	limitTick   = 10 * time.Millisecond
	limitAnswer = 20 * time.Millisecond
	// limitNoticeDelay is how long notices take to reach other daemons, and limitDetectionLag is how long a daemon
	// takes to detect which daemons are cut off.
	limitNoticeDelay  = 100 * time.Millisecond
	limitDetectionLag = time.Second
	// At most limitFactor times the limit over limitSpan, plus limitSlack, may arrive at a target, from limitLearnTime
	// after it first reported the limit.
	limitSpan      = 4 * time.Second
	limitFactor    = 1.5
	limitSlack     = 5
	limitLearnTime = 3 * time.Second
	// minLimitUse is the least part of the target's limit that an undisturbed fleet uses.
	minLimitUse = 0.8
)

// limitSimulation simulates daemons and one target that reports a limit, with a clock of its own.
type limitSimulation struct {
	clock   *clockwork.FakeClock
	random  *rand.Rand
	daemons []*limitDaemon
	// limit is the limit that the target reports; it reports none if negative.
	limit    float64
	arrivals []time.Time
	due      []limitEvent
	// calls counts the calls between daemons; silent ones do not answer.
	calls  int
	silent bool
}

// limitEvent is a response or a message in flight.
type limitEvent struct {
	at time.Time
	do func()
}

// limitDaemon is one daemon. It reaches the others of its group, and believes that it reaches those of its group of
// some time ago.
type limitDaemon struct {
	sim    *limitSimulation
	vm     proto.VM
	placer *Placer
	fleet  *Fleet
	group  int
	// assumedGroup is the group that the daemon assumes.
	assumedGroup int
}

func newLimitSimulation(seed uint64, daemons int, limit float64) *limitSimulation {
	w := &limitSimulation{clock: clockwork.NewFakeClockAt(start), random: rand.New(rand.NewPCG(seed, 11)), limit: limit}
	for i := range daemons {
		d := &limitDaemon{sim: w, vm: proto.VM(fmt.Sprint("vm-", i))}
		d.fleet = NewFleet(func(string) {}, WithNoticeHandler(d.sendNotices))
		d.fleet.ApplyChanges(start, []FleetChange{putChange(1, testTarget("t", "p", "z"))})
		d.placer = NewPlacer(d.vm, w.clock, hclog.NewNullLogger(), d.fleet, d)
		w.daemons = append(w.daemons, d)
	}
	return w
}

func (s *limitSimulation) schedule(wait time.Duration, do func()) {
	s.due = append(s.due, limitEvent{s.clock.Now().Add(wait), do})
}

// sendNotices sends notices to the daemons of the group.
func (d *limitDaemon) sendNotices(notices []proto.TargetNotice) {
	for _, other := range d.sim.daemons {
		if other != d && other.group == d.group {
			d.sim.schedule(limitNoticeDelay, func() { other.fleet.MergeNotices(d.sim.clock.Now(), notices, d.vm) })
		}
	}
}

func (d *limitDaemon) OwnerInZone(_ proto.Zone, task string, skip map[proto.VM]bool) proto.VM {
	return d.Owner(task, skip)
}

func (d *limitDaemon) Owner(task string, _ map[proto.VM]bool) proto.VM {
	var owner proto.VM
	var best uint64
	for _, other := range d.sim.daemons {
		if rank := state.RendezvousScore(state.Hash(task), state.Hash(string(other.vm))); other.assumedGroup == d.assumedGroup && (owner == "" || rank > best) {
			owner, best = other.vm, rank
		}
	}
	return owner
}

func (d *limitDaemon) Silent(proto.VM) bool                       { return false }
func (d *limitDaemon) OwnsExclusively(string, time.Duration) bool { return true }
func (d *limitDaemon) Send(to proto.VM, m proto.Message) {
	if note, ok := m.(proto.PlaceNote); ok && d.reaches(to) {
		d.sim.daemon(to).placer.HandlePlaceNote(d.vm, note)
	}
}

func (d *limitDaemon) Share() Share {
	live := 0
	for _, other := range d.sim.daemons {
		if other.assumedGroup == d.assumedGroup {
			live++
		}
	}
	return Share{VMCount: len(d.sim.daemons), Live: live}
}

func (d *limitDaemon) Call(_ context.Context, to proto.VM, m proto.Message) (proto.Message, error) {
	d.sim.calls++
	if !d.reaches(to) || d.sim.silent {
		return nil, fmt.Errorf("cut off")
	}
	switch ask := m.(type) {
	case proto.PermitAsk:
		return d.sim.daemon(to).placer.HandlePermitAsk(d.vm, ask), nil
	case proto.PlaceAsk:
		return d.sim.daemon(to).placer.HandlePlaceAsk(ask), nil
	}
	return nil, fmt.Errorf("unexpected message")
}

func (d *limitDaemon) reaches(vm proto.VM) bool { return d.sim.daemon(vm).group == d.group }

func (s *limitSimulation) daemon(vm proto.VM) *limitDaemon {
	for _, d := range s.daemons {
		if d.vm == vm {
			return d
		}
	}
	return nil
}

// send lets a daemon send a request if it finds a target.
func (s *limitSimulation) send(d *limitDaemon, engine bool) {
	placed := d.placer.Choose(context.Background(), "p", TargetCriteria{Engine: engine, Route: "r", OwnTokens: 100})
	if placed == nil {
		return
	}
	sent := s.clock.Now()
	s.arrivals = append(s.arrivals, sent)
	notice := Notice{Limit: max(0, s.limit), HasLimit: s.limit >= 0}
	s.schedule(limitAnswer, func() {
		d.fleet.recordSignal(s.clock.Now(), &signal{Notice: notice, target: placed.Spec, sent: sent})
		placed.Finish(VerdictSuccess, Load{})
	})
}

// run simulates a number of requests per second, spread over the first daemons.
func (s *limitSimulation) run(length time.Duration, perSecond float64, spread int, engine bool) {
	credit := 0.0
	for end := s.clock.Now().Add(length); s.clock.Now().Before(end); s.clock.Advance(limitTick) {
		s.deliverDue()
		for credit += perSecond * limitTick.Seconds(); credit >= 1; credit-- {
			s.send(s.daemons[s.random.IntN(spread)], engine)
		}
	}
}

func (s *limitSimulation) deliverDue() {
	now := s.clock.Now()
	var later []limitEvent
	due := s.due
	s.due = nil
	for _, e := range due {
		if now.Before(e.at) {
			later = append(later, e)
			continue
		}
		e.do()
	}
	s.due = append(later, s.due...)
}

// split puts each daemon into one of several groups, which cannot reach each other from now on and detect that later.
func (s *limitSimulation) split(groups int) {
	for _, d := range s.daemons {
		d.group = s.random.IntN(groups)
		group := d.group
		s.schedule(time.Duration(s.random.Int64N(int64(limitDetectionLag))), func() { d.assumedGroup = group })
	}
}

// maxArrivals returns the largest number of arrivals within a span, from a time on.
func (s *limitSimulation) maxArrivals(from time.Time) int {
	maxArrivals, first := 0, 0
	for last, at := range s.arrivals {
		for s.arrivals[first].Before(from) && first < last || at.Sub(s.arrivals[first]) > limitSpan {
			first++
		}
		maxArrivals = max(maxArrivals, last-first+1)
	}
	return maxArrivals
}

func maxAllowedArrivals(limit float64) int {
	return int(limitFactor*limitSpan.Seconds()*limit + limitSlack)
}

// Guards against a limit that each daemon applies separately, or that is divided until nobody is served.
func TestLimitIsRespectedAndUsed(t *testing.T) {
	const length = 40 * time.Second
	for _, daemons := range []int{6, 30, 95} {
		for _, limit := range []float64{0.3, 1, 5, 50} {
			for _, load := range []struct {
				testName string
				spread   int
				engine   bool
			}{{"even load, engines", daemons, true}, {"even load, plain", daemons, false}, {"all load at one daemon", 1, false}} {
				t.Run(fmt.Sprintf("%d daemons, limit %g, %s", daemons, limit, load.testName), func(t *testing.T) {
					t.Parallel()
					w := newLimitSimulation(1, daemons, limit)
					w.run(limitLearnTime, 3*limit+3, load.spread, load.engine)
					from := w.clock.Now()
					w.run(length, 3*limit+3, load.spread, load.engine)
					if got, may := w.maxArrivals(from), maxAllowedArrivals(limit); got > may {
						t.Errorf("%d requests arrived within %s, limit %d", got, limitSpan, may)
					}
					used := 0
					for _, at := range w.arrivals {
						if !at.Before(from) {
							used++
						}
					}
					if takes := limit * length.Seconds(); float64(used) < minLimitUse*takes {
						t.Errorf("%d requests arrived, the target accepts %.0f", used, takes)
					}
				})
			}
		}
	}
}

// Guards against groups of daemons that each use a whole limit while they do not hear from each other.
func TestLimitIsRespectedByPartitionedFleet(t *testing.T) {
	for seed := range uint64(60) {
		random := rand.New(rand.NewPCG(seed, 2))
		daemons, limit := []int{6, 30, 95}[random.IntN(3)], []float64{0.3, 1, 5, 50}[random.IntN(4)]
		w := newLimitSimulation(seed, daemons, limit)
		engine := random.IntN(2) == 0
		w.run(limitLearnTime, 2*limit+3, daemons, engine)
		from := w.clock.Now()
		for range 8 {
			w.split(1 + random.IntN(3))
			w.run(time.Duration(1+random.IntN(8))*time.Second, 2*limit+3, daemons, engine)
		}
		if got, may := w.maxArrivals(from), maxAllowedArrivals(limit); got > may {
			t.Errorf("seed %d: %d daemons: %d requests arrived within %s at a target with a limit of %g, want at most %d", seed, daemons, got, limitSpan, limit, may)
		}
	}
}

// Guards against a target that is held to a limit which it no longer reports.
func TestLimitIsLiftedByResponses(t *testing.T) {
	for _, limit := range []float64{0, 0.01, 1} {
		t.Run(fmt.Sprintf("limit %g", limit), func(t *testing.T) {
			w := newLimitSimulation(1, 6, limit)
			w.run(10*time.Second, 20, 6, false)
			limited := len(w.arrivals)
			w.limit = noLimit
			w.run(10*time.Second, 20, 6, false)
			if after := len(w.arrivals) - limited; after < 60 {
				t.Errorf("%d of 200 requests arrived within ten seconds of the end of a limit; %d had before", after, limited)
			}
		})
	}
}

// Guards against values that would stop all work for a target, or let it through in a burst.
func TestExtremeLimits(t *testing.T) {
	scenarios := []struct {
		testName string
		notice   Notice
		partial  bool
		limited  bool
	}{
		{"a limit", Notice{HasLimit: true, Limit: 2}, false, true},
		{"unreachably high limit", Notice{HasLimit: true, Limit: 1e300}, false, true},
		{"malformed value", Notice{Unreadable: []string{"x"}}, true, false},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			w := newLimitSimulation(1, 2, noLimit)
			f := w.daemons[0].fleet
			f.recordSignal(start, &signal{Notice: s.notice, target: testTarget("t", "p", "z"), sent: start, partial: s.partial})
			if got := len(f.limited("p")) > 0; got != s.limited {
				t.Errorf("limited: %v", got)
			}
			w.run(5*time.Second, 10, 2, false)
			if len(w.arrivals) < 10 {
				t.Errorf("%d of 50 requests arrived", len(w.arrivals))
			}
		})
	}
}

// Guards against a target that is never used again because nothing counts what its limit allows.
func TestLimitedTargetIsUsedAfterEvacuation(t *testing.T) {
	w := newLimitSimulation(1, 1, 1)
	d := w.daemons[0]
	w.run(5*time.Second, 5, 1, false)
	d.fleet.ApplyEvacuations(w.clock.Now(), []proto.Evacuation{{Zone: "z", Version: proto.Revision{Version: 5}}})
	w.run(2*time.Second, 5, 1, false)
	d.fleet.ApplyEvacuations(w.clock.Now(), []proto.Evacuation{{Zone: "z", Version: proto.Revision{Version: 6}, Ended: true}})
	from := len(w.arrivals)
	w.run(5*time.Second, 5, 1, false)
	if len(w.arrivals) == from {
		t.Error("no request arrived after the zone came back")
	}
}

// Guards against two daemons that each use a target's whole limit for calls.
func TestNonOwnerUsesPartOfLimit(t *testing.T) {
	clock := clockwork.NewFakeClockAt(start)
	p := newTestPieceScheduler(clock, &scriptedPeers{silent: make(chan struct{})}, &stubSender{})
	p.fleet.recordSignal(start, &signal{Notice: Notice{HasLimit: true, Limit: 4}, target: testTarget("t1", "p", "z"), sent: start})
	w := p.workerFor(shard{pool: "p"})
	w.mu.Lock()
	defer w.mu.Unlock()
	if got := w.liveShare(); got != nonOwnerShare {
		t.Errorf("fraction %g of the limit is used by a non-owner, want %g", got, nonOwnerShare)
	}
	w.pieces.self = "other"
	if got := w.liveShare(); got != 1 {
		t.Errorf("fraction %g of the limit is used by the owner", got)
	}
}

// Guards against permits granted by an outdated limit of the asking daemon after the target lowered its limit.
func TestPermitUsesNewerLimit(t *testing.T) {
	w := newLimitSimulation(1, 1, 1)
	d := w.daemons[0]
	for i, limit := range []float64{100, 1} {
		at := start.Add(time.Duration(i) * time.Second)
		d.fleet.recordSignal(at, &signal{Notice: Notice{HasLimit: true, Limit: limit}, target: testTarget("t", "p", "z"), sent: at})
	}
	stale := proto.PermitAsk{Pool: "p", Notice: proto.TargetNotice{Target: "t", Run: "t", HasLimit: true, Limit: 100, LimitVersion: 1}}
	granted := 0
	for range 100 {
		w.clock.Advance(20 * time.Millisecond)
		if d.placer.HandlePermitAsk("other", stale).Granted {
			granted++
		}
	}
	if granted > 2 {
		t.Errorf("%d permits were granted within two seconds, the target accepts one per second", granted)
	}
}
