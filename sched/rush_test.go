package sched_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"emberlead/sched"
)

// The load of the model: callers open a connection for each request. During the rush most go to one daemon, and callers
// open twice as many.
const (
	rushSeeds   = 200
	rushStep    = 10 * time.Millisecond
	rushBegin   = 8 * time.Second
	rushEnd     = 16 * time.Second
	rushContact = 3 * time.Second
	rushDaemons = 6
	// rushMaxOpen is the number of requests that a daemon may have open, and rushNewsAge how old the load of others is.
	rushMaxOpen  = 64
	rushNewsAge  = 300 * time.Millisecond
	rushToOne    = 0.85
	rushMinRatio = 0.75
)

type rushModel struct {
	rng    *rand.Rand
	ways   []*sched.Rush
	ends   [rushDaemons][]time.Duration
	denied [rushDaemons]int64
	// read and served count requests at the first daemon that read them.
	read, served, closed int
}

func (m *rushModel) open(daemon int) int64 { return int64(len(m.ends[daemon])) }

// request sends one request, to another daemon after each one that closes the connection unread.
func (m *rushModel) request(now time.Duration, daemon int, govern bool) {
	const tries = 2
	for try := range tries {
		if govern && m.ways[daemon].Closes(time.Unix(0, 0).Add(now), m.open(daemon), m.rng.Float64()) {
			m.closed++
			daemon = (daemon + 1 + m.rng.IntN(rushDaemons-1)) % rushDaemons
			if try == tries-1 {
				m.read++
			}
			continue
		}
		m.read++
		if m.open(daemon) >= rushMaxOpen {
			m.denied[daemon]++
			return
		}
		m.served++
		m.ends[daemon] = append(m.ends[daemon], now+200*time.Millisecond+time.Duration(m.rng.Int64N(int64(800*time.Millisecond))))
		return
	}
}

// play returns the share of requests that were served at the first daemon that read them, before the rush and from
// rushContact after its begin on.
func playRush(seed uint64, govern bool) (before, during float64) {
	m := &rushModel{rng: rand.New(rand.NewPCG(seed, 3))}
	for range rushDaemons {
		m.ways = append(m.ways, new(sched.Rush))
	}
	for now := time.Duration(0); now < rushEnd; now += rushStep {
		for d := range m.ends {
			m.ends[d] = slices.DeleteFunc(m.ends[d], func(end time.Duration) bool { return end <= now })
		}
		if now%rushNewsAge == 0 {
			for d := range m.ways {
				others := 0.0
				for other := range m.ends {
					if other != d {
						others += float64(m.open(other)) / (rushDaemons - 1)
					}
				}
				m.ways[d].Observe(sched.RushLoad{Open: m.open(d), MaxOpen: rushMaxOpen, OthersOpen: others, Refused: m.denied[d]})
				m.denied[d] = 0
			}
		}
		rush := now >= rushBegin
		if now == rushBegin+rushContact {
			m.read, m.served = 0, 0
		}
		requests := 1 + m.rng.IntN(2)
		if rush {
			requests *= 2
		}
		for range requests {
			daemon := m.rng.IntN(rushDaemons)
			if rush && m.rng.Float64() < rushToOne {
				daemon = 0
			}
			m.request(now, daemon, govern)
		}
		if now+rushStep == rushBegin {
			before = float64(m.served) / float64(m.read)
		}
	}
	return before, float64(m.served) / float64(m.read)
}

// TestMostConnectionsAtOneDaemon guards against requests that a daemon reads and cannot serve, while most new connections
// go to it and the others have room.
func TestMostConnectionsAtOneDaemon(t *testing.T) {
	for _, govern := range []bool{false, true} {
		t.Run(fmt.Sprintf("closes connections %t", govern), func(t *testing.T) {
			worst, sum := 1.0, 0.0
			for seed := range uint64(rushSeeds) {
				before, during := playRush(seed, govern)
				worst, sum = min(worst, during/before), sum+during/before
				if govern && during < rushMinRatio*before {
					t.Errorf("seed %d: %.3f served before and %.3f during the rush", seed, before, during)
				}
			}
			t.Logf("served during the rush against before: %.3f, at least %.3f", sum/rushSeeds, worst)
		})
	}
}

func TestRushCloses(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	scenarios := []struct {
		name   string
		load   sched.RushLoad
		closes bool
	}{
		{"idle", sched.RushLoad{Open: 1, MaxOpen: 100, OthersOpen: 0}, false},
		{"uneven, but not saturated", sched.RushLoad{Open: 50, MaxOpen: 100, OthersOpen: 2}, false},
		{"saturated like the others", sched.RushLoad{Open: 90, MaxOpen: 100, OthersOpen: 80}, false},
		{"saturated, and none other was heard", sched.RushLoad{Open: 90, MaxOpen: 100, OthersOpen: -1}, false},
		{"uneven, many open", sched.RushLoad{Open: 80, MaxOpen: 100, OthersOpen: 2}, true},
		{"uneven, own limits", sched.RushLoad{Open: 20, MaxOpen: 100, OthersOpen: 2, Refused: 1}, true},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			var r sched.Rush
			r.Closes(now, 0, 1)
			r.Observe(s.load)
			if got := r.Closes(now, s.load.Open, 0); got != s.closes {
				t.Errorf("closes %t, want %t", got, s.closes)
			}
			if r.Closes(now.Add(time.Second), s.load.Open, 0) {
				t.Error("no connection is taken for a second")
			}
		})
	}
}
