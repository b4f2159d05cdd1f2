package coord

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"emberlead/proto"
)

// Rings define which daemons link to each other. Each ring orders the daemons by its own hash, and a daemon links to
// its successor and predecessor in every ring, so the links of all rings form a random graph of fixed degree. In a
// region of up to 2*Region+1 daemons this is a full mesh.
type Rings struct {
	Region int // number of rings among the daemons of one region
	Global int // number of rings among all daemons
}

// DefaultRings returns four rings per region and one global ring.
func DefaultRings() Rings { return Rings{Region: 4, Global: 1} }

// ringNode is a daemon as the rings see it.
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

// graph holds the links of every daemon; daemons with the same view compute the same graph.
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

// links returns all daemons that the given one links to.
func (g *graph) links(vm proto.VM) []proto.VM {
	all := slices.Clone(g.regional[vm])
	for _, other := range g.global[vm] {
		if !slices.Contains(all, other) {
			all = append(all, other)
		}
	}
	return all
}

// rankVMs orders VMs for a purpose by rendezvous hashing, so that all daemons with the same view choose the same ones.
func rankVMs(purpose string, vms []proto.VM) []proto.VM {
	nodes := make([]ringNode, len(vms))
	for i, vm := range vms {
		nodes[i] = ringNode{vm: vm}
	}
	return ringOrder(purpose, nodes)
}

// firstRanked returns the VM that ranks first for a purpose.
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
