package relay

import (
	"cmp"
	"net"
	"slices"
	"strings"
	"sync/atomic"

	"emberlead/proto"
)

// Table answers which route and which workspace a request belongs to, for one version of the configuration.
type Table struct {
	routing *proto.Routing
	hosts   map[string][]*proto.Route
	owners  map[string]*proto.RelayWorkspace
	ranks   map[string]map[urgency]int // by pool
}

// NewTable indexes a configuration.
func NewTable(r *proto.Routing) *Table {
	t := &Table{routing: r, hosts: map[string][]*proto.Route{}, owners: map[string]*proto.RelayWorkspace{}}
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
			t.owners[key] = w
		}
	}
	t.ranks = rankUrgencies(r)
	return t
}

// Routing returns the configuration that the table was made from.
func (t *Table) Routing() *proto.Routing { return t.routing }

// Match returns the route with the longest prefix of the path among those of the host, or nil.
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

// Owner returns the workspace that holds a key, or nil.
func (t *Table) Owner(key string) *proto.RelayWorkspace {
	if key == "" {
		return nil
	}
	return t.owners[key]
}

// Rank returns how urgent a workspace's requests on a route are among those for a pool; 0 is the most urgent. The
// workspace may be nil.
func (t *Table) Rank(pool string, owner *proto.RelayWorkspace, route *proto.Route) int {
	return t.ranks[pool][urgencyOf(owner, route)]
}

// Urgency returns how urgent a rank is among those that requests for a pool can have: from 0 for the least urgent to 1 for the most.
func (t *Table) Urgency(pool string, rank int) float64 {
	last := len(t.ranks[pool]) - 1
	if last <= 0 {
		return 1
	}
	return 1 - float64(min(rank, last))/float64(last)
}

// Keyed tells whether requests need a key at all.
func (t *Table) Keyed() bool { return len(t.routing.Workspaces) > 0 }

// Tables holds the table in force; its version never goes down within the life of the process.
type Tables struct {
	current atomic.Pointer[Table]
}

// Current returns the table in force, or nil before the first configuration is known.
func (t *Tables) Current() *Table { return t.current.Load() }

// ReplaceIfNewer puts a configuration in force if it is newer, and tells whether it did.
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

// Version returns the version in force, 0 if there is none.
func (t *Tables) Version() uint64 {
	if c := t.current.Load(); c != nil {
		return c.routing.Version
	}
	return 0
}
