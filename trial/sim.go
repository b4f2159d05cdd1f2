package trial

import (
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"emberlead/core"
	"emberlead/proto"
	"emberlead/state"
)

const (
	networkDelay   = 500 * time.Microsecond
	tickInterval   = 10 * time.Millisecond
	usageInterval  = 500 * time.Millisecond
	reportInterval = 500 * time.Millisecond
	warmUpDuration = 5 * time.Second
	runDuration    = 20 * time.Second
	drainDuration  = 8 * time.Second
	prefixCount    = 60
)

var startTime = time.Unix(1_700_000_000, 0)

// event is an action scheduled at an instant of virtual time.
type event struct {
	at       time.Time
	sequence int
	run      func()
}

// request is one request, as recorded by its caller.
type request struct {
	workspace string
	service   *proto.Service
	sentAt    time.Time
	measured  bool
	ended     bool
}

// sim is the simulation of one variant in one case with one seed.
type sim struct {
	scenario    *Case
	file        *proto.File
	now         time.Time
	events      *state.Heap[event]
	eventCount  int
	random      *rand.Rand
	engines     []*core.Engine
	targets     map[string]*target
	targetOrder []*target
	jobs        map[proto.AttemptID]*job
	requests    map[proto.RequestID]*request
	measuring   bool
	result      Result
	latency     *hdrhistogram.Histogram
}

func newSim(file *proto.File, c *Case, v Variant, seed uint64, entries int) *sim {
	s := &sim{
		scenario: c, file: file, now: startTime,
		events: state.NewHeap(func(a, b event) bool {
			if a.at.Equal(b.at) {
				return a.sequence < b.sequence
			}
			return a.at.Before(b.at)
		}),
		random: rand.New(rand.NewPCG(seed, 5)), targets: map[string]*target{}, jobs: map[proto.AttemptID]*job{},
		requests: map[proto.RequestID]*request{}, latency: hdrhistogram.New(1000, int64(time.Minute), 3),
	}
	s.result.Workspaces = map[string]*WorkspaceResult{}
	for i := range file.Pools {
		pool := &file.Pools[i]
		for j := range pool.Targets {
			t := &target{spec: pool.Targets[j], pool: pool.Name, kind: pool.Kind, profile: profileOf(pool.Kind), random: s.random, slow: 1}
			s.targets[t.spec.Name] = t
			s.targetOrder = append(s.targetOrder, t)
		}
	}
	snapshot := proto.EmptySnapshot().WithFile(1, file)
	zones := zonesOf(file)
	for i := range entries {
		options := append([]core.Option{core.WithSeed(seed*100 + uint64(i)), core.WithZone(zones[i%len(zones)])}, v.Options()...)
		engine := core.New(options...)
		engine.Configure(snapshot, s.now, 0)
		s.engines = append(s.engines, engine)
	}
	return s
}

func zonesOf(file *proto.File) []proto.Zone {
	var zones []proto.Zone
	seen := map[proto.Zone]bool{}
	for _, pool := range file.Pools {
		for _, t := range pool.Targets {
			if !seen[t.Zone] {
				seen[t.Zone] = true
				zones = append(zones, t.Zone)
			}
		}
	}
	return zones
}

func (s *sim) schedule(d time.Duration, run func()) {
	s.eventCount++
	s.events.Push(event{at: s.now.Add(d), sequence: s.eventCount, run: run})
}

func (s *sim) scheduleEvery(d time.Duration, run func()) {
	var again func()
	again = func() {
		run()
		s.schedule(d, again)
	}
	s.schedule(d, again)
}

// run simulates a warm-up, in which the engines learn their estimates, then the measured part, and then lets the
// remaining requests finish.
func (s *sim) run() Result {
	for i := range s.engines {
		s.scheduleEvery(tickInterval, func() { s.handleEvent(i, core.Tick{}) })
	}
	s.scheduleEvery(reportInterval, s.reportLoads)
	s.scheduleEvery(usageInterval, s.shareUsage)
	s.schedule(warmUpDuration, func() {
		s.measuring = true
		s.scenario.scheduleFaults(s)
	})
	s.scheduleArrivals()
	end := startTime.Add(warmUpDuration + runDuration + drainDuration)
	for {
		e, ok := s.events.Pop()
		if !ok || e.at.After(end) {
			break
		}
		s.now = e.at
		e.run()
	}
	return s.finalResult()
}

// scheduleArrivals schedules the arrivals; all random draws come from one source that no variant uses.
func (s *sim) scheduleArrivals() {
	random := rand.New(rand.NewPCG(s.random.Uint64(), 9))
	var next func()
	next = func() {
		elapsed := s.now.Sub(startTime)
		if elapsed > warmUpDuration+runDuration {
			return
		}
		s.sendRequest(random)
		rate := s.scenario.arrivalRate(s, elapsed-warmUpDuration)
		s.schedule(time.Duration(random.ExpFloat64()/rate*float64(time.Second)), next)
	}
	s.schedule(0, next)
}

func (s *sim) sendRequest(random *rand.Rand) {
	service, workspace := s.scenario.pickRequest(s, random, s.now.Sub(startTime)-warmUpDuration)
	entry := s.scenario.pickEntry(random, len(s.engines))
	prefix := service.Name + "-" + string(rune('a'+random.IntN(prefixCount)))
	id := core.NewRequestID(s.now, random)
	r := &request{workspace: workspace, service: service, sentAt: s.now, measured: s.measuring}
	s.requests[id] = r
	if r.measured {
		s.result.workspace(workspace).Requests++
	}
	s.handleEvent(entry, core.Arrival{
		ID: id, Workspace: workspace, Service: service.Name, Repeatable: true, Prefix: prefix,
	})
}

