package fakes

import (
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"time"

	"emberlead/proto"
)

// Server serves a handler on a loopback port.
type Server struct {
	Address netip.AddrPort
	server  *http.Server
}

const readHeaderTimeout = 5 * time.Second

// Serve starts serving a handler on an address; port 0 picks a free one. It fails with KindUnavailable.
func Serve(address netip.AddrPort, handler http.Handler) (*Server, error) {
	l, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, &Error{Op: "serve", Kind: proto.KindUnavailable, Err: err}
	}
	s := &Server{
		Address: netip.MustParseAddrPort(l.Addr().String()),
		server:  &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout},
	}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// Close stops the server and closes its connections immediately.
func (s *Server) Close() { _ = s.server.Close() }

// Targets are the running fakes of all targets of a configuration file.
type Targets struct {
	File    *proto.File
	Targets map[string]*Target
	servers map[string]*Server
}

// StartTargets starts a fake for every target of a file. With anyPort the addresses in the file are replaced by ones with free ports.
func StartTargets(file *proto.File, seed uint64, anyPort bool) (*Targets, error) {
	all := &Targets{File: file, Targets: map[string]*Target{}, servers: map[string]*Server{}}
	for i := range file.Pools {
		pool := &file.Pools[i]
		for j := range pool.Targets {
			spec := &pool.Targets[j]
			if anyPort {
				spec.Address = netip.AddrPortFrom(spec.Address.Addr(), 0)
			}
			target := NewTarget(*spec, pool, seed+uint64(i*1000+j))
			server, err := Serve(spec.Address, target.Handler())
			if err != nil {
				all.Close()
				return nil, err
			}
			spec.Address = server.Address
			all.Targets[spec.Name] = target
			all.servers[spec.Name] = server
		}
	}
	return all, nil
}

// EncodeFile returns the file as JSON, with the addresses that the fakes listen on.
func (t *Targets) EncodeFile() ([]byte, error) {
	body, err := json.MarshalIndent(t.File, "", "  ")
	if err != nil {
		return nil, &Error{Op: "encode file", Kind: proto.KindInvalid, Err: err}
	}
	return body, nil
}

// Close stops all fakes.
func (t *Targets) Close() {
	for _, server := range t.servers {
		server.Close()
	}
}

// Runs returns the number of runs of each stage for each nonce over all targets, keyed by "service/stage nonce".
func (t *Targets) Runs() map[string]int {
	counts := map[string]int{}
	for _, target := range t.Targets {
		for key, n := range target.Runs() {
			counts[key] += n
		}
	}
	return counts
}
