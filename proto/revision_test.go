package proto

import "testing"

func TestRevisionsAreOrderedByEraFirst(t *testing.T) {
	scenarios := []struct {
		testName string
		a, b     Revision
		want     int
	}{
		{"older, without eras", Revision{Version: 4}, Revision{Version: 9}, -1},
		{"the same", Revision{Era: 2, Version: 4}, Revision{Era: 2, Version: 4}, 0},
		{"the same version in a later era", Revision{Era: 2, Version: 4}, Revision{Era: 1, Version: 4}, 1},
		{"a lower version in a later era", Revision{Era: 3, Version: 1}, Revision{Era: 2, Version: 900}, 1},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			if got := s.a.Compare(s.b); got != s.want {
				t.Errorf("%s compared with %s: %d, want %d", s.a, s.b, got, s.want)
			}
			if got := s.b.Compare(s.a); got != -s.want {
				t.Errorf("%s compared with %s: %d, want %d", s.b, s.a, got, -s.want)
			}
			if latest := Latest(s.a, s.b); s.a.After(latest) || s.b.After(latest) {
				t.Errorf("the latest of %s and %s is %s", s.a, s.b, latest)
			}
		})
	}
}

func TestRevisionInMessageRoundTrips(t *testing.T) {
	sent := Heartbeat{Incarnation: 3, Targets: Revision{Era: 2, Version: 70_000}}
	data, err := Encode(sent, 0, false, "")
	if err != nil {
		t.Fatal(err)
	}
	_, m, err := Decode(data)
	if got, ok := m.(Heartbeat); err != nil || !ok || got != sent {
		t.Errorf("sent %+v, received %+v, %v", sent, m, err)
	}
}

func TestRevisionString(t *testing.T) {
	for want, r := range map[string]Revision{"0": {}, "12": {Version: 12}, "3:12": {Era: 3, Version: 12}} {
		if got := r.String(); got != want {
			t.Errorf("%q, want %q", got, want)
		}
	}
}
