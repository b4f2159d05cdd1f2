package relay

import (
	"cmp"
	"net"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"emberlead/proto"
)

// Table looks up the route and the workspace of a request in one version of the configuration.
type Table struct {
	routing     *proto.Routing
	hosts       map[string][]*proto.Route
	workspaces  map[string]*proto.RelayWorkspace
	ranksByPool map[string]map[urgency]int // by pool
}

// NewTable indexes a configuration.
func NewTable(r *proto.Routing) *Table {
	t := &Table{routing: r, hosts: map[string][]*proto.Route{}, workspaces: map[string]*proto.RelayWorkspace{}}
	for i := range r.Routes {
		route := &r.Routes[i]
		host := strings.ToLower(route.Host)
		t.hosts[host] = append(t.hosts[host], route)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *proto.Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range r.Workspaces {
		w := &r.Workspaces[i]
		for _, key := range w.Keys {
			t.workspaces[key] = w
		}
	}
	t.ranksByPool = rankUrgencies(r)
	return t
}

// Routing returns the configuration that the table was built from.
func (t *Table) Routing() *proto.Routing { return t.routing }

// Match returns the route of a host with the longest matching path prefix, or nil.
func (t *Table) Match(host, path string) *proto.Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, route := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// Owner returns the workspace that an API key belongs to, or nil.
func (t *Table) Owner(key string) *proto.RelayWorkspace {
	if key == "" {
		return nil
	}
	return t.workspaces[key]
}

// Rank returns the priority rank of a workspace's requests on a route among those for a pool; 0 is the most urgent. The
// workspace may be nil.
func (t *Table) Rank(pool string, workspace *proto.RelayWorkspace, route *proto.Route) int {
	return t.ranksByPool[pool][urgencyOf(workspace, route)]
}

// Urgency converts a rank of a pool to a number from 0 for the least urgent rank to 1 for the most urgent one.
func (t *Table) Urgency(pool string, rank int) float64 {
	last := len(t.ranksByPool[pool]) - 1
	if last <= 0 {
		return 1
	}
	return 1 - float64(min(rank, last))/float64(last)
}

// Keyed reports whether requests need an API key.
func (t *Table) Keyed() bool { return len(t.routing.Workspaces) > 0 }

// Tables holds the current table. Its version never decreases during the life of the process.
type Tables struct {
	current atomic.Pointer[Table]
	// observed is the newest version that another daemon told of.
	observed atomic.Pointer[observedVersion]
}

// observedVersion is a version that another daemon has, and when a daemon last told of it.
type observedVersion struct {
	version uint64
	at      time.Time
}

// observedVersionTTL is how long a newer version counts as on its way after a daemon last told of it. It may be gone together with the
// daemons that had it, if the store was restored.
const observedVersionTTL = 10 * time.Second

// Current returns the current table, or nil before the first configuration is known.
func (t *Tables) Current() *Table { return t.current.Load() }

// ReplaceIfNewer makes a configuration the current one if it is newer, and reports whether it did.
func (t *Tables) ReplaceIfNewer(r *proto.Routing) bool {
	next := NewTable(r)
	for {
		old := t.current.Load()
		if old != nil && old.routing.Version >= r.Version {
			return false
		}
		if t.current.CompareAndSwap(old, next) {
			return true
		}
	}
}

// ObserveVersion records that another daemon has a version.
func (t *Tables) ObserveVersion(now time.Time, version uint64) {
	next := &observedVersion{version, now}
	for {
		known := t.observed.Load()
		if known != nil && known.version > version && now.Sub(known.at) <= observedVersionTTL || t.observed.CompareAndSwap(known, next) {
			return
		}
	}
}

// Outdated reports whether a newer configuration than the current one is on its way.
func (t *Tables) Outdated(now time.Time) bool {
	known := t.observed.Load()
	return known != nil && known.version > t.Version() && now.Sub(known.at) <= observedVersionTTL
}

// Version returns the version of the current table, or 0 if there is none.
func (t *Tables) Version() uint64 {
	if c := t.current.Load(); c != nil {
		return c.routing.Version
	}
	return 0
}
