package document

import "slices"

// CheckLocations returns a problem for each availability zone and region of a service document that is not part of the
// fleet.
func (s *Service) CheckLocations(f *Fleet) []Problem {
	c := &checker{}
	c.checkServerZones(s.Servers.List, f)
	for i, r := range s.Routes {
		c.checkHomeRegions(indexedKey("route", i), r.HomeRegions, f)
	}
	for i, t := range s.Tenants {
		c.checkHomeRegions(indexedKey("tenant", i), t.HomeRegions, f)
	}
	return c.problems
}

// CheckServerZones returns a problem for each availability zone in a list of servers that is not part of the fleet.
func CheckServerZones(list []Server, f *Fleet) []Problem {
	c := &checker{}
	c.checkServerZones(list, f)
	return c.problems
}

func (c *checker) checkServerZones(list []Server, f *Fleet) {
	for i, server := range list {
		known := f.RegionOf(server.Zone) != ""
		c.require(known, indexedKey("servers.server", i)+".zone", "give a zone of the fleet document", "zone "+quote(server.Zone)+" is not part of the fleet")
	}
}

func (c *checker) checkHomeRegions(key string, regions []string, f *Fleet) {
	for _, name := range regions {
		known := slices.ContainsFunc(f.Regions, func(r Region) bool { return r.Name == name })
		c.require(known, key+".home_regions", "give a region of the fleet document", "region "+quote(name)+" is not part of the fleet")
	}
}
