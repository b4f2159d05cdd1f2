package sched_test

import (
	"testing"
	"time"

	"emberlead/sched"
)

// violation returns what callers get less of than they should, or "".
func (o *intakeOutcome) violation() string {
	switch {
	case o.ratio() < intakeBound:
		return "too few of the requests that daemons read are served in the rush"
	case o.afterRatio() < intakeAim || o.before.notTaken() > 1-intakeAim || o.after.notTaken() > 1-intakeAim:
		return "the rush is felt outside of it"
	}
	return ""
}

// TestSmallDaemonsGetMostConnections guards against requests that are read and held to their deadlines at daemons whose processor or link
// cannot carry the connections that they get, while others have room.
func TestSmallDaemonsGetMostConnections(t *testing.T) {
	worst, sum := 1.0, 0.0
	for seed := range uint64(intakeSeeds) {
		o := playIntake(seed, false, func() modelGate { return &intakeGate{} })
		worst, sum = min(worst, o.ratio()), sum+o.ratio()
		if v := o.violation(); v != "" {
			t.Errorf("seed %d: %s: before %+v, during %+v, after %+v", seed, v, o.before, o.during, o.after)
		}
	}
	t.Logf("served in the rush against before: %.3f, at least %.3f", sum/intakeSeeds, worst)
	if sum/intakeSeeds < intakeAim {
		t.Errorf("%.3f of before served in the rush on average, want %.2f", sum/intakeSeeds, intakeAim)
	}
}

// TestSmallDaemonsNeedTheIntake plays until a seed fails without one of the mechanisms.
func TestSmallDaemonsNeedTheIntake(t *testing.T) {
	for _, without := range []string{withoutSpreading, withoutDelay, withoutLink, withoutCosts, withoutClosing} {
		t.Run(without, func(t *testing.T) {
			for seed := range uint64(intakeSeeds) {
				o := playIntake(seed, false, func() modelGate { return &intakeGate{without: without} })
				if v := o.violation(); v != "" {
					t.Logf("seed %d: %s: before %+v, during %+v, after %+v", seed, v, o.before, o.during, o.after)
					return
				}
			}
			t.Errorf("no seed fails without %s", without)
		})
	}
}

// TestBigDaemonsTakeMostConnections guards against connections that are closed and requests that are refused at daemons that can serve them.
func TestBigDaemonsTakeMostConnections(t *testing.T) {
	for seed := range uint64(intakeSeeds) {
		o := playIntake(seed, true, func() modelGate { return &intakeGate{} })
		if o.during.closed+o.during.refused > 0 || o.ratio() < intakeAim {
			t.Errorf("seed %d: before %+v, during %+v", seed, o.before, o.during)
		}
	}
}

func TestIntakeLimits(t *testing.T) {
	elsewhere, busy := []float64{0.1, 0.2, 0.9}, []float64{0.9, 1, 0.2}
	scenarios := []struct {
		name   string
		usage  sched.Usage
		others []float64
		// closes is set if new connections are closed, and refuses if requests over open connections are refused in the end.
		closes, refuses bool
	}{
		{"at rest", sched.Usage{Processor: 0.1}, elsewhere, false, false},
		{"busy, but not beyond", sched.Usage{Processor: 0.7}, elsewhere, false, false},
		{"the processor is full", sched.Usage{Processor: 0.95}, elsewhere, true, true},
		{"the link is full", sched.Usage{Processor: 0.2, Received: 0.95}, elsewhere, true, true},
		{"the link is full with answers", sched.Usage{Processor: 0.2, Sent: 0.95}, elsewhere, true, true},
		{"work waits", sched.Usage{Processor: 0.4, Delay: time.Second}, elsewhere, true, true},
		{"messages wait on the link", sched.Usage{Processor: 0.4, LinkDelay: time.Second}, elsewhere, true, true},
		{"full like the others", sched.Usage{Processor: 0.95}, busy, false, false},
		{"full like the others, and work waits", sched.Usage{Processor: 0.95, Delay: time.Second}, busy, false, true},
		{"work waits, and no other was heard", sched.Usage{Processor: 0.95, Delay: time.Second}, nil, false, true},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			var i sched.Intake
			now := time.Unix(1_000_000, 0)
			for range 50 {
				for range 10 {
					if _, admitted := i.Admit(now, false); !admitted {
						break
					}
				}
				now = now.Add(100 * time.Millisecond)
				i.Observe(now, s.usage, s.others)
			}
			closed, refused := 0, 0
			for range 300 {
				if i.Closes(now) {
					closed++
				}
				if wait, admitted := i.Admit(now, false); !admitted {
					refused++
					if wait <= 0 || wait > 2*time.Second {
						t.Fatalf("come back after %v", wait)
					}
				}
			}
			if (closed > 0) != s.closes || (refused > 0) != s.refuses {
				t.Errorf("%d connections closed, %d requests refused", closed, refused)
			}
			if i.Closes(now.Add(time.Second)) {
				t.Error("no connection is taken for a second")
			}
			for range 20 {
				now = now.Add(100 * time.Millisecond)
				i.Observe(now, sched.Usage{Processor: 0.1}, s.others)
			}
			if i.Limits() {
				t.Error("limited two seconds after the load was over")
			}
		})
	}
}

func TestLinkDelay(t *testing.T) {
	var l sched.LinkDelay[string]
	now := time.Unix(1_000_000, 0)
	clocks := map[string]time.Duration{"a": 0, "b": time.Hour, "c": -time.Hour}
	record := func(sender string, took time.Duration) {
		l.Record(now, sender, time.Duration(now.Add(-took).UnixNano())+clocks[sender])
	}
	all := func(took time.Duration) {
		for sender := range clocks {
			record(sender, took)
		}
	}
	all(2 * time.Millisecond)
	record("a", 500*time.Millisecond)
	if d := l.Delay(now); d != 0 {
		t.Errorf("delay %v, though only one sender's messages take longer", d)
	}
	now = now.Add(300 * time.Millisecond)
	all(202 * time.Millisecond)
	if d := l.Delay(now); d != 200*time.Millisecond {
		t.Errorf("delay %v, want 200 ms", d)
	}
	now = now.Add(2 * time.Second)
	record("a", 202*time.Millisecond)
	if d := l.Delay(now); d != 0 {
		t.Errorf("delay %v by a single sender", d)
	}
	// Clocks drift apart: the fastest message of long ago no longer counts.
	for range 4 {
		now = now.Add(50 * time.Second)
		all(40 * time.Millisecond)
	}
	if d := l.Delay(now); d != 0 {
		t.Errorf("delay %v, after the clocks drifted apart", d)
	}
}
