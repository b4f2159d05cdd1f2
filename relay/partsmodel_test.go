package relay

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"emberlead/proto"
)

// The load of the model: requests of a pool of engines with prompts of three shared parts, one for all and one of many
// documents, and those with a part that ends each engine soon after it begins to answer on it.
const (
	partsModelSeeds   = 200
	partsModelLength  = 40 * time.Second
	partsModelStep    = 20 * time.Millisecond
	partsModelDaemons = 6
	partsModelTargets = 12
	// Documents are asked for unevenly: the kth one is as frequent as 1/k.
	partsModelDocuments = 60
	partsModelBadFrom   = 8 * time.Second
	// A request waits and is read for 0.1 to 0.8 s, and its answer takes 0.3 to 4 s. An engine ends crashTime after it begins.
	partsModelMinWait, partsModelMaxWait     = 100 * time.Millisecond, 800 * time.Millisecond
	partsModelMinAnswer, partsModelMaxAnswer = 300 * time.Millisecond, 4 * time.Second
	partsModelCrashTime                      = 60 * time.Millisecond
	partsModelDowntime                       = 3 * time.Second
	partsModelNewsDelay                      = 100 * time.Millisecond
	// contactTime is how long daemons have to learn what is known, and maxLateSends how many requests may be sent later.
	partsModelContact, partsModelFifth, partsModelLateSends = 3 * time.Second, 5, 3
)

type modelAttempt struct {
	parts          []proto.RequestDigest
	digest         proto.RequestDigest
	daemon, target int
	bad, proved    bool
	// ended is set if its engine has ended.
	ended           bool
	beginsAt, endAt time.Time
	retries         int
	probe           proto.RunName
	probedPart      proto.RequestDigest
}

type partsModel struct {
	t        *testing.T
	rng      *rand.Rand
	clock    *clockwork.FakeClock
	trackers []*CrashTracker
	// blocked holds the channels of the trackers that are closed when another part is refused.
	blocked  []<-chan struct{}
	news     []modelNews
	runs     []int
	downTill []time.Time
	running  []*modelAttempt
	nextID   uint64

	crashes, lateSends, sound, refused, lateSound, lateRefused int
	fifthAt                                                    time.Time
}

type modelNews struct {
	at time.Time
	to int
	m  proto.TargetEnds
}

func newPartsModel(t *testing.T, seed uint64) *partsModel {
	p := &partsModel{t: t, rng: rand.New(rand.NewPCG(seed, 7)), clock: clockwork.NewFakeClockAt(start), runs: make([]int, partsModelTargets), blocked: make([]<-chan struct{}, partsModelDaemons), downTill: make([]time.Time, partsModelTargets)}
	for i := range partsModelDaemons {
		p.trackers = append(p.trackers, NewCrashTracker(proto.VM(fmt.Sprint("vm-", i)), p.clock, hclog.NewNullLogger(), func(m proto.TargetEnds, from proto.VM) {
			if from != proto.VM(fmt.Sprint("vm-", i)) {
				return
			}
			for to := range partsModelDaemons {
				if to != i {
					p.news = append(p.news, modelNews{p.clock.Now().Add(partsModelNewsDelay), to, m})
				}
			}
		}))
	}
	return p
}

func modelPart(name string) proto.RequestDigest {
	return partDigests([]proto.PromptPart{{ID: name}, {ID: "own"}})[0]
}

func (p *partsModel) document() proto.RequestDigest {
	for {
		k := 1 + p.rng.IntN(partsModelDocuments)
		if p.rng.IntN(k) == 0 {
			return modelPart(fmt.Sprint("document ", k))
		}
	}
}

func (p *partsModel) between(low, high time.Duration) time.Duration {
	return low + time.Duration(p.rng.Int64N(int64(high-low)))
}

