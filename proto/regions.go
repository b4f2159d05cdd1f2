package proto

import "slices"

// AllowedRegions is the set of regions in which a request may be processed, or no restriction.
type AllowedRegions struct {
	// Restricted means that only Regions are allowed. Regions may be empty.
	Restricted bool     `cbor:"1,keyasint,omitempty"`
	Regions    []string `cbor:"2,keyasint,omitempty"`
}

// AllowRegions returns a restriction to the given regions, or no restriction if there are none.
func AllowRegions(regions []string) AllowedRegions {
	return AllowedRegions{Restricted: len(regions) > 0, Regions: regions}
}

// IsZero reports whether there is no restriction.
func (h AllowedRegions) IsZero() bool { return !h.Restricted }

// Allows reports whether a region is allowed.
func (h AllowedRegions) Allows(region string) bool {
	return !h.Restricted || slices.Contains(h.Regions, region)
}

// Intersect returns the regions that both restrictions allow.
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
