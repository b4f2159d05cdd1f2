package origin_test

import (
	"fmt"
	"testing"
	"time"

	"emberlead/origin"
	"emberlead/proto"
)

func TestBookFinds(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	begun := func(stream proto.StreamKey, software string) proto.StreamStart {
		return proto.StreamStart{Request: 1, Stream: stream, Origin: proto.StreamOrigin{Pool: "p", Software: software}, Lifetime: time.Minute}
	}
	scenarios := []struct {
		name   string
		starts []proto.StreamStart
		stream proto.StreamKey
		after  time.Duration
		want   string
	}{
		{"unknown request", nil, 7, 0, ""},
		{"unknown stream of a known request", []proto.StreamStart{begun(8, "v1")}, 7, 0, ""},
		{"known stream", []proto.StreamStart{begun(7, "v1"), begun(8, "v2")}, 7, 0, "v1"},
		{"told twice", []proto.StreamStart{begun(7, "v1"), begun(7, "v1")}, 7, 0, "v1"},
		{"contradicting starts", []proto.StreamStart{begun(7, "v1"), begun(7, "v2")}, 7, 0, ""},
		{"no key, one version", []proto.StreamStart{begun(7, "v1"), begun(8, "v1")}, 0, 0, "v1"},
		{"no key, two versions", []proto.StreamStart{begun(7, "v1"), begun(8, "v2")}, 0, 0, ""},
		{"no longer to be taken up", []proto.StreamStart{begun(7, "v1")}, 7, time.Minute, ""},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			b := origin.NewBook()
			for _, start := range s.starts {
				b.Add(now, start)
			}
			got, known := b.Find(now.Add(s.after), 1, s.stream)
			if got.Software != s.want || known != (s.want != "") {
				t.Errorf("found %+v, %t, want %q", got, known, s.want)
			}
		})
	}
}

func TestBookIsBounded(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	b := origin.NewBook()
	const many = 100_000
	for i := range many {
		b.Add(now, proto.StreamStart{Request: proto.RequestDigest(i), Stream: 1, Origin: proto.StreamOrigin{Pool: "p", Software: "v1"}, Lifetime: time.Minute})
	}
	if b.Size() >= many/2 {
		t.Errorf("%d streams are remembered", b.Size())
	}
	if _, known := b.Find(now, many-1, 1); !known {
		t.Error("the newest stream was dropped")
	}
	b.Sweep(now.Add(time.Minute))
	if b.Size() != 0 {
		t.Errorf("%d streams are left after their time", b.Size())
	}
}

// TestStreamsOfEqualRequestsAreRemembered guards against a page that everybody reads: callers whose streams broke off were refused, since
// only the last few streams of equal requests were remembered.
func TestStreamsOfEqualRequestsAreRemembered(t *testing.T) {
	const streams = 1000
	now := time.Unix(1000, 0)
	b := origin.NewBook()
	for i := range streams {
		b.Add(now, proto.StreamStart{Request: 1, Stream: proto.StreamKey(i + 1), Origin: proto.StreamOrigin{Pool: "p", Software: fmt.Sprint("v", i%2)}, Lifetime: time.Minute})
	}
	for i := range streams {
		if at, known := b.Find(now, 1, proto.StreamKey(i+1)); !known || at.Software != fmt.Sprint("v", i%2) {
			t.Fatalf("stream %d of %d began at %+v, known %t", i, streams, at, known)
		}
	}
	if at, known := b.Find(now, 1, 0); known {
		t.Errorf("a stream that may have begun at either of two versions is said to have begun at %+v", at)
	}
	b.Sweep(now.Add(time.Hour))
	if got := b.Size(); got != 0 {
		t.Errorf("%d streams are remembered after all can no longer be taken up", got)
	}
}

// TestManyEqualRequestsLeaveRoomForOthers guards against a request that all callers repeat and whose streams push out all others.
func TestManyEqualRequestsLeaveRoomForOthers(t *testing.T) {
	now := time.Unix(1000, 0)
	b := origin.NewBook()
	b.Add(now, proto.StreamStart{Request: 2, Stream: 1, Origin: proto.StreamOrigin{Pool: "p", Software: "v1"}, Lifetime: time.Minute})
	const streams = 100_000
	for i := range streams {
		b.Add(now, proto.StreamStart{Request: 1, Stream: proto.StreamKey(i + 1), Origin: proto.StreamOrigin{Pool: "p", Software: "v1"}, Lifetime: time.Minute})
	}
	if _, known := b.Find(now, 2, 1); !known {
		t.Error("the stream of another request is forgotten")
	}
	if got := b.Size(); got > streams/2 {
		t.Errorf("%d streams are remembered, want a limit", got)
	}
}
