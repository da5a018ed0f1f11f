package document

import "slices"

// FleetName is the name of the only object of kind fleet.
const FleetName = "fleet"

// Fleet is the document of the fleet: its regions and availability zones, and the zones that are out of service.
type Fleet struct {
	// Name of the deployment. Required.
	Name string
	// Regions of the deployment. At least one is required.
	Regions []Region
	// ZonesOut lists the availability zones that operators have taken out of service. Default none.
	ZonesOut []string
}

// Region is a group of availability zones with fast links between them.
type Region struct {
	// Name is unique in the fleet. Required.
	Name string
	// Zones are the availability zones of the region. At least one is required; each is unique in the fleet.
	Zones []string
}

// RegionOf returns the region of an availability zone, or "" when the zone is not part of the fleet.
func (f *Fleet) RegionOf(zone string) string {
	for _, r := range f.Regions {
		if slices.Contains(r.Zones, zone) {
			return r.Name
		}
	}
	return ""
}

// IsZoneOut reports whether operators have taken the availability zone out of service.
func (f *Fleet) IsZoneOut(zone string) bool { return slices.Contains(f.ZonesOut, zone) }
