package trial

import (
	"math/rand/v2"
	"slices"
	"time"

	"emberlead/core"
	"emberlead/proto"
)

// profile describes the performance of a kind of target in the model.
type profile struct {
	slots            int
	baseTime         time.Duration
	perToken         time.Duration
	contentionFactor float64
	cacheSize        int
	maxQueue         int
}

func profileOf(kind proto.PoolKind) profile {
	switch kind {
	case proto.PoolEncoder:
		return profile{slots: 4, baseTime: 8 * time.Millisecond, contentionFactor: 0.05, maxQueue: 64}
	case proto.PoolRetriever:
		return profile{slots: 4, baseTime: 14 * time.Millisecond, contentionFactor: 0.05, maxQueue: 64}
	case proto.PoolReranker:
		return profile{slots: 4, baseTime: 16 * time.Millisecond, contentionFactor: 0.08, maxQueue: 64}
	case proto.PoolEngine:
		return profile{slots: 8, baseTime: 80 * time.Millisecond, perToken: 4 * time.Millisecond, contentionFactor: 0.06, cacheSize: 24, maxQueue: 64}
	default:
		return profile{slots: 8, baseTime: 6 * time.Millisecond, contentionFactor: 0.02, maxQueue: 128}
	}
}

const (
	prefixSaving  = 0.6
	defaultTokens = 32
)

// loadedDuration returns the duration of a run when all slots are occupied.
func (p profile) loadedDuration(tokens int, hit bool) time.Duration {
	return time.Duration(float64(p.idleDuration(tokens, hit)) * (1 + p.contentionFactor*float64(p.slots-1)))
}

func (p profile) idleDuration(tokens int, hit bool) time.Duration {
	base := p.baseTime
	if hit {
		base = time.Duration(float64(base) * (1 - prefixSaving))
	}
	return base + time.Duration(tokens)*p.perToken
}

// job is an attempt at a target.
type job struct {
	start     core.Start
	entry     int
	startedAt time.Time
	running   bool
	ended     bool
	hit       bool
}

// target models a target with slots, a queue ordered by priority, slowdown by concurrent jobs, a prefix cache, and faults.
type target struct {
	spec    proto.Target
	pool    string
	kind    proto.PoolKind
	profile profile
	random  *rand.Rand
	running int
	queue   []*job
	cache   []string
	events  []proto.CacheEvent
	slow    float64
	failing bool
	down    bool
}

func tokensOf(kind proto.PoolKind, stage *proto.Stage) int {
	if kind != proto.PoolEngine {
		return 0
	}
	if stage.MaxTokens == 0 {
		return defaultTokens
	}
	return stage.MaxTokens
}

// lookUpPrefix reports whether a prefix is cached, and adds it to the cache or marks it as most recently used.
func (t *target) lookUpPrefix(prefix string) bool {
	if prefix == "" || t.profile.cacheSize == 0 {
		return false
	}
	i := slices.Index(t.cache, prefix)
	if i >= 0 {
		t.cache = slices.Delete(t.cache, i, i+1)
	} else if len(t.cache) >= t.profile.cacheSize {
		t.recordCacheEvent(t.cache[0], false)
		t.cache = t.cache[1:]
	}
	if i < 0 {
		t.recordCacheEvent(prefix, true)
	}
	t.cache = append(t.cache, prefix)
	return i >= 0
}

// recordCacheEvent records a cache event for the next report. One in ten events is dropped.
func (t *target) recordCacheEvent(prefix string, present bool) {
	if t.random.IntN(10) > 0 {
		t.events = append(t.events, proto.CacheEvent{Target: t.spec.Name, Prefix: prefix, Present: present})
	}
}

func (t *target) serviceTime(j *job) time.Duration {
	j.hit = t.lookUpPrefix(j.start.Prefix)
	idleTime := t.profile.idleDuration(tokensOf(t.kind, &j.start.Stage), j.hit)
	jitter := 0.85 + 0.3*t.random.Float64()
	return time.Duration(float64(idleTime) * t.slow * jitter * (1 + t.profile.contentionFactor*float64(t.running-1)))
}

func (t *target) enqueue(j *job) {
	index, _ := slices.BinarySearchFunc(t.queue, j, func(a, b *job) int {
		if a.start.Priority <= b.start.Priority {
			return -1
		}
		return 1
	})
	t.queue = slices.Insert(t.queue, index, j)
}

func (t *target) load(now time.Time) proto.Load {
	return proto.Load{Target: t.spec.Name, Running: t.running, Waiting: len(t.queue), Slots: t.profile.slots, At: now}
}
