package core

import (
	"sync"
	"time"

	"emberlead/proto"
	"emberlead/state"
)

// usage is the time that each workspace recently used at a pool, over all daemons that report.
type usage struct {
	mu         sync.Mutex
	halfLife   time.Duration
	spent      map[string]*state.DecayingSum
	total      state.DecayingSum
	weights    map[string]*proto.Workspace
	unreported map[string]time.Duration
	modelUsage map[string]time.Duration // by model, since the last takeModelUsage
}

func newUsage(halfLife time.Duration) *usage {
	return &usage{
		halfLife:   halfLife,
		spent:      map[string]*state.DecayingSum{},
		unreported: map[string]time.Duration{},
		modelUsage: map[string]time.Duration{},
	}
}

func (u *usage) recent(workspace string, now time.Time) float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	d := u.spent[workspace]
	if d == nil {
		return 0
	}
	return d.Value(now, u.halfLife)
}

func (u *usage) add(workspace string, now time.Time, spent time.Duration, own bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	d := u.spent[workspace]
	if d == nil {
		d = &state.DecayingSum{}
		u.spent[workspace] = d
	}
	d.Add(now, u.halfLife, spent.Seconds())
	u.total.Add(now, u.halfLife, spent.Seconds())
	if own {
		u.unreported[workspace] += spent
	}
}

// setWeights applies the workspaces of a new configuration.
func (u *usage) setWeights(workspaces map[string]*proto.Workspace) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.weights = workspaces
}

func (u *usage) weight(workspace string) float64 {
	if w := u.weights[workspace]; w != nil {
		return w.Weight
	}
	return 1
}

// relativeUse returns a workspace's weighted usage divided by that of all active workspaces together; 1 is a fair share.
func (u *usage) relativeUse(workspace string, now time.Time) float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	weights := 0.0
	for active := range u.spent {
		weights += u.weight(active)
	}
	total := u.total.Value(now, u.halfLife)
	d := u.spent[workspace]
	if d == nil || total <= 0 {
		return 0
	}
	return d.Value(now, u.halfLife) / u.weight(workspace) / (total / weights)
}

// takeUnreported returns the time used by this daemon since the last call, by workspace.
func (u *usage) takeUnreported() map[string]time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.unreported) == 0 {
		return nil
	}
	taken := u.unreported
	u.unreported = make(map[string]time.Duration, len(taken))
	return taken
}

func (u *usage) addModelUsage(model string, spent time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.modelUsage[model] += spent
}

func (u *usage) takeModelUsage() map[string]time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	taken := u.modelUsage
	u.modelUsage = map[string]time.Duration{}
	return taken
}

const negligibleUse = 1e-4

// prune removes the workspaces with negligible recent usage, so that memory is proportional to the active ones.
func (u *usage) prune(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for workspace, d := range u.spent {
		if d.Value(now, u.halfLife) < negligibleUse {
			delete(u.spent, workspace)
		}
	}
}
