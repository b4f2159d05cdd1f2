package relay

import (
	"fmt"
	"testing"

	"emberlead/proto"
)

// soleReaderJob returns a job that is the only reader of results of another pool.
func soleReaderJob(id string, pieces int) *Job {
	j := job(id, pieces)
	j.Params.Inputs, j.Params.InputPool = []string{"input of " + id}, "before"
	return j
}

func TestBatcherReleasesInputsOfCallOnce(t *testing.T) {
	b := batcher(testTarget("t1", "p", "z"))
	b.spec.MaxResultBytes = 0
	kept := job("kept", 1)
	kept.Params.Inputs = []string{"read by others"}
	add(t, b, soleReaderJob("a", 2), kept, soleReaderJob("large", 10))
	first := next(b, start)[0]
	if got := fmt.Sprint(b.releaseInputs(start, first)); got != "map[{before 0}:[input of a]]" {
		t.Errorf("released %s, want the inputs of a only: others read those of kept, and large has pieces left for another call", got)
	}
	if again := b.releaseInputs(start, first); len(again) != 0 {
		t.Errorf("released again: %v", again)
	}
	finished, _ := b.CallDone(start, first, results(first))
	if len(finished) == 0 || !finished[0].Answer.InputsFreed {
		t.Errorf("the finished jobs %+v do not report that the inputs were freed", finished)
	}
	if late := b.releaseInputs(start, first); len(late) != 0 {
		t.Errorf("released after the call: %v", late)
	}
}

func TestBatcherKeepsInputsWhileTargetMayLackRoom(t *testing.T) {
	b := batcher(testTarget("t1", "p", "z"))
	b.startedAt = start.Add(-batchSpec.ResultLifetime)
	add(t, b, soleReaderJob("a", 2))
	first := next(b, start)[0]
	made := results(first)
	made[1] = ItemResult{Outcome: proto.PiecesNoRoom}
	b.CallDone(start, first, made)
	soon := start.Add(batchSpec.ResultLifetime / 2)
	again := next(b, soon)
	if len(again) != 1 {
		t.Fatal("the piece without room was not made again")
	}
	if released := b.releaseInputs(soon, again[0]); len(released) != 0 {
		t.Errorf("released %v although the target recently had no room", released)
	}
}

// TestBatcherKeepsInputsWhileResultsOfEarlierDaemonMayExist has a daemon that has just started to batch for a pool.
func TestBatcherKeepsInputsWhileResultsOfEarlierDaemonMayExist(t *testing.T) {
	b := batcher(testTarget("t1", "p", "z"))
	add(t, b, soleReaderJob("a", 2), soleReaderJob("b", 7))
	first := next(b, start)[0]
	if released := b.releaseInputs(start.Add(first.Expected/2), first); len(released) != 0 {
		t.Errorf("released %v although there may be no room for the results", released)
	}
	later := start.Add(batchSpec.ResultLifetime)
	b.CallDone(later, first, results(first))
	second := next(b, later)[0]
	if released := b.releaseInputs(later, second); len(released) != 1 {
		t.Errorf("released %v, want the inputs of one shard: all results made for an earlier daemon have expired", released)
	}
}

// TestBatcherKeepsInputsOfRequeuedPieces has an overdue call, so that two targets read the same inputs.
func TestBatcherKeepsInputsOfRequeuedPieces(t *testing.T) {
	b := batcher(testTarget("t1", "p", "z"), testTarget("t2", "p", "z"))
	b.startedAt = start.Add(-batchSpec.ResultLifetime)
	add(t, b, soleReaderJob("a", 2))
	first := next(b, start)[0]
	late := start.Add(10 * first.Expected)
	second := next(b, late)
	if len(second) != 1 {
		t.Fatal("an overdue call was not repeated at another target")
	}
	if released := b.releaseInputs(late, second[0]); len(released) != 0 {
		t.Errorf("released: %v", released)
	}
	if finished := b.CallFailed(late, first, false); len(finished) != 0 {
		t.Errorf("finished jobs %+v although the second call is in progress", finished)
	}
}

// TestBatcherDoesNotRepeatPieceWithoutInputs has calls fail after their inputs were released.
func TestBatcherDoesNotRepeatPieceWithoutInputs(t *testing.T) {
	scenarios := []struct {
		name string
		end  func(b *Batcher, c *Call) []FinishedJob
	}{
		{"call fails", func(b *Batcher, c *Call) []FinishedJob { return b.CallFailed(start, c, false) }},
		{"no room for a result", func(b *Batcher, c *Call) []FinishedJob {
			finished, _ := b.CallDone(start, c, []ItemResult{{Handle: "h"}, {Outcome: proto.PiecesNoRoom}})
			return finished
		}},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			b := batcher(testTarget("t1", "p", "z"), testTarget("t2", "p", "z"))
			b.startedAt = start.Add(-batchSpec.ResultLifetime)
			add(t, b, soleReaderJob("a", 2))
			c := next(b, start)[0]
			b.releaseInputs(start, c)
			if late := next(b, start.Add(10*c.Expected)); len(late) != 0 {
				t.Fatal("an overdue piece was sent again although its inputs were released")
			}
			finished := s.end(b, c)
			if len(finished) != 1 || finished[0].Answer.Outcome != proto.PiecesLost || !finished[0].Answer.InputsFreed {
				t.Errorf("finished jobs %+v, want the job lost with its inputs freed, so that the stages of the request are repeated", finished)
			}
		})
	}
}
