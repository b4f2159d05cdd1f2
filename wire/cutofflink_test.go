package wire

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// TestOnlyLinkOfACutOffDaemonIsTried guards against a target that is not reached although the own link to it works: it was not used since
// all other links had failed, and the other daemons, which were asked instead, do not reach this target.
func TestOnlyLinkOfACutOffDaemonIsTried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newPathsModel(t, 30)
		d := m.daemons[0]
		only := m.targets[0]
		for _, to := range m.targets[1:] {
			d.links[to] = modelRefuses
		}
		for _, other := range m.daemons[1:] {
			other.links[only] = modelRefuses
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer time.Sleep(time.Second)
		defer cancel()
		go m.heartbeats(ctx)
		time.Sleep(modelHeartbeat)
		for range 3 {
			for _, to := range m.targets[1:] {
				if c, err := d.transport.open(t.Context(), to); err != nil {
					t.Fatalf("%s is not carried: %v", to, err)
				} else {
					_ = c.Close()
				}
			}
		}
		if !d.paths.CutOff() {
			t.Fatal("the daemon does not count as cut off")
		}
		if c, err := d.transport.open(t.Context(), only); err != nil {
			t.Errorf("the target of the only working link is not reached: %v", err)
		} else {
			_ = c.Close()
		}
	})
}
