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
