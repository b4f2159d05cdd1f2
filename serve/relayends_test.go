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
	// contact is for how long a daemon must have been undisturbed to count as in touch, and runsAfter how many further
	// targets a request may reach, sent by such daemons that long after it has ended its third.
	contact   = 3 * time.Second
	runsAfter = 3
	// endSeen is when an end is known to the daemon that sent the request, and hop what a message takes.
	endSeen  = 150 * time.Millisecond
	hop      = 5 * time.Millisecond
	netTick  = 10 * time.Millisecond
	netRings = 4
)

// netDaemon is a daemon as far as it learns of ends of targets.
type netDaemon struct {
	vm      proto.VM
	crashes *relay.CrashTracker
	news    *endNews
	links   []int
	beat    time.Time
	// disturbed is when the daemon last was frozen, cut off or not running.
	disturbed time.Time
	frozen    bool
	cut       bool
	// inbox holds what comes while it is frozen, and later.
	inbox []netMessage
}

type netMessage struct {
	at   time.Time
	from int
	m    proto.Message
}

// endNet is a deployment of daemons that tell each other of ends of targets, under a clock of its own.
type endNet struct {
	t       *testing.T
	random  *rand.Rand
	clock   *clockwork.FakeClock
	daemons []*netDaemon
	// told and bytes are what daemons sent each other beside heartbeats.
	told, bytes int
	// ended are the ends that the sender of the request has still to see.
	ended []func()
	due   []time.Time
}

func newEndNet(t *testing.T, seed uint64, daemons int) *endNet {
	n := &endNet{t: t, random: rand.New(rand.NewPCG(seed, 3)), clock: clockwork.NewFakeClockAt(time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC))}
	for i := range daemons {
		d := &netDaemon{vm: proto.VM(fmt.Sprintf("vm-%d", i)), beat: n.clock.Now().Add(time.Duration(n.random.Int64N(int64(peerHeartbeat))))}
		n.daemons = append(n.daemons, d)
		n.begin(i)
	}
	for range netRings {
		n.link(n.random.Perm(daemons))
	}
	return n
}

// link has each daemon link to the two beside it in a ring.
func (n *endNet) link(ring []int) {
	for k, i := range ring {
		next := ring[(k+1)%len(ring)]
		if next == i || slices.Contains(n.daemons[i].links, next) {
			continue
		}
		n.daemons[i].links = append(n.daemons[i].links, next)
		n.daemons[next].links = append(n.daemons[next].links, i)
	}
}

// begin starts a daemon that knows nothing.
func (n *endNet) begin(i int) {
	d := n.daemons[i]
	d.inbox = nil
	d.news = newEndNews(n.clock, func(m proto.TargetEnds) {
		for _, to := range d.links {
			n.send(i, to, m)
		}
	})
	d.crashes = relay.NewCrashTracker(d.vm, n.clock, hclog.NewNullLogger(), func(m proto.TargetEnds, _ proto.VM) {
		// The real one gathers by a timer of the clock, whose goroutine would make the order of things depend on luck.
		for _, end := range m.Ends {
			d.news.waiting = append(d.news.waiting, waitingEnd{end, n.clock.Now()})
		}
	})
}

func (n *endNet) send(from, to int, m proto.Message) {
	if n.daemons[from].cut != n.daemons[to].cut {
		return
	}
	if _, ok := m.(proto.TargetEnds); ok {
		data, err := proto.Encode(m, 0, false, "")
		if err != nil {
			n.t.Fatal(err)
		}
		n.told++
		n.bytes += len(data)
	}
	n.daemons[to].inbox = append(n.daemons[to].inbox, netMessage{n.clock.Now().Add(hop), from, m})
}