// send sends a request from a daemon, unless it is refused there.
func (p *partsModel) send(a modelAttempt) {
	now := p.clock.Now()
	a.daemon = p.rng.IntN(partsModelDaemons)
	tracker := p.trackers[a.daemon]
	for _, key := range append([]proto.RequestDigest{a.digest}, a.parts...) {
		if _, blocked := tracker.Blocks(key); !blocked {
			continue
		}
		if owner := int(key % partsModelDaemons); key.IsPart() && owner == a.daemon && tracker.MayProbe(key) {
			a.probe, a.probedPart = tracker.StartProbe(key), key
			continue
		}
		p.countRefusal(&a)
		return
	}
	a.target = p.rng.IntN(partsModelTargets)
	for n := 0; now.Before(p.downTill[a.target]); n++ {
		if n == partsModelTargets {
			return
		}
		a.target = (a.target + 1) % partsModelTargets
	}
	if a.bad && !p.fifthAt.IsZero() && now.Sub(p.fifthAt) > partsModelContact {
		p.lateSends++
	}
	a.beginsAt = now.Add(p.between(partsModelMinWait, partsModelMaxWait))
	a.endAt, a.proved = a.beginsAt.Add(p.between(partsModelMinAnswer, partsModelMaxAnswer)), false
	p.running = append(p.running, &a)
}

func (p *partsModel) countRefusal(a *modelAttempt) {
	if a.bad {
		return
	}
	p.refused++
	if !p.fifthAt.IsZero() && p.clock.Now().Sub(p.fifthAt) > 2*partsModelContact {
		p.lateRefused++
	}
}

func (p *partsModel) run(target int) proto.RunName {
	return proto.RunName(fmt.Sprint("t-", target, "-", p.runs[target]))
}

// end ends an engine with all that it runs. What had not begun, or only just, is sent again once.
func (p *partsModel) end(target int) {
	now := p.clock.Now()
	accused := map[int][]proto.RequestDigest{}
	var again []modelAttempt
	p.running = slices.DeleteFunc(p.running, func(a *modelAttempt) bool {
		if a.target != target {
			return false
		}
		a.ended = true
		accused[a.daemon] = append(accused[a.daemon], a.digest)
		if now.Sub(a.beginsAt) < soundTime {
			accused[a.daemon] = append(accused[a.daemon], a.parts...)
		}
		if a.retries > 0 && a.probe == "" {
			a.retries--
			again = append(again, *a)
			again[len(again)-1].ended = false
		}
		return true
	})
	for daemon := range partsModelDaemons {
		p.trackers[daemon].RecordEnd(p.run(target), now, accused[daemon])
	}
	p.runs[target]++
	p.downTill[target] = now.Add(partsModelDowntime)
	for _, a := range again {
		p.send(a)
	}
}

func (p *partsModel) step() {
	p.clock.Advance(partsModelStep)
	now := p.clock.Now()
	due := slices.Clone(p.news)
	p.news = slices.DeleteFunc(p.news, func(n modelNews) bool { return !n.at.After(now) })
	for _, n := range due {
		if !n.at.After(now) {
			p.trackers[n.to].Merge(n.m, "other")
		}
	}
	p.running = slices.DeleteFunc(p.running, func(a *modelAttempt) bool {
		return p.partsChanged(a.daemon) && now.Before(a.beginsAt) && a.probe == "" && slices.ContainsFunc(a.parts, func(part proto.RequestDigest) bool {
			_, blocked := p.trackers[a.daemon].Blocks(part)
			return blocked
		})
	})
	for i, tracker := range p.trackers {
		p.blocked[i] = tracker.partsBlocked()
	}
	for _, a := range slices.Clone(p.running) {
		switch {
		case a.ended:
		case a.bad && !now.Before(a.beginsAt.Add(partsModelCrashTime)):
			p.crashes++
			if p.crashes == partsModelFifth {
				p.fifthAt = now
			}
			p.end(a.target)
		case !a.proved && !now.Before(a.beginsAt.Add(soundTime)):
			a.proved = true
			for _, part := range a.parts {
				p.trackers[a.daemon].RecordAnswer(part)
			}
		}
	}
	p.running = slices.DeleteFunc(p.running, func(a *modelAttempt) bool {
		done := !now.Before(a.endAt) && !now.Before(a.beginsAt.Add(soundTime))
		if done {
			p.trackers[a.daemon].RecordAnswer(a.digest)
		}
		return done
	})
}

