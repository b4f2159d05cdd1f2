package relay

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
)

// All daemons die while the store is down, so that no daemon has a configuration. Callers retry once: one that is told
// 0.4 s, as by a busy daemon, returns into an outage of seconds and is lost, and one that returns too late leaves no
// time to be served. Outages of the platform's store last some seconds; deadlines of streams are 6 to 20 s and those of
// short requests about 1 s.
func TestOutageRetryAfter(t *testing.T) {
	scenarios := []struct {
		wait, least, most time.Duration
	}{
		{8 * time.Second, 2100 * time.Millisecond, 2667 * time.Millisecond},
		{20 * time.Second, 5300 * time.Millisecond, 6667 * time.Millisecond},
		{time.Second, 260 * time.Millisecond, 334 * time.Millisecond},
		{300 * time.Millisecond, minOutageRetry, minOutageRetry},
		{0, outageDefaultRetry, outageDefaultRetry},
	}
	for _, s := range scenarios {
		t.Run(s.wait.String(), func(t *testing.T) {
			earliest, latest := time.Hour, time.Duration(0)
			for i := range 200 {
				wait := outageRetryAfter(&Request{ID: fmt.Sprint("request-", i), CallerTimeout: s.wait})
				earliest, latest = min(earliest, wait), max(latest, wait)
			}
			if earliest < s.least || latest > s.most {
				t.Errorf("callers retry after %s to %s, want %s to %s", earliest, latest, s.least, s.most)
			}
			if s.wait > time.Second && latest-earliest < (s.most-s.least)/2 {
				t.Errorf("simultaneous callers retry within %s of each other", latest-earliest)
			}
		})
	}
}

// waitDialect parses the timeout of a caller, and records when the caller is to retry.
type waitDialect struct {
	stubDialect
	wait, back time.Duration
}

func (d *waitDialect) ParseRequest(*http.Request) (*Request, error) {
	return &Request{ID: "r", CallerTimeout: d.wait}, nil
}

func (d *waitDialect) SetRetryAfter(_ http.Header, wait time.Duration) { d.back = wait }

func TestUnconfiguredServerSetsRetryAfter(t *testing.T) {
	dialect := &waitDialect{wait: 6 * time.Second}
	s := NewServer(ServerConfig{
		Clock: clockwork.NewFakeClockAt(start), Log: hclog.NewNullLogger(), Dialect: dialect, Tables: &Tables{}, Limits: Limits{MaxOpen: 1},
	})
	answer := httptest.NewRecorder()
	s.ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/", nil))
	if answer.Code != http.StatusServiceUnavailable || dialect.back < 1600*time.Millisecond || dialect.back > 2*time.Second {
		t.Errorf("status %d, retry after %s", answer.Code, dialect.back)
	}
}
