package relay

import (
	"context"
	"math"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"emberlead/proto"
)

// Guards against a limit that is changed or lifted by an outdated response, or by one that may lack headers, and
// against a run that is closed by what the previous run reported.
func TestOutdatedResponseKeepsSignals(t *testing.T) {
	limited := Notice{HasLimit: true, Limit: 2}
	known := start.Add(time.Second)
	scenarios := []struct {
		testName string
		h        signal
		limited  bool
		used     bool
	}{
		{"response to an earlier request without limit", signal{target: targetStartedAt(1), sent: start}, true, true},
		{"response to a free call without limit", signal{target: targetStartedAt(1), sent: known, partial: true}, true, true},
		{"response to a later request without limit", signal{target: targetStartedAt(1), sent: known}, false, true},
		{"leave notice of the previous run", signal{Notice: Notice{Leaving: true}, target: targetStartedAt(0), sent: known}, true, true},
		{"leave notice of the run", signal{Notice: Notice{Leaving: true}, target: targetStartedAt(1), sent: start}, true, false},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			f := fleetWith(putChange(1, targetStartedAt(1)))
			f.recordSignal(known, &signal{Notice: limited, target: targetStartedAt(1), sent: start})
			f.recordSignal(known.Add(time.Millisecond), &s.h)
			if got := len(f.limited("p")) > 0; got != (s.limited && s.used) {
				t.Errorf("limited: %v", got)
			}
			if got := f.Pick(known, "p", TargetCriteria{AllowedLimited: map[string]bool{"t": true}}) != nil; got != s.used {
				t.Errorf("picked: %v", got)
			}
		})
	}
}

// Guards against a value in a message of another daemon that would stop all requests to a target, or leave them without
// a limit.
func TestInvalidLimitIsIgnored(t *testing.T) {
	for _, limit := range []float64{-1, math.NaN(), math.Inf(1)} {
		w := newLimitSimulation(1, 1, 1)
		n := proto.TargetNotice{Target: "t", Run: "t", HasLimit: true, Limit: limit, LimitVersion: 9}
		if merged := w.daemons[0].fleet.MergeNotices(start, []proto.TargetNotice{n}, "other"); len(merged) > 0 {
			t.Errorf("a limit of %g was accepted", limit)
		}
		for range 2 {
			if w.daemons[0].placer.HandlePermitAsk("other", proto.PermitAsk{Pool: "p", Notice: n}).Granted {
				t.Errorf("a permit was granted at a limit of %g", limit)
			}
			w.clock.Advance(time.Minute)
		}
	}
}

// Guards against a target that no daemon is sent to because it asked only the owner of the pool to back off.
func TestPlacerIgnoresOwnBackoffForPeers(t *testing.T) {
	all, _ := newPlacers(clockwork.NewFakeClockAt(start), engineFleet(1))
	owner := all["vm-0"]
	owner.fleet.recordSignal(start, &signal{Notice: Notice{Backoff: time.Second}, target: testTarget("e00", "p", "y"), sent: start})
	if a := owner.HandlePlaceAsk(proto.PlaceAsk{Pool: "p"}); a.Target != "e00" {
		t.Errorf("chosen for another daemon: %+v", a)
	}
	if a := owner.HandlePlaceAsk(proto.PlaceAsk{Pool: "p", Excluded: []string{"e00"}}); a.Target != "" {
		t.Errorf("chosen for a daemon that excluded the target: %+v", a)
	}
}

// noticeDialect reads the same notice from every response.
type noticeDialect struct {
	stubDialect
	notice Notice
}

func (d noticeDialect) ParseNotice(int, http.Header) Notice { return d.notice }

// statusSender answers every request with the same status.
type statusSender struct{ status int }

func (s statusSender) Send(context.Context, netip.AddrPort, *TargetRequest) (*TargetResponse, error) {
	return &TargetResponse{Status: s.status, Header: http.Header{}}, nil
}

// Guards against a target that is closed by what another target at its address reports.
func TestMisdirectedResponseKeepsSignals(t *testing.T) {
	for status, leaves := range map[int]bool{http.StatusOK: true, http.StatusServiceUnavailable: true, http.StatusMisdirectedRequest: false} {
		f := fleetWith(putChange(1, testTarget("t", "p", "z")))
		s := newNoticeSender(statusSender{status}, noticeDialect{notice: Notice{Leaving: true}}, f, clockwork.NewFakeClockAt(start), hclog.NewNullLogger())
		target := testTarget("t", "p", "z")
		if _, err := s.Send(t.Context(), target.Address, &TargetRequest{Target: target}); err != nil {
			t.Fatal(err)
		}
		if closed := f.Pick(start, "p", TargetCriteria{}) == nil; closed != leaves {
			t.Errorf("closed after status %d: %v", status, closed)
		}
	}
}

// stuckTimeout bounds the wait for a goroutine; it only expires on a machine that is stuck.
const stuckTimeout = 20 * time.Second

// Guards against calls that free results at a target in backoff, or that use up its limit.
func TestFreeCallsRespectNotices(t *testing.T) {
	maker := netip.MustParseAddrPort("10.0.0.1:80")
	scenarios := []struct {
		testName string
		notice   Notice
		after    time.Duration
	}{
		{"no notice", Notice{}, freeInterval},
		{"a limit", Notice{HasLimit: true, Limit: 1}, limitedFreeInterval},
		{"rest", Notice{Backoff: 3 * time.Second}, 3 * time.Second},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			clock, sender := clockwork.NewFakeClockAt(start), &stubSender{}
			p := newTestPieceScheduler(clock, &scriptedPeers{silent: make(chan struct{})}, sender)
			target := testTarget("m", "p", "z")
			target.Address = maker
			p.fleet.ApplyChanges(start, []FleetChange{removeChange(2, "t1"), putChange(3, target)})
			p.fleet.recordSignal(start, &signal{Notice: s.notice, target: target, sent: start})
			p.freeQueue.enqueue(nil, []string{"10.0.0.1:80/a"})
			calls := func() int {
				sender.mu.Lock()
				defer sender.mu.Unlock()
				return sender.calls
			}
			clock.Advance(s.after - time.Nanosecond)
			time.Sleep(5 * time.Millisecond)
			if n := calls(); n > 0 {
				t.Fatalf("%d calls before %s", n, s.after)
			}
			clock.Advance(time.Nanosecond)
			for end := time.Now().Add(stuckTimeout); calls() == 0; time.Sleep(time.Millisecond) {
				if time.Now().After(end) {
					t.Fatalf("no call after %s", s.after)
				}
			}
		})
	}
}
