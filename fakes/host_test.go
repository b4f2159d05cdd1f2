package fakes

import (
	"net"
	"net/netip"
	"testing"
)

// TestAHostIsClaimedOnce guards against two processes reserving the same address, and against allocating a port that is
// already in use.
func TestAHostIsClaimedOnce(t *testing.T) {
	h, err := ReserveHost()
	if err != nil {
		t.Fatal(err)
	}
	defer h.Close()
	if l, err := net.Listen("tcp4", netip.AddrPortFrom(h.IP(), hostClaimPort).String()); err == nil {
		_ = l.Close()
		t.Errorf("%s may be claimed twice", h.IP())
	}
	taken, err := net.Listen("tcp4", netip.AddrPortFrom(h.IP(), hostFirstPort+1).String())
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	given := map[netip.AddrPort]bool{}
	for range 3 {
		address, err := h.FreePort()
		if err != nil || given[address] || address.String() == taken.Addr().String() {
			t.Errorf("port %s, error %v", address, err)
		}
		given[address] = true
	}
}
