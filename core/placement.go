package core

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"emberlead/proto"
	"emberlead/state"
)

// PlacementTuning holds the parameters of model placement.
type PlacementTuning struct {
	// HalfLife is the half-life of the demand that placement follows.
	HalfLife time.Duration
	// MinShortage is the shortage of a model, in targets, from which a target is reassigned.
	MinShortage float64
	// Hold is how long a model must be short without interruption.
	Hold time.Duration
	// Dwell is the minimum time that a target keeps its model.
	Dwell time.Duration
	// Rate is the number of targets that may change per second over all pools. It is bounded by the weight store.
	Rate float64
	// Burst is the number of targets that may change at once.
	Burst float64
}

// DefaultPlacementTuning returns parameters that follow a lasting change of load within a minute and ignore a spike.
func DefaultPlacementTuning() PlacementTuning {
	return PlacementTuning{HalfLife: 20 * time.Second, MinShortage: 0.6, Hold: 10 * time.Second, Dwell: time.Minute, Rate: 0.2, Burst: 2}
}

// Placement reassigns targets between models as demand shifts, with hysteresis.
type Placement struct {
	tuning     PlacementTuning
	demand     map[string]map[string]*state.DecayingSum
	changedAt  map[string]time.Time
	shortages  map[string]shortage // by pool
	tokens     float64
	refilledAt time.Time
}

// shortage is the model that a pool lacks most, and since when.
type shortage struct {
	model string
	since time.Time
}

// NewPlacement returns a placement without any demand history.
func NewPlacement(tuning PlacementTuning) *Placement {
	return &Placement{tuning: tuning, demand: map[string]map[string]*state.DecayingSum{}, changedAt: map[string]time.Time{}, shortages: map[string]shortage{}, tokens: tuning.Burst}
}

func (p *Placement) updateDemand(now time.Time, pool string, demand map[string]time.Duration) map[string]float64 {
	known := p.demand[pool]
	if known == nil {
		known = map[string]*state.DecayingSum{}
		p.demand[pool] = known
	}
	for model, spent := range demand {
		if known[model] == nil {
			known[model] = &state.DecayingSum{}
		}
		known[model].Add(now, p.tuning.HalfLife, spent.Seconds())
	}
	levels := map[string]float64{}
	for model, d := range known {
		levels[model] = d.Value(now, p.tuning.HalfLife)
	}
	return levels
}

// Place returns the targets to reassign, with their new models. Every model of the pool keeps at least one target.
func (p *Placement) Place(now time.Time, pool *proto.Pool, demand map[string]time.Duration, current map[string][]string) map[string][]string {
	levels := p.updateDemand(now, pool.Name, demand)
	p.refill(now)
	changes := map[string][]string{}
	byModel := p.assign(pool, current, changes)
	total := 0.0
	for _, model := range pool.Models {
		total += levels[model]
	}
	if total == 0 {
		return changes
	}
	share := func(model string) float64 {
		return max(1, levels[model]/total*float64(len(current)))
	}
	for p.tokens >= 1 {
		short, surplus := p.extremes(pool.Models, byModel, share)
		isShort := short != "" && surplus != "" && share(short)-float64(len(byModel[short])) >= p.tuning.MinShortage
		if !p.persists(now, pool.Name, short, isShort) {
			return changes
		}
		target := p.movable(now, byModel[surplus])
		if target == "" {
			return changes
		}
		p.move(now, target, short, surplus, byModel, changes)
	}
	return changes
}

// persists reports whether the pool has lacked the same model for long enough.
func (p *Placement) persists(now time.Time, pool, model string, isShort bool) bool {
	if !isShort {
		delete(p.shortages, pool)
		return false
	}
	if p.shortages[pool].model != model {
		p.shortages[pool] = shortage{model: model, since: now}
	}
	return now.Sub(p.shortages[pool].since) >= p.tuning.Hold
}

func (p *Placement) refill(now time.Time) {
	if !p.refilledAt.IsZero() {
		p.tokens = min(p.tuning.Burst, p.tokens+p.tuning.Rate*now.Sub(p.refilledAt).Seconds())
	}
	p.refilledAt = now
}

// assign groups the targets by model. A target that holds several models or none is assigned at once to the model with
// the fewest targets.
func (p *Placement) assign(pool *proto.Pool, current map[string][]string, changes map[string][]string) map[string][]string {
	byModel := map[string][]string{}
	for _, name := range slices.Sorted(maps.Keys(current)) {
		models := current[name]
		if len(models) == 1 && slices.Contains(pool.Models, models[0]) {
			byModel[models[0]] = append(byModel[models[0]], name)
			continue
		}
		least := slices.MinFunc(pool.Models, func(a, b string) int { return cmp.Compare(len(byModel[a]), len(byModel[b])) })
		byModel[least] = append(byModel[least], name)
		changes[name] = []string{least}
	}
	return byModel
}

// extremes returns the model with the largest shortage and the model with the largest surplus.
func (p *Placement) extremes(models []string, byModel map[string][]string, share func(string) float64) (short, surplus string) {
	maxShortage, maxSurplus := 0.0, 0.0
	for _, model := range models {
		gap := share(model) - float64(len(byModel[model]))
		if gap > maxShortage {
			short, maxShortage = model, gap
		}
		if -gap > maxSurplus && len(byModel[model]) > 1 {
			surplus, maxSurplus = model, -gap
		}
	}
	return short, surplus
}

func (p *Placement) movable(now time.Time, targets []string) string {
	for _, target := range targets {
		if at, ok := p.changedAt[target]; !ok || now.Sub(at) >= p.tuning.Dwell {
			return target
		}
	}
	return ""
}

func (p *Placement) move(now time.Time, target, to, from string, byModel map[string][]string, changes map[string][]string) {
	p.tokens--
	p.changedAt[target] = now
	byModel[from] = slices.DeleteFunc(byModel[from], func(name string) bool { return name == target })
	byModel[to] = append(byModel[to], target)
	changes[target] = []string{to}
}
