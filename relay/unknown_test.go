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
