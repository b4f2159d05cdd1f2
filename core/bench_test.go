package core

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"emberlead/proto"
)

// newBenchPool returns an engine pool whose targets have reported loads, and a ticket for it.
func newBenchPool(b *testing.B, targets int) (*pool, *Ticket) {
	b.Helper()
	tuning := DefaultTuning()
	random := rand.New(rand.NewPCG(1, 1))
	p := newPool("generate", tuning, &ExpectedFinish[*target]{Rand: random, Sample: expectedFinishSample})
	spec := &proto.Pool{Name: "generate", Kind: proto.PoolEngine}
	for i := range targets {
		spec.Targets = append(spec.Targets, proto.Target{
			Name: fmt.Sprintf("t-%d", i), Zone: proto.Zone(fmt.Sprintf("r/%d", i%4)), VM: "v", Slots: 8,
			Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(i+1)),
		})
	}
	now := time.Unix(1_700_000_000, 0)
	p.configure(spec, nil, func(proto.VM) (bool, time.Time) { return false, time.Time{} })
	for i := range targets {
		p.recordLoad(now, proto.Load{Target: fmt.Sprintf("t-%d", i), Running: i % 7, Slots: 8, At: now})
	}
	return p, &Ticket{Need: Need{Zone: "r/1", Prefix: "some prompt", ServiceTime: 0.2}}
}

func BenchmarkDecision(b *testing.B) {
	for _, n := range []int{8, 35, 128, 600} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			p, ticket := newBenchPool(b, n)
			now := time.Unix(1_700_000_001, 0)
			b.ReportAllocs()
			for b.Loop() {
				if p.choose(now, ticket) < 0 {
					b.Fatal("no target is available")
				}
			}
		})
	}
}

// BenchmarkRequest runs whole requests of two stages through an engine, without I/O.
func BenchmarkRequest(b *testing.B) {
	for _, n := range []int{3, 35, 100, 600} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			e := New(WithZone("r/0"))
			now := time.Unix(1_700_000_000, 0)
			e.Configure(proto.EmptySnapshot().WithFile(1, testFile(n)), now, 0)
			random := rand.New(rand.NewPCG(1, 1))
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(10 * time.Millisecond)
				actions := e.Handle(now, Arrival{ID: NewRequestID(now, random), Workspace: "a", Service: "plain", Repeatable: true})
				for len(actions) > 0 {
					start, ok := actions[0].(Start)
					if !ok {
						break
					}
					now = now.Add(5 * time.Millisecond)
					actions = e.Handle(now, AttemptEnded{Attempt: start.ID, Status: StatusDone, Output: []byte("{}"), Busy: time.Millisecond})
				}
				e.Handle(now, Tick{})
			}
		})
	}
}

// BenchmarkTick runs ticks at which nothing is due.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{5, 30, 100, 300} {
		b.Run(fmt.Sprintf("pools=%d", n), func(b *testing.B) {
			e := New()
			f := testFile(1)
			f.Services, f.Pools = nil, nil
			for i := range n {
				f.Pools = append(f.Pools, proto.Pool{Name: fmt.Sprintf("p-%d", i), Kind: proto.PoolEncoder})
			}
			now := time.Unix(1_700_000_000, 0)
			e.Configure(proto.EmptySnapshot().WithFile(1, f), now, 0)
			for b.Loop() {
				e.Handle(now, Tick{})
			}
		})
	}
}

// heapOf returns the heap size in bytes of the value that build returns.
func heapOf(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

func BenchmarkTargetHeap(b *testing.B) {
	for _, n := range []int{35, 128, 600, 10_000} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			for b.Loop() {
				b.ReportMetric(heapOf(func() any {
					p, _ := newBenchPool(b, n)
					return p
				}), "heapBytes")
			}
		})
	}
}

// BenchmarkUsageHeap measures the heap size of the usage of recently active workspaces in a pool.
func BenchmarkUsageHeap(b *testing.B) {
	for _, n := range []int{5, 60, 600, 6600} {
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) {
			now := time.Unix(1_700_000_000, 0)
			for b.Loop() {
				b.ReportMetric(heapOf(func() any {
					u := newUsage(5 * time.Second)
					for i := range n {
						u.add(fmt.Sprintf("workspace-%d", i), now, time.Millisecond, false)
					}
					return u
				}), "heapBytes")
			}
		})
	}
}
