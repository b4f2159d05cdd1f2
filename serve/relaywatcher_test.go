package serve

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"emberlead/coord"
	"emberlead/platform"
	"emberlead/proto"
	"emberlead/relay"
)

// TestWatchAfterFailureIsShort has the store fail once: the next call may be lost as well, so it must not be a watch
// that is waited for over several seconds.
func TestWatchAfterFailureIsShort(t *testing.T) {
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
		daemon: &Relay{clock: clockwork.NewRealClock(), log: hclog.NewNullLogger()}, name: "routing", table: client.Routing(), freshness: &tableFreshness{},
		replace: func(platform.RowSet) bool { return true }, apply: func(platform.RowSet) {},
	}
	var version proto.Revision
	for range 5 {
		next, err := w.step(context.Background(), version)
		w.recordResult(err)
		version = proto.Latest(version, next)
	}
	long, short := fmt.Sprint(watchHold.Milliseconds()), fmt.Sprint(probeHold.Milliseconds())
	if got, want := fmt.Sprint(waits), fmt.Sprint([]string{long, long, short, long}); got != want {
		t.Errorf("the store was asked to hold watches for %s ms, want %s", got, want)
	}
}

// TestOnlyRefusedCallsDelayFollowers has a loop of a daemon that has just started fail while the loop that it follows
// has not reached the store either.
func TestOnlyRefusedCallsDelayFollowers(t *testing.T) {
	scenarios := []struct {
		name    string
		err     error
		reached bool
		most    time.Duration
	}{
		{"no answer", context.DeadlineExceeded, false, initialRetryDelay},
		{"refused like the other loop", platform.ErrRefused, false, maxFollowWait},
		{"refused while the other loop is answered", platform.ErrRefused, true, initialRetryDelay},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			d := &Relay{clock: clock, tables: &relay.Tables{}}
			leader := &watcher{daemon: d}
			leader.reached.Store(s.reached)
			if s.reached {
				d.peers = &relayPeers{clock: clock, self: proto.Alive{VM: "a"}, members: coord.NewMembers(proto.Alive{VM: "a"}, peerTiming(), coord.DefaultRings(), nil, nil)}
			}
			w := &watcher{daemon: d, leader: leader}
			resting, cancel := context.WithCancel(t.Context())
			defer cancel()
			began := clock.Now()
			go func() {
				w.backOff(context.Background(), s.err, initialRetryDelay)
				cancel()
			}()
			for clock.BlockUntilContext(resting, 1) == nil {
				clock.Advance(initialRetryDelay)
			}
			if took := clock.Now().Sub(began); took < s.most || took > s.most+2*initialRetryDelay {
				t.Errorf("the loop waited %s, want %s", took, s.most)
			}
		})
	}
}

// TestReadersDoubleUntilTheTablesAreKnown has a zone of 160 daemons start while nobody has the tables. Two of them read the store at
// first; if that brings nothing the number doubles, and each daemon reads within some seconds, but never all at once.
func TestReadersDoubleUntilTheTablesAreKnown(t *testing.T) {
	const daemons = 160
	clock := clockwork.NewFakeClock()
	alive := func(i int) proto.Alive {
		return proto.Alive{VM: proto.VM(fmt.Sprint("vm-", i)), Zone: "r/z", Incarnation: 1, Sequence: 1}
	}
	var relays []*Relay
	for i := range daemons {
		d := &Relay{clock: clock, tables: &relay.Tables{}, self: alive(i)}
		d.peers = &relayPeers{clock: clock, self: d.self, members: coord.NewMembers(d.self, peerTiming(), coord.DefaultRings(), noPeers{}, nil)}
		for other := range daemons {
			d.peers.members.HandleAlive(clock.Now(), alive(other), "")
		}
		relays = append(relays, d)
	}
	before := 0
	for _, scenario := range []struct {
		waited  time.Duration
		readers int
	}{
		{0, 2},
		{readerDoublingInterval - 1, 2},
		{readerDoublingInterval, 4},
		{3 * readerDoublingInterval, 16},
		{7 * readerDoublingInterval, daemons},
	} {
		readers := 0
		for _, d := range relays {
			if d.mayReadFirst(scenario.waited) {
				readers++
			}
		}
		if readers != scenario.readers || readers < before {
			t.Errorf("after %s %d daemons may read the store, want %d", scenario.waited, readers, scenario.readers)
		}
		before = readers
	}
}

