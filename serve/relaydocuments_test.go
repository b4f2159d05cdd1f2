package serve

import (
	"io"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"emberlead/platform"
	"emberlead/proto"
	"emberlead/spread"
)

// newIdleRelay returns a daemon that does not run.
func newIdleRelay(t *testing.T, clock clockwork.Clock) *Relay {
	t.Helper()
	settings, err := platform.ParseSettings("nodeName=vm-1\nzone=a\nregion=r\nlisten.front=127.0.0.1:1\nlisten.readiness=127.0.0.1:2\nlisten.control=127.0.0.1:3\ninternalPorts=4,5\nplatform.address=127.0.0.1:6\n")
	if err != nil {
		t.Fatal(err)
	}
	return NewRelay(settings, clock, hclog.NewNullLogger(), NewLogSink(io.Discard))
}

// TestVersionIsToldOnceItsDocumentIsThere guards against daemons that ask for a version of which they heard, and get the document of the one
// before it, or end the daemon that has none yet.
func TestVersionIsToldOnceItsDocumentIsThere(t *testing.T) {
	const body = `{"version":7,"routes":[],"services":[],"limits":{"headerBytes":16384,"bodyBytes":1000,"headerMs":3000,"idleMs":15000},"tenants":[]}`
	d := newIdleRelay(t, clockwork.NewFakeClock())
	d.routingDocument.mu.Lock()
	applied := make(chan struct{})
	go func() {
		defer close(applied)
		d.applyRouting([]byte(body), fromStore, 0)
	}()
	time.Sleep(50 * time.Millisecond)
	if version := d.tables.Version(); version != 0 {
		t.Errorf("version %d is told before its document is there", version)
	}
	d.routingDocument.mu.Unlock()
	<-applied
	answer := d.answerRoutingAsk(proto.RoutingAsk{Packed: true})
	if got, err := spread.Unpack(answer.RoutingPacked, nil); answer.Routing != 7 || err != nil || string(got) != body {
		t.Errorf("version %d with the document %q, %v", answer.Routing, got, err)
	}
}

// TestVersionOfTargetsHasItsEntries guards against a daemon that takes a whole list of targets for one of a version whose changes it does not
// have, and so goes on using a target that leaves.
func TestVersionOfTargetsHasItsEntries(t *testing.T) {
	entry := func(version uint64, id, state string) platform.RowSet {
		at := proto.Revision{Version: version}
		body := `{"service":"plain","address":"10.0.0.1:80","zone":"a","state":"` + state + `","seqNo":1}`
		return platform.RowSet{Version: at, Rows: []platform.Row{{Key: id, Version: at, Body: []byte(body)}}}
	}
	scenarios := []struct {
		name string
		news func(d *Relay)
	}{
		{"a change", func(d *Relay) { d.handleTargetChanges(entry(6, "i-1", "draining")) }},
		{"a whole list", func(d *Relay) { d.handleTargetTable(entry(6, "i-1", "draining")) }},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			d := newIdleRelay(t, clockwork.NewFakeClock())
			d.handleTargetTable(entry(5, "i-1", "ready"))
			d.documents.mu.Lock()
			applied := make(chan struct{})
			go func() {
				defer close(applied)
				s.news(d)
			}()
			time.Sleep(50 * time.Millisecond)
			if version := d.fleet.Version().Version; version != 5 {
				t.Errorf("version %d is told before its entries are there", version)
			}
			d.documents.mu.Unlock()
			<-applied
			answer := d.answerRoutingAsk(proto.RoutingAsk{})
			if answer.Targets.Version != 6 || len(answer.TargetEntries) != 1 || answer.TargetEntries[0].Version.Version != 6 {
				t.Errorf("version %s with the entries %+v", answer.Targets, answer.TargetEntries)
			}
		})
	}
}

// TestFullListsAreRateLimited has hundreds of daemons that start together ask the same daemon.
func TestFullListsAreRateLimited(t *testing.T) {
	var s documentCache
	now := time.Unix(1_700_000_000, 0)
	sent := 0
	for range 300 {
		if s.allowFullSend(now) {
			sent++
		}
	}
	if sent != 1 {
		t.Errorf("%d daemons were sent the full list at the same time, want 1", sent)
	}
	if s.allowFullSend(now.Add(fullListInterval-1)) || !s.allowFullSend(now.Add(fullListInterval)) {
		t.Error("the next full list is sent before the interval is over, or not after it")
	}
}
