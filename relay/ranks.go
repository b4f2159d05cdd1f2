package relay

import (
	"cmp"
	"maps"
	"slices"

	"emberlead/proto"
)

// urgency orders requests by the workspace's priority, then by the route's; 0 is the most urgent.
type urgency struct{ workspace, route int }

// urgencyOf returns the urgency of a workspace's requests on a route. A workspace that is unknown or has no priority of
// its own gets the route's.
func urgencyOf(owner *proto.RelayWorkspace, route *proto.Route) urgency {
	u := urgency{route.Priority, route.Priority}
	if owner != nil && owner.Priority != nil {
		u.workspace = *owner.Priority
	}
	return u
}

// rankUrgencies numbers the urgencies that requests for each pool can have, without gaps. A rank step thus means the
// same whatever numbers the operator uses, and routes stay distinct if all workspaces have the same priority.
func rankUrgencies(r *proto.Routing) map[string]map[urgency]int {
	found := map[string]map[urgency]bool{}
	for i := range r.Routes {
		route := &r.Routes[i]
		for _, split := range route.Split {
			if found[split.Pool] == nil {
				found[split.Pool] = map[urgency]bool{}
			}
			for _, u := range urgenciesOn(r, route) {
				found[split.Pool][u] = true
			}
		}
	}
	ranks := map[string]map[urgency]int{}
	for pool, urgencies := range found {
		ranks[pool] = numberUrgencies(urgencies)
	}
	return ranks
}

// urgenciesOn returns the urgencies that requests on a route can have.
func urgenciesOn(r *proto.Routing, route *proto.Route) []urgency {
	var all []urgency
	if route.Public || len(r.Workspaces) == 0 {
		all = append(all, urgencyOf(nil, route))
	}
	for i := range r.Workspaces {
		all = append(all, urgencyOf(&r.Workspaces[i], route))
	}
	return all
}

func numberUrgencies(urgencies map[urgency]bool) map[urgency]int {
	order := slices.SortedFunc(maps.Keys(urgencies), func(a, b urgency) int {
		return cmp.Or(cmp.Compare(a.workspace, b.workspace), cmp.Compare(a.route, b.route))
	})
	ranks := map[urgency]int{}
	for i, u := range order {
		ranks[u] = i
	}
	return ranks
}
