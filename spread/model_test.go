package spread

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"emberlead/proto"
)

const (
	modelStep      = 10 * time.Millisecond
	modelHeartbeat = 300 * time.Millisecond
	modelLinks     = 8
	// modelLast versions appear, one each modelSpacing.
	modelLast    = 3
	modelSpacing = 2 * time.Second
	// modelRate is the rate of a daemon's link in bytes a second, 10 Mbit/s, and modelSize the size of what a version takes on the wire.
	modelRate = 1_250_000.0
	modelSize = 400_000.0
	// modelGiveUp is when a sender that is dead, frozen or cut off fails a request that waits for it.
	modelGiveUp = 3 * time.Second
)

// modelDaemon is a daemon of the model, with a link that all of its transfers share.
type modelDaemon struct {
	version int
	deadAt  time.Duration
	pulls   Puller
	sends   Sender
	asks    map[int]*modelAsk
	// sending counts the transfers that this daemon sends.
	sending int
}

// modelAsk is a request to a neighbor; the answer has the version that the neighbor had when it began.
type modelAsk struct {
	startedAt time.Duration
	version   int
	left      float64
}

// modelRules are the rules of a play: those of the package, or without one of its mechanisms.
type modelRules struct{ hedged, paced bool }

func (r modelRules) mayAsk(d *modelDaemon, now time.Duration, from int, a *modelAsk) bool {
	if !r.hedged {
		return len(d.asks) == 0
	}
	return d.pulls.Start(modelStart.Add(now), proto.VM(fmt.Sprint(from)), func() bool { return a.left < modelSize })
}

var modelStart = time.Time{}.Add(time.Hour)

// modelPlay plays one seed: a version every two seconds reaches two daemons, and passes on from there; some daemons die without a word while the last one spreads. It
// returns how long after its appearance the last version was in force at all that live.
func modelPlay(t *testing.T, seed uint64, count int, rules modelRules) time.Duration {
	random := rand.New(rand.NewPCG(seed, uint64(count)))
	daemons, links := make([]*modelDaemon, count), make([][]int, count)
	for i := range daemons {
		daemons[i] = &modelDaemon{asks: map[int]*modelAsk{}, sends: Sender{BytesPerSecond: modelRate}}
		if random.IntN(6) == 0 && i > 1 {
			daemons[i].deadAt = modelLast*modelSpacing + time.Duration(random.IntN(2000))*time.Millisecond
		}
		for range min(count-1, modelLinks) {
			if other := random.IntN(count); other != i {
				links[i], links[other] = append(links[i], other), append(links[other], i)
			}
		}
		links[i] = append(links[i], (i+1)%count, (i+count-1)%count)
	}
	alive := func(i int, now time.Duration) bool { return daemons[i].deadAt == 0 || now < daemons[i].deadAt }
	for now := time.Duration(0); now < time.Minute; now += modelStep {
		if version := int(now / modelSpacing); version <= modelLast {
			daemons[0].version, daemons[1].version = version, version
		}
		done := now >= modelLast*modelSpacing
		for i, d := range daemons {
			if !alive(i, now) {
				continue
			}
			done = done && d.version == modelLast
			for from, a := range d.asks {
				sender := daemons[from]
				switch {
				case now-a.startedAt > modelGiveUp && !alive(from, now):
					d.endAsk(from, sender)
				case alive(from, now):
					a.left -= modelRate * modelStep.Seconds() / float64(max(1, sender.sending, len(d.asks)))
				}
				if a.left <= 0 && d.asks[from] != nil {
					if a.version < d.version && seed == 0 {
						t.Logf("an answer with an older version is dropped")
					}
					d.version = max(d.version, a.version)
					d.endAsk(from, sender)
				}
			}
			// Heartbeats of neighbors come at moments of their own; one that died was heard until a moment before.
			for _, from := range links[i] {
				if (now+time.Duration(from)*modelStep)%modelHeartbeat != 0 || !alive(from, now-modelHeartbeat) || daemons[from].version <= d.version || d.asks[from] != nil {
					continue
				}
				a := &modelAsk{now, daemons[from].version, modelSize}
				if !rules.mayAsk(d, now, from, a) {
					continue
				}
				if !rules.paced || daemons[from].sends.Admit(modelStart.Add(now), modelSize) {
					d.asks[from] = a
					daemons[from].sending++
					continue
				}
				d.pulls.End(proto.VM(fmt.Sprint(from)))
			}
		}
		if done {
			return now - modelLast*modelSpacing
		}
	}
	return time.Minute
}

func (d *modelDaemon) endAsk(from int, sender *modelDaemon) {
	delete(d.asks, from)
	sender.sending--
	d.pulls.End(proto.VM(fmt.Sprint(from)))
}

// TestVersionsReachAllDaemonsAmongDeadOnes guards against daemons that wait for one that cannot answer: 200 seeds of 6, 80 and 300 daemons
// of which a sixth dies without a word, with links of 10 Mbit/s. A version must reach all others in four times what the transfers alone
// take over the number of hops.
func TestVersionsReachAllDaemonsAmongDeadOnes(t *testing.T) {
	for _, count := range []int{6, 80, 300} {
		t.Run(fmt.Sprint(count, " daemons"), func(t *testing.T) {
			t.Parallel()
			hops := 1
			for reached := 2; reached < count; reached *= modelLinks / 2 {
				hops++
			}
			transfer := time.Duration(modelSize / modelRate * float64(time.Second))
			limit := time.Duration(hops) * 4 * (transfer + modelHeartbeat)
			var most, unhedged, unpaced time.Duration
			for seed := range uint64(200) {
				if count > 80 && seed >= 40 {
					break
				}
				took := modelPlay(t, seed, count, modelRules{hedged: true, paced: true})
				if most = max(most, took); took > limit {
					t.Errorf("seed %d: %s until all have the last version, want at most %s", seed, took, limit)
				}
				if seed >= 20 {
					continue // The other rules are only played to compare.
				}
				unhedged = max(unhedged, modelPlay(t, seed, count, modelRules{paced: true}))
				unpaced = max(unpaced, modelPlay(t, seed, count, modelRules{hedged: true}))
			}
			t.Logf("at most %s, limit %s; %s if one daemon is asked at a time, %s if all are sent to at once", most, limit, unhedged, unpaced)
		})
	}
}
