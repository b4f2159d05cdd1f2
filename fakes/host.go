package fakes

import (
	"net"
	"net/netip"
	"os"
	"sync/atomic"

	"emberlead/proto"
)

const (
	// hostClaimPort is the port that a host listens on while its address is reserved.
	hostClaimPort = 19_999
	// hostFirstPort and hostLastPort bound the ports that a host allocates. They lie below the kernel's ephemeral port
	// range.
	hostFirstPort = 20_000
	hostLastPort  = 32_000
	// hostNetwork is the first octet of the host addresses, hostPrefix the lowest second octet.
	hostNetwork, hostPrefix = 127, 64
	// hostSpan is the number of host addresses.
	hostSpan = 64 << 16
	// hostsOfProcess is the distance between the first addresses of two processes with adjacent ids.
	hostsOfProcess = 256
)

// hostsTried counts the addresses that this process has tried to reserve.
var hostsTried atomic.Uint32

// Host is a loopback address reserved for its owner among all processes of the machine, so that deployments that run
// concurrently never connect to each other.
type Host struct {
	ip    netip.Addr
	claim net.Listener
	ports atomic.Uint32
}

// ReserveHost reserves an address until Close is called. It fails with KindUnavailable if none is free.
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

// IP returns the host's address.
func (h *Host) IP() netip.Addr { return h.ip }

// Close releases the address.
func (h *Host) Close() error { return h.claim.Close() }

// FreePort returns the host's address with a port that it returns only once. It fails with KindUnavailable if no port
// is free.
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
