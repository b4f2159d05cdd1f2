package relay

import (
	"strings"
	"testing"
	"testing/synctest"

	"emberlead/proto"
)

// TestLogTellsWhenTargetsMayHaveWorked guards against a request that two targets worked on, of which the log does not tell when each
// one got it, when it was told to stop, and when its connection was closed.
func TestLogTellsWhenTargetsMayHaveWorked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRaced(proto.RouteStream, hangs, streamed(raceTypicalLatency, 1, 2, 3))
		r.end(t)
		r.finish(t.Context(), nil)
		synctest.Wait()
		log := r.log.String()
		for _, want := range []string{
			"request sent: request=r target=t0", "request sent: request=r target=t1",
			"attempts=[\"{t0  0s 50ms 50ms 50ms ", "may have run: another target goes on with the request}", "{t1  50ms   53.5ms answered}",
		} {
			if !strings.Contains(log, want) {
				t.Errorf("the log lacks %q:\n%s", want, log)
			}
		}
	})
}
