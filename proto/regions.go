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
func (a AllowedRegions) IsZero() bool { return !a.Restricted }

// Allows reports whether a region is allowed.
func (a AllowedRegions) Allows(region string) bool {
	return !a.Restricted || slices.Contains(a.Regions, region)
}

// Intersect returns the regions that both restrictions allow.
func (a AllowedRegions) Intersect(other AllowedRegions) AllowedRegions {
	switch {
	case !a.Restricted:
		return other
	case !other.Restricted:
		return a
	}
	common := AllowedRegions{Restricted: true}
	for _, region := range a.Regions {
		if other.Allows(region) {
			common.Regions = append(common.Regions, region)
		}
	}
	return common
}
