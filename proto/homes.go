package proto

import "slices"

// Homes are the regions in which a request may be worked on; without a bound it may be anywhere.
type Homes struct {
	// Bound says that only Regions are allowed, which may be none.
	Bound   bool     `cbor:"1,keyasint,omitempty"`
	Regions []string `cbor:"2,keyasint,omitempty"`
}

// HomesIn returns a bound to some regions, or none if there are no regions.
func HomesIn(regions []string) Homes { return Homes{Bound: len(regions) > 0, Regions: regions} }

// IsZero tells whether there is no bound.
func (h Homes) IsZero() bool { return !h.Bound }

// Allow tells whether a region is allowed.
func (h Homes) Allow(region string) bool { return !h.Bound || slices.Contains(h.Regions, region) }

// And returns the bound that holds where both hold.
func (h Homes) And(other Homes) Homes {
	switch {
	case !h.Bound:
		return other
	case !other.Bound:
		return h
	}
	both := Homes{Bound: true}
	for _, region := range h.Regions {
		if other.Allow(region) {
			both.Regions = append(both.Regions, region)
		}
	}
	return both
}
