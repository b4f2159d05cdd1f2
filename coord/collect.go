package coord

import (
	"cmp"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"emberlead/proto"
)

// vmsOf returns the names of the live daemons that a function picks.
func vmsOf(live []proto.Alive, pick func(proto.Alive) bool) []proto.VM {
	var vms []proto.VM
	for _, alive := range live {
		if !alive.Stopping && pick(alive) {
			vms = append(vms, alive.VM)
		}
	}
	return vms
}

// LoadCollector returns the daemon that reads a target's load: one of its zone, else of its region, else any.
func LoadCollector(target *proto.Target, live []proto.Alive) (proto.VM, bool) {
	near := []func(proto.Alive) bool{
		func(a proto.Alive) bool { return a.Zone == target.Zone },
		func(a proto.Alive) bool { return a.Zone.Region() == target.Zone.Region() },
		func(proto.Alive) bool { return true },
	}
	for _, pick := range near {
		if vm, ok := first("load/"+target.Name, vmsOf(live, pick)); ok {
			return vm, true
		}
	}
	return "", false
}

// Subset returns the targets that a daemon uses of a pool: nearest zones first, and there by rendezvous hashing.
func Subset(vm proto.VM, zone proto.Zone, targets []proto.Target, size int) []proto.Target {
	if size <= 0 || len(targets) <= size {
		return targets
	}
	type placed struct {
		distance int
		hash     uint64
		index    int
	}
	order := make([]placed, len(targets))
	seed := xxhash.Sum64String(string(vm))
	for i := range targets {
		hash := xxhash.Sum64String(targets[i].Name) ^ seed
		hash ^= hash >> 33
		hash *= 0xff51afd7ed558ccd
		order[i] = placed{distance(zone, targets[i].Zone), hash ^ hash>>33, i}
	}
	slices.SortFunc(order, func(a, b placed) int {
		return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(a.hash, b.hash))
	})
	subset := make([]proto.Target, size)
	for i := range subset {
		subset[i] = targets[order[i].index]
	}
	return subset
}

func distance(a, b proto.Zone) int {
	switch {
	case a == b:
		return 0
	case a.Region() == b.Region():
		return 1
	}
	return 2
}

// UsageCollector returns the daemon of a region that sums up what is spent for a workspace.
func UsageCollector(workspace, region string, live []proto.Alive) (proto.VM, bool) {
	vms := vmsOf(live, func(a proto.Alive) bool { return a.Zone.Region() == region })
	buckets := max(1, len(vms)/2)
	bucket := xxhash.Sum64String(workspace) % uint64(buckets)
	return first("usage/"+strconv.FormatUint(bucket, 10), vms)
}

type usageKey struct {
	pool      string
	workspace string
}

type usageSum struct {
	total time.Duration
	by    map[proto.VM]*usagePart
	last  time.Time
}

type usagePart struct {
	spent time.Duration
	told  time.Duration
}

const usageIdle = 30 * time.Second

// UsageSums adds up what all daemons of a region spend, and tells each what the others spent.
type UsageSums struct {
	mu   sync.Mutex
	sums map[usageKey]*usageSum
}

// NewUsageSums returns empty sums.
func NewUsageSums() *UsageSums { return &UsageSums{sums: map[usageKey]*usageSum{}} }

// Add takes in what a daemon spent and returns what the others spent for the same workspaces since it was last told.
func (u *UsageSums) Add(now time.Time, from proto.VM, rows []proto.UsageRow) []proto.UsageRow {
	u.mu.Lock()
	defer u.mu.Unlock()
	var others []proto.UsageRow
	for _, row := range rows {
		if spent := u.addRow(now, from, row); spent > 0 {
			others = append(others, proto.UsageRow{Pool: row.Pool, Workspace: row.Workspace, Spent: spent})
		}
	}
	return others
}

func (u *UsageSums) addRow(now time.Time, from proto.VM, row proto.UsageRow) time.Duration {
	key := usageKey{row.Pool, row.Workspace}
	sum := u.sums[key]
	if sum == nil {
		sum = &usageSum{by: map[proto.VM]*usagePart{}}
		u.sums[key] = sum
	}
	part := sum.by[from]
	if part == nil {
		// A daemon that is new here is not told of what was spent before it came.
		part = &usagePart{told: sum.total}
		sum.by[from] = part
	}
	sum.last = now
	sum.total += row.Spent
	part.spent += row.Spent
	part.told += row.Spent
	fresh := sum.total - part.told
	part.told = sum.total
	return fresh
}

// Sweep forgets workspaces that spent nothing lately.
func (u *UsageSums) Sweep(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for key, sum := range u.sums {
		if now.Sub(sum.last) > usageIdle {
			delete(u.sums, key)
		}
	}
}
