package relay

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"emberlead/proto"
)

// withinFraction reports whether got differs from want by less than a fraction of want.
func withinFraction(got, want, part float64) bool { return math.Abs(got-want) < part*want }

// simulatedPool is a pool whose calls take known times with noise.
type simulatedPool struct {
	call  float64
	piece map[int]float64
	noise *rand.Rand
}

func (s *simulatedPool) callTime(amounts map[int]float64) float64 {
	sum := s.call
	for bytes, n := range amounts {
		if bytes != fixedCallCost {
			sum += n * s.piece[bytes]
		}
	}
	return sum * (0.9 + 0.2*s.noise.Float64())
}

// randomCall returns the contents of a random call of a busy pool.
func randomCall(noise *rand.Rand) map[int]float64 {
	return map[int]float64{fixedCallCost: 1, 8_000: float64(noise.IntN(5)), 60_000: 1 + float64(noise.IntN(6))}
}

func TestCallModelLearnsCallTimes(t *testing.T) {
	const ms = float64(time.Millisecond)
	scenarios := []struct {
		name       string
		call       float64
		small, big float64
	}{
		{"as configured", 200 * ms, 20 * ms, 20 * ms},
		{"stages differ", 200 * ms, 6 * ms, 25 * ms},
		{"twice as long", 400 * ms, 40 * ms, 40 * ms},
		{"half as long", 100 * ms, 10 * ms, 10 * ms},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			noise := rand.New(rand.NewPCG(1, 2))
			truth := simulatedPool{call: s.call, piece: map[int]float64{8_000: s.small, 60_000: s.big}, noise: noise}
			m := newCallModel(proto.BatchSpec{CallCost: 200 * time.Millisecond, PieceCost: 20 * time.Millisecond})
			// Five targets make about four calls each in two seconds.
			for range 20 {
				amounts := randomCall(noise)
				m.times.observe(amounts, truth.callTime(amounts))
			}
			off := 0.0
			for range 100 {
				amounts := randomCall(noise)
				off += math.Abs(m.times.sum(amounts)-truth.callTime(amounts)) / truth.callTime(amounts) / 100
			}
			if off > 0.15 {
				t.Errorf("predicted call times are off by %.0f%% on average", 100*off)
			}
		})
	}
}

func TestCallModelIsRobustToOutliers(t *testing.T) {
	m := newCallModel(proto.BatchSpec{CallCost: 200 * time.Millisecond, PieceCost: 20 * time.Millisecond})
	amounts := map[int]float64{fixedCallCost: 1, 60_000: 8}
	usual := m.times.sum(amounts)
	m.times.observe(amounts, 1000*usual)
	if got := m.times.sum(amounts); got > 1.25*usual {
		t.Errorf("one outlier of a thousand times the expected time changed the prediction by a factor of %.2f", got/usual)
	}
	for range 1000 {
		m.times.observe(amounts, 1000*usual)
	}
	if got := m.times.sum(amounts); got > maxCallDeviation*usual*1.01 {
		t.Errorf("many outliers changed the prediction by a factor of %.2f", got/usual)
	}
	m.times.observe(map[int]float64{}, 5)
	m.times.observe(amounts, 0)
	if got := m.times.sum(amounts); math.IsNaN(got) || got <= 0 {
		t.Errorf("predicted %v", got)
	}
}

func TestCallModelResetsOnChangedSpec(t *testing.T) {
	spec := proto.BatchSpec{CallCost: 200 * time.Millisecond, PieceCost: 20 * time.Millisecond}
	m := newCallModel(spec)
	for range 50 {
		m.times.observe(map[int]float64{fixedCallCost: 1, 1: 4}, float64(time.Second))
	}
	learned := m.callCost()
	spec.MaxPieces = 12
	m.updateSpec(spec)
	if m.callCost() != learned {
		t.Error("estimates were reset although only the maximum call size changed")
	}
	spec.CallCost = 400 * time.Millisecond
	m.updateSpec(spec)
	if m.callCost() != float64(spec.CallCost) {
		t.Errorf("fixed call time %v", time.Duration(m.callCost()))
	}
}

