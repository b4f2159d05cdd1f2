package relay

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"emberlead/proto"
)

// randomRacer returns a target with random behavior and timing. alone is set if a request that only this target gets is
// answered completely in time.
func randomRacer(random *rand.Rand, kind proto.RouteKind) (r racer, answers bool) {
	wait := time.Duration(random.IntN(800)) * time.Millisecond
	switch random.IntN(7) {
	case 0:
		return hangs, false
	case 1:
		return failsAfter(wait), false
	case 2:
		return refusesAfter(wait), false
	case 3:
		return respondsAfter(wait, http.StatusInternalServerError, io.EOF), false
	}
	if kind == proto.RouteRepeatable {
		return whole(wait, "whole"), true
	}
	parts := eventParts(1, 2, 3, 4)
	parts[random.IntN(4)].after = time.Duration(random.IntN(1500)) * time.Millisecond
	if random.IntN(4) == 0 {
		return respondsAfter(wait, http.StatusOK, io.ErrUnexpectedEOF, parts[:1+random.IntN(3)]...), false
	}
	return respondsAfter(wait, http.StatusOK, io.EOF, parts...), true
}

// TestAnyTargetsRace runs requests against up to four targets with arbitrary behavior. Each event must be delivered
// once and in order. No more targets than allowed may run the request, and a target may only be asked again for each
// time that its attempt was canceled in favor of another. A refusal as not run must be true, a request whose targets
// would all answer must be answered, and no request may fail while there is a target to return to.
func TestAnyTargetsRace(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	parameters.MinSuccessfulTests = 400
	properties := gopter.NewProperties(parameters)
	for _, k := range raceKinds {
		kind := k.kind
		properties.Property(k.testName, prop.ForAll(func(seed uint64) (held bool) {
			synctest.Test(t, func(t *testing.T) { held = raceInvariantsHold(t, kind, seed) })
			return held
		}, gen.UInt64()))
	}
	properties.TestingRun(t)
}

func raceInvariantsHold(t *testing.T, kind proto.RouteKind, seed uint64) bool {
	random := rand.New(rand.NewPCG(seed, 3))
	var racers []racer
	allAnswer := true
	for range 1 + random.IntN(4) {
		r, answers := randomRacer(random, kind)
		racers = append(racers, r)
		allAnswer = allAnswer && answers
	}
	r := newRaced(kind, racers...)
	fail := r.run(t.Context())
	timeLeft, body := r.timeLeft(), r.recorder.Body.String()
	time.Sleep(time.Minute)
	synctest.Wait()
	asked := 0
	for i := range racers {
		n := r.sender.askedOf(i)
		asked += n
		superseded := strings.Count(r.log.String(), fmt.Sprintf("attempt given up: request=r target=t%d for=t", i))
		if n > 1+superseded || n != r.sender.canceledAt(i) {
			t.Logf("seed %d: target %d got %d attempts, was superseded %d times, and %d attempts have ended", seed, i, n, superseded, r.sender.canceledAt(i))
			return false
		}
	}
	events := eventsOf(body)
	switch {
	case fail == nil && kind == proto.RouteRepeatable && body != "whole" && r.recorder.Code == http.StatusOK,
		fail == nil && kind == proto.RouteStream && events != "1234" && r.recorder.Code == http.StatusOK,
		events != "1234"[:len(events)],
		fail != nil && allAnswer,
		fail != nil && len(r.superseded) > 0 && timeLeft >= minAttemptTime && asked < maxAttempts,
		fail != nil && fail.status == http.StatusServiceUnavailable && r.runs > 0,
		r.runs > r.maxRuns(), asked > maxAttempts:
		t.Logf("seed %d: %d targets, result %+v, events %q, body %q, %d runs, %d attempts", seed, len(racers), fail, events, body, r.runs, asked)
		return false
	}
	return true
}
