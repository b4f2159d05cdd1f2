package fakes

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"emberlead/proto"
)

// Profile describes the performance of a kind of target.
type Profile struct {
	Slots            int
	BaseTime         time.Duration // duration of a run, or of the prefill of a prompt without a cached prefix
	PerToken         time.Duration
	ContentionFactor float64 // fraction of the base time that each further running request adds
	CacheSize        int     // maximum number of prefixes in the cache
	MaxWaiting       int     // maximum number of waiting requests
}

// ProfileOf returns the profile for a kind of pool.
func ProfileOf(kind proto.PoolKind) Profile {
	switch kind {
	case proto.PoolEncoder:
		return Profile{Slots: 8, BaseTime: 6 * time.Millisecond, ContentionFactor: 0.05, MaxWaiting: 32}
	case proto.PoolRetriever:
		return Profile{Slots: 8, BaseTime: 12 * time.Millisecond, ContentionFactor: 0.05, MaxWaiting: 32}
	case proto.PoolReranker:
		return Profile{Slots: 4, BaseTime: 15 * time.Millisecond, ContentionFactor: 0.08, MaxWaiting: 16}
	case proto.PoolEngine:
		return Profile{Slots: 8, BaseTime: 60 * time.Millisecond, PerToken: 4 * time.Millisecond, ContentionFactor: 0.05, CacheSize: 24, MaxWaiting: 16}
	default:
		return Profile{Slots: 16, BaseTime: 5 * time.Millisecond, ContentionFactor: 0.02, MaxWaiting: 64}
	}
}

const (
	prefixSaving   = 0.6
	chunkTokens    = 4
	defaultTokens  = 32
	maxCacheEvents = 256
)

type waiter struct {
	priority int
	admitted chan struct{}
}

// Target is a fake encoder, retriever, reranker, engine or plain service.
type Target struct {
	mu      sync.Mutex
	spec    proto.Target
	kind    proto.PoolKind
	profile Profile
	random  *rand.Rand

	running       int
	waiting       []*waiter
	cache         []string
	events        []proto.CacheEvent
	eventSequence uint64
	cancels       map[string]context.CancelFunc
	runs          map[string]int // by "service/stage nonce"
	startedRuns   int
	epochs        map[string]uint64
	models        []string
	role          string
	reportedLoad  proto.Load

	slow    float64
	failing float64
	hanging bool
}

// NewTarget returns a fake of a target of a pool.
func NewTarget(spec proto.Target, pool *proto.Pool, seed uint64) *Target {
	profile := ProfileOf(pool.Kind)
	if spec.Slots > 0 {
		profile.Slots = spec.Slots
	}
	return &Target{
		spec:    spec,
		kind:    pool.Kind,
		profile: profile,
		random:  rand.New(rand.NewPCG(seed, 1)),
		cancels: map[string]context.CancelFunc{},
		runs:    map[string]int{},
		epochs:  map[string]uint64{},
		models:  slices.Clone(pool.Models),
		slow:    1,
	}
}

// TargetFault is the set of faults injected into a target.
type TargetFault struct {
	Slow    float64 `json:"slow,omitempty"`
	Failing float64 `json:"failing,omitempty"`
	Hanging bool    `json:"hanging,omitempty"`
}

// SetFault replaces the target's injected faults. The zero value clears them.
func (t *Target) SetFault(f TargetFault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.slow = max(1, f.Slow)
	t.failing = f.Failing
	t.hanging = f.Hanging
}

// Runs returns the number of runs of each stage for each nonce, keyed by "service/stage nonce".
func (t *Target) Runs() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := make(map[string]int, len(t.runs))
	for key, n := range t.runs {
		counts[key] = n
	}
	return counts
}

// Running returns the number of requests in progress, including waiting ones.
func (t *Target) Running() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.running + len(t.waiting)
}

// Load returns the target's load at now.
func (t *Target) Load(now time.Time) proto.Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	return proto.Load{
		Target: t.spec.Name, Running: t.running, Waiting: len(t.waiting), Slots: t.profile.Slots,
		At: now, Models: slices.Clone(t.models), Role: t.role,
	}
}

// admit waits for a slot in order of priority. It returns false if the queue is full or ctx ends first.
func (t *Target) admit(ctx context.Context, priority int) bool {
	t.mu.Lock()
	if t.running < t.profile.Slots && len(t.waiting) == 0 {
		t.running++
		t.mu.Unlock()
		return true
	}
	if len(t.waiting) >= t.profile.MaxWaiting {
		t.mu.Unlock()
		return false
	}
	w := &waiter{priority: priority, admitted: make(chan struct{})}
	index, _ := slices.BinarySearchFunc(t.waiting, w, func(a, b *waiter) int {
		if a.priority <= b.priority {
			return -1
		}
		return 1
	})
	t.waiting = slices.Insert(t.waiting, index, w)
	t.mu.Unlock()
	select {
	case <-w.admitted:
		return true
	case <-ctx.Done():
		return t.leaveQueue(w)
	}
}

