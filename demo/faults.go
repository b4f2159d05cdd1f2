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
	Name FaultName
	At   time.Duration
}

// ParseFault parses NAME or NAME@OFFSET. Without an offset the fault is injected after a third of the run.
func ParseFault(text string, duration time.Duration) (Fault, error) {
	name, offset, found := strings.Cut(text, "@")
	f := Fault{Name: FaultName(name), At: duration / 3}
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
	f.At = at
	return f, nil
}

const (
	pauseFor    = 3 * time.Second
	slowFactor  = 5
	burstFactor = 4
	leaveGrace  = 3 * time.Second
)

// cause injects a fault and returns what was observed of it, once that is known.
func (r *runner) cause(ctx context.Context, f Fault) string {
	lasting := r.options.Duration / 3
	switch f.Name {
	case FaultEntryDies:
		return r.entryDies()
	case FaultEntryPauses:
		return r.entryPauses()
	case FaultStoreDown:
		r.world.store.SetDown(true)
		sleep(ctx, lasting)
		r.world.store.SetDown(false)
		return fmt.Sprintf("the store was out for %s", lasting)
	case FaultStoreLosesAnswer:
		return r.storeLosesAnswer(ctx)
	case FaultStageSlow:
		pool := r.middlePool()
		r.setPool(pool, len(pool.Targets), fakes.TargetFault{Slow: slowFactor})
		sleep(ctx, lasting)
		r.setPool(pool, len(pool.Targets), fakes.TargetFault{})
		return fmt.Sprintf("pool %s was %d times slower for %s", pool.Name, slowFactor, lasting)
	case FaultTargetFails:
		pool := r.middlePool()
		r.setPool(pool, max(1, len(pool.Targets)/3), fakes.TargetFault{Failing: 1})
		sleep(ctx, lasting)
		r.setPool(pool, len(pool.Targets), fakes.TargetFault{})
		return fmt.Sprintf("a third of pool %s failed every request for %s", pool.Name, lasting)
	case FaultTargetLeaves:
		return r.targetLeaves(ctx)
	case FaultVMStops:
		return r.vmStops(ctx)
	case FaultConflictingApply:
		return r.conflictingApply(ctx)
	}
	r.rateFactor.Store(burstFactor)
	sleep(ctx, lasting/2)
	r.rateFactor.Store(1)
	return fmt.Sprintf("%d times the requests for %s", burstFactor, lasting/2)
}

func sleep(ctx context.Context, length time.Duration) {
	select {
	case <-time.After(length):
	case <-ctx.Done():
	}
}

// victim returns the last daemon without an injected fault, so that two faults hit two daemons; nil if there is none.
func (r *runner) victim() *entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range slices.Backward(r.world.entries) {
		if !r.hit[e.vm] {
			r.hit[e.vm] = true
			return e
		}
	}
	return nil
}

func (r *runner) entryDies() string {
	e := r.victim()
	if e == nil {
		return "no daemon was left to kill"
	}
	began := time.Now()
	r.world.kill(e)
	noticed := r.until(func() bool {
		for _, other := range r.world.entries {
			if !other.dead.Load() && other.daemon.Node().Members.Counts().Dead == 0 {
				return false
			}
		}
		return true
	})
	return fmt.Sprintf("%s died, noticed everywhere: %s after %s", e.vm, noticed, time.Since(began).Round(10*time.Millisecond))
}

func (r *runner) until(done func() bool) string {
	for range 500 {
		if done() {
			return "yes"
		}
		time.Sleep(20 * time.Millisecond)
	}
	return "no"
}

func (r *runner) entryPauses() string {
	e := r.victim()
	if e == nil {
		return "no daemon was left to pause"
	}
	e.gate.hold(pauseFor)
	return fmt.Sprintf("%s was paused for %s", e.vm, pauseFor)
}

func (r *runner) survivor(i int) *entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	var whole []*entry
	for _, e := range r.world.entries {
		if !r.hit[e.vm] {
			whole = append(whole, e)
		}
	}
	return whole[i%len(whole)]
}

