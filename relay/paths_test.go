package relay

import (
	"iter"
	"net/netip"
	"slices"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
)

// listedAddresses are the addresses of all targets.
type listedAddresses []netip.AddrPort

func (l listedAddresses) AddressCount() int { return len(l) }

func (l listedAddresses) Addresses() iter.Seq[netip.AddrPort] { return slices.Values(l) }

// TestIdleDaemonIsNotCutOff guards against a refusal of requests that most targets would serve: a daemon had not reached a target that
// ended, was idle for seconds, and took the next targets that it did not reach for proof that it had reached none for all that time.
func TestIdleDaemonIsNotCutOff(t *testing.T) {
	var targets listedAddresses
	for i := range cutOffTargets + 10 {
		targets = append(targets, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80))
	}
	clock := clockwork.NewFakeClock()
	p := NewPaths("r/z", clock, hclog.NewNullLogger(), nil, targets)
	p.RecordUnreached(targets[0])
	clock.Advance(3 * noneReachedTTL)
	for _, target := range targets[1:cutOffTargets] {
		p.RecordUnreached(target)
	}
	p.RecordUnreached(targets[cutOffTargets])
	if _, none := p.NoneReached(); none {
		t.Error("a daemon that was idle counts as reaching no target")
	}
	for end := clock.Now().Add(noneReachedTime); clock.Now().Before(end); clock.Advance(noneReachedTime / 4) {
		p.RecordUnreached(targets[1])
	}
	if _, none := p.NoneReached(); !none {
		t.Error("a daemon that has reached no target for a while counts as reaching some")
	}
}
