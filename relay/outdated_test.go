package relay

import (
	"net/http"
	"testing"
)

// TestUnknownRouteIsRefusedWhileANewerConfigurationIsOnItsWay guards against a final 404 or 401 for what the operator has added, at a daemon
// that knows that it has not got the newest configuration.
func TestUnknownRouteIsRefusedWhileANewerConfigurationIsOnItsWay(t *testing.T) {
	tables := &Tables{}
	s := &Server{tables: tables}
	tables.ReplaceIfNewer(routing(3))
	for _, step := range []struct {
		heard, inForce uint64
		want           int
	}{
		{3, 3, http.StatusNotFound},
		{5, 3, http.StatusServiceUnavailable},
		{4, 3, http.StatusServiceUnavailable},
		{4, 5, http.StatusNotFound},
		{7, 6, http.StatusServiceUnavailable},
	} {
		tables.ObserveVersion(step.heard)
		tables.ReplaceIfNewer(routing(step.inForce))
		fail := s.unknownFailure(http.StatusNotFound, "no route")
		if fail.status != step.want || (fail.retryAfter > 0) != (step.want == http.StatusServiceUnavailable) {
			t.Errorf("heard of %d, %d in force: %+v, want status %d", step.heard, step.inForce, fail, step.want)
		}
	}
}
