package relay

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"

	"emberlead/proto"
)

const (
	// handoverSeeds is the number of plays of each kind of request.
	handoverSeeds = 200
	// handoverNotice is how long a target may take to notice the end of its connection, network included, and handoverLate how late
	// timers of a daemon that waits for its processor fire.
	handoverNotice = 50 * time.Millisecond
	handoverLate   = 250 * time.Millisecond
	// handoverConnect is how long it takes at most to connect to a target.
	handoverConnect = 150 * time.Millisecond
	// handoverGoal is the latency goal of plain requests, and handoverTime the time that each request has.
	handoverGoal = 100 * time.Millisecond
	handoverTime = 8 * time.Second
)

// handoverModel is a request that targets begin long after they got it: they read a prompt first, and tell of their work only with
// an event or the whole answer. Connections take their time, and so does the end of one. Some daemons are late.
type handoverModel struct {
	kind proto.RouteKind
	// source draws all times, in the order in which the targets are asked.
	mu     sync.Mutex
	source *rand.Rand
	works  []*targetWork
}

func (m *handoverModel) draw(limit time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return upTo(m.source, limit)
}

// racer returns the behavior of a target, which differs between its attempts.
func (m *handoverModel) racer(target int) racer {
	return func(ctx context.Context) (*TargetResponse, error) {
		m.mu.Lock()
		work := &targetWork{target: target, acceptedAt: time.Now()}
		random := rand.New(rand.NewPCG(m.source.Uint64(), uint64(len(m.works))))
		m.works = append(m.works, work)
		m.mu.Unlock()
		notice := upTo(random, handoverNotice)
		context.AfterFunc(ctx, func() { time.AfterFunc(notice, func() { m.end(work) }) })
		wait := 10*time.Millisecond + upTo(random, 300*time.Millisecond)
		switch random.IntN(10) {
		case 0:
			m.end(work)
			return refusesAfter(5 * time.Millisecond)(ctx)
		case 1:
			return hangs(ctx)
		case 2, 3, 4:
			wait = 300*time.Millisecond + upTo(random, 1700*time.Millisecond)
		}
		return m.answer(ctx, random, work, wait)
	}
}

// answer returns an answer that begins after a wait: the rest of a stream with a silence in it, or the whole of another answer.
func (m *handoverModel) answer(ctx context.Context, random *rand.Rand, work *targetWork, wait time.Duration) (*TargetResponse, error) {
	parts := []part{{wait, "whole"}}
	if m.kind == proto.RouteStream {
		parts = parts[:0]
		silentAt, silence := random.IntN(2*overlapEvents), upTo(random, overlapSilence)
		for id := requestAfter(ctx) + 1; id <= overlapEvents; id++ {
			pause := eventPause
			if id == silentAt {
				pause += silence
			}
			parts = append(parts, part{wait + pause, fmt.Sprintf("id: %d\ndata: x\n\n", id)})
			wait = 0
		}
	}
	body := &handoverBody{pausedBody{ctx, parts, io.EOF}, m, work}
	if random.IntN(8) == 0 {
		body.parts, body.ends = body.parts[:random.IntN(len(body.parts)+1)], io.ErrUnexpectedEOF
	}
	return &TargetResponse{Status: http.StatusOK, Header: http.Header{}, Body: body}, nil
}

func (m *handoverModel) end(w *targetWork) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if w.endedAt.IsZero() {
		w.endedAt = time.Now()
	}
}

// handoverBody records when its target has sent all.
type handoverBody struct {
	pausedBody
	model *handoverModel
	work  *targetWork
}

func (b *handoverBody) Read(p []byte) (int, error) {
	n, err := b.pausedBody.Read(p)
	if err != nil && b.ctx.Err() == nil {
		b.model.end(b.work)
	}
	return n, err
}

// lateClock is the clock of a daemon that waits for its processor: what a timer calls is called late.
type lateClock struct {
	clockwork.Clock
	late func() time.Duration
}

