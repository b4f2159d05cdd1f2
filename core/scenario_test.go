package core

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"emberlead/proto"
)

// scenarioRunner runs the commands of a scenario file. The head of each file in testdata says what the scenario shows.
type scenarioRunner struct {
	engine *Engine
	now    time.Time
	ids    map[string]proto.RequestID
	names  map[proto.RequestID]string
	starts map[string]proto.AttemptID
	out    strings.Builder
}

func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &scenarioRunner{now: time.Unix(1_700_000_000, 0), ids: map[string]proto.RequestID{}, names: map[proto.RequestID]string{}, starts: map[string]proto.AttemptID{}}
		s.engine = New(WithSeed(1), WithZone("r/0"))
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string { return s.run(t, d) })
	})
}

func stringArg(t *testing.T, d *datadriven.TestData, name, fallback string) string {
	t.Helper()
	value := fallback
	if d.HasArg(name) {
		d.ScanArgs(t, name, &value)
	}
	return value
}

func intArg(t *testing.T, d *datadriven.TestData, name string) int {
	t.Helper()
	n := 0
	if d.HasArg(name) {
		d.ScanArgs(t, name, &n)
	}
	return n
}

func (s *scenarioRunner) run(t *testing.T, d *datadriven.TestData) string {
	s.out.Reset()
	switch d.Cmd {
	case "config":
		s.engine.Configure(proto.EmptySnapshot().WithFile(1, testFile(intArg(t, d, "targets"))), s.now, 0)
	case "stop":
		untilStop, err := time.ParseDuration(stringArg(t, d, "in", "0s"))
		if err != nil {
			t.Fatal(err)
		}
		snapshot := s.engine.Snapshot()
		plan := proto.StopPlan{VM: proto.VM(stringArg(t, d, "vm", "")), At: s.now.Add(untilStop)}
		s.engine.Configure(snapshot.WithStop(snapshot.Generation+1, plan), s.now, 0)
		s.handleEvent(StopCheck{Lead: time.Second})
	case "listed":
		leaving := map[proto.VM]bool{}
		if d.HasArg("vm") {
			leaving[proto.VM(stringArg(t, d, "vm", ""))] = true
		}
		s.engine.SetLeavingVMs(leaving)
		s.handleEvent(StopCheck{Lead: time.Second})
	case "arrive":
		s.addRequest(t, d)
	case "claim":
		results := map[string]ClaimResult{"granted": ClaimGranted, "taken": ClaimTaken, "tooOld": ClaimTooOld, "unreachable": ClaimNoQuorum}
		s.handleEvent(ClaimAnswered{Request: s.ids[stringArg(t, d, "of", "")], Result: results[stringArg(t, d, "verdict", "granted")]})
	case "chunk":
		s.handleEvent(AttemptChunk{Attempt: s.starts[stringArg(t, d, "of", "")], Offset: intArg(t, d, "offset"), Text: stringArg(t, d, "text", ""), Tokens: intArg(t, d, "tokens")})
	case "end":
		statuses := map[string]AttemptStatus{"done": StatusDone, "notStarted": StatusNotStarted, "failed": StatusFailed, "unknown": StatusUnknown}
		s.handleEvent(AttemptEnded{Attempt: s.starts[stringArg(t, d, "of", "")], Status: statuses[stringArg(t, d, "fate", "done")], Output: []byte(stringArg(t, d, "output", "{}")), Tokens: intArg(t, d, "tokens"), Busy: time.Millisecond})
	case "exported":
		s.handleEvent(Exported{Attempt: s.starts[stringArg(t, d, "of", "")], Handle: stringArg(t, d, "handle", "")})
	case "leave":
		s.handleEvent(CallerLeft{Request: s.ids[stringArg(t, d, "of", "")]})
	case "sleep":
		length, err := time.ParseDuration(stringArg(t, d, "for", "0s"))
		if err != nil {
			t.Fatal(err)
		}
		s.now = s.now.Add(length)
	case "wait":
		length, err := time.ParseDuration(stringArg(t, d, "for", "0s"))
		if err != nil {
			t.Fatal(err)
		}
		s.now = s.now.Add(length)
		s.handleEvent(StopCheck{Lead: time.Second})
		s.handleEvent(Tick{})
	default:
		t.Fatalf("unknown command %q", d.Cmd)
	}
	if s.out.Len() == 0 {
		return "ok\n"
	}
	return s.out.String()
}

func (s *scenarioRunner) addRequest(t *testing.T, d *datadriven.TestData) {
	name := stringArg(t, d, "name", "")
	var bits [10]byte
	bits[9] = byte(len(s.ids) + 1)
	id := proto.KeyAt(s.now, bits)
	s.ids[name], s.names[id] = id, name
	a := Arrival{ID: id, Workspace: "a", Service: stringArg(t, d, "service", "plain"), Repeatable: true, Stream: d.HasArg("stream")}
	if d.HasArg("key") {
		a.Key = id
	}
	s.handleEvent(a)
}

func (s *scenarioRunner) handleEvent(ev Event) {
	for _, action := range s.engine.Handle(s.now, ev) {
		switch a := action.(type) {
		case Start:
			name := fmt.Sprintf("%s.%s.%d", s.names[a.ID.Request], a.Stage.Name, a.ID.Number)
			s.starts[name] = a.ID
			fmt.Fprintf(&s.out, "start %s at %s offset %d handle %q\n", name, a.Target.Name, a.Offset, a.CacheHandle)
		case Cancel:
			fmt.Fprintf(&s.out, "cancel %s stage %d attempt %d\n", s.names[a.Attempt.Request], a.Attempt.Stage, a.Attempt.Number)
		case Claim:
			fmt.Fprintf(&s.out, "claim %s\n", s.names[a.Request])
		case Settle:
			fmt.Fprintf(&s.out, "settle %s released %t answer %s\n", s.names[a.Request], a.Released, a.Answer)
		case Chunk:
			fmt.Fprintf(&s.out, "chunk %s offset %d %q\n", s.names[a.Request], a.Offset, a.Text)
		case Export:
			fmt.Fprintf(&s.out, "export attempt %d at %s\n", a.Attempt.Number, a.Target.Name)
		case Finish:
			if a.Failure == nil {
				fmt.Fprintf(&s.out, "finish %s with %s\n", s.names[a.Request], a.Output)
				continue
			}
			fmt.Fprintf(&s.out, "finish %s: %s %s %d\n", s.names[a.Request], a.Failure.Kind, a.Failure.Outcome, a.Failure.Status())
		}
	}
}

// The objective of a file limits what may be spent on attainment: with equal weights, nothing is hedged.
func TestObjectiveLimitsRetriesAndHedges(t *testing.T) {
	scenarios := []struct {
		name      string
		objective proto.Objective
		retries   bool
		hedges    bool
	}{
		{"no objective", proto.Objective{}, true, true},
		{"venture", proto.Objective{Attainment: 0.8, Cost: 0.2}, true, true},
		{"institute", proto.Objective{Attainment: 0.5, Cost: 0.5}, true, false},
		{"only cost", proto.Objective{Cost: 1}, false, false},
	}
	for _, scenario := range scenarios {
		p := newPool("p", DefaultTuning().ForObjective(scenario.objective), &RoundRobin[*target]{})
		if got := p.takeRetry(); got != scenario.retries {
			t.Errorf("%s: retry allowed: %t", scenario.name, got)
		}
		if got := p.takeHedge(); got != scenario.hedges {
			t.Errorf("%s: hedge allowed: %t", scenario.name, got)
		}
	}
}
