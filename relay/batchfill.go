package relay

import (
	"math"
	"time"
)

// fill makes one call from the jobs whose turn it is, or returns nil.
func (b *Batcher) fill(now time.Time) *Call {
	idle, inService := b.idle(now)
	if idle == 0 {
		return nil
	}
	keepsLast := b.keepsLast(idle, inService)
	for _, j := range b.jobs {
		if j.left() == 0 || j.done || keepsLast && b.canWait(now, j) {
			continue
		}
		t := b.targetFor(now, j)
		if t == nil {
			continue
		}
		return b.load(now, t, j)
	}
	return nil
}

// idle counts the targets that can take a call now, and those in service.
func (b *Batcher) idle(now time.Time) (idle, inService int) {
	for _, t := range b.targets {
		if t.spec.Leaving || b.isOut(now, t) {
			continue
		}
		inService++
		if t.call == nil {
			idle++
		}
	}
	return idle, inService
}

// keepsLast tells whether one target is left idle, and what waits does not fill a call: a call for a few pieces takes
// nearly as long as a full one, and what is urgent would wait for its end.
func (b *Batcher) keepsLast(idle, inService int) bool {
	if inService < 2 || idle != 1 {
		return false
	}
	_, waiting := b.Queued()
	return waiting < b.spec.MaxPieces
}

// canWait tells whether a job that is not of the most urgent ones has time to wait for a call of others.
func (b *Batcher) canWait(now time.Time, j *Job) bool {
	return j.Params.Rank > 0 && j.Due.Sub(now) >= time.Duration(spareCalls*j.length)
}

// targetFor returns an idle target for a job: one in the zone of its inputs, or any once it has waited for that.
func (b *Batcher) targetFor(now time.Time, j *Job) *batchTarget {
	var best *batchTarget
	least := math.Inf(1)
	for _, t := range b.targets {
		if t.call != nil || t.spec.Leaving || b.isOut(now, t) || !j.Params.AllowedRegions.Allows(t.spec.Region) || !b.hasRoom(now, t, j, b.whole(j)) {
			continue
		}
		c := t.pace
		if t.spec.ID == j.exclude {
			c += 10
		}
		if b.crosses(t, j) {
			if now.Before(j.since.Add(b.patience(now, j))) {
				continue
			}
			c++
		}
		if c < least || c == least && t.spec.ID < best.spec.ID {
			best, least = t, c
		}
	}
	return best
}

// whole is how many of a job's pieces a target must have room for to begin with them: the results of a part would only
// take up room until the rest is made. Jobs that need much of a target's room may begin with any part, or they would
// wait for long.
func (b *Batcher) whole(j *Job) int {
	n := min(j.left(), b.spec.MaxPieces)
	if float64(n*j.Params.ResultBytes) > wholeRoom*float64(b.spec.MaxResultBytes) {
		return 1
	}
	return n
}

func (b *Batcher) crosses(t *batchTarget, j *Job) bool {
	return j.Params.Zone != "" && t.spec.Zone != j.Params.Zone
}

// patience is how long a job waits for a target in the zone of its inputs, if there is one in service.
func (b *Batcher) patience(now time.Time, j *Job) time.Duration {
	for _, t := range b.targets {
		if !b.crosses(t, j) && j.Params.AllowedRegions.Allows(t.spec.Region) && !t.spec.Leaving && !b.isOut(now, t) {
			return max(0, min(time.Duration(crossCalls*b.fullCall(j.Params.ResultBytes)), j.Due.Sub(now)/4))
		}
	}
	return 0
}

func (b *Batcher) load(now time.Time, t *batchTarget, first *Job) *Call {
	c := &Call{Target: t.spec, StartedAt: now, BaseTime: b.spec.CallCost}
	t.call = c
	b.countSend(now, t)
	b.take(now, t, c, first)
	if first.alone {
		c.Expected = b.expected(c, t)
		return c
	}
	// Jobs of the target's own zone go before those whose inputs would cross zones.
	for _, own := range []bool{true, false} {
		for _, j := range b.jobs {
			if len(c.Items) >= b.spec.MaxPieces {
				break
			}
			if j.left() > 0 && !j.done && b.crosses(t, j) != own && b.mayFill(now, c, t, j, own) {
				b.take(now, t, c, j)
			}
		}
	}
	c.Expected = b.expected(c, t)
	return c
}

// expected is how long a call should take.
func (b *Batcher) expected(c *Call, t *batchTarget) time.Duration {
	return time.Duration(b.model.times.sum(contents(c, nil)) * t.pace)
}

// mayFill keeps the pieces of a job together where they fit into a call, since their results are needed together.
func (b *Batcher) mayFill(now time.Time, c *Call, t *batchTarget, j *Job, own bool) bool {
	if j.alone || !j.Params.AllowedRegions.Allows(t.spec.Region) || !own && now.Before(j.since.Add(b.patience(now, j))) {
		return false
	}
	free := b.spec.MaxPieces - len(c.Items)
	return (j.left() <= free || j.left() > b.spec.MaxPieces) && b.hasRoom(now, t, j, min(free, j.left()))
}

func (b *Batcher) take(now time.Time, t *batchTarget, c *Call, j *Job) {
	for len(c.Items) < b.spec.MaxPieces && j.left() > 0 && b.hasRoom(now, t, j, 1) {
		c.Items = append(c.Items, CallItem{Job: j, Piece: j.todo[0]})
		t.room += int64(j.Params.ResultBytes)
		j.todo = j.todo[1:]
	}
}
