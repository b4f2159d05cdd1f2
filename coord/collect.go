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

// vmsOf returns the VMs of the live daemons that are not stopping and that pick selects.
func vmsOf(live []proto.Alive, pick func(proto.Alive) bool) []proto.VM {
	var vms []proto.VM
	for _, alive := range live {
		if !alive.Stopping && pick(alive) {
			vms = append(vms, alive.VM)
		}
	}
	return vms
}

// LoadCollector returns the daemon that reads a target's load: one in its zone, otherwise one in its region, otherwise any.
func LoadCollector(target *proto.Target, live []proto.Alive) (proto.VM, bool) {
	scopes := []func(proto.Alive) bool{
		func(a proto.Alive) bool { return a.Zone == target.Zone },
		func(a proto.Alive) bool { return a.Zone.Region() == target.Zone.Region() },
		func(proto.Alive) bool { return true },
	}
	for _, pick := range scopes {
		if vm, ok := firstRanked("load/"+target.Name, vmsOf(live, pick)); ok {
			return vm, true
		}
	}
	return "", false
}

// Subset returns the targets of a pool that a daemon uses: the nearest zones first, and by rendezvous hashing among
// targets at the same distance.
func Subset(vm proto.VM, zone proto.Zone, targets []proto.Target, size int) []proto.Target {
	if size <= 0 || len(targets) <= size {
		return targets
	}
	type ranked struct {
		distance int
		hash     uint64
		index    int
	}
	order := make([]ranked, len(targets))
	seed := xxhash.Sum64String(string(vm))
	for i := range targets {
		hash := xxhash.Sum64String(targets[i].Name) ^ seed
		hash ^= hash >> 33
		hash *= 0xff51afd7ed558ccd
		order[i] = ranked{distance(zone, targets[i].Zone), hash ^ hash>>33, i}
	}
	slices.SortFunc(order, func(a, b ranked) int {
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

// UsageCollector returns the daemon of a region that sums up the usage of a workspace.
func UsageCollector(workspace, region string, live []proto.Alive) (proto.VM, bool) {
	vms := vmsOf(live, func(a proto.Alive) bool { return a.Zone.Region() == region })
	buckets := max(1, len(vms)/2)
	bucket := xxhash.Sum64String(workspace) % uint64(buckets)
	return firstRanked("usage/"+strconv.FormatUint(bucket, 10), vms)
}

type usageKey struct {
	pool      string
	workspace string
}

type usageTotal struct {
	total time.Duration
	byVM  map[proto.VM]*daemonUsage
	last  time.Time
}

type daemonUsage struct {
	spent    time.Duration
	reported time.Duration
}

const usageIdleTimeout = 30 * time.Second

// UsageTotals sums up the usage of all daemons of a region and reports to each what the others used.
type UsageTotals struct {
	mu     sync.Mutex
	totals map[usageKey]*usageTotal
}

// NewUsageTotals returns empty totals.
func NewUsageTotals() *UsageTotals { return &UsageTotals{totals: map[usageKey]*usageTotal{}} }

// Add records what a daemon used and returns what the others have used for the same workspaces since its last report.
func (u *UsageTotals) Add(now time.Time, from proto.VM, rows []proto.UsageRow) []proto.UsageRow {
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

func (u *UsageTotals) addRow(now time.Time, from proto.VM, row proto.UsageRow) time.Duration {
	key := usageKey{row.Pool, row.Workspace}
	sum := u.totals[key]
	if sum == nil {
		sum = &usageTotal{byVM: map[proto.VM]*daemonUsage{}}
		u.totals[key] = sum
	}
	usage := sum.byVM[from]
	if usage == nil {
		// A daemon that reports for the first time is not told about earlier usage.
		usage = &daemonUsage{reported: sum.total}
		sum.byVM[from] = usage
	}
	sum.last = now
	sum.total += row.Spent
	usage.spent += row.Spent
	usage.reported += row.Spent
	unreported := sum.total - usage.reported
	usage.reported = sum.total
	return unreported
}

// Sweep drops the workspaces without recent usage.
func (u *UsageTotals) Sweep(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for key, sum := range u.totals {
		if now.Sub(sum.last) > usageIdleTimeout {
			delete(u.totals, key)
		}
	}
}
