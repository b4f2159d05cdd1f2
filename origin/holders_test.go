package origin_test

import (
	"fmt"
	"slices"
	"testing"

	"emberlead/origin"
	"emberlead/proto"
)

func TestHoldersOfOneListAgree(t *testing.T) {
	var daemons []origin.Daemon
	for i := range 40 {
		daemons = append(daemons, origin.Daemon{VM: proto.VM(fmt.Sprint("vm-", i)), Stopping: i%4 == 0})
	}
	reversed := slices.Clone(daemons)
	slices.Reverse(reversed)
	one, other, fewer := origin.NewRanking(daemons), origin.NewRanking(reversed), origin.NewRanking(daemons[1:])
	for request := range proto.RequestDigest(500) {
		all, some := one.Holders(request, len(daemons)), one.Holders(request, origin.Copies)
		if len(some) != origin.Copies || !slices.Equal(all[:origin.Copies], some) || !slices.Equal(some, other.Holders(request, origin.Copies)) {
			t.Fatalf("request %d: %v of %v, in another order of the list %v", request, some, all, other.Holders(request, origin.Copies))
		}
		without := slices.DeleteFunc(slices.Clone(all), func(vm proto.VM) bool { return vm == "vm-0" })
		if !slices.Equal(without[:origin.Asked], fewer.Holders(request, origin.Asked)) {
			t.Fatalf("request %d: a daemon that ended changes the order of the others", request)
		}
		for i, vm := range all {
			var n int
			_, _ = fmt.Sscanf(string(vm), "vm-%d", &n)
			if stopping := i >= 30; stopping != (n%4 == 0) {
				t.Fatalf("request %d: %s is at place %d", request, vm, i)
			}
		}
	}
}

func BenchmarkHolders(b *testing.B) {
	var daemons []origin.Daemon
	for i := range 985 {
		daemons = append(daemons, origin.Daemon{VM: proto.VM(fmt.Sprint("vm-", i))})
	}
	ranking := origin.NewRanking(daemons)
	for i := range b.N {
		ranking.Holders(proto.RequestDigest(i), origin.Copies)
	}
}
