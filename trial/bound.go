package trial

import (
	"sort"
	"time"

	"emberlead/proto"
)

// slotTime returns the slot time that a request of a service takes at a pool with all slots occupied.
func slotTime(service *proto.Service, pool *proto.Pool, hit bool) time.Duration {
	sum := time.Duration(0)
	for i := range service.Stages {
		stage := &service.Stages[i]
		if stage.Pool == pool.Name {
			sum += profileOf(pool.Kind).loadedDuration(tokensOf(pool.Kind, stage), hit)
		}
	}
	return sum
}

// capacity returns the rate, in requests per second of an even mix of services, that the tightest pool sustains without cache hits.
func capacity(file *proto.File) float64 {
	lowest := 0.0
	for i := range file.Pools {
		pool := &file.Pools[i]
		sum := time.Duration(0)
		for j := range file.Services {
			sum += slotTime(&file.Services[j], pool, false)
		}
		if sum == 0 {
			continue
		}
		slots := float64(len(pool.Targets) * profileOf(pool.Kind).slots)
		rate := slots / (sum.Seconds() / float64(len(file.Services)))
		if lowest == 0 || rate < lowest {
			lowest = rate
		}
	}
	return lowest
}

// deliveryBound returns an upper bound on the number of requests that any scheduler could have delivered. It considers each pool by
// itself and assumes a scheduler that knows all arrivals, has every prefix cached, and serves the cheapest requests of a pool first.
func deliveryBound(file *proto.File, requests map[string]int, duration time.Duration) int {
	total := 0
	for _, n := range requests {
		total += n
	}
	bound := total
	for i := range file.Pools {
		bound = min(bound, poolBound(file, &file.Pools[i], requests, duration))
	}
	return bound
}

func poolBound(file *proto.File, pool *proto.Pool, requests map[string]int, duration time.Duration) int {
	type serviceDemand struct {
		requests int
		slotTime time.Duration
	}
	var demands []serviceDemand
	for i := range file.Services {
		s := &file.Services[i]
		demands = append(demands, serviceDemand{requests[s.Name], slotTime(s, pool, true)})
	}
	sort.Slice(demands, func(i, j int) bool { return demands[i].slotTime < demands[j].slotTime })
	remaining := time.Duration(len(pool.Targets)*profileOf(pool.Kind).slots) * duration
	served := 0
	for _, demand := range demands {
		if demand.slotTime == 0 {
			served += demand.requests
			continue
		}
		n := min(demand.requests, int(remaining/demand.slotTime))
		served += n
		remaining -= time.Duration(n) * demand.slotTime
	}
	return served
}
