package origin

import (
	"cmp"
	"slices"

	"emberlead/proto"
	"emberlead/state"
)

const (
	// Copies is the number of daemons that are told where a stream began, beside the one that began it. A stream is lost
	// if all of them end before its caller comes back.
	Copies = 3
	// Asked is the number of daemons that are asked for a stream that is not known: more than Copies, since the daemon
	// that began it may have counted on others that have ended since, or not known some that started.
	Asked = 2 * Copies
)

// Holders returns the n daemons that keep the streams of a request, the first ones of a ranking on which all daemons with
// the same list agree. Those for which last returns true come after the others.
func Holders(request proto.RequestDigest, daemons []proto.VM, n int, last func(proto.VM) bool) []proto.VM {
	type ranked struct {
		vm    proto.VM
		last  bool
		score uint64
	}
	list := make([]ranked, 0, len(daemons))
	for _, vm := range daemons {
		list = append(list, ranked{vm, last(vm), state.RendezvousScore(uint64(request), state.Hash(string(vm)))})
	}
	slices.SortFunc(list, func(a, b ranked) int {
		if a.last != b.last {
			if a.last {
				return 1
			}
			return -1
		}
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.vm, b.vm))
	})
	list = list[:min(n, len(list))]
	holders := make([]proto.VM, 0, len(list))
	for _, r := range list {
		holders = append(holders, r.vm)
	}
	return holders
}
