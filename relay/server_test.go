package relay

import (
	"testing"
	"time"

	"emberlead/proto"
)

func TestAStoppingDaemonTakesOnlyWhatCanEnd(t *testing.T) {
	s := &Server{}
	const long, short = 7 * time.Second, 2 * time.Second // until the last moment
	scenarios := []struct {
		name    string
		stops   time.Duration
		kind    proto.RouteKind
		after   time.Duration
		refused bool
	}{
		{"not stopping", 0, proto.RouteStream, time.Minute, false},
		{"a stream at first", long, proto.RouteStream, streamsTaken - time.Millisecond, false},
		{"a stream later", long, proto.RouteStream, streamsTaken, true},
		{"another request later", long, proto.RouteOnce, streamsTaken, false},
		{"another request at the end", long, proto.RouteOnce, long - othersLength, true},
		{"a stream that a short time would cut off", short, proto.RouteStream, time.Millisecond, true},
		{"another request in a short time", short, proto.RouteOnce, time.Millisecond, false},
	}
	for _, c := range scenarios {
		t.Run(c.name, func(t *testing.T) {
			s.stopping.Store(nil)
			if c.stops > 0 {
				s.Stop(start, start.Add(c.stops))
			}
			f := &flow{server: s, route: &proto.Route{Kind: c.kind}, began: start.Add(c.after)}
			fail := f.refuseStopping()
			if (fail != nil) != c.refused {
				t.Errorf("refused: %v", fail)
			}
			if fail != nil && (fail.status != 503 || fail.wait <= 0) {
				t.Errorf("refusal %+v", fail)
			}
		})
	}
}
