package relay

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"emberlead/origin"
	"emberlead/proto"
	"emberlead/state"
)

const (
	takeoverSeeds, takeoverDaemons = 200, 5
	// takeoverDelay is how long a message between daemons takes at most, and takeoverLate how much longer one takes to a daemon that waits
	// for its processor.
	takeoverDelay = 20 * time.Millisecond
	takeoverLate  = 400 * time.Millisecond
	// takeoverOpening is how long the links of a daemon that has just started may take to open.
	takeoverOpening = 450 * time.Millisecond
	// takeoverPatience is how long a caller waits at most before it goes on at another daemon, and takeoverRequests how often it asks.
	takeoverPatience = 600 * time.Millisecond
	takeoverRequests = 4
)

// errNotOpen is why calls fail at once.
var errNotOpen = errors.New("the link is not open")

// takeoverWay is how a daemon that goes on with a stream tells the others.
type takeoverWay int

const (
	takeoverAwaited takeoverWay = iota
	takeoverTold
	takeoverUntold
)

// takeoverModel is a stream whose caller goes on at other daemons and closes none of its connections.
type takeoverModel struct {
	seed uint64
	way  takeoverWay
	// random draws what the caller does.
	random  *rand.Rand
	daemons map[proto.VM]*racedRequest
	vms     []proto.VM
	// targets are the targets as each daemon meets them.
	targets []*handoverModel
	// late is a daemon that handles messages late, and cut holds two that don't reach each other. opening is a daemon whose calls fail at
	// once until its links are open, some time after the first call.
	late, opening proto.VM
	opens         time.Duration
	mu            sync.Mutex
	opensAt       time.Time
	cut           [2]proto.VM
}

// takeoverDialect is that of the model, whose requests all have one id.
type takeoverDialect struct{ raceDialect }

func (takeoverDialect) SetRetryAfter(http.Header, time.Duration) {}

// takeoverPeers are the other daemons, as one of them sees them.
type takeoverPeers struct {
	*takeoverModel
	self proto.VM
}

func (p takeoverPeers) StreamHolders(request proto.RequestDigest, n int) []proto.VM {
	var others []origin.Daemon
	for _, vm := range p.vms {
		if vm != p.self {
			others = append(others, origin.Daemon{VM: vm})
		}
	}
	return origin.NewRanking(others).Holders(request, n)
}

func (p takeoverPeers) Self() proto.VM { return p.self }

func (p takeoverPeers) TakesOver(proto.VM) bool { return p.way != takeoverUntold }

func (p takeoverPeers) Send(to proto.VM, m proto.Message) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, _ = p.deliver(ctx, to, m)
	}()
}

func (p takeoverPeers) Call(ctx context.Context, to proto.VM, m proto.Message) (proto.Message, error) {
	_, takesOver := m.(proto.StreamTakeover)
	if takesOver && p.way == takeoverTold {
		p.Send(to, m)
		return proto.Done{}, nil
	}
	if takesOver && p.opening == p.self && !p.isOpen() {
		return nil, errNotOpen
	}
	return p.deliver(ctx, to, m)
}

// isOpen reports whether the links of the opening daemon are open.
func (m *takeoverModel) isOpen() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.opensAt.IsZero() {
		m.opensAt = time.Now().Add(m.opens)
	}
	return !time.Now().Before(m.opensAt)
}

