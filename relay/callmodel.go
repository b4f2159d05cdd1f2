package relay

import (
	"slices"
	"time"

	"emberlead/proto"
)

// Figures of what is learnt of a pool's calls.
const (
	// callLearn is the part of a call's error that its estimates take over at once. A call tells of two or three figures
	// together; with a fifth the error of a figure that the configuration states at half its value is under a tenth
	// after twenty calls, which a busy pool makes within two seconds, and one call that was off by half shifts the
	// estimate of the next by a tenth.
	callLearn = 0.2
	// callSpread is by how much an estimate may leave the configuration's figure, either way, as a factor: a pool that
	// is off by more than that has targets that fail, which the ejection sees to.
	callSpread = 8
	// callOdd is the factor from which a call is an outlier and counts as one of that factor: a call that met another
	// daemon's at its target takes about twice its time, and says nothing of the pool.
	callOdd = 2
	// paceWeight is the weight of the newest call in a target's pace: a target that works five times as slowly as the
	// others shows as three times as slow after three calls, within a second.
	paceWeight = 0.3
	// paceFloor and paceCeiling bound a target's pace against its pool's, so that no single call takes it out for long.
	paceFloor, paceCeiling = 0.3, 8
)

// callModel is what is learnt of how long the calls of one pool take: a time for each call and one for each piece, by
// the size of its result, since that tells stages apart. It starts from the configuration's figures.
type callModel struct {
	spec  proto.BatchSpec
	call  float64 // nanoseconds
	piece map[int]float64
}

func newCallModel(spec proto.BatchSpec) *callModel {
	return &callModel{spec: spec, call: float64(spec.CallCost), piece: map[int]float64{}}
}

// respec starts anew from a description whose figures changed.
func (m *callModel) respec(spec proto.BatchSpec) {
	if spec.CallCost != m.spec.CallCost || spec.PieceCost != m.spec.PieceCost {
		*m = *newCallModel(spec)
	}
	m.spec = spec
}

// pieceCost is the time that a piece with a result of such a size adds to a call.
func (m *callModel) pieceCost(bytes int) float64 {
	if c, ok := m.piece[bytes]; ok {
		return c
	}
	return float64(m.spec.PieceCost)
}

// expected is the time of a call that makes such numbers of pieces, by the size of their results.
func (m *callModel) expected(made map[int]int) float64 {
	sum := m.call
	for bytes, n := range made {
		sum += float64(n) * m.pieceCost(bytes)
	}
	return sum
}

// learn takes in that a call took a time at a target of the pool's usual pace. The error is divided among the figures
// by what each contributed, so that one seen in many mixes settles whatever the others are (normalised least squares).
func (m *callModel) learn(made map[int]int, took float64) {
	plain := m.expected(made)
	if plain <= 0 {
		return
	}
	took = min(callOdd*plain, max(plain/callOdd, took))
	square := m.call * m.call
	for bytes, n := range made {
		part := float64(n) * m.pieceCost(bytes)
		square += part * part
	}
	step := callLearn * (took - plain) / square
	for bytes, n := range made {
		cost := m.pieceCost(bytes)
		m.piece[bytes] = bounded(cost*(1+step*float64(n)*cost), float64(m.spec.PieceCost))
	}
	m.call = bounded(m.call*(1+step*m.call), float64(m.spec.CallCost))
}

// bounded bounds an estimate by the figure that it started from.
func bounded(value, from float64) float64 { return min(callSpread*from, max(from/callSpread, value)) }

// made counts the pieces of a call that were made, by the size of their results. Those that were refused for want of
// room or inputs took no time.
func made(c *Call, results []ItemResult) map[int]int {
	count := map[int]int{}
	for i, item := range c.Items {
		if results == nil || results[i].Handle != "" {
			count[item.Job.Ask.Bytes]++
		}
	}
	return count
}

// median returns the middle one of some values, 1 without any.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 1
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// learn takes in how long a call took, for its target and for the pool.
func (b *Batcher) learn(t *batchTarget, c *Call, results []ItemResult, took time.Duration) {
	if t == nil {
		return
	}
	count := made(c, results)
	if len(count) == 0 {
		return
	}
	t.inRow = 0
	plain := b.model.expected(count)
	ratio := float64(took) / plain
	t.pace = min(paceCeiling, max(paceFloor, t.pace+paceWeight*(ratio-t.pace)))
	// What all targets have in common is the pool's own time, so a target counts against the middle one.
	b.model.learn(count, float64(took)/(t.pace/b.usualPace()))
}

// usualPace is the pace of the middle one of the targets.
func (b *Batcher) usualPace() float64 {
	paces := make([]float64, 0, len(b.targets))
	for _, t := range b.targets {
		paces = append(paces, t.pace)
	}
	return median(paces)
}