func (t *Target) leaveQueue(w *waiter) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if i := slices.Index(t.waiting, w); i >= 0 {
		t.waiting = slices.Delete(t.waiting, i, i+1)
		return false
	}
	t.releaseLocked()
	return false
}

func (t *Target) release() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.releaseLocked()
}

func (t *Target) releaseLocked() {
	if len(t.waiting) > 0 {
		next := t.waiting[0]
		t.waiting = t.waiting[1:]
		close(next.admitted)
		return
	}
	t.running--
}

// slowdown returns the factor by which concurrent requests and faults lengthen a duration.
func (t *Target) slowdown() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	jitter := 0.9 + 0.2*t.random.Float64()
	return t.slow * jitter * (1 + t.profile.ContentionFactor*float64(t.running-1))
}

func (t *Target) drawFault() (fail, hang bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.random.Float64() < t.failing, t.hanging
}

// lookUpPrefix looks a prefix up in the cache, adds it if it is missing, and reports whether it was cached.
func (t *Target) lookUpPrefix(prefix string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if prefix == "" || t.profile.CacheSize == 0 {
		return false
	}
	if i := slices.Index(t.cache, prefix); i >= 0 {
		t.cache = append(slices.Delete(t.cache, i, i+1), prefix)
		return true
	}
	if len(t.cache) >= t.profile.CacheSize {
		t.recordCacheEvent(t.cache[0], false)
		t.cache = t.cache[1:]
	}
	t.cache = append(t.cache, prefix)
	t.recordCacheEvent(prefix, true)
	return false
}

func (t *Target) recordCacheEvent(prefix string, present bool) {
	t.eventSequence++
	t.events = append(t.events, proto.CacheEvent{Target: t.spec.Name, Sequence: t.eventSequence, Prefix: prefix, Present: present})
	if len(t.events) > maxCacheEvents {
		t.events = t.events[1:]
	}
}

// CacheEvents returns the retained events with a sequence number above after; older events have been discarded.
func (t *Target) CacheEvents(after uint64) []proto.CacheEvent {
	t.mu.Lock()
	defer t.mu.Unlock()
	var events []proto.CacheEvent
	for _, event := range t.events {
		if event.Sequence > after {
			events = append(events, event)
		}
	}
	return events
}

// payload is the part of an input that the fakes pass on from stage to stage.
type payload struct {
	Nonce string   `json:"nonce"`
	Trail []string `json:"trail,omitempty"`
}

// GeneratedText returns the text that an engine generates for a nonce for the tokens from (inclusive) to to (exclusive).
func GeneratedText(nonce string, from, to int) string {
	text := ""
	for i := from; i < to; i++ {
		text += fmt.Sprintf("%s:%d ", nonce, i)
	}
	return text
}

func (t *Target) recordRun(stage, nonce string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runs[stage+" "+nonce]++
	t.startedRuns++
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// run executes an admitted attempt. emit is nil unless the answer is streamed.
func (t *Target) run(ctx context.Context, req *proto.RunRequest, emit func(proto.RunChunk) bool) (proto.RunAnswer, bool) {
	var input payload
	_ = json.Unmarshal(req.Input, &input)
	t.recordRun(req.Service+"/"+req.Stage, input.Nonce)
	startedAt := time.Now()
	base := t.profile.BaseTime
	hit := t.lookUpPrefix(req.Prefix) || req.CacheHandle != ""
	if hit {
		base = time.Duration(float64(base) * (1 - prefixSaving))
	}
	if !sleep(ctx, time.Duration(float64(base)*t.slowdown())) {
		return proto.RunAnswer{}, false
	}
	answer := proto.RunAnswer{Attempt: req.Attempt, CacheHit: hit}
	if t.kind == proto.PoolEngine {
		if !t.generate(ctx, req, input.Nonce, emit, &answer) {
			return answer, false
		}
	} else {
		answer.Output, _ = json.Marshal(payload{Nonce: input.Nonce, Trail: append(input.Trail, req.Stage)})
	}
	answer.Busy = proto.Duration(time.Since(startedAt))
	return answer, true
}

func (t *Target) generate(ctx context.Context, req *proto.RunRequest, nonce string, emit func(proto.RunChunk) bool, answer *proto.RunAnswer) bool {
	total := req.MaxTokens
	if total == 0 {
		total = defaultTokens
	}
	for from := req.Offset; from < total; from += chunkTokens {
		to := min(total, from+chunkTokens)
		if !sleep(ctx, time.Duration(float64(t.profile.PerToken)*float64(to-from)*t.slowdown())) {
			return false
		}
		if emit != nil && !emit(proto.RunChunk{Attempt: req.Attempt, Offset: from, Text: GeneratedText(nonce, from, to), Tokens: to - from}) {
			return false
		}
	}
	answer.Tokens = total
	if emit == nil {
		answer.Output, _ = json.Marshal(payload{Nonce: nonce, Trail: []string{req.Stage}})
	}
	return true
}

// Started returns the number of runs that the target has started.
func (t *Target) Started() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.startedRuns
}
