package relay

import (
	"testing"

	"emberlead/proto"
)

func routing(version uint64, routes ...proto.Route) *proto.Routing {
	return &proto.Routing{
		Version: version, Routes: routes, Pools: map[string]*proto.RelayPool{},
		Workspaces: []proto.RelayWorkspace{{Name: "north", Keys: []string{"key-1", "key-2"}}},
	}
}

func TestLongestPrefixOfHostMatches(t *testing.T) {
	table := NewTable(routing(1,
		proto.Route{Name: "wide", Host: "a.example", Prefix: "/"},
		proto.Route{Name: "deep", Host: "a.example", Prefix: "/x/y/"},
		proto.Route{Name: "middle", Host: "a.example", Prefix: "/x/"},
		proto.Route{Name: "other", Host: "b.example", Prefix: "/only/"},
	))
	scenarios := []struct{ name, host, path, want string }{
		{"longest", "a.example", "/x/y/z", "deep"},
		{"shorter", "a.example", "/x/z", "middle"},
		{"root", "a.example", "/q", "wide"},
		{"a prefix ends with a slash", "a.example", "/x", "wide"},
		{"case and port of the host do not matter", "A.Example:8080", "/x/y/", "deep"},
		{"no matching route of the host", "b.example", "/x/", ""},
		{"unknown host", "c.example", "/", ""},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			got := ""
			if route := table.Match(s.host, s.path); route != nil {
				got = route.Name
			}
			if got != s.want {
				t.Errorf("route %q, want %q", got, s.want)
			}
		})
	}
}

func TestAPIKeysBelongToWorkspaces(t *testing.T) {
	table := NewTable(routing(1))
	if w := table.Owner("key-2"); w == nil || w.Name != "north" {
		t.Errorf("the owner of key-2 is %v", w)
	}
	if table.Owner("") != nil || table.Owner("key-3") != nil {
		t.Error("an unknown API key has an owner")
	}
}

func TestTableVersionNeverDecreases(t *testing.T) {
	tables := &Tables{}
	if tables.Current() != nil || tables.Version() != 0 {
		t.Fatal("there is a current table before any was set")
	}
	for _, s := range []struct {
		version uint64
		adopted bool
	}{{5, true}, {4, false}, {5, false}, {9, true}, {8, false}} {
		if got := tables.ReplaceIfNewer(routing(s.version)); got != s.adopted {
			t.Errorf("version %d became current: %v, want %v", s.version, got, s.adopted)
		}
	}
	if tables.Version() != 9 {
		t.Errorf("the current version is %d, want 9", tables.Version())
	}
}
