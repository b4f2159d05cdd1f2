package relay

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"emberlead/proto"
)

func newTestCrashTracker(clock clockwork.Clock) *CrashTracker {
	return NewCrashTracker("self", clock, hclog.NewNullLogger(), nil)
}

func runName(n int) proto.RunName { return proto.RunName(fmt.Sprintf("t-%d", n)) }

func TestBlockingOfCrashingRequests(t *testing.T) {
	const request = proto.RequestDigest(7)
	type step func(c *CrashTracker, clock *clockwork.FakeClock)
	ended := func(run int) step {
		return func(c *CrashTracker, clock *clockwork.FakeClock) {
			c.RecordEnd(runName(run), clock.Now(), []proto.RequestDigest{request})
		}
	}
	answered := func(c *CrashTracker, _ *clockwork.FakeClock) { c.RecordAnswer(request) }
	after := func(d time.Duration) step {
		return func(c *CrashTracker, clock *clockwork.FakeClock) { clock.Advance(d); c.Sweep() }
	}
	reported := func(run int, age time.Duration) step {
		return func(c *CrashTracker, _ *clockwork.FakeClock) {
			c.Merge(proto.TargetEnds{Ends: []proto.TargetEnd{{Run: runName(run), Reporter: "other", Age: age, Requests: []proto.RequestDigest{request}}}}, "other")
		}
	}
	scenarios := []struct {
		name               string
		steps              []step
		refused, suspected bool
	}{
		{"no target ended", nil, false, false},
		{"two targets ended", []step{ended(1), ended(2)}, false, true},
		{"three targets ended", []step{ended(1), ended(2), ended(3)}, true, true},
		{"several daemons report the same end", []step{ended(1), reported(1, time.Second), reported(1, 2*time.Second)}, false, true},
		{"other daemons report two of three ends", []step{reported(1, time.Minute), ended(2), reported(3, 0)}, true, true},
		{"answered after two ends", []step{ended(1), ended(2), answered, ended(3)}, false, true},
		{"answered after three ends", []step{ended(1), ended(2), ended(3), answered}, false, false},
		{"an answered end is reported again", []step{ended(1), ended(2), ended(3), answered, reported(2, time.Second)}, false, false},
		{"answered just before the ends", []step{answered, ended(1), ended(2), ended(3)}, false, false},
		{"answered long before the ends", []step{answered, after(answerValidity + time.Second), ended(1), ended(2), ended(3)}, true, true},
		{"answered before, with many ends since", []step{
			answered, after(time.Second), ended(1), ended(2), ended(3), ended(4), ended(5), ended(6), ended(7), ended(8), ended(9),
			ended(10), ended(11), ended(12),
		}, true, true},
		{"other daemons report ends of a request answered here", []step{answered, reported(1, 0), reported(2, 0), reported(3, 0)}, false, false},
		{"all ends are too old", []step{ended(1), ended(2), ended(3), after(crashTTL + time.Second)}, false, false},
		{"the first end is too old", []step{ended(1), after(crashTTL / 2), ended(2), ended(3), after(crashTTL/2 + time.Second)}, false, true},
		{"a report of an end that is too old", []step{ended(1), ended(2), reported(3, crashTTL+time.Second)}, false, true},
		{"a report of an end that is nearly too old", []step{ended(1), ended(2), reported(3, crashTTL-time.Second)}, true, true},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			clock := clockwork.NewFakeClockAt(start)
			c := newTestCrashTracker(clock)
			for _, step := range s.steps {
				step(c, clock)
			}
			evidence, blocked := c.Blocks(request)
			if blocked != s.refused || c.Suspects(request) != s.suspected {
				t.Errorf("request blocked: %v, suspected: %v", blocked, c.Suspects(request))
			}
			if blocked && (len(evidence.Ends) < crashLimit || evidence.RetryAfter <= 0 || evidence.RetryAfter > crashTTL) {
				t.Errorf("evidence %+v", evidence)
			}
			if _, other := c.Blocks(request + 1); other || c.Suspects(request+1) {
				t.Error("another request is suspected")
			}
		})
	}
}

