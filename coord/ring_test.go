package coord

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"emberlead/proto"
)

// ringNeighbors returns the neighbors of a daemon in a ring that orders all nodes anew.
func ringNeighbors(name string, nodes []ringNode, vm proto.VM) []proto.VM {
	var vms []proto.VM
	for _, node := range nodes {
		vms = append(vms, node.vm)
	}
	order := rankVMs(name, vms)
	i := slices.Index(order, vm)
	return []proto.VM{order[(i+1)%len(order)], order[(i+len(order)-1)%len(order)]}
}

// linksFromScratch returns the links of a daemon according to the definition of Rings.
func linksFromScratch(rings Rings, nodes []ringNode, self ringNode) []proto.VM {
	links := map[proto.VM]bool{}
	var region []ringNode
	regions := map[string]bool{}
	for _, node := range nodes {
		regions[node.region] = true
		if node.region == self.region {
			region = append(region, node)
		}
	}
	if len(region) <= 2*rings.Region+1 {
		for _, node := range region {
			links[node.vm] = true
		}
	} else {
		for i := range rings.Region {
			for _, vm := range ringNeighbors(fmt.Sprintf("%s/%d", self.region, i), region, self.vm) {
				links[vm] = true
			}
		}
	}
	if len(regions) > 1 {
		for i := range rings.Global {
			for _, vm := range ringNeighbors(fmt.Sprintf("global/%d", i), nodes, self.vm) {
				links[vm] = true
			}
		}
	}
	delete(links, self.vm)
	var sorted []proto.VM
	for vm := range links {
		sorted = append(sorted, vm)
	}
	slices.Sort(sorted)
	return sorted
}

// TestLinksFollowEachChange has daemons join, leave and move between regions in random order, and compares the links of all with those
// of the whole view ordered anew.
func TestLinksFollowEachChange(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		regions := 1 + random.IntN(3)
		g := DefaultRings().graph(nil)
		present := map[proto.VM]ringNode{}
		for range 120 {
			vm := proto.VM(fmt.Sprint("vm-", random.IntN(40)))
			if random.IntN(3) == 0 {
				g.remove(vm)
				delete(present, vm)
			} else {
				node := ringNode{vm: vm, region: fmt.Sprint("region-", random.IntN(regions))}
				g.insert(node)
				present[vm] = node
			}
			var nodes []ringNode
			for _, node := range present {
				nodes = append(nodes, node)
			}
			for _, node := range nodes {
				links := g.links(node.vm)
				slices.Sort(links)
				if want := linksFromScratch(DefaultRings(), nodes, node); !slices.Equal(links, want) {
					t.Fatalf("seed %d: %s links to %v, want %v", seed, node.vm, links, want)
				}
			}
		}
	}
}