// TestDaemonsWithoutTablesReadIfAsked guards against a fleet that starts while nobody has the tables, and whose daemons all read a few seconds
// later since their copies are old; one that a reader asks reads at once.
func TestDaemonsWithoutTablesReadIfAsked(t *testing.T) {
	const daemons = 160
	clock := clockwork.NewFakeClock()
	alive := func(i int) proto.Alive {
		return proto.Alive{VM: proto.VM(fmt.Sprint("vm-", i)), Zone: "r/z", Incarnation: 1, Sequence: 1}
	}
	for i := range daemons {
		d := &Relay{clock: clock, tables: &relay.Tables{}, self: alive(i)}
		d.routingFreshness.init(clock.Now().Add(-time.Minute))
		d.peers = &relayPeers{clock: clock, self: d.self, members: coord.NewMembers(d.self, peerTiming(), coord.DefaultRings(), noPeers{}, nil)}
		for other := range daemons {
			d.peers.members.HandleAlive(clock.Now(), alive(other), "")
		}
		if d.isAsked(&d.routingFreshness) {
			t.Fatalf("daemon %d reads although nobody asked it", i)
		}
		if d.standing().First {
			continue
		}
		d.routingFreshness.reader.HandleAsk(clock.Now(), "vm-0")
		if !d.isAsked(&d.routingFreshness) {
			t.Fatalf("daemon %d does not read although it was asked", i)
		}
	}
}

// noPeers drops all messages.
type noPeers struct{}

func (noPeers) Send(proto.VM, proto.Message) {}

func (noPeers) Call(context.Context, proto.VM, proto.Message) (proto.Message, error) {
	return nil, context.DeadlineExceeded
}

// TestRestartedDaemonsReadWhatTheStoreCanAnswer decides whether all daemons that restart together read the store at once. Where it answers
// them all within a moment, waiting for others only keeps callers waiting; a fleet of hundreds would overload it.
func TestRestartedDaemonsReadWhatTheStoreCanAnswer(t *testing.T) {
	for _, scenario := range []struct {
		daemons  int
		readRate float64
		want     bool
	}{{8, 2000, true}, {86, 6000, true}, {300, 6000, false}, {985, 16000, false}, {8, 0, false}} {
		if got := canAllRead(scenario.daemons, scenario.readRate); got != scenario.want {
			t.Errorf("%d daemons before a store of %.0f reads a second: %v, want %v", scenario.daemons, scenario.readRate, got, scenario.want)
		}
	}
}

// TestSlowAnswerConfirmsAsOfItsBeginning guards against a daemon that takes its state for current although the answer that says so was on
// its way for long: what changed meanwhile is not in it.
func TestSlowAnswerConfirmsAsOfItsBeginning(t *testing.T) {
	const transfer = 300 * time.Millisecond
	store := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, `{"ver":`)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(transfer)
		fmt.Fprint(w, `8}`)
	}))
	defer store.Close()
	client := platform.NewStore(netip.MustParseAddrPort(strings.TrimPrefix(store.URL, "http://")))
	clock := clockwork.NewRealClock()
	w := &watcher{
		daemon: &Relay{clock: clock, log: hclog.NewNullLogger()}, name: "routing", table: client.Routing(), freshness: &tableFreshness{},
		apply: func(platform.RowSet) {},
	}
	if _, err := w.step(context.Background(), proto.Revision{Version: 7}); err != nil {
		t.Fatal(err)
	}
	if age, known := w.freshness.age(clock.Now()); !known || age < transfer/2 {
		t.Errorf("the state is confirmed as of %s ago (%t), want about %s", age, known, transfer)
	}
}

// TestRetryAfterOfTheStoreIsObserved guards against a daemon that calls a store again sooner than it was told, or so late that it stays cut
// off from a store that serves it again.
func TestRetryAfterOfTheStoreIsObserved(t *testing.T) {
	for value, want := range map[string]time.Duration{"": 0, "0.5": 500 * time.Millisecond, "1": time.Second, "60": maxRequestedDelay, "1e300": maxRequestedDelay, "-1": 0, "NaN": 0, "soon": 0} {
		store := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Retry-After", value)
			w.WriteHeader(http.StatusTooManyRequests)
		}))
		_, err := platform.NewStore(netip.MustParseAddrPort(strings.TrimPrefix(store.URL, "http://"))).Routing().Read(t.Context())
		store.Close()
		if got := min(platform.RetryAfter(err), maxRequestedDelay); got != want || !errors.Is(err, platform.ErrRefused) {
			t.Errorf("Retry-After %q: waits %s after %v, want %s", value, got, err, want)
		}
	}
}
