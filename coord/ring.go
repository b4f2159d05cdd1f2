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

// ringNode is a daemon's place for the rings.
type ringNode struct {
	vm     proto.VM
	region string
}

func ringHash(ring string, vm proto.VM) uint64 {
	return xxhash.Sum64String(ring + "/" + string(vm))
}

func ringOrder(ring string, nodes []ringNode) []proto.VM {
	type hashedVM struct {
		hash uint64
		vm   proto.VM
	}
	order := make([]hashedVM, 0, len(nodes))
	for _, s := range nodes {
		order = append(order, hashedVM{ringHash(ring, s.vm), s.vm})
	}
	slices.SortFunc(order, func(a, b hashedVM) int {
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

func (r Rings) graph(nodes []ringNode) *graph {
	g := &graph{regional: map[proto.VM][]proto.VM{}, global: map[proto.VM][]proto.VM{}}
	regions := map[string][]ringNode{}
	for _, s := range nodes {
		regions[s.region] = append(regions[s.region], s)
	}
	for region, members := range regions {
		if len(members) <= 2*r.Region+1 {
			linkAll(g.regional, members)
			continue
		}
		for i := range r.Region {
			linkRing(g.regional, ringOrder(region+"/"+strconv.Itoa(i), members))
		}
	}
	if len(regions) > 1 {
		for i := range r.Global {
			linkRing(g.global, ringOrder("global/"+strconv.Itoa(i), nodes))
		}
	}
	return g
}

func linkAll(links map[proto.VM][]proto.VM, nodes []ringNode) {
	for _, a := range nodes {
		for _, b := range nodes {
			if a.vm != b.vm {
				links[a.vm] = append(links[a.vm], b.vm)
			}
		}
	}
}

func linkRing(links map[proto.VM][]proto.VM, order []proto.VM) {
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

// rankVMs orders VMs by rendezvous hashing for a purpose, so that all daemons with one view pick the same.
func rankVMs(purpose string, vms []proto.VM) []proto.VM {
	nodes := make([]ringNode, len(vms))
	for i, vm := range vms {
		nodes[i] = ringNode{vm: vm}
	}
	return ringOrder(purpose, nodes)
}

// firstRanked returns the VM that rendezvous hashing picks for a purpose.
func firstRanked(purpose string, vms []proto.VM) (proto.VM, bool) {
	var best proto.VM
	var lowest uint64
	found := false
	for _, vm := range vms {
		if h := ringHash(purpose, vm); !found || h < lowest || h == lowest && vm < best {
			best, lowest, found = vm, h, true
		}
	}
	return best, found
}
