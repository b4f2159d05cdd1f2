package relay

import (
	"math"
	"time"
)

// nextCall builds a call from the first jobs of the queue that can start, or returns nil.
func (b *Batcher) nextCall(now time.Time) *Call {
	idle, inService := b.countIdle(now)
	if idle == 0 {
		return nil
	}
	reservesLastTarget := b.reservesLastTarget(idle, inService)
	for _, j := range b.jobs {
		if j.pendingCount() == 0 || j.done || reservesLastTarget && b.canWait(now, j) {
			continue
		}
		t := b.chooseTarget(now, j)
		if t == nil {
			continue
		}
		return b.buildCall(now, t, j)
	}
	return nil
}

// countIdle counts the targets that can take a call now and the targets in service.
func (b *Batcher) countIdle(now time.Time) (idle, inService int) {
	for _, t := range b.targets {
		if t.spec.Leaving || b.isSkipped(now, t) {
			continue
		}
		inService++
		if t.call == nil {
			idle++
		}
	}
	return idle, inService
}

// reservesLastTarget reports whether only one target is idle and the queue does not fill a call: a call with few pieces
// takes nearly as long as a full one, and urgent work would have to wait for it.
func (b *Batcher) reservesLastTarget(idle, inService int) bool {
	if inService < 2 || idle != 1 {
		return false
	}
	_, waiting := b.Queued()
	return waiting < b.spec.MaxPieces
}

// canWait reports whether a job of a lower priority has time to wait for another call.
func (b *Batcher) canWait(now time.Time, j *Job) bool {
	return j.Params.Rank > 0 && j.Due.Sub(now) >= time.Duration(minSpareCalls*j.callTime)
}

// chooseTarget returns an idle target for a job: one in the zone of its inputs, or any once the job has waited long enough.
func (b *Batcher) chooseTarget(now time.Time, j *Job) *batchTarget {
	var best *batchTarget
	lowestCost := math.Inf(1)
	for _, t := range b.targets {
		if t.call != nil || t.spec.Leaving || b.isSkipped(now, t) || !j.Params.AllowedRegions.Allows(t.spec.Region) || !b.hasRoom(now, t, j, b.requiredPieces(j)) {
			continue
		}
		cost := t.slowdown
		if b.shouldRemeasure(now, t, j) {
			cost = 0
		}
		if t.spec.ID == j.avoidTarget {
			cost += 10
		}
		if b.crossesZones(t, j) {
			if now.Before(j.queuedAt.Add(b.zoneWait(now, j))) {
				continue
			}
			cost++
		}
		if cost < lowestCost || cost == lowestCost && t.spec.ID < best.spec.ID {
			best, lowestCost = t, cost
		}
	}
	return best
}

// shouldRemeasure reports whether a target that was called before, but not for a while, should get a job that has the time for it.
// Otherwise one that is faster and mostly idle would get all calls, and the pool would never learn that others have recovered.
func (b *Batcher) shouldRemeasure(now time.Time, t *batchTarget, j *Job) bool {
	if t.calledAt.IsZero() || now.Sub(t.calledAt) < remeasureInterval {
		return false
	}
	return j.Due.Sub(now) >= time.Duration(remeasureSlack*t.slowdown*j.callTime)
}

// requiredPieces returns for how many pieces of a job a target must have room before the job starts: the results of
// some would only occupy storage until the others are made. Jobs that need a large part of the storage may start with
// any number, or they would wait too long.
func (b *Batcher) requiredPieces(j *Job) int {
	n := min(j.pendingCount(), b.spec.MaxPieces)
	if float64(n*j.Params.ResultBytes) > maxWholeJobShare*float64(b.spec.MaxResultBytes) {
		return 1
	}
	return n
}

func (b *Batcher) crossesZones(t *batchTarget, j *Job) bool {
	return j.Params.Zone != "" && t.spec.Zone != j.Params.Zone
}

// zoneWait returns how long a job waits for a target in the zone of its inputs, if there is one in service.
func (b *Batcher) zoneWait(now time.Time, j *Job) time.Duration {
	for _, t := range b.targets {
		if !b.crossesZones(t, j) && j.Params.AllowedRegions.Allows(t.spec.Region) && !t.spec.Leaving && !b.isSkipped(now, t) {
			return max(0, min(time.Duration(zoneWaitCalls*b.fullCall(j.Params.ResultBytes)), j.Due.Sub(now)/4))
		}
	}
	return 0
}

func (b *Batcher) buildCall(now time.Time, t *batchTarget, first *Job) *Call {
	c := &Call{Target: t.spec, StartedAt: now, BaseTime: b.spec.CallCost}
	t.call, t.calledAt = c, now
	b.countSend(now, t)
	b.addPieces(now, t, c, first)
	if first.separate {
		c.Expected = b.expectedTime(c, t)
		return c
	}
	// Jobs with inputs in the target's zone come before those whose inputs would cross zones.
	for _, sameZone := range []bool{true, false} {
		for _, j := range b.jobs {
			if len(c.Items) >= b.spec.MaxPieces {
				break
			}
			if j.pendingCount() > 0 && !j.done && b.crossesZones(t, j) != sameZone && b.mayAdd(now, c, t, j, sameZone) {
				b.addPieces(now, t, c, j)
			}
		}
	}
	c.Expected = b.expectedTime(c, t)
	return c
}

// expectedTime returns the expected time of a call.
func (b *Batcher) expectedTime(c *Call, t *batchTarget) time.Duration {
	return time.Duration(b.model.times.sum(callComponents(c, nil)) * t.slowdown)
}

// mayAdd reports whether pieces of a job may be added to a call. Pieces that fit into one call are not split, since
// their results are needed together.
func (b *Batcher) mayAdd(now time.Time, c *Call, t *batchTarget, j *Job, sameZone bool) bool {
	if j.separate || !j.Params.AllowedRegions.Allows(t.spec.Region) || !sameZone && now.Before(j.queuedAt.Add(b.zoneWait(now, j))) {
		return false
	}
	free := b.spec.MaxPieces - len(c.Items)
	return (j.pendingCount() <= free || j.pendingCount() > b.spec.MaxPieces) && b.hasRoom(now, t, j, min(free, j.pendingCount()))
}

func (b *Batcher) addPieces(now time.Time, t *batchTarget, c *Call, j *Job) {
	for len(c.Items) < b.spec.MaxPieces && j.pendingCount() > 0 && b.hasRoom(now, t, j, 1) {
		c.Items = append(c.Items, CallItem{Job: j, Piece: j.pending[0]})
		t.usedBytes += int64(j.Params.ResultBytes)
		j.pending = j.pending[1:]
	}
}