func (n *endNet) step() {
	n.clock.Advance(netTick)
	now := n.clock.Now()
	for i, due := range n.due {
		if !due.IsZero() && !now.Before(due) {
			n.due[i] = time.Time{}
			n.ended[i]()
		}
	}
	for i, d := range n.daemons {
		if d.frozen || d.cut {
			d.disturbed = now
		}
		if d.frozen {
			continue
		}
		n.receive(i)
		if len(d.news.waiting) > 0 && now.UnixMilli()%endsGather.Milliseconds() == 0 {
			d.news.flush()
		}
		if !now.Before(d.beat) {
			d.beat = now.Add(peerHeartbeat)
			for _, to := range d.links {
				n.send(i, to, proto.Heartbeat{EndsDigest: d.crashes.Digest()})
			}
		}
	}
}

func (n *endNet) receive(i int) {
	d := n.daemons[i]
	now := n.clock.Now()
	later := slices.IndexFunc(d.inbox, func(m netMessage) bool { return m.at.After(now) })
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
			if d.news.differs(now, n.daemons[m.from].vm, d.crashes.Digest(), msg.EndsDigest, d.crashes.Stats().Ends) {
				n.send(i, m.from, d.crashes.Snapshot())
			}
		}
	}
}

// try has a request come to a daemon, which sends it to a target unless it refuses, and tells whether it did.
func (n *endNet) try(i int, request proto.RequestDigest, target int) bool {
	d := n.daemons[i]
	if _, refused := d.crashes.Blocks(request); refused || d.frozen {
		return false
	}
	crashes := d.crashes
	n.due = append(n.due, n.clock.Now().Add(endSeen))
	n.ended = append(n.ended, func() {
		crashes.RecordEnd(proto.RunName(fmt.Sprintf("t-%d", target)), n.clock.Now(), []proto.RequestDigest{request})
	})
	return true
}

func (n *endNet) inTouch(i int) bool {
	return n.clock.Now().Sub(n.daemons[i].disturbed) >= contact
}

// disturb freezes, cuts off or restarts a daemon, or ends that.
func (n *endNet) disturb() {
	i := n.random.IntN(len(n.daemons))
	d := n.daemons[i]
	switch n.random.IntN(3) {
	case 0:
		d.frozen = !d.frozen
	case 1:
		d.cut = !d.cut
	default:
		d.frozen, d.cut, d.disturbed = false, false, n.clock.Now()
		n.begin(i)
	}
}

// TestWhatOneDaemonLearnsAllInTouchUse has a request that ends each target come to random daemons, while daemons freeze, are
// cut off and start again: from three seconds after its third target's end on, those in touch send it to three more at most.
func TestWhatOneDaemonLearnsAllInTouchUse(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			n := newEndNet(t, seed, 6+int(seed%20))
			ends, after := 0, 0
			var third time.Time
			quiet := n.clock.Now().Add(20 * time.Second)
			for n.clock.Now().Before(quiet.Add(5 * time.Second)) {
				n.step()
				// Half of the histories have faults; in all, the last seconds have none.
				if seed%2 == 1 && n.random.IntN(60) == 0 && n.clock.Now().Before(quiet) {
					n.disturb()
				}
				if n.random.IntN(25) != 0 {
					continue
				}
				i := n.random.IntN(len(n.daemons))
				late := !third.IsZero() && n.clock.Now().Sub(third) > contact
				if !n.try(i, 7, ends) {
					continue
				}
				ends++
				if ends == 3 {
					third = n.clock.Now().Add(endSeen)
				}
				if late && n.inTouch(i) {
					after++
				}
			}
			if ends < 3 {
				t.Fatalf("only %d targets ended", ends)
			}
			if after > runsAfter {
				t.Errorf("%d targets ended; %d of them later than %s after the third", ends, after, contact)
			}
		})
	}
}

// TestTellingOfEndsIsCheapInALargeDeployment ends twenty of a pool's targets at once, with 48 requests each of other daemons.
func TestTellingOfEndsIsCheapInALargeDeployment(t *testing.T) {
	const daemons, targets, each = 300, 20, 48
	n := newEndNet(t, 1, daemons)
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
	for !n.agrees(targets * each) {
		n.step()
		if steps++; steps > int(contact/netTick) {
			t.Fatal("not all daemons know all in three seconds")
		}
	}
	for range 200 {
		n.step()
	}
	t.Logf("known to all after %s; a daemon sent %d messages and %d bytes for %d ends under %d requests",
		time.Duration(steps)*netTick, n.told/daemons, n.bytes/daemons, targets, targets*each)
	// Each daemon sends what it learns in one gathering over eight links, and learns all in a few of them.
	if most := 2 * netRings * 12; n.told/daemons > most {
		t.Errorf("a daemon sent %d messages, want %d at most", n.told/daemons, most)
	}
	if most := 2 * netRings * targets * each * 24; n.bytes/daemons > most {
		t.Errorf("a daemon sent %d bytes, want %d at most", n.bytes/daemons, most)
	}
}

