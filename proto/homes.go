package proto

import "slices"

// AllowedRegions are the regions in which a request may be worked on; without a bound it may be anywhere.
type AllowedRegions struct {
	// Bound says that only Regions are allowed, which may be none.
	Restricted bool     `cbor:"1,keyasint,omitempty"`
	Regions    []string `cbor:"2,keyasint,omitempty"`
}

// AllowRegions returns a bound to some regions, or none if there are no regions.
func AllowRegions(regions []string) AllowedRegions {
	return AllowedRegions{Restricted: len(regions) > 0, Regions: regions}
}

// IsZero tells whether there is no bound.
func (h AllowedRegions) IsZero() bool { return !h.Restricted }

// Allows tells whether a region is allowed.
func (h AllowedRegions) Allows(region string) bool {
	return !h.Restricted || slices.Contains(h.Regions, region)
}

// Intersect returns the bound that holds where both hold.
func (h AllowedRegions) Intersect(other AllowedRegions) AllowedRegions {
	switch {
	case !h.Restricted:
		return other
	case !other.Restricted:
		return h
	}
	both := AllowedRegions{Restricted: true}
	for _, region := range h.Regions {
		if other.Allows(region) {
			both.Regions = append(both.Regions, region)
		}
	}
	return both
}
