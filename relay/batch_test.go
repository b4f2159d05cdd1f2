package relay

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"emberlead/proto"
)

var batchSpec = proto.BatchSpec{Slots: 1, MaxPieces: 8, CallCost: 200 * time.Millisecond, PieceCost: 20 * time.Millisecond, MaxResultBytes: 12_000, ResultLifetime: 4 * time.Second}

func batcher(targets ...proto.RelayTarget) *Batcher {
	b := NewBatcher(batchSpec)
	b.SetTargets(targets)
	return b
}

// job returns a job whose results have 1,000 bytes each and that is due in an hour.
func job(id string, pieces int) *Job {
	return &Job{Params: proto.PiecesAsk{Pool: "p", RequestID: id, Pieces: pieces, ResultBytes: 1000}, Due: start.Add(time.Hour), Deadline: start.Add(2 * time.Hour)}
}

func add(t *testing.T, b *Batcher, jobs ...*Job) {
	t.Helper()
	for _, j := range jobs {
		if refused := b.Add(start, j); refused != nil {
			t.Fatalf("%s refused: %s", j.Params.RequestID, refused.Detail)
		}
	}
}

func next(b *Batcher, now time.Time) []*Call {
	calls, _ := b.NextCalls(now)
	return calls
}

func pieces(c *Call) string {
	all := ""
	for _, i := range c.Items {
		all += fmt.Sprintf("%s%d ", i.Job.Params.RequestID, i.Piece)
	}
	return all
}

func results(c *Call) []ItemResult {
	made := make([]ItemResult, len(c.Items))
	for i, item := range c.Items {
		made[i].Handle = fmt.Sprintf("%s/%s.%d.%d", c.Target.ID, item.Job.Params.RequestID, item.Piece, c.StartedAt.UnixNano())
	}
	return made
}

func TestBatcherFillsCallFromSeveralRequests(t *testing.T) {
	b := batcher(testTarget("t1", "p", "z"))
	add(t, b, job("a", 3), job("b", 2), job("c", 4), job("d", 3))
	calls := next(b, start)
	if len(calls) != 1 || pieces(calls[0]) != "a0 a1 a2 b0 b1 d0 d1 d2 " {
		t.Fatalf("%d calls, first %q: c does not fit into the call as a whole, d does", len(calls), pieces(calls[0]))
	}
	if more := next(b, start); len(more) != 0 {
		t.Errorf("a second call was sent to a target with one slot")
	}
	finished, unused := b.CallDone(start.Add(time.Second), calls[0], results(calls[0]))
	if len(finished) != 3 || len(unused) != 0 {
		t.Errorf("%d jobs ended, %d results unused", len(finished), len(unused))
	}
}

func TestBatcherSplitsLargeJob(t *testing.T) {
	b := batcher(testTarget("t1", "p", "z"), testTarget("t2", "p", "z"))
	b.spec.MaxResultBytes = 0
	add(t, b, job("a", 10))
	calls := next(b, start)
	if len(calls) != 2 || len(calls[0].Items)+len(calls[1].Items) != 10 {
		t.Fatalf("%d calls", len(calls))
	}
	if finished, _ := b.CallDone(start, calls[0], results(calls[0])); len(finished) != 0 {
		t.Error("the job ended with only some of its results")
	}
	if finished, _ := b.CallDone(start, calls[1], results(calls[1])); len(finished) != 1 || len(finished[0].Answer.Handles) != 10 {
		t.Error("the job did not end with all results")
	}
}

func TestBatcherCountsRoomUntilResultsAreFreed(t *testing.T) {
	b := batcher(testTarget("t1", "p", "z"))
	add(t, b, job("a", 8), job("b", 4), job("c", 1))
	first := next(b, start)[0]
	made := results(first)
	b.CallDone(start, first, made)
	second := next(b, start)[0]
	if pieces(second) != "b0 b1 b2 b3 " {
		t.Fatalf("with room for four, the call holds %q", pieces(second))
	}
	b.CallDone(start, second, results(second))
	if calls := next(b, start); len(calls) != 0 {
		t.Fatalf("without room a call was sent: %q", pieces(calls[0]))
	}
	b.ResultFreed(start, made[0].Handle)
	if calls := next(b, start); len(calls) != 1 || pieces(calls[0]) != "c0 " {
		t.Error("freed room was not used")
	}
}

