package core

import (
	"sort"
	"time"

	"emberlead/proto"
)

// TargetStatus is the state of a target as an engine sees it.
type TargetStatus struct {
	Target   string  `json:"target"`
	VM       string  `json:"vm"`
	Zone     string  `json:"zone"`
	Inflight int     `json:"inflight"`
	Expected float64 `json:"expected"`
	Limit    float64 `json:"limit"`
	Ejected  bool    `json:"ejected,omitempty"`
	Leaving  bool    `json:"leaving,omitempty"`
	Slowness float64 `json:"slowness"`
}

// PoolStatus is the state of a pool as an engine sees it.
type PoolStatus struct {
	Pool    string         `json:"pool"`
	Kind    proto.PoolKind `json:"kind"`
	Waiting int            `json:"waiting"`
	Targets []TargetStatus `json:"targets"`
}

// Pools returns the state of all pools, sorted by name.
func (e *Engine) Pools(now time.Time) []PoolStatus {
	var all []PoolStatus
	for _, p := range e.allPools() {
		all = append(all, p.status(now))
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Pool < all[j].Pool })
	return all
}

func (p *pool) status(now time.Time) PoolStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := PoolStatus{Pool: p.name, Kind: p.kind, Waiting: p.queue.Len()}
	for _, t := range p.targets {
		s.Targets = append(s.Targets, TargetStatus{
			Target: t.spec.Name, VM: string(t.spec.VM), Zone: string(t.spec.Zone), Inflight: t.inflight,
			Expected: t.expected(now), Limit: t.limit(now), Ejected: now.Before(t.ejectedUntil),
			Leaving: t.leaving || t.removed, Slowness: t.slowness.Mean(),
		})
	}
	return s
}
