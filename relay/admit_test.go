package relay

import (
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"emberlead/state"
)

// TestAdmissionSharesByRank lets several ranks request tokens at arbitrary rates, with an arbitrary rate at which
// engines read. The admitted rate must not exceed the latter, each rank must get a share, and no rank a larger one than
// a more urgent rank.
func TestAdmissionSharesByRank(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(1))
	properties.Property("divided by rank", prop.ForAll(func(tokens []float64, rate float64) bool {
		a := newAdmissionController()
		for _, n := range tokens {
			d := state.DecayingSum{}
			d.Add(start, rateHalfLife, n)
			a.demand = append(a.demand, d)
		}
		demand, total := a.currentDemand(start)
		admitted, before := 0.0, 1.0
		for rank := range demand {
			share := a.share(start, rate, rank)
			if share <= 0 || share > before+1e-9 || share > 1 {
				return false
			}
			admitted, before = admitted+share*demand[rank], share
		}
		return admitted <= max(rate, 0)*(1+1e-9) || total <= rate
	}, gen.SliceOfN(6, gen.Float64Range(1, 1e6)), gen.Float64Range(1, 3e6)))
	properties.TestingRun(t)
}

// TestAdmissionFloorsDecreaseByRank lets the most urgent rank request more than can be admitted. The shares of the
// others, which are at their floors, must decrease by rank.
func TestAdmissionFloorsDecreaseByRank(t *testing.T) {
	a := newAdmissionController()
	for range 4 {
		d := state.DecayingSum{}
		d.Add(start, rateHalfLife, 1e6)
		a.demand = append(a.demand, d)
	}
	now := start.Add(time.Millisecond)
	for rank := 2; rank < len(a.demand); rank++ {
		urgent, lessUrgent := a.share(now, 1e6, rank-1), a.share(now, 1e6, rank)
		if lessUrgent >= urgent || lessUrgent < urgent/2 {
			t.Errorf("rank %d has a share of %.3f, the next more urgent rank %.3f", rank, lessUrgent, urgent)
		}
	}
}
