package relay

import (
	"slices"
	"time"

	"emberlead/proto"
)

// Figures of what is learnt of a pool's calls.
const (
	// callLearn is the part of a call's error that its estimates take over at once. A call tells of two or three figures
	// together; with a fifth, a figure that the configuration states at half its value is off by under a tenth after
	// twenty calls, which a busy pool makes within two seconds, and a call that took twice its time shifts the next
	// one's by a fifth.
	callLearn = 0.2
	// callSpread is by how much an estimate may leave the configuration's figure, either way, as a factor: a pool that
	// is off by more has targets that fail, which leaving them out sees to.
	callSpread = 8
	// callOdd is the factor from which a call is an outlier: one that meets another daemon's call at its target takes
	// about twice its time, and says nothing of the pool.
	callOdd = 2
	// paceWeight is the weight of the newest call in a target's pace: a target that works five times as slowly as the
	// others shows as three times as slow after two calls.
	paceWeight = 0.3
	// paceFloor and paceCeiling bound a target's pace against its pool's, so that no single call takes it out for long.
	paceFloor, paceCeiling = 0.3, 8
)

// theCall is the call itself among the things that take time in it; the others are sizes of results.
const theCall = -1

// callModel is what is learnt of how long the calls of one pool take, in nanoseconds: a time for each call and one for
// each piece, by the size of its result, since that tells stages apart. It starts from the configuration's figures.
type callModel struct {
	spec  proto.BatchSpec
	times linear[int]
}

func newCallModel(spec proto.BatchSpec) *callModel {
	m := &callModel{spec: spec}
	m.times = linear[int]{prior: m.stated, learn: callLearn, odd: callOdd, spread: callSpread}
	return m
}

// stated is the configuration's figure; one that it leaves out is taken as a millisecond.
func (m *callModel) stated(key int) float64 {
	if key == theCall {
		return max(float64(time.Millisecond), float64(m.spec.CallCost))
	}
	return max(float64(time.Millisecond), float64(m.spec.PieceCost))
}

// respec takes over a changed description; what was learnt stays if its figures are the same.
func (m *callModel) respec(spec proto.BatchSpec) {
	if spec.CallCost != m.spec.CallCost || spec.PieceCost != m.spec.PieceCost {
		m.times.value = nil
	}
	m.spec = spec
}

// callCost is the time that a call takes beside its pieces, and pieceCost what a piece with such a result adds.
func (m *callModel) callCost() float64           { return m.times.of(theCall) }
func (m *callModel) pieceCost(bytes int) float64 { return m.times.of(bytes) }

// contents counts the pieces of a call that are made, by the size of their results, and the call itself. Those that
// were refused for want of room or inputs took no time; without results all are taken to be made.
func contents(c *Call, results []ItemResult) map[int]float64 {
	amounts := map[int]float64{}
	for i, item := range c.Items {
		if results == nil || results[i].Handle != "" {
			amounts[item.Job.Params.ResultBytes]++
		}
	}
	if len(amounts) > 0 {
		amounts[theCall] = 1
	}
	return amounts
}

// learn takes in how long a call took, for its target and for the pool.
func (b *Batcher) learn(t *batchTarget, c *Call, results []ItemResult, took time.Duration) {
	amounts := contents(c, results)
	if t == nil || len(amounts) == 0 {
		return
	}
	t.inRow = 0
	ratio := float64(took) / b.model.times.sum(amounts)
	t.pace = min(paceCeiling, max(paceFloor, t.pace+paceWeight*(ratio-t.pace)))
	// What all targets have in common is the pool's own time, so a target counts against the middle one.
	b.model.times.observe(amounts, float64(took)/(t.pace/b.usualPace()))
}

// usualPace is the pace of the middle one of the targets; without any, as when the last one left during a call, it is 1.
func (b *Batcher) usualPace() float64 {
	if len(b.targets) == 0 {
		return 1
	}
	paces := make([]float64, 0, len(b.targets))
	for _, t := range b.targets {
		paces = append(paces, t.pace)
	}
	slices.Sort(paces)
	return paces[len(paces)/2]
}