func TestBatcherExpiresResults(t *testing.T) {
	b := batcher(testTarget("t1", "p", "z"))
	add(t, b, job("a", 8), job("b", 8))
	first := next(b, start)[0]
	b.CallDone(start, first, results(first))
	half := next(b, start)
	if len(half) != 1 || len(half[0].Items) != 4 {
		t.Fatalf("with room for four, calls %v", half)
	}
	b.CallDone(start, half[0], results(half[0]))
	if calls := next(b, start); len(calls) != 0 {
		t.Fatal("a call was sent without room")
	}
	if calls := next(b, start.Add(batchSpec.ResultLifetime)); len(calls) != 1 || len(calls[0].Items) != 4 {
		t.Error("the room of expired results was not reused")
	}
}

func TestBatcherSkipsTargetWithoutRoom(t *testing.T) {
	b := batcher(testTarget("t1", "p", "z"))
	add(t, b, job("a", 2))
	c := next(b, start)[0]
	made := results(c)
	made[1] = ItemResult{Outcome: proto.PiecesNoRoom}
	if finished, _ := b.CallDone(start, c, made); len(finished) != 0 {
		t.Fatal("the job ended although a piece can be made again")
	}
	if calls := next(b, start.Add(noRoomBackoff)); len(calls) != 0 {
		t.Error("a call was sent to a target that holds unknown results")
	}
	if calls := next(b, start.Add(batchSpec.ResultLifetime)); len(calls) != 1 || pieces(calls[0]) != "a1 " {
		t.Errorf("the missing piece was not made after the unknown results expired")
	}
}

func TestBatcherStartsJobOnlyWithRoomForAllPieces(t *testing.T) {
	b := batcher(testTarget("t1", "p", "z"))
	add(t, b, job("a", 8), job("b", 6), job("c", 4))
	first := next(b, start)[0]
	finished, _ := b.CallDone(start, first, results(first))
	if pieces(first) != "a0 a1 a2 a3 a4 a5 a6 a7 " || len(finished) != 1 {
		t.Fatalf("first call %q", pieces(first))
	}
	// There is room for four of the twelve results.
	calls := next(b, start)
	if len(calls) != 1 || pieces(calls[0]) != "c0 c1 c2 c3 " {
		t.Fatalf("%d calls, want one for c: b must not start without room for all of its results", len(calls))
	}
	finished, _ = b.CallDone(start, calls[0], results(calls[0]))
	if len(finished) != 1 {
		t.Fatal("c did not end")
	}
	for _, h := range results(first) {
		b.ResultFreed(start, h.Handle)
	}
	if calls = next(b, start); len(calls) != 1 || pieces(calls[0]) != "b0 b1 b2 b3 b4 b5 " {
		t.Errorf("b was not started once there was room for it: %d calls", len(calls))
	}
}

func TestBatcherSplitsJobThatNeedsMuchRoom(t *testing.T) {
	b := batcher(testTarget("t1", "p", "z"))
	add(t, b, job("a", 5), job("b", 8))
	first := next(b, start)[0]
	b.CallDone(start, first, results(first))
	calls := next(b, start)
	if len(calls) != 1 || len(calls[0].Items) != 7 {
		t.Errorf("%d calls: eight results take more than half of the room, so seven are made", len(calls))
	}
}

func TestBatcherRetriesFailedCallsOnOtherTargets(t *testing.T) {
	b := batcher(testTarget("t1", "p", "z"), testTarget("t2", "p", "z"))
	add(t, b, job("a", 4))
	now := start
	last := ""
	for try := 1; ; try++ {
		calls := next(b, now)
		if len(calls) != 1 {
			t.Fatalf("try %d: %d calls", try, len(calls))
		}
		if calls[0].Target.ID == last {
			t.Errorf("try %d went to %s again", try, last)
		}
		last = calls[0].Target.ID
		finished := b.CallFailed(now, calls[0], false)
		if try == maxFailedCalls {
			if len(finished) != 1 || finished[0].Answer.Outcome != proto.PiecesFailed {
				t.Fatalf("finished jobs %v", finished)
			}
			return
		}
		if len(finished) != 0 {
			t.Fatalf("the job failed after %d tries", try)
		}
		now = now.Add(maxCallBackoff)
	}
}

func TestBatcherDoesNotCountBusyTargetAsFailure(t *testing.T) {
	b := batcher(testTarget("t1", "p", "z"))
	add(t, b, job("a", 4))
	now := start
	for range 2 * maxFailedCalls {
		calls := next(b, now)
		if len(calls) != 1 {
			t.Fatal("no call after the backoff")
		}
		if finished := b.CallFailed(now, calls[0], true); len(finished) != 0 {
			t.Fatal("the job failed because a target was busy")
		}
		now = now.Add(minCallBackoff)
	}
}

