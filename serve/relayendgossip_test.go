package serve

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"emberlead/proto"
	"emberlead/relay"
)

const (
	// contactTime is for how long a daemon must have been undisturbed to count as connected. maxLateTargets is the
	// number of further targets that a request may reach if connected daemons send it later than that after it has
	// ended its third target.
	contactTime    = 3 * time.Second
	maxLateTargets = 3
	// endDelay is when the daemon that sent the request learns of an end, and hopDelay the latency of a message.
	endDelay = 150 * time.Millisecond
	hopDelay = 5 * time.Millisecond
	simTick  = 10 * time.Millisecond
	simRings = 4
)

// simDaemon is the part of a daemon that learns of ends of targets.
type simDaemon struct {
	vm            proto.VM
	crashes       *relay.CrashTracker
	gossip        *endGossip
	links         []int
	nextHeartbeat time.Time
	// disturbedAt is when the daemon was last frozen, cut off or not running.
	disturbedAt time.Time
	frozen      bool
	cut         bool
	// inbox holds messages that are not received yet, such as those that arrive while the daemon is frozen.
	inbox []simMessage
}

type simMessage struct {
	at   time.Time
	from int
	m    proto.Message
}

// simNetwork is a deployment of daemons that send each other ends of targets, with its own clock.
type simNetwork struct {
	t       *testing.T
	random  *rand.Rand
	clock   *clockwork.FakeClock
	daemons []*simDaemon
	// sentMessages and sentBytes count what the daemons sent each other besides heartbeats.
	sentMessages, sentBytes int
	// ends holds the ends that the sender of the request has not seen yet.
	ends []func()
	due  []time.Time
}

func newSimNetwork(t *testing.T, seed uint64, daemons int) *simNetwork {
	n := &simNetwork{t: t, random: rand.New(rand.NewPCG(seed, 3)), clock: clockwork.NewFakeClockAt(time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC))}
	for i := range daemons {
		d := &simDaemon{vm: proto.VM(fmt.Sprintf("vm-%d", i)), nextHeartbeat: n.clock.Now().Add(time.Duration(n.random.Int64N(int64(peerHeartbeatInterval))))}
		n.daemons = append(n.daemons, d)
		n.start(i)
	}
	for range simRings {
		n.link(n.random.Perm(daemons))
	}
	return n
}

// link links each daemon to its two neighbors in a ring.
func (n *simNetwork) link(ring []int) {
	for k, i := range ring {
		next := ring[(k+1)%len(ring)]
		if next == i || slices.Contains(n.daemons[i].links, next) {
			continue
		}
		n.daemons[i].links = append(n.daemons[i].links, next)
		n.daemons[next].links = append(n.daemons[next].links, i)
	}
}

// start starts a daemon without any data.
func (n *simNetwork) start(i int) {
	d := n.daemons[i]
	d.inbox = nil
	d.gossip = newEndGossip(n.clock, func(m proto.TargetEnds) {
		for _, to := range d.links {
			n.send(i, to, m)
		}
	})
	d.crashes = relay.NewCrashTracker(d.vm, n.clock, hclog.NewNullLogger(), func(m proto.TargetEnds, _ proto.VM) {
		// A real daemon collects ends with a timer of the clock, whose goroutine would make the order of events depend
		// on scheduling.
		for _, end := range m.Ends {
			d.gossip.pending = append(d.gossip.pending, pendingEnd{end, n.clock.Now()})
		}
	})
}

func (n *simNetwork) send(from, to int, m proto.Message) {
	if n.daemons[from].cut != n.daemons[to].cut {
		return
	}
	if _, ok := m.(proto.TargetEnds); ok {
		data, err := proto.Encode(m, 0, false, "")
		if err != nil {
			n.t.Fatal(err)
		}
		n.sentMessages++
		n.sentBytes += len(data)
	}
	n.daemons[to].inbox = append(n.daemons[to].inbox, simMessage{n.clock.Now().Add(hopDelay), from, m})
}

func (n *simNetwork) step() {
	n.clock.Advance(simTick)
	now := n.clock.Now()
	for i, due := range n.due {
		if !due.IsZero() && !now.Before(due) {
			n.due[i] = time.Time{}
			n.ends[i]()
		}
	}
	for i, d := range n.daemons {
		if d.frozen || d.cut {
			d.disturbedAt = now
		}
		if d.frozen {
			continue
		}
		n.receive(i)
		if len(d.gossip.pending) > 0 && now.UnixMilli()%endsBatchDelay.Milliseconds() == 0 {
			d.gossip.flush()
		}
		if !now.Before(d.nextHeartbeat) {
			d.nextHeartbeat = now.Add(peerHeartbeatInterval)
			for _, to := range d.links {
				n.send(i, to, proto.Heartbeat{EndsDigest: d.crashes.Digest()})
			}
		}
	}
}