// TestBlockedRequestRunsAfterRetryAfter checks the tracker shortly before and after the time that it names for a retry.
func TestBlockedRequestRunsAfterRetryAfter(t *testing.T) {
	clock := clockwork.NewFakeClockAt(start)
	c := newTestCrashTracker(clock)
	for run := range 4 {
		c.RecordEnd(runName(run), clock.Now(), []proto.RequestDigest{1})
		clock.Advance(time.Minute)
	}
	evidence, _ := c.Blocks(1)
	clock.Advance(evidence.RetryAfter - time.Second)
	c.Sweep()
	if _, blocked := c.Blocks(1); !blocked {
		t.Error("the request is run before its Retry-After")
	}
	clock.Advance(2 * time.Second)
	c.Sweep()
	if _, blocked := c.Blocks(1); blocked {
		t.Error("the request is still blocked after its Retry-After")
	}
}

// TestCrashTrackersConverge gives random ends to several trackers in random order, some of them repeatedly, and lets
// the trackers exchange their data. They must then block the same requests and have the same digest.
func TestCrashTrackersConverge(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	parameters.MinSuccessfulTests = 200
	properties := gopter.NewProperties(parameters)
	properties.Property("equal after the exchange", prop.ForAll(func(seed uint64) bool {
		random := rand.New(rand.NewPCG(seed, 1))
		clock := clockwork.NewFakeClockAt(start)
		trackers := []*CrashTracker{newTestCrashTracker(clock), newTestCrashTracker(clock), newTestCrashTracker(clock)}
		for range 60 {
			d := trackers[random.IntN(len(trackers))]
			request := proto.RequestDigest(random.IntN(6))
			if random.IntN(8) == 0 {
				d.RecordAnswer(request)
				continue
			}
			d.RecordEnd(runName(random.IntN(12)), clock.Now(), []proto.RequestDigest{request, proto.RequestDigest(random.IntN(6))})
			if random.IntN(4) == 0 {
				trackers[random.IntN(len(trackers))].Merge(d.Snapshot(), "other")
			}
			clock.Advance(time.Second)
		}
		for range 2 {
			for _, from := range trackers {
				for _, to := range trackers {
					to.Merge(from.Snapshot(), "other")
				}
			}
		}
		for _, d := range trackers[1:] {
			if d.Digest() != trackers[0].Digest() || d.Stats() != trackers[0].Stats() {
				return false
			}
			for request := range proto.RequestDigest(6) {
				_, one := d.Blocks(request)
				_, other := trackers[0].Blocks(request)
				if one != other {
					return false
				}
			}
		}
		return true
	}, gen.UInt64()))
	properties.TestingRun(t)
}

// TestCrashTrackerSizeIsLimited lets more targets end under more requests than the tracker holds, along with a request
// that crashes them.
func TestCrashTrackerSizeIsLimited(t *testing.T) {
	const crashing = proto.RequestDigest(1 << 60)
	clock := clockwork.NewFakeClockAt(start)
	c := newTestCrashTracker(clock)
	next := proto.RequestDigest(1)
	for run := range 3 * maxCrashes / 50 {
		running := make([]proto.RequestDigest, 0, 51)
		for range 50 {
			running = append(running, next)
			next++
		}
		if run < crashLimit {
			running = append(running, crashing)
		}
		c.RecordEnd(runName(run), clock.Now(), running)
		clock.Advance(time.Second)
	}
	if n := c.Stats().Ends; n > maxCrashes {
		t.Errorf("%d ends are stored", n)
	}
	if _, blocked := c.Blocks(crashing); !blocked {
		t.Error("the request that crashes targets was evicted instead of others")
	}
	if c.Suspects(next-50) != true {
		t.Error("the newest end was evicted")
	}
	clock.Advance(crashTTL + time.Second)
	c.Sweep()
	if c.Stats() != (CrashStats{}) || c.Digest() != 0 {
		t.Errorf("after an hour: %+v, digest %x", c.Stats(), c.Digest())
	}
}

// waveWork is a request that is running in a pool whose targets end in waves.
type waveWork struct {
	digest    proto.RequestDigest
	target    int
	remaining time.Duration
	ends      int
}

// wavePool is a pool of twelve targets and the requests that are running there.
type wavePool struct {
	random  *rand.Rand
	clock   *clockwork.FakeClock
	crashes *CrashTracker
	// runs holds the run numbers of the targets, and backAt when those that ended are in service again.
	runs    [12]int
	backAt  [12]time.Time
	nextRun int
	work    []*waveWork

	started, hitTwice, blocked int
}

// pick returns a target that is in service.
func (p *wavePool) pick() int {
	for {
		n := p.random.IntN(len(p.runs))
		if !p.clock.Now().Before(p.backAt[n]) {
			return n
		}
	}
}

