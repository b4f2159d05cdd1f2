package origin_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"emberlead/origin"
	"emberlead/proto"
)

const (
	modelSeeds = 200
	// modelStreams is the number of streams of a play, one in modelStep, and modelAway how long callers take to come back.
	modelStreams = 400
	modelStep    = 25 * time.Millisecond
	modelAway    = 5 * time.Second
	// modelListLag is how long daemons take to learn that another one has ended or started.
	modelListLag = time.Second
)

// modelDaemon is a daemon of a play. It is in the lists of the others from modelListLag after its start to modelListLag
// after its end.
type modelDaemon struct {
	name           proto.VM
	started, ended time.Time
	cutUntil       time.Time
	book           *origin.Book
}

func (d *modelDaemon) alive(now time.Time) bool {
	return !now.Before(d.started) && (d.ended.IsZero() || now.Before(d.ended))
}

func (d *modelDaemon) listed(now time.Time) bool {
	return !now.Before(d.started.Add(modelListLag)) && (d.ended.IsZero() || now.Before(d.ended.Add(modelListLag)))
}

// modelWay is a way of finding out where a stream began.
type modelWay struct {
	name string
	// copies and asked are the numbers of daemons that are told of a stream and that are asked for it.
	copies, asked int
}

// modelResult counts the streams that were taken up, those that went on and those that went on at a wrong version.
type modelResult struct{ takenUp, wentOn, wrong, messages int }

// play lets streams of two versions begin and be taken up at other daemons, while daemons end, start and are cut off.
func (w modelWay) play(seed uint64, daemons int) modelResult {
	rng := rand.New(rand.NewPCG(seed, 1))
	begin := time.Unix(1_000_000, 0)
	var fleet []*modelDaemon
	names := 0
	add := func(started time.Time) {
		names++
		fleet = append(fleet, &modelDaemon{name: proto.VM(fmt.Sprint("vm-", names)), started: started, book: origin.NewBook()})
	}
	for range daemons {
		add(begin.Add(-time.Hour))
	}
	living := func(now time.Time) []*modelDaemon {
		return slices.DeleteFunc(slices.Clone(fleet), func(d *modelDaemon) bool { return !d.alive(now) })
	}
	holders := func(now time.Time, self *modelDaemon, request proto.RequestDigest, n int) []*modelDaemon {
		var others []origin.Daemon
		byName := map[proto.VM]*modelDaemon{}
		for _, d := range fleet {
			if d != self && d.listed(now) {
				others, byName[d.name] = append(others, origin.Daemon{VM: d.name}), d
			}
		}
		var list []*modelDaemon
		for _, name := range origin.NewRanking(others).Holders(request, n) {
			list = append(list, byName[name])
		}
		return list
	}
	reaches := func(now time.Time, a, b *modelDaemon) bool {
		return a.alive(now) && b.alive(now) && !now.Before(a.cutUntil) && !now.Before(b.cutUntil)
	}
	type stream struct {
		request proto.RequestDigest
		key     proto.StreamKey
		origin  proto.StreamOrigin
		backAt  time.Time
		daemon  *modelDaemon
	}
	var streams []stream
	var result modelResult
	takeUp := func(now time.Time, s stream) {
		candidates := living(now)
		at := candidates[rng.IntN(len(candidates))]
		if now.Before(at.cutUntil) {
			return
		}
		result.takenUp++
		got, known := at.book.Find(now, s.request, s.key)
		for _, d := range holders(now, at, s.request, w.asked) {
			if known {
				break
			}
			result.messages++
			if !reaches(now, at, d) {
				continue
			}
			for _, start := range d.book.Starts(now, s.request) {
				at.book.Add(now, start)
			}
			got, known = at.book.Find(now, s.request, s.key)
		}
		if known {
			result.wentOn++
			if got != s.origin {
				result.wrong++
			}
		}
	}
	for i := range modelStreams {
		now := begin.Add(time.Duration(i) * modelStep)
		switch candidates := living(now); rng.IntN(40) {
		case 0:
			fleet = slices.DeleteFunc(fleet, func(d *modelDaemon) bool { return !d.alive(now) && !d.listed(now) && d.started.Before(now) })
			if len(candidates) > 2 {
				// Each end is followed by the start of another daemon.
				candidates[rng.IntN(len(candidates))].ended = now
				add(now.Add(500 * time.Millisecond))
			}
		case 1:
			candidates[rng.IntN(len(candidates))].cutUntil = now.Add(time.Second)
		}
		candidates := living(now)
		s := stream{request: proto.RequestDigest(rng.IntN(modelStreams / 2)), key: proto.StreamKey(i + 1), origin: proto.StreamOrigin{Pool: "p", Software: fmt.Sprint("v", rng.IntN(2))}, daemon: candidates[rng.IntN(len(candidates))]}
		s.backAt = now.Add(time.Duration(rng.Int64N(int64(modelAway))))
		start := proto.StreamStart{Request: s.request, Stream: s.key, Origin: s.origin, Lifetime: 2 * modelAway}
		s.daemon.book.Add(now, start)
		for _, d := range holders(now, s.daemon, s.request, w.copies) {
			result.messages++
			if reaches(now, s.daemon, d) {
				d.book.Add(now, start)
			}
		}
		streams = append(streams, s)
		streams = slices.DeleteFunc(streams, func(s stream) bool {
			if s.backAt.After(now) {
				return false
			}
			takeUp(now, s)
			return true
		})
	}
	return result
}

// TestStreamsGoOnWhileDaemonsEndAndStart guards against streams that go on at another version, and against those that
// cannot go on since nobody knows theirs. More than half must go on in each play.
func TestStreamsGoOnWhileDaemonsEndAndStart(t *testing.T) {
	const half = 0.5
	scenarios := []struct {
		way     modelWay
		daemons int
	}{
		{modelWay{"all daemons are asked", 0, 1 << 20}, 6},
		{modelWay{"all daemons are told", 1 << 20, 0}, 6},
		{modelWay{"one holder is told and asked", 1, 1}, 6},
		{modelWay{"the holders are told and asked", origin.Copies, origin.Asked}, 6},
		{modelWay{"the holders are told and asked", origin.Copies, origin.Asked}, 95},
	}
	for _, s := range scenarios {
		way := s.way
		t.Run(fmt.Sprintf("%s, %d daemons", way.name, s.daemons), func(t *testing.T) {
			t.Parallel()
			var total modelResult
			worst := 1.0
			for seed := range uint64(modelSeeds) {
				r := way.play(seed, s.daemons)
				total.takenUp += r.takenUp
				total.wentOn += r.wentOn
				total.messages += r.messages
				worst = min(worst, float64(r.wentOn)/float64(r.takenUp))
				if r.wrong > 0 {
					t.Errorf("seed %d: %d of %d streams went on at another version", seed, r.wrong, r.wentOn)
				}
			}
			t.Logf("%.4f of %d streams went on, at least %.3f in a play, %.2f messages a stream", float64(total.wentOn)/float64(total.takenUp), total.takenUp, worst, float64(total.messages)/float64(modelSeeds*modelStreams))
			if worst < half && way.copies == origin.Copies {
				t.Errorf("only %.3f of the streams of a play went on", worst)
			}
		})
	}
}
