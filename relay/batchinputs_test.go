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
	ends, _ := b.CallDone(start, first, results(first))
	if len(ends) == 0 || !ends[0].Answer.InputsFreed {
		t.Errorf("ends %+v do not report that the inputs were freed", ends)
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
	if given := b.releaseInputs(soon, again[0]); len(given) != 0 {
		t.Errorf("released %v although the target recently had no room", given)
	}
}

// TestBatcherKeepsInputsWhileResultsOfEarlierDaemonMayExist has a daemon that has just started to batch for a pool.
func TestBatcherKeepsInputsWhileResultsOfEarlierDaemonMayExist(t *testing.T) {
	b := batcher(testTarget("t1", "p", "z"))
	add(t, b, soleReaderJob("a", 2), soleReaderJob("b", 7))
	first := next(b, start)[0]
	if given := b.releaseInputs(start.Add(first.Expected/2), first); len(given) != 0 {
		t.Errorf("released %v although there may be no room for the results", given)
	}
	later := start.Add(batchSpec.ResultLifetime)
	b.CallDone(later, first, results(first))
	second := next(b, later)[0]
	if given := b.releaseInputs(later, second); len(given) != 1 {
		t.Errorf("released %v, want the inputs of one shard: all results made for an earlier daemon have expired", given)
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
	if given := b.releaseInputs(late, second[0]); len(given) != 0 {
		t.Errorf("released: %v", given)
	}
	if ends := b.CallFailed(late, first, false); len(ends) != 0 {
		t.Errorf("ends %+v although the second call is in progress", ends)
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
			ends, _ := b.CallDone(start, c, []ItemResult{{Handle: "h"}, {Outcome: proto.PiecesNoRoom}})
			return ends
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
			ends := s.end(b, c)
			if len(ends) != 1 || ends[0].Answer.Outcome != proto.PiecesLost || !ends[0].Answer.InputsFreed {
				t.Errorf("ends %+v, want the job lost with its inputs freed, so that the stages of the request are repeated", ends)
			}
		})
	}
}
