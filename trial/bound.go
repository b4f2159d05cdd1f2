package trial

import (
	"sort"
	"time"

	"emberlead/proto"
)

// work returns the slot time that a request of a service takes at a pool with all slots occupied.
func work(service *proto.Service, pool *proto.Pool, hit bool) time.Duration {
	sum := time.Duration(0)
	for i := range service.Stages {
		stage := &service.Stages[i]
		if stage.Pool == pool.Name {
			sum += profileOf(pool.Kind).full(tokensOf(pool.Kind, stage), hit)
		}
	}
	return sum
}

// capacity returns the rate, in requests per second of an even mix of services, that the tightest pool sustains without
// cache hits.
func capacity(file *proto.File) float64 {
	least := 0.0
	for i := range file.Pools {
		pool := &file.Pools[i]
		sum := time.Duration(0)
		for j := range file.Services {
			sum += work(&file.Services[j], pool, false)
		}
		if sum == 0 {
			continue
		}
		slots := float64(len(pool.Targets) * profileOf(pool.Kind).slots)
		rate := slots / (sum.Seconds() / float64(len(file.Services)))
		if least == 0 || rate < least {
			least = rate
		}
	}
	return least
}

// bound returns an upper bound on the number of requests that any scheduler could have delivered. It considers each
// pool by itself and assumes a scheduler that knows all arrivals, has every prefix cached, and serves the cheapest
// requests of a pool first.
func bound(file *proto.File, asked map[string]int, length time.Duration) int {
	total := 0
	for _, n := range asked {
		total += n
	}
	best := total
	for i := range file.Pools {
		best = min(best, poolBound(file, &file.Pools[i], asked, length))
	}
	return best
}

func poolBound(file *proto.File, pool *proto.Pool, asked map[string]int, length time.Duration) int {
	type kind struct {
		n    int
		work time.Duration
	}
	var kinds []kind
	for i := range file.Services {
		s := &file.Services[i]
		kinds = append(kinds, kind{asked[s.Name], work(s, pool, true)})
	}
	sort.Slice(kinds, func(i, j int) bool { return kinds[i].work < kinds[j].work })
	left := time.Duration(len(pool.Targets)*profileOf(pool.Kind).slots) * length
	served := 0
	for _, k := range kinds {
		if k.work == 0 {
			served += k.n
			continue
		}
		n := min(k.n, int(left/k.work))
		served += n
		left -= time.Duration(n) * k.work
	}
	return served
}
