package demo

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"emberlead/coord"
	"emberlead/fakes"
	"emberlead/proto"
)

// FaultName is the name of a fault that can be injected into a run.
type FaultName string

// Names of the faults.
const (
	FaultEntryDies        FaultName = "entryDies"
	FaultEntryPauses      FaultName = "entryPauses"
	FaultStoreDown        FaultName = "storeDown"
	FaultStoreLosesAnswer FaultName = "storeLosesAnswer"
	FaultStageSlow        FaultName = "stageSlow"
	FaultTargetFails      FaultName = "targetFails"
	FaultTargetLeaves     FaultName = "targetLeaves"
	FaultVMStops          FaultName = "vmStops"
	FaultConflictingApply FaultName = "conflictingApply"
	FaultBurst            FaultName = "burst"
)

// FaultNames lists all faults.
var FaultNames = []FaultName{
	FaultEntryDies, FaultEntryPauses, FaultStoreDown, FaultStoreLosesAnswer, FaultStageSlow,
	FaultTargetFails, FaultTargetLeaves, FaultVMStops, FaultConflictingApply, FaultBurst,
}

// Fault is a fault and the offset into the run at which it is injected.
type Fault struct {
	Name   FaultName
	Offset time.Duration
}

// ParseFault parses NAME or NAME@OFFSET. Without an offset the fault is injected after a third of the run.
func ParseFault(text string, duration time.Duration) (Fault, error) {
	name, offset, found := strings.Cut(text, "@")
	f := Fault{Name: FaultName(name), Offset: duration / 3}
	if !slices.Contains(FaultNames, f.Name) {
		return f, newError("read fault", proto.KindInvalid, "no fault is named %q; there are %v", name, FaultNames)
	}
	if !found {
		return f, nil
	}
	at, err := time.ParseDuration(offset)
	if err != nil || at < 0 || at >= duration {
		return f, newError("read fault", proto.KindInvalid, "%q is no offset within the run of %s", offset, duration)
	}
	f.Offset = at
	return f, nil
}

const (
	pauseDuration = 3 * time.Second
	slowFactor    = 5
	burstFactor   = 4
	leaveGrace    = 3 * time.Second
)

// inject injects a fault and returns what was observed of it, once that is known.
func (r *runner) inject(ctx context.Context, f Fault) string {
	duration := r.options.Duration / 3
	switch f.Name {
	case FaultEntryDies:
		return r.crashEntry()
	case FaultEntryPauses:
		return r.pauseEntry()
	case FaultStoreDown:
		r.deployment.store.SetDown(true)
		sleep(ctx, duration)
		r.deployment.store.SetDown(false)
		return fmt.Sprintf("the store was out for %s", duration)
	case FaultStoreLosesAnswer:
		return r.loseStoreResponse(ctx)
	case FaultStageSlow:
		pool := r.retrieverPool()
		r.setTargetFaults(pool, len(pool.Targets), fakes.TargetFault{Slow: slowFactor})
		sleep(ctx, duration)
		r.setTargetFaults(pool, len(pool.Targets), fakes.TargetFault{})
		return fmt.Sprintf("pool %s was %d times slower for %s", pool.Name, slowFactor, duration)
	case FaultTargetFails:
		pool := r.retrieverPool()
		r.setTargetFaults(pool, max(1, len(pool.Targets)/3), fakes.TargetFault{Failing: 1})
		sleep(ctx, duration)
		r.setTargetFaults(pool, len(pool.Targets), fakes.TargetFault{})
		return fmt.Sprintf("a third of pool %s failed every request for %s", pool.Name, duration)
	case FaultTargetLeaves:
		return r.markTargetLeaving(ctx)
	case FaultVMStops:
		return r.stopVM(ctx)
	case FaultConflictingApply:
		return r.applyConcurrently(ctx)
	}
	r.rateFactor.Store(burstFactor)
	sleep(ctx, duration/2)
	r.rateFactor.Store(1)
	return fmt.Sprintf("%d times the requests for %s", burstFactor, duration/2)
}

func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-time.After(duration):
	case <-ctx.Done():
	}
}

// pickEntry returns the last daemon without an injected fault, so that two faults hit two daemons; nil if there is none.
func (r *runner) pickEntry() *entryDaemon {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range slices.Backward(r.deployment.entries) {
		if !r.faulted[e.vm] {
			r.faulted[e.vm] = true
			return e
		}
	}
	return nil
}

func (r *runner) crashEntry() string {
	e := r.pickEntry()
	if e == nil {
		return "no daemon was left to kill"
	}
	startedAt := time.Now()
	r.deployment.crash(e)
	noticed := r.waitUntil(func() bool {
		for _, other := range r.deployment.entries {
			if !other.dead.Load() && other.daemon.Node().Members.Counts().Dead == 0 {
				return false
			}
		}
		return true
	})
	return fmt.Sprintf("%s died, noticed everywhere: %s after %s", e.vm, noticed, time.Since(startedAt).Round(10*time.Millisecond))
}

func (r *runner) waitUntil(done func() bool) string {
	for range 500 {
		if done() {
			return "yes"
		}
		time.Sleep(20 * time.Millisecond)
	}
	return "no"
}