func (n *simNetwork) receive(i int) {
	d := n.daemons[i]
	now := n.clock.Now()
	later := slices.IndexFunc(d.inbox, func(m simMessage) bool { return m.at.After(now) })
	if later < 0 {
		later = len(d.inbox)
	}
	ready := d.inbox[:later]
	d.inbox = d.inbox[later:]
	for _, m := range ready {
		switch msg := m.m.(type) {
		case proto.TargetEnds:
			d.crashes.Merge(msg, n.daemons[m.from].vm)
		case proto.Heartbeat:
			if d.gossip.shouldSendAll(now, n.daemons[m.from].vm, d.crashes.Digest(), msg.EndsDigest, d.crashes.Stats().Ends) {
				n.send(i, m.from, d.crashes.Snapshot())
			}
		}
	}
}

// try sends a request to a daemon, which sends it to a target unless it refuses, and reports whether it did.
func (n *simNetwork) try(i int, request proto.RequestDigest, target int) bool {
	d := n.daemons[i]
	if _, refused := d.crashes.Blocks(request); refused || d.frozen {
		return false
	}
	crashes := d.crashes
	n.due = append(n.due, n.clock.Now().Add(endDelay))
	n.ends = append(n.ends, func() {
		crashes.RecordEnd(proto.RunName(fmt.Sprintf("t-%d", target)), n.clock.Now(), []proto.RequestDigest{request})
	})
	return true
}

func (n *simNetwork) isConnected(i int) bool {
	return n.clock.Now().Sub(n.daemons[i].disturbedAt) >= contactTime
}

// disturb freezes, cuts off or restarts a daemon, or ends such a state.
func (n *simNetwork) disturb() {
	i := n.random.IntN(len(n.daemons))
	d := n.daemons[i]
	switch n.random.IntN(3) {
	case 0:
		d.frozen = !d.frozen
	case 1:
		d.cut = !d.cut
	default:
		d.frozen, d.cut, d.disturbedAt = false, false, n.clock.Now()
		n.start(i)
	}
}

// TestEndsReachAllConnectedDaemons sends a request that ends each of its targets to random daemons, while daemons
// freeze, are cut off and restart. From three seconds after the end of its third target, connected daemons may send it
// to at most three more.
func TestEndsReachAllConnectedDaemons(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			n := newSimNetwork(t, seed, 6+int(seed%20))
			ends, after := 0, 0
			var thirdEnd time.Time
			faultsEnd := n.clock.Now().Add(20 * time.Second)
			for n.clock.Now().Before(faultsEnd.Add(5 * time.Second)) {
				n.step()
				// Half of the runs have faults; the last seconds of all runs have none.
				if seed%2 == 1 && n.random.IntN(60) == 0 && n.clock.Now().Before(faultsEnd) {
					n.disturb()
				}
				if n.random.IntN(25) != 0 {
					continue
				}
				i := n.random.IntN(len(n.daemons))
				late := !thirdEnd.IsZero() && n.clock.Now().Sub(thirdEnd) > contactTime
				if !n.try(i, 7, ends) {
					continue
				}
				ends++
				if ends == 3 {
					thirdEnd = n.clock.Now().Add(endDelay)
				}
				if late && n.isConnected(i) {
					after++
				}
			}
			if ends < 3 {
				t.Fatalf("only %d targets ended", ends)
			}
			if after > maxLateTargets {
				t.Errorf("%d targets ended; %d of them later than %s after the third", ends, after, contactTime)
			}
		})
	}
}

// TestEndGossipIsCheapInLargeDeployment ends twenty targets of a pool at once, each with 48 requests of other daemons.
func TestEndGossipIsCheapInLargeDeployment(t *testing.T) {
	const daemons, targets, each = 300, 20, 48
	n := newSimNetwork(t, 1, daemons)
	for range 100 {
		n.step()
	}
	for target := range targets {
		for r := range each {
			d := n.daemons[(target*each+r)%daemons]
			d.crashes.RecordEnd(proto.RunName(fmt.Sprintf("t-%d", target)), n.clock.Now(), []proto.RequestDigest{proto.RequestDigest(target*each + r)})
		}
	}
	steps := 0
	for !n.converged(targets * each) {
		n.step()
		if steps++; steps > int(contactTime/simTick) {
			t.Fatal("not all daemons know all ends after three seconds")
		}
	}
	for range 200 {
		n.step()
	}
	t.Logf("known to all daemons after %s; a daemon sent %d messages and %d bytes for %d ends under %d requests",
		time.Duration(steps)*simTick, n.sentMessages/daemons, n.sentBytes/daemons, targets, targets*each)
	// Each daemon sends what it learns in one batch over eight links, and learns everything in a few batches.
	if maxMessages := 2 * simRings * 12; n.sentMessages/daemons > maxMessages {
		t.Errorf("a daemon sent %d messages, want %d at most", n.sentMessages/daemons, maxMessages)
	}
	if maxBytes := 2 * simRings * targets * each * 24; n.sentBytes/daemons > maxBytes {
		t.Errorf("a daemon sent %d bytes, want %d at most", n.sentBytes/daemons, maxBytes)
	}
}

