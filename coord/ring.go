package coord

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"emberlead/proto"
)

// Rings decide which daemons link to each other. Each ring orders the daemons by
// a hash of its own, and a daemon links to the next and the last one in each, so
// that the links of all rings together are a random graph of fixed degree. Up to
// 2*RegionRings+1 daemons of a region this comes to a full mesh.
type Rings struct {
	Region int // rings among the daemons of one region
	Global int // rings among all daemons
}

// DefaultRings returns four rings in each region and one over all.
func DefaultRings() Rings { return Rings{Region: 4, Global: 1} }

// seat is a daemon's place for the rings.
type seat struct {
	vm     proto.VM
	region string
}

func ringHash(ring string, vm proto.VM) uint64 {
	return xxhash.Sum64String(ring + "/" + string(vm))
}

func ringOrder(ring string, seats []seat) []proto.VM {
	type placed struct {
		hash uint64
		vm   proto.VM
	}
	order := make([]placed, 0, len(seats))
	for _, s := range seats {
		order = append(order, placed{ringHash(ring, s.vm), s.vm})
	}
	slices.SortFunc(order, func(a, b placed) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.vm, b.vm))
	})
	vms := make([]proto.VM, len(order))
	for i, p := range order {
		vms[i] = p.vm
	}
	return vms
}

// graph holds the links of every daemon, the same on every daemon with the same view.
type graph struct {
	regional map[proto.VM][]proto.VM
	global   map[proto.VM][]proto.VM
}

func (r Rings) graph(seats []seat) *graph {
	g := &graph{regional: map[proto.VM][]proto.VM{}, global: map[proto.VM][]proto.VM{}}
	regions := map[string][]seat{}
	for _, s := range seats {
		regions[s.region] = append(regions[s.region], s)
	}
	for region, members := range regions {
		if len(members) <= 2*r.Region+1 {
			mesh(g.regional, members)
			continue
		}
		for i := range r.Region {
			link(g.regional, ringOrder(region+"/"+strconv.Itoa(i), members))
		}
	}
	if len(regions) > 1 {
		for i := range r.Global {
			link(g.global, ringOrder("global/"+strconv.Itoa(i), seats))
		}
	}
	return g
}

func mesh(links map[proto.VM][]proto.VM, seats []seat) {
	for _, a := range seats {
		for _, b := range seats {
			if a.vm != b.vm {
				links[a.vm] = append(links[a.vm], b.vm)
			}
		}
	}
}

func link(links map[proto.VM][]proto.VM, order []proto.VM) {
	n := len(order)
	for i, vm := range order {
		for _, other := range []proto.VM{order[(i+1)%n], order[(i+n-1)%n]} {
			if other != vm && !slices.Contains(links[vm], other) {
				links[vm] = append(links[vm], other)
			}
		}
	}
}

// links returns all daemons that one links to.
func (g *graph) links(vm proto.VM) []proto.VM {
	all := slices.Clone(g.regional[vm])
	for _, other := range g.global[vm] {
		if !slices.Contains(all, other) {
			all = append(all, other)
		}
	}
	return all
}

// rank orders VMs by rendezvous hashing for a purpose, so that all daemons with one view pick the same.
func rank(purpose string, vms []proto.VM) []proto.VM {
	seats := make([]seat, len(vms))
	for i, vm := range vms {
		seats[i] = seat{vm: vm}
	}
	return ringOrder(purpose, seats)
}

// first returns the VM that rendezvous hashing picks for a purpose.
func first(purpose string, vms []proto.VM) (proto.VM, bool) {
	var best proto.VM
	var least uint64
	found := false
	for _, vm := range vms {
		if h := ringHash(purpose, vm); !found || h < least || h == least && vm < best {
			best, least, found = vm, h, true
		}
	}
	return best, found
}
