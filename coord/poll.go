package coord

import (
	"context"
	"time"

	"emberlead/proto"
)

// Poll reads the store if this daemon polls for its zone or has no configuration yet.
func (n *Node) Poll(ctx context.Context) {
	now := n.deps.Clock.Now()
	if !n.isPoller() && n.Config.Synced() {
		// Updates of the list can be lost in transit, so every daemon reads it occasionally.
		if now.Sub(n.nextListRead) > rareListInterval {
			n.pollList(ctx, now)
		}
		return
	}
	if err := n.ConfigStore.CatchUp(ctx, n.Config); err != nil {
		n.deps.Log.Debug("failed to read the configuration from the store", "error", err)
		return
	}
	n.lastStoreRead.Store(now.UnixNano())
	n.pollList(ctx, now)
}

func (n *Node) pollList(ctx context.Context, now time.Time) {
	if now.Before(n.nextListRead) {
		return
	}
	n.nextListRead = now.Add(n.timing.ListInterval)
	list, err := n.deps.Platform.VMs(ctx)
	if err != nil {
		n.deps.Log.Debug("failed to read the VM list", "error", err)
		return
	}
	n.Members.HandleVMList(now, list)
}

// rareListInterval is the interval at which daemons that do not poll read the VM list.
const rareListInterval = time.Minute

// isPoller reports whether this daemon polls the store for its zone or writes the roster.
func (n *Node) isPoller() bool {
	if writer, ok := firstRanked("roster", vmsOf(n.Members.Live(), anyDaemon)); ok && writer == n.deps.Self.VM {
		return true
	}
	zone := n.deps.Self.Zone
	vms := rankVMs("poll", vmsOf(n.Members.Live(), func(a proto.Alive) bool { return a.Zone == zone }))
	for i, vm := range vms {
		if vm == n.deps.Self.VM {
			return i < n.timing.PollersPerZone
		}
	}
	return true
}

// startupDelay is how long a new daemon waits for news of the others before it writes the first roster.
const startupDelay = 1500 * time.Millisecond

// ReviseRoster updates the roster if this daemon is its writer; any other daemon reads the roster until it has one.
func (n *Node) ReviseRoster(ctx context.Context) {
	writer, ok := firstRanked("roster", vmsOf(n.Members.Live(), anyDaemon))
	var err error
	switch {
	case n.Replica.Epoch() == 0 && n.deps.Clock.Since(n.started) < startupDelay:
		return
	case ok && writer == n.deps.Self.VM && !n.stopping.Load():
		err = n.Roster.ReviseRoster(ctx, n.deps.Clock.Now())
	case n.Replica.Epoch() == 0:
		_, err = n.Roster.Read(ctx)
	}
	if err != nil {
		n.deps.Log.Debug("failed to revise the roster", "error", err)
	}
}

// LastStoreRead returns when this daemon last read the store.
func (n *Node) LastStoreRead() time.Time { return time.Unix(0, n.lastStoreRead.Load()) }

// Isolated reports whether the daemon can reach neither the store nor any other daemon, so that it cannot know which
// configuration is in force.
func (n *Node) Isolated(now time.Time) bool {
	return now.Sub(n.LastStoreRead()) > n.timing.IsolationTimeout && n.Members.AllSilent(now, n.timing.IsolationTimeout)
}

// Ready reports whether the daemon knows the configuration in force and is neither isolated nor stopping; if not ready,
// it also returns the reason.
func (n *Node) Ready(now time.Time) (bool, string) {
	switch {
	case n.stopping.Load():
		return false, "stopping"
	case !n.Config.Synced():
		return false, "what was accepted is not known yet"
	case n.Isolated(now):
		return false, "neither the store nor another daemon can be reached"
	}
	return true, ""
}