// deliver brings a message to another daemon and its answer back, unless there is no link between them.
func (p takeoverPeers) deliver(ctx context.Context, to proto.VM, m proto.Message) (proto.Message, error) {
	if p.cut == [2]proto.VM{p.self, to} || p.cut == [2]proto.VM{to, p.self} {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	answered := make(chan proto.Message, 1)
	took, thought, back := p.messageTimes(to, m)
	go func() {
		time.Sleep(took)
		server := p.daemons[to].server
		var answer proto.Message = proto.Done{}
		switch m := m.(type) {
		case proto.StreamStarts:
			server.origins.Merge(m)
		case proto.StreamAsk:
			answer = server.origins.Answer(m)
		case proto.StreamTakeover:
			answer = server.HandleTakeover(context.Background(), time.Now().Add(-thought), m)
		}
		time.Sleep(back)
		answered <- answer
	}()
	select {
	case answer := <-answered:
		return answer, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// messageTimes draws how long a message to another daemon takes and, less than that, how long it is thought to take, and the time of the
// answer. They depend on the message and the moment alone, so that a play repeats.
func (p takeoverPeers) messageTimes(to proto.VM, m proto.Message) (took, thought, back time.Duration) {
	takeover, _ := m.(proto.StreamTakeover)
	key := fmt.Sprintf("%s %s %T %t %d", p.self, to, m, takeover.Forward, time.Now().UnixNano())
	random := rand.New(rand.NewPCG(p.seed, state.Hash(key)))
	took, back = upTo(random, takeoverDelay), upTo(random, takeoverDelay)
	thought = upTo(random, took)
	lateBy := upTo(random, takeoverLate)
	switch p.late {
	case to:
		took, thought = took+lateBy, thought+lateBy
	case p.self:
		back += lateBy
	}
	return took, thought, back
}

// newTakeoverModel returns daemons with the same targets. In some seeds one of them is late or opens its links late, or two don't reach
// each other.
func newTakeoverModel(seed uint64, way takeoverWay) *takeoverModel {
	m := &takeoverModel{seed: seed, way: way, random: rand.New(rand.NewPCG(seed, 43)), daemons: map[proto.VM]*racedRequest{}}
	for i := range takeoverDaemons {
		vm := proto.VM(fmt.Sprint("vm-", i+1))
		targets := &handoverModel{kind: proto.RouteStream, source: rand.New(rand.NewPCG(seed, uint64(41+i)))}
		r := newRaced(proto.RouteStream, targets.racer(0), targets.racer(1), targets.racer(2))
		r.server.dialect = takeoverDialect{}
		r.server.origins = NewOrigins(r.server.clock, hclog.NewNullLogger(), takeoverPeers{m, vm})
		m.vms, m.daemons[vm], m.targets = append(m.vms, vm), r, append(m.targets, targets)
	}
	switch seed % 4 {
	case 1:
		m.late = m.vms[m.random.IntN(takeoverDaemons)]
	case 2:
		m.cut = [2]proto.VM{m.vms[0], m.vms[1+m.random.IntN(takeoverDaemons-1)]}
	case 3:
		m.opening, m.opens = m.vms[m.random.IntN(takeoverDaemons)], upTo(m.random, takeoverOpening)
	}
	return m
}

// request returns a request at a daemon that begins the stream, or takes it up again after an event.
func (m *takeoverModel) request(vm proto.VM, after int, caller http.ResponseWriter) *flow {
	now := time.Now()
	first := m.daemons[vm].flow
	return &flow{
		server: first.server, w: caller, req: &Request{ID: first.req.ID, After: after}, pool: "p", poolSpec: first.poolSpec, route: first.route, triedTargets: map[string]bool{},
		digest: 1, lastEventID: after, startedAt: now, due: now.Add(handoverTime), deadline: now.Add(handoverTime),
	}
}

// takeoverCaller takes what a daemon sends over one connection, also after it has gone on at another.
type takeoverCaller struct {
	*httptest.ResponseRecorder
	mu sync.Mutex
}

func (c *takeoverCaller) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ResponseRecorder.Write(p)
}

// events returns the ids of the events that have come.
func (c *takeoverCaller) events() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return eventsOf(c.Body.String())
}

// takeoverResult is what the caller and the targets saw in a play.
type takeoverResult struct {
	served         bool
	took           time.Duration
	takeovers      int
	overlap        time.Duration
	earlier, later *targetWork
	events         string
}

// play plays one stream. Its caller goes on at another daemon when its patience ends or its connection does.
func (m *takeoverModel) play(t *testing.T) (result takeoverResult) {
	startedAt, after := time.Now(), 0
	for n := range takeoverRequests {
		vm := m.vms[(n+m.random.IntN(2))%takeoverDaemons]
		caller := &takeoverCaller{ResponseRecorder: httptest.NewRecorder()}
		ctx, leave := context.WithCancel(t.Context())
		defer leave()
		f := m.request(vm, after, caller)
		if after > 0 {
			f.req.Resumes = f.req.ID
			result.takeovers++
		}
		done := make(chan struct{})
		go func() {
			defer close(done)
			defer func() {
				if cause := recover(); cause != nil && cause != any(http.ErrAbortHandler) {
					panic(cause)
				}
			}()
			if fail := f.findOrigin(ctx, nil); fail != nil {
				return
			}
			f.serve(ctx)
		}()
		patience := handoverTime
		if n < takeoverRequests-1 {
			patience = upTo(m.random, takeoverPatience)
		}
		select {
		case <-done:
		case <-time.After(patience):
		}
		synctest.Wait()
		if result.events += caller.events(); result.events == "" {
			// A stream that has not begun can't be taken up: the next request begins another one.
			leave()
		}
		after = eventCount(result.events)
		if after == overlapEvents {
			result.served = true
			break
		}
	}
	result.took = time.Since(startedAt)
	time.Sleep(time.Minute)
	synctest.Wait()
	var works []*targetWork
	for _, targets := range m.targets {
		works = append(works, targets.works...)
	}
	slices.SortStableFunc(works, func(a, b *targetWork) int { return a.acceptedAt.Compare(b.acceptedAt) })
	result.overlap, result.earlier, result.later = longestOverlapOf(works)
	return result
}

// eventCount returns how many events a list of ids holds that begins with the first.
func eventCount(events string) int {
	ids := ""
	for n := range overlapEvents + 1 {
		if ids == events {
			return n
		}
		ids += fmt.Sprint(n + 1)
	}
	return 0
}

// playTakeovers plays all seeds in one way.
func playTakeovers(t *testing.T, way takeoverWay, check func(seed uint64, result takeoverResult)) (served, takeovers, long int, took time.Duration) {
	var times []time.Duration
	for seed := range uint64(takeoverSeeds) {
		synctest.Test(t, func(t *testing.T) {
			result := newTakeoverModel(seed, way).play(t)
			check(seed, result)
			takeovers += result.takeovers
			times = append(times, result.took)
			if result.served {
				served++
			}
			if result.overlap > maxOverlap {
				long++
			}
		})
	}
	slices.Sort(times)
	return served, takeovers, long, times[len(times)/2]
}

// TestEarlierDaemonStopsSoonAfterStreamGoesOnElsewhere guards against targets that work on for a caller that went on with its stream at
// another daemon and left its connection open: nobody told the first daemon.
func TestEarlierDaemonStopsSoonAfterStreamGoesOnElsewhere(t *testing.T) {
	served, takeovers, _, took := playTakeovers(t, takeoverAwaited, func(seed uint64, result takeoverResult) {
		if result.overlap > maxOverlap {
			t.Errorf("seed %d: target %d worked on for %s after target %d might begin", seed, result.earlier.target, result.overlap, result.later.target)
		}
	})
	t.Logf("ended first: %d served, %d taken up, half of all within %s", served, takeovers, took)
	for _, other := range []struct {
		name string
		way  takeoverWay
	}{{"told and not awaited", takeoverTold}, {"not told", takeoverUntold}} {
		otherServed, otherTakeovers, long, otherTook := playTakeovers(t, other.way, func(uint64, takeoverResult) {})
		t.Logf("%s: %d served, %d taken up, half of all within %s, %d over %s", other.name, otherServed, otherTakeovers, otherTook, long, maxOverlap)
		if otherServed > served+takeoverSeeds/50 {
			t.Errorf("%s: %d served, %d if the earlier request ends first", other.name, otherServed, served)
		}
		if other.way == takeoverUntold && long == 0 {
			t.Errorf("no targets work side by side for over %s if nobody is told", maxOverlap)
		}
	}
}
