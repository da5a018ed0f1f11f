package document

import "slices"

// FleetName is the name of the one object of kind fleet.
const FleetName = "fleet"

// Fleet is the document of the whole fleet: where it runs and which availability zones are out.
type Fleet struct {
	// Name of the deployment. Required.
	Name string
	// Regions of the deployment. At least one is required.
	Regions []Region
	// Out lists the availability zones that operators have taken out. Default none.
	Out []string
}

// Region is a group of availability zones with fast links between them.
type Region struct {
	// Name is unique in the fleet. Required.
	Name string
	// Zones are the availability zones of the region. At least one is required; each is unique in the fleet.
	Zones []string
}

// RegionOf returns the region of an availability zone, or "" when the fleet does not name the zone.
func (f *Fleet) RegionOf(zone string) string {
	for _, r := range f.Regions {
		if slices.Contains(r.Zones, zone) {
			return r.Name
		}
	}
	return ""
}

// IsOut reports whether operators have taken the availability zone out.
func (f *Fleet) IsOut(zone string) bool { return slices.Contains(f.Out, zone) }