// converged reports whether all daemons know the given number of ends, and the same ones.
func (n *simNetwork) converged(ends int) bool {
	for _, d := range n.daemons {
		if d.crashes.Stats().Ends != ends || d.crashes.Digest() != n.daemons[0].crashes.Digest() {
			return false
		}
	}
	return true
}

// TestForwardedEndKeepsItsAge holds an end back for a while before it is sent.
func TestForwardedEndKeepsItsAge(t *testing.T) {
	clock := clockwork.NewFakeClockAt(clockStart)
	var sent []proto.TargetEnds
	e := newEndGossip(clock, func(m proto.TargetEnds) { sent = append(sent, m) })
	e.add(proto.TargetEnds{Ends: []proto.TargetEnd{{Run: "a", Age: time.Second}}})
	clock.Advance(endsBatchDelay / 2)
	e.add(proto.TargetEnds{Ends: []proto.TargetEnd{{Run: "b", Age: time.Minute}}})
	clock.Advance(endsBatchDelay / 4)
	e.flush()
	if len(sent) != 1 || len(sent[0].Ends) != 2 {
		t.Fatalf("sent %v", sent)
	}
	if a, b := sent[0].Ends[0].Age, sent[0].Ends[1].Age; a != time.Second+endsBatchDelay*3/4 || b != time.Minute+endsBatchDelay/4 {
		t.Errorf("ages %v and %v", a, b)
	}
}

// TestDaemonWithDifferentEndsIsSentAll follows the digests in the heartbeats of a linked daemon.
func TestDaemonWithDifferentEndsIsSentAll(t *testing.T) {
	scenarios := []struct {
		name                   string
		ownDigest, theirDigest uint64
		after                  time.Duration
		want                   bool
	}{
		{"same digest", 5, 5, time.Minute, false},
		{"this daemon has no ends", 0, 5, time.Minute, false},
		{"the other daemon has no ends", 5, 0, 0, true},
		{"digests have differed for a moment", 5, 6, endsDigestGrace - time.Millisecond, false},
		{"digests have differed for long", 5, 6, endsDigestGrace, true},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			clock := clockwork.NewFakeClockAt(clockStart)
			e := newEndGossip(clock, nil)
			first := e.shouldSendAll(clock.Now(), "vm", s.ownDigest, s.theirDigest, 10)
			clock.Advance(s.after)
			if sent := first || e.shouldSendAll(clock.Now(), "vm", s.ownDigest, s.theirDigest, 10); sent != s.want {
				t.Errorf("sent: %v", sent)
			}
			clock.Advance(endsResendInterval / 2)
			if s.want && e.shouldSendAll(clock.Now(), "vm", s.ownDigest, s.theirDigest, 10) {
				t.Error("sent twice within a second")
			}
			clock.Advance(endsResendInterval)
			if s.want && !e.shouldSendAll(clock.Now(), "vm", s.ownDigest, s.theirDigest, 10) {
				t.Error("not sent again while the digests differ")
			}
		})
	}
}

// TestDaemonsThatForgotDifferentEndsRarelyResend has two daemons differ forever, with as many ends as are remembered.
func TestDaemonsThatForgotDifferentEndsRarelyResend(t *testing.T) {
	const known, minute = 8000, 60
	clock := clockwork.NewFakeClockAt(clockStart)
	e := newEndGossip(clock, nil)
	sent := 0
	for range minute * time.Second / peerHeartbeatInterval {
		if e.shouldSendAll(clock.Now(), "vm", 5, 6, known) {
			sent++
		}
		clock.Advance(peerHeartbeatInterval)
	}
	if maxSent := minute*maxEndsPerSecond/known + 1; sent == 0 || sent > maxSent {
		t.Errorf("sent %d times in a minute, want at most %d", sent, maxSent)
	}
}
