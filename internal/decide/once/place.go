package once

import (
	"slices"
	"strconv"
	"strings"

	"fuchsiahub.example/fuchsiahub/internal/decide/member"
	"fuchsiahub.example/fuchsiahub/internal/document"
)

// Place is one partition: a set of allowed regions and a number.
type Place struct {
	// Regions are the only regions that may hold the partition, sorted; none stand for all.
	Regions []string
	Number  uint32
}

// PlaceOf returns the partition of a digest.
func PlaceOf(d Digest, regions []string, partitions int) Place {
	sorted := slices.Sorted(slices.Values(regions))
	number := (uint32(d[0])<<8 | uint32(d[1])) % uint32(partitions)
	return Place{Regions: slices.Compact(sorted), Number: number}
}

// Name returns the name of the partition's head. Region names hold neither "_" nor capital letters, so two places
// never share a name.
func (p Place) Name() string {
	set := strings.Join(p.Regions, "_")
	if set == "" {
		set = "ALL"
	}
	return set + "_" + strconv.FormatUint(uint64(p.Number), 10)
}

// SegmentName returns the name of a sealed segment.
func (p Place) SegmentName(number uint64) string {
	return p.Name() + "-" + strconv.FormatUint(number, 10)
}

// Allows reports whether the region may hold the partition.
func (p Place) Allows(region string) bool {
	return len(p.Regions) == 0 || slices.Contains(p.Regions, region)
}

// Owner returns the instance that owns the partition in a view, and false when no allowed region has one.
func (p Place) Owner(view *member.View) (member.Instance, bool) {
	return member.Rendezvous(p.Name(), view.In(p.Regions...))
}

// RegionSets returns how many sets of allowed regions the once-only routes of the services have. Each set has
// partitions of its own.
func RegionSets(services []*document.Service) int {
	sets := map[string]bool{}
	for _, s := range services {
		for _, r := range s.Routes {
			if r.OnceOnly {
				addSets(sets, r.HomeRegions, s.Tenants)
			}
		}
	}
	return len(sets)
}

func addSets(sets map[string]bool, regions []string, tenants []document.Tenant) {
	sets[setName(regions)] = true
	for _, t := range tenants {
		switch {
		case len(t.HomeRegions) == 0:
		case len(regions) == 0:
			sets[setName(t.HomeRegions)] = true
		default:
			both := slices.DeleteFunc(slices.Clone(regions), func(r string) bool { return !slices.Contains(t.HomeRegions, r) })
			sets[setName(both)] = true
		}
	}
}

func setName(regions []string) string {
	return strings.Join(slices.Compact(slices.Sorted(slices.Values(regions))), "_")
}