func (c lateClock) AfterFunc(d time.Duration, fn func()) clockwork.Timer {
	return c.Clock.AfterFunc(d+c.late(), fn)
}

// handoverResult is what the caller and the targets saw in a play.
type handoverResult struct {
	// served is set if the caller got all, the first of it after first and with pauses up to longest.
	served         bool
	first, longest time.Duration
	works          int
	// overlap is for how long earlier worked on after later might begin.
	overlap        time.Duration
	earlier, later *targetWork
	events         string
}

// playHandover plays one request to its end.
func playHandover(t *testing.T, kind proto.RouteKind, seed uint64, options ...func(*racedRequest)) (result handoverResult) {
	m := &handoverModel{kind: kind, source: rand.New(rand.NewPCG(seed, 17))}
	var racers []racer
	for i := range 3 {
		racers = append(racers, m.racer(i))
	}
	r := newRaced(kind, racers...)
	r.due, r.deadline = r.startedAt.Add(handoverTime), r.startedAt.Add(handoverTime)
	if kind != proto.RouteStream {
		r.route.LatencyGoal = handoverGoal
	}
	if late := seed%4 == 0; late {
		r.server.clock = lateClock{r.server.clock, func() time.Duration { return m.draw(handoverLate) }}
	}
	r.sender.connect = func() time.Duration { return m.draw(handoverConnect) }
	for _, option := range options {
		option(r)
	}
	caller := &stallingCaller{ResponseRecorder: r.recorder, ctx: t.Context(), stallsAt: r.startedAt.Add(time.Hour)}
	caller.onFirst = func() { result.first = time.Since(r.startedAt) }
	r.w = caller
	result.served = r.run(t.Context()) == nil
	if result.first == 0 {
		result.first = time.Since(r.startedAt)
	}
	time.Sleep(time.Minute)
	synctest.Wait()
	result.longest, result.works, result.events = caller.longest, len(m.works), eventsOf(r.recorder.Body.String())
	result.overlap, result.earlier, result.later = longestOverlapOf(m.works)
	return result
}

// longestOverlapOf returns for how long at most an earlier target worked on after a later one had the request and might begin.
func longestOverlapOf(works []*targetWork) (longest time.Duration, earlier, later *targetWork) {
	for i, first := range works {
		for _, second := range works[i+1:] {
			ended := first.endedAt
			if second.endedAt.Before(ended) {
				ended = second.endedAt
			}
			if overlap := ended.Sub(second.acceptedAt); overlap > longest {
				longest, earlier, later = overlap, first, second
			}
		}
	}
	return longest, earlier, later
}

// handoverKinds are the kinds of requests that may run at more than one target.
var handoverKinds = []struct {
	name string
	kind proto.RouteKind
}{{"streams", proto.RouteStream}, {"plain requests", proto.RouteRepeatable}}

// TestEarlierTargetStopsSoonAfterLaterOneMayBegin guards against requests that two targets work on for long: the earlier one was told
// to stop only once an event of the later one had arrived, which may take a second from its first token.
func TestEarlierTargetStopsSoonAfterLaterOneMayBegin(t *testing.T) {
	want := ""
	for id := range overlapEvents {
		want += fmt.Sprint(id + 1)
	}
	for _, k := range handoverKinds {
		t.Run(k.name, func(t *testing.T) {
			beside := 0
			for seed := range uint64(handoverSeeds) {
				t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						result := playHandover(t, k.kind, seed)
						if result.later != nil {
							beside++
						}
						if result.overlap > maxOverlap {
							t.Errorf("target %d worked on for %s after target %d might begin", result.earlier.target, result.overlap, result.later.target)
						}
						if k.kind == proto.RouteStream && result.served && result.events != want {
							t.Errorf("the caller received the events %s", result.events)
						}
					})
				})
			}
			if beside < handoverSeeds/10 {
				t.Errorf("two targets worked on a request in only %d of %d seeds", beside, handoverSeeds)
			}
		})
	}
}