func TestBatcherRepeatsOverdueCallOnOtherTarget(t *testing.T) {
	b := batcher(testTarget("t1", "p", "z"), testTarget("t2", "p", "z"))
	add(t, b, job("a", 4))
	slow := next(b, start)[0]
	now := start.Add(time.Duration(overdueFactor*float64(slow.Expected)) + time.Millisecond)
	calls := next(b, now)
	if len(calls) != 1 || calls[0].Target.ID == slow.Target.ID || len(calls[0].Items) != 4 {
		t.Fatalf("calls %v", calls)
	}
	finished, unused := b.CallDone(now, calls[0], results(calls[0]))
	if len(finished) != 1 || len(unused) != 0 {
		t.Fatalf("finished jobs %v, unused %v", finished, unused)
	}
	finished, unused = b.CallDone(now, slow, results(slow))
	if len(finished) != 0 || len(unused) != 4 {
		t.Errorf("the overdue call ended %d jobs, %d results unused", len(finished), len(unused))
	}
}

func TestBatcherPrefersZoneOfInputsForLimitedTime(t *testing.T) {
	b := batcher(testTarget("far", "p", "y"), testTarget("near", "p", "z"))
	add(t, b, job("first", 8))
	busy := next(b, start)[0]
	if busy.Target.ID != "far" {
		t.Fatalf("%s is busy", busy.Target.ID)
	}
	b.CallDone(start, busy, results(busy))
	here := job("here", 2)
	here.Params.Zone = "y"
	add(t, b, job("other", 8), here)
	b.targets["far"].call = &Call{StartedAt: start, Expected: time.Second}
	b.targets["near"].call = nil
	calls := next(b, start)
	if len(calls) != 1 || pieces(calls[0]) != "other0 other1 other2 other3 other4 other5 other6 other7 " {
		t.Fatalf("calls %v", calls)
	}
	b.CallDone(start, calls[0], results(calls[0]))
	if calls = next(b, start); len(calls) != 0 {
		t.Error("the job did not wait for a target in the zone of its inputs")
	}
	if calls = next(b, start.Add(time.Duration(zoneWaitCalls*b.fullCall(1000)))); len(calls) != 1 || pieces(calls[0]) != "here0 here1 " {
		t.Error("the job waited too long for a target in the zone of its inputs")
	}
}

func TestBatcherDropsWithdrawnJobs(t *testing.T) {
	b := batcher(testTarget("t1", "p", "z"))
	add(t, b, job("a", 2), job("b", 8))
	c := next(b, start)[0]
	b.Withdraw("a", 0)
	b.Withdraw("b", 0)
	finished, unused := b.CallDone(start, c, results(c))
	if len(finished) != 0 || len(unused) != 2 {
		t.Errorf("finished jobs %v, unused %v", finished, unused)
	}
	if calls := next(b, start); len(calls) != 0 {
		t.Errorf("a withdrawn job was started: %q", pieces(calls[0]))
	}
}

// TestBatcherEndsEveryJobOnceWithItsOwnResults plays random arrivals, failures, targets without room, overdue calls,
// and targets that come and go.
func TestBatcherEndsEveryJobOnceWithItsOwnResults(t *testing.T) {
	for seed := range uint64(300) {
		runRandomBatches(t, rand.New(rand.NewPCG(seed, 1)))
	}
}

func runRandomBatches(t *testing.T, r *rand.Rand) {
	targets := []proto.RelayTarget{testTarget("t1", "p", "y"), testTarget("t2", "p", "z"), testTarget("t3", "p", "z")}
	b := batcher(targets...)
	open, ended := map[*Job]bool{}, 0
	var calls []*Call
	end := func(finished []FinishedJob) {
		for _, e := range finished {
			if !open[e.Job] {
				t.Fatalf("%s ended twice", e.Job.Params.RequestID)
			}
			delete(open, e.Job)
			ended++
			checkResults(t, e)
		}
	}
	now := start
	for i := range 400 {
		now = now.Add(time.Duration(r.IntN(60)) * time.Millisecond)
		if i < 200 {
			j := job(fmt.Sprint("r", i), 1+r.IntN(11))
			j.Due, j.Deadline = now.Add(time.Duration(r.IntN(3000))*time.Millisecond), now.Add(4*time.Second)
			j.Params.NoWorkDone = r.IntN(2) == 0
			if b.Add(now, j) == nil {
				open[j] = true
			}
		}
		if r.IntN(20) == 0 {
			b.SetTargets(targets[:1+r.IntN(len(targets))])
		}
		more, finished := b.NextCalls(now)
		end(finished)
		calls = append(calls, more...)
		if len(calls) > 0 && r.IntN(3) > 0 {
			n := r.IntN(len(calls))
			c := calls[n]
			calls = append(calls[:n], calls[n+1:]...)
			end(answer(b, r, now, c))
		}
	}
	b.SetTargets(targets)
	for range 200 {
		now = now.Add(100 * time.Millisecond)
		more, finished := b.NextCalls(now)
		end(finished)
		for _, c := range append(calls, more...) {
			end(answer(b, r, now, c))
		}
		calls = nil
	}
	if len(open) != 0 {
		t.Fatalf("%d jobs never ended, %d did", len(open), ended)
	}
}

