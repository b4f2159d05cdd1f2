package relay

import (
	"net/http"
	"testing"

	"github.com/jonboulle/clockwork"
)

// TestUnknownRouteIsRefusedWhileANewerConfigurationIsOnItsWay guards against a final 404 or 401 for what the operator has added, at a daemon
// that knows that it has not got the newest configuration.
func TestUnknownRouteIsRefusedWhileANewerConfigurationIsOnItsWay(t *testing.T) {
	tables := &Tables{}
	clock := clockwork.NewFakeClock()
	s := NewServer(ServerConfig{Tables: tables, Clock: clock})
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
		tables.ObserveVersion(clock.Now(), step.heard)
		tables.ReplaceIfNewer(routing(step.inForce))
		fail := s.unknownFailure(http.StatusNotFound, "no route")
		if fail.status != step.want || (fail.retryAfter > 0) != (step.want == http.StatusServiceUnavailable) {
			t.Errorf("heard of %d, %d in force: %+v, want status %d", step.heard, step.inForce, fail, step.want)
		}
	}
	// Nobody tells of version 7 any more.
	clock.Advance(observedVersionTTL + 1)
	if fail := s.unknownFailure(http.StatusNotFound, "no route"); fail.status != http.StatusNotFound {
		t.Errorf("after a version was lost: %+v, want status 404", fail)
	}
}