func (r *runner) pauseEntry() string {
	e := r.pickEntry()
	if e == nil {
		return "no daemon was left to pause"
	}
	e.gate.closeFor(pauseDuration)
	return fmt.Sprintf("%s was paused for %s", e.vm, pauseDuration)
}

func (r *runner) unfaultedEntry(i int) *entryDaemon {
	r.mu.Lock()
	defer r.mu.Unlock()
	var unfaulted []*entryDaemon
	for _, e := range r.deployment.entries {
		if !r.faulted[e.vm] {
			unfaulted = append(unfaulted, e)
		}
	}
	return unfaulted[i%len(unfaulted)]
}

// modifiedFile returns the configuration file with the deadline of its first service extended, a change that fails no request.
func (r *runner) modifiedFile(by time.Duration) []byte {
	copied := *r.deployment.file
	copied.Services = slices.Clone(copied.Services)
	copied.Services[0].Deadline += proto.Duration(by)
	t := fakes.Targets{File: &copied}
	body, err := t.EncodeFile()
	if err != nil {
		return nil
	}
	return body
}

func (r *runner) waitInForce(generation proto.Generation, startedAt time.Time) string {
	reached := r.waitUntil(func() bool {
		for _, e := range r.deployment.entries {
			if !e.dead.Load() && e.daemon.Engine().Snapshot().Generation < generation {
				return false
			}
		}
		return true
	})
	return fmt.Sprintf("generation %d in force everywhere: %s after %s", generation, reached, time.Since(startedAt).Round(time.Millisecond))
}

func (r *runner) loseStoreResponse(ctx context.Context) string {
	node := r.unfaultedEntry(0).daemon.Node()
	r.deployment.store.LoseResponses(1)
	startedAt := time.Now()
	applied, err := node.ConfigStore.Apply(ctx, node.Config, coord.ApplyRequest{Body: r.modifiedFile(time.Millisecond), By: "demo"})
	if err != nil {
		return "apply: " + err.Error()
	}
	return "the answer to a write was lost; " + r.waitInForce(applied.Generation, startedAt)
}

func (r *runner) applyConcurrently(ctx context.Context) string {
	type result struct {
		applied coord.ApplyResult
		err     error
	}
	base := r.unfaultedEntry(0).daemon.Node().Config
	change, _ := base.File(r.deployment.file.Name)
	generation := change.Generation
	results := make(chan result, 2)
	startedAt := time.Now()
	for i := range 2 {
		node := r.unfaultedEntry(i).daemon.Node()
		go func() {
			applied, err := node.ConfigStore.Apply(ctx, node.Config, coord.ApplyRequest{
				Body: r.modifiedFile(time.Duration(10+i) * time.Millisecond), Base: &generation, By: fmt.Sprintf("operator-%d", i+1),
			})
			results <- result{applied, err}
		}()
	}
	winner, conflicts := proto.Generation(0), 0
	for range 2 {
		received := <-results
		switch {
		case received.err != nil:
			return "apply: " + received.err.Error()
		case received.applied.Conflict != nil:
			conflicts++
		default:
			winner = received.applied.Generation
		}
	}
	return fmt.Sprintf("two operators, %d conflict; %s", conflicts, r.waitInForce(winner, startedAt))
}

func (r *runner) retrieverPool() *proto.Pool {
	for i := range r.deployment.file.Pools {
		if r.deployment.file.Pools[i].Kind == proto.PoolRetriever {
			return &r.deployment.file.Pools[i]
		}
	}
	return &r.deployment.file.Pools[0]
}

func (r *runner) setTargetFaults(pool *proto.Pool, n int, f fakes.TargetFault) {
	for i := range n {
		r.deployment.targets.Targets[pool.Targets[i].Name].SetFault(f)
	}
}

func (r *runner) markTargetLeaving(ctx context.Context) string {
	pool := r.retrieverPool()
	target := pool.Targets[0]
	r.deployment.store.SetVM(proto.VMEntry{VM: target.VM, Zone: target.Zone, Leaving: true})
	sleep(ctx, leaveGrace)
	before := r.deployment.targets.Targets[target.Name].Started()
	sleep(ctx, r.options.Duration/3)
	after := r.deployment.targets.Targets[target.Name].Started()
	return fmt.Sprintf("%s is leaving; work that it got from %s later on: %d", target.Name, leaveGrace, after-before)
}

func (r *runner) stopVM(ctx context.Context) string {
	e := r.pickEntry()
	if e == nil {
		return "no daemon was left to stop"
	}
	node := r.unfaultedEntry(0).daemon.Node()
	startedAt := time.Now()
	plan := proto.StopPlan{VM: e.vm, At: time.Now().Add(time.Second)}
	if _, err := node.ConfigStore.PlanStop(ctx, node.Config, plan, "demo"); err != nil {
		return "plan: " + err.Error()
	}
	select {
	case <-e.done:
		return fmt.Sprintf("%s stopped %s after it was planned for a second later", e.vm, time.Since(startedAt).Round(10*time.Millisecond))
	case <-ctx.Done():
		return string(e.vm) + " did not stop within the run"
	}
}