func answer(b *Batcher, r *rand.Rand, now time.Time, c *Call) []FinishedJob {
	switch r.IntN(8) {
	case 0:
		return b.CallFailed(now, c, false)
	case 1:
		return b.CallFailed(now, c, true)
	}
	made := results(c)
	for i := range made {
		switch r.IntN(40) {
		case 0:
			made[i] = ItemResult{Outcome: proto.PiecesNoRoom}
		case 1:
			made[i] = ItemResult{Outcome: proto.PiecesFailed}
		case 2:
			made[i] = ItemResult{Outcome: proto.PiecesLost}
		}
	}
	finished, unused := b.CallDone(now, c, made)
	for _, h := range unused {
		b.ResultFreed(now, h)
	}
	for _, e := range finished {
		for _, h := range e.Answer.Handles {
			b.ResultFreed(now, h)
		}
	}
	return finished
}

func checkResults(t *testing.T, e FinishedJob) {
	t.Helper()
	if e.Answer.Outcome != proto.PiecesDone {
		return
	}
	if len(e.Answer.Handles) != e.Job.Params.Pieces {
		t.Fatalf("%s has %d results for %d pieces", e.Job.Params.RequestID, len(e.Answer.Handles), e.Job.Params.Pieces)
	}
	for i, h := range e.Answer.Handles {
		var target, request string
		var piece int
		var at int64
		if _, err := fmt.Sscanf(h, "%2s/r%s", &target, &request); err != nil {
			t.Fatalf("result %q: %v", h, err)
		}
		if _, err := fmt.Sscanf(h[3:], e.Job.Params.RequestID+".%d.%d", &piece, &at); err != nil || piece != i {
			t.Fatalf("%s got %q for piece %d", e.Job.Params.RequestID, h, i)
		}
	}
}

// BenchmarkLongQueue measures one round of scheduling with a long queue; the owner of a pool runs several hundred per
// second.
func BenchmarkLongQueue(b *testing.B) {
	for _, jobs := range []int{30, 300} {
		b.Run(fmt.Sprintf("jobs=%d", jobs), func(b *testing.B) {
			var targets []proto.RelayTarget
			for i := range 20 {
				targets = append(targets, testTarget(fmt.Sprint("t", i), "p", "z"))
			}
			batch := batcher(targets...)
			for i := range jobs {
				j := job(fmt.Sprint("j", i), 6)
				if i%2 == 0 {
					j.Due = start
				}
				batch.Add(start, j)
			}
			batch.NextCalls(start)
			now := start
			for b.Loop() {
				now = now.Add(time.Millisecond)
				batch.NextCalls(now)
			}
		})
	}
}

// TestRecoveredTargetIsCalledAgain has a target take much longer than another one, which alone could do all the work from then on: once
// its slowdown is out of date it must be tried again, with work that has the time for it, or the pool would have lost it for good.
func TestRecoveredTargetIsCalledAgain(t *testing.T) {
	for _, scenario := range []struct {
		name  string
		due   time.Duration
		again bool
	}{
		{"work that has time", time.Hour, true},
		{"urgent work", time.Second, false},
	} {
		b := batcher(testTarget("slow", "p", "z"), testTarget("steady", "p", "z"))
		b.spec.MaxResultBytes = 0
		b.targets["slow"].slowdown, b.targets["slow"].calledAt = 3, start
		calledSlow := false
		now := start
		for i := range 30 {
			j := job(fmt.Sprint("r", i), 4)
			j.Due, j.Deadline = now.Add(scenario.due), now.Add(2*time.Hour)
			if refused := b.Add(now, j); refused != nil {
				t.Fatal(refused.Detail)
			}
			calls := next(b, now)
			if len(calls) != 1 {
				t.Fatalf("%s: %d calls", scenario.name, len(calls))
			}
			calledSlow = calledSlow || calls[0].Target.ID == "slow"
			now = now.Add(300 * time.Millisecond)
			b.CallDone(now, calls[0], results(calls[0]))
		}
		if calledSlow != scenario.again {
			t.Errorf("%s: the slow target was called: %t, want %t", scenario.name, calledSlow, scenario.again)
		}
	}
}
