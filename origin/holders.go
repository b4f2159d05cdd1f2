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

// Daemon is a daemon that may keep streams.
type Daemon struct {
	VM proto.VM
	// Stopping daemons come after all others.
	Stopping bool
}

// Ranking ranks daemons for each request, so that all daemons with the same list agree on who keeps its streams.
type Ranking struct {
	daemons []Daemon
	hashes  []uint64
}

// NewRanking returns a ranking of daemons.
func NewRanking(daemons []Daemon) *Ranking {
	r := &Ranking{daemons: daemons}
	for _, d := range daemons {
		r.hashes = append(r.hashes, state.Hash(string(d.VM)))
	}
	return r
}

// ranked is a daemon with its score for a request.
type ranked struct {
	Daemon
	score uint64
}

// before compares the ranks of two daemons.
func (a ranked) before(b ranked) int {
	if a.Stopping != b.Stopping {
		if a.Stopping {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.VM, b.VM))
}

// Holders returns the first n daemons for a request.
func (r *Ranking) Holders(request proto.RequestDigest, n int) []proto.VM {
	if n <= 0 {
		return nil
	}
	var first []ranked
	for i, d := range r.daemons {
		candidate := ranked{d, state.RendezvousScore(uint64(request), r.hashes[i])}
		if len(first) == n && first[n-1].before(candidate) < 0 {
			continue
		}
		at, _ := slices.BinarySearchFunc(first, candidate, ranked.before)
		first = slices.Insert(first, at, candidate)
		first = first[:min(n, len(first))]
	}
	holders := make([]proto.VM, 0, len(first))
	for _, d := range first {
		holders = append(holders, d.VM)
	}
	return holders
}