// wave ends some targets. The requests that they were running continue at other targets, as after retries by callers
// and daemons.
func (p *wavePool) wave(fraction float64) {
	for n := range p.runs {
		if p.random.Float64() >= fraction || p.inService() < 3 {
			continue
		}
		p.backAt[n] = p.clock.Now().Add(time.Second)
		var hit []proto.RequestDigest
		for _, w := range p.work {
			if w.target == n {
				hit = append(hit, w.digest)
				w.ends++
			}
		}
		p.crashes.RecordEnd(runName(p.runs[n]), p.clock.Now(), hit)
		p.nextRun++
		p.runs[n] = p.nextRun
	}
	p.moveWork()
}

func (p *wavePool) inService() int {
	n := 0
	for _, back := range p.backAt {
		if !p.clock.Now().Before(back) {
			n++
		}
	}
	return n
}

// moveWork moves the requests of ended targets to others, unless they are blocked.
func (p *wavePool) moveWork() {
	kept := p.work[:0]
	for _, w := range p.work {
		if p.clock.Now().Before(p.backAt[w.target]) {
			if w.ends == 2 {
				p.hitTwice++
			}
			if _, blocked := p.crashes.Blocks(w.digest); blocked {
				p.blocked++
				continue
			}
			w.target = p.pick()
		}
		kept = append(kept, w)
	}
	p.work = kept
}

// step advances the clock by 100 ms, during which new requests arrive and others are answered.
func (p *wavePool) step() {
	const length = 100 * time.Millisecond
	p.clock.Advance(length)
	kept := p.work[:0]
	for _, w := range p.work {
		if w.remaining -= length; w.remaining <= 0 {
			p.crashes.RecordAnswer(w.digest)
			continue
		}
		kept = append(kept, w)
	}
	p.work = kept
	for range 6 {
		p.started++
		remaining := time.Duration(p.random.ExpFloat64() * float64(1500*time.Millisecond))
		p.work = append(p.work, &waveWork{digest: proto.RequestDigest(p.started), target: p.pick(), remaining: remaining})
	}
}

// TestFewRequestsAreBlockedByWaves ends a tenth to half of the targets every one or two seconds, while requests that
// take 1.5 seconds on average continue elsewhere. The requests did not cause this, and at most one in a hundred may be
// blocked; with a limit of two ends it would be four.
func TestFewRequestsAreBlockedByWaves(t *testing.T) {
	started, hitTwice, blocked := 0, 0, 0
	for seed := range uint64(20) {
		clock := clockwork.NewFakeClockAt(start)
		p := &wavePool{random: rand.New(rand.NewPCG(seed, 2)), clock: clock, crashes: newTestCrashTracker(clock)}
		for range 60 {
			for range 10 + p.random.IntN(10) {
				p.step()
			}
			p.wave(0.1 + 0.4*p.random.Float64())
		}
		started, hitTwice, blocked = started+p.started, hitTwice+p.hitTwice, blocked+p.blocked
	}
	t.Logf("of %d requests %d were running at two targets that ended, and %d were blocked", started, hitTwice, blocked)
	if blocked*100 > started {
		t.Errorf("%d of %d innocent requests were blocked", blocked, started)
	}
}

// TestPopularRequestIsNotBlocked runs the same request at all targets at any moment, like a page that all callers read,
// when the targets end together. All copies that are running are lost, so that nothing is answered between the ends and
// the next retry.
func TestPopularRequestIsNotBlocked(t *testing.T) {
	const popular = proto.RequestDigest(5)
	clock := clockwork.NewFakeClockAt(start)
	c := newTestCrashTracker(clock)
	runs := 0
	for range 20 {
		if _, blocked := c.Blocks(popular); blocked {
			t.Fatalf("blocked after %d ends", runs)
		}
		c.RecordAnswer(popular)
		clock.Advance(time.Second)
		for range 5 {
			runs++
			c.RecordEnd(runName(runs), clock.Now(), []proto.RequestDigest{popular, proto.RequestDigest(1000 + runs)})
		}
		clock.Advance(time.Second)
	}
}

func TestAnswerTimesSizeIsLimited(t *testing.T) {
	var a answerTimes
	for n := range proto.RequestDigest(3 * maxAnswers) {
		a.record(start, n)
		a.record(start, 1<<60)
	}
	if n := len(a.recent) + len(a.older); n > maxAnswers+2 {
		t.Errorf("%d answers are stored", n)
	}
	if _, known := a.last(1 << 60); !known {
		t.Error("a request that is answered repeatedly was evicted")
	}
	if _, known := a.last(0); known {
		t.Error("the request with the oldest answer was not evicted")
	}
}
