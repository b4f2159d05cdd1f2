package relay

import (
	"slices"
	"time"

	"emberlead/proto"
)

// Parameters of the model of call times.
const (
	// callLearningRate is the fraction of a call's prediction error that its two or three estimates adopt at once. With a fifth, an
	// estimate that the configuration states at half its value is off by less than a tenth after twenty calls, which a busy pool makes
	// within two seconds, and a call that took twice its expected time moves the next prediction by a fifth.
	callLearningRate = 0.2
	// maxCallDeviation is the factor by which an estimate may differ from the configured value, either way. Targets of
	// a pool that is off by more fail their calls, and are then skipped for a while.
	maxCallDeviation = 8
	// callOutlierFactor is the factor from which a call is an outlier: one that meets another daemon's call at its
	// target takes about twice its time, which says nothing about the pool.
	callOutlierFactor = 2
	// callSlowdownWeight is the weight of the latest call in a target's slowdown: one that is five times as slow as the
	// others shows as three times as slow after two calls.
	callSlowdownWeight = 0.3
	// minCallSlowdown and maxCallSlowdown bound a target's slowdown relative to its pool, so that no call excludes it for long.
	minCallSlowdown, maxCallSlowdown = 0.3, 8
)

// fixedCallCost is the key of the fixed time of a call. The other keys are the sizes of results.
const fixedCallCost = -1

// callModel estimates how long the calls of a pool take, in nanoseconds: a fixed time per call, and a time per piece by
// the size of its result, which distinguishes the stages. The configured values are the initial estimates.
type callModel struct {
	spec  proto.BatchSpec
	times additiveModel[int]
}

func newCallModel(spec proto.BatchSpec) *callModel {
	m := &callModel{spec: spec}
	m.times = additiveModel[int]{prior: m.configured, learningRate: callLearningRate, outlierFactor: callOutlierFactor, maxDeviation: maxCallDeviation}
	return m
}

// configured returns the configured value, or a millisecond if there is none.
func (m *callModel) configured(key int) float64 {
	if key == fixedCallCost {
		return max(float64(time.Millisecond), float64(m.spec.CallCost))
	}
	return max(float64(time.Millisecond), float64(m.spec.PieceCost))
}

// updateSpec replaces the pool specification. Estimates are kept if the configured times are the same.
func (m *callModel) updateSpec(spec proto.BatchSpec) {
	if spec.CallCost != m.spec.CallCost || spec.PieceCost != m.spec.PieceCost {
		m.times.values = nil
	}
	m.spec = spec
}

// callCost returns the fixed time of a call, and pieceCost the time that a piece with a result of a size adds.
func (m *callModel) callCost() float64           { return m.times.estimate(fixedCallCost) }
func (m *callModel) pieceCost(bytes int) float64 { return m.times.estimate(bytes) }

// callComponents counts the call itself and its pieces that were made, by the size of their results. Pieces refused for
// lack of room or inputs took no time. Without results all pieces count.
func callComponents(c *Call, results []ItemResult) map[int]float64 {
	amounts := map[int]float64{}
	for i, item := range c.Items {
		if results == nil || results[i].Handle != "" {
			amounts[item.Job.Params.ResultBytes]++
		}
	}
	if len(amounts) > 0 {
		amounts[fixedCallCost] = 1
	}
	return amounts
}

// recordCallTime updates the estimates of the target and of the pool with the time of a call.
func (b *Batcher) recordCallTime(t *batchTarget, c *Call, results []ItemResult, took time.Duration) {
	amounts := callComponents(c, results)
	if t == nil || len(amounts) == 0 {
		return
	}
	t.consecutiveFailures = 0
	ratio := float64(took) / b.model.times.sum(amounts)
	t.slowdown = min(maxCallSlowdown, max(minCallSlowdown, t.slowdown+callSlowdownWeight*(ratio-t.slowdown)))
	// A delay that all targets share is a property of the pool, so the slowdown of a target is relative to the median.
	b.model.times.observe(amounts, float64(took)/(t.slowdown/b.medianSlowdown()))
}

// medianSlowdown returns the median slowdown of the targets; 1 without any, as when the last one left during a call.
func (b *Batcher) medianSlowdown() float64 {
	if len(b.targets) == 0 {
		return 1
	}
	slowdowns := make([]float64, 0, len(b.targets))
	for _, t := range b.targets {
		slowdowns = append(slowdowns, t.slowdown)
	}
	slices.Sort(slowdowns)
	return slowdowns[len(slowdowns)/2]
}
