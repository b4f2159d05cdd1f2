package relay

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"emberlead/proto"
)

// TestRefusalsOfUnknownRoutesTellTheAgeOfTheConfiguration guards against refusals of unknown routes of which nobody can tell afterwards whether
// the daemon knew the newest configuration.
func TestRefusalsOfUnknownRoutesTellTheAgeOfTheConfiguration(t *testing.T) {
	scenarios := []struct {
		name  string
		age   time.Duration
		known bool
		want  string
	}{
		{"confirmed", 700 * time.Millisecond, true, `"routingAge":"700ms"`},
		{"never confirmed", 0, false, `"routingAge":"unknown"`},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			var out bytes.Buffer
			tables := &Tables{}
			tables.ReplaceIfNewer(routing(3))
			server := NewServer(ServerConfig{
				Tables: tables, Clock: clockwork.NewFakeClock(), Log: hclog.New(&hclog.LoggerOptions{Output: &out, JSONFormat: true}), Dialect: stubDialect{},
				RoutingAge: func(time.Time) (time.Duration, bool) { return s.age, s.known },
			})
			server.refuse(httptest.NewRecorder(), server.unknownFailure(http.StatusNotFound, "no route"), &flow{req: &Request{ID: "r1"}, routingVersion: 3}, time.Time{})
			if line := out.String(); !strings.Contains(line, s.want) || !strings.Contains(line, `"routing":3`) {
				t.Errorf("the line is %s, want %s in it", line, s.want)
			}
			if stats := server.Counts().Stats().Unknown; stats.Rejected+stats.Deferred != 1 || s.known && stats.AgeMillis["p50"] < 690 {
				t.Errorf("counted as %+v", stats)
			}
		})
	}
}

// TestUnknownRouteIsRejectedOnlyByTheNewestConfiguration guards against a final 404 or 401 by a daemon that cannot know whether the operator
// has added the route or the key.
func TestUnknownRouteIsRejectedOnlyByTheNewestConfiguration(t *testing.T) {
	const limit = 2 * time.Second
	scenarios := []struct {
		name  string
		age   time.Duration
		known bool
		limit time.Duration
		want  int
	}{
		{"confirmed within the time of a change", limit, true, limit, http.StatusNotFound},
		{"confirmed before that", limit + 1, true, limit, http.StatusServiceUnavailable},
		{"never confirmed", 0, false, limit, http.StatusServiceUnavailable},
		{"changes have no limit", time.Hour, true, 0, http.StatusNotFound},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			tables := &Tables{}
			tables.ReplaceIfNewer(routing(3))
			server := NewServer(ServerConfig{Tables: tables, Clock: clockwork.NewFakeClock(), MaxRoutingAge: s.limit, RoutingAge: func(time.Time) (time.Duration, bool) { return s.age, s.known }})
			fail := server.unknownFailure(http.StatusNotFound, "no route")
			if fail.status != s.want || (fail.retryAfter > 0) != (s.want == http.StatusServiceUnavailable) {
				t.Errorf("status %d, Retry-After %s, want status %d", fail.status, fail.retryAfter, s.want)
			}
		})
	}
}

// TestReplacedConfigurationRejectsNothing guards against a final 404 or 401 for a route or a key that was looked up in one configuration, where
// the evidence of being the newest is that of the next one, which came into force in between.
func TestReplacedConfigurationRejectsNothing(t *testing.T) {
	route := proto.Route{Name: "added", Host: "a.example", Prefix: "/added/"}
	scenarios := []struct {
		name   string
		before *proto.Routing
	}{
		{"a route was added", routing(3)},
		{"a key was added", &proto.Routing{Version: 3, Routes: []proto.Route{route}, Workspaces: []proto.RelayWorkspace{{Name: "north", Keys: []string{"key-9"}}}}},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			tables := &Tables{}
			tables.ReplaceIfNewer(s.before)
			server := NewServer(ServerConfig{Tables: tables, Clock: clockwork.NewFakeClock(), MaxRoutingAge: time.Second, RoutingAge: func(time.Time) (time.Duration, bool) {
				tables.ReplaceIfNewer(routing(4, route))
				return 0, true
			}})
			f := &flow{server: server, req: &Request{ID: "r1", Host: "a.example", Path: "/added/1", APIKey: "key-1"}}
			if _, fail := f.findTable(); fail != nil {
				t.Fatalf("refused with %d: %s", fail.status, fail.reason)
			}
			if f.routingVersion != 4 || f.route == nil || f.workspace != "north" {
				t.Errorf("found %+v of workspace %q in version %d", f.route, f.workspace, f.routingVersion)
			}
			if _, fail := (&flow{server: server, req: &Request{ID: "r2", Host: "a.example", Path: "/other/"}}).findTable(); fail == nil || fail.status != http.StatusNotFound {
				t.Errorf("a route that no configuration has: %+v", fail)
			}
		})
	}
}
