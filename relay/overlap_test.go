package relay

import (
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"emberlead/proto"
)

// scripted returns a target that sends the parts, whose work the model records.
func (m *overlapModel) scripted(target int, parts ...part) racer {
	return func(ctx context.Context) (*TargetResponse, error) {
		m.mu.Lock()
		work := &targetWork{target: target, acceptedAt: time.Now()}
		m.works = append(m.works, work)
		m.mu.Unlock()
		context.AfterFunc(ctx, func() { m.end(work) })
		return &TargetResponse{Status: http.StatusOK, Header: http.Header{}, Body: &workedBody{pausedBody: pausedBody{ctx: ctx, parts: parts, ends: io.EOF}, model: m, work: work}}, nil
	}
}

// steady returns parts with a pause between them, the first of which comes later.
func steady(first, pause time.Duration, texts ...string) []part {
	parts := []part{{first, texts[0]}}
	for _, text := range texts[1:] {
		parts = append(parts, part{pause, text})
	}
	return parts
}

func eventTexts(from, to int) []string {
	var texts []string
	for _, p := range eventParts(manyFrom(from, to)...) {
		texts = append(texts, p.text)
	}
	return texts
}

func manyFrom(from, to int) []int {
	var ids []int
	for id := from; id <= to; id++ {
		ids = append(ids, id)
	}
	return ids
}

// TestOneOfTwoAnsweringTargetsContinues guards against streams that two targets send for longer than a moment, by the order in
// which they begin, fall silent and go on.
func TestOneOfTwoAnsweringTargetsContinues(t *testing.T) {
	const (
		silence = 300 * time.Millisecond
		pause   = 28 * time.Millisecond
	)
	silentOnce := append(steady(time.Millisecond, pause, eventTexts(1, 3)...), steady(silence, pause, eventTexts(4, 100)...)...)
	scenarios := []struct {
		testName      string
		first, second []part
		stall         time.Duration
	}{
		{"the first goes on before the second begins", silentOnce, steady(silence/2, pause, eventTexts(3, 100)...), 0},
		{"the first goes on after the second has begun", silentOnce, steady(time.Millisecond, pause, eventTexts(4, 100)...), 0},
		{"the first begins late", steady(silence, pause, eventTexts(1, 100)...), steady(silence/2, pause, eventTexts(1, 100)...), 0},
		{"both lead by turns", append(steady(time.Millisecond, 2*pause, eventTexts(1, 3)...), steady(silence, 2*pause, eventTexts(4, 100)...)...), steady(silence/5, 2*pause, eventTexts(4, 100)...), 0},
		{"the first goes on while the caller takes nothing", silentOnce, steady(silence/2, pause, eventTexts(3, 100)...), 2 * time.Second},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := &overlapModel{}
				r := newRaced(proto.RouteStream, m.scripted(0, s.first...), m.scripted(1, s.second...))
				r.due, r.deadline = r.startedAt.Add(20*time.Second), r.startedAt.Add(20*time.Second)
				r.w = &stallingCaller{ResponseRecorder: r.recorder, ctx: t.Context(), stallsAt: r.startedAt.Add(silence), stalls: s.stall}
				r.end(t)
				time.Sleep(time.Minute)
				synctest.Wait()
				overlaps, first, second := m.longestOverlap()
				if overlaps > maxOverlap {
					t.Errorf("target %d worked on for %s after the first event of target %d", first.target, overlaps, second.target)
				}
				if len(m.works) != 2 {
					t.Errorf("%d attempts, want 2", len(m.works))
				}
			})
		})
	}
}
