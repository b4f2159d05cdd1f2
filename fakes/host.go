package fakes

import (
	"net"
	"net/netip"
	"os"
	"sync/atomic"

	"emberlead/proto"
)

const (
	// hostReservationPort is the port that a host listens on while its address is reserved.
	hostReservationPort = 19_999
	// hostFirstPort and hostLastPort bound the ports that a host allocates. They lie below the kernel's ephemeral port range.
	hostFirstPort = 20_000
	hostLastPort  = 32_000
	// hostFirstOctet is the first octet of the host addresses, hostSecondOctet the lowest second octet.
	hostFirstOctet, hostSecondOctet = 127, 64
	// hostCount is the number of host addresses.
	hostCount = 64 << 16
	// hostsPerProcess is the distance between the first addresses of two processes with adjacent ids.
	hostsPerProcess = 256
)

// hostsTried counts the addresses that this process has tried to reserve.
var hostsTried atomic.Uint32

// Host is a loopback address reserved for its owner among all processes of the machine, so that deployments that run
// concurrently never connect to each other.
type Host struct {
	ip          netip.Addr
	reservation net.Listener
	ports       atomic.Uint32
}

// ReserveHost reserves an address until Close is called. It fails with KindUnavailable if none is free.
func ReserveHost() (*Host, error) {
	for range hostCount {
		ip := hostAddress(uint32(os.Getpid())*hostsPerProcess + hostsTried.Add(1))
		reservation, err := net.Listen("tcp4", netip.AddrPortFrom(ip, hostReservationPort).String())
		if err != nil {
			continue
		}
		h := &Host{ip: ip, reservation: reservation}
		h.ports.Store(hostFirstPort)
		return h, nil
	}
	return nil, newError("claim a host", proto.KindUnavailable, "no loopback address is free")
}

func hostAddress(n uint32) netip.Addr {
	n %= hostCount
	return netip.AddrFrom4([4]byte{hostFirstOctet, hostSecondOctet + byte(n>>16), byte(n >> 8), byte(n)})
}

// IP returns the host's address.
func (h *Host) IP() netip.Addr { return h.ip }

// Close releases the address.
func (h *Host) Close() error { return h.reservation.Close() }

// FreePort returns the host's address with a port that it returns only once. It fails with KindUnavailable if no port is free.
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
