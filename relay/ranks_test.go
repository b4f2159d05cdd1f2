package relay

import (
	"testing"

	"emberlead/proto"
)

func priority(p int) *int { return &p }

func TestRanksOrderWorkspacesBeforeRoutes(t *testing.T) {
	to := []proto.WeightedPool{{Pool: "engines", Weight: 1}}
	routes := []proto.Route{
		{Name: "menu", Priority: 0, Split: to},
		{Name: "recipe", Priority: 2, Split: to},
		{Name: "open", Priority: 7, Public: true, Split: to},
		{Name: "print", Priority: 1, Split: []proto.WeightedPool{{Pool: "printers", Weight: 1}}},
	}
	ward, school, ministry := &proto.RelayWorkspace{Name: "ward"}, &proto.RelayWorkspace{Name: "school"}, &proto.RelayWorkspace{Name: "ministry"}
	type want struct {
		pool  string
		owner *proto.RelayWorkspace
		route int
		rank  int
	}
	scenarios := []struct {
		name       string
		priorities [3]*int
		want       []want
	}{
		{"equal workspace priorities", [3]*int{priority(1), priority(1), priority(1)}, []want{
			{"engines", ward, 0, 0}, {"engines", school, 0, 0}, {"engines", ward, 1, 1}, {"engines", ministry, 1, 1}, {"engines", nil, 2, 3},
		}},
		{"workspace priority before route priority", [3]*int{priority(1), priority(0), priority(1)}, []want{
			{"engines", school, 0, 0}, {"engines", school, 1, 1}, {"engines", ward, 0, 3}, {"engines", ministry, 1, 4},
		}},
		{"workspaces without priority", [3]*int{nil, nil, nil}, []want{
			{"engines", ward, 0, 0}, {"engines", ward, 1, 1}, {"engines", nil, 2, 2},
		}},
		{"routes of another pool", [3]*int{priority(4), priority(4), priority(4)}, []want{
			{"printers", ward, 3, 0}, {"printers", school, 3, 0},
		}},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			r := &proto.Routing{Version: 1, Routes: routes, Pools: map[string]*proto.RelayPool{}}
			for i, w := range []*proto.RelayWorkspace{ward, school, ministry} {
				w.Priority = s.priorities[i]
				r.Workspaces = append(r.Workspaces, *w)
			}
			table := NewTable(r)
			for _, w := range s.want {
				if got := table.Rank(w.pool, w.owner, &routes[w.route]); got != w.rank {
					t.Errorf("%s: rank %d, want %d", routes[w.route].Name, got, w.rank)
				}
			}
		})
	}
}
