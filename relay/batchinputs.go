package relay

import (
	"time"

	"emberlead/proto"
)

// fetched returns the inputs of a call in progress that nothing else will read, by the shard that made them. The target
// has fetched them by now, and the previous pool needs the storage that they occupy. Inputs are kept if the target may
// have no room for some results, as these are then made again.
func (b *Batcher) fetched(now time.Time, c *Call) map[shard][]string {
	t := b.targets[c.Target.ID]
	if t == nil || t.call != c || b.roomInDoubt(now, t) {
		return nil
	}
	given := map[shard][]string{}
	for _, item := range c.Items {
		if j := item.Job; j.readsLast() {
			j.inputsFreed = true
			of := shard{j.Params.InputPool, j.Params.InputShard}
			given[of] = append(given[of], j.Params.Inputs...)
		}
	}
	return given
}

// roomInDoubt reports whether a target may hold results unknown to this daemon: it was found to recently, or the
// results were made for a daemon that batched for the pool before this one. If all daemons crash together, nine in ten
// of the inputs that would be released too early would be released in the seconds after that.
func (b *Batcher) roomInDoubt(now time.Time, t *batchTarget) bool {
	return b.spec.MaxResultBytes > 0 && (now.Sub(t.hiddenAt) < b.spec.ResultLifetime || now.Sub(b.began) < b.spec.ResultLifetime)
}

// readsLast reports whether all pieces of a job are being made for the first time and nothing else reads its inputs.
func (j *Job) readsLast() bool {
	return !j.done && !j.inputsFreed && j.left() == 0 && j.exclude == "" && j.Params.InputPool != ""
}

// withoutInputs ends a job with a piece that would have to be made again.
func (b *Batcher) withoutInputs(j *Job) FinishedJob {
	return b.end(j, proto.PiecesAnswer{Outcome: proto.PiecesLost, Detail: "a piece has to be made again, and its inputs were given up"})
}
