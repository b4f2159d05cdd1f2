package core

import (
	"fmt"
	"testing"
	"time"

	"emberlead/proto"
)

// place runs rounds of placement with targets that obey at once. It updates assigned and returns the number of changes.
func place(p *Placement, pool *proto.Pool, assigned map[string][]string, from time.Time, rounds int, demand func(round int) map[string]time.Duration) int {
	moved := 0
	for round := range rounds {
		for target, models := range p.Place(from.Add(time.Duration(round)*2*time.Second), pool, demand(round), assigned) {
			assigned[target] = models
			moved++
		}
	}
	return moved
}

func countModel(assigned map[string][]string, model string) int {
	n := 0
	for _, models := range assigned {
		if len(models) == 1 && models[0] == model {
			n++
		}
	}
	return n
}

func TestPlacement(t *testing.T) {
	pool := &proto.Pool{Name: "generate", Models: []string{"small", "large"}}
	even := func(int) map[string]time.Duration {
		return map[string]time.Duration{"small": time.Second, "large": time.Second}
	}
	shifted := func(int) map[string]time.Duration {
		return map[string]time.Duration{"small": 100 * time.Millisecond, "large": 1900 * time.Millisecond}
	}
	spiky := func(round int) map[string]time.Duration {
		if round%2 == 0 {
			return map[string]time.Duration{"small": 2 * time.Second}
		}
		return map[string]time.Duration{"large": 2 * time.Second}
	}
	scenarios := []struct {
		name               string
		demand             func(int) map[string]time.Duration
		rounds             int
		minLarge           int
		maxLarge, maxMoves int
	}{
		{"even demand causes no reassignment", even, 60, 4, 4, 0},
		{"a lasting shift is followed, but each model keeps a target", shifted, 60, 7, 7, 3},
		{"a shift is followed only after the hold time", shifted, 5, 4, 4, 0},
		{"a shift is followed at the rate of the weight store", shifted, 6, 5, 6, 2},
		{"alternating demand does not move targets back and forth", spiky, 60, 3, 5, 1},
		{"no demand causes no reassignment", func(int) map[string]time.Duration { return nil }, 60, 4, 4, 0},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			p := NewPlacement(DefaultPlacementTuning())
			assigned := map[string][]string{}
			for i := range 8 {
				assigned[fmt.Sprintf("t-%d", i)] = []string{pool.Models[i%2]}
			}
			now := time.Unix(1_700_000_000, 0)
			moved := place(p, pool, assigned, now, scenario.rounds, scenario.demand)
			if n := countModel(assigned, "large"); n < scenario.minLarge || n > scenario.maxLarge || moved > scenario.maxMoves {
				t.Fatalf("%d targets have the large model after %d reassignments", n, moved)
			}
		})
	}
}

// Targets that hold several models or none are assigned one model each, evenly.
func TestPlacementAssignsUnassignedTargets(t *testing.T) {
	pool := &proto.Pool{Name: "generate", Models: []string{"a", "b"}}
	assigned := map[string][]string{"t-1": {"a", "b"}, "t-2": {"a", "b"}, "t-3": nil, "t-4": {"other"}}
	place(NewPlacement(DefaultPlacementTuning()), pool, assigned, time.Unix(1_700_000_000, 0), 1, func(int) map[string]time.Duration { return nil })
	if countModel(assigned, "a") != 2 || countModel(assigned, "b") != 2 {
		t.Fatalf("%v", assigned)
	}
}
