package fakes

import (
	"net"
	"net/netip"
	"testing"
)

// TestHostIsReservedOnce guards against two processes reserving the same address, and against allocating a port that is
// already in use.
func TestHostIsReservedOnce(t *testing.T) {
	h, err := ReserveHost()
	if err != nil {
		t.Fatal(err)
	}
	defer h.Close()
	if l, err := net.Listen("tcp4", netip.AddrPortFrom(h.IP(), hostReservationPort).String()); err == nil {
		_ = l.Close()
		t.Errorf("%s can be reserved twice", h.IP())
	}
	occupied, err := net.Listen("tcp4", netip.AddrPortFrom(h.IP(), hostFirstPort+1).String())
	if err != nil {
		t.Fatal(err)
	}
	defer occupied.Close()
	allocated := map[netip.AddrPort]bool{}
	for range 3 {
		address, err := h.FreePort()
		if err != nil || allocated[address] || address.String() == occupied.Addr().String() {
			t.Errorf("port %s, error %v", address, err)
		}
		allocated[address] = true
	}
}
