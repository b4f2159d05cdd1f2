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

// ringEntry is a daemon's position in a ring.
type ringEntry struct {
	hash uint64
	vm   proto.VM
}

func compareEntries(a, b ringEntry) int {
	return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.vm, b.vm))
}

// ring holds daemons in the order of the ring's hash.
type ring struct {
	name    string
	entries []ringEntry
}

func (r *ring) entry(vm proto.VM) ringEntry { return ringEntry{ringHash(r.name, vm), vm} }

func (r *ring) insert(vm proto.VM) {
	e := r.entry(vm)
	if i, found := slices.BinarySearchFunc(r.entries, e, compareEntries); !found {
		r.entries = slices.Insert(r.entries, i, e)
	}
}

func (r *ring) remove(vm proto.VM) {
	if i, found := slices.BinarySearchFunc(r.entries, r.entry(vm), compareEntries); found {
		r.entries = slices.Delete(r.entries, i, i+1)
	}
}

// appendNeighbors appends the daemons before and after one in the ring that links lacks.
func (r *ring) appendNeighbors(links []proto.VM, vm proto.VM) []proto.VM {
	i, found := slices.BinarySearchFunc(r.entries, r.entry(vm), compareEntries)
	if !found {
		return links
	}
	n := len(r.entries)
	for _, j := range []int{(i + 1) % n, (i + n - 1) % n} {
		if other := r.entries[j].vm; other != vm && !slices.Contains(links, other) {
			links = append(links, other)
		}
	}
	return links
}

// graph holds the links of every daemon; daemons with the same view have the same graph. A daemon that joins or leaves
// is inserted into or removed from its rings, which costs far less than to order all daemons again.
type graph struct {
	rings   Rings
	regions map[proto.VM]string
	// regional holds the rings of each region, and global those over all regions.
	regional map[string][]*ring
	global   []*ring
	// version counts the changes.
	version uint64
}

func (r Rings) graph(nodes []ringNode) *graph {
	g := &graph{rings: r, regions: map[proto.VM]string{}, regional: map[string][]*ring{}}
	for i := range r.Global {
		g.global = append(g.global, &ring{name: "global/" + strconv.Itoa(i)})
	}
	for _, node := range nodes {
		g.insert(node)
	}
	return g
}

// insert adds a daemon, or moves it to another region.
func (g *graph) insert(node ringNode) {
	region, known := g.regions[node.vm]
	switch {
	case known && region == node.region:
		return
	case known:
		g.remove(node.vm)
	}
	g.version++
	g.regions[node.vm] = node.region
	if g.regional[node.region] == nil {
		for i := range g.rings.Region {
			g.regional[node.region] = append(g.regional[node.region], &ring{name: node.region + "/" + strconv.Itoa(i)})
		}
	}
	for _, r := range slices.Concat(g.regional[node.region], g.global) {
		r.insert(node.vm)
	}
}

func (g *graph) remove(vm proto.VM) {
	region, known := g.regions[vm]
	if !known {
		return
	}
	g.version++
	delete(g.regions, vm)
	for _, r := range slices.Concat(g.regional[region], g.global) {
		r.remove(vm)
	}
	if len(g.regional[region][0].entries) == 0 {
		delete(g.regional, region)
	}
}

// regionalLinks returns the daemons of its region that a daemon links to: all of them in a small region.
func (g *graph) regionalLinks(vm proto.VM) []proto.VM {
	region, known := g.regions[vm]
	if !known {
		return nil
	}
	rings := g.regional[region]
	var links []proto.VM
	if len(rings[0].entries) > 2*g.rings.Region+1 {
		for _, r := range rings {
			links = r.appendNeighbors(links, vm)
		}
		return links
	}
	for _, e := range rings[0].entries {
		if e.vm != vm {
			links = append(links, e.vm)
		}
	}
	return links
}

// links returns all daemons that the given one links to.
func (g *graph) links(vm proto.VM) []proto.VM {
	links := g.regionalLinks(vm)
	if len(g.regional) > 1 {
		for _, r := range g.global {
			links = r.appendNeighbors(links, vm)
		}
	}
	return links
}

// rankVMs orders VMs for a purpose by rendezvous hashing, so that all daemons with the same view choose the same ones.
func rankVMs(purpose string, vms []proto.VM) []proto.VM {
	order := make([]ringEntry, len(vms))
	for i, vm := range vms {
		order[i] = ringEntry{ringHash(purpose, vm), vm}
	}
	slices.SortFunc(order, compareEntries)
	ranked := make([]proto.VM, len(order))
	for i, e := range order {
		ranked[i] = e.vm
	}
	return ranked
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
