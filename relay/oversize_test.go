package relay

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"emberlead/proto"
)

// endlessBody is a body that repeats a text until its reader stops, with a pause before each read.
type endlessBody struct {
	ctx   context.Context
	text  string
	pause time.Duration
	taken *atomic.Int64
}

func (b *endlessBody) Read(p []byte) (int, error) {
	if b.pause > 0 {
		select {
		case <-time.After(b.pause):
		case <-b.ctx.Done():
		}
	}
	if err := b.ctx.Err(); err != nil {
		return 0, err
	}
	n := copy(p, strings.Repeat(b.text, 1+len(p)/len(b.text)))
	b.taken.Add(int64(n))
	return n, nil
}

func (b *endlessBody) Close() error { return nil }

// endless returns a racer whose response has no end.
func endless(status int, header http.Header, text string, pause time.Duration, taken *atomic.Int64) racer {
	return func(ctx context.Context) (*TargetResponse, error) {
		if header == nil {
			header = http.Header{}
		}
		return &TargetResponse{Status: status, Header: header, Body: &endlessBody{ctx, text, pause, taken}}, nil
	}
}

// TestEndlessResponsesAreGivenUp guards against responses without end that hold a request, or are taken until its time is over.
func TestEndlessResponsesAreGivenUp(t *testing.T) {
	refusal := http.Header{notRunHeader: {"1"}}
	scenarios := []struct {
		testName string
		kind     proto.RouteKind
		status   int
		header   http.Header
		text     string
		pause    time.Duration
		most     int64
		within   time.Duration
		cause    oversizeCause
	}{
		{"a refusal", proto.RouteStream, http.StatusServiceUnavailable, refusal, "x", 0, maxRefusalBytes + readSize, 0, oversizedRefusal},
		{"a refusal that drips", proto.RouteStream, http.StatusServiceUnavailable, refusal, "x", 10 * time.Millisecond, maxRefusalBytes, refusalBodyTime, ""},
		{"a refusal of a request that may run once", proto.RouteOnce, http.StatusServiceUnavailable, refusal, "x", 0, maxRefusalBytes + readSize, 0, oversizedRefusal},
		{"an event", proto.RouteStream, http.StatusOK, nil, "x", 0, maxEventBytes + 2*readSize, 0, oversizedEvent},
		{"comments", proto.RouteStream, http.StatusOK, nil, ": x\n\n", 0, maxCommentBytes + maxEventBytes + 2*readSize, 0, oversizedComments},
		{"a failure of a plain request", proto.RouteRepeatable, http.StatusInternalServerError, nil, "x", 0, maxFailureBytes + 2*readSize, 0, oversizedFailure},
		{"a failure of a stream", proto.RouteStream, http.StatusInternalServerError, nil, "x", 0, maxFailureBytes + 2*readSize, 0, oversizedFailure},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var taken atomic.Int64
				second := whole(raceTypicalLatency, "whole")
				if s.kind == proto.RouteStream {
					second = streamed(raceTypicalLatency, 1, 2)
				}
				r := newRaced(s.kind, endless(s.status, s.header, s.text, s.pause, &taken), second)
				if body := r.end(t); body != "whole" && eventsOf(body) != "12" {
					t.Errorf("the caller received %d bytes", len(body))
				}
				synctest.Wait()
				if n := taken.Load(); n > s.most {
					t.Errorf("%d bytes were taken, want at most %d", n, s.most)
				}
				if took := time.Since(r.startedAt); took > s.within+10*time.Millisecond {
					t.Errorf("the response took %s", took)
				}
				if n := r.server.counts.oversized.snapshot()[s.cause]; s.cause != "" && n != 1 {
					t.Errorf("%d counted", n)
				}
				if s.cause == oversizedRefusal && !strings.Contains(r.log.String(), "the body of a refusal is too large: request=r target=t0") {
					t.Errorf("the log does not name the target\n%s", r.log)
				}
				if s.cause != "" && s.cause != oversizedRefusal && !strings.Contains(r.log.String(), s.cause.reason()) {
					t.Errorf("the log does not name the cause\n%s", r.log)
				}
			})
		})
	}
}

// TestIncompleteEventsShareALimit lets many targets send events that do not end.
func TestIncompleteEventsShareALimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const streams = 20
		limit := byteBudget{limit: 2 << 20}
		for i := range streams {
			r := newRaced(proto.RouteStream, respondsAfter(0, http.StatusOK, io.ErrUnexpectedEOF, slowEvent(i)...))
			r.answers.budget = &limit
			go r.run(t.Context())
		}
		time.Sleep(raceLeft / 2)
		if used := limit.used.Load(); used > limit.limit {
			t.Errorf("%d bytes are held", used)
		}
		if limit.denied.Load() == 0 {
			t.Error("no event was too large for the limit")
		}
		time.Sleep(2 * raceLeft)
		if used := limit.used.Load(); used != 0 {
			t.Errorf("%d bytes are held after all requests have ended", used)
		}
	})
}

// slowEvent returns the parts of an incomplete event of nearly the largest size.
func slowEvent(seed int) []part {
	var parts []part
	for range maxEventBytes/readSize - 1 {
		parts = append(parts, part{time.Duration(1+seed%3) * time.Millisecond, strings.Repeat("x", readSize)})
	}
	return append(parts, part{time.Hour, ""})
}

// callSender answers calls for pieces with a response.
type callSender struct{ respond racer }

func (s *callSender) Send(ctx context.Context, _ netip.AddrPort, _ *TargetRequest) (*TargetResponse, error) {
	return s.respond(ctx)
}

// TestEndlessAnswersToCallsAreGivenUp guards against answers to calls for pieces without end that hold their target.
func TestEndlessAnswersToCallsAreGivenUp(t *testing.T) {
	scenarios := []struct {
		testName string
		status   int
		pause    time.Duration
		most     int64
	}{
		{"results", http.StatusOK, 0, maxPiecesResponseBytes(1) + readSize},
		{"a refusal", http.StatusServiceUnavailable, 0, maxRefusalBytes + readSize},
		{"a refusal that drips", http.StatusServiceUnavailable, 10 * time.Millisecond, maxRefusalBytes},
		{"a failure", http.StatusInternalServerError, 0, maxRefusalBytes + readSize},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var taken atomic.Int64
				r := newRaced(proto.RouteRepeatable, hangs)
				p := newTestPieceScheduler(r.server.clock, r.server.peers, &callSender{endless(s.status, nil, "x", s.pause, &taken)})
				startedAt := time.Now()
				_, err := p.sendCall(t.Context(), &Call{Target: raceTarget(0), Items: make([]CallItem, 1)})
				if err == nil {
					t.Error("an endless answer counts as complete")
				}
				if took := time.Since(startedAt); took > refusalBodyTime {
					t.Errorf("the call took %s", took)
				}
				if n := taken.Load(); n > s.most {
					t.Errorf("%d bytes were taken, want at most %d", n, s.most)
				}
				if n := p.Stats().Oversized; s.pause == 0 && n != 1 {
					t.Error(fmt.Sprint(n, " counted"))
				}
			})
		})
	}
}