// changed returns the configuration file with the deadline of its first service extended, a change that fails no
// request.
func (r *runner) changed(by time.Duration) []byte {
	copied := *r.world.file
	copied.Services = slices.Clone(copied.Services)
	copied.Services[0].Deadline += proto.Duration(by)
	t := fakes.Targets{File: &copied}
	body, err := t.Body()
	if err != nil {
		return nil
	}
	return body
}

func (r *runner) inForce(g proto.Generation, began time.Time) string {
	yes := r.until(func() bool {
		for _, e := range r.world.entries {
			if !e.dead.Load() && e.daemon.Engine().Snapshot().Generation < g {
				return false
			}
		}
		return true
	})
	return fmt.Sprintf("generation %d in force everywhere: %s after %s", g, yes, time.Since(began).Round(time.Millisecond))
}

func (r *runner) storeLosesAnswer(ctx context.Context) string {
	node := r.survivor(0).daemon.Node()
	r.world.store.LoseResponses(1)
	began := time.Now()
	applied, err := node.ConfigStore.Apply(ctx, node.Config, coord.ApplyRequest{Body: r.changed(time.Millisecond), By: "demo"})
	if err != nil {
		return "apply: " + err.Error()
	}
	return "the answer to a write was lost; " + r.inForce(applied.Generation, began)
}

func (r *runner) conflictingApply(ctx context.Context) string {
	type result struct {
		applied coord.ApplyResult
		err     error
	}
	base := r.survivor(0).daemon.Node().Config
	change, _ := base.File(r.world.file.Name)
	generation := change.Generation
	results := make(chan result, 2)
	began := time.Now()
	for i := range 2 {
		node := r.survivor(i).daemon.Node()
		go func() {
			applied, err := node.ConfigStore.Apply(ctx, node.Config, coord.ApplyRequest{
				Body: r.changed(time.Duration(10+i) * time.Millisecond), Base: &generation, By: fmt.Sprintf("operator-%d", i+1),
			})
			results <- result{applied, err}
		}()
	}
	won, conflicts := proto.Generation(0), 0
	for range 2 {
		got := <-results
		switch {
		case got.err != nil:
			return "apply: " + got.err.Error()
		case got.applied.Conflict != nil:
			conflicts++
		default:
			won = got.applied.Generation
		}
	}
	return fmt.Sprintf("two operators, %d conflict; %s", conflicts, r.inForce(won, began))
}

func (r *runner) middlePool() *proto.Pool {
	for i := range r.world.file.Pools {
		if r.world.file.Pools[i].Kind == proto.PoolRetriever {
			return &r.world.file.Pools[i]
		}
	}
	return &r.world.file.Pools[0]
}

func (r *runner) setPool(pool *proto.Pool, n int, f fakes.TargetFault) {
	for i := range n {
		r.world.targets.Targets[pool.Targets[i].Name].SetFault(f)
	}
}

func (r *runner) targetLeaves(ctx context.Context) string {
	pool := r.middlePool()
	target := pool.Targets[0]
	r.world.store.SetVM(proto.VMEntry{VM: target.VM, Zone: target.Zone, Leaving: true})
	sleep(ctx, leaveGrace)
	before := r.world.targets.Targets[target.Name].Started()
	sleep(ctx, r.options.Duration/3)
	after := r.world.targets.Targets[target.Name].Started()
	return fmt.Sprintf("%s is leaving; work that it got from %s later on: %d", target.Name, leaveGrace, after-before)
}

func (r *runner) vmStops(ctx context.Context) string {
	e := r.victim()
	if e == nil {
		return "no daemon was left to stop"
	}
	node := r.survivor(0).daemon.Node()
	began := time.Now()
	plan := proto.StopPlan{VM: e.vm, At: time.Now().Add(time.Second)}
	if _, err := node.ConfigStore.PlanStop(ctx, node.Config, plan, "demo"); err != nil {
		return "plan: " + err.Error()
	}
	select {
	case <-e.done:
		return fmt.Sprintf("%s stopped %s after it was planned for a second later", e.vm, time.Since(began).Round(10*time.Millisecond))
	case <-ctx.Done():
		return string(e.vm) + " did not stop within the run"
	}
}
