package fakes

import (
	"net"
	"net/netip"
	"os"
	"sync/atomic"

	"emberlead/proto"
)

const (
	// hostClaimPort is where a host listens for as long as its address is in use.
	hostClaimPort = 19_999
	// hostFirstPort and hostLastPort bound the ports that a host gives out. They lie below the range that the kernel hands out.
	hostFirstPort = 20_000
	hostLastPort  = 32_000
	// hostNetwork and hostPrefix are the first octet and the lowest second octet of the addresses of hosts.
	hostNetwork, hostPrefix = 127, 64
	// hostSpan is how many addresses there are.
	hostSpan = 64 << 16
	// hostsOfProcess is how far apart the first addresses of two processes with adjacent ids lie.
	hostsOfProcess = 256
)

// hostsTried counts the addresses that this process has tried to claim.
var hostsTried atomic.Uint32

// Host is a loopback address that its owner has for itself among all processes of the machine, so that deployments which run side by side
// never reach each other.
type Host struct {
	ip    netip.Addr
	claim net.Listener
	ports atomic.Uint32
}

// ReserveHost returns an address that nobody else claims until it is closed; it fails with KindUnavailable.
func ReserveHost() (*Host, error) {
	for range hostSpan {
		ip := hostAddress(uint32(os.Getpid())*hostsOfProcess + hostsTried.Add(1))
		claim, err := net.Listen("tcp4", netip.AddrPortFrom(ip, hostClaimPort).String())
		if err != nil {
			continue
		}
		h := &Host{ip: ip, claim: claim}
		h.ports.Store(hostFirstPort)
		return h, nil
	}
	return nil, newError("claim a host", proto.KindUnavailable, "no loopback address is free")
}

func hostAddress(n uint32) netip.Addr {
	n %= hostSpan
	return netip.AddrFrom4([4]byte{hostNetwork, hostPrefix + byte(n>>16), byte(n >> 8), byte(n)})
}

// IP returns the address of the host.
func (h *Host) IP() netip.Addr { return h.ip }

// Close gives the address up.
func (h *Host) Close() error { return h.claim.Close() }

// FreePort returns the address with a port that it gives out once; it fails with KindUnavailable.
func (h *Host) FreePort() (netip.AddrPort, error) {
	for port := h.ports.Add(1); port <= hostLastPort; port = h.ports.Add(1) {
		address := netip.AddrPortFrom(h.ip, uint16(port))
		l, err := net.Listen("tcp4", address.String())
		if err != nil {
			continue
		}
		return address, l.Close()
	}
	return netip.AddrPort{}, newError("find a port", proto.KindUnavailable, "no port is free at %s", h.ip)
}