// agrees tells whether all daemons know so many ends, and the same.
func (n *endNet) agrees(ends int) bool {
	for _, d := range n.daemons {
		if d.crashes.Stats().Ends != ends || d.crashes.Digest() != n.daemons[0].crashes.Digest() {
			return false
		}
	}
	return true
}

// TestAnEndIsAsOldForThoseWhoAreToldOfIt gathers an end for a while before it is told.
func TestAnEndIsAsOldForThoseWhoAreToldOfIt(t *testing.T) {
	clock := clockwork.NewFakeClockAt(clockStart)
	var told []proto.TargetEnds
	e := newEndNews(clock, func(m proto.TargetEnds) { told = append(told, m) })
	e.add(proto.TargetEnds{Ends: []proto.TargetEnd{{Run: "a", Age: time.Second}}})
	clock.Advance(endsGather / 2)
	e.add(proto.TargetEnds{Ends: []proto.TargetEnd{{Run: "b", Age: time.Minute}}})
	clock.Advance(endsGather / 4)
	e.flush()
	if len(told) != 1 || len(told[0].Ends) != 2 {
		t.Fatalf("told %v", told)
	}
	if a, b := told[0].Ends[0].Age, told[0].Ends[1].Age; a != time.Second+endsGather*3/4 || b != time.Minute+endsGather/4 {
		t.Errorf("ages %v and %v", a, b)
	}
}

// TestWhoKnowsOtherEndsIsToldThem follows the digests in a linked daemon's heartbeats.
func TestWhoKnowsOtherEndsIsToldThem(t *testing.T) {
	scenarios := []struct {
		name        string
		own, theirs uint64
		after       time.Duration
		told        bool
	}{
		{"they know the same", 5, 5, time.Minute, false},
		{"this daemon knows nothing", 0, 5, time.Minute, false},
		{"they know nothing", 5, 0, 0, true},
		{"they have known others for a moment", 5, 6, endsDiffer - time.Millisecond, false},
		{"they have known others for long", 5, 6, endsDiffer, true},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			clock := clockwork.NewFakeClockAt(clockStart)
			e := newEndNews(clock, nil)
			first := e.differs(clock.Now(), "vm", s.own, s.theirs, 10)
			clock.Advance(s.after)
			if told := first || e.differs(clock.Now(), "vm", s.own, s.theirs, 10); told != s.told {
				t.Errorf("told: %v", told)
			}
			clock.Advance(endsAgain / 2)
			if s.told && e.differs(clock.Now(), "vm", s.own, s.theirs, 10) {
				t.Error("told twice within a second")
			}
			clock.Advance(endsAgain)
			if s.told && !e.differs(clock.Now(), "vm", s.own, s.theirs, 10) {
				t.Error("not told again while they differ")
			}
		})
	}
}

// TestDaemonsThatForgotDifferentEndsTellEachOtherSeldom has two daemons differ for ever, with as many ends as are remembered.
func TestDaemonsThatForgotDifferentEndsTellEachOtherSeldom(t *testing.T) {
	const known, minute = 8000, 60
	clock := clockwork.NewFakeClockAt(clockStart)
	e := newEndNews(clock, nil)
	told := 0
	for range minute * time.Second / peerHeartbeat {
		if e.differs(clock.Now(), "vm", 5, 6, known) {
			told++
		}
		clock.Advance(peerHeartbeat)
	}
	if most := minute*endsPace/known + 1; told == 0 || told > most {
		t.Errorf("told %d times in a minute, want %d at most", told, most)
	}
}
