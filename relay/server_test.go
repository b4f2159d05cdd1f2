package relay

import (
	"testing"
	"time"

	"emberlead/proto"
)

func TestAStoppingDaemonTakesOnlyWhatCanEnd(t *testing.T) {
	s := &Server{}
	last := start.Add(7 * time.Second)
	scenarios := []struct {
		name    string
		stops   bool
		kind    proto.RouteKind
		after   time.Duration
		refused bool
	}{
		{"not stopping", false, proto.RouteStream, time.Minute, false},
		{"a stream at first", true, proto.RouteStream, streamsTaken - time.Millisecond, false},
		{"a stream later", true, proto.RouteStream, streamsTaken, true},
		{"another request later", true, proto.RouteOnce, streamsTaken, false},
		{"another request at the end", true, proto.RouteOnce, 7*time.Second - othersLength, true},
	}
	for _, c := range scenarios {
		t.Run(c.name, func(t *testing.T) {
			s.stopping.Store(nil)
			if c.stops {
				s.Stop(start, last)
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