// simulatedFirstEvent returns the simulated time to the first event of a request at an engine.
func simulatedFirstEvent(start, token time.Duration, noise *rand.Rand) func(map[engineWork]float64) float64 {
	return func(work map[engineWork]float64) float64 {
		plain := float64(start) + work[workPerToken]*float64(token)
		return plain * (0.7 + 0.6*noise.Float64())
	}
}

func TestEngineModelLearnsFromFirstEvents(t *testing.T) {
	scenarios := []struct {
		name         string
		start, token time.Duration
	}{
		{"fast", 40 * time.Millisecond, 13 * time.Microsecond},
		{"usual", 70 * time.Millisecond, 30 * time.Microsecond},
		{"slow", 130 * time.Millisecond, 60 * time.Microsecond},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			noise := rand.New(rand.NewPCG(3, 4))
			truth := simulatedFirstEvent(s.start, s.token, noise)
			m := newEngineModel()
			// Two seconds of forty requests a second.
			for range 80 {
				work := map[engineWork]float64{workPerRequest: 1, workPerToken: 300 + 6000*noise.Float64(), workPerStream: float64(noise.IntN(10))}
				m.times.observe(work, truth(work))
			}
			for _, tokens := range []float64{500, 3000, 9000} {
				work := map[engineWork]float64{workPerRequest: 1, workPerToken: tokens, workPerStream: 5}
				want := float64(s.start) + tokens*float64(s.token)
				if got := m.times.sum(work); !withinFraction(got, want, 0.35) {
					t.Errorf("%v tokens: predicted %v, want %v", tokens, time.Duration(got), time.Duration(want))
				}
			}
		})
	}
}

func TestFleetAvoidsEngineThatBecomesSlow(t *testing.T) {
	f := engineFleet(6)
	now := start
	slow := "e02"
	counts := map[string]int{}
	for i := range 400 {
		w := promptCriteria("", 0, 2000)
		w.SharedParts = nil
		target := f.Pick(now, "p", w)
		took := 150 * time.Millisecond
		if target.Spec.ID == slow {
			took *= 5
		}
		if i >= 200 {
			counts[target.Spec.ID]++
		}
		f.RecordResponseStart(now.Add(took), target, w)
		f.FinishAttempt(now.Add(took), target, w, true, VerdictSuccess, Load{})
		now = now.Add(20 * time.Millisecond)
	}
	if counts[slow]*3 > 200/6 {
		t.Errorf("the slow engine got %d of 200 requests: %v", counts[slow], counts)
	}
}

func TestFleetAdoptsEngineTimesOfPlacer(t *testing.T) {
	owner, other := engineFleet(4), engineFleet(4)
	w := promptCriteria("", 0, 3000)
	w.SharedParts = nil
	for range 60 {
		target := owner.Pick(start, "p", w)
		owner.RecordResponseStart(start.Add(600*time.Millisecond), target, w)
		owner.FinishAttempt(start.Add(time.Second), target, w, true, VerdictSuccess, Load{})
	}
	other.SetEngineTimes("p", owner.EngineTimes("p"))
	learned, adopted := owner.EngineTimes("p"), other.EngineTimes("p")
	if learned != adopted || learned.PerPromptToken <= priorPerToken {
		t.Errorf("learned %+v, adopted %+v", learned, adopted)
	}
	other.SetEngineTimes("p", proto.EngineTimes{})
	if other.EngineTimes("p") != adopted {
		t.Error("empty engine times replaced the estimates")
	}
}

// TestLongPromptAvoidsStreamsWithShortPauses offers an engine whose streams allow short pauses and one whose streams
// allow long ones.
func TestLongPromptAvoidsStreamsWithShortPauses(t *testing.T) {
	f := engineFleet(2)
	tight, loose := promptCriteria("", 0, 10), promptCriteria("", 0, 10)
	tight.MaxPause, loose.MaxPause = 100*time.Millisecond, time.Second
	for range 8 {
		f.RecordResponseStart(start, f.PickByID(start, "p", "e00", tight), tight)
		f.RecordResponseStart(start, f.PickByID(start, "p", "e01", loose), loose)
	}
	long := promptCriteria("", 0, 6000)
	if got := f.Pick(start, "p", long); got.Spec.ID != "e01" {
		t.Errorf("a long prompt was placed on the engine whose streams allow short pauses only")
	}
}
