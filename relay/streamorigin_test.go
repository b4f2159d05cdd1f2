package relay

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"emberlead/proto"
)

// versioned gives the targets of a request software versions, one for each, in their order.
func (r *racedRequest) versioned(versions ...string) {
	for i, version := range versions {
		t := raceTarget(i)
		t.Software = version
		if i > 0 {
			t.Zone = "other"
		}
		r.changeTarget(t)
	}
}

// TestHedgesKeepTheVersionOfAStream guards against one answer with events of two software versions, when several
// attempts are at work at the first event or the one that is ahead breaks off or falls silent.
func TestHedgesKeepTheVersionOfAStream(t *testing.T) {
	const breaksOff, fallsSilent = "breaks off", "falls silent"
	slowly := func(wait time.Duration, end string) racer {
		parts := []part{{0, "id: 1\ndata: a\n\n"}, {time.Millisecond, "id: 2\ndata: a\n\n"}}
		if end == fallsSilent {
			parts = append(parts, part{raceLeft, ""})
		}
		return respondsAfter(wait, http.StatusOK, io.ErrUnexpectedEOF, parts...)
	}
	other := func(wait time.Duration) racer {
		return respondsAfter(wait, http.StatusOK, io.EOF, part{0, "id: 1\ndata: b\n\n"}, part{time.Millisecond, "id: 2\ndata: b\n\n"}, part{time.Millisecond, "id: 3\ndata: b\n\n"})
	}
	brief := func(wait time.Duration) racer {
		return respondsAfter(wait, http.StatusOK, io.ErrUnexpectedEOF, part{0, "id: 1\ndata: b\n\n"})
	}
	scenarios := []struct {
		name     string
		racers   []racer
		versions []string
		whole    bool
	}{
		{"the other version begins a moment earlier and breaks off", []racer{slowly(raceLate, breaksOff), brief(raceLate - minStartTimeout - 5*time.Millisecond)}, []string{"v1", "v2"}, false},
		{"the first breaks off", []racer{slowly(0, breaksOff), other(0)}, []string{"v1", "v2"}, false},
		{"the first falls silent", []racer{slowly(0, fallsSilent), other(0)}, []string{"v1", "v2"}, false},
		{"the first breaks off, and another of its version goes on", []racer{slowly(0, breaksOff), other(0), streamed(0, 1, 2, 3)}, []string{"v1", "v2", "v1"}, true},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRaced(proto.RouteStream, s.racers...)
				r.versioned(s.versions...)
				fail := r.run(t.Context())
				body := r.recorder.Body.String()
				if strings.Contains(body, "data: b") && (strings.Contains(body, "data: a") || strings.Contains(body, "data: x")) {
					t.Errorf("one answer holds events of two versions: %q", body)
				}
				if whole := fail == nil && eventsOf(body) == "123"; whole != s.whole {
					t.Errorf("whole answer %t, want %t: %q, %+v", whole, s.whole, body, fail)
				}
			})
		})
	}
}

// TestEndedAttemptIsAwaited guards against two targets at work on a request whose earlier attempt this daemon ended for another reason than
// a handover: its connection was not closed yet when the later target got the request.
func TestEndedAttemptIsAwaited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const began, closeTime = 100 * time.Millisecond, 40 * time.Millisecond
		r := newRaced(proto.RouteStream, streamed(began-time.Millisecond, 2, 3, 4, 5, 6, 7, 8, 9), streamed(0, 2, 3))
		r.versioned("v1", "v1")
		r.route.LatencyGoal = time.Second
		r.lastEventID, r.origin, r.sender.closeTime = 1, proto.StreamOrigin{Pool: "p", Software: "v1"}, closeTime
		time.AfterFunc(began/2, func() { r.versioned("v3", "v1") })
		if got := eventsOf(r.end(t)); got != "23" {
			t.Errorf("the caller received the events %s", got)
		}
		time.Sleep(raceLeft)
		synctest.Wait()
		first, second := r.work[0], r.work[1]
		if closed := began + closeTime; second.sentAt.Before(r.startedAt.Add(closed)) || first.closedAt.After(second.sentAt) {
			t.Errorf("the second target got the request after %s, the first one was told to stop after %s", second.sentAt.Sub(r.startedAt), first.closedAt.Sub(r.startedAt))
		}
	})
}

// TestReplacedRunDoesNotContinueAStream guards against events of a process that started at the address of the target that
// was chosen, with another version.
func TestReplacedRunDoesNotContinueAStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRaced(proto.RouteStream, streamed(100*time.Millisecond, 2, 3), hangs)
		r.versioned("v1", "v2")
		r.lastEventID, r.origin = 1, proto.StreamOrigin{Pool: "p", Software: "v1"}
		time.AfterFunc(50*time.Millisecond, func() { r.versioned("v3", "v2") })
		if fail := r.run(t.Context()); fail == nil || r.recorder.Body.Len() > 0 {
			t.Errorf("%+v, the caller got %q", fail, r.recorder.Body.String())
		}
	})
}
