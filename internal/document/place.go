package document

import "slices"

// CheckPlaces returns a problem for each availability zone and region of a service document that is not part of the
// fleet.
func (s *Service) CheckPlaces(f *Fleet) []Problem {
	c := &checker{}
	c.serverPlaces(s.Servers.List, f)
	for i, r := range s.Routes {
		c.homePlaces(index("route", i), r.HomeRegions, f)
	}
	for i, t := range s.Tenants {
		c.homePlaces(index("tenant", i), t.HomeRegions, f)
	}
	return c.problems
}

// CheckServerPlaces returns a problem for each availability zone in a list of servers that is not part of the fleet.
func CheckServerPlaces(list []Server, f *Fleet) []Problem {
	c := &checker{}
	c.serverPlaces(list, f)
	return c.problems
}

func (c *checker) serverPlaces(list []Server, f *Fleet) {
	for i, server := range list {
		known := f.RegionOf(server.Zone) != ""
		c.require(known, index("servers.server", i)+".zone", "name a zone of the fleet document", "zone "+quote(server.Zone)+" is not part of the fleet")
	}
}

func (c *checker) homePlaces(key string, regions []string, f *Fleet) {
	for _, name := range regions {
		known := slices.ContainsFunc(f.Regions, func(r Region) bool { return r.Name == name })
		c.require(known, key+".home_regions", "name a region of the fleet document", "region "+quote(name)+" is not part of the fleet")
	}
}