// partsChanged reports whether a daemon refuses another part since the last step.
func (p *partsModel) partsChanged(daemon int) bool {
	select {
	case <-p.blocked[daemon]:
		return true
	default:
		return false
	}
}

func (p *partsModel) request(bad bool) modelAttempt {
	p.nextID++
	a := modelAttempt{parts: []proto.RequestDigest{modelPart("all"), p.document()}, digest: proto.NewRequestDigest(p.nextID), bad: bad, retries: 3}
	if bad {
		a.parts = append(a.parts, modelPart("bad"))
	}
	return a
}

// modelWave is a number of engines that end together, and the mean time between two waves.
type modelWave struct {
	engines  int
	interval time.Duration
}

// play runs the load, with requests with the bad part or with waves in which engines end for other reasons.
func (p *partsModel) play(bad bool, wave modelWave) {
	for end := start.Add(partsModelLength); p.clock.Now().Before(end); {
		p.step()
		for range 1 + p.rng.IntN(2) {
			if p.rng.IntN(2) == 0 {
				p.sound++
				if !p.fifthAt.IsZero() && p.clock.Now().Sub(p.fifthAt) > 2*partsModelContact {
					p.lateSound++
				}
				p.send(p.request(false))
			}
		}
		if p.clock.Now().Sub(start) < partsModelBadFrom {
			continue
		}
		if bad && p.rng.IntN(12) == 0 {
			p.send(p.request(true))
		}
		if wave.engines > 0 && p.rng.Int64N(int64(wave.interval/partsModelStep)) == 0 {
			for _, target := range p.rng.Perm(partsModelTargets)[:wave.engines] {
				if !p.clock.Now().Before(p.downTill[target]) {
					p.end(target)
				}
			}
		}
	}
}

// TestPartsAreBlockedAfterFiveEnds guards against a part of prompts that ends one engine after the other, and against sound
// requests that are refused beside it.
func TestPartsAreBlockedAfterFiveEnds(t *testing.T) {
	var crashes, sound, refused, lateSound, lateRefused int
	for seed := range uint64(partsModelSeeds) {
		p := newPartsModel(t, seed)
		p.play(true, modelWave{})
		crashes, sound, refused = crashes+p.crashes, sound+p.sound, refused+p.refused
		lateSound, lateRefused = lateSound+p.lateSound, lateRefused+p.lateRefused
		if p.lateSends > partsModelLateSends {
			t.Errorf("seed %d: %d requests were sent later than %s after the end of %d engines, %d ended", seed, p.lateSends, partsModelContact, partsModelFifth, p.crashes)
		}
		if 2*p.lateRefused > p.lateSound {
			t.Errorf("seed %d: %d of %d sound requests were refused from %s after it", seed, p.lateRefused, p.lateSound, 2*partsModelContact)
		}
	}
	t.Logf("%.1f engines ended in a play, %d of %d sound requests were refused, %d of %d later", float64(crashes)/partsModelSeeds, refused, sound, lateRefused, lateSound)
}

// TestFewPartsAreBlockedByWaves guards against sound requests that are refused since engines end in waves for other reasons.
func TestFewPartsAreBlockedByWaves(t *testing.T) {
	const maxRefusedShare = 0.02
	for _, wave := range []modelWave{{2, 2 * time.Second}, {6, 2 * time.Second}, {partsModelTargets, 10 * time.Second}} {
		var sound, refused int
		for seed := range uint64(partsModelSeeds / 4) {
			p := newPartsModel(t, seed)
			p.play(false, wave)
			sound, refused = sound+p.sound, refused+p.refused
		}
		t.Logf("waves of %d: %d of %d sound requests were refused", wave.engines, refused, sound)
		if float64(refused) > maxRefusedShare*float64(sound) {
			t.Errorf("waves of %d engines: %d of %d sound requests were refused", wave.engines, refused, sound)
		}
	}
}
