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
	hop         = 500 * time.Microsecond
	tickEvery   = 10 * time.Millisecond
	shareEvery  = 500 * time.Millisecond
	reportEvery = 500 * time.Millisecond
	warmUp      = 5 * time.Second
	runLength   = 20 * time.Second
	drainLength = 8 * time.Second
	prefixCount = 60
)

var epoch = time.Unix(1_700_000_000, 0)

// event is an action scheduled at an instant of virtual time.
type event struct {
	at       time.Time
	sequence int
	do       func()
}

// asked is one request, as recorded by its caller.
type asked struct {
	workspace string
	service   *proto.Service
	at        time.Time
	counted   bool
	ended     bool
}

// sim is the simulation of one variant in one case with one seed.
type sim struct {
	scenario *Case
	file     *proto.File
	now      time.Time
	events   *state.Heap[event]
	count    int
	random   *rand.Rand
	engines  []*core.Engine
	targets  map[string]*target
	order    []*target
	jobs     map[proto.AttemptID]*job
	requests map[proto.RequestID]*asked
	started  bool
	result   Result
	latency  *hdrhistogram.Histogram
}

func newSim(file *proto.File, c *Case, v Variant, seed uint64, entries int) *sim {
	s := &sim{
		scenario: c, file: file, now: epoch,
		events: state.NewHeap(func(a, b event) bool {
			if a.at.Equal(b.at) {
				return a.sequence < b.sequence
			}
			return a.at.Before(b.at)
		}),
		random: rand.New(rand.NewPCG(seed, 5)), targets: map[string]*target{}, jobs: map[proto.AttemptID]*job{},
		requests: map[proto.RequestID]*asked{}, latency: hdrhistogram.New(1000, int64(time.Minute), 3),
	}
	s.result.Workspaces = map[string]*WorkspaceResult{}
	for i := range file.Pools {
		pool := &file.Pools[i]
		for j := range pool.Targets {
			t := &target{spec: pool.Targets[j], pool: pool.Name, kind: pool.Kind, profile: profileOf(pool.Kind), random: s.random, slow: 1}
			s.targets[t.spec.Name] = t
			s.order = append(s.order, t)
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

func (s *sim) after(d time.Duration, do func()) {
	s.count++
	s.events.Push(event{at: s.now.Add(d), sequence: s.count, do: do})
}

func (s *sim) every(d time.Duration, do func()) {
	var again func()
	again = func() {
		do()
		s.after(d, again)
	}
	s.after(d, again)
}

// run simulates a warm-up, in which the engines learn their estimates, then the measured part, and then lets the
// remaining requests finish.
func (s *sim) run() Result {
	for i := range s.engines {
		s.every(tickEvery, func() { s.feed(i, core.Tick{}) })
	}
	s.every(reportEvery, s.report)
	s.every(shareEvery, s.share)
	s.after(warmUp, func() {
		s.started = true
		s.scenario.begin(s)
	})
	s.arrive()
	end := epoch.Add(warmUp + runLength + drainLength)
	for {
		e, ok := s.events.Pop()
		if !ok || e.at.After(end) {
			break
		}
		s.now = e.at
		e.do()
	}
	return s.finish()
}

// arrive schedules the arrivals; all random draws come from one source that no variant uses.
func (s *sim) arrive() {
	source := rand.New(rand.NewPCG(s.random.Uint64(), 9))
	var next func()
	next = func() {
		passed := s.now.Sub(epoch)
		if passed > warmUp+runLength {
			return
		}
		s.send(source)
		rate := s.scenario.rate(s, passed-warmUp)
		s.after(time.Duration(source.ExpFloat64()/rate*float64(time.Second)), next)
	}
	s.after(0, next)
}

func (s *sim) send(source *rand.Rand) {
	service, workspace := s.scenario.draw(s, source, s.now.Sub(epoch)-warmUp)
	entry := s.scenario.balance(source, len(s.engines))
	prefix := service.Name + "-" + string(rune('a'+source.IntN(prefixCount)))
	id := core.NewRequestID(s.now, source)
	r := &asked{workspace: workspace, service: service, at: s.now, counted: s.started}
	s.requests[id] = r
	if r.counted {
		s.result.workspace(workspace).Asked++
	}
	s.feed(entry, core.Arrival{
		ID: id, Workspace: workspace, Service: service.Name, Repeatable: true, Prefix: prefix,
	})
}

// feed passes an event to an engine and executes the resulting actions.
func (s *sim) feed(entry int, ev core.Event) {
	for _, action := range s.engines[entry].Handle(s.now, ev) {
		switch a := action.(type) {
		case core.Start:
			j := &job{start: a, entry: entry}
			s.jobs[a.ID] = j
			s.after(hop, func() { s.reach(j) })
		case core.Cancel:
			if j := s.jobs[a.Attempt]; j != nil {
				s.after(hop, func() { s.cancel(j) })
			}
		case core.Finish:
			s.finished(a)
		}
	}
}

func (s *sim) reach(j *job) {
	t := s.targets[j.start.Target.Name]
	switch {
	case j.gone:
	case t.dead:
		s.end(j, core.AttemptEnded{Status: core.StatusNotStarted, Reason: "connection refused"})
	case t.running < t.profile.slots:
		s.begin(t, j)
	case len(t.queue) >= t.profile.most:
		s.end(j, core.AttemptEnded{Status: core.StatusNotStarted, Reason: "too many wait"})
	default:
		t.enqueue(j)
	}
}

func (s *sim) begin(t *target, j *job) {
	t.running++
	j.running = true
	j.began = s.now
	took := t.serviceTime(j)
	if t.failing {
		took /= 4
	}
	s.after(took, func() { s.done(t, j) })
}

func (s *sim) done(t *target, j *job) {
	if j.gone && !j.running {
		return
	}
	s.release(t, j)
	if j.gone {
		return
	}
	busy := s.now.Sub(j.began)
	switch {
	case t.dead:
		s.end(j, core.AttemptEnded{Status: core.StatusUnknown, Busy: busy, Reason: "reset"})
	case t.failing:
		s.end(j, core.AttemptEnded{Status: core.StatusFailed, Busy: busy, Reason: "failed"})
	default:
		tokens := tokensOf(t.kind, &j.start.Stage)
		if j.start.Stream && tokens > 0 {
			s.after(hop, func() {
				s.feed(j.entry, core.AttemptChunk{Attempt: j.start.ID, Text: "x", Tokens: tokens})
			})
		}
		s.end(j, core.AttemptEnded{Status: core.StatusDone, Output: []byte("{}"), Tokens: tokens, Busy: busy, CacheHit: j.hit})
	}
}

// release frees the slot of a job and starts queued jobs that have not been cancelled.
func (s *sim) release(t *target, j *job) {
	if !j.running {
		return
	}
	j.running = false
	t.running--
	if j.start.Stage.Name != "" && s.started {
		s.result.spent(j.start.Service, j.start.Stage.Name, s.now.Sub(j.began), j.gone)
	}
	for len(t.queue) > 0 && t.running < t.profile.slots {
		next := t.queue[0]
		t.queue = t.queue[1:]
		if !next.gone {
			s.begin(t, next)
		}
	}
}

func (s *sim) cancel(j *job) {
	if j.gone {
		return
	}
	j.gone = true
	delete(s.jobs, j.start.ID)
	s.release(s.targets[j.start.Target.Name], j)
}

func (s *sim) end(j *job, ended core.AttemptEnded) {
	j.gone = true
	delete(s.jobs, j.start.ID)
	ended.Attempt = j.start.ID
	s.after(hop, func() { s.feed(j.entry, ended) })
	if ended.Status != core.StatusNotStarted {
		load := s.targets[j.start.Target.Name].load(s.now)
		s.after(hop, func() { s.feed(j.entry, core.LoadReported{Pool: j.start.Pool, Load: load}) })
	}
}

// report sends every target's load to every engine with the delay of the case.
func (s *sim) report() {
	for _, t := range s.order {
		if t.dead {
			continue
		}
		load, events := t.load(s.now), t.events
		t.events = nil
		s.after(s.scenario.Lag, func() {
			for i := range s.engines {
				s.feed(i, core.LoadReported{Pool: t.pool, Load: load})
				for _, ev := range events {
					s.feed(i, core.CacheReported{Pool: t.pool, Event: ev})
				}
			}
		})
	}
}

func (s *sim) share() {
	for i, engine := range s.engines {
		for _, usage := range engine.TakeUsage() {
			s.after(shareEvery, func() {
				for other := range s.engines {
					if other != i {
						s.feed(other, usage)
					}
				}
			})
		}
	}
}

func (s *sim) finished(f core.Finish) {
	r := s.requests[f.Request]
	if r == nil || r.ended {
		return
	}
	r.ended = true
	if !r.counted {
		return
	}
	w := s.result.workspace(r.workspace)
	took := s.now.Sub(r.at)
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

func (s *sim) finish() Result {
	s.result.P50 = time.Duration(s.latency.ValueAtQuantile(50))
	s.result.P95 = time.Duration(s.latency.ValueAtQuantile(95))
	s.result.P99 = time.Duration(s.latency.ValueAtQuantile(99))
	return s.result
}
