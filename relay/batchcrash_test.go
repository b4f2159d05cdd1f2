package relay

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"emberlead/proto"
)

// TestBatcherSeparatesJobsAfterRepeatedFailures has a request that crashes each target that makes a piece of it, while
// its pieces share calls with those of other requests.
func TestBatcherSeparatesJobsAfterRepeatedFailures(t *testing.T) {
	crashes := newTestCrashTracker(clockwork.NewFakeClockAt(start))
	pool := batchSpec
	pool.MaxPieces = 12
	b := NewBatcher(pool, WithBlockedRequests(func(r proto.RequestDigest) bool {
		_, refused := crashes.Blocks(r)
		return refused
	}))
	var targets []proto.RelayTarget
	for n := range 12 {
		targets = append(targets, testTarget(fmt.Sprint("t", n), "p", "z"))
	}
	b.SetTargets(targets)
	const crashing, requests = proto.RequestDigest(3), 6
	for r := range proto.RequestDigest(requests) {
		ask := proto.PiecesAsk{RequestID: fmt.Sprint(r), Pieces: 2, ResultBytes: 10, Digest: r}
		if refused := b.Add(start, &Job{Params: ask, Due: start.Add(time.Hour), Deadline: start.Add(time.Hour)}); refused != nil {
			t.Fatal(refused)
		}
	}
	fates := map[string]proto.PieceOutcome{}
	record := func(finished []FinishedJob) {
		for _, e := range finished {
			fates[e.Job.Params.RequestID] = e.Answer.Outcome
		}
	}
	now, ended := start, 0
	for range 40 {
		calls, finished := b.NextCalls(now)
		record(finished)
		now = now.Add(10 * time.Millisecond)
		for _, c := range calls {
			var in []proto.RequestDigest
			for _, item := range c.Items {
				in = append(in, item.Job.Params.Digest)
			}
			if !slices.Contains(in, crashing) {
				results := make([]ItemResult, len(c.Items))
				for i := range results {
					results[i].Handle = fmt.Sprintf("%s/%p/%d", c.Target.ID, c, i)
				}
				made, _ := b.CallDone(now, c, results)
				record(made)
				continue
			}
			ended++
			crashes.RecordEnd(c.Target.RunName(), now, slices.Compact(in))
			record(b.CallFailed(now, c, false))
			targets = slices.DeleteFunc(targets, func(s proto.RelayTarget) bool { return s.ID == c.Target.ID })
			b.SetTargets(targets)
		}
	}
	if ended != crashLimit {
		t.Errorf("%d targets ended", ended)
	}
	for r := range proto.RequestDigest(requests) {
		want := proto.PiecesDone
		if r == crashing {
			want = proto.PiecesFailed
		}
		if got, finished := fates[fmt.Sprint(r)]; !finished || got != want {
			t.Errorf("request %d: finished %v, outcome %s", r, finished, got)
		}
	}
}
