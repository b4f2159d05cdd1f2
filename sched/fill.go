package sched

import (
	"math"
	"slices"
)

// minShareStep is the fraction of a demand, and the amount of work, that counts as nothing.
const minShareStep = 1e-9

// claim is the demand of a class in the division of the rates.
type claim struct {
	rank int
	// group is what shares within a rank are divided between: a workspace.
	group string
	// demand and admitted are requests per second, and costs the work of a request in each pool.
	demand, admitted float64
	costs            []float64
	// measure is what a request costs relative to the rate of the tightest of its pools.
	measure float64
	// tightest is the index of that pool; -1 if none limits the class.
	tightest int
}

func (c *claim) remaining() float64 { return c.demand - c.admitted }

// divide sets how many requests per second of each claim are admitted at the given rates of the pools. More urgent ranks
// come first, apart from a floor for each rank. Within a rank the groups get equal parts by cost, or all that they demand.
func divide(claims []*claim, rates []float64) {
	ranks := 0
	for _, c := range claims {
		ranks = max(ranks, c.rank+1)
	}
	demand := rankDemand(claims, len(rates), ranks)
	setTightest(claims, rates, demand)
	reserved := floorWork(demand, rates)
	left := slices.Clone(rates)
	for p := range left {
		for rank := range ranks {
			left[p] -= reserved[p][rank]
		}
	}
	byRank := make([][]*claim, ranks)
	for _, c := range claims {
		byRank[c.rank] = append(byRank[c.rank], c)
	}
	for rank, own := range byRank {
		for p := range left {
			left[p] += reserved[p][rank]
		}
		fill(own, left)
	}
	// Floors that a rank cannot use, because another pool limits it more, go to the others.
	for _, own := range byRank {
		fill(own, left)
	}
}

// rankDemand returns the demanded work per second by pool and rank.
func rankDemand(claims []*claim, pools, ranks int) [][]float64 {
	demand := make([][]float64, pools)
	for p := range demand {
		demand[p] = make([]float64, ranks)
		for _, c := range claims {
			demand[p][c.rank] += c.demand * c.costs[p]
		}
	}
	return demand
}

// floorWork returns the work per second that each pool reserves for each rank.
func floorWork(demand [][]float64, rates []float64) [][]float64 {
	reserved := make([][]float64, len(rates))
	for p, rate := range rates {
		reserved[p] = make([]float64, len(demand[p]))
		total := sum(demand[p])
		if total <= rate || total == 0 {
			copy(reserved[p], demand[p])
			continue
		}
		for rank, floor := range RankFloors(demand[p], rate) {
			reserved[p][rank] = floor * demand[p][rank]
		}
	}
	return reserved
}

func sum(values []float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total
}

// setTightest finds the pool of each claim whose demand is largest relative to its rate.
func setTightest(claims []*claim, rates []float64, demand [][]float64) {
	pressure := make([]float64, len(rates))
	for p, rate := range rates {
		pressure[p] = sum(demand[p]) / max(rate, minShareStep)
	}
	for _, c := range claims {
		c.tightest, c.measure = -1, 0
		for p, cost := range c.costs {
			if cost > 0 && !math.IsInf(rates[p], 1) && (c.tightest < 0 || pressure[p] > pressure[c.tightest]) {
				c.tightest, c.measure = p, cost/max(rates[p], minShareStep)
			}
		}
	}
}

// fill raises the admitted requests of the claims until each is satisfied or one of its pools has nothing left.
func fill(claims []*claim, left []float64) {
	// Each step satisfies a claim or exhausts a pool.
	for range len(claims) + len(left) + 1 {
		active := openClaims(claims, left)
		if len(active) == 0 {
			return
		}
		raise(active, left)
	}
}

// openClaims returns the claims that can still be raised. Those that no pool limits are satisfied at once.
func openClaims(claims []*claim, left []float64) []*claim {
	var open []*claim
	for _, c := range claims {
		if c.tightest < 0 {
			c.admitted = c.demand
		}
		if c.remaining() > minShareStep*c.demand && !exhausted(c, left) {
			open = append(open, c)
		}
	}
	return open
}

func exhausted(c *claim, left []float64) bool {
	for p, cost := range c.costs {
		if cost > 0 && left[p] <= minShareStep {
			return true
		}
	}
	return false
}

// raise raises the groups by equal costs in their tightest pools until one of the claims is satisfied or a pool has nothing
// left. The claims of a group rise by equal fractions of their demands.
func raise(active []*claim, left []float64) {
	weights := map[string]float64{}
	for _, c := range active {
		weights[c.group] += c.demand * c.measure
	}
	step, use := math.Inf(1), make([]float64, len(left))
	for _, c := range active {
		speed := c.demand / weights[c.group]
		step = min(step, c.remaining()/speed)
		for p, cost := range c.costs {
			use[p] += speed * cost
		}
	}
	for p, rate := range use {
		if rate > 0 {
			step = min(step, left[p]/rate)
		}
	}
	for _, c := range active {
		c.admitted += step * c.demand / weights[c.group]
	}
	for p := range left {
		if use[p] > 0 {
			left[p] = max(0, left[p]-step*use[p])
		}
	}
}
