package coord

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"emberlead/proto"
	"emberlead/state"
)

func heapGrowth(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

func encodedSize(b *testing.B, m proto.Message) float64 {
	b.Helper()
	data, err := proto.Encode(m, 0, false, "")
	if err != nil {
		b.Fatal(err)
	}
	return float64(len(data))
}

// newMembers returns the membership of one daemon among n.
func newMembers(n int) (*Members, *meshSim) {
	s := &meshSim{now: time.Unix(1_700_000_000, 0), members: map[proto.VM]*Members{}, zone: map[proto.VM]proto.Zone{}, timing: DefaultMemberTiming()}
	list := proto.VMList{}
	for i := range n {
		vm := proto.VM(fmt.Sprintf("entry-%d", i))
		s.zone[vm] = proto.Zone(fmt.Sprintf("region-%d/zone-%d", i%4, i/4%4))
		list.VMs = append(list.VMs, proto.VMEntry{VM: vm, Zone: s.zone[vm], Entry: true})
	}
	s.start("entry-0", 1)
	m := s.members["entry-0"]
	m.HandleVMList(s.now, list)
	for vm, zone := range s.zone {
		m.HandleAlive(s.now, proto.Alive{VM: vm, Zone: zone, Incarnation: 1_700_000_000_000, Sequence: 1}, vm)
	}
	return m, s
}

// BenchmarkMembers measures one second of membership: a heartbeat to and from each link, and five ticks.
func BenchmarkMembers(b *testing.B) {
	for _, n := range []int{8, 60, 400, 2000} {
		b.Run(fmt.Sprintf("peers=%d", n), func(b *testing.B) {
			m, s := newMembers(n)
			links := m.Links()
			beat := proto.Heartbeat{Incarnation: 1_700_000_000_000, Generation: 60_000, Roster: 4000}
			now := s.now
			for b.Loop() {
				for range 5 {
					now = now.Add(200 * time.Millisecond)
					m.Tick(now)
				}
				for _, vm := range links {
					m.HandleHeartbeat(now, vm, beat)
				}
				s.queue = s.queue[:0]
			}
			b.ReportMetric(float64(len(links)), "links")
			b.ReportMetric(encodedSize(b, beat), "beatBytes")
		})
	}
}

func BenchmarkMembersHeap(b *testing.B) {
	for _, n := range []int{8, 60, 400, 2000} {
		b.Run(fmt.Sprintf("peers=%d", n), func(b *testing.B) {
			for b.Loop() {
				b.ReportMetric(heapGrowth(func() any {
					m, s := newMembers(n)
					s.queue = nil
					return m
				}), "heapBytes")
			}
		})
	}
}

// BenchmarkRing measures updating the links after one daemon died or came back.
func BenchmarkRing(b *testing.B) {
	for _, n := range []int{8, 60, 400, 2000} {
		b.Run(fmt.Sprintf("peers=%d", n), func(b *testing.B) {
			m, _ := newMembers(n)
			mem := m.members[m.Links()[0]]
			for b.Loop() {
				mem.dead = !mem.dead
				m.updateGraph(mem)
				m.Links()
			}
		})
	}
}

// BenchmarkChange measures applying one change to one file among many.
func BenchmarkChange(b *testing.B) {
	for _, n := range []int{5, 60, 600, 6600} {
		b.Run(fmt.Sprintf("files=%d", n), func(b *testing.B) {
			c := NewConfigState(nil)
			take := func(g int, name string) {
				body := fileBody(name, g%100)
				c.ApplyChanges([]proto.Change{{Generation: proto.Generation(g), Kind: proto.ChangeFile, Name: name, Hash: HashOf(body), Body: body}})
			}
			whole := make([]proto.Change, 0, n)
			for i := range n {
				name := fmt.Sprintf("f%d", i)
				body := fileBody(name, 1)
				whole = append(whole, proto.Change{Generation: proto.Generation(i + 1), Kind: proto.ChangeFile, Name: name, Hash: HashOf(body), Body: body})
			}
			if !c.ApplyFull(proto.Generation(n), whole) {
				b.Fatal("the files were rejected")
			}
			g := n
			for b.Loop() {
				g++
				take(g, "f1")
			}
			b.ReportMetric(encodedSize(b, proto.ChangesAnswer{Changes: []proto.Change{c.recent[len(c.recent)-1]}}), "changeBytes")
		})
	}
}

func BenchmarkFilesHeap(b *testing.B) {
	for _, n := range []int{5, 60, 600, 6600} {
		b.Run(fmt.Sprintf("files=%d", n), func(b *testing.B) {
			for b.Loop() {
				b.ReportMetric(heapGrowth(func() any {
					c := NewConfigState(nil)
					var whole []proto.Change
					for i := range n {
						name := fmt.Sprintf("f%d", i)
						body := fileBody(name, 1)
						whole = append(whole, proto.Change{Generation: proto.Generation(i + 1), Kind: proto.ChangeFile, Name: name, Hash: HashOf(body), Body: body})
					}
					c.ApplyFull(proto.Generation(n), whole)
					return c
				}), "heapBytes")
			}
		})
	}
}

func benchKey(i int, now time.Time) proto.Key {
	return proto.KeyAt(now, [10]byte{4: byte(i), byte(i >> 8), byte(i >> 16), byte(i >> 24)})
}

// BenchmarkClaim measures one claim and its settlement at one replica.
func BenchmarkClaim(b *testing.B) {
	for _, n := range []int{1000, 10_000, 100_000, 400_000} {
		b.Run(fmt.Sprintf("keys=%d", n), func(b *testing.B) {
			now := time.Unix(1_700_000_000, 0)
			l := state.NewClaimStore(time.Hour, 1<<30)
			claim := proto.ClaimID{Holder: "entry-1", Incarnation: 1}
			for i := range n {
				l.Claim(benchKey(i, now), 1, claim)
			}
			i := n
			for b.Loop() {
				i++
				key := benchKey(i, now)
				l.Claim(key, 1, claim)
				l.Settle(key, claim, true, nil)
			}
			ask := proto.ClaimAsk{Slot: 700, Since: 4000, Key: benchKey(1, now), Fingerprint: 1 << 60, Claim: claim}
			b.ReportMetric(encodedSize(b, ask), "askBytes")
			b.ReportMetric(encodedSize(b, proto.ClaimAnswer{Result: proto.ClaimGranted, Since: 4000, Roster: 4000}), "answerBytes")
			b.ReportMetric(encodedSize(b, proto.Settle{Slot: 700, Key: benchKey(1, now), Claim: claim, Released: true}), "settleBytes")
		})
	}
}

func BenchmarkClaimHeap(b *testing.B) {
	for _, n := range []int{1000, 10_000, 100_000, 400_000} {
		b.Run(fmt.Sprintf("keys=%d", n), func(b *testing.B) {
			now := time.Unix(1_700_000_000, 0)
			for b.Loop() {
				b.ReportMetric(heapGrowth(func() any {
					l := state.NewClaimStore(time.Hour, 1<<30)
					for i := range n {
						l.Claim(benchKey(i, now), 1, proto.ClaimID{Holder: "entry-1", Incarnation: 1})
					}
					return l
				}), "heapBytes")
			}
		})
	}
}

// BenchmarkUsageRow measures adding one row at a usage collector, and the size of a row on the wire.
func BenchmarkUsageRow(b *testing.B) {
	for _, n := range []int{5, 60, 600, 6600} {
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) {
			u := NewUsageTotals()
			now := time.Unix(1_700_000_000, 0)
			rows := make([]proto.UsageRow, n)
			for i := range rows {
				rows[i] = proto.UsageRow{Pool: "generate", Workspace: fmt.Sprintf("workspace-%d", i), Spent: 123456789}
			}
			i := 0
			for b.Loop() {
				u.Add(now, "entry-1", rows[i%n:i%n+1])
				i++
			}
			b.ReportMetric(encodedSize(b, proto.Usage{Rows: rows})/float64(n), "rowBytes")
		})
	}
}

func BenchmarkLoadRow(b *testing.B) {
	for _, n := range []int{1, 8, 60, 500} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			rows := make([]proto.LoadRow, n)
			for i := range rows {
				rows[i] = proto.LoadRow{Pool: "generate", Target: fmt.Sprintf("generate-%d", i), Running: 6, Waiting: 1, Slots: 8, Age: 123456789}
			}
			var loads proto.Loads
			for b.Loop() {
				loads = proto.Loads{Digest: proto.PackLoads(rows)}
				if _, err := proto.Encode(loads, 0, false, ""); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(encodedSize(b, loads)/float64(n), "rowBytes")
		})
	}
}

// BenchmarkOwner measures choosing the daemon that runs a task on behalf of all, which each request does several times.
func BenchmarkOwner(b *testing.B) {
	for _, n := range []int{8, 75, 300, 2000} {
		b.Run(fmt.Sprintf("peers=%d", n), func(b *testing.B) {
			m, _ := newMembers(n)
			b.ReportAllocs()
			for b.Loop() {
				m.Owner("batch/some-pool", func(proto.VM) bool { return false })
			}
		})
	}
}