// handleEvent passes an event to an engine and executes the resulting actions.
func (s *sim) handleEvent(entry int, event core.Event) {
	for _, action := range s.engines[entry].Handle(s.now, event) {
		switch a := action.(type) {
		case core.Start:
			j := &job{start: a, entry: entry}
			s.jobs[a.ID] = j
			s.schedule(networkDelay, func() { s.arriveAtTarget(j) })
		case core.Cancel:
			if j := s.jobs[a.Attempt]; j != nil {
				s.schedule(networkDelay, func() { s.cancel(j) })
			}
		case core.Finish:
			s.recordFinish(a)
		}
	}
}

func (s *sim) arriveAtTarget(j *job) {
	t := s.targets[j.start.Target.Name]
	switch {
	case j.ended:
	case t.down:
		s.endAttempt(j, core.AttemptEnded{Status: core.StatusNotStarted, Reason: "connection refused"})
	case t.running < t.profile.slots:
		s.startJob(t, j)
	case len(t.queue) >= t.profile.maxQueue:
		s.endAttempt(j, core.AttemptEnded{Status: core.StatusNotStarted, Reason: "too many wait"})
	default:
		t.enqueue(j)
	}
}

func (s *sim) startJob(t *target, j *job) {
	t.running++
	j.running = true
	j.startedAt = s.now
	duration := t.serviceTime(j)
	if t.failing {
		duration /= 4
	}
	s.schedule(duration, func() { s.completeJob(t, j) })
}

func (s *sim) completeJob(t *target, j *job) {
	if j.ended && !j.running {
		return
	}
	s.release(t, j)
	if j.ended {
		return
	}
	busy := s.now.Sub(j.startedAt)
	switch {
	case t.down:
		s.endAttempt(j, core.AttemptEnded{Status: core.StatusUnknown, Busy: busy, Reason: "reset"})
	case t.failing:
		s.endAttempt(j, core.AttemptEnded{Status: core.StatusFailed, Busy: busy, Reason: "failed"})
	default:
		tokens := tokensOf(t.kind, &j.start.Stage)
		if j.start.Stream && tokens > 0 {
			s.schedule(networkDelay, func() {
				s.handleEvent(j.entry, core.AttemptChunk{Attempt: j.start.ID, Text: "x", Tokens: tokens})
			})
		}
		s.endAttempt(j, core.AttemptEnded{Status: core.StatusDone, Output: []byte("{}"), Tokens: tokens, Busy: busy, CacheHit: j.hit})
	}
}

// release frees the slot of a job and starts queued jobs that have not been cancelled.
func (s *sim) release(t *target, j *job) {
	if !j.running {
		return
	}
	j.running = false
	t.running--
	if j.start.Stage.Name != "" && s.measuring {
		s.result.addStageTime(j.start.Service, j.start.Stage.Name, s.now.Sub(j.startedAt), j.ended)
	}
	for len(t.queue) > 0 && t.running < t.profile.slots {
		next := t.queue[0]
		t.queue = t.queue[1:]
		if !next.ended {
			s.startJob(t, next)
		}
	}
}

func (s *sim) cancel(j *job) {
	if j.ended {
		return
	}
	j.ended = true
	delete(s.jobs, j.start.ID)
	s.release(s.targets[j.start.Target.Name], j)
}

func (s *sim) endAttempt(j *job, ended core.AttemptEnded) {
	j.ended = true
	delete(s.jobs, j.start.ID)
	ended.Attempt = j.start.ID
	s.schedule(networkDelay, func() { s.handleEvent(j.entry, ended) })
	if ended.Status != core.StatusNotStarted {
		load := s.targets[j.start.Target.Name].load(s.now)
		s.schedule(networkDelay, func() { s.handleEvent(j.entry, core.LoadReported{Pool: j.start.Pool, Load: load}) })
	}
}

// reportLoads sends every target's load to every engine with the delay of the case.
func (s *sim) reportLoads() {
	for _, t := range s.targetOrder {
		if t.down {
			continue
		}
		load, events := t.load(s.now), t.events
		t.events = nil
		s.schedule(s.scenario.ReportDelay, func() {
			for i := range s.engines {
				s.handleEvent(i, core.LoadReported{Pool: t.pool, Load: load})
				for _, ev := range events {
					s.handleEvent(i, core.CacheReported{Pool: t.pool, Event: ev})
				}
			}
		})
	}
}

func (s *sim) shareUsage() {
	for i, engine := range s.engines {
		for _, usage := range engine.TakeUsage() {
			s.schedule(usageInterval, func() {
				for other := range s.engines {
					if other != i {
						s.handleEvent(other, usage)
					}
				}
			})
		}
	}
}

func (s *sim) recordFinish(f core.Finish) {
	r := s.requests[f.Request]
	if r == nil || r.ended {
		return
	}
	r.ended = true
	if !r.measured {
		return
	}
	w := s.result.workspace(r.workspace)
	took := s.now.Sub(r.sentAt)
	switch {
	case f.Failure == nil && took <= r.service.Deadline.Std():
		w.OnTime++
		_ = s.latency.RecordValue(int64(took))
	case f.Failure == nil:
		w.Late++
		_ = s.latency.RecordValue(int64(took))
	case f.Failure.Outcome == proto.OutcomeNotRun:
		w.NotRun++
	default:
		w.Failed++
	}
}

func (s *sim) finalResult() Result {
	s.result.P50 = time.Duration(s.latency.ValueAtQuantile(50))
	s.result.P95 = time.Duration(s.latency.ValueAtQuantile(95))
	s.result.P99 = time.Duration(s.latency.ValueAtQuantile(99))
	return s.result
}
