package relay

import (
	"time"

	"emberlead/proto"
)

// releaseInputs returns the inputs of a call in progress that nothing else will read, by the shard that made them. The
// target has fetched them by now, and the previous pool needs their storage. Inputs are kept if the target may have no
// room for some results, which are then made again.
func (b *Batcher) releaseInputs(now time.Time, c *Call) map[shard][]string {
	t := b.targets[c.Target.ID]
	if t == nil || t.call != c || b.mayHoldUnknownResults(now, t) {
		return nil
	}
	released := map[shard][]string{}
	for _, item := range c.Items {
		if j := item.Job; j.isLastReader() {
			j.inputsFreed = true
			source := shard{j.Params.InputPool, j.Params.InputShard}
			released[source] = append(released[source], j.Params.Inputs...)
		}
	}
	return released
}

// mayHoldUnknownResults reports whether a target may hold results unknown to this daemon: it was found to recently, or
// may have them from a daemon that batched for the pool before. If all daemons crash together, nine in ten of the
// inputs that are released too early would be released in the seconds after that.
func (b *Batcher) mayHoldUnknownResults(now time.Time, t *batchTarget) bool {
	return b.spec.MaxResultBytes > 0 && (now.Sub(t.unknownSince) < b.spec.ResultLifetime || now.Sub(b.startedAt) < b.spec.ResultLifetime)
}

// isLastReader reports whether all pieces of a job are being made for the first time and nothing else reads its inputs.
func (j *Job) isLastReader() bool {
	return !j.done && !j.inputsFreed && j.pendingCount() == 0 && j.avoidTarget == "" && j.Params.InputPool != ""
}

// failWithoutInputs ends a job with a piece that would have to be made again.
func (b *Batcher) failWithoutInputs(j *Job) FinishedJob {
	return b.finishJob(j, proto.PiecesAnswer{Outcome: proto.PiecesLost, Detail: "a piece has to be made again, and its inputs were given up"})
}
