package serve

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"emberlead/platform"
)

// TestAWatchAfterAFailureIsShort has the store fail once: the next call may be swallowed as well, so it must not be one
// that is waited for during seconds.
func TestAWatchAfterAFailureIsShort(t *testing.T) {
	var waits []string
	store := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		wait := r.URL.Query().Get("waitMs")
		if wait == "" {
			fmt.Fprint(w, `{"ver":7}`)
			return
		}
		waits = append(waits, wait)
		if len(waits) == 2 {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		fmt.Fprint(w, `{"ver":8}`)
	}))
	defer store.Close()
	client := platform.NewStore(netip.MustParseAddrPort(strings.TrimPrefix(store.URL, "http://")))
	w := &watcher{
		daemon: &Relay{clock: clockwork.NewRealClock(), log: hclog.NewNullLogger()}, name: "routing", table: client.Routing(), view: &view{},
		whole: func(platform.Entries) bool { return true }, change: func(platform.Entries) {},
	}
	version := uint64(0)
	for range 5 {
		next, err := w.step(context.Background(), version)
		w.note(err)
		version = max(version, next)
	}
	long, short := fmt.Sprint(watchWait.Milliseconds()), fmt.Sprint(probeWait.Milliseconds())
	if got, want := fmt.Sprint(waits), fmt.Sprint([]string{long, long, short, long}); got != want {
		t.Errorf("the store was asked to hold watches for %s ms, want %s", got, want)
	}
}
