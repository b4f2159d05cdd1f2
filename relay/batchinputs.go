package relay

import (
	"time"

	"emberlead/proto"
)

// fetched returns the inputs of a call under way that nothing else will read, by the shards whose results they are; its
// target has fetched them by now. The room that they take up is what the pool before this one waits for. Where the target may
// have no room for some results, which are then made again, inputs are kept.
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

// roomInDoubt tells whether a target may keep results of which this daemon does not know: it did so a while ago, or has
// them from a daemon that batched for the pool before this one. When all daemons die together, nine in ten of the inputs
// that are given up too soon would be given up in the seconds after that.
func (b *Batcher) roomInDoubt(now time.Time, t *batchTarget) bool {
	return b.spec.MaxResultBytes > 0 && (now.Sub(t.hiddenAt) < b.spec.ResultLifetime || now.Sub(b.began) < b.spec.ResultLifetime)
}

// readsLast tells whether all pieces of a job are being made for the first time and nothing else reads its inputs.
func (j *Job) readsLast() bool {
	return !j.done && !j.inputsFreed && j.left() == 0 && j.exclude == "" && j.Params.InputPool != ""
}

// withoutInputs ends a job of which a piece would have to be made again.
func (b *Batcher) withoutInputs(j *Job) FinishedJob {
	return b.end(j, proto.PiecesAnswer{Outcome: proto.PiecesLost, Detail: "a piece has to be made again, and its inputs were given up"})
}
